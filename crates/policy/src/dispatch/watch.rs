//! Answers that are overdue, and servers that have gone silent.
//!
//! A server that went dark resets nothing, so its requests must be taken from it. That is done
//! only with those that may run again, and only once something else than load explains the
//! silence: nothing at all comes from the server, or it has answered others long after this one
//! was due.

use types::{prelude::*, routed::Kind};

use super::{
    Dispatcher,
    choose::{Choice, Outcome},
    doubt::Cause,
    request::{Change, End, Ticket, Unclear, Verdict},
    server::Server,
    stats::{duration, millis},
    task::{Flight, Leaving, Phase, State, Task},
};
use crate::route::Index;

/// Times the expected time, and part of the goal besides, after which an answer is overdue.
const OVERDUE: f64 = 4.0;
const OVERDUE_GOAL: f64 = 0.5;

/// Requests left without an answer, none having come since, after which a server is put aside.
const UNANSWERED: u32 = 2;

/// Silence of a server after which a request that it has not begun to answer is taken from it: at
/// least so long, and so many times its goal and the expected time.
const SILENT: Duration = Duration::from_millis(600);
const SILENT_GOAL: f64 = 1.5;
const SILENT_TIMES: f64 = 6.0;

/// Silence of a server after which a stream that it has begun is taken from it.
const STALLED: Duration = Duration::from_millis(800);

/// Times its goal and the expected time after which a request is taken from a server that answers
/// others.
const HUNG_GOAL: f64 = 2.5;
const HUNG_TIMES: f64 = 8.0;

/// Time between two looks for another server for a request that is to leave its own.
const SEEK: Duration = Duration::from_millis(100);

/// How an attempt ends whose server is left.
const SILENCE: End = End::Unclear(Unclear::Silent);

impl Dispatcher {
    /// Looks for requests whose answer is overdue, and for those that are to leave their server.
    pub(super) fn look(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let mut overdue: Vec<(Ticket, Flight, Index)> = Vec::new();
        let mut left: Vec<Ticket> = Vec::new();
        for (ticket, task) in &mut self.tasks {
            if should_leave(task, &mut self.fleet, now) {
                left.push(*ticket);
            }
            let State::Flying(flight) = &mut task.state else { continue };
            let allowed = flight.expected * OVERDUE + millis(task.ask.goal) * OVERDUE_GOAL;
            if flight.phase == Phase::Open && allowed < millis(now.saturating_sub(flight.sent)) {
                flight.phase = Phase::Overdue;
                overdue.push((*ticket, flight.clone(), task.service));
            }
        }
        overdue.sort_unstable_by_key(|(ticket, ..)| *ticket);
        for (_, flight, service) in overdue {
            self.overdue(&flight, service, now);
        }
        left.sort_unstable();
        for ticket in left {
            let is_possible = self.elsewhere(ticket, now).is_some();
            self.leaving(ticket, if is_possible { Leaving::Told } else { Leaving::Sought(now) });
            if is_possible {
                changes.push(Change { ticket, verdict: Verdict::Leave });
            }
        }
    }

    fn leaving(&mut self, ticket: Ticket, leaving: Leaving) {
        if let Some(Task { state: State::Flying(flight), .. }) = self.tasks.get_mut(&ticket) {
            flight.leaving = leaving;
        }
    }

    /// A request as it goes to another server from a silent one, if one takes it now.
    fn elsewhere(&self, ticket: Ticket, now: Moment) -> Option<(Task, Choice)> {
        let before = self.tasks.get(&ticket)?;
        let State::Flying(flight) = &before.state else { return None };
        let mut task = Task { state: State::Idle, ..before.clone() };
        task.tried(&flight.id, SILENCE);
        self.is_of_use(&task, SILENCE, now).ok()?;
        let budget = &self.fleet.services[task.service as usize].budget;
        let Outcome::Send(choice) = self.choose(&task, now) else { return None };
        (1.0 <= budget.left(task.need(), self.sharers.extra(), now)).then_some((task, choice))
    }

    /// Takes a request from a server that is silent to another one, which it returns. Nothing changes if
    /// no other has a place for it or no retry is left: a slow server is better than none, and a request
    /// that was let go of first ended without an answer though its server was at work on it.
    pub fn leave(&mut self, ticket: Ticket, now: Moment) -> Option<backend::Id> {
        let Some((mut task, choice)) = self.elsewhere(ticket, now) else {
            self.leaving(ticket, Leaving::Sought(now));
            return None;
        };
        let extra = self.sharers.extra();
        let budget = &mut self.fleet.services[task.service as usize].budget;
        task.payment = Some(budget.pay(task.need(), extra, now)?);
        let mut before = self.tasks.remove(&ticket)?;
        if let State::Flying(flight) = before.state.clone() {
            self.settle(&mut before, &flight, SILENCE, now);
        }
        task.has_arrived = true;
        Some(self.send(task, choice, now))
    }

    fn overdue(&mut self, flight: &Flight, service: Index, now: Moment) {
        let median = self.fleet.services[service as usize].median;
        let Some(server) = self.fleet.same(flight.server, &flight.id) else { return };
        let ratio = millis(now.saturating_sub(flight.sent)) / flight.usual;
        server.pace.took(ratio, &median, now);
        server.unanswered += 1;
        if UNANSWERED <= server.unanswered {
            server.doubt.raise(Cause::Silent, now);
        }
        self.judge_grey(flight.server, service, now);
    }
}

/// Whether a request is to leave the server that it was sent to.
fn should_leave(task: &Task, fleet: &mut super::fleet::Fleet, now: Moment) -> bool {
    let State::Flying(flight) = &task.state else { return false };
    let is_known = match flight.leaving {
        Leaving::No => false,
        Leaving::Sought(at) => now < at + SEEK,
        Leaving::Told => true,
    };
    if is_known || !task.ask.is_repeatable() || !task.has_another_try() {
        return false;
    }
    let Some(server) = fleet.same(flight.server, &flight.id) else { return false };
    match flight.phase {
        Phase::Begun => task.ask.kind == Kind::Stream && server.answered + STALLED < now,
        Phase::Open | Phase::Overdue => is_lost(task, flight, server, now),
    }
}

/// Whether an answer that has not begun can be thought lost.
fn is_lost(task: &Task, flight: &Flight, server: &Server, now: Moment) -> bool {
    let after =
        |goal: f64, times: f64| task.ask.goal.mul_f64(goal).max(duration(flight.expected * times));
    let silent = after(SILENT_GOAL, SILENT_TIMES).max(SILENT);
    let hung = after(HUNG_GOAL, HUNG_TIMES);
    let is_silent = flight.sent.max(server.answered) + silent < now;
    let answers_others = flight.sent + duration(flight.expected * OVERDUE) < server.answered;
    is_silent || (flight.sent + hung < now && answers_others)
}
