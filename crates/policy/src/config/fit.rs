//! Whether a change fits in accelerator memory, and whether there is a way to it without a gap.
//!
//! The check plays the change through on the servers of today: models that stay are packed first,
//! largest first; then removed ones go, and changed ones follow one at a time, the shrinking ones
//! first, each with a replica of the new version beside all of the old. If such a walk exists the
//! planner can take it, whatever its own placement is, at the price of moves. The walk packs
//! greedily, so it may refuse a change that a cleverer packing could make; it never lets one
//! through for which no walk is known. Only models that a patch adds or changes are judged: a
//! patch that gives memory back is welcome also when servers are lost and nothing fits.

use std::{cmp::Reverse, collections::BTreeMap};

use serde::{Deserialize, Serialize};
use types::{
    backend,
    config::Config,
    memory::Mebibytes,
    model::{self, Model},
};

/// An engine that can hold models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub id: backend::Id,
    /// The group it belongs to.
    pub group: backend::Group,
    /// Accelerator memory, in MiB.
    pub capacity: Mebibytes,
}

/// What is short, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error(
    "model {model} needs {needed} MiB on one more server of {group}{}: its {servers} servers have \
     {free} MiB free, {largest} MiB at most on one that can take it",
    .step.reason()
)]
pub struct Shortage {
    /// The group whose memory is short.
    pub group: backend::Group,
    /// The model that can't be placed.
    pub model: model::Id,
    /// What a replica of it takes with its adapters, in MiB.
    pub needed: Mebibytes,
    /// Where the walk to the new configuration stops.
    pub step: Step,
    /// Servers in the group.
    pub servers: usize,
    /// Memory free in the group at that point, in MiB.
    pub free: Mebibytes,
    /// Most memory free on one server that doesn't hold the model yet, in MiB.
    pub largest: Mebibytes,
}

/// A step of the walk to a new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Placing the replicas that are wanted.
    Place,
    /// Holding the new beside the old, so that there is no gap.
    Replace,
}

impl Step {
    fn reason(self) -> &'static str {
        match self {
            Step::Place => "",
            Step::Replace => " while the old version still answers",
        }
    }
}

/// What keeps a change from being made; nothing when it can be.
pub fn shortages(from: &Config, to: &Config, servers: &[Server]) -> Vec<Shortage> {
    let change = |(id, new)| Change { id, old: from.models.get(id), new };
    let changes = to.models.iter().map(change).filter(Change::affects_memory);
    let mut changes: Vec<Change<'_>> = changes.collect();
    if !changes.iter().any(Change::needs_memory) {
        return Vec::new();
    }
    changes.sort_by_key(Change::rank);
    let mut packing = Packing::new(servers);
    packing.pack(from.models.iter().filter(|(id, _)| to.models.contains_key(*id)));
    let failures = changes
        .iter()
        .filter_map(|change| packing.apply(change).err().filter(|_| change.needs_memory()));
    let mut shortages: Vec<Shortage> = failures.collect();
    shortages.sort_by(|one, other| (&one.group, &one.model).cmp(&(&other.group, &other.model)));
    shortages
}

/// Memory of one replica with its adapters, in MiB.
pub fn replica(model: &Model) -> Mebibytes {
    let adapters = model.adapters.values().map(|adapter| adapter.memory);
    adapters.fold(model.memory.saturating_add(model.kv), Mebibytes::saturating_add)
}

/// Memory of adapters whose version is new on a model that stays, in MiB.
fn reloaded_adapters(old: &Model, new: &Model) -> Mebibytes {
    let adapters = new.adapters.iter().filter(|(id, adapter)| {
        old.adapters.get(*id).is_some_and(|old| old.version != adapter.version)
    });
    adapters.map(|(_, adapter)| adapter.memory).fold(0, Mebibytes::saturating_add)
}

/// A model before and after a patch.
struct Change<'a> {
    id: &'a model::Id,
    old: Option<&'a Model>,
    new: &'a Model,
}

impl Change<'_> {
    /// Whether memory is used in another way.
    fn affects_memory(&self) -> bool {
        self.needs_memory()
            || self.old.is_some_and(|old| {
                replica(old) != replica(self.new) || old.replicas != self.new.replicas
            })
    }

    /// Whether the new needs memory that the old doesn't have.
    fn needs_memory(&self) -> bool {
        self.old.is_none_or(|old| {
            is_reloaded(old, self.new)
                || reloaded_adapters(old, self.new) != 0
                || replica(old) < replica(self.new)
                || old.replicas < self.new.replicas
        })
    }

    /// Place in the walk: what gives memory back first, then the largest replica.
    fn rank(&self) -> (bool, Reverse<Mebibytes>, model::Id) {
        let total = |model: &Model| u128::from(replica(model)) * u128::from(model.replicas);
        let grows = self.old.map_or(0, total) < total(self.new);
        (grows, Reverse(replica(self.new)), self.id.clone())
    }
}

/// Whether a model's weights have to be loaded again.
fn is_reloaded(old: &Model, new: &Model) -> bool {
    old.version != new.version || old.group != new.group
}

/// Free memory, and who holds what.
struct Packing {
    slots: BTreeMap<backend::Group, Vec<Slot>>,
}

struct Slot {
    free: Mebibytes,
    holds: BTreeMap<model::Id, Mebibytes>,
}

impl Packing {
    fn new(servers: &[Server]) -> Packing {
        let mut slots: BTreeMap<backend::Group, Vec<Slot>> = BTreeMap::new();
        for server in servers {
            let slot = Slot { free: server.capacity, holds: BTreeMap::new() };
            slots.entry(server.group.clone()).or_default().push(slot);
        }
        Packing { slots }
    }

    /// Packs as many of the wanted replicas as fit, the largest first.
    fn pack<'a>(&mut self, models: impl Iterator<Item = (&'a model::Id, &'a Model)>) {
        let mut models: Vec<_> = models.collect();
        models.sort_by_key(|(id, model)| (Reverse(replica(model)), (*id).clone()));
        let most = models.iter().map(|(_, model)| model.replicas).max().unwrap_or_default();
        // First one of each, then the second ones: a model without a replica is worse than one
        // with too few.
        for round in 0..most {
            for (id, model) in models.iter().filter(|(_, model)| round < model.replicas) {
                self.place(id, model);
            }
        }
    }

    /// Puts one replica on the fullest server that can take it.
    fn place(&mut self, id: &model::Id, model: &Model) -> bool {
        let memory = replica(model);
        let Some(slots) = self.slots.get_mut(&model.group) else { return false };
        let fits = |slot: &&mut Slot| memory <= slot.free && !slot.holds.contains_key(id);
        let Some(slot) = slots.iter_mut().filter(fits).min_by_key(|slot| slot.free) else {
            return false;
        };
        slot.free -= memory;
        slot.holds.insert(id.clone(), memory);
        true
    }

    fn remove(&mut self, id: &model::Id, group: &backend::Group) {
        for slot in self.slots.get_mut(group).into_iter().flatten() {
            if let Some(memory) = slot.holds.remove(id) {
                slot.free += memory;
            }
        }
    }

    /// Makes a change without a gap; leaves everything as it was when that can't be done.
    fn apply(&mut self, change: &Change<'_>) -> Result<(), Shortage> {
        let Change { id, old, new } = *change;
        if let Some(old) = old {
            self.check_beside(id, old, new)?;
            self.remove(id, &old.group);
        }
        let placed = (0..new.replicas).all(|_| self.place(id, new));
        if placed {
            return Ok(());
        }
        let shortage = self.shortage(id, id, new, Step::Place);
        self.remove(id, &new.group);
        if let Some(old) = old {
            (0..old.replicas).all(|_| self.place(id, old));
        }
        Err(shortage)
    }

    /// Checks that the new has room beside all of the old.
    fn check_beside(&mut self, id: &model::Id, old: &Model, new: &Model) -> Result<(), Shortage> {
        let added = reloaded_adapters(old, new);
        if !is_reloaded(old, new) && (added == 0 || self.has_room_beside(id, &new.group, added)) {
            return Ok(());
        }
        // The new version is another unit: it may stand on a server that holds the old one.
        let beside: model::Id = format!("{id} {}", new.version).into();
        if !self.place(&beside, new) {
            return Err(self.shortage(&beside, id, new, Step::Replace));
        }
        self.remove(&beside, &new.group);
        Ok(())
    }

    /// Whether a server that holds a model has so much memory free.
    fn has_room_beside(&self, id: &model::Id, group: &backend::Group, memory: Mebibytes) -> bool {
        let mut slots = self.slots.get(group).into_iter().flatten();
        slots.any(|slot| slot.holds.contains_key(id) && memory <= slot.free)
    }

    fn shortage(&self, unit: &model::Id, id: &model::Id, model: &Model, step: Step) -> Shortage {
        let slots = self.slots.get(&model.group).map_or(&[][..], Vec::as_slice);
        let open = slots.iter().filter(|slot| !slot.holds.contains_key(unit));
        Shortage {
            group: model.group.clone(),
            model: id.clone(),
            needed: replica(model),
            step,
            servers: slots.len(),
            free: slots.iter().map(|slot| slot.free).sum(),
            largest: open.map(|slot| slot.free).max().unwrap_or_default(),
        }
    }
}
