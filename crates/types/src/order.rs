//! Orders to engines and their acknowledgements.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{backend, host, memory::Mebibytes, resident::Unit};

/// Name of an order, unique for all time.
pub type Id = Arc<str>;

/// Fencing number: greater for each later order to the same server.
pub type Fence = u64;

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Reads prompts and generates.
    #[default]
    Whole,
    /// Reads prompts and exports the KV cache.
    Prefill,
    /// Imports KV caches and generates.
    Decode,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a unit into memory.
    Load {
        /// What to load.
        unit: Unit,
        /// Memory it will take, in MiB.
        memory: Mebibytes,
    },
    /// Free a unit's memory.
    Unload {
        /// What to unload.
        unit: Unit,
    },
    /// Take another role.
    Role {
        /// The role.
        role: Role,
    },
}

impl Action {
    /// What is loaded or unloaded; none for a change of role.
    pub fn unit(&self) -> Option<&Unit> {
        match self {
            Action::Load { unit, .. } | Action::Unload { unit } => Some(unit),
            Action::Role { .. } => None,
        }
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Its name.
    pub id: Id,
    /// The server it is for.
    pub server: backend::Id,
    /// Its fencing number.
    pub fence: Fence,
    /// The host that sends it.
    pub sender: host::Id,
    /// The run of that host's process.
    pub incarnation: host::Incarnation,
    /// What to do.
    pub action: Action,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ack {
    /// Taken; the next reports show its progress.
    Accepted,
    /// Refused, since a higher fencing number was seen.
    Stale {
        /// The highest number seen.
        highest: Fence,
    },
    /// Refused for another cause.
    Refused {
        /// The engine's words.
        reason: String,
    },
}
