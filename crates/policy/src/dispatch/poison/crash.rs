//! Crashes, as hosts send them to each other.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::Subject;

/// How a subject ran on the server that crashed. In a merge the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub enum Isolation {
    /// Together with other requests that are as likely to have crashed the server.
    #[serde(rename = "Beside")]
    Shared,
    /// As the only suspect on the server.
    #[serde(rename = "Apart")]
    Isolated,
}

/// Whether a crash counts. In a merge the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub enum CrashState {
    /// The server has not crashed so far: a suspect runs there.
    #[serde(rename = "Open")]
    Running,
    /// The crash counts.
    #[serde(rename = "Counts")]
    Counted,
    /// The crash counts, and the registration of the server has ended. Used for parts only.
    Ended,
    /// The server did not crash, or not by this subject.
    Void,
}

/// States that a subject was at a run of a server when that run ended.
///
/// Only the witness starts a new turn; any host may find the crash void.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Crash {
    /// The request, or the part of its prompt.
    #[serde(rename = "request")]
    pub subject: Subject,
    /// The run of the server.
    pub server: backend::Id,
    /// The host that sent the request there.
    pub witness: host::Id,
    /// Number of earlier runs of the subject on the server whose crash was void. In a merge the
    /// higher turn wins.
    pub turn: u32,
    /// How the subject ran there.
    #[serde(rename = "role")]
    pub isolation: Isolation,
    /// Whether the crash counts.
    #[serde(rename = "verdict")]
    pub state: CrashState,
    /// Time since the crash was seen.
    #[serde(with = "types::time::millis")]
    pub age: Duration,
}

impl Crash {
    /// Merges what two hosts know of one crash.
    #[must_use]
    pub fn joined(self, other: &Crash) -> Crash {
        match self.turn.cmp(&other.turn) {
            Ordering::Less => return other.clone(),
            Ordering::Equal => {}
            Ordering::Greater => return self,
        }
        Crash {
            isolation: self.isolation.max(other.isolation),
            state: self.state.max(other.state),
            age: self.age.max(other.age),
            ..self
        }
    }
}
