//! The decisions on the path of a request, joined: admission, choice of a server, its limit, and
//! the account of what each attempt met.
//!
//! Admission comes before the filters that may take a while (at most once, quarantine), and the
//! choice of a server after them. In between the request holds a reservation: it counts against
//! the room of its model, but on no server yet. One [`Traffic`] belongs to one host; all of it is
//! plain data, so the caller may put it behind one lock.

mod room;

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::{
    admit::{self, Gate, Refusal, Ticket, Work},
    limit::{Algorithm, Limiters, Signal},
    retry::{self, Budget, Point, Suspicion, suspicion},
    route::{
        self, Choice, Criteria, Decision, DestinationIndex, Distances, Eligibility, Hints, Index,
        Table, estimate::Sent, hints, table::Restarted,
    },
};

/// What is admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Entry {
    /// What can meet its target, within the limits.
    #[default]
    Judged,
    /// Everything at once, for comparison.
    Open,
}

/// Parameters of one host's traffic.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// What is admitted.
    pub entry: Entry,
    /// How limits adapt.
    pub algorithm: Algorithm,
    /// Bounds of the prefix hints.
    pub hints: hints::Bounds,
    /// Bounds of the queues.
    pub queues: admit::Bounds,
    /// Bounds on attempts.
    pub attempts: retry::Bounds,
    /// The retry budget.
    pub budget: retry::budget::Ratio,
    /// How long servers are left out.
    pub suspicion: suspicion::Backoff,
}

/// A request, as far as these decisions see it.
#[derive(Clone, Debug)]
pub struct Demand {
    /// What admission sees.
    pub work: Work,
    /// Time that its first token may take.
    pub target: Duration,
    /// Version in force; empty for plain services.
    pub version: model::Version,
    /// Digests of the prompt's prefixes, shortest first.
    pub prefix: Vec<u64>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
}

/// Answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It holds a reservation.
    Take,
    /// It waits; a [`Change`] follows.
    Wait,
    /// It is refused; it did not run.
    Refuse(Refusal),
    /// No server has what it wants.
    Unready,
}

/// What has become of waiting work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It holds a reservation now.
    Start(Ticket),
    /// It is refused; it did not run.
    Refuse(Ticket, Refusal),
}

/// One attempt on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flight {
    /// Where it was sent, and what was expected.
    pub choice: Choice,
    sent: Sent,
    pool: DestinationIndex,
    target: Duration,
}

/// A further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    /// It is on its way.
    Sent(Flight),
    /// Only servers in doubt have what it wants; the first may be tried at this moment.
    At(Moment),
    /// No server has what it wants.
    Unready,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Whole,
    /// The caller went away.
    Cancelled,
    /// It failed at this point.
    Failed(Point),
}

/// All that one host decides about requests on their way.
#[derive(Clone, Debug)]
pub struct Traffic {
    rules: Rules,
    /// The servers.
    pub table: Table,
    /// Prefix hints.
    pub hints: Hints,
    /// Limits.
    pub limiters: Limiters,
    /// Waiting work.
    pub gate: Gate,
    /// Servers in doubt.
    pub suspicion: Suspicion,
    /// Retries left.
    pub budget: Budget,
    reserved: BTreeMap<DestinationIndex, u32>,
    unreachable_servers: BTreeSet<Index>,
}

impl Traffic {
    /// Without servers and work yet.
    pub fn new(distances: Distances, rules: Rules) -> Traffic {
        Traffic {
            table: Table::new(distances),
            hints: Hints::new(rules.hints),
            limiters: Limiters::new(rules.algorithm),
            gate: Gate::new(rules.queues),
            suspicion: Suspicion::new(rules.suspicion),
            budget: Budget::new(rules.budget),
            reserved: BTreeMap::new(),
            unreachable_servers: BTreeSet::new(),
            rules,
        }
    }

    /// Judges a request that has arrived. Work that it displaced is among the changes.
    pub fn admit(&mut self, demand: &Demand, now: Moment, changes: &mut Vec<Change>) -> Admission {
        let Some(outlook) = self.outlook(demand, now) else {
            return Admission::Unready;
        };
        if self.rules.entry == Entry::Open {
            *self.reserved.entry(demand.work.pool).or_default() += 1;
            return Admission::Take;
        }
        let mut displaced = Vec::new();
        let verdict = self.gate.arrive(demand.work.clone(), &outlook, now, &mut displaced);
        changes.extend(displaced.into_iter().map(|(ticket, r)| Change::Refuse(ticket, r)));
        match verdict {
            admit::Verdict::Take => {
                *self.reserved.entry(demand.work.pool).or_default() += 1;
                Admission::Take
            }
            admit::Verdict::Wait => Admission::Wait,
            admit::Verdict::Refuse(refusal) => Admission::Refuse(refusal),
        }
    }

    /// Gives back a reservation that is not used.
    pub fn release(&mut self, pool: DestinationIndex) {
        if let Some(reserved) = self.reserved.get_mut(&pool) {
            *reserved = reserved.saturating_sub(1);
        }
    }

    /// Chooses the server for a request that holds a reservation, and uses that up. `None` if no
    /// server can be used any more; the reservation is used up then too.
    pub fn dispatch(&mut self, demand: &Demand, now: Moment) -> Option<Flight> {
        self.release(demand.work.pool);
        self.send(demand, &[], now)
    }

    /// Chooses a server for a request whose attempt failed, another one if there is one. Work that
    /// is on its way goes before work that waits, so the limit does not hold it back.
    pub fn dispatch_again(&mut self, demand: &Demand, avoid: &[Index], now: Moment) -> Again {
        match self.send(demand, avoid, now).or_else(|| self.send(demand, &[], now)) {
            Some(flight) => Again::Sent(flight),
            None => self.earliest_trial(demand.work.wanted).map_or(Again::Unready, Again::At),
        }
    }

    /// Takes in a server's load report that was read at `now`.
    pub fn report(&mut self, server: Index, load: &report::Load, now: Moment) {
        let restarted = self.table.report(server, load, now);
        if restarted == Restarted::Yes {
            self.hints.clear(server);
        }
        if self.unreachable_servers.remove(&server) || restarted == Restarted::Yes {
            self.clear_suspicion(server);
        }
    }

    /// A server gave no report, since it can't be reached.
    pub fn unreachable(&mut self, server: Index, now: Moment) {
        self.unreachable_servers.insert(server);
        let eligibility = self.suspicion.failed(server, Point::Connect, now);
        self.set_suspicion(server, eligibility);
    }

    /// The first token of an attempt has come.
    pub fn answered(&mut self, flight: &Flight, now: Moment) {
        let time = now.saturating_sub(flight.sent.at);
        let signal = Signal::FirstToken { time, target: flight.target };
        self.limiters.limiter(flight.choice.server, flight.pool).signal(signal, now);
        self.clear_suspicion(flight.choice.server);
    }

    /// An attempt has ended.
    pub fn ended(&mut self, flight: &Flight, end: End, now: Moment) {
        let server = flight.choice.server;
        self.table.ended(server, flight.sent, now);
        let limiter = self.limiters.limiter(server, flight.pool);
        limiter.end();
        match end {
            End::Whole => {
                self.budget.deposit();
                self.clear_suspicion(server);
            }
            End::Cancelled => {}
            End::Failed(point) => {
                let signal = if matches!(point, Point::Refused | Point::Waiting) {
                    Signal::Overload
                } else {
                    Signal::Neutral
                };
                limiter.signal(signal, now);
                let eligibility = self.suspicion.failed(server, point, now);
                self.set_suspicion(server, eligibility);
            }
        }
    }

    /// What follows a failed attempt; to be asked after [`Traffic::ended`].
    pub fn after_failure(&mut self, failure: &retry::Failure) -> retry::Verdict {
        retry::decide(failure, &self.rules.attempts, &mut self.budget)
    }

    /// Starts what has room, and refuses what can't meet its target any more. To be called when
    /// an attempt has ended, a report has come, and at short intervals while work waits.
    pub fn pump(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        for pool in self.gate.pools() {
            self.refuse_hopeless(pool, now, &mut changes);
            self.start_waiting(pool, now, &mut changes);
        }
        changes
    }

    fn refuse_hopeless(&mut self, pool: DestinationIndex, now: Moment, changes: &mut Vec<Change>) {
        let mut gate = std::mem::take(&mut self.gate);
        let hopeless = gate.sweep(pool, now, |wanted| self.plain_outlook(wanted, now));
        changes.extend(hopeless.into_iter().map(|(ticket, r)| Change::Refuse(ticket, r)));
        self.gate = gate;
    }

    fn start_waiting(&mut self, pool: DestinationIndex, now: Moment, changes: &mut Vec<Change>) {
        let mut gate = std::mem::take(&mut self.gate);
        while let Some(work) = gate.next(pool, |wanted| self.room(wanted, now)) {
            *self.reserved.entry(pool).or_default() += 1;
            changes.push(Change::Start(work.ticket));
        }
        self.gate = gate;
    }

    fn send(&mut self, demand: &Demand, avoid: &[Index], now: Moment) -> Option<Flight> {
        let pool = demand.work.pool;
        let criteria = Criteria { avoid, ..criteria(demand) };
        let has_room = |server| 0 < self.room_on(server, pool);
        let choice = match route::choose(&self.table, &self.hints, &criteria, now, has_room) {
            Decision::Send(choice) | Decision::Full(choice) => choice,
            Decision::Unready => return None,
        };
        if matches!(self.table.eligibility(choice.server), Eligibility::Suspected(_)) {
            let eligibility = self.suspicion.try_out(choice.server, now);
            self.set_suspicion(choice.server, eligibility);
        }
        self.limiters.limiter(choice.server, pool).start();
        for prefix in &demand.prefix {
            self.hints.add(*prefix, choice.server, now);
        }
        let tokens = demand.prompt_tokens - choice.cached_tokens;
        let sent = self.table.sent(choice.server, tokens, now);
        Some(Flight { choice, sent, pool, target: demand.target })
    }

    fn clear_suspicion(&mut self, server: Index) {
        if self.suspicion.succeeded(server) {
            self.set_suspicion(server, Eligibility::Live);
        }
    }

    /// Doubt never makes a server that is leaving or gone live again.
    fn set_suspicion(&mut self, server: Index, eligibility: Eligibility) {
        if matches!(self.table.eligibility(server), Eligibility::Live | Eligibility::Suspected(_)) {
            self.table.set_eligibility(server, eligibility);
        }
    }
}

fn criteria(demand: &Demand) -> Criteria<'_> {
    Criteria {
        destination: demand.work.wanted,
        version: &demand.version,
        prefix: &demand.prefix,
        prompt_tokens: demand.prompt_tokens,
        avoid: &[],
        seed: demand.work.spread,
    }
}
