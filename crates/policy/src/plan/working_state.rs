//! The planner's working picture of the engines.
//!
//! Each slot keeps what it was told beside what the moves of the plan in the making would leave.
//! Before the next plan, the slots that a plan has touched go back to what they were told.

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

/// All that one engine holds of one model: versions of the base and adapters.
#[derive(Clone, Debug, Default)]
pub(super) struct Bundle {
    pub(super) residents: Vec<Resident>,
    /// When the planner first saw it here.
    pub(super) since: Moment,
}

impl Bundle {
    /// Versions of the base model that are on their way in or ready.
    pub(super) fn bases(&self) -> impl Iterator<Item = (&model::Version, Progress)> {
        self.residents.iter().filter_map(|resident| match &resident.unit {
            Unit::Model { version, .. } if resident.state != Progress::Unloading => {
                Some((version, resident.state))
            }
            _ => None,
        })
    }

    /// Whether it holds this version, ready or on its way in.
    pub(super) fn has(&self, version: &model::Version) -> bool {
        self.bases().any(|(held, _)| held == version)
    }

    /// Whether any version of the base answers.
    pub(super) fn is_ready(&self) -> bool {
        self.bases().any(|(_, state)| state == Progress::Ready)
    }

    /// Whether this version of the base answers.
    pub(super) fn is_ready_in(&self, version: &model::Version) -> bool {
        self.bases().any(|(held, state)| held == version && state == Progress::Ready)
    }

    /// The adapter's versions that are on their way in or ready.
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

    /// Whether any version of the adapter answers, on a base that answers.
    pub(super) fn answers_for(&self, adapter: &adapter::Id) -> bool {
        self.is_ready() && self.adapter(adapter).any(|(_, state)| state == Progress::Ready)
    }

    /// What is ready, adapters before their base: the order in which it may be unloaded.
    pub(super) fn units(&self) -> Vec<Unit> {
        let ready = self.residents.iter().filter(|resident| resident.state == Progress::Ready);
        let mut units: Vec<Unit> = ready.map(|resident| resident.unit.clone()).collect();
        units.sort_by_key(|unit| matches!(unit, Unit::Model { .. }));
        units
    }

    /// Memory of what is not yet being unloaded.
    pub(super) fn memory(&self) -> Mebibytes {
        self.residents.iter().filter(|r| r.state != Progress::Unloading).map(|r| r.memory).sum()
    }
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) reported: Engine,
    pub(super) bundles: BTreeMap<model::Id, Bundle>,
    /// Memory free now.
    pub(super) free: Mebibytes,
    /// Memory that unloads will free.
    pub(super) freeing: Mebibytes,
    /// Memory that adapters still to come will take.
    pub(super) adapter_reserve: Mebibytes,
    /// Memory that loads wait for.
    pub(super) reserved: Mebibytes,
    /// Work expected, in engines' worth.
    pub(super) utilization: f64,
}

impl EngineState {
    pub(super) fn is_live(&self) -> bool {
        self.reported.state == State::Live
    }

    /// Memory that a new load may take now, in MiB.
    pub(super) fn room_now(&self) -> Mebibytes {
        self.free.saturating_sub(self.adapter_reserve).min(self.room_after_unloads())
    }

    /// Memory that a new load may take when the unloads under way are done, in MiB.
    pub(super) fn room_after_unloads(&self) -> Mebibytes {
        (self.free + self.freeing).saturating_sub(self.adapter_reserve + self.reserved)
    }

    /// Memory that is short for the adapters of what it holds and for claims, in MiB.
    pub(super) fn shortfall(&self) -> Mebibytes {
        (self.adapter_reserve + self.reserved).saturating_sub(self.free + self.freeing)
    }

    /// Whether even the adapters of what it holds don't fit.
    pub(super) fn lacks_adapter_memory(&self) -> bool {
        self.free + self.freeing < self.adapter_reserve
    }
}

/// All engines, with an index from models to the engines that hold them.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkingState {
    pub(super) engines: BTreeMap<backend::Id, EngineState>,
    holders: BTreeMap<model::Id, BTreeSet<backend::Id>>,
    dirty: BTreeSet<backend::Id>,
    /// Models that an engine has been told anew to hold or no longer to hold.
    changed: BTreeSet<model::Id>,
}

impl WorkingState {
    /// Takes in what an engine holds.
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

    /// Forgets an engine.
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

    /// Puts touched slots back to what they were told.
    pub(super) fn revert(&mut self, now: Moment) {
        for server in std::mem::take(&mut self.dirty) {
            if let Some(engine) = self.engines.get(&server) {
                let reported = engine.reported.clone();
                self.set_engine(now, reported);
            }
        }
    }

    /// Takes what the plan has made of each engine as told, with every move done.
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

    /// Engines that hold anything of a model.
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

    /// Models whose engines were told anew since this was last asked.
    pub(super) fn take_changed(&mut self) -> BTreeSet<model::Id> {
        std::mem::take(&mut self.changed)
    }

    /// Loads that run.
    pub(super) fn loading(&self) -> usize {
        let bundles = self.engines.values().flat_map(|engine| engine.bundles.values());
        let residents = bundles.flat_map(|bundle| bundle.residents.iter());
        residents.filter(|resident| resident.state == Progress::Loading).count()
    }

    /// Loads a unit in the working picture.
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

    /// Unloads a unit that is ready, in the working picture.
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

    /// Changes a slot's figures for the plan in the making.
    pub(super) fn modify(&mut self, server: &backend::Id) -> Option<&mut EngineState> {
        self.dirty.insert(server.clone());
        self.engines.get_mut(server)
    }
}

fn since(engine: Option<&EngineState>, model: &model::Id) -> Option<Duration> {
    engine?.bundles.get(model).map(|bundle| bundle.since)
}
