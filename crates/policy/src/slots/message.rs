//! Messages on slots between hosts.

use serde::{Deserialize, Serialize};
use types::{backend, host};

use crate::quota::message::Clock;

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
    /// Entries, one for each server concerned.
    pub entries: Vec<Entry>,
}

/// Entry of a message for one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Entry {
    /// Server whose slots are concerned.
    pub server: backend::Id,
    /// What the sender uses, or what it grants.
    pub content: Content,
}

/// Use or grant of slots of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Content {
    /// What the sender uses and wants; replaces what it told before.
    Use(Use),
    /// Slots for the receiver.
    Grant(Grant),
}

/// What a host uses of a server's slots, and what it wants.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Use {
    /// Requests in flight, and grants that were read and neither used nor returned.
    pub taken: u32,
    /// Prompt tokens of these requests that wait to be prefilled.
    pub prefill: u32,
    /// Number of slots wanted beyond [`taken`](Self::taken).
    pub wanted: u32,
    /// Most urgent of the requests that want one.
    pub urgency: Urgency,
}

/// Urgency of a waiting request; the lowest value goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Urgency {
    /// Rank by priority, and within a priority by whether the request was sent to a server before,
    /// can be on time, or is late. 0 is the most urgent.
    pub rank: u8,
    /// Time in milliseconds until the request must start to be on time; 0 if it is late.
    pub slack_ms: u32,
}

/// Slots for a host, and what the granting host knows of the server.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Grant {
    /// Number of requests that the receiver may send.
    pub slots: u32,
    /// Requests of other hosts at the server, including those for which slots are granted.
    pub in_flight: u32,
    /// Prompt tokens of other hosts that wait to be prefilled there.
    pub prefill: u32,
    /// Number of slots that other hosts want beyond those granted.
    pub waiting: u32,
}
