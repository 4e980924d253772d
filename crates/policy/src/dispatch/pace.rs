//! How fast a server is against the others of its service, and how often it fails.
//!
//! Both are means that forget, held against the median of the service, so that what all servers
//! have in common, such as a slow model or a kind of request that often fails, speaks against none.
//! Slowness is kept as a logarithm: twice as slow weighs as much as twice as fast. Without new
//! samples a server's figures go back to the median, so it is tried again in time.

use types::prelude::*;

/// Weight of a new sample of time: one in this many.
const TIME_WEIGHT: f64 = 4.0;

/// Age at which the last sample of time says little, and the weight of a new one then.
const STALE_AFTER: Duration = Duration::from_millis(500);
const STALE_TIME_WEIGHT: f64 = 2.0;

/// Weight of a new outcome: one in this many.
const OUTCOME_WEIGHT: f64 = 6.0;

/// Samples before a server is judged.
const MIN_SAMPLES: u32 = 3;

/// Longest ratio that one sample counts for, as a logarithm.
const MAX_LOG_RATIO: f64 = 2.5;

/// Slowness against the median, as a logarithm, from which on a server is grey: three times.
const OUTLIER_LOG_RATIO: f64 = 1.1;

/// Share of failures over the median from which on a server is grey.
const OUTLIER_FAILURE_EXCESS: f64 = 0.35;

/// Share of failures over the median that is still chance.
const TOLERATED_FAILURE_EXCESS: f64 = 0.1;

/// Time in which figures without new samples lose half of their weight.
const HALF_WEIGHT_AGE_SECS: f64 = 5.0;

/// Pace of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    log_ratio: f64,
    times: u32,
    timed: Moment,
    failing: f64,
    outcomes: u32,
    seen: Moment,
}

/// Medians of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Median {
    log_ratio: f64,
    failing: f64,
}

impl Median {
    /// The medians of these servers.
    pub fn of<'a>(paces: impl Iterator<Item = &'a Pace> + Clone) -> Median {
        let log_ratio = paces.clone().filter(|p| MIN_SAMPLES <= p.times).map(|p| p.log_ratio);
        let failing = paces.filter(|p| MIN_SAMPLES <= p.outcomes).map(|p| p.failing);
        Median { log_ratio: median(log_ratio), failing: median(failing) }
    }
}

impl Pace {
    /// An answer took so many times the expected time.
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

    /// A request failed there.
    pub fn record_failure(&mut self, median: &Median, now: Moment) {
        self.outcome(1.0, median, now);
    }

    /// A request was answered well.
    pub fn record_success(&mut self, median: &Median, now: Moment) {
        self.outcome(0.0, median, now);
    }

    /// How many times slower than the median it is thought to be.
    pub fn slowness(&self, median: &Median, now: Moment) -> f64 {
        ((self.log_ratio - median.log_ratio) * remaining_weight(self.timed, now)).exp()
    }

    /// Its share of failures over what is usual.
    pub fn excess(&self, median: &Median, now: Moment) -> f64 {
        ((self.failing - median.failing) * remaining_weight(self.seen, now)
            - TOLERATED_FAILURE_EXCESS)
            .max(0.0)
    }

    /// Whether it is so much worse than the others that it is to be put aside.
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

/// What remains of figures that are so old.
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
