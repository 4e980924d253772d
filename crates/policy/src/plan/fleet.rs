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
pub(super) struct Slot {
    pub(super) told: Engine,
    pub(super) bundles: BTreeMap<model::Id, Bundle>,
    /// Memory free now.
    pub(super) free: Mebibytes,
    /// Memory that unloads will free.
    pub(super) soon: Mebibytes,
    /// Memory that adapters still to come will take.
    pub(super) owed: Mebibytes,
    /// Memory that loads wait for.
    pub(super) claimed: Mebibytes,
    /// Work expected, in engines' worth.
    pub(super) heat: f64,
}

impl Slot {
    pub(super) fn is_live(&self) -> bool {
        self.told.state == State::Live
    }

    /// Memory that a new load may take now, in MiB.
    pub(super) fn room(&self) -> Mebibytes {
        self.free.saturating_sub(self.owed).min(self.later())
    }

    /// Memory that a new load may take when the unloads under way are done, in MiB.
    pub(super) fn later(&self) -> Mebibytes {
        (self.free + self.soon).saturating_sub(self.owed + self.claimed)
    }

    /// Memory that is short for the adapters of what it holds and for claims, in MiB.
    pub(super) fn short(&self) -> Mebibytes {
        (self.owed + self.claimed).saturating_sub(self.free + self.soon)
    }

    /// Whether even the adapters of what it holds don't fit.
    pub(super) fn is_cramped(&self) -> bool {
        self.free + self.soon < self.owed
    }
}

/// All engines, with an index from models to the engines that hold them.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    pub(super) slots: BTreeMap<backend::Id, Slot>,
    holders: BTreeMap<model::Id, BTreeSet<backend::Id>>,
    touched: BTreeSet<backend::Id>,
    /// Models that an engine has been told anew to hold or no longer to hold.
    stirred: BTreeSet<model::Id>,
}

impl Fleet {
    /// Takes in what an engine holds.
    pub(super) fn put(&mut self, now: Moment, engine: Engine) {
        let before = self.remove(&engine.server);
        let mut slot = Slot {
            free: engine.free,
            soon: 0,
            owed: 0,
            claimed: 0,
            heat: 0.0,
            bundles: BTreeMap::new(),
            told: engine,
        };
        for resident in &slot.told.residents {
            let model = resident.unit.model();
            let bundle = slot.bundles.entry(model.clone()).or_insert_with(|| Bundle {
                residents: Vec::new(),
                since: since(before.as_ref(), model).unwrap_or(now),
            });
            bundle.residents.push(resident.clone());
            if resident.state == Progress::Unloading {
                slot.soon += resident.memory;
            }
        }
        for model in slot.bundles.keys() {
            let holders = self.holders.entry(model.clone()).or_default();
            holders.insert(slot.told.server.clone());
            self.stirred.insert(model.clone());
        }
        self.slots.insert(slot.told.server.clone(), slot);
    }

    /// Forgets an engine.
    pub(super) fn remove(&mut self, server: &backend::Id) -> Option<Slot> {
        let slot = self.slots.remove(server)?;
        for model in slot.bundles.keys() {
            self.stirred.insert(model.clone());
            let Some(holders) = self.holders.get_mut(model) else { continue };
            holders.remove(server);
            if holders.is_empty() {
                self.holders.remove(model);
            }
        }
        self.touched.remove(server);
        Some(slot)
    }

    /// Puts touched slots back to what they were told.
    pub(super) fn revert(&mut self, now: Moment) {
        for server in std::mem::take(&mut self.touched) {
            if let Some(slot) = self.slots.get(&server) {
                let told = slot.told.clone();
                self.put(now, told);
            }
        }
    }

    /// Takes what the plan has made of each engine as told, with every move done.
    pub(super) fn settle(&mut self, now: Moment) {
        for server in std::mem::take(&mut self.touched) {
            let Some(slot) = self.slots.get(&server) else { continue };
            let residents = slot.bundles.values().flat_map(|bundle| bundle.residents.iter());
            let residents = residents.filter(|r| r.state != Progress::Unloading);
            let residents = residents.map(|r| Resident { state: Progress::Ready, ..r.clone() });
            let settled = Engine {
                free: slot.free + slot.soon,
                residents: residents.collect(),
                ..slot.told.clone()
            };
            self.put(now, settled);
        }
    }

    /// Engines that hold anything of a model.
    pub(super) fn holders(&self, model: &model::Id) -> impl Iterator<Item = (&Slot, &Bundle)> {
        let servers = self.holders.get(model).into_iter().flatten();
        servers.filter_map(|server| {
            let slot = self.slots.get(server)?;
            slot.bundles.get(model).map(|bundle| (slot, bundle))
        })
    }

    /// Models whose engines were told anew since this was last asked.
    pub(super) fn take_stirred(&mut self) -> BTreeSet<model::Id> {
        std::mem::take(&mut self.stirred)
    }

    /// Loads that run.
    pub(super) fn loading(&self) -> usize {
        let bundles = self.slots.values().flat_map(|slot| slot.bundles.values());
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
        let slot = self.slots.get_mut(server)?;
        slot.free = slot.free.checked_sub(memory)?;
        let model = unit.model().clone();
        let bundle = slot.bundles.entry(model.clone());
        let bundle = bundle.or_insert(Bundle { residents: Vec::new(), since: now });
        let state = Progress::Loading;
        bundle.residents.push(Resident { unit: unit.clone(), memory, state });
        self.holders.entry(model).or_default().insert(server.clone());
        self.touched.insert(server.clone());
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
        let slot = self.slots.get_mut(server)?;
        let bundle = slot.bundles.get_mut(unit.model())?;
        let resident =
            bundle.residents.iter_mut().find(|r| r.unit == *unit && r.state == Progress::Ready)?;
        resident.state = Progress::Unloading;
        slot.soon += resident.memory;
        self.touched.insert(server.clone());
        let action = Action::Unload { unit: unit.clone() };
        Some(Move { server: server.clone(), action, cause, keeper })
    }

    /// Changes a slot's figures for the plan in the making.
    pub(super) fn touch(&mut self, server: &backend::Id) -> Option<&mut Slot> {
        self.touched.insert(server.clone());
        self.slots.get_mut(server)
    }
}

fn since(slot: Option<&Slot>, model: &model::Id) -> Option<Duration> {
    slot?.bundles.get(model).map(|bundle| bundle.since)
}
