//! Interceptors, which lose or hold one request or its answer.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

/// What an interceptor does to the request that it matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interception {
    /// Resets the connection instead of forwarding the request, which never arrives.
    LoseRequest,
    /// Forwards the request, and resets the connection instead of forwarding the answer.
    LoseAnswer,
    /// Holds the request, and all that follows on its connection, until released.
    HoldRequest,
    /// Holds the answer, and all that follows on its connection, until released.
    HoldAnswer,
}

/// Progress of an interceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Armed,
    Matched,
    Triggered,
    Released,
}

/// Handle of an interceptor, by which a test observes and releases it.
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
    /// Waits until the interceptor has acted; for a lost or held answer, until the answer has come.
    pub async fn triggered(&self) {
        self.wait_for_stage(Stage::Triggered).await;
    }

    /// Whether the interceptor has acted.
    pub fn has_triggered(&self) -> bool {
        Stage::Triggered <= *self.inner.stage.borrow()
    }

    /// Forwards what the interceptor holds, or disarms it if it has matched nothing yet.
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
        // The sender lives as long as this handle, so the wait ends only when the stage is reached.
        let _ = changes.wait_for(|now| stage <= *now).await;
    }

    fn matches(&self, chunk: &[u8]) -> bool {
        let text = &self.inner.text;
        *self.inner.stage.borrow() == Stage::Armed
            && chunk.windows(text.len()).any(|window| window == text)
    }
}

/// Armed interceptors of one proxy.
#[derive(Debug, Default)]
pub(super) struct Interceptors {
    armed: Mutex<Vec<Interceptor>>,
}

impl Interceptors {
    pub(super) fn add(&self, text: &str, interception: Interception) -> Interceptor {
        assert!(!text.is_empty(), "an interceptor needs a text to match");
        let stage = watch::Sender::new(Stage::Armed);
        let interceptor =
            Interceptor { inner: Arc::new(Inner { text: text.into(), interception, stage }) };
        self.armed.lock().unwrap_or_else(PoisonError::into_inner).push(interceptor.clone());
        interceptor
    }

    /// Removes and returns the first interceptor that matches a chunk of a request.
    pub(super) fn take_match(&self, chunk: &[u8]) -> Option<Interceptor> {
        let mut armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
        let index = armed.iter().position(|interceptor| interceptor.matches(chunk))?;
        let interceptor = armed.remove(index);
        interceptor.inner.stage.send_replace(Stage::Matched);
        Some(interceptor)
    }
}
