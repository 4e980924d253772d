//! How long requests of one model or plain service take, learnt from those that ended.

use types::prelude::*;

/// Weight of a new sample once there are many: one in this many.
const MAX_SAMPLES: f64 = 16.0;

/// Least part of what is thought that a sample counts for: what was taken off it is a guess.
const MIN_SAMPLE_PART: f64 = 0.25;

/// What is assumed of a model before any request ended, in milliseconds.
const MODEL_DEFAULTS_MS: (f64, f64) = (60.0, 1_000.0);

/// What is assumed of a plain service.
const PLAIN_DEFAULTS_MS: (f64, f64) = (30.0, 30.0);

/// Times of one model or plain service, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Stats {
    base: f64,
    hold: f64,
    base_samples: f64,
    hold_samples: f64,
}

impl Stats {
    /// Of a model.
    pub fn model() -> Stats {
        Stats {
            base: MODEL_DEFAULTS_MS.0,
            hold: MODEL_DEFAULTS_MS.1,
            base_samples: 1.0,
            hold_samples: 1.0,
        }
    }

    /// Of a plain service.
    pub fn plain() -> Stats {
        Stats {
            base: PLAIN_DEFAULTS_MS.0,
            hold: PLAIN_DEFAULTS_MS.1,
            base_samples: 1.0,
            hold_samples: 1.0,
        }
    }

    /// Time to the first byte on an idle server of the usual speed, its prompt's reading aside.
    pub fn base(&self) -> f64 {
        self.base
    }

    /// Time that a request holds its place.
    pub fn hold(&self) -> f64 {
        self.hold
    }

    /// A first byte came after so long on an idle server.
    pub fn record_first_byte(&mut self, millis: f64) {
        self.base_samples = (self.base_samples + 1.0).min(MAX_SAMPLES);
        self.base = (self.base.ln()
            + (millis.max(self.base * MIN_SAMPLE_PART) / self.base).ln() / self.base_samples)
            .exp();
    }

    /// A request held its place so long, by what was expected of its wait for it.
    pub fn record_hold(&mut self, millis: f64) {
        self.hold_samples = (self.hold_samples + 1.0).min(MAX_SAMPLES);
        self.hold += (millis.max(self.hold * MIN_SAMPLE_PART) - self.hold) / self.hold_samples;
    }
}

/// A time in milliseconds.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// A time of so many milliseconds.
pub fn duration(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 3.6e6) / 1000.0)
}
