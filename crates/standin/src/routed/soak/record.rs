//! Observations of a soak by callers, servers and the fault injector.
//!
//! All times are since the start of the soak.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use types::routed::{Kind, Version};

use super::customers::Holders;
use crate::routed::{server::quota::Quota, stream::Stream};

/// Time limits and quotas that the promises state.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// A host that was undisturbed for this long is in contact with the store and its peers.
    pub contact: Duration,
    /// Time after which a leaving server receives no new requests.
    pub drain: Duration,
    /// Time after which a declaration is in force at all hosts in contact.
    pub apply: Duration,
    /// How long after a host has used a declaration it may still handle requests by an older one.
    pub rollback: Duration,
    /// Minimum time between orders of two hosts to one server.
    pub handover: Duration,
    /// How long after the end of a host's unplanned fault, such as a freeze, its orders are not
    /// judged.
    pub after_freeze: Duration,
    /// Time from SIGTERM until a host process exits.
    pub stop_grace: Duration,
    /// Within this time, a planned stop may close the connection of a request not yet forwarded.
    pub early_close: Duration,
    /// Time after the last fault from which requests have to be served again.
    pub recovery: Duration,
    /// Minimum ratio of requests that are served after `recovery`. Users are promised only a
    /// quarter.
    pub min_served_ratio: f64,
    /// Number of events in a complete stream.
    pub stream_events: u64,
    /// Retries that a service may receive for each of its requests.
    pub retry_ratio: f64,
    /// Retries that a service may receive in a window beyond those that `retry_ratio` allows.
    pub retry_extra: f64,
    /// Length of the sliding window in which retries are counted.
    pub retry_window: Duration,
}

impl Default for Bounds {
    /// The bounds that users are promised, under the settings of the hosts in the stand-in site.
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

/// A span of time, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Start, since the start of the soak.
    pub from: Duration,
    /// End, since the start of the soak.
    pub to: Duration,
}

impl Span {
    /// Whether the spans have a moment in common.
    pub fn overlaps(&self, other: Span) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// One run of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostRun {
    /// Index of the host.
    pub host: usize,
    /// Number of earlier runs of this host.
    pub start: usize,
}

/// A request as observed by its caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id that the caller chose.
    pub id: String,
    /// Whether the request may be repeated.
    pub kind: Kind,
    /// Whether it is a stream that may be resumed at another server.
    pub resumable: bool,
    /// Number of the last event that the caller has received before, if it takes a stream up.
    pub resume: Option<u64>,
    /// Path with the query.
    pub path: String,
    /// Length of the body.
    pub body_bytes: usize,
    /// The key that the caller presented.
    pub key: Option<String>,
    /// What of it crashes the servers that run it; `None` for a sound request.
    pub poison: Option<Poison>,
    /// The host process that it was sent to.
    pub host_run: HostRun,
    /// From when it was sent until its caller saw the outcome.
    pub span: Span,
    /// Time limit that the caller set, counted from the sending.
    pub deadline: Duration,
    /// What the caller observed in the end.
    pub outcome: Outcome,
}

/// What of a request crashes the servers that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poison {
    /// The whole request.
    Request,
    /// A part of its prompt, which it shares with other requests.
    Part,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The caller could not connect.
    Unreached,
    /// The caller closed its connection before the answer was complete.
    CallerClosed,
    /// The caller closed its connection in the middle of this answer.
    BrokenOff(Answer),
    /// No complete answer came until well after the deadline.
    TimedOut,
    /// The connection was closed before an answer began.
    Closed,
    /// An answer came, maybe truncated.
    Answered(Answer),
}

/// An answer, as far as the caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Id of the request that the answer claims to belong to.
    pub id: Option<String>,
    /// Header by which a server marks its answer with its own id and that of the request.
    pub seal: Option<String>,
    /// Body, as far as received.
    pub body: Bytes,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

/// One execution of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Id of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Path that the server received, with the query.
    pub path: String,
    /// Length of the body that the server received.
    pub body_bytes: usize,
    /// When the request reached the server.
    pub arrived_at: Duration,
    /// When the execution ended; `None` if it was still running at the end of the soak.
    pub ended_at: Option<Duration>,
    /// Status of the failure that the server was made to answer with.
    pub failure: Option<StatusCode>,
    /// Whether the answer was corrupted on purpose, or the server crashed.
    pub is_corrupted: bool,
    /// Whether the server crashed during the execution.
    pub is_server_crash: bool,
}

/// Arrival of a request at a server, whether it was executed or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request.
    pub id: String,
    /// Service of the server.
    pub service: String,
    /// When the request reached the server.
    pub at: Duration,
    /// Names of the customer on whose behalf it was sent, one for each header that states it.
    pub customers: Vec<String>,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
}

/// An order that a server received.
#[derive(Clone, Debug)]
pub struct Order {
    /// Id of the server.
    pub server: String,
    /// Name of the host that sent it.
    pub holder: String,
    /// Fencing number.
    pub fence: u64,
    /// When the order reached the server.
    pub arrived_at: Duration,
}

/// Planned departure of a server.
#[derive(Clone, Debug)]
pub struct Leave {
    /// Id of the server.
    pub server: String,
    /// When the store was told of the departure.
    pub at: Duration,
}

/// A declaration that was written to the store.
#[derive(Clone, Debug)]
pub struct Declared {
    /// Version number of the declaration.
    pub version: Version,
    /// When it was written.
    pub at: Duration,
    /// Services that each path prefix is routed to.
    pub services: BTreeMap<String, BTreeSet<String>>,
    /// The holders of keys; `None` if callers are not identified.
    pub holders: Option<Holders>,
}

impl Declared {
    /// Name of the customer that holds a key.
    pub fn holder(&self, key: Option<&str>) -> Option<&str> {
        self.holders.as_ref()?.holder(key?)
    }

    /// Services that a path is routed to, by its longest prefix; `None` if no route matches.
    pub fn services_for(&self, path: &str) -> Option<&BTreeSet<String>> {
        let matching = self.services.iter().filter(|(prefix, _)| path.starts_with(*prefix));
        matching.max_by_key(|(prefix, _)| prefix.len()).map(|(_, services)| services)
    }
}

/// A part of the site that faults disrupt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Component {
    /// A host, by index, through an unplanned fault.
    Host(usize),
    /// A host, by index, through SIGTERM or SIGHUP.
    HostPlanned(usize),
    /// The store, for all hosts.
    Store,
    /// The store as one host sees it, by the index of the host.
    StoreEndpoint(usize),
    /// A server, by id.
    Server(String),
    /// The links of a host, by index, to all servers.
    ServerLinks(usize),
}

/// Effect of a fault on one component.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The component that was disrupted.
    pub component: Component,
    /// Debug text of the fault; `crashed` for a server that crashed without a planned fault, and
    /// `start` for a host that is starting again.
    pub what: String,
    /// From the start of the fault until its end.
    pub span: Span,
}

/// A silence of a sound server, in which the other servers of its service were full.
#[derive(Clone, Debug)]
pub struct Silence {
    /// Id of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// From the start to the end.
    pub span: Span,
}

/// A crash of a brittle server, which rejected too many requests for want of room.
#[derive(Clone, Debug)]
pub struct Fall {
    /// Id of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// When it crashed.
    pub at: Duration,
    /// Ids of the rejected requests that made it crash.
    pub rejected: Vec<String>,
}

/// A time in which the servers of a service are brittle.
#[derive(Clone, Debug)]
pub struct BrittleTime {
    /// The service.
    pub service: String,
    /// Number of its servers.
    pub servers: usize,
    /// From the start to the end.
    pub span: Span,
}

/// All observations of a soak.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Bounds by which the record is judged.
    pub bounds: Bounds,
    /// Indices of hosts whose process had exited at the end, though no fault ended it.
    pub exited: Vec<usize>,
    /// Names of the hosts, by index.
    pub hosts: Vec<String>,
    /// Requests whose outcome the callers saw.
    pub requests: Vec<Request>,
    /// Streams that their callers took up when they broke.
    pub streams: Vec<Stream>,
    /// For each model server its id, the version of its software, and its life.
    pub software: Vec<(String, String, Span)>,
    /// Executions of requests at all servers.
    pub runs: Vec<Run>,
    /// Arrivals of requests at all servers.
    pub arrivals: Vec<Arrival>,
    /// Orders that servers received, by time of arrival.
    pub orders: Vec<Order>,
    /// Servers that were ordered to load more than fits, each with the time of its last order.
    pub overloads: Vec<(String, Duration)>,
    /// Crashes of brittle servers.
    pub falls: Vec<Fall>,
    /// Times in which servers are brittle.
    pub brittle: Vec<BrittleTime>,
    /// For each server, the arrivals and the limits that it stated.
    pub quotas: Vec<(String, Quota)>,
    /// Planned departures of servers.
    pub leaves: Vec<Leave>,
    /// Declarations, by time.
    pub declared: Vec<Declared>,
    /// Disruptions, in the order in which they were recorded.
    pub disruptions: Vec<Disruption>,
    /// Silences of sound servers, which are no disruptions.
    pub silences: Vec<Silence>,
}

impl Record {
    /// Whether a host was in contact with the store during a whole span: neither the host nor the
    /// store was disrupted in it or within the contact time before it.
    pub fn is_in_contact(&self, host: usize, span: Span) -> bool {
        self.is_undisturbed(self.extend_by_contact(span), |component| match component {
            Component::Host(other)
            | Component::HostPlanned(other)
            | Component::StoreEndpoint(other) => *other == host,
            Component::Store => true,
            Component::Server(_) | Component::ServerLinks(_) => false,
        })
    }

    /// Whether a host was partitioned from all servers at any time in a span.
    pub fn is_partitioned(&self, host: usize, span: Span) -> bool {
        !self.is_undisturbed(span, |component| *component == Component::ServerLinks(host))
    }

    /// Whether a server was silent at any time in a span.
    pub fn is_silent(&self, server: &str, span: Span) -> bool {
        let mut silences = self.silences.iter();
        silences.any(|silence| silence.server == server && silence.span.overlaps(span))
    }

    /// Whether the store was undisturbed for the contact time before a moment.
    pub fn is_store_healthy(&self, at: Duration) -> bool {
        let span = self.extend_by_contact(Span { from: at, to: at });
        self.is_undisturbed(span, |component| *component == Component::Store)
    }

    /// Whether no fault disrupted a server in a span.
    pub fn is_server_healthy(&self, server: &str, span: Span) -> bool {
        self.is_undisturbed(
            span,
            |component| matches!(component, Component::Server(other) if other == server),
        )
    }

    /// Whether no disruption of the selected components overlaps a span.
    pub fn is_undisturbed(&self, span: Span, is_affecting: impl Fn(&Component) -> bool) -> bool {
        !self
            .disruptions
            .iter()
            .any(|disruption| is_affecting(&disruption.component) && disruption.span.overlaps(span))
    }

    /// The span, extended backwards by the contact time.
    fn extend_by_contact(&self, span: Span) -> Span {
        Span { from: span.from.saturating_sub(self.bounds.contact), ..span }
    }

    /// Executions of a request, by its id.
    pub fn runs_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |run| run.id == id)
    }
}
