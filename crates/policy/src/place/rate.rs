//! Exponentially decaying rates.

use types::prelude::*;

/// An exponentially decaying rate per second. The caller passes the same time constant to each
/// call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    value: f64,
    at: Moment,
}

impl Rate {
    /// Adds an amount at time `at`, which may be earlier than amounts added before.
    pub(super) fn add(&mut self, time_constant: Duration, amount: f64, at: Moment) {
        let lag = self.at.saturating_sub(at).as_secs_f64();
        let left = (-lag / time_constant.as_secs_f64()).exp();
        self.value = self.value(time_constant, at) + amount * left / time_constant.as_secs_f64();
        self.at = self.at.max(at);
    }

    /// Returns the rate at `now`.
    pub(super) fn value(&self, time_constant: Duration, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / time_constant.as_secs_f64()).exp()
    }
}
