//! Messages on quotas between hosts.

use serde::{Deserialize, Serialize};
use types::{backend, host, time::Moment};

use super::limits::Limit;

/// Clock of one run of a host, in microseconds.
pub type Clock = u64;

/// Urgency of a request for a permit that no request waits for yet.
pub const IDLE: u8 = u8::MAX;

/// Message from one host to another. May be lost, late or duplicated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Message {
    /// Incarnation of the sender's process.
    pub from: host::Incarnation,
    /// Incarnation of the receiver's process; `None` while the sender does not know it.
    pub to: Option<host::Incarnation>,
    /// Clock of the sender; rises with each message.
    pub clock: Clock,
    /// Latest clock of the receiver that the sender has read; 0 before the first.
    pub echo: Clock,
    /// Entries, one for each server concerned; empty if only the clocks are exchanged.
    pub entries: Vec<Entry>,
}

/// Entry of a message for one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Entry {
    /// Server whose quota is concerned.
    pub server: backend::Id,
    /// Latest limit of the server that the sender knows.
    pub limit: Limit,
    /// Permit request or grant.
    pub content: Content,
}

/// Permit request or grant for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Content {
    /// Permit request of the sender, which may lend its share with it.
    Request(Request),
    /// Grant to the receiver.
    Grant {
        /// Number of requests that the receiver may send.
        permits: u32,
        /// Number of requests of all hosts that wait for permits at the sender.
        waiting: u32,
    },
}

/// Request for permits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Request {
    /// Number of permits requested; may be 0, as when only a lease is renewed.
    pub wanted: u32,
    /// Priority of the most urgent waiting request, 0 being the most urgent, or [`IDLE`].
    pub urgency: u8,
    /// Length of the lease of the sender's share, in milliseconds; 0 if the share is not lent.
    pub lease_ms: u32,
    /// Number of hosts that share the quota, as the sender counts them.
    pub hosts: u32,
    /// Number of requests that the sender sent to the server just before it knew of the limit.
    pub sent_before: u32,
}

/// Converts a moment of this host to a clock in a message.
pub fn clock(now: Moment) -> Clock {
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a clock in a message, of this host, back to a moment.
pub fn moment(clock: Clock) -> Moment {
    Moment::from_micros(clock)
}
