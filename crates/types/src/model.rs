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

/// A model as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The group of engines that serve it.
    pub group: backend::Group,
    /// The version that engines are to serve.
    pub version: Version,
    /// Accelerator memory of its weights, in MiB.
    pub memory: Mebibytes,
    /// Accelerator memory reserved for its KV cache on each replica, in MiB.
    #[serde(default)]
    pub kv: Mebibytes,
    /// Minimum number of replicas; at least one.
    #[serde(default = "one")]
    pub replicas: u32,
    /// Adapters of this model, by name.
    #[serde(default)]
    pub adapters: BTreeMap<adapter::Id, Adapter>,
}

impl Model {
    /// Returns the memory that one replica takes without adapters, in MiB.
    pub fn footprint(&self) -> Mebibytes {
        self.memory + self.kv
    }
}

fn one() -> u32 {
    1
}

/// A model, or an adapter of one, as a caller names it: `model` or `model:adapter`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// The base model.
    pub model: Id,
    /// The adapter; `None` if the base model itself is named.
    pub adapter: Option<adapter::Id>,
}

impl Name {
    /// Parses `model` or `model:adapter`; the model's name ends at the first colon.
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
