//! Routed services: what operators declare, and what the servers behind them say of themselves.
//!
//! A deployment that routes by host and path declares its routes, services and engines in one
//! numbered [`Declaration`]; its servers register themselves. `routed` names only what both sides
//! mean; how it is spelled on the wire is the concern of the edge that reads it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{adapter, availability, backend, memory::Mebibytes, model, service};

/// Number of a declaration; later ones have higher numbers.
pub type Version = u64;

/// Name of a route.
pub type RouteId = Arc<str>;

/// Number of orders that a server has accepted since it started.
pub type Sequence = u64;

/// Requests a second, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Rate(u64);

impl Rate {
    /// The highest rate, which bounds nothing in practice.
    pub const MAX: Rate = Rate(1_000_000_000_000_000);

    const PART: f64 = 1e-6;

    /// The rate of a number of requests a second, [`Rate::MAX`] at the most; none if the number is
    /// negative or not a number.
    pub fn per_second(requests: f64) -> Option<Rate> {
        (0.0 <= requests).then(|| Rate(((requests / Rate::PART).round() as u64).min(Rate::MAX.0)))
    }

    /// Requests a second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 * Rate::PART
    }
}

/// When a run of a server began, in Unix milliseconds; 0 where servers don't say.
pub type StartTime = u64;

/// The id of a run of a server: its name, and when the run began where servers say that. A server that
/// starts again under its name is another one to all who knew it by its id.
pub fn run(name: &str, started_at: StartTime) -> backend::Id {
    match started_at {
        0 => name.into(),
        started_at => format!("{name}@{started_at}").into(),
    }
}

/// Everything that operators declare, under one number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Its number.
    pub version: Version,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that the routes lead to.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

/// Bounds on what callers send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a head.
    pub head_time: Duration,
    /// Longest time that a caller's connection is left idle.
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

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// A stream of numbered events; runs once at most unless it may be resumed.
    Stream,
}

/// A route: which requests it takes, and how they are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteId,
    /// The host that requests name.
    pub host: Arc<str>,
    /// Start of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Whether a stream may go on at another server.
    pub resumable: bool,
    /// Whether requests of one prompt gain by going to one server.
    pub sticky: bool,
    /// Longest time that operators want a request kept waiting.
    pub timeout: Duration,
    /// Latency objective: until the whole answer, or until a stream's first event.
    pub goal: Duration,
    /// Longest pause between events that is still on time.
    pub gap: Option<Duration>,
    /// Silence after which a stream's caller leaves, also before the first event, if that is known.
    pub silence: Option<Duration>,
    /// Most servers that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services that take its requests, by weight.
    pub split: Vec<Share>,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: service::Id,
    /// Its weight among the others.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: service::Id,
    /// Path of its health check.
    pub health: Arc<str>,
    /// Most connections that a server takes from all hosts together.
    pub connections: u32,
    /// What its servers run, if they are model servers.
    pub engine: Option<Engine>,
}

/// What the model servers of a service are like.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that a server's KV cache holds.
    pub kv_tokens: u64,
    /// Memory for weights and adapters.
    pub weights: Mebibytes,
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Loads a second from the weight store, over all servers.
    pub loads_per_s: f64,
    /// Memory for copies of weights that are not being served.
    pub host_memory: Mebibytes,
    /// Disk for copies of weights.
    pub disk: Mebibytes,
    /// Tokens in one event of a stream.
    pub stride: u32,
    /// Whether a run's memory can be sent along to a second server as it grows.
    pub backups: bool,
    /// Whether a run's memory can be moved.
    pub moves: bool,
    /// The models that must stay reachable.
    pub models: Vec<Model>,
}

/// A model that must stay reachable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: model::Id,
    /// Memory of its weights.
    pub weights: Mebibytes,
    /// Time to load it from the weight store.
    pub load: Duration,
    /// Time to load it from a copy in the server's memory.
    pub warm: Duration,
    /// Time to load it from a copy on the server's disk.
    pub disk: Duration,
    /// Number of its adapters, named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Memory of an adapter.
    pub adapter_weights: Mebibytes,
}

/// What a server says of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes work.
    Ready,
    /// It is leaving; nothing new is to be sent.
    Draining,
}

/// A model that a server holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The model.
    pub model: model::Id,
    /// Version of its weights.
    pub version: u64,
    /// Adapters of it that are loaded.
    pub adapters: Vec<adapter::Id>,
}

/// A server as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// This run of the server's process; a restart has another. See [`run`].
    pub id: backend::Id,
    /// What it is registered and called by; a later run may have the same.
    pub name: Arc<str>,
    /// When this run began.
    #[serde(rename = "born")]
    pub started_at: StartTime,
    /// The service that it belongs to.
    pub service: service::Id,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: availability::Id,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: State,
    /// Time until it is gone whatever it runs, if it is taken away at short notice.
    pub remaining: Option<Duration>,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// What it holds.
    pub models: Vec<Held>,
    /// Models of which its memory has a copy.
    pub resident: Vec<model::Id>,
    /// Models of which its disk has a copy.
    pub on_disk: Vec<model::Id>,
    /// Orders accepted when it said this.
    pub sequence: Sequence,
}

/// A server's report on its engine; some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What it holds.
    pub models: Vec<Held>,
    /// When the run that says this began.
    #[serde(rename = "born")]
    pub started_at: StartTime,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted.
    pub sequence: Sequence,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// KV memory that can't yield, in tokens.
    pub kv_used: u64,
    /// KV memory, in tokens.
    pub kv_total: u64,
    /// Adapters on their way to the server.
    #[serde(rename = "coming")]
    pub adapters_loading: Vec<(model::Id, adapter::Id)>,
    /// Models of which its memory has a copy.
    pub resident: Vec<model::Id>,
    /// Models of which its disk has a copy.
    pub on_disk: Vec<model::Id>,
}
