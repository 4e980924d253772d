//! The models that a step of a plan may be for.
//!
//! A step hardly changes the gains of steps for other models, and mostly lowers them. So a model is
//! evaluated anew only if its last gain exceeds those that are up to date, or if the last step has
//! changed its own replicas.

use std::{cmp::Ordering, collections::BinaryHeap};

use super::{Draft, Open, Step, best_step_for};
use crate::place::{eviction::Offer, store::Allowance};

/// The models that another replica may be of value for.
pub(super) struct Candidates(BinaryHeap<Candidate>);

/// A model with the gain of its best step when it was last evaluated.
pub(super) struct Candidate {
    pub(super) gain: f64,
    pub(super) model: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        self.gain.total_cmp(&other.gain).then(other.model.cmp(&self.model))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Candidate) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

impl Candidates {
    /// Returns models that have not been evaluated yet.
    pub(super) fn new(models: usize) -> Candidates {
        Candidates((0..models).map(|model| Candidate { gain: f64::INFINITY, model }).collect())
    }

    /// Has models evaluated anew.
    pub(super) fn reset(&mut self, models: &[usize]) {
        self.0.retain(|candidate| !models.contains(&candidate.model));
        let reset = |&model: &usize| Candidate { gain: f64::INFINITY, model };
        self.0.extend(models.iter().map(reset));
    }

    /// Takes the step with the highest gain. Models without a step are no longer candidates.
    pub(super) fn best_step(
        &mut self,
        draft: &Draft,
        store: &mut Allowance,
        offers: &[Offer],
    ) -> Option<Step> {
        let open = Open::new(draft, store, offers);
        let mut best: Option<Step> = None;
        while let Some(candidate) = self.0.pop() {
            if best.as_ref().is_some_and(|best| candidate < best.candidate()) {
                self.0.push(candidate);
                break;
            }
            let Some(step) = best_step_for(draft, store, candidate.model, &open, offers) else {
                continue;
            };
            let is_better = best.as_ref().is_none_or(|best| best.candidate() < step.candidate());
            let second = if is_better { best.replace(step) } else { Some(step) };
            self.0.extend(second.map(|step| step.candidate()));
        }
        best
    }
}
