//! Retries: which failed attempts are repeated, and their budget.
//!
//! A request may be retried if no byte of it can have reached a server, or if running it twice does
//! no harm. Any other failure ends with an answer that says whether the request may have run. The
//! full table of failure points is in `docs/design/caller-path.md`; [`decide`] implements that
//! table.
//!
//! Each retry takes from a token bucket that successes fill, so that retries raise the load in an
//! overload or an outage by no more than a fixed ratio.

pub mod budget;
pub mod suspicion;

use types::{
    prelude::*,
    request::{Ran, Repeat},
};

pub use self::{budget::Budget, suspicion::Suspicion};

/// Point at which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Point {
    /// No connection was made; nothing was sent.
    Connect,
    /// The connection broke while the request was being sent.
    Sending,
    /// The whole request was sent, and the connection broke or was silent before the head of the
    /// response.
    Waiting,
    /// The server answered that it is overloaded or draining (429 or 503).
    Refused,
    /// The server answered with an error of its own (other 5xx).
    Fault,
    /// The response broke off after its head, before any of its body was passed on to the caller.
    Head,
    /// A stream of tokens broke off after some were passed on.
    Stream,
    /// A response that is not a stream of tokens broke off after a part was passed on.
    Body,
}

impl Point {
    /// All points, in the order in which a request passes them.
    pub const ALL: [Point; 8] = [
        Point::Connect,
        Point::Sending,
        Point::Waiting,
        Point::Refused,
        Point::Fault,
        Point::Head,
        Point::Stream,
        Point::Body,
    ];

    /// Stable name for logs, metrics and traces.
    pub fn as_str(self) -> &'static str {
        match self {
            Point::Connect => "connect",
            Point::Sending => "sending",
            Point::Waiting => "waiting",
            Point::Refused => "refused",
            Point::Fault => "fault",
            Point::Head => "head",
            Point::Stream => "stream",
            Point::Body => "body",
        }
    }

    /// Whether the request ran, as far as one attempt that failed at this point shows.
    ///
    /// A server that answers "overloaded" has received the request; its claim that it did not run
    /// the request is no proof, so that counts as "may have run" too.
    pub fn ran(self) -> Ran {
        match self {
            Point::Connect => Ran::DidNotRun,
            Point::Sending | Point::Waiting | Point::Refused | Point::Fault => Ran::MayHaveRun,
            Point::Head | Point::Stream | Point::Body => Ran::Ran,
        }
    }
}

/// Whether the body of the request can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The host has buffered all of the body.
    Buffered,
    /// A part was read from the caller and passed on, and is not available any more.
    Consumed,
}

/// Failed attempt, with what decides about a retry.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Point at which the attempt failed.
    pub point: Point,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Whether the body of the request can be sent again.
    pub body: Body,
    /// Whether the request ran in earlier attempts: the greatest value that any of them showed.
    pub before: Ran,
    /// Number of attempts made, including this one.
    pub attempts: request::Attempt,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request again, to another server.
    Retry,
    /// Resume the stream after the tokens that were passed on, on another server.
    Resume,
    /// Give up, and answer whether the request ran.
    GiveUp(Ran),
}

/// Bounds on the attempts at one request.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest number of attempts at one request.
    pub attempts: request::Attempt,
    /// Shortest time until the deadline in which another attempt is worthwhile.
    pub time_left: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { attempts: 4, time_left: Duration::from_millis(5) }
    }
}

/// Decides what follows a failed attempt; a retry or resumption takes from the budget.
pub fn decide(failure: &Failure, bounds: &Bounds, budget: &mut Budget) -> Verdict {
    let ran = failure.before.max(failure.point.ran());
    let Some(verdict) = allowed(failure) else {
        return Verdict::GiveUp(ran);
    };
    let in_bounds = failure.attempts < bounds.attempts && bounds.time_left <= failure.time_left;
    if in_bounds && budget.withdraw() { verdict } else { Verdict::GiveUp(ran) }
}

/// Looks up what the failure point, the request and its body allow.
fn allowed(failure: &Failure) -> Option<Verdict> {
    match (failure.point, failure.repeat, failure.body) {
        (Point::Connect, _, _) => Some(Verdict::Retry),
        (_, Repeat::Once, _) | (_, _, Body::Consumed) | (Point::Body, _, _) => None,
        (Point::Stream, Repeat::Idempotent, Body::Buffered) => Some(Verdict::Resume),
        (
            Point::Sending | Point::Waiting | Point::Refused | Point::Fault | Point::Head,
            Repeat::Idempotent,
            Body::Buffered,
        ) => Some(Verdict::Retry),
    }
}
