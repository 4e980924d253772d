//! What an operator is told of a patch, as hosts and the command line exchange it.

use serde::{Deserialize, Serialize};
use types::config::Number;

use super::{check::Problem, decide::Stale, fit::Shortage};

/// What an operator is told of a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// It made this number.
    Accepted {
        /// The number.
        number: Number,
    },
    /// It had made this number before; nothing was done now.
    Repeated {
        /// The number.
        number: Number,
    },
    /// It would change nothing at this number.
    Unchanged {
        /// The number.
        number: Number,
    },
    /// The number that it is against is past, or not reached yet.
    Stale(Stale),
    /// Another patch has its name.
    Reused,
    /// The result would not be a configuration.
    Invalid {
        /// What is wrong with it, and where.
        problems: Vec<Problem>,
    },
    /// The result, or the way to it, doesn't fit in memory.
    Short {
        /// What is short, and where.
        shortages: Vec<Shortage>,
    },
    /// The object API doesn't answer. The patch may have been accepted all the same: the same
    /// patch under the same name, sent again, gets the first outcome.
    Unavailable {
        /// What the object API's client says.
        cause: String,
    },
}

impl Outcome {
    /// The number that the patch stands at, when it is settled for good.
    pub fn number(&self) -> Option<Number> {
        match self {
            Outcome::Accepted { number }
            | Outcome::Repeated { number }
            | Outcome::Unchanged { number } => Some(*number),
            _ => None,
        }
    }

    /// Stable word for logs and events.
    pub fn word(&self) -> &'static str {
        match self {
            Outcome::Accepted { .. } => "accepted",
            Outcome::Repeated { .. } => "repeated",
            Outcome::Unchanged { .. } => "unchanged",
            Outcome::Stale(_) => "stale",
            Outcome::Reused => "reused",
            Outcome::Invalid { .. } => "invalid",
            Outcome::Short { .. } => "short",
            Outcome::Unavailable { .. } => "unavailable",
        }
    }
}
