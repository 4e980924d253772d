//! How much work plans take, in counts that depend on their input alone.

/// Work of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// How often the replicas were determined that may be evicted from a server.
    pub evictions: usize,
    /// Loads of a model on a server that were evaluated.
    pub evaluations: usize,
}

impl Effort {
    /// Adds other work; sums saturate.
    #[must_use]
    pub fn plus(self, other: Effort) -> Effort {
        Effort {
            evictions: self.evictions.saturating_add(other.evictions),
            evaluations: self.evaluations.saturating_add(other.evaluations),
        }
    }
}
