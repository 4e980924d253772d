//! Check that a change fits in accelerator memory and can be made without a gap in service.
//!
//! The check simulates the change on the servers present. Models that stay are packed first, the
//! largest first; then removed models go, and changed ones follow one at a time, the shrinking ones
//! first, each with a replica of the new version beside all replicas of the old one. If such a
//! sequence exists, the planner can follow it whatever its own placement is, at the price of moves.
//! The packing is greedy, so the check may refuse a change that a better packing could make; it
//! never accepts one for which no sequence is known. Only models that are new, or that need more
//! memory or a reload under the patch, are checked: a patch that frees memory is accepted even when
//! servers are lost and nothing fits.

use std::{cmp::Reverse, collections::BTreeMap};

use serde::{Deserialize, Serialize};
use types::{
    backend,
    config::Config,
    memory::Mebibytes,
    model::{self, Model},
};

/// Engine that can run models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the engine.
    pub id: backend::Id,
    /// Group of the engine.
    pub group: backend::Group,
    /// Accelerator memory, in MiB.
    pub capacity: Mebibytes,
}

/// Shortage of memory for a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error(
    "model {model} needs {needed} MiB on one more server of {group}{}: its {servers} servers have \
     {free} MiB free, {largest} MiB at most on one that can take it",
    .step.reason()
)]
pub struct Shortage {
    /// Group whose memory is short.
    pub group: backend::Group,
    /// Model that can't be placed.
    pub model: model::Id,
    /// Memory of one replica with its adapters, in MiB.
    pub needed: Mebibytes,
    /// Step at which the sequence fails.
    pub step: Step,
    /// Number of servers in the group.
    pub servers: usize,
    /// Memory free in the group at that step, in MiB.
    pub free: Mebibytes,
    /// Largest free memory of one server that doesn't run the model yet, in MiB.
    pub largest: Mebibytes,
}

/// Step of the sequence that leads to a new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Placing the declared replicas.
    Place,
    /// Loading a replica of the new version beside the old ones, so that there is no gap.
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

/// Returns the shortages that prevent a change; empty if the change can be made.
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

/// Returns the memory of one replica with its adapters, in MiB.
pub fn replica(model: &Model) -> Mebibytes {
    let adapters = model.adapters.values().map(|adapter| adapter.memory);
    adapters.fold(model.memory.saturating_add(model.kv), Mebibytes::saturating_add)
}

/// Returns the memory of the adapters of a model that are declared in another version than before,
/// in MiB.
fn reloaded_adapters(old: &Model, new: &Model) -> Mebibytes {
    let adapters = new.adapters.iter().filter(|(id, adapter)| {
        old.adapters.get(*id).is_some_and(|old| old.version != adapter.version)
    });
    adapters.map(|(_, adapter)| adapter.memory).fold(0, Mebibytes::saturating_add)
}

/// Model before and after a patch.
struct Change<'a> {
    id: &'a model::Id,
    old: Option<&'a Model>,
    new: &'a Model,
}

impl Change<'_> {
    /// Returns whether the patch changes how much memory the model takes.
    fn affects_memory(&self) -> bool {
        self.needs_memory()
            || self.old.is_some_and(|old| {
                replica(old) != replica(self.new) || old.replicas != self.new.replicas
            })
    }

    /// Returns whether the new model needs memory that the old one doesn't have.
    fn needs_memory(&self) -> bool {
        self.old.is_none_or(|old| {
            is_reloaded(old, self.new)
                || reloaded_adapters(old, self.new) != 0
                || replica(old) < replica(self.new)
                || old.replicas < self.new.replicas
        })
    }

    /// Returns the position in the sequence: models that need no more memory in total first, then
    /// by size of a replica, the largest first.
    fn rank(&self) -> (bool, Reverse<Mebibytes>, model::Id) {
        let total = |model: &Model| u128::from(replica(model)) * u128::from(model.replicas);
        let grows = self.old.map_or(0, total) < total(self.new);
        (grows, Reverse(replica(self.new)), self.id.clone())
    }
}

/// Returns whether the model's weights have to be loaded again.
fn is_reloaded(old: &Model, new: &Model) -> bool {
    old.version != new.version || old.group != new.group
}

/// Free memory of the servers, and the models placed on them.
struct Packing {
    bins: BTreeMap<backend::Group, Vec<Bin>>,
}

/// Free memory of one server, and the memory of each model's replica on it.
struct Bin {
    free: Mebibytes,
    replicas: BTreeMap<model::Id, Mebibytes>,
}

impl Packing {
    fn new(servers: &[Server]) -> Packing {
        let mut bins: BTreeMap<backend::Group, Vec<Bin>> = BTreeMap::new();
        for server in servers {
            let bin = Bin { free: server.capacity, replicas: BTreeMap::new() };
            bins.entry(server.group.clone()).or_default().push(bin);
        }
        Packing { bins }
    }

    /// Places as many of the declared replicas as fit, the largest first.
    fn pack<'a>(&mut self, models: impl Iterator<Item = (&'a model::Id, &'a Model)>) {
        let mut models: Vec<_> = models.collect();
        models.sort_by_key(|(id, model)| (Reverse(replica(model)), (*id).clone()));
        let most = models.iter().map(|(_, model)| model.replicas).max().unwrap_or_default();
        // One replica of each model first, then a second one: a model without a replica is worse
        // than one with too few.
        for round in 0..most {
            for (id, model) in models.iter().filter(|(_, model)| round < model.replicas) {
                self.place(id, model);
            }
        }
    }

    /// Places one replica on the server with the least free memory that can take it (best fit).
    fn place(&mut self, id: &model::Id, model: &Model) -> bool {
        let memory = replica(model);
        let Some(bins) = self.bins.get_mut(&model.group) else { return false };
        let fits = |bin: &&mut Bin| memory <= bin.free && !bin.replicas.contains_key(id);
        let Some(bin) = bins.iter_mut().filter(fits).min_by_key(|bin| bin.free) else {
            return false;
        };
        bin.free -= memory;
        bin.replicas.insert(id.clone(), memory);
        true
    }

    fn remove(&mut self, id: &model::Id, group: &backend::Group) {
        for bin in self.bins.get_mut(group).into_iter().flatten() {
            if let Some(memory) = bin.replicas.remove(id) {
                bin.free += memory;
            }
        }
    }

    /// Makes a change without a gap in service; restores the packing if that is impossible.
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

    /// Checks that a replica of the new version fits beside all replicas of the old one.
    fn check_beside(&mut self, id: &model::Id, old: &Model, new: &Model) -> Result<(), Shortage> {
        let added = reloaded_adapters(old, new);
        if !is_reloaded(old, new) && (added == 0 || self.has_room_beside(id, &new.group, added)) {
            return Ok(());
        }
        // The new version is a separate unit: it may be loaded on a server that runs the old one.
        let beside: model::Id = format!("{id} {}", new.version).into();
        if !self.place(&beside, new) {
            return Err(self.shortage(&beside, id, new, Step::Replace));
        }
        self.remove(&beside, &new.group);
        Ok(())
    }

    /// Returns whether a server that runs the model has at least `memory` MiB free.
    fn has_room_beside(&self, id: &model::Id, group: &backend::Group, memory: Mebibytes) -> bool {
        let mut bins = self.bins.get(group).into_iter().flatten();
        bins.any(|bin| bin.replicas.contains_key(id) && memory <= bin.free)
    }

    fn shortage(&self, unit: &model::Id, id: &model::Id, model: &Model, step: Step) -> Shortage {
        let bins = self.bins.get(&model.group).map_or(&[][..], Vec::as_slice);
        let open = bins.iter().filter(|bin| !bin.replicas.contains_key(unit));
        Shortage {
            group: model.group.clone(),
            model: id.clone(),
            needed: replica(model),
            step,
            servers: bins.len(),
            free: bins.iter().map(|bin| bin.free).sum(),
            largest: open.map(|bin| bin.free).max().unwrap_or_default(),
        }
    }
}
