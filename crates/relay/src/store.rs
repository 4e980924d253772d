//! Calls to the platform's store.
//!
//! One connection is kept open for short calls; a call that finds it in use opens another. Watches
//! have connections of their own. Every call has a timeout, since a connection may stay open
//! although no response will ever arrive on it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex as SyncMutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use observe::{
    metrics::routed::{Call, CallResult, Routed as Meters},
    story::{Belief, DependencyState, Logger, Text},
};
use tokio::{
    sync::{Mutex, watch},
    time::{Instant, timeout_at},
};

use types::prelude::*;

use crate::{
    clock::Clock,
    connect::{self, Connection},
    edge::{Dialect, Object, ObjectKind, Page, Revision, StoreCall, StoreReply},
};

/// Timeout of a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a call about the lease.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time that a watch may take beyond its requested wait, for a slow store. A watch that may have
/// stalled is hedged long before this time is over.
const WATCH_SLACK: Duration = Duration::from_secs(5);

/// Time after the store's last failure for which the store counts as degraded: a server's entry
/// that is removed may then be written again.
const DEGRADED_PERIOD: Duration = Duration::from_secs(8);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Client of the platform's store.
pub(crate) struct Store {
    dialect: Arc<dyn Dialect>,
    address: SocketAddr,
    /// The idle connection for short calls; locked during a call on it.
    slot: Mutex<Option<Connection>>,
    logger: Logger,
    meters: Meters,
    /// Health of all calls together.
    calls: CallHealth,
    /// Health of the watches of the declaration.
    declaration: CallHealth,
    /// Health of the watches of the servers.
    servers: CallHealth,
    /// Number of outages that have ended.
    outages: watch::Sender<u64>,
    clock: Clock,
    /// Longest time between two answers that show that the store answered between them.
    contact_interval: Duration,
    /// When a call of this host last failed.
    failed_at: SyncMutex<Option<Moment>>,
    /// When the store answered this host.
    contact: SyncMutex<Contact>,
}

/// A time in which the store has answered a host again and again.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    since: Moment,
    last: Moment,
}

/// Whether the last call of a kind got a response.
struct CallHealth {
    /// Name in the log.
    name: &'static str,
    is_lost: AtomicBool,
}

impl CallHealth {
    fn new(name: &'static str) -> CallHealth {
        CallHealth { name, is_lost: AtomicBool::new(false) }
    }

    /// Records whether the last call failed. Returns whether that is a change.
    fn set_lost(&self, lost: bool) -> bool {
        self.is_lost.swap(lost, Ordering::Relaxed) != lost
    }
}

impl Store {
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        address: SocketAddr,
        logger: Logger,
        meters: Meters,
        clock: Clock,
        contact_interval: Duration,
    ) -> Store {
        Store {
            dialect,
            address,
            slot: Mutex::new(None),
            logger,
            meters,
            calls: CallHealth::new("store"),
            declaration: CallHealth::new("watch of the declaration"),
            servers: CallHealth::new("watch of servers"),
            outages: watch::Sender::default(),
            clock,
            contact_interval,
            failed_at: SyncMutex::default(),
            contact: SyncMutex::default(),
        }
    }

    /// Records a failure of the store.
    pub(crate) fn record_failure(&self) {
        if !self.is_degraded() {
            let name = Text::Borrowed("registrations");
            let why = Text::Borrowed("the store failed, so that entries of sound servers may go");
            self.logger.belief(Belief::Dependency { name, state: DependencyState::Lost, why });
        }
        *self.failed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.clock.now());
    }

    /// Returns whether the store has failed this host within `DEGRADED_PERIOD`.
    pub(crate) fn is_degraded(&self) -> bool {
        let failed_at = *self.failed_at.lock().unwrap_or_else(PoisonError::into_inner);
        failed_at.is_some_and(|at| self.clock.now() < at + DEGRADED_PERIOD)
    }

    /// Returns whether the store has answered this host again and again for as long as an outage
    /// counts. A host that calls the store rarely may not notice an outage.
    pub(crate) fn is_sound(&self) -> bool {
        let now = self.clock.now();
        let contact = *self.contact();
        now <= contact.last + self.contact_interval
            && contact.since + DEGRADED_PERIOD <= now
            && !self.is_degraded()
    }

    /// Records an answer of the store.
    fn record_contact(&self) {
        let now = self.clock.now();
        let mut contact = self.contact();
        if contact.last + self.contact_interval < now {
            contact.since = now;
        }
        contact.last = now;
    }

    fn contact(&self) -> MutexGuard<'_, Contact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a counter that changes when a call gets a response after calls without one. Calls
    /// made before that may never get a response: a store that did not respond for a time loses its
    /// pending watches.
    pub(crate) fn outages(&self) -> watch::Receiver<u64> {
        self.outages.subscribe()
    }

    /// Makes a call about the lease. Its timeout is short, since a response that arrives after the
    /// term of the lease is useless.
    pub(crate) async fn lease_call(&self, call: &StoreCall<'_>) -> StoreReply {
        self.call_within(call, LEASE_CALL_TIMEOUT).await
    }

    /// Makes a short call.
    pub(crate) async fn call(&self, call: &StoreCall<'_>) -> StoreReply {
        self.call_within(call, CALL_TIMEOUT).await
    }

    /// Makes a call with a timeout. A call without a response does not delay others: if the kept
    /// connection is in use, the call opens its own. If calls were queued instead, a list call
    /// without a response would cost this host the lease: a test saw no renewal for 2.3 s.
    async fn call_within(&self, call: &StoreCall<'_>, timeout: Duration) -> StoreReply {
        let end = Instant::now() + timeout;
        let Ok(mut slot) = self.slot.try_lock() else {
            return self.exchange(call, None, end).await.0;
        };
        let connection = slot.take().filter(|connection| connection.sender.is_ready());
        let (reply, connection) = self.exchange(call, connection, end).await;
        *slot = connection;
        reply
    }

    /// Waits for changes, on a connection that only watches use: the one of an earlier watch, or a
    /// new one.
    pub(crate) async fn watch(
        &self,
        previous: Option<Connection>,
        kind: ObjectKind,
        since: Revision,
        wait: Duration,
    ) -> (StoreReply, Option<Connection>) {
        let connection = previous.filter(|connection| connection.sender.is_ready());
        let call = StoreCall::Watch { kind, since, wait };
        self.exchange(&call, connection, Instant::now() + wait + WATCH_SLACK).await
    }

    /// Reports that a watch of this kind got no response for too long to be trusted.
    pub(crate) fn report_silent_watch(&self, kind: ObjectKind, waited: Duration) {
        if let Some(health) = self.health(kind) {
            self.report_state(health, DependencyState::Lost, waited);
        }
    }

    /// Returns the health of the watches of a kind.
    fn health(&self, kind: ObjectKind) -> Option<&CallHealth> {
        match kind {
            ObjectKind::Declaration => Some(&self.declaration),
            ObjectKind::Server => Some(&self.servers),
            ObjectKind::Host
            | ObjectKind::Lease
            | ObjectKind::Quarantine
            | ObjectKind::Versions => None,
        }
    }

    /// Lists all objects of a kind; `None` if a page can't be fetched.
    pub(crate) async fn list(&self, kind: ObjectKind) -> Option<Page> {
        let mut all = Page::default();
        loop {
            let after = all.objects.last().map(|object: &Object| object.name.clone());
            let StoreReply::Page(page) =
                self.call(&StoreCall::List { kind, after: after.as_deref() }).await
            else {
                return None;
            };
            if all.revision == 0 {
                // A watch from the first page's revision also reports changes made between the
                // pages.
                all.revision = page.revision;
            }
            let more = page.more && !page.objects.is_empty();
            all.objects.extend(page.objects);
            if !more {
                return Some(all);
            }
        }
    }

    /// Makes a call, counts it and records its outcome, even if it got no response.
    async fn exchange(
        &self,
        call: &StoreCall<'_>,
        connection: Option<Connection>,
        end: Instant,
    ) -> (StoreReply, Option<Connection>) {
        let began = Instant::now();
        let result = timeout_at(end, self.try_exchange(call, connection)).await;
        let (reply, connection) = result.ok().flatten().unwrap_or((StoreReply::Unclear, None));
        self.meters.call(call_label(call), call_result(&reply));
        // Failures of all calls count: a watch may wait through a whole outage and then report the
        // removal of entries that expired in it.
        if matches!(reply, StoreReply::Unclear | StoreReply::Refused) {
            self.record_failure();
        } else {
            self.record_contact();
        }
        let state = match reply {
            StoreReply::Unclear => DependencyState::Lost,
            _ => DependencyState::Regained,
        };
        let took = began.elapsed();
        if let StoreCall::Watch { kind, .. } = call
            && let Some(health) = self.health(*kind)
        {
            self.report_state(health, state, took);
        }
        if self.report_state(&self.calls, state, took) && state == DependencyState::Regained {
            self.outages.send_modify(|ended| *ended += 1);
        }
        (reply, connection)
    }

    /// Logs when calls of a kind stop or start again to get responses. Returns whether there was a
    /// change.
    fn report_state(&self, health: &CallHealth, state: DependencyState, took: Duration) -> bool {
        let has_changed = health.set_lost(state == DependencyState::Lost);
        if has_changed {
            let took = took.as_millis();
            let why = match state {
                DependencyState::Lost => format!("no answer that can be read in {took} ms"),
                DependencyState::Regained => format!("an answer after {took} ms"),
            };
            let (name, why) = (Text::Borrowed(health.name), Text::Owned(why));
            self.logger.belief(Belief::Dependency { name, state, why });
        }
        has_changed
    }

    async fn try_exchange(
        &self,
        call: &StoreCall<'_>,
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

fn call_label(call: &StoreCall<'_>) -> Call {
    match call {
        StoreCall::List { .. } => Call::List,
        StoreCall::Watch { .. } => Call::Watch,
        StoreCall::Get { .. } => Call::Get,
        StoreCall::Create { .. } => Call::Create,
        StoreCall::Replace { .. } => Call::Replace,
        StoreCall::Delete { .. } => Call::Delete,
    }
}

fn call_result(reply: &StoreReply) -> CallResult {
    match reply {
        StoreReply::Page(_) | StoreReply::Seen(_) | StoreReply::Object(_) => CallResult::Done,
        StoreReply::Absent => CallResult::Absent,
        StoreReply::Conflict(_) => CallResult::Conflict,
        StoreReply::Compacted => CallResult::Compacted,
        StoreReply::Refused => CallResult::Refused,
        StoreReply::Unclear => CallResult::Unclear,
    }
}
