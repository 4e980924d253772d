//! Processing of the queues: which request is sent next, and which is given up.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{
    Dispatcher,
    choose::Outcome,
    queue::{Class, Key},
    registry::Work,
    request::{Cause, Change, LEAST_URGENT, Verdict},
    reserve::deferred_part,
    slots::{Asks, want_slots},
    stats::duration,
    task::{Phase, State, Task},
};
use crate::route::Index;

/// Interval at which expired digests, orders and crashes are removed and the medians are
/// recomputed.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of the checks for overdue responses.
pub(super) const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of waiting requests examined in one call, for each service.
pub(super) const SCAN_LIMIT: usize = 256;

/// A model and adapter for which no server has a place, and the part of the reserve that the request
/// would have left free; whether its customer is above its share; the servers whose owners are asked
/// for slots.
type Blocked = (Option<Index>, Option<adapter::Id>, f64, bool, Asks);

/// A model or adapter that no server has loaded: the service, the model, the adapter, and the
/// number of requests that wait for it.
pub type Missing = (service::Id, model::Id, Option<adapter::Id>, u32);

impl Dispatcher {
    /// Advances the queues, and returns the new verdicts on requests. To be called after any
    /// change, including an arrival that has to wait, and every few milliseconds.
    pub fn pump(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = std::mem::take(&mut self.displaced);
        self.registry.apply_deferred(now);
        if self.ticked_at + TICK_INTERVAL <= now {
            self.ticked_at = now;
            self.registry.tick(now);
            self.poison.expire(now);
            self.update_ranks();
            self.update_reserves(now);
            self.update_above_share(now);
        }
        self.watch.pumped_at = now;
        let is_due = self.watch.checked_at + OVERDUE_CHECK_INTERVAL <= now;
        if is_due && !self.watch.is_catching_up(now) {
            self.watch.checked_at = now;
            self.check_overdue(now, &mut changes);
        }
        self.wanted_slots.clear();
        for service in 0..self.registry.services.len() {
            if !self.registry.services[service].queue.is_empty() {
                self.demote_late(service, now);
                self.dispatch_waiting(service, now, &mut changes);
                self.give_up(service, now, &mut changes);
            }
        }
        self.tick_slots(now, &mut changes);
        self.tick_quotas(now, &mut changes);
        self.ask_for_loans(now);
        changes
    }

    /// Number of requests in all queues.
    pub fn waiting(&self) -> usize {
        self.registry.services.iter().map(|service| service.queue.len()).sum()
    }

    /// Returns this host's requests in flight for its digest to peers, by server and model, with
    /// the prompt tokens of those whose response has not begun.
    pub fn work(&self) -> Vec<Work> {
        let mut work: BTreeMap<(&backend::Id, &Option<model::Id>), (u32, u64)> = BTreeMap::new();
        for Task { spec, state, .. } in self.tasks.values() {
            let State::InFlight(attempt) = state else { continue };
            if attempt.is_stranded {
                continue;
            }
            let (requests, prefill) = work.entry((&attempt.id, &spec.model)).or_default();
            *requests += 1;
            *prefill += match attempt.phase {
                Phase::Pending | Phase::Overdue => spec.input.into(),
                Phase::Responding => 0,
            };
        }
        let work = work.into_iter();
        work.map(|((id, model), (requests, prefill))| {
            (id.clone(), model.clone(), requests, prefill)
        })
        .collect()
    }

    /// Models and adapters that requests wait for and no server has loaded, with the number of
    /// requests.
    pub fn missing(&self) -> Vec<Missing> {
        let waiting =
            self.registry.services.iter().flat_map(|service| service.queue.first(usize::MAX));
        let tasks = waiting.filter_map(|key| self.tasks.get(&key.ticket));
        let tasks = tasks.filter(|task| !task.is_begun || !task.is_at_limit());
        let mut missing: Vec<Missing> = Vec::new();
        for task in tasks.filter(|task| task.model.is_some()) {
            let is_same = |other: &&mut Missing| {
                (&other.0, Some(&other.1), &other.2)
                    == (&task.spec.service, task.spec.model.as_ref(), &task.spec.adapter)
            };
            match (missing.iter_mut().find(is_same), &task.spec.model) {
                (Some(other), _) => other.3 += 1,
                (None, Some(model)) if !self.has_capable_server(task) => {
                    let spec = &task.spec;
                    missing.push((spec.service.clone(), model.clone(), spec.adapter.clone(), 1));
                }
                (None, _) => {}
            }
        }
        missing
    }

    /// Models that requests wait for, with the number of requests.
    pub fn wanted(&self) -> Vec<(service::Id, model::Id, u32)> {
        let queues = self.registry.services.iter().map(|service| (&service.id, &service.queue));
        let wanted = queues.flat_map(|(id, queue)| queue.wanted().map(move |wanted| (id, wanted)));
        wanted
            .filter_map(|(service, (model, count))| {
                let model = &self.registry.models[model? as usize];
                Some((service.clone(), model.id.clone(), count))
            })
            .collect()
    }

    /// Moves requests that can no longer be on time behind those that can. A request whose expected
    /// wait is too long expires at once.
    fn demote_late(&mut self, service: usize, now: Moment) {
        for priority in 0..=LEAST_URGENT {
            while let Some(key) = self.registry.services[service].queue.next_missed(priority, now) {
                let Some(mut task) = self.take(service, key) else { break };
                let State::Waiting(_, before) = task.state else { continue };
                let is_missing = !self.has_capable_server(&task);
                let until = match self.late_until(&task, now) {
                    _ if is_missing => before,
                    Some(until) => until.min(before),
                    None => now,
                };
                self.enqueue(&mut task, Class::Late, until, now);
                self.tasks.insert(key.ticket, task);
            }
        }
    }

    /// Sends the requests for which a server has a place, in the order of service.
    pub(super) fn dispatch_waiting(
        &mut self,
        service: usize,
        now: Moment,
        changes: &mut Vec<Change>,
    ) {
        let keys = self.registry.services[service].queue.first(SCAN_LIMIT);
        let mut blocked: Vec<Blocked> = Vec::new();
        for key in keys {
            let Some(task) = self.tasks.get(&key.ticket) else { continue };
            let wants = (task.model, &task.spec.adapter);
            let part = deferred_part(task, now);
            let is_above = self.above_share.contains(&task.spec.customer);
            let is_blocked = |(model, adapter, least, was_above, _): &&Blocked| {
                (*model, adapter) == wants && *least <= part && *was_above <= is_above
            };
            if let Some((.., asks)) = blocked.iter().find(is_blocked) {
                want_slots(&mut self.wanted_slots, &self.registry, asks, task, now);
                continue;
            }
            // A request with too little time left is not sent; it is given up when it expires.
            if !task.is_begun && task.spec.deadline <= now + duration(self.stats(task).base()) {
                continue;
            }
            let is_late = self.is_lost_to_lateness(task, now);
            let verdict = match self.is_quarantined(&task.spec, now) {
                true => Some(Verdict::Quarantined),
                // One that may have run can't be refused; the host may be on time before it expires.
                false if is_late && 0 < task.runs => continue,
                false if is_late => {
                    let after = self.retry_after(task, now);
                    Some(Verdict::Refuse { cause: Cause::Late, after })
                }
                false => None,
            };
            // A stream that has begun waits until a retry is left, and wants no slot before.
            if verdict.is_none() && task.must_pay() {
                let budget = &mut self.registry.services[service].budget;
                if !budget.request_retry(task.need(), self.sharers.extra(), now) {
                    continue;
                }
            }
            let outcome = self.choose(task, now);
            let is_like_others = task.spec.avoid.is_empty()
                && task.spec.software.is_none()
                && !self.is_suspect(task);
            match (verdict, outcome) {
                (Some(verdict), _) => {
                    self.drop_waiting(service, key);
                    changes.push(Change { ticket: key.ticket, verdict });
                }
                (None, Outcome::Send(_)) if task.is_begun && !self.is_covered(task, now) => {
                    let Some(mut task) = self.tasks.remove(&key.ticket) else { continue };
                    self.refund(&mut task);
                    self.tasks.insert(key.ticket, task);
                }
                (None, Outcome::Send(choice)) if task.must_pay() => {
                    let budget = &mut self.registry.services[service].budget;
                    let payment = budget.pay(task.need(), self.sharers.extra(), now);
                    let Some(mut task) = self.take(service, key) else { continue };
                    task.payment = payment;
                    let verdict = Verdict::Send(self.send(task, choice, now));
                    changes.push(Change { ticket: key.ticket, verdict });
                }
                (None, Outcome::Send(_)) if !self.is_covered(task, now) => {
                    let verdict = self.unpaid(task, now);
                    self.drop_waiting(service, key);
                    changes.push(Change { ticket: key.ticket, verdict });
                }
                (None, Outcome::Send(choice)) => {
                    let Some(task) = self.take(service, key) else { continue };
                    let verdict = Verdict::Send(self.send(task, choice, now));
                    changes.push(Change { ticket: key.ticket, verdict });
                }
                (None, outcome) => {
                    let asks = outcome.asks();
                    want_slots(&mut self.wanted_slots, &self.registry, &asks, task, now);
                    if is_like_others {
                        let adapter = task.spec.adapter.clone();
                        blocked.push((task.model, adapter, part, is_above, asks));
                    }
                }
            }
        }
    }

    /// Refuses requests that have waited for too long.
    fn give_up(&mut self, service: usize, now: Moment, changes: &mut Vec<Change>) {
        while let Some(ticket) = self.registry.services[service].queue.next_expired(now) {
            let Some(State::Waiting(key, _)) = self.tasks.get(&ticket).map(|task| &task.state)
            else {
                break;
            };
            let Some(mut task) = self.take(service, *key) else { break };
            let verdict = match task.runs {
                0 => self.refusal(&task, now),
                _ => Verdict::Unclear(self.obstacle(&task)),
            };
            self.refund(&mut task);
            changes.push(Change { ticket, verdict });
        }
    }

    /// Whether a request's next arrival needs no payment, or its payment is still within the
    /// budget.
    fn is_covered(&self, task: &Task, now: Moment) -> bool {
        let budget = &self.registry.services[task.service as usize].budget;
        task.payment.is_none() || budget.is_covered(self.sharers.extra(), now)
    }

    /// Verdict on a request whose payment is no longer within the budget.
    fn unpaid(&self, task: &Task, now: Moment) -> Verdict {
        match task.runs {
            0 => Verdict::Refuse { cause: Cause::Budget, after: self.retry_after(task, now) },
            _ => Verdict::Unclear(Cause::Budget),
        }
    }

    /// Removes a waiting request, and gives back its payment for a retry.
    pub(super) fn drop_waiting(&mut self, service: usize, key: Key) {
        if let Some(mut task) = self.take(service, key) {
            self.refund(&mut task);
        }
    }

    /// Removes a request from its queue and from the tasks.
    pub(super) fn take(&mut self, service: usize, key: Key) -> Option<Task> {
        let task = self.tasks.remove(&key.ticket)?;
        if let State::Waiting(key, give_up) = &task.state {
            self.registry.services[service].queue.remove(*key, task.flow(), *give_up);
        }
        Some(task)
    }
}
