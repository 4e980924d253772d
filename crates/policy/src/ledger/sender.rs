//! Orders reserved by one incarnation of a host, and the evidence that it can give about them.
//!
//! An order is sent at most once. Its sender may state that the order was never sent or, once the
//! exchange is over, that nothing of it is in flight; a broken exchange counts as over only when
//! its connection has been closed for the linger time. Such a statement needs a report that was
//! taken afterwards, by the sender's own clock: the report was requested later than that, by more
//! than the age that it states.
//!
//! An order in this incarnation's name that it has no record of was reserved by a write whose
//! answer never came; that order was never sent.

use std::collections::BTreeMap;

use types::{order::Ack, prelude::*};

use super::{Claim, Entry, Ledger, ReportPosition, settle::Evidence};

/// Load report with the time of the request for it.
#[derive(Clone, Debug)]
pub struct TimedReport {
    /// Time of the request, by this host's clock.
    pub requested_at: Moment,
    /// Report of the server.
    pub load: report::Load,
}

impl TimedReport {
    /// Returns whether the report shows the server later than `since`.
    pub fn is_after(&self, since: Moment) -> bool {
        self.requested_at.checked_sub(self.load.age).is_some_and(|taken| since < taken)
    }
}

/// State of an order, as its sender knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The reservation is being written, or the order is about to be sent.
    Reserved,
    /// Sent and not answered yet.
    Sent,
    /// Never sent, or rejected.
    NeverTaken,
    /// Nothing of the order is in flight from this time on.
    NotInFlight { since: Moment },
}

/// Orders reserved by one incarnation of a host.
#[derive(Clone, Debug)]
pub struct Sender {
    host: host::Id,
    incarnation: host::Incarnation,
    linger: Duration,
    next: u64,
    orders: BTreeMap<order::Id, State>,
}

impl Sender {
    /// Starts without orders; nothing is in flight on a connection that has been closed for
    /// `linger`.
    pub fn new(host: host::Id, incarnation: host::Incarnation, linger: Duration) -> Sender {
        Sender { host, incarnation, linger, next: 0, orders: BTreeMap::new() }
    }

    /// Names a new order, which is about to be reserved.
    pub fn claim(&mut self, cause: Arc<str>) -> Claim {
        let id: order::Id = format!("{}/{}/{}", self.host, self.incarnation, self.next).into();
        self.next += 1;
        self.orders.insert(id.clone(), State::Reserved);
        Claim { id, sender: self.host.clone(), incarnation: self.incarnation, cause }
    }

    /// Records that the order is about to be sent.
    pub fn mark_sent(&mut self, id: &order::Id) {
        self.set(id, State::Sent);
    }

    /// Records that the order was not sent and never will be.
    pub fn mark_not_sent(&mut self, id: &order::Id) {
        self.set(id, State::NeverTaken);
    }

    /// Records the engine's answer.
    pub fn mark_answered(&mut self, now: Moment, id: &order::Id, ack: &Ack) {
        let state = match ack {
            Ack::Accepted => State::NotInFlight { since: now },
            Ack::Stale { .. } | Ack::Refused { .. } => State::NeverTaken,
        };
        self.set(id, state);
    }

    /// Records that the exchange ended without an answer and its connection is closed.
    pub fn mark_unanswered(&mut self, now: Moment, id: &order::Id) {
        self.set(id, State::NotInFlight { since: now + self.linger });
    }

    /// Returns whether this incarnation reserved the order.
    pub fn owns(&self, entry: &Entry) -> bool {
        entry.order.sender == self.host && entry.order.incarnation == self.incarnation
    }

    /// Returns whether a report of this server is needed to state that nothing of an order is in
    /// flight.
    pub fn wants_report(&self, now: Moment, ledger: &Ledger) -> bool {
        let is_due = |entry: &Entry| match self.orders.get(&entry.order.id) {
            Some(State::NotInFlight { since }) => entry.conclusive_from.is_none() && *since < now,
            Some(State::Reserved | State::Sent | State::NeverTaken) | None => false,
        };
        ledger.orders.iter().any(|entry| self.owns(entry) && is_due(entry))
    }

    /// Returns evidence about this incarnation's orders in a ledger, which must have been read
    /// after the last order was claimed.
    pub fn evidence(
        &self,
        ledger: &Ledger,
        report: Option<&TimedReport>,
    ) -> Vec<Evidence<'static>> {
        let own = ledger.orders.iter().filter(|entry| self.owns(entry));
        own.filter_map(|entry| self.evidence_for(&entry.order.id, report)).collect()
    }

    /// Returns whether some orders may be unsettled.
    pub fn has_orders(&self) -> bool {
        !self.orders.is_empty()
    }

    /// Forgets finished orders that are in none of these ledgers, which must be all ledgers.
    pub fn retain_in<'a>(&mut self, ledgers: impl IntoIterator<Item = &'a Ledger>) {
        let ledgers: Vec<&Ledger> = ledgers.into_iter().collect();
        let is_recorded = |id: &order::Id| {
            let mut orders = ledgers.iter().flat_map(|ledger| &ledger.orders);
            orders.any(|entry| entry.order.id == *id)
        };
        self.orders.retain(|id, state| match state {
            State::Reserved | State::Sent => true,
            State::NeverTaken | State::NotInFlight { .. } => is_recorded(id),
        });
    }

    /// Forgets an order that is settled or was never reserved.
    pub fn forget(&mut self, id: &order::Id) {
        self.orders.remove(id);
    }

    fn evidence_for(
        &self,
        id: &order::Id,
        report: Option<&TimedReport>,
    ) -> Option<Evidence<'static>> {
        match self.orders.get(id) {
            Some(State::Reserved | State::Sent) => None,
            Some(State::NeverTaken) | None => Some(Evidence::NeverTaken { order: id.clone() }),
            Some(State::NotInFlight { since }) => {
                let report = report.filter(|report| report.is_after(*since))?;
                Some(Evidence::NotInFlight {
                    order: id.clone(),
                    after: ReportPosition::of(&report.load),
                })
            }
        }
    }

    fn set(&mut self, id: &order::Id, state: State) {
        self.orders.insert(id.clone(), state);
    }
}
