//! Token bucket that limits loads to the weight store's rate.

use types::time::Moment;

use super::Limits;

/// Token bucket with a limit on loads in progress.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limits: Limits,
    tokens: f64,
    filled_at: Moment,
}

impl Bucket {
    pub(super) fn new(limits: Limits) -> Bucket {
        Bucket { limits, tokens: capacity(limits), filled_at: Moment::ZERO }
    }

    /// Returns how many loads may start now, while `loading` others are in progress.
    pub(super) fn available(&mut self, now: Moment, loading: usize) -> usize {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        if self.limits.loads_per_second.is_finite() {
            let gained = elapsed * self.limits.loads_per_second;
            self.tokens = (self.tokens + gained).min(capacity(self.limits));
        }
        let max_concurrent_loads = self.limits.max_concurrent_loads.saturating_sub(loading);
        max_concurrent_loads.min(self.tokens as usize)
    }

    /// Takes tokens for started loads.
    pub(super) fn take(&mut self, loads: usize) {
        self.tokens = (self.tokens - loads as f64).max(0.0);
    }
}

/// Returns the bucket's capacity: one second's worth of loads, but at least one.
fn capacity(limits: Limits) -> f64 {
    limits.loads_per_second.max(1.0)
}
