//! Interceptors that strike one request, found by its text.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

/// What a trap does to the request that it catches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interception {
    /// Resets the connection in place of the request: it never arrives.
    LoseRequest,
    /// Lets the request through and resets the connection in place of the answer.
    LoseAnswer,
    /// Keeps the request back, and all after it on its connection, until released.
    HoldRequest,
    /// Keeps the answer back, and all after it on its connection, until released.
    HoldAnswer,
}

/// How far a trap is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Armed,
    Matched,
    Triggered,
    Released,
}

/// A trap that was laid; the test's end of it.
#[derive(Clone, Debug)]
pub struct Interceptor {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    text: Vec<u8>,
    interception: Interception,
    stage: watch::Sender<Stage>,
}

impl Interceptor {
    /// Waits until it has struck: for a lost or held answer, until the answer had come.
    pub async fn triggered(&self) {
        self.wait_for_stage(Stage::Triggered).await;
    }

    /// Whether it has struck.
    pub fn has_triggered(&self) -> bool {
        Stage::Triggered <= *self.inner.stage.borrow()
    }

    /// Lets what it holds go on, or takes it up if it has caught nothing yet.
    pub fn release(&self) {
        self.inner.stage.send_replace(Stage::Released);
    }

    pub(super) fn interception(&self) -> Interception {
        self.inner.interception
    }

    pub(super) fn trigger(&self) {
        self.inner.stage.send_if_modified(|stage| {
            let is_first = *stage < Stage::Triggered;
            if is_first {
                *stage = Stage::Triggered;
            }
            is_first
        });
    }

    pub(super) async fn released(&self) {
        self.wait_for_stage(Stage::Released).await;
    }

    async fn wait_for_stage(&self, stage: Stage) {
        let mut changes = self.inner.stage.subscribe();
        // The sender lives as long as this trap does, so the wait ends with the stage alone.
        let _ = changes.wait_for(|now| stage <= *now).await;
    }

    fn matches(&self, chunk: &[u8]) -> bool {
        let text = &self.inner.text;
        *self.inner.stage.borrow() == Stage::Armed
            && chunk.windows(text.len()).any(|window| window == text)
    }
}

/// The traps laid on one proxy.
#[derive(Debug, Default)]
pub(super) struct Interceptors {
    armed: Mutex<Vec<Interceptor>>,
}

impl Interceptors {
    pub(super) fn add(&self, text: &str, interception: Interception) -> Interceptor {
        assert!(!text.is_empty(), "a trap needs a text to look for");
        let stage = watch::Sender::new(Stage::Armed);
        let interceptor =
            Interceptor { inner: Arc::new(Inner { text: text.into(), interception, stage }) };
        self.armed.lock().unwrap_or_else(PoisonError::into_inner).push(interceptor.clone());
        interceptor
    }

    /// The first trap that this chunk of a request walks into; it won't catch another.
    pub(super) fn take_match(&self, chunk: &[u8]) -> Option<Interceptor> {
        let mut armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
        let index = armed.iter().position(|interceptor| interceptor.matches(chunk))?;
        let interceptor = armed.remove(index);
        interceptor.inner.stage.send_replace(Stage::Matched);
        Some(interceptor)
    }
}
