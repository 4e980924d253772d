//! Log entries and metrics of one request.
//!
//! A [`Trace`] follows a request from its arrival to the last byte of the response. It only
//! records: nothing on the path depends on it. A trace that is dropped before its end counts as a
//! request whose caller has disconnected, unless it is that of a `Call` that this host
//! drops at its end.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::StatusCode;
use observe::{
    metrics::routed::{
        AttemptOutcome, BeginPart, Break, Obstacle, Phase, Refusal, Resend, Routed as Meters,
    },
    story::{self, Arrival, End, Input, Outcome, Step, Text},
};
use policy::dispatch::{Cause, NotRun, Ticket, Unclear, Unreachable};
use types::{
    backend, host,
    request::{self, Ran},
    routed::{Kind, Route, Server},
    time::Moment,
};

use crate::{attempt::AttemptEnd, clock::Clock, edge::Problem, host::Shared, stream};

/// Log entries and metrics of one request.
pub(crate) struct Trace(Mutex<Notes>);

struct Notes {
    /// Log entries of the request; `None` once the request has ended.
    story: Option<story::Request>,
    meters: Meters,
    clock: Clock,
    received: Moment,
    /// When the dispatcher first decided on the request.
    decided: Option<Moment>,
    /// `None` until the request's route is found.
    goals: Option<Goals>,
    /// Cause of the last refusal by the dispatcher or by this host.
    refusal: Option<Refusal>,
    /// What last kept the host from asking a further server.
    obstacle: Option<Obstacle>,
    /// The attempts in flight.
    open: Vec<OpenAttempt>,
    attempts: u32,
    /// Status of the last response.
    status: Option<u16>,
    /// Time from the arrival of the request to the first part of a response.
    first_after: Option<Duration>,
    /// When the last part of a response was received.
    last_received: Option<Moment>,
    /// Longest time between two parts of a response.
    longest_gap: Duration,
    events: u32,
}

/// An attempt in flight.
struct OpenAttempt {
    ticket: Ticket,
    /// Number of the attempt, from one.
    attempt: u32,
    server: backend::Id,
    /// When the attempt was started, or a part of a response was last received for the request.
    heard_at: Moment,
}

/// What found a server unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unresponsive {
    /// The dispatcher, which knows what the server has sent for other requests.
    Dispatcher,
    /// The timeout of the attempt.
    Timeout,
}

impl Unresponsive {
    fn as_str(self) -> &'static str {
        match self {
            Unresponsive::Dispatcher => "dispatcher",
            Unresponsive::Timeout => "timeout",
        }
    }
}

/// Kind and latency goals of a route.
#[derive(Clone, Copy)]
struct Goals {
    kind: Kind,
    goal: Duration,
    gap: Option<Duration>,
}

impl Trace {
    /// Starts the trace of a request.
    pub(crate) fn begin(shared: &Shared, id: &request::Id, received: Moment) -> Trace {
        Trace(Mutex::new(Notes {
            story: Some(shared.logger.request(id.clone())),
            meters: shared.meters.clone(),
            clock: shared.clock,
            received,
            decided: None,
            goals: None,
            refusal: None,
            obstacle: None,
            open: Vec::new(),
            attempts: 0,
            status: None,
            first_after: None,
            last_received: None,
            longest_gap: Duration::ZERO,
            events: 0,
        }))
    }

    /// Records that the request was parsed and its route found.
    pub(crate) fn arrived(&self, route: &Route, arrival: Arrival) {
        let mut notes = self.notes();
        notes.goals = Some(Goals { kind: route.kind, goal: route.goal, gap: route.gap });
        notes.record(Step::Arrived(arrival));
    }

    /// Records that the dispatcher has decided whether the request is sent, queued or refused.
    pub(crate) fn decided(&self) {
        let mut notes = self.notes();
        let now = notes.clock.now();
        notes.decided = Some(now);
        notes.meters.begin(BeginPart::Decision, now.saturating_sub(notes.received));
    }

    /// Records that the request is queued.
    pub(crate) fn queued(&self, why: &'static str, left: Duration) {
        let inputs = vec![left_input(left)];
        self.notes().record(Step::Queued { why: Text::Borrowed(why), inputs });
    }

    /// Records that the request is refused.
    pub(crate) fn refused(&self, cause: Refusal, left: Duration, again: Option<Duration>) {
        let mut notes = self.notes();
        notes.refusal = Some(cause);
        let (why, inputs) = (Text::Borrowed(cause.as_str()), vec![left_input(left)]);
        notes.record(Step::Refused { why, inputs, retry_after: again });
    }

    /// Records that no further server is asked for a request that may have run. `budget` is the number
    /// of retries left.
    pub(crate) fn given_up(&self, obstacle: Obstacle, left: Duration, budget: Option<f64>) {
        let mut notes = self.notes();
        notes.obstacle = Some(obstacle);
        let (cause, events, attempts) =
            (Text::Borrowed(obstacle.as_str()), notes.events, notes.attempts);
        notes.record(Step::GivenUp { cause, left, events, attempts, budget });
    }

    /// Records that the request is sent to a server; `after` is the last event that the caller has,
    /// if a stream is resumed.
    pub(crate) fn sent(&self, ticket: Ticket, server: &Server, after: Option<u64>, left: Duration) {
        let mut notes = self.notes();
        let now = notes.clock.now();
        match (notes.attempts, after) {
            (0, _) => {
                notes.phase(Phase::Wait, now.saturating_sub(notes.received));
                let decided = notes.decided.unwrap_or(now);
                notes.meters.begin(BeginPart::Wait, now.saturating_sub(decided));
            }
            (_, None) => notes.meters.resend(Resend::Retry),
            (_, Some(_)) => notes.meters.resend(Resend::Resume),
        }
        notes.attempts += 1;
        let (attempt, id) = (notes.attempts, server.id.clone());
        notes.open.push(OpenAttempt { ticket, attempt, server: id.clone(), heard_at: now });
        notes.record(Step::Attempt(story::Attempt {
            attempt,
            server: id.clone(),
            address: server.address,
            sent: Text::Borrowed(if after.is_some() { "rest" } else { "whole" }),
            why: Text::Borrowed("chosen"),
            estimate: None,
            left,
            candidates: Vec::new(),
        }));
        if let Some(after) = after.filter(|_| 1 < attempt) {
            notes.record(Step::Resumed { attempt, server: id, after });
        }
    }

    /// Records that the stream goes on at servers of one version only, and how the version is known.
    pub(crate) fn stream_version(
        &self,
        software: String,
        source: &'static str,
        host: Option<host::Id>,
    ) {
        let (software, source) = (Text::Owned(software), Text::Borrowed(source));
        self.notes().record(Step::StreamVersion { software, source, host });
    }

    /// Records the time that it took to get a connection to the server, and the host through which
    /// the connection leads.
    pub(crate) fn connected(&self, ticket: Ticket, took: Duration, via: Option<&host::Id>) {
        let mut notes = self.notes();
        notes.phase(Phase::Connect, took);
        if notes.attempts == 1 {
            notes.meters.begin(BeginPart::Connect, took);
        }
        if let Some(via) = via.cloned()
            && let Some(open) = notes.open.iter().find(|open| open.ticket == ticket)
        {
            let (attempt, server) = (open.attempt, open.server.clone());
            notes.record(Step::Relayed { attempt, server, via });
        }
    }

    /// Records that the server of an attempt counts as unresponsive.
    pub(crate) fn unresponsive(&self, ticket: Ticket, why: Unresponsive) {
        let mut notes = self.notes();
        let now = notes.clock.now();
        let Some(open) = notes.open.iter().find(|open| open.ticket == ticket) else { return };
        let (attempt, server) = (open.attempt, open.server.clone());
        let silent = now.saturating_sub(open.heard_at);
        let why = Text::Borrowed(why.as_str());
        notes.record(Step::Unresponsive { attempt, server, why, silent });
    }

    /// Records the end of an attempt, if it is in flight.
    pub(crate) fn attempt_ended(
        &self,
        ticket: Ticket,
        end: AttemptEnd,
        status: Option<StatusCode>,
    ) {
        let mut notes = self.notes();
        if let Some(at) = notes.open.iter().position(|open| open.ticket == ticket) {
            let open = notes.open.remove(at);
            notes.attempt_ended(open, end, status);
        }
    }

    /// Records that an attempt is answered, which ends all others. The servers that were asked
    /// before were silent.
    pub(crate) fn won(&self, ticket: Ticket) {
        let mut notes = self.notes();
        let (won, lost) = std::mem::take(&mut notes.open)
            .into_iter()
            .partition(|open: &OpenAttempt| open.ticket == ticket);
        notes.open = won;
        let lost: Vec<OpenAttempt> = lost;
        for open in lost {
            let is_earlier = open.ticket < ticket;
            let end = if is_earlier {
                AttemptEnd::Unclear(Unclear::Silent)
            } else {
                AttemptEnd::Cancelled
            };
            notes.attempt_ended(open, end, None);
        }
    }

    /// Records that this host ended all attempts in flight.
    pub(crate) fn cancelled(&self) {
        self.notes().all_ended(AttemptEnd::Cancelled, None);
    }

    /// Records the arrival of the head of a response that is no stream.
    pub(crate) fn response_started(&self, status: Option<StatusCode>) {
        let mut notes = self.notes();
        notes.status = status.map(|status| status.as_u16()).or(notes.status);
        notes.received_now();
    }

    /// Records the status of a stream, before its first event.
    pub(crate) fn stream_started(&self, status: StatusCode) {
        self.notes().status = Some(status.as_u16());
    }

    /// Records how many events were passed to the caller.
    pub(crate) fn delivered(&self, events: u32) {
        let mut notes = self.notes();
        notes.events += events;
        notes.received_now();
    }

    /// Records that a server's response is complete.
    pub(crate) fn completed(&self, status: Option<StatusCode>) {
        let mut notes = self.notes();
        notes.all_ended(AttemptEnd::Completed, status);
        let status = status.map(|status| status.as_u16()).or(notes.status);
        if status.is_some_and(|status| 500 <= status) {
            return notes.end(Outcome::Failed, status, Some("server-error"));
        }
        match notes.missed_goal() {
            Some(why) => notes.end(Outcome::Late, status, Some(why)),
            None => notes.end(Outcome::Answered, status, None),
        }
    }

    /// Records that the request ended with a response of this host's own.
    pub(crate) fn failed(&self, problem: Problem, status: StatusCode) {
        let status = Some(status.as_u16());
        let mut notes = self.notes();
        match problem {
            Problem::Unclear if notes.refusal == Some(Refusal::Poison) && notes.attempts == 0 => {
                notes.refuse(Refusal::Poison, status);
            }
            Problem::Unclear => notes.end(Outcome::Unclear, status, Some("may-have-run")),
            Problem::TimedOut => {
                notes.all_ended(AttemptEnd::Unclear(Unclear::Silent), None);
                notes.end(Outcome::Unclear, status, Some("timed-out"));
            }
            Problem::NotRun(_) => {
                let cause = notes.refusal.unwrap_or(Refusal::NoServer);
                notes.refuse(cause, status);
            }
            Problem::Malformed => notes.refuse(Refusal::Malformed, status),
            Problem::TooLarge => notes.refuse(Refusal::TooLarge, status),
            Problem::Unauthorized => notes.refuse(Refusal::Unauthorized, status),
            Problem::OverQuota(_) => notes.refuse(Refusal::Quota, status),
            Problem::NoRoute => notes.refuse(Refusal::NoRoute, status),
        }
    }

    /// Records that this host has stopped, unless the request has ended.
    pub(crate) fn abandoned(&self) {
        let mut notes = self.notes();
        if notes.story.is_some() {
            notes.all_ended(AttemptEnd::Cancelled, None);
            let status = notes.status;
            notes.end(Outcome::Unclear, status, Some(Break::Stopping.as_str()));
        }
    }

    /// Records that a stream ended before it was complete.
    pub(crate) fn stream_failed(&self, end: &stream::End) {
        let mut notes = self.notes();
        notes.all_ended(end.attempt_end(), None);
        let (why, obstacle) = (end.reason(), end.obstacle());
        notes.obstacle = Some(obstacle);
        notes.meters.cut(why, obstacle);
        let status = notes.status;
        notes.end(Outcome::Cut, status, Some(why.as_str()));
    }

    fn notes(&self) -> MutexGuard<'_, Notes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Notes {
    fn record(&mut self, step: Step) {
        if let Some(story) = &mut self.story {
            story.record(step);
        }
    }

    fn phase(&self, phase: Phase, time: Duration) {
        if let Some(goals) = self.goals {
            self.meters.phase(goals.kind, phase, time);
        }
    }

    fn all_ended(&mut self, end: AttemptEnd, status: Option<StatusCode>) {
        for open in std::mem::take(&mut self.open) {
            self.attempt_ended(open, end, status);
        }
    }

    fn attempt_ended(&mut self, open: OpenAttempt, end: AttemptEnd, status: Option<StatusCode>) {
        let OpenAttempt { attempt, server, .. } = open;
        let label = attempt_outcome(end);
        self.meters.attempt(label);
        let outcome = Text::Borrowed(label.as_str());
        let status = status.map(|status| status.as_u16());
        self.record(Step::AttemptEnded { attempt, server, outcome, status, ran: ran(end) });
    }

    fn received_now(&mut self) {
        let now = self.clock.now();
        self.open.iter_mut().for_each(|open| open.heard_at = now);
        match self.last_received.replace(now) {
            Some(before) => self.longest_gap = self.longest_gap.max(now.saturating_sub(before)),
            None => self.first_after = Some(now.saturating_sub(self.received)),
        }
    }

    /// Returns which goal of the route was missed, if any.
    fn missed_goal(&self) -> Option<&'static str> {
        let Goals { goal, gap, .. } = self.goals?;
        if self.first_after.is_some_and(|first| goal < first) {
            return Some("first-late");
        }
        gap.filter(|gap| *gap < self.longest_gap).map(|_| "pause")
    }

    fn refuse(&mut self, cause: Refusal, status: Option<u16>) {
        self.meters.refusal(cause);
        self.end(Outcome::Refused, status, Some(cause.as_str()));
    }

    fn end(&mut self, outcome: Outcome, status: Option<u16>, why: Option<&'static str>) {
        let Some(story) = self.story.take() else { return };
        let duration = self.clock.now().saturating_sub(self.received);
        if let Some(goals) = self.goals {
            self.meters.request(goals.kind, outcome);
        }
        if let Some(first) = self.first_after {
            self.phase(Phase::First, first);
        }
        if 1 < self.events {
            self.phase(Phase::Gap, self.longest_gap);
        }
        self.phase(Phase::Whole, duration);
        let cause = match outcome {
            Outcome::Cut => self.obstacle.map(|obstacle| Text::Borrowed(obstacle.as_str())),
            _ => None,
        };
        let (why, first, events) = (why.map(Text::Borrowed), self.first_after, self.events);
        story.end(End { outcome, status, why, cause, first, events, duration });
    }
}

impl Drop for Notes {
    fn drop(&mut self) {
        if self.story.is_some() {
            self.all_ended(AttemptEnd::Cancelled, None);
            let status = self.status;
            self.end(Outcome::Left, status, Some("caller-left"));
        }
    }
}

fn left_input(left: Duration) -> Input {
    Input::own("left_ms", left.as_secs_f64() * 1000.0)
}

fn attempt_outcome(end: AttemptEnd) -> AttemptOutcome {
    match end {
        AttemptEnd::Completed | AttemptEnd::Closed => AttemptOutcome::Whole,
        AttemptEnd::ServerError => AttemptOutcome::ServerError,
        AttemptEnd::NotRun(NotRun::Full) => AttemptOutcome::Full,
        AttemptEnd::NotRun(NotRun::NotHeld) => AttemptOutcome::NotHeld,
        AttemptEnd::NotRun(NotRun::Instance) => AttemptOutcome::OtherRun,
        AttemptEnd::Unreachable(Unreachable::Refused) => AttemptOutcome::Refused,
        AttemptEnd::Unreachable(Unreachable::Timeout) => AttemptOutcome::ConnectTimeout,
        AttemptEnd::Unreachable(Unreachable::Closed) => AttemptOutcome::Closed,
        AttemptEnd::Unclear(Unclear::Cut) => AttemptOutcome::Cut,
        AttemptEnd::Unclear(Unclear::Silent) => AttemptOutcome::Silent,
        AttemptEnd::Unclear(Unclear::Garbled) => AttemptOutcome::Garbled,
        AttemptEnd::Unclear(Unclear::Endless) => AttemptOutcome::Endless,
        AttemptEnd::Cancelled => AttemptOutcome::Left,
    }
}

/// Maps the dispatcher's cause to the label of a refusal.
pub(crate) fn refusal(cause: Cause) -> Refusal {
    match cause {
        Cause::NoServer => Refusal::NoServer,
        Cause::Full => Refusal::Full,
        Cause::Limit => Refusal::Limit,
        Cause::Share => Refusal::Share,
        Cause::Late => Refusal::TooLate,
        Cause::Attempts => Refusal::Attempts,
        Cause::Budget => Refusal::Budget,
        Cause::Poison => Refusal::Poison,
        Cause::Software => Refusal::NoVersion,
    }
}

/// Maps the dispatcher's cause to the label of what keeps the host from asking a further server.
pub(crate) fn obstacle(cause: Cause) -> Obstacle {
    match cause {
        Cause::NoServer => Obstacle::NoServer,
        Cause::Full => Obstacle::Full,
        Cause::Limit => Obstacle::Limit,
        Cause::Share => Obstacle::Share,
        Cause::Late => Obstacle::TooLate,
        Cause::Attempts => Obstacle::Attempts,
        Cause::Budget => Obstacle::Budget,
        Cause::Poison => Obstacle::Poison,
        Cause::Software => Obstacle::NoVersion,
    }
}

fn ran(end: AttemptEnd) -> Ran {
    match end {
        AttemptEnd::Completed | AttemptEnd::Closed | AttemptEnd::ServerError => Ran::Ran,
        AttemptEnd::NotRun(_) | AttemptEnd::Unreachable(_) => Ran::DidNotRun,
        AttemptEnd::Unclear(_) | AttemptEnd::Cancelled => Ran::MayHaveRun,
    }
}
