//! How slow a server is compared with the others of its service beyond what its
//! [`Speed`](super::speed::Speed) explains, and how often it fails.
//!
//! Both figures are exponentially weighted means, compared with the median of the service, so that
//! what all servers have in common, such as a slow model or a kind of request that often fails,
//! counts against none. Slowness is stored as a logarithm: twice as slow weighs as much as twice as
//! fast. Without new samples a server's figures return to the median, so that the server is
//! eventually tried again.

use types::prelude::*;

/// Divisor of the difference that a new time sample adds to the mean.
const TIME_DIVISOR: f64 = 4.0;

/// Age from which on the last time sample is stale, and the divisor for a new sample then.
const STALE_AFTER: Duration = Duration::from_millis(500);
const STALE_TIME_DIVISOR: f64 = 2.0;

/// Divisor of the difference that a new outcome adds to the mean.
const OUTCOME_DIVISOR: f64 = 6.0;

/// Number of samples required before a server enters the median or counts as an outlier.
const MIN_SAMPLES: u32 = 3;

/// Bound of the logarithm of one sample's time ratio.
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
    time_samples: u32,
    timed_at: Moment,
    failure_rate: f64,
    outcome_samples: u32,
    outcome_at: Moment,
}

/// Median speed and failure rate of a service's servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Median {
    log_ratio: f64,
    failure_rate: f64,
}

impl Median {
    /// Computes the medians of these servers.
    pub fn of<'a>(paces: impl Iterator<Item = &'a Pace> + Clone) -> Median {
        let log_ratio =
            paces.clone().filter(|p| MIN_SAMPLES <= p.time_samples).map(|p| p.log_ratio);
        let failure_rate =
            paces.filter(|p| MIN_SAMPLES <= p.outcome_samples).map(|p| p.failure_rate);
        Median { log_ratio: median(log_ratio), failure_rate: median(failure_rate) }
    }
}

impl Pace {
    /// Adapts to a change of the expected time, by the logarithm of the factor.
    pub fn rebase(&mut self, log_factor: f64) {
        if 0 < self.time_samples {
            self.log_ratio -= log_factor;
        }
    }

    /// Records that a response took `ratio` times the expected time.
    pub fn record_ratio(&mut self, ratio: f64, median: &Median, now: Moment) {
        let sample = ratio.max(0.01).ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let is_stale = self.time_samples == 0 || self.timed_at + STALE_AFTER < now;
        let divisor = if is_stale { STALE_TIME_DIVISOR } else { TIME_DIVISOR };
        let before = median.log_ratio
            + (self.log_ratio - median.log_ratio) * remaining_weight(self.timed_at, now);
        self.log_ratio = before + (sample - before) / divisor;
        self.time_samples = self.time_samples.saturating_add(1);
        self.timed_at = now;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, median: &Median, now: Moment) {
        self.outcome(1.0, median, now);
    }

    /// Records a request with a complete response.
    pub fn record_success(&mut self, median: &Median, now: Moment) {
        self.outcome(0.0, median, now);
    }

    /// Estimated time relative to the median; 2 is twice as slow.
    pub fn slowness(&self, median: &Median, now: Moment) -> f64 {
        ((self.log_ratio - median.log_ratio) * remaining_weight(self.timed_at, now)).exp()
    }

    /// Share of failures above the median, less what is attributed to chance.
    pub fn excess(&self, median: &Median, now: Moment) -> f64 {
        ((self.failure_rate - median.failure_rate) * remaining_weight(self.outcome_at, now)
            - TOLERATED_FAILURE_EXCESS)
            .max(0.0)
    }

    /// Whether the server is so much worse than the others that its breaker is to be tripped.
    /// `usual` is the logarithm of its usual time ratio, if that is known to be high: a server that
    /// isn't much slower than that is no outlier.
    pub fn is_outlier(&self, median: &Median, usual: Option<f64>) -> bool {
        let is_slower = |than: f64| OUTLIER_LOG_RATIO < self.log_ratio - than;
        let log_ratio = MIN_SAMPLES <= self.time_samples
            && is_slower(median.log_ratio)
            && usual.is_none_or(is_slower);
        let failure_rate = MIN_SAMPLES <= self.outcome_samples
            && OUTLIER_FAILURE_EXCESS < self.failure_rate - median.failure_rate;
        log_ratio || failure_rate
    }

    fn outcome(&mut self, failed: f64, median: &Median, now: Moment) {
        let before = median.failure_rate
            + (self.failure_rate - median.failure_rate) * remaining_weight(self.outcome_at, now);
        self.failure_rate = before + (failed - before) / OUTCOME_DIVISOR;
        self.outcome_samples = self.outcome_samples.saturating_add(1);
        self.outcome_at = now;
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
