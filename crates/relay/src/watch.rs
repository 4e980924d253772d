//! Watches of the store for the declaration and the servers.

mod hedge;

use std::{sync::Arc, time::Duration};

use exchange::{
    Exchange,
    fleet::{Member, Tier},
};
use observe::story::Source;
use policy::{
    fleet::{Liveness, Snapshot},
    follow::{self, Role, Schedule, Step, WatchTimes},
};
use tokio::{
    select,
    time::{sleep, timeout},
};
use types::time::Moment;

use self::hedge::{Hedge, Sent};
use crate::{
    edge::{Object, ObjectKind, Revision, StoreReply, WatchBatch},
    host::Shared,
};

/// Delay after a failed call to the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the declaration in force up to date, until the process ends.
pub(crate) async fn declaration(shared: Arc<Shared>) {
    loop {
        if let Some(since) = read_declaration(&shared).await {
            follow_declaration(&shared, since).await;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Keeps the directory of servers up to date, until the process ends.
pub(crate) async fn servers(shared: Arc<Shared>) {
    loop {
        let began = shared.now();
        if let Some(page) = shared.store.list(ObjectKind::Server).await {
            shared.replace_servers(&page, began);
            follow_servers(&shared, page.revision, began).await;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

async fn read_declaration(shared: &Shared) -> Option<Revision> {
    let began = shared.now();
    let page = shared.store.list(ObjectKind::Declaration).await?;
    declare_newest(shared, page.objects.iter().rev());
    shared.confirm_declaration(page.revision, began);
    Some(page.revision)
}

/// Applies the answer to a watch of the declaration, with which all changes up to `known` are known.
pub(crate) fn apply_declarations(shared: &Shared, batch: &WatchBatch, known: Moment) {
    declare_newest(shared, batch.written().rev());
    shared.confirm_declaration(batch.revision, known);
}

/// Puts the newest declaration that can be read in force. The objects are given newest first.
fn declare_newest<'a>(shared: &Shared, objects: impl Iterator<Item = &'a Object>) {
    let name = shared.dialect.declaration_name();
    let mut declarations = objects.filter(|object| &*object.name == name);
    declarations.find(|object| declare(shared, object));
}

/// Returns whether the declaration, or a later one, is in force from now on.
fn declare(shared: &Shared, object: &Object) -> bool {
    match shared.dialect.declaration(object) {
        Ok(declaration) => {
            let version = declaration.version;
            shared.declare(declaration, Source::Store);
            shared.declaration().is_some_and(|declaration| version <= declaration.version)
        }
        Err(error) => {
            let revision = object.revision;
            log::error!(revision = revision, reason:% = error; "a declaration can't be read");
            false
        }
    }
}

/// Follows the declaration in the store until the store no longer has the history since the last
/// change.
async fn follow_declaration(shared: &Shared, since: Revision) {
    let mut since = since;
    let mut hedge = Hedge::new(shared, ObjectKind::Declaration);
    loop {
        let watch = shared.watch(ObjectKind::Declaration);
        let (reply, sent) = hedge.next(since, watch).await;
        match reply {
            StoreReply::Seen(batch) => {
                since = since.max(batch.revision);
                apply_declarations(shared, &batch, evaluated_at(shared, &batch, sent));
            }
            StoreReply::Compacted => return,
            _ => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Returns the time up to which the answer to a watch has all changes.
///
/// The answer may have been queued at this host's link, so its arrival proves nothing. The store
/// evaluated the call when it was made or, if nothing changed, when its wait ended.
fn evaluated_at(shared: &Shared, batch: &WatchBatch, sent: Sent) -> Moment {
    let is_waited_out =
        batch.changes.is_empty() && sent.wait <= shared.now().saturating_sub(sent.at);
    if is_waited_out { sent.at + sent.wait } else { sent.at }
}

/// Follows the servers, in the store or through a relay, until the store no longer has the history
/// since the last change. All changes up to `known` are known.
async fn follow_servers(shared: &Arc<Shared>, since: Revision, known: Moment) {
    let mut since = since;
    let mut hedge = Hedge::new(shared, ObjectKind::Server);
    let mut schedule = Schedule::new(known, shared.routed.drain);
    let mut why_store = Fallback::NoRelay;
    loop {
        let now = shared.now();
        match schedule.next(now, shared.relay().is_some()) {
            Step::Peer { at, timeout } => {
                sleep(at.saturating_sub(now)).await;
                if let Err(reason) = follow_relay(shared, &mut schedule, timeout).await {
                    why_store = reason;
                }
                since = since.max(shared.revision());
            }
            Step::Store { at } => {
                sleep(at.saturating_sub(now)).await;
                let watch = shared.watch(ObjectKind::Server);
                let answer = select! {
                    biased;
                    answer = hedge.next(since, watch) => Some(answer),
                    () = until_relay_answers(shared, &mut schedule) => None,
                };
                let Some((reply, sent)) = answer else {
                    since = since.max(shared.revision());
                    continue;
                };
                match reply {
                    StoreReply::Seen(batch) => {
                        let evaluated = evaluated_at(shared, &batch, sent);
                        let known = shared.servers_watch_answered(evaluated);
                        let why = why_store.as_str();
                        shared.report_server_source(Source::Store, Duration::ZERO, why);
                        why_store = Fallback::NoRelay;
                        since = since.max(batch.revision);
                        batch.changes.iter().for_each(|change| shared.change_server(change));
                        let has_changes = !batch.changes.is_empty();
                        let pause = if has_changes { shared.gather() } else { Duration::ZERO };
                        schedule.store_responded(shared.now(), known, pause);
                    }
                    StoreReply::Compacted => return,
                    _ => {
                        schedule.store_failed();
                        sleep(RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }
}

/// Why a host fetches changes of the servers from the store instead of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fallback {
    NoRelay,
    Unanswered,
    Outdated,
}

impl Fallback {
    fn as_str(self) -> &'static str {
        match self {
            Fallback::NoRelay => "this host follows no relay",
            Fallback::Unanswered => "the relay did not answer",
            Fallback::Outdated => "the relay's list is too old",
        }
    }
}

/// Fetches changes of the servers from this host's relay instead of the store.
async fn follow_relay(
    shared: &Arc<Shared>,
    schedule: &mut Schedule,
    limit: Duration,
) -> Result<(), Fallback> {
    let Some((exchange, relay)) = shared.relay() else {
        schedule.peer_failed();
        return Err(Fallback::NoRelay);
    };
    let requested_at = shared.now();
    let Ok(Ok(Some(list))) =
        timeout(limit, exchange.follow(relay.address, shared.revision())).await
    else {
        schedule.peer_failed();
        exchange.report_unresponsive(&relay.id);
        return Err(Fallback::Unanswered);
    };
    let now = shared.now();
    let age = list.age.saturating_add(now.saturating_sub(requested_at));
    if !schedule.peer_responded(now, age) {
        return Err(Fallback::Outdated);
    }
    shared.servers_known().confirm(now.saturating_sub(age));
    shared.apply_peer_servers(list, &relay.id);
    shared.report_server_source(Source::Peer(relay.id), age, "the relay answered");
    Ok(())
}

/// Asks this host's relay for changes of the servers until it answers with recent ones. Meanwhile the
/// store may not answer this host, although it answers the relay.
async fn until_relay_answers(shared: &Arc<Shared>, schedule: &mut Schedule) {
    loop {
        sleep(schedule.peer_interval()).await;
        let timeout = schedule.peer_timeout();
        if follow_relay(shared, schedule, timeout).await.is_ok() {
            return;
        }
    }
}

impl Shared {
    /// Returns the relay: the host from which this one fetches changes of the servers instead of
    /// calling the store. There is none in an outage of the store, since a removed entry may then be
    /// written again, which only the store reports.
    fn relay(&self) -> Option<(Arc<Exchange>, Member)> {
        let exchange = self.exchange()?;
        let is_settled = follow::STARTUP_TIME <= self.now() && !self.is_store_out();
        match exchange.tier() {
            Tier::Member(relay) if is_settled && self.role(&exchange.fleet()) == Role::Follower => {
                Some((exchange, relay))
            }
            _ => None,
        }
    }

    /// Returns the times of a watch that starts now.
    fn watch(&self, kind: ObjectKind) -> WatchTimes {
        let snapshot = self.exchange().map(|exchange| exchange.fleet()).unwrap_or_default();
        let role = self.role(&snapshot);
        match kind {
            ObjectKind::Server => {
                follow::server_watch_times(role, self.servers_age(), self.routed.drain)
            }
            _ => follow::watch_times(self.now(), role, snapshot.live, self.routed.apply),
        }
    }

    /// Returns how long this host waits after changes of the servers before it asks for more, so
    /// that several changes are fetched at once.
    pub(crate) fn gather(&self) -> Duration {
        self.exchange().map_or(Duration::ZERO, |exchange| self.gather_among(&exchange.fleet()))
    }

    /// Like [`Shared::gather`], for a given snapshot of the other hosts.
    pub(crate) fn gather_among(&self, snapshot: &Snapshot) -> Duration {
        follow::pause(self.now(), self.role(snapshot), snapshot.live, self.routed.drain)
    }

    /// Returns whether this host is the relay of its group of hosts.
    fn is_relay(&self) -> bool {
        self.exchange().is_some_and(|exchange| exchange.tier() == Tier::Relay)
    }

    /// Returns this host's role among the hosts that follow the store.
    fn role(&self, snapshot: &Snapshot) -> Role {
        let live = snapshot.hosts.iter().filter(|peer| peer.liveness == Liveness::Live);
        match self.term().fence(self.now()) {
            Some(_) => Role::Scout,
            None => match follow::role(&self.host.id, live.map(|peer| &peer.member.id)) {
                Role::Follower if self.is_relay() => Role::Relay,
                role => role,
            },
        }
    }
}
