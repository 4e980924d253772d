//! What may happen next, in words for a trace.

use std::fmt::{self, Display};

/// A step.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller sends the key to a host.
    Send(usize),
    /// A host decides and may call the object API.
    Decide(usize),
    /// A call reaches the object API.
    Arrive(String),
    /// An answer reaches its host.
    Return(String),
    /// A call or an answer is lost.
    Lose(String),
    /// A host stops waiting for a call that still arrives later.
    TimeOut(String),
    /// A host dispatches a granted request.
    Dispatch(usize),
    /// A dispatched request's answer reaches its host.
    Finish(usize),
    /// A dispatched request's answer is lost.
    LoseOutcome(usize),
    /// A host crashes and starts again.
    Crash(usize),
    /// Time passes.
    Jump,
}

impl Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Send(host) => write!(f, "a caller sends the key to host {host}"),
            Step::Decide(host) => write!(f, "host {host} decides, and calls the object API if due"),
            Step::Arrive(call) => write!(f, "{call} reaches the object API"),
            Step::Return(call) => write!(f, "the answer to {call} reaches its host"),
            Step::Lose(call) => write!(f, "{call} or its answer is lost"),
            Step::TimeOut(call) => write!(f, "the host stops waiting for {call}"),
            Step::Dispatch(host) => write!(f, "host {host} dispatches a request"),
            Step::Finish(host) => write!(f, "host {host} gets a request's answer"),
            Step::LoseOutcome(host) => write!(f, "host {host} loses a request's answer"),
            Step::Crash(host) => write!(f, "host {host} crashes and starts again"),
            Step::Jump => write!(f, "time passes"),
        }
    }
}
