//! Rate-limited servers: which requests may be sent to them, and which wait for permits.

use std::collections::BTreeMap;

use types::{prelude::*, routed::Rate};

use super::{
    Dispatcher,
    load::RECENT_WINDOW,
    pump::SCAN_LIMIT,
    queue::{Class, Key},
    request::{Cause, Change, LEAST_URGENT, Verdict},
    server::Server,
    task::Task,
};
use crate::{
    quota::{self, Limit, Message, Quotas},
    route::Index,
};

/// Interval of the checks of requests that wait for limited servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// Quotas of the rate-limited servers.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Applies the limit that a server names in the response to a request sent at `sent`; `None` if
    /// it names none. Returns the change, if there is one.
    pub fn limit_named(
        &mut self,
        id: &backend::Id,
        limit: Option<Rate>,
        sent: Moment,
        now: Moment,
    ) -> Option<quota::Change> {
        self.registry.index(id)?;
        let change = self.quotas.observe_limit(id, limit, sent, now)?;
        self.limit_changed(id, change, now);
        Some(change)
    }

    /// Applies a server's limit as another host knows it, and returns the change, if there is one.
    pub fn limit_received(
        &mut self,
        id: &backend::Id,
        limit: Limit,
        now: Moment,
    ) -> Option<quota::Change> {
        let change = self.quotas.merge_limit(id, limit, now)?;
        self.limit_changed(id, change, now);
        Some(change)
    }

    /// Applies another host's message on quotas, and returns the changes of limits in it.
    pub fn quota_received(
        &mut self,
        from: &host::Id,
        message: &Message,
        now: Moment,
    ) -> Vec<(backend::Id, quota::Change)> {
        let changes = self.quotas.receive(from, message, now);
        for (id, change) in &changes {
            self.limit_changed(id, *change, now);
        }
        changes
    }

    /// Takes the messages on quotas that are to be sent.
    pub fn quota_outgoing(&mut self) -> Vec<(host::Id, Message)> {
        self.quotas.outgoing()
    }

    /// Sets the other known hosts, with whether each is live, and the hosts that share the quotas
    /// and retry budgets.
    pub fn share_among<'a>(
        &mut self,
        known: impl Iterator<Item = (&'a host::Id, bool)>,
        live: Vec<host::Id>,
        now: Moment,
    ) {
        let has_changed = self.quotas.live() != live;
        self.share_slots(&live);
        self.quotas.update_hosts(known, live, now);
        if has_changed {
            self.reset_ranks();
        }
        self.sharers.observe(self.quotas.sharers(), now);
    }

    /// Sets how many hosts the store lists, running or not. Hosts that were never connected are
    /// counted by it.
    pub fn share_listed(&mut self, hosts: u32) {
        self.quotas.set_listed(hosts);
        self.sharers.set_listed(hosts);
    }

    fn limit_changed(&mut self, id: &backend::Id, change: quota::Change, now: Moment) {
        let server = self.registry.index(id).and_then(|index| self.registry.get_mut(index));
        let before = server.map_or(0, |server| {
            server.is_limited = change.current.rate.is_some();
            server.load.sent_since(now.saturating_sub(RECENT_WINDOW))
        });
        self.quotas.limit_changed(id, change, before, now);
    }

    /// Takes a permit for an order to a server. Returns false if one is needed and none is left.
    pub fn take_permit(&mut self, id: &backend::Id, now: Moment) -> bool {
        if self.quotas.limit(id).is_none() {
            return true;
        }
        let has_permit = self.quotas.has_permit(id, now);
        match has_permit {
            true => self.quotas.use_permit(id, now),
            false => self.quotas.permit_missing(id, now),
        }
        has_permit
    }

    /// Whether a server's limit allows a request to be sent now.
    pub(super) fn has_permit(&self, server: &Server, now: Moment) -> bool {
        !server.is_limited || self.quotas.has_permit(&server.id, now)
    }

    /// Records the limited servers that could have run the request if a permit had been left.
    pub(super) fn record_missing_permits(&mut self, task: &Task, now: Moment) {
        if self.quotas.is_idle() {
            return;
        }
        let missed: Vec<backend::Id> = self
            .limited()
            .filter(|(_, server)| self.is_capable(task, server) && !self.has_permit(server, now))
            .map(|(id, _)| id.clone())
            .collect();
        missed.iter().for_each(|id| self.quotas.permit_missing(id, now));
    }

    /// Refuses requests that limited servers can't serve in time, and requests permits for the
    /// others.
    pub(super) fn tick_quotas(&mut self, now: Moment, changes: &mut Vec<Change>) {
        if !self.quotas.is_idle() && self.limits_checked_at + CHECK_INTERVAL <= now {
            self.limits_checked_at = now;
            self.refuse_limited(now, changes);
            let demands = self.demands();
            demands.iter().for_each(|(id, demand)| self.quotas.set_demand(id, *demand));
        }
        self.quotas.tick(now);
    }

    /// Limited servers that take new requests.
    fn limited(&self) -> impl Iterator<Item = (&backend::Id, &Server)> {
        self.quotas.limited().filter_map(|id| {
            let server = self.registry.get(self.registry.index(id)?)?;
            (server.state == types::routed::State::Ready).then_some((id, server))
        })
    }

    /// Returns the permits that waiting requests need, by limited server.
    fn demands(&self) -> BTreeMap<backend::Id, quota::Demand> {
        let none = quota::Demand { permits: 0, urgency: LEAST_URGENT };
        let mut demands: BTreeMap<_, _> =
            self.quotas.limited().map(|id| (id.clone(), none)).collect();
        for (id, server) in self.limited() {
            let Some(demand) = demands.get_mut(id) else { continue };
            let queue = &self.registry.services[server.service as usize].queue;
            let tasks = queue.first(SCAN_LIMIT).into_iter();
            for task in tasks.filter_map(|key| self.tasks.get(&key.ticket)) {
                if self.is_capable(task, server) {
                    demand.permits += 1;
                    demand.urgency = demand.urgency.min(task.spec.priority);
                }
            }
        }
        demands
    }

    /// Requests of this host that start at a server each millisecond, if the server is limited.
    pub(super) fn own_rate(&self, server: &Server, now: Moment) -> Option<f64> {
        let rate = server.is_limited.then(|| self.quotas.own_rate(&server.id, now))??;
        Some(rate / 1e3)
    }

    /// Requests of this host that start each millisecond at the servers that could run a request,
    /// if all of these are limited.
    pub(super) fn limited_rate(&self, task: &Task, now: Moment) -> Option<f64> {
        let mut rate = None;
        for index in self.list(task).all() {
            let Some(server) = self.registry.get(*index) else { continue };
            if !self.is_capable(task, server) {
                continue;
            }
            *rate.get_or_insert(0.0) += self.own_rate(server, now)?;
        }
        rate
    }

    /// Refuses requests that only limited servers could run and that can't be served in time, by
    /// their position in this host's queue and this host's share of the limits.
    fn refuse_limited(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let mut refused: Vec<(usize, Key, Duration)> = Vec::new();
        for (service, known) in self.registry.services.iter().enumerate() {
            let mut ahead: BTreeMap<Option<Index>, u32> = BTreeMap::new();
            for key in known.queue.first(SCAN_LIMIT) {
                let Some(task) = self.tasks.get(&key.ticket) else { continue };
                let position = ahead.entry(task.model).or_default();
                let Some(rate) = self.limited_rate(task, now) else { continue };
                // The random fraction spreads the estimates of hosts that have the same number of
                // requests.
                let turn = (task.seed() % 1024) as f64 / 1024.0;
                let after =
                    self.retry_after_if_futile_at(task, f64::from(*position) + turn, rate, now);
                match after.filter(|_| key.class != Class::Retried) {
                    Some(after) => refused.push((service, key, after)),
                    None => *position += 1,
                }
            }
        }
        for (service, key, after) in refused {
            self.drop_waiting(service, key);
            let verdict = Verdict::Refuse { cause: Cause::Limit, after };
            changes.push(Change { ticket: key.ticket, verdict });
        }
    }
}
