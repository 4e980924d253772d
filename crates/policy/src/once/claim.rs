//! Claims and the answers to them.

use types::{request, request::Ran, time::Moment};

use super::{HostRun, Key, Outcome, TimedKey};

/// Claim of a key for a request that is to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Id of the request, unique among all requests.
    pub id: request::Id,
    /// Key of the request.
    pub key: TimedKey,
    /// Digest of the request's content, shortened to 64 bits.
    pub digest: u64,
    /// Run of the host that will dispatch the request.
    pub claimant: HostRun,
    /// When the claim was made; its time-out and the length of its grant count from then.
    pub made_at: Moment,
}

impl Claim {
    /// Shortens the digest of a request's content to its first 64 bits.
    pub fn shorten(digest: &request::Digest) -> u64 {
        digest.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The request may be dispatched once, before the given moment of the host that decided.
    Granted {
        /// When the grant ends.
        until: Moment,
    },
    /// Another request claimed this key and has not reported its outcome.
    ///
    /// Answered as "still running" while the claimant is alive, otherwise as "may have run".
    Claimed {
        /// Run of the host that claimed the key.
        claimant: HostRun,
    },
    /// The request ran before, with this outcome.
    Done(Outcome),
    /// The claim is not granted.
    Refused(Refusal),
}

/// Reason for which a claim is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The key was used for a request with other content.
    Different,
    /// The key's time lies further ahead than the clocks allow.
    Ahead,
    /// The key's time is so old that its entry may have been forgotten.
    Old,
    /// The request may have run: its outcome was lost, or a former holder may have granted the key.
    Unsure,
    /// The object API did not show in time whether the key was claimed.
    Unread,
    /// The object API showed that the key was free, and did not accept the claim in time.
    Unwritten,
    /// The object of the range has reached its size limit.
    Full,
}

impl Refusal {
    /// What the refusal says of the request's run, by this send or an earlier one.
    ///
    /// A caller that sends a key again also asks whether the first send ran, so "did not run"
    /// requires a read of the range's object that is no older than this send. A request with
    /// another request's key did not run itself, whatever became of the first request with that
    /// key.
    pub fn ran(self) -> Ran {
        match self {
            Refusal::Different | Refusal::Ahead | Refusal::Unwritten | Refusal::Full => {
                Ran::DidNotRun
            }
            Refusal::Old | Refusal::Unsure | Refusal::Unread => Ran::MayHaveRun,
        }
    }

    /// Whether the refusal is true only if the key was free when the request arrived.
    pub(super) fn needs_fresh_read(self) -> bool {
        self != Refusal::Different && self.ran() == Ran::DidNotRun
    }
}

/// Answer to a waiting claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// Id of the claim's request.
    pub id: request::Id,
    /// Key of the claim.
    pub key: Key,
    /// Decision on the claim.
    pub verdict: Verdict,
}

/// Report of a host on the end of its own claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// Id of the claim's request.
    pub id: request::Id,
    /// Key of the claim.
    pub key: Key,
    /// How the claim ended.
    pub end: End,
}

/// End of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// The request ran.
    Ran(Outcome),
    /// The request was dispatched, and its outcome will never be known.
    Lost,
    /// The request was not dispatched and never will be.
    Released,
}
