//! Priority of a service's requests.

use serde::{Deserialize, Serialize};

/// Priority, least first, so that `max` is the most urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Runs in what is left over.
    Batch,
    /// May wait.
    #[default]
    Normal,
    /// Must meet its target first.
    Urgent,
}

impl Priority {
    /// Every priority, least first.
    pub const ALL: [Priority; 3] = [Priority::Batch, Priority::Normal, Priority::Urgent];
}
