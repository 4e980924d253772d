//! What a model server holds, and the orders that change it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use platform::remote::server::Order;
use relay::edge::{Operation, OrderStatus};
use tokio::time::Instant;
use types::{
    prelude::*,
    routed::{Engine, Held, Report, Sequence},
};

/// Reports kept for those who ask with a lag.
const REPORTS: usize = 256;

/// An order, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// What the server made of it when it was judged.
    pub outcome: OrderStatus,
    /// When it came.
    pub arrived_at: Instant,
    /// When it was judged.
    pub judged_at: Instant,
}

/// What an order asked for beyond what there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overload {
    /// Memory for weights.
    Weights,
    /// Places for adapters.
    Adapters,
}

/// A load that has been accepted and is not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingLoad {
    model: model::Id,
    adapter: Option<adapter::Id>,
}

#[derive(Debug)]
pub(super) struct Inventory {
    engine: Option<Engine>,
    held: BTreeMap<model::Id, BTreeSet<adapter::Id>>,
    loading: Vec<PendingLoad>,
    reports: VecDeque<(Instant, Report)>,
    pub(super) sequence: Sequence,
    pub(super) orders: Vec<OrderRecord>,
    pub(super) overload: Option<Overload>,
}

impl Inventory {
    pub(super) fn new(engine: Option<Engine>, held: &[Held]) -> Inventory {
        let held =
            held.iter().map(|held| (held.model.clone(), held.adapters.iter().cloned().collect()));
        Inventory {
            engine,
            held: held.collect(),
            loading: Vec::new(),
            reports: VecDeque::new(),
            sequence: 0,
            orders: Vec::new(),
            overload: None,
        }
    }

    pub(super) fn is_model_server(&self) -> bool {
        self.engine.is_some()
    }

    pub(super) fn has(&self, model: Option<&model::Id>, adapter: Option<&adapter::Id>) -> bool {
        let Some(model) = model else { return true };
        let adapters = self.held.get(model);
        adapters.is_some_and(|held| adapter.is_none_or(|adapter| held.contains(adapter)))
    }

    /// Whether a load of this is under way.
    pub(super) fn is_loading(
        &self,
        model: Option<&model::Id>,
        adapter: Option<&adapter::Id>,
    ) -> bool {
        let is_same = |c: &PendingLoad| Some(&c.model) == model && c.adapter.as_ref() == adapter;
        self.loading.iter().any(is_same)
    }

    pub(super) fn held(&self) -> Vec<Held> {
        let held = |(model, adapters): (&model::Id, &BTreeSet<adapter::Id>)| Held {
            model: model.clone(),
            version: 1,
            adapters: adapters.iter().cloned().collect(),
        };
        self.held.iter().map(held).collect()
    }

    /// Judges an order and takes it in; a load that is accepted is complete at [`Inventory::finish_load`].
    pub(super) fn handle_order(
        &mut self,
        order: &Order,
        arrived_at: Instant,
    ) -> (OrderStatus, Option<PendingLoad>) {
        let outcome = self.judge(order);
        let mut pending = None;
        if outcome == OrderStatus::Accepted {
            pending = self.accept(order);
        }
        // An adapter is unloaded at once, which is told like what holds already.
        let is_done = outcome == OrderStatus::Accepted && pending.is_none();
        let outcome = if is_done && order.adapter.is_some() { OrderStatus::Holds } else { outcome };
        self.orders.push(OrderRecord {
            order: order.clone(),
            outcome,
            arrived_at,
            judged_at: Instant::now(),
        });
        (outcome, pending)
    }

    fn judge(&self, order: &Order) -> OrderStatus {
        let Some(engine) = &self.engine else { return OrderStatus::Invalid };
        let Some(model) = engine.models.iter().find(|model| model.name == order.model) else {
            return OrderStatus::Invalid;
        };
        if order.expected.is_some_and(|expected| expected != self.sequence) {
            return OrderStatus::Conflict;
        }
        let is_there = self.has(Some(&order.model), order.adapter.as_ref());
        let holds = match order.operation {
            Operation::Load => is_there,
            Operation::Unload => !is_there,
        };
        let is_busy = order.adapter.is_none() && self.is_busy();
        let has_base = order.adapter.is_none() || self.held.contains_key(&order.model);
        match (holds, is_busy, has_base) {
            (true, _, _) => OrderStatus::Holds,
            (_, true, _) => OrderStatus::Conflict,
            (_, _, false) => OrderStatus::Invalid,
            _ if order.adapter.is_some() && model.adapters == 0 => OrderStatus::Invalid,
            _ => OrderStatus::Accepted,
        }
    }

    fn accept(&mut self, order: &Order) -> Option<PendingLoad> {
        self.sequence += 1;
        let target = PendingLoad { model: order.model.clone(), adapter: order.adapter.clone() };
        match (order.operation, &order.adapter) {
            (Operation::Load, _) => {
                self.loading.push(target.clone());
                self.overload = self.overload.or(self.excess());
                return Some(target);
            }
            (Operation::Unload, Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&order.model) {
                    adapters.remove(adapter);
                }
            }
            (Operation::Unload, None) => {
                self.held.remove(&order.model);
            }
        }
        None
    }

    /// A load is complete.
    pub(super) fn finish_load(&mut self, pending: &PendingLoad) {
        self.loading.retain(|other| other != pending);
        match &pending.adapter {
            None => {
                self.held.entry(pending.model.clone()).or_default();
            }
            Some(adapter) => {
                if let Some(adapters) = self.held.get_mut(&pending.model) {
                    adapters.insert(adapter.clone());
                }
            }
        }
    }

    /// What is held and coming beyond what there is room for.
    fn excess(&self) -> Option<Overload> {
        let engine = self.engine.as_ref()?;
        let (mut weights, mut adapters) = (0, 0);
        let held = self.held.iter().map(|(model, adapters)| (model, true, adapters.len() as u64));
        let pending = self.loading.iter().map(|pending| {
            (&pending.model, pending.adapter.is_none(), u64::from(pending.adapter.is_some()))
        });
        for (id, has_weights, count) in held.chain(pending) {
            let Some(model) = engine.models.iter().find(|model| model.name == *id) else {
                continue;
            };
            let own_weights = if has_weights { model.weights } else { 0 };
            weights += own_weights + count * model.adapter_weights;
            adapters += count;
        }
        if engine.weights < weights {
            return Some(Overload::Weights);
        }
        (u64::from(engine.adapter_slots) < adapters).then_some(Overload::Adapters)
    }

    fn is_busy(&self) -> bool {
        self.loading.iter().any(|pending| pending.adapter.is_none())
    }

    /// The report as it was `lag` ago.
    pub(super) fn report(&mut self, [running, queued, _]: [u32; 3], lag: Duration) -> Report {
        let now = Instant::now();
        let adapters = self.loading.iter();
        let adapters = adapters.filter_map(|c| c.adapter.clone().map(|a| (c.model.clone(), a)));
        let report = Report {
            models: self.held(),
            busy: self.is_busy(),
            sequence: self.sequence,
            queued,
            running,
            kv_total: self.engine.as_ref().map_or(0, |engine| engine.kv_tokens),
            coming: adapters.collect(),
            ..Report::default()
        };
        self.reports.push_back((now, report.clone()));
        while REPORTS < self.reports.len() {
            self.reports.pop_front();
        }
        let old_enough = |(at, _): &&(Instant, Report)| *at + lag <= now;
        let old = self.reports.iter().rev().find(old_enough);
        old.map_or_else(|| self.reports[0].1.clone(), |(_, report)| report.clone())
    }
}
