//! One service as a plan sees it, with what the plan has decided so far.

use std::collections::BTreeMap;

use types::{
    prelude::*,
    routed::{Engine, Model},
};

use super::{
    Cause, Operation, Order, Rules,
    demand::Demand,
    server_view::{CurrentOrder, Presence, ServerView, Source},
    utilization::LoadBalance,
};

/// Work that a model has at the least while a request waits for it.
const MIN_WAITED_WORK: f64 = 0.05;

/// Chance that the busiest next is any of the models, whichever.
const UNIFORM_PEAK_CHANCE: f64 = 0.84;

/// Chance that the busiest next is one that was busy lately.
const RECENT_PEAK_CHANCE: f64 = 0.3;

/// Work that the busiest model is taken to have at the least.
const MIN_PEAK_WORK: f64 = 1.0;

/// A server that counts.
pub(super) struct Target<'a> {
    pub(super) id: &'a backend::Id,
    pub(super) view: &'a ServerView,
    /// Free memory; none if it isn't known.
    pub(super) room: Option<Mebibytes>,
    /// Whether an order may go there.
    pub(super) accepts_orders: bool,
}

impl Target<'_> {
    /// Whether a model order may go there.
    pub(super) fn accepts_model_order(&self) -> bool {
        self.accepts_orders && self.view.current.is_none()
    }
}

/// An order that the plan gives.
pub(super) struct Decision {
    pub(super) order: Order,
    pub(super) source: Source,
    /// Whether the weight store's bucket was charged for it.
    pub(super) charged: bool,
    /// What the room is made for.
    pub(super) reservation: Option<model::Id>,
}

/// A service.
pub(super) struct Draft<'a> {
    pub(super) rules: &'a Rules,
    pub(super) engine: &'a Engine,
    pub(super) sizes: &'a BTreeMap<model::Id, Model>,
    pub(super) demand: &'a Demand,
    pub(super) now: Moment,
    pub(super) targets: Vec<Target<'a>>,
    /// For each declared model: the sites where it is ready or coming.
    pub(super) replicas: Vec<Vec<usize>>,
    /// For each declared model: the sites where it is ready and stays.
    pub(super) confirmed: Vec<Vec<usize>>,
    /// For each declared model: servers that it keeps fully used.
    pub(super) work: Vec<f64>,
    /// For each declared model: how likely it is to be the busiest next.
    pub(super) peak_chances: Vec<f64>,
    /// Work of the busiest model.
    pub(super) peak_work: f64,
    /// For each declared model: work that it still gets.
    pub(super) remaining_work: Vec<f64>,
    /// How work lies on the sites as things are planned.
    pub(super) balance: LoadBalance,
    pub(super) decisions: Vec<Decision>,
    indexes: BTreeMap<&'a model::Id, usize>,
}

impl<'a> Draft<'a> {
    pub(super) fn new(
        rules: &'a Rules,
        engine: &'a Engine,
        sizes: &'a BTreeMap<model::Id, Model>,
        demand: &'a Demand,
        servers: impl Iterator<Item = (&'a backend::Id, &'a ServerView)>,
        now: Moment,
    ) -> Draft<'a> {
        let here = servers.filter(|(_, view)| view.presence == Presence::Present);
        let targets: Vec<Target> = here
            .map(|(id, view)| Target {
                id,
                view,
                room: view.memory_taken(sizes).map(|taken| engine.weights.saturating_sub(taken)),
                accepts_orders: view.accepts_orders(now),
            })
            .collect();
        let at = |fits: &dyn Fn(&ServerView, &model::Id) -> bool| -> Vec<Vec<usize>> {
            let of = |model: &Model| {
                let responsive = (0..targets.len()).filter(|&s| !targets[s].view.is_unresponsive);
                responsive.filter(|&s| fits(targets[s].view, &model.name)).collect()
            };
            engine.models.iter().map(of).collect()
        };
        let replicas = at(&|view, model| view.is_ready(model) || view.is_expected(model));
        let confirmed = at(&|view, model| view.is_confirmed_ready(model, now));
        let work: Vec<f64> =
            engine.models.iter().map(|m| work(rules, demand, &m.name, now)).collect();
        let peak_work = work.iter().copied().fold(MIN_PEAK_WORK, f64::max);
        let mut draft = Draft {
            rules,
            engine,
            sizes,
            demand,
            now,
            targets,
            replicas,
            confirmed,
            work,
            peak_chances: peak_chances(demand, engine, now),
            peak_work,
            remaining_work: engine
                .models
                .iter()
                .map(|m| demand.remaining_work(rules, &m.name, now))
                .collect(),
            balance: LoadBalance::default(),
            indexes: engine.models.iter().enumerate().map(|(n, m)| (&m.name, n)).collect(),
            decisions: Vec::new(),
        };
        draft.rebalance();
        draft
    }

    /// Brings the heat up to date.
    pub(super) fn rebalance(&mut self) {
        let cost = self.demand.mean_request_s(self.now);
        let lost =
            |target: &Target| target.view.limit.map_or(0.0, |limit| lost_capacity(limit, cost));
        let base = self.targets.iter().map(lost).collect();
        self.balance = LoadBalance::new(&self.work, &self.replicas, base);
    }

    /// Heat of a site.
    pub(super) fn utilization(&self, target: usize) -> f64 {
        self.balance.utilization[target]
    }

    /// Index of a declared model.
    pub(super) fn index(&self, model: &model::Id) -> Option<usize> {
        self.indexes.get(model).copied()
    }

    /// Gives an order; nothing else goes to that site in this plan.
    pub(super) fn decide(
        &mut self,
        target: usize,
        operation: Operation,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        cause: Cause,
    ) -> &mut Decision {
        let at = &mut self.targets[target];
        at.accepts_orders = false;
        let source = match (operation, adapter) {
            (Operation::Load, None) => at.view.source(model),
            _ => Source::Memory,
        };
        let order = Order {
            server: at.id.clone(),
            operation,
            model: model.clone(),
            adapter: adapter.cloned(),
            expected: at.view.sequence,
            cause,
        };
        self.decisions.push(Decision { order, source, charged: false, reservation: None });
        self.decisions.last_mut().expect("just pushed")
    }
}

/// Part of a server that its limit takes away, where each request keeps it fully used for so long.
fn lost_capacity(limit: f64, cost: f64) -> f64 {
    if cost == 0.0 { 0.0 } else { (1.0 - limit * cost).max(0.0) }
}

/// Servers that a model keeps fully used.
fn work(rules: &Rules, demand: &Demand, model: &model::Id, now: Moment) -> f64 {
    let waited = if demand.is_waited_for(model, now) { MIN_WAITED_WORK } else { 0.0 };
    demand.work(rules, model, now).max(waited)
}

/// How likely each model is to be the busiest next: those that were busy lately more than others.
fn peak_chances(demand: &Demand, engine: &Engine, now: Moment) -> Vec<f64> {
    let recent: Vec<f64> = engine.models.iter().map(|m| demand.recent(&m.name, now)).collect();
    let sum: f64 = recent.iter().sum();
    let share = |&amount: &f64| if 0.0 < sum { amount / sum } else { 0.0 };
    let any = UNIFORM_PEAK_CHANCE / engine.models.len().max(1) as f64;
    recent.iter().map(|amount| any + RECENT_PEAK_CHANCE * share(amount)).collect()
}

/// Loads from the weight store under way or asked for.
pub(super) fn store_loads<'a>(views: impl Iterator<Item = &'a ServerView>) -> usize {
    views
        .filter(|view| {
            let current =
                matches!(&view.current, Some(CurrentOrder::Load { source: Source::Store, .. }));
            current
                || view.in_flight_order.as_ref().is_some_and(|sent| sent.source == Source::Store)
        })
        .count()
}
