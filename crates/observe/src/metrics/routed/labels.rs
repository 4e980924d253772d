//! What the labels of the routed path's metrics may say.

use opentelemetry::KeyValue;
use types::routed::Kind;

use crate::story::{Answer, Outcome};

/// A closed set of values that a label may have.
pub(super) trait Label: Copy + 'static {
    /// The label's name.
    const NAME: &'static str;
    /// All values, each at its place.
    const ALL: &'static [Self];

    /// Where it stands in [`Label::ALL`].
    fn index(self) -> usize;

    /// Its stable word.
    fn value(self) -> &'static str;

    /// The label with this value.
    fn key_value(self) -> KeyValue {
        KeyValue::new(Self::NAME, self.value())
    }
}

/// A label over an enum: its name, and the word of each variant, in the variants' order.
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

/// Why a request was refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It can't be read.
    Malformed,
    /// Its head or body is too large.
    TooLarge,
    /// No route takes it.
    NoRoute,
    /// The host has no declaration yet.
    NoDeclaration,
    /// No server that is in reach could run it.
    NoServer,
    /// All servers are full, and it can't be in time.
    Full,
    /// Its time is over.
    TooLate,
    /// It was sent to as many servers as it may be, and none ran it.
    Attempts,
    /// Servers said that they did not run it, and there is no budget to ask more.
    Budget,
    /// Requests like it crash servers.
    Poison,
    /// The servers that could run it are limited.
    Limit,
    /// The host is about to stop.
    Stopping,
}

/// Where requests arrived that the planner was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// At the host that plans.
    Own,
    /// At another host.
    Others,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// With the whole answer.
    Whole,
    /// With the server's own failure; it ran.
    ServerError,
    /// Not run: the server is full.
    Full,
    /// Not run: the server does not hold the model or adapter.
    NotHeld,
    /// Not run: another run of the server, or another server.
    OtherRun,
    /// Not sent: the connection was refused.
    Refused,
    /// Not sent: there was no connection in time.
    ConnectTimeout,
    /// Not sent: a kept connection had ended.
    Closed,
    /// It may have run: the connection broke.
    Cut,
    /// It may have run: no answer came in time, or its stream stopped.
    Silent,
    /// It may have run: what came was no answer to it.
    Garbled,
    /// The caller went away.
    Left,
}

/// How a request goes to a further server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resend {
    /// From its beginning.
    Retry,
    /// A stream, after the last event that the caller had.
    Resume,
}

/// A part of a request's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// From its last byte until it is sent to a server.
    Wait,
    /// Until there is a connection.
    Connect,
    /// From its last byte to the first event, or to the answer's head.
    First,
    /// The longest pause between events.
    Gap,
    /// From its last byte to the answer's last.
    Whole,
}

/// Something that has a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Queue {
    /// Requests that are open.
    Open,
    /// Requests that wait for a server.
    Waiting,
    /// Requests at servers.
    InFlight,
}

/// What becomes of permits to send to limited servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permits {
    /// Granted by this host.
    Granted,
    /// Used by this host.
    Used,
    /// Lapsed at this host.
    Lapsed,
}

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Lists a kind.
    List,
    /// Waits for changes.
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

/// What came of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// Done.
    Done,
    /// There is no such object.
    Absent,
    /// The condition does not hold.
    Conflict,
    /// The history is gone.
    Compacted,
    /// Nothing was done.
    Refused,
    /// Nothing can be said.
    Unclear,
}

label!(Refusal as "cause" {
    Malformed = "malformed",
    TooLarge = "too-large",
    NoRoute = "no-route",
    NoDeclaration = "no-declaration",
    NoServer = "no-server",
    Full = "full",
    TooLate = "too-late",
    Attempts = "attempts",
    Budget = "budget",
    Poison = "poison",
    Limit = "limit",
    Stopping = "stopping",
});

label!(Origin as "origin" {
    Own = "own",
    Others = "others",
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

label!(Queue as "queue" {
    Open = "open",
    Waiting = "waiting",
    InFlight = "in-flight",
});

label!(Permits as "use" {
    Granted = "granted",
    Used = "used",
    Lapsed = "lapsed",
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
    /// Its stable word.
    pub fn as_str(self) -> &'static str {
        self.value()
    }
}

impl AttemptOutcome {
    /// Its stable word.
    pub fn as_str(self) -> &'static str {
        self.value()
    }
}
