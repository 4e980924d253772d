//! Steps of the system, in the words of a trace.

use std::fmt;

use super::{convert, state::Action};

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A planner reads the ledger, plans an order and reserves for it by conditional update.
    Reserve {
        /// The planner.
        planner: usize,
        /// Number of the order.
        order: usize,
        /// Whether it loads, rather than unloads.
        loads: bool,
        /// The unit.
        unit: u8,
        /// What becomes of the write.
        write: Write,
    },
    /// A planner that had no answer writes the same again.
    WriteAgain(usize),
    /// A delayed write takes effect.
    WriteArrives(usize),
    /// A planner that had no answer reads the ledger back.
    ReadBack(usize),
    /// An order is sent.
    Send(usize),
    /// A planner decides not to send an order.
    Withdraw(usize),
    /// An order arrives at the engine.
    Arrive {
        /// Number of the order.
        order: usize,
        /// Whether the engine took it.
        taken: bool,
    },
    /// The sender gets the engine's answer.
    Answer(usize),
    /// The connection has been closed for the linger time: what was on its way is gone.
    Expire(usize),
    /// A planner reads a report.
    Read(usize),
    /// A planner settles by the report that it read.
    Settle(usize),
    /// A planner reads a report and settles by it at once.
    ReadAndSettle(usize),
    /// A planner dies, and starts again.
    Die(usize),
    /// The engine restarts with empty memory.
    Restart,
}

/// What becomes of a write to the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It has no effect yet; the answer is lost.
    Delayed,
}

impl Step {
    pub(super) fn reserve(planner: usize, order: usize, action: Action, write: Write) -> Step {
        match action {
            Action::Load(unit) => Step::Reserve { planner, order, loads: true, unit, write },
            Action::Unload(unit) => Step::Reserve { planner, order, loads: false, unit, write },
        }
    }

    /// Whether it happens by itself once faults have stopped and nobody plans anew.
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
                write!(f, "planner {planner} reserves for order {order}, {verb} {unit}: {write}")
            }
            Step::WriteAgain(planner) => write!(f, "planner {planner} writes again"),
            Step::WriteArrives(planner) => write!(f, "planner {planner}'s delayed write arrives"),
            Step::ReadBack(planner) => write!(f, "planner {planner} reads the ledger back"),
            Step::Send(order) => write!(f, "order {order} is sent"),
            Step::Withdraw(order) => write!(f, "order {order} is withdrawn, never sent"),
            Step::Arrive { order, taken: true } => write!(f, "order {order} arrives, is taken"),
            Step::Arrive { order, taken: false } => write!(f, "order {order} arrives, is refused"),
            Step::Answer(order) => write!(f, "order {order}'s sender gets the answer"),
            Step::Expire(order) => {
                write!(f, "order {order}'s connection is closed, the linger time passes")
            }
            Step::Read(planner) => write!(f, "planner {planner} reads a report"),
            Step::Settle(planner) => write!(f, "planner {planner} settles by its report"),
            Step::ReadAndSettle(planner) => {
                write!(f, "planner {planner} reads a report and settles by it")
            }
            Step::Die(planner) => write!(f, "planner {planner} dies and starts again"),
            Step::Restart => write!(f, "the engine restarts with empty memory"),
        }
    }
}
