//! States of the ledger model, kept small since an exploration stores millions of them.

use super::convert::MEMORY;

pub(super) const PLANNERS: usize = 2;

/// Highest [`Bounds::orders`](super::Bounds::orders); a bit set of orders is a `u8`.
pub(super) const MAX_ORDERS: usize = 4;

/// A state of the ledger, the planners, the orders and the engine.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Number of the interned ledger that the object API holds.
    pub(super) ledger: u32,
    pub(super) planners: [Planner; PLANNERS],
    pub(super) orders: Vec<Order>,
    pub(super) engine: Engine,
    /// A report that was read and not applied yet, with the planner that read it.
    pub(super) report: Option<(u8, Report)>,
    pub(super) deaths: u8,
    pub(super) lost_answers: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Planner {
    pub(super) incarnation: u8,
    pub(super) activity: Activity,
    /// A write without an answer that may still take effect.
    pub(super) delayed: Option<Write>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Activity {
    Idle,
    /// The answer to this write was lost.
    Unconfirmed(Write),
}

/// A conditional update of the ledger that reserves memory for an order.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Write {
    pub(super) base: u32,
    pub(super) next: u32,
    pub(super) order: u8,
}

/// A report of the engine, with the evidence that its reader had before it asked for it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Report {
    pub(super) engine: Engine,
    /// Bit set of the reader's own orders of which no message was in transit.
    pub(super) not_in_flight: u8,
    /// For each planner, its last run that had ended with no message left in transit.
    pub(super) gone: [u8; PLANNERS],
}

/// An order that a planner has written to the ledger, or tried to.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Order {
    pub(super) planner: u8,
    pub(super) incarnation: u8,
    pub(super) fence: u8,
    pub(super) action: Action,
    pub(super) phase: Phase,
}

/// Loads or unloads the unit with this number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Action {
    Load(u8),
    Unload(u8),
}

/// Actual progress of an order, of which planners may know less.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The reservation was sent to the object API, but its answer has not arrived.
    Unconfirmed,
    /// The sender knows that the reservation was written, and has not sent the order yet.
    Reserved,
    /// Sent and not received yet.
    InFlight,
    /// Accepted or refused by the engine; the answer is in transit.
    Received { taken: bool },
    /// No message of the order is in transit: its sender has the answer that it was accepted, or
    /// closed the connection and waited for the linger time, or died and no message is left.
    NotInFlight,
    /// The order was never sent or was refused, and its sender knows so.
    NeverTaken,
    /// The order is no longer in the ledger, and no message of it is in transit.
    Settled,
}

/// Actual state of the engine.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    pub(super) incarnation: u8,
    /// Sequence number of its report, raised with each order accepted in this run.
    pub(super) sequence: u8,
    /// Highest fencing token received in this run.
    pub(super) fence: u8,
    /// Bit set of the orders accepted in this run.
    pub(super) taken: u8,
    /// Bit set of the units in memory.
    pub(super) residents: u8,
}

/// The engine's handling of fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fencing {
    /// Refuses an order with a lower fencing token than the highest received.
    Refuses,
    /// Accepts any fencing token, and reports the highest received.
    Reports,
    /// Accepts any fencing token, and reports zero.
    Ignores,
}

impl State {
    pub(super) fn start(engine: Engine, ledger: u32) -> State {
        let planner = Planner { incarnation: 1, activity: Activity::Idle, delayed: None };
        State {
            ledger,
            planners: [planner; PLANNERS],
            orders: Vec::new(),
            engine,
            report: None,
            deaths: 0,
            lost_answers: 0,
        }
    }

    /// Whether no planner has unfinished work and every order is settled.
    pub(super) fn is_idle(&self) -> bool {
        let is_idle =
            |planner: &Planner| planner.activity == Activity::Idle && planner.delayed.is_none();
        self.report.is_none()
            && self.planners.iter().all(is_idle)
            && self.orders.iter().all(|order| order.phase == Phase::Settled)
    }

    /// Whether the run of the planner that planned this order has not ended.
    pub(super) fn is_alive(&self, order: &Order) -> bool {
        self.planners[usize::from(order.planner)].incarnation == order.incarnation
    }
}

impl Order {
    /// Placeholder for a settled order, the same for all, which merges equivalent states.
    pub(super) const SETTLED: Order = Order {
        planner: 0,
        incarnation: 0,
        fence: 0,
        action: Action::Unload(0),
        phase: Phase::Settled,
    };
}

impl Phase {
    /// Whether no message of the order is in transit or will be sent.
    pub(super) fn has_no_messages(self) -> bool {
        matches!(self, Phase::NotInFlight | Phase::NeverTaken | Phase::Settled)
    }
}

impl Engine {
    /// An engine in its first run, with this many units in memory.
    pub(super) fn start(residents: u8) -> Engine {
        let residents = (1 << residents) - 1;
        Engine { incarnation: 1, sequence: 1, fence: 0, taken: 0, residents }
    }

    /// Memory in use, in MiB.
    pub(super) fn memory(&self) -> u64 {
        u64::from(self.residents.count_ones()) * MEMORY
    }

    /// Accepts or refuses an order; returns whether it was accepted.
    pub(super) fn receive(&mut self, fencing: Fencing, number: usize, order: &Order) -> bool {
        match fencing {
            Fencing::Refuses if order.fence < self.fence => return false,
            Fencing::Refuses | Fencing::Reports => self.fence = self.fence.max(order.fence),
            Fencing::Ignores => {}
        }
        self.sequence += 1;
        self.taken |= 1 << number;
        match order.action {
            Action::Load(unit) => self.residents |= 1 << unit,
            Action::Unload(unit) => self.residents &= !(1 << unit),
        }
        true
    }

    /// Begins a new run with empty memory and without the fencing token.
    pub(super) fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Engine { incarnation, sequence: 1, fence: 0, taken: 0, residents: 0 };
    }
}
