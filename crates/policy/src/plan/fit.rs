//! Checks whether a configuration can be placed, and names the shortages otherwise.
//!
//! The check simulates the planner's own moves without the weight store's limits. A model that
//! isn't resident at the end can't be placed within memory, or not without a gap in service. The
//! same planner code judges the change and carries it out.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::{
    Engine, Limits, Planner,
    planner::{Declared, Draft},
    residency::missing_adapter_memory,
    room::EvictionLimit,
};

/// Maximum rounds of moves to simulate; a change that can be completed takes no more.
const MAX_ROUNDS: usize = 64;

/// A model that can't be made resident.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error(
    "model {model} needs {needs} MiB on one engine of {group}; {}",
    match roomiest {
        Some(room) => format!("the roomiest, {}, has {} MiB left", room.server, room.free),
        None => "there is no live engine that may hold it".to_owned(),
    }
)]
pub struct Shortage {
    /// The model that doesn't fit.
    pub model: model::Id,
    /// The group of engines that the model is declared for.
    pub group: backend::Group,
    /// Memory of one replica with all adapters, in MiB.
    pub needs: Mebibytes,
    /// The live engine of the group with the most memory; `None` if there is none.
    pub roomiest: Option<Room>,
}

/// Memory that could be made available on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// The server that runs the engine.
    pub server: backend::Id,
    /// Memory available after the unloads in progress and all possible evictions, in MiB.
    pub free: Mebibytes,
}

/// Returns the shortages when `config` is to be placed on `engines` in their present state; empty
/// if it fits.
pub fn check(config: &config::Config, engines: &[Engine]) -> Vec<Shortage> {
    let mut planner = Planner::new(Limits::NONE);
    planner.configure(config);
    engines.iter().for_each(|engine| planner.set_engine(Moment::ZERO, engine.clone()));
    planner.simulate(Moment::ZERO, MAX_ROUNDS);
    planner.shortages(Moment::ZERO)
}

impl Planner {
    /// Returns a shortage for each declared model without a complete replica in the declared
    /// version on a live engine.
    pub fn shortages(&mut self, now: Moment) -> Vec<Shortage> {
        let draft = self.new_draft(now, 0);
        let models = draft.models.iter().filter(|(id, declared)| !draft.is_complete(id, declared));
        models.map(|(id, declared)| draft.shortage(id, declared)).collect()
    }
}

impl Draft<'_> {
    fn is_complete(&self, id: &model::Id, declared: &Declared) -> bool {
        self.current(id, declared).any(|(_, held)| missing_adapter_memory(declared, held) == 0)
    }

    fn shortage(&self, id: &model::Id, declared: &Declared) -> Shortage {
        let group = &declared.model.group;
        let engines = self.working.engines.values();
        let rooms = engines.filter(|engine| engine.is_live() && engine.reported.group == *group);
        let rooms = rooms.map(|engine| Room {
            server: engine.reported.server.clone(),
            free: engine.room_after_unloads()
                + self.evictable(engine, EvictionLimit::KeepOne).map(|s| s.memory).sum::<u64>(),
        });
        let roomiest = rooms.max_by(|a, b| a.free.cmp(&b.free).then(b.server.cmp(&a.server)));
        Shortage {
            model: id.clone(),
            group: group.clone(),
            needs: declared.replica_memory,
            roomiest,
        }
    }
}
