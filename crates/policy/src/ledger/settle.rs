//! Settlement of orders by evidence, never by time.
//!
//! A lost order and a late one are indistinguishable from outside, so a missing answer settles
//! nothing. Each order is sent at most once, which leaves three ways to know that it can't arrive
//! any more:
//!
//! - the engine lists it among the orders that it took: it has arrived, and the same report shows
//!   its effect;
//! - its sender knows that the engine never took it and never will: it was rejected, or no byte of
//!   it was sent;
//! - its sender knows that nothing of it is in flight, or the sender is gone for good. Any report
//!   taken afterwards then shows whether it took effect, and the evidence names the first such
//!   report.
//!
//! Reports lag and arrive out of order; one that is older than the last one applied is dropped.

use types::prelude::*;

use super::{Entry, Ledger, ReportPosition};

/// Evidence about a server's orders.
#[derive(Clone, Debug)]
pub enum Evidence<'a> {
    /// Load report of the server.
    Report(&'a report::Load),
    /// The engine did not take the order and never will.
    NeverTaken {
        /// Name of the order.
        order: order::Id,
    },
    /// Nothing of the order is in flight, as its sender states.
    NotInFlight {
        /// Name of the order.
        order: order::Id,
        /// First report known to have been taken afterwards.
        after: ReportPosition,
    },
    /// A host's process is gone for good, and nothing that it sent is in flight.
    SenderGone {
        /// Host that is gone.
        sender: host::Id,
        /// Last incarnation of the host that is gone.
        incarnation: host::Incarnation,
        /// First report known to have been taken afterwards.
        after: ReportPosition,
    },
}

/// Way in which an order was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The engine reported that it took the order.
    Taken,
    /// The engine never took the order.
    NeverTaken,
    /// Nothing of the order is in flight, and a later report shows its effect or that it had none.
    NotInFlight,
}

/// Order that evidence has settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledOrder {
    /// Order as it was in the ledger.
    pub entry: Entry,
    /// Way in which the order was settled.
    pub settlement: Settlement,
}

/// Result of applying evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Ledger to write by conditional update, if it differs.
    pub ledger: Ledger,
    /// Orders that were settled.
    pub settled: Vec<SettledOrder>,
}

impl Ledger {
    /// Applies evidence to the ledger.
    pub fn settle(&self, evidence: &[Evidence<'_>]) -> Outcome {
        let mut outcome = Outcome { ledger: self.clone(), settled: Vec::new() };
        for piece in evidence {
            match piece {
                Evidence::Report(load) => outcome.report(load),
                Evidence::NeverTaken { order } => {
                    outcome.settle_where(Settlement::NeverTaken, |entry| entry.order.id == *order);
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
    /// Returns whether a planner would decide differently by this ledger than by `before`, so that
    /// writing it is worth a call. Reports arrive many times a second and mostly repeat the same
    /// state.
    pub fn affects_planning(&self, before: &Ledger) -> bool {
        let superseded = |ledger: &Ledger| -> Vec<bool> {
            ledger.orders.iter().map(|entry| ledger.is_superseded(entry)).collect()
        };
        self.ledger.orders != before.orders
            || self.ledger.residents != before.residents
            || self.ledger.capacity != before.capacity
            || self.ledger.fenced != before.fenced
            || self.ledger.last_report.incarnation != before.last_report.incarnation
            || superseded(&self.ledger) != superseded(before)
    }

    fn report(&mut self, load: &report::Load) {
        let position = ReportPosition::of(load);
        if position < self.ledger.last_report || load.server != self.ledger.server {
            return;
        }
        self.ledger.last_report = position;
        self.ledger.capacity = load.capacity;
        self.ledger.fenced = load.fenced;
        self.ledger.seen_fence = load.fence;
        self.ledger.fence = self.ledger.fence.max(load.fence);
        self.ledger.residents = load.residents.clone();
        self.settle_where(Settlement::Taken, |entry| load.orders.contains(&entry.order.id));
        self.settle_shown();
    }

    fn mark_not_in_flight(&mut self, after: ReportPosition, applies: impl Fn(&Entry) -> bool) {
        let entries = self.ledger.orders.iter_mut();
        entries
            .filter(|entry| entry.conclusive_from.is_none() && applies(entry))
            .for_each(|entry| entry.conclusive_from = Some(after));
        self.settle_shown();
    }

    /// Settles the orders whose effect the last report shows.
    fn settle_shown(&mut self) {
        let last_report = self.ledger.last_report;
        self.settle_where(Settlement::NotInFlight, |entry| {
            entry.conclusive_from.is_some_and(|after| after <= last_report)
        });
    }

    fn settle_where(&mut self, settlement: Settlement, applies: impl Fn(&Entry) -> bool) {
        let settled = self.ledger.orders.extract_if(.., |entry| applies(entry));
        self.settled.extend(settled.map(|entry| SettledOrder { entry, settlement }));
    }
}
