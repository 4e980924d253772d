//! A token bucket whose rate and size may change.

use types::time::Moment;

/// What counts as a whole token, less the error of sums of parts.
const ONE_TOKEN: f64 = 1.0 - 1e-9;

/// A token bucket, empty at first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bucket {
    tokens: f64,
    filled: Moment,
    rate: f64,
    size: f64,
}

impl Bucket {
    /// Sets the rate, in tokens a second, and the size.
    pub fn adjust(&mut self, rate: f64, size: f64, now: Moment) {
        self.fill(now);
        (self.rate, self.size) = (rate, size);
        self.tokens = self.tokens.min(size);
    }

    /// Takes a token out, if there is a whole one.
    pub fn take(&mut self, now: Moment) -> bool {
        self.fill(now);
        let is_available = ONE_TOKEN <= self.tokens;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Takes tokens out that may not be there yet, down to a debt of `most`.
    pub fn charge(&mut self, tokens: f64, max_debt: f64, now: Moment) {
        self.fill(now);
        self.tokens = (self.tokens - tokens).max(-max_debt).min(self.tokens);
    }

    fn fill(&mut self, now: Moment) {
        let span = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + span * self.rate).min(self.size);
        self.filled = self.filled.max(now);
    }
}
