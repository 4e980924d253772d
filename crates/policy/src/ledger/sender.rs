//! What one run of a host knows of the orders that it reserved, and the words it may give.
//!
//! An order is sent once at most. Its sender may say that it never left, or, once the exchange is
//! over, that nothing of it is in flight; an exchange that broke counts as over only when its
//! connection has been closed for the linger time. The word goes with a report that was taken
//! afterwards, by the sender's own clock: it was asked for later than that, by more than the age
//! that the report gives itself.
//!
//! An order under this run's name that it knows nothing of was reserved by a write whose answer
//! never came; it was never sent.

use std::collections::BTreeMap;

use types::{order::Ack, prelude::*};

use super::{Claim, Entry, Ledger, ReportPosition, settle::Evidence};

/// A load report with the time that it was asked for.
#[derive(Clone, Debug)]
pub struct TimedReport {
    /// When this host asked, by its own clock.
    pub asked: Moment,
    /// What the server said.
    pub load: report::Load,
}

impl TimedReport {
    /// Whether it shows the server later than `since`.
    pub fn is_after(&self, since: Moment) -> bool {
        self.asked.checked_sub(self.load.age).is_some_and(|taken| since < taken)
    }
}

/// Where an order is, as its sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Being reserved, or reserved and about to be sent.
    Reserved,
    /// Sent, and without an answer yet.
    Sent,
    /// Never sent, or refused.
    NeverTaken,
    /// Nothing of it is in flight from then on.
    NotInFlight { since: Moment },
}

/// What one run of a host knows of the orders that it reserved.
#[derive(Clone, Debug)]
pub struct Sender {
    host: host::Id,
    incarnation: host::Incarnation,
    linger: Duration,
    next: u64,
    orders: BTreeMap<order::Id, State>,
}

impl Sender {
    /// Knows of no order yet; nothing is in flight on a connection closed for `linger`.
    pub fn new(host: host::Id, incarnation: host::Incarnation, linger: Duration) -> Sender {
        Sender { host, incarnation, linger, next: 0, orders: BTreeMap::new() }
    }

    /// Names a new order and takes it in hand.
    pub fn claim(&mut self, cause: Arc<str>) -> Claim {
        let id: order::Id = format!("{}/{}/{}", self.host, self.incarnation, self.next).into();
        self.next += 1;
        self.orders.insert(id.clone(), State::Reserved);
        Claim { id, sender: self.host.clone(), incarnation: self.incarnation, cause }
    }

    /// The order is about to be sent.
    pub fn mark_sent(&mut self, id: &order::Id) {
        self.set(id, State::Sent);
    }

    /// The order was not sent and never will be.
    pub fn mark_not_sent(&mut self, id: &order::Id) {
        self.set(id, State::NeverTaken);
    }

    /// The engine answered.
    pub fn mark_answered(&mut self, now: Moment, id: &order::Id, ack: &Ack) {
        let state = match ack {
            Ack::Accepted => State::NotInFlight { since: now },
            Ack::Stale { .. } | Ack::Refused { .. } => State::NeverTaken,
        };
        self.set(id, state);
    }

    /// The exchange ended without an answer, and its connection is closed.
    pub fn mark_unanswered(&mut self, now: Moment, id: &order::Id) {
        self.set(id, State::NotInFlight { since: now + self.linger });
    }

    /// Whether the order was reserved by this run.
    pub fn owns(&self, entry: &Entry) -> bool {
        entry.order.sender == self.host && entry.order.incarnation == self.incarnation
    }

    /// Whether a report is wanted from this server, so that a word can be given.
    pub fn wants_report(&self, now: Moment, ledger: &Ledger) -> bool {
        let is_due = |entry: &Entry| match self.orders.get(&entry.order.id) {
            Some(State::NotInFlight { since }) => entry.quiet.is_none() && *since < now,
            Some(State::Reserved | State::Sent | State::NeverTaken) | None => false,
        };
        ledger.orders.iter().any(|entry| self.owns(entry) && is_due(entry))
    }

    /// What this run can say of its orders in a ledger that was read after this was last told of
    /// a new order.
    pub fn evidence(
        &self,
        ledger: &Ledger,
        report: Option<&TimedReport>,
    ) -> Vec<Evidence<'static>> {
        let own = ledger.orders.iter().filter(|entry| self.owns(entry));
        own.filter_map(|entry| self.evidence_for(&entry.order.id, report)).collect()
    }

    /// Whether it may have orders that are not settled.
    pub fn has_orders(&self) -> bool {
        !self.orders.is_empty()
    }

    /// Forgets orders that are over and stand in none of these ledgers, which are all there are.
    pub fn retain_in<'a>(&mut self, ledgers: impl IntoIterator<Item = &'a Ledger>) {
        let ledgers: Vec<&Ledger> = ledgers.into_iter().collect();
        let stands = |id: &order::Id| {
            let mut orders = ledgers.iter().flat_map(|ledger| &ledger.orders);
            orders.any(|entry| entry.order.id == *id)
        };
        self.orders.retain(|id, state| match state {
            State::Reserved | State::Sent => true,
            State::NeverTaken | State::NotInFlight { .. } => stands(id),
        });
    }

    /// Forgets an order that is settled, or that was never reserved.
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
