//! Storage of the requests, and parts of prompts, that crash servers.
//!
//! Hosts send each other their records of crashes, so the records survive the loss of any host but
//! not of all at once. Each refused subject therefore also has an object in the store, named by it,
//! which hosts read when they start and at intervals. The object is written by a host that saw one
//! of the crashes; the holder of the lease on orders writes it for hosts that ended before they
//! could.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use observe::story::{Belief, ObservedCrash, PoisonState, Text};
use policy::dispatch::poison::{Crash, CrashState, Isolation, Standing, StandingChange, Subject};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use types::time::Moment;

use crate::{
    edge::{Object, ObjectKind, StoreCall, StoreReply},
    host::Shared,
};

/// Interval between two checks of the known crashes.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two reads of the stored objects.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// Delay after a read or a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time that hosts which saw a crash have to write the object, before the holder of the lease
/// writes it.
const WITNESS_GRACE: Duration = Duration::from_secs(2);

/// Content of a stored object: the crashes of one subject.
#[derive(Debug, Deserialize, Serialize)]
struct StoredCrashes {
    crashes: Vec<Crash>,
    /// Time of writing, in milliseconds of Unix time.
    written_ms: u64,
}

/// This host's view of the stored objects.
#[derive(Default)]
struct StoreView {
    /// Subjects that have an object in the store.
    stored: BTreeSet<Subject>,
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

/// Merges the stored crashes into the dispatcher's. Returns whether the store could be read.
async fn read(shared: &Shared, view: &mut StoreView) -> bool {
    let Some(page) = shared.store.list(ObjectKind::Quarantine).await else { return false };
    let parsed = |object: &Object| Some((parse_name(&object.name)?, parse(object)?));
    let objects: Vec<(Subject, Vec<Crash>)> = page.objects.iter().filter_map(parsed).collect();
    // An object that can't be parsed is not recorded as stored, so that this host does not remove
    // it.
    view.stored = objects.iter().map(|(subject, _)| *subject).collect();
    let crashes: Vec<Crash> = objects.into_iter().flat_map(|(_, crashes)| crashes).collect();
    shared.dispatcher().poison_mut().merge(&crashes, shared.now());
    true
}

/// Brings the store up to date with the known crashes. Returns whether the store accepted
/// everything.
async fn write(shared: &Shared, view: &mut StoreView) -> bool {
    let now = shared.now();
    let refused = shared.dispatcher().poison().refused(now);
    let is_holder = shared.term().fence(now).is_some();
    for (crashes, is_own) in &refused {
        let Some(subject) = crashes.first().map(|crash| crash.subject) else { continue };
        let youngest = crashes.iter().map(|crash| crash.age).min().unwrap_or_default();
        let must_write = *is_own || (is_holder && WITNESS_GRACE <= youngest);
        if must_write && !view.stored.contains(&subject) {
            if !create(shared, subject, crashes).await {
                return false;
            }
            view.stored.insert(subject);
        }
    }
    let is_refused = |subject: &Subject| {
        refused.iter().flat_map(|(crashes, _)| crashes.first()).any(|c| c.subject == *subject)
    };
    let obsolete: Vec<Subject> =
        view.stored.iter().filter(|subject| !is_refused(subject)).copied().collect();
    for subject in obsolete.into_iter().filter(|_| is_holder) {
        if !remove(shared, subject).await {
            return false;
        }
        view.stored.remove(&subject);
    }
    true
}

async fn create(shared: &Shared, subject: Subject, crashes: &[Crash]) -> bool {
    let stored = StoredCrashes { crashes: crashes.to_vec(), written_ms: unix_ms() };
    let Ok(content) = serde_json::to_value(&stored) else { return true };
    let name = subject.to_string();
    let call = StoreCall::Create { kind: ObjectKind::Quarantine, name: &name, content: &content };
    matches!(shared.store.call(&call).await, StoreReply::Object(_) | StoreReply::Conflict(_))
}

async fn remove(shared: &Shared, subject: Subject) -> bool {
    let (kind, name) = (ObjectKind::Quarantine, subject.to_string());
    match shared.store.call(&StoreCall::Get { kind, name: &name }).await {
        StoreReply::Object(object) => {
            let call = StoreCall::Delete { kind, name: &name, revision: object.revision };
            matches!(shared.store.call(&call).await, StoreReply::Absent | StoreReply::Object(_))
        }
        StoreReply::Absent => true,
        _ => false,
    }
}

/// Returns the crashes in an object, with their ages as of now; `None` if the object can't be
/// parsed.
fn parse(object: &Object) -> Option<Vec<Crash>> {
    let stored: StoredCrashes = serde_json::from_value(object.content.clone())
        .inspect_err(
            |error| log::error!(object = &*object.name; "a crash record can't be parsed: {error}"),
        )
        .ok()?;
    let since = Duration::from_millis(unix_ms().saturating_sub(stored.written_ms));
    let aged = |crash: Crash| Crash { age: crash.age.saturating_add(since), ..crash };
    Some(stored.crashes.into_iter().map(aged).collect())
}

/// Returns the subject whose object has this name; `None` if no subject's object has it.
fn parse_name(name: &str) -> Option<Subject> {
    let subject: Subject = name.parse().ok()?;
    (subject.to_string() == name).then_some(subject)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Logs changes in the standing of requests and of parts of prompts, with the crashes that caused
/// them.
fn log_changes(shared: &Shared) {
    let changes = shared.dispatcher().poison_mut().take_changes(shared.now());
    for StandingChange { subject, standing, crashes } in changes {
        let state = match standing {
            Standing::Clear => PoisonState::Cleared,
            Standing::Suspect => PoisonState::Suspected,
            Standing::Poison => PoisonState::Confirmed,
        };
        let last = crashes.iter().min_by_key(|crash| crash.age);
        shared.logger.belief(Belief::Poison {
            fingerprint: Text::Owned(subject.to_string()),
            state,
            crashes: u32::try_from(crashes.len()).unwrap_or(u32::MAX),
            server: last.map(|crash| crash.server.clone()),
            evidence: crashes.iter().map(observed_crash).collect(),
        });
    }
}

/// Converts a crash to its log entry.
fn observed_crash(crash: &Crash) -> ObservedCrash {
    let role = match crash.isolation {
        Isolation::Shared => "beside others",
        Isolation::Isolated => "apart",
    };
    ObservedCrash {
        server: crash.server.clone(),
        witness: crash.witness.clone(),
        role: Text::Borrowed(role),
        counts: matches!(crash.state, CrashState::Counted | CrashState::Ended),
        age: crash.age,
    }
}
