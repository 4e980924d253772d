//! Token bucket with an adjustable rate and capacity.

use types::time::Moment;

/// Level from which a token can be taken: one, less the rounding error of summed fractions.
const ONE_TOKEN: f64 = 1.0 - 1e-9;

/// Token bucket that starts empty, with rate and capacity zero.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bucket {
    tokens: f64,
    filled: Moment,
    rate: f64,
    size: f64,
}

impl Bucket {
    /// Sets the rate, in tokens per second, and the capacity, in tokens.
    pub fn adjust(&mut self, rate: f64, size: f64, now: Moment) {
        self.fill(now);
        (self.rate, self.size) = (rate, size);
        self.tokens = self.tokens.min(size);
    }

    /// Takes one token; returns whether there was one.
    pub fn take(&mut self, now: Moment) -> bool {
        self.fill(now);
        let is_available = ONE_TOKEN <= self.tokens;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Takes tokens even if there are none, down to a debt of `max_debt` tokens.
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
