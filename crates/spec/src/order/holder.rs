//! Two hosts, one lease, one server: whose orders reach it, and when.
//!
//! Time goes by in ticks, and nobody needs to do anything at a tick: a host that does nothing is
//! frozen, slow or out of the processor; a call that stays under way is slow or its link is cut; a
//! store that takes no call of a host is down for it. Only one thing is bound: an order arrives
//! within its flight, once, more often or never. When it does is not walked through: each order
//! is judged against the others by the earliest and the latest moment that it may arrive at.

use std::collections::BTreeSet;

use policy::term::{
    Claim, Contender, Lease, OrderLease, Outcome, Settings, Step as Ask, StoredLease,
};
use types::{order::Fence, prelude::*};

use crate::explore::System;

mod guard;
mod probe;
mod state;
mod step;

pub use guard::Lacks;
use state::{Body, Call, Host, Order};
pub use state::{Fault, State, Tick};
pub use step::Step;

pub(super) const HOSTS: usize = 2;

/// How the walk begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// There is no lease.
    Empty,
    /// A host has just taken it.
    Held,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Holders {
    /// How the walk begins.
    pub begin: Begin,
    /// Ticks.
    pub ticks: Tick,
    /// Processes that crash.
    pub crashes: u8,
    /// Calls that take time, and may be given up meanwhile; the others are answered at once.
    pub slow: u8,
    /// Planned stops.
    pub stops: u8,
    /// Ticks within which someone must hold the lease, from each state, if nothing fails any
    /// more, but either host may be gone for good; not asked if none.
    pub recovery: Option<Tick>,
    /// The guard that is switched off.
    pub lacks: Lacks,
}

impl Holders {
    fn settings(&self) -> Settings {
        let zero = |lacks, ticks| if self.lacks == lacks { 0 } else { ticks };
        Settings {
            term: span(2),
            renewal_interval: span(1),
            turn: span(zero(Lacks::TurnWait, TURN)),
            order_timeout: span(zero(Lacks::Flight, FLIGHT)),
            max_read_age: span(0),
            poll_interval: span(Tick::MAX),
            delay: span(0),
            contender: Contender::First,
        }
    }

    fn host(&self, number: usize, incarnation: host::Incarnation) -> Host {
        let named = if self.lacks == Lacks::Incarnation { 1 } else { incarnation };
        let term = OrderLease::new(name(number), named, self.settings());
        Host { incarnation, term, hand: None, told: None, suspended: 0, fences: BTreeSet::new() }
    }

    /// What a host's clock says.
    fn clock(&self, state: &State, host: usize) -> Moment {
        span(state.now - state.hosts[host].suspended)
    }

    /// The lease as it is told to a host.
    fn told(&self, to: usize, mut stored: StoredLease) -> StoredLease {
        let lease = &mut stored.1;
        if lease.holder != name(to) {
            lease.claim = match (self.lacks, lease.claim) {
                (Lacks::TermWait, Claim::Held(_)) => Claim::Held(Duration::ZERO),
                (Lacks::Rest, Claim::Released(_)) => Claim::Released(Duration::ZERO),
                (_, claim) => claim,
            };
        }
        stored
    }

    fn read(&self, state: &State, host: usize) -> Option<StoredLease> {
        state.stored.clone().map(|stored| self.told(host, stored))
    }

    /// Carries a write out, and says what came of it.
    fn carry_out(&self, state: &mut State, host: usize, on: Option<u64>, lease: Lease) -> Outcome {
        let revision = state.stored.as_ref().map(|(revision, _)| *revision);
        if revision != on && self.lacks != Lacks::ConditionalWrite {
            // A store may say no more of an object that is to be created than that it is there.
            return Outcome::Conflict(on.and_then(|_| self.read(state, host)));
        }
        let revision = revision.unwrap_or(0) + 1;
        state.stored = Some((revision, lease));
        Outcome::Done(revision)
    }

    /// What a host asks of the store: answered at once or slowly.
    fn asks(&self, state: &State, host: usize) -> Vec<(Step, State)> {
        let now = self.clock(state, host);
        let mut next = state.clone();
        let before = (self.lacks == Lacks::SentTime).then(|| state.hosts[host].term.clone());
        let (step, slowly, body) = match next.hosts[host].term.step(now) {
            Ask::Idle => return self.watches(state, host).into_iter().collect(),
            Ask::Read => {
                let body = Body::Read(self.read(state, host));
                (Step::Read(host), Step::ReadSlowly(host), body)
            }
            Ask::Create(lease) => {
                (Step::Write(host), Step::WriteSlowly(host), Body::Write(None, lease))
            }
            Ask::Replace(revision, lease) => {
                (Step::Write(host), Step::WriteSlowly(host), Body::Write(Some(revision), lease))
            }
        };
        let may_be_slow = state.slow < self.slow && !state.is_reading(host);
        next.call(host, body, before);
        let mut slow = next.clone();
        slow.slow += 1;
        while next.calls.len() != state.calls.len() {
            next = self.goes(&next, state.calls.len()).1;
        }
        let mut steps = vec![(step, next)];
        steps.extend(may_be_slow.then_some((slowly, slow)));
        steps
    }

    /// A host's watch tells it of a change.
    fn watches(&self, state: &State, host: usize) -> Option<(Step, State)> {
        let (revision, _) = state.stored.as_ref()?;
        if state.hosts[host].told == Some(*revision) {
            return None;
        }
        let mut next = state.clone();
        next.hosts[host].told = Some(*revision);
        let read = self.read(state, host);
        next.hosts[host].term.observe(self.clock(state, host), read);
        Some((Step::Watch(host), next))
    }

    /// A call goes one leg further.
    fn goes(&self, state: &State, number: usize) -> (Step, State) {
        let mut next = state.clone();
        let Call { host, incarnation, body, awaited, before } = next.calls.remove(number);
        let heard = awaited && next.hosts[host].incarnation == incarnation;
        let now = self.clock(state, host);
        match body {
            Body::Write(on, lease) => {
                let outcome = self.carry_out(&mut next, host, on, lease);
                if heard {
                    let body = Body::Outcome(outcome);
                    next.calls.insert(number, Call { host, incarnation, body, awaited, before });
                }
                (Step::CarryOut(host, incarnation), next)
            }
            Body::Outcome(outcome) => {
                let term = &mut next.hosts[host].term;
                if self.lacks == Lacks::SentTime && matches!(outcome, Outcome::Done(_)) {
                    *term = before.unwrap_or(term.clone());
                    term.step(now);
                }
                term.write_finished(now, outcome);
                (Step::Answer(host), next)
            }
            Body::Read(read) => {
                if heard {
                    next.hosts[host].term.observe(now, read);
                }
                (Step::Answer(host), next)
            }
        }
    }

    /// A host stops waiting for a write.
    fn gives_up(&self, state: &State, number: usize) -> Option<(Step, State)> {
        let call = &state.calls[number];
        let is_write = matches!(call.body, Body::Write(..) | Body::Outcome(_));
        if !is_write || !call.awaited {
            return None;
        }
        let (host, now) = (call.host, self.clock(state, call.host));
        if state.hosts[host].incarnation != call.incarnation {
            return None;
        }
        let mut next = state.clone();
        match next.calls[number].body {
            Body::Write(..) => next.calls[number].awaited = false,
            Body::Outcome(_) | Body::Read(_) => drop(next.calls.remove(number)),
        }
        let outcome = match (self.lacks, &state.stored) {
            (Lacks::ReadBack, Some((revision, _))) => Outcome::Done(revision + 1),
            _ => Outcome::Unknown,
        };
        next.hosts[host].term.write_finished(now, outcome);
        Some((Step::GiveUp(host), next))
    }

    /// Whether each host sends an order whenever it may. To the server more orders are worse, and
    /// to the lease they make no difference, unless the host releases it by the time of its last.
    fn is_eager(&self) -> bool {
        self.stops == 0 && !matches!(self.lacks, Lacks::Look | Lacks::Drop)
    }

    fn sends(&self, state: &mut State, host: usize, fence: Fence) {
        let this = &mut state.hosts[host];
        this.hand = None;
        let fence = match self.lacks {
            Lacks::RevisionFence => {
                this.fences.insert(fence);
                this.fences.len() as u64
            }
            _ => fence,
        };
        state.server.may_get(state.now, Order { host, fence, until: state.now + FLIGHT }, TURN);
    }

    fn sends_eagerly(&self, state: &mut State) {
        for host in 0..HOSTS {
            if let Some(fence) = state.hosts[host].term.fence(self.clock(state, host)) {
                self.sends(state, host, fence);
            }
        }
    }

    /// A host sends an order: one that it prepares right now, or, where that guard is off, one
    /// that it had in hand. With the guards on, only an order under the present fence leaves, so
    /// that it makes no difference when it was prepared.
    fn orders(&self, state: &State, host: usize) -> Option<(Step, State)> {
        let now = self.clock(state, host);
        let mut next = state.clone();
        let this = &mut next.hosts[host];
        let present = this.term.may_order(now);
        let fence = match (self.lacks, this.hand) {
            (Lacks::Look | Lacks::Drop, None) => {
                this.hand = Some(present?);
                return Some((Step::Prepare(host), next));
            }
            (Lacks::Drop, Some(hand)) => present.and(Some(hand))?,
            (Lacks::Look, Some(hand)) => hand,
            _ => present?,
        };
        self.sends(&mut next, host, fence);
        Some((Step::Send(host, fence), next))
    }

    fn restarts(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        let suspended = next.hosts[host].suspended;
        next.hosts[host] = Host { suspended, ..self.host(host, next.hosts[host].incarnation + 1) };
        next
    }

    fn ends(&self, state: &State, host: usize) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if state.crashes < self.crashes {
            let mut next = self.restarts(state, host);
            next.crashes += 1;
            steps.push((Step::Crash(host), next));
        }
        if state.hosts[host].term.is_released() {
            steps.push((Step::Leave(host), self.restarts(state, host)));
        }
        if state.stops < self.stops {
            let mut next = state.clone();
            next.stops += 1;
            next.hosts[host].term.stop();
            steps.push((Step::Stop(host), next));
        }
        steps
    }

    fn ticks(&self, state: &State) -> Vec<(Step, State)> {
        if state.now == self.ticks {
            return Vec::new();
        }
        let mut next = state.clone();
        next.now += 1;
        next.server.forget(next.now, TURN);
        let mut steps = vec![(Step::Tick, next.clone())];
        if self.lacks == Lacks::SuspensionClock {
            steps.extend((0..HOSTS).map(|host| {
                let mut next = next.clone();
                next.hosts[host].suspended += 1;
                (Step::Suspend(host), next)
            }));
        }
        steps
    }
}

impl System for Holders {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        let mut state = State {
            now: 0,
            stored: None,
            hosts: (0..HOSTS).map(|number| self.host(number, 1)).collect(),
            calls: Vec::new(),
            server: state::Server::default(),
            crashes: 0,
            slow: 0,
            stops: 0,
        };
        // The first host holds the lease, unless the walk asks how the first holding begins.
        if self.begin == Begin::Held {
            for _ in ["read", "write"] {
                state = self.asks(&state, 0).swap_remove(0).1;
            }
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = self.ticks(state);
        for host in 0..HOSTS {
            steps.extend(self.asks(state, host));
            steps.extend(self.ends(state, host));
        }
        for number in 0..state.calls.len() {
            steps.push(self.goes(state, number));
            steps.extend(self.gives_up(state, number));
        }
        if self.is_eager() {
            steps.iter_mut().for_each(|(_, next)| self.sends_eagerly(next));
        } else {
            steps.extend((0..HOSTS).filter_map(|host| self.orders(state, host)));
        }
        steps
    }

    fn broken(&self, state: &State) -> Option<String> {
        if let Some(fault) = state.server.fault {
            return Some(fault.to_string());
        }
        let within = self.recovery?;
        (!self.recovers(state, within))
            .then(|| format!("nobody holds the lease {within} quiet ticks later"))
    }

    fn is_quiet(&self, _: &Step) -> bool {
        false
    }

    /// Time ends the walk; `recovery` asks what others ask of settled states.
    fn is_settled(&self, _: &State) -> bool {
        true
    }
}

/// Ticks that must lie between orders of different hosts.
const TURN: Tick = 2;

/// Ticks within which an order arrives.
const FLIGHT: Tick = 1;

fn span(ticks: Tick) -> Duration {
    Duration::from_secs(ticks.into())
}

fn name(host: usize) -> host::Id {
    if host == 0 { "a".into() } else { "b".into() }
}
