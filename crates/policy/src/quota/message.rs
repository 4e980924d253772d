//! What hosts tell each other of quotas.

use serde::{Deserialize, Serialize};
use types::{backend, host, time::Moment};

use super::limits::VersionedLimit;

/// Microseconds on the clock of one run of a host.
pub type Clock = u64;

/// Urgency of an ask for a permit that no request waits for yet.
pub const IDLE: u8 = u8::MAX;

/// A message from one host to another. It may be lost, late, or come twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Message {
    /// The sender's run.
    pub from: host::Incarnation,
    /// The receiver's run; none while it is not known.
    pub to: Option<host::Incarnation>,
    /// The sender's clock, later than in each message before.
    pub clock: Clock,
    /// The last of the receiver's clocks that the sender has read.
    pub echo: Clock,
    /// What it says, by server.
    pub entries: Vec<Entry>,
}

/// What a message says of one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Entry {
    /// The server.
    pub server: backend::Id,
    /// The last news of its limit that the sender has.
    pub limit: VersionedLimit,
    /// What is asked, or granted.
    pub content: Content,
}

/// What is asked, or granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Content {
    /// The sender asks for permits, and may lend its share.
    Request(Request),
    /// The receiver may send so many requests.
    Grant {
        /// Requests.
        permits: u32,
        /// Requests that wait for permits, over all hosts.
        waiting: u32,
    },
}

/// An ask for permits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Request {
    /// Permits that are wanted.
    pub wanted: u32,
    /// Rank of the most urgent request that wants one; 0 goes first.
    pub urgency: u8,
    /// Length of the lease on the sender's share, in ms; 0 if it is not lent.
    pub lease_ms: u32,
    /// Hosts that the sender counts.
    pub hosts: u32,
    /// Requests that the sender sent to the server just before it learnt of the limit.
    pub sent_before: u32,
}

/// A moment as a clock in a message.
pub fn clock(now: Moment) -> Clock {
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// A clock in a message as a moment.
pub fn moment(clock: Clock) -> Moment {
    Moment::from_micros(clock)
}
