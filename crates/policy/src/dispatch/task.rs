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
const MORE_TRIES: u32 = 3;

/// Where a request stands.
#[derive(Clone, Debug)]
pub enum State {
    /// Between two decisions.
    Idle,
    /// In the queue until it is given up.
    Waiting(Key, Moment),
    /// At a server.
    Flying(Flight),
}

/// An attempt at a server.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The server's number.
    pub server: Index,
    /// The server.
    pub id: backend::Id,
    /// When it was sent.
    pub sent: Moment,
    /// Expected time to the first byte at a server of the usual speed; milliseconds.
    pub usual: f64,
    /// The part of it that comes from other work and the prompt.
    pub work: f64,
    /// The part of that which is a wait for a place.
    pub queue: f64,
    /// Expected time to the first byte at this one.
    pub expected: f64,
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
    Open,
    /// Nothing, for too long.
    Overdue,
    /// The first byte.
    Begun,
}

/// Whether an attempt is to leave its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// The attempt stays with its server.
    No,
    /// The attempt is to leave, but no other server was found at this time.
    Sought(Moment),
    /// The attempt was told to leave.
    Told,
}

/// A request of this host.
#[derive(Clone, Debug)]
pub struct Task {
    /// What it asks.
    pub ask: RequestSpec,
    /// Its service.
    pub service: Index,
    /// Its model.
    pub model: Option<Index>,
    /// When it came.
    pub arrived: Moment,
    /// When it is late.
    pub due: Moment,
    /// Digests of the beginnings of its prompt, with their length in tokens.
    pub chain: Vec<(u64, u32)>,
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
    pub fn new(ask: RequestSpec, service: Index, model: Option<Index>, now: Moment) -> Task {
        let chain = chain(&ask, model);
        let due = now + ask.goal;
        let state = State::Idle;
        Task {
            ask,
            service,
            model,
            arrived: now,
            due,
            chain,
            has_arrived: false,
            payment: None,
            runs: 0,
            tries: 0,
            state,
        }
    }

    /// Prompt tokens.
    pub fn input(&self) -> u32 {
        self.ask.input.max(self.chain.last().map_or(0, |(_, tokens)| *tokens))
    }

    /// KV memory that it fills, in tokens.
    pub fn memory(&self) -> u32 {
        match self.model {
            Some(_) => self.input().saturating_add(self.ask.output),
            None => 0,
        }
    }

    /// Time that its caller gives it, from its arrival.
    pub fn patience(&self) -> Duration {
        self.leaves().saturating_sub(self.arrived)
    }

    /// When its caller leaves if nothing comes. Callers of streams bear a silence that is much shorter
    /// than their deadline: what is held beyond it is answered to nobody, while a refusal in time
    /// brings the caller back. Waits bounded by the deadline alone left 78 of a busy minute's 9,117
    /// requests, at nine hosts before 21 servers, waiting until their callers had gone; 1 with this.
    pub fn leaves(&self) -> Moment {
        let silence = self.ask.silence.filter(|_| self.ask.resume.is_none());
        let leaves = silence.map_or(self.ask.deadline, |silence| self.arrived + silence);
        leaves.min(self.ask.deadline)
    }

    /// An attempt at a server has ended.
    pub fn tried(&mut self, server: &backend::Id, end: End) {
        self.tries += 1;
        self.runs += match end {
            End::NotRun(_) | End::Unreachable(_) => 0,
            End::Completed | End::ServerError | End::Unclear(_) | End::Cancelled => 1,
        };
        if !matches!(end, End::NotRun(NotRun::Full) | End::Unreachable(Unreachable::Closed)) {
            self.ask.avoid.push(server.clone());
        }
    }

    /// Whether another server may still be tried.
    pub fn has_tries(&self) -> bool {
        self.runs < self.ask.attempts && self.tries < self.ask.attempts + MORE_TRIES
    }

    /// Whether another server may be tried if this attempt may have run.
    pub fn has_another_try(&self) -> bool {
        self.runs + 1 < self.ask.attempts
    }

    /// How much depends on its retry.
    pub fn need(&self) -> Need {
        if self.ask.resume.is_some() { Need::Great } else { Need::Usual }
    }

    /// A number by which like requests differ, the same for each look.
    pub fn seed(&self) -> u64 {
        mixed(self.ask.ticket ^ self.ask.fingerprint.rotate_left(17))
    }
}

/// Digests of the beginnings of a prompt on its model and adapter, the shortest first.
fn chain(ask: &RequestSpec, model: Option<Index>) -> Vec<(u64, u32)> {
    let Some(model) = model else { return Vec::new() };
    let adapter = ask.adapter.as_deref().unwrap_or_default();
    let seed = adapter.bytes().fold(u64::from(model), |seed, byte| mixed(seed ^ u64::from(byte)));
    let parts = ask.prompt.iter().scan((seed, 0_u32), |(digest, length), (id, tokens)| {
        *digest = mixed(*digest ^ mixed(*id));
        *length = length.saturating_add(*tokens);
        Some((*digest, *length))
    });
    parts.collect()
}
