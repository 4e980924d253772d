//! The plan in progress for one service: servers, demand, and the orders decided so far.

use std::{cell::Cell, collections::BTreeMap};

use types::{
    prelude::*,
    routed::{Engine, Model},
};

use super::{
    Cause, Effort, Operation, Order, Rules,
    demand::Demand,
    server_view::{CurrentOrder, Presence, ServerView, Source},
    utilization::LoadBalance,
};

/// Lower bound of a model's work while a request is waiting for the model.
const MIN_WAITED_WORK: f64 = 0.05;

/// Part of the models' peak chances that is spread evenly over all models. The two parts sum to
/// more than 1, so the chances are weights rather than probabilities.
const UNIFORM_PEAK_CHANCE: f64 = 0.84;

/// Part of the models' peak chances that is distributed in proportion to recent work.
const RECENT_PEAK_CHANCE: f64 = 0.3;

/// Lower bound assumed for the work of the busiest model.
const MIN_PEAK_WORK: f64 = 1.0;

/// The models of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Models {
    /// All models declared so far: servers may still hold one that is no longer declared.
    pub(super) sizes: BTreeMap<model::Id, Model>,
    /// Positions of the declared models in their declaration.
    pub(super) indexes: BTreeMap<model::Id, usize>,
}

impl Models {
    /// Replaces the declared models.
    pub(super) fn declare(&mut self, engine: &Engine) {
        self.sizes.extend(engine.models.iter().map(|m| (m.name.clone(), m.clone())));
        let indexed = engine.models.iter().enumerate();
        self.indexes = indexed.map(|(index, m)| (m.name.clone(), index)).collect();
    }
}

/// A model that a target holds.
pub(super) struct Held<'a> {
    pub(super) name: &'a model::Id,
    /// Index of the model; `None` if it is no longer declared.
    pub(super) index: Option<usize>,
    /// Memory of the model and its adapters; zero if the size is unknown.
    pub(super) memory: Mebibytes,
}

/// A server that models and adapters can be placed on.
pub(super) struct Target<'a> {
    pub(super) id: &'a backend::Id,
    pub(super) view: &'a ServerView,
    /// Free memory; `None` if unknown.
    pub(super) room: Option<Mebibytes>,
    /// Whether an order of this plan may go to the server.
    pub(super) accepts_orders: bool,
    pub(super) held: Vec<Held<'a>>,
    /// Models that have a copy on the server from which they load faster than from the store.
    copies: Vec<(usize, Source)>,
}

impl<'a> Target<'a> {
    fn new(
        id: &'a backend::Id,
        view: &'a ServerView,
        engine: &Engine,
        models: &Models,
        now: Moment,
    ) -> Target<'a> {
        let index = |model: &model::Id| models.indexes.get(model).copied();
        let held = view.held.iter().map(|(name, adapters)| {
            let size =
                |model: &Model| model.weights + model.adapter_weights * adapters.len() as Mebibytes;
            Held { name, index: index(name), memory: models.sizes.get(name).map_or(0, size) }
        });
        let copies = view.copies().filter_map(|(model, source)| Some((index(model)?, source)));
        Target {
            id,
            view,
            room: view
                .memory_taken(&models.sizes)
                .map(|taken| engine.weights.saturating_sub(taken)),
            accepts_orders: view.accepts_orders(now),
            held: held.collect(),
            copies: copies.collect(),
        }
    }

    /// Whether the server holds a model.
    pub(super) fn holds(&self, model: usize) -> bool {
        self.held.iter().any(|held| held.index == Some(model))
    }

    /// Returns where the server would load the model from.
    pub(super) fn source(&self, model: usize) -> Source {
        let copies = self.copies.iter().filter(|(copied, _)| *copied == model);
        copies.map(|(_, source)| *source).min().unwrap_or(Source::Store)
    }

    /// Whether a model order may go to the server; a server carries out one at a time.
    pub(super) fn accepts_model_order(&self) -> bool {
        self.accepts_orders && self.view.current.is_none()
    }
}

/// An order that the plan gives.
pub(super) struct Decision {
    pub(super) order: Order,
    pub(super) source: Source,
    /// Whether the order took a token of the weight store's bucket.
    pub(super) charged: bool,
    /// For an unload: the model that the memory is freed for.
    pub(super) reservation: Option<model::Id>,
}

/// A plan in progress. Servers are indexes of `targets`; vectors per model are in the order of
/// declaration.
pub(super) struct Draft<'a> {
    pub(super) rules: &'a Rules,
    pub(super) engine: &'a Engine,
    pub(super) models: &'a Models,
    pub(super) demand: &'a Demand,
    pub(super) now: Moment,
    pub(super) targets: Vec<Target<'a>>,
    /// Per model: the targets that can serve it, unresponsive ones included.
    pub(super) ready: Vec<Vec<usize>>,
    /// Per model: the targets on which it is ready or expected.
    pub(super) replicas: Vec<Vec<usize>>,
    /// Per model: the targets on which it is ready and no unresolved order may unload it.
    pub(super) confirmed: Vec<Vec<usize>>,
    /// Per model: work in fully utilized servers.
    pub(super) work: Vec<f64>,
    /// Per model: weight for the chance that it becomes the busiest next.
    pub(super) peak_chances: Vec<f64>,
    /// Work of the busiest model, at least [`MIN_PEAK_WORK`].
    pub(super) peak_work: f64,
    /// Per model: the work that it still gets, see [`Demand::remaining_work`].
    pub(super) remaining_work: Vec<f64>,
    /// Distribution of the work over the targets, with all decisions of the plan applied.
    pub(super) balance: LoadBalance,
    pub(super) decisions: Vec<Decision>,
    /// Memory of the largest declared model.
    pub(super) largest: Mebibytes,
    effort: Cell<Effort>,
}

impl<'a> Draft<'a> {
    pub(super) fn new(
        rules: &'a Rules,
        engine: &'a Engine,
        models: &'a Models,
        demand: &'a Demand,
        servers: impl Iterator<Item = (&'a backend::Id, &'a ServerView)>,
        now: Moment,
    ) -> Draft<'a> {
        let here = servers.filter(|(_, view)| view.presence == Presence::Present);
        let targets: Vec<Target> =
            here.map(|(id, view)| Target::new(id, view, engine, models, now)).collect();
        let Replicas { ready, expected, confirmed } = Replicas::new(engine, models, &targets, now);
        let work: Vec<f64> =
            engine.models.iter().map(|m| work(rules, demand, &m.name, now)).collect();
        let peak_work = work.iter().copied().fold(MIN_PEAK_WORK, f64::max);
        let mut draft = Draft {
            rules,
            engine,
            models,
            demand,
            now,
            targets,
            ready,
            replicas: expected,
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
            decisions: Vec::new(),
            largest: engine.models.iter().map(|model| model.weights).max().unwrap_or(0),
            effort: Cell::default(),
        };
        draft.rebalance();
        draft
    }

    /// Recomputes the utilization of all targets.
    pub(super) fn rebalance(&mut self) {
        let request_s = self.demand.mean_request_s(self.now);
        let lost = |target: &Target| {
            target.view.limit.map_or(0.0, |limit| lost_capacity(limit, request_s))
        };
        let base = self.targets.iter().map(lost).collect();
        let capacities = self.targets.iter().map(|target| 1.0 / target.view.scale).collect();
        self.balance = LoadBalance::new(&self.work, &self.replicas, base, capacities);
    }

    /// Returns the capacity of these targets together, in servers of median speed.
    pub(super) fn capacity(&self, targets: &[usize]) -> f64 {
        targets.iter().map(|&target| 1.0 / self.targets[target].view.scale).sum()
    }

    /// Returns a target's expected utilization; 1.0 is fully utilized.
    pub(super) fn utilization(&self, target: usize) -> f64 {
        self.balance.utilization[target]
    }

    /// Returns the work done for the plan so far.
    pub(super) fn effort(&self) -> Effort {
        self.effort.get()
    }

    /// Adds to the work done for the plan.
    pub(super) fn count(&self, effort: Effort) {
        self.effort.set(self.effort.get().plus(effort));
    }

    /// Returns the index of a declared model.
    pub(super) fn index(&self, model: &model::Id) -> Option<usize> {
        self.models.indexes.get(model).copied()
    }

    /// Adds an order to the plan, which then gives no other order to the same target.
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

/// Targets of each model, by what they have of it.
struct Replicas {
    ready: Vec<Vec<usize>>,
    /// Ready or expected, on responsive targets.
    expected: Vec<Vec<usize>>,
    /// Ready for certain, on responsive targets.
    confirmed: Vec<Vec<usize>>,
}

impl Replicas {
    fn new(engine: &Engine, models: &Models, targets: &[Target], now: Moment) -> Replicas {
        let none = || vec![Vec::new(); engine.models.len()];
        let mut replicas = Replicas { ready: none(), expected: none(), confirmed: none() };
        for (index, target) in targets.iter().enumerate() {
            replicas.add(models, index, target, now);
        }
        replicas
    }

    fn add(&mut self, models: &Models, index: usize, target: &Target, now: Moment) {
        let view = target.view;
        let held = target.held.iter().filter_map(|held| Some((held.name, held.index?)));
        for (name, model) in held.filter(|(name, _)| view.is_ready(name)) {
            self.ready[model].push(index);
            if view.is_unresponsive {
                continue;
            }
            self.expected[model].push(index);
            if view.is_confirmed_ready(name, now) {
                self.confirmed[model].push(index);
            }
        }
        if view.is_unresponsive {
            return;
        }
        let expected = view.expected_models().filter_map(|model| models.indexes.get(model));
        for &model in expected {
            if self.expected[model].last() != Some(&index) {
                self.expected[model].push(index);
            }
        }
    }
}

/// Returns the fraction of a server that its rate limit takes away, where each request keeps the
/// server fully utilized for `request_s` seconds.
fn lost_capacity(limit: f64, request_s: f64) -> f64 {
    if request_s == 0.0 { 0.0 } else { (1.0 - limit * request_s).max(0.0) }
}

/// Returns a model's work in fully utilized servers.
fn work(rules: &Rules, demand: &Demand, model: &model::Id, now: Moment) -> f64 {
    let waited = if demand.is_waited_for(model, now) { MIN_WAITED_WORK } else { 0.0 };
    demand.work(rules, model, now).max(waited)
}

/// Returns each model's weight for the chance that it becomes the busiest next; recently busy
/// models have larger weights.
fn peak_chances(demand: &Demand, engine: &Engine, now: Moment) -> Vec<f64> {
    let recent: Vec<f64> = engine.models.iter().map(|m| demand.recent(&m.name, now)).collect();
    let sum: f64 = recent.iter().sum();
    let share = |&amount: &f64| if 0.0 < sum { amount / sum } else { 0.0 };
    let any = UNIFORM_PEAK_CHANCE / engine.models.len().max(1) as f64;
    recent.iter().map(|amount| any + RECENT_PEAK_CHANCE * share(amount)).collect()
}

/// Returns the number of loads from the weight store that are in progress, or sent and not yet
/// answered.
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
