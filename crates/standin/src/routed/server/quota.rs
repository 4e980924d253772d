//! The rule on rate limits, checked by a server's own clock: the requests that it received against
//! the limits that its answers stated.
//!
//! Once [`BINDING_DELAY`] has passed since a server first stated a limit, the number of requests in
//! any [`WINDOW`] is at most [`BURST_FACTOR`] times the limit, taken over the window, plus
//! [`EXTRA_REQUESTS`].

use std::{sync::Arc, time::Duration};

/// Time from the first answer that states a limit until the limit binds all hosts.
pub const BINDING_DELAY: Duration = Duration::from_secs(3);

/// The sliding window in which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Multiple of the limit that is allowed in a window.
pub const BURST_FACTOR: f64 = 1.5;

/// Requests that are allowed in a window beyond [`BURST_FACTOR`] times the limit.
pub const EXTRA_REQUESTS: f64 = 5.0;

/// Time within which all hosts learn of a changed limit, and requests that they sent before arrive.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Arrivals of requests at one server, and the limits that its answers stated. Times are since the
/// server's start, unless changed by [`Quota::shifted`].
#[derive(Clone, Debug, Default)]
pub struct Quota {
    /// Id and time of each request, also of those that were rejected, but not of those meant for
    /// another server.
    pub arrivals: Vec<(Arc<str>, Duration)>,
    /// Each change of the limit in requests per second, from the first answer that stated one;
    /// `None` once answers state no valid limit.
    pub limits: Vec<(Duration, Option<f64>)>,
}

/// A window that holds too many requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// When the last request of the window arrived.
    pub at: Duration,
    /// Number of requests in the window.
    pub requests: usize,
    /// Greatest number of requests that the rule allows in it.
    pub allowed: usize,
}

impl Quota {
    pub(super) fn record_arrival(&mut self, id: &Arc<str>, at: Duration) {
        self.arrivals.push((id.clone(), at));
    }

    pub(super) fn record_limit(&mut self, limit: Option<&str>, at: Duration) {
        let limit =
            limit.and_then(|limit| limit.parse().ok()).filter(|limit: &f64| limit.is_finite());
        let is_first = self.limits.is_empty() && limit.is_some();
        if is_first || self.limits.last().is_some_and(|(_, last)| *last != limit) {
            self.limits.push((at, limit));
        }
    }

    /// Moves all times later by `by`, so that they count from another start.
    pub fn shifted(mut self, by: Duration) -> Quota {
        self.arrivals.iter_mut().for_each(|(_, at)| *at += by);
        self.limits.iter_mut().for_each(|(at, _)| *at += by);
        self
    }

    /// The first window that holds more requests than allowed, of those for which `counts` is true.
    ///
    /// Windows are left out in which more than allowed had arrived before the hosts could learn of
    /// the limit, because no host could have prevented that.
    pub fn excess(&self, counts: impl Fn(&str, Duration) -> bool) -> Option<Excess> {
        let arrivals: Vec<Duration> =
            self.arrivals.iter().filter(|(id, at)| counts(id, *at)).map(|(_, at)| *at).collect();
        let excess_at = |end: usize| {
            let at = arrivals[end];
            let first = arrivals.partition_point(|other| *other + WINDOW <= at);
            let (allowed, since) = self.allowed(at)?;
            let requests = end + 1 - first;
            let before =
                arrivals[first..=end].partition_point(|other| *other < since + PROPAGATION_TIME);
            let is_kept = requests <= allowed || allowed < before;
            (!is_kept).then_some(Excess { at, requests, allowed })
        };
        (0..arrivals.len()).find_map(excess_at)
    }

    /// Requests allowed in the window that ends at `at`, and the time since which answers have
    /// stated a limit; `None` if no limit binds.
    fn allowed(&self, at: Duration) -> Option<(usize, Duration)> {
        let end = self.limits.partition_point(|(changed_at, _)| *changed_at <= at);
        let stated = &self.limits[..end];
        let start =
            stated.iter().rposition(|(_, limit)| limit.is_none()).map_or(0, |last| last + 1);
        let (since, _) = stated.get(start)?;
        if at < *since + BINDING_DELAY {
            return None;
        }
        // A limit stays allowed until the next one has reached the hosts.
        let ends = stated[start..]
            .iter()
            .skip(1)
            .map(|(next, _)| *next + PROPAGATION_TIME)
            .chain([at + WINDOW]);
        let in_force = stated[start..].iter().zip(ends).filter(|(_, end)| at < *end + WINDOW);
        let limit = in_force.filter_map(|((_, limit), _)| *limit).fold(0.0, f64::max);
        Some((
            (BURST_FACTOR * limit * WINDOW.as_secs_f64() + EXTRA_REQUESTS).floor() as usize,
            *since,
        ))
    }
}
