//! Limited servers: who may send there, and what waits for permits.

use std::collections::BTreeMap;

use types::{prelude::*, routed::Rate};

use super::{
    Dispatcher,
    ask::{Cause, Change, LEAST_URGENT, Verdict},
    load::LATELY,
    pump::LOOKED_AT,
    queue::{Class, Key},
    server::Server,
    task::Task,
};
use crate::{
    quota::{self, Message, Quotas, VersionedLimit},
    route::Index,
};

/// Time between two looks at what waits for limited servers.
const LOOK: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// The quotas of limited servers.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Takes in the limit that an answer of a server names whose request left at `sent`.
    pub fn limit_named(
        &mut self,
        id: &backend::Id,
        limit: Option<Rate>,
        sent: Moment,
        now: Moment,
    ) -> Option<quota::Change> {
        self.fleet.index(id)?;
        let change = self.quotas.observe_limit(id, limit, sent, now)?;
        self.limit_changed(id, change, now);
        Some(change)
    }

    /// Takes in what another host believes of a server's limit.
    pub fn limit_heard(
        &mut self,
        id: &backend::Id,
        limit: VersionedLimit,
        now: Moment,
    ) -> Option<quota::Change> {
        let change = self.quotas.merge_limit(id, limit, now)?;
        self.limit_changed(id, change, now);
        Some(change)
    }

    /// Takes in another host's message on quotas, and returns the changes of limits that it told of.
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

    /// Takes in the other hosts that are known, whether each is heard, and which of all take part in what
    /// hosts share: quotas and retry budgets.
    pub fn share_among<'a>(
        &mut self,
        known: impl Iterator<Item = (&'a host::Id, bool)>,
        live: Vec<host::Id>,
        now: Moment,
    ) {
        self.quotas.hosts(known, live, now);
        self.sharers.observe(self.quotas.sharers(), now);
    }

    /// Sets how many hosts the store lists, whether or not they run.
    pub fn share_listed(&mut self, hosts: u32) {
        self.quotas.set_listed(hosts);
        self.sharers.list(hosts);
    }

    fn limit_changed(&mut self, id: &backend::Id, change: quota::Change, now: Moment) {
        let server = self.fleet.index(id).and_then(|index| self.fleet.get_mut(index));
        let before = server.map_or(0, |server| {
            server.is_limited = change.current.rate.is_some();
            server.load.sent_since(now.saturating_sub(LATELY))
        });
        self.quotas.limit_changed(id, change, before, now);
    }

    /// Takes a permit for an order to a server, if one is needed and there.
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

    /// Whether a request may be sent to a server now, as far as its limit goes.
    pub(super) fn has_permit(&self, server: &Server, now: Moment) -> bool {
        !server.is_limited || self.quotas.has_permit(&server.id, now)
    }

    /// Notes a request that could have gone to limited servers but for permits.
    pub(super) fn note_missed(&mut self, task: &Task, now: Moment) {
        if self.quotas.is_idle() {
            return;
        }
        let missed: Vec<backend::Id> = self
            .limited()
            .filter(|(_, server)| self.is_able(task, server) && !self.has_permit(server, now))
            .map(|(id, _)| id.clone())
            .collect();
        missed.iter().for_each(|id| self.quotas.permit_missing(id, now));
    }

    /// Refuses what can't be served in time by limited servers alone, and asks for permits.
    pub(super) fn tick_quotas(&mut self, now: Moment, changes: &mut Vec<Change>) {
        if !self.quotas.is_idle() && self.limits_looked + LOOK <= now {
            self.limits_looked = now;
            self.refuse_limited(now, changes);
            let wants = self.wants();
            wants.iter().for_each(|(id, want)| self.quotas.set_demand(id, *want));
        }
        self.quotas.tick(now);
    }

    /// Limited servers that take work.
    fn limited(&self) -> impl Iterator<Item = (&backend::Id, &Server)> {
        self.quotas.limited().filter_map(|id| {
            let server = self.fleet.get(self.fleet.index(id)?)?;
            (server.state == types::routed::State::Ready).then_some((id, server))
        })
    }

    /// Permits that waiting requests want, by limited server.
    fn wants(&self) -> BTreeMap<backend::Id, quota::Demand> {
        let none = quota::Demand { permits: 0, urgency: LEAST_URGENT };
        let mut wants: BTreeMap<_, _> =
            self.quotas.limited().map(|id| (id.clone(), none)).collect();
        for (id, server) in self.limited() {
            let Some(want) = wants.get_mut(id) else { continue };
            let queue = &self.fleet.services[server.service as usize].queue;
            let tasks = queue.iter().take(LOOKED_AT);
            for task in tasks.filter_map(|key| self.tasks.get(&key.ticket)) {
                if self.is_able(task, server) {
                    want.permits += 1;
                    want.urgency = want.urgency.min(task.ask.priority);
                }
            }
        }
        wants
    }

    /// Rate at which this host's requests start at a server each millisecond, if the server is limited.
    pub(super) fn own_rate(&self, server: &Server, now: Moment) -> Option<f64> {
        let rate = server.is_limited.then(|| self.quotas.own_rate(&server.id, now))??;
        Some(rate / 1e3)
    }

    /// Rate at which this host's requests start at the servers that could run one, each millisecond, if
    /// all of these are limited.
    pub(super) fn limited_rate(&self, task: &Task, now: Moment) -> Option<f64> {
        let mut rate = None;
        for index in self.list(task).all() {
            let Some(server) = self.fleet.get(*index) else { continue };
            if !self.is_able(task, server) {
                continue;
            }
            *rate.get_or_insert(0.0) += self.own_rate(server, now)?;
        }
        rate
    }

    /// Refuses what waits for limited servers alone and can't be served in time by its place among all
    /// that wait for them, over all hosts.
    fn refuse_limited(&mut self, now: Moment, changes: &mut Vec<Change>) {
        let mut refused: Vec<(usize, Key, Duration)> = Vec::new();
        for (service, known) in self.fleet.services.iter().enumerate() {
            let mut ahead: BTreeMap<Option<Index>, u32> = BTreeMap::new();
            for key in known.queue.iter().take(LOOKED_AT) {
                let Some(task) = self.tasks.get(&key.ticket) else { continue };
                let place = ahead.entry(task.model).or_default();
                let Some(rate) = self.limited_rate(task, now) else { continue };
                // Hosts with as many requests each take turns.
                let turn = (task.seed() % 1024) as f64 / 1024.0;
                let after = self.hopeless_at(task, f64::from(*place) + turn, rate, now);
                match after.filter(|_| key.class != Class::Begun) {
                    Some(after) => refused.push((service, key, after)),
                    None => *place += 1,
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
