//! Whether a configuration can be placed, and what is short, where, if not.
//!
//! The check plays the planner's own moves to their end without the weight store's limit. What
//! is not resident then can't be made so without a gap or within memory; the same code that will
//! carry the change out judges it.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::{
    Engine, Limits, Planner,
    planner::{Declared, Draft},
    residency::missing_adapter_memory,
    room::EvictionLimit,
};

/// Rounds of moves that the check plays; more are not needed for any change that ends.
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
    /// The model.
    pub model: model::Id,
    /// The group of engines that is to hold it.
    pub group: backend::Group,
    /// Memory that one replica takes with all adapters, in MiB.
    pub needs: Mebibytes,
    /// The engine that comes nearest.
    pub roomiest: Option<Room>,
}

/// Room on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// The engine.
    pub server: backend::Id,
    /// Memory that could be had there, in MiB.
    pub free: Mebibytes,
}

/// What is short when `config` is to be placed on `engines` as they are now; empty if it fits.
pub fn check(config: &config::Config, engines: &[Engine]) -> Vec<Shortage> {
    let mut planner = Planner::new(Limits::NONE);
    planner.configure(config);
    engines.iter().for_each(|engine| planner.set_engine(Moment::ZERO, engine.clone()));
    planner.simulate(Moment::ZERO, MAX_ROUNDS);
    planner.shortages(Moment::ZERO)
}

impl Planner {
    /// Declared models that no live engine holds whole in the version in force.
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
        Shortage { model: id.clone(), group: group.clone(), needs: declared.bundle, roomiest }
    }
}
