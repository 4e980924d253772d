//! Latency targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Latency target for the requests of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time to the first token, or to the head of a plain service's response; milliseconds in JSON.
    #[serde(rename = "first_token_ms", with = "crate::time::millis")]
    pub first_token: Duration,
    /// Mean time between tokens after the first; milliseconds in JSON.
    #[serde(rename = "between_tokens_ms", with = "crate::time::millis", default = "unbounded")]
    pub between_tokens: Duration,
}

/// A target so long that every response meets it.
fn unbounded() -> Duration {
    Duration::from_secs(3600)
}
