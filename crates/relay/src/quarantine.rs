//! Requests that crash servers, as the store keeps them.
//!
//! Hosts tell each other of crashes, which outlives any of them but not all at once. So a request that
//! is refused has an object in the store, named by its fingerprint, which a host reads when it starts
//! and now and then. A host writes it that saw one of the crashes; the holder of the lease on orders
//! makes up for those that ended before they could.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use observe::story::{Belief, CrashSeen, PoisonState, Word};
use policy::dispatch::{
    Fingerprint,
    poison::{Crash, CrashState, Isolation, Standing, StandingChange},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use types::time::Moment;

use crate::{
    edge::{Call, Kind, Object, StoreReply},
    host::Shared,
};

/// Pause between two looks at what is known.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads of what is stored.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// The same after a read or a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time that hosts which saw a crash have for the object, before the holder of the lease writes it.
const WITNESS_GRACE: Duration = Duration::from_secs(2);

/// Content of an object.
#[derive(Debug, Deserialize, Serialize)]
struct Stored {
    crashes: Vec<Crash>,
    /// When it was written, in milliseconds of Unix time.
    written_ms: u64,
}

/// What this host knows of the store's objects.
#[derive(Default)]
struct StoreView {
    /// Requests that have an object.
    stored: BTreeSet<Fingerprint>,
    next_read: Moment,
    next_write: Moment,
}

/// Reads, writes and removes objects until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut view = StoreView::default();
    loop {
        if view.next_read <= shared.now() {
            let is_read = read(&shared, &mut view).await;
            view.next_read = shared.now() + if is_read { READ_INTERVAL } else { RETRY_INTERVAL };
        }
        log_changes(&shared);
        if view.next_write <= shared.now() && !write(&shared, &mut view).await {
            view.next_write = shared.now() + RETRY_INTERVAL;
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Takes in what is stored; whether it could be read.
async fn read(shared: &Shared, view: &mut StoreView) -> bool {
    let Some(page) = shared.store.list(Kind::Quarantine).await else { return false };
    let readable = |object: &Object| Some((parse_name(&object.name)?, parse(object)?));
    let objects: Vec<(Fingerprint, Vec<Crash>)> =
        page.objects.iter().filter_map(readable).collect();
    // One that can't be read is none that this host may remove.
    view.stored = objects.iter().map(|(request, _)| *request).collect();
    let crashes: Vec<Crash> = objects.into_iter().flat_map(|(_, crashes)| crashes).collect();
    shared.dispatcher().poison_mut().merge(&crashes, shared.now());
    true
}

/// Brings the store up to date with what is known; whether it took all.
async fn write(shared: &Shared, view: &mut StoreView) -> bool {
    let now = shared.now();
    let refused = shared.dispatcher().poison().refused(now);
    let is_holder = shared.term().fence(now).is_some();
    for (crashes, is_own) in &refused {
        let Some(request) = crashes.first().map(|crash| crash.request) else { continue };
        let youngest = crashes.iter().map(|crash| crash.age).min().unwrap_or_default();
        let is_ours = *is_own || (is_holder && WITNESS_GRACE <= youngest);
        if is_ours && !view.stored.contains(&request) {
            if !create(shared, request, crashes).await {
                return false;
            }
            view.stored.insert(request);
        }
    }
    let is_refused = |request: &Fingerprint| {
        refused.iter().flat_map(|(crashes, _)| crashes.first()).any(|c| c.request == *request)
    };
    let over: Vec<Fingerprint> =
        view.stored.iter().filter(|request| !is_refused(request)).copied().collect();
    for request in over.into_iter().filter(|_| is_holder) {
        if !remove(shared, request).await {
            return false;
        }
        view.stored.remove(&request);
    }
    true
}

async fn create(shared: &Shared, request: Fingerprint, crashes: &[Crash]) -> bool {
    let stored = Stored { crashes: crashes.to_vec(), written_ms: unix_ms() };
    let Ok(content) = serde_json::to_value(&stored) else { return true };
    let name = name(request);
    let call = Call::Create { kind: Kind::Quarantine, name: &name, content: &content };
    matches!(shared.store.call(&call).await, StoreReply::Object(_) | StoreReply::Conflict(_))
}

async fn remove(shared: &Shared, request: Fingerprint) -> bool {
    let (kind, name) = (Kind::Quarantine, name(request));
    match shared.store.call(&Call::Get { kind, name: &name }).await {
        StoreReply::Object(object) => {
            let call = Call::Delete { kind, name: &name, revision: object.revision };
            matches!(shared.store.call(&call).await, StoreReply::Absent | StoreReply::Object(_))
        }
        StoreReply::Absent => true,
        _ => false,
    }
}

/// Crashes of an object, as old as they are by now. One that can't be read is passed over.
fn parse(object: &Object) -> Option<Vec<Crash>> {
    let stored: Stored = serde_json::from_value(object.content.clone())
        .inspect_err(
            |error| log::error!(object = &*object.name; "a quarantine can't be read: {error}"),
        )
        .ok()?;
    let since = Duration::from_millis(unix_ms().saturating_sub(stored.written_ms));
    let aged = |crash: Crash| Crash { age: crash.age.saturating_add(since), ..crash };
    Some(stored.crashes.into_iter().map(aged).collect())
}

/// How a request is called in the store and in the log.
fn name(request: Fingerprint) -> String {
    format!("{request:016x}")
}

/// The request of a name.
fn parse_name(name: &str) -> Option<Fingerprint> {
    let is_name = name.len() == 16;
    is_name.then(|| Fingerprint::from_str_radix(name, 16).ok()).flatten()
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Logs what has changed in what is thought of requests, with the crashes behind it.
fn log_changes(shared: &Shared) {
    let changes = shared.dispatcher().poison_mut().take_changes(shared.now());
    for StandingChange { request, standing, crashes } in changes {
        let state = match standing {
            Standing::Clear => PoisonState::Cleared,
            Standing::Suspect => PoisonState::Suspected,
            Standing::Poison => PoisonState::Confirmed,
        };
        let last = crashes.iter().min_by_key(|crash| crash.age);
        shared.teller.belief(Belief::Poison {
            fingerprint: Word::Owned(name(request)),
            state,
            crashes: u32::try_from(crashes.len()).unwrap_or(u32::MAX),
            server: last.map(|crash| crash.server.clone()),
            evidence: crashes.iter().map(seen).collect(),
        });
    }
}

/// A crash as it is logged.
fn seen(crash: &Crash) -> CrashSeen {
    let role = match crash.isolation {
        Isolation::Shared => "beside others",
        Isolation::Isolated => "apart",
    };
    CrashSeen {
        server: crash.server.clone(),
        witness: crash.witness.clone(),
        role: Word::Borrowed(role),
        counts: crash.state == CrashState::Counted,
        age: crash.age,
    }
}
