//! Messages on the quotas of customers between hosts.

use serde::{Deserialize, Serialize};
use types::{customer, host};

use crate::quota::message::Clock;

/// Thousandths of a unit of quota; messages have no fractions.
pub type Millis = u64;

/// Number of a token request; unique within a run of a host.
pub type RequestId = u64;

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
    /// Entries, one for each transfer, token request or answer; empty if only the clocks are
    /// exchanged.
    pub entries: Vec<Entry>,
}

/// Entry of a message for one customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Entry {
    /// Customer whose quota is concerned.
    pub customer: customer::Id,
    /// What is transferred, requested or answered.
    pub content: Content,
}

/// What an entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Content {
    /// Surplus that the sender has transferred to the receiver.
    Transfer {
        /// Total of the transfers between these two runs.
        total: Millis,
        /// Whether no other coordinator counts the sender among its reporters any more.
        is_confirmed: bool,
    },
    /// Answer to a transfer.
    Acknowledgement {
        /// Highest total of transfers that was received.
        total: Millis,
        /// Whether the coordinator's balance has no room for more.
        is_full: bool,
    },
    /// Token request. One that is sent again has the same number.
    Request {
        /// Number of the token request.
        id: RequestId,
        /// Tokens that the caller's request costs.
        cost: Millis,
        /// Tokens that the sender would like in addition.
        extra: Millis,
    },
    /// Answer to a token request that is granted.
    Grant {
        /// Number of the token request.
        id: RequestId,
        /// Tokens granted; the cost at least.
        tokens: Millis,
    },
    /// Answer to a token request that is denied.
    Denial {
        /// Number of the token request.
        id: RequestId,
        /// Time for which token requests are pointless, in milliseconds.
        empty_ms: u32,
        /// Time over which hosts spread their next token requests, in milliseconds.
        spread_ms: u32,
        /// Time after which the caller is likely to be admitted, in milliseconds.
        after_ms: u32,
    },
}

/// Converts tokens to thousandths, rounded down.
pub(super) fn millis(tokens: f64) -> Millis {
    (tokens.max(0.0) * 1e3) as Millis
}

/// Converts thousandths back to tokens.
pub(super) fn tokens(millis: Millis) -> f64 {
    millis as f64 / 1e3
}
