//! What may occupy accelerator memory on an engine.

use serde::{Deserialize, Serialize};

use crate::{adapter, memory::Mebibytes, model};

/// One thing that an engine loads or unloads.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// A version of a model.
    Model {
        /// The model.
        model: model::Id,
        /// Its version.
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
    /// The model that it is or belongs to.
    pub fn model(&self) -> &model::Id {
        match self {
            Unit::Model { model, .. } | Unit::Adapter { model, .. } => model,
        }
    }
}

/// How far a unit is on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Being loaded; memory already taken.
    Loading,
    /// Answers requests.
    Ready,
    /// Being unloaded; memory still taken.
    Unloading,
}

/// A unit on an engine, as the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// What it is.
    pub unit: Unit,
    /// Memory it takes, in MiB.
    pub memory: Mebibytes,
    /// How far it is.
    pub state: State,
}
