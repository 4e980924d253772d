//! Adapters follow their base model.

use types::{adapter::Adapter, prelude::*, resident::State as Progress};

use super::{
    Cause,
    planner::{Declared, Draft},
    room::Level,
};

/// An adapter that a replica lacks.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Lack<'a> {
    answers: bool,
    model: &'a model::Id,
    adapter: &'a adapter::Id,
    server: backend::Id,
}

impl Draft<'_> {
    /// Loads adapters where their base is ready; those that answer nowhere first.
    pub(super) fn load_adapters(&mut self) {
        let models = self.models;
        let looked_at = self.looked_at().into_iter();
        let mut lacks: Vec<Lack<'_>> =
            looked_at.flat_map(|(id, declared)| self.lacks(id, declared)).collect();
        lacks.sort();
        self.wanting.extend(lacks.iter().map(|lack| lack.model.clone()));
        for lack in lacks {
            if self.budget == 0 {
                return;
            }
            let Some(declared) = models.get(lack.model) else { continue };
            let Some(adapter) = declared.model.adapters.get(lack.adapter) else { continue };
            self.load_adapter(&lack, adapter);
        }
    }

    fn lacks<'a>(&self, id: &'a model::Id, declared: &'a Declared) -> Vec<Lack<'a>> {
        let mut lacks = Vec::new();
        for (adapter, wanted) in &declared.model.adapters {
            let mut holders = self.fleet.holders(id).filter(|(slot, _)| slot.is_live());
            let answers = holders.any(|(_, bundle)| bundle.answers_for(adapter));
            let holders = self.fleet.holders(id).filter(|(slot, _)| slot.is_live());
            let lacking = holders.filter(|(_, bundle)| {
                bundle.is_ready() && !bundle.adapter(adapter).any(|(v, _)| *v == wanted.version)
            });
            lacks.extend(lacking.map(|(slot, _)| Lack {
                answers,
                model: id,
                adapter,
                server: slot.told.server.clone(),
            }));
        }
        lacks
    }

    fn load_adapter(&mut self, lack: &Lack<'_>, adapter: &Adapter) {
        let Some(slot) = self.fleet.slots.get(&lack.server) else { return };
        if slot.free < adapter.memory {
            self.make_room_for_adapter(lack, adapter);
            return;
        }
        let unit = Unit::Adapter {
            model: lack.model.clone(),
            adapter: lack.adapter.clone(),
            version: adapter.version.clone(),
        };
        let load = self.fleet.load(self.now, &lack.server, unit, adapter.memory, Cause::Adapter);
        self.start(load);
        if let Some(slot) = self.fleet.touch(&lack.server) {
            slot.owed = slot.owed.saturating_sub(adapter.memory);
        }
    }

    /// Frees memory on the replica's own engine: the adapter's old version where it answers
    /// elsewhere too, else whole replicas of other models.
    fn make_room_for_adapter(&mut self, lack: &Lack<'_>, adapter: &Adapter) {
        let Some(slot) = self.fleet.slots.get(&lack.server) else { return };
        if adapter.memory <= slot.free + slot.soon {
            return;
        }
        if let Some((unit, keeper)) = self.spare_version(lack) {
            let unload = self.fleet.unload(&lack.server, &unit, Cause::Version, Some(keeper));
            self.moves.extend(unload);
            return;
        }
        let Some(spares) = self.enough(slot, 0, Level::Residency) else { return };
        let own = lack.model;
        for spare in spares.into_iter().filter(|spare| spare.model != *own) {
            self.give_up(&lack.server, &spare, Cause::Room);
        }
        self.budget = self.budget.saturating_sub(1);
    }

    /// The adapter's old version on this engine and another engine that answers for it.
    fn spare_version(&self, lack: &Lack<'_>) -> Option<(Unit, backend::Id)> {
        let held = self.fleet.slots.get(&lack.server)?.bundles.get(lack.model)?;
        let (version, _) =
            held.adapter(lack.adapter).find(|(_, state)| *state == Progress::Ready)?;
        let (keeper, _) = self.fleet.holders(lack.model).find(|(slot, bundle)| {
            slot.told.server != lack.server && slot.is_live() && bundle.answers_for(lack.adapter)
        })?;
        let unit = Unit::Adapter {
            model: lack.model.clone(),
            adapter: lack.adapter.clone(),
            version: version.clone(),
        };
        Some((unit, keeper.told.server.clone()))
    }

    /// Unloads an adapter's old versions where the one in force is ready on the same engine.
    pub(super) fn retire_adapters(&mut self, id: &model::Id, declared: &Declared) {
        let mut stale = Vec::new();
        for (slot, bundle) in self.fleet.holders(id).filter(|(slot, _)| slot.is_live()) {
            for (adapter, wanted) in &declared.model.adapters {
                let mut versions = bundle.adapter(adapter);
                if !versions.any(|(v, s)| *v == wanted.version && s == Progress::Ready) {
                    continue;
                }
                let old = bundle.adapter(adapter).filter(|(v, _)| **v != wanted.version);
                stale.extend(old.map(|(version, _)| {
                    let unit = Unit::Adapter {
                        model: id.clone(),
                        adapter: adapter.clone(),
                        version: version.clone(),
                    };
                    (slot.told.server.clone(), unit)
                }));
            }
        }
        if !stale.is_empty() {
            self.wanting.insert(id.clone());
        }
        for (server, unit) in stale {
            let keeper = Some(server.clone());
            let unload = self.fleet.unload(&server, &unit, Cause::Version, keeper);
            self.moves.extend(unload);
        }
    }
}
