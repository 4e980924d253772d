//! The steps of one request.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{
    adapter, backend, model,
    request::Ran,
    routed::{Kind, RouteId, Version},
};

use super::text::{maybe, millis};
use crate::event::Text;

/// What was decided about a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Step {
    /// It was read and its route found.
    Arrived(Arrival),
    /// It waits.
    Queued {
        /// For what.
        why: Text,
        /// What decided it.
        inputs: Vec<Input>,
    },
    /// It is refused; no byte of it can have reached a server.
    Refused {
        /// Why.
        why: Text,
        /// What decided it.
        inputs: Vec<Input>,
        /// When the caller is told to come back.
        #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
        again: Option<Duration>,
    },
    /// It is sent to a server.
    Attempt(Attempt),
    /// An attempt is over.
    AttemptEnded {
        /// Which.
        attempt: u32,
        /// Where it was sent.
        server: backend::Id,
        /// How it ended: a stable word.
        outcome: Text,
        /// The server's status, if it gave one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        status: Option<u16>,
        /// Whether it ran there.
        ran: Ran,
    },
    /// A stream goes on at another server.
    Resumed {
        /// The attempt that goes on.
        attempt: u32,
        /// Where.
        server: backend::Id,
        /// Last event that the caller had.
        after: u64,
    },
    /// It is over.
    Ended(Ended),
}

impl Step {
    /// The declaration that was in force.
    pub fn version(&self) -> Option<Version> {
        match self {
            Step::Arrived(arrival) => Some(arrival.version),
            Step::Ended(ended) => ended.version,
            Step::Queued { .. }
            | Step::Refused { .. }
            | Step::Attempt(_)
            | Step::AttemptEnded { .. }
            | Step::Resumed { .. } => None,
        }
    }

    /// Whether it is about this server, or weighed it.
    pub fn mentions(&self, id: &backend::Id) -> bool {
        match self {
            Step::Attempt(attempt) => {
                attempt.server == *id || attempt.candidates.iter().any(|c| c.server == *id)
            }
            Step::AttemptEnded { server, .. } | Step::Resumed { server, .. } => server == id,
            Step::Ended(ended) => ended.server.as_ref() == Some(id),
            Step::Arrived(_) | Step::Queued { .. } | Step::Refused { .. } => false,
        }
    }
}

/// A request as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Its route.
    pub route: RouteId,
    /// The declaration in force.
    pub version: Version,
    /// The model that it asks for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<model::Id>,
    /// The adapter that it asks for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<adapter::Id>,
    /// What may be repeated.
    pub repeat: Kind,
    /// Time left to it.
    #[serde(with = "millis")]
    pub deadline: Duration,
}

/// A value that a decision rests on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// What it is.
    pub name: Text,
    /// Its value.
    pub value: f64,
    /// How old it is; none if it is this host's own.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub age: Option<Duration>,
}

impl Input {
    /// A value that is this host's own.
    pub fn own(name: &'static str, value: f64) -> Input {
        Input { name: Text::Borrowed(name), value, age: None }
    }

    /// A value that was heard so long ago.
    pub fn received(name: &'static str, value: f64, age: Duration) -> Input {
        Input { age: Some(age), ..Input::own(name, value) }
    }
}

/// A server that a request could go to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The server.
    pub server: backend::Id,
    /// Expected time to the first event, or to the answer.
    #[serde(with = "millis")]
    pub estimate: Duration,
    /// Age of the report that the estimate rests on; none if there was no report.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub age: Option<Duration>,
}

/// A request on its way to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Which it is, from one.
    pub attempt: u32,
    /// This run of the server's process.
    pub server: backend::Id,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is sent: a stable word.
    pub sent: Text,
    /// Why this server: a stable word.
    pub why: Text,
    /// Expected time to the first event, or to the answer; none if nobody says.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub estimate: Option<Duration>,
    /// Time left, as the server is told.
    #[serde(with = "millis")]
    pub left: Duration,
    /// The servers that it was chosen from.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Candidate>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Whole and in time.
    Answered,
    /// Whole, but past its goal or with too long a pause.
    Late,
    /// Refused; it has not run.
    Refused,
    /// Failed, with a clear answer of a server.
    Failed,
    /// It may have run; nobody knows.
    Unclear,
    /// A stream that broke off midway.
    Cut,
    /// The caller went away.
    Left,
}

/// The one line of a request that went well, and the last of one that did not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// How.
    pub outcome: Outcome,
    /// The status that the caller got.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Why: a stable word.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Text>,
    /// Its route, if that was found.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteId>,
    /// The declaration in force when it came.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// The model that it asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<model::Id>,
    /// The adapter that it asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<adapter::Id>,
    /// The last server that had it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<backend::Id>,
    /// How often it was sent.
    pub attempts: u32,
    /// Time to the first event, or to the answer's head.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub first: Option<Duration>,
    /// Events that the caller got.
    pub events: u32,
    /// Time from the first byte to the last.
    #[serde(with = "millis")]
    pub whole: Duration,
    /// Steps that were too many to keep.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lost: u32,
    /// How many requests that went well the line stands for.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub of: u32,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn one() -> u32 {
    1
}

fn is_one(value: &u32) -> bool {
    *value == 1
}
