//! Dispatch of requests that are routed by host and path.
//!
//! One [`Dispatcher`] stands in each host. It knows the routes in force, the servers with what they
//! hold and how much they have to do, and the requests of this host, and decides for each request
//! where it goes, whether it waits here, or that it is refused. It has no I/O and no clock: what
//! happens is told to it, with the time.
//!
//! A request's life is [`arrive`](Dispatcher::arrive), perhaps a wait that
//! [`pump`](Dispatcher::pump) ends, [`sent`](Dispatcher::sent), [`first_byte`](Dispatcher::first_byte), and
//! either [`ended`](Dispatcher::ended) or, after a failed attempt, [`attempt_failed`](Dispatcher::attempt_failed).
//! The reasons behind the figures are in `docs/design/dispatch.md`.

mod account;
mod arrive;
mod choose;
mod list;
mod load;
mod loaded;
mod loans;
mod pump;
mod queue;
mod quota;
mod registry;
mod server;
mod sharers;
mod stats;
mod task;
mod watch;

pub mod breaker;
pub mod budget;
pub mod pace;
pub mod poison;
pub mod request;
pub mod routes;

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
    net::SocketAddr,
};

use types::{
    prelude::*,
    routed::{self, Declaration, Route, Sequence},
};

use self::{
    budget::Budget,
    loaded::Absence,
    loans::Borrowing,
    registry::Registry,
    sharers::Sharers,
    task::{State, Task},
};
pub use self::{
    budget::{RetryBudgetConfig, RetryBudgetStatus, RetryTotals, loan},
    poison::{Fingerprint, Poison},
    pump::Missing,
    registry::Work,
    request::{
        Answer, Cause, Change, End, NotRun, Part, RequestSpec, RetryDecision, Ticket, Unclear,
        Unreachable, Verdict,
    },
    routes::{Routes, split},
};
use crate::{
    quota::Quotas,
    route::{
        Index,
        hints::{self, Hints},
    },
};

/// A map without random state; its order never shows.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Prompt parts remembered in one generation.
const PREFIX_HINTS: usize = 4096;

/// How long a server is thought to keep a part of a prompt.
const PREFIX_HINT_LIFE: Duration = Duration::from_secs(60);

/// How long fewer hosts are seen before they count.
const SHRINK_DELAY: Duration = Duration::from_secs(20);

/// Most hosts that hear of each other's requests so soon that they don't crowd a server.
const MAX_UNCONTENDED_HOSTS: u32 = 16;

/// What a host is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host.
    pub host: host::Id,
    /// Its run.
    pub run: host::Incarnation,
    /// The host's availability zone.
    pub zone: availability::Id,
    /// Hosts that there are until others are known.
    pub hosts: u32,
    /// RetryBudgetConfig of the retry budget.
    pub retries: RetryBudgetConfig,
}

/// A run of a host, as the store knows its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStart {
    /// The first under this name.
    First,
    /// A later one, which doesn't know what the one before has spent.
    Restart,
}

/// All decisions about routed requests on one host.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// Hosts that share the servers.
    hosts: u32,
    /// Hosts that share the retry budgets.
    sharers: Sharers,
    /// Fewer hosts that there seem to be, and since when.
    lower_count: Option<(u32, Moment)>,
    version: Option<routed::Version>,
    routes: Routes,
    registry: Registry,
    tasks: Map<Ticket, Task>,
    hints: Hints,
    poison: Poison,
    quotas: Quotas,
    loans: Borrowing,
    ticked: Moment,
    overdue_checked: Moment,
    /// When what waits for limited servers was last looked at.
    limits_checked: Moment,
}

impl Dispatcher {
    /// With nothing known yet.
    pub fn new(settings: Settings) -> Dispatcher {
        let bounds =
            hints::Bounds { generation: PREFIX_HINTS, life: PREFIX_HINT_LIFE, block_tokens: 1 };
        Dispatcher {
            hosts: settings.hosts.max(1),
            sharers: Sharers::new(settings.hosts, settings.retries.window),
            lower_count: None,
            version: None,
            routes: Routes::default(),
            registry: Registry::new(settings.zone, settings.retries),
            tasks: Map::default(),
            hints: Hints::new(bounds),
            poison: Poison::new(settings.host.clone()),
            quotas: Quotas::new(settings.host, settings.run),
            loans: Borrowing::default(),
            ticked: Duration::ZERO,
            overdue_checked: Duration::ZERO,
            limits_checked: Duration::ZERO,
        }
    }

    /// Takes in a declaration, unless a later one is in force.
    pub fn declare(&mut self, declaration: &Declaration) {
        if self.version.is_some_and(|version| declaration.version < version) {
            return;
        }
        self.version = Some(declaration.version);
        self.routes = Routes::new(&declaration.routes);
        for service in &declaration.services {
            self.registry.service(&service.name);
        }
    }

    /// Number of the declaration in force.
    pub fn version(&self) -> Option<routed::Version> {
        self.version
    }

    /// The route of a request: the longest prefix of its path among those of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(host, path)
    }

    /// Sets how many hosts share the servers. More count at once, fewer only after [`FEWER`].
    pub fn hosts(&mut self, count: u32) {
        let count = count.max(1);
        self.lower_count = match self.lower_count {
            _ if self.hosts <= count => None,
            Some((other, since)) => Some((other.max(count), since)),
            None => Some((count, self.ticked)),
        };
        match self.lower_count {
            None => self.hosts = count,
            Some((lower, since)) if since + SHRINK_DELAY <= self.ticked => {
                self.hosts = lower;
                self.lower_count = None;
            }
            Some(_) => {}
        }
    }

    /// The store knows this run by its name, so that the next one is a later one. A run that isn't known has no part of
    /// the retries besides those for its requests.
    pub fn registered(&mut self, start: HostStart) {
        self.sharers.start(start);
    }

    /// What a server says of itself.
    pub fn server(&mut self, server: &routed::Server, now: Moment) {
        let index = self.registry.register(server, now);
        if let Some(known) = self.registry.get_mut(index) {
            known.is_limited = self.quotas.limit(&known.id).is_some();
        }
        if server.state == routed::State::Draining {
            self.registry.drain(index);
        }
    }

    /// Whether a server is known and not known to leave.
    pub fn is_ready(&self, id: &backend::Id) -> bool {
        let server = self.registry.index(id).and_then(|index| self.registry.get(index));
        server.is_some_and(|server| server.state == routed::State::Ready)
    }

    /// A server takes nothing new.
    pub fn draining(&mut self, id: &backend::Id) {
        if let Some(index) = self.registry.index(id) {
            self.registry.drain(index);
        }
    }

    /// A server takes work again: its entry was written after it was said to leave.
    pub fn resume(&mut self, id: &backend::Id) {
        if let Some(index) = self.registry.index(id) {
            self.registry.resume(index);
        }
    }

    /// A server is gone.
    pub fn gone(&mut self, id: &backend::Id, now: Moment) {
        self.quotas.forget(id);
        if let Some(index) = self.registry.index(id) {
            self.ended_unannounced(index, id, now);
            self.registry.remove(index);
            self.hints.clear(index);
        }
    }

    /// A server's registration ended though it did not say that it leaves.
    pub fn unregistered(&mut self, id: &backend::Id, now: Moment) {
        if let Some(index) = self.registry.index(id) {
            self.ended_unannounced(index, id, now);
        }
    }

    /// Charges what may have crashed a server that ended without a word.
    fn ended_unannounced(&mut self, index: Index, id: &backend::Id, now: Moment) {
        let Some(server) = self.registry.get(index) else { return };
        if server.state == routed::State::Draining {
            return;
        }
        // One that still answers may be about to leave.
        if server.is_unresponsive(now) {
            let in_flight = self.tasks.values().filter_map(|task| match &task.state {
                State::InFlight(attempt) if attempt.id == *id => Some(&task.spec),
                _ => None,
            });
            for spec in in_flight {
                self.poison.unclear(spec.ticket, spec.fingerprint, id, now);
            }
        }
        self.poison.gone(id, now);
    }

    /// Where a server listens.
    pub fn address(&self, id: &backend::Id) -> Option<SocketAddr> {
        self.registry.get(self.registry.index(id)?).map(|server| server.address)
    }

    /// A server's report, from itself or by way of a peer.
    pub fn report(&mut self, id: &backend::Id, report: &routed::Report, now: Moment) {
        if let Some(index) = self.registry.index(id) {
            self.registry.report(index, report, now);
        }
    }

    /// The load that a server told with an answer.
    pub fn server_load(
        &mut self,
        id: &backend::Id,
        running: u32,
        waiting: u32,
        slots: u32,
        now: Moment,
    ) {
        let Some(index) = self.registry.index(id) else { return };
        if let Some(server) = self.registry.get_mut(index) {
            server.slots = slots.max(1);
            server.load.report(running, waiting, Duration::ZERO, now);
        }
    }

    /// Age of what a server last told of its work.
    pub fn report_age(&self, id: &backend::Id, now: Moment) -> Option<Duration> {
        let server = self.registry.get(self.registry.index(id)?)?;
        server.load.reported_at().map(|at| now.saturating_sub(at))
    }

    /// Servers that are tried and have answered nothing for a while.
    pub fn unresponsive(&self, now: Moment) -> Vec<backend::Id> {
        let unresponsive = self.registry.servers().filter(|server| server.is_unresponsive(now));
        unresponsive.map(|server| server.id.clone()).collect()
    }

    /// All that a peer has in flight, in place of what it told before.
    pub fn peer(&mut self, host: &host::Id, work: &[Work], now: Moment) {
        self.registry.set_peer_work(host, work, now);
        if MAX_UNCONTENDED_HOSTS < self.hosts {
            self.registry.update_contenders(self.hosts);
        }
    }

    /// What this host has used of each service's retry budget since its start.
    pub fn retry_totals(&self) -> Vec<(service::Id, RetryTotals)> {
        let services = self.registry.services.iter();
        services.map(|service| (service.id.clone(), service.budget.totals())).collect()
    }

    /// How the retry budget of each service stands on this host.
    pub fn retry_budgets(&self, now: Moment) -> Vec<(service::Id, RetryBudgetStatus)> {
        let services = self.registry.services.iter();
        let status = |budget: &Budget| budget.status(self.sharers.extra(), now);
        services.map(|service| (service.id.clone(), status(&service.budget))).collect()
    }

    /// A server holds a model, or an adapter on it, after so many orders.
    pub fn model_loaded(
        &mut self,
        id: &backend::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        sequence: Sequence,
        now: Moment,
    ) {
        if let Some((index, model)) = self.held(id, model) {
            self.registry.mark_loaded(index, model, adapter, sequence, now);
        }
    }

    /// A server is about to drop a model, or an adapter on it, after so many orders.
    pub fn model_unloading(
        &mut self,
        id: &backend::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        sequence: Sequence,
        now: Moment,
    ) {
        if let Some((index, model)) = self.held(id, model) {
            self.registry.mark_absent(index, model, adapter, Absence::Ordered(sequence), now);
        }
    }

    /// A server was ordered to load a model, or an adapter on it, and should be done by then.
    pub fn model_loading(
        &mut self,
        id: &backend::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        ready: Moment,
    ) {
        if let Some((index, model)) = self.held(id, model) {
            self.registry.mark_loading(index, model, adapter, ready);
        }
    }

    /// Requests that crash servers.
    pub fn poison(&self) -> &Poison {
        &self.poison
    }

    /// Requests that crash servers, to be changed by what others know of them.
    pub fn poison_mut(&mut self) -> &mut Poison {
        &mut self.poison
    }

    fn held(&mut self, id: &backend::Id, model: &model::Id) -> Option<(u32, u32)> {
        let index = self.registry.index(id)?;
        let service = self.registry.get(index)?.service;
        Some((index, self.registry.model(service, model)))
    }
}

/// One step of the SplitMix64 generator.
fn mixed(state: u64) -> u64 {
    let state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
