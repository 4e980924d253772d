//! Stand-in of a model engine.
//!
//! Batches continuously, one token a step for each running request, after its prompt was read at
//! the prefill rate. Keeps a small prefix cache and the true accelerator memory, and counts every
//! overcommit, run and crash. What it answers is a function of prompt and offset alone
//! ([`token`]), so that a test can tell a right answer from another request's.

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

/// A request that holds this text crashes the engine when it starts to run.
pub const POISON: &str = "<<poison>>";

/// Header by which the engine counts runs of one effect.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

const BOOT_TIME: Duration = Duration::from_millis(200);

/// What an engine is like. Make one with [`Settings::new`] and change its fields.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub id: backend::Id,
    /// Accelerator memory, in MiB.
    pub capacity: Mebibytes,
    /// Most requests that run at once.
    pub slots: u32,
    /// Time of one step.
    pub step: Duration,
    /// Prompt tokens read in one step.
    pub prefill_rate: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How late cache events and load reports come.
    pub report_lag: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Units in memory, ready, at each start.
    pub preload: Vec<(Unit, Mebibytes)>,
    /// Where weights come from.
    pub weights: weights::Store,
    /// How long after a crash it starts again; never if there is none.
    pub restart_after: Option<Duration>,
}

impl Settings {
    /// A middling engine without anything loaded.
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

    /// Adds a model that is ready from the start.
    pub fn with_model(mut self, model: &str, version: &str, memory: Mebibytes) -> Settings {
        let unit = Unit::Model { model: model.into(), version: version.into() };
        self.preload.push((unit, memory));
        self
    }

    /// Adds an adapter that is ready from the start.
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

/// How the engine misbehaves.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Closes the connection on this many orders and never takes them.
    pub lost_orders: u32,
    /// Takes this many orders and loses their acknowledgements.
    pub lost_acks: u32,
    /// Closes the connection on this many orders and takes them later.
    pub late_orders: u32,
    /// How much later.
    pub lateness: Duration,
    /// Answers no token after this many steps more, but keeps its connections open.
    pub frozen: bool,
}

/// What truly happened on the engine, over all of its runs.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Times that memory went over its capacity.
    pub overcommits: u64,
    /// Most memory taken at any time, in MiB.
    pub peak: Mebibytes,
    /// Requests that began to run, by request id.
    pub runs: BTreeMap<String, u64>,
    /// Requests that began to run, by [`IDEMPOTENCY_KEY`] header.
    pub effects: BTreeMap<String, u64>,
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests whose caller went away before their end.
    pub cancels: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Loads and unloads taken.
    pub moves: u64,
    /// Crashes.
    pub crashes: u64,
}

/// A running engine.
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
    /// Starts it.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        *lock(&self.shared.address)
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Changes how it misbehaves.
    pub fn fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.shared.state().fault);
    }

    /// Says in its reports that it is leaving.
    pub fn leave(&self) {
        self.shared.state().leaving = true;
    }

    /// Ends its process at once: connections, memory and queue are gone.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts it again after a crash, at the same address.
    ///
    /// # Errors
    ///
    /// If its port can't be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.shared.restart().await
    }

    /// What truly happened.
    pub fn counts(&self) -> Counts {
        self.shared.state().counts.clone()
    }

    /// What is truly in memory now.
    pub fn residents(&self) -> Vec<resident::Resident> {
        self.shared.state().memory.residents().to_vec()
    }

    /// Requests running or waiting now.
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

    /// Crashes because of a request, and starts again if the settings say so.
    fn crash_by_poison(self: &Arc<Self>) {
        let weak: Weak<Shared> = Arc::downgrade(self);
        let pause = self.settings.restart_after;
        self.crash();
        let Some(pause) = pause else { return };
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let Some(shared) = weak.upgrade() else { return };
            if let Err(error) = shared.restart().await {
                log::error!(server = &*shared.settings.id; "engine can't start again: {error}");
            }
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
