//! Arrivals, and what follows a failed attempt.

use types::prelude::*;

use super::{
    Dispatcher,
    budget::Payment,
    choose::{Choice, Outcome},
    poison,
    queue::{Class, Key},
    request::{Answer, Cause, End, RequestSpec, RetryDecision, Ticket, Verdict},
    slots::Asks,
    stats::{duration, millis},
    task::{Attempt, Hedge, Phase, State, Task},
};
use crate::slots;

/// A request is queued only if its expected wait, or the wait beyond its due time, is at most one
/// part in this many of its caller's timeout. A request that is refused at once can still be
/// retried in time; the longer it is held first, the less a retry is worth, down to nothing at
/// three quarters of the timeout. A late response is worth three tenths of one in time. At one
/// eighth, a response that is likely to be late is still worth the risk.
const MAX_WAIT_DIVISOR: u32 = 8;

/// Part of its goal that a request must have left, in addition to its expected service time, to be
/// served before late requests. Without this slack, an overloaded host serves each request when it
/// has just become late.
const ON_TIME_SLACK: f64 = 0.33;

/// Part of its caller's timeout that a request waits while no server has its model loaded and no
/// load was ordered. A load takes seconds, and a model that is rarely requested would never be
/// loaded if its requests were refused.
const NOT_LOADED_WAIT: f64 = 0.35;

/// Part of its caller's timeout that a request waits once its model is being loaded.
const LOADING_WAIT: f64 = 0.7;

/// Divisors of the caller's timeout that give the shortest and the longest delay after which a
/// refused request may be retried. Callers wait at most a third of the time they have left.
pub(super) const RETRY_AFTER_MIN_DIVISOR: u32 = 12;
const RETRY_AFTER_MAX_DIVISOR: u32 = 5;

/// Callers wait at most one part in this many of the time they have left before they retry.
pub(super) const CALLER_WAIT_DIVISOR: u32 = 3;

/// Lower bound of the estimated rate at which requests start, so that estimated waits stay finite.
const MIN_STARTS_PER_MS: f64 = 1e-7;

/// Expected times of a request, in milliseconds.
struct Estimate {
    /// Time until the request starts.
    wait: f64,
    /// Time from the start to the first byte.
    serve: f64,
}

impl Dispatcher {
    /// Decides whether a request that has arrived is sent to a server, queued or refused.
    pub fn arrive(&mut self, mut spec: RequestSpec, now: Moment) -> Verdict {
        spec.weight = self.weights.of(&spec.customer).unwrap_or(spec.weight);
        let service = self.registry.service(&spec.service);
        let model = spec.model.as_ref().map(|model| self.registry.model(service, model));
        self.registry.services[service as usize].budget.request(now);
        if self.is_quarantined(&spec, now) {
            return Verdict::Quarantined;
        }
        let mut task = Task::new(spec, service, model, now);
        if self.lacks_software(&task) {
            return Verdict::Refuse { cause: Cause::Software, after: retry_delay(&task, 0.0) };
        }
        if self.is_lost_to_lateness(&task, now) {
            return Verdict::Refuse { cause: Cause::Late, after: self.retry_after(&task, now) };
        }
        task.deferral = self.deferral(&task, now);
        if task.deferral.is_none() && task.model.is_some() {
            self.record_prompt(&task);
        }
        let ahead = self.ahead(&task);
        self.record_missing_permits(&task, now);
        match self.choose(&task, now) {
            Outcome::Send(choice) if ahead == 0 => Verdict::Send(self.send(task, choice, now)),
            Outcome::NoServer => self.wait_for_load(task, now),
            outcome => {
                let estimate = self.estimate_wait(&task, now);
                // While a server has a place, the requests that wait need another one, and the next
                // pump of the queue sends this request.
                let (is_full, asks) = (matches!(outcome, Outcome::Full(_)), outcome.asks());
                let futile = self.retry_after_if_futile(&task, &estimate, now);
                let futile = futile.filter(|_| is_full && !self.displace(&task, now));
                if let Some(after) = futile.filter(|_| asks.is_empty()) {
                    let is_limited = self.limited_rate(&task, now).is_some();
                    let cause = if is_limited { Cause::Limit } else { Cause::Full };
                    return Verdict::Refuse { cause, after };
                }
                let class = class(&task, &estimate, now);
                let last = give_up_at(&task, class, &estimate, now);
                // The owners may know of a slot that the estimate doesn't.
                let answered = futile.map_or(last, |_| now + slots::ANSWER_TIMEOUT);
                self.enqueue(&mut task, class, last.min(answered), now);
                self.wait_for_slots(task, &asks, now);
                Verdict::Wait
            }
        }
    }

    /// Decides what follows an attempt that failed. After [`RetryDecision::GiveUp`] the request is
    /// over; after [`RetryDecision::InFlight`] only this attempt is.
    pub fn attempt_failed(&mut self, ticket: Ticket, end: End, now: Moment) -> RetryDecision {
        let Some(mut task) = self.tasks.remove(&ticket) else {
            return RetryDecision::GiveUp(Answer::Unclear(Cause::Attempts));
        };
        let state = std::mem::replace(&mut task.state, State::Idle);
        let State::InFlight(attempt) = state else {
            let after = retry_delay(&task, 0.0);
            return RetryDecision::GiveUp(Answer::NotRun { cause: Cause::Late, after });
        };
        self.attempt_ended(&mut task, &attempt, end, now);
        if !task.rivals.is_empty() {
            self.refund(&mut task);
            self.withdraw(&task, &attempt, end, now);
            return RetryDecision::InFlight;
        }
        task.record_attempt(&attempt.id, end, now);
        task.pause_if_rejected(end, now);
        let outcome = self.choose(&task, now);
        match self.pay_for_retry(&mut task, end, &outcome, now) {
            Ok(()) => {}
            Err(Cause::Budget) if task.is_begun => {
                self.requeue(task, Duration::ZERO, &Asks::default(), now);
                return RetryDecision::Wait;
            }
            Err(cause) => {
                self.refund(&mut task);
                return RetryDecision::GiveUp(self.answer(&task, end, cause, now));
            }
        }
        match outcome {
            Outcome::Send(choice) => RetryDecision::Send(self.send(task, choice, now)),
            Outcome::Full(asks) => match self.retry_after_back_off(&task, now) {
                Some(after) => {
                    self.refund(&mut task);
                    RetryDecision::GiveUp(Answer::NotRun { cause: Cause::Full, after })
                }
                None => {
                    self.requeue(task, Duration::ZERO, &asks, now);
                    RetryDecision::Wait
                }
            },
            Outcome::NoServer => self.wait_for_another(task, now),
        }
    }

    /// Returns the delay after which the caller should retry a request that did not run, if no server
    /// wants requests before it is too late.
    fn retry_after_back_off(&self, task: &Task, now: Moment) -> Option<Duration> {
        if task.runs > 0 || self.closed_for(task, now).is_none() {
            return None;
        }
        self.retry_after_if_futile(task, &self.estimate_wait(task, now), now)
    }

    /// Returns the payment for an arrival that will not take place.
    pub(super) fn refund(&mut self, task: &mut Task) {
        if let Some(payment) = task.payment.take() {
            self.registry.services[task.service as usize].budget.refund(payment);
        }
    }

    /// Queues a request after a failed attempt, until another server has a place for it. A request
    /// that may have run waits as long as its time allows, since it can no longer be refused as not
    /// run; one that did not run waits as long as a late request, or until `until` if that is
    /// later.
    fn requeue(&mut self, mut task: Task, until: Moment, asks: &Asks, now: Moment) {
        let estimate = self.estimate_wait(&task, now);
        let give_up = match task.runs {
            _ if task.is_begun => task.spec.deadline,
            0 => give_up_at(&task, Class::Late, &estimate, now).max(until),
            _ => latest_start(&task, &estimate),
        };
        self.enqueue(&mut task, Class::Retried, give_up, now);
        self.wait_for_slots(task, asks, now);
    }

    fn wait_for_another(&mut self, task: Task, now: Moment) -> RetryDecision {
        let ready = self.loaded_at(&task);
        let (model, adapter) = (task.spec.model.clone(), task.spec.adapter.clone());
        // Other servers may have the model, but the route doesn't allow any of them.
        let is_limited = task.is_begun && task.is_at_limit();
        let until = load_wait_until(&task, ready);
        self.requeue(task, until, &Asks::default(), now);
        let missing = model.filter(|_| ready.is_none() && !is_limited);
        missing.map_or(RetryDecision::Wait, |model| RetryDecision::Missing { model, adapter })
    }

    /// Checks that another attempt is allowed, and pays for it; the error is the cause of the
    /// refusal.
    fn pay_for_retry(
        &mut self,
        task: &mut Task,
        end: End,
        outcome: &Outcome,
        now: Moment,
    ) -> Result<(), Cause> {
        self.check_retry(task, end, now)?;
        // A loan is valid only for a retry that is sent at once, so a loan left from an attempt
        // that reached no server is dropped.
        task.payment = task.payment.filter(|payment| *payment == Payment::Own);
        // The first arrival of a request at a server needs no payment.
        if !task.must_pay() {
            return Ok(());
        }
        let (need, extra) = (task.need(), self.sharers.extra());
        let budget = &mut self.registry.services[task.service as usize].budget;
        task.payment = match outcome {
            Outcome::Send(_) => budget.pay(need, extra, now),
            Outcome::Full(_) | Outcome::NoServer => budget.reserve(need, extra, now),
        };
        task.payment.map(|_| ()).ok_or(Cause::Budget)
    }

    /// Checks that another attempt is allowed, regardless of the retry budget.
    pub(super) fn check_retry(&self, task: &Task, end: End, now: Moment) -> Result<(), Cause> {
        let is_allowed = match end {
            End::Completed | End::Closed | End::Cancelled => false,
            End::NotRun(_) | End::Unreachable(_) => true,
            End::ServerError | End::Unclear(_) => task.spec.is_repeatable(),
        };
        let serve = duration(self.stats(task).base());
        let is_poison = self.standing(&task.spec) == poison::Standing::Poison;
        if !is_allowed || !task.has_tries() || self.has_used_up_servers(task) {
            return Err(Cause::Attempts);
        }
        // Crashes that turn out to have another cause are voided, and the caller has a part.
        if is_poison && (!task.is_begun || self.is_quarantined(&task.spec, now)) {
            return Err(Cause::Poison);
        }
        // The estimate is no reason to end a stream that has begun.
        let needed = if task.is_begun { Duration::ZERO } else { self.lateness + serve };
        if task.spec.deadline <= now + needed {
            return Err(Cause::Late);
        }
        if self.lacks_software(task) {
            return Err(Cause::Software);
        }
        Ok(())
    }

    /// Whether a stream that has begun may go to no further server, and none of those that ran it is
    /// registered any more.
    fn has_used_up_servers(&self, task: &Task) -> bool {
        let is_registered = |server: &backend::Id| self.registry.index(server).is_some();
        task.is_begun && task.is_at_limit() && !task.servers_that_ran().any(is_registered)
    }

    /// Whether this host's tasks run so late that the request can't be served by its deadline. While
    /// they are on time, a request with little time left is still sent: its service may be faster
    /// than expected.
    pub(super) fn is_lost_to_lateness(&self, task: &Task, now: Moment) -> bool {
        let serve = duration(self.stats(task).base());
        !self.lateness.is_zero() && task.spec.deadline <= now + self.lateness + serve
    }

    fn answer(&self, task: &Task, end: End, cause: Cause, now: Moment) -> Answer {
        match end {
            _ if task.runs == 0 => Answer::NotRun { cause, after: self.retry_after(task, now) },
            End::Completed | End::Closed | End::ServerError => Answer::Server(cause),
            End::NotRun(_) | End::Unreachable(_) | End::Unclear(_) | End::Cancelled => {
                Answer::Unclear(cause)
            }
        }
    }

    /// Assigns the request to the chosen server, reserves its place there, and returns the server's
    /// id.
    pub(super) fn send(&mut self, mut task: Task, choice: Choice, now: Moment) -> backend::Id {
        let ticket = task.spec.ticket;
        let suspects: Vec<poison::Subject> = self.suspects(&task.spec).collect();
        for (digest, _) in &task.prefixes {
            self.hints.add(*digest, choice.server, now);
        }
        let queue = &mut self.registry.services[task.service as usize].queue;
        queue.started(task.spec.priority, &task.spec.customer, task.charge());
        let memory = task.memory();
        self.use_slot(choice.server);
        self.registry.changed_loads.push(choice.server);
        let server = self.registry.get_mut(choice.server).expect("a chosen server is there");
        if server.is_limited {
            self.quotas.use_permit(&server.id, now);
        }
        server.load.sent(ticket, choice.prefill, memory, now);
        server.breaker.sent(ticket, now);
        server.speed.start(ticket);
        server.back_off.sent();
        let id = server.id.clone();
        for suspect in suspects {
            self.poison.start_trial(ticket, suspect, &id);
        }
        task.state = State::InFlight(Attempt {
            server: choice.server,
            id: id.clone(),
            software: server.software,
            sent_at: now,
            baseline_ms: choice.baseline_ms,
            work_ms: choice.work_ms,
            queue_ms: choice.queue_ms,
            expected_ms: choice.expected_ms,
            momentary: server.speed.momentary(now),
            scale: server.speed.scale(now),
            is_cold: server.is_cold(now),
            phase: Phase::Pending,
            began_at: now,
            is_sustained: false,
            hedge: Hedge::No,
            path: None,
            heard_at: now,
            is_stranded: false,
        });
        self.tasks.insert(ticket, task);
        id
    }

    fn wait_for_load(&mut self, mut task: Task, now: Moment) -> Verdict {
        let ready = self.loaded_at(&task);
        if let Some(ready) = ready.filter(|ready| self.is_too_late(&task, *ready)) {
            let most = task.spec.deadline.saturating_sub(now) / CALLER_WAIT_DIVISOR;
            let after = ready.saturating_sub(now).min(most);
            return Verdict::Refuse { cause: Cause::NoServer, after };
        }
        let give_up = load_wait_until(&task, ready);
        let missing = task.spec.model.clone().filter(|_| ready.is_none());
        let adapter = task.spec.adapter.clone();
        self.enqueue(&mut task, Class::OnTime, give_up, now);
        self.tasks.insert(task.spec.ticket, task);
        missing.map_or(Verdict::Wait, |model| Verdict::Missing { model, adapter })
    }

    /// Whether the caller will have left before a load that is done at `ready` lets the request be
    /// served.
    fn is_too_late(&self, task: &Task, ready: Moment) -> bool {
        task.caller_leaves_at() < ready + duration(self.stats(task).base())
    }

    /// Earliest expected completion of a load that lets the request run on a server that it need
    /// not avoid.
    fn loaded_at(&self, task: &Task) -> Option<Moment> {
        let loading = &self.registry.models[task.model? as usize].loading;
        let is_other = |index| {
            let server = self.registry.get(index);
            let software = task.spec.software;
            server.is_some_and(|server| {
                software.is_none_or(|began| server.software == began) && task.may_ask(&server.id)
            })
        };
        let wanted = loading
            .iter()
            .filter(|(at, adapter, _)| *adapter == task.spec.adapter && is_other(*at));
        wanted.map(|(_, _, ready)| *ready).min()
    }

    pub(super) fn enqueue(&mut self, task: &mut Task, class: Class, give_up: Moment, now: Moment) {
        let send_by = match class {
            Class::Retried => now,
            Class::OnTime | Class::Late => self.send_by(task),
        };
        let key = Key { priority: task.spec.priority, class, send_by, ticket: task.spec.ticket };
        task.state = State::Waiting(key, give_up);
        self.registry.services[task.service as usize].queue.add(
            key,
            task.flow(),
            task.charge(),
            give_up,
        );
    }

    /// When the request must be sent to be on time, even under overload.
    pub(super) fn send_by(&self, task: &Task) -> Moment {
        let serve = duration(self.stats(task).base()) + task.spec.goal.mul_f64(ON_TIME_SLACK);
        task.due.saturating_sub(serve)
    }

    fn ahead(&self, task: &Task) -> u32 {
        let queue = &self.registry.services[task.service as usize].queue;
        queue.ahead(&task.flow(), task.spec.priority, task.spec.weight)
    }

    /// Estimates the times of a request that is queued now, from the rate at which slots become
    /// free, which is higher at fast servers, and this host's share of them.
    fn estimate_wait(&self, task: &Task, now: Moment) -> Estimate {
        let (mut slots, mut own, mut all) = (0.0, 1.0, 1.0);
        let mut limited = None;
        for index in self.list(task).sample(task.seed()) {
            let Some(server) = self.registry.get(index) else { continue };
            if !self.is_capable(task, server) {
                continue;
            }
            match self.own_rate(server, now) {
                Some(rate) => *limited.get_or_insert(0.0) += rate,
                None => slots += f64::from(server.slots) / server.speed.scale(now),
            }
            own += f64::from(server.load.own());
            all += self.in_flight(server, now);
        }
        let stats = self.stats(task);
        let part = (own / all).max(0.5 / f64::from(self.hosts));
        let slots = if limited.is_some() { slots } else { f64::max(slots, 1.0) };
        let starts = (slots / stats.hold() * part + limited.unwrap_or(0.0)).max(MIN_STARTS_PER_MS);
        let ahead = f64::from(self.ahead(task)) + 1.0;
        let closed = self.closed_for(task, now).map_or(0.0, millis);
        Estimate { wait: closed + ahead / starts, serve: self.serve(task) }
    }

    /// Time until a server that could run the request wants requests again; `None` if one does now.
    fn closed_for(&self, task: &Task, now: Moment) -> Option<Duration> {
        let servers = self.list(task).sample(task.seed()).filter_map(|at| self.registry.get(at));
        let capable = servers.filter(|server| self.is_capable(task, server));
        let left = capable.map(|server| server.back_off.left(now));
        left.min().filter(|left| !left.is_zero())
    }

    /// Time from a request's start to its first byte, in milliseconds.
    pub(super) fn serve(&self, task: &Task) -> f64 {
        let reading = f64::from(task.input()) / super::choose::PREFILL_TOKENS_PER_MS;
        let reading = if task.model.is_some() { reading } else { 0.0 };
        self.stats(task).base() + reading
    }

    /// Returns the delay after which the caller should retry, if the request can't be served in
    /// time by waiting on this host.
    fn retry_after_if_futile(
        &self,
        task: &Task,
        estimate: &Estimate,
        now: Moment,
    ) -> Option<Duration> {
        let start = now + duration(estimate.wait);
        let served = start + duration(estimate.serve);
        let most = task.due.max(now) + task.caller_timeout() / MAX_WAIT_DIVISOR;
        let is_lost = task.caller_leaves_at() < served || most < start;
        is_lost.then(|| self.retry_delay(task, estimate.wait, now))
    }

    /// Returns the delay after which the caller should retry, if the request can't be served in
    /// time behind `ahead` requests, for servers at which `rate` requests start each millisecond.
    pub(super) fn retry_after_if_futile_at(
        &self,
        task: &Task,
        ahead: f64,
        rate: f64,
        now: Moment,
    ) -> Option<Duration> {
        let estimate =
            Estimate { wait: ahead / rate.max(MIN_STARTS_PER_MS), serve: self.serve(task) };
        self.retry_after_if_futile(task, &estimate, now)
    }

    /// The refusal of a request that got no server before the end of its wait.
    pub(super) fn refusal(&self, task: &Task, now: Moment) -> Verdict {
        Verdict::Refuse { cause: self.obstacle(task), after: self.retry_after(task, now) }
    }

    /// Why a request got no server before the end of its wait.
    pub(super) fn obstacle(&self, task: &Task) -> Cause {
        if task.must_pay() {
            return Cause::Budget;
        }
        if self.has_capable_server(task) { Cause::Full } else { Cause::NoServer }
    }

    /// Delay before a retry of a request that is refused now.
    pub(super) fn retry_after(&self, task: &Task, now: Moment) -> Duration {
        self.retry_delay(task, self.estimate_wait(task, now).wait, now)
    }

    fn retry_delay(&self, task: &Task, wait: f64, now: Moment) -> Duration {
        match task.deferral {
            Some(_) => self.deferred_retry_delay(task, wait, now),
            None => retry_delay(task, wait),
        }
    }

    /// Until when a request that has just become late waits; `None` if its expected wait is too
    /// long.
    pub(super) fn late_until(&self, task: &Task, now: Moment) -> Option<Moment> {
        let estimate = self.estimate_wait(task, now);
        let max_wait = task.caller_timeout() / MAX_WAIT_DIVISOR;
        (duration(estimate.wait) < max_wait).then(|| give_up_at(task, Class::Late, &estimate, now))
    }
}

fn class(task: &Task, estimate: &Estimate, now: Moment) -> Class {
    if now + duration(estimate.serve) < task.due { Class::OnTime } else { Class::Late }
}

/// The last moment at which a request can start and be answered before its caller leaves.
fn latest_start(task: &Task, estimate: &Estimate) -> Moment {
    task.caller_leaves_at().saturating_sub(duration(estimate.serve))
}

/// Until when a request of this class waits for a place at a server.
fn give_up_at(task: &Task, class: Class, estimate: &Estimate, now: Moment) -> Moment {
    let last = latest_start(task, estimate);
    match class {
        Class::OnTime => last,
        Class::Retried | Class::Late => {
            last.min(now.max(task.due) + task.caller_timeout() / MAX_WAIT_DIVISOR)
        }
    }
}

/// Until when a request waits for its model or adapter to be loaded. `ready` is the expected time
/// of a load that was ordered.
fn load_wait_until(task: &Task, ready: Option<Moment>) -> Moment {
    let until = |part| task.arrived_at + task.caller_timeout().mul_f64(part);
    match ready {
        Some(ready) => (ready + task.caller_timeout() / MAX_WAIT_DIVISOR)
            .max(until(NOT_LOADED_WAIT))
            .min(until(LOADING_WAIT)),
        None => until(NOT_LOADED_WAIT),
    }
}

/// Delay after which a refused request may be retried: about the time until the requests ahead have
/// started, spread.
fn retry_delay(task: &Task, wait: f64) -> Duration {
    let caller_timeout = task.caller_timeout();
    let base = duration(wait)
        .clamp(caller_timeout / RETRY_AFTER_MIN_DIVISOR, caller_timeout / RETRY_AFTER_MAX_DIVISOR);
    spread(task, base)
}

/// Adds a random part of up to half of the delay, so that requests refused together are not retried
/// together.
pub(super) fn spread(task: &Task, delay: Duration) -> Duration {
    delay + delay / 2 * (task.seed() % 256) as u32 / 256
}
