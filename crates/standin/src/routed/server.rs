//! Stand-ins for the servers behind the routes: model servers and plain ones.
//!
//! A server records every request that really ran, and tests judge by these records. Its behaviour
//! and its faults follow its [`Script`].

pub mod quota;

mod endless;
mod inventory;
mod script;
mod serving;
mod work;

use std::{
    collections::VecDeque,
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
    routed::{self, Engine, LoadedModel, StartTime, State},
};

use self::{inventory::Inventory, quota::Quota};
use super::{lock, wire::Listener};

pub use self::{
    endless::Endless,
    inventory::{OrderRecord, Overload},
    script::{CutBody, Fault, OrderFault, Script},
};

/// Slots and queue length of a server unless a test sets them.
const SLOTS: u32 = 8;

/// Software version of a server unless a test sets another.
const SOFTWARE: &str = "1";

/// The window in which a brittle server counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// Settings of a server that stay the same while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The server's name; a server started again has the same name and a later start time.
    pub id: backend::Id,
    /// Start time of this run that the server registers and reports; 0 if it gives none.
    pub started_at: StartTime,
    /// The service that the server belongs to.
    pub service: service::Id,
    /// Version of its software that it registers.
    pub software: Arc<str>,
    /// The availability zone that it registers.
    pub zone: availability::Id,
    /// Greatest number of requests that run at once.
    pub slots: u32,
    /// Greatest number of requests that wait for a slot; further ones are answered with status 503.
    pub queue: u32,
    /// Path of the health check.
    pub health: Arc<str>,
    /// Idle connections are closed after this time, which answers announce; `None` keeps them open.
    pub idle: Option<Duration>,
    /// The engine of a model server; `None` for a plain server.
    pub engine: Option<Engine>,
    /// Models and adapters that it holds at the start.
    pub held: Vec<LoadedModel>,
}

impl Settings {
    /// A plain server with 8 slots, a queue of 8 and no start time.
    pub fn plain(id: &str, service: &str) -> Settings {
        Settings {
            id: id.into(),
            started_at: 0,
            service: service.into(),
            software: SOFTWARE.into(),
            zone: "mobile-hall".into(),
            slots: SLOTS,
            queue: SLOTS,
            health: "/health".into(),
            idle: None,
            engine: None,
            held: Vec::new(),
        }
    }

    /// A model server with the slots of `engine`, which holds `models` from the start.
    pub fn model(id: &str, service: &str, engine: &Engine, models: &[&str]) -> Settings {
        let held = models.iter().map(|model| LoadedModel {
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

/// The record of a request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// What its headers say to servers.
    pub request: IncomingRequest,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// All headers, as received.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the server received the request.
    pub arrived_at: Instant,
    /// When it got a slot.
    pub started_at: Instant,
    /// The fault that the script applied to it, if any.
    pub fault: Option<Fault>,
    /// How it ended; `None` while it runs.
    pub ending: Option<Ending>,
    /// When it ended; `None` while it runs.
    pub ended_at: Option<Instant>,
}

impl Run {
    fn end(&mut self, ending: Ending) {
        if self.ending.is_none() {
            (self.ending, self.ended_at) = (Some(ending), Some(Instant::now()));
        }
    }
}

/// The arrival of a request, whether it then ran or not. Health checks and requests without an id
/// aren't recorded.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: Arc<str>,
    /// When the server received it.
    pub at: Instant,
    /// Names of the customer on whose behalf it was sent, one for each header that states it.
    pub customers: Vec<String>,
    /// Whether a caller's key was passed on.
    pub has_key: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer was written.
    Answered,
    /// The caller closed the connection before the answer was complete.
    CallerClosed,
    /// The script had the answer lost, cut off or replaced.
    Corrupted,
    /// The server crashed or was killed during the run.
    Crashed,
}

/// A running server; when dropped, it ends with all connections.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    listener: Listener,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    script: Mutex<Script>,
    inventory: Mutex<Inventory>,
    runs: Mutex<Vec<Run>>,
    started_at: Instant,
    arrivals: Mutex<Vec<Arrival>>,
    quota: Mutex<Quota>,
    load: watch::Sender<Load>,
    registration: watch::Sender<routed::Server>,
    connections: Mutex<u64>,
    abort: Mutex<Option<AbortHandle>>,
    crashed_at: watch::Sender<Option<Instant>>,
    rejections: Mutex<Rejections>,
}

/// Rejections of a brittle server.
#[derive(Debug, Default)]
struct Rejections {
    /// When the server first stated to be brittle, unless it no longer is.
    stated_at: Option<Instant>,
    /// Request ids and times of the rejections for want of room within [`REJECTION_WINDOW`].
    recent: VecDeque<(Arc<str>, Instant)>,
    fall: Option<Fall>,
}

/// A crash of a brittle server.
#[derive(Clone, Debug)]
pub struct Fall {
    /// When the server crashed.
    pub at: Instant,
    /// Ids of the rejected requests that made it crash.
    pub rejected: Vec<Arc<str>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    running: u32,
    waiting: u32,
}

impl Server {
    /// Starts a server on 127.0.0.1, at a port that the operating system picks.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(settings: Settings) -> io::Result<Server> {
        Server::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await
    }

    /// Starts a server at `address`. If the address is in use, retries for about 2 s, since an
    /// earlier server there may just have ended.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start_at(address: SocketAddr, settings: Settings) -> io::Result<Server> {
        // Connections are served only after the server knows its own address.
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
        *lock(&shared.abort) = Some(listener.abort_handle());
        ready.send_replace(Some(shared.clone()));
        Ok(Server { shared, listener })
    }

    /// The server's name, the `id` of its settings.
    pub fn id(&self) -> &backend::Id {
        &self.shared.settings.id
    }

    /// The service of its settings.
    pub fn service(&self) -> &service::Id {
        &self.shared.settings.service
    }

    /// Version of its software.
    pub fn software(&self) -> &str {
        &self.shared.settings.software
    }

    /// The address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Changes the script; requests that are running keep the values that they have read.
    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut lock(&self.shared.script));
    }

    /// Records of all requests that began to run so far, in that order.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Arrivals of all requests so far, also of those that were rejected.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// When this stand-in was started, by the clock of the test.
    pub fn started_at(&self) -> Instant {
        self.shared.started_at
    }

    /// Arrivals of requests and the rate limits that answers stated, to check the rule on rate
    /// limits.
    pub fn quota(&self) -> Quota {
        lock(&self.shared.quota).clone()
    }

    /// How often the request with this id ran.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs().iter().filter(|run| run.request.id.as_deref() == Some(id)).count()
    }

    /// All orders judged so far, with their outcomes, in the order of judgment.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared.inventory).orders.clone()
    }

    /// What an accepted order exceeded, if one did; the server crashes then.
    pub fn overload(&self) -> Option<Overload> {
        lock(&self.shared.inventory).overload
    }

    /// How many connections were accepted so far.
    pub fn connections(&self) -> u64 {
        *lock(&self.shared.connections)
    }

    /// How many requests are running.
    pub fn running(&self) -> u32 {
        self.shared.load.borrow().running
    }

    /// The server's registration, and its changes.
    pub fn registration(&self) -> watch::Receiver<routed::Server> {
        self.shared.registration.subscribe()
    }

    /// Registers the server as draining, with the time that remains until it ends; it goes on
    /// serving.
    pub fn drain(&self, remaining: Option<Duration>) {
        self.shared.registration.send_modify(|server| {
            server.state = State::Draining;
            server.remaining = remaining;
        });
    }

    /// Ends the server at once, with all connections; running requests end as crashed.
    pub fn kill(&self) {
        self.shared.crash();
    }

    /// The crash by too many rejections, if there was one.
    pub fn fall(&self) -> Option<Fall> {
        lock(&self.shared.rejections).fall.clone()
    }

    /// Watches when it crashes or is killed.
    pub fn watch_crash(&self) -> watch::Receiver<Option<Instant>> {
        self.shared.crashed_at.subscribe()
    }

    /// When it crashed or was killed, if it was.
    pub fn crashed_at(&self) -> Option<Instant> {
        *self.shared.crashed_at.borrow()
    }
}

impl Shared {
    fn new(settings: Settings, address: SocketAddr) -> Shared {
        let inventory = Inventory::new(settings.engine.clone(), &settings.held);
        let registration = routed::Server {
            id: routed::run_id(&settings.id, settings.started_at),
            name: settings.id.clone(),
            started_at: settings.started_at,
            service: settings.service.clone(),
            software: settings.software.clone(),
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
            inventory: Mutex::new(inventory),
            runs: Mutex::default(),
            started_at: Instant::now(),
            arrivals: Mutex::default(),
            quota: Mutex::default(),
            load: watch::Sender::default(),
            registration: watch::Sender::new(registration),
            connections: Mutex::default(),
            abort: Mutex::default(),
            crashed_at: watch::Sender::default(),
            rejections: Mutex::default(),
        }
    }

    fn inventory(&self) -> MutexGuard<'_, Inventory> {
        lock(&self.inventory)
    }

    /// Adds the script's limits, and whether the server is leaving, to the head of an answer, and
    /// records the limits.
    fn add_limits(&self, headers: &mut http::HeaderMap) {
        let (limit, brittle) = {
            let script = lock(&self.script);
            if script.is_leaving {
                platform::remote::server::leaving(headers);
            }
            (script.limit.clone(), script.brittle)
        };
        let mut rejections = lock(&self.rejections);
        match brittle {
            Some(tolerated) => {
                platform::remote::server::tolerance(headers, &tolerated.to_string());
                rejections.stated_at.get_or_insert_with(Instant::now);
            }
            None => {
                *rejections = Rejections { fall: rejections.fall.take(), ..Rejections::default() }
            }
        }
        if let Some(limit) = &limit {
            platform::remote::server::limit(headers, limit);
        }
        lock(&self.quota).record_limit(limit.as_deref(), self.started_at.elapsed());
    }

    /// Records a rejection for want of room, and crashes a brittle server after too many.
    fn reject(&self, id: &Arc<str>) {
        let Some(tolerated) = lock(&self.script).brittle else { return };
        let mut rejections = lock(&self.rejections);
        let now = Instant::now();
        rejections.recent.push_back((id.clone(), now));
        while rejections.recent.front().is_some_and(|(_, at)| *at + REJECTION_WINDOW < now) {
            rejections.recent.pop_front();
        }
        let is_bound = rejections.stated_at.is_some_and(|at| at + quota::BINDING_DELAY <= now);
        if is_bound && (tolerated as usize) < rejections.recent.len() {
            let rejected = rejections.recent.iter().map(|(id, _)| id.clone()).collect();
            rejections.fall = Some(Fall { at: now, rejected });
            drop(rejections);
            self.crash();
        }
    }

    /// Updates the registration from the inventory.
    fn register(&self) {
        let (models, sequence) = {
            let inventory = self.inventory();
            (inventory.held(), inventory.sequence)
        };
        self.registration.send_modify(|server| {
            server.models = models;
            server.sequence = sequence;
        });
    }

    /// Ends the server, with all runs and connections.
    fn crash(&self) {
        self.crashed_at.send_modify(|at| {
            at.get_or_insert_with(Instant::now);
        });
        lock(&self.runs).iter_mut().for_each(|run| run.end(Ending::Crashed));
        if let Some(abort) = lock(&self.abort).take() {
            abort.abort();
        }
    }

    /// Running requests, waiting requests and slots, in the order in which answers report them.
    fn load(&self) -> [u32; 3] {
        let load = *self.load.borrow();
        [load.running, load.waiting, self.settings.slots]
    }
}
