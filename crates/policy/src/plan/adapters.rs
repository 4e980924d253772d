//! Adapter moves: loads adapters where their base model is ready, and unloads superseded versions.

use types::{adapter::Adapter, prelude::*, resident::State as Progress};

use super::{
    Cause,
    planner::{Declared, Draft},
    room::EvictionLimit,
};

/// An adapter that a replica lacks. Adapters that no engine can serve sort first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MissingAdapter<'a> {
    is_served: bool,
    model: &'a model::Id,
    adapter: &'a adapter::Id,
    server: backend::Id,
}

impl Draft<'_> {
    /// Loads missing adapters where their base is ready, starting with those that no engine can
    /// serve.
    pub(super) fn load_adapters(&mut self) {
        let models = self.models;
        let pending_models = self.pending_models().into_iter();
        let mut missing: Vec<MissingAdapter<'_>> =
            pending_models.flat_map(|(id, declared)| self.missing_adapters(id, declared)).collect();
        missing.sort();
        self.unsatisfied
            .extend(missing.iter().map(|missing_adapter| missing_adapter.model.clone()));
        for missing_adapter in missing {
            if self.budget == 0 {
                return;
            }
            let Some(declared) = models.get(missing_adapter.model) else { continue };
            let Some(adapter) = declared.model.adapters.get(missing_adapter.adapter) else {
                continue;
            };
            self.load_adapter(&missing_adapter, adapter);
        }
    }

    fn missing_adapters<'a>(
        &self,
        id: &'a model::Id,
        declared: &'a Declared,
    ) -> Vec<MissingAdapter<'a>> {
        let mut missing = Vec::new();
        for (adapter, wanted) in &declared.model.adapters {
            let mut holders = self.working.holders(id).filter(|(engine, _)| engine.is_live());
            let is_served = holders.any(|(_, bundle)| bundle.can_serve(adapter));
            let holders = self.working.holders(id).filter(|(engine, _)| engine.is_live());
            let lacking = holders.filter(|(_, bundle)| {
                bundle.is_ready() && !bundle.adapter(adapter).any(|(v, _)| *v == wanted.version)
            });
            missing.extend(lacking.map(|(engine, _)| MissingAdapter {
                is_served,
                model: id,
                adapter,
                server: engine.reported.server.clone(),
            }));
        }
        missing
    }

    fn load_adapter(&mut self, missing_adapter: &MissingAdapter<'_>, adapter: &Adapter) {
        let Some(engine) = self.working.engines.get(&missing_adapter.server) else { return };
        if engine.free < adapter.memory {
            self.make_room_for_adapter(missing_adapter, adapter);
            return;
        }
        let unit = Unit::Adapter {
            model: missing_adapter.model.clone(),
            adapter: missing_adapter.adapter.clone(),
            version: adapter.version.clone(),
        };
        let load = self.working.load(
            self.now,
            &missing_adapter.server,
            unit,
            adapter.memory,
            Cause::Adapter,
        );
        self.record_load(load);
        if let Some(engine) = self.working.modify(&missing_adapter.server) {
            engine.adapter_reserve = engine.adapter_reserve.saturating_sub(adapter.memory);
        }
    }

    /// Frees memory on the replica's own engine: unloads the adapter's superseded version if
    /// another engine can serve the adapter, otherwise evicts replicas of other models.
    fn make_room_for_adapter(&mut self, missing_adapter: &MissingAdapter<'_>, adapter: &Adapter) {
        let Some(engine) = self.working.engines.get(&missing_adapter.server) else { return };
        if adapter.memory <= engine.free + engine.freeing {
            return;
        }
        if let Some((unit, keeper)) = self.superseded_version(missing_adapter) {
            let unload =
                self.working.unload(&missing_adapter.server, &unit, Cause::Version, Some(keeper));
            self.moves.extend(unload);
            return;
        }
        let Some(victims) = self.choose_victims(engine, 0, EvictionLimit::KeepOne) else { return };
        let own = missing_adapter.model;
        for victim in victims.into_iter().filter(|victim| victim.model != *own) {
            self.evict(&missing_adapter.server, &victim, Cause::Room);
        }
        self.budget = self.budget.saturating_sub(1);
    }

    /// Returns the adapter's superseded version on this engine, and another engine that can serve
    /// the adapter.
    fn superseded_version(
        &self,
        missing_adapter: &MissingAdapter<'_>,
    ) -> Option<(Unit, backend::Id)> {
        let held = self
            .working
            .engines
            .get(&missing_adapter.server)?
            .bundles
            .get(missing_adapter.model)?;
        let (version, _) =
            held.adapter(missing_adapter.adapter).find(|(_, state)| *state == Progress::Ready)?;
        let (keeper, _) =
            self.working.holders(missing_adapter.model).find(|(engine, bundle)| {
                engine.reported.server != missing_adapter.server
                    && engine.is_live()
                    && bundle.can_serve(missing_adapter.adapter)
            })?;
        let unit = Unit::Adapter {
            model: missing_adapter.model.clone(),
            adapter: missing_adapter.adapter.clone(),
            version: version.clone(),
        };
        Some((unit, keeper.reported.server.clone()))
    }

    /// Unloads superseded versions of adapters where the declared version is ready on the same
    /// engine.
    pub(super) fn retire_adapters(&mut self, id: &model::Id, declared: &Declared) {
        let mut stale = Vec::new();
        for (engine, bundle) in self.working.holders(id).filter(|(engine, _)| engine.is_live()) {
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
                    (engine.reported.server.clone(), unit)
                }));
            }
        }
        if !stale.is_empty() {
            self.unsatisfied.insert(id.clone());
        }
        for (server, unit) in stale {
            let keeper = Some(server.clone());
            let unload = self.working.unload(&server, &unit, Cause::Version, keeper);
            self.moves.extend(unload);
        }
    }
}
