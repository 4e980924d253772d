//! Waiting longer after each failure, and never in step with the other hosts.
//!
//! After an outage every host would come back at once. Each wait is drawn from the upper half of
//! a range that doubles, from a seed of the host's own, so that calls spread out.

use std::time::Duration;

use super::rendezvous;

/// Waits between tries that fail.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    seed: u64,
    failures: u32,
    drawn: u64,
}

impl Backoff {
    /// Waits that start at `first`, double, and end at `longest`.
    pub fn new(first: Duration, longest: Duration, seed: u64) -> Backoff {
        Backoff { first, longest, seed, failures: 0, drawn: 0 }
    }

    /// Notes a success; the next wait is short again.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and gives the wait before the next try.
    pub fn fail(&mut self) -> Duration {
        let doubled =
            self.first.saturating_mul(1_u32.checked_shl(self.failures).unwrap_or(u32::MAX));
        self.failures = self.failures.saturating_add(1).min(u32::BITS - 1);
        self.drawn += 1;
        let share = 0.5 + rendezvous::fraction(self.seed, self.drawn) / 2.0;
        doubled.min(self.longest).mul_f64(share)
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
