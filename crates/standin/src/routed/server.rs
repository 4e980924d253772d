//! Servers behind the routes: a model server, or a plain one.
//!
//! A server keeps the log of what truly ran; tests rest their verdicts on it. It misbehaves as its
//! [`Script`] says.

pub mod quota;

mod script;
mod serving;
mod stock;
mod work;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use platform::remote::server::IncomingRequest;
use tokio::{sync::watch, task::AbortHandle, time::Instant};
use types::{
    prelude::*,
    routed::{self, Engine, Held, StartTime, State},
};

use self::{quota::Quota, stock::Stock};
use super::{lock, wire::Listener};

pub use self::{
    script::{Fault, OrderFault, Script},
    stock::{Given, Overload},
};

/// Slots of a server unless a test sets them.
const SLOTS: u32 = 8;

/// What a server is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub id: backend::Id,
    /// When this run began; 0 if it doesn't say.
    pub born: StartTime,
    /// The service that it belongs to.
    pub service: service::Id,
    /// Its availability zone.
    pub zone: availability::Id,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that wait at most.
    pub queue: u32,
    /// Path of its health check.
    pub health: Arc<str>,
    /// Idle connections are closed after this time, which it states.
    pub idle: Option<Duration>,
    /// What it runs, if it is a model server.
    pub engine: Option<Engine>,
    /// What it holds from the start.
    pub held: Vec<Held>,
}

impl Settings {
    /// A plain server.
    pub fn plain(id: &str, service: &str) -> Settings {
        Settings {
            id: id.into(),
            born: 0,
            service: service.into(),
            zone: "mobile-hall".into(),
            slots: SLOTS,
            queue: SLOTS,
            health: "/health".into(),
            idle: None,
            engine: None,
            held: Vec::new(),
        }
    }

    /// A model server that holds some models.
    pub fn model(id: &str, service: &str, engine: &Engine, models: &[&str]) -> Settings {
        let held = models.iter().map(|model| Held {
            model: (*model).into(),
            version: 1,
            adapters: Vec::new(),
        });
        Settings {
            engine: Some(engine.clone()),
            held: held.collect(),
            slots: engine.slots,
            ..Settings::plain(id, service)
        }
    }
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// What it asked.
    pub asked: IncomingRequest,
    /// Its method.
    pub method: Method,
    /// Its path with the query.
    pub path: String,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When the request came to the server.
    pub came: Instant,
    /// When it began.
    pub began: Instant,
    /// The fault that it met.
    pub fault: Option<Fault>,
    /// How it ended.
    pub ending: Option<Ending>,
    /// When it ended.
    pub ended: Option<Instant>,
}

impl Run {
    fn end(&mut self, ending: Ending) {
        if self.ending.is_none() {
            (self.ending, self.ended) = (Some(ending), Some(Instant::now()));
        }
    }
}

/// A request that came, whether it ran or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub id: Arc<str>,
    /// When it came.
    pub at: Instant,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With its whole answer.
    Answered,
    /// The caller closed the connection while it ran.
    Left,
    /// Its answer was spoilt on purpose.
    Spoilt,
    /// The server crashed.
    Crashed,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    listener: Listener,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    script: Mutex<Script>,
    stock: Mutex<Stock>,
    runs: Mutex<Vec<Run>>,
    began: Instant,
    arrivals: Mutex<Vec<Arrival>>,
    quota: Mutex<Quota>,
    load: watch::Sender<Load>,
    registered: watch::Sender<routed::Server>,
    connections: Mutex<u64>,
    end: Mutex<Option<AbortHandle>>,
    crashed: Mutex<Option<Instant>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    running: u32,
    waiting: u32,
}

impl Server {
    /// Starts it at a port that the system picks.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(settings: Settings) -> io::Result<Server> {
        Server::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await
    }

    /// Starts it at an address, which an earlier server may just have left.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start_at(address: SocketAddr, settings: Settings) -> io::Result<Server> {
        // Connections are taken only once the server knows its own address.
        let (ready, shared) = watch::channel(None::<Arc<Shared>>);
        let listener = Listener::start_at(address, move |connection| {
            let mut shared = shared.clone();
            async move {
                let known = shared.wait_for(Option::is_some).await.map(|known| known.clone());
                if let Ok(Some(shared)) = known {
                    serving::serve(shared, connection).await;
                }
            }
        })
        .await?;
        let shared = Arc::new(Shared::new(settings, listener.address));
        *lock(&shared.end) = Some(listener.end());
        ready.send_replace(Some(shared.clone()));
        Ok(Server { shared, listener })
    }

    /// Its name.
    pub fn id(&self) -> &backend::Id {
        &self.shared.settings.id
    }

    /// The service that it belongs to.
    pub fn service(&self) -> &service::Id {
        &self.shared.settings.service
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Changes its script.
    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut lock(&self.shared.script));
    }

    /// What ran so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Requests that came so far, those that it rejected among them.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// When it started.
    pub fn began(&self) -> Instant {
        self.shared.began
    }

    /// Requests that came, and the limits that its answers named.
    pub fn quota(&self) -> Quota {
        lock(&self.shared.quota).clone()
    }

    /// How often a request ran.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs().iter().filter(|run| run.asked.id.as_deref() == Some(id)).count()
    }

    /// Orders so far, with what became of them.
    pub fn orders(&self) -> Vec<Given> {
        lock(&self.shared.stock).given.clone()
    }

    /// Whether an order asked for more than there is room for.
    pub fn overload(&self) -> Option<Overload> {
        lock(&self.shared.stock).overload
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        *lock(&self.shared.connections)
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.shared.load.borrow().running
    }

    /// What it says of itself, as it changes.
    pub fn registration(&self) -> watch::Receiver<routed::Server> {
        self.shared.registered.subscribe()
    }

    /// Begins to leave: it says so and goes on serving. `remaining` is the time that it is given.
    pub fn leave(&self, remaining: Option<Duration>) {
        self.shared.registered.send_modify(|server| {
            server.state = State::Draining;
            server.remaining = remaining;
        });
    }

    /// Ends it at once, with every connection.
    pub fn kill(&self) {
        self.shared.crash();
    }

    /// When it crashed or was killed.
    pub fn crashed(&self) -> Option<Instant> {
        *lock(&self.shared.crashed)
    }
}

impl Shared {
    fn new(settings: Settings, address: SocketAddr) -> Shared {
        let stock = Stock::new(settings.engine.clone(), &settings.held);
        let registered = routed::Server {
            id: routed::run(&settings.id, settings.born),
            name: settings.id.clone(),
            started_at: settings.born,
            service: settings.service.clone(),
            address,
            zone: settings.zone.clone(),
            slots: settings.slots,
            state: State::Ready,
            remaining: None,
            cold: Duration::ZERO,
            models: settings.held.clone(),
            resident: Vec::new(),
            on_disk: Vec::new(),
            sequence: 0,
        };
        Shared {
            settings,
            script: Mutex::default(),
            stock: Mutex::new(stock),
            runs: Mutex::default(),
            began: Instant::now(),
            arrivals: Mutex::default(),
            quota: Mutex::default(),
            load: watch::Sender::default(),
            registered: watch::Sender::new(registered),
            connections: Mutex::default(),
            end: Mutex::default(),
            crashed: Mutex::default(),
        }
    }

    fn stock(&self) -> MutexGuard<'_, Stock> {
        lock(&self.stock)
    }

    /// Names the script's limit in the head of an answer.
    fn name_limit(&self, headers: &mut http::HeaderMap) {
        let limit = lock(&self.script).limit.clone();
        if let Some(limit) = &limit {
            platform::remote::server::limit(headers, limit);
        }
        lock(&self.quota).named(limit.as_deref(), self.began.elapsed());
    }

    /// Tells of what the stock holds now.
    fn register(&self) {
        let (models, sequence) = {
            let stock = self.stock();
            (stock.held(), stock.sequence)
        };
        self.registered.send_modify(|server| {
            server.models = models;
            server.sequence = sequence;
        });
    }

    /// Ends the server, with every run.
    fn crash(&self) {
        lock(&self.crashed).get_or_insert_with(Instant::now);
        lock(&self.runs).iter_mut().for_each(|run| run.end(Ending::Crashed));
        if let Some(end) = lock(&self.end).take() {
            end.abort();
        }
    }

    fn load(&self) -> [u32; 3] {
        let load = *self.load.borrow();
        [load.running, load.waiting, self.settings.slots]
    }
}
