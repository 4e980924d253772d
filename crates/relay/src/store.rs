//! Calls to the platform's store.
//!
//! One kept connection serves short calls, unless it is in use; watches take connections of their
//! own. Every call has a time limit, since a connection may go silent for good.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex as SyncMutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use observe::{
    metrics::routed::{Call as Called, Called as Answered, Routed as Meters},
    story::{Belief, DependencyState, Teller, Word},
};
use tokio::{
    sync::{Mutex, watch},
    time::{Instant, timeout_at},
};

use types::prelude::*;

use crate::{
    clock::Clock,
    connect::{self, Connection},
    edge::{Call, Dialect, Kind, Object, Page, Revision, StoreReply},
};

/// Longest time for a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The same for one about the lease.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time that a watch may take beyond the wait that it asked for. A slow store is heard for so long; a
/// watch that may be stalled is not left alone until then, but hedged.
const WATCH_SLACK: Duration = Duration::from_secs(5);

/// Time after the store's last failure in which a server whose entry has gone may come back.
const DEGRADED_PERIOD: Duration = Duration::from_secs(8);

/// Largest answer taken, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The platform's store.
pub(crate) struct Store {
    dialect: Arc<dyn Dialect>,
    address: SocketAddr,
    kept: Mutex<Option<Connection>>,
    teller: Teller,
    meters: Meters,
    calls: CallHealth,
    declaration: CallHealth,
    servers: CallHealth,
    /// Outages that have ended.
    outages: watch::Sender<u64>,
    clock: Clock,
    /// When the store last failed this host.
    failed: SyncMutex<Option<Moment>>,
}

/// Whether calls of a sort were answered at last.
struct CallHealth {
    /// What the log calls it.
    name: &'static str,
    lost: AtomicBool,
}

impl CallHealth {
    fn new(name: &'static str) -> CallHealth {
        CallHealth { name, lost: AtomicBool::new(false) }
    }

    /// Notes how the last call ended; whether that is news.
    fn set_lost(&self, lost: bool) -> bool {
        self.lost.swap(lost, Ordering::Relaxed) != lost
    }
}

impl Store {
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        address: SocketAddr,
        teller: Teller,
        meters: Meters,
        clock: Clock,
    ) -> Store {
        Store {
            dialect,
            address,
            kept: Mutex::new(None),
            teller,
            meters,
            calls: CallHealth::new("store"),
            declaration: CallHealth::new("watch of the declaration"),
            servers: CallHealth::new("watch of servers"),
            outages: watch::Sender::default(),
            clock,
            failed: SyncMutex::default(),
        }
    }

    /// Notes that the store has failed this host.
    pub(crate) fn record_failure(&self) {
        if !self.is_degraded() {
            let name = Word::Borrowed("registrations");
            let why = Word::Borrowed("the store failed, so that entries of sound servers may go");
            self.teller.belief(Belief::Dependency { name, state: DependencyState::Lost, why });
        }
        *self.failed.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.clock.now());
    }

    /// Whether the store has failed this host lately.
    pub(crate) fn is_degraded(&self) -> bool {
        let failed = *self.failed.lock().unwrap_or_else(PoisonError::into_inner);
        failed.is_some_and(|at| self.clock.now() < at + DEGRADED_PERIOD)
    }

    /// Tells when calls that got no answer are followed by one that does. What was asked before that
    /// may never be answered: a store that was silent forgets who asked.
    pub(crate) fn outages(&self) -> watch::Receiver<u64> {
        self.outages.subscribe()
    }

    /// Makes a call that is worth nothing when it takes longer than a term of the lease.
    pub(crate) async fn lease_call(&self, call: &Call<'_>) -> StoreReply {
        self.call_within(call, LEASE_CALL_TIMEOUT).await
    }

    /// Makes a short call.
    pub(crate) async fn call(&self, call: &Call<'_>) -> StoreReply {
        self.call_within(call, CALL_TIMEOUT).await
    }

    /// A call that gets no answer holds no other up: one that finds the kept connection in use has a
    /// connection of its own. Where they queued, a list without an answer cost the lease: 2.3 s
    /// without a renewal, by its test.
    async fn call_within(&self, call: &Call<'_>, limit: Duration) -> StoreReply {
        let end = Instant::now() + limit;
        let Ok(mut kept) = self.kept.try_lock() else {
            return self.exchange(call, None, end).await.0;
        };
        let connection = kept.take().filter(|connection| connection.sender.is_ready());
        let (reply, connection) = self.exchange(call, connection, end).await;
        *kept = connection;
        reply
    }

    /// Waits for changes on a connection that is the watch's own: an earlier one's, or a new one.
    pub(crate) async fn watch(
        &self,
        kept: Option<Connection>,
        kind: Kind,
        since: Revision,
        wait: Duration,
    ) -> (StoreReply, Option<Connection>) {
        let connection = kept.filter(|connection| connection.sender.is_ready());
        let call = Call::Watch { kind, since, wait };
        self.exchange(&call, connection, Instant::now() + wait + WATCH_SLACK).await
    }

    /// A watch of this kind has had no answer for so long that it is no longer trusted.
    pub(crate) fn report_silent_watch(&self, kind: Kind, waited: Duration) {
        if let Some(health) = self.health(kind) {
            self.report_state(health, DependencyState::Lost, waited);
        }
    }

    /// Whether a kind's watches were answered at last.
    fn health(&self, kind: Kind) -> Option<&CallHealth> {
        match kind {
            Kind::Declaration => Some(&self.declaration),
            Kind::Server => Some(&self.servers),
            Kind::Host | Kind::Lease | Kind::Quarantine => None,
        }
    }

    /// Lists a kind whole; `None` if a page is missing.
    pub(crate) async fn list(&self, kind: Kind) -> Option<Page> {
        let mut all = Page::default();
        loop {
            let after = all.objects.last().map(|object: &Object| object.name.clone());
            let StoreReply::Page(page) =
                self.call(&Call::List { kind, after: after.as_deref() }).await
            else {
                return None;
            };
            if all.revision == 0 {
                // Changes between the pages are seen by a watch from the first one.
                all.revision = page.revision;
            }
            let more = page.more && !page.objects.is_empty();
            all.objects.extend(page.objects);
            if !more {
                return Some(all);
            }
        }
    }

    /// Makes a call; each that ends is counted and reply of, also one that gets no answer.
    async fn exchange(
        &self,
        call: &Call<'_>,
        connection: Option<Connection>,
        end: Instant,
    ) -> (StoreReply, Option<Connection>) {
        let began = Instant::now();
        let done = timeout_at(end, self.try_exchange(call, connection)).await;
        let (reply, connection) = done.ok().flatten().unwrap_or((StoreReply::Unclear, None));
        self.meters.call(called(call), result(&reply));
        // Any call counts: a watch may wait through a whole outage and then bring entries that ran out in it.
        if matches!(reply, StoreReply::Unclear | StoreReply::Refused) {
            self.record_failure();
        }
        let state = match reply {
            StoreReply::Unclear => DependencyState::Lost,
            _ => DependencyState::Regained,
        };
        let took = began.elapsed();
        if let Call::Watch { kind, .. } = call
            && let Some(health) = self.health(*kind)
        {
            self.report_state(health, state, took);
        }
        if self.report_state(&self.calls, state, took) && state == DependencyState::Regained {
            self.outages.send_modify(|ended| *ended += 1);
        }
        (reply, connection)
    }

    /// Tells when calls of a sort get no answer, and when they do again; whether that is news.
    fn report_state(&self, health: &CallHealth, state: DependencyState, took: Duration) -> bool {
        let has_changed = health.set_lost(state == DependencyState::Lost);
        if has_changed {
            let took = took.as_millis();
            let why = match state {
                DependencyState::Lost => format!("no answer that can be read in {took} ms"),
                DependencyState::Regained => format!("an answer after {took} ms"),
            };
            let (name, why) = (Word::Borrowed(health.name), Word::Owned(why));
            self.teller.belief(Belief::Dependency { name, state, why });
        }
        has_changed
    }

    async fn try_exchange(
        &self,
        call: &Call<'_>,
        connection: Option<Connection>,
    ) -> Option<(StoreReply, Option<Connection>)> {
        let mut connection = match connection {
            Some(connection) => connection,
            None => connect::open(self.address).await.ok()?,
        };
        let mut request = self.dialect.store_call(call).map(Full::new);
        let host = HeaderValue::from_str(&self.address.to_string()).ok()?;
        request.headers_mut().insert(header::HOST, host);
        let response = connection.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body: Bytes = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
        let reply = self.dialect.store_reply(call, &Response::from_parts(head, body));
        Some((reply, Some(connection)))
    }
}

fn called(call: &Call<'_>) -> Called {
    match call {
        Call::List { .. } => Called::List,
        Call::Watch { .. } => Called::Watch,
        Call::Get { .. } => Called::Get,
        Call::Create { .. } => Called::Create,
        Call::Replace { .. } => Called::Replace,
        Call::Delete { .. } => Called::Delete,
    }
}

fn result(reply: &StoreReply) -> Answered {
    match reply {
        StoreReply::Page(_) | StoreReply::Seen(_) | StoreReply::Object(_) => Answered::Done,
        StoreReply::Absent => Answered::Absent,
        StoreReply::Conflict(_) => Answered::Conflict,
        StoreReply::Compacted => Answered::Compacted,
        StoreReply::Refused => Answered::Refused,
        StoreReply::Unclear => Answered::Unclear,
    }
}
