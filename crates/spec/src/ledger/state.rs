//! States of the system, small enough to keep millions of them.

use super::convert::MEMORY;

/// Planners.
pub(super) const PLANNERS: usize = 2;

/// Room for orders.
pub(super) const MAX_ORDERS: usize = 4;

/// A state of the whole system.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The ledger in the object API, by number.
    pub(super) ledger: u32,
    pub(super) planners: [Planner; PLANNERS],
    pub(super) orders: Vec<Order>,
    pub(super) engine: Engine,
    /// A report that was read and not taken in yet, and by whom.
    pub(super) report: Option<(u8, Report)>,
    pub(super) deaths: u8,
    pub(super) lost_answers: u8,
}

/// A planner's process.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Planner {
    pub(super) incarnation: u8,
    pub(super) activity: Activity,
    /// A write that may still take effect although its writer has no answer.
    pub(super) delayed: Option<Write>,
}

/// What a planner is in the middle of.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Activity {
    Idle,
    /// It wrote, and the answer was lost.
    Unconfirmed(Write),
}

/// A conditional update that reserves for an order.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Write {
    pub(super) base: u32,
    pub(super) next: u32,
    pub(super) order: u8,
}

/// What a planner knew when it read a report, and the report.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Report {
    pub(super) engine: Engine,
    /// Orders of its own that were quiet before it asked, a bit each.
    pub(super) not_in_flight: u8,
    /// Last run of each planner that was gone before it asked.
    pub(super) gone: [u8; PLANNERS],
}

/// An order.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Order {
    pub(super) planner: u8,
    pub(super) incarnation: u8,
    pub(super) fence: u8,
    pub(super) action: Action,
    pub(super) phase: Phase,
}

/// What an order tells the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Action {
    Load(u8),
    Unload(u8),
}

/// Where an order is, in truth.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Its reservation was written, without an answer.
    Unconfirmed,
    /// Reserved, and in its sender's hand.
    Reserved,
    /// On its way.
    InFlight,
    /// Taken or refused; the answer is on its way.
    Received { taken: bool },
    /// Nothing of it is in flight: its sender has the answer that it was taken, or closed the
    /// connection and the linger time has passed, or its sender died and nothing is on its way.
    NotInFlight,
    /// It was never sent or was refused, and its sender knows.
    NeverTaken,
    /// Quiet or never, and settled: nothing is left of it.
    Settled,
}

/// The engine, in truth.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    pub(super) incarnation: u8,
    /// Changes in this run.
    pub(super) sequence: u8,
    /// Highest fencing number seen in this run.
    pub(super) fence: u8,
    /// Orders taken in this run, a bit each.
    pub(super) taken: u8,
    /// Units in memory, a bit each.
    pub(super) residents: u8,
}

/// What the engine does with fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fencing {
    /// Refuses an old one.
    Refuses,
    /// Takes any, and reports the highest.
    Reports,
    /// Takes any, and reports none.
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

    /// Whether nobody is in the middle of anything.
    pub(super) fn is_idle(&self) -> bool {
        let is_idle =
            |planner: &Planner| planner.activity == Activity::Idle && planner.delayed.is_none();
        self.report.is_none()
            && self.planners.iter().all(is_idle)
            && self.orders.iter().all(|order| order.phase == Phase::Settled)
    }

    /// Whether the process that planned this order still runs.
    pub(super) fn is_alive(&self, order: &Order) -> bool {
        self.planners[usize::from(order.planner)].incarnation == order.incarnation
    }
}

impl Order {
    /// An order of which nothing is left.
    pub(super) const SETTLED: Order = Order {
        planner: 0,
        incarnation: 0,
        fence: 0,
        action: Action::Unload(0),
        phase: Phase::Settled,
    };
}

impl Phase {
    /// Whether nothing of the order is anywhere on its way.
    pub(super) fn has_no_messages(self) -> bool {
        matches!(self, Phase::NotInFlight | Phase::NeverTaken | Phase::Settled)
    }
}

impl Engine {
    /// An engine with this many units in memory.
    pub(super) fn start(residents: u8) -> Engine {
        let residents = (1 << residents) - 1;
        Engine { incarnation: 1, sequence: 1, fence: 0, taken: 0, residents }
    }

    /// Memory that is taken, in MiB.
    pub(super) fn memory(&self) -> u64 {
        u64::from(self.residents.count_ones()) * MEMORY
    }

    /// Takes or refuses an order; whether it was taken.
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

    /// Starts again with empty memory, and without the fencing number.
    pub(super) fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Engine { incarnation, sequence: 1, fence: 0, taken: 0, residents: 0 };
    }
}
