//! What goes into the dispatcher, and what comes out.

use types::{
    prelude::*,
    routed::{Kind, Route},
};

pub use super::poison::Fingerprint;
pub use crate::admit::Ticket;

/// A part of a prompt: its id, and its length in tokens.
pub type Part = (u64, u32);

/// Priorities go from 0, the most urgent, to this.
pub const LEAST_URGENT: u8 = 9;

/// A request that wants a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Its number on this host.
    pub ticket: Ticket,
    /// What it is known by when it comes again.
    pub fingerprint: Fingerprint,
    /// The service.
    pub service: service::Id,
    /// The model, for model services.
    pub model: Option<model::Id>,
    /// The adapter on the model.
    pub adapter: Option<adapter::Id>,
    /// Parts of its prompt, in order.
    pub prompt: Vec<Part>,
    /// Length of its prompt in tokens.
    pub input: u32,
    /// Most tokens that it makes.
    pub output: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// What may be done with it.
    pub kind: Kind,
    /// Whether a stream may go on at another server.
    pub resumable: bool,
    /// Most servers that may run it.
    pub attempts: u32,
    /// Time within which it earns all.
    pub goal: Duration,
    /// Longest pause between events with which it still earns all.
    pub pause: Option<Duration>,
    /// Silence after which its caller leaves, if that is known.
    pub silence: Option<Duration>,
    /// When its caller has given up.
    pub deadline: Moment,
    /// Servers that are not to be used.
    pub avoid: Vec<backend::Id>,
    /// The event after which it goes on.
    pub resume: Option<u64>,
}

impl RequestSpec {
    /// A request of a route, with nothing known of models.
    pub fn new(
        ticket: Ticket,
        route: &Route,
        service: &service::Id,
        deadline: Moment,
    ) -> RequestSpec {
        RequestSpec {
            ticket,
            fingerprint: 0,
            service: service.clone(),
            model: None,
            adapter: None,
            prompt: Vec::new(),
            input: 0,
            output: 0,
            priority: route.priority.min(LEAST_URGENT),
            kind: route.kind,
            resumable: route.resumable,
            attempts: route.attempts,
            goal: route.goal,
            pause: route.gap,
            silence: route.silence,
            deadline,
            avoid: Vec::new(),
            resume: None,
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to this server; its place there is taken.
    Send(backend::Id),
    /// It waits here; [`pump`](super::Dispatcher::pump) tells more.
    Wait,
    /// It waits here, and no server holds what it asks for.
    Missing {
        /// The model.
        model: model::Id,
        /// The adapter.
        adapter: Option<adapter::Id>,
    },
    /// It has not run and is not going to.
    Refuse {
        /// Why.
        cause: Cause,
        /// When to come back, from now.
        after: Duration,
    },
    /// It crashes servers, and must reach none again.
    Quarantined,
    /// The request is to leave its unresponsive server, if [`leave`](super::Dispatcher::leave) finds
    /// another one.
    Leave,
    /// It is over after an attempt that may have run.
    Unclear,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No server that may be used holds what it asks for.
    NoServer,
    /// All servers are full, and it can't be in time.
    Full,
    /// The servers that could run it are limited, and it can't be in time.
    Limit,
    /// Its time is over.
    Late,
    /// It was sent to as many servers as it may be.
    Attempts,
    /// There is no budget to ask more servers.
    Budget,
    /// Requests like it crash servers.
    Poison,
}

/// News of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub ticket: Ticket,
    /// What becomes of it.
    pub verdict: Verdict,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// With its whole answer.
    Completed,
    /// With the server's own failure; it ran.
    ServerError,
    /// The server says that it did not run.
    NotRun(NotRun),
    /// There was no connection, and nothing was sent.
    Unreachable(Unreachable),
    /// It may have run.
    Unclear(Unclear),
    /// The caller has gone.
    Cancelled,
}

/// Why a server did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// It is full.
    Full,
    /// It does not hold the model or adapter.
    NotHeld,
    /// It is another run of the server, or another server.
    Instance,
}

/// Why there was no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unreachable {
    /// It was refused.
    Refused,
    /// It was not made in time.
    Timeout,
    /// A kept one had ended, which says nothing of the server.
    Closed,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unclear {
    /// The connection was reset or closed.
    Cut,
    /// No answer came in time, or its stream stopped.
    Silent,
    /// What came was no answer to it.
    Garbled,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It goes to this server next.
    Send(backend::Id),
    /// It waits here for a server.
    Wait,
    /// It waits here, and no other server holds what it asks for.
    Missing {
        /// The model.
        model: model::Id,
        /// The adapter.
        adapter: Option<adapter::Id>,
    },
    /// It is over.
    GiveUp(Answer),
}

/// What the caller is told at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What the server answered.
    Server,
    /// That it did not run and is not going to.
    NotRun {
        /// Why.
        cause: Cause,
        /// When to come back, from now.
        after: Duration,
    },
    /// That it may have run.
    Unclear,
}
