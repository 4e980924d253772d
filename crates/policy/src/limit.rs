//! Adaptive limits on work in flight for each server and model.
//!
//! A host sees neither how many other hosts send to the same server nor how far the engine's batch
//! can still grow; a limit that adapts finds out from what its own requests meet. Three ways stand
//! side by side so that they can be measured against each other: a fixed limit, additive increase
//! with multiplicative decrease (AIMD), and one that follows the gradient of the first-token time.
//! `docs/design/caller-path.md` holds the measurement and the choice.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
};

use types::prelude::*;

use crate::route::{DestinationIndex, Index};

/// How a request ended, as far as a limit cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The first token came after this time, of so much that its target allows.
    FirstToken {
        /// Time that it took.
        time: Duration,
        /// Time that it may take.
        target: Duration,
    },
    /// The server refused it for load, or gave no answer in time.
    Overload,
    /// It ended for a reason that says nothing about load.
    Neutral,
}

/// How a limit is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Algorithm {
    /// Always the same.
    Fixed(u32),
    /// Additive increase, multiplicative decrease.
    Aimd(Aimd),
    /// After the gradient of the first-token time.
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
    /// Limit to begin with.
    pub initial: f64,
    /// Least limit; at least one.
    pub min: f64,
    /// Greatest limit.
    pub max: f64,
    /// Added for each limit's worth of good answers.
    pub increase: f64,
    /// Factor on overload, below one.
    pub decrease: f64,
    /// Part of its target that a first token may take before it counts as overload.
    pub slow: f64,
    /// Least time between two decreases: one overload is answered once.
    pub pause: Duration,
}

impl Default for Aimd {
    fn default() -> Aimd {
        Aimd {
            initial: 16.0,
            min: 1.0,
            max: 256.0,
            increase: 1.0,
            decrease: 0.7,
            slow: 0.5,
            pause: Duration::from_millis(250),
        }
    }
}

/// Parameters of the gradient algorithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gradient {
    /// Limit to begin with.
    pub initial: f64,
    /// Least limit; at least one.
    pub min: f64,
    /// Greatest limit.
    pub max: f64,
    /// How many times the baseline first-token time is tolerated before the limit falls.
    pub tolerance: f64,
    /// Weight of a new limit against the last, between zero and one.
    pub smoothing: f64,
    /// Samples in the mean that stands for the baseline time.
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

/// Work in flight on one server for one model, and its limit.
#[derive(Clone, Debug)]
pub struct Limiter {
    algorithm: Algorithm,
    limit: f64,
    in_flight: u32,
    baseline: f64,
    decreased_at: Moment,
}

impl Limiter {
    /// Empty, at the algorithm's first limit.
    pub fn new(algorithm: Algorithm) -> Limiter {
        let limit = match algorithm {
            Algorithm::Fixed(limit) => f64::from(limit),
            Algorithm::Aimd(aimd) => aimd.initial,
            Algorithm::Gradient(gradient) => gradient.initial,
        };
        Limiter { algorithm, limit, in_flight: 0, baseline: 0.0, decreased_at: Duration::ZERO }
    }

    /// Most requests in flight now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// How many more may start.
    pub fn room(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// A request starts.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// A request has ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in what a request met.
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
            Signal::FirstToken { time, target } => target.mul_f64(aimd.slow) < time,
        };
        if is_overload {
            if self.decreased_at == Duration::ZERO
                || aimd.pause <= now.saturating_sub(self.decreased_at)
            {
                self.limit = (self.limit * aimd.decrease).max(aimd.min);
                self.decreased_at = now.max(Duration::from_nanos(1));
            }
        } else if self.is_used() {
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
        if baseline < time || self.is_used() {
            let slope = (gradient.tolerance * baseline / time).clamp(0.5, 1.0);
            let next = self.limit * slope + self.limit.sqrt();
            let smooth = self.limit + (next - self.limit) * gradient.smoothing;
            self.limit = smooth.clamp(gradient.min, gradient.max);
        }
    }

    /// A limit that is not used says nothing about whether more would fit.
    fn is_used(&self) -> bool {
        self.limit() <= self.in_flight.saturating_mul(2)
    }
}

/// The limiters of one host, by server and by the destination of the model or group.
#[derive(Clone, Debug, Default)]
pub struct Limiters {
    algorithm: Algorithm,
    /// The hasher has no random state, and the order never shows.
    limiters: HashMap<(Index, DestinationIndex), Limiter, BuildHasherDefault<DefaultHasher>>,
}

impl Limiters {
    /// Without limiters yet; each starts by this algorithm.
    pub fn new(algorithm: Algorithm) -> Limiters {
        Limiters { algorithm, limiters: HashMap::default() }
    }

    /// How many more may start on a server for a model.
    pub fn room(&self, server: Index, destination: DestinationIndex) -> u32 {
        match self.limiters.get(&(server, destination)) {
            Some(limiter) => limiter.room(),
            None => Limiter::new(self.algorithm).room(),
        }
    }

    /// Requests in flight on a server for a model.
    pub fn in_flight(&self, server: Index, destination: DestinationIndex) -> u32 {
        self.limiters.get(&(server, destination)).map_or(0, Limiter::in_flight)
    }

    /// The limiter of a server and a model; it is made when there is none.
    pub fn limiter(&mut self, server: Index, destination: DestinationIndex) -> &mut Limiter {
        let algorithm = self.algorithm;
        self.limiters.entry((server, destination)).or_insert_with(|| Limiter::new(algorithm))
    }

    /// Every limiter, in the order of server and destination.
    pub fn iter(&self) -> impl Iterator<Item = (Index, DestinationIndex, &Limiter)> {
        let mut keys: Vec<(Index, DestinationIndex)> = self.limiters.keys().copied().collect();
        keys.sort_unstable();
        keys.into_iter().map(|key| (key.0, key.1, &self.limiters[&key]))
    }

    /// Drops the limiters of a server that is gone.
    pub fn forget(&mut self, server: Index) {
        self.limiters.retain(|(other, _), limiter| *other != server || 0 < limiter.in_flight);
    }
}
