//! The rule on limits, as a server sees it by its own clock: what came, against what it named.
//!
//! From [`BINDING_DELAY`] after a server first named a limit, [`WINDOW`] holds no more than [`BURST_FACTOR`] times what
//! the limit allows in it, and [`EXTRA_REQUESTS`] requests.

use std::{sync::Arc, time::Duration};

/// Time from the first naming of a limit until it binds.
pub const BINDING_DELAY: Duration = Duration::from_secs(3);

/// The sliding window in which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Times of the limit that are allowed.
pub const BURST_FACTOR: f64 = 1.5;

/// Requests that are allowed besides.
pub const EXTRA_REQUESTS: f64 = 5.0;

/// Time in which news of a limit reaches all hosts, and what they had sent arrives.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Requests that came to one server, and the limits that its answers named; times are since its start.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    /// Each request, whatever became of it.
    pub arrivals: Vec<(Arc<str>, Duration)>,
    /// Each change of the limit, from the first answer that named it.
    pub limits: Vec<(Duration, Option<f64>)>,
}

/// A window that holds too many requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// When the last of them came.
    pub at: Duration,
    /// Requests in the window.
    pub requests: usize,
    /// Requests that were allowed.
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

    /// The same with all times so much later.
    pub fn shifted(mut self, by: Duration) -> Quota {
        self.arrivals.iter_mut().for_each(|(_, at)| *at += by);
        self.limits.iter_mut().for_each(|(at, _)| *at += by);
        self
    }

    /// The first window that holds too many of the requests that count.
    ///
    /// Windows in which too many had come before the news of a limit could have reached the hosts are left
    /// out: nothing that a host does could make them hold.
    pub fn excess(&self, counts: impl Fn(&str, Duration) -> bool) -> Option<Excess> {
        let arrivals: Vec<Duration> =
            self.arrivals.iter().filter(|(id, at)| counts(id, *at)).map(|(_, at)| *at).collect();
        let too_many = |end: usize| {
            let at = arrivals[end];
            let first = arrivals.partition_point(|other| *other + WINDOW <= at);
            let (allowed, since) = self.allowed(at)?;
            let requests = end + 1 - first;
            let before =
                arrivals[first..=end].partition_point(|other| *other < since + PROPAGATION_TIME);
            let is_kept = requests <= allowed || allowed < before;
            (!is_kept).then_some(Excess { at, requests, allowed })
        };
        (0..arrivals.len()).find_map(too_many)
    }

    /// Requests allowed in the window that ends then, and since when a limit has been named; none if no
    /// limit binds.
    fn allowed(&self, at: Duration) -> Option<(usize, Duration)> {
        let end = self.limits.partition_point(|(named, _)| *named <= at);
        let known = &self.limits[..end];
        let start = known.iter().rposition(|(_, limit)| limit.is_none()).map_or(0, |last| last + 1);
        let (since, _) = known.get(start)?;
        if at < *since + BINDING_DELAY {
            return None;
        }
        // A limit holds until the next is named and its news has spread.
        let ends = known[start..]
            .iter()
            .skip(1)
            .map(|(next, _)| *next + PROPAGATION_TIME)
            .chain([at + WINDOW]);
        let in_force = known[start..].iter().zip(ends).filter(|(_, end)| at < *end + WINDOW);
        let limit = in_force.filter_map(|((_, limit), _)| *limit).fold(0.0, f64::max);
        Some((
            (BURST_FACTOR * limit * WINDOW.as_secs_f64() + EXTRA_REQUESTS).floor() as usize,
            *since,
        ))
    }
}
