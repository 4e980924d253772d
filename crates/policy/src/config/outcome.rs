//! Outcome of a patch, as hosts and the command line exchange it.

use serde::{Deserialize, Serialize};
use types::config::Number;

use super::{check::Problem, decide::Stale, fit::Shortage};

/// Outcome of a patch, as shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The patch became this number.
    Accepted {
        /// Number of the new configuration.
        number: Number,
    },
    /// The patch had become this number before; nothing was done.
    Repeated {
        /// Number that the patch became.
        number: Number,
    },
    /// The patch would change nothing at this number.
    Unchanged {
        /// Current number.
        number: Number,
    },
    /// The patch is based on an earlier number, or on one not reached yet.
    Stale(Stale),
    /// Another patch has the same name.
    Reused,
    /// The result would not be a valid configuration.
    Invalid {
        /// Findings in the result.
        problems: Vec<Problem>,
    },
    /// The result, or a step on the way to it, doesn't fit in memory.
    Short {
        /// Shortages by group and model.
        shortages: Vec<Shortage>,
    },
    /// The object API doesn't answer. The patch may have been accepted all the same: the same patch
    /// sent again under the same name gets the first outcome.
    Unavailable {
        /// Error of the object API's client.
        cause: String,
    },
}

impl Outcome {
    /// Returns a number at which the patch is in the configuration; `None` if the patch was refused
    /// or its outcome is unknown.
    pub fn number(&self) -> Option<Number> {
        match self {
            Outcome::Accepted { number }
            | Outcome::Repeated { number }
            | Outcome::Unchanged { number } => Some(*number),
            _ => None,
        }
    }

    /// Returns the outcome's name in logs and events.
    pub fn label(&self) -> &'static str {
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
