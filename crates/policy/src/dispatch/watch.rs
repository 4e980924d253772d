//! Overdue responses and unresponsive servers.
//!
//! A server that stops responding does not reset its connections, so its requests must be sent to
//! other servers. Only requests that may run again are, and only once something other than load
//! explains the silence: nothing at all is received from the server, or the server has answered
//! other requests long after this one was due.
//!
//! A sound server may be silent for a second and go on, and the other server may reject the request
//! or be silent as well. So a request is hedged: the attempts become rivals, each with a ticket of
//! its own, until one of them is answered and the others are ended by
//! [`won`](Dispatcher::won). The attempts in flight count as runs, and those of a stream that may be
//! resumed as servers that have run it.
//!
//! A host that did not run for a while finds all its timers over while answers lie unread in its
//! sockets. No server is judged until they can be read, and the longest pause that overlaps an
//! attempt does not count against its server: the request may have been written only afterwards.

use std::collections::VecDeque;

use types::{prelude::*, routed::Kind};

use super::{
    Dispatcher,
    breaker::Cause,
    choose::{Choice, Outcome},
    path,
    pump::OVERDUE_CHECK_INTERVAL,
    request::{Change, End, Silence, Ticket, Unclear, Unreachable, Verdict},
    server::Server,
    slots::Wait,
    stats::{duration, millis},
    task::{Attempt, Hedge, Phase, Rival, State, Task},
};
use crate::route::Index;

/// A response is overdue after this multiple of the expected time plus this part of the goal.
const OVERDUE_TIMES: f64 = 4.0;
const OVERDUE_GOAL: f64 = 0.5;

/// Number of overdue responses, without any response in between, after which the server's breaker
/// is tripped.
const MAX_UNANSWERED: u32 = 2;

/// Silence of a server after which a request without a response is hedged: at least this long, and
/// at least these multiples of the goal and of the expected time.
const MIN_SILENCE: Duration = Duration::from_millis(600);
const SILENT_GOAL: f64 = 1.5;
const SILENT_TIMES: f64 = 6.0;

/// Silence of a server after which a stream that has begun is hedged. Sound servers may be silent for
/// a second, and the hedge ends the attempt there.
const STALLED: Duration = Duration::from_millis(1250);

/// Multiples of the goal and of the expected time after which a request is hedged that is at a server
/// which answers others.
const HUNG_GOAL: f64 = 2.5;
const HUNG_TIMES: f64 = 8.0;

/// Time for which a server that rejected a request is not asked again while another attempt is in
/// flight. Each arrival there counts as a retry.
const DECLINED_PAUSE: Duration = Duration::from_millis(500);

/// Time after which a server that was sent a hedged stream, and has not rejected it, counts as at work
/// on it. The servers that were asked before must not go on working beside it.
const ACCEPTED_AFTER: Duration = Duration::from_millis(250);

/// Time, after this host did not run for a while, in which no server is judged and none has accepted
/// a stream: answers lie unread, the request may not have been written before, and a rejection needs
/// time to arrive.
const RESUMPTION_GRACE: Duration = Duration::from_millis(50);

/// Time between two pauses of this host that delay an acceptance or a verdict. A host that is stopped
/// again and again must leave an unresponsive server as well.
const RESUMPTION_INTERVAL: Duration = Duration::from_millis(200);

/// Age from which on a pause of this host is forgotten.
const PAUSE_MAX_AGE: Duration = Duration::from_secs(30);

/// Time between two searches of another server for a request that is to be hedged.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);

/// End of an attempt that an attempt at another server has overtaken.
const SILENCE: End = End::Unclear(Unclear::Silent);

/// Times of the checks of servers that do not respond.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    /// When responses were last checked.
    pub(super) checked_at: Moment,
    /// When this host last went on after it did not run for a while.
    resumed_at: Option<Moment>,
    /// When the queues were last advanced.
    pub(super) pumped_at: Moment,
    /// Pauses of this host, each longer than all later ones.
    pauses: VecDeque<Pause>,
}

/// A time in which this host did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    from: Moment,
    to: Moment,
}

impl Pause {
    /// Length of the part that lies after `since`.
    fn length_after(self, since: Moment) -> Duration {
        self.to.saturating_sub(self.from.max(since))
    }
}

impl Times {
    /// Records that this host goes on after it did not run for a while.
    fn resumed(&mut self, now: Moment) {
        if self.resumed_at.is_none_or(|at| at + RESUMPTION_INTERVAL <= now) {
            self.resumed_at = Some(now);
        }
        let pause = Pause { from: self.pumped_at + OVERDUE_CHECK_INTERVAL, to: now };
        if pause.to <= pause.from {
            return;
        }
        let length = pause.length_after(Duration::ZERO);
        while self.pauses.back().is_some_and(|last| last.length_after(Duration::ZERO) <= length) {
            self.pauses.pop_back();
        }
        self.pauses.push_back(pause);
        while self.pauses.front().is_some_and(|first| first.to + PAUSE_MAX_AGE <= now) {
            self.pauses.pop_front();
        }
    }

    /// Whether this host has just gone on, and may not have read all answers.
    pub(super) fn is_catching_up(&self, now: Moment) -> bool {
        self.resumed_at.is_some_and(|at| now < at + RESUMPTION_GRACE)
    }

    /// Time for which a server could have answered since then: without the longest pause of this
    /// host, as a request or an answer is delayed by one pause only.
    pub(super) fn since(&self, since: Moment, now: Moment) -> Duration {
        now.saturating_sub(since).saturating_sub(self.longest_pause(since))
    }

    /// Whether the time since then is mostly a server's, so that it shows how fast the server is. An
    /// answer that arrived while this host did not run is read at an unknown time after.
    pub(super) fn is_measured(&self, since: Moment, now: Moment) -> bool {
        self.longest_pause(since) * 2 <= now.saturating_sub(since)
    }

    /// Length of the longest pause of this host after `since`.
    pub(super) fn longest_pause(&self, since: Moment) -> Duration {
        let first = self.pauses.partition_point(|pause| pause.to <= since);
        // The first one may overlap in part, and the second one is the longest of the others.
        let overlapping = self.pauses.range(first..).take(2);
        overlapping.map(|pause| pause.length_after(since)).max().unwrap_or_default()
    }
}

impl Dispatcher {
    /// Checks for overdue responses, and for requests that are to be hedged.
    pub(super) fn check_overdue(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let mut overdue: Vec<(Ticket, Attempt, Index)> = Vec::new();
        let mut silent: Vec<Ticket> = Vec::new();
        for (ticket, task) in &mut self.tasks {
            path::mark_stranded(task, &mut self.registry, &self.watch, now);
            if should_hedge(task, &mut self.registry, &self.watch, now) {
                silent.push(*ticket);
            }
            let State::InFlight(attempt) = &mut task.state else { continue };
            let server = self.registry.get_same(attempt.server, &attempt.id);
            let expected_ms = server.map_or(attempt.expected_ms, |s| expected_ms(attempt, s, now));
            let allowed = expected_ms * OVERDUE_TIMES + millis(task.spec.goal) * OVERDUE_GOAL;
            if attempt.phase == Phase::Pending
                && !attempt.is_stranded
                && allowed < millis(self.watch.since(attempt.sent_at, now))
            {
                attempt.phase = Phase::Overdue;
                overdue.push((*ticket, attempt.clone(), task.service));
            }
        }
        overdue.sort_unstable_by_key(|(ticket, ..)| *ticket);
        for (_, attempt, service) in overdue {
            self.record_overdue(&attempt, service, now);
        }
        silent.sort_unstable();
        for ticket in silent {
            let is_possible = self.find_other_server(ticket, now).is_some();
            self.set_hedge(
                ticket,
                if is_possible { Hedge::Requested } else { Hedge::Seeking(now) },
            );
            if is_possible {
                changes.push(Change { ticket, verdict: Verdict::Hedge });
            }
        }
    }

    fn set_hedge(&mut self, ticket: Ticket, hedge: Hedge) {
        if let Some(attempt) = self.attempt_mut(ticket) {
            attempt.hedge = hedge;
        }
    }

    fn attempt_mut(&mut self, ticket: Ticket) -> Option<&mut Attempt> {
        match &mut self.tasks.get_mut(&ticket)?.state {
            State::InFlight(attempt) => Some(attempt),
            State::Idle | State::Waiting(..) => None,
        }
    }

    /// Returns the request as a second attempt would start it, with the choice of another server;
    /// `None` if no other server has a place or no retry is left.
    fn find_other_server(&self, ticket: Ticket, now: Moment) -> Option<(Task, Choice)> {
        let before = self.tasks.get(&ticket).filter(|task| task.has_another_try())?;
        let State::InFlight(attempt) = &before.state else { return None };
        let mut task = Task { state: State::Idle, payment: None, ..before.clone() };
        task.spec.avoid.push(attempt.id.clone());
        task.rivals.push(Rival { ticket, server: attempt.id.clone() });
        let mut ended = task.clone();
        let declined = task.declined.iter().filter(|(_, at)| now < *at + DECLINED_PAUSE);
        let declined: Vec<backend::Id> = declined.map(|(server, _)| server.clone()).collect();
        ended.asked.retain(|asked| !declined.contains(asked.server()));
        ended.spec.avoid.extend(declined);
        // `Task::may_ask` counts the attempts in flight of a stream that may be resumed.
        if !task.spec.is_resumable_stream() {
            ended.runs += before.in_flight();
        }
        ended.tries += before.in_flight();
        self.check_retry(&ended, SILENCE, now).ok()?;
        let budget = &self.registry.services[task.service as usize].budget;
        let Outcome::Send(choice) = self.choose_for(&ended, Wait::Impossible, now) else {
            return None;
        };
        (1.0 <= budget.left(task.need(), self.sharers.extra(), now)).then_some((task, choice))
    }

    /// Starts an attempt at another server, with the new ticket `hedge`, for a request whose server
    /// is unresponsive; the attempt there goes on. Returns the other server; `None` if it has no
    /// place, if no retry is left, or if the server has just sent something.
    ///
    /// Of the two attempts, the one that is answered is to be passed to [`won`](Self::won). Tickets
    /// must grow from attempt to attempt.
    pub fn hedge(
        &mut self,
        ticket: Ticket,
        hedge: Ticket,
        silence: Silence,
        now: Moment,
    ) -> Option<backend::Id> {
        let attempt = self.attempt_mut(ticket)?;
        let is_due = match silence {
            Silence::Verdict => attempt.hedge == Hedge::Requested,
            Silence::Timeout => !attempt.has_begun() || attempt.heard_at + MIN_SILENCE <= now,
        };
        if !is_due {
            return None;
        }
        self.set_hedge(ticket, Hedge::Seeking(now));
        let (mut task, choice) = self.find_other_server(ticket, now)?;
        let extra = self.sharers.extra();
        let budget = &mut self.registry.services[task.service as usize].budget;
        task.payment = Some(budget.pay(task.need(), extra, now)?);
        task.spec.ticket = hedge;
        task.has_arrived = true;
        let rivals: Vec<Ticket> = task.rivals.iter().map(|rival| rival.ticket).collect();
        let server = self.send(task, choice, now);
        for rival in rivals {
            if let Some(rival) = self.tasks.get_mut(&rival) {
                rival.rivals.push(Rival { ticket: hedge, server: server.clone() });
            }
        }
        Some(server)
    }

    /// Whether something was received from the server of an attempt in flight.
    pub fn has_begun(&self, ticket: Ticket) -> bool {
        self.tasks.get(&ticket).is_some_and(|task| match &task.state {
            State::InFlight(attempt) => attempt.has_begun(),
            State::Idle | State::Waiting(..) => false,
        })
    }

    /// Whether the server of a stream's latest attempt counts as at work on it, so that the attempts
    /// before it are to be ended.
    pub fn is_accepted(&self, ticket: Ticket, now: Moment) -> bool {
        self.tasks.get(&ticket).is_some_and(|task| match &task.state {
            State::InFlight(attempt) => {
                task.spec.kind == Kind::Stream
                    && attempt.path.is_some()
                    && attempt.sent_at + ACCEPTED_AFTER <= now
                    && !self.watch.is_catching_up(now)
            }
            State::Idle | State::Waiting(..) => false,
        })
    }

    /// Records that this host goes on after it did not run for a while.
    pub fn resumed(&mut self, now: Moment) {
        self.watch.resumed(now);
    }

    /// Records that an attempt is answered, which ends the request's other attempts. Servers that
    /// were asked before the answering one count as silent.
    pub fn won(&mut self, ticket: Ticket, now: Moment) {
        let rivals = self.tasks.get(&ticket).map(|task| task.rivals.clone()).unwrap_or_default();
        for rival in rivals.into_iter().map(|rival| rival.ticket) {
            self.ended(rival, if rival < ticket { SILENCE } else { End::Cancelled }, now);
        }
    }

    /// Removes an attempt that has ended from the request's other attempts.
    pub(super) fn withdraw(&mut self, task: &Task, attempt: &Attempt, end: End, now: Moment) {
        let is_unsent = attempt.path.is_none() && end == End::Cancelled;
        let end = if is_unsent { End::Unreachable(Unreachable::Closed) } else { end };
        for rival in &task.rivals {
            let Some(rival) = self.tasks.get_mut(&rival.ticket) else { continue };
            rival.record_rival(task.spec.ticket, &attempt.id, end, now);
            if let State::InFlight(attempt) = &mut rival.state {
                attempt.hedge = Hedge::Seeking(now);
            }
        }
    }

    fn record_overdue(&mut self, attempt: &Attempt, service: Index, now: Moment) {
        let median = self.registry.services[service as usize].median;
        let Some(server) = self.registry.get_same(attempt.server, &attempt.id) else { return };
        // A server that has answered nothing since is silent, not slow.
        if attempt.sent_at < server.answered_at {
            let scale = server.speed.scale(now).max(attempt.scale);
            let ratio =
                millis(self.watch.since(attempt.sent_at, now)) / attempt.baseline_ms / scale;
            server.pace.record_ratio(ratio, &median, now);
        }
        server.unanswered += 1;
        if MAX_UNANSWERED <= server.unanswered {
            server.breaker.trip(Cause::Timeout, now);
        }
        self.trip_outlier(attempt.server, service, now);
    }
}

/// Whether another server is to get the request as well.
fn should_hedge(
    task: &Task,
    registry: &mut super::registry::Registry,
    times: &Times,
    now: Moment,
) -> bool {
    let State::InFlight(attempt) = &task.state else { return false };
    let is_handled = match attempt.hedge {
        Hedge::No => false,
        Hedge::Seeking(at) => now < at + SEEK_INTERVAL,
        Hedge::Requested => true,
    };
    let is_allowed = task.spec.is_repeatable() && task.has_another_try() && task.is_latest();
    if is_handled || !is_allowed {
        return false;
    }
    let Some(server) = registry.get_same(attempt.server, &attempt.id) else { return false };
    let now = now.saturating_sub(times.longest_pause(attempt.heard_at));
    match attempt.phase {
        _ if attempt.is_stranded => true,
        Phase::Responding => task.spec.kind == Kind::Stream && server.answered_at + STALLED < now,
        Phase::Pending | Phase::Overdue => is_lost(task, attempt, server, now),
    }
}

/// Whether a response that has not begun is considered lost.
fn is_lost(task: &Task, attempt: &Attempt, server: &Server, now: Moment) -> bool {
    let expected_ms = expected_ms(attempt, server, now);
    let after =
        |goal: f64, times: f64| task.spec.goal.mul_f64(goal).max(duration(expected_ms * times));
    // A hedge ends the attempt, and a stream that may return may be at a sound server again.
    let least = if task.may_return() { STALLED } else { MIN_SILENCE };
    let silent = after(SILENT_GOAL, SILENT_TIMES).max(least);
    let hung = after(HUNG_GOAL, HUNG_TIMES);
    let is_silent = attempt.heard_at.max(server.answered_at) + silent < now;
    let answers_others =
        attempt.sent_at + duration(expected_ms * OVERDUE_TIMES) < server.answered_at;
    let is_hung = attempt.heard_at + hung < now && answers_others && !task.may_return();
    is_silent || is_hung
}

/// Expected time to the first byte in milliseconds, longer if the server has become slower since the
/// request was sent.
fn expected_ms(attempt: &Attempt, server: &Server, now: Moment) -> f64 {
    attempt.expected_ms * (server.speed.scale(now) / attempt.scale).max(1.0)
}
