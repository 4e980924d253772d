//! Membership of hosts and backend servers, and what spreads among hosts.
//!
//! Hosts are symmetric and keep nothing, the platform's list lags, and a fleet must not lose a
//! member that still answers. So membership rests on three kinds of evidence, the stronger first:
//! what a member says of itself, what this host saw of it, and what others tell. The platform's
//! list introduces members and marks leaving ones; absence from it, or an empty list, removes
//! nobody who answers.
//!
//! The protocol follows SWIM: each beat goes to one peer, a peer that does not answer is tried
//! through others before it is suspected, and a suspected host refutes by raising its epoch.
//! Differences: every exchange goes both ways, news that matters at once is pushed on at first
//! hearing, and `Gone` is never final: gone hosts are tried again, so that a healed cut or a
//! process that was paused comes back by itself.
//!
//! All of it is plain state: events and the time go in, [`gossip::Action`]s come out.

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

/// What a host is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Answers, or nothing speaks against it.
    Live,
    /// Does not answer; not yet given up.
    Suspected,
    /// About to stop; gets nothing new.
    Leaving,
    /// Given up until it answers again.
    Gone,
}

/// Health of a host, worse last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Answers.
    #[default]
    Live,
    /// Does not answer.
    Suspected,
    /// Given up.
    Gone,
}

/// How new a word about a host is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch {
    /// The run of its process.
    pub run: host::Incarnation,
    /// Suspicions that it has refuted in this run.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub refuted: u32,
}

/// Times and sizes of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Between beats in a small fleet.
    pub interval: Duration,
    /// Between beats in a fleet larger than `small`.
    pub wide_interval: Duration,
    /// Most hosts of a small fleet.
    pub small: usize,
    /// Peers that a host beats in turn before it picks others.
    pub view: usize,
    /// How long those peers stay.
    pub rotation: Duration,
    /// Peers that urgent news is pushed to at first hearing.
    pub fanout: usize,
    /// Peers that are asked to try a silent host.
    pub indirect: usize,
    /// How long an answer outweighs what others tell.
    pub fresh: Duration,
    /// From suspected to gone.
    pub suspicion: Duration,
    /// From gone and unlisted to forgotten.
    pub forget: Duration,
    /// How long a mark that others read off the platform's list holds without our own reading.
    pub mark: Duration,
    /// Longest fetch of a configuration before another peer is asked.
    pub fetch: Duration,
    /// Largest heartbeat, in bytes of JSON.
    pub message_bytes: usize,
    /// Most servers named in the in-flight digest of one heartbeat.
    pub digest: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_millis(250),
            wide_interval: Duration::from_millis(500),
            small: 16,
            view: 16,
            rotation: Duration::from_secs(60),
            fanout: 5,
            indirect: 3,
            fresh: Duration::from_secs(2),
            suspicion: Duration::from_secs(5),
            forget: Duration::from_secs(600),
            mark: Duration::from_secs(30),
            fetch: Duration::from_millis(500),
            message_bytes: 450,
            digest: 12,
        }
    }
}

impl Settings {
    /// Time between beats among this many hosts.
    pub fn pace(&self, hosts: usize) -> Duration {
        if hosts <= self.small { self.interval } else { self.wide_interval }
    }
}

fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
