//! Heartbeat messages.
//!
//! A heartbeat and its answer have the same form. Their size is bounded whatever the size of the
//! fleet: updates that do not fit wait for a later heartbeat.

use serde::{Deserialize, Serialize};
use types::{backend, config, host};

use super::{Epoch, Health, is_zero, servers::Observation};

/// Heartbeat, or the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Status of the sender.
    pub from: Status,
    /// Hybrid logical clock of the sender, for ordering events; set by the caller that sends the
    /// heartbeat. No decision uses it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stamp: u64,
    /// Number of the newest configuration that the sender has complete.
    pub number: config::Number,
    /// Version of the newest quarantine that the sender has complete.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub quarantine: u64,
    /// Age of the newest proof, obtained by any host, that the platform answers; in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_ms: Option<u64>,
    /// Status that the sender has for the receiver, if it is not live.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accused: Option<Status>,
    /// Whether the receiver is asked for its name and addresses.
    #[serde(default, skip_serializing_if = "is_false")]
    pub introduce: bool,
    /// Gossiped updates.
    #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// Requests that the sender has in flight; servers left out have none, or did not fit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub in_flight: Vec<InFlight>,
}

/// Gossiped status of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Host that the status is about.
    pub id: host::Id,
    /// Version of the status.
    #[serde(flatten)]
    pub epoch: Epoch,
    /// Health of the host.
    #[serde(default, skip_serializing_if = "is_live")]
    pub health: Health,
    /// Whether the host is about to stop.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// Name and addresses of the host, for receivers that may not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Box<host::Host>>,
}

/// Gossiped update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// Status of a host.
    Host(Status),
    /// Observation of a backend server.
    Server(Observation),
}

/// Data whose version is gossiped and which a host with a lower version fetches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// Declared configuration.
    Config,
    /// Requests known to crash servers.
    Quarantine,
}

/// Number of requests that one host has in flight on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight(pub backend::Id, pub u32);

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_live(health: &Health) -> bool {
    *health == Health::Live
}
