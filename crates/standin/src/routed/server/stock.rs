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
pub struct Given {
    /// The order.
    pub order: Order,
    /// What the server made of it when it was judged.
    pub outcome: OrderStatus,
    /// When it came.
    pub came: Instant,
    /// When it was judged.
    pub at: Instant,
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
pub(super) struct Coming {
    model: model::Id,
    adapter: Option<adapter::Id>,
}

#[derive(Debug)]
pub(super) struct Stock {
    engine: Option<Engine>,
    held: BTreeMap<model::Id, BTreeSet<adapter::Id>>,
    coming: Vec<Coming>,
    reports: VecDeque<(Instant, Report)>,
    pub(super) sequence: Sequence,
    pub(super) given: Vec<Given>,
    pub(super) overload: Option<Overload>,
}

impl Stock {
    pub(super) fn new(engine: Option<Engine>, held: &[Held]) -> Stock {
        let held =
            held.iter().map(|held| (held.model.clone(), held.adapters.iter().cloned().collect()));
        Stock {
            engine,
            held: held.collect(),
            coming: Vec::new(),
            reports: VecDeque::new(),
            sequence: 0,
            given: Vec::new(),
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
    pub(super) fn expects(&self, model: Option<&model::Id>, adapter: Option<&adapter::Id>) -> bool {
        let is_wanted = |c: &Coming| Some(&c.model) == model && c.adapter.as_ref() == adapter;
        self.coming.iter().any(is_wanted)
    }

    pub(super) fn held(&self) -> Vec<Held> {
        let held = |(model, adapters): (&model::Id, &BTreeSet<adapter::Id>)| Held {
            model: model.clone(),
            version: 1,
            adapters: adapters.iter().cloned().collect(),
        };
        self.held.iter().map(held).collect()
    }

    /// Judges an order and takes it in; a load that is accepted is complete at [`Stock::finish`].
    pub(super) fn order(&mut self, order: &Order, came: Instant) -> (OrderStatus, Option<Coming>) {
        let outcome = self.judge(order);
        let mut coming = None;
        if outcome == OrderStatus::Accepted {
            coming = self.accept(order);
        }
        // An adapter is unloaded at once, which is told like what holds already.
        let is_done = outcome == OrderStatus::Accepted && coming.is_none();
        let outcome = if is_done && order.adapter.is_some() { OrderStatus::Holds } else { outcome };
        self.given.push(Given { order: order.clone(), outcome, came, at: Instant::now() });
        (outcome, coming)
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

    fn accept(&mut self, order: &Order) -> Option<Coming> {
        self.sequence += 1;
        let target = Coming { model: order.model.clone(), adapter: order.adapter.clone() };
        match (order.operation, &order.adapter) {
            (Operation::Load, _) => {
                self.coming.push(target.clone());
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
    pub(super) fn finish(&mut self, coming: &Coming) {
        self.coming.retain(|other| other != coming);
        match &coming.adapter {
            None => {
                self.held.entry(coming.model.clone()).or_default();
            }
            Some(adapter) => {
                if let Some(adapters) = self.held.get_mut(&coming.model) {
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
        let coming = self.coming.iter().map(|coming| {
            (&coming.model, coming.adapter.is_none(), u64::from(coming.adapter.is_some()))
        });
        for (id, has_weights, of_it) in held.chain(coming) {
            let Some(model) = engine.models.iter().find(|model| model.name == *id) else {
                continue;
            };
            let own = if has_weights { model.weights } else { 0 };
            weights += own + of_it * model.adapter_weights;
            adapters += of_it;
        }
        if engine.weights < weights {
            return Some(Overload::Weights);
        }
        (u64::from(engine.adapter_slots) < adapters).then_some(Overload::Adapters)
    }

    fn is_busy(&self) -> bool {
        self.coming.iter().any(|coming| coming.adapter.is_none())
    }

    /// The report as it was `lag` ago.
    pub(super) fn report(&mut self, [running, queued, _]: [u32; 3], lag: Duration) -> Report {
        let now = Instant::now();
        let adapters = self.coming.iter();
        let adapters = adapters.filter_map(|c| c.adapter.clone().map(|a| (c.model.clone(), a)));
        let report = Report {
            models: self.held(),
            busy: self.is_busy(),
            sequence: self.sequence,
            queued,
            running,
            kv_total: self.engine.as_ref().map_or(0, |engine| engine.kv_tokens),
            adapters_loading: adapters.collect(),
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
