//! Up to when a host knows all changes of the servers.
//!
//! News may wait in a host's link, or for its processor. An answer of the store therefore shows only
//! what the store had when it was asked. While a watch waits, nothing has changed, but a host knows
//! that only up to the time at which it last read its sockets, less the time that an answer may be
//! on its way. After a time in which it did not run, an answer may have arrived that its tasks have
//! not handled yet.

use types::prelude::*;

use super::MAX_KNOWN_AGE_SHARE;

/// Time that an answer may be on its way, as a share of the deadline for changes. As much is left of
/// the deadline for what follows.
const TRANSIT_SHARE: f64 = 1.0 - MAX_KNOWN_AGE_SHARE;

/// A watch that waits at the store.
#[derive(Clone, Copy, Debug)]
struct Watch {
    began: Moment,
    /// Time after which it may be stalled.
    trusted_until: Moment,
}

/// What a host can tell of the age of its knowledge of the servers.
#[derive(Debug)]
pub struct Knowledge {
    /// Time within which a change must be known.
    within: Duration,
    confirmed_at: Moment,
    watch: Option<Watch>,
    /// When the host last read its sockets.
    read_at: Moment,
    /// When the host last read its sockets after a time in which it did not.
    resumed_at: Moment,
}

impl Knowledge {
    /// Returns the knowledge of a host that knows no server, for changes that it must know `within`
    /// a time.
    pub fn new(within: Duration) -> Knowledge {
        Knowledge {
            within,
            confirmed_at: Moment::ZERO,
            watch: None,
            read_at: Moment::ZERO,
            resumed_at: Moment::ZERO,
        }
    }

    /// Records that the host reads its sockets.
    pub fn read(&mut self, now: Moment) {
        if self.read_at + self.transit() < now {
            self.confirm(self.known_at(now));
            self.resumed_at = now;
        }
        self.read_at = now;
    }

    /// Records that all changes up to a time are known.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records that a watch was started at the store, beside earlier ones that may be stalled.
    pub fn watch_started(&mut self, now: Moment, trust: Duration) {
        self.watch = Some(Watch { began: now, trusted_until: now.saturating_add(trust) });
    }

    /// Records that the store answered a watch that was started at `began`, or an earlier one. All
    /// changes are known that were before then or, while a watch waited, before the sockets were last
    /// read.
    pub fn watch_answered(&mut self, began: Moment, now: Moment) {
        self.confirm(began.max(self.known_at(now)));
        self.watch = None;
    }

    /// Records that no watch waits any more, as the last one failed.
    pub fn watch_failed(&mut self) {
        self.watch = None;
    }

    /// Returns the time up to which an answer has confirmed the known servers.
    pub fn confirmed_at(&self) -> Moment {
        self.confirmed_at
    }

    /// Returns the time up to which all changes are known.
    pub fn known_at(&self, now: Moment) -> Moment {
        let transit = self.transit();
        let is_waiting = |watch: &Watch| {
            let since = watch.began.max(self.resumed_at);
            now < watch.trusted_until && since + transit <= self.read_at
        };
        match self.watch.filter(is_waiting) {
            Some(_) => self.confirmed_at.max(self.read_at - transit),
            None => self.confirmed_at,
        }
    }

    /// Returns whether a server may have left so long ago that it must be left alone by now.
    pub fn is_outdated(&self, now: Moment) -> bool {
        let age = now.saturating_sub(self.known_at(now));
        self.within.mul_f64(MAX_KNOWN_AGE_SHARE) < age
    }

    fn transit(&self) -> Duration {
        self.within.mul_f64(TRANSIT_SHARE)
    }
}
