//! Adapters, small additions to a base model.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{memory::Mebibytes, model};

/// Name of an adapter, unique within its model.
pub type Id = Arc<str>;

/// An adapter as declared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Accelerator memory it takes, in MiB.
    pub memory: Mebibytes,
    /// The version in force.
    pub version: model::Version,
}
