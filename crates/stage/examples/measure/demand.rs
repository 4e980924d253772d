//! Demand over the time of a run, and the seeded random arrivals that follow it.

use std::time::Duration;

use clap::ValueEnum;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use types::prelude::*;

use crate::deployment::{Sizes, TOKENS};

/// Demand over the time of a run, before it is multiplied by `--level`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Demand {
    /// Constant: the same models are busy all the time.
    Steady,
    /// Steady, but five times as high for the urgent service in the middle third of the run.
    LobbyRush,
    /// After a third of the run the order of the models by demand is reversed, which changes the
    /// demand for some by more than ten times.
    Shift,
    /// Rises over the whole run from 0.3 to 1.4 times the steady demand.
    PostOffice,
}

/// A scheduled request.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) model: model::Id,
    pub(crate) adapter: Option<adapter::Id>,
    pub(crate) tokens: u32,
    pub(crate) prompt: u32,
}

/// All arrivals of a run in order of time; the same for every strategy with the same seed.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) duration: Duration,
}

impl Schedule {
    pub(crate) fn new(
        sizes: &Sizes,
        demand: Demand,
        level: f64,
        duration: Duration,
        seed: u64,
    ) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ranks: Vec<usize> = (0..sizes.config.models.len()).collect();
        ranks.shuffle(&mut rng);
        let mut arrivals = Vec::new();
        for ((id, model), rank) in sizes.config.models.iter().zip(&ranks) {
            let is_urgent =
                sizes.service(id).is_some_and(|(_, service)| service.priority == Priority::Urgent);
            let rate = |at: f64| level * rate(sizes, demand, *rank, is_urgent, at);
            let adapters: Vec<&adapter::Id> = model.adapters.keys().collect();
            for at in arrival_times(&mut rng, duration, rate) {
                let pick = rng.random_range(0..=adapters.len());
                arrivals.push(Arrival {
                    at,
                    model: id.clone(),
                    adapter: adapters.get(pick).map(|adapter| (*adapter).clone()),
                    tokens: rng.random_range(TOKENS / 2..=TOKENS * 3 / 2),
                    prompt: rng.random_range(0..1_000),
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Schedule { arrivals, duration }
    }
}

/// Requests per second at level 1 for the model of this rank by demand; `at` is the share of the
/// run that has passed.
fn rate(sizes: &Sizes, demand: Demand, rank: usize, is_urgent: bool, at: f64) -> f64 {
    let models = sizes.config.models.len();
    let weight = |rank: usize| 1.0 / (rank as f64 + 1.0);
    let sum: f64 = (0..models).map(weight).sum();
    let is_middle_third = (1.0 / 3.0..2.0 / 3.0).contains(&at);
    let (rank, level) = match demand {
        Demand::Steady => (rank, 1.0),
        Demand::LobbyRush if is_middle_third && is_urgent => (rank, 5.0),
        Demand::LobbyRush => (rank, 1.0),
        Demand::Shift if 1.0 / 3.0 <= at => (models - 1 - rank, 1.0),
        Demand::Shift => (rank, 1.0),
        Demand::PostOffice => (rank, 0.3 + 1.1 * at),
    };
    level * sizes.engines as f64 * sizes.engine_rate() * weight(rank) / sum
}

/// Arrival times of a Poisson process with a varying rate, by thinning: draws arrivals at the
/// maximum rate and keeps each with the probability of the current rate over the maximum.
fn arrival_times(
    rng: &mut ChaCha8Rng,
    duration: Duration,
    rate: impl Fn(f64) -> f64,
) -> Vec<Duration> {
    let seconds = duration.as_secs_f64();
    let max_rate = (0..=100).map(|part| rate(f64::from(part) / 100.0)).fold(f64::EPSILON, f64::max);
    let mut arrival_times = Vec::new();
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / max_rate;
        if seconds <= at {
            return arrival_times;
        }
        if rng.random::<f64>() * max_rate < rate(at / seconds) {
            arrival_times.push(Duration::from_secs_f64(at));
        }
    }
}
