//! Services that callers use.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{backend, customer, model, priority::Priority, target::Target};

/// Name of a service.
pub type Id = Arc<str>;

/// What a service offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Offer {
    /// Calls to models, on the engines that hold them.
    Models(Vec<model::Id>),
    /// Calls passed on to plain backend servers of this group.
    Plain(backend::Group),
}

/// A service as declared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The customer on whose behalf it runs.
    pub customer: customer::Id,
    /// What it offers.
    pub offer: Offer,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: Priority,
    /// Latency target of its requests.
    pub target: Target,
    /// Methods whose requests run at most once, such as `POST`.
    #[serde(default)]
    pub non_idempotent: Vec<Arc<str>>,
    /// Weight among services of the same priority; positive.
    #[serde(default = "one")]
    pub share: u32,
}

impl Service {
    /// Whether this method's requests run at most once.
    pub fn is_non_idempotent(&self, method: &str) -> bool {
        self.non_idempotent.iter().any(|m| &**m == method)
    }
}

fn one() -> u32 {
    1
}
