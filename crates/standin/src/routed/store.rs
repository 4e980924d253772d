//! A stand-in for the platform's store: objects by kind and name, with one revision that rises with
//! each change.
//!
//! Each client uses an endpoint of its own, a listener with a name, so that faults can be injected
//! for one client while the others are served.

mod state;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use platform::remote::{
    entry,
    store::{self as remote, Call, KindId},
};
use relay::edge::{Change, Object, ObjectKind, Page, Revision, WatchBatch};
use serde_json::Value;
use tokio::{sync::watch, time::Instant};

use self::state::{State, WatchResult};
use super::{
    lock,
    network::Network,
    wire::{Connection, Listener},
};

/// Faults injected into the calls at an endpoint. The default serves all calls at once.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Refuses every call in this manner.
    pub refusal: Option<Refusal>,
    /// Never answers calls of this kind, not even after the fault is cleared; the others are
    /// served.
    pub unanswered: Option<CallKind>,
    /// How long each call waits before it is served or refused.
    pub delay: Duration,
    /// How long each answer waits before it is sent; the call takes effect before that.
    pub reply_delay: Duration,
    /// For how many more writes the connection is closed instead of an answer; they take effect.
    pub lost_replies: u32,
    /// Never answers the next write, and applies it after this time, if its condition holds by
    /// then. Cleared by that write.
    pub late_write: Option<Duration>,
}

/// Kinds of calls that can be left unanswered apart from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Lists of the objects of a kind.
    List,
    /// Watches for changes of the objects of a kind.
    Watch,
}

/// How a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The answer states that the store is down.
    Down,
    /// The answer states that there are too many calls.
    TooMany,
    /// The TCP connection is reset.
    Reset,
    /// The call is never answered, not even after the fault is cleared.
    Silence,
    /// As `Silence`, except that watches already waiting are answered after the fault is cleared.
    Hold,
}

/// Numbers of calls received at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Lists, and reads of single objects.
    pub reads: u64,
    /// Watches, one per request.
    pub watches: u64,
    /// Creations, replacements and deletions.
    pub writes: u64,
    /// Calls of all these kinds that were refused.
    pub refused: u64,
    /// Writes that were applied late, or found then that their condition no longer held.
    pub late_writes: u64,
}

/// A running store. Clones share its contents and endpoints; the listeners end with the last clone.
#[derive(Clone, Debug)]
pub struct Store {
    network: Network,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    endpoints: Mutex<HashMap<String, Endpoint>>,
    /// Addresses that registrations of servers contain at an endpoint, by endpoint and the server's
    /// own address.
    server_addresses: Mutex<HashMap<(String, SocketAddr), SocketAddr>>,
    /// Raised whenever objects or faults change, which wakes waiting watches.
    version: watch::Sender<u64>,
}

#[derive(Debug)]
struct Endpoint {
    listener: Listener,
    faults: Faults,
    count: Count,
    /// The revision at which the last watch of each kind began.
    watched: HashMap<KindId, Revision>,
    /// Watches of each kind that are never answered.
    unanswered: HashMap<KindId, u64>,
}

/// What is done with the connection in reply to a call.
enum Reply {
    Send(Response<Bytes>),
    Close,
    Reset,
    /// Waits until the client closes the connection.
    Silence,
}

impl Faults {
    /// How a call is refused, if it is; `kind` is `None` for calls that are neither lists nor
    /// watches.
    fn refusal_of(&self, kind: Option<CallKind>) -> Option<Refusal> {
        let is_unanswered = kind.is_some() && self.unanswered == kind;
        self.refusal.or(is_unanswered.then_some(Refusal::Silence))
    }
}

impl Default for Store {
    fn default() -> Store {
        Store::new()
    }
}

impl Store {
    /// A store without objects or endpoints, in an unused network.
    pub fn new() -> Store {
        Store { network: Network::unused(), shared: Arc::default() }
    }

    /// The network of the store's site, from which its endpoints get their address.
    pub fn network(&self) -> Network {
        self.network
    }

    /// Opens the endpoint `name` and returns its address. An endpoint of that name is replaced.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn open(&self, name: &str) -> io::Result<SocketAddr> {
        let (endpoint, shared) = (name.to_owned(), Arc::downgrade(&self.shared));
        let address = SocketAddr::new(self.network.store(), 0);
        let listener = Listener::start_at(address, move |connection| {
            let (endpoint, shared) = (endpoint.clone(), shared.upgrade());
            async move {
                if let Some(shared) = shared {
                    serve(shared, &endpoint, connection).await;
                }
            }
        })
        .await?;
        let address = listener.address;
        let (faults, count) = (Faults::default(), Count::default());
        let opened = Endpoint {
            listener,
            faults,
            count,
            watched: HashMap::new(),
            unanswered: HashMap::new(),
        };
        lock(&self.shared.endpoints).insert(name.to_owned(), opened);
        Ok(address)
    }

    /// The address of an endpoint, if it is open.
    pub fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        lock(&self.shared.endpoints).get(endpoint).map(|endpoint| endpoint.listener.address)
    }

    /// Changes the faults at one endpoint; does nothing if it isn't open.
    pub fn set_faults(&self, endpoint: &str, change: impl FnOnce(&mut Faults)) {
        if let Some(endpoint) = lock(&self.shared.endpoints).get_mut(endpoint) {
            change(&mut endpoint.faults);
        }
        self.shared.wake_watches();
    }

    /// Changes the faults at all open endpoints.
    pub fn set_faults_everywhere(&self, change: impl Fn(&mut Faults)) {
        lock(&self.shared.endpoints).values_mut().for_each(|endpoint| change(&mut endpoint.faults));
        self.shared.wake_watches();
    }

    /// Replaces the address of a server in the registrations that an endpoint returns, whether or not
    /// the endpoint is open.
    pub fn set_server_address(&self, endpoint: &str, server: SocketAddr, address: SocketAddr) {
        lock(&self.shared.server_addresses).insert((endpoint.to_owned(), server), address);
    }

    /// Numbers of calls at an endpoint so far; zeros if it isn't open.
    pub fn count(&self, endpoint: &str) -> Count {
        lock(&self.shared.endpoints)
            .get(endpoint)
            .map(|endpoint| endpoint.count)
            .unwrap_or_default()
    }

    /// The revision at which the last watch of `kind` at an endpoint began; `None` without a watch.
    pub fn watched_from(&self, endpoint: &str, kind: &KindId) -> Option<Revision> {
        lock(&self.shared.endpoints).get(endpoint)?.watched.get(kind).copied()
    }

    /// How many watches of `kind` at an endpoint were refused by silence so far. They are never
    /// answered, not even after the store answers other calls again.
    pub fn unanswered_watches(&self, endpoint: &str, kind: &KindId) -> u64 {
        let endpoints = lock(&self.shared.endpoints);
        endpoints
            .get(endpoint)
            .and_then(|endpoint| endpoint.unanswered.get(kind))
            .copied()
            .unwrap_or_default()
    }

    /// Writes an object without a condition, and returns its revision. An object with this content
    /// already keeps its revision.
    pub fn put(&self, kind: &KindId, name: &str, content: Value) -> Revision {
        let revision = lock(&self.shared.state).write(kind, &name.into(), content).revision;
        self.shared.wake_watches();
        revision
    }

    /// Removes an object without a condition; does nothing if there is none.
    pub fn remove(&self, kind: &KindId, name: &str) {
        lock(&self.shared.state).remove(kind, name);
        self.shared.wake_watches();
    }

    /// Removes an object, and writes it again with the same content after `absence`.
    pub fn remove_temporarily(&self, kind: &KindId, name: &str, absence: Duration) {
        let Some(object) = self.object(kind, name) else { return };
        self.remove(kind, name);
        let (store, kind) = (self.clone(), kind.clone());
        tokio::spawn(async move {
            tokio::time::sleep(absence).await;
            store.put(&kind, &object.name, object.content);
        });
    }

    /// The object of this kind and name, if there is one.
    pub fn object(&self, kind: &KindId, name: &str) -> Option<Object> {
        lock(&self.shared.state).object(kind, name).cloned()
    }

    /// The revision of the last change of an object, if there is one.
    pub fn revision_of(&self, kind: &KindId, name: &str) -> Option<Revision> {
        Some(self.object(kind, name)?.revision)
    }

    /// Names of all objects of a kind, in order.
    pub fn names(&self, kind: &KindId) -> Vec<Arc<str>> {
        lock(&self.shared.state).names(kind)
    }

    /// The revision of the last change of any object.
    pub fn revision(&self) -> Revision {
        lock(&self.shared.state).revision()
    }

    /// Discards the history of changes. Watches from an earlier revision fail, and their clients
    /// must list again.
    pub fn compact(&self) {
        lock(&self.shared.state).compact();
        self.shared.wake_watches();
    }

    /// Sets the greatest number of objects on a page of a list.
    pub fn set_page_size(&self, objects: usize) {
        lock(&self.shared.state).page_size = objects;
    }
}

impl Shared {
    fn wake_watches(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Returns an object as the endpoint shows it.
    fn view(&self, endpoint: &str, kind: &KindId, mut object: Object) -> Object {
        if *kind == remote::kind(ObjectKind::Server) {
            let addresses = lock(&self.server_addresses);
            entry::replace_address(&mut object.content, |server| {
                addresses.get(&(endpoint.to_owned(), server)).copied()
            });
        }
        object
    }

    fn faults(&self, endpoint: &str) -> Faults {
        lock(&self.endpoints)
            .get(endpoint)
            .map(|endpoint| endpoint.faults.clone())
            .unwrap_or_default()
    }

    fn count(&self, endpoint: &str, add: impl FnOnce(&mut Count)) {
        if let Some(endpoint) = lock(&self.endpoints).get_mut(endpoint) {
            add(&mut endpoint.count);
        }
    }

    /// Counts a watch if its refusal leaves it unanswered for good.
    fn count_unanswered(&self, endpoint: &str, refusal: Refusal, kind: &KindId) {
        if refusal == Refusal::Silence
            && let Some(endpoint) = lock(&self.endpoints).get_mut(endpoint)
        {
            *endpoint.unanswered.entry(kind.clone()).or_default() += 1;
        }
    }

    /// Uses up one of the answers to be lost; false if there is none left.
    fn take_lost_reply(&self, endpoint: &str) -> bool {
        let mut endpoints = lock(&self.endpoints);
        let Some(remaining) =
            endpoints.get_mut(endpoint).map(|endpoint| &mut endpoint.faults.lost_replies)
        else {
            return false;
        };
        let has_taken = 0 < *remaining;
        *remaining = remaining.saturating_sub(1);
        has_taken
    }

    /// Takes the delay of a late write, so that it applies to one write only.
    fn take_late_write(&self, endpoint: &str) -> Option<Duration> {
        lock(&self.endpoints).get_mut(endpoint)?.faults.late_write.take()
    }
}

async fn serve(shared: Arc<Shared>, endpoint: &str, mut connection: Connection) {
    while let Ok(Some(request)) = connection.read().await {
        let late_answer = async {
            let reply = answer(&shared, endpoint, &request).await;
            tokio::time::sleep(shared.faults(endpoint).reply_delay).await;
            reply
        };
        let reply = tokio::select! {
            reply = late_answer => reply,
            () = connection.closed() => return,
        };
        match reply {
            Reply::Send(response) => {
                if connection.write(&response).await.is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Reset => return connection.reset(),
            Reply::Silence => return connection.closed().await,
        }
    }
}

async fn answer(shared: &Arc<Shared>, endpoint: &str, request: &Request<Bytes>) -> Reply {
    let Some(call) = remote::call(request) else { return Reply::Send(remote::invalid()) };
    shared.count(endpoint, |count| match &call {
        Call::Watch { .. } => count.watches += 1,
        call if call.is_write() => count.writes += 1,
        _ => count.reads += 1,
    });
    let faults = shared.faults(endpoint);
    tokio::time::sleep(faults.delay).await;
    if let Some(refusal) = shared.faults(endpoint).refusal_of(kind(&call)) {
        if let Call::Watch { kind, .. } = &call {
            shared.count_unanswered(endpoint, refusal, kind);
        }
        return refuse(shared, endpoint, refusal);
    }
    match call {
        Call::Watch { kind, since, wait } => watch(shared, endpoint, &kind, since, wait).await,
        call if call.is_write() => write(shared, endpoint, call),
        Call::List { kind, after } => {
            let page = lock(&shared.state).list(&kind, after.as_ref());
            let objects = page.objects.into_iter();
            let objects = objects.map(|object| shared.view(endpoint, &kind, object)).collect();
            Reply::Send(remote::page(&Page { objects, ..page }))
        }
        call => Reply::Send(lock(&shared.state).apply(&call)),
    }
}

fn kind(call: &Call) -> Option<CallKind> {
    match call {
        Call::List { .. } => Some(CallKind::List),
        Call::Watch { .. } => Some(CallKind::Watch),
        _ => None,
    }
}

fn refuse(shared: &Shared, endpoint: &str, refusal: Refusal) -> Reply {
    shared.count(endpoint, |count| count.refused += 1);
    match refusal {
        Refusal::Down => Reply::Send(remote::unavailable()),
        Refusal::TooMany => Reply::Send(remote::too_many()),
        Refusal::Reset => Reply::Reset,
        Refusal::Silence | Refusal::Hold => Reply::Silence,
    }
}

fn write(shared: &Arc<Shared>, endpoint: &str, call: Call) -> Reply {
    if let Some(delay) = shared.take_late_write(endpoint) {
        let (shared, endpoint) = (shared.clone(), endpoint.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            lock(&shared.state).apply(&call);
            shared.count(&endpoint, |count| count.late_writes += 1);
            shared.wake_watches();
        });
        return Reply::Silence;
    }
    let response = lock(&shared.state).apply(&call);
    shared.wake_watches();
    if shared.take_lost_reply(endpoint) { Reply::Close } else { Reply::Send(response) }
}

async fn watch(
    shared: &Shared,
    endpoint: &str,
    kind: &KindId,
    since: Revision,
    wait: Duration,
) -> Reply {
    if let Some(endpoint) = lock(&shared.endpoints).get_mut(endpoint) {
        endpoint.watched.insert(kind.clone(), since);
    }
    let end = Instant::now() + wait;
    let mut version = shared.version.subscribe();
    loop {
        match shared.faults(endpoint).refusal_of(Some(CallKind::Watch)) {
            Some(Refusal::Hold) => {
                if version.changed().await.is_err() {
                    return Reply::Silence;
                }
                continue;
            }
            Some(refusal) => {
                shared.count_unanswered(endpoint, refusal, kind);
                return refuse(shared, endpoint, refusal);
            }
            None => {}
        }
        let result = lock(&shared.state).changes_since(kind, since);
        match result {
            WatchResult::Compacted => return Reply::Send(remote::compacted()),
            WatchResult::Changes(batch) if !batch.changes.is_empty() || end <= Instant::now() => {
                let view = |change| match change {
                    Change::Written(object) => Change::Written(shared.view(endpoint, kind, object)),
                    Change::Removed { .. } => change,
                };
                let changes = batch.changes.into_iter().map(view).collect();
                return Reply::Send(remote::watch_batch(&WatchBatch { changes, ..batch }));
            }
            WatchResult::Changes(_) => {}
        }
        tokio::select! {
            _ = version.changed() => {}
            () = tokio::time::sleep_until(end) => {}
        }
    }
}
