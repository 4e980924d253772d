//! What hosts tell each other in a heartbeat.
//!
//! The same shape goes out and comes back. It is bounded in size, whatever the size of the fleet:
//! news that does not fit waits for a later beat.

use serde::{Deserialize, Serialize};
use types::{backend, config, host};

use super::{Epoch, Health, is_zero, servers::Observation};

/// One heartbeat, or the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's word on itself.
    pub from: Status,
    /// The sender's hybrid logical clock, for the order of events; set by who sends it on, and no
    /// decision goes by it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stamp: u64,
    /// Number of the configuration that the sender holds in full.
    pub number: config::Number,
    /// Version of the quarantine that the sender holds in full.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub quarantine: u64,
    /// Age of the newest proof, seen by anyone, that the platform answers; milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_ms: Option<u64>,
    /// What the sender holds of the receiver, when it is not live.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accused: Option<Status>,
    /// Whether the receiver should say who and where it is.
    #[serde(default, skip_serializing_if = "is_false")]
    pub introduce: bool,
    /// News that spreads.
    #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// The sender's own requests in flight; servers that are left out have none, or did not fit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub in_flight: Vec<InFlight>,
}

/// A word on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub id: host::Id,
    /// How new it is.
    #[serde(flatten)]
    pub epoch: Epoch,
    /// Its health.
    #[serde(default, skip_serializing_if = "is_live")]
    pub health: Health,
    /// Whether it is leaving.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// Who and where it is, for those who may not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Box<host::Host>>,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// On a host.
    Host(Status),
    /// On a backend server.
    Server(Observation),
}

/// What is told by number, and fetched by those who lack it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// The declared configuration.
    Config,
    /// The requests that are known to crash servers.
    Quarantine,
}

/// Requests that one host has in flight on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight(pub backend::Id, pub u32);

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_live(health: &Health) -> bool {
    *health == Health::Live
}
