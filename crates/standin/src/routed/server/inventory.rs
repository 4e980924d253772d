//! The models and adapters that a model server holds, and the orders that change them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use platform::remote::server::Order;
use relay::edge::{Operation, OrderStatus};
use tokio::time::Instant;
use types::{
    prelude::*,
    routed::{Engine, LoadedModel, Report, Sequence},
};

/// How many past reports are kept, to answer with a report of an earlier time.
const MAX_REPORTS: usize = 256;

/// An order and its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// The order as received.
    pub order: Order,
    /// The status with which the server answers it, even if the answer is lost.
    pub outcome: OrderStatus,
    /// When the server received it.
    pub arrived_at: Instant,
    /// When the server judged it, which is later than its arrival for a delayed order.
    pub judged_at: Instant,
}

/// The resource that the held and loading models and adapters exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overload {
    /// Memory for weights.
    Weights,
    /// Slots for adapters.
    Adapters,
}

/// A load that has been accepted and isn't complete.
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
    pub(super) fn new(engine: Option<Engine>, held: &[LoadedModel]) -> Inventory {
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

    /// Whether this model, or adapter of it, is being loaded.
    pub(super) fn is_loading(
        &self,
        model: Option<&model::Id>,
        adapter: Option<&adapter::Id>,
    ) -> bool {
        let is_same =
            |load: &PendingLoad| Some(&load.model) == model && load.adapter.as_ref() == adapter;
        self.loading.iter().any(is_same)
    }

    pub(super) fn held(&self) -> Vec<LoadedModel> {
        let held = |(model, adapters): (&model::Id, &BTreeSet<adapter::Id>)| LoadedModel {
            model: model.clone(),
            version: 1,
            adapters: adapters.iter().cloned().collect(),
        };
        self.held.iter().map(held).collect()
    }

    /// Judges an order, records it, and applies it if accepted. A load that was accepted is
    /// returned, for [`Inventory::finish_load`].
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
        // An adapter is unloaded immediately, so the answer is that the wanted state already holds.
        let is_complete = outcome == OrderStatus::Accepted && pending.is_none();
        let outcome =
            if is_complete && order.adapter.is_some() { OrderStatus::Holds } else { outcome };
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
        let is_held = self.has(Some(&order.model), order.adapter.as_ref());
        let holds = match order.operation {
            Operation::Load => is_held,
            Operation::Unload => !is_held,
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
                self.overload = self.overload.or(self.current_overload());
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

    /// Adds the loaded model or adapter; an adapter whose model has been unloaded meanwhile is
    /// dropped.
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

    /// The resource that held and loading models and adapters exceed, if any.
    fn current_overload(&self) -> Option<Overload> {
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

    /// The report as it was `age` ago, or the oldest one kept. Earlier reports are known only from
    /// the times at which a report was requested.
    pub(super) fn report(&mut self, [running, queued, _]: [u32; 3], age: Duration) -> Report {
        let now = Instant::now();
        let adapters_loading = self.loading.iter();
        let adapters_loading = adapters_loading.filter_map(|pending| {
            pending.adapter.clone().map(|adapter| (pending.model.clone(), adapter))
        });
        let report = Report {
            models: self.held(),
            busy: self.is_busy(),
            sequence: self.sequence,
            queued,
            running,
            kv_total: self.engine.as_ref().map_or(0, |engine| engine.kv_tokens),
            adapters_loading: adapters_loading.collect(),
            ..Report::default()
        };
        self.reports.push_back((now, report.clone()));
        while MAX_REPORTS < self.reports.len() {
            self.reports.pop_front();
        }
        let old_enough = |(at, _): &&(Instant, Report)| *at + age <= now;
        let old = self.reports.iter().rev().find(old_enough);
        old.map_or_else(|| self.reports[0].1.clone(), |(_, report)| report.clone())
    }
}
