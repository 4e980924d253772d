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
    Laid,
    Caught,
    Sprung,
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
    strike: Interception,
    stage: watch::Sender<Stage>,
}

impl Interceptor {
    /// Waits until it has struck: for a lost or held answer, until the answer had come.
    pub async fn triggered(&self) {
        self.reached(Stage::Sprung).await;
    }

    /// Whether it has struck.
    pub fn has_triggered(&self) -> bool {
        Stage::Sprung <= *self.inner.stage.borrow()
    }

    /// Lets what it holds go on, or takes it up if it has caught nothing yet.
    pub fn release(&self) {
        self.inner.stage.send_replace(Stage::Released);
    }

    pub(super) fn strike(&self) -> Interception {
        self.inner.strike
    }

    pub(super) fn spring(&self) {
        self.inner.stage.send_if_modified(|stage| {
            let first = *stage < Stage::Sprung;
            if first {
                *stage = Stage::Sprung;
            }
            first
        });
    }

    pub(super) async fn released(&self) {
        self.reached(Stage::Released).await;
    }

    async fn reached(&self, stage: Stage) {
        let mut changes = self.inner.stage.subscribe();
        // The sender lives as long as this trap does, so the wait ends with the stage alone.
        let _ = changes.wait_for(|now| stage <= *now).await;
    }

    fn takes(&self, piece: &[u8]) -> bool {
        let text = &self.inner.text;
        *self.inner.stage.borrow() == Stage::Laid
            && piece.windows(text.len()).any(|window| window == text)
    }
}

/// The traps laid on one proxy.
#[derive(Debug, Default)]
pub(super) struct Interceptors {
    laid: Mutex<Vec<Interceptor>>,
}

impl Interceptors {
    pub(super) fn lay(&self, text: &str, strike: Interception) -> Interceptor {
        assert!(!text.is_empty(), "a trap needs a text to look for");
        let stage = watch::Sender::new(Stage::Laid);
        let trap = Interceptor { inner: Arc::new(Inner { text: text.into(), strike, stage }) };
        self.laid.lock().unwrap_or_else(PoisonError::into_inner).push(trap.clone());
        trap
    }

    /// The first trap that this piece of a request walks into; it won't catch another.
    pub(super) fn catch(&self, piece: &[u8]) -> Option<Interceptor> {
        let mut laid = self.laid.lock().unwrap_or_else(PoisonError::into_inner);
        let index = laid.iter().position(|trap| trap.takes(piece))?;
        let trap = laid.remove(index);
        trap.inner.stage.send_replace(Stage::Caught);
        Some(trap)
    }
}
