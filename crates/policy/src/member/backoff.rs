//! Exponential backoff with jitter.
//!
//! After an outage every host would retry at the same time. So each wait is drawn from the upper
//! half of a range that doubles, with a seed that differs from host to host.

use std::time::Duration;

use super::rendezvous;

/// Exponential backoff with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    seed: u64,
    failures: u32,
    draws: u64,
}

impl Backoff {
    /// Backoff that starts at `first`, doubles on each failure and is capped at `longest`.
    pub fn new(first: Duration, longest: Duration, seed: u64) -> Backoff {
        Backoff { first, longest, seed, failures: 0, draws: 0 }
    }

    /// Resets the backoff after a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the wait before the next attempt.
    pub fn fail(&mut self) -> Duration {
        let doubled =
            self.first.saturating_mul(1_u32.checked_shl(self.failures).unwrap_or(u32::MAX));
        self.failures = self.failures.saturating_add(1).min(u32::BITS - 1);
        self.draws += 1;
        let share = 0.5 + rendezvous::fraction(self.seed, self.draws) / 2.0;
        doubled.min(self.longest).mul_f64(share)
    }

    /// Number of failures since the last success, at most 31.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
