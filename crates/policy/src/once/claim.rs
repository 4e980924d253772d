//! Claims and what is answered to them.

use types::{request, request::Ran, time::Moment};

use super::{HostRun, Key, Outcome, TimedKey};

/// A request that wants to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Its name, which no other request has.
    pub id: request::Id,
    /// Its key.
    pub key: TimedKey,
    /// Digest of what it asks, shortened.
    pub digest: u64,
    /// The run of the host that will dispatch it.
    pub claimant: HostRun,
    /// When it was asked for.
    pub asked: Moment,
}

impl Claim {
    /// Shortens the digest of what a request asks.
    pub fn shorten(digest: &request::Digest) -> u64 {
        digest.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}

/// What is decided on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// May be dispatched, once, before this moment of the host that decided.
    Granted {
        /// When the grant ends.
        until: Moment,
    },
    /// Another request claimed this key and has not told its outcome.
    ///
    /// "Still running" while its claimant is there, otherwise "may have run".
    Claimed {
        /// The run of the host that claimed it.
        claimant: HostRun,
    },
    /// Ran before, with this outcome.
    Done(Outcome),
    /// Not granted.
    Refused(Refusal),
}

/// Why a claim is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The key was used for a request that asks something else.
    Different,
    /// The key's time is further ahead than a host's clock may be.
    Ahead,
    /// The key's time is so old that its entry may have been forgotten.
    Old,
    /// The key may have run: its outcome was lost, or a former holder may have granted it.
    Unsure,
    /// The object API did not show in time whether the key was claimed.
    Unread,
    /// The object API showed that the key was free, and did not take the claim in time.
    Unwritten,
    /// The range holds as many keys as it may.
    Full,
}

impl Refusal {
    /// What it says of the request's run, by this send or an earlier one.
    ///
    /// A caller that sends a key again asks for the fate of the first send too, so "did not run"
    /// needs a look at the range's object that is no older than the send. A request with another's
    /// key did not run itself, whatever the key's first one did.
    pub fn ran(self) -> Ran {
        match self {
            Refusal::Different | Refusal::Ahead | Refusal::Unwritten | Refusal::Full => {
                Ran::DidNotRun
            }
            Refusal::Old | Refusal::Unsure | Refusal::Unread => Ran::MayHaveRun,
        }
    }

    /// Whether it holds only if the key was free when the request came.
    pub(super) fn needs_fresh_read(self) -> bool {
        self != Refusal::Different && self.ran() == Ran::DidNotRun
    }
}

/// The verdict on one of the claims that waited.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// The claim's name.
    pub id: request::Id,
    /// Its key.
    pub key: Key,
    /// What was decided.
    pub verdict: Verdict,
}

/// What a host tells of a claim of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// The claim's name.
    pub id: request::Id,
    /// Its key.
    pub key: Key,
    /// How it ended.
    pub end: End,
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It ran.
    Ran(Outcome),
    /// It was dispatched, and how it went will never be known.
    Lost,
    /// It was not dispatched and never will be.
    Released,
}
