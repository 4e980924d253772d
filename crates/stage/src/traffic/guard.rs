//! Guards for a queued request, a reservation, and an attempt in flight.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use policy::{
    admit::{Refusal, Ticket},
    retry::Point,
    route::{DestinationIndex, Index},
    traffic::{Attempt, End},
};
use tokio::sync::oneshot;
use types::prelude::*;

use super::Traffic;

/// Capacity reserved for a request on some server of its model; released when dropped unused.
#[derive(Debug)]
pub struct Reservation {
    traffic: Arc<Traffic>,
    pool: DestinationIndex,
    is_used: AtomicBool,
}

impl Reservation {
    pub(super) fn new(traffic: Arc<Traffic>, pool: DestinationIndex) -> Reservation {
        Reservation { traffic, pool, is_used: AtomicBool::new(false) }
    }

    /// Marks the reservation as used; returns false if it was already.
    pub(super) fn use_up(&self) -> bool {
        !self.is_used.swap(true, Ordering::AcqRel)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.use_up() {
            self.traffic.lock().policy.release(self.pool);
            self.traffic.pump();
        }
    }
}

/// A queued request; leaves the queue when dropped.
pub(super) struct Waiter {
    traffic: Arc<Traffic>,
    ticket: Ticket,
    pool: DestinationIndex,
    outcome: Option<oneshot::Receiver<Result<(), Refusal>>>,
}

impl Waiter {
    pub(super) fn new(
        traffic: Arc<Traffic>,
        ticket: Ticket,
        pool: DestinationIndex,
        outcome: oneshot::Receiver<Result<(), Refusal>>,
    ) -> Waiter {
        Waiter { traffic, ticket, pool, outcome: Some(outcome) }
    }

    /// Waits until the request is admitted or rejected.
    pub(super) async fn wait(mut self) -> Result<(), Refusal> {
        let Some(receiver) = self.outcome.as_mut() else { return Ok(()) };
        let outcome = receiver.await;
        self.outcome = None;
        // The sender is dropped only after it has sent, so an error can't occur.
        outcome.unwrap_or(Ok(()))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(mut receiver) = self.outcome.take() else { return };
        let mut state = self.traffic.lock();
        if state.waiters.remove(&self.ticket).is_some() {
            state.policy.queues.cancel(self.ticket);
            return;
        }
        if let Ok(Ok(())) = receiver.try_recv() {
            state.policy.release(self.pool);
        }
        drop(state);
        self.traffic.pump();
    }
}

/// An attempt that holds capacity of a server, sent or about to be sent. Dropping it before it ends
/// counts it as cancelled.
#[derive(Debug)]
pub struct DispatchedAttempt {
    traffic: Arc<Traffic>,
    attempt: Attempt,
    server: backend::Server,
    is_over: bool,
}

impl DispatchedAttempt {
    pub(super) fn new(
        traffic: Arc<Traffic>,
        attempt: Attempt,
        server: backend::Server,
    ) -> DispatchedAttempt {
        DispatchedAttempt { traffic, attempt, server, is_over: false }
    }

    /// Returns the server chosen for the attempt.
    pub fn server(&self) -> &backend::Server {
        &self.server
    }

    /// Returns the index of that server.
    pub fn index(&self) -> Index {
        self.attempt.choice.server
    }

    /// Returns the estimated time that the server needs for the uncached part of a prompt.
    pub fn prefill(&self, prompt_tokens: u32) -> Duration {
        let uncached = prompt_tokens.saturating_sub(self.attempt.choice.cached_tokens);
        let now = self.traffic.now();
        self.traffic.lock().policy.table.estimate(self.index(), uncached, now).prefill
    }

    /// Records the first token, or the head of a response without tokens.
    pub fn answered(&self) {
        let now = self.traffic.now();
        self.traffic.lock().policy.answered(&self.attempt, now);
    }

    /// Ends the attempt after its complete response was received.
    pub fn complete(mut self) {
        self.end(End::Completed);
    }

    /// Ends the attempt as failed at this point.
    pub fn fail(mut self, point: Point) {
        self.end(End::Failed(point));
    }

    fn end(&mut self, end: End) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let now = self.traffic.now();
        self.traffic.lock().policy.ended(&self.attempt, end, now);
        self.traffic.pump();
    }
}

impl Drop for DispatchedAttempt {
    fn drop(&mut self) {
        self.end(End::Cancelled);
    }
}
