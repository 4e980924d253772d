//! Settings of a deployment that routes requests by host and path.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::time::{millis, seconds};

/// Settings of a routed deployment. Routes, services and engines are not among them; operators
/// declare these in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedSettings {
    /// Protocol of callers, servers and the store.
    pub dialect: Dialect,
    /// Time within which a new declaration must be in force; milliseconds in JSON.
    #[serde(rename = "apply_ms", with = "millis")]
    pub apply: Duration,
    /// Time after which a leaving server must not be sent new requests; milliseconds in JSON.
    #[serde(rename = "drain_ms", with = "millis")]
    pub drain: Duration,
    /// Time from SIGTERM until the process is killed; seconds in JSON.
    #[serde(rename = "grace_s", with = "seconds")]
    pub grace: Duration,
    /// Minimum time between the orders of two different hosts to one server; milliseconds in JSON.
    #[serde(rename = "turn_ms", with = "millis")]
    pub turn: Duration,
    /// Retry budget, shared by all hosts.
    pub retry: Retry,
    /// Additional port that serves the metrics, at the IP address of the operators' listener. If
    /// none, only the operators' listener serves them.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// What the removal of a caller's key means for running requests.
    #[serde(default)]
    pub revocation: Revocation,
}

/// What the removal of a caller's key means for running requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Revocation {
    /// Whether requests that run when their key is removed are ended.
    #[serde(default)]
    pub strict: bool,
    /// Time after the removal within which they must have ended; milliseconds in JSON.
    #[serde(rename = "within_ms", with = "millis", default = "default_within")]
    pub within: Duration,
}

impl Default for Revocation {
    fn default() -> Revocation {
        Revocation { strict: false, within: default_within() }
    }
}

fn default_within() -> Duration {
    Duration::from_secs(5)
}

/// Protocol of callers, servers and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dialect {
    /// The protocol of the users' platform.
    Platform,
}

/// Retry budget of all hosts together: `ratio` times the requests in a sliding window, plus
/// `extra`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Allowed retries, as a fraction of a service's requests in the window.
    pub ratio: f64,
    /// Additional retries per window, for all hosts together.
    pub extra: f64,
    /// Length of the sliding window; seconds in JSON.
    #[serde(rename = "window_s", with = "seconds")]
    pub window: Duration,
}
