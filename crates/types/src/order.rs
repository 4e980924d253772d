//! Orders to engines and their acknowledgements.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{backend, host, memory::Mebibytes, resident::Unit};

/// Id of an order; never reused.
pub type Id = Arc<str>;

/// Fencing number; each later order to the same server has a greater one.
pub type Fence = u64;

/// Role of an engine: which phases of generation it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs both phases, prefill and decode.
    #[default]
    Whole,
    /// Runs prefill only and exports the KV cache.
    Prefill,
    /// Imports KV caches and runs decode only.
    Decode,
}

/// The operation that an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a unit into accelerator memory.
    Load {
        /// The unit to load.
        unit: Unit,
        /// Memory that the unit will take, in MiB.
        memory: Mebibytes,
    },
    /// Free a unit's memory.
    Unload {
        /// The unit to unload.
        unit: Unit,
    },
    /// Change the engine's role.
    Role {
        /// The role to change to.
        role: Role,
    },
}

impl Action {
    /// Returns the unit that is loaded or unloaded; `None` for a change of role.
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
    /// The order's id.
    pub id: Id,
    /// The server that the order is sent to.
    pub server: backend::Id,
    /// The order's fencing number.
    pub fence: Fence,
    /// The host that sends it.
    pub sender: host::Id,
    /// The run of the sender's process.
    pub incarnation: host::Incarnation,
    /// The requested operation.
    pub action: Action,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ack {
    /// Accepted; the next load reports show the progress.
    Accepted,
    /// Refused, because the engine has seen a higher fencing number.
    Stale {
        /// The highest number that the engine has seen.
        highest: Fence,
    },
    /// Refused for another reason.
    Refused {
        /// The reason, in the engine's words.
        reason: String,
    },
}
