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
    lease::LONGEST,
    members::Members,
    message::{Ask, Clock, Content, Line, clock, moment},
    owner::Owner,
    peer::{Order, Peer},
};
pub use self::{
    client::Demand,
    limits::{Change, Limits, VersionedLimit},
    message::Message,
};
use crate::member::rendezvous;

/// Time between two renewals of a lease: for each host that shares the quota, and its bounds.
const RENEWAL_EACH: Duration = Duration::from_millis(8);
const RENEWAL_LEAST: Duration = Duration::from_millis(500);
const RENEWAL_MOST: Duration = Duration::from_secs(2);

/// Time that a lease lasts beyond two renewals, for messages that are late.
const LEASE_SLACK: Duration = Duration::from_millis(1_500);

/// Length of the lease of a host that owns a quota on its own share.
const OWN_LEASE: Duration = Duration::from_millis(200);

/// Time between two asks while requests wait: for each host that shares the quota, and its bounds.
const REPEAT_EACH: Duration = Duration::from_millis(4);
const REPEAT_LEAST: Duration = Duration::from_millis(100);
const REPEAT_MOST: Duration = Duration::from_millis(800);

/// Time for which a server without a limit is kept: shares of its quota may still be lent.
const KEPT: Duration = Duration::from_secs(10);

/// Time between two messages to an owner whose clock is not known, or to whom no share is lent yet.
const GREETING: Duration = Duration::from_millis(100);

/// Most lines of a message, so that it fits a datagram.
const LINES: usize = 16;

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
    ended: Option<Moment>,
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
        before: u32,
        now: Moment,
    ) {
        let known = self.servers.entry(server.clone()).or_default();
        known.owner.changed();
        let is_lower = change
            .current
            .rate
            .is_some_and(|limit| change.previous.is_none_or(|previous| limit < previous));
        known.client.changed(if is_lower { before } else { 0 }, now);
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
        let part = self.servers.get(server).map_or(1.0, |known| known.client.part(now));
        Some(limit * part)
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
        let Some(order) = peer.receive(message.from, message.clock, now) else {
            return Vec::new();
        };
        let read = if message.to.is_some() { moment(message.read) } else { Duration::ZERO };
        let heard = message.lines.iter().filter_map(|line| {
            Some((line.server.clone(), self.limits.merge(&line.server, line.limit, now)?))
        });
        let changes = heard.collect();
        for line in &message.lines {
            match line.content {
                Content::Ask(ask) if order == Order::Newest => {
                    self.asked(from, &line.server, &ask, read, now)
                }
                Content::Ask(_) => {}
                Content::Grant { permits, waiting } => {
                    self.granted(&line.server, permits, waiting, read, now);
                }
            }
        }
        changes
    }

    fn asked(
        &mut self,
        from: &host::Id,
        server: &backend::Id,
        ask: &Ask,
        read: Moment,
        now: Moment,
    ) {
        self.unanswered.insert(from.clone());
        let Some(limit) = self.limits.limit(server) else { return };
        let known = self.servers.entry(server.clone()).or_default();
        known.owner.ask(from, ask, read, limit, now);
    }

    fn granted(
        &mut self,
        server: &backend::Id,
        permits: u32,
        waiting: u32,
        asked: Moment,
        now: Moment,
    ) {
        let Some(known) = self.servers.get_mut(server) else { return };
        self.counts.lapsed += u64::from(known.client.granted(permits, asked, now));
        known.client.queue(waiting, now);
    }

    /// Grants, asks and renews what is due.
    pub fn tick(&mut self, now: Moment) {
        if self.servers.is_empty() && self.unanswered.is_empty() {
            return;
        }
        let mut lines: BTreeMap<host::Id, Vec<Line>> = BTreeMap::new();
        std::mem::take(&mut self.unanswered).into_iter().for_each(|host| {
            lines.entry(host).or_default();
        });
        let ids: Vec<backend::Id> = self.servers.keys().cloned().collect();
        for id in ids {
            self.tick_server(&id, &mut lines, now);
        }
        for (host, lines) in lines {
            self.put(&host, &lines, now);
        }
    }

    /// Takes the messages that are to be sent.
    pub fn outgoing(&mut self) -> Vec<(host::Id, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    fn tick_server(
        &mut self,
        id: &backend::Id,
        lines: &mut BTreeMap<host::Id, Vec<Line>>,
        now: Moment,
    ) {
        let versioned = self.limits.get(id);
        let Some(mut server) = self.servers.remove(id) else { return };
        let Some(limit) = versioned.rate else {
            if now < *server.ended.get_or_insert(now) + KEPT {
                self.servers.insert(id.clone(), server);
            }
            return;
        };
        server.ended = None;
        if server.ranking.is_empty() {
            server.ranking = ranking(&self.live, id);
        }
        self.counts.lapsed += u64::from(server.client.expire(now));
        server.owner.expire(now);
        let first = self.first(&server, now);
        let owner = self.owner(&server, &first, now);
        let lends = owner == first;
        let mut put = |host: &host::Id, content| {
            let line = Line { server: id.clone(), limit: versioned, content };
            lines.entry(host.clone()).or_default().push(line);
        };
        if owner == self.own {
            let ask = self.ask(&mut server.client, &owner, lends, now);
            server.owner.ask(&owner, &ask, now, limit, now);
            server.client.asks(&owner, now);
        } else if self.should_tell(&server.client, &owner, lends, now) {
            put(&owner, Content::Ask(self.ask(&mut server.client, &owner, lends, now)));
            server.client.asks(&owner, now);
        }
        let granted = server.owner.grant(limit, self.members.count(), now);
        let waiting = server.owner.waiting(now);
        for (host, permits) in granted {
            self.counts.granted += u64::from(permits);
            if host == self.own {
                server.client.granted(permits, now, now);
            } else {
                put(&host, Content::Grant { permits, waiting });
            }
        }
        if owner == self.own {
            server.client.queue(waiting, now);
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
    fn ask(&self, client: &mut Client, owner: &host::Id, lends: bool, now: Moment) -> Ask {
        let demand = client.unmet_demand(now);
        let is_own = *owner == self.own;
        let length = if is_own { OWN_LEASE } else { self.lease() };
        let read = if is_own { Some(now) } else { self.peers.get(owner).and_then(Peer::read) };
        let is_lent = lends && read.is_some_and(|read| client.share.lend(owner, read, length, now));
        Ask {
            wanted: demand.permits,
            urgency: demand.urgency,
            lease: if is_lent { length.as_millis() as u32 } else { 0 },
            hosts: self.members.count(),
            before: client.before(now),
        }
    }

    /// Whether an owner is to be asked, or to be lent to, now.
    fn should_tell(&self, client: &Client, owner: &host::Id, lends: bool, now: Moment) -> bool {
        let is_known = self.peers.get(owner).is_some_and(|peer| peer.read().is_some());
        let is_lent = client.share.borrower(now) == Some(owner);
        let pause = if is_known && is_lent { self.renewal() } else { GREETING };
        let is_due = client.asked_at(owner).is_none_or(|at| at + pause <= now);
        let may_tell = lends || !is_known;
        (may_tell && is_due) || (is_known && client.should_ask(owner, self.repeat(), now))
    }

    fn repeat(&self) -> Duration {
        (REPEAT_EACH * self.members.count()).clamp(REPEAT_LEAST, REPEAT_MOST)
    }

    fn renewal(&self) -> Duration {
        (RENEWAL_EACH * self.members.count()).clamp(RENEWAL_LEAST, RENEWAL_MOST)
    }

    fn lease(&self) -> Duration {
        (self.renewal() * 2 + LEASE_SLACK).min(LONGEST)
    }

    fn put(&mut self, host: &host::Id, lines: &[Line], now: Moment) {
        let peer = self.peers.entry(host.clone()).or_default();
        let is_ask = lines.iter().any(|line| matches!(line.content, Content::Ask(_)));
        if is_ask {
            peer.asked(now);
        }
        let (to, read) = (peer.run(), peer.clock());
        let lots: Vec<&[Line]> = match lines {
            [] => vec![&[]],
            lines => lines.chunks(LINES).collect(),
        };
        for lot in lots {
            self.clock = clock(now).max(self.clock + 1);
            let message =
                Message { from: self.run, to, clock: self.clock, read, lines: lot.to_vec() };
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
