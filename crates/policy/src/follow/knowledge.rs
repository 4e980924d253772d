//! Up to when a host knows all changes of the servers.
//!
//! News may wait in a host's link, or for its processor, and a store that falls silent forgets the
//! watches that were sent to it. So only answers show what the store had, and an answer shows only
//! what it had when it was asked. A watch that was answered had waited at the store until then: it
//! shows all changes up to the time at which the host last read its sockets, less the time that an
//! answer may be on its way. After a time in which the host did not run, the answer may have
//! arrived at any time before.

use types::prelude::*;

use super::MAX_KNOWN_AGE_SHARE;

/// Time that an answer may be on its way, as a share of the deadline for changes. As much is left of
/// the deadline for what follows.
const TRANSIT_SHARE: f64 = 1.0 - MAX_KNOWN_AGE_SHARE;

/// What a host can tell of the age of its knowledge of the servers.
#[derive(Debug)]
pub struct Knowledge {
    /// Time within which a change must be known.
    within: Duration,
    confirmed_at: Moment,
    /// When the host last read its sockets.
    read_at: Moment,
    /// When the host last read its sockets after a time in which it did not.
    resumed_at: Moment,
}

impl Knowledge {
    /// Returns the knowledge of a host that knows no server, for changes that it must know `within`
    /// a time.
    pub fn new(within: Duration) -> Knowledge {
        let (confirmed_at, read_at, resumed_at) = (Moment::ZERO, Moment::ZERO, Moment::ZERO);
        Knowledge { within, confirmed_at, read_at, resumed_at }
    }

    /// Records that the host reads its sockets.
    pub fn read(&mut self, now: Moment) {
        if self.read_at + self.transit() < now {
            self.resumed_at = now;
        }
        self.read_at = now;
    }

    /// Records that all changes up to a time are known.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records that the store answered a watch that was started at `began`.
    pub fn watch_answered(&mut self, began: Moment) {
        let has_waited = began.max(self.resumed_at) + self.transit() <= self.read_at;
        self.confirm(if has_waited { self.read_at - self.transit() } else { began });
    }

    /// Returns the time up to which all changes are known.
    pub fn confirmed_at(&self) -> Moment {
        self.confirmed_at
    }

    /// Returns whether a server may have left so long ago that it must be left alone by now.
    pub fn is_outdated(&self, now: Moment) -> bool {
        let age = now.saturating_sub(self.confirmed_at);
        self.within.mul_f64(MAX_KNOWN_AGE_SHARE) < age
    }

    fn transit(&self) -> Duration {
        self.within.mul_f64(TRANSIT_SHARE)
    }
}
