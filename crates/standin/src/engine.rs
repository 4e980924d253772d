//! Stand-in for a model engine.
//!
//! Simulates continuous batching: each running request gets one token per step once its prompt has
//! been processed at the prefill rate. Keeps a small prefix cache and an account of accelerator
//! memory, and counts overcommits, executions and crashes. The answer is a function of prompt and
//! offset alone ([`token`]), so that a test can tell it from the answer to another request.

mod batch;
mod cache;
mod http;
mod memory;
mod state;

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use tokio::sync::Notify;
use types::prelude::*;

pub use self::batch::token;
use self::state::State;
use crate::{net::Listener, weights};

/// Text in a prompt that crashes the engine when the request starts to run.
pub const POISON: &str = "<<poison>>";

/// Header with the idempotency key, by which [`Counts::runs_by_key`] counts executions.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Time from a crash by a request to the restart, unless the settings say otherwise.
const BOOT_TIME: Duration = Duration::from_millis(200);

/// Configuration of an engine: create it with [`Settings::new`] and change fields as needed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Server id that the engine reports.
    pub id: backend::Id,
    /// Size of the accelerator memory in MiB.
    pub capacity: Mebibytes,
    /// Maximum number of requests in the running batch; others wait.
    pub slots: u32,
    /// Duration of one step, in which each running request gets a token.
    pub step: Duration,
    /// Prompt tokens processed per step, over all running requests.
    pub prefill_rate: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Minimum age of the load reports that the engine serves.
    pub report_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub fenced: bool,
    /// Units that are loaded and ready at each start, each with its memory.
    pub preload: Vec<(Unit, Mebibytes)>,
    /// Weight store, which sets the duration of loads and limits their rate and number at a time.
    pub weights: weights::Store,
    /// Time after a crash by a request until the engine restarts; `None` if it never does.
    pub restart_after: Option<Duration>,
}

impl Settings {
    /// An engine with 80,000 MiB, 16 slots, steps of 5 ms and nothing loaded.
    pub fn new(id: &str) -> Settings {
        Settings {
            id: id.into(),
            capacity: 80_000,
            slots: 16,
            step: Duration::from_millis(5),
            prefill_rate: 2_000,
            cache_blocks: 512,
            report_lag: Duration::ZERO,
            fenced: true,
            preload: Vec::new(),
            weights: weights::Store::new(1_000.0, 64, Duration::from_millis(5)),
            restart_after: Some(BOOT_TIME),
        }
    }

    /// Adds a model that is ready at each start.
    pub fn with_model(mut self, model: &str, version: &str, memory: Mebibytes) -> Settings {
        let unit = Unit::Model { model: model.into(), version: version.into() };
        self.preload.push((unit, memory));
        self
    }

    /// Adds an adapter that is ready at each start.
    pub fn with_adapter(
        mut self,
        model: &str,
        adapter: &str,
        version: &str,
        memory: Mebibytes,
    ) -> Settings {
        let (model, adapter, version) = (model.into(), adapter.into(), version.into());
        self.preload.push((Unit::Adapter { model, adapter, version }, memory));
        self
    }
}

/// Faults that the engine injects.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Number of next orders that are dropped: the connection is closed without an answer.
    pub lost_orders: u32,
    /// Number of next orders that are executed, but whose acknowledgements are lost.
    pub lost_acks: u32,
    /// Number of next orders whose connection is closed, and that are executed later.
    pub late_orders: u32,
    /// Delay of the execution of late orders.
    pub lateness: Duration,
    /// Whether the engine generates no tokens, while it keeps its connections open.
    pub frozen: bool,
}

/// Counters of the engine. They keep counting over crashes and restarts.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Loads after which the memory in use exceeded the capacity.
    pub overcommits: u64,
    /// Highest memory use after a load, in MiB.
    pub peak: Mebibytes,
    /// Executions, by request id.
    pub runs: BTreeMap<String, u64>,
    /// Executions, by idempotency key.
    pub runs_by_key: BTreeMap<String, u64>,
    /// Requests that arrived, including those for a model that isn't loaded.
    pub arrivals: u64,
    /// Requests whose caller disconnected before the answer was complete.
    pub cancels: u64,
    /// Tokens generated for all requests.
    pub tokens: u64,
    /// Loads and unloads that were begun.
    pub moves: u64,
    /// Crashes, by a request or by [`Engine::crash`].
    pub crashes: u64,
}

/// A running engine, which stops listening when dropped.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    state: Mutex<State>,
    listener: Mutex<Option<Listener>>,
    address: Mutex<SocketAddr>,
    wake: Notify,
}

impl Engine {
    /// Starts an engine on a loopback port that the system picks.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(settings: Settings) -> io::Result<Engine> {
        let unbound = (Ipv4Addr::LOCALHOST, 0).into();
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&settings)),
            settings,
            listener: Mutex::new(None),
            address: Mutex::new(unbound),
            wake: Notify::new(),
        });
        shared.listen().await?;
        tokio::spawn(batch::run(Arc::downgrade(&shared)));
        Ok(Engine { shared })
    }

    /// Address of the HTTP interface. It stays the same after a restart.
    pub fn address(&self) -> SocketAddr {
        *lock(&self.shared.address)
    }

    /// The settings that the engine was started with.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Changes the faults that are injected.
    pub fn fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.shared.state().fault);
    }

    /// Makes the engine report that it is leaving. It still accepts requests.
    pub fn leave(&self) {
        self.shared.state().leaving = true;
    }

    /// Simulates the sudden end of the process: connections, memory and queue are lost.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Restarts the engine after a crash, at the same address and with the next incarnation number.
    ///
    /// # Errors
    ///
    /// If the port can't be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.shared.restart().await
    }

    /// Counters up to now.
    pub fn counts(&self) -> Counts {
        self.shared.state().counts.clone()
    }

    /// Units in memory now, without the lag of load reports.
    pub fn residents(&self) -> Vec<resident::Resident> {
        self.shared.state().memory.residents().to_vec()
    }

    /// Number of requests that are running or waiting.
    pub fn in_flight(&self) -> usize {
        self.shared.state().batch.len()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        *lock(&self.shared.listener) = None;
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    async fn listen(self: &Arc<Self>) -> io::Result<()> {
        let address = *lock(&self.address);
        let listener = Listener::start_at(address, http::router(self.clone())).await?;
        *lock(&self.address) = listener.address();
        *lock(&self.listener) = Some(listener);
        Ok(())
    }

    fn crash(&self) {
        self.state().crash(&self.settings);
        *lock(&self.listener) = None;
    }

    async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.state().restart(&self.settings);
        self.listen().await
    }

    /// Crashes because of a request, and restarts after [`Settings::restart_after`].
    fn crash_by_poison(self: &Arc<Self>) {
        let weak: Weak<Shared> = Arc::downgrade(self);
        let pause = self.settings.restart_after;
        self.crash();
        let Some(pause) = pause else { return };
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let Some(shared) = weak.upgrade() else { return };
            if let Err(error) = shared.restart().await {
                log::error!(server = &*shared.settings.id; "engine cannot restart: {error}");
            }
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
