//! This host's part in the quarantine: what is in flight, what was seen to die, and the one object
//! that all hosts share.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use platform::{Error, Store, Version};
use policy::{
    once::{Run, Wall},
    quarantine::{Busy, Document, Fingerprint, Guard, Life, Settings, Verdict},
};
use tokio::sync::Notify;
use types::prelude::*;

/// Key of the shared object.
pub const KEY: &str = "quarantine/list";

/// Most tries at a change that others are faster with.
const TRIES: u32 = 20;

/// Pause after a write whose answer was lost.
const PAUSE: Duration = Duration::from_millis(50);

/// This host's part in the quarantine.
pub struct Suspects {
    me: Run,
    settings: Settings,
    inner: Mutex<Inner>,
    checked: Notify,
    /// One change at a time, so that this host does not race itself.
    turn: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct Inner {
    guard: Guard,
    /// Requests whose server is being looked at.
    checking: BTreeSet<request::Id>,
}

impl Suspects {
    /// Starts knowing nothing.
    pub fn new(me: Run, settings: Settings) -> Suspects {
        let inner = Inner { guard: Guard::new(settings.clone()), checking: BTreeSet::new() };
        let inner = Mutex::new(inner);
        Suspects { me, settings, inner, checked: Notify::new(), turn: Default::default() }
    }

    /// The shared object as last read.
    pub fn document(&self) -> Document {
        self.inner().guard.document().clone()
    }

    /// Takes the shared object as read.
    pub fn read(&self, version: Version, document: Document) {
        self.inner().guard.read(version, document);
    }

    /// What to do with a request.
    pub fn admit(&self, fingerprint: Fingerprint) -> Verdict {
        self.inner().guard.admit(fingerprint)
    }

    /// A request goes to a server.
    pub fn sent(&self, id: &request::Id, fingerprint: Fingerprint, call: &service::Id, life: Life) {
        self.inner().guard.sent(id.clone(), fingerprint, call.clone(), life);
    }

    /// A request is in flight no more, with its server alive.
    pub fn ended(&self, id: &request::Id) {
        self.inner().guard.ended(id);
    }

    /// A request was answered whole. Says what is held against it all the same, as when its server
    /// died right after.
    pub fn completed(&self, id: &request::Id, fingerprint: Fingerprint, life: &Life) -> Verdict {
        let mut inner = self.inner();
        inner.guard.completed(id, fingerprint, life);
        inner.guard.admit(fingerprint)
    }

    /// Frees a request of the death of a server that had answered it whole.
    pub async fn acquit(&self, store: &dyn Store, fingerprint: Fingerprint, life: &Life) {
        let acquitted = self.edit(store, |document, _| document.acquit(fingerprint, life)).await;
        if let Err(error) = acquitted {
            log::warn!("a request stays a suspect until it expires: {error}");
        }
    }

    /// A server is being looked at, since this request's attempt on it broke off.
    pub fn check(&self, id: &request::Id) {
        self.inner().checking.insert(id.clone());
    }

    /// The look is over.
    pub fn end_check(&self, id: &request::Id) {
        self.inner().checking.remove(id);
        self.checked.notify_waiters();
    }

    /// Waits until no look is under way for this request.
    pub async fn checked(&self, id: &request::Id) {
        loop {
            let notified = self.checked.notified();
            if !self.inner().checking.contains(id) {
                return;
            }
            notified.await;
        }
    }

    /// A server died; its requests are written down as suspects.
    pub async fn died(&self, store: &dyn Store, life: &Life) {
        if !self.inner().guard.died(life) {
            return;
        }
        if let Err(error) = self.edit(store, |_, _| ()).await {
            log::error!(server = &*life.server; "suspects can't be written: {error}");
        }
    }

    /// Begins a trial.
    ///
    /// # Errors
    ///
    /// The object API's failure.
    pub async fn begin(
        &self,
        store: &dyn Store,
        fingerprint: Fingerprint,
        life: &Life,
    ) -> Result<Result<(), Busy>, Error> {
        let begin = |document: &mut Document, wall: Wall| {
            document.begin(&self.settings, wall, fingerprint, life, &self.me)
        };
        self.edit(store, begin).await
    }

    /// Ends a trial with its server alive.
    ///
    /// # Errors
    ///
    /// The object API's failure; the trial stays open until it expires.
    pub async fn end_trial(
        &self,
        store: &dyn Store,
        fingerprint: Fingerprint,
        end: Trial,
    ) -> Result<(), Error> {
        self.edit(store, |document, _| match end {
            Trial::Completed => document.complete(fingerprint, &self.me),
            Trial::Aborted => document.abort(fingerprint, &self.me),
        })
        .await
    }

    /// Lifts an entry; tells whether there was one.
    ///
    /// # Errors
    ///
    /// The object API's failure.
    pub async fn lift(&self, store: &dyn Store, fingerprint: Fingerprint) -> Result<bool, Error> {
        self.edit(store, |document, _| document.lift(fingerprint)).await
    }

    /// Changes the shared object, and writes down what is not yet written. Every change may be
    /// made again, so one whose answer was lost is.
    async fn edit<T>(
        &self,
        store: &dyn Store,
        change: impl Fn(&mut Document, Wall) -> T,
    ) -> Result<T, Error> {
        let _turn = self.turn.lock().await;
        let mut failure = Error::Conflict { key: KEY.into() };
        for _ in 0..TRIES {
            let object = store.get(KEY).await?;
            let before: Document = object
                .as_ref()
                .and_then(|object| serde_json::from_slice(&object.value).ok())
                .unwrap_or_default();
            let mut document = before.clone();
            let wall = wall();
            document.expire(&self.settings, wall);
            let unwritten = self.inner().guard.unwritten().clone();
            self.inner().guard.accuse(wall, &mut document);
            let outcome = change(&mut document, wall);
            let written = match (document == before, &object) {
                (true, object) => Ok(object.as_ref().map_or(0, |object| object.version)),
                (false, None) => store.create(KEY, bytes(&document)).await,
                (false, Some(object)) => store.update(KEY, object.version, bytes(&document)).await,
            };
            match written {
                Ok(version) => {
                    let mut inner = self.inner();
                    inner.guard.written(&unwritten);
                    inner.guard.read(version, document);
                    return Ok(outcome);
                }
                Err(error) if error.is_conflict() => failure = error,
                Err(error) if error.is_ambiguous() => {
                    failure = error;
                    tokio::time::sleep(PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
        Err(failure)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// How a trial ended with its server alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// The request was answered.
    Completed,
    /// It showed nothing.
    Aborted,
}

fn bytes(document: &Document) -> Bytes {
    serde_json::to_vec(document).unwrap_or_default().into()
}

fn wall() -> Wall {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}
