//! Adaptive limits on requests in flight for each server and model.
//!
//! A host sees neither how many requests other hosts send to the same server nor how far the
//! engine's batch can still grow, so an adaptive limit infers both from the outcomes of this host's
//! requests. There are three algorithms: a fixed limit, additive increase with multiplicative
//! decrease (AIMD), and one that follows the gradient of the first-token time.
//! `docs/design/caller-path.md` compares them and gives the reasons for the default.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
};

use types::prelude::*;

use crate::route::{DestinationIndex, Index};

/// Outcome of a request, as a limiter sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The first token arrived.
    FirstToken {
        /// Time from sending the request to its first token.
        time: Duration,
        /// Objective for that time.
        target: Duration,
    },
    /// The server refused the request for load, or did not answer in time.
    Overload,
    /// The request ended for a reason that is unrelated to load.
    Neutral,
}

/// Algorithm that sets a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Algorithm {
    /// Constant limit.
    Fixed(u32),
    /// Additive increase, multiplicative decrease (AIMD).
    Aimd(Aimd),
    /// Limit that follows the gradient of the first-token time.
    Gradient(Gradient),
}

impl Default for Algorithm {
    fn default() -> Algorithm {
        Algorithm::Gradient(Gradient::default())
    }
}

/// Parameters of additive increase with multiplicative decrease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aimd {
    /// Initial limit, in requests.
    pub initial: f64,
    /// Lower bound of the limit; at least one.
    pub min: f64,
    /// Upper bound of the limit.
    pub max: f64,
    /// Increase of the limit over as many good answers as the limit counts requests.
    pub increase: f64,
    /// Factor applied to the limit on overload; below one.
    pub decrease: f64,
    /// Fraction of its objective that a first-token time may reach before it counts as overload.
    pub slow_fraction: f64,
    /// Shortest interval between two decreases, so that one overload decreases the limit once.
    pub decrease_interval: Duration,
}

impl Default for Aimd {
    fn default() -> Aimd {
        Aimd {
            initial: 16.0,
            min: 1.0,
            max: 256.0,
            increase: 1.0,
            decrease: 0.7,
            slow_fraction: 0.5,
            decrease_interval: Duration::from_millis(250),
        }
    }
}

/// Parameters of the gradient algorithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gradient {
    /// Initial limit, in requests.
    pub initial: f64,
    /// Lower bound of the limit; at least one.
    pub min: f64,
    /// Upper bound of the limit.
    pub max: f64,
    /// Multiple of the baseline first-token time that is tolerated before the limit falls.
    pub tolerance: f64,
    /// Weight of a new limit against the previous one, between zero and one.
    pub smoothing: f64,
    /// Length of the moving average that gives the baseline time, in samples.
    pub window: f64,
}

impl Default for Gradient {
    fn default() -> Gradient {
        Gradient {
            initial: 16.0,
            min: 1.0,
            max: 256.0,
            tolerance: 1.5,
            smoothing: 0.2,
            window: 100.0,
        }
    }
}

/// Limiter of the requests in flight on one server for one model.
#[derive(Clone, Debug)]
pub struct Limiter {
    algorithm: Algorithm,
    limit: f64,
    in_flight: u32,
    /// Moving average of the first-token time, in seconds; zero before the first.
    baseline: f64,
    /// When the AIMD algorithm last decreased the limit; zero before the first time.
    decreased_at: Moment,
}

impl Limiter {
    /// Returns a limiter without requests in flight, at the algorithm's initial limit.
    pub fn new(algorithm: Algorithm) -> Limiter {
        let limit = match algorithm {
            Algorithm::Fixed(limit) => f64::from(limit),
            Algorithm::Aimd(aimd) => aimd.initial,
            Algorithm::Gradient(gradient) => gradient.initial,
        };
        Limiter { algorithm, limit, in_flight: 0, baseline: 0.0, decreased_at: Duration::ZERO }
    }

    /// Largest number of requests in flight now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of requests that may still start.
    pub fn room(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Counts a request that starts.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that has ended, whatever its outcome.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adapts the limit to the outcome of a request.
    pub fn signal(&mut self, signal: Signal, now: Moment) {
        match self.algorithm {
            Algorithm::Fixed(_) => {}
            Algorithm::Aimd(aimd) => self.adapt_aimd(aimd, signal, now),
            Algorithm::Gradient(gradient) => self.adapt_gradient(gradient, signal),
        }
    }

    fn adapt_aimd(&mut self, aimd: Aimd, signal: Signal, now: Moment) {
        let is_overload = match signal {
            Signal::Neutral => return,
            Signal::Overload => true,
            Signal::FirstToken { time, target } => target.mul_f64(aimd.slow_fraction) < time,
        };
        if is_overload {
            if self.decreased_at == Duration::ZERO
                || aimd.decrease_interval <= now.saturating_sub(self.decreased_at)
            {
                self.limit = (self.limit * aimd.decrease).max(aimd.min);
                self.decreased_at = now.max(Duration::from_nanos(1));
            }
        } else if self.is_half_used() {
            self.limit = (self.limit + aimd.increase / self.limit).min(aimd.max);
        }
    }

    fn adapt_gradient(&mut self, gradient: Gradient, signal: Signal) {
        let time = match signal {
            Signal::Neutral => return,
            Signal::Overload => self.baseline * gradient.tolerance * 2.0,
            Signal::FirstToken { time, .. } => time.as_secs_f64(),
        };
        if time <= 0.0 {
            return;
        }
        let baseline = if self.baseline == 0.0 { time } else { self.baseline };
        self.baseline = baseline + (time - baseline) / gradient.window;
        if baseline < time || self.is_half_used() {
            let slope = (gradient.tolerance * baseline / time).clamp(0.5, 1.0);
            let next = self.limit * slope + self.limit.sqrt();
            let smooth = self.limit + (next - self.limit) * gradient.smoothing;
            self.limit = smooth.clamp(gradient.min, gradient.max);
        }
    }

    /// Whether at least half of the limit is in flight. The outcome of requests below that does not
    /// show whether more would fit.
    fn is_half_used(&self) -> bool {
        self.limit() <= self.in_flight.saturating_mul(2)
    }
}

/// Limiters of one host, by server and by the destination of the model or group.
#[derive(Clone, Debug, Default)]
pub struct Limiters {
    algorithm: Algorithm,
    /// The hasher has no random state, and the iteration order is never exposed.
    limiters: HashMap<(Index, DestinationIndex), Limiter, BuildHasherDefault<DefaultHasher>>,
}

impl Limiters {
    /// Returns an empty set; each limiter is created with this algorithm.
    pub fn new(algorithm: Algorithm) -> Limiters {
        Limiters { algorithm, limiters: HashMap::default() }
    }

    /// Number of requests that may still start on a server for a model.
    pub fn room(&self, server: Index, destination: DestinationIndex) -> u32 {
        match self.limiters.get(&(server, destination)) {
            Some(limiter) => limiter.room(),
            None => Limiter::new(self.algorithm).room(),
        }
    }

    /// Number of requests in flight on a server for a model.
    pub fn in_flight(&self, server: Index, destination: DestinationIndex) -> u32 {
        self.limiters.get(&(server, destination)).map_or(0, Limiter::in_flight)
    }

    /// Limiter of a server and a model, created on first use.
    pub fn limiter(&mut self, server: Index, destination: DestinationIndex) -> &mut Limiter {
        let algorithm = self.algorithm;
        self.limiters.entry((server, destination)).or_insert_with(|| Limiter::new(algorithm))
    }

    /// All limiters, ordered by server and destination.
    pub fn iter(&self) -> impl Iterator<Item = (Index, DestinationIndex, &Limiter)> {
        let mut keys: Vec<(Index, DestinationIndex)> = self.limiters.keys().copied().collect();
        keys.sort_unstable();
        keys.into_iter().map(|key| (key.0, key.1, &self.limiters[&key]))
    }

    /// Drops the limiters of a server that is gone, except those with requests in flight.
    pub fn forget(&mut self, server: Index) {
        self.limiters.retain(|(other, _), limiter| *other != server || 0 < limiter.in_flight);
    }
}
