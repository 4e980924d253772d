//! Requests for a round of planning.

use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::place::RoundUrgency;
use tokio::sync::Notify;
use types::prelude::*;

/// Requests for a round that no round has taken up.
#[derive(Debug, Default)]
pub(crate) struct Wakeup {
    notify: Notify,
    request: Mutex<Option<Request>>,
}

/// Requests for a round, merged into one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// Time of the first request.
    pub(crate) since: Moment,
    /// Highest urgency of the requests.
    pub(crate) urgency: RoundUrgency,
}

impl Wakeup {
    /// Requests a round.
    pub(crate) fn request(&self, urgency: RoundUrgency, now: Moment) {
        let mut request = self.lock();
        let before = request.unwrap_or(Request { since: now, urgency });
        *request = Some(Request { urgency: before.urgency.max(urgency), ..before });
        drop(request);
        self.notify.notify_one();
    }

    /// Waits for a further request.
    pub(crate) async fn requested(&self) {
        self.notify.notified().await;
    }

    /// Returns the request that the next round takes up.
    pub(crate) fn pending(&self) -> Option<Request> {
        *self.lock()
    }

    /// Takes up all requests.
    pub(crate) fn take(&self) -> Option<Request> {
        self.lock().take()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Request>> {
        self.request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
