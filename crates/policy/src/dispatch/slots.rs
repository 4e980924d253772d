//! Slots of servers that their owners grant: which requests ask for one, and which may be sent.
//!
//! While slots are granted, a server has a place for a request only if a granted slot is at hand.
//! Requests for which no server has one wait in the queue, and the owners of the best servers are
//! asked. Each [`pump`](Dispatcher::pump) asks anew for all that waits, so what was asked for a
//! request that got a slot elsewhere is withdrawn.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{
    Dispatcher,
    choose::overfill,
    queue::Class,
    registry::Registry,
    request::Change,
    server::Server,
    task::{State, Task},
};
use crate::{
    route::Index,
    slots::{Access, Counts, Message, Want},
};

/// Number of servers whose owners are asked for a slot for one request.
const ASKED_SERVERS: usize = 2;

/// Time until a late request must start, as owners are told; late ones are granted slots last.
const LATE_SLACK: Duration = Duration::from_secs(60);

/// Whether a request may wait for a slot to be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    Possible,
    Impossible,
}

/// Whether a server has a place for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Free,
    /// The server's owner may grant one.
    Askable,
    None,
}

/// What this host knows of the use of a server by all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    /// How a slot is got; `None` if none is needed.
    pub access: Option<Access>,
    pub in_flight: f64,
    /// Prompt tokens that wait to be prefilled.
    pub prefill: u64,
    /// Requests of other hosts that wait for a slot, as the owner told.
    pub waiting: u32,
}

/// The best servers whose owners are to be asked for a slot, with their costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asks([Option<(Index, f64)>; ASKED_SERVERS]);

impl Asks {
    /// Adds a server unless there are better ones, or it is among them.
    pub fn add(&mut self, server: Index, cost: f64) {
        if self.servers().any(|other| other == server) {
            return;
        }
        let mut added = (server, cost);
        for place in &mut self.0 {
            match place {
                Some(other) if other.1 <= added.1 => {}
                Some(other) => std::mem::swap(other, &mut added),
                None => {
                    *place = Some(added);
                    return;
                }
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0[0].is_none()
    }

    fn servers(&self) -> impl Iterator<Item = Index> {
        self.0.iter().flatten().map(|(server, _)| *server)
    }
}

impl Dispatcher {
    /// Applies another host's message on slots.
    pub fn slots_received(&mut self, from: &host::Id, message: &Message, now: Moment) {
        self.slots.receive(from, message, now);
    }

    /// Takes the messages on slots that are to be sent.
    pub fn slots_outgoing(&mut self) -> Vec<(host::Id, Message)> {
        self.slots.outgoing()
    }

    /// When the queues are to advance because an owner has not answered; `None` if none was asked.
    pub fn slots_due(&self) -> Option<Moment> {
        self.slots.due()
    }

    /// Totals of granted slots since this process started.
    pub fn slot_counts(&self) -> Counts {
        self.slots.counts()
    }

    /// Sets the live hosts, of which each server has one as its owner.
    pub(super) fn share_slots(&mut self, live: &[host::Id]) {
        let was_in_force = self.slots.is_in_force();
        self.slots.set_live(live);
        if !was_in_force && self.slots.is_in_force() {
            for server in self.registry.servers().filter(|server| 0 < server.load.own()) {
                self.slots.sent(&server.id);
            }
        }
    }

    /// Whether requests need a slot that the server's owner has granted. A brittle server has parts
    /// for the hosts instead, which hold from its start on.
    pub(super) fn is_granted(&self, server: &Server) -> bool {
        let is_brittle = || {
            let tolerance = self.registry.services[server.service as usize].tolerance;
            tolerance.rejections().is_some()
        };
        self.slots.is_in_force() && !server.is_limited && !is_brittle()
    }

    /// What this host knows of a server's use, for a request that may wait or not.
    pub(super) fn sight(&self, server: &Server, wait: Wait, now: Moment) -> Sight {
        let own = server.load.own();
        let (access, view) = match self.is_granted(server) {
            true => self.slots.at(&server.id, now),
            false => (Access::OnItsOwn, None),
        };
        let access = Some(access).filter(|access| {
            *access != Access::OnItsOwn && (wait == Wait::Possible || *access == Access::Granted)
        });
        match view {
            Some(view) => Sight {
                access,
                in_flight: f64::from(own) + f64::from(view.in_flight),
                prefill: server.load.own_prefill() + u64::from(view.prefill),
                waiting: view.waiting,
            },
            None => Sight {
                access,
                in_flight: server.load.in_flight(self.registry.peers_at(), now),
                prefill: server.load.prefill(),
                waiting: 0,
            },
        }
    }

    /// Requests of all hosts at a server.
    pub(super) fn in_flight(&self, server: &Server, now: Moment) -> f64 {
        self.sight(server, Wait::Possible, now).in_flight
    }

    /// Uses the slot that is granted at a server, if its slots are.
    pub(super) fn use_slot(&mut self, index: Index) {
        if let Some(server) = self.registry.get(index).filter(|server| self.is_granted(server)) {
            self.slots.sent(&server.id);
        }
    }

    /// Keeps a request that was queued, and asks the owners of these servers for a slot at once.
    pub(super) fn wait_for_slots(&mut self, task: Task, asks: &Asks, now: Moment) {
        want_slots(&mut self.wanted_slots, &self.registry, asks, &task, now);
        self.tasks.insert(task.spec.ticket, task);
        let servers = asks.servers().filter_map(|at| self.registry.get(at));
        let ids: Vec<backend::Id> = servers.map(|server| server.id.clone()).collect();
        for id in &ids {
            let want = self.wanted_slots.get(id).copied().unwrap_or_default();
            self.slots.set_wanted(id, want, now);
            self.update_slots(id, now);
        }
        self.slots.refresh(&ids, now);
    }

    /// Tells the owner of a server at once that a request of this host has ended there.
    pub(super) fn slot_freed(&mut self, id: &backend::Id, now: Moment) {
        if self.slots.is_idle() {
            return;
        }
        self.update_slots(id, now);
        self.slots.refresh(std::slice::from_ref(id), now);
    }

    /// Tells owners what this host uses and wants, and grants slots. What this host was granted by
    /// itself is used at once.
    pub(super) fn tick_slots(&mut self, now: Moment, changes: &mut Vec<Change>) {
        for index in std::mem::take(&mut self.registry.changed_loads) {
            if let Some(server) = self.registry.get(index) {
                self.slots.mark(&server.id);
            }
        }
        if self.slots.is_idle() && self.wanted_slots.is_empty() {
            return;
        }
        let ids = self.slots.due_servers(now);
        for id in ids.iter().filter(|id| !self.wanted_slots.contains_key(*id)) {
            self.slots.set_wanted(id, Want::default(), now);
        }
        for (id, want) in &self.wanted_slots {
            self.slots.set_wanted(id, *want, now);
        }
        let ids = self.slots.due_servers(now);
        ids.iter().for_each(|id| self.update_slots(id, now));
        if self.slots.tick(now) {
            self.wanted_slots.clear();
            for service in 0..self.registry.services.len() {
                if !self.registry.services[service].queue.is_empty() {
                    self.dispatch_waiting(service, now, changes);
                }
            }
        }
    }

    /// Sets this host's use of a server, and how many requests the server is to have at most.
    fn update_slots(&mut self, id: &backend::Id, now: Moment) {
        let server = self.registry.index(id).and_then(|index| self.registry.get(index));
        let Some(server) = server else { return self.slots.set_capacity(id, None) };
        let service = &self.registry.services[server.service as usize];
        let slots = f64::from(server.slots);
        let holds =
            server.models.indexes().map(|at| self.registry.models[at as usize].stats.hold());
        let (count, sum) = holds.fold((0.0, 0.0), |(count, sum), hold| (count + 1.0, sum + hold));
        let hold = if count == 0.0 { service.stats.hold() } else { sum / count };
        let hold = hold * server.speed.scale(now);
        let overfill = overfill(service.goal.unwrap_or_default(), slots, hold);
        let is_ready = !server.is_draining() && !server.is_limited;
        let prefill = u32::try_from(server.load.own_prefill()).unwrap_or(u32::MAX);
        self.slots.set_use(id, server.load.own(), prefill);
        self.slots.set_capacity(id, is_ready.then_some((slots + overfill) as u32));
    }
}

/// Adds what a waiting request wants of these servers. Only the most urgent requests count, so that
/// none of the others gets the slot of a more urgent one of another host.
pub fn want_slots(
    wanted: &mut BTreeMap<backend::Id, Want>,
    registry: &Registry,
    asks: &Asks,
    task: &Task,
    now: Moment,
) {
    let State::Waiting(key, _) = task.state else { return };
    let (class, start_by) = match key.class {
        Class::Retried => (0, now),
        Class::OnTime => (1, key.send_by),
        Class::Late => (2, now + LATE_SLACK),
    };
    let rank = key.priority * 3 + class;
    for server in asks.servers().filter_map(|at| registry.get(at)) {
        let want = wanted.entry(server.id.clone()).or_insert(Want { slots: 0, rank, start_by });
        if rank < want.rank {
            *want = Want { slots: 0, rank, start_by };
        }
        if rank == want.rank {
            want.slots += 1;
            want.start_by = want.start_by.min(start_by);
        }
    }
}
