//! When a host that follows the servers makes its next call.
//!
//! What a host knows of the servers has an age: the time since its knowledge was last known to be
//! complete. A change must be known `within` a time after its acknowledgement, so the age must
//! never exceed [`MAX_KNOWN_AGE_SHARE`] of that time. All times are therefore counted from the moment at which the knowledge
//! was complete, not from the end of the call before:
//!
//! | age, as a share of `within` | what happens |
//! |---|---|
//! | up to [`PEER_START_SHARE`] | another host is asked, [`PEER_INTERVAL_SHARE`] after the last call or sooner |
//! | up to [`PEER_END_SHARE`] | further hosts are asked, each for up to [`PEER_TIMEOUT_SHARE`] |
//! | from then on | the store is asked |
//!
//! The rest, up to [`MAX_KNOWN_AGE_SHARE`], is left for the store's response.

use types::prelude::*;

use super::MAX_PAUSE_SHARE;

/// Age that the host's knowledge must not exceed.
pub const MAX_KNOWN_AGE_SHARE: f64 = 0.9;

/// Interval between two calls to another host.
const PEER_INTERVAL_SHARE: f64 = 0.3;

/// Age at which another host is asked at the latest.
const PEER_START_SHARE: f64 = 0.55;

/// Timeout of a call to another host.
const PEER_TIMEOUT_SHARE: f64 = 0.1;

/// Age at which the last call to another host has ended.
const PEER_END_SHARE: f64 = 0.75;

/// Age of another host's knowledge up to which it counts. The rest up to [`PEER_START_SHARE`] is a
/// pause, so that a host whose knowledge is old is not asked all the time.
const PEER_AGE_SHARE: f64 = 0.45;

/// The next call of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask another host.
    Peer {
        /// When to make the call.
        at: Moment,
        /// Time to wait for the response.
        timeout: Duration,
    },
    /// Start a watch at the store.
    Store {
        /// When to start it.
        at: Moment,
    },
}

/// State of a host's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The last call confirmed what the host knows. Without another host to ask, the store is called
    /// at this time.
    Confirmed(Moment),
    /// A host that was asked did not respond.
    Unanswered,
    /// The store is to be asked, whether or not there are other hosts.
    Store,
}

/// Schedule of the calls by which a host follows the servers.
#[derive(Debug)]
pub struct Schedule {
    within: Duration,
    known_at: Moment,
    phase: Phase,
}

impl Schedule {
    /// Returns the schedule of a host that knows all servers as of `now`, for changes that it must
    /// know `within` a time.
    pub fn new(now: Moment, within: Duration) -> Schedule {
        Schedule { within, known_at: now, phase: Phase::Confirmed(now) }
    }

    /// Returns the interval between two calls to another host.
    pub fn peer_interval(&self) -> Duration {
        self.share(PEER_INTERVAL_SHARE)
    }

    /// Returns the timeout of a call to another host.
    pub fn peer_timeout(&self) -> Duration {
        self.share(PEER_TIMEOUT_SHARE)
    }

    /// Returns the next call. `has_peer` states whether there is a host to ask.
    pub fn next(&self, now: Moment, has_peer: bool) -> Step {
        let timeout = self.peer_timeout();
        match self.phase {
            Phase::Confirmed(_) if has_peer => {
                let latest = self.known_at + self.share(PEER_START_SHARE);
                let at = latest.min(now + self.peer_interval()).max(now);
                Step::Peer { at, timeout }
            }
            Phase::Confirmed(due) => {
                let latest = self.known_at + self.share(MAX_PAUSE_SHARE);
                Step::Store { at: due.min(latest).max(now) }
            }
            Phase::Unanswered if has_peer && now + timeout <= self.peers_end() => {
                Step::Peer { at: now, timeout }
            }
            Phase::Unanswered | Phase::Store => Step::Store { at: now },
        }
    }

    /// Records that the host that was asked did not respond, or that there is none any more.
    pub fn peer_failed(&mut self) {
        self.phase = Phase::Unanswered;
    }

    /// Records a response of another host whose knowledge is of this age. Returns whether it is
    /// recent enough; otherwise the store is asked next.
    pub fn peer_responded(&mut self, now: Moment, age: Duration) -> bool {
        let is_recent = age <= self.share(PEER_AGE_SHARE);
        if is_recent {
            self.known_at = self.known_at.max(now.saturating_sub(age));
            self.phase = Phase::Confirmed(now);
        } else {
            self.phase = Phase::Store;
        }
        is_recent
    }

    /// Records a response of the store, with which all changes up to `known_at` are known, and the
    /// pause after it if there is no host to ask.
    pub fn store_responded(&mut self, now: Moment, known_at: Moment, pause: Duration) {
        self.known_at = self.known_at.max(known_at);
        self.phase = Phase::Confirmed(now + pause);
    }

    /// Records a failure of the store.
    pub fn store_failed(&mut self) {
        self.phase = Phase::Store;
    }

    fn peers_end(&self) -> Moment {
        self.known_at + self.share(PEER_END_SHARE)
    }

    fn share(&self, share: f64) -> Duration {
        self.within.mul_f64(share)
    }
}
