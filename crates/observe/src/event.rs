//! Events: actions and observations of a host that operators view in order over all hosts.
//!
//! [`Kind`] is a closed set. A cause or state whose values are defined by another crate is stored
//! as that crate's stable identifier ([`Text`]), so that this crate does not depend on it.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use types::{
    backend, config, host, model,
    order::{self, Ack, Action},
    request::{self, Ran},
    service,
};

use crate::clock::Stamp;

/// Text of a field, usually a stable identifier of another crate, such as the cause of a refusal.
pub type Text = Cow<'static, str>;

/// An event and the ids that it can be filtered by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The kind of event, with its own fields.
    #[serde(flatten)]
    pub kind: Kind,
    /// The request that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<request::Id>,
    /// The model that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<model::Id>,
    /// The backend server that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<backend::Id>,
}

impl Event {
    /// Returns an event without a request, model or server.
    pub fn new(kind: Kind) -> Event {
        Event { kind, request: None, model: None, server: None }
    }

    /// Sets the request that the event belongs to.
    #[must_use]
    pub fn request(mut self, id: &request::Id) -> Event {
        self.request = Some(id.clone());
        self
    }

    /// Sets the model that the event concerns.
    #[must_use]
    pub fn model(mut self, id: &model::Id) -> Event {
        self.model = Some(id.clone());
        self
    }

    /// Sets the backend server that the event concerns.
    #[must_use]
    pub fn server(mut self, id: &backend::Id) -> Event {
        self.server = Some(id.clone());
        self
    }
}

/// The kinds of events, each with its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Kind {
    /// A caller's request was identified.
    Request {
        /// The service that the request calls.
        service: service::Id,
    },
    /// A request was sent to a backend server.
    Attempt {
        /// Number of the attempt.
        attempt: request::Attempt,
    },
    /// An attempt ended without a response.
    AttemptFailed {
        /// Number of the attempt.
        attempt: request::Attempt,
        /// Cause of the failure.
        cause: Text,
    },
    /// A stream was resumed on another server.
    Resume {
        /// Number of the attempt that resumes the stream.
        attempt: request::Attempt,
        /// Token offset from which the stream continues.
        offset: u64,
    },
    /// A request ended.
    Answer {
        /// How the request ended.
        outcome: Outcome,
    },
    /// A request was refused.
    Refusal {
        /// Cause of the refusal.
        cause: Text,
        /// Whether the request may have been executed.
        ran: Ran,
    },
    /// A claim to execute a non-idempotent request was decided.
    Claim {
        /// The caller's idempotency key.
        key: request::Key,
        /// The decision.
        claim: Text,
    },
    /// The state of a fingerprint in the quarantine changed.
    Quarantine {
        /// Fingerprint of the requests.
        fingerprint: Text,
        /// The new state.
        standing: Text,
    },
    /// An order to an engine was reserved and sent.
    Order {
        /// Id of the order.
        order: order::Id,
        /// Fencing number of the order.
        fence: order::Fence,
        /// The operation that the engine is to carry out.
        action: Action,
        /// The planner's reason.
        cause: Text,
    },
    /// An engine responded to an order.
    Acknowledgement {
        /// Id of the order.
        order: order::Id,
        /// The engine's response.
        ack: Ack,
    },
    /// The memory reservation of an order was settled.
    Settlement {
        /// Id of the order.
        order: order::Id,
        /// Evidence that the order took effect or never will.
        evidence: Text,
    },
    /// A patch to the configuration was decided.
    Patch {
        /// Id of the patch.
        patch: Text,
        /// Number of the configuration after the decision.
        number: config::Number,
        /// The decision.
        verdict: Text,
    },
    /// A configuration came into force on this host.
    Configuration {
        /// Number of the configuration.
        number: config::Number,
    },
    /// The lease of a duty was acquired, released or lost, as seen by this host.
    Lease {
        /// Name of the duty.
        duty: Text,
        /// New state of the lease.
        lease: LeaseState,
    },
    /// The state of a host changed, as seen by this host.
    Member {
        /// The host whose state changed.
        member: host::Id,
        /// The run of that host's process.
        member_incarnation: host::Incarnation,
        /// The new state.
        standing: Text,
    },
    /// The state of a backend server changed, as seen by this host.
    Server {
        /// The new state.
        standing: Text,
    },
    /// The platform's object API became available or unavailable.
    Platform {
        /// The new state, as seen by this host.
        platform: PlatformState,
    },
    /// A step of this host's planned stop.
    Drain {
        /// The step that was reached.
        drain: DrainStep,
    },
    /// This host's process started.
    Start,
}

impl Kind {
    /// Returns the class whose queue in the ring holds the event.
    pub fn class(&self) -> Class {
        match self {
            Kind::Request { .. }
            | Kind::Attempt { .. }
            | Kind::AttemptFailed { .. }
            | Kind::Resume { .. }
            | Kind::Answer { .. }
            | Kind::Refusal { .. }
            | Kind::Claim { .. } => Class::Request,
            Kind::Quarantine { .. }
            | Kind::Order { .. }
            | Kind::Acknowledgement { .. }
            | Kind::Settlement { .. }
            | Kind::Patch { .. }
            | Kind::Configuration { .. }
            | Kind::Lease { .. }
            | Kind::Member { .. }
            | Kind::Server { .. }
            | Kind::Platform { .. }
            | Kind::Drain { .. }
            | Kind::Start => Class::Control,
        }
    }
}

/// Class of events with a queue of its own in the ring, so that a burst of requests does not evict
/// the less frequent control events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Events of a single request; their rate grows with that of requests.
    Request,
    /// Events of the system's own operation, at a low rate.
    Control,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response was sent to the caller.
    Answered,
    /// Refused with a problem document.
    Refused,
    /// Failed with an error, after it may have been executed.
    Failed,
    /// The caller closed the connection.
    Cancelled,
}

impl Outcome {
    /// Returns the stable identifier, which is also the label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        }
    }
}

/// State of a lease, as seen by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// This host acquired the lease.
    Taken,
    /// This host released the lease.
    Released,
    /// The lease expired, or another host acquired it.
    Lost,
}

/// Availability of the platform's object API, as seen by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// Calls are answered.
    Up,
    /// Calls are refused or not answered.
    Down,
}

/// A step of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainStep {
    /// Reports not ready, but still accepts requests.
    NotReady,
    /// Accepts no new requests, and finishes those in flight.
    Closed,
    /// No requests are in flight.
    Idle,
}

/// An event as recorded by a host, with its position in that host's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of recording, by the hybrid logical clock.
    pub at: Stamp,
    /// The host that recorded the event.
    pub host: host::Id,
    /// The run of that host's process.
    pub incarnation: host::Incarnation,
    /// Sequence number within the run, increasing by one.
    pub sequence: u64,
    /// The recorded event.
    #[serde(flatten)]
    pub event: Event,
}
