//! A platform client that counts every call and detects outages.
//!
//! Operators see an outage first in the metrics and the time line. All calls of all duties pass
//! through this client, so that outages are detected here rather than by each duty.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use objects::{Changes, Client, Error, Listing, Object, Revision, Store, Version};
use observe::{
    Event, Metrics, Ring,
    event::{Kind, PlatformState},
};
use types::host::List;

const UNKNOWN: u8 = 0;
const UP: u8 = 1;
const DOWN: u8 = 2;

/// Platform client whose calls are counted and whose reachability is recorded.
pub(crate) struct CountedStore {
    inner: Client,
    metrics: Metrics,
    events: Arc<Ring>,
    last_state: AtomicU8,
}

impl CountedStore {
    pub(crate) fn new(inner: Client, metrics: Metrics, events: Arc<Ring>) -> CountedStore {
        CountedStore { inner, metrics, events, last_state: AtomicU8::new(UNKNOWN) }
    }

    async fn call<T>(
        &self,
        operation: &'static str,
        call: BoxFuture<'_, Result<T, Error>>,
    ) -> Result<T, Error> {
        let result = call.await;
        self.metrics.platform_call(operation, label(&result));
        self.observe_state(&result);
        result
    }

    /// Records changes between reachable and unreachable.
    fn observe_state<T>(&self, result: &Result<T, Error>) {
        let (state, code) = match result {
            Err(Error::Unavailable { .. } | Error::Unanswered { .. } | Error::Malformed { .. }) => {
                (PlatformState::Down, DOWN)
            }
            // A call that the platform rejects is answered nevertheless.
            _ => (PlatformState::Up, UP),
        };
        if self.last_state.swap(code, Ordering::Relaxed) != code {
            self.metrics.platform(state);
            self.events.record(Event::new(Kind::Platform { platform: state }));
        }
    }
}

fn label<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(Error::Conflict { .. }) => "conflict",
        Err(Error::Compacted { .. }) => "gone",
        Err(Error::TooLarge { .. }) => "too-large",
        Err(Error::Limited { .. }) => "limited",
        Err(Error::Unavailable { .. }) => "unavailable",
        Err(Error::Unanswered { .. }) => "unanswered",
        Err(Error::Malformed { .. }) => "malformed",
    }
}

impl Store for CountedStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, Error>> {
        Box::pin(self.call("get", self.inner.get(key)))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, Error>> {
        Box::pin(self.call("list", self.inner.list(prefix)))
    }

    fn create<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Result<Version, Error>> {
        Box::pin(self.call("create", self.inner.create(key, value)))
    }

    fn update<'a>(
        &'a self,
        key: &'a str,
        version: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, Error>> {
        Box::pin(self.call("update", self.inner.update(key, version, value)))
    }

    fn delete<'a>(&'a self, key: &'a str, version: Version) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(self.call("delete", self.inner.delete(key, version)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> BoxFuture<'a, Result<Changes, Error>> {
        Box::pin(self.call("watch", self.inner.watch(prefix, from)))
    }

    fn hosts(&self) -> BoxFuture<'_, Result<List, Error>> {
        Box::pin(self.call("hosts", self.inner.hosts()))
    }
}
