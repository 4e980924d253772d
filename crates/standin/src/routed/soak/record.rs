//! What callers, servers and those who made the faults saw of a soak. Times are since its start.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use types::routed::{Kind, Version};

use crate::routed::server::quota::Quota;

/// Bounds that the promises name.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// A machine without trouble for this long is in touch.
    pub contact: Duration,
    /// A leaving server gets nothing new after this.
    pub drain: Duration,
    /// A declaration is in force after this.
    pub apply: Duration,
    /// Requests may lag behind what their host has shown by this.
    pub rollback: Duration,
    /// Least time between orders of two hosts to one server.
    pub turn: Duration,
    /// Orders of a host that was frozen don't count for this long.
    pub thaw: Duration,
    /// From SIGTERM to the end of a process.
    pub grace: Duration,
    /// A request that isn't passed on may lose its connection within this.
    pub loss: Duration,
    /// Requests are served again after this.
    pub recover: Duration,
    /// Share of requests that are served then; stricter than the users' quarter.
    pub recovered: f64,
    /// Events of a whole stream.
    pub events: u64,
    /// Retries that a service may get for each of its requests.
    pub retry_ratio: f64,
    /// Retries that it may get besides.
    pub retry_extra: f64,
    /// The sliding window in which they are counted.
    pub retry_window: Duration,
}

impl Default for Bounds {
    /// The users' bounds, as the settings of the stand-in's hosts have them.
    fn default() -> Bounds {
        Bounds {
            contact: Duration::from_secs(3),
            drain: Duration::from_secs(2),
            apply: Duration::from_secs(2),
            rollback: Duration::from_millis(250),
            turn: Duration::from_secs(3),
            thaw: Duration::from_millis(300),
            grace: Duration::from_secs(8),
            loss: Duration::from_millis(200),
            recover: Duration::from_secs(12),
            recovered: 0.9,
            events: 10,
            retry_ratio: 0.2,
            retry_extra: 52.0,
            retry_window: Duration::from_secs(10),
        }
    }
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its start.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

impl Span {
    /// Whether two spans share a moment.
    pub fn meets(&self, other: Span) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// One start of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life {
    /// Its place among the hosts.
    pub host: usize,
    /// Starts of it before.
    pub start: usize,
}

/// A request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// What may be done with it.
    pub kind: Kind,
    /// Whether it is a stream that may go on elsewhere.
    pub resumable: bool,
    /// Its path.
    pub path: String,
    /// Length of its body.
    pub body: usize,
    /// Whether it crashes the servers that run it.
    pub crashes: bool,
    /// The host that it was sent to.
    pub life: Life,
    /// From its sending to its end.
    pub span: Span,
    /// The time that it gave.
    pub deadline: Duration,
    /// Its end.
    pub outcome: Outcome,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// No connection stood.
    Unreached,
    /// The caller left.
    Left,
    /// The caller gave up, long after the deadline.
    Late,
    /// The connection ended without an answer.
    Closed,
    /// An answer came.
    Answered(Answer),
}

/// An answer, as far as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// The request that it says it answers.
    pub id: Option<String>,
    /// The server's seal.
    pub seal: Option<String>,
    /// Its body.
    pub body: Bytes,
    /// Whether it came whole.
    pub whole: bool,
}

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request.
    pub id: String,
    /// The server.
    pub server: String,
    /// The server's service.
    pub service: String,
    /// The path that came.
    pub path: String,
    /// Length of the body that came.
    pub body: usize,
    /// When it came.
    pub came: Duration,
    /// When it ended, if it did.
    pub ended: Option<Duration>,
    /// The failure that the server answered, if it did.
    pub failed: Option<StatusCode>,
    /// Whether the server spoilt it, or crashed.
    pub spoilt: bool,
    /// Whether the server crashed.
    pub crashed: bool,
}

/// An arrival of a request at a server, whatever became of it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub id: String,
    /// The server's service.
    pub service: String,
    /// When it came.
    pub at: Duration,
}

/// An order, as a server judged it.
#[derive(Clone, Debug)]
pub struct Order {
    /// The server.
    pub server: String,
    /// The host that gave it.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
    /// When it came.
    pub came: Duration,
}

/// A server that leaves.
#[derive(Clone, Debug)]
pub struct Leave {
    /// The server.
    pub server: String,
    /// When the store had it.
    pub at: Duration,
}

/// A declaration.
#[derive(Clone, Debug)]
pub struct Declared {
    /// Its number.
    pub version: Version,
    /// When the store had it.
    pub at: Duration,
    /// Services that take the requests of each prefix.
    pub services: BTreeMap<String, BTreeSet<String>>,
}

impl Declared {
    /// Services that take a path; none if no route does.
    pub fn of(&self, path: &str) -> Option<&BTreeSet<String>> {
        let matching = self.services.iter().filter(|(prefix, _)| path.starts_with(*prefix));
        matching.max_by_key(|(prefix, _)| prefix.len()).map(|(_, services)| services)
    }
}

/// What is in trouble.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A host, unplanned.
    Host(usize),
    /// A host, by SIGTERM or SIGHUP.
    Planned(usize),
    /// The store.
    Store,
    /// The store, for one host.
    Door(usize),
    /// A server.
    Server(String),
}

/// A fault, from its beginning to its end.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// What is in trouble.
    pub place: Place,
    /// What was done.
    pub what: String,
    /// When.
    pub span: Span,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Bounds of the promises.
    pub bounds: Bounds,
    /// Hosts whose process isn't there at the end, though nothing ended it.
    pub dead: Vec<usize>,
    /// Names of the hosts.
    pub hosts: Vec<String>,
    /// Requests.
    pub requests: Vec<Request>,
    /// Runs.
    pub runs: Vec<Run>,
    /// Arrivals at servers.
    pub arrivals: Vec<Arrival>,
    /// Orders, of each server in the order in which they came.
    pub orders: Vec<Order>,
    /// Servers that were ordered to hold more than there is room for, and when at the latest.
    pub overloads: Vec<(String, Duration)>,
    /// What came to each server, and the limits that it named.
    pub quotas: Vec<(String, Quota)>,
    /// Servers that leave.
    pub leaves: Vec<Leave>,
    /// Declarations.
    pub declared: Vec<Declared>,
    /// Faults.
    pub troubles: Vec<Trouble>,
}

impl Record {
    /// Whether a host was in touch all through a span.
    pub fn in_touch(&self, host: usize, span: Span) -> bool {
        self.is_calm(self.with_contact(span), |place| match place {
            Place::Host(other) | Place::Planned(other) | Place::Door(other) => *other == host,
            Place::Store => true,
            Place::Server(_) => false,
        })
    }

    /// Whether the store was without trouble for long enough before a moment.
    pub fn is_stable(&self, at: Duration) -> bool {
        let span = self.with_contact(Span { from: at, to: at });
        self.is_calm(span, |place| *place == Place::Store)
    }

    /// Whether a server was sound all through a span.
    pub fn is_sound(&self, server: &str, span: Span) -> bool {
        self.is_calm(span, |place| matches!(place, Place::Server(other) if other == server))
    }

    /// Whether none of these places was in trouble in a span.
    fn is_calm(&self, span: Span, is_meant: impl Fn(&Place) -> bool) -> bool {
        !self.troubles.iter().any(|trouble| is_meant(&trouble.place) && trouble.span.meets(span))
    }

    /// A span and the time before it that has to be calm too.
    fn with_contact(&self, span: Span) -> Span {
        Span { from: span.from.saturating_sub(self.bounds.contact), ..span }
    }

    /// Runs of a request.
    pub fn runs_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |run| run.id == id)
    }
}
