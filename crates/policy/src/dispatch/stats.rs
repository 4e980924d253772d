//! Measured times of the requests of one model, or of one service without models.

use types::prelude::*;

/// Bound of the number of samples in a mean: a new sample has the weight of one in that number.
const MAX_SAMPLES: f64 = 16.0;

/// Lower bound of a sample, as a part of the current mean. The time subtracted from a sample is an
/// estimate and may be too long.
const MIN_SAMPLE_PART: f64 = 0.25;

/// Base and hold time assumed for a model before any request has ended, in milliseconds.
const MODEL_DEFAULTS_MS: (f64, f64) = (60.0, 1_000.0);

/// Base and hold time assumed for a service without models before any request has ended, in
/// milliseconds.
const PLAIN_DEFAULTS_MS: (f64, f64) = (30.0, 30.0);

/// Times of one model, or of one service without models, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Stats {
    base: f64,
    hold: f64,
    base_samples: f64,
    hold_samples: f64,
}

impl Stats {
    pub fn model() -> Stats {
        Stats {
            base: MODEL_DEFAULTS_MS.0,
            hold: MODEL_DEFAULTS_MS.1,
            base_samples: 1.0,
            hold_samples: 1.0,
        }
    }

    /// Times of a service without models.
    pub fn plain() -> Stats {
        Stats {
            base: PLAIN_DEFAULTS_MS.0,
            hold: PLAIN_DEFAULTS_MS.1,
            base_samples: 1.0,
            hold_samples: 1.0,
        }
    }

    /// Time to the first byte on an idle server of median speed, without the prefill.
    pub fn base(&self) -> f64 {
        self.base
    }

    /// Whether the time to the first byte is learnt from enough requests that the defaults no longer
    /// count.
    pub fn is_warm(&self) -> bool {
        MAX_SAMPLES <= self.base_samples
    }

    /// Time that a request occupies a slot.
    pub fn hold(&self) -> f64 {
        self.hold
    }

    /// Records the time to the first byte, less what the load of the server explains.
    pub fn record_first_byte(&mut self, millis: f64) {
        self.base_samples = (self.base_samples + 1.0).min(MAX_SAMPLES);
        self.base = (self.base.ln()
            + (millis.max(self.base * MIN_SAMPLE_PART) / self.base).ln() / self.base_samples)
            .exp();
    }

    /// Records the time that a request occupied a slot, less the expected wait for the slot.
    pub fn record_hold(&mut self, millis: f64) {
        self.hold_samples = (self.hold_samples + 1.0).min(MAX_SAMPLES);
        self.hold += (millis.max(self.hold * MIN_SAMPLE_PART) - self.hold) / self.hold_samples;
    }
}

pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Converts milliseconds, bounded to one hour.
pub fn duration(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 3.6e6) / 1000.0)
}
