//! Overdue responses and unresponsive servers.
//!
//! A server that stops responding does not reset its connections, so its requests must be moved to
//! other servers. Only requests that may run again are moved, and only once something other than
//! load explains the silence: nothing at all is received from the server, or the server has
//! answered other requests long after this one was due.

use types::{prelude::*, routed::Kind};

use super::{
    Dispatcher,
    breaker::Cause,
    choose::{Choice, Outcome},
    path,
    request::{Change, End, Ticket, Unclear, Verdict},
    server::Server,
    stats::{duration, millis},
    task::{Attempt, Leaving, Phase, State, Task},
};
use crate::route::Index;

/// A response is overdue after this multiple of the expected time plus this part of the goal.
const OVERDUE_TIMES: f64 = 4.0;
const OVERDUE_GOAL: f64 = 0.5;

/// Number of overdue responses, without any response in between, after which the server's breaker
/// is tripped.
const MAX_UNANSWERED: u32 = 2;

/// Silence of a server after which a request without a response is moved: at least this long, and
/// at least these multiples of the goal and of the expected time.
const MIN_SILENCE: Duration = Duration::from_millis(600);
const SILENT_GOAL: f64 = 1.5;
const SILENT_TIMES: f64 = 6.0;

/// Silence of a server after which a stream that has begun is moved.
const STALLED: Duration = Duration::from_millis(800);

/// Multiples of the goal and of the expected time after which a request is moved from a server that
/// answers others.
const HUNG_GOAL: f64 = 2.5;
const HUNG_TIMES: f64 = 8.0;

/// Time between two searches of another server for a request that is to be moved.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);

/// End of an attempt that is moved from its server.
const SILENCE: End = End::Unclear(Unclear::Silent);

impl Dispatcher {
    /// Checks for overdue responses, and for requests that are to be moved from their server.
    pub(super) fn check_overdue(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let mut overdue: Vec<(Ticket, Attempt, Index)> = Vec::new();
        let mut leaving: Vec<Ticket> = Vec::new();
        for (ticket, task) in &mut self.tasks {
            path::mark_stranded(task, &mut self.registry, now);
            if should_leave(task, &mut self.registry, now) {
                leaving.push(*ticket);
            }
            let State::InFlight(attempt) = &mut task.state else { continue };
            let allowed =
                attempt.expected_ms * OVERDUE_TIMES + millis(task.spec.goal) * OVERDUE_GOAL;
            if attempt.phase == Phase::Pending
                && !attempt.is_stranded
                && allowed < millis(now.saturating_sub(attempt.sent_at))
            {
                attempt.phase = Phase::Overdue;
                overdue.push((*ticket, attempt.clone(), task.service));
            }
        }
        overdue.sort_unstable_by_key(|(ticket, ..)| *ticket);
        for (_, attempt, service) in overdue {
            self.record_overdue(&attempt, service, now);
        }
        leaving.sort_unstable();
        for ticket in leaving {
            let is_possible = self.find_other_server(ticket, now).is_some();
            self.set_leaving(
                ticket,
                if is_possible { Leaving::Requested } else { Leaving::Seeking(now) },
            );
            if is_possible {
                changes.push(Change { ticket, verdict: Verdict::Leave });
            }
        }
    }

    fn set_leaving(&mut self, ticket: Ticket, leaving: Leaving) {
        if let Some(Task { state: State::InFlight(attempt), .. }) = self.tasks.get_mut(&ticket) {
            attempt.leaving = leaving;
        }
    }

    /// Returns the request in its state after leaving its silent server, with the choice of another
    /// server; `None` if no other server has a place or no retry is left.
    fn find_other_server(&self, ticket: Ticket, now: Moment) -> Option<(Task, Choice)> {
        let before = self.tasks.get(&ticket)?;
        let State::InFlight(attempt) = &before.state else { return None };
        let mut task = Task { state: State::Idle, ..before.clone() };
        task.record_attempt(&attempt.id, SILENCE);
        self.check_retry(&task, SILENCE, now).ok()?;
        let budget = &self.registry.services[task.service as usize].budget;
        let Outcome::Send(choice) = self.choose(&task, now) else { return None };
        (1.0 <= budget.left(task.need(), self.sharers.extra(), now)).then_some((task, choice))
    }

    /// Moves a request from a silent server to another one, which is returned. Nothing changes if
    /// no other server has a place or no retry is left, since a slow server is better than none: a
    /// request that left its server before another was found would get no response, even if the
    /// first server were still working on it.
    pub fn leave(&mut self, ticket: Ticket, now: Moment) -> Option<backend::Id> {
        let Some((mut task, choice)) = self.find_other_server(ticket, now) else {
            self.set_leaving(ticket, Leaving::Seeking(now));
            return None;
        };
        let extra = self.sharers.extra();
        let budget = &mut self.registry.services[task.service as usize].budget;
        task.payment = Some(budget.pay(task.need(), extra, now)?);
        let mut before = self.tasks.remove(&ticket)?;
        if let State::InFlight(attempt) = before.state.clone() {
            self.attempt_ended(&mut before, &attempt, SILENCE, now);
        }
        task.has_arrived = true;
        Some(self.send(task, choice, now))
    }

    fn record_overdue(&mut self, attempt: &Attempt, service: Index, now: Moment) {
        let median = self.registry.services[service as usize].median;
        let Some(server) = self.registry.get_same(attempt.server, &attempt.id) else { return };
        // A server that has answered nothing since is silent, not slow.
        if attempt.sent_at < server.answered_at {
            let ratio = millis(now.saturating_sub(attempt.sent_at)) / attempt.baseline_ms;
            server.pace.record_ratio(ratio, &median, now);
        }
        server.unanswered += 1;
        if MAX_UNANSWERED <= server.unanswered {
            server.breaker.trip(Cause::Timeout, now);
        }
        self.trip_outlier(attempt.server, service, now);
    }
}

/// Whether a request is to be moved from its server.
fn should_leave(task: &Task, registry: &mut super::registry::Registry, now: Moment) -> bool {
    let State::InFlight(attempt) = &task.state else { return false };
    let is_handled = match attempt.leaving {
        Leaving::No => false,
        Leaving::Seeking(at) => now < at + SEEK_INTERVAL,
        Leaving::Requested => true,
    };
    if is_handled || !task.spec.is_repeatable() || !task.has_another_try() {
        return false;
    }
    let Some(server) = registry.get_same(attempt.server, &attempt.id) else { return false };
    match attempt.phase {
        _ if attempt.is_stranded => true,
        Phase::Responding => task.spec.kind == Kind::Stream && server.answered_at + STALLED < now,
        Phase::Pending | Phase::Overdue => is_lost(task, attempt, server, now),
    }
}

/// Whether a response that has not begun is considered lost.
fn is_lost(task: &Task, attempt: &Attempt, server: &Server, now: Moment) -> bool {
    let after = |goal: f64, times: f64| {
        task.spec.goal.mul_f64(goal).max(duration(attempt.expected_ms * times))
    };
    let silent = after(SILENT_GOAL, SILENT_TIMES).max(MIN_SILENCE);
    let hung = after(HUNG_GOAL, HUNG_TIMES);
    let is_silent = attempt.sent_at.max(server.answered_at) + silent < now;
    let answers_others =
        attempt.sent_at + duration(attempt.expected_ms * OVERDUE_TIMES) < server.answered_at;
    is_silent || (attempt.sent_at + hung < now && answers_others)
}
