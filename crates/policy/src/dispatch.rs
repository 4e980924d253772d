//! Dispatch of requests that are routed by host name and path.
//!
//! Each host has one [`Dispatcher`]. It knows the routes in force, the servers with their models
//! and load, and the requests of this host. For each request it decides which server gets it,
//! whether it waits in a queue on this host, or that it is refused. It does no I/O and reads no
//! clock: events are passed in together with the time.
//!
//! A request goes through [`arrive`](Dispatcher::arrive), possibly a wait that
//! [`pump`](Dispatcher::pump) ends, [`sent`](Dispatcher::sent),
//! [`first_byte`](Dispatcher::first_byte), and then either [`ended`](Dispatcher::ended) or, after a
//! failed attempt, [`attempt_failed`](Dispatcher::attempt_failed). The reasons behind the constants
//! are in `docs/design/dispatch.md`.

mod arrive;
mod back_off;
mod brittle;
mod choose;
mod displace;
mod events;
mod list;
mod load;
mod loaded;
mod loans;
mod path;
mod pump;
mod queue;
mod quota;
mod registry;
mod reserve;
mod server;
mod sharers;
mod slots;
mod stats;
mod task;
mod watch;

pub mod breaker;
pub mod budget;
pub mod pace;
pub mod poison;
pub mod request;
pub mod routes;
pub mod speed;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{BuildHasherDefault, DefaultHasher},
    net::SocketAddr,
};

use types::{
    prelude::*,
    routed::{self, Declaration, Route, Sequence},
};

use self::{
    budget::{Budget, Need},
    loaded::Absence,
    loans::Borrowing,
    registry::Registry,
    sharers::Sharers,
    stats::duration,
    task::{State, Task},
};
pub use self::{
    budget::{RetryBudgetConfig, RetryBudgetStatus, RetryTotals, loan},
    displace::CustomerWork,
    poison::{Fingerprint, Poison},
    pump::Missing,
    registry::Work,
    request::{
        Answer, Cause, Change, End, NotRun, Part, RequestSpec, RetryDecision, Silence, Ticket,
        Unclear, Unreachable, Verdict,
    },
    reserve::Deferrable,
    routes::{Routes, split},
};
use crate::{
    quota::Quotas,
    route::{
        Index,
        hints::{self, Hints},
    },
    share,
    slots::{MAX_UNCONTENDED_HOSTS, Slots, Want},
    streams::{self, SoftwareId},
};

/// Multiple of the usual time at a server within which a request is expected to end.
const HOLD_MARGIN: f64 = 2.0;

/// A map with a fixed hasher seed. Its iteration order never affects a decision.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Prompt prefixes remembered in each generation of the hints.
const PREFIX_HINTS: usize = 4096;

/// How long a server is assumed to keep a prompt prefix in its cache.
const PREFIX_HINT_LIFE: Duration = Duration::from_secs(60);

/// How long the number of hosts must stay lower before the lower number takes effect.
const SHRINK_DELAY: Duration = Duration::from_secs(20);

/// Settings of a host's dispatcher, fixed for the life of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's id.
    pub host: host::Id,
    /// The run of the host, which tells its messages from those of earlier runs.
    pub run: host::Incarnation,
    /// The host's availability zone; its servers are preferred.
    pub zone: availability::Id,
    /// Number of hosts to assume until others have been observed.
    pub hosts: u32,
    /// Limits of the retry budget of each service.
    pub retries: RetryBudgetConfig,
}

/// Whether the store already knew the host's name when this run registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStart {
    /// The first start under this name.
    First,
    /// A later start, which doesn't know what the run before has spent of the retry budgets.
    Restart,
}

/// Dispatch state of one host. It makes all decisions on the requests that the host routes.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// Number of hosts that share the servers.
    hosts: u32,
    /// Number of hosts that share the retry budgets, and this run's share of the extra retries.
    sharers: Sharers,
    /// The highest of the numbers below [`hosts`](Self::hosts) observed lately, and since when.
    lower_count: Option<(u32, Moment)>,
    version: Option<routed::Version>,
    routes: Routes,
    registry: Registry,
    tasks: Map<Ticket, Task>,
    hints: Hints,
    poison: Poison,
    quotas: Quotas,
    slots: Slots,
    /// Slots that the requests waiting here want, by server.
    wanted_slots: BTreeMap<backend::Id, Want>,
    loans: Borrowing,
    /// When the deferrable requests of other hosts were last updated.
    peer_deferrable_at: Option<Moment>,
    /// Customers' work on other hosts, and when it was last updated.
    peer_customers: BTreeMap<customer::Id, (share::Cost, share::Cost)>,
    peer_customers_at: Moment,
    weights: share::Weights,
    /// Customers that have more in flight than their share.
    above_share: Vec<share::Group>,
    /// Verdicts on displaced requests that the next pump returns.
    displaced: Vec<Change>,
    /// How late this host's tasks run; zero while they are on time.
    lateness: Duration,
    ticked_at: Moment,
    watch: watch::Times,
    /// When sums of response times were last sent to other hosts.
    speeds_sent_at: Option<Moment>,
    /// When the requests that wait for limited servers were last checked.
    limits_checked_at: Moment,
}

impl Dispatcher {
    /// Creates a dispatcher without routes, servers or requests.
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
            slots: Slots::new(settings.host.clone(), settings.run),
            wanted_slots: BTreeMap::new(),
            quotas: Quotas::new(settings.host, settings.run),
            loans: Borrowing::default(),
            peer_deferrable_at: None,
            peer_customers: BTreeMap::new(),
            peer_customers_at: Duration::ZERO,
            weights: share::Weights::default(),
            above_share: Vec::new(),
            displaced: Vec::new(),
            lateness: Duration::ZERO,
            ticked_at: Duration::ZERO,
            watch: watch::Times::default(),
            speeds_sent_at: None,
            limits_checked_at: Duration::ZERO,
        }
    }

    /// Applies a declaration unless a newer one is in force.
    pub fn declare(&mut self, declaration: &Declaration) {
        if self.version.is_some_and(|version| declaration.version < version) {
            return;
        }
        self.version = Some(declaration.version);
        self.routes = Routes::new(&declaration.routes);
        self.weights = share::Weights::new(declaration.customers.as_deref().unwrap_or_default());
        for service in &declaration.services {
            self.registry.service(&service.name);
        }
        for (route, share) in declaration
            .routes
            .iter()
            .flat_map(|route| route.split.iter().map(move |share| (route, share)))
        {
            let service = self.registry.service(&share.service);
            let goal = &mut self.registry.services[service as usize].goal;
            *goal = goal.map_or(route.goal, |goal| goal.min(route.goal)).into();
        }
    }

    /// Version of the declaration in force.
    pub fn version(&self) -> Option<routed::Version> {
        self.version
    }

    /// Returns the route with the longest prefix of the path among the routes of the host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(host, path)
    }

    /// Sets how many hosts share the servers. A higher number takes effect at once, a lower one
    /// only after [`SHRINK_DELAY`].
    pub fn hosts(&mut self, count: u32) {
        let count = count.max(1);
        self.lower_count = match self.lower_count {
            _ if self.hosts <= count => None,
            Some((other, since)) => Some((other.max(count), since)),
            None => Some((count, self.ticked_at)),
        };
        match self.lower_count {
            None => self.hosts = count,
            Some((lower, since)) if since + SHRINK_DELAY <= self.ticked_at => {
                self.hosts = lower;
                self.lower_count = None;
            }
            Some(_) => {}
        }
    }

    /// Sets how late this host's tasks run, which delays each request before it is sent.
    pub fn set_lateness(&mut self, lateness: Duration) {
        self.lateness = lateness;
    }

    /// Records that this run is registered in the store, so that the next start is a
    /// [`HostStart::Restart`]. A run that isn't registered has no share of the extra retries, only
    /// those that its own requests pay for, and lends no share of a server's quota for a while.
    pub fn registered(&mut self, start: HostStart) {
        self.sharers.start(start);
        self.quotas.registered(start == HostStart::First);
    }

    /// Applies a server's registration.
    pub fn server(&mut self, server: &routed::Server, now: Moment) {
        let index = self.registry.register(server, now);
        if let Some(known) = self.registry.get_mut(index) {
            known.is_limited = self.quotas.limit(&known.id).is_some();
            if !streams::is_unread(&server.software) {
                self.poison.registered(&known.id, known.software);
            }
        }
        if server.state == routed::State::Draining {
            self.registry.drain(index);
        }
    }

    /// Sets the versions of a service at which streams that may be resumed may begin. While no server
    /// of the service that takes requests has any of them, streams begin at all servers.
    pub fn set_listed(&mut self, service: &service::Id, listed: BTreeSet<SoftwareId>) {
        let service = self.registry.service(service);
        self.registry.set_listed(service, listed);
    }

    /// Whether a request that was assigned to a server can be expected to end there by a time.
    pub fn can_end_by(&self, ticket: Ticket, end: Moment, now: Moment) -> bool {
        let Some(task) = self.tasks.get(&ticket) else { return true };
        now + duration(self.stats(task).hold() * HOLD_MARGIN) <= end
    }

    /// Whether a server is known and not draining.
    pub fn is_ready(&self, id: &backend::Id) -> bool {
        let server = self.registry.index(id).and_then(|index| self.registry.get(index));
        server.is_some_and(|server| server.state == routed::State::Ready)
    }

    /// Records that a server takes no new requests.
    pub fn draining(&mut self, id: &backend::Id) {
        if let Some(index) = self.registry.index(id) {
            self.registry.drain(index);
        }
    }

    /// Records that a server takes requests again, because its registration was written after the
    /// notice that it drains.
    pub fn resume(&mut self, id: &backend::Id) {
        if let Some(index) = self.registry.index(id) {
            self.registry.resume(index);
        }
    }

    /// Removes a server.
    pub fn gone(&mut self, id: &backend::Id, now: Moment) {
        self.quotas.forget(id);
        self.slots.forget(id);
        if let Some(index) = self.registry.index(id) {
            self.ended_unannounced(index, id, now);
            self.registry.remove(index);
            self.poison.deregistered(id, now);
            self.hints.clear(index);
        }
    }

    /// Records that a server's registration ended without notice.
    pub fn unregistered(&mut self, id: &backend::Id, now: Moment) {
        if let Some(index) = self.registry.index(id) {
            self.ended_unannounced(index, id, now);
        }
    }

    /// Charges the requests that may have crashed a server which ended without draining.
    fn ended_unannounced(&mut self, index: Index, id: &backend::Id, now: Moment) {
        let Some(server) = self.registry.get(index) else { return };
        if server.state == routed::State::Draining {
            return;
        }
        // A server that still answers may be about to drain.
        if server.is_unresponsive(now) {
            let in_flight = self.tasks.values().filter_map(|task| match &task.state {
                State::InFlight(attempt) if attempt.id == *id => Some(&task.spec),
                _ => None,
            });
            for spec in in_flight {
                for subject in spec.subjects() {
                    self.poison.unclear(spec.ticket, subject, id, now);
                }
            }
        }
        self.poison.gone(id, now);
    }

    /// The address at which a server listens.
    pub fn address(&self, id: &backend::Id) -> Option<SocketAddr> {
        self.registry.get(self.registry.index(id)?).map(|server| server.address)
    }

    /// Applies a server's load report, received from the server or through a peer.
    pub fn report(&mut self, id: &backend::Id, report: &routed::Report, now: Moment) {
        if let Some(index) = self.registry.index(id) {
            self.registry.report(index, report, now);
        }
    }

    /// Applies the load that a server sent along with a response.
    pub fn server_load(&mut self, id: &backend::Id, load: routed::ServerLoad, now: Moment) {
        let Some(index) = self.registry.index(id) else { return };
        if let Some(server) = self.registry.get_mut(index) {
            server.slots = load.slots.max(1);
            server.load.report(load.running, load.waiting, Duration::ZERO, now);
            self.slots.report(id, load.running.saturating_add(load.waiting), now);
            if let Some(slowdown) = load.slowdown {
                server.speed.report(slowdown, now);
            }
        }
    }

    /// Age of the newest load that a server reported.
    pub fn report_age(&self, id: &backend::Id, now: Moment) -> Option<Duration> {
        let server = self.registry.get(self.registry.index(id)?)?;
        server.load.reported_at().map(|at| now.saturating_sub(at))
    }

    /// Servers whose circuit breaker is tripped and that have answered nothing for a second.
    pub fn unresponsive(&self, now: Moment) -> Vec<backend::Id> {
        let unresponsive = self.registry.servers().filter(|server| server.is_unresponsive(now));
        unresponsive.map(|server| server.id.clone()).collect()
    }

    /// Replaces the requests that a peer has in flight by those of its newest digest.
    pub fn peer(&mut self, host: &host::Id, work: &[Work], now: Moment) {
        self.registry.set_peer_work(host, work, now);
        if MAX_UNCONTENDED_HOSTS < self.hosts {
            self.registry.update_contenders(self.hosts);
        }
    }

    /// Requests and retries of each service on this host since its start.
    pub fn retry_totals(&self) -> Vec<(service::Id, RetryTotals)> {
        let services = self.registry.services.iter();
        services.map(|service| (service.id.clone(), service.budget.totals())).collect()
    }

    /// State of each service's retry budget on this host.
    pub fn retry_budgets(&self, now: Moment) -> Vec<(service::Id, RetryBudgetStatus)> {
        let services = self.registry.services.iter();
        let status = |budget: &Budget| budget.status(self.sharers.extra(), now);
        services.map(|service| (service.id.clone(), status(&service.budget))).collect()
    }

    /// Retries that this host may still make for a service, for requests of which much depends on one;
    /// `None` if no request for the service has arrived.
    pub fn retries_left(&self, service: &service::Id, now: Moment) -> Option<f64> {
        let service = self.registry.services.iter().find(|known| known.id == *service)?;
        Some(service.budget.left(Need::High, self.sharers.extra(), now))
    }

    /// Records that a server has loaded a model, or an adapter on it, as of one of its order
    /// sequence numbers.
    pub fn model_loaded(
        &mut self,
        id: &backend::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        sequence: Sequence,
        now: Moment,
    ) {
        if let Some((index, model)) = self.server_and_model(id, model) {
            self.registry.mark_loaded(index, model, adapter, sequence, now);
        }
    }

    /// Records that a server was ordered to unload a model, or an adapter on it, by the order of
    /// this sequence number.
    pub fn model_unloading(
        &mut self,
        id: &backend::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        sequence: Sequence,
        now: Moment,
    ) {
        if let Some((index, model)) = self.server_and_model(id, model) {
            self.registry.mark_absent(index, model, adapter, Absence::Ordered(sequence), now);
        }
    }

    /// Records that a server was ordered to load a model, or an adapter on it. `ready` is the
    /// expected time of completion.
    pub fn model_loading(
        &mut self,
        id: &backend::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        ready: Moment,
    ) {
        if let Some((index, model)) = self.server_and_model(id, model) {
            self.registry.mark_loading(index, model, adapter, ready);
        }
    }

    /// Whether a request may still be sent to the server that it was assigned to: the server takes
    /// requests, and the request has not become poison since.
    pub fn may_send(&self, ticket: Ticket, now: Moment) -> bool {
        let Some(task) = self.tasks.get(&ticket) else { return false };
        let State::InFlight(attempt) = &task.state else { return false };
        let server = self.registry.get(attempt.server).filter(|server| server.id == attempt.id);
        let is_open = server.is_some_and(|server| {
            server.state == routed::State::Ready && !server.back_off.is_active(now)
        });
        is_open && self.standing(&task.spec) != poison::Standing::Poison
    }

    /// Records that a server wants no requests from this host for a time.
    pub fn back_off(&mut self, id: &backend::Id, time: Duration, now: Moment) {
        let Some(index) = self.registry.index(id) else { return };
        if let Some(server) = self.registry.get_mut(index) {
            server.back_off.extend(time, now);
        }
    }

    /// Whether a server wants nothing from this host now.
    pub fn backs_off(&self, id: &backend::Id, now: Moment) -> bool {
        let server = self.registry.index(id).and_then(|index| self.registry.get(index));
        server.is_some_and(|server| server.back_off.is_active(now))
    }

    /// Requests and parts of prompts that crash servers.
    pub fn poison(&self) -> &Poison {
        &self.poison
    }

    /// Mutable access to the requests that crash servers, to merge the records of other hosts and
    /// of the store.
    pub fn poison_mut(&mut self) -> &mut Poison {
        &mut self.poison
    }

    /// Indexes of a server and of a model of its service.
    fn server_and_model(&mut self, id: &backend::Id, model: &model::Id) -> Option<(u32, u32)> {
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
