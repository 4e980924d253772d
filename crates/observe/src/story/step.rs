//! Steps in the handling of one request.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{
    adapter, backend, customer, host, model,
    request::Ran,
    routed::{Kind, RouteId, Version},
};

use super::text::{maybe, millis};
use crate::event::Text;

/// A step in the handling of a request: a decision or its result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Step {
    /// The request was received and its route found.
    Arrived(Arrival),
    /// The request was queued.
    Queued {
        /// Stable identifier of what the request waits for.
        why: Text,
        /// Values that the decision was based on.
        inputs: Vec<Input>,
    },
    /// The request was refused; no byte of it can have reached a server.
    Refused {
        /// Stable identifier of the cause.
        why: Text,
        /// Values that the decision was based on.
        inputs: Vec<Input>,
        /// Time after which the caller is asked to retry.
        #[serde(
            rename = "again",
            default,
            with = "maybe",
            skip_serializing_if = "Option::is_none"
        )]
        retry_after: Option<Duration>,
    },
    /// The request is sent to a server.
    Attempt(Attempt),
    /// The connection for an attempt leads through another host.
    Relayed {
        /// Number of the attempt, from one.
        attempt: u32,
        /// The server that the request is sent to.
        server: backend::Id,
        /// The host that connects to the server.
        via: host::Id,
    },
    /// The server of an attempt counts as unresponsive, and another one is sought.
    Unresponsive {
        /// Number of the attempt, from one.
        attempt: u32,
        /// The server that the request was sent to.
        server: backend::Id,
        /// Stable identifier of what found the server unresponsive.
        why: Text,
        /// Time since the server last sent something for the request, or since it was sent.
        #[serde(with = "millis")]
        silent: Duration,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Number of the attempt, from one.
        attempt: u32,
        /// The server that the request was sent to.
        server: backend::Id,
        /// Stable identifier of the outcome.
        outcome: Text,
        /// HTTP status of the server's response, if there was one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        status: Option<u16>,
        /// Whether the server may have executed the request.
        ran: Ran,
    },
    /// No further server is asked for a request that may have run.
    GivenUp {
        /// Stable identifier of the cause.
        cause: Text,
        /// Time until the deadline.
        #[serde(with = "millis")]
        left: Duration,
        /// Number of events that the caller has received.
        events: u32,
        /// Number of attempts.
        attempts: u32,
        /// Further attempts that this host may still make for the service; `None` if no request for
        /// it has arrived.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        budget: Option<f64>,
    },
    /// A stream is resumed on another server.
    Resumed {
        /// Number of the attempt that resumes the stream, from one.
        attempt: u32,
        /// The server that resumes the stream.
        server: backend::Id,
        /// Number of the last event that the caller has received.
        after: u64,
    },
    /// The stream goes on at servers of one version only.
    StreamVersion {
        /// Version of the software of the servers, or its digest if none of them is known.
        software: Text,
        /// Stable identifier of how the version is known.
        source: Text,
        /// The host that had the record of the stream, if another one did.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host: Option<host::Id>,
    },
    /// The request ended.
    Ended(Ended),
}

impl Step {
    /// Returns the number of the declaration in force, if the step states it.
    pub fn version(&self) -> Option<Version> {
        match self {
            Step::Arrived(arrival) => Some(arrival.version),
            Step::Ended(ended) => ended.version,
            Step::Queued { .. }
            | Step::Refused { .. }
            | Step::Attempt(_)
            | Step::Relayed { .. }
            | Step::Unresponsive { .. }
            | Step::AttemptEnded { .. }
            | Step::GivenUp { .. }
            | Step::Resumed { .. }
            | Step::StreamVersion { .. } => None,
        }
    }

    /// Returns whether the step is about this server, or considered it as a candidate.
    pub fn mentions(&self, id: &backend::Id) -> bool {
        match self {
            Step::Attempt(attempt) => {
                attempt.server == *id || attempt.candidates.iter().any(|c| c.server == *id)
            }
            Step::Relayed { server, .. }
            | Step::Unresponsive { server, .. }
            | Step::AttemptEnded { server, .. }
            | Step::Resumed { server, .. } => server == id,
            Step::Ended(ended) => ended.server.as_ref() == Some(id),
            Step::Arrived(_)
            | Step::Queued { .. }
            | Step::Refused { .. }
            | Step::GivenUp { .. }
            | Step::StreamVersion { .. } => false,
        }
    }
}

/// A request as it was received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The request's route.
    pub route: RouteId,
    /// Number of the declaration in force.
    pub version: Version,
    /// The requested model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<model::Id>,
    /// The requested adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<adapter::Id>,
    /// The customer on whose behalf the request was sent, if its caller was identified.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<customer::Id>,
    /// Whether the request may be executed more than once.
    pub repeat: Kind,
    /// Time until the request's deadline.
    #[serde(with = "millis")]
    pub deadline: Duration,
}

/// A value that a decision was based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// Stable name of the value.
    pub name: Text,
    /// The value at the time of the decision.
    pub value: f64,
    /// Age of the value; `None` if it is this host's own.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub age: Option<Duration>,
}

impl Input {
    /// Returns a value of this host's own.
    pub fn own(name: &'static str, value: f64) -> Input {
        Input { name: Text::Borrowed(name), value, age: None }
    }

    /// Returns a value that was received from elsewhere and has this age.
    pub fn received(name: &'static str, value: f64, age: Duration) -> Input {
        Input { age: Some(age), ..Input::own(name, value) }
    }
}

/// A server that was considered for an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The run of the server's process.
    pub server: backend::Id,
    /// Estimated time to the first event, or to the response.
    #[serde(with = "millis")]
    pub estimate: Duration,
    /// Age of the report that the estimate is based on; `None` if there was no report.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub age: Option<Duration>,
}

/// An attempt to run a request on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the attempt, from one.
    pub attempt: u32,
    /// The run of the server's process.
    pub server: backend::Id,
    /// The address that the request is sent to.
    pub address: SocketAddr,
    /// Stable identifier of what is sent.
    pub sent: Text,
    /// Stable identifier of the reason for choosing the server.
    pub why: Text,
    /// Estimated time to the first event, or to the response; `None` if there is no estimate.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub estimate: Option<Duration>,
    /// Time until the deadline, as stated to the server.
    #[serde(with = "millis")]
    pub left: Duration,
    /// The servers that were considered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Candidate>,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered completely and in time.
    Answered,
    /// Answered completely, but past the latency objective or with too long a gap between events.
    Late,
    /// Refused without being executed.
    Refused,
    /// Failed with an error response of a server.
    Failed,
    /// Failed, and it is unknown whether it was executed.
    Unclear,
    /// A stream that ended before it was complete.
    Cut,
    /// The caller closed the connection.
    Left,
}

/// Summary of a request: the only line of a successful request, and the last line of any other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// HTTP status that the caller received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Stable identifier of the reason, unless the request was successful.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Text>,
    /// Stable identifier of what kept the host from asking a further server, if the caller received a
    /// part of the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Text>,
    /// The request's route, if one was found.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteId>,
    /// Number of the declaration in force when the request was received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// The requested model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<model::Id>,
    /// The requested adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<adapter::Id>,
    /// The customer on whose behalf the request was sent, if its caller was identified.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<customer::Id>,
    /// The last server that the request was sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<backend::Id>,
    /// Number of attempts.
    pub attempts: u32,
    /// Time to the first event, or to the head of the response.
    #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
    pub first: Option<Duration>,
    /// Number of events that the caller received.
    pub events: u32,
    /// Time from the receipt of the request to the last byte of the response.
    #[serde(rename = "whole", with = "millis")]
    pub duration: Duration,
    /// Number of steps that exceeded the buffer and were dropped.
    #[serde(rename = "lost", default, skip_serializing_if = "is_zero")]
    pub dropped_steps: u32,
    /// Number of successful requests that the line stands for, because of
    /// [sampling](super::sample).
    #[serde(rename = "of", default = "one", skip_serializing_if = "is_one")]
    pub weight: u32,
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
