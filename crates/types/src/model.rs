//! Models and their versions.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    adapter::{self, Adapter},
    backend,
    memory::Mebibytes,
};

/// Name of a model.
pub type Id = Arc<str>;

/// Name of a version of a model or an adapter.
pub type Version = Arc<str>;

/// A model as declared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The group of engines that holds it.
    pub group: backend::Group,
    /// The version in force.
    pub version: Version,
    /// Accelerator memory of its weights, in MiB.
    pub memory: Mebibytes,
    /// Accelerator memory kept for its KV cache on each replica, in MiB.
    #[serde(default)]
    pub kv: Mebibytes,
    /// Replicas wanted at the least; at least one.
    #[serde(default = "one")]
    pub replicas: u32,
    /// Adapters on top of it.
    #[serde(default)]
    pub adapters: BTreeMap<adapter::Id, Adapter>,
}

impl Model {
    /// What one replica takes without adapters, in MiB.
    pub fn footprint(&self) -> Mebibytes {
        self.memory + self.kv
    }
}

fn one() -> u32 {
    1
}

/// What a caller names: a model, or an adapter on it, as `model` or `model:adapter`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// The base model.
    pub model: Id,
    /// The adapter, if one is named.
    pub adapter: Option<adapter::Id>,
}

impl Name {
    /// Reads `model` or `model:adapter`.
    pub fn parse(text: &str) -> Name {
        match text.split_once(':') {
            Some((model, adapter)) => Name { model: model.into(), adapter: Some(adapter.into()) },
            None => Name { model: text.into(), adapter: None },
        }
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}:{adapter}", self.model),
            None => f.write_str(&self.model),
        }
    }
}
