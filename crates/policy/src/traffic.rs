//! Decisions on the path of a request: admission, choice of a server, the server's limit, and what
//! the result of each attempt changes.
//!
//! Admission comes before the filters that may take long (at most once, quarantine), and the choice
//! of a server after them. In between, the request holds a reservation: it counts against the room
//! of its model, but on no server yet. One [`Traffic`] belongs to one host; all of it is plain
//! data, so the caller may put it behind one lock.

mod room;

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::{
    admit::{self, Queues, Refusal, Ticket},
    limit::{Algorithm, Limiters, Signal},
    retry::{self, Budget, Point, Suspicion, suspicion},
    route::{
        self, Choice, Criteria, Decision, DestinationIndex, Distances, Eligibility, Hints, Index,
        Table, estimate::Sent, hints, table::Restarted,
    },
};

/// Admission mode.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Only requests that can meet their target are admitted, within the limits.
    #[default]
    Judged,
    /// Every request is admitted at once, for comparison.
    Open,
}

/// Parameters of one host's traffic.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Admission mode.
    pub mode: Mode,
    /// Algorithm that adapts the servers' limits.
    pub algorithm: Algorithm,
    /// Bounds of the prefix hints.
    pub hints: hints::Bounds,
    /// Bounds of the queues.
    pub queues: admit::Bounds,
    /// Bounds on attempts.
    pub attempts: retry::Bounds,
    /// Parameters of the retry budget.
    pub budget: retry::budget::Ratio,
    /// How long suspected servers are left out.
    pub suspicion: suspicion::Backoff,
}

/// What admission and the choice of a server need to know of a request.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// The request as the queues and the admission rule see it.
    pub work: admit::Request,
    /// Time from arrival within which the first token is due.
    pub target: Duration,
    /// Version in force of the model or adapter; empty for plain services.
    pub version: model::Version,
    /// Digests of the prompt's prefixes, shortest first.
    pub prefix: Vec<u64>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
}

/// Result of a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a reservation and may be sent.
    Take,
    /// The request waits in a queue; a [`Change`] follows.
    Wait,
    /// The request is refused and did not run.
    Refuse(Refusal),
    /// No server has what the request needs.
    Unready,
}

/// Change for a request that waited in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The request holds a reservation and may be sent.
    Start(Ticket),
    /// The request is refused and did not run.
    Refuse(Ticket, Refusal),
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The server that was chosen, with the first-token time and the cached tokens expected there.
    pub choice: Choice,
    sent: Sent,
    pool: DestinationIndex,
    target: Duration,
}

/// Result of asking for a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The attempt is in flight.
    Sent(Attempt),
    /// Only suspected servers have what the request needs; the first of them may be tried at this
    /// time.
    At(Moment),
    /// No server has what the request needs.
    Unready,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The complete answer arrived.
    Completed,
    /// The caller cancelled the request.
    Cancelled,
    /// The attempt failed at this point.
    Failed(Point),
}

/// State of one host's decisions about requests.
#[derive(Clone, Debug)]
pub struct Traffic {
    rules: Rules,
    /// Known servers, their load and what they have ready.
    pub table: Table,
    /// Hints at which servers have a prompt prefix cached.
    pub hints: Hints,
    /// Limits of requests in flight, by server and model or group.
    pub limiters: Limiters,
    /// Queues of requests that wait for admission.
    pub queues: Queues,
    /// Servers that are left out after failures.
    pub suspicion: Suspicion,
    /// Budget for retries.
    pub budget: Budget,
    reserved: BTreeMap<DestinationIndex, u32>,
    unreachable_servers: BTreeSet<Index>,
}

impl Traffic {
    /// Creates the state without servers and requests.
    pub fn new(distances: Distances, rules: Rules) -> Traffic {
        Traffic {
            table: Table::new(distances),
            hints: Hints::new(rules.hints),
            limiters: Limiters::new(rules.algorithm),
            queues: Queues::new(rules.queues),
            suspicion: Suspicion::new(rules.suspicion),
            budget: Budget::new(rules.budget),
            reserved: BTreeMap::new(),
            unreachable_servers: BTreeSet::new(),
            rules,
        }
    }

    /// Decides on the admission of a request that has arrived. Requests that it displaced from a
    /// full queue are added to `changes`.
    pub fn admit(
        &mut self,
        requirements: &Requirements,
        now: Moment,
        changes: &mut Vec<Change>,
    ) -> Admission {
        let Some(outlook) = self.outlook(requirements, now) else {
            return Admission::Unready;
        };
        if self.rules.mode == Mode::Open {
            *self.reserved.entry(requirements.work.pool).or_default() += 1;
            return Admission::Take;
        }
        let mut displaced = Vec::new();
        let verdict = self.queues.arrive(requirements.work.clone(), &outlook, now, &mut displaced);
        changes.extend(displaced.into_iter().map(|(ticket, r)| Change::Refuse(ticket, r)));
        match verdict {
            admit::Verdict::Take => {
                *self.reserved.entry(requirements.work.pool).or_default() += 1;
                Admission::Take
            }
            admit::Verdict::Wait => Admission::Wait,
            admit::Verdict::Refuse(refusal) => Admission::Refuse(refusal),
        }
    }

    /// Returns a reservation that is not used.
    pub fn release(&mut self, pool: DestinationIndex) {
        if let Some(reserved) = self.reserved.get_mut(&pool) {
            *reserved = reserved.saturating_sub(1);
        }
    }

    /// Chooses the server for a request that holds a reservation, and uses the reservation up.
    /// Returns `None` if no server can be used any more; the reservation is used up in that case,
    /// too.
    pub fn dispatch(&mut self, requirements: &Requirements, now: Moment) -> Option<Attempt> {
        self.release(requirements.work.pool);
        self.send(requirements, &[], now)
    }

    /// Chooses a server for a request whose attempt failed, preferably one not in `avoid`. A
    /// request that was already sent takes precedence over waiting ones, so limits do not hold it
    /// back.
    pub fn dispatch_again(
        &mut self,
        requirements: &Requirements,
        avoid: &[Index],
        now: Moment,
    ) -> Retry {
        match self.send(requirements, avoid, now).or_else(|| self.send(requirements, &[], now)) {
            Some(attempt) => Retry::Sent(attempt),
            None => self.earliest_trial(requirements.work.wanted).map_or(Retry::Unready, Retry::At),
        }
    }

    /// Takes a server's load report that was read at `now`. A server that restarted, or was
    /// unreachable before, is no longer suspected.
    pub fn report(&mut self, server: Index, load: &report::Load, now: Moment) {
        let restarted = self.table.report(server, load, now);
        if restarted == Restarted::Yes {
            self.hints.clear(server);
        }
        if self.unreachable_servers.remove(&server) || restarted == Restarted::Yes {
            self.clear_suspicion(server);
        }
    }

    /// Notes that a server could not be reached for a load report, and suspects it.
    pub fn unreachable(&mut self, server: Index, now: Moment) {
        self.unreachable_servers.insert(server);
        let eligibility = self.suspicion.failed(server, Point::Connect, now);
        self.set_suspicion(server, eligibility);
    }

    /// Notes that the first token of an attempt arrived.
    pub fn answered(&mut self, attempt: &Attempt, now: Moment) {
        let time = now.saturating_sub(attempt.sent.at);
        let signal = Signal::FirstToken { time, target: attempt.target };
        self.limiters.limiter(attempt.choice.server, attempt.pool).signal(signal, now);
        self.clear_suspicion(attempt.choice.server);
    }

    /// Notes that an attempt ended: updates the load and the limit of its server, the retry budget,
    /// and the suspicion of the server.
    pub fn ended(&mut self, attempt: &Attempt, end: End, now: Moment) {
        let server = attempt.choice.server;
        self.table.ended(server, attempt.sent, now);
        let limiter = self.limiters.limiter(server, attempt.pool);
        limiter.end();
        match end {
            End::Completed => {
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

    /// Decides what follows a failed attempt. To be called after [`Traffic::ended`].
    pub fn after_failure(&mut self, failure: &retry::Failure) -> retry::Verdict {
        retry::decide(failure, &self.rules.attempts, &mut self.budget)
    }

    /// Starts waiting requests that have room, and refuses those that can't meet their target any
    /// more. To be called when an attempt ended or a load report arrived, and at short intervals
    /// while requests wait.
    pub fn pump(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        for pool in self.queues.pools() {
            self.refuse_hopeless(pool, now, &mut changes);
            self.start_waiting(pool, now, &mut changes);
        }
        changes
    }

    fn refuse_hopeless(&mut self, pool: DestinationIndex, now: Moment, changes: &mut Vec<Change>) {
        let mut queues = std::mem::take(&mut self.queues);
        let hopeless = queues.sweep(pool, now, |wanted| self.plain_outlook(wanted, now));
        changes.extend(hopeless.into_iter().map(|(ticket, r)| Change::Refuse(ticket, r)));
        self.queues = queues;
    }

    fn start_waiting(&mut self, pool: DestinationIndex, now: Moment, changes: &mut Vec<Change>) {
        let mut queues = std::mem::take(&mut self.queues);
        while let Some(work) = queues.next(pool, |wanted| self.room(wanted, now)) {
            *self.reserved.entry(pool).or_default() += 1;
            changes.push(Change::Start(work.ticket));
        }
        self.queues = queues;
    }

    fn send(
        &mut self,
        requirements: &Requirements,
        avoid: &[Index],
        now: Moment,
    ) -> Option<Attempt> {
        let pool = requirements.work.pool;
        let criteria = Criteria { avoid, ..criteria(requirements) };
        let has_room = |server| 0 < self.room_on(server, pool);
        let choice = match route::choose(&self.table, &self.hints, &criteria, now, has_room) {
            Decision::Send(choice) | Decision::Full(choice) => choice,
            Decision::Unready => return None,
        };
        if matches!(self.table.eligibility(choice.server), Eligibility::Suspected(_)) {
            let eligibility = self.suspicion.start_trial(choice.server, now);
            self.set_suspicion(choice.server, eligibility);
        }
        self.limiters.limiter(choice.server, pool).start();
        for prefix in &requirements.prefix {
            self.hints.add(*prefix, choice.server, now);
        }
        let tokens = requirements.prompt_tokens - choice.cached_tokens;
        let sent = self.table.sent(choice.server, tokens, now);
        Some(Attempt { choice, sent, pool, target: requirements.target })
    }

    fn clear_suspicion(&mut self, server: Index) {
        if self.suspicion.succeeded(server) {
            self.set_suspicion(server, Eligibility::Live);
        }
    }

    /// Sets a server's eligibility after a success or failure; a server that is leaving or gone
    /// stays so.
    fn set_suspicion(&mut self, server: Index, eligibility: Eligibility) {
        if matches!(self.table.eligibility(server), Eligibility::Live | Eligibility::Suspected(_)) {
            self.table.set_eligibility(server, eligibility);
        }
    }
}

fn criteria(requirements: &Requirements) -> Criteria<'_> {
    Criteria {
        destination: requirements.work.wanted,
        version: &requirements.version,
        prefix: &requirements.prefix,
        prompt_tokens: requirements.prompt_tokens,
        avoid: &[],
        seed: requirements.work.spread,
    }
}
