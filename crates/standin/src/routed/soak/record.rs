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
    pub handover: Duration,
    /// Orders of a host that was frozen don't count for this long.
    pub after_freeze: Duration,
    /// From SIGTERM to the end of a process.
    pub stop_grace: Duration,
    /// A request that isn't passed on may lose its connection within this.
    pub early_close: Duration,
    /// Requests are served again after this.
    pub recovery: Duration,
    /// Share of requests that are served then; stricter than the users' quarter.
    pub min_served_ratio: f64,
    /// Events of a whole stream.
    pub stream_events: u64,
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
            handover: Duration::from_secs(3),
            after_freeze: Duration::from_millis(300),
            stop_grace: Duration::from_secs(8),
            early_close: Duration::from_millis(200),
            recovery: Duration::from_secs(12),
            min_served_ratio: 0.9,
            stream_events: 10,
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
    pub fn overlaps(&self, other: Span) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// One start of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostRun {
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
    pub body_bytes: usize,
    /// Whether it crashes the servers that run it.
    pub crashes_servers: bool,
    /// The host that it was sent to.
    pub host_run: HostRun,
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
    CallerClosed,
    /// The caller gave up, long after the deadline.
    TimedOut,
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
    pub is_complete: bool,
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
    pub body_bytes: usize,
    /// When it came.
    pub arrived_at: Duration,
    /// When it ended, if it did.
    pub ended_at: Option<Duration>,
    /// The failure that the server answered, if it did.
    pub failure: Option<StatusCode>,
    /// Whether the server spoilt it, or crashed.
    pub is_corrupted: bool,
    /// Whether the server crashed.
    pub is_server_crash: bool,
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
    pub arrived_at: Duration,
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

/// What is in disruption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Component {
    /// A host, unplanned.
    Host(usize),
    /// A host, by SIGTERM or SIGHUP.
    HostPlanned(usize),
    /// The store.
    Store,
    /// The store, for one host.
    StoreEndpoint(usize),
    /// A server.
    Server(String),
}

/// A fault, from its beginning to its end.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// What is in disruption.
    pub component: Component,
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
    pub exited: Vec<usize>,
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
    pub disruptions: Vec<Disruption>,
}

impl Record {
    /// Whether a host was in touch all through a span.
    pub fn is_in_contact(&self, host: usize, span: Span) -> bool {
        self.is_undisturbed(self.extend_by_contact(span), |component| match component {
            Component::Host(other)
            | Component::HostPlanned(other)
            | Component::StoreEndpoint(other) => *other == host,
            Component::Store => true,
            Component::Server(_) => false,
        })
    }

    /// Whether the store was without trouble for long enough before a moment.
    pub fn is_store_healthy(&self, at: Duration) -> bool {
        let span = self.extend_by_contact(Span { from: at, to: at });
        self.is_undisturbed(span, |component| *component == Component::Store)
    }

    /// Whether a server was sound all through a span.
    pub fn is_server_healthy(&self, server: &str, span: Span) -> bool {
        self.is_undisturbed(
            span,
            |component| matches!(component, Component::Server(other) if other == server),
        )
    }

    /// Whether none of these places was in trouble in a span.
    fn is_undisturbed(&self, span: Span, is_affecting: impl Fn(&Component) -> bool) -> bool {
        !self
            .disruptions
            .iter()
            .any(|disruption| is_affecting(&disruption.component) && disruption.span.overlaps(span))
    }

    /// A span and the time before it that has to be calm too.
    fn extend_by_contact(&self, span: Span) -> Span {
        Span { from: span.from.saturating_sub(self.bounds.contact), ..span }
    }

    /// Runs of a request.
    pub fn runs_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |run| run.id == id)
    }
}
