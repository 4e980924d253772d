//! Placement: which engine holds what, and the moves towards it.
//!
//! A [`Planner`] is told what is declared, what each engine holds or has reserved, and how much
//! work each model gets. It answers with the moves that may start now, the most pressing first.
//! It keeps no promise of its own: memory is promised by the ledger, and each move is a proposal
//! that the ledger may refuse. After the moves are tried, the planner must be told the engines
//! anew; what it is not told is taken as unchanged, so that a move that was never made is
//! proposed again.
//!
//! Order of concern: every model resident, then twice and in different availability zones, then
//! more replicas where each raises attainment most for the moves it costs. A replica that answers
//! is given up only while another one does (make before break); [`Move::keeper`] names that one,
//! so that whoever carries out the move can hold it there meanwhile. Memory that nobody needs is
//! left as it is, since freeing it is a move too.

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

/// What is known of an engine's place in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work and orders.
    Live,
    /// Silent; may be dead. Gets nothing new, and nothing relies on it.
    Suspected,
    /// About to go. Gets nothing new, and its replicas are made elsewhere.
    Leaving,
}

/// An engine as the ledger and the membership see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The server.
    pub server: backend::Id,
    /// Its group.
    pub group: backend::Group,
    /// The availability zone it stands in.
    pub zone: availability::Id,
    /// Whether it takes work.
    pub state: State,
    /// Memory neither taken nor reserved, in MiB.
    pub free: Mebibytes,
    /// What takes memory there. A load that is ordered but not settled counts as loading, an
    /// unload that is ordered but not settled as unloading; both still take their memory.
    pub residents: Vec<Resident>,
}

/// Work that a model gets, in engines' worth: 1.0 keeps one engine busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work offered now.
    pub now: f64,
    /// Work expected within the look-ahead.
    pub ahead: f64,
}

impl Demand {
    /// The work that placement provides for.
    pub fn provided(self) -> f64 {
        self.now.max(self.ahead).max(0.0)
    }
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Loads that may start in each second, in the mean.
    pub loads_per_second: f64,
    /// Loads that run at once.
    pub at_once: usize,
}

impl Limits {
    /// No limit, for checks of what could be placed.
    pub const NONE: Limits = Limits { loads_per_second: f64::INFINITY, at_once: usize::MAX };
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { loads_per_second: 2.0, at_once: 2 }
    }
}

/// Why a move is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No engine holds the model.
    Missing,
    /// The model's replicas stand on engines that leave.
    Leaving,
    /// The version in force has changed.
    Version,
    /// An adapter follows its base model.
    Adapter,
    /// The model has too few replicas, or all in one availability zone.
    Spread,
    /// The work that the model gets asks for another replica.
    Demand,
    /// Makes room for another model.
    Room,
    /// No longer declared.
    Removed,
}

/// One proposed order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub server: backend::Id,
    /// A load or an unload.
    pub action: Action,
    /// Why.
    pub cause: Cause,
    /// For an unload of a model that stays declared: the engine whose ready replica it relies on.
    pub keeper: Option<backend::Id>,
}

impl Move {
    /// What is moved; none for a change of role.
    pub fn unit(&self) -> Option<&Unit> {
        match &self.action {
            Action::Load { unit, .. } | Action::Unload { unit } => Some(unit),
            Action::Role { .. } => None,
        }
    }

    /// Whether the weight store has to serve it.
    pub fn is_load(&self) -> bool {
        matches!(self.action, Action::Load { .. })
    }
}

/// Least time that a replica made for demand is kept against other demand.
pub const MIN_DEMAND_REPLICA_AGE: Duration = Duration::from_secs(60);

/// Replicas that a model gets where memory allows, whatever is declared.
pub const MIN_REPLICAS: usize = 2;
