//! The platform's client with every call counted, and its outages noticed.
//!
//! An outage is what operators see first in the metrics and the time line, so it is noticed here,
//! where every call of every duty passes, and not by each duty for itself. Bytes are those of keys
//! and values; heads of messages are not counted.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use observe::{
    Event, Metrics, Ring,
    event::{Kind, PlatformState},
    metrics::{Direction, Link},
};
use platform::{Change, Changes, Error, Listing, Object, Revision, Store, Version};
use types::host::List;

const UNKNOWN: u8 = 0;
const UP: u8 = 1;
const DOWN: u8 = 2;

/// A platform's client whose calls are counted.
pub(crate) struct Counted {
    inner: Arc<dyn Store>,
    metrics: Metrics,
    events: Arc<Ring>,
    seen: AtomicU8,
}

impl Counted {
    pub(crate) fn new(inner: Arc<dyn Store>, metrics: Metrics, events: Arc<Ring>) -> Counted {
        Counted { inner, metrics, events, seen: AtomicU8::new(UNKNOWN) }
    }

    async fn call<T>(
        &self,
        operation: &'static str,
        sent: usize,
        call: BoxFuture<'_, Result<T, Error>>,
        received: impl Fn(&T) -> usize,
    ) -> Result<T, Error> {
        let result = call.await;
        self.metrics.platform_call(operation, word(&result));
        self.bytes(Direction::Out, sent);
        if let Ok(value) = &result {
            self.bytes(Direction::In, received(value));
        }
        self.notice(&result);
        result
    }

    fn bytes(&self, direction: Direction, bytes: usize) {
        self.metrics.control_bytes(Link::Platform, direction, bytes as u64);
    }

    /// Records when the platform begins or ceases to answer.
    fn notice<T>(&self, result: &Result<T, Error>) {
        let (state, code) = match result {
            Err(Error::Unavailable { .. } | Error::Unanswered { .. } | Error::Malformed { .. }) => {
                (PlatformState::Down, DOWN)
            }
            // A refusal of one call is an answer all the same.
            _ => (PlatformState::Up, UP),
        };
        if self.seen.swap(code, Ordering::Relaxed) != code {
            self.metrics.platform(state);
            self.events.record(Event::new(Kind::Platform { platform: state }));
        }
    }
}

fn word<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(Error::Conflict { .. }) => "conflict",
        Err(Error::Gone { .. }) => "gone",
        Err(Error::TooLarge { .. }) => "too-large",
        Err(Error::Limited { .. }) => "limited",
        Err(Error::Unavailable { .. }) => "unavailable",
        Err(Error::Unanswered { .. }) => "unanswered",
        Err(Error::Malformed { .. }) => "malformed",
    }
}

fn size(object: &Object) -> usize {
    object.key.len() + object.value.len()
}

fn size_of_change(change: &Change) -> usize {
    match change {
        Change::Put(object) => size(object),
        Change::Delete { key } => key.len(),
    }
}

impl Store for Counted {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, Error>> {
        let received = |object: &Option<Object>| object.as_ref().map_or(0, size);
        Box::pin(self.call("get", key.len(), self.inner.get(key), received))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, Error>> {
        let received = |listing: &Listing| listing.objects.iter().map(size).sum();
        Box::pin(self.call("list", prefix.len(), self.inner.list(prefix), received))
    }

    fn create<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Result<Version, Error>> {
        let sent = key.len() + value.len();
        Box::pin(self.call("create", sent, self.inner.create(key, value), |_| 0))
    }

    fn update<'a>(
        &'a self,
        key: &'a str,
        version: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, Error>> {
        let sent = key.len() + value.len();
        Box::pin(self.call("update", sent, self.inner.update(key, version, value), |_| 0))
    }

    fn delete<'a>(&'a self, key: &'a str, version: Version) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(self.call("delete", key.len(), self.inner.delete(key, version), |()| 0))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> BoxFuture<'a, Result<Changes, Error>> {
        let received = |changes: &Changes| changes.changes.iter().map(size_of_change).sum();
        Box::pin(self.call("watch", prefix.len(), self.inner.watch(prefix, from), received))
    }

    fn hosts(&self) -> BoxFuture<'_, Result<List, Error>> {
        let received = |list: &List| serde_json::to_vec(list).map_or(0, |text| text.len());
        Box::pin(self.call("hosts", 0, self.inner.hosts(), received))
    }
}
