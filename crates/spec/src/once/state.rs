//! State of the claim model: the object, the hosts, the pending calls and the sends.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
    time::Duration,
};

use policy::once::{Call, Document, HostRun, Range, Read, Written};
use types::request;

/// A state of the object, the hosts, the pending calls and the sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) version: u64,
    pub(super) stored: Option<Document>,
    pub(super) hosts: Vec<Host>,
    pub(super) calls: Vec<PendingCall>,
    pub(super) sends: Vec<Send>,
    /// Number of times that a host has dispatched the key.
    pub(super) runs: u8,
    /// Whether a send that came after a run was answered "did not run".
    pub(super) has_false_answer: bool,
    pub(super) crashes: u8,
    pub(super) losses: u8,
    pub(super) jumps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Host {
    pub(super) run: HostRun,
    pub(super) range: Range,
    /// Granted requests that are not dispatched yet, with the time at which each grant expires.
    pub(super) granted: BTreeMap<request::Id, Duration>,
    /// Requests that are dispatched and whose answer has not reached the host.
    pub(super) dispatched: BTreeSet<request::Id>,
}

/// A call to the object API of which a message is in transit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingCall {
    pub(super) run: HostRun,
    pub(super) message: Message,
    /// Whether the host still waits for the answer; it stops at a time-out or a crash.
    pub(super) is_awaited: bool,
}

impl Display for PendingCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let call = match &self.message {
            Message::Call(Call::Read) | Message::Read(_) => "read",
            Message::Call(Call::Create(_) | Call::Update(..)) | Message::Written(_) => "write",
        };
        let late = if self.is_awaited { "" } else { "late " };
        write!(f, "the {late}{call} of {} run {}", self.run.host, self.run.incarnation)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    Call(Call),
    Read(Read),
    Written(Written),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Send {
    pub(super) host: usize,
    /// Whether the key had been dispatched before this send.
    pub(super) after_run: bool,
    pub(super) is_answered: bool,
}
