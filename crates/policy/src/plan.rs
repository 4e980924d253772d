//! Placement through a ledger: which engine holds which models, and the moves that lead there.
//!
//! A [`Planner`] is given the declared configuration, what each engine holds or has reserved, and
//! the work of each model. It returns the moves that may start now, the most urgent first. It makes
//! no reservation of its own: the ledger reserves memory, and each move is a proposal that the
//! ledger may refuse. After the moves have been tried, the caller must set the engines again; an
//! engine that isn't set counts as unchanged, so a move that was never made is proposed again.
//!
//! Priorities, in order: every model resident; every model on two engines in different availability
//! zones; further replicas where each raises attainment (the share of requests that meet their
//! latency target) most for the moves that it costs. A ready replica is evicted only while another
//! one is ready (make before break); [`Move::keeper`] names the engine of that one, so that whoever
//! carries out the move can keep the replica there meanwhile. Memory that nothing needs is left as
//! it is, since freeing it costs a move too.

mod adapters;
mod bucket;
pub mod fit;
pub mod forecast;
mod gain;
mod planner;
mod residency;
mod room;
mod utilization;
mod working_state;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{order::Action, prelude::*, resident::Resident};

pub use self::planner::Planner;

/// Membership state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts requests and orders.
    Live,
    /// Unreachable, possibly crashed. Gets no new load, and no eviction relies on its replicas.
    Suspected,
    /// About to leave. Gets no new load, and its replicas are replaced elsewhere.
    Leaving,
}

/// An engine as the ledger and the membership describe it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The server that runs the engine.
    pub server: backend::Id,
    /// The group of engines that it belongs to; a model declares the group that serves it.
    pub group: backend::Group,
    /// The engine's availability zone.
    pub zone: availability::Id,
    /// Membership state, which decides whether the engine may be used.
    pub state: State,
    /// Memory neither in use nor reserved, in MiB.
    pub free: Mebibytes,
    /// What occupies memory. An unsettled order counts as in progress: a load as loading, an unload
    /// as unloading. Both still occupy their memory.
    pub residents: Vec<Resident>,
}

/// Work of a model, in engines' worth: 1.0 keeps one engine fully utilized.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work offered now.
    pub now: f64,
    /// Work expected within the forecast's look-ahead.
    pub forecast: f64,
}

impl Demand {
    /// Returns the work that placement provides for: the larger of the two, not below zero.
    pub fn provided(self) -> f64 {
        self.now.max(self.forecast).max(0.0)
    }
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Mean rate of loads that may start.
    pub loads_per_second: f64,
    /// Maximum number of loads in progress.
    pub max_concurrent_loads: usize,
}

impl Limits {
    /// No limits, for checks of what could be placed.
    pub const NONE: Limits =
        Limits { loads_per_second: f64::INFINITY, max_concurrent_loads: usize::MAX };
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { loads_per_second: 2.0, max_concurrent_loads: 2 }
    }
}

/// The reason for a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No engine holds the model.
    Missing,
    /// All of the model's replicas are on engines that are suspected or leaving.
    Leaving,
    /// The declared version has changed.
    Version,
    /// A replica lacks a declared adapter.
    Adapter,
    /// The model has too few replicas, or all of them are in one availability zone.
    Spread,
    /// The model's work needs another replica.
    Demand,
    /// Frees memory for another model or adapter.
    Room,
    /// The model or adapter is no longer declared.
    Removed,
}

/// A proposed order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The server that the order is for.
    pub server: backend::Id,
    /// The load or unload.
    pub action: Action,
    /// The reason, for logs.
    pub cause: Cause,
    /// For an unload of a model that stays declared: the engine whose ready replica replaces the
    /// unloaded one.
    pub keeper: Option<backend::Id>,
}

impl Move {
    /// Returns the model version or adapter version to load or unload; `None` for a change of role.
    pub fn unit(&self) -> Option<&Unit> {
        match &self.action {
            Action::Load { unit, .. } | Action::Unload { unit } => Some(unit),
            Action::Role { .. } => None,
        }
    }

    /// Whether the move loads from the weight store.
    pub fn is_load(&self) -> bool {
        matches!(self.action, Action::Load { .. })
    }
}

/// Minimum age of a replica before it may be evicted for another model's demand.
pub const MIN_DEMAND_REPLICA_AGE: Duration = Duration::from_secs(60);

/// Replicas that each model gets where memory allows, even if fewer are declared.
pub const MIN_REPLICAS: usize = 2;
