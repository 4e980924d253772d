//! Which failures are tried again, and the budget for it.
//!
//! A request may be tried again when no byte of it can have reached a server, or when running it
//! twice does no harm. Everything else ends with an answer that says what is known of its run. The
//! full table of failure points is in `docs/design/caller-path.md`; [`decide`] is that table.
//!
//! Retries are paid from a budget that successes fill, so that an overload or an outage is never
//! multiplied by more than a fixed share.

pub mod budget;
pub mod suspicion;

use types::{
    prelude::*,
    request::{Ran, Repeat},
};

pub use self::{budget::Budget, suspicion::Suspicion};

/// Where an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Point {
    /// No connection; nothing was sent.
    Connect,
    /// The connection broke while the request was being sent.
    Sending,
    /// All was sent, and the connection broke or fell silent before the answer's head.
    Waiting,
    /// The server answered that it is overloaded or leaving (429 or 503).
    Refused,
    /// The server answered with a fault of its own (other 5xx).
    Fault,
    /// The answer broke after its head, nothing of its body delivered to the caller.
    Head,
    /// A stream of tokens broke after some were delivered.
    Stream,
    /// An answer that is not a stream of tokens broke after a part was delivered.
    Body,
}

impl Point {
    /// Every point, in the order that a request passes them.
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

    /// Its stable word.
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

    /// What is known of the request's run after one attempt that failed here.
    ///
    /// A server that answers "overloaded" has had the request; its word that it did not run it
    /// is not proof, so that counts as "may have run" too.
    pub fn ran(self) -> Ran {
        match self {
            Point::Connect => Ran::DidNotRun,
            Point::Sending | Point::Waiting | Point::Refused | Point::Fault => Ran::MayHaveRun,
            Point::Head | Point::Stream | Point::Body => Ran::Ran,
        }
    }
}

/// Whether the request's body can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The host holds all of it.
    Buffered,
    /// A part has been read from the caller and passed on.
    Consumed,
}

/// What is known when an attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Where it failed.
    pub point: Point,
    /// How often the request may run.
    pub repeat: Repeat,
    /// Whether its body can be sent again.
    pub body: Body,
    /// The most that earlier attempts can have run.
    pub before: Ran,
    /// Attempts made, this one counted.
    pub attempts: request::Attempt,
    /// Time left of the request's deadline.
    pub time_left: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it again, to another server.
    Retry,
    /// Have the stream go on after what was delivered, on another server.
    Resume,
    /// Give up, and say this of its run.
    GiveUp(Ran),
}

/// Bounds on attempts.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most attempts at one request.
    pub attempts: request::Attempt,
    /// Least time left for another attempt to be worth it.
    pub time_left: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { attempts: 4, time_left: Duration::from_millis(5) }
    }
}

/// Decides what follows a failed attempt; a retry or resume is paid from the budget.
pub fn decide(failure: &Failure, bounds: &Bounds, budget: &mut Budget) -> Verdict {
    let ran = failure.before.max(failure.point.ran());
    let Some(again) = allowed(failure) else {
        return Verdict::GiveUp(ran);
    };
    let in_bounds = failure.attempts < bounds.attempts && bounds.time_left <= failure.time_left;
    if in_bounds && budget.withdraw() { again } else { Verdict::GiveUp(ran) }
}

/// The table: what the failure point, the request and its body allow.
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
