//! Times for which a server wants no requests from this host.
//!
//! A server that rejects a request may state for how long it wants no more. After that time it gets a
//! few requests at first, and more only once it has accepted one or some time has passed: otherwise
//! all requests that have waited would be sent at once.

use types::prelude::*;

/// Longest time that a server can ask for, so that a mistake in one answer does not take the server
/// out of use for long.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Interval at which one more request may be sent after the time, until one is accepted.
const SLOW_START_INTERVAL: Duration = Duration::from_millis(250);

/// Number of intervals after which a server is used like any other.
const SLOW_START_INTERVALS: u32 = 8;

/// The back-off of one server.
#[derive(Clone, Debug, Default)]
pub struct BackOff {
    /// When the last time ends or ended; `None` without a time that matters any more.
    until: Option<Moment>,
    /// Requests sent since then.
    sent: u32,
}

impl BackOff {
    /// Records that the server asks for a time. A shorter time does not end a longer one.
    pub fn extend(&mut self, time: Duration, now: Moment) {
        if time.is_zero() {
            return;
        }
        let until = now + time.min(MAX_TIME);
        self.until = self.until.max(Some(until));
        self.sent = 0;
    }

    /// Whether the server wants no requests now.
    pub fn is_active(&self, now: Moment) -> bool {
        !self.left(now).is_zero()
    }

    /// Time until the server wants requests again.
    pub fn left(&self, now: Moment) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    /// Whether the server may be sent one more request now.
    pub fn has_room(&self, now: Moment) -> bool {
        let Some(until) = self.until else { return true };
        let Some(since) = now.checked_sub(until) else { return false };
        let intervals = since.as_millis() / SLOW_START_INTERVAL.as_millis();
        u128::from(SLOW_START_INTERVALS) <= intervals || u128::from(self.sent) <= intervals
    }

    /// Records that a request is assigned to the server.
    pub fn sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Records that the server has accepted a request that was sent at this time.
    pub fn accepted(&mut self, sent_at: Moment) {
        if self.until.is_some_and(|until| until <= sent_at) {
            self.until = None;
        }
    }
}
