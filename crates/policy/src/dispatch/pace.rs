//! How fast a server is compared with the others of its service, and how often it fails.
//!
//! Both figures are exponentially weighted means, compared with the median of the service, so that
//! what all servers have in common, such as a slow model or a kind of request that often fails,
//! counts against none. Slowness is stored as a logarithm: twice as slow weighs as much as twice as
//! fast. Without new samples a server's figures return to the median, so the server is tried again
//! in time.

use types::prelude::*;

/// Divisor of the weight of a new time sample.
const TIME_WEIGHT: f64 = 4.0;

/// Age at which the last time sample says little, and the divisor of a new one's weight then.
const STALE_AFTER: Duration = Duration::from_millis(500);
const STALE_TIME_WEIGHT: f64 = 2.0;

/// Divisor of the weight of a new outcome.
const OUTCOME_WEIGHT: f64 = 6.0;

/// Samples before a server is judged.
const MIN_SAMPLES: u32 = 3;

/// Bound of one sample's time ratio, as a logarithm.
const MAX_LOG_RATIO: f64 = 2.5;

/// Slowness relative to the median, as a logarithm, above which a server is an outlier: three
/// times.
const OUTLIER_LOG_RATIO: f64 = 1.1;

/// Share of failures above the median beyond which a server is an outlier.
const OUTLIER_FAILURE_EXCESS: f64 = 0.35;

/// Share of failures above the median that is attributed to chance.
const TOLERATED_FAILURE_EXCESS: f64 = 0.1;

/// Age in seconds at which figures without new samples have lost half of their weight.
const HALF_WEIGHT_AGE_SECS: f64 = 5.0;

/// Speed and failure rate of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    log_ratio: f64,
    times: u32,
    timed: Moment,
    failing: f64,
    outcomes: u32,
    seen: Moment,
}

/// Median speed and failure rate of a service's servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Median {
    log_ratio: f64,
    failing: f64,
}

impl Median {
    /// Computes the medians of these servers.
    pub fn of<'a>(paces: impl Iterator<Item = &'a Pace> + Clone) -> Median {
        let log_ratio = paces.clone().filter(|p| MIN_SAMPLES <= p.times).map(|p| p.log_ratio);
        let failing = paces.filter(|p| MIN_SAMPLES <= p.outcomes).map(|p| p.failing);
        Median { log_ratio: median(log_ratio), failing: median(failing) }
    }
}

impl Pace {
    /// Records that a response took `ratio` times the expected time.
    pub fn record_ratio(&mut self, ratio: f64, median: &Median, now: Moment) {
        let sample = ratio.max(0.01).ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let is_stale = self.times == 0 || self.timed + STALE_AFTER < now;
        let weight = if is_stale { STALE_TIME_WEIGHT } else { TIME_WEIGHT };
        let before = median.log_ratio
            + (self.log_ratio - median.log_ratio) * remaining_weight(self.timed, now);
        self.log_ratio = before + (sample - before) / weight;
        self.times = self.times.saturating_add(1);
        self.timed = now;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, median: &Median, now: Moment) {
        self.outcome(1.0, median, now);
    }

    /// Records a request that was answered well.
    pub fn record_success(&mut self, median: &Median, now: Moment) {
        self.outcome(0.0, median, now);
    }

    /// Estimated time relative to the median; 2 is twice as slow.
    pub fn slowness(&self, median: &Median, now: Moment) -> f64 {
        ((self.log_ratio - median.log_ratio) * remaining_weight(self.timed, now)).exp()
    }

    /// Share of failures above the median, less what is attributed to chance.
    pub fn excess(&self, median: &Median, now: Moment) -> f64 {
        ((self.failing - median.failing) * remaining_weight(self.seen, now)
            - TOLERATED_FAILURE_EXCESS)
            .max(0.0)
    }

    /// Whether the server is so much worse than the others that its breaker is to be tripped.
    pub fn is_outlier(&self, median: &Median) -> bool {
        let log_ratio =
            MIN_SAMPLES <= self.times && OUTLIER_LOG_RATIO < self.log_ratio - median.log_ratio;
        let failing =
            MIN_SAMPLES <= self.outcomes && OUTLIER_FAILURE_EXCESS < self.failing - median.failing;
        log_ratio || failing
    }

    fn outcome(&mut self, failed: f64, median: &Median, now: Moment) {
        let before =
            median.failing + (self.failing - median.failing) * remaining_weight(self.seen, now);
        self.failing = before + (failed - before) / OUTCOME_WEIGHT;
        self.outcomes = self.outcomes.saturating_add(1);
        self.seen = now;
    }
}

/// Weight of figures last updated at `at`.
fn remaining_weight(at: Moment, now: Moment) -> f64 {
    HALF_WEIGHT_AGE_SECS / (HALF_WEIGHT_AGE_SECS + now.saturating_sub(at).as_secs_f64())
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len().saturating_sub(1) / 2;
    if values.is_empty() {
        return 0.0;
    }
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
