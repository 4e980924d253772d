//! Slots of servers, granted by one host each.
//!
//! Hosts that choose servers by what they know of each other's requests see the same free slot at
//! the same time, and know of its use only later. So for each server one host counts what runs
//! there, the owner: the first of the live hosts by rendezvous hashing of the server's id. A host
//! tells the owner what it uses and wants, and sends a request once the owner has granted a slot.
//! The owner gives a slot that becomes free to the most urgent request of all hosts.
//!
//! Nothing unsafe follows from a wrong count, as the server itself rejects what it has no room for.
//! So a host whose owner does not answer goes by what it knows itself, and two hosts that both
//! regard themselves as the owner cause some rejections.
//!
//! [`Slots`] does no I/O: it takes messages and the current time, and returns messages to send.
//! What hosts tell is absolute, so messages may be lost, late or duplicated. An advance touches only
//! servers that have changed or whose next deadline has passed, as most have neither.

pub mod client;
pub mod ledger;
pub mod message;
mod schedule;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{backend, host, time::Moment};

use self::{
    client::Client,
    ledger::Ledger,
    message::{Content, Entry, Grant, Use},
    schedule::Schedule,
};
pub use self::{
    client::{ANSWER_TIMEOUT, Access, Want},
    ledger::PREFILL_TOKENS_PER_MS,
    message::Message,
};
use crate::{
    member::rendezvous,
    quota::{
        message::{Clock, clock},
        peer::{Arrival, Peer},
    },
};

/// Largest number of hosts that share servers without grants: what they tell each other of requests
/// in flight arrives in time.
pub const MAX_UNCONTENDED_HOSTS: u32 = 16;

/// Largest number of entries in a message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 16;

/// Totals since this process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Slots that this host granted, including those to itself.
    pub granted: u64,
    /// Granted slots that this host used for requests.
    pub used: u64,
    /// Granted slots that this host returned unused.
    pub returned: u64,
    /// Requests of this host that servers rejected as full while slots were granted.
    pub rejected: u64,
    /// Questions that an owner did not answer in time.
    pub unanswered: u64,
    /// Times from the first question for a slot until one was granted: their number.
    pub waits: u64,
    /// The sum of these times.
    pub waited: Duration,
    /// Servers whose use was compared with what the owner knows, and whose free slots were granted.
    pub advanced: u64,
}

impl Counts {
    fn record_wait(&mut self, waited: Option<Duration>) {
        self.waits += u64::from(waited.is_some());
        self.waited += waited.unwrap_or_default();
    }
}

/// Slots of all servers as one host sees them.
#[derive(Clone, Debug)]
pub struct Slots {
    own: host::Id,
    run: host::Incarnation,
    /// Live hosts, including this one unless it is leaving.
    live: BTreeSet<host::Id>,
    servers: BTreeMap<backend::Id, Server>,
    schedule: Schedule,
    peers: BTreeMap<host::Id, Peer>,
    /// Hosts that have not answered a question, and may run anew.
    unsure: BTreeSet<host::Id>,
    outgoing: Vec<(host::Id, Message)>,
    clock: Clock,
    counts: Counts,
}

/// A server of which slots are used, wanted or granted.
#[derive(Clone, Debug, Default)]
struct Server {
    client: Client,
    ledger: Ledger,
    /// The live host that grants slots; `None` until it is computed.
    owner: Option<host::Id>,
    /// Requests that the server is to have at most, over all hosts; `None` if this host does not
    /// know the server.
    capacity: Option<u32>,
    /// Hosts that asked for slots and are to be answered.
    asked: BTreeSet<host::Id>,
}

/// Whether granted slots that were not used until now are returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unused {
    Keep,
    Return,
}

impl Slots {
    /// Returns the state of a host that uses no slot. `run` identifies this process in messages.
    pub fn new(own: host::Id, run: host::Incarnation) -> Slots {
        Slots {
            live: BTreeSet::from([own.clone()]),
            own,
            run,
            servers: BTreeMap::new(),
            schedule: Schedule::default(),
            peers: BTreeMap::new(),
            unsure: BTreeSet::new(),
            outgoing: Vec::new(),
            clock: 0,
            counts: Counts::default(),
        }
    }

    /// Totals since this process started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether so many hosts share the servers that a request needs a granted slot.
    pub fn is_in_force(&self) -> bool {
        MAX_UNCONTENDED_HOSTS < self.live.len() as u32
    }

    /// Whether no slot is used, wanted or granted.
    pub fn is_idle(&self) -> bool {
        self.servers.is_empty()
    }

    /// Sets the live hosts, including this one unless it is leaving.
    pub fn set_live(&mut self, live: &[host::Id]) {
        if self.live.len() == live.len() && live.iter().all(|host| self.live.contains(host)) {
            return;
        }
        self.live = live.iter().cloned().collect();
        for (id, server) in &mut self.servers {
            server.owner = None;
            self.schedule.mark(id);
        }
        let live = &self.live;
        self.peers.retain(|host, _| live.contains(host));
        self.unsure.retain(|host| live.contains(host));
        if !self.is_in_force() {
            self.servers.clear();
            self.schedule.clear();
        }
    }

    /// How this host gets a slot of a server now, and what the owner lately counted there.
    pub fn at(&self, server: &str, now: Moment) -> (Access, Option<Grant>) {
        let known = self.servers.get(server);
        known
            .map_or((Access::Ask, None), |known| (known.client.access(now), known.client.view(now)))
    }

    /// Records a request of this host to a server, which uses a granted slot if there is one.
    pub fn sent(&mut self, server: &backend::Id) {
        self.counts.used += u64::from(self.server(server).client.use_grant());
    }

    /// Records that a server rejected a request of this host as full.
    pub fn rejected(&mut self) {
        self.counts.rejected += u64::from(self.is_in_force());
    }

    /// Sets the requests of this host in flight to a server, and their prompt tokens that wait to be
    /// prefilled, if its slots are used, wanted or granted.
    pub fn set_use(&mut self, server: &str, in_flight: u32, prefill: u32) {
        if let Some(known) = self.servers.get_mut(server)
            && !known.client.has_use(in_flight, prefill)
        {
            known.client.set_use(in_flight, prefill);
            self.mark(server);
        }
    }

    /// Sets what waiting requests want of a server.
    pub fn set_wanted(&mut self, server: &backend::Id, want: Want, now: Moment) {
        if 0 < want.slots || self.servers.contains_key(server) {
            let client = &mut self.servers.entry(server.clone()).or_default().client;
            if !client.has_want(&want) {
                self.schedule.mark(server);
            }
            client.set_wanted(want, now);
        }
    }

    /// Servers that the next [`tick`](Self::tick) advances.
    pub fn due_servers(&self, now: Moment) -> Vec<backend::Id> {
        self.schedule.due(now)
    }

    /// Lets the next [`tick`](Self::tick) advance a server if its slots are used, wanted or granted.
    pub fn mark(&mut self, server: &str) {
        if let Some((id, _)) = self.servers.get_key_value(server) {
            self.schedule.mark(id);
        }
    }

    /// Sets how many requests a server is to have at most, over all hosts; `None` if this host does
    /// not know the server, and so can't grant its slots.
    pub fn set_capacity(&mut self, server: &str, capacity: Option<u32>) {
        if let Some(known) = self.servers.get_mut(server)
            && known.capacity != capacity
        {
            known.capacity = capacity;
            self.mark(server);
        }
    }

    /// Applies the number of requests that a server states to have.
    pub fn report(&mut self, server: &str, requests: u32, now: Moment) {
        if let Some(known) = self.servers.get_mut(server).filter(|known| !known.ledger.is_empty()) {
            known.ledger.report(requests, now);
        }
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
        self.schedule.forget(server);
    }

    /// Processes a message. One to an earlier run of this host, or one that was received before, is
    /// ignored.
    pub fn receive(&mut self, from: &host::Id, message: &Message, now: Moment) {
        if message.to.is_some_and(|to| to != self.run) {
            return;
        }
        let peer = self.peers.entry(from.clone()).or_default();
        let has_restarted = peer.run().is_some_and(|run| run != message.from);
        let Some(arrival) = peer.receive(message.from, message.clock, now) else { return };
        self.unsure.remove(from);
        if has_restarted {
            for (id, server) in &mut self.servers {
                server.ledger.forget(from);
                self.schedule.mark(id);
            }
        }
        // A sender that doesn't know this run has read none of its grants.
        let echo = if message.to.is_some() { message.echo } else { 0 };
        for Entry { server, content } in &message.entries {
            match content {
                Content::Use(told) => {
                    let known = self.server(server);
                    known.ledger.tell(from, *told, message.clock, echo, now);
                    if 0 < told.wanted {
                        known.asked.insert(from.clone());
                    }
                }
                // What overtook this grant has acknowledged it, so that its slots were freed.
                Content::Grant(_) if arrival == Arrival::Overtaken => {}
                Content::Grant(grant) => self.on_grant(server, *grant, now),
            }
        }
    }

    /// Returns the slots granted to this host that were not used until now, tells owners what this
    /// host uses and wants, and grants the slots that are free at the servers that it owns, for each
    /// server that has changed or has a deadline that passed. Returns whether this host was granted
    /// slots by itself.
    pub fn tick(&mut self, now: Moment) -> bool {
        let ids = self.due_servers(now);
        self.advance(&ids, Unused::Return, now)
    }

    /// Does the same for some servers, but lets granted slots be used yet.
    pub fn refresh(&mut self, servers: &[backend::Id], now: Moment) {
        self.advance(servers, Unused::Keep, now);
    }

    /// When the first owner that has not answered is passed over; `None` if none was asked.
    pub fn due(&self) -> Option<Moment> {
        // A server whose owner was asked and has not answered stays pending.
        let pending = self.schedule.pending().filter_map(|id| self.servers.get(id));
        pending.filter_map(|server| server.client.due_at()).min()
    }

    /// Drains the messages to send, with their recipients.
    pub fn outgoing(&mut self) -> Vec<(host::Id, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns a server that is about to change.
    fn server(&mut self, id: &backend::Id) -> &mut Server {
        self.schedule.mark(id);
        self.servers.entry(id.clone()).or_default()
    }

    fn on_grant(&mut self, server: &backend::Id, grant: Grant, now: Moment) {
        let waited = self.server(server).client.on_grant(grant, now);
        self.counts.record_wait(waited);
    }

    fn advance(&mut self, ids: &[backend::Id], unused: Unused, now: Moment) -> bool {
        let mut entries: BTreeMap<host::Id, Vec<Entry>> = BTreeMap::new();
        let mut has_own = false;
        for id in ids {
            has_own |= self.advance_server(id, unused, &mut entries, now);
        }
        for (host, entries) in entries {
            self.queue_messages(&host, &entries, now);
        }
        has_own
    }

    fn advance_server(
        &mut self,
        id: &backend::Id,
        unused: Unused,
        entries: &mut BTreeMap<host::Id, Vec<Entry>>,
        now: Moment,
    ) -> bool {
        let Some(mut server) = self.servers.remove(id) else { return false };
        self.counts.advanced += 1;
        let mut add = |host: &host::Id, content| {
            let entry = Entry { server: id.clone(), content };
            entries.entry(host.clone()).or_default().push(entry);
        };
        if unused == Unused::Return {
            self.counts.returned += u64::from(server.client.drop_grants());
        }
        if let Some(told) = self.tell_owner(id, &mut server, now) {
            add(&self.owner(id, &mut server), Content::Use(told));
        }
        let live = &self.live;
        server.ledger.expire(|host| *host != self.own && !live.contains(host), now);
        let mut has_own = false;
        if let Some(capacity) = server.capacity {
            let mut granted = server.ledger.grant(capacity, self.next_clock(now), now);
            for host in std::mem::take(&mut server.asked) {
                granted.entry(host).or_default();
            }
            for (host, slots) in granted {
                self.counts.granted += u64::from(slots);
                let grant = server.ledger.answer(&host, slots, now);
                if host != self.own {
                    add(&host, Content::Grant(grant));
                    continue;
                }
                has_own |= 0 < slots;
                self.counts.record_wait(server.client.on_grant(grant, now));
            }
        }
        if server.client.is_idle() && server.ledger.is_empty() {
            self.schedule.forget(id);
            return has_own;
        }
        let next_at = self.next_at(id, &mut server, now);
        self.schedule.set(id, next_at, now);
        self.servers.insert(id.clone(), server);
        has_own
    }

    /// When a server is to be advanced again if nothing changes until then.
    fn next_at(&self, id: &backend::Id, server: &mut Server, now: Moment) -> Option<Moment> {
        let has_waiting = 0 < server.ledger.waiting() || !server.asked.is_empty();
        // A wait ends with any change of the capacity or of the requests that the server reports.
        if has_waiting || server.client.is_active() {
            return Some(now);
        }
        let owner = self.owner(id, server);
        let tell_at = match owner == self.own {
            true => server.client.record_at(now),
            false => server.client.tell_at(&owner, now),
        };
        tell_at.into_iter().chain(server.ledger.expires_at()).min()
    }

    /// Returns what is to be told to the owner; tells it to this host's own ledger.
    fn tell_owner(&mut self, id: &backend::Id, server: &mut Server, now: Moment) -> Option<Use> {
        let owner = self.owner(id, server);
        if owner == self.own && server.capacity.is_some() {
            let content = server.client.content(now);
            server.ledger.tell(&owner, content, Clock::MAX, Clock::MAX, now);
            server.client.record_told(&owner, content, now);
            server.client.answered();
            return None;
        }
        server.ledger.forget(&self.own);
        if server.client.check_timeout(now) {
            self.counts.unanswered += 1;
            self.unsure.insert(owner.clone());
        }
        let told =
            server.client.due(&owner, now).filter(|_| owner != self.own && self.is_in_force())?;
        server.client.record_told(&owner, told, now);
        Some(told)
    }

    fn owner(&self, id: &backend::Id, server: &mut Server) -> host::Id {
        let first = || {
            let best = self.live.iter().max_by_key(|host| rendezvous::score(id.as_bytes(), host));
            best.unwrap_or(&self.own).clone()
        };
        server.owner.get_or_insert_with(first).clone()
    }

    fn next_clock(&self, now: Moment) -> Clock {
        clock(now).max(self.clock + 1)
    }

    fn queue_messages(&mut self, host: &host::Id, entries: &[Entry], now: Moment) {
        let peer = self.peers.entry(host.clone()).or_default();
        let (to, echo) = (peer.run(), peer.clock());
        let to = to.filter(|_| !self.unsure.contains(host));
        for chunk in entries.chunks(MAX_ENTRIES) {
            self.clock = self.next_clock(now);
            let message =
                Message { from: self.run, to, clock: self.clock, echo, entries: chunk.to_vec() };
            self.outgoing.push((host.clone(), message));
        }
    }
}
