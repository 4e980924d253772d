//! Routed services: what operators declare, and what backend servers report about themselves.
//!
//! A deployment that routes by host and path declares its routes, services and engines in one
//! numbered [`Declaration`]; its servers register themselves. These types don't define the wire
//! format, which belongs to the code that parses it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{adapter, availability, backend, customer, memory::Mebibytes, model, service};

/// Number of a declaration; a later declaration has a higher one.
pub type Version = u64;

/// Name of a route.
pub type RouteId = Arc<str>;

/// Number of orders that a server has accepted since its start.
pub type Sequence = u64;

/// Rate in requests per second, stored in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Rate(u64);

impl Rate {
    /// The highest rate, 10^9 requests per second, which limits nothing in practice.
    pub const MAX: Rate = Rate(1_000_000_000_000_000);

    const UNIT: f64 = 1e-6;

    /// Returns the rate of a number of requests per second, capped at [`Rate::MAX`]; `None` if the
    /// number is negative or NaN.
    pub fn per_second(requests: f64) -> Option<Rate> {
        (0.0 <= requests).then(|| Rate(((requests / Rate::UNIT).round() as u64).min(Rate::MAX.0)))
    }

    /// Returns the rate in requests per second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 * Rate::UNIT
    }
}

/// Start time of a server's run, in Unix milliseconds; 0 if servers don't report it.
pub type StartTime = u64;

/// Returns the id of a server's run: its name, with the start time if servers report one. A server
/// that restarts under the same name thereby gets another id, and counts as another server.
pub fn run_id(name: &str, started_at: StartTime) -> backend::Id {
    match started_at {
        0 => name.into(),
        started_at => format!("{name}@{started_at}").into(),
    }
}

/// All that operators declare for routed services: routes, services and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Number of this declaration.
    pub version: Version,
    /// Declared routes; their order has no meaning.
    pub routes: Vec<Route>,
    /// Services that the routes send requests to.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Customers, by whose keys callers are identified; `None` if callers are not identified.
    #[serde(default)]
    pub customers: Option<Vec<Customer>>,
}

/// A customer of routed services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// The customer's name.
    pub name: customer::Id,
    /// Digests of the keys that its callers present.
    pub keys: Vec<customer::KeyDigest>,
    /// Priority of its requests, in place of their routes'; 0 is served first.
    pub priority: Option<u8>,
    /// Weight relative to other customers while requests queue; positive.
    pub weight: u32,
    /// Limit on its requests; `None` if they are not limited.
    pub quota: Option<customer::Quota>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request's head.
    pub head_time: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// How often requests of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// May be executed more than once.
    Idempotent,
    /// Executed at most once.
    NonIdempotent,
    /// Answered with a stream of numbered events; executed at most once unless the route is
    /// resumable.
    Stream,
}

/// A route: which requests it matches, and how they are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: RouteId,
    /// Host name that requests must have.
    pub host: Arc<str>,
    /// Path prefix that requests must have, in whole segments.
    pub prefix: Arc<str>,
    /// Whether its requests may be executed more than once.
    pub kind: Kind,
    /// Whether a broken stream may be resumed on another server.
    pub resumable: bool,
    /// Whether requests with the same prompt profit from going to the same server.
    pub sticky: bool,
    /// Maximum time that operators want a request to wait.
    pub timeout: Duration,
    /// Latency objective: time to the complete response, or to a stream's first event.
    pub goal: Duration,
    /// Maximum time between two events of a stream that still counts as on time.
    pub gap: Option<Duration>,
    /// Time without an event after which a stream's caller disconnects, also before the first
    /// event; `None` if unknown.
    pub silence: Option<Duration>,
    /// Maximum number of servers that one request may be sent to.
    pub attempts: u32,
    /// Priority of its requests; 0 is served first.
    pub priority: u8,
    /// Services that share its requests, by weight.
    pub split: Vec<Share>,
    /// Whether its requests need no key where callers are identified.
    #[serde(default)]
    pub public: bool,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service that receives the share.
    pub service: service::Id,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: service::Id,
    /// Path of its servers' health check.
    pub health: Arc<str>,
    /// Maximum number of connections that one server accepts from all hosts together.
    pub connections: u32,
    /// Properties of its servers' engines; `None` if they are no model servers.
    pub engine: Option<Engine>,
}

/// Properties of the model servers of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that a server runs concurrently.
    pub slots: u32,
    /// Capacity of a server's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Accelerator memory for weights and adapters, in MiB.
    pub weights: Mebibytes,
    /// Maximum number of loaded adapters.
    pub adapter_slots: u32,
    /// Rate limit of loads from the weight store per second, over all servers.
    pub loads_per_s: f64,
    /// Host memory for copies of weights that are not being served, in MiB.
    pub host_memory: Mebibytes,
    /// Disk space for copies of weights, in MiB.
    pub disk: Mebibytes,
    /// Number of tokens in one event of a stream.
    pub stride: u32,
    /// Whether a request's KV cache can be replicated to a second server while it grows.
    pub backups: bool,
    /// Whether a request's KV cache can be moved to another server.
    pub moves: bool,
    /// Models that must stay reachable.
    pub models: Vec<Model>,
}

/// A model that must stay reachable, with its sizes and load times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub name: model::Id,
    /// Memory that its weights take, in MiB.
    pub weights: Mebibytes,
    /// Time to load it from the weight store.
    pub load: Duration,
    /// Time to load it from a copy in the server's memory.
    pub warm: Duration,
    /// Time to load it from a copy on the server's disk.
    pub disk: Duration,
    /// Number of its adapters, named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Memory that one adapter takes, in MiB.
    pub adapter_weights: Mebibytes,
}

/// Whether a server accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts work.
    Ready,
    /// About to stop; no new work may be sent to it.
    Draining,
}

/// A model that is loaded on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub model: model::Id,
    /// Version of its weights.
    pub version: u64,
    /// Loaded adapters of this model.
    pub adapters: Vec<adapter::Id>,
}

/// A server as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of this run of the server's process, as returned by [`run_id`]; a restart changes it.
    pub id: backend::Id,
    /// Name that the server is registered under, which a later run may reuse.
    pub name: Arc<str>,
    /// Start time of this run.
    #[serde(rename = "born")]
    pub started_at: StartTime,
    /// The service that the server belongs to.
    pub service: service::Id,
    /// Version of the server's software; empty if it states none.
    #[serde(default)]
    pub software: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: availability::Id,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: State,
    /// Time until the server is removed, whatever it is running; `None` unless it is being
    /// reclaimed at short notice.
    pub remaining: Option<Duration>,
    /// Time for which the server will still be slow because it was started recently.
    pub cold: Duration,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Models whose weights are cached in its host memory.
    pub resident: Vec<model::Id>,
    /// Models whose weights are cached on its disk.
    pub on_disk: Vec<model::Id>,
    /// Number of orders that it had accepted at the time of this registration.
    pub sequence: Sequence,
}

/// Load of a server when it sent a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its own queue.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Current processing time relative to usual, if stated; 2 is twice as slow.
    pub slowdown: Option<f64>,
}

/// A server's report on its engine, typically a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Start time of the run that reports.
    #[serde(rename = "born")]
    pub started_at: StartTime,
    /// Whether the server is executing an order.
    pub busy: bool,
    /// Number of orders accepted so far.
    pub sequence: Sequence,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// KV cache that can't be evicted, in tokens.
    pub kv_used: u64,
    /// Capacity of the KV cache, in tokens.
    pub kv_total: u64,
    /// Adapters that the server is loading.
    #[serde(rename = "coming")]
    pub adapters_loading: Vec<(model::Id, adapter::Id)>,
    /// Models whose weights are cached in its host memory.
    pub resident: Vec<model::Id>,
    /// Models whose weights are cached on its disk.
    pub on_disk: Vec<model::Id>,
}
