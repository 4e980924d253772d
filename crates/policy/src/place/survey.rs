//! What a planner sees beyond its orders, for operators.

use super::{Effort, Headroom, Unplaced};

/// What plans can work with, and what they leave out.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    /// Servers and replicas that plans can work with.
    pub headroom: Headroom,
    /// Models and adapters that are wanted and have no order under way.
    pub unplaced: Vec<Unplaced>,
    /// Work of the survey itself.
    pub effort: Effort,
}
