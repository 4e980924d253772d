//! Models and adapters in an engine's accelerator memory.

use serde::{Deserialize, Serialize};

use crate::{adapter, memory::Mebibytes, model};

/// A model or adapter of one version: what an engine loads and unloads as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// A version of a model.
    Model {
        /// The model.
        model: model::Id,
        /// The model's version.
        version: model::Version,
    },
    /// A version of an adapter.
    Adapter {
        /// The base model.
        model: model::Id,
        /// The adapter.
        adapter: adapter::Id,
        /// The adapter's version.
        version: model::Version,
    },
}

impl Unit {
    /// Returns the model, or the base model of an adapter.
    pub fn model(&self) -> &model::Id {
        match self {
            Unit::Model { model, .. } | Unit::Adapter { model, .. } => model,
        }
    }
}

/// Load state of a unit on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Being loaded; its memory is already taken.
    Loading,
    /// Loaded and able to serve requests.
    Ready,
    /// Being unloaded; its memory is still taken.
    Unloading,
}

/// A unit in an engine's memory, as the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// The model or adapter.
    pub unit: Unit,
    /// Memory that it takes, in MiB.
    pub memory: Mebibytes,
    /// How far loading or unloading has progressed.
    pub state: State,
}
