//! How long demand stays with the models that it is for.
//!
//! A replica that is late for the demand that it was meant for is worth nothing, and one of a model
//! whose demand lasts is worth its load however long that takes. How fast demand moves differs by
//! deployment and hour, so it is learnt: what part of all work a second leaves its model.

use std::collections::BTreeMap;

use types::prelude::*;

use super::rate::Rate;

/// Time over which a model's work is averaged: less, and chance alone looks like work that leaves.
const WORK_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time over which what was seen is forgotten.
const ESTIMATE_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Part of all work that leaves its model in a second, before any was seen: demand is counted on for
/// four seconds.
const INITIAL_LEAVING_PER_S: f64 = 0.25;

/// Least and most time that demand is counted on, in seconds. Chance alone looks like a sixteenth of
/// all work leaving in a second, at twenty requests a second for each model (reckoned).
const MIN_S: f64 = 2.0;
const MAX_S: f64 = 16.0;

/// Work of one model.
#[derive(Clone, Copy, Debug, Default)]
struct SampledWork {
    rate: Rate,
    sampled: f64,
}

/// What part of all work leaves its model.
#[derive(Clone, Debug)]
pub(super) struct Persistence {
    models: BTreeMap<model::Id, SampledWork>,
    sampled: Moment,
    /// Part of all work in a second.
    leaving_per_s: f64,
}

impl Default for Persistence {
    fn default() -> Persistence {
        Persistence {
            models: BTreeMap::new(),
            sampled: Duration::ZERO,
            leaving_per_s: INITIAL_LEAVING_PER_S,
        }
    }
}

impl Persistence {
    /// Counts work of a model.
    pub(super) fn add(&mut self, model: &model::Id, work: f64, now: Moment) {
        self.models.entry(model.clone()).or_default().rate.add(WORK_TIME_CONSTANT, work, now);
        if self.sampled + SAMPLE_INTERVAL <= now {
            self.sample(now);
        }
    }

    /// How long demand stays, in seconds, in the mean.
    pub(super) fn mean_s(&self) -> f64 {
        (1.0 / self.leaving_per_s).clamp(MIN_S, MAX_S)
    }

    fn sample(&mut self, now: Moment) {
        let time = now.saturating_sub(self.sampled).as_secs_f64();
        self.sampled = now;
        let (mut all, mut left) = (0.0, 0.0);
        for model_work in self.models.values_mut() {
            let work = model_work.rate.value(WORK_TIME_CONSTANT, now);
            all += model_work.sampled;
            left += (model_work.sampled - work).max(0.0);
            model_work.sampled = work;
        }
        if 0.0 < all {
            let weight = (time / ESTIMATE_TIME_CONSTANT.as_secs_f64()).min(1.0);
            self.leaving_per_s += (left / all / time - self.leaving_per_s) * weight;
        }
    }
}
