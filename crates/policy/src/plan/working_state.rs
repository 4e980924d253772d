//! The planner's working state of the engines.
//!
//! Each engine has its reported state and the state after the moves of the plan in progress. Before
//! the next plan, the engines that a plan has changed are reset to their reported state.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{
    order::Action,
    prelude::*,
    resident::{Resident, State as Progress},
};

use super::{Cause, Engine, Move, State};

/// What one engine holds of one model: versions of the base model and of adapters.
#[derive(Clone, Debug, Default)]
pub(super) struct Bundle {
    pub(super) residents: Vec<Resident>,
    /// When the planner first saw the model on the engine.
    pub(super) since: Moment,
}

impl Bundle {
    /// Returns the versions of the base model that are loading or ready.
    pub(super) fn bases(&self) -> impl Iterator<Item = (&model::Version, Progress)> {
        self.residents.iter().filter_map(|resident| match &resident.unit {
            Unit::Model { version, .. } if resident.state != Progress::Unloading => {
                Some((version, resident.state))
            }
            _ => None,
        })
    }

    /// Whether a version of the base model is loading or ready.
    pub(super) fn has(&self, version: &model::Version) -> bool {
        self.bases().any(|(held, _)| held == version)
    }

    /// Whether any version of the base model is ready.
    pub(super) fn is_ready(&self) -> bool {
        self.bases().any(|(_, state)| state == Progress::Ready)
    }

    /// Whether a version of the base model is ready.
    pub(super) fn is_ready_in(&self, version: &model::Version) -> bool {
        self.bases().any(|(held, state)| held == version && state == Progress::Ready)
    }

    /// Returns the versions of an adapter that are loading or ready.
    pub(super) fn adapter(
        &self,
        adapter: &adapter::Id,
    ) -> impl Iterator<Item = (&model::Version, Progress)> {
        self.residents.iter().filter_map(move |resident| match &resident.unit {
            Unit::Adapter { adapter: held, version, .. }
                if held == adapter && resident.state != Progress::Unloading =>
            {
                Some((version, resident.state))
            }
            _ => None,
        })
    }

    /// Whether any version of the adapter is ready, and any version of its base model.
    pub(super) fn can_serve(&self, adapter: &adapter::Id) -> bool {
        self.is_ready() && self.adapter(adapter).any(|(_, state)| state == Progress::Ready)
    }

    /// Returns everything that is ready, adapters before their base model: the order in which they
    /// may be unloaded.
    pub(super) fn units(&self) -> Vec<Unit> {
        let ready = self.residents.iter().filter(|resident| resident.state == Progress::Ready);
        let mut units: Vec<Unit> = ready.map(|resident| resident.unit.clone()).collect();
        units.sort_by_key(|unit| matches!(unit, Unit::Model { .. }));
        units
    }

    /// Returns the memory of everything that isn't being unloaded.
    pub(super) fn memory(&self) -> Mebibytes {
        self.residents.iter().filter(|r| r.state != Progress::Unloading).map(|r| r.memory).sum()
    }
}

/// An engine's reported state, and its state after the moves of the plan in progress.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) reported: Engine,
    pub(super) bundles: BTreeMap<model::Id, Bundle>,
    /// Memory free now.
    pub(super) free: Mebibytes,
    /// Memory that unloads in progress will free.
    pub(super) freeing: Mebibytes,
    /// Memory for adapters that still have to be loaded.
    pub(super) adapter_reserve: Mebibytes,
    /// Memory reserved for later loads.
    pub(super) reserved: Mebibytes,
    /// Expected work, in engines' worth.
    pub(super) utilization: f64,
}

impl EngineState {
    pub(super) fn is_live(&self) -> bool {
        self.reported.state == State::Live
    }

    /// Returns the memory available to a new load now, in MiB.
    pub(super) fn room_now(&self) -> Mebibytes {
        self.free.saturating_sub(self.adapter_reserve).min(self.room_after_unloads())
    }

    /// Returns the memory available to a new load after the unloads in progress, in MiB.
    pub(super) fn room_after_unloads(&self) -> Mebibytes {
        (self.free + self.freeing).saturating_sub(self.adapter_reserve + self.reserved)
    }

    /// Returns the memory missing for the adapters of the models held and for reservations, in MiB.
    pub(super) fn shortfall(&self) -> Mebibytes {
        (self.adapter_reserve + self.reserved).saturating_sub(self.free + self.freeing)
    }

    /// Whether not even the adapters of the models held fit.
    pub(super) fn lacks_adapter_memory(&self) -> bool {
        self.free + self.freeing < self.adapter_reserve
    }
}

/// All engines, with an index from models to the engines that hold them.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkingState {
    pub(super) engines: BTreeMap<backend::Id, EngineState>,
    holders: BTreeMap<model::Id, BTreeSet<backend::Id>>,
    /// Engines that the plan in progress has changed.
    dirty: BTreeSet<backend::Id>,
    /// Models on engines that were set, reset or removed.
    changed: BTreeSet<model::Id>,
}

impl WorkingState {
    /// Sets an engine's reported state.
    pub(super) fn set_engine(&mut self, now: Moment, reported: Engine) {
        let before = self.remove_engine(&reported.server);
        let mut engine = EngineState {
            free: reported.free,
            freeing: 0,
            adapter_reserve: 0,
            reserved: 0,
            utilization: 0.0,
            bundles: BTreeMap::new(),
            reported,
        };
        for resident in &engine.reported.residents {
            let model = resident.unit.model();
            let bundle = engine.bundles.entry(model.clone()).or_insert_with(|| Bundle {
                residents: Vec::new(),
                since: since(before.as_ref(), model).unwrap_or(now),
            });
            bundle.residents.push(resident.clone());
            if resident.state == Progress::Unloading {
                engine.freeing += resident.memory;
            }
        }
        for model in engine.bundles.keys() {
            let holders = self.holders.entry(model.clone()).or_default();
            holders.insert(engine.reported.server.clone());
            self.changed.insert(model.clone());
        }
        self.engines.insert(engine.reported.server.clone(), engine);
    }

    /// Removes an engine and returns its state; `None` if it is unknown.
    pub(super) fn remove_engine(&mut self, server: &backend::Id) -> Option<EngineState> {
        let engine = self.engines.remove(server)?;
        for model in engine.bundles.keys() {
            self.changed.insert(model.clone());
            let Some(holders) = self.holders.get_mut(model) else { continue };
            holders.remove(server);
            if holders.is_empty() {
                self.holders.remove(model);
            }
        }
        self.dirty.remove(server);
        Some(engine)
    }

    /// Resets the engines that the plan changed to their reported state.
    pub(super) fn revert(&mut self, now: Moment) {
        for server in std::mem::take(&mut self.dirty) {
            if let Some(engine) = self.engines.get(&server) {
                let reported = engine.reported.clone();
                self.set_engine(now, reported);
            }
        }
    }

    /// Makes the planned state of each engine its reported state, as if every move were done.
    pub(super) fn complete_moves(&mut self, now: Moment) {
        for server in std::mem::take(&mut self.dirty) {
            let Some(engine) = self.engines.get(&server) else { continue };
            let residents = engine.bundles.values().flat_map(|bundle| bundle.residents.iter());
            let residents = residents.filter(|r| r.state != Progress::Unloading);
            let residents = residents.map(|r| Resident { state: Progress::Ready, ..r.clone() });
            let settled = Engine {
                free: engine.free + engine.freeing,
                residents: residents.collect(),
                ..engine.reported.clone()
            };
            self.set_engine(now, settled);
        }
    }

    /// Returns the engines that hold anything of a model.
    pub(super) fn holders(
        &self,
        model: &model::Id,
    ) -> impl Iterator<Item = (&EngineState, &Bundle)> {
        let servers = self.holders.get(model).into_iter().flatten();
        servers.filter_map(|server| {
            let engine = self.engines.get(server)?;
            engine.bundles.get(model).map(|bundle| (engine, bundle))
        })
    }

    /// Returns the models on engines that were set, reset or removed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<model::Id> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the number of loads in progress.
    pub(super) fn loading(&self) -> usize {
        let bundles = self.engines.values().flat_map(|engine| engine.bundles.values());
        let residents = bundles.flat_map(|bundle| bundle.residents.iter());
        residents.filter(|resident| resident.state == Progress::Loading).count()
    }

    /// Plans a load; `None` if the engine is unknown or lacks the memory.
    pub(super) fn load(
        &mut self,
        now: Moment,
        server: &backend::Id,
        unit: Unit,
        memory: Mebibytes,
        cause: Cause,
    ) -> Option<Move> {
        let engine = self.engines.get_mut(server)?;
        engine.free = engine.free.checked_sub(memory)?;
        let model = unit.model().clone();
        let bundle = engine.bundles.entry(model.clone());
        let bundle = bundle.or_insert(Bundle { residents: Vec::new(), since: now });
        let state = Progress::Loading;
        bundle.residents.push(Resident { unit: unit.clone(), memory, state });
        self.holders.entry(model).or_default().insert(server.clone());
        self.dirty.insert(server.clone());
        let action = Action::Load { unit, memory };
        Some(Move { server: server.clone(), action, cause, keeper: None })
    }

    /// Plans an unload; `None` unless the unit is ready on the engine.
    pub(super) fn unload(
        &mut self,
        server: &backend::Id,
        unit: &Unit,
        cause: Cause,
        keeper: Option<backend::Id>,
    ) -> Option<Move> {
        let engine = self.engines.get_mut(server)?;
        let bundle = engine.bundles.get_mut(unit.model())?;
        let resident =
            bundle.residents.iter_mut().find(|r| r.unit == *unit && r.state == Progress::Ready)?;
        resident.state = Progress::Unloading;
        engine.freeing += resident.memory;
        self.dirty.insert(server.clone());
        let action = Action::Unload { unit: unit.clone() };
        Some(Move { server: server.clone(), action, cause, keeper })
    }

    /// Returns an engine's state for a change by the plan in progress.
    pub(super) fn modify(&mut self, server: &backend::Id) -> Option<&mut EngineState> {
        self.dirty.insert(server.clone());
        self.engines.get_mut(server)
    }
}

fn since(engine: Option<&EngineState>, model: &model::Id) -> Option<Duration> {
    engine?.bundles.get(model).map(|bundle| bundle.since)
}
