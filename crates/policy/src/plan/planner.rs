//! The planner and the order of its priorities.

use std::collections::{BTreeMap, BTreeSet};

use types::{model::Model, prelude::*};

use super::{
    Demand, Engine, Limits, MIN_REPLICAS, Move, bucket::Bucket, utilization,
    working_state::WorkingState,
};

/// A declared model with values derived for placement.
#[derive(Clone, Debug)]
pub(super) struct Declared {
    pub(super) model: Model,
    /// Memory of a replica with all adapters, in MiB.
    pub(super) replica_memory: Mebibytes,
    /// Work to provide for, in engines' worth.
    pub(super) load: f64,
}

impl Declared {
    fn new(model: Model, demand: Demand) -> Declared {
        let adapters: Mebibytes = model.adapters.values().map(|adapter| adapter.memory).sum();
        Declared { replica_memory: model.footprint() + adapters, load: demand.provided(), model }
    }

    /// Returns the number of replicas that come before any replica for demand.
    pub(super) fn min_replicas(&self) -> usize {
        MIN_REPLICAS.max(self.model.replicas as usize)
    }
}

/// Plans moves from the declared configuration, the engines' state and the demand.
#[derive(Clone, Debug)]
pub struct Planner {
    weights: config::Weights,
    models: BTreeMap<model::Id, Declared>,
    demands: BTreeMap<model::Id, Demand>,
    working: WorkingState,
    bucket: Bucket,
    /// Models to check in the next plan: those that changed, and those that the last plan left
    /// unsatisfied.
    pending: BTreeSet<model::Id>,
}

impl Planner {
    /// Creates a planner without models or engines, with these limits of the weight store.
    pub fn new(limits: Limits) -> Planner {
        Planner {
            weights: config::Weights::default(),
            models: BTreeMap::new(),
            demands: BTreeMap::new(),
            working: WorkingState::default(),
            bucket: Bucket::new(limits),
            pending: BTreeSet::new(),
        }
    }

    /// Sets the declared configuration.
    pub fn configure(&mut self, config: &config::Config) {
        self.weights = config.weights;
        let removed = self.models.keys().filter(|id| !config.models.contains_key(*id));
        self.pending.extend(removed.cloned());
        self.models.retain(|id, _| config.models.contains_key(id));
        for (id, model) in &config.models {
            if self.models.get(id).is_some_and(|declared| declared.model == *model) {
                continue;
            }
            self.pending.insert(id.clone());
            let demand = self.demands.get(id).copied().unwrap_or_default();
            self.models.insert(id.clone(), Declared::new(model.clone(), demand));
        }
        self.demands.retain(|id, _| config.models.contains_key(id));
    }

    /// Sets what an engine holds or has reserved. Must be called for each engine that has changed
    /// or on which a move was tried.
    pub fn set_engine(&mut self, now: Moment, engine: Engine) {
        self.working.set_engine(now, engine);
    }

    /// Removes an engine that is gone.
    pub fn remove_engine(&mut self, server: &backend::Id) {
        self.working.remove_engine(server);
    }

    /// Sets the work of a model.
    pub fn set_demand(&mut self, model: &model::Id, demand: Demand) {
        self.demands.insert(model.clone(), demand);
        if let Some(declared) = self.models.get_mut(model) {
            declared.load = demand.provided();
        }
    }

    /// Returns the moves that may start now, to be tried in this order.
    pub fn plan(&mut self, now: Moment) -> Vec<Move> {
        self.working.revert(now);
        let loading = self.working.loading();
        let budget = self.bucket.available(now, loading);
        let moves = self.draft_moves(now, budget);
        self.bucket.take(moves.iter().filter(|m| m.is_load()).count());
        moves
    }

    /// Plans as if each move were done at once, until no move is left or after `rounds`. Returns
    /// the moves; for checks of what could be placed.
    pub fn simulate(&mut self, now: Moment, rounds: usize) -> Vec<Move> {
        let mut all = Vec::new();
        for _ in 0..rounds {
            self.working.revert(now);
            let moves = self.draft_moves(now, usize::MAX);
            if moves.is_empty() {
                break;
            }
            all.extend(moves);
            self.working.complete_moves(now);
        }
        all
    }

    fn draft_moves(&mut self, now: Moment, budget: usize) -> Vec<Move> {
        self.pending.extend(self.working.take_changed());
        let mut draft = self.new_draft(now, budget);
        draft.remove_undeclared();
        draft.place_missing();
        draft.load_adapters();
        draft.spread_replicas();
        draft.retire_versions();
        draft.meet_demand();
        let Draft { moves, unsatisfied, .. } = draft;
        self.pending = unsatisfied;
        moves
    }

    /// Creates a plan without moves.
    pub(super) fn new_draft(&mut self, now: Moment, budget: usize) -> Draft<'_> {
        let shares = utilization::balance(&self.models, &mut self.working);
        let mut draft = Draft {
            now,
            shares,
            weights: self.weights,
            models: &self.models,
            working: &mut self.working,
            budget,
            moves: Vec::new(),
            pending: self.pending.clone(),
            unsatisfied: BTreeSet::new(),
        };
        draft.reserve_for_adapters();
        draft
    }
}

/// A plan in progress.
pub(super) struct Draft<'a> {
    pub(super) now: Moment,
    pub(super) weights: config::Weights,
    pub(super) models: &'a BTreeMap<model::Id, Declared>,
    pub(super) working: &'a mut WorkingState,
    /// Each model's load on each of its engines.
    pub(super) shares: utilization::Shares,
    /// Number of loads that may still start.
    pub(super) budget: usize,
    pub(super) moves: Vec<Move>,
    /// Models to check.
    pub(super) pending: BTreeSet<model::Id>,
    /// Models that lack something or hold too much, to be checked again in the next plan.
    pub(super) unsatisfied: BTreeSet<model::Id>,
}

impl<'a> Draft<'a> {
    /// Returns the declared models to check.
    pub(super) fn pending_models(&self) -> Vec<(&'a model::Id, &'a Declared)> {
        let models = self.models;
        self.pending.iter().filter_map(|id| models.get_key_value(id)).collect()
    }

    /// Adds a load to the moves.
    pub(super) fn record_load(&mut self, load: Option<Move>) {
        if let Some(load) = load {
            self.budget = self.budget.saturating_sub(1);
            self.moves.push(load);
        }
    }
}
