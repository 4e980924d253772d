//! Events of requests at their servers, and the statistics derived from them.

use types::{prelude::*, routed::Kind};

use super::{
    Dispatcher,
    breaker::Cause,
    loaded::Absence,
    pace::Median,
    path,
    request::{End, NotRun, Subject, Ticket, Unclear, Unreachable},
    server::Server,
    stats::millis,
    task::{Attempt, Phase, State, Task},
};
use crate::{paths::Path, route::Index, streams::SoftwareId};

/// How long a server gets no requests after it refused one as full.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Share of its slots in use below which a server's refusal of a request as full counts as a
/// failure.
const EARLY_REFUSAL_FILL: f64 = 0.5;

/// Time from the first event of a stream after which its answer is beyond its beginning. A part of a
/// prompt that crashes servers does so before.
const ANSWER_BEGINNING: Duration = Duration::from_millis(300);

/// Slowness relative to the median above which a server's times are excluded from the statistics of
/// its service or model.
const EXCLUDED_SLOWNESS: f64 = 2.0;

impl Dispatcher {
    /// Records that the first byte of the request is sent, which starts the time of the attempt:
    /// until then the request was waiting for a connection.
    pub fn sent(&mut self, ticket: Ticket, path: Path, now: Moment) {
        if let Some(Task { state: State::InFlight(attempt), .. }) = self.tasks.get_mut(&ticket) {
            attempt.sent_at = now;
            attempt.heard_at = now;
            attempt.path = Some(path);
        }
        self.poison.sent(ticket, now);
    }

    /// Records that the head of the server's response was received, whether or not the body
    /// follows.
    pub fn response_started(&mut self, ticket: Ticket, now: Moment) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        path::heard(&mut self.registry, task, now);
        if let State::InFlight(attempt) = &task.state {
            self.poison.answered(&attempt.id, attempt.sent_at, now);
        }
    }

    /// Records the first byte of the response's body, or the first event of its stream, which is
    /// about to be passed to the caller. From then on only servers of the same version may continue
    /// the stream. Returns that version; `None` if the response is no stream.
    pub fn first_byte(&mut self, ticket: Ticket, now: Moment) -> Option<SoftwareId> {
        let mut task = self.tasks.remove(&ticket)?;
        path::heard(&mut self.registry, &mut task, now);
        if let State::InFlight(attempt) = &mut task.state
            && attempt.phase != Phase::Responding
        {
            let attempt = attempt.clone();
            self.record_first_byte(&task, &attempt, now);
        }
        if let State::InFlight(attempt) = &mut task.state {
            if attempt.phase != Phase::Responding {
                attempt.began_at = now;
            }
            attempt.phase = Phase::Responding;
            if task.spec.kind == Kind::Stream {
                task.spec.software.get_or_insert(attempt.software);
                task.is_begun = task.spec.resumable;
            }
        }
        self.reached(&mut task, now);
        let software = task.spec.software;
        self.tasks.insert(ticket, task);
        software
    }

    /// Records the last event of the stream that the caller has received.
    pub fn delivered(&mut self, ticket: Ticket, event: u64, now: Moment) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        if task.spec.resume < Some(event) {
            task.tries = 0;
        }
        task.spec.resume = Some(event);
        path::heard(&mut self.registry, task, now);
        let State::InFlight(attempt) = &mut task.state else { return };
        if let Some(server) = self.registry.get_same(attempt.server, &attempt.id) {
            server.mark_answered(now);
        }
        let is_sustained =
            attempt.phase == Phase::Responding && attempt.began_at + ANSWER_BEGINNING <= now;
        if is_sustained && !attempt.is_sustained {
            attempt.is_sustained = true;
            self.poison.parts_served(task.spec.shared_parts(), attempt.software, now);
        }
    }

    /// Records that the request has ended, at a server or in the queue, and gives back an unused
    /// payment for a retry.
    pub fn ended(&mut self, ticket: Ticket, end: End, now: Moment) {
        let Some(mut task) = self.tasks.remove(&ticket) else { return };
        match std::mem::replace(&mut task.state, State::Idle) {
            State::Idle => {}
            State::Waiting(key, give_up) => {
                let queue = &mut self.registry.services[task.service as usize].queue;
                queue.remove(key, task.flow(), give_up);
            }
            State::InFlight(attempt) => {
                self.attempt_ended(&mut task, &attempt, end, now);
                self.withdraw(&task, &attempt, end, now);
            }
        }
        self.refund(&mut task);
    }

    /// Records that the current attempt has arrived, or may have arrived, at its server.
    fn reached(&mut self, task: &mut Task, now: Moment) {
        task.has_arrived = true;
        if let Some(payment) = task.payment.take() {
            self.registry.services[task.service as usize].budget.arrived(payment, now);
        }
    }

    /// Records the end of an attempt in the retry budget, in the statistics, and in the state of
    /// its server.
    pub(super) fn attempt_ended(
        &mut self,
        task: &mut Task,
        attempt: &Attempt,
        end: End,
        now: Moment,
    ) {
        if !matches!(end, End::Unreachable(_)) {
            self.reached(task, now);
        }
        self.update_poison(task, attempt, end, now);
        let is_first_byte = attempt.phase != Phase::Responding;
        if is_first_byte && matches!(end, End::Completed | End::Closed) {
            self.record_first_byte(task, attempt, now);
        }
        let median = self.registry.services[task.service as usize].median;
        let server = self.registry.get_same(attempt.server, &attempt.id);
        let long_term = server.as_ref().map_or(1.0, |server| server.speed.long_term());
        let is_excluded = server.is_none_or(|server| is_excluded(server, &median, now));
        let is_measured = self.watch.is_measured(attempt.sent_at, now);
        if matches!(end, End::Completed | End::Closed) && !is_excluded && is_measured {
            let stats = match task.model {
                Some(model) => &mut self.registry.models[model as usize].stats,
                None => &mut self.registry.services[task.service as usize].stats,
            };
            let held = millis(now.saturating_sub(attempt.sent_at)) / long_term;
            stats.record_hold(held - attempt.queue_ms);
        }
        self.update_server(task, attempt, end, now);
        self.trip_outlier(attempt.server, task.service, now);
    }

    fn update_poison(&mut self, task: &Task, attempt: &Attempt, end: End, now: Moment) {
        let ticket = task.spec.ticket;
        // An answer that went on beyond its beginning shows that no part of the prompt crashes servers.
        let subjects = task.spec.subjects().filter(|subject| match subject {
            Subject::Request(_) => true,
            Subject::Part(_) => !attempt.is_sustained,
        });
        // A draining server exits on its own, so a broken connection does not indicate a crash.
        let is_draining =
            self.registry.index(&attempt.id).is_some_and(|index| self.registry.is_draining(index));
        match end {
            End::Completed => {
                let request = task.spec.fingerprint;
                self.poison.completed(request, &attempt.id, attempt.software, now);
                self.poison.parts_served(task.spec.shared_parts(), attempt.software, now);
            }
            End::Unclear(Unclear::Cut) if !is_draining => {
                for subject in subjects {
                    self.poison.crashed(subject, &attempt.id, attempt.sent_at, now);
                }
            }
            End::Unclear(Unclear::Silent) | End::Cancelled if !is_draining => {
                for subject in subjects {
                    self.poison.unclear(ticket, subject, &attempt.id, now);
                }
            }
            End::Closed
            | End::ServerError
            | End::NotRun(_)
            | End::Unreachable(_)
            | End::Unclear(_)
            | End::Cancelled => {}
        }
        self.poison.ended(ticket, now);
    }

    fn update_server(&mut self, task: &Task, attempt: &Attempt, end: End, now: Moment) {
        let peers_at = self.registry.peers_at();
        let median = self.registry.services[task.service as usize].median;
        let ticket = task.spec.ticket;
        self.registry.changed_loads.push(attempt.server);
        let Some(server) = self.registry.get_same(attempt.server, &attempt.id) else { return };
        server.load.ended(ticket);
        server.speed.end(ticket);
        let in_flight = server.load.in_flight(peers_at, now);
        match end {
            End::Completed | End::Closed => {
                server.mark_answered(now);
                server.pace.record_success(&median, now);
                server.breaker.succeeded(ticket);
            }
            End::ServerError => {
                server.mark_answered(now);
                server.pace.record_failure(&median, now);
            }
            End::NotRun(NotRun::Full) => {
                server.mark_answered(now);
                server.load.mark_full(now + FULL_PAUSE);
                server.rejected_at = Some(now);
                self.slots.rejected();
                let is_early = in_flight < f64::from(server.slots) * EARLY_REFUSAL_FILL;
                if is_early && !server.is_limited && !server.back_off.is_active(now) {
                    server.pace.record_failure(&median, now);
                }
            }
            End::NotRun(NotRun::NotHeld) => {
                server.mark_answered(now);
                if let Some(model) = task.model {
                    let adapter = task.spec.adapter.as_ref();
                    self.registry.mark_absent(
                        attempt.server,
                        model,
                        adapter,
                        Absence::Refused,
                        now,
                    );
                }
            }
            End::NotRun(NotRun::Instance) => self.registry.drain(attempt.server),
            End::Unreachable(Unreachable::Refused) => server.breaker.trip(Cause::Refused, now),
            End::Unreachable(Unreachable::Timeout) => server.breaker.trip(Cause::Timeout, now),
            End::Unreachable(Unreachable::Closed) => {}
            End::Unclear(Unclear::Cut) => {
                server.pace.record_failure(&median, now);
                server.breaker.trip(Cause::Disconnected, now);
            }
            End::Unclear(Unclear::Silent) if attempt.is_stranded => {}
            End::Unclear(Unclear::Silent) if server.answered_at < attempt.sent_at => {
                server.breaker.trip(Cause::Timeout, now);
            }
            End::Unclear(Unclear::Silent) => server.pace.record_failure(&median, now),
            End::Unclear(Unclear::Garbled | Unclear::Endless) => {
                server.pace.record_failure(&median, now)
            }
            End::Cancelled => {}
        }
        if let Some(server) = self.registry.get_same(attempt.server, &attempt.id) {
            server.breaker.ended(ticket);
        }
        self.slot_freed(&attempt.id, now);
    }

    /// Updates the server's pace, and the statistics of its model or service, with the time to the
    /// first byte.
    fn record_first_byte(&mut self, task: &Task, attempt: &Attempt, now: Moment) {
        let took = millis(now.saturating_sub(attempt.sent_at)).max(0.1);
        let median = self.registry.services[task.service as usize].median;
        let is_warm = self.stats(task).is_warm();
        self.registry.changed_loads.push(attempt.server);
        let Some(server) = self.registry.get_same(attempt.server, &attempt.id) else { return };
        server.mark_answered(now);
        server.back_off.accepted(attempt.sent_at);
        server.load.prefilled(task.spec.ticket);
        if attempt.is_cold || !self.watch.is_measured(attempt.sent_at, now) {
            return;
        }
        // The server's machine may have changed while the request ran.
        let momentary = (attempt.momentary * server.speed.momentary(now)).sqrt();
        let scale = server.speed.long_term() * momentary;
        let ratio = took / attempt.baseline_ms;
        if attempt.phase == Phase::Pending {
            server.pace.record_ratio(ratio / scale, &median, now);
        }
        if is_warm {
            server.speed.record(task.spec.ticket, ratio, momentary, now);
        }
        if is_excluded(server, &median, now) {
            return self.trip_outlier(attempt.server, task.service, now);
        }
        let stats = match task.model {
            Some(model) => &mut self.registry.models[model as usize].stats,
            None => &mut self.registry.services[task.service as usize].stats,
        };
        // Not divided by the server's pace: the pace is derived from these statistics, so the two
        // estimates would feed back into each other. The scale is relative to the service's median
        // and can't drift together with them.
        stats.record_first_byte(took / scale - attempt.work_ms);
        self.trip_outlier(attempt.server, task.service, now);
    }

    /// Trips the breaker of a server that is an outlier among the servers of its service.
    pub(super) fn trip_outlier(&mut self, server: Index, service: Index, now: Moment) {
        let service = &self.registry.services[service as usize];
        let (median, spread) = (service.median, service.spread);
        if let Some(server) = self.registry.get_mut(server)
            && server.is_outlier(&median, &spread)
        {
            server.breaker.trip(Cause::Outlier, now);
        }
    }
}

/// Whether a server is so slow that its times would distort the statistics of its service.
fn is_excluded(server: &Server, median: &Median, now: Moment) -> bool {
    EXCLUDED_SLOWNESS < server.pace.slowness(median, now)
}
