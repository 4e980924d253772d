//! Chooses engines for loads, and the evictions that make room for them.

use std::{cmp::Reverse, collections::BTreeSet};

use types::{prelude::*, resident::State as Progress};

use super::{
    Cause,
    planner::{Declared, Draft},
    working_state::{Bundle, EngineState},
};

/// Which replicas may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionLimit {
    /// Only replicas above their model's minimum number, and superseded ones.
    SurplusOnly,
    /// Any replica except a model's last ready one.
    KeepOne,
}

/// How much a replica is needed, the least needed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Holds only a superseded version.
    Superseded,
    /// Above the minimum number of replicas.
    Surplus,
    /// Within the minimum number of replicas, or the only one in one of two availability zones.
    Needed,
}

/// Requirements of a load on its engine.
pub(super) struct Constraints<'a> {
    pub(super) id: &'a model::Id,
    pub(super) declared: &'a Declared,
    pub(super) avoided: &'a BTreeSet<availability::Id>,
}

impl Constraints<'_> {
    /// Whether the engine may hold the model, regardless of its memory.
    pub(super) fn allows(&self, engine: &EngineState) -> bool {
        engine.is_live()
            && engine.reported.group == self.declared.model.group
            && !self.avoided.contains(&engine.reported.zone)
            && !engine
                .bundles
                .get(self.id)
                .is_some_and(|held| held.has(&self.declared.model.version))
    }
}

/// A replica that may be evicted.
pub(super) struct Evictable {
    tier: Tier,
    loss: f64,
    pub(super) memory: Mebibytes,
    pub(super) model: model::Id,
    pub(super) keeper: backend::Id,
}

impl Draft<'_> {
    /// Returns the least utilized engine with room now.
    pub(super) fn engine_with_room(&self, constraints: &Constraints<'_>) -> Option<backend::Id> {
        self.least_utilized(constraints, EngineState::room_now)
    }

    /// Returns the least utilized engine with room after the unloads in progress.
    pub(super) fn engine_with_room_later(
        &self,
        constraints: &Constraints<'_>,
    ) -> Option<backend::Id> {
        self.least_utilized(constraints, EngineState::room_after_unloads)
    }

    fn least_utilized(
        &self,
        constraints: &Constraints<'_>,
        room: fn(&EngineState) -> Mebibytes,
    ) -> Option<backend::Id> {
        let engines = self.working.engines.values();
        engines
            .filter(|engine| {
                constraints.declared.replica_memory <= room(engine) && constraints.allows(engine)
            })
            .min_by(|a, b| a.utilization.total_cmp(&b.utilization).then(room(b).cmp(&room(a))))
            .map(|engine| engine.reported.server.clone())
    }

    /// Evicts replicas on the engine where that costs least, and reserves the memory. Returns
    /// whether there was such an engine.
    pub(super) fn make_room(
        &mut self,
        constraints: &Constraints<'_>,
        limit: EvictionLimit,
    ) -> bool {
        let need = constraints.declared.replica_memory;
        let engines = self.working.engines.values().filter(|engine| constraints.allows(engine));
        let best = engines
            .filter(|engine| need <= engine.reported.free + used_memory(engine))
            .filter_map(|engine| {
                let evictable = self.choose_victims(engine, need, limit)?;
                let tier = evictable.iter().map(|candidate| candidate.tier).max()?;
                Some((tier, evictable.len(), engine, evictable))
            })
            .min_by(|a, b| {
                let (utilization, other) = (a.2.utilization, b.2.utilization);
                (a.0, a.1).cmp(&(b.0, b.1)).then(utilization.total_cmp(&other))
            });
        let Some((_, _, engine, evictable)) = best else { return false };
        let server = engine.reported.server.clone();
        for candidate in evictable {
            self.evict(&server, &candidate, Cause::Room);
        }
        self.reserve(&server, need);
        self.budget = self.budget.saturating_sub(1);
        true
    }

    /// Returns enough replicas to evict for `need`, the least needed first; `None` if there aren't
    /// enough.
    pub(super) fn choose_victims(
        &self,
        engine: &EngineState,
        need: Mebibytes,
        limit: EvictionLimit,
    ) -> Option<Vec<Evictable>> {
        let mut evictable: Vec<Evictable> = self.evictable(engine, limit).collect();
        evictable.sort_by(|a, b| {
            let loss = a.loss.total_cmp(&b.loss);
            a.tier.cmp(&b.tier).then(loss).then(Reverse(a.memory).cmp(&Reverse(b.memory)))
        });
        let mut wanted = (need + engine.shortfall()).saturating_sub(engine.room_after_unloads());
        let mut chosen = Vec::new();
        for candidate in evictable {
            if wanted == 0 {
                break;
            }
            wanted = wanted.saturating_sub(candidate.memory);
            chosen.push(candidate);
        }
        (wanted == 0).then_some(chosen)
    }

    /// Returns the replicas on an engine that may be evicted within the limit.
    pub(super) fn evictable(
        &self,
        engine: &EngineState,
        limit: EvictionLimit,
    ) -> impl Iterator<Item = Evictable> {
        engine
            .bundles
            .iter()
            .filter_map(move |(id, held)| self.evictable_replica(engine, id, held, limit))
    }

    /// Unloads a replica, adapters before their base.
    pub(super) fn evict(&mut self, server: &backend::Id, candidate: &Evictable, cause: Cause) {
        let Some(engine) = self.working.engines.get(server) else { return };
        let Some(bundle) = engine.bundles.get(&candidate.model) else { return };
        for unit in bundle.units() {
            let keeper = Some(candidate.keeper.clone());
            let unload = self.working.unload(server, &unit, cause, keeper);
            self.moves.extend(unload);
        }
    }

    /// Returns a replica as evictable, if the limit allows its eviction.
    fn evictable_replica(
        &self,
        engine: &EngineState,
        id: &model::Id,
        held: &Bundle,
        limit: EvictionLimit,
    ) -> Option<Evictable> {
        let declared = self.models.get(id)?;
        if held.residents.iter().any(|resident| resident.state != Progress::Ready) {
            return None;
        }
        let keeper = self.keeper(engine, id, declared, held)?;
        let tier = self.tier(engine, id, declared, held);
        if limit == EvictionLimit::SurplusOnly && tier == Tier::Needed {
            return None;
        }
        let replicas = self.replicas(id, declared).max(1);
        let loss = declared.load / replicas as f64;
        Some(Evictable { tier, loss, memory: held.memory(), model: id.clone(), keeper })
    }

    fn tier(
        &self,
        engine: &EngineState,
        id: &model::Id,
        declared: &Declared,
        held: &Bundle,
    ) -> Tier {
        if !held.has(&declared.model.version) {
            return Tier::Superseded;
        }
        if self.replicas(id, declared) <= declared.min_replicas() {
            return Tier::Needed;
        }
        let zone = &engine.reported.zone;
        let alone =
            self.current(id, declared).filter(|(s, _)| s.reported.zone == *zone).count() < 2;
        let zones = self.zones(id, declared).len();
        if alone && zones <= 2 { Tier::Needed } else { Tier::Surplus }
    }

    /// Returns another live engine on which the model is ready, in the declared version if this
    /// engine has it ready. `None` also if no other engine can serve one of the adapters.
    pub(super) fn keeper(
        &self,
        engine: &EngineState,
        id: &model::Id,
        declared: &Declared,
        held: &Bundle,
    ) -> Option<backend::Id> {
        let version = &declared.model.version;
        let others: Vec<(&EngineState, &Bundle)> = self
            .working
            .holders(id)
            .filter(|(other, bundle)| {
                other.reported.server != engine.reported.server
                    && other.is_live()
                    && bundle.is_ready()
            })
            .filter(|(_, bundle)| !held.is_ready_in(version) || bundle.is_ready_in(version))
            .collect();
        let adapters = declared.model.adapters.keys();
        let kept = adapters
            .filter(|adapter| held.can_serve(adapter))
            .all(|adapter| others.iter().any(|(_, bundle)| bundle.can_serve(adapter)));
        if !kept {
            return None;
        }
        others.first().map(|(other, _)| other.reported.server.clone())
    }
}

/// Returns the memory in use on an engine.
fn used_memory(engine: &EngineState) -> Mebibytes {
    engine.reported.residents.iter().map(|resident| resident.memory).sum()
}
