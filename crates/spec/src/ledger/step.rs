//! Steps of the ledger model, and their texts in traces.

use std::fmt;

use super::{convert, state::Action};

/// A step of a planner, an order or the engine, with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A planner reads the ledger, plans an order and reserves memory for it by conditional update.
    Reserve {
        /// Index of the planner.
        planner: usize,
        /// Number of the order.
        order: usize,
        /// Whether the order loads the unit; otherwise it unloads it.
        loads: bool,
        /// Number of the unit.
        unit: u8,
        /// Outcome of the write to the ledger.
        write: Write,
    },
    /// A planner that got no answer finds the ledger unchanged, and repeats its write.
    WriteAgain(usize),
    /// A delayed write reaches the object API, and takes effect if its condition holds.
    WriteArrives(usize),
    /// A planner that got no answer reads the ledger to find out whether its write took effect.
    ReadBack(usize),
    /// A planner sends an order whose reservation is confirmed.
    Send(usize),
    /// A planner decides not to send an order whose reservation is confirmed.
    Withdraw(usize),
    /// An order arrives at the engine.
    Arrive {
        /// Number of the order.
        order: usize,
        /// Whether the engine accepted it.
        taken: bool,
    },
    /// The sender gets the engine's answer.
    Answer(usize),
    /// The connection has been closed for the linger time, so no message is left in transit.
    Expire(usize),
    /// A planner reads a report.
    Read(usize),
    /// A planner settles orders by the report that it read before.
    Settle(usize),
    /// A planner reads a report and settles orders by it in the same step.
    ReadAndSettle(usize),
    /// A planner dies and restarts with the next incarnation number.
    Die(usize),
    /// The engine restarts with empty memory and without its fencing token.
    Restart,
}

/// Outcome of a write to the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// The write takes effect and the answer arrives.
    Answered,
    /// The write takes effect, but the answer is lost.
    AnswerLost,
    /// The write may take effect later, and no answer arrives.
    Delayed,
}

impl Step {
    pub(super) fn reserve(planner: usize, order: usize, action: Action, write: Write) -> Step {
        match action {
            Action::Load(unit) => Step::Reserve { planner, order, loads: true, unit, write },
            Action::Unload(unit) => Step::Reserve { planner, order, loads: false, unit, write },
        }
    }

    /// Whether the step still happens once faults have stopped and no new order is planned.
    pub(super) fn is_progress(&self) -> bool {
        match self {
            Step::WriteAgain(_)
            | Step::WriteArrives(_)
            | Step::ReadBack(_)
            | Step::Send(_)
            | Step::Arrive { .. }
            | Step::Answer(_)
            | Step::Expire(_)
            | Step::Settle(_)
            | Step::ReadAndSettle(_) => true,
            Step::Reserve { .. }
            | Step::Withdraw(_)
            | Step::Read(_)
            | Step::Die(_)
            | Step::Restart => false,
        }
    }
}

impl fmt::Display for Write {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Write::Answered => "written",
            Write::AnswerLost => "written, but the answer is lost",
            Write::Delayed => "the write is delayed and has no answer",
        })
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Step::Reserve { planner, order, loads, unit, write } => {
                let verb = if loads { "load" } else { "unload" };
                let unit = convert::NAMES[usize::from(unit)];
                write!(
                    f,
                    "planner {planner} reserves memory for order {order}, {verb} {unit}: {write}"
                )
            }
            Step::WriteAgain(planner) => write!(f, "planner {planner} repeats its write"),
            Step::WriteArrives(planner) => write!(f, "planner {planner}'s delayed write arrives"),
            Step::ReadBack(planner) => write!(f, "planner {planner} reads the ledger back"),
            Step::Send(order) => write!(f, "order {order} is sent"),
            Step::Withdraw(order) => write!(f, "order {order} is withdrawn before it is sent"),
            Step::Arrive { order, taken: true } => write!(f, "order {order} arrives, is accepted"),
            Step::Arrive { order, taken: false } => write!(f, "order {order} arrives, is refused"),
            Step::Answer(order) => write!(f, "order {order}'s sender gets the answer"),
            Step::Expire(order) => {
                write!(f, "order {order}'s connection is closed, the linger time passes")
            }
            Step::Read(planner) => write!(f, "planner {planner} reads a report"),
            Step::Settle(planner) => write!(f, "planner {planner} settles orders by its report"),
            Step::ReadAndSettle(planner) => {
                write!(f, "planner {planner} reads a report and settles orders by it")
            }
            Step::Die(planner) => write!(f, "planner {planner} dies and restarts"),
            Step::Restart => write!(f, "the engine restarts with empty memory"),
        }
    }
}
