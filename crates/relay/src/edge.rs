//! The protocols of a routed deployment: what its callers, its servers and its store send and
//! expect.
//!
//! A [`Dialect`] translates between bytes and the types of this module. It makes no decisions, has
//! no state and does no I/O, so that the rest of this crate works with any dialect.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request::Parts};
pub use types::routed::ServerLoad;
use types::{
    customer::{self, KeyDigest},
    prelude::*,
    routed::{Declaration, Rate, Report, Sequence, Server, StartTime},
};

/// Number that the store assigns to a change; it grows with every change of any object.
pub type Revision = u64;

/// A part of a prompt that several requests may have in common, so that a server can cache it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Identity of the content: equal ids mean equal text.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// The key that a caller presents to be identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// The request carries no key.
    Missing,
    /// The request carries something that can't be a key, or several keys.
    Malformed,
    /// The digest of the key.
    Key(KeyDigest),
}

/// What servers are told of the caller of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity<'a> {
    /// The declaration names no customers: the caller's headers are passed on as they are.
    Unmanaged,
    /// The route is public, and the caller presented no known key.
    Anonymous,
    /// The customer that holds the caller's key.
    Customer(&'a str),
}

/// The properties of a caller's request that admission and routing use.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Request id that the caller chose for this attempt.
    pub id: Arc<str>,
    /// Host that the request names.
    pub host: Arc<str>,
    /// Path that the request names.
    pub path: Arc<str>,
    /// The caller's key.
    pub credential: Credential,
    /// Requested model.
    pub model: Option<model::Id>,
    /// Requested adapter of that model.
    pub adapter: Option<adapter::Id>,
    /// The parts of the prompt, in order.
    pub prompt: Vec<Part>,
    /// Length of the prompt, in tokens.
    pub tokens_in: u32,
    /// Maximum length of the answer, in tokens.
    pub tokens_out: u32,
    /// Length of the answer that the caller expects, in tokens.
    pub length_hint: Option<u32>,
    /// Time for which the caller waits, counted from the arrival of the request; none if not
    /// stated.
    pub deadline: Option<Duration>,
    /// Number of the last event that the caller has received of an interrupted stream; none if the
    /// caller does not resume a stream.
    pub resume: Option<u64>,
    /// Id of the request whose answer brought the stream's first event, if the caller resumes a
    /// stream.
    pub resumes: Option<Arc<str>>,
}

/// Reason why a request can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The request id is missing.
    #[error("the request has no id")]
    NoId,
    /// The host is missing.
    #[error("the request names no host")]
    NoHost,
    /// A header field can't be parsed.
    #[error("{0} can't be parsed")]
    Field(&'static str),
}

/// Reason why a declaration can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// The declaration as a whole is malformed.
    #[error("it is malformed")]
    Malformed,
    /// The entry of a customer is invalid. The values of the entry are left out, since they may be
    /// keys.
    #[error("customer {entry:?}: {field} {expected}")]
    Customer {
        /// Name of the customer, or the number of its entry if it has no valid name.
        entry: customer::Id,
        /// The invalid field.
        field: &'static str,
        /// What the field must be.
        expected: &'static str,
    },
}

/// What a forwarded request carries in addition to the caller's headers.
#[derive(Clone, Debug)]
pub struct ForwardOptions<'a> {
    /// Name of the server that the request is forwarded to.
    pub server: &'a str,
    /// Time left until the request's deadline.
    pub deadline: Duration,
    /// The caller, as far as servers are told.
    pub identity: Identity<'a>,
    /// Priority at the server; 0 is the highest.
    pub priority: u8,
    /// Number of the event after which the stream is to resume; none for a complete response.
    pub resume: Option<u64>,
}

/// What the head of a server's response states.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Request id that the response names.
    pub id: Option<Arc<str>>,
    /// Name of the responding server, if stated.
    pub instance: Option<Arc<str>>,
    /// Whether the response bears the server's seal.
    pub seal: Seal,
    /// Whether the server states that it did not execute the request.
    pub execution: Execution,
    /// Load when the response was sent, if stated.
    pub load: Option<ServerLoad>,
    /// Time after which the server closes the connection if it is idle.
    pub keep_alive: Option<Duration>,
    /// The rate at which the server accepts requests from all hosts together.
    pub limit: Stated<Rate>,
    /// Number of requests that the server may reject for want of room in a second without falling
    /// over, over all hosts.
    pub tolerance: Stated<u32>,
    /// Whether the server states that it is leaving.
    pub departure: Departure,
    /// Time for which the server wants no requests from this host, in a rejection that states one.
    pub back_off: Option<Duration>,
}

/// A limit that a server states in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stated<T> {
    /// The response states no such limit.
    Absent,
    /// The response states this value.
    Value(T),
    /// The response states a limit that can't be parsed.
    Unreadable,
}

/// Whether a response bears the seal that a server puts on its own responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seal {
    /// The server made the response.
    Present,
    /// Another process, such as a proxy, may have made the response.
    Missing,
}

/// What a server states about its departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The server is leaving and wants no new requests. This is final for the server's run.
    Leaving,
    /// Nothing is stated.
    Unstated,
}

/// What a server states about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request was not executed.
    NotRun,
    /// Nothing is stated.
    Unstated,
}

/// An order to a model server to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the server that the order is sent to.
    pub server: Arc<str>,
    /// Whether to load or to unload.
    pub operation: Operation,
    /// Model that the order is about.
    pub model: model::Id,
    /// Adapter of that model; none if the order is about the model itself.
    pub adapter: Option<adapter::Id>,
    /// The server's sequence number that the order is based on; the server refuses any other.
    pub expected: Sequence,
    /// The host that sends the order as holder of the lease.
    pub holder: host::Id,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// The operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Loads the model or adapter, so that the server can execute requests for it.
    Load,
    /// Unloads the model or adapter, which frees its memory at the server.
    Unload,
}

/// How a server responded to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStatus {
    /// The server executes the order.
    Accepted,
    /// The server is already in the requested state.
    Holds,
    /// Another order is being executed, or the sequence number differs from the expected one.
    Conflict,
    /// The fencing token is too old.
    Fenced,
    /// Another server, or another run of the server, has the address.
    NotThere,
    /// The server does not understand the order.
    Invalid,
    /// The outcome is unknown.
    Unknown,
}

/// The response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// What the server did with the order.
    pub status: OrderStatus,
    /// Start time of the responding server's run; 0 if not stated.
    pub started_at: StartTime,
}

/// Kind of an object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The deployment's declaration.
    Declaration,
    /// Registration of a server, written by the server.
    Server,
    /// Registration of an entry host, written by the host.
    Host,
    /// A lease that entry hosts contend for.
    Lease,
    /// A request that is refused because it crashed servers.
    Quarantine,
    /// The versions of servers at which streams may have begun.
    Versions,
}

/// An object in the store.
#[derive(Clone, Debug)]
pub struct Object {
    /// Name, unique within the kind.
    pub name: Arc<str>,
    /// Revision of the last change.
    pub revision: Revision,
    /// Content as JSON.
    pub content: serde_json::Value,
}

/// One page of a list of objects.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The objects of this page.
    pub objects: Vec<Object>,
    /// Whether further pages follow.
    pub more: bool,
    /// Revision of the store when it made this page.
    pub revision: Revision,
}

/// A change of an object, as a watch reports it.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object was created or replaced.
    Written(Object),
    /// The object was removed.
    Removed {
        /// Name, unique within the kind.
        name: Arc<str>,
        /// Revision of the removal; 0 if the store does not state it.
        revision: Revision,
    },
}

/// The changes that one call of a watch returned.
#[derive(Clone, Debug, Default)]
pub struct WatchBatch {
    /// Changes, in the order in which they were made.
    pub changes: Vec<Change>,
    /// Revision from which the next call watches.
    pub revision: Revision,
}

impl WatchBatch {
    /// Returns the objects that were written, in the order in which they were.
    pub(crate) fn written(&self) -> impl DoubleEndedIterator<Item = &Object> {
        self.changes.iter().filter_map(|change| match change {
            Change::Written(object) => Some(object),
            Change::Removed { .. } => None,
        })
    }
}

/// A request to the store.
#[derive(Clone, Debug)]
pub enum StoreCall<'a> {
    /// Lists the objects of a kind, page by page.
    List {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Last name of the previous page; none for the first page.
        after: Option<&'a str>,
    },
    /// Waits until objects of a kind change.
    Watch {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Only changes after this revision are reported.
        since: Revision,
        /// Time after which the store responds even without a change.
        wait: Duration,
    },
    /// Reads one object.
    Get {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Name of the object.
        name: &'a str,
    },
    /// Creates an object, unless it exists.
    Create {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Name of the object.
        name: &'a str,
        /// Content as JSON.
        content: &'a serde_json::Value,
    },
    /// Replaces an object, if its revision is the given one.
    Replace {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Name of the object.
        name: &'a str,
        /// Revision that the object must have.
        revision: Revision,
        /// The new content.
        content: &'a serde_json::Value,
    },
    /// Removes an object, if its revision is the given one.
    Delete {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Name of the object.
        name: &'a str,
        /// Revision that the object must have.
        revision: Revision,
    },
}

/// The store's response to a call.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// One page of a list of objects.
    Page(Page),
    /// Changes that a watch returned; an empty batch if the watch's wait ended without any.
    Seen(WatchBatch),
    /// The object as it is after the call.
    Object(Object),
    /// The object does not exist.
    Absent,
    /// The object exists already or has another revision. The value is its present state, if the
    /// store sent it.
    Conflict(Option<Object>),
    /// The store no longer has the history since the requested revision, so the objects have to be
    /// listed again.
    Compacted,
    /// The store refused the call and changed nothing.
    Refused,
    /// The outcome is unknown.
    Unclear,
}

/// Reason why a request ends with a response of this host instead of a server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The request can't be parsed.
    Malformed,
    /// The caller's key is missing, malformed or unknown.
    Unauthorized,
    /// The request exceeds its customer's quota and was not executed; the caller may retry after
    /// this time.
    OverQuota(Duration),
    /// No route matches the request.
    NoRoute,
    /// The body exceeds the declared limit.
    TooLarge,
    /// The request was not executed; the caller may retry after this time.
    NotRun(Duration),
    /// The request may have been executed.
    Unclear,
    /// The deadline has passed, and the request may have been executed.
    TimedOut,
}

impl Problem {
    /// Whether a later declaration may allow the request.
    pub(crate) fn depends_on_declaration(self) -> bool {
        match self {
            Problem::Unauthorized | Problem::NoRoute => true,
            Problem::Malformed
            | Problem::OverQuota(_)
            | Problem::TooLarge
            | Problem::NotRun(_)
            | Problem::Unclear
            | Problem::TimedOut => false,
        }
    }
}

/// Translation between a deployment's protocols and the types of this module.
pub trait Dialect: Send + Sync + 'static {
    /// Path of the readiness probe that the load balancer sends to this host.
    fn ready_path(&self) -> &str;

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The first field that is missing or can't be parsed.
    fn request_info(&self, head: &Parts) -> Result<RequestInfo, Malformed>;

    /// Builds this host's own response to a request that ends without a server's.
    fn refuse(&self, problem: Problem) -> Response<Bytes>;

    /// Replaces the headers of a caller's request by those for a server. Hop-by-hop headers have
    /// been removed before.
    fn forward_headers(&self, headers: &mut HeaderMap, options: &ForwardOptions<'_>);

    /// Parses the head of a server's response.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// Builds the request for a server's load report.
    fn report_call(&self) -> Request<Bytes>;

    /// Parses a load report; `None` if it is malformed.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// Builds the request that sends an order.
    fn order_call(&self, order: &Order) -> Request<Bytes>;

    /// Parses the response to an order.
    fn order_reply(&self, response: &Response<Bytes>) -> OrderReply;

    /// Builds a request to the store.
    fn store_call(&self, call: &StoreCall<'_>) -> Request<Bytes>;

    /// Parses the store's response to a call.
    fn store_reply(&self, call: &StoreCall<'_>, response: &Response<Bytes>) -> StoreReply;

    /// Name of the object that holds the declaration.
    fn declaration_name(&self) -> &str;

    /// Parses the declaration.
    ///
    /// # Errors
    ///
    /// The declaration is malformed, or a part of it is invalid.
    fn declaration(&self, object: &Object) -> Result<Declaration, Unreadable>;

    /// Parses a server's registration; `None` if it is malformed.
    fn server(&self, object: &Object) -> Option<Server>;
}
