//! Checks the limit on retries against the arrivals at the servers of one service from all hosts.

use policy::dispatch::RetryBudgetConfig;
use types::prelude::*;

/// A window with more arrivals beyond the first of each request than the config allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// The window's end.
    pub end: Moment,
    /// Arrivals beyond the first of each request.
    pub retries: usize,
    /// What the config allows.
    pub allowed: f64,
}

/// Returns the first window with more retries than the config allows; both lists are sorted by
/// time.
pub fn overdrawn(
    requests: &[Moment],
    retries: &[Moment],
    config: &RetryBudgetConfig,
) -> Option<Excess> {
    let window = config.window;
    let count = |times: &[Moment], end: Moment| {
        let from = times.partition_point(|at| *at + window < end);
        let to = times.partition_point(|at| *at <= end);
        to.saturating_sub(from)
    };
    let excess = |end: Moment| {
        let ends = [Some(end), end.checked_sub(window / 2), end.checked_sub(window)];
        let paying = ends.into_iter().flatten().map(|end| count(requests, end)).max();
        let allowed = config.ratio * paying.unwrap_or(0) as f64 + config.extra;
        let retries = count(retries, end);
        (allowed < retries as f64).then_some(Excess { end, retries, allowed })
    };
    let last = retries.last()?.saturating_add(window);
    let step = window / 400;
    let ends = (0..).map(|n| step * n).take_while(|end| *end <= last);
    let mut ends: Vec<Moment> = ends.chain(retries.iter().copied()).collect();
    ends.sort_unstable();
    ends.into_iter().find_map(excess)
}
