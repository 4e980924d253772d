//! What this host tells the others, and what it does with what they tell.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, Weak},
    time::Duration,
};

use exchange::{
    Exchange, Registered, Source,
    fleet::{Departure, Heard, Lease, Notice, Part, Picture, Reach, Revision, State, Store, To},
};
use observe::story::{self, Belief, PeerStanding};
use policy::{dispatch, fleet::Standing, quota::VersionedLimit, term};
use tokio::{
    sync::mpsc::{Receiver, UnboundedReceiver, unbounded_channel},
    time::sleep,
};
use types::{
    prelude::*,
    routed::{self, Declaration, Version},
};

use crate::host::Shared;

/// Pause between two rounds of telling and reading.
const ROUND: Duration = Duration::from_millis(60);

/// Least time between two notices that the same thing is waited for.
const WANTED: Duration = Duration::from_millis(100);

/// Time behind the peers' servers after which they are asked of a peer.
const CUT: Duration = Duration::from_millis(600);

/// What this host has counted for its peers, and of them.
#[derive(Default)]
pub(crate) struct Counts {
    /// Requests of callers, by service.
    arrivals: BTreeMap<service::Id, u64>,
    /// The last change known here when peers were first seen ahead of it, and when that was.
    behind: Option<(Revision, Moment)>,
    /// Whether the others were told of limits in the last round.
    tells_limits: bool,
    wanted: HashMap<(model::Id, Option<adapter::Id>), Moment>,
}

impl Counts {
    /// Counts a request.
    pub(crate) fn arrived(&mut self, service: &service::Id) {
        *self.arrivals.entry(service.clone()).or_default() += 1;
    }

    /// Whether a notice is due that something is waited for; it counts as given then.
    pub(crate) fn is_due(
        &mut self,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        now: Moment,
    ) -> bool {
        let key = (model.clone(), adapter.cloned());
        let is_due = self.wanted.get(&key).is_none_or(|last| *last + WANTED <= now);
        if is_due {
            self.wanted.insert(key, now);
        }
        is_due
    }

    /// Whether peers have known a later change of the servers for so long, and nothing came here.
    fn is_behind(
        &mut self,
        revision: Revision,
        picture: &Picture,
        patience: Duration,
        now: Moment,
    ) -> bool {
        if picture.store.revision <= revision {
            self.behind = None;
            return false;
        }
        match self.behind {
            Some((known, since)) if known == revision => since + patience <= now,
            Some(_) | None => {
                self.behind = Some((revision, now));
                false
            }
        }
    }
}

/// Answers peers' calls.
pub(crate) struct Answers(pub(crate) Weak<Shared>);

impl Source for Answers {
    fn declaration(&self, above: Version) -> Option<Arc<Declaration>> {
        self.0.upgrade()?.declaration().filter(|declaration| above < declaration.version)
    }

    fn servers(&self, above: Revision) -> Option<Registered> {
        let shared = self.0.upgrade()?;
        let directory = shared.directory();
        let is_news = above < directory.revision();
        is_news.then(|| directory.registered(above, shared.age_of_servers(), shared.now()))
    }

    fn follow(&self, above: Revision) -> Option<Registered> {
        let shared = self.0.upgrade()?;
        let directory = shared.directory();
        let is_known = 0 < directory.revision();
        is_known.then(|| directory.registered(above, shared.age_of_servers(), shared.now()))
    }
}

/// Tells the others and takes in what they tell, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    if let Some(notices) = exchange.notices() {
        tokio::spawn(listen(shared.clone(), exchange.clone(), notices));
    }
    let mut standings = BTreeMap::new();
    loop {
        let work = shared.dispatcher().work();
        tell(&shared, &exchange);
        let picture = exchange.fleet();
        stand(&shared, &picture, &mut standings);
        take(&shared, &picture, &work);
        want(&shared);
        follow(&shared, &exchange, &picture).await;
        sleep(ROUND.max(exchange.interval())).await;
    }
}

/// Tells which of the others talk and which have fallen silent since the last look.
fn stand(shared: &Shared, picture: &Picture, before: &mut BTreeMap<host::Id, PeerStanding>) {
    for seen in &picture.hosts {
        let standing = match seen.standing {
            Standing::Silent => PeerStanding::Silent,
            _ => PeerStanding::Seen,
        };
        let peer = &seen.member.id;
        if before.get(peer) != Some(&standing) {
            before.insert(peer.clone(), standing);
            shared.teller.belief(Belief::Peer { peer: peer.clone(), standing });
        }
    }
}

fn tell(shared: &Shared, exchange: &Exchange) {
    let now = shared.now();
    let state = match (shared.is_leaving(), shared.declaration()) {
        (true, _) => State::Leaving,
        (false, Some(_)) => State::Ready,
        (false, None) => State::Starting,
    };
    exchange.publish(Part::State(state));
    if let Some(declaration) = shared.declaration() {
        exchange.publish(Part::Declared(declaration.version));
    }
    let lease = lease(shared, now);
    if lease.is_some()
        && let Some(stored) = shared.term().stored()
    {
        exchange.publish(Part::Term(stored));
    }
    exchange.publish(Part::Lease(lease));
    let reach = if shared.store.is_degraded() { Reach::Cut } else { Reach::Reached };
    exchange.publish(Part::Store(Store { reach, revision: shared.revision() }));
    let arrivals = counts(shared, |counts| {
        counts.arrivals.iter().map(|(service, count)| (service.clone(), *count)).collect()
    });
    exchange.publish(Part::Arrivals(arrivals));
    exchange.publish(Part::Servers(departures(shared)));
    let used = shared.dispatcher().used();
    exchange
        .publish(Part::Retries(used.into_iter().map(|(id, used)| (id, used.retries)).collect()));
    let crashes = shared.dispatcher().poison().crashes(now);
    exchange.publish(Part::Crashes(crashes));
    let limits = limits(shared);
    let was_told =
        counts(shared, |counts| std::mem::replace(&mut counts.tells_limits, !limits.is_empty()));
    if was_told || !limits.is_empty() {
        exchange.publish(Part::Limits(limits));
    }
}

fn limits(shared: &Shared) -> Vec<(backend::Id, VersionedLimit)> {
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

fn take(shared: &Shared, picture: &Picture, own: &[dispatch::Work]) {
    let now = shared.now();
    let mut term = shared.term();
    let live = picture.hosts.iter().filter(|seen| seen.standing == Standing::Live);
    let others = live.map(|seen| &seen.member.id);
    term.hosts(picture.live, term::contender(&shared.host.id, others));
    if let Some(stored) = &picture.term {
        term.told(now, stored.clone());
    }
    drop(term);
    let mut dispatcher = shared.dispatcher();
    dispatcher.hosts(u32::try_from(picture.live).unwrap_or(u32::MAX));
    dispatcher.poison_mut().learn(&picture.crashes, now);
    drop(dispatcher);
    shared.drain(picture.servers.keys());
    shared.quota_hosts(picture);
    shared.demand_hosts(picture);
    if shared.term().fence(now).is_some() {
        tell_running(shared, picture, own);
    }
}

/// Tells the planner what runs where.
fn tell_running(shared: &Shared, picture: &Picture, own: &[dispatch::Work]) {
    let mut running: BTreeMap<(&backend::Id, &model::Id), u32> = BTreeMap::new();
    let others = picture.in_flight.iter().map(|load| (&load.server, &load.model, load.requests));
    let own = own.iter().map(|(server, model, requests, _)| (server, model, *requests));
    for (server, model, requests) in own.chain(others) {
        let Some(model) = model else { continue };
        *running.entry((server, model)).or_default() += requests;
    }
    shared.running(&running, &mut shared.planner());
}

/// Says again what requests wait for.
fn want(shared: &Shared) {
    let missing = shared.dispatcher().missing();
    for (service, model, adapter, _) in missing {
        shared.missing(&service, &model, adapter.as_ref());
    }
}

/// Catches up with a peer that is ahead.
async fn follow(shared: &Arc<Shared>, exchange: &Exchange, picture: &Picture) {
    let version = shared.declaration().map_or(0, |declaration| declaration.version);
    if let Some(ahead) = picture.ahead(&shared.host.zone, version).first() {
        fetch_declaration(shared, exchange, ahead.member.address, &ahead.member.id, version).await;
    }
    // A host whose store answers lets changes gather, and is behind its peers meanwhile.
    let gather =
        if shared.store.is_degraded() { Duration::ZERO } else { shared.gather_among(picture) };
    let patience = CUT + gather;
    let is_behind =
        |counts: &mut Counts| counts.is_behind(shared.revision(), picture, patience, shared.now());
    if !counts(shared, is_behind) {
        return;
    }
    if let Some(ahead) = picture.ahead_in_store(&shared.host.zone, shared.revision()).first()
        && let Ok(Some(told)) =
            exchange.fetch_servers(ahead.member.address, shared.revision()).await
    {
        shared.take_servers(told, &ahead.member.id);
    }
}

async fn fetch_declaration(
    shared: &Shared,
    exchange: &Exchange,
    from: SocketAddr,
    peer: &host::Id,
    above: Version,
) {
    match exchange.fetch_declaration(from, above).await {
        Ok(Some(declaration)) => {
            shared.declare((*declaration).clone(), story::Heard::Peer(peer.clone()));
        }
        Ok(None) => {}
        Err(error) => log::debug!(from:% = from; "a declaration can't be fetched: {error}"),
    }
}

/// The host that listens at an address; named by the address while it is not known.
fn peer_at(exchange: &Exchange, address: SocketAddr) -> host::Id {
    let picture = exchange.fleet();
    let known = picture.hosts.iter().find(|seen| seen.member.address == address);
    known.map_or_else(|| address.to_string().into(), |seen| seen.member.id.clone())
}

async fn listen(shared: Arc<Shared>, exchange: Arc<Exchange>, mut notices: Receiver<Heard>) {
    // A fetch takes up to its time limit, and the other notices don't wait for it.
    let (declared, versions) = unbounded_channel();
    tokio::spawn(fetch_declared(shared.clone(), exchange, versions));
    while let Some(heard) = notices.recv().await {
        let now = shared.now();
        match heard.notice {
            Notice::Wanted { model, adapter, .. } => {
                shared.planner().missing(&model, adapter.as_ref(), now);
                shared.plan_wakeup.notify_one();
            }
            Notice::Held { server, model, adapter, sequence } => {
                let adapter = adapter.as_ref();
                shared.dispatcher().holds(&server, &model, adapter, sequence, now);
                shared.dispatch_wakeup.notify_one();
            }
            Notice::Dropped { server, model, adapter, sequence } => {
                let adapter = adapter.as_ref();
                shared.dispatcher().drops(&server, &model, adapter, sequence, now);
            }
            Notice::Leaving { server, departure, revision } => {
                let origin = heard.origin.unwrap_or_else(|| heard.via.to_string().into());
                let from = story::Heard::Peer(origin);
                shared.departs(&server, departure, revision, &from);
            }
            Notice::Declared { version } => {
                // The reader of the channel ends with the process.
                let _ = declared.send((version, heard.via));
            }
            Notice::Limited { server, news } => {
                let origin = heard.origin.unwrap_or_else(|| heard.via.to_string().into());
                shared.limit_heard(&server, news, &origin);
            }
            Notice::Demand(report) => {
                if let Some(origin) = &heard.origin {
                    shared.demand_received(origin, report);
                }
            }
            Notice::Plans { fence } => {
                if let Some(origin) = &heard.origin {
                    shared.holder_heard(origin, fence);
                }
            }
            Notice::Loan(message) => {
                if let Some(origin) = &heard.origin {
                    shared.loan_received(origin, &message);
                }
            }
            Notice::Quota(message) => {
                if let Some(origin) = &heard.origin {
                    shared.quota_received(origin, &message);
                }
            }
        }
    }
}

/// Fetches declarations that peers have put in force.
async fn fetch_declared(
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    mut declared: UnboundedReceiver<(Version, SocketAddr)>,
) {
    while let Some((version, via)) = declared.recv().await {
        let held = shared.declaration().map_or(0, |declaration| declaration.version);
        if held < version {
            let peer = peer_at(&exchange, via);
            fetch_declaration(&shared, &exchange, via, &peer, held).await;
        }
    }
}

/// Tells the holder of the lease that a request waits for something.
pub(crate) fn wanted(
    shared: &Shared,
    exchange: &Exchange,
    service: &service::Id,
    model: &model::Id,
    adapter: Option<&adapter::Id>,
) {
    let Some(holder) = shared.holder() else { return };
    let notice = Notice::Wanted {
        service: service.clone(),
        model: model.clone(),
        adapter: adapter.cloned(),
    };
    if let Err(error) = exchange.send(To::Host(holder), notice) {
        log::debug!(host = &*shared.host.id; "{error}");
    }
}

fn counts<T>(shared: &Shared, use_it: impl FnOnce(&mut Counts) -> T) -> T {
    let counts: &Mutex<Counts> = &shared.counts;
    use_it(&mut counts.lock().unwrap_or_else(PoisonError::into_inner))
}
