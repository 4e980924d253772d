//! Requests to run a task, with the time of the first one that it has not taken up.

use std::sync::{Mutex, PoisonError};

use tokio::sync::Notify;
use types::prelude::*;

/// Requests to run a task.
#[derive(Debug, Default)]
pub(crate) struct Wakeup {
    notify: Notify,
    since: Mutex<Option<Moment>>,
}

impl Wakeup {
    /// Requests that the task runs.
    pub(crate) fn request(&self, now: Moment) {
        self.since.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(now);
        self.notify.notify_one();
    }

    /// Waits until a run is requested.
    pub(crate) async fn requested(&self) {
        self.notify.notified().await;
    }

    /// Takes up all requests, and returns the time of the first one.
    pub(crate) fn take(&self) -> Option<Moment> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
