//! State of a request of this host, from its arrival to its end.

use types::prelude::*;

use super::{
    budget::{Need, Payment},
    mixed,
    queue::{Charge, Flow, Haste, Key},
    request::{End, NotRun, RequestSpec, Ticket, Unclear, Unreachable},
};
use crate::{defer::Deferral, paths::Path, route::Index, streams::SoftwareId};

/// Number of attempts beyond the limit of the route that a request may make if servers did not run
/// it, unless it waits for [`REJECTED_PAUSE`] between them.
const EXTRA_TRIES: u32 = 3;

/// Time from a rejection to the next attempt of a request that has no extra try left, and to the next
/// one at the same server of a stream that may return to servers. Each arrival counts as a retry.
const REJECTED_PAUSE: Duration = Duration::from_millis(500);

/// Time from the end of an attempt at a server to the next one there, while tries are left.
const RETURN_PAUSE: Duration = Duration::from_millis(150);

/// Where a request is.
#[derive(Clone, Debug)]
pub enum State {
    /// Between two decisions.
    Idle,
    /// In the queue until it is given up at this time.
    Waiting(Key, Moment),
    /// At a server.
    InFlight(Attempt),
}

/// An attempt at a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server's index, which may be reused for another server.
    pub server: Index,
    pub id: backend::Id,
    /// Version of the server's software, as registered when the request was sent.
    pub software: SoftwareId,
    /// When the request was sent.
    pub sent_at: Moment,
    /// Expected time to the first byte at a server of median speed, in milliseconds.
    pub baseline_ms: f64,
    /// The part of `baseline_ms` that other requests and the prompt cause.
    pub work_ms: f64,
    /// The part of `work_ms` that is the wait for a slot.
    pub queue_ms: f64,
    /// Expected time to the first byte at this server, in milliseconds.
    pub expected_ms: f64,
    /// The server's momentary factor, and its scale, when the request was sent.
    pub momentary: f64,
    pub scale: f64,
    /// Whether the server had just started when the request was sent.
    pub is_cold: bool,
    pub phase: Phase,
    /// When the first byte was received; valid in [`Phase::Responding`].
    pub began_at: Moment,
    /// Whether the answer went on beyond its beginning.
    pub is_sustained: bool,
    pub hedge: Hedge,
    /// Path of the connection that the request was sent on; `None` before it is sent.
    pub path: Option<Path>,
    /// When the request was sent, or something last arrived for it.
    pub heard_at: Moment,
    /// Whether the request is on a connection that a partition has broken.
    pub is_stranded: bool,
}

impl Attempt {
    /// Whether something was received for the request.
    pub fn has_begun(&self) -> bool {
        self.sent_at < self.heard_at
    }
}

/// How far the response to an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was received.
    Pending,
    /// Nothing was received for too long.
    Overdue,
    /// The first byte was received.
    Responding,
}

/// Whether another server is to get the request as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedge {
    /// The server is not considered unresponsive.
    No,
    /// Another server is to get the request, but none was found at this time.
    Seeking(Moment),
    /// The caller of the dispatcher was asked to hedge the request.
    Requested,
}

/// Another attempt of the request in flight, which has a task of its own.
#[derive(Clone, Debug)]
pub struct Rival {
    pub ticket: Ticket,
    pub server: backend::Id,
}

/// A server that the request was sent to in an attempt that has ended.
#[derive(Clone, Debug)]
pub struct Asked {
    server: backend::Id,
    ended_at: Moment,
    end: End,
}

impl Asked {
    pub fn server(&self) -> &backend::Id {
        &self.server
    }

    fn may_have_run(&self) -> bool {
        may_have_run(self.end)
    }
}

/// Whether the server of an attempt that ended so may have run the request.
fn may_have_run(end: End) -> bool {
    match end {
        End::NotRun(_) | End::Unreachable(_) => false,
        End::Completed | End::Closed | End::ServerError | End::Unclear(_) | End::Cancelled => true,
    }
}

/// A request of this host.
#[derive(Clone, Debug)]
pub struct Task {
    pub spec: RequestSpec,
    pub service: Index,
    pub model: Option<Index>,
    pub arrived_at: Moment,
    /// When the request becomes late.
    pub due: Moment,
    /// Digests of the prefixes of the prompt, with their length in tokens.
    pub prefixes: Vec<(u64, u32)>,
    /// Whether the request may have arrived at a server.
    pub has_arrived: bool,
    /// How the next arrival at a server was paid, if it was.
    pub payment: Option<Payment>,
    /// The request's other attempts in flight.
    pub rivals: Vec<Rival>,
    /// How the request may be deferred; `None` if it is urgent.
    pub deferral: Option<Deferral>,
    /// Servers that rejected the request, and when.
    pub declined: Vec<(backend::Id, Moment)>,
    /// Servers of the attempts that have ended, except those that had no place or had closed the
    /// connection before the request was sent.
    pub asked: Vec<Asked>,
    /// Whether the caller has a part of a stream that may be resumed, so that the request can't be
    /// refused any more, nor repeated by the caller without a loss.
    pub is_begun: bool,
    /// Number of servers that may have run the request in attempts that have ended.
    pub runs: u32,
    /// Number of ended attempts since the last event, including those that reached no server.
    pub tries: u32,
    /// No server gets the request before this time.
    pub paused_until: Moment,
    pub state: State,
}

impl Task {
    pub fn new(spec: RequestSpec, service: Index, model: Option<Index>, now: Moment) -> Task {
        let prefixes = prefixes(&spec, model);
        let due = now + spec.goal;
        let state = State::Idle;
        Task {
            spec,
            service,
            model,
            arrived_at: now,
            due,
            prefixes,
            has_arrived: false,
            payment: None,
            rivals: Vec::new(),
            deferral: None,
            declined: Vec::new(),
            asked: Vec::new(),
            is_begun: false,
            runs: 0,
            tries: 0,
            paused_until: Duration::ZERO,
            state,
        }
    }

    /// What the request waits for, and whether it is deferrable.
    pub fn flow(&self) -> Flow {
        let haste = if self.deferral.is_some() { Haste::Deferrable } else { Haste::Urgent };
        Flow { model: self.model, group: self.spec.customer.clone(), haste }
    }

    /// What the request takes of its customer's share.
    pub fn charge(&self) -> Charge {
        let tokens = u64::from(self.input()) + u64::from(self.spec.output);
        let cost = if self.model.is_some() { tokens.max(1) } else { 1 };
        Charge { cost, weight: self.spec.weight.max(1) }
    }

    /// Length of the prompt in tokens.
    pub fn input(&self) -> u32 {
        self.spec.input.max(self.prefixes.last().map_or(0, |(_, tokens)| *tokens))
    }

    /// KV memory that the request fills, in tokens.
    pub fn memory(&self) -> u32 {
        match self.model {
            Some(_) => self.input().saturating_add(self.spec.output),
            None => 0,
        }
    }

    /// Time from the arrival of the request until its caller leaves.
    pub fn caller_timeout(&self) -> Duration {
        self.caller_leaves_at().saturating_sub(self.arrived_at)
    }

    /// When the caller leaves if it receives nothing. Callers of streams tolerate a silence that is
    /// much shorter than their deadline: a request that waits longer is answered after its caller
    /// has left, while a refusal before then lets the caller retry.
    pub fn caller_leaves_at(&self) -> Moment {
        let silence = self.spec.silence.filter(|_| self.spec.resume.is_none());
        let leaves_at = silence.map_or(self.spec.deadline, |silence| self.arrived_at + silence);
        leaves_at.min(self.spec.deadline)
    }

    /// Records that an attempt at a server has ended.
    pub fn record_attempt(&mut self, server: &backend::Id, end: End, now: Moment) {
        self.tries += 1;
        if may_have_run(end) && !self.may_have_run_at(server) {
            self.runs += 1;
        }
        if let End::NotRun(_) = end {
            self.declined.push((server.clone(), now));
        }
        if !matches!(end, End::NotRun(NotRun::Full) | End::Unreachable(Unreachable::Closed)) {
            self.spec.avoid.push(server.clone());
            self.asked.push(Asked { server: server.clone(), ended_at: now, end });
        }
    }

    fn may_have_run_at(&self, server: &backend::Id) -> bool {
        self.asked.iter().any(|asked| asked.server == *server && asked.may_have_run())
    }

    /// Whether the request may be sent to a server, by its attempts so far. The limit of the route
    /// is a number of servers, so a stream that may be resumed may return to one of them.
    pub fn may_ask(&self, server: &backend::Id) -> bool {
        if !self.spec.is_resumable_stream() {
            return !self.spec.avoid.contains(server);
        }
        let is_first = |rival: &&Rival| !self.may_have_run_at(&rival.server);
        let servers = self.runs + self.rivals.iter().filter(is_first).count() as u32;
        let is_in_flight = self.rivals.iter().any(|rival| rival.server == *server);
        let may_return = self.returns().any(|asked| asked.server == *server);
        !is_in_flight
            && (may_return || !self.spec.avoid.contains(server))
            && (self.may_have_run_at(server) || servers < self.spec.attempts)
    }

    /// Servers that the request may be sent to again: those that were only silent and, once the
    /// stream has begun, all.
    fn returns(&self) -> impl Iterator<Item = &Asked> {
        let is_silent = |asked: &Asked| asked.end == End::Unclear(Unclear::Silent);
        let is_resumable = self.spec.is_resumable_stream();
        let may_return = move |asked: &&Asked| is_resumable && (self.is_begun || is_silent(asked));
        self.asked.iter().filter(may_return)
    }

    /// Whether the request may be sent to a server again.
    pub fn may_return(&self) -> bool {
        self.is_begun || self.returns().next().is_some()
    }

    /// Whether the route allows no server that has not run the request yet.
    pub fn is_at_limit(&self) -> bool {
        self.spec.attempts <= self.runs
    }

    /// Servers that may have run the request in attempts that have ended.
    pub fn servers_that_ran(&self) -> impl Iterator<Item = &backend::Id> {
        self.asked.iter().filter(|asked| asked.may_have_run()).map(Asked::server)
    }

    /// Servers of the attempts that have ended, except those that had no place.
    fn asked_servers(&self) -> impl Iterator<Item = &backend::Id> {
        self.asked.iter().map(Asked::server)
    }

    /// Whether an attempt of a stream that may return ended at a server too recently for another one
    /// there.
    pub fn has_just_asked(&self, server: &backend::Id, now: Moment) -> bool {
        let pause = if self.has_extra_tries() { RETURN_PAUSE } else { REJECTED_PAUSE };
        let is_asked = |asked: &Asked| asked.server == *server && now < asked.ended_at + pause;
        let is_declined = |(other, at): &(_, Moment)| other == server && now < *at + REJECTED_PAUSE;
        self.returns().any(is_asked) || self.may_return() && self.declined.iter().any(is_declined)
    }

    /// Whether another server may still be tried.
    pub fn has_tries(&self) -> bool {
        self.is_begun || self.runs < self.spec.attempts && self.has_extra_tries()
    }

    fn has_extra_tries(&self) -> bool {
        self.tries < self.spec.attempts + EXTRA_TRIES
    }

    /// Lets a request without a try left be sent again after a pause, if it can't be refused as not
    /// run any more: if servers rejected it and it may have run before, or if its caller has a part of
    /// it. Only its time and the retry budget bound it.
    pub fn pause_if_rejected(&mut self, end: End, now: Moment) {
        let is_rejected =
            matches!(end, End::NotRun(_)) && 0 < self.runs && self.runs < self.spec.attempts;
        if !self.has_extra_tries() && (self.is_begun || is_rejected) {
            self.tries -= 1;
            self.paused_until = now + REJECTED_PAUSE;
        }
    }

    /// Records that an attempt has ended while this one was in flight.
    pub fn record_rival(&mut self, ticket: Ticket, server: &backend::Id, end: End, now: Moment) {
        self.rivals.retain(|rival| rival.ticket != ticket);
        self.record_attempt(server, end, now);
        // A hedge avoids the servers of the attempts in flight, until they have ended.
        if !self.asked_servers().any(|asked| asked == server) {
            self.spec.avoid.retain(|avoided| avoided != server);
        }
    }

    /// Number of attempts in flight, this one included.
    pub fn in_flight(&self) -> u32 {
        1 + self.rivals.len() as u32
    }

    /// Whether another server may be tried although all attempts in flight may run.
    pub fn has_another_try(&self) -> bool {
        self.may_return() || self.runs + self.in_flight() < self.spec.attempts
    }

    /// Whether no attempt of the request was started later. Only the latest one is hedged.
    pub fn is_latest(&self) -> bool {
        self.rivals.iter().all(|rival| rival.ticket < self.spec.ticket)
    }

    /// How much depends on a retry of the request.
    pub fn need(&self) -> Need {
        if self.spec.resume.is_some() { Need::High } else { Need::Normal }
    }

    /// Whether the next arrival at a server is yet to be paid.
    pub fn must_pay(&self) -> bool {
        self.has_arrived && self.payment.is_none()
    }

    /// A pseudo-random number of the request, the same at each call.
    pub fn seed(&self) -> u64 {
        mixed(self.spec.ticket ^ self.spec.fingerprint.rotate_left(17))
    }
}

/// Digests of the prefixes of a prompt on its model and adapter, the shortest first.
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
