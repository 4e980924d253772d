//! Quotas: rate limits of servers, shared by all hosts.
//!
//! A server that limits its load names a rate limit in its answers ([`limits`]). From then on
//! requests are sent to it only with a permit. For each limited server one host grants permits, the
//! owner: the first of the live hosts by rendezvous hashing of the server's id, so that the owners
//! of many servers are spread over the hosts and none is elected. Safety does not depend on there
//! being one owner, but on the [`lease`] of each host's share of the quota to one host at a time.
//! Hosts that disagree on the owner split the quota between the hosts that they regard as owners; a
//! host that is cut off keeps its own share, which is mostly too small for a request.
//!
//! [`Quotas`] does no I/O: it takes messages and the current time, and returns messages to send.
//! Messages may be lost, late or duplicated.

pub mod bucket;
pub mod client;
pub mod lease;
pub mod limits;
pub mod members;
pub mod message;
pub mod owner;

pub(crate) mod peer;

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
    limits::{Change, Limit, Limits},
    message::Message,
};
use crate::member::rendezvous;

/// Interval between two renewals of a lease, for each host that shares the quota; clamped to
/// [`MIN_RENEWAL`] and [`MAX_RENEWAL`].
const RENEWAL_PER_HOST: Duration = Duration::from_millis(8);
const MIN_RENEWAL: Duration = Duration::from_millis(500);
const MAX_RENEWAL: Duration = Duration::from_secs(2);

/// Time by which a lease outlasts two renewal intervals, for late messages.
const LEASE_SLACK: Duration = Duration::from_millis(1_500);

/// Length of the lease of an owner's own share to itself.
const OWN_LEASE: Duration = Duration::from_millis(200);

/// Interval between two permit requests while requests wait, for each host that shares the quota;
/// clamped to [`MIN_REPEAT`] and [`MAX_REPEAT`].
const REPEAT_PER_HOST: Duration = Duration::from_millis(4);
const MIN_REPEAT: Duration = Duration::from_millis(100);
const MAX_REPEAT: Duration = Duration::from_millis(800);

/// Time for which the state of a server that names no limit any more is kept, since shares of its
/// quota may still be lent.
const UNLIMITED_RETENTION: Duration = Duration::from_secs(10);

/// Interval between two messages to an owner whose clock is not known, or that holds no lease of
/// this host's share yet.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of entries in a message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 16;

/// Totals since this process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits that this host granted, including those to itself.
    pub granted: u64,
    /// Permits that this host used for requests.
    pub used: u64,
    /// Permits granted to this host that expired unused.
    pub lapsed: u64,
}

/// All quotas as one host sees them.
#[derive(Clone, Debug)]
pub struct Quotas {
    own: host::Id,
    run: host::Incarnation,
    limits: Limits,
    members: Members,
    /// Live hosts, including this one unless it is leaving.
    live: Vec<host::Id>,
    servers: BTreeMap<backend::Id, Server>,
    peers: BTreeMap<host::Id, Peer>,
    /// Hosts whose permit requests have not been answered yet.
    unanswered: BTreeSet<host::Id>,
    outgoing: Vec<(host::Id, Message)>,
    clock: Clock,
    counts: Counts,
    /// Whether an earlier run of this host may have lent shares; `None` until this run is registered.
    has_earlier_run: Option<bool>,
}

/// A server that names a limit, or did until a short time ago.
#[derive(Clone, Debug, Default)]
struct Server {
    client: Client,
    owner: Owner,
    /// Live hosts in the order in which they become owner.
    ranking: Vec<host::Id>,
    /// When the server stopped naming a limit.
    unlimited_since: Option<Moment>,
}

impl Quotas {
    /// Returns the state of a host that knows of no limit. `run` identifies this process in
    /// messages.
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
            has_earlier_run: None,
        }
    }

    /// Records that this run is registered, and whether it is the first one under its name, so that no
    /// earlier one has lent a share. Only the first call counts.
    pub fn registered(&mut self, is_first: bool) {
        if *self.has_earlier_run.get_or_insert(!is_first) {
            return;
        }
        self.servers.values_mut().for_each(|server| server.client.share.release());
    }

    /// Returns the state of a limited server, which is added if it is new.
    fn server(&mut self, id: &backend::Id) -> &mut Server {
        let is_first_run = self.has_earlier_run == Some(false);
        self.servers.entry(id.clone()).or_insert_with(|| {
            let mut server = Server::default();
            if is_first_run {
                server.client.share.release();
            }
            server
        })
    }

    /// Limits of all servers as this host knows them.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Totals since this process started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of shares of quotas that this host holds by lease, over all limited servers.
    pub fn shares(&self, now: Moment) -> u32 {
        let limited = self.limited().filter_map(|id| self.servers.get(id));
        limited.map(|server| server.owner.shares(now)).sum()
    }

    /// Whether no server is limited and no state of a former limit is left.
    pub fn is_idle(&self) -> bool {
        self.servers.is_empty()
    }

    /// Number of hosts that share each quota, including this one. A silent host still counts,
    /// unless this host hears from nearly all others; see [`members`].
    pub fn sharers(&self) -> u32 {
        self.members.count()
    }

    /// This host.
    pub fn own(&self) -> &host::Id {
        &self.own
    }

    /// Live hosts, including this one unless it is leaving.
    pub fn live(&self) -> &[host::Id] {
        &self.live
    }

    /// Live hosts without this one.
    pub fn others(&self) -> impl Iterator<Item = &host::Id> {
        self.live.iter().filter(|host| **host != self.own)
    }

    /// Rate limit of a server; `None` if it names none.
    pub fn limit(&self, server: &str) -> Option<Rate> {
        self.limits.limit(server)
    }

    /// Servers that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = &backend::Id> {
        self.limits.limited().map(|(server, _)| server)
    }

    /// Sets how many hosts are registered in the store, whether or not they run.
    pub fn set_listed(&mut self, hosts: u32) {
        self.members.set_listed(hosts);
    }

    /// Updates the other hosts that are known, whether each is heard from, and the live hosts that
    /// may own quotas.
    pub fn update_hosts<'a>(
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

    /// Applies the limit that an answer names, or `None` for an answer without one; `sent` is when
    /// its request left. Returns the change, if there is one.
    pub fn observe_limit(
        &mut self,
        server: &backend::Id,
        limit: Option<Rate>,
        sent: Moment,
        now: Moment,
    ) -> Option<Change> {
        self.limits.observe(server, limit, sent, now)
    }

    /// Merges the limit that another host knows. Returns the change of the rate, if there is one.
    pub fn merge_limit(
        &mut self,
        server: &backend::Id,
        limit: Limit,
        now: Moment,
    ) -> Option<Change> {
        self.limits.merge(server, limit, now)
    }

    /// Applies a change of a server's limit; `sent_before` is the number of requests that this host
    /// sent there just before.
    pub fn limit_changed(
        &mut self,
        server: &backend::Id,
        change: Change,
        sent_before: u32,
        now: Moment,
    ) {
        let known = self.server(server);
        known.owner.limit_changed();
        let is_lower = change
            .current
            .rate
            .is_some_and(|limit| change.previous.is_none_or(|previous| limit < previous));
        known.client.limit_changed(if is_lower { sent_before } else { 0 }, now);
    }

    /// Forgets the limit of a server that is gone. The leases of its quota are kept as after the
    /// end of a limit, since the server may come back while a share is still lent.
    pub fn forget(&mut self, server: &str) {
        self.limits.forget(server);
    }

    /// Whether this host has a permit for a limited server now.
    pub fn has_permit(&self, server: &str, now: Moment) -> bool {
        self.servers.get(server).is_some_and(|known| known.client.has_permit(now))
    }

    /// Uses up a permit for a request to a limited server.
    pub fn use_permit(&mut self, server: &str, now: Moment) {
        if let Some(known) = self.servers.get_mut(server) {
            self.counts.used += u64::from(known.client.use_permit(now));
        }
    }

    /// Records that a request could have been sent to a limited server if there had been a permit.
    pub fn permit_missing(&mut self, server: &str, now: Moment) {
        if let Some(known) = self.servers.get_mut(server) {
            known.client.permit_missing(now);
        }
    }

    /// Sets the permits that waiting requests could use on a limited server.
    pub fn set_demand(&mut self, server: &str, demand: Demand) {
        if let Some(known) = self.servers.get_mut(server) {
            known.client.set_demand(demand);
        }
    }

    /// Rate at which a limited server takes requests of this host, in requests per second, with one
    /// more request waiting here; `None` if the server names no limit.
    pub fn own_rate(&self, server: &str, now: Moment) -> Option<f64> {
        let limit = self.limit(server)?.as_f64();
        let fraction = self.servers.get(server).map_or(1.0, |known| known.client.fraction(now));
        Some(limit * fraction)
    }

    /// Processes a message and returns the changes of limits that came with it. A message to an
    /// earlier run of this host, or one that was received before, is ignored.
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
        let merged = message.entries.iter().filter_map(|entry| {
            Some((entry.server.clone(), self.limits.merge(&entry.server, entry.limit, now)?))
        });
        let changes = merged.collect();
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
        let known = self.server(server);
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

    /// Grants permits, requests permits and renews leases that are due.
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

    /// Drains the messages to send, with their recipients.
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
            server.ranking = rendezvous::ranking(id.as_bytes(), &self.live);
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

    /// Returns the first live host in the server's ranking that answers.
    fn first(&self, server: &Server, now: Moment) -> host::Id {
        let first = server.ranking.iter().find(|host| !self.is_avoided(host, now));
        first.unwrap_or(&self.own).clone()
    }

    /// Returns the host to request permits from: the borrower of this host's share while it
    /// answers, else `first`.
    fn owner(&self, server: &Server, first: &host::Id, now: Moment) -> host::Id {
        let borrower = server.client.share.borrower(now);
        let answers = borrower.filter(|borrower| !self.is_avoided(borrower, now));
        answers.unwrap_or(first).clone()
    }

    fn is_avoided(&self, host: &host::Id, now: Moment) -> bool {
        *host != self.own && self.peers.get(host).is_some_and(|peer| peer.is_avoided(now))
    }

    /// Builds a permit request to an owner. Lends this host's share with it if `lends` and no other
    /// host holds the share.
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

    /// Whether a message to an owner is due now, to request permits or to lend the share.
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
