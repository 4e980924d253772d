//! The lease object, and what is asked of the store about it.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Number that the store gives to a change; later changes of any object have higher ones.
pub type Revision = u64;

/// Number of one write among those of an incarnation.
pub type Nonce = u64;

/// The lease, as kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The host that wrote it.
    pub holder: host::Id,
    /// The run of that host's process; unique, so that no run takes another's write for its own.
    pub incarnation: host::Incarnation,
    /// Tells the writes of one run apart.
    pub nonce: Nonce,
    /// What the holder claims.
    pub claim: Claim,
}

/// What a holder claims by a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// It may send orders for this long after it sent this write. The term stands here, so that
    /// hosts whose settings differ still agree on it.
    Held(#[serde(with = "types::time::millis")] Duration),
    /// It sends none any more; another host may, this long after it learned of this write.
    Released(#[serde(with = "types::time::millis")] Duration),
}

/// The lease as the store holds it.
pub type Stored = (Revision, Lease);

/// What a host is to ask of the store now.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing.
    Idle,
    /// Read the lease, and pass it to `observe`.
    Read,
    /// Write it if there is none, and pass the outcome to `write_finished`.
    Create(Lease),
    /// Write it if it still has this revision, and pass the outcome to `write_finished`.
    Replace(Revision, Lease),
}

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was carried out, under this revision.
    Done(Revision),
    /// Its condition did not hold; the lease as it is, if the store said.
    Conflict(Option<Stored>),
    /// There is no lease to replace.
    Absent,
    /// The store refused it, and will not carry it out.
    Refused,
    /// No answer; it may have been carried out, or may be yet.
    Unclear,
}
