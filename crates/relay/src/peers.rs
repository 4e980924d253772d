//! What this host publishes to its peers, and what it does with what they publish.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError, Weak, atomic::Ordering},
    time::Duration,
};

use exchange::{
    Exchange, Refusal, ServerListing, Source,
    fleet::{
        Departure, Envelope, Lease, Notice, Publication, Reachability, Recipients, Revision,
        Snapshot, State, StoreStatus,
    },
};
use futures_util::{FutureExt, future::BoxFuture};
use observe::story::{self, Belief, PeerStanding};
use policy::{dispatch, fleet::Liveness, quota::Limit, term};
use tokio::{
    net::TcpStream,
    sync::{Mutex as AsyncMutex, mpsc::Receiver},
    time::sleep,
};
use types::{
    prelude::*,
    routed::{self, Declaration, Version},
};

use crate::{announced, host::Shared, paths, speeds::Speeds, task};

/// Interval between rounds of publishing and reading.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum time between two notices that requests wait for the same model or adapter.
const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which peers may know a later change of the servers before the servers are fetched from
/// a peer.
const BEHIND_TIMEOUT: Duration = Duration::from_millis(600);

/// Counters that this host publishes to its peers, and the state of the tasks that exchange data
/// with them.
#[derive(Default)]
pub(crate) struct Counts {
    /// Number of callers' requests, by service.
    arrivals: BTreeMap<service::Id, u64>,
    /// Store revision known here when peers were first found to know a later one, and when that
    /// was; `None` while no peer knows a later one.
    behind: Option<(Revision, Moment)>,
    /// Whether rate limits were published in the last round.
    published_limits: bool,
    /// When a notice that requests wait for a model or adapter was last sent.
    load_requests: HashMap<(model::Id, Option<adapter::Id>), Moment>,
}

impl Counts {
    pub(crate) fn record_request(&mut self, service: &service::Id) {
        *self.arrivals.entry(service.clone()).or_default() += 1;
    }

    /// Returns whether a notice is due that requests wait for a model or adapter, and if so records
    /// it as sent now.
    pub(crate) fn load_request_is_due(
        &mut self,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        now: Moment,
    ) -> bool {
        let key = (model.clone(), adapter.cloned());
        let is_due =
            self.load_requests.get(&key).is_none_or(|last| *last + LOAD_REQUEST_INTERVAL <= now);
        if is_due {
            self.load_requests.insert(key, now);
        }
        is_due
    }

    /// Returns whether peers have known a later change of the servers for at least `timeout`, and
    /// no change has arrived here.
    fn is_behind(
        &mut self,
        revision: Revision,
        snapshot: &Snapshot,
        timeout: Duration,
        now: Moment,
    ) -> bool {
        if snapshot.store.revision <= revision {
            self.behind = None;
            return false;
        }
        match self.behind {
            Some((known, since)) if known == revision => since + timeout <= now,
            Some(_) | None => {
                self.behind = Some((revision, now));
                false
            }
        }
    }
}

/// Source of the data that peers fetch from this host.
pub(crate) struct PeerSource(pub(crate) Weak<Shared>);

impl Source for PeerSource {
    fn declaration(&self, above: Version) -> Option<Arc<Declaration>> {
        self.0.upgrade()?.declaration().filter(|declaration| above < declaration.version)
    }

    fn servers(&self, above: Revision) -> Option<ServerListing> {
        let shared = self.0.upgrade()?;
        let directory = shared.directory();
        let is_newer = above < directory.revision();
        is_newer.then(|| directory.listing_for_peer(above, shared.servers_age(), shared.now()))
    }

    fn follow(&self, above: Revision) -> Option<ServerListing> {
        let shared = self.0.upgrade()?;
        let directory = shared.directory();
        let is_known = 0 < directory.revision();
        is_known.then(|| directory.listing_for_peer(above, shared.servers_age(), shared.now()))
    }

    fn dial(&self, server: backend::Id) -> BoxFuture<'static, Result<TcpStream, Refusal>> {
        let shared = self.0.upgrade();
        async move { paths::dial(&*shared.ok_or(Refusal::Declined)?, &server).await }.boxed()
    }
}

/// Starts the tasks that apply the notices of peers, until the process ends.
pub(crate) fn spawn_listener(shared: &Arc<Shared>, exchange: &Arc<Exchange>) {
    let Some(notices) = exchange.notices() else { return };
    let notices = Arc::new(AsyncMutex::new(notices));
    task::spawn(shared, "notices", move |shared| listen(shared, notices.clone()));
    let exchange = exchange.clone();
    task::spawn(shared, "announced", move |shared| announced::fetch(shared, exchange.clone()));
}

/// Publishes to the peers and applies what they publish, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let (mut standings, mut speeds) = (BTreeMap::new(), Speeds::default());
    loop {
        let work = shared.dispatcher().work();
        publish(&shared, &exchange);
        speeds.publish(&shared, &exchange);
        let snapshot = exchange.fleet();
        report_liveness(&shared, &snapshot, &mut standings);
        apply(&shared, &snapshot, &work);
        report_missing(&shared);
        speeds.report(&shared);
        catch_up(&shared, &exchange, &snapshot).await;
        sleep(ROUND_INTERVAL.max(exchange.interval())).await;
    }
}

/// Logs each peer that was heard from for the first time or again, or that has fallen silent, since
/// the last call.
fn report_liveness(
    shared: &Shared,
    snapshot: &Snapshot,
    before: &mut BTreeMap<host::Id, PeerStanding>,
) {
    for status in &snapshot.hosts {
        let standing = match status.liveness {
            Liveness::Silent => PeerStanding::Silent,
            _ => PeerStanding::Seen,
        };
        let peer = &status.member.id;
        if before.get(peer) != Some(&standing) {
            before.insert(peer.clone(), standing);
            shared.logger.belief(Belief::Peer { peer: peer.clone(), standing });
        }
    }
}

fn publish(shared: &Shared, exchange: &Exchange) {
    let now = shared.now();
    let state = match (shared.is_leaving(), shared.declaration()) {
        (true, _) => State::Leaving,
        (false, Some(_)) => State::Ready,
        (false, None) => State::Starting,
    };
    exchange.publish(Publication::State(state));
    if let Some(declaration) = shared.declaration() {
        exchange.publish(Publication::Declared(declaration.version));
    }
    let lease = lease(shared, now);
    if lease.is_some()
        && let Some(stored) = shared.term().stored()
    {
        exchange.publish(Publication::Term(stored));
    }
    exchange.publish(Publication::Lease(lease));
    let reachability = match shared.store.is_sound() {
        true => Reachability::Reachable,
        false => Reachability::Unreachable,
    };
    exchange.publish(Publication::Store(StoreStatus { reachability, revision: shared.revision() }));
    let arrivals = counts(shared, |counts| {
        counts.arrivals.iter().map(|(service, count)| (service.clone(), *count)).collect()
    });
    exchange.publish(Publication::Arrivals(arrivals));
    exchange.publish(Publication::Servers(departures(shared)));
    let used = shared.dispatcher().retry_totals();
    exchange.publish(Publication::Retries(
        used.into_iter().map(|(id, used)| (id, used.retries)).collect(),
    ));
    let (customers, deferrable) = {
        let dispatcher = shared.dispatcher();
        (dispatcher.customer_work(), dispatcher.deferrable())
    };
    exchange.publish(Publication::CustomerWork(customers));
    exchange.publish(Publication::Deferrable(deferrable));
    let crashes = shared.dispatcher().poison().crashes(now);
    exchange.publish(Publication::Crashes(crashes));
    let limits = limits(shared);
    let was_published = counts(shared, |counts| {
        std::mem::replace(&mut counts.published_limits, !limits.is_empty())
    });
    if was_published || !limits.is_empty() {
        exchange.publish(Publication::Limits(limits));
    }
}

fn limits(shared: &Shared) -> Vec<(backend::Id, Limit)> {
    let dispatcher = shared.dispatcher();
    dispatcher.quotas().limits().iter().map(|(id, limit)| (id.clone(), limit)).collect()
}

fn lease(shared: &Shared, now: Moment) -> Option<Lease> {
    let fence = shared.term().fence(now)?;
    Some(Lease { holder: shared.host.id.clone(), fence, age: Duration::ZERO })
}

fn departures(shared: &Shared) -> Vec<(backend::Id, Departure)> {
    let directory = shared.directory();
    let leaving = directory.servers().filter(|s| s.state == routed::State::Draining);
    leaving.map(|server| (server.id.clone(), Departure::Leaving)).collect()
}

fn apply(shared: &Shared, snapshot: &Snapshot, own: &[dispatch::Work]) {
    let now = shared.now();
    let is_store_reached = snapshot.store.reachability == Reachability::Reachable;
    shared.is_store_reached_by_others.store(is_store_reached, Ordering::Relaxed);
    let mut term = shared.term();
    let live = snapshot.hosts.iter().filter(|status| status.liveness == Liveness::Live);
    let others = live.map(|status| &status.member.id);
    term.set_hosts(snapshot.live, term::contender(&shared.host.id, others));
    if let Some(stored) = &snapshot.term {
        term.observe_from_peer(now, stored.clone());
    }
    drop(term);
    let mut dispatcher = shared.dispatcher();
    dispatcher.hosts(u32::try_from(snapshot.live).unwrap_or(u32::MAX));
    dispatcher.poison_mut().merge(&snapshot.crashes, now);
    if snapshot.hosts.iter().any(|status| status.liveness != Liveness::Silent) {
        dispatcher.peer_customer_work(&snapshot.customers, now);
        dispatcher.peer_deferrable(&snapshot.deferrable, now);
    }
    drop(dispatcher);
    let live = snapshot
        .hosts
        .iter()
        .filter(|status| status.liveness == Liveness::Live && status.member.id != shared.host.id);
    shared.paths().set_gateways(live.map(|status| status.member.clone()).collect());
    shared.drain(snapshot.servers.keys());
    shared.quota_hosts(snapshot);
    shared.dispatcher().set_speed_sums(&snapshot.speeds);
    shared.observe_hosts(snapshot);
    shared.set_stream_peers(snapshot);
    if shared.term().fence(now).is_some() {
        update_in_flight(shared, snapshot, own);
    }
}

/// Passes the requests in flight at each server, over all hosts, to the planner.
fn update_in_flight(shared: &Shared, snapshot: &Snapshot, own: &[dispatch::Work]) {
    let mut running: BTreeMap<(&backend::Id, &model::Id), u32> = BTreeMap::new();
    let others = snapshot.in_flight.iter().map(|load| (&load.server, &load.model, load.requests));
    let own = own.iter().map(|(server, model, requests, _)| (server, model, *requests));
    for (server, model, requests) in own.chain(others) {
        let Some(model) = model else { continue };
        let sum = running.entry((server, model)).or_default();
        *sum = sum.saturating_add(requests);
    }
    shared.set_in_flight(&running, &mut shared.planner());
}

/// Reports the models and adapters that requests still wait for.
fn report_missing(shared: &Shared) {
    let missing = shared.dispatcher().missing();
    for (service, model, adapter, _) in missing {
        shared.request_missing(&service, &model, adapter.as_ref());
    }
}

/// Notes which peer has a later declaration, and fetches the servers from one that has later ones.
async fn catch_up(shared: &Arc<Shared>, exchange: &Exchange, snapshot: &Snapshot) {
    if let Some(ahead) = snapshot.ahead(&shared.host.zone, shared.version()).first() {
        shared.announced.record(ahead.declared, ahead.member.address);
    }
    // While the store responds, this host fetches several changes at once and is behind its peers
    // until then.
    let gather =
        if shared.store.is_degraded() { Duration::ZERO } else { shared.gather_among(snapshot) };
    let timeout = BEHIND_TIMEOUT + gather;
    let is_behind =
        |counts: &mut Counts| counts.is_behind(shared.revision(), snapshot, timeout, shared.now());
    if !counts(shared, is_behind) {
        return;
    }
    if let Some(ahead) = snapshot.ahead_in_store(&shared.host.zone, shared.revision()).first()
        && let Ok(Some(list)) =
            exchange.fetch_servers(ahead.member.address, shared.revision()).await
    {
        shared.apply_peer_servers(list, &ahead.member.id);
    }
}

async fn listen(shared: Arc<Shared>, notices: Arc<AsyncMutex<Receiver<Envelope>>>) {
    let mut notices = notices.lock().await;
    while let Some(received) = notices.recv().await {
        let now = shared.now();
        match received.notice {
            Notice::LoadRequested { model, adapter, .. } => {
                let urgency = shared.planner().record_waiting(&model, adapter.as_ref(), now);
                shared.wake_planner(urgency);
            }
            Notice::Loaded { server, model, adapter, sequence } => {
                let adapter = adapter.as_ref();
                shared.dispatcher().model_loaded(&server, &model, adapter, sequence, now);
                shared.dispatch_wakeup.notify_one();
            }
            Notice::Unloaded { server, model, adapter, sequence } => {
                let adapter = adapter.as_ref();
                shared.dispatcher().model_unloading(&server, &model, adapter, sequence, now);
            }
            Notice::ServerLeaving { server, departure, revision } => {
                let origin = received.origin.unwrap_or_else(|| received.via.to_string().into());
                let from = story::Source::Peer(origin);
                shared.apply_departure(&server, departure, revision, &from);
            }
            Notice::DeclarationInForce { version } => {
                shared.announced.record(version, received.via);
            }
            Notice::LimitChanged { server, limit } => {
                let origin = received.origin.unwrap_or_else(|| received.via.to_string().into());
                shared.receive_limit(&server, limit, &origin);
            }
            Notice::Demand(report) => {
                if let Some(origin) = &received.origin {
                    shared.demand_received(origin, report);
                }
            }
            Notice::LeaseAcquired { fence } => {
                if let Some(origin) = &received.origin {
                    shared.observe_holder(origin, fence);
                }
            }
            // Kept by the exchange, which has it in its snapshot.
            Notice::Crash(_) => {}
            Notice::Loan(message) => {
                if let Some(origin) = &received.origin {
                    shared.loan_received(origin, &message);
                }
            }
            Notice::Streams(message) => {
                if let Some(origin) = &received.origin {
                    shared.stream_message_received(origin, message);
                }
            }
            Notice::CustomerQuota(message) => {
                if let Some(origin) = &received.origin {
                    shared.customer_quota_received(origin, &message);
                }
            }
            Notice::Quota(message) => {
                if let Some(origin) = &received.origin {
                    shared.quota_received(origin, &message);
                }
            }
            Notice::Slots(message) => {
                if let Some(origin) = &received.origin {
                    shared.slots_received(origin, &message);
                }
            }
        }
    }
}

/// Notifies the holder of the lease that a request waits for a model or adapter.
pub(crate) fn request_load(
    shared: &Shared,
    exchange: &Exchange,
    service: &service::Id,
    model: &model::Id,
    adapter: Option<&adapter::Id>,
) {
    let Some(holder) = shared.holder() else { return };
    let notice = Notice::LoadRequested {
        service: service.clone(),
        model: model.clone(),
        adapter: adapter.cloned(),
    };
    if let Err(error) = exchange.send(Recipients::Host(holder), notice) {
        log::debug!(host = &*shared.host.id; "{error}");
    }
}

fn counts<T>(shared: &Shared, access: impl FnOnce(&mut Counts) -> T) -> T {
    let counts: &Mutex<Counts> = &shared.counts;
    access(&mut counts.lock().unwrap_or_else(PoisonError::into_inner))
}
