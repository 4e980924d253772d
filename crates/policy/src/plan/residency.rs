//! Every model resident, then twice and in different availability zones.

use std::{cmp::Reverse, collections::BTreeSet};

use types::prelude::*;

use super::{
    Cause,
    fleet::{Bundle, Slot},
    planner::{Declared, Draft},
    room::{Level, Site},
};

impl Draft<'_> {
    /// Works out the memory that adapters still to come will take on each engine.
    pub(super) fn owe(&mut self) {
        for slot in self.fleet.slots.values_mut() {
            slot.claimed = 0;
            let bundles = slot.bundles.iter();
            slot.owed = bundles
                .filter_map(|(id, bundle)| self.models.get(id).map(|declared| (declared, bundle)))
                .filter(|(_, bundle)| bundle.bases().next().is_some())
                .map(|(declared, bundle)| owed(declared, bundle))
                .sum();
        }
    }

    /// Unloads what is no longer declared, adapters before their base.
    pub(super) fn remove_undeclared(&mut self) {
        let mut removals = Vec::new();
        for model in &self.pending {
            let declared = self.models.get(model);
            for (slot, bundle) in self.fleet.holders(model).filter(|(slot, _)| slot.is_live()) {
                let units = bundle.units().into_iter();
                let units = units.filter(|unit| !is_declared(declared, bundle, unit));
                if declared.is_none() {
                    self.wanting.insert(model.clone());
                }
                removals.extend(units.map(|unit| (slot.told.server.clone(), unit)));
            }
        }
        for (server, unit) in removals {
            let unload = self.fleet.unload(&server, &unit, Cause::Removed, None);
            self.moves.extend(unload);
        }
    }

    /// Places models that no live engine holds in the version in force; the unreachable first.
    pub(super) fn place_missing(&mut self) {
        let mut missing: Vec<(bool, Reverse<Mebibytes>, &model::Id, Cause)> = self
            .looked_at()
            .into_iter()
            .filter(|(id, declared)| !self.is_resident(id, declared))
            .map(|(id, declared)| {
                let cause = self.cause_of_absence(id, declared);
                let answers = matches!(cause, Cause::Version | Cause::Adapter);
                (answers, Reverse(declared.bundle), id, cause)
            })
            .collect();
        missing.sort();
        self.wanting.extend(missing.iter().map(|(_, _, id, _)| (*id).clone()));
        for (_, _, id, cause) in missing {
            if self.budget == 0 {
                return;
            }
            self.place(id, cause, Level::Residency, &BTreeSet::new());
        }
    }

    /// Brings models to their least number of replicas and into two availability zones.
    pub(super) fn spread_replicas(&mut self) {
        let mut thin: Vec<(usize, Reverse<Mebibytes>, &model::Id)> = self
            .looked_at()
            .into_iter()
            .filter_map(|(id, declared)| {
                let replicas = self.replicas(id, declared);
                let wanted = replicas < declared.floor() || self.zones(id, declared).len() < 2;
                (0 < replicas && wanted).then_some((replicas, Reverse(declared.bundle), id))
            })
            .collect();
        thin.sort();
        self.wanting.extend(thin.iter().map(|(_, _, id)| (*id).clone()));
        for (_, _, id) in thin {
            if self.budget == 0 {
                return;
            }
            self.spread(id);
        }
    }

    fn spread(&mut self, id: &model::Id) {
        let Some(declared) = self.models.get(id) else { return };
        let zones = self.zones(id, declared);
        if self.place(id, Cause::Spread, Level::Spread, &zones) {
            return;
        }
        if declared.floor() <= self.replicas(id, declared) {
            return;
        }
        if !self.place(id, Cause::Spread, Level::Spread, &BTreeSet::new()) {
            self.retire(id, 1);
        }
    }

    /// Unloads versions that are no longer in force where enough replicas of the new one answer.
    pub(super) fn retire_versions(&mut self) {
        for (id, declared) in self.looked_at() {
            self.retire(id, declared.floor());
            self.retire_adapters(id, declared);
        }
    }

    /// Unloads old versions of the base, once `enough` replicas of the one in force answer, or
    /// from engines that hold both.
    fn retire(&mut self, id: &model::Id, enough: usize) {
        let Some(declared) = self.models.get(id) else { return };
        let version = &declared.model.version;
        if !self.fleet.holders(id).any(|(_, bundle)| bundle.bases().any(|(v, _)| v != version)) {
            return;
        }
        self.wanting.insert(id.clone());
        let holders = self.fleet.holders(id).filter(|(slot, _)| slot.is_live());
        let (ready, old): (Vec<_>, Vec<_>) =
            holders.partition(|(_, bundle)| bundle.is_ready_in(version));
        let is_stale =
            |(_, bundle): &&(&Slot, &Bundle)| bundle.bases().any(|(held, _)| held != version);
        let both: Vec<backend::Id> = ready.iter().filter(is_stale).map(server).collect();
        let old: Vec<backend::Id> = match enough.max(1) <= ready.len() {
            true => old.iter().filter(is_stale).map(server).collect(),
            false => Vec::new(),
        };
        both.into_iter().for_each(|server| self.retire_beside(id, version, &server));
        old.into_iter().for_each(|server| self.retire_whole(id, declared, &server));
    }

    /// Unloads old versions from an engine that has the one in force ready.
    fn retire_beside(&mut self, id: &model::Id, version: &model::Version, server: &backend::Id) {
        let Some(slot) = self.fleet.slots.get(server) else { return };
        let Some(bundle) = slot.bundles.get(id) else { return };
        let versions = bundle.bases().map(|(held, _)| held).filter(|held| *held != version);
        let versions: Vec<model::Version> = versions.cloned().collect();
        for version in versions {
            let unit = Unit::Model { model: id.clone(), version };
            let keeper = Some(server.clone());
            let unload = self.fleet.unload(server, &unit, Cause::Version, keeper);
            self.moves.extend(unload);
        }
    }

    /// Unloads a replica that has old versions only, if others answer for all of it.
    fn retire_whole(&mut self, id: &model::Id, declared: &Declared, server: &backend::Id) {
        let Some(slot) = self.fleet.slots.get(server) else { return };
        let Some(bundle) = slot.bundles.get(id) else { return };
        if bundle.has(&declared.model.version) {
            return;
        }
        let Some(keeper) = self.keeper(slot, id, declared, bundle) else { return };
        for unit in bundle.units() {
            let keeper = Some(keeper.clone());
            let unload = self.fleet.unload(server, &unit, Cause::Version, keeper);
            self.moves.extend(unload);
        }
    }

    /// Engines' live replicas in the version in force, on their way in or ready.
    pub(super) fn replicas(&self, id: &model::Id, declared: &Declared) -> usize {
        self.current(id, declared).count()
    }

    /// Availability zones of those replicas.
    pub(super) fn zones(&self, id: &model::Id, declared: &Declared) -> BTreeSet<availability::Id> {
        self.current(id, declared).map(|(slot, _)| slot.told.zone.clone()).collect()
    }

    /// Live engines that hold the version in force, or will.
    pub(super) fn current(
        &self,
        id: &model::Id,
        declared: &Declared,
    ) -> impl Iterator<Item = (&Slot, &Bundle)> {
        let version = declared.model.version.clone();
        let holders = self.fleet.holders(id);
        holders.filter(move |(slot, bundle)| slot.is_live() && bundle.has(&version))
    }

    fn is_resident(&self, id: &model::Id, declared: &Declared) -> bool {
        let mut current = self.current(id, declared);
        current.any(|(slot, bundle)| !slot.is_cramped() || owed(declared, bundle) == 0)
    }

    fn cause_of_absence(&self, id: &model::Id, declared: &Declared) -> Cause {
        if self.current(id, declared).next().is_some() {
            return Cause::Adapter;
        }
        if self.fleet.holders(id).any(|(slot, bundle)| slot.is_live() && bundle.is_ready()) {
            return Cause::Version;
        }
        match self.fleet.holders(id).any(|(slot, _)| !slot.is_live()) {
            true => Cause::Leaving,
            false => Cause::Missing,
        }
    }

    /// Loads a replica, or makes room for one, or waits for room under way. The engines of
    /// `avoided` zones are left out. Tells whether anything could be done.
    pub(super) fn place(
        &mut self,
        id: &model::Id,
        cause: Cause,
        level: Level,
        avoided: &BTreeSet<availability::Id>,
    ) -> bool {
        let Some(declared) = self.models.get(id) else { return false };
        let site = Site { id, declared, avoided };
        if let Some(server) = self.roomy(&site) {
            self.load_base(&server, id, declared, cause);
            self.pour_anew(id, |shares| shares.push((server, 0.0)));
            return true;
        }
        if let Some(server) = self.roomy_later(&site) {
            self.claim(&server, declared.bundle);
            return true;
        }
        self.make_room(&site, level)
    }

    /// Loads the base and sets memory aside for its adapters.
    pub(super) fn load_base(
        &mut self,
        server: &backend::Id,
        id: &model::Id,
        declared: &Declared,
        cause: Cause,
    ) {
        let model = &declared.model;
        let unit = Unit::Model { model: id.clone(), version: model.version.clone() };
        let load = self.fleet.load(self.now, server, unit, model.footprint(), cause);
        self.start(load);
        if let Some(slot) = self.fleet.touch(server) {
            let Some(bundle) = slot.bundles.get(id) else { return };
            slot.owed += owed(declared, bundle);
        }
    }

    /// Keeps memory that comes free for a load to come.
    pub(super) fn claim(&mut self, server: &backend::Id, memory: Mebibytes) {
        if let Some(slot) = self.fleet.touch(server) {
            slot.claimed += memory;
        }
    }
}

/// Memory of the adapters that a replica still lacks.
pub(super) fn owed(declared: &Declared, bundle: &Bundle) -> Mebibytes {
    let adapters = declared.model.adapters.iter();
    adapters
        .filter(|(id, adapter)| !bundle.adapter(id).any(|(held, _)| *held == adapter.version))
        .map(|(_, adapter)| adapter.memory)
        .sum()
}

fn server((slot, _): &(&Slot, &Bundle)) -> backend::Id {
    slot.told.server.clone()
}

/// Whether a unit is part of what is declared, in whatever version.
fn is_declared(declared: Option<&Declared>, bundle: &Bundle, unit: &Unit) -> bool {
    let Some(declared) = declared else { return false };
    match unit {
        Unit::Model { .. } => true,
        Unit::Adapter { adapter, .. } => {
            declared.model.adapters.contains_key(adapter) && bundle.bases().next().is_some()
        }
    }
}
