//! Quotas: the rates at which servers take requests from all hosts together.
//!
//! A server that is in need names a limit in its answers ([`limits`]). Requests go there only with a permit.
//! For each such server one host grants them, its owner: the first of the live hosts by rendezvous hashing
//! under the server's id, so that owners of many servers are spread and none is elected. What makes a grant
//! safe is not that there is one owner, but the [`lease`] of each host's share of the quota to one host at a
//! time. Hosts that don't agree on the owner split the quota between the hosts that they take for it; a host
//! that is cut off keeps its own share, which is mostly too small for a request.
//!
//! All of it is plain state: messages and the time go in, messages come out. A message may be lost, late or
//! come twice.

pub mod bucket;
pub mod client;
pub mod lease;
pub mod limits;
pub mod members;
pub mod message;
pub mod owner;

mod peer;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{backend, host, routed::Rate, time::Moment};

use self::{
    client::Client,
    lease::MAX_LEASE,
    members::Members,
    message::{Clock, Content, Entry, Request, clock, moment},
    owner::Owner,
    peer::{Arrival, Peer},
};
pub use self::{
    client::Demand,
    limits::{Change, Limits, VersionedLimit},
    message::Message,
};
use crate::member::rendezvous;

/// Time between two renewals of a lease: for each host that shares the quota, and its bounds.
const RENEWAL_PER_HOST: Duration = Duration::from_millis(8);
const MIN_RENEWAL: Duration = Duration::from_millis(500);
const MAX_RENEWAL: Duration = Duration::from_secs(2);

/// Time that a lease lasts beyond two renewals, for messages that are late.
const LEASE_SLACK: Duration = Duration::from_millis(1_500);

/// Length of the lease of a host that owns a quota on its own share.
const OWN_LEASE: Duration = Duration::from_millis(200);

/// Time between two asks while requests wait: for each host that shares the quota, and its bounds.
const REPEAT_PER_HOST: Duration = Duration::from_millis(4);
const MIN_REPEAT: Duration = Duration::from_millis(100);
const MAX_REPEAT: Duration = Duration::from_millis(800);

/// Time for which a server without a limit is kept: shares of its quota may still be lent.
const UNLIMITED_RETENTION: Duration = Duration::from_secs(10);

/// Time between two messages to an owner whose clock is not known, or to whom no share is lent yet.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// Most lines of a message, so that it fits a datagram.
const MAX_ENTRIES: usize = 16;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits that this host granted, to itself too.
    pub granted: u64,
    /// Permits that it used.
    pub used: u64,
    /// Permits that it got and that lapsed.
    pub lapsed: u64,
}

/// All quotas, as one host has them.
#[derive(Clone, Debug)]
pub struct Quotas {
    own: host::Id,
    run: host::Incarnation,
    limits: Limits,
    members: Members,
    /// Live hosts, this one among them unless it is leaving.
    live: Vec<host::Id>,
    servers: BTreeMap<backend::Id, Server>,
    peers: BTreeMap<host::Id, Peer>,
    /// Hosts whose asks are to be answered.
    unanswered: BTreeSet<host::Id>,
    outgoing: Vec<(host::Id, Message)>,
    clock: Clock,
    counts: Counts,
}

/// One limited server.
#[derive(Clone, Debug, Default)]
struct Server {
    client: Client,
    owner: Owner,
    /// Live hosts, the first owner first.
    ranking: Vec<host::Id>,
    /// Since when it names no limit.
    unlimited_since: Option<Moment>,
}

impl Quotas {
    /// Without any limit yet.
    pub fn new(own: host::Id, run: host::Incarnation) -> Quotas {
        Quotas {
            live: vec![own.clone()],
            own,
            run,
            limits: Limits::default(),
            members: Members::default(),
            servers: BTreeMap::new(),
            peers: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            outgoing: Vec::new(),
            clock: 0,
            counts: Counts::default(),
        }
    }

    /// What is believed of the limits of servers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Shares of limited servers' quotas that this host holds, over all servers.
    pub fn shares(&self, now: Moment) -> u32 {
        let limited = self.limited().filter_map(|id| self.servers.get(id));
        limited.map(|server| server.owner.shares(now)).sum()
    }

    /// Whether any server's quota has to be looked after.
    pub fn is_idle(&self) -> bool {
        self.servers.is_empty()
    }

    /// Hosts that share each quota, this one among them. Silence makes them no fewer, but for hosts that hear nearly
    /// all others.
    pub fn sharers(&self) -> u32 {
        self.members.count()
    }

    /// Other live hosts.
    pub fn others(&self) -> impl Iterator<Item = &host::Id> {
        self.live.iter().filter(|host| **host != self.own)
    }

    /// A server's limit.
    pub fn limit(&self, server: &str) -> Option<Rate> {
        self.limits.limit(server)
    }

    /// Limited servers.
    pub fn limited(&self) -> impl Iterator<Item = &backend::Id> {
        self.limits.limited().map(|(server, _)| server)
    }

    /// Sets how many hosts the store lists, whether or not they run.
    pub fn set_listed(&mut self, hosts: u32) {
        self.members.set_listed(hosts);
    }

    /// Takes in the other hosts that are known, whether each is heard, and which of them take part.
    pub fn hosts<'a>(
        &mut self,
        known: impl Iterator<Item = (&'a host::Id, bool)>,
        live: Vec<host::Id>,
        now: Moment,
    ) {
        let known: BTreeMap<&host::Id, bool> = known.collect();
        self.peers.retain(|host, _| known.contains_key(host));
        self.members.update(&known, now);
        if self.live != live {
            self.live = live;
            self.servers.values_mut().for_each(|server| server.ranking.clear());
        }
    }

    /// Takes in what an answer names whose request left at `sent`.
    pub fn observe_limit(
        &mut self,
        server: &backend::Id,
        limit: Option<Rate>,
        sent: Moment,
        now: Moment,
    ) -> Option<Change> {
        self.limits.observe(server, limit, sent, now)
    }

    /// Takes in what another host believes.
    pub fn merge_limit(
        &mut self,
        server: &backend::Id,
        limit: VersionedLimit,
        now: Moment,
    ) -> Option<Change> {
        self.limits.merge(server, limit, now)
    }

    /// Notes that a server's limit has changed, and how many requests were sent to it just before.
    pub fn limit_changed(
        &mut self,
        server: &backend::Id,
        change: Change,
        sent_before: u32,
        now: Moment,
    ) {
        let known = self.servers.entry(server.clone()).or_default();
        known.owner.limit_changed();
        let is_lower = change
            .current
            .rate
            .is_some_and(|limit| change.previous.is_none_or(|previous| limit < previous));
        known.client.limit_changed(if is_lower { sent_before } else { 0 }, now);
    }

    /// Forgets the limit of a server that is gone. Its entry may come back while a share of its quota is still
    /// lent, so that is kept as it is where a limit ends.
    pub fn forget(&mut self, server: &str) {
        self.limits.forget(server);
    }

    /// Whether a request may be sent to a limited server now.
    pub fn has_permit(&self, server: &str, now: Moment) -> bool {
        self.servers.get(server).is_some_and(|known| known.client.has_permit(now))
    }

    /// Uses a permit for a request to a limited server.
    pub fn use_permit(&mut self, server: &str, now: Moment) {
        if let Some(known) = self.servers.get_mut(server) {
            self.counts.used += u64::from(known.client.use_permit(now));
        }
    }

    /// Notes a request that could have gone to a limited server but for a permit.
    pub fn permit_missing(&mut self, server: &str, now: Moment) {
        if let Some(known) = self.servers.get_mut(server) {
            known.client.permit_missing(now);
        }
    }

    /// Sets what the requests want that wait and could go to a limited server.
    pub fn set_demand(&mut self, server: &str, demand: Demand) {
        if let Some(known) = self.servers.get_mut(server) {
            known.client.set_demand(demand);
        }
    }

    /// The rate at which a limited server takes requests of this host, with one more that waits.
    pub fn own_rate(&self, server: &str, now: Moment) -> Option<f64> {
        let limit = self.limit(server)?.as_f64();
        let fraction = self.servers.get(server).map_or(1.0, |known| known.client.fraction(now));
        Some(limit * fraction)
    }

    /// Takes in a message, and returns the changes of limits that it told of.
    pub fn receive(
        &mut self,
        from: &host::Id,
        message: &Message,
        now: Moment,
    ) -> Vec<(backend::Id, Change)> {
        if message.to.is_some_and(|to| to != self.run) {
            return Vec::new();
        }
        let peer = self.peers.entry(from.clone()).or_default();
        let Some(arrival) = peer.receive(message.from, message.clock, now) else {
            return Vec::new();
        };
        let echo = if message.to.is_some() { moment(message.echo) } else { Duration::ZERO };
        let heard = message.entries.iter().filter_map(|entry| {
            Some((entry.server.clone(), self.limits.merge(&entry.server, entry.limit, now)?))
        });
        let changes = heard.collect();
        for entry in &message.entries {
            match entry.content {
                Content::Request(request) if arrival == Arrival::Newest => {
                    self.on_request(from, &entry.server, &request, echo, now)
                }
                Content::Request(_) => {}
                Content::Grant { permits, waiting } => {
                    self.on_grant(&entry.server, permits, waiting, echo, now);
                }
            }
        }
        changes
    }

    fn on_request(
        &mut self,
        from: &host::Id,
        server: &backend::Id,
        request: &Request,
        echo: Moment,
        now: Moment,
    ) {
        self.unanswered.insert(from.clone());
        let Some(limit) = self.limits.limit(server) else { return };
        let known = self.servers.entry(server.clone()).or_default();
        known.owner.on_request(from, request, echo, limit, now);
    }

    fn on_grant(
        &mut self,
        server: &backend::Id,
        permits: u32,
        waiting: u32,
        requested_at: Moment,
        now: Moment,
    ) {
        let Some(known) = self.servers.get_mut(server) else { return };
        self.counts.lapsed += u64::from(known.client.on_grant(permits, requested_at, now));
        known.client.set_queue(waiting, now);
    }

    /// Grants, asks and renews what is due.
    pub fn tick(&mut self, now: Moment) {
        if self.servers.is_empty() && self.unanswered.is_empty() {
            return;
        }
        let mut entries: BTreeMap<host::Id, Vec<Entry>> = BTreeMap::new();
        std::mem::take(&mut self.unanswered).into_iter().for_each(|host| {
            entries.entry(host).or_default();
        });
        let ids: Vec<backend::Id> = self.servers.keys().cloned().collect();
        for id in ids {
            self.tick_server(&id, &mut entries, now);
        }
        for (host, entries) in entries {
            self.queue_messages(&host, &entries, now);
        }
    }

    /// Takes the messages that are to be sent.
    pub fn outgoing(&mut self) -> Vec<(host::Id, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    fn tick_server(
        &mut self,
        id: &backend::Id,
        entries: &mut BTreeMap<host::Id, Vec<Entry>>,
        now: Moment,
    ) {
        let versioned = self.limits.get(id);
        let Some(mut server) = self.servers.remove(id) else { return };
        let Some(limit) = versioned.rate else {
            if now < *server.unlimited_since.get_or_insert(now) + UNLIMITED_RETENTION {
                self.servers.insert(id.clone(), server);
            }
            return;
        };
        server.unlimited_since = None;
        if server.ranking.is_empty() {
            server.ranking = ranking(&self.live, id);
        }
        self.counts.lapsed += u64::from(server.client.expire(now));
        server.owner.expire(now);
        let first = self.first(&server, now);
        let owner = self.owner(&server, &first, now);
        let lends = owner == first;
        let mut add_entry = |host: &host::Id, content| {
            let entry = Entry { server: id.clone(), limit: versioned, content };
            entries.entry(host.clone()).or_default().push(entry);
        };
        if owner == self.own {
            let request = self.request(&mut server.client, &owner, lends, now);
            server.owner.on_request(&owner, &request, now, limit, now);
            server.client.record_request(&owner, now);
        } else if self.should_send_request(&server.client, &owner, lends, now) {
            add_entry(
                &owner,
                Content::Request(self.request(&mut server.client, &owner, lends, now)),
            );
            server.client.record_request(&owner, now);
        }
        let granted = server.owner.grant(limit, self.members.count(), now);
        let waiting = server.owner.waiting(now);
        for (host, permits) in granted {
            self.counts.granted += u64::from(permits);
            if host == self.own {
                server.client.on_grant(permits, now, now);
            } else {
                add_entry(&host, Content::Grant { permits, waiting });
            }
        }
        if owner == self.own {
            server.client.set_queue(waiting, now);
        }
        self.servers.insert(id.clone(), server);
    }

    /// The first of the live hosts that answers.
    fn first(&self, server: &Server, now: Moment) -> host::Id {
        let first = server.ranking.iter().find(|host| !self.is_avoided(host, now));
        first.unwrap_or(&self.own).clone()
    }

    /// The host that is asked: the one that holds this host's share while it does, else the first.
    fn owner(&self, server: &Server, first: &host::Id, now: Moment) -> host::Id {
        let borrower = server.client.share.borrower(now);
        let answers = borrower.filter(|borrower| !self.is_avoided(borrower, now));
        answers.unwrap_or(first).clone()
    }

    fn is_avoided(&self, host: &host::Id, now: Moment) -> bool {
        *host != self.own && self.peers.get(host).is_some_and(|peer| peer.is_avoided(now))
    }

    /// An ask of this host to an owner, with its share if that is to be lent and free.
    fn request(&self, client: &mut Client, owner: &host::Id, lends: bool, now: Moment) -> Request {
        let demand = client.unmet_demand(now);
        let is_own = *owner == self.own;
        let length = if is_own { OWN_LEASE } else { self.lease() };
        let read = if is_own { Some(now) } else { self.peers.get(owner).and_then(Peer::read_at) };
        let is_lent = lends && read.is_some_and(|read| client.share.lend(owner, read, length, now));
        Request {
            wanted: demand.permits,
            urgency: demand.urgency,
            lease_ms: if is_lent { length.as_millis() as u32 } else { 0 },
            hosts: self.members.count(),
            sent_before: client.sent_before(now),
        }
    }

    /// Whether an owner is to be asked, or to be lent to, now.
    fn should_send_request(
        &self,
        client: &Client,
        owner: &host::Id,
        lends: bool,
        now: Moment,
    ) -> bool {
        let is_known = self.peers.get(owner).is_some_and(|peer| peer.read_at().is_some());
        let is_lent = client.share.borrower(now) == Some(owner);
        let pause = if is_known && is_lent { self.renewal() } else { HELLO_INTERVAL };
        let is_due = client.requested_at(owner).is_none_or(|at| at + pause <= now);
        let may_send = lends || !is_known;
        (may_send && is_due) || (is_known && client.should_request(owner, self.repeat(), now))
    }

    fn repeat(&self) -> Duration {
        (REPEAT_PER_HOST * self.members.count()).clamp(MIN_REPEAT, MAX_REPEAT)
    }

    fn renewal(&self) -> Duration {
        (RENEWAL_PER_HOST * self.members.count()).clamp(MIN_RENEWAL, MAX_RENEWAL)
    }

    fn lease(&self) -> Duration {
        (self.renewal() * 2 + LEASE_SLACK).min(MAX_LEASE)
    }

    fn queue_messages(&mut self, host: &host::Id, entries: &[Entry], now: Moment) {
        let peer = self.peers.entry(host.clone()).or_default();
        let is_request = entries.iter().any(|entry| matches!(entry.content, Content::Request(_)));
        if is_request {
            peer.record_request(now);
        }
        let (to, echo) = (peer.run(), peer.clock());
        let chunks: Vec<&[Entry]> = match entries {
            [] => vec![&[]],
            entries => entries.chunks(MAX_ENTRIES).collect(),
        };
        for chunk in chunks {
            self.clock = clock(now).max(self.clock + 1);
            let message =
                Message { from: self.run, to, clock: self.clock, echo, entries: chunk.to_vec() };
            self.outgoing.push((host.clone(), message));
        }
    }
}

/// Hosts by their rank as owners of a server's quota, the same on every host.
fn ranking(live: &[host::Id], server: &str) -> Vec<host::Id> {
    let mut hosts = live.to_vec();
    hosts.sort_by_cached_key(|host| {
        std::cmp::Reverse((rendezvous::score(server.as_bytes(), host), host.clone()))
    });
    hosts
}
