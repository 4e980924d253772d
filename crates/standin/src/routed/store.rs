//! The platform's store: kinds and objects under one rising revision.
//!
//! Each caller has a door of its own, so that the store can turn one away and serve the others.

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
use platform::remote::store::{self as remote, Call, KindId};
use relay::edge::{Object, Revision};
use serde_json::Value;
use tokio::{sync::watch, time::Instant};

use self::state::{State, Watched};
use super::{
    lock,
    network::Network,
    wire::{Connection, Listener},
};

/// How the store treats the calls at a door.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Turns every call away.
    pub refusal: Option<Refusal>,
    /// Leaves calls of a sort without an answer, for good, and answers the others.
    pub unanswered: Option<CallKind>,
    /// Time that each call takes.
    pub delay: Duration,
    /// Carries out this many writes and loses their answers.
    pub lost_replies: u32,
    /// Leaves the next write without an answer and carries it out after this time, if its
    /// condition still holds.
    pub late_write: Option<Duration>,
}

/// A sort of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Lists of a kind.
    List,
    /// Watches of a kind.
    Watch,
}

/// How a call is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The store says that it is down.
    Down,
    /// It says that there are too many calls.
    TooMany,
    /// The connection is reset.
    Reset,
    /// Nothing comes.
    Silence,
    /// Nothing comes either, but watches that wait by then are answered once it is over.
    Hold,
}

/// Calls at a door.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Lists and single objects.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Creations, replacements and removals.
    pub writes: u64,
    /// Those of all these that were turned away.
    pub refused: u64,
    /// Writes that were judged late.
    pub late_writes: u64,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    network: Network,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    doors: Mutex<HashMap<String, Door>>,
    ticks: watch::Sender<u64>,
}

#[derive(Debug)]
struct Door {
    listener: Listener,
    faults: Faults,
    count: Count,
    /// Where the last watch of each kind began.
    watched: HashMap<KindId, Revision>,
    /// Watches of each kind that silence took.
    stalled: HashMap<KindId, u64>,
}

enum Reply {
    Send(Response<Bytes>),
    Close,
    Reset,
    Silence,
}

impl Faults {
    /// How a call is turned away now, if it is.
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
    /// A store without doors.
    pub fn new() -> Store {
        Store { network: Network::unused(), shared: Arc::default() }
    }

    /// The network of its site.
    pub fn network(&self) -> Network {
        self.network
    }

    /// Opens a door; its address.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn open(&self, door: &str) -> io::Result<SocketAddr> {
        let (name, shared) = (door.to_owned(), Arc::downgrade(&self.shared));
        let address = SocketAddr::new(self.network.store(), 0);
        let listener = Listener::start_at(address, move |connection| {
            let (name, shared) = (name.clone(), shared.upgrade());
            async move {
                if let Some(shared) = shared {
                    serve(shared, &name, connection).await;
                }
            }
        })
        .await?;
        let address = listener.address;
        let (faults, count) = (Faults::default(), Count::default());
        let opened =
            Door { listener, faults, count, watched: HashMap::new(), stalled: HashMap::new() };
        lock(&self.shared.doors).insert(door.to_owned(), opened);
        Ok(address)
    }

    /// Where a door is.
    pub fn address(&self, door: &str) -> Option<SocketAddr> {
        lock(&self.shared.doors).get(door).map(|door| door.listener.address)
    }

    /// Changes the faults at one door.
    pub fn set_faults(&self, door: &str, change: impl FnOnce(&mut Faults)) {
        if let Some(door) = lock(&self.shared.doors).get_mut(door) {
            change(&mut door.faults);
        }
        self.shared.tick();
    }

    /// Changes the faults at all doors.
    pub fn set_faults_everywhere(&self, change: impl Fn(&mut Faults)) {
        lock(&self.shared.doors).values_mut().for_each(|door| change(&mut door.faults));
        self.shared.tick();
    }

    /// Calls at a door so far.
    pub fn count(&self, door: &str) -> Count {
        lock(&self.shared.doors).get(door).map(|door| door.count).unwrap_or_default()
    }

    /// The revision that the last watch of a kind began from at a door.
    pub fn watched_from(&self, door: &str, kind: &KindId) -> Option<Revision> {
        lock(&self.shared.doors).get(door)?.watched.get(kind).copied()
    }

    /// Watches of a kind at a door that silence took so far: nothing ever comes on them, also once
    /// the store answers again.
    pub fn unanswered_watches(&self, door: &str, kind: &KindId) -> u64 {
        let doors = lock(&self.shared.doors);
        doors.get(door).and_then(|door| door.stalled.get(kind)).copied().unwrap_or_default()
    }

    /// Writes an object, whatever it was.
    pub fn put(&self, kind: &KindId, name: &str, content: Value) -> Revision {
        let revision = lock(&self.shared.state).write(kind, &name.into(), content).revision;
        self.shared.tick();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &KindId, name: &str) {
        lock(&self.shared.state).remove(kind, name);
        self.shared.tick();
    }

    /// Removes an object that is back after a time.
    pub fn remove_temporarily(&self, kind: &KindId, name: &str, back: Duration) {
        let Some(object) = self.object(kind, name) else { return };
        self.remove(kind, name);
        let (store, kind) = (self.clone(), kind.clone());
        tokio::spawn(async move {
            tokio::time::sleep(back).await;
            store.put(&kind, &object.name, object.content);
        });
    }

    /// An object as it is.
    pub fn object(&self, kind: &KindId, name: &str) -> Option<Object> {
        lock(&self.shared.state).object(kind, name).cloned()
    }

    /// The last change of an object.
    pub fn revision_of(&self, kind: &KindId, name: &str) -> Option<Revision> {
        Some(self.object(kind, name)?.revision)
    }

    /// Names of a kind's objects.
    pub fn names(&self, kind: &KindId) -> Vec<Arc<str>> {
        lock(&self.shared.state).names(kind)
    }

    /// The revision of the last change.
    pub fn revision(&self) -> Revision {
        lock(&self.shared.state).revision()
    }

    /// Forgets all history; watches from before must list again.
    pub fn compact(&self) {
        lock(&self.shared.state).compact();
        self.shared.tick();
    }

    /// Bounds the objects on a page.
    pub fn set_page_size(&self, objects: usize) {
        lock(&self.shared.state).page = objects;
    }
}

impl Shared {
    fn tick(&self) {
        self.ticks.send_modify(|ticks| *ticks += 1);
    }

    fn faults(&self, door: &str) -> Faults {
        lock(&self.doors).get(door).map(|door| door.faults.clone()).unwrap_or_default()
    }

    fn count(&self, door: &str, add: impl FnOnce(&mut Count)) {
        if let Some(door) = lock(&self.doors).get_mut(door) {
            add(&mut door.count);
        }
    }

    /// Counts a watch that gets no answer.
    fn stall(&self, door: &str, refusal: Refusal, kind: &KindId) {
        if refusal == Refusal::Silence
            && let Some(door) = lock(&self.doors).get_mut(door)
        {
            *door.stalled.entry(kind.clone()).or_default() += 1;
        }
    }

    /// Whether the answer to a write is to be lost now.
    fn loses(&self, door: &str) -> bool {
        let mut doors = lock(&self.doors);
        let Some(left) = doors.get_mut(door).map(|door| &mut door.faults.lost_replies) else {
            return false;
        };
        let is_left = 0 < *left;
        *left = left.saturating_sub(1);
        is_left
    }

    /// The time after which a write is to be carried out unanswered.
    fn delays(&self, door: &str) -> Option<Duration> {
        lock(&self.doors).get_mut(door)?.faults.late_write.take()
    }
}

async fn serve(shared: Arc<Shared>, door: &str, mut connection: Connection) {
    while let Ok(Some(request)) = connection.read().await {
        let reply = tokio::select! {
            reply = answer(&shared, door, &request) => reply,
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

async fn answer(shared: &Arc<Shared>, door: &str, request: &Request<Bytes>) -> Reply {
    let Some(call) = remote::call(request) else { return Reply::Send(remote::invalid()) };
    shared.count(door, |count| match &call {
        Call::Watch { .. } => count.watches += 1,
        call if call.is_write() => count.writes += 1,
        _ => count.reads += 1,
    });
    let faults = shared.faults(door);
    tokio::time::sleep(faults.delay).await;
    if let Some(refusal) = shared.faults(door).refusal_of(kind(&call)) {
        if let Call::Watch { kind, .. } = &call {
            shared.stall(door, refusal, kind);
        }
        return refuse(shared, door, refusal);
    }
    match call {
        Call::Watch { kind, since, wait } => watch(shared, door, &kind, since, wait).await,
        call if call.is_write() => write(shared, door, call),
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

fn refuse(shared: &Shared, door: &str, refusal: Refusal) -> Reply {
    shared.count(door, |count| count.refused += 1);
    match refusal {
        Refusal::Down => Reply::Send(remote::down()),
        Refusal::TooMany => Reply::Send(remote::too_many()),
        Refusal::Reset => Reply::Reset,
        Refusal::Silence | Refusal::Hold => Reply::Silence,
    }
}

fn write(shared: &Arc<Shared>, door: &str, call: Call) -> Reply {
    if let Some(late) = shared.delays(door) {
        let (shared, door) = (shared.clone(), door.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            lock(&shared.state).apply(&call);
            shared.count(&door, |count| count.late_writes += 1);
            shared.tick();
        });
        return Reply::Silence;
    }
    let response = lock(&shared.state).apply(&call);
    shared.tick();
    if shared.loses(door) { Reply::Close } else { Reply::Send(response) }
}

async fn watch(
    shared: &Shared,
    door: &str,
    kind: &KindId,
    since: Revision,
    wait: Duration,
) -> Reply {
    if let Some(door) = lock(&shared.doors).get_mut(door) {
        door.watched.insert(kind.clone(), since);
    }
    let end = Instant::now() + wait;
    let mut ticks = shared.ticks.subscribe();
    loop {
        match shared.faults(door).refusal_of(Some(CallKind::Watch)) {
            Some(Refusal::Hold) => {
                if ticks.changed().await.is_err() {
                    return Reply::Silence;
                }
                continue;
            }
            Some(refusal) => {
                shared.stall(door, refusal, kind);
                return refuse(shared, door, refusal);
            }
            None => {}
        }
        let watched = lock(&shared.state).watched(kind, since);
        match watched {
            Watched::Compacted => return Reply::Send(remote::compacted()),
            Watched::Seen(seen) if !seen.changes.is_empty() || end <= Instant::now() => {
                return Reply::Send(remote::seen(&seen));
            }
            Watched::Seen(_) => {}
        }
        tokio::select! {
            _ = ticks.changed() => {}
            () = tokio::time::sleep_until(end) => {}
        }
    }
}
