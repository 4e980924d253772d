//! Services that callers send requests to.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{backend, customer, model, priority::Priority, target::Target};

/// Name of a service.
pub type Id = Arc<str>;

/// The kind of backend that a service gives access to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Offer {
    /// Calls to these models, on engines that have them loaded.
    Models(Vec<model::Id>),
    /// Calls forwarded to plain backend servers of this group.
    Plain(backend::Group),
}

/// A service as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The customer on whose behalf it runs.
    pub customer: customer::Id,
    /// The models or the group of servers that it gives access to.
    pub offer: Offer,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: Priority,
    /// Latency target of its requests.
    pub target: Target,
    /// HTTP methods whose requests are executed at most once, such as `POST`.
    #[serde(default)]
    pub non_idempotent: Vec<Arc<str>>,
    /// Weight relative to other services of the same priority; positive.
    #[serde(default = "one")]
    pub share: u32,
}

impl Service {
    /// Returns whether requests with this HTTP method are executed at most once.
    pub fn is_non_idempotent(&self, method: &str) -> bool {
        self.non_idempotent.iter().any(|m| &**m == method)
    }
}

fn one() -> u32 {
    1
}
