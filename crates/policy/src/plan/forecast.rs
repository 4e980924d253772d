//! Demand forecast.
//!
//! Each interval's work is smoothed with its trend (Holt's method), and placement provides for the
//! estimate a few intervals ahead. The forecast rises at once and falls slowly, so that fluctuating
//! demand doesn't move models back and forth.

use std::collections::BTreeMap;

use types::prelude::*;

use super::Demand;

/// Weight of the newest interval in the level.
const LEVEL_WEIGHT: f64 = 0.5;

/// Weight of the newest change in the trend.
const TREND_WEIGHT: f64 = 0.3;

/// Number of intervals that the estimate looks ahead.
const LOOK_AHEAD_INTERVALS: f64 = 3.0;

/// Fraction of the peak that remains after each interval.
const PEAK_DECAY: f64 = 0.97;

/// Maximum rise by the trend, as a multiple of the level.
const MAX_RISE: f64 = 1.0;

/// One model's smoothed work.
#[derive(Clone, Copy, Debug)]
struct Series {
    level: f64,
    trend: f64,
    peak: f64,
}

/// Smoothed work of all models, in engines' worth.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    series: BTreeMap<model::Id, Series>,
}

impl Forecast {
    /// Adds one interval's work of all models, in engines' worth, and returns the demand to plan
    /// for. A model missing from `work` had no work in the interval.
    pub fn observe(&mut self, work: &BTreeMap<model::Id, f64>) -> BTreeMap<model::Id, Demand> {
        for (id, work) in work {
            let first = Series { level: *work, trend: 0.0, peak: *work };
            self.series.entry(id.clone()).or_insert(first);
        }
        let demands = self.series.iter_mut().map(|(id, series)| {
            let now = work.get(id).copied().unwrap_or(0.0);
            (id.clone(), series.observe(now))
        });
        demands.collect()
    }

    /// Drops models that are no longer declared.
    pub fn retain(&mut self, config: &config::Config) {
        self.series.retain(|id, _| config.models.contains_key(id));
    }
}

impl Series {
    fn observe(&mut self, work: f64) -> Demand {
        let before = self.level;
        self.level = LEVEL_WEIGHT * work + (1.0 - LEVEL_WEIGHT) * (self.level + self.trend);
        self.level = self.level.max(0.0);
        self.trend = TREND_WEIGHT * (self.level - before) + (1.0 - TREND_WEIGHT) * self.trend;
        let rise = (LOOK_AHEAD_INTERVALS * self.trend).clamp(0.0, MAX_RISE * self.level);
        let estimate = self.level + rise;
        self.peak = estimate.max(self.peak * PEAK_DECAY);
        Demand { now: self.level, forecast: self.peak }
    }
}
