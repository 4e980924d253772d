//! Adapters: small sets of weights that are applied on top of a base model.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{memory::Mebibytes, model};

/// Name of an adapter, unique within its model.
pub type Id = Arc<str>;

/// An adapter as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Accelerator memory that it takes while loaded, in MiB.
    pub memory: Mebibytes,
    /// The version that engines are to serve.
    pub version: model::Version,
}
