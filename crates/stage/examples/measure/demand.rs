//! Shapes of demand, and the arrivals that a seed makes of them.

use std::time::Duration;

use clap::ValueEnum;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use types::prelude::*;

use crate::deployment::{Sizes, TOKENS};

/// Shape of the demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Demand {
    /// The same models busy all the time.
    Steady,
    /// The urgent service's demand is five times as high in the middle third.
    LobbyRush,
    /// After a third, the busy models turn quiet and the quiet ones busy, more than tenfold.
    Shift,
    /// A ramp over the whole run, from three tenths of the steady demand to 1.4 times it.
    PostOffice,
}

/// One request to come.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) model: model::Id,
    pub(crate) adapter: Option<adapter::Id>,
    pub(crate) tokens: u32,
    pub(crate) prompt: u32,
}

/// All arrivals of a run, the same for every way.
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

/// Requests a second for the model of this rank at level 1, `at` in parts of the run.
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

/// Arrival times of a Poisson process whose rate changes, by thinning.
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
