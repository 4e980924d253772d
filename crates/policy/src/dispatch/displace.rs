//! Displacement of waiting requests by those of customers below their share.
//!
//! A customer's use is the cost of its requests in flight and waiting over its weight. What other
//! hosts have is in their digests; without recent ones a host goes by its own requests.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{
    Dispatcher,
    load::LOAD_MAX_AGE,
    queue::{Class, Flow, Key},
    request::{Cause, Change, Ticket, Verdict},
    reserve::CONTENTION_ROUNDS,
    server::Server,
    task::{State, Task},
};
use crate::share::{Cost, Group};

/// Cost of a customer's requests in flight, and of those that wait.
pub type CustomerWork = (customer::Id, Cost, Cost);

/// Factor over the fair share from which a customer's requests leave slots free. Below it, customers
/// with equal loads would hold each other back by chance.
const ABOVE_SHARE: f64 = 1.5;

/// Part of a server's slots that requests of customers above their share leave free, so that those
/// of others find one although hosts know each other's work late.
const SHARE_RESERVE: f64 = 0.25;

/// Use of the servers by each customer.
struct Uses {
    by_group: BTreeMap<Group, (f64, f64)>,
    /// Use over weight if all that is used were divided by weight.
    fair: f64,
}

impl Uses {
    /// Use of a customer over its weight.
    fn of(&self, group: &Group) -> f64 {
        self.by_group.get(group).map_or(0.0, |(cost, weight)| cost / weight)
    }
}

impl Dispatcher {
    /// Replaces the sums of the customers' work on other hosts.
    pub fn peer_customer_work(&mut self, work: &[CustomerWork], now: Moment) {
        let sums = work.iter().map(|(id, in_flight, waiting)| (id.clone(), (*in_flight, *waiting)));
        self.peer_customers = sums.collect();
        self.peer_customers_at = now;
        self.update_above_share(now);
    }

    /// Returns the work of customers on this host for its digests.
    pub fn customer_work(&self) -> Vec<CustomerWork> {
        let mut work: BTreeMap<customer::Id, (Cost, Cost)> = BTreeMap::new();
        for task in self.tasks.values() {
            let Some(customer) = &task.spec.customer else { continue };
            let (in_flight, waiting) = work.entry(customer.clone()).or_default();
            match task.state {
                State::InFlight(_) => *in_flight += task.charge().cost,
                State::Waiting(..) => *waiting += task.charge().cost,
                State::Idle => {}
            }
        }
        work.into_iter().map(|(id, (in_flight, waiting))| (id, in_flight, waiting)).collect()
    }

    /// Updates which customers have more in flight than their share.
    pub(super) fn update_above_share(&mut self, now: Moment) {
        let in_flight = self.tasks.values().filter(|task| matches!(task.state, State::InFlight(_)));
        let uses = self.uses(in_flight, |(in_flight, _)| *in_flight, now);
        let groups = uses.by_group.keys();
        let is_above = |group: &&Group| uses.fair * ABOVE_SHARE < uses.of(group);
        self.above_share = groups.filter(is_above).cloned().collect();
    }

    /// Places at a server that a request of a customer above its share leaves free for others.
    pub(super) fn held_for_others(&self, task: &Task, server: &Server, overfill: f64) -> f64 {
        match self.above_share.contains(&task.spec.customer) {
            true => overfill + (f64::from(server.slots) * SHARE_RESERVE).floor(),
            false => 0.0,
        }
    }

    /// Estimated number of requests that contend for the free places at a server that a request of a
    /// customer above its share wants; 0 for other requests, and if no request waits here that the
    /// server could run.
    pub(super) fn contenders_above_share(&self, task: &Task, server: &Server) -> f64 {
        let queue = &self.registry.services[task.service as usize].queue;
        let can_run =
            |flow: &Flow| flow.model.is_none_or(|model| server.models.is_loaded(model, None));
        match self.above_share.contains(&task.spec.customer) && queue.flows().any(can_run) {
            true => f64::from(CONTENTION_ROUNDS * self.hosts),
            false => 0.0,
        }
    }

    /// Refuses a waiting request of the customer that is most above its share, to make room for an
    /// arrival of a customer below its share; false if there is none.
    pub(super) fn displace(&mut self, arrival: &Task, now: Moment) -> bool {
        if self.tasks.values().all(|task| task.spec.customer == arrival.spec.customer) {
            return false;
        }
        let uses = self.uses(
            self.tasks.values().chain([arrival]),
            |(in_flight, waiting)| in_flight + waiting,
            now,
        );
        if uses.fair <= uses.of(&arrival.spec.customer) {
            return false;
        }
        let Some((ticket, key)) = self.most_above(arrival, &uses) else { return false };
        let Some(mut task) = self.take(arrival.service as usize, key) else { return false };
        self.refund(&mut task);
        let after = self.retry_after(&task, now);
        let verdict = Verdict::Refuse { cause: Cause::Share, after };
        self.displaced.push(Change { ticket, verdict });
        true
    }

    /// The last waiting request of the customer that is most above its share.
    fn most_above(&self, arrival: &Task, uses: &Uses) -> Option<(Ticket, Key)> {
        let candidates = self.tasks.values().filter_map(|task| {
            let State::Waiting(key, _) = task.state else { return None };
            let is_same = (task.service, task.model) == (arrival.service, arrival.model);
            let is_new = task.tries == 0 && key.class != Class::Retried;
            let is_less_urgent = arrival.spec.priority <= key.priority;
            let used = uses.of(&task.spec.customer);
            (is_same && is_new && is_less_urgent && uses.fair < used).then_some((used, key))
        });
        let last = candidates
            .max_by(|one, other| one.0.total_cmp(&other.0).then_with(|| one.1.cmp(&other.1)));
        last.map(|(_, key)| (key.ticket, key))
    }

    /// Returns the customers' use by these tasks and, by one of the sums, on other hosts.
    fn uses<'a>(
        &self,
        tasks: impl Iterator<Item = &'a Task>,
        sum: impl Fn(&(Cost, Cost)) -> Cost,
        now: Moment,
    ) -> Uses {
        let mut by_group: BTreeMap<Group, (f64, f64)> = BTreeMap::new();
        for task in tasks {
            let charge = task.charge();
            let (cost, weight) = by_group.entry(task.spec.customer.clone()).or_default();
            *cost += charge.cost as f64;
            *weight = f64::from(charge.weight);
        }
        if now < self.peer_customers_at + LOAD_MAX_AGE {
            for (customer, work) in &self.peer_customers {
                let group = Some(customer.clone());
                let weight = f64::from(self.weights.of(&group).unwrap_or(1));
                by_group.entry(group).or_insert((0.0, weight)).0 += sum(work) as f64;
            }
        }
        let (cost, weight) = by_group
            .values()
            .fold((0.0, 0.0), |(cost, weight), one| (cost + one.0, weight + one.1));
        Uses { by_group, fair: if weight == 0.0 { 0.0 } else { cost / weight } }
    }
}
