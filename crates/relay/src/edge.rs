//! The edge of a routed deployment: what callers, servers and the store speak.
//!
//! A [`Dialect`] turns bytes into our words and our words into bytes. It decides nothing, keeps
//! nothing and does no I/O, so that the same decisions serve any dialect.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request::Parts};
use types::{
    prelude::*,
    routed::{Born, Declaration, Rate, Report, Sequence, Server},
};

/// Number of a change in the store.
pub type Revision = u64;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// What it is known by.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What the decisions need to know of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The caller's name for this attempt of its.
    pub id: Arc<str>,
    /// Host that it names.
    pub host: Arc<str>,
    /// Path that it names.
    pub path: Arc<str>,
    /// The model wanted.
    pub model: Option<model::Id>,
    /// The adapter wanted on top of it.
    pub adapter: Option<adapter::Id>,
    /// The prompt, part by part.
    pub prompt: Vec<Part>,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens of the answer.
    pub tokens_out: u32,
    /// Expected tokens of the answer, by the caller's own guess.
    pub length_hint: Option<u32>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Last event that the caller has of a broken stream.
    pub resume: Option<u64>,
}

/// Why a request can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It has no name.
    #[error("the request has no id")]
    NoId,
    /// It names no host.
    #[error("the request names no host")]
    NoHost,
    /// A field of its head can't be read.
    #[error("{0} can't be read")]
    Field(&'static str),
}

/// How a request goes to a server.
#[derive(Clone, Debug)]
pub struct ForwardOptions<'a> {
    /// The name of the server that is meant.
    pub server: &'a str,
    /// Time left.
    pub deadline: Duration,
    /// Rank at the server; 0 goes first.
    pub priority: u8,
    /// Event after which a stream goes on.
    pub resume: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request that it names.
    pub id: Option<Arc<str>>,
    /// The name of the server that answers, if it says so.
    pub instance: Option<Arc<str>>,
    /// Whether it bears the server's seal.
    pub seal: Seal,
    /// Whether the server says that the request did not run.
    pub execution: Execution,
    /// Load at the time: running, waiting, slots.
    pub load: Option<[u32; 3]>,
    /// How long the connection may be idle.
    pub keep_alive: Option<Duration>,
    /// The rate at which its server takes requests.
    pub limit: Limit,
}

/// The rate at which a server says that it takes requests from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The answer names no limit.
    Unnamed,
    /// The answer names this limit.
    Named(Rate),
    /// The answer names a limit that can't be read.
    Unreadable,
}

/// Whether an answer is sealed by its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seal {
    /// It is.
    Present,
    /// It isn't.
    Missing,
}

/// What a server says of a request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It says that the request did not run.
    NotRun,
    /// It says nothing of the kind.
    Unstated,
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The name of the server that is meant.
    pub server: Arc<str>,
    /// What is to be done.
    pub operation: Operation,
    /// The model.
    pub model: model::Id,
    /// The adapter of it, if one is meant.
    pub adapter: Option<adapter::Id>,
    /// The sequence number that the order was worked out from.
    pub expected: Sequence,
    /// The host that gives it.
    pub holder: host::Id,
    /// Its fencing number.
    pub fence: u64,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Loads.
    Load,
    /// Unloads.
    Unload,
}

/// A server's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStatus {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another is being carried out, or the sequence has moved.
    Conflict,
    /// Its fencing number is too low.
    Fenced,
    /// Another server has the address.
    NotThere,
    /// There is no such order.
    Invalid,
    /// Nothing can be said.
    Unknown,
}

/// What came back for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// The server's answer.
    pub status: OrderStatus,
    /// When the run that answers began, if it says so.
    pub born: Born,
}

/// Kinds of objects in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The declaration.
    Declaration,
    /// Servers as they register themselves.
    Server,
    /// Hosts of our own.
    Host,
    /// Leases of our own.
    Lease,
    /// Requests that are refused since they crash servers.
    Quarantine,
}

/// An object in the store.
#[derive(Clone, Debug)]
pub struct Object {
    /// Its name within its kind.
    pub name: Arc<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// What it holds.
    pub content: serde_json::Value,
}

/// A page of a list.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Objects.
    pub objects: Vec<Object>,
    /// Whether there are more, after the last of these.
    pub more: bool,
    /// The store's revision.
    pub revision: Revision,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub enum Change {
    /// It was written.
    Written(Object),
    /// It was removed.
    Removed {
        /// Its name within its kind.
        name: Arc<str>,
        /// The revision of its last change; 0 if that isn't told.
        revision: Revision,
    },
}

/// What a watch has seen.
#[derive(Clone, Debug, Default)]
pub struct WatchBatch {
    /// Changes in their order.
    pub changes: Vec<Change>,
    /// The revision to go on from.
    pub revision: Revision,
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum Call<'a> {
    /// Lists a kind, from the object after `after`.
    List {
        /// The kind.
        kind: Kind,
        /// Last name of the page before.
        after: Option<&'a str>,
    },
    /// Waits for changes since a revision.
    Watch {
        /// The kind.
        kind: Kind,
        /// Changes after this one.
        since: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Reads an object.
    Get {
        /// The kind.
        kind: Kind,
        /// Its name.
        name: &'a str,
    },
    /// Creates an object.
    Create {
        /// The kind.
        kind: Kind,
        /// Its name.
        name: &'a str,
        /// What it holds.
        content: &'a serde_json::Value,
    },
    /// Replaces an object that still has a revision.
    Replace {
        /// The kind.
        kind: Kind,
        /// Its name.
        name: &'a str,
        /// The revision that it must have.
        revision: Revision,
        /// What it holds from now on.
        content: &'a serde_json::Value,
    },
    /// Removes an object that still has a revision.
    Delete {
        /// The kind.
        kind: Kind,
        /// Its name.
        name: &'a str,
        /// The revision that it must have.
        revision: Revision,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// A page of a list.
    Page(Page),
    /// Changes.
    Seen(WatchBatch),
    /// The object as it is now.
    Object(Object),
    /// There is no such object.
    Absent,
    /// The condition does not hold; the object as it is, if it was told.
    Conflict(Option<Object>),
    /// The history asked for is gone.
    Compacted,
    /// Nothing was done.
    Refused,
    /// Nothing can be said.
    Unclear,
}

/// Why a request ends without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// It can't be read.
    Malformed,
    /// No route takes it.
    NoRoute,
    /// Its body is too large.
    TooLarge,
    /// It did not run; come back after this time.
    NotRun(Duration),
    /// It may have run.
    Unclear,
    /// Its time is over, and it may have run.
    TimedOut,
}

/// What a deployment's callers, servers and store speak.
pub trait Dialect: Send + Sync + 'static {
    /// Path at which the balancer asks whether this host is ready.
    fn ready_path(&self) -> &str;

    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// What is missing or can't be read.
    fn request_info(&self, head: &Parts) -> Result<RequestInfo, Malformed>;

    /// An answer of our own.
    fn refuse(&self, problem: Problem) -> Response<Bytes>;

    /// Changes the headers of a caller's request to those that go to a server. Headers of one
    /// connection are gone already.
    fn forward_headers(&self, headers: &mut HeaderMap, options: &ForwardOptions<'_>);

    /// Reads the head of a server's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// The call for a server's report.
    fn report_call(&self) -> Request<Bytes>;

    /// Reads a report.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// The call that gives an order.
    fn order_call(&self, order: &Order) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn order_reply(&self, response: &Response<Bytes>) -> OrderReply;

    /// A call to the store.
    fn store_call(&self, call: &Call<'_>) -> Request<Bytes>;

    /// Reads the store's answer to a call.
    fn store_reply(&self, call: &Call<'_>, response: &Response<Bytes>) -> StoreReply;

    /// Name of the declaration's object.
    fn declaration_name(&self) -> &str;

    /// Reads the declaration.
    fn declaration(&self, object: &Object) -> Option<Declaration>;

    /// Reads a server's registration.
    fn server(&self, object: &Object) -> Option<Server>;
}
