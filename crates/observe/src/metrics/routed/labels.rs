//! Label values of the routed path's metrics.

use opentelemetry::KeyValue;
use types::routed::Kind;

use crate::story::{Answer, Outcome};

/// Label with a closed set of values.
pub(super) trait Label: Copy + 'static {
    /// Name of the label.
    const NAME: &'static str;
    /// All values, each at its [`index`](Label::index).
    const ALL: &'static [Self];

    /// Returns the position in [`Label::ALL`].
    fn index(self) -> usize;

    /// Returns the label value, which is stable.
    fn value(self) -> &'static str;

    /// Returns the label as a key and its value.
    fn key_value(self) -> KeyValue {
        KeyValue::new(Self::NAME, self.value())
    }
}

/// Implements [`Label`] for an enum: the label's name, and the value of each variant, in the order
/// of declaration.
macro_rules! label {
    ($type:ident as $name:literal { $($variant:ident = $value:literal,)+ }) => {
        impl Label for $type {
            const NAME: &'static str = $name;
            const ALL: &'static [$type] = &[$($type::$variant,)+];

            fn index(self) -> usize {
                self as usize
            }

            fn value(self) -> &'static str {
                match self {
                    $($type::$variant => $value,)+
                }
            }
        }
    };
}

/// Cause of refusing a request that was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request can't be parsed.
    Malformed,
    /// The head or body exceeds its limit.
    TooLarge,
    /// The caller's key is missing, malformed or unknown.
    Unauthorized,
    /// The request exceeds its customer's quota.
    Quota,
    /// No route matches the request.
    NoRoute,
    /// The host has received no declaration yet.
    NoDeclaration,
    /// A later declaration may allow the request, and the store does not answer.
    Unconfirmed,
    /// Servers may have left without this host knowing it, and the store does not answer.
    Outdated,
    /// No reachable server could run the request.
    NoServer,
    /// All servers are full, and the request can't be served in time.
    Full,
    /// The request's deadline has passed.
    TooLate,
    /// The maximum number of attempts was made, and no server ran the request.
    Attempts,
    /// Servers answered that they did not run the request, and the retry budget is used up.
    Budget,
    /// Requests with the same fingerprint crash servers.
    Poison,
    /// The servers that could run the request are at their rate limit.
    Limit,
    /// A request of a customer below its share took the place in the queue.
    Share,
    /// The host is stopping.
    Stopping,
    /// No server of the version that began the stream serves any more.
    NoVersion,
    /// No reachable host has a record of the version that began the stream.
    UnknownVersion,
    /// Streams of several versions began under the id that the caller names.
    AmbiguousVersion,
}

/// Why a response of which the caller has a part ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Break {
    /// The connection to the server failed.
    ServerCut,
    /// The server closed the connection in the middle of an event, or before its first one.
    PartialEvent,
    /// An event, or what came instead of one, exceeded its limit.
    Endless,
    /// What the server sent is not the next event.
    BadEvent,
    /// The server sent nothing for too long.
    Silence,
    /// The deadline of the request passed.
    Deadline,
    /// The caller's key was removed.
    Revoked,
    /// The host stopped.
    Stopping,
}

/// Why no further server was asked for a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Obstacle {
    /// The request may run only once, or its last event has no number.
    Unresumable,
    /// The deadline of the request passed.
    Deadline,
    /// The caller's key was removed.
    Revoked,
    /// The host is stopping.
    Stopping,
    /// Servers may have left without this host knowing it, and the store does not answer.
    Outdated,
    /// No reachable server could run the request.
    NoServer,
    /// All servers are full.
    Full,
    /// The servers that could run the request are at their rate limit.
    Limit,
    /// A request of a customer below its share took the place in the queue.
    Share,
    /// Too little time is left until the request's deadline.
    TooLate,
    /// The maximum number of attempts was made.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// Requests with the same fingerprint crash servers.
    Poison,
    /// No server of the version that began the stream serves any more.
    NoVersion,
}

/// Host at which the requests that are reported to the planner arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The host that plans.
    Own,
    /// Another host.
    Others,
}

/// A time of a round of planning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlanTime {
    /// From the beginning to the end of a round.
    Round,
    /// From the end of a round to the end of the next.
    Interval,
    /// From the first request for a round to the end of the round.
    Delay,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// A complete response.
    Whole,
    /// An error response of the server; the request was executed.
    ServerError,
    /// Not executed: the server is full.
    Full,
    /// Not executed: the model or adapter is not loaded on the server.
    NotHeld,
    /// Not executed: the connection reached another run of the server, or another server.
    OtherRun,
    /// Not sent: the connection was refused.
    Refused,
    /// Not sent: the connection attempt timed out.
    ConnectTimeout,
    /// Not sent: a kept-alive connection had been closed.
    Closed,
    /// Possibly executed: the connection broke.
    Cut,
    /// Possibly executed: the response, or the next event of a stream, timed out.
    Silent,
    /// Possibly executed: the response was invalid.
    Garbled,
    /// Possibly executed: the response exceeded a limit, or its head was not complete in time.
    Endless,
    /// The caller closed the connection.
    Left,
}

/// How a request is sent to a further server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resend {
    /// From the beginning.
    Retry,
    /// As a stream that continues after the last event that the caller received.
    Resume,
}

/// Phase of a request, of which the duration is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// From the request's last byte until the request is sent to a server.
    Wait,
    /// From the start of an attempt until a connection to its server is established.
    Connect,
    /// From the request's last byte to the first event, or to the head of the response.
    First,
    /// The longest time between two events.
    Gap,
    /// From the request's last byte to the last byte of the response.
    Whole,
}

/// Part of the time from a request's arrival until it is handed to a connection to its first server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BeginPart {
    /// From the request's head until the request is assigned, queued or refused.
    Decision,
    /// From that decision until the request has a server.
    Wait,
    /// From then until a connection to the server is ready to send.
    Connect,
}

/// Set of requests whose size is exported as the length of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Queue {
    /// All requests that have not ended.
    Open,
    /// Requests that wait for a server.
    Waiting,
    /// Waiting requests that leave slots free for urgent ones.
    Deferred,
    /// Requests that are sent to a server.
    InFlight,
}

/// Use of permits to send requests to servers with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permits {
    /// Permits granted by this host.
    Granted,
    /// Permits used by this host.
    Used,
    /// Permits that expired unused on this host.
    Lapsed,
}

/// Use of slots of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Grants {
    /// Slots granted by this host.
    Granted,
    /// Granted slots used by this host.
    Used,
    /// Granted slots returned by this host unused.
    Returned,
    /// Questions of this host that no owner answered in time.
    Unanswered,
    /// Requests of this host that servers rejected as full.
    Rejected,
}

/// Decision on a request under its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admissions {
    /// The request was admitted.
    Granted,
    /// The quota was used up.
    Denied,
    /// No quota coordinator answered.
    Unanswered,
}

/// Kind of call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Lists the objects of a kind.
    List,
    /// Waits for changes of a kind.
    Watch,
    /// Reads an object.
    Get,
    /// Creates an object.
    Create,
    /// Replaces an object.
    Replace,
    /// Removes an object.
    Delete,
}

/// Direction of datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From this host to others.
    Sent,
    /// From other hosts to this one.
    Received,
}

/// Result of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// The call was carried out.
    Done,
    /// The object does not exist.
    Absent,
    /// The condition of a write was not met.
    Conflict,
    /// The requested history has been compacted.
    Compacted,
    /// The call was refused, without effect.
    Refused,
    /// Whether the call had an effect is unknown.
    Unclear,
}

label!(Refusal as "cause" {
    Malformed = "malformed",
    TooLarge = "too-large",
    Unauthorized = "unauthorized",
    Quota = "quota",
    NoRoute = "no-route",
    NoDeclaration = "no-declaration",
    Unconfirmed = "unconfirmed",
    Outdated = "outdated",
    NoServer = "no-server",
    Full = "full",
    TooLate = "too-late",
    Attempts = "attempts",
    Budget = "budget",
    Poison = "poison",
    Limit = "limit",
    Share = "share",
    Stopping = "stopping",
    NoVersion = "no-version",
    UnknownVersion = "unknown-version",
    AmbiguousVersion = "ambiguous-version",
});

label!(Break as "why" {
    ServerCut = "server-cut",
    PartialEvent = "half-an-event",
    Endless = "endless",
    BadEvent = "bad-event",
    Silence = "silence",
    Deadline = "deadline",
    Revoked = "revoked",
    Stopping = "stopping",
});

label!(Obstacle as "cause" {
    Unresumable = "unresumable",
    Deadline = "deadline",
    Revoked = "revoked",
    Stopping = "stopping",
    Outdated = "outdated",
    NoServer = "no-server",
    Full = "full",
    Limit = "limit",
    Share = "share",
    TooLate = "too-late",
    Attempts = "attempts",
    Budget = "budget",
    Poison = "poison",
    NoVersion = "no-version",
});

label!(Admissions as "decision" {
    Granted = "granted",
    Denied = "denied",
    Unanswered = "unanswered",
});

label!(Origin as "origin" {
    Own = "own",
    Others = "others",
});

label!(Direction as "direction" {
    Sent = "sent",
    Received = "received",
});

label!(PlanTime as "of" {
    Round = "round",
    Interval = "interval",
    Delay = "delay",
});

label!(AttemptOutcome as "end" {
    Whole = "whole",
    ServerError = "server-error",
    Full = "full",
    NotHeld = "not-held",
    OtherRun = "other-run",
    Refused = "refused",
    ConnectTimeout = "connect-timeout",
    Closed = "closed",
    Cut = "cut",
    Silent = "silent",
    Garbled = "garbled",
    Endless = "endless",
    Left = "left",
});

label!(Resend as "how" {
    Retry = "retry",
    Resume = "resume",
});

label!(Phase as "phase" {
    Wait = "wait",
    Connect = "connect",
    First = "first",
    Gap = "gap",
    Whole = "whole",
});

label!(BeginPart as "part" {
    Decision = "decision",
    Wait = "wait",
    Connect = "connect",
});

label!(Queue as "queue" {
    Open = "open",
    Waiting = "waiting",
    Deferred = "deferred",
    InFlight = "in-flight",
});

label!(Permits as "use" {
    Granted = "granted",
    Used = "used",
    Lapsed = "lapsed",
});

label!(Grants as "use" {
    Granted = "granted",
    Used = "used",
    Returned = "returned",
    Unanswered = "unanswered",
    Rejected = "rejected",
});

label!(Call as "call" {
    List = "list",
    Watch = "watch",
    Get = "get",
    Create = "create",
    Replace = "replace",
    Delete = "delete",
});

label!(CallResult as "result" {
    Done = "done",
    Absent = "absent",
    Conflict = "conflict",
    Compacted = "compacted",
    Refused = "refused",
    Unclear = "unclear",
});

label!(Kind as "kind" {
    Idempotent = "idempotent",
    NonIdempotent = "non-idempotent",
    Stream = "stream",
});

label!(Outcome as "outcome" {
    Answered = "answered",
    Late = "late",
    Refused = "refused",
    Failed = "failed",
    Unclear = "unclear",
    Cut = "cut",
    Left = "left",
});

label!(Answer as "answer" {
    Accepted = "accepted",
    Holds = "holds",
    Conflict = "conflict",
    Stale = "stale",
    OtherRun = "other-run",
    Rejected = "rejected",
    None = "none",
});

impl Refusal {
    /// Returns the stable identifier, which is also the label value.
    pub fn as_str(self) -> &'static str {
        self.value()
    }
}

impl Break {
    /// Returns the stable identifier, which is also the label value.
    pub fn as_str(self) -> &'static str {
        self.value()
    }
}

impl Obstacle {
    /// Returns the stable identifier, which is also the label value.
    pub fn as_str(self) -> &'static str {
        self.value()
    }
}

impl AttemptOutcome {
    /// Returns the stable identifier, which is also the label value.
    pub fn as_str(self) -> &'static str {
        self.value()
    }
}
