//! How long demand stays with the models that it is for.
//!
//! A replica that is late for the demand that it was meant for is worth nothing, and one of a model
//! whose demand lasts is worth its load however long that takes. How fast demand moves differs by
//! deployment and hour, so it is learnt: what part of all work a second leaves its model.

use std::collections::BTreeMap;

use types::prelude::*;

use super::rate::Rate;

/// Time over which a model's work is averaged: less, and chance alone looks like work that leaves.
const MEMORY: Duration = Duration::from_secs(2);

/// Time between two samples.
const SAMPLE: Duration = Duration::from_millis(500);

/// Time over which what was seen is forgotten.
const LEARN: Duration = Duration::from_secs(10);

/// Part of all work that leaves its model in a second, before any was seen: demand is counted on for
/// four seconds.
const FIRST: f64 = 0.25;

/// Least and most time that demand is counted on, in seconds. Chance alone looks like a sixteenth of
/// all work leaving in a second, at twenty requests a second for each model (reckoned).
const LEAST: f64 = 2.0;
const MOST: f64 = 16.0;

/// Work of one model.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    rate: Rate,
    sampled: f64,
}

/// What part of all work leaves its model.
#[derive(Clone, Debug)]
pub(super) struct Fade {
    flows: BTreeMap<model::Id, Flow>,
    sampled: Moment,
    /// Part of all work in a second.
    part: f64,
}

impl Default for Fade {
    fn default() -> Fade {
        Fade { flows: BTreeMap::new(), sampled: Duration::ZERO, part: FIRST }
    }
}

impl Fade {
    /// Counts work of a model.
    pub(super) fn add(&mut self, model: &model::Id, work: f64, now: Moment) {
        self.flows.entry(model.clone()).or_default().rate.add(MEMORY, work, now);
        if self.sampled + SAMPLE <= now {
            self.sample(now);
        }
    }

    /// How long demand stays, in seconds, in the mean.
    pub(super) fn stay(&self) -> f64 {
        (1.0 / self.part).clamp(LEAST, MOST)
    }

    fn sample(&mut self, now: Moment) {
        let time = now.saturating_sub(self.sampled).as_secs_f64();
        self.sampled = now;
        let (mut all, mut left) = (0.0, 0.0);
        for flow in self.flows.values_mut() {
            let work = flow.rate.value(MEMORY, now);
            all += flow.sampled;
            left += (flow.sampled - work).max(0.0);
            flow.sampled = work;
        }
        if 0.0 < all {
            let weight = (time / LEARN.as_secs_f64()).min(1.0);
            self.part += (left / all / time - self.part) * weight;
        }
    }
}
