//! The state of a request in the dispatcher.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU32};

use policy::{
    dispatch::{self, Ticket, Verdict},
    streams::SoftwareId,
};
use tokio::sync::oneshot;
use types::prelude::*;

use crate::{attempt::AttemptEnd, host::Shared, trace::Unresponsive};

/// A request's handle in the dispatcher. Dropping it ends the request there as cancelled, unless it
/// has ended before.
pub(crate) struct DispatchHandle {
    shared: Arc<Shared>,
    /// Tickets of the request in the dispatcher, one for each attempt in flight, in the order in
    /// which the attempts were started.
    tickets: Mutex<Vec<Ticket>>,
    /// Number of attempts that a server may have executed: the request was handed to a connection,
    /// and the server has not stated that it did not execute it.
    pub(crate) may_run: AtomicU32,
}

impl DispatchHandle {
    pub(super) fn new(shared: Arc<Shared>) -> DispatchHandle {
        DispatchHandle { shared, tickets: Mutex::default(), may_run: AtomicU32::new(0) }
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns the ticket of the attempt that was started last.
    pub(crate) fn latest(&self) -> Option<Ticket> {
        self.tickets().last().copied()
    }

    /// Returns whether something was received from the server of an attempt in flight.
    pub(crate) fn has_begun(&self, ticket: Ticket) -> bool {
        self.shared.dispatcher().has_begun(ticket)
    }

    /// Returns whether the server of a stream's latest attempt counts as at work on it.
    pub(crate) fn is_accepted(&self, ticket: Ticket) -> bool {
        self.shared.dispatcher().is_accepted(ticket, self.shared.now())
    }

    /// Reports that an attempt is answered, which ends all others.
    pub(crate) fn won(&self, ticket: Ticket) {
        let mut tickets = self.tickets();
        if *tickets == [ticket] {
            return;
        }
        let others = std::mem::replace(&mut *tickets, vec![ticket]);
        drop(tickets);
        self.shared.dispatcher().won(ticket, self.shared.now());
        for other in others.into_iter().filter(|other| *other != ticket) {
            self.shared.stop_waiting(other);
        }
        self.shared.dispatch_wakeup.notify_one();
    }

    /// Reports that the first byte or event of the response has arrived.
    /// Returns the version at which a stream may go on.
    pub(crate) fn first_byte(&self) -> Option<SoftwareId> {
        let ticket = self.latest()?;
        let software = self.shared.dispatcher().first_byte(ticket, self.shared.now());
        // The prompt has been processed, so the server can take another one.
        self.shared.dispatch_wakeup.notify_one();
        software
    }

    /// Reports how the request ended, unless its end is known to the dispatcher.
    pub(crate) fn end(&self, end: AttemptEnd) {
        let tickets = std::mem::take(&mut *self.tickets());
        for ticket in tickets {
            self.shared.stop_waiting(ticket);
            self.shared.dispatcher().ended(ticket, end, self.shared.now());
            self.shared.dispatch_wakeup.notify_one();
        }
    }

    pub(super) fn arrive(&self, spec: dispatch::RequestSpec) -> Verdict {
        self.tickets().push(spec.ticket);
        let verdict = self.shared.dispatcher().arrive(spec, self.shared.now());
        if matches!(verdict, Verdict::Wait | Verdict::Missing { .. }) {
            self.shared.dispatch_wakeup.notify_one();
        }
        verdict
    }

    /// Reports that an attempt has failed, and returns what follows.
    pub(crate) fn failed(&self, ticket: Ticket, end: AttemptEnd) -> dispatch::RetryDecision {
        let decision = self.shared.dispatcher().attempt_failed(ticket, end, self.shared.now());
        self.shared.dispatch_wakeup.notify_one();
        if let dispatch::RetryDecision::GiveUp(_) | dispatch::RetryDecision::InFlight = decision {
            self.tickets().retain(|other| *other != ticket);
            self.shared.stop_waiting(ticket);
        }
        decision
    }

    /// Reports the number of the last event that was passed to the caller.
    pub(crate) fn delivered(&self, event: u64) {
        let Some(ticket) = self.latest() else { return };
        self.shared.dispatcher().delivered(ticket, event, self.shared.now());
    }

    /// Starts another attempt in the dispatcher. Returns its ticket, and the server that it goes
    /// to.
    pub(super) fn hedge(&self, ticket: Ticket, why: Unresponsive) -> Option<(Ticket, backend::Id)> {
        let silence = match why {
            Unresponsive::Dispatcher => dispatch::Silence::Verdict,
            Unresponsive::Timeout => dispatch::Silence::Timeout,
        };
        let hedge = self.shared.next_ticket();
        let now = self.shared.now();
        let server = self.shared.dispatcher().hedge(ticket, hedge, silence, now)?;
        self.tickets().push(hedge);
        self.shared.dispatch_wakeup.notify_one();
        Some((hedge, server))
    }

    /// Returns a future that completes when the dispatcher asks for another attempt, since the
    /// server of this one is unresponsive.
    pub(crate) fn hedge_signal(&self, ticket: Ticket) -> HedgeSignal {
        self.shared.wait_for_verdict(ticket)
    }

    /// Records that the dispatcher has ended the request by itself.
    pub(super) fn mark_ended(&self) {
        for ticket in std::mem::take(&mut *self.tickets()) {
            self.shared.stop_waiting(ticket);
        }
    }

    fn tickets(&self) -> MutexGuard<'_, Vec<Ticket>> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for DispatchHandle {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

/// Signal that another attempt of a request is to be started.
pub(crate) type HedgeSignal = oneshot::Receiver<Verdict>;
