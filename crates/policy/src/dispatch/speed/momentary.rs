//! The momentary factor that a server states.
//!
//! A figure counts in full when it arrives and fades to 1 as fast as figures change, which is learnt
//! from pairs of successive ones: of a logarithm, the part that is left after the time between the
//! two is the regression of the later on the earlier. Whether the figures are true is learnt from
//! response times, by the regression of their logarithms on those of the figures.

use types::prelude::*;

use super::{MAX_FACTOR, MIN_FACTOR};

/// Weight of the past when a pair or a response time is added.
const RETENTION: f64 = 0.97;

/// Time constant in seconds that is assumed before figures have changed, its bounds, and the weight
/// of the assumption.
const ASSUMED_FADE_SECS: f64 = 0.3;
const MIN_FADE_SECS: f64 = 0.02;
const MAX_FADE_SECS: f64 = 5.0;
const ASSUMED_WEIGHT: f64 = 0.5;

/// Time between the two figures of the assumed pair.
const ASSUMED_GAP_SECS: f64 = 0.1;

/// Weight of the assumption that figures are true.
const ASSUMED_TRUTH: f64 = 4.0;

/// Part of the figures that response times must confirm for them to count in full. A response that
/// takes longer than a figure holds confirms it only in part.
const CONFIRMED: f64 = 0.4;

/// The newest figure of a server, how fast its figures change, and whether they are true.
#[derive(Clone, Copy, Debug)]
pub struct Momentary {
    /// Logarithm of the newest figure, and when it was received.
    newest: Option<(f64, Moment)>,
    /// Over pairs of figures: the sum of products, of the squares of the earlier one, and of the
    /// times between them weighted by these squares.
    products: f64,
    squares: f64,
    gaps: f64,
    /// Over response times: the sum of products with the figure, and of the squares of the figure.
    confirmed: f64,
    stated: f64,
}

impl Default for Momentary {
    fn default() -> Momentary {
        let left = (-ASSUMED_GAP_SECS / ASSUMED_FADE_SECS).exp();
        Momentary {
            newest: None,
            products: ASSUMED_WEIGHT * left,
            squares: ASSUMED_WEIGHT,
            gaps: ASSUMED_WEIGHT * ASSUMED_GAP_SECS,
            confirmed: ASSUMED_TRUTH,
            stated: ASSUMED_TRUTH,
        }
    }
}

impl Momentary {
    /// Applies a figure. One that is zero, negative or not finite says nothing.
    pub fn report(&mut self, factor: f64, now: Moment) {
        if !factor.is_finite() || factor <= 0.0 {
            return;
        }
        let log = factor.clamp(MIN_FACTOR, MAX_FACTOR).ln();
        if let Some((earlier, at)) = self.newest
            && at < now
        {
            let square = earlier * earlier;
            let retention = if square == 0.0 { 1.0 } else { RETENTION };
            self.products = self.products * retention + earlier * log;
            self.squares = self.squares * retention + square;
            self.gaps = self.gaps * retention + square * (now - at).as_secs_f64();
        }
        self.newest = Some((log, now));
    }

    /// Records that a response took `ratio` times what is expected without the figure.
    pub fn explain(&mut self, ratio: f64, now: Moment) {
        let figure = self.faded(now);
        if figure == 0.0 {
            return;
        }
        let log = ratio.clamp(MIN_FACTOR, MAX_FACTOR).ln();
        self.confirmed = self.confirmed * RETENTION + figure * log;
        self.stated = self.stated * RETENTION + figure * figure;
    }

    /// The factor at this time.
    pub fn factor(&self, now: Moment) -> f64 {
        (self.faded(now) * self.trust()).exp()
    }

    /// Logarithm of the newest figure, as far as it still holds.
    fn faded(&self, now: Moment) -> f64 {
        let Some((log, at)) = self.newest else { return 0.0 };
        log * (-now.saturating_sub(at).as_secs_f64() / self.fade_secs()).exp()
    }

    /// Time in seconds within which figures change.
    fn fade_secs(&self) -> f64 {
        let left = (self.products / self.squares).clamp(0.01, 0.999);
        (-self.gaps / self.squares / left.ln()).clamp(MIN_FADE_SECS, MAX_FADE_SECS)
    }

    /// Part of the figures that counts.
    fn trust(&self) -> f64 {
        (self.confirmed / self.stated / CONFIRMED).clamp(0.0, 1.0)
    }
}
