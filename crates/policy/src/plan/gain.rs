//! More replicas where they raise attainment most for the moves they cost.
//!
//! Only the hottest engines are looked at. For each model on them, the work that would no longer
//! miss its target with one replica more is weighed against the moves that the replica costs,
//! with what is given up for it. Hysteresis comes from three sides: a move has a price, a replica
//! made for demand is held for [`MIN_DEMAND_REPLICA_AGE`] against other demand, and forecasts fall slowly.

use std::collections::BTreeSet;

use types::prelude::*;

use super::{
    Cause, MIN_DEMAND_REPLICA_AGE,
    fleet::Slot,
    heat::{KNEE, misses, pour},
    planner::Draft,
    room::{Level, Site, Spare},
};

/// Hottest engines that are looked at for each replica.
const HOTTEST: usize = 12;

/// Coolest engines that are tried for a replica that needs room made.
const COOLEST: usize = 6;

/// Price of a move, in engines' worth of work that misses its target. A load takes about two
/// seconds of an engine's and the weight store's time, and a replica pays off over a minute.
const PRICE: f64 = 0.03;

/// Least gain worth a move however moves are weighed, in engines' worth.
const LEAST_GAIN: f64 = 0.005;

/// A replica that might be made.
struct Candidate {
    net: f64,
    model: model::Id,
    server: backend::Id,
    spares: Vec<Spare>,
    waits: bool,
}

impl Draft<'_> {
    /// Adds replicas while one is worth its moves.
    pub(super) fn meet_demand(&mut self) {
        let mut tried = BTreeSet::new();
        while 0 < self.budget {
            let Some(best) = self.best(&tried) else { return };
            tried.insert((best.model.clone(), best.server.clone()));
            self.make(best);
        }
    }

    fn best(&self, tried: &BTreeSet<(model::Id, backend::Id)>) -> Option<Candidate> {
        let mut hot: Vec<&Slot> = self.fleet.slots.values().collect();
        hot.retain(|slot| KNEE < slot.heat && slot.is_live());
        hot.sort_by(|a, b| b.heat.total_cmp(&a.heat));
        hot.truncate(HOTTEST);
        let models: BTreeSet<&model::Id> =
            hot.iter().flat_map(|slot| slot.bundles.keys()).collect();
        models
            .into_iter()
            .filter_map(|id| self.candidate(id))
            .filter(|candidate| 0.0 < candidate.net)
            .filter(|c| !tried.contains(&(c.model.clone(), c.server.clone())))
            .max_by(|a, b| a.net.total_cmp(&b.net).then_with(|| b.model.cmp(&a.model)))
    }

    fn candidate(&self, id: &model::Id) -> Option<Candidate> {
        let declared = self.models.get(id)?;
        if declared.load <= 0.0 || self.shares.get(id).is_none_or(Vec::is_empty) {
            return None;
        }
        let site = Site { id, declared, avoided: &BTreeSet::new() };
        if let Some(server) = self.roomy(&site) {
            return Some(self.weigh(id, server, Vec::new(), false));
        }
        if let Some(server) = self.roomy_later(&site) {
            return Some(self.weigh(id, server, Vec::new(), true));
        }
        let mut cool: Vec<&Slot> =
            self.fleet.slots.values().filter(|slot| site.suits(slot)).collect();
        cool.sort_by(|a, b| a.heat.total_cmp(&b.heat));
        cool.truncate(COOLEST);
        cool.into_iter()
            .filter_map(|slot| {
                let spares = self.enough(slot, declared.bundle, Level::Spread)?;
                let held = |spare: &Spare| self.is_held(slot, &spare.model);
                (!spares.iter().any(held))
                    .then(|| self.weigh(id, slot.told.server.clone(), spares, false))
            })
            .max_by(|a, b| a.net.total_cmp(&b.net).then_with(|| b.server.cmp(&a.server)))
    }

    /// Whether a replica is too young to be given up for demand.
    fn is_held(&self, slot: &Slot, id: &model::Id) -> bool {
        let since = slot.bundles.get(id).map(|bundle| bundle.since);
        since.is_some_and(|since| self.now.saturating_sub(since) < MIN_DEMAND_REPLICA_AGE)
    }

    fn weigh(
        &self,
        id: &model::Id,
        server: backend::Id,
        spares: Vec<Spare>,
        waits: bool,
    ) -> Candidate {
        let gain = self.gain(id, &server);
        let loss: f64 = spares.iter().map(|spare| self.loss(&spare.model, &server)).sum();
        let moves = 1.0 + spares.len() as f64;
        let net = self.weights.attainment * (gain - loss - LEAST_GAIN)
            - self.weights.moves * PRICE * moves;
        Candidate { net, model: id.clone(), server, spares, waits }
    }

    /// Work that would no longer miss with a replica on this engine.
    fn gain(&self, id: &model::Id, server: &backend::Id) -> f64 {
        let shares = self.shares.get(id).map_or(&[][..], Vec::as_slice);
        let more = shares.iter().cloned().chain([(server.clone(), 0.0)]);
        self.misses_over(shares) - self.misses_after(id, &more.collect::<Vec<_>>())
    }

    /// Work that would miss without the replica on this engine.
    fn loss(&self, id: &model::Id, server: &backend::Id) -> f64 {
        let Some(shares) = self.shares.get(id) else { return 0.0 };
        let (gone, left): (Vec<_>, Vec<_>) =
            shares.iter().cloned().partition(|(held, _)| held == server);
        let own: f64 = gone.iter().map(|(_, share)| share).sum();
        let cooled = misses(self.heat(server) - own);
        self.misses_after(id, &left) + cooled - self.misses_over(shares)
    }

    fn heat(&self, server: &backend::Id) -> f64 {
        self.fleet.slots.get(server).map_or(0.0, |slot| slot.heat)
    }

    fn misses_over(&self, shares: &[(backend::Id, f64)]) -> f64 {
        shares.iter().map(|(server, _)| misses(self.heat(server))).sum()
    }

    /// Work that misses on these engines when the model's load is poured over them anew.
    fn misses_after(&self, id: &model::Id, shares: &[(backend::Id, f64)]) -> f64 {
        let load = self.models.get(id).map_or(0.0, |declared| declared.load);
        let others: Vec<f64> =
            shares.iter().map(|(server, share)| self.heat(server) - share).collect();
        let poured = pour(&others, load);
        others.iter().zip(poured).map(|(other, share)| misses(other + share)).sum()
    }

    fn make(&mut self, candidate: Candidate) {
        let Candidate { model, server, spares, waits, .. } = candidate;
        let Some(declared) = self.models.get(&model) else { return };
        if waits {
            self.claim(&server, declared.bundle);
        } else if spares.is_empty() {
            self.load_base(&server, &model, declared, Cause::Demand);
        } else {
            for spare in &spares {
                self.give_up(&server, spare, Cause::Demand);
                self.pour_anew(&spare.model, |shares| shares.retain(|(held, _)| *held != server));
            }
            self.claim(&server, declared.bundle);
            self.budget = self.budget.saturating_sub(1);
        }
        self.pour_anew(&model, |shares| shares.push((server, 0.0)));
    }

    /// Changes a model's replicas and pours its load over them anew.
    pub(super) fn pour_anew(
        &mut self,
        id: &model::Id,
        change: impl FnOnce(&mut Vec<(backend::Id, f64)>),
    ) {
        let load = self.models.get(id).map_or(0.0, |declared| declared.load);
        let mut shares = self.shares.remove(id).unwrap_or_default();
        for (server, share) in &shares {
            if let Some(slot) = self.fleet.touch(server) {
                slot.heat -= share;
            }
        }
        change(&mut shares);
        let others: Vec<f64> = shares.iter().map(|(server, _)| self.heat(server)).collect();
        for ((server, share), poured) in shares.iter_mut().zip(pour(&others, load)) {
            *share = poured;
            if let Some(slot) = self.fleet.touch(server) {
                slot.heat += poured;
            }
        }
        self.shares.insert(id.clone(), shares);
    }
}
