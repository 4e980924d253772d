//! Rate estimate from a decaying sum.

use types::time::Moment;

/// Time constant of the decay, in seconds.
const SECONDS: f64 = 1.0;

/// Sum that decays by a factor e in [`SECONDS`]; about the amount a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Decay {
    sum: f64,
    at: Moment,
}

impl Decay {
    pub(super) fn add(&mut self, amount: f64, now: Moment) {
        *self = Decay { sum: self.per_second(now) + amount, at: now.max(self.at) };
    }

    /// Amount a second.
    pub(super) fn per_second(&self, now: Moment) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / SECONDS).exp()
    }
}
