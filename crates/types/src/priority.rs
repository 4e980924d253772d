//! Priority of a service's requests.

use serde::{Deserialize, Serialize};

/// Priority of requests in ascending order, so that `max` is the most urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Runs on capacity that other requests leave unused.
    Batch,
    /// May be queued behind urgent requests.
    #[default]
    Normal,
    /// Is served before all others to meet its latency target.
    Urgent,
}

impl Priority {
    /// All priorities in ascending order.
    pub const ALL: [Priority; 3] = [Priority::Batch, Priority::Normal, Priority::Urgent];
}
