//! Customers on whose behalf services run.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a customer.
pub type Id = Arc<str>;

/// A customer as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Weight relative to other customers while requests queue; positive.
    #[serde(default = "one")]
    pub share: u32,
}

fn one() -> u32 {
    1
}
