//! Makes every model resident, spreads it over two availability zones, and unloads what is
//! superseded or no longer declared.

use std::{cmp::Reverse, collections::BTreeSet};

use types::prelude::*;

use super::{
    Cause,
    planner::{Declared, Draft},
    room::{Constraints, EvictionLimit},
    working_state::{Bundle, EngineState},
};

impl Draft<'_> {
    /// Computes the memory that missing adapters will need on each engine.
    pub(super) fn reserve_for_adapters(&mut self) {
        for engine in self.working.engines.values_mut() {
            engine.reserved = 0;
            let bundles = engine.bundles.iter();
            engine.adapter_reserve = bundles
                .filter_map(|(id, bundle)| self.models.get(id).map(|declared| (declared, bundle)))
                .filter(|(_, bundle)| bundle.bases().next().is_some())
                .map(|(declared, bundle)| missing_adapter_memory(declared, bundle))
                .sum();
        }
    }

    /// Unloads what is no longer declared, adapters before their base.
    pub(super) fn remove_undeclared(&mut self) {
        let mut removals = Vec::new();
        for model in &self.pending {
            let declared = self.models.get(model);
            for (engine, bundle) in
                self.working.holders(model).filter(|(engine, _)| engine.is_live())
            {
                let units = bundle.units().into_iter();
                let units = units.filter(|unit| !is_declared(declared, bundle, unit));
                if declared.is_none() {
                    self.unsatisfied.insert(model.clone());
                }
                removals.extend(units.map(|unit| (engine.reported.server.clone(), unit)));
            }
        }
        for (server, unit) in removals {
            let unload = self.working.unload(&server, &unit, Cause::Removed, None);
            self.moves.extend(unload);
        }
    }

    /// Places models that no live engine holds in the declared version, those without any ready
    /// version first.
    pub(super) fn place_missing(&mut self) {
        let mut missing: Vec<(bool, Reverse<Mebibytes>, &model::Id, Cause)> = self
            .pending_models()
            .into_iter()
            .filter(|(id, declared)| !self.is_resident(id, declared))
            .map(|(id, declared)| {
                let cause = self.cause_of_absence(id, declared);
                let is_served = matches!(cause, Cause::Version | Cause::Adapter);
                (is_served, Reverse(declared.replica_memory), id, cause)
            })
            .collect();
        missing.sort();
        self.unsatisfied.extend(missing.iter().map(|(_, _, id, _)| (*id).clone()));
        for (_, _, id, cause) in missing {
            if self.budget == 0 {
                return;
            }
            self.place(id, cause, EvictionLimit::KeepOne, &BTreeSet::new());
        }
    }

    /// Brings models to their minimum number of replicas and into two availability zones.
    pub(super) fn spread_replicas(&mut self) {
        let mut under_replicated: Vec<(usize, Reverse<Mebibytes>, &model::Id)> = self
            .pending_models()
            .into_iter()
            .filter_map(|(id, declared)| {
                let replicas = self.replicas(id, declared);
                let wanted =
                    replicas < declared.min_replicas() || self.zones(id, declared).len() < 2;
                (0 < replicas && wanted).then_some((replicas, Reverse(declared.replica_memory), id))
            })
            .collect();
        under_replicated.sort();
        self.unsatisfied.extend(under_replicated.iter().map(|(_, _, id)| (*id).clone()));
        for (_, _, id) in under_replicated {
            if self.budget == 0 {
                return;
            }
            self.spread(id);
        }
    }

    fn spread(&mut self, id: &model::Id) {
        let Some(declared) = self.models.get(id) else { return };
        let zones = self.zones(id, declared);
        if self.place(id, Cause::Spread, EvictionLimit::SurplusOnly, &zones) {
            return;
        }
        if declared.min_replicas() <= self.replicas(id, declared) {
            return;
        }
        if !self.place(id, Cause::Spread, EvictionLimit::SurplusOnly, &BTreeSet::new()) {
            self.retire(id, 1);
        }
    }

    /// Unloads superseded versions where enough replicas of the declared version are ready.
    pub(super) fn retire_versions(&mut self) {
        for (id, declared) in self.pending_models() {
            self.retire(id, declared.min_replicas());
            self.retire_adapters(id, declared);
        }
    }

    /// Unloads superseded versions of the base model: from engines that have the declared version
    /// ready too, and from all others once `enough` replicas of the declared version are ready.
    fn retire(&mut self, id: &model::Id, enough: usize) {
        let Some(declared) = self.models.get(id) else { return };
        let version = &declared.model.version;
        if !self.working.holders(id).any(|(_, bundle)| bundle.bases().any(|(v, _)| v != version)) {
            return;
        }
        self.unsatisfied.insert(id.clone());
        let holders = self.working.holders(id).filter(|(engine, _)| engine.is_live());
        let (ready, old): (Vec<_>, Vec<_>) =
            holders.partition(|(_, bundle)| bundle.is_ready_in(version));
        let is_stale = |(_, bundle): &&(&EngineState, &Bundle)| {
            bundle.bases().any(|(held, _)| held != version)
        };
        let both: Vec<backend::Id> = ready.iter().filter(is_stale).map(server).collect();
        let old: Vec<backend::Id> = match enough.max(1) <= ready.len() {
            true => old.iter().filter(is_stale).map(server).collect(),
            false => Vec::new(),
        };
        both.into_iter().for_each(|server| self.retire_beside(id, version, &server));
        old.into_iter().for_each(|server| self.retire_replica(id, declared, &server));
    }

    /// Unloads superseded versions from an engine that has the declared version ready.
    fn retire_beside(&mut self, id: &model::Id, version: &model::Version, server: &backend::Id) {
        let Some(engine) = self.working.engines.get(server) else { return };
        let Some(bundle) = engine.bundles.get(id) else { return };
        let versions = bundle.bases().map(|(held, _)| held).filter(|held| *held != version);
        let versions: Vec<model::Version> = versions.cloned().collect();
        for version in versions {
            let unit = Unit::Model { model: id.clone(), version };
            let keeper = Some(server.clone());
            let unload = self.working.unload(server, &unit, Cause::Version, keeper);
            self.moves.extend(unload);
        }
    }

    /// Unloads a replica that has superseded versions only, if other engines can serve the model
    /// and all of its adapters.
    fn retire_replica(&mut self, id: &model::Id, declared: &Declared, server: &backend::Id) {
        let Some(engine) = self.working.engines.get(server) else { return };
        let Some(bundle) = engine.bundles.get(id) else { return };
        if bundle.has(&declared.model.version) {
            return;
        }
        let Some(keeper) = self.keeper(engine, id, declared, bundle) else { return };
        for unit in bundle.units() {
            let keeper = Some(keeper.clone());
            let unload = self.working.unload(server, &unit, Cause::Version, keeper);
            self.moves.extend(unload);
        }
    }

    /// Returns the number of live engines that hold the declared version, ready or loading.
    pub(super) fn replicas(&self, id: &model::Id, declared: &Declared) -> usize {
        self.current(id, declared).count()
    }

    /// Returns the availability zones of the live engines that hold the declared version, ready or
    /// loading.
    pub(super) fn zones(&self, id: &model::Id, declared: &Declared) -> BTreeSet<availability::Id> {
        self.current(id, declared).map(|(engine, _)| engine.reported.zone.clone()).collect()
    }

    /// Returns the live engines that hold the declared version, ready or loading.
    pub(super) fn current(
        &self,
        id: &model::Id,
        declared: &Declared,
    ) -> impl Iterator<Item = (&EngineState, &Bundle)> {
        let version = declared.model.version.clone();
        let holders = self.working.holders(id);
        holders.filter(move |(engine, bundle)| engine.is_live() && bundle.has(&version))
    }

    fn is_resident(&self, id: &model::Id, declared: &Declared) -> bool {
        let mut current = self.current(id, declared);
        current.any(|(engine, bundle)| {
            !engine.lacks_adapter_memory() || missing_adapter_memory(declared, bundle) == 0
        })
    }

    fn cause_of_absence(&self, id: &model::Id, declared: &Declared) -> Cause {
        if self.current(id, declared).next().is_some() {
            return Cause::Adapter;
        }
        if self.working.holders(id).any(|(engine, bundle)| engine.is_live() && bundle.is_ready()) {
            return Cause::Version;
        }
        match self.working.holders(id).any(|(engine, _)| !engine.is_live()) {
            true => Cause::Leaving,
            false => Cause::Missing,
        }
    }

    /// Loads a replica, makes room for one, or reserves memory that unloads in progress will free.
    /// Leaves out engines in the `avoided` zones. Returns whether anything could be done.
    pub(super) fn place(
        &mut self,
        id: &model::Id,
        cause: Cause,
        limit: EvictionLimit,
        avoided: &BTreeSet<availability::Id>,
    ) -> bool {
        let Some(declared) = self.models.get(id) else { return false };
        let constraints = Constraints { id, declared, avoided };
        if let Some(server) = self.engine_with_room(&constraints) {
            self.load_base(&server, id, declared, cause);
            self.rebalance(id, |shares| shares.push((server, 0.0)));
            return true;
        }
        if let Some(server) = self.engine_with_room_later(&constraints) {
            self.reserve(&server, declared.replica_memory);
            return true;
        }
        self.make_room(&constraints, limit)
    }

    /// Loads the base model and reserves memory for its adapters.
    pub(super) fn load_base(
        &mut self,
        server: &backend::Id,
        id: &model::Id,
        declared: &Declared,
        cause: Cause,
    ) {
        let model = &declared.model;
        let unit = Unit::Model { model: id.clone(), version: model.version.clone() };
        let load = self.working.load(self.now, server, unit, model.footprint(), cause);
        self.record_load(load);
        if let Some(engine) = self.working.modify(server) {
            let Some(bundle) = engine.bundles.get(id) else { return };
            engine.adapter_reserve += missing_adapter_memory(declared, bundle);
        }
    }

    /// Reserves memory on an engine for a later load.
    pub(super) fn reserve(&mut self, server: &backend::Id, memory: Mebibytes) {
        if let Some(engine) = self.working.modify(server) {
            engine.reserved += memory;
        }
    }
}

/// Returns the memory of the adapters that a replica lacks.
pub(super) fn missing_adapter_memory(declared: &Declared, bundle: &Bundle) -> Mebibytes {
    let adapters = declared.model.adapters.iter();
    adapters
        .filter(|(id, adapter)| !bundle.adapter(id).any(|(held, _)| *held == adapter.version))
        .map(|(_, adapter)| adapter.memory)
        .sum()
}

fn server((engine, _): &(&EngineState, &Bundle)) -> backend::Id {
    engine.reported.server.clone()
}

/// Whether a model or adapter is declared, in any version.
fn is_declared(declared: Option<&Declared>, bundle: &Bundle, unit: &Unit) -> bool {
    let Some(declared) = declared else { return false };
    match unit {
        Unit::Model { .. } => true,
        Unit::Adapter { adapter, .. } => {
            declared.model.adapters.contains_key(adapter) && bundle.bases().next().is_some()
        }
    }
}
