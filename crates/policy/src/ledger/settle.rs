//! Settling orders by evidence, never by time.
//!
//! A lost order and a late one look the same from outside, so silence settles nothing. Each order
//! is sent once at most, which leaves these ways to know that it can't arrive any more:
//!
//! - the engine lists it among the orders it took: it has arrived, and the same report shows its
//!   effect;
//! - its sender knows that the engine never took it and never will: it was refused, or no byte of
//!   it was sent;
//! - its sender knows that nothing of it is in flight, or the sender is gone for good. Whether it
//!   took effect is then shown by any report taken afterwards, and the word names the first such
//!   report.
//!
//! Reports lag and arrive out of order; one that is older than the last one applied is dropped.

use types::prelude::*;

use super::{Entry, Ledger, ReportPosition};

/// Something known about a server's orders.
#[derive(Clone, Debug)]
pub enum Evidence<'a> {
    /// A load report.
    Report(&'a report::Load),
    /// The engine did not take the order and never will.
    NeverTaken {
        /// The order.
        order: order::Id,
    },
    /// Nothing of the order is in flight, by its sender's word.
    NotInFlight {
        /// The order.
        order: order::Id,
        /// The first report that is known to have been taken afterwards.
        after: ReportPosition,
    },
    /// A host's process is gone for good, and nothing that it sent is in flight.
    SenderGone {
        /// The host.
        sender: host::Id,
        /// Its last run that is gone.
        incarnation: host::Incarnation,
        /// The first report that is known to have been taken afterwards.
        after: ReportPosition,
    },
}

/// How an order was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// The engine reported that it took it.
    Taken,
    /// The engine never took it.
    NeverTaken,
    /// Nothing of it is in flight; the reports show what came of it.
    NotInFlight,
}

/// An order that was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The order as it stood in the ledger.
    pub entry: Entry,
    /// How it was settled.
    pub how: How,
}

/// Outcome of looking at evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The ledger to write by conditional update, if it differs.
    pub ledger: Ledger,
    /// What was settled.
    pub settled: Vec<Settled>,
}

impl Ledger {
    /// Takes in evidence.
    pub fn settle(&self, evidence: &[Evidence<'_>]) -> Outcome {
        let mut outcome = Outcome { ledger: self.clone(), settled: Vec::new() };
        for piece in evidence {
            match piece {
                Evidence::Report(load) => outcome.report(load),
                Evidence::NeverTaken { order } => {
                    outcome.settle_where(How::NeverTaken, |entry| entry.order.id == *order);
                }
                Evidence::NotInFlight { order, after } => {
                    outcome.mark_not_in_flight(*after, |entry| entry.order.id == *order);
                }
                Evidence::SenderGone { sender, incarnation, after } => {
                    outcome.mark_not_in_flight(*after, |entry| {
                        entry.order.sender == *sender && entry.order.incarnation <= *incarnation
                    });
                }
            }
        }
        outcome
    }
}

impl Outcome {
    /// Whether a planner would decide otherwise by the ledger than by the one `before`, so that
    /// writing it is worth a call. Reports come many times a second and mostly say the same.
    pub fn affects_planning(&self, before: &Ledger) -> bool {
        let superseded = |ledger: &Ledger| -> Vec<bool> {
            ledger.orders.iter().map(|entry| ledger.is_superseded(entry)).collect()
        };
        self.ledger.orders != before.orders
            || self.ledger.residents != before.residents
            || self.ledger.capacity != before.capacity
            || self.ledger.fenced != before.fenced
            || self.ledger.mark.incarnation != before.mark.incarnation
            || superseded(&self.ledger) != superseded(before)
    }

    fn report(&mut self, load: &report::Load) {
        let mark = ReportPosition::of(load);
        if mark < self.ledger.mark || load.server != self.ledger.server {
            return;
        }
        self.ledger.mark = mark;
        self.ledger.capacity = load.capacity;
        self.ledger.fenced = load.fenced;
        self.ledger.seen = load.fence;
        self.ledger.fence = self.ledger.fence.max(load.fence);
        self.ledger.residents = load.residents.clone();
        self.settle_where(How::Taken, |entry| load.orders.contains(&entry.order.id));
        self.settle_shown();
    }

    fn mark_not_in_flight(&mut self, after: ReportPosition, applies: impl Fn(&Entry) -> bool) {
        let entries = self.ledger.orders.iter_mut();
        entries
            .filter(|entry| entry.quiet.is_none() && applies(entry))
            .for_each(|entry| entry.quiet = Some(after));
        self.settle_shown();
    }

    /// Drops the orders whose effect the last report shows.
    fn settle_shown(&mut self) {
        let mark = self.ledger.mark;
        self.settle_where(How::NotInFlight, |entry| entry.quiet.is_some_and(|after| after <= mark));
    }

    fn settle_where(&mut self, how: How, applies: impl Fn(&Entry) -> bool) {
        let gone = self.ledger.orders.extract_if(.., |entry| applies(entry));
        self.settled.extend(gone.map(|entry| Settled { entry, how }));
    }
}
