//! Estimate of how long demand stays with a model.
//!
//! A replica that is ready after the demand for it has moved on is worth nothing; a replica of a
//! model whose demand lasts is worth its load however long that takes. How fast demand moves
//! differs by deployment and time of day, so it is estimated from the fraction of all work that
//! leaves its model in a second.

use std::collections::BTreeMap;

use types::prelude::*;

use super::rate::Rate;

/// Time constant of a model's work; with a shorter one, random variation looks like work that
/// leaves.
const WORK_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time constant of the estimate.
const ESTIMATE_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Initial estimate, which gives a persistence of four seconds.
const INITIAL_LEAVING_PER_S: f64 = 0.25;

/// Lower bound of the estimated persistence, in seconds.
const MIN_S: f64 = 2.0;

/// Upper bound of the estimated persistence, in seconds. At twenty requests per second and model,
/// random variation alone looks like a sixteenth of all work leaving in a second.
const MAX_S: f64 = 16.0;

/// Work of one model, and its value at the last sample.
#[derive(Clone, Copy, Debug, Default)]
struct SampledWork {
    rate: Rate,
    sampled: f64,
}

/// Estimates which fraction of all work leaves its model in a second.
#[derive(Clone, Debug)]
pub(super) struct Persistence {
    models: BTreeMap<model::Id, SampledWork>,
    sampled_at: Moment,
    /// Estimated fraction of all work that leaves its model in a second.
    leaving_per_s: f64,
}

impl Default for Persistence {
    fn default() -> Persistence {
        Persistence {
            models: BTreeMap::new(),
            sampled_at: Duration::ZERO,
            leaving_per_s: INITIAL_LEAVING_PER_S,
        }
    }
}

impl Persistence {
    /// Records work of a model.
    pub(super) fn add(&mut self, model: &model::Id, work: f64, now: Moment) {
        self.models.entry(model.clone()).or_default().rate.add(WORK_TIME_CONSTANT, work, now);
        if self.sampled_at + SAMPLE_INTERVAL <= now {
            self.sample(now);
        }
    }

    /// Returns the mean time that demand stays with a model, in seconds.
    pub(super) fn mean_s(&self) -> f64 {
        (1.0 / self.leaving_per_s).clamp(MIN_S, MAX_S)
    }

    fn sample(&mut self, now: Moment) {
        let time = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.sampled_at = now;
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
