//! Deferral of requests that can wait in favour of requests that can't.
//!
//! A request whose goal leaves it at least [`MIN_SLACK`] beyond its expected service time is
//! deferrable. It gets a free slot of a server only beyond a reserve. The reserve of a service is
//! what its urgent requests used and waited for at their peak within [`WINDOW`], beyond what they
//! use now. The part of the reserve that a request leaves free falls to zero while its slack is used
//! up, so that it is served in time, and nothing starves.
//!
//! Hosts tell each other their deferrable requests in flight and waiting. What else is in flight at
//! the servers is urgent. A host that doesn't hear of the others' computes the reserve from its own
//! urgent requests.

use std::collections::VecDeque;

use types::prelude::*;

/// Least slack of a deferrable request.
pub const MIN_SLACK: Duration = Duration::from_secs(2);

/// Time for which a peak of urgent use counts. Bursts last for some seconds and follow each other
/// closely; a longer window would hold slots back through most of a trough.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Time in which a request may be deferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deferral {
    since: Moment,
    until: Moment,
}

impl Deferral {
    /// Returns how a request with this slack may be deferred from now on; `None` if it is urgent.
    /// After `until`, the request would be late, or its caller's deadline is near.
    #[must_use]
    pub fn new(slack: Duration, until: Moment, now: Moment) -> Option<Deferral> {
        (MIN_SLACK <= slack && now < until).then_some(Deferral { since: now, until })
    }

    /// Part of the reserve that the request leaves free, from 1 down to 0.
    #[must_use]
    pub fn part(&self, now: Moment) -> f64 {
        let whole = self.until.saturating_sub(self.since).as_secs_f64();
        let left = self.until.saturating_sub(now).as_secs_f64();
        if whole <= 0.0 { 0.0 } else { (left / whole).min(1.0) }
    }
}

/// Slots of one service that deferrable requests leave free.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    /// Urgent use by time; each value is higher than all later ones.
    peaks: VecDeque<(Moment, f64)>,
    used: f64,
}

impl Reserve {
    /// Records the slots that urgent requests use now, and the requests that wait for one.
    pub fn record(&mut self, used: f64, waiting: f64, now: Moment) {
        while self.peaks.front().is_some_and(|(at, _)| *at + WINDOW <= now) {
            self.peaks.pop_front();
        }
        self.used = used;
        let demand = used + waiting;
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= demand) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, demand));
    }

    /// Whether urgent requests used or wanted a slot recently.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.peaks.front().is_some_and(|(_, peak)| 0.0 < *peak)
    }

    /// Number of slots to leave free.
    #[must_use]
    pub fn slots(&self) -> f64 {
        self.peaks.front().map_or(0.0, |(_, peak)| (peak - self.used).max(0.0))
    }

    /// When the reserve becomes smaller unless another peak follows.
    #[must_use]
    pub fn falls_at(&self) -> Option<Moment> {
        self.peaks.front().filter(|_| 0.0 < self.slots()).map(|(at, _)| *at + WINDOW)
    }
}
