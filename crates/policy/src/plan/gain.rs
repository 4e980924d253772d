//! Chooses further replicas where they raise attainment (the share of requests that meet their
//! latency target) most for the moves that they cost.
//!
//! Only the most utilized engines are considered. For each model there, the work that would meet
//! its target with one more replica is weighed against the moves that the replica costs, evictions
//! included. Three things give hysteresis: a move has a cost, a replica made for demand can't be
//! evicted for other demand before [`MIN_DEMAND_REPLICA_AGE`], and forecasts fall slowly.

use std::collections::BTreeSet;

use types::prelude::*;

use super::{
    Cause, MIN_DEMAND_REPLICA_AGE,
    planner::Draft,
    room::{Constraints, Evictable, EvictionLimit},
    utilization::{MISS_THRESHOLD, missed_work, water_fill},
    working_state::EngineState,
};

/// Number of most utilized engines considered for each replica.
const MAX_BUSY_ENGINES: usize = 12;

/// Number of least utilized engines tried for a replica that needs evictions.
const MAX_EVICTION_TARGETS: usize = 6;

/// Cost of a move, in engines' worth of work that misses its target. A load takes about two seconds
/// of an engine's and the weight store's time, and a replica pays off over a minute.
const MOVE_COST: f64 = 0.03;

/// Minimum gain of a replica, whatever the weight of moves, in engines' worth.
const MIN_GAIN: f64 = 0.005;

/// A replica that could be made.
struct Candidate {
    net_gain: f64,
    model: model::Id,
    server: backend::Id,
    victims: Vec<Evictable>,
    waits_for_unloads: bool,
}

impl Draft<'_> {
    /// Adds replicas as long as one is worth its moves.
    pub(super) fn meet_demand(&mut self) {
        let mut tried = BTreeSet::new();
        while 0 < self.budget {
            let Some(best) = self.best_candidate(&tried) else { return };
            tried.insert((best.model.clone(), best.server.clone()));
            self.commit(best);
        }
    }

    fn best_candidate(&self, tried: &BTreeSet<(model::Id, backend::Id)>) -> Option<Candidate> {
        let mut busy: Vec<&EngineState> = self.working.engines.values().collect();
        busy.retain(|engine| MISS_THRESHOLD < engine.utilization && engine.is_live());
        busy.sort_by(|a, b| b.utilization.total_cmp(&a.utilization));
        busy.truncate(MAX_BUSY_ENGINES);
        let models: BTreeSet<&model::Id> =
            busy.iter().flat_map(|engine| engine.bundles.keys()).collect();
        models
            .into_iter()
            .filter_map(|id| self.candidate(id))
            .filter(|candidate| 0.0 < candidate.net_gain)
            .filter(|c| !tried.contains(&(c.model.clone(), c.server.clone())))
            .max_by(|a, b| a.net_gain.total_cmp(&b.net_gain).then_with(|| b.model.cmp(&a.model)))
    }

    fn candidate(&self, id: &model::Id) -> Option<Candidate> {
        let declared = self.models.get(id)?;
        if declared.load <= 0.0 || self.shares.get(id).is_none_or(Vec::is_empty) {
            return None;
        }
        let constraints = Constraints { id, declared, avoided: &BTreeSet::new() };
        if let Some(server) = self.engine_with_room(&constraints) {
            return Some(self.evaluate(id, server, Vec::new(), false));
        }
        if let Some(server) = self.engine_with_room_later(&constraints) {
            return Some(self.evaluate(id, server, Vec::new(), true));
        }
        let mut least_utilized: Vec<&EngineState> =
            self.working.engines.values().filter(|engine| constraints.allows(engine)).collect();
        least_utilized.sort_by(|a, b| a.utilization.total_cmp(&b.utilization));
        least_utilized.truncate(MAX_EVICTION_TARGETS);
        least_utilized
            .into_iter()
            .filter_map(|engine| {
                let victims = self.choose_victims(
                    engine,
                    declared.replica_memory,
                    EvictionLimit::SurplusOnly,
                )?;
                let too_young = |victim: &Evictable| self.is_too_young(engine, &victim.model);
                (!victims.iter().any(too_young))
                    .then(|| self.evaluate(id, engine.reported.server.clone(), victims, false))
            })
            .max_by(|a, b| a.net_gain.total_cmp(&b.net_gain).then_with(|| b.server.cmp(&a.server)))
    }

    /// Whether a replica is too young to be evicted for demand.
    fn is_too_young(&self, engine: &EngineState, id: &model::Id) -> bool {
        let since = engine.bundles.get(id).map(|bundle| bundle.since);
        since.is_some_and(|since| self.now.saturating_sub(since) < MIN_DEMAND_REPLICA_AGE)
    }

    fn evaluate(
        &self,
        id: &model::Id,
        server: backend::Id,
        victims: Vec<Evictable>,
        waits_for_unloads: bool,
    ) -> Candidate {
        let gain = self.gain(id, &server);
        let loss: f64 = victims.iter().map(|victim| self.loss(&victim.model, &server)).sum();
        let moves = 1.0 + victims.len() as f64;
        let net_gain = self.weights.attainment * (gain - loss - MIN_GAIN)
            - self.weights.moves * MOVE_COST * moves;
        Candidate { net_gain, model: id.clone(), server, victims, waits_for_unloads }
    }

    /// Returns the work that would no longer miss its target with a replica on the engine.
    fn gain(&self, id: &model::Id, server: &backend::Id) -> f64 {
        let shares = self.shares.get(id).map_or(&[][..], Vec::as_slice);
        let more = shares.iter().cloned().chain([(server.clone(), 0.0)]);
        self.missed_work_on(shares) - self.missed_work_after(id, &more.collect::<Vec<_>>())
    }

    /// Returns the work that would miss its target without the replica on the engine.
    fn loss(&self, id: &model::Id, server: &backend::Id) -> f64 {
        let Some(shares) = self.shares.get(id) else { return 0.0 };
        let (gone, left): (Vec<_>, Vec<_>) =
            shares.iter().cloned().partition(|(held, _)| held == server);
        let own: f64 = gone.iter().map(|(_, share)| share).sum();
        let relieved = missed_work(self.utilization(server) - own);
        self.missed_work_after(id, &left) + relieved - self.missed_work_on(shares)
    }

    fn utilization(&self, server: &backend::Id) -> f64 {
        self.working.engines.get(server).map_or(0.0, |engine| engine.utilization)
    }

    fn missed_work_on(&self, shares: &[(backend::Id, f64)]) -> f64 {
        shares.iter().map(|(server, _)| missed_work(self.utilization(server))).sum()
    }

    /// Returns the work that misses its target on these engines once the model's load is
    /// redistributed over them.
    fn missed_work_after(&self, id: &model::Id, shares: &[(backend::Id, f64)]) -> f64 {
        let load = self.models.get(id).map_or(0.0, |declared| declared.load);
        let others: Vec<f64> =
            shares.iter().map(|(server, share)| self.utilization(server) - share).collect();
        let filled = water_fill(&others, load);
        others.iter().zip(filled).map(|(other, share)| missed_work(other + share)).sum()
    }

    fn commit(&mut self, candidate: Candidate) {
        let Candidate { model, server, victims, waits_for_unloads, .. } = candidate;
        let Some(declared) = self.models.get(&model) else { return };
        if waits_for_unloads {
            self.reserve(&server, declared.replica_memory);
        } else if victims.is_empty() {
            self.load_base(&server, &model, declared, Cause::Demand);
        } else {
            for victim in &victims {
                self.evict(&server, victim, Cause::Demand);
                self.rebalance(&victim.model, |shares| shares.retain(|(held, _)| *held != server));
            }
            self.reserve(&server, declared.replica_memory);
            self.budget = self.budget.saturating_sub(1);
        }
        self.rebalance(&model, |shares| shares.push((server, 0.0)));
    }

    /// Changes a model's replicas and redistributes its load over them.
    pub(super) fn rebalance(
        &mut self,
        id: &model::Id,
        change: impl FnOnce(&mut Vec<(backend::Id, f64)>),
    ) {
        let load = self.models.get(id).map_or(0.0, |declared| declared.load);
        let mut shares = self.shares.remove(id).unwrap_or_default();
        for (server, share) in &shares {
            if let Some(engine) = self.working.modify(server) {
                engine.utilization -= share;
            }
        }
        change(&mut shares);
        let others: Vec<f64> = shares.iter().map(|(server, _)| self.utilization(server)).collect();
        for ((server, share), filled) in shares.iter_mut().zip(water_fill(&others, load)) {
            *share = filled;
            if let Some(engine) = self.working.modify(server) {
                engine.utilization += filled;
            }
        }
        self.shares.insert(id.clone(), shares);
    }
}
