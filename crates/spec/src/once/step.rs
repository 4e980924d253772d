//! Steps of the claim model, and their texts in traces.

use std::fmt::{self, Display};

/// A step of a caller, a host, a call or time, with the index of the host or the text of the call.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller sends a request with the key to a host.
    Send(usize),
    /// A host decides on its claims, and may call the object API.
    Decide(usize),
    /// A call reaches the object API.
    Arrive(String),
    /// An answer of the object API reaches its host.
    Return(String),
    /// A call to the object API or its answer is lost.
    Lose(String),
    /// A host stops waiting for a call, which may still arrive later.
    TimeOut(String),
    /// A host dispatches a granted request, or releases it if the grant has expired.
    Dispatch(usize),
    /// The answer to a dispatched request reaches its host.
    Finish(usize),
    /// The answer to a dispatched request is lost.
    LoseOutcome(usize),
    /// A host crashes and restarts with the next incarnation number.
    Crash(usize),
    /// Time advances by one jump.
    Jump,
}

impl Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Send(host) => write!(f, "a caller sends a request with the key to host {host}"),
            Step::Decide(host) => {
                write!(f, "host {host} decides, and calls the object API if needed")
            }
            Step::Arrive(call) => write!(f, "{call} reaches the object API"),
            Step::Return(call) => write!(f, "the answer to {call} reaches its host"),
            Step::Lose(call) => write!(f, "{call} or its answer is lost"),
            Step::TimeOut(call) => write!(f, "the host stops waiting for {call}"),
            Step::Dispatch(host) => {
                write!(f, "host {host} dispatches or releases a granted request")
            }
            Step::Finish(host) => write!(f, "host {host} gets the answer to a request"),
            Step::LoseOutcome(host) => write!(f, "the answer to a request of host {host} is lost"),
            Step::Crash(host) => write!(f, "host {host} crashes and restarts"),
            Step::Jump => write!(f, "time advances"),
        }
    }
}
