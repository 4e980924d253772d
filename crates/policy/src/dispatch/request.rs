//! Input and output of the dispatcher.

use types::{
    prelude::*,
    routed::{Kind, Route},
};

pub use super::poison::{Fingerprint, Subject};
pub use crate::admit::Ticket;
use crate::streams::SoftwareId;

/// One part of a prompt: its id, and its length in tokens.
pub type Part = (u64, u32);

/// Priorities go from 0, the most urgent, to this value.
pub const LEAST_URGENT: u8 = 9;

/// What a request needs from a server, and within which limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// The request's number on this host.
    pub ticket: Ticket,
    /// Digest by which a repetition of the same request is recognized, also on other hosts.
    pub fingerprint: Fingerprint,
    /// The service that the route selected.
    pub service: service::Id,
    /// The model; `None` for services without models.
    pub model: Option<model::Id>,
    /// The adapter on the model, if the request names one.
    pub adapter: Option<adapter::Id>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<Part>,
    /// Length of the prompt in tokens.
    pub input: u32,
    /// Largest number of tokens that the response may have.
    pub output: u32,
    /// The customer for whose caller the request runs; requests without one share as one customer.
    pub customer: Option<customer::Id>,
    /// Weight of the customer relative to others; positive. The weight of a declared customer replaces
    /// it on arrival.
    pub weight: u32,
    /// Priority from the route; 0 is served first, [`LEAST_URGENT`] last.
    pub priority: u8,
    /// Whether the request may be repeated, and whether it is a stream.
    pub kind: Kind,
    /// Whether a stream may be resumed at another server.
    pub resumable: bool,
    /// Largest number of servers that may run the request.
    pub attempts: u32,
    /// Time to the first byte within which the response is on time; a late response is worth less.
    pub goal: Duration,
    /// Longest pause between two events with which a stream is still on time, if one is declared.
    pub pause: Option<Duration>,
    /// Time without a byte from the server after which the caller leaves, if known.
    pub silence: Option<Duration>,
    /// When the caller's timeout for the whole request expires.
    pub deadline: Moment,
    /// Servers that must not get the request.
    pub avoid: Vec<backend::Id>,
    /// The last event that the caller has received; the stream resumes after it.
    pub resume: Option<u64>,
    /// Version that began the stream; only servers of it may get the request.
    pub software: Option<SoftwareId>,
}

impl RequestSpec {
    /// Creates the spec of a request on a route, without a model or prompt.
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
            customer: None,
            weight: 1,
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
            software: None,
        }
    }

    /// Ids of the parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let shared = self.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|(id, _)| *id)
    }

    /// What may crash the servers that run the request: the request itself, and the shared parts of
    /// its prompt.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        let parts = self.shared_parts().map(Subject::Part);
        std::iter::once(Subject::Request(self.fingerprint)).chain(parts)
    }

    /// Whether the request is a stream that another server may resume.
    pub fn is_resumable_stream(&self) -> bool {
        self.kind == Kind::Stream && self.resumable
    }

    /// Whether more than one server may run the request.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// What happens to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request goes to this server, where a place is reserved for it.
    Send(backend::Id),
    /// The request waits on this host; [`pump`](super::Dispatcher::pump) returns what follows.
    Wait,
    /// The request waits on this host, and no server has its model or adapter loaded.
    Missing {
        /// The model.
        model: model::Id,
        /// The adapter.
        adapter: Option<adapter::Id>,
    },
    /// The request has not run and is not going to.
    Refuse {
        /// Reason for the refusal.
        cause: Cause,
        /// Delay after which the caller may retry.
        after: Duration,
    },
    /// The request crashes servers and must not reach any.
    Quarantined,
    /// The request's server is unresponsive, and the request is to be sent to a second one as well,
    /// by [`hedge`](super::Dispatcher::hedge).
    Hedge,
    /// The request has ended after an attempt that may have run, as no other server may be asked for
    /// this reason.
    Unclear(Cause),
}

/// Why a request is refused, or no other server is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No usable server has the model or adapter loaded.
    NoServer,
    /// All servers are full, and the request can't be served in time.
    Full,
    /// The servers that could run the request are rate limited, and it can't be served in time.
    Limit,
    /// A request of a customer below its share took the place in the queue.
    Share,
    /// Too little time is left until the request's deadline.
    Late,
    /// No further attempt is allowed.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// Requests with this fingerprint, or with a part of this prompt, crash servers.
    Poison,
    /// No server of the version that began the stream serves any more.
    Software,
}

/// A new verdict on a request that waits or is at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request's number on this host.
    pub ticket: Ticket,
    /// What happens to the request now.
    pub verdict: Verdict,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// The response was received completely.
    Completed,
    /// The response, which has no length, was received until the server closed the connection. Its end
    /// can't be told from a failure of the server.
    Closed,
    /// The server answered with a failure of its own; the request ran.
    ServerError,
    /// The server reports that the request did not run.
    NotRun(NotRun),
    /// There was no connection, and nothing was sent.
    Unreachable(Unreachable),
    /// The request may have run.
    Unclear(Unclear),
    /// The caller has left.
    Cancelled,
}

/// Why a server did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// The server is full.
    Full,
    /// The server does not have the model or adapter loaded.
    NotHeld,
    /// Another server, or another run of the server, answered at the address.
    Instance,
}

/// Why there was no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unreachable {
    /// The connection was refused.
    Refused,
    /// The connection was not established in time.
    Timeout,
    /// A pooled connection had been closed, or the server takes no new requests any more; neither
    /// is a failure of the server.
    Closed,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unclear {
    /// The connection was reset or closed.
    Cut,
    /// No response came in time, or its stream stalled.
    Silent,
    /// What was received is not a valid response.
    Garbled,
    /// The response exceeded a limit, or its head was not complete in time.
    Endless,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request goes to this server next.
    Send(backend::Id),
    /// The request waits on this host for a server.
    Wait,
    /// The request waits on this host, and no other server has its model or adapter loaded.
    Missing {
        /// The model.
        model: model::Id,
        /// The adapter.
        adapter: Option<adapter::Id>,
    },
    /// Another attempt of the request is still in flight.
    InFlight,
    /// The request has ended with this answer.
    GiveUp(Answer),
}

/// Why another server is sought for a request whose server is unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// The dispatcher's [`Verdict::Hedge`], which is void if the server has sent something since.
    Verdict,
    /// A timeout of the attempt, which is void if the server has just sent something.
    Timeout,
}

/// Final answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The server's response is passed on, as no other server may be asked for this reason.
    Server(Cause),
    /// The caller is told that the request did not run and is not going to.
    NotRun {
        /// Why the request did not run.
        cause: Cause,
        /// Delay after which the caller may retry.
        after: Duration,
    },
    /// The caller is told that the request may have run. No other server may be asked for this reason.
    Unclear(Cause),
}
