//! The lease object, and the requests to the store about it.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Revision that the store assigns to a change; later changes of any object have higher ones.
pub type Revision = u64;

/// Number of a write among those of one incarnation.
pub type Nonce = u64;

/// Lease, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Host that wrote the lease.
    pub holder: host::Id,
    /// Incarnation of that host's process; unique, so that no incarnation takes another's write for
    /// its own.
    pub incarnation: host::Incarnation,
    /// Distinguishes the writes of one incarnation.
    pub nonce: Nonce,
    /// Claim of the holder.
    pub claim: Claim,
}

/// Claim that a holder makes by a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// The holder may send orders for this long after it sent this write. The term is part of the
    /// lease, so that hosts with different settings agree on it.
    Held(#[serde(with = "types::time::millis")] Duration),
    /// The holder sends no more orders; another host may, this long after it received this lease.
    Released(#[serde(with = "types::time::millis")] Duration),
}

/// Lease with its revision in the store.
pub type StoredLease = (Revision, Lease);

/// Next request to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// No request.
    Idle,
    /// Read the lease and pass it to [`OrderLease::observe`](super::OrderLease::observe).
    Read,
    /// Write the lease if none exists, and pass the outcome to
    /// [`OrderLease::write_finished`](super::OrderLease::write_finished).
    Create(Lease),
    /// Write the lease if it still has this revision, and pass the outcome to
    /// [`OrderLease::write_finished`](super::OrderLease::write_finished).
    Replace(Revision, Lease),
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The write was applied, under this revision.
    Done(Revision),
    /// The condition did not hold; contains the stored lease if the store returned it.
    Conflict(Option<StoredLease>),
    /// There is no lease to replace.
    Absent,
    /// The store rejected the write and will not apply it.
    Refused,
    /// No answer; the write may have been applied, or may still be.
    Unknown,
}
