//! Membership of hosts and backend servers, and gossip among hosts.
//!
//! Hosts are symmetric and store nothing, the platform's list lags, and a fleet must not lose a
//! member that still answers. Membership therefore rests on three kinds of evidence, in descending
//! order of weight: what a member states about itself, what this host observed of it, and what
//! other hosts report. The platform's list introduces members and marks leaving ones; absence from
//! the list, or an empty list, removes no member that answers.
//!
//! The protocol follows SWIM: each heartbeat goes to one peer, a peer that does not answer is
//! probed through other hosts before it is suspected, and a suspected host refutes the suspicion by
//! raising its epoch. It differs in three points: every exchange is bidirectional, urgent updates
//! are pushed to several peers on first receipt, and `Gone` is never final: gone hosts are tried
//! again, so that a healed partition or a resumed process rejoins without intervention.
//!
//! The state machines are pure: events and the time go in, [`gossip::Action`]s come out.

pub mod backoff;
pub mod gossip;
pub mod heartbeat;
pub mod hosts;
pub mod queue;
pub mod rendezvous;
pub mod servers;
pub mod watch;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::host;

/// Standing of a host or a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Answers, or no evidence contradicts that.
    Live,
    /// Does not answer, but is not yet gone.
    Suspected,
    /// Is about to stop; gets no new work.
    Leaving,
    /// Has not answered for too long; live again once it answers.
    Gone,
}

/// Health of a host, ordered from best to worst.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Answers.
    #[default]
    Live,
    /// Does not answer; the suspicion timeout has not yet passed.
    Suspected,
    /// Did not answer within the suspicion timeout.
    Gone,
}

/// Version of a host's status; a higher one supersedes a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Incarnation of the host's process.
    pub run: host::Incarnation,
    /// Suspicions refuted within this incarnation.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub refuted: u32,
}

/// Intervals, timeouts and limits of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between heartbeats in a fleet of up to `small_fleet` hosts.
    pub interval: Duration,
    /// Time between heartbeats in a fleet of more than `small_fleet` hosts.
    pub large_fleet_interval: Duration,
    /// Largest number of hosts in a small fleet.
    pub small_fleet: usize,
    /// Number of peers that get heartbeats in turn before others are drawn.
    pub view_size: usize,
    /// Time after which a new set of those peers is drawn.
    pub rotation: Duration,
    /// Number of peers to which urgent updates are pushed on first receipt.
    pub fanout: usize,
    /// Number of peers asked to probe a host that does not answer.
    pub indirect_probes: usize,
    /// Time for which a host's own answer outweighs other hosts' reports about it.
    pub answer_validity: Duration,
    /// Time after which a suspected host is gone.
    pub suspicion_timeout: Duration,
    /// Time after which a host that is gone and not listed is forgotten.
    pub forget_after: Duration,
    /// Time for which another host's reading of a leaving mark in the platform's list counts
    /// without a reading of this host's own. Nothing reads this field: [`servers`] has a constant
    /// of the same value.
    pub reported_mark_validity: Duration,
    /// Timeout of a configuration fetch, after which another peer is asked.
    pub fetch_timeout: Duration,
    /// Maximum size of a heartbeat, in bytes of JSON.
    pub message_bytes: usize,
    /// Maximum number of servers in the in-flight digest of one heartbeat.
    pub digest_entries: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_millis(250),
            large_fleet_interval: Duration::from_millis(500),
            small_fleet: 16,
            view_size: 16,
            rotation: Duration::from_secs(60),
            fanout: 5,
            indirect_probes: 3,
            answer_validity: Duration::from_secs(2),
            suspicion_timeout: Duration::from_secs(5),
            forget_after: Duration::from_secs(600),
            reported_mark_validity: Duration::from_secs(30),
            fetch_timeout: Duration::from_millis(500),
            message_bytes: 450,
            digest_entries: 12,
        }
    }
}

impl Settings {
    /// Time between heartbeats in a fleet of `hosts`.
    pub fn pace(&self, hosts: usize) -> Duration {
        if hosts <= self.small_fleet { self.interval } else { self.large_fleet_interval }
    }
}

fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
