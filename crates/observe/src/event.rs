//! Events: what a host did or learnt that others may want to see in order.
//!
//! [`Kind`] is a closed set. Where the set of causes or states belongs to another package, the
//! event carries that package's own stable word as text ([`Text`]), so that this package depends
//! on none of them.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use types::{
    backend, config, host, model,
    order::{self, Ack, Action},
    request::{self, Ran},
    service,
};

use crate::clock::Stamp;

/// A stable word of another package's closed set, such as the cause of a refusal.
pub type Text = Cow<'static, str>;

/// What happened, and what it is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// What happened.
    #[serde(flatten)]
    pub kind: Kind,
    /// The request it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<request::Id>,
    /// The model it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<model::Id>,
    /// The backend server it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<backend::Id>,
}

impl Event {
    /// An event that is about nothing in particular yet.
    pub fn new(kind: Kind) -> Event {
        Event { kind, request: None, model: None, server: None }
    }

    /// Names the request it belongs to.
    #[must_use]
    pub fn request(mut self, id: &request::Id) -> Event {
        self.request = Some(id.clone());
        self
    }

    /// Names the model it concerns.
    #[must_use]
    pub fn model(mut self, id: &model::Id) -> Event {
        self.model = Some(id.clone());
        self
    }

    /// Names the backend server it concerns.
    #[must_use]
    pub fn server(mut self, id: &backend::Id) -> Event {
        self.server = Some(id.clone());
        self
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Kind {
    /// A caller's request was identified.
    Request {
        /// The service it calls.
        service: service::Id,
    },
    /// A request was sent to a backend server.
    Attempt {
        /// Which try it is.
        attempt: request::Attempt,
    },
    /// A try ended without an answer.
    AttemptFailed {
        /// Which try it was.
        attempt: request::Attempt,
        /// Why.
        cause: Text,
    },
    /// A stream was taken up again elsewhere.
    Resume {
        /// Which try takes it up.
        attempt: request::Attempt,
        /// The token offset it goes on from.
        offset: u64,
    },
    /// A request ended.
    Answer {
        /// How.
        outcome: Outcome,
    },
    /// A request was refused.
    Refusal {
        /// Why.
        cause: Text,
        /// What is known of its run.
        ran: Ran,
    },
    /// A claim to run a non-idempotent request was decided.
    Claim {
        /// The caller's key.
        key: request::Key,
        /// What was decided.
        claim: Text,
    },
    /// A fingerprint's standing in the quarantine changed.
    Quarantine {
        /// The fingerprint.
        fingerprint: Text,
        /// Its new standing.
        standing: Text,
    },
    /// An order to an engine was reserved and sent.
    Order {
        /// The order.
        order: order::Id,
        /// Its fencing number.
        fence: order::Fence,
        /// What the engine is told.
        action: Action,
        /// Why the plan wants it.
        cause: Text,
    },
    /// An engine answered an order.
    Acknowledgement {
        /// The order.
        order: order::Id,
        /// The answer.
        ack: Ack,
    },
    /// An order's reservation was settled.
    Settlement {
        /// The order.
        order: order::Id,
        /// What proved it.
        evidence: Text,
    },
    /// A patch to the configuration was decided.
    Patch {
        /// The patch.
        patch: Text,
        /// Number of the configuration after the decision.
        number: config::Number,
        /// What was decided.
        verdict: Text,
    },
    /// A configuration came into force on this host.
    Configuration {
        /// Its number.
        number: config::Number,
    },
    /// A duty's lease changed hands as this host sees it.
    Lease {
        /// The duty.
        duty: Text,
        /// What became of the lease.
        lease: LeaseState,
    },
    /// A host's standing changed as this host sees it.
    Member {
        /// The host.
        member: host::Id,
        /// Its run.
        member_incarnation: host::Incarnation,
        /// Its new standing.
        standing: Text,
    },
    /// A backend server's standing changed as this host sees it.
    Server {
        /// Its new standing.
        standing: Text,
    },
    /// The platform's object API answers or fails to.
    Platform {
        /// What this host sees.
        platform: PlatformState,
    },
    /// A step of this host's planned stop.
    Drain {
        /// The step.
        drain: DrainStep,
    },
    /// This host's process started.
    Start,
}

impl Kind {
    /// The class that decides which events may push it out of a full ring.
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

/// Which events push which out: a rush of requests must not push out the rare rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Of one request; as many as requests.
    Request,
    /// Of the system's own work; few.
    Control,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was handed over.
    Answered,
    /// Refused with a problem document.
    Refused,
    /// Failed after it may have run, with a clear error.
    Failed,
    /// The caller went away.
    Cancelled,
}

impl Outcome {
    /// Its stable word.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        }
    }
}

/// What became of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// This host took it.
    Taken,
    /// This host gave it back.
    Released,
    /// It lapsed or another host took it.
    Lost,
}

/// What a host sees of the platform's object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// It answers.
    Up,
    /// It doesn't answer, or refuses.
    Down,
}

/// A step of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainStep {
    /// Says not ready; still takes requests.
    NotReady,
    /// Takes no new requests; finishes those in flight.
    Closed,
    /// Nothing is in flight.
    Idle,
}

/// An event in its place in the order of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, by the hybrid logical clock.
    pub at: Stamp,
    /// The host that recorded it.
    pub host: host::Id,
    /// The run of that host's process.
    pub incarnation: host::Incarnation,
    /// Its number within the run; rises by one.
    pub sequence: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}
