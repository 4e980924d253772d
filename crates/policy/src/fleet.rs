//! Gossip between the hosts of a routed deployment.
//!
//! Each host keeps a table of facts about itself: its state, the declaration in force, what it
//! believes about the lease and the store, its work in flight, and counters that only rise. Every
//! change in the table gets the next edition number. A digest carries what changed since the
//! edition that its reader has acknowledged, so a lost datagram loses nothing, nothing old
//! overwrites what is newer, and an idle host sends little. What can't wait for the next digest
//! goes out at once as a [`Notice`] and is sent again until it is acknowledged.
//!
//! Up to [`Settings::full_mesh_limit`] hosts all send each other digests. More hosts form groups
//! within their availability zones, and one relay of each group exchanges aggregated tables with
//! the other relays (see `fanout`).
//!
//! The module does no I/O: datagrams and the time go in, datagrams come out. That a host is silent
//! is only a hint for shares of limits and for routing; no safety property may depend on it.

mod aggregate;
mod announcements;
mod candidates;
mod crashes;
mod fact;
mod failover;
mod fanout;
mod hosts;
mod link;
mod local_table;
mod names;
mod notice;
mod receive;
mod remote_table;
mod send;
mod snapshot;
mod traffic;
mod wire;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use types::{host, time::Moment};

use self::{
    aggregate::Counters,
    announcements::Announcements,
    candidates::Candidates,
    crashes::Crashes,
    fact::{Fact, Key, ResponseTimes},
    fanout::{Fanout, Ranks},
    hosts::Hosts,
    local_table::LocalTable,
    notice::{Audience, Outbox, Window},
    wire::{Body, Item, Number, Packet, Run, Scope},
};
pub use self::{
    fact::{
        Departure, Lease, Load, Member, Publication, Reachability, Revision, State, StoreStatus,
    },
    notice::{Notice, Recipients},
    snapshot::{PeerStatus, Snapshot, Tier},
    traffic::{Content, Origin, Traffic, Volume},
    wire::DATAGRAM_BYTES,
};

/// Intervals, timeouts and sizes of the gossip.
///
/// A deployment is "grouped" if it has more than `full_mesh_limit` hosts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Least time between digests to a host of the same zone that lacks changes.
    pub interval: Duration,
    /// Least time between digests to a host of another zone that lacks changes.
    pub cross_zone_interval: Duration,
    /// Time between digests to a host that lacks no changes.
    pub heartbeat: Duration,
    /// Time without a packet after which a host that gets digests from this one is silent.
    pub silence_timeout: Duration,
    /// Least time between keepalives to a host of a grouped deployment that gets no digests; it is
    /// longer if there are so many that keepalives would exceed their share of the bytes.
    pub keepalive_interval: Duration,
    /// Time without a packet after which a silent host is forgotten.
    pub forget_after: Duration,
    /// Most hosts that all send each other digests.
    pub full_mesh_limit: usize,
    /// Hosts of the deployment for which `grouped_tick`, `grouped_interval` and `bytes_per_second`
    /// are set. Fewer hosts send digests more often and more bytes.
    pub reference_hosts: usize,
    /// Time between checks for due digests in a grouped deployment of the reference size.
    pub grouped_tick: Duration,
    /// Least time between digests to a host that lacks changes, in a grouped deployment of the
    /// reference size.
    pub grouped_interval: Duration,
    /// Time between digests to a host that lacks no changes, in any grouped deployment.
    pub grouped_heartbeat: Duration,
    /// Time without a packet after which a host that gets digests from this one is silent, in any
    /// grouped deployment.
    pub grouped_silence_timeout: Duration,
    /// Bytes a second that a host sends in digests in a grouped deployment of the reference size.
    pub bytes_per_second: u32,
    /// Most bytes a second that a host sends in digests in a grouped deployment of any size.
    pub max_bytes_per_second: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_millis(5),
            cross_zone_interval: Duration::from_millis(5),
            heartbeat: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(3),
            keepalive_interval: Duration::from_secs(3),
            forget_after: Duration::from_secs(60),
            full_mesh_limit: 16,
            reference_hosts: 350,
            grouped_tick: Duration::from_millis(100),
            grouped_interval: Duration::from_millis(250),
            grouped_heartbeat: Duration::from_secs(1),
            grouped_silence_timeout: Duration::from_secs(6),
            bytes_per_second: 3_000,
            max_bytes_per_second: 150_000,
        }
    }
}

/// Liveness of another host, as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// Packets arrive from the host, and it takes new work or is about to.
    Live,
    /// Packets arrive from the host, and it advertises that it takes nothing new.
    Leaving,
    /// No packet arrived within the silence timeout, or a relay reported that none does.
    Silent,
}

/// A datagram to be sent to another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// A notice that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Name of the host that first sent the notice; none if that run of a host is not known here.
    pub origin: Option<host::Id>,
    /// Address of the host that sent or forwarded the datagram.
    pub via: SocketAddr,
    /// The notice.
    pub notice: Notice,
}

/// Error of sending a notice to a host that is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host {0} is not known here")]
pub struct UnknownHost(pub host::Id);

/// Traffic counts since this host's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Payload bytes of the datagrams sent, without the network's headers.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Payload bytes of the datagrams received.
    pub received_bytes: u64,
    /// Datagrams received that could not be decoded.
    pub unreadable: u64,
    /// Notices that were given up without an acknowledgement, or never queued for want of room.
    pub lost_notices: u64,
}

/// State of the gossip on this host.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    member: Member,
    ranks: Ranks,
    /// Packets that this run has sent.
    count: u32,
    local_tables: [LocalTable; Scope::ALL.len()],
    /// The newest status of the store that is not advertised yet; advertised at most once a
    /// heartbeat.
    store: Option<StoreStatus>,
    hosts: Hosts,
    candidates: Candidates,
    fanout: Fanout,
    counters: Counters,
    outbox: Outbox,
    announcements: Announcements,
    /// Crashes that other hosts reported by notices.
    crashes: Crashes,
    /// Number of the last notice that this run originated.
    number: Number,
    /// Which notices were received before, by the run that originated them.
    windows: BTreeMap<Run, Window>,
    outgoing: Vec<Datagram>,
    /// Whether [`Fleet::announce_exit`] was called; nothing but goodbyes is sent then.
    has_left: bool,
    counts: Counts,
    traffic: Traffic,
    digest_bucket: send::TokenBucket,
    greeting_bucket: send::TokenBucket,
    answer_bucket: send::TokenBucket,
    next_tick: Moment,
    next_store: Moment,
    next_aggregation: Moment,
    next_introduction: Moment,
    introductions: usize,
}

impl Fleet {
    /// Starts with seed addresses, at which hosts may be down; this host's own may be among them.
    pub fn new(
        now: Moment,
        settings: Settings,
        member: Member,
        seeds: impl IntoIterator<Item = SocketAddr>,
    ) -> Fleet {
        let mut local_tables: [LocalTable; Scope::ALL.len()] = Default::default();
        local_tables[Scope::Own as usize].set(now, Fact::State(State::default()));
        let mut candidates = Candidates::default();
        seeds.into_iter().for_each(|address| candidates.add(now, address));
        Fleet {
            digest_bucket: send::TokenBucket::new(now),
            greeting_bucket: send::TokenBucket::new(now),
            answer_bucket: send::TokenBucket::new(now),
            settings,
            ranks: Ranks::of(&member.id),
            member,
            count: 0,
            local_tables,
            store: None,
            hosts: Hosts::default(),
            candidates,
            fanout: Fanout::default(),
            counters: Counters::default(),
            outbox: Outbox::default(),
            announcements: Announcements::default(),
            crashes: Crashes::default(),
            number: 0,
            windows: BTreeMap::new(),
            outgoing: Vec::new(),
            has_left: false,
            counts: Counts::default(),
            traffic: Traffic::default(),
            next_tick: now,
            next_store: now,
            next_aggregation: now,
            next_introduction: now + send::INTRODUCTION_INTERVAL,
            introductions: 0,
        }
    }

    /// This host's identity.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Adds addresses at which other hosts may be. Each is greeted until a host is known there, and
    /// again once that host is forgotten.
    pub fn introduce(&mut self, now: Moment, addresses: impl IntoIterator<Item = SocketAddr>) {
        addresses.into_iter().for_each(|address| self.candidates.add(now, address));
    }

    /// Replaces one part of the facts that this host advertises.
    pub fn publish(&mut self, now: Moment, publication: Publication) {
        if let Publication::Crashes(crashes) = &publication {
            self.report_crashes(now, crashes);
        }
        let local = &mut self.local_tables[Scope::Own as usize];
        match publication {
            Publication::State(state) => local.set(now, Fact::State(state)),
            Publication::Declared(version) => local.set(now, Fact::Declared(version)),
            Publication::Term(stored) => local.set(now, Fact::Term(stored)),
            Publication::Lease(Some(lease)) => local.set(now, Fact::Lease(lease)),
            Publication::Lease(None) => local.remove(now, &Key::Lease),
            Publication::Store(store) => self.update_store(now, store),
            Publication::InFlight(loads) => set_in_flight(local, now, loads),
            Publication::Arrivals(counts) => counts
                .into_iter()
                .for_each(|(service, count)| local.set(now, Fact::Arrivals(service, count))),
            Publication::Retries(counts) => counts
                .into_iter()
                .for_each(|(service, count)| local.set(now, Fact::Retries(service, count))),
            Publication::Servers(servers) => {
                let facts =
                    servers.into_iter().map(|(server, departure)| Fact::Server(server, departure));
                replace(local, now, |key| matches!(key, Key::Server(_)), facts);
            }
            Publication::Limits(limits) => {
                let facts = limits.into_iter().map(|(server, limit)| Fact::Limit(server, limit));
                replace(local, now, |key| matches!(key, Key::Limit(_)), facts);
            }
            Publication::Speeds(sums) => {
                let facts = sums
                    .into_iter()
                    .map(|(server, sum)| Fact::Speed(server, ResponseTimes::new(sum)));
                replace(local, now, |key| matches!(key, Key::Speed(_)), facts);
            }
            Publication::CustomerWork(work) => {
                let facts = work
                    .into_iter()
                    .map(|(id, in_flight, waiting)| Fact::CustomerWork(id, in_flight, waiting));
                replace(local, now, |key| matches!(key, Key::CustomerWork(_)), facts);
            }
            Publication::Deferrable(deferrable) => {
                let facts = deferrable
                    .into_iter()
                    .map(|(id, in_flight, waiting)| Fact::Deferrable(id, in_flight, waiting));
                replace(local, now, |key| matches!(key, Key::Deferrable(_)), facts);
            }
            Publication::Crashes(crashes) => {
                let facts = crashes.into_iter().map(Fact::Crash);
                replace(local, now, |key| matches!(key, Key::Crash(..)), facts);
            }
        }
    }

    /// Sends a notice until it is acknowledged, a few times at the most. Hosts announce a declaration
    /// in turn, and not at all if another host has announced it or a later one.
    ///
    /// # Errors
    ///
    /// If the notice is for one host and that host is not known.
    pub fn send(&mut self, now: Moment, to: Recipients, notice: Notice) -> Result<(), UnknownHost> {
        if let (Recipients::All, Notice::DeclarationInForce { version }) = (&to, &notice) {
            self.announce(now, *version);
            return Ok(());
        }
        let item = self.new_item(notice);
        match to {
            Recipients::All => self.multicast(now, &item, None),
            Recipients::Host(id) => {
                let target = self.locate(&id).ok_or(UnknownHost(id))?;
                self.outbox.push(now, target, item, Audience::One);
            }
        }
        self.flush_notices(now);
        Ok(())
    }

    /// Sends a notice to one host once, without an acknowledgement.
    ///
    /// # Errors
    ///
    /// If that host is not known.
    pub fn send_once(&mut self, id: &host::Id, notice: Notice) -> Result<(), UnknownHost> {
        let target = self.locate(id).ok_or_else(|| UnknownHost(id.clone()))?;
        self.put(target.address, Body::OneShot(notice));
        Ok(())
    }

    /// Announces the end of this host to all hosts that are not silent. Nothing else is sent from
    /// then on: packets that arrived after the goodbye could make a receiver register this host
    /// again.
    pub fn announce_exit(&mut self) {
        self.has_left = true;
        let peers = self.hosts.iter().filter(|peer| !peer.is_silent());
        let addresses: Vec<_> = peers.map(|peer| peer.member.address).collect();
        addresses.into_iter().for_each(|address| self.put(address, Body::Bye));
    }

    /// Takes the datagrams that are to be sent.
    pub fn outgoing(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the time at which [`Fleet::tick`] is due.
    pub fn next(&self) -> Moment {
        let notices = self.outbox.next().into_iter().chain(self.announcements.next());
        notices.chain([self.next_tick]).min().unwrap_or(self.next_tick)
    }

    /// Returns the traffic counts since this host's start.
    pub fn counts(&self) -> Counts {
        Counts { lost_notices: self.outbox.lost, ..self.counts }
    }

    /// Returns what this host has sent since its start, by content.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns a notice that this host originates, with the next number.
    fn new_item(&mut self, notice: Notice) -> Item {
        self.number += 1;
        Item { origin: self.member.run(), number: self.number, notice }
    }

    /// The state that this host advertises.
    fn state(&self, now: Moment) -> State {
        let advertised =
            self.local_tables[Scope::Own as usize].facts(now).find_map(|(fact, _)| match fact {
                Fact::State(state) => Some(*state),
                _ => None,
            });
        advertised.unwrap_or_default()
    }

    fn update_store(&mut self, now: Moment, store: StoreStatus) {
        let advertised =
            self.local_tables[Scope::Own as usize].facts(now).find_map(|(fact, _)| match fact {
                Fact::Store(store) => Some(store.reachability),
                _ => None,
            });
        self.store = Some(store);
        if advertised != Some(store.reachability) {
            self.next_store = now;
            self.publish_store(now);
        }
    }

    /// Advertises the newest status of the store, at most once a heartbeat. Revisions rise all the
    /// time; if each of them were advertised, idle hosts would send digests without a pause.
    fn publish_store(&mut self, now: Moment) {
        if now < self.next_store {
            return;
        }
        let Some(store) = self.store.take() else { return };
        self.local_tables[Scope::Own as usize].set(now, Fact::Store(store));
        self.next_store = now + self.settings.heartbeat;
    }

    /// Encodes a packet and adds it to those to be sent.
    fn put(&mut self, to: SocketAddr, body: Body) {
        if self.has_left && body != Body::Bye {
            return;
        }
        self.count += 1;
        let packet = Packet { run: self.member.run(), count: self.count, body };
        let bytes = wire::encode(&packet);
        self.traffic.record(packet.run, &packet.body, bytes.len());
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.digest_bucket.spend(bytes.len());
        self.outgoing.push(Datagram { to, bytes });
    }
}

fn set_in_flight(local: &mut LocalTable, now: Moment, loads: Vec<Load>) {
    let known = local.keys(|key| matches!(key, Key::InFlight(..)));
    let busy: Vec<_> = loads.into_iter().map(Fact::InFlight).collect();
    let listed: std::collections::BTreeSet<_> = busy.iter().map(Fact::key).collect();
    for key in known.into_iter().filter(|key| !listed.contains(key)) {
        // The load is set to zero and not removed: work often returns to the same server, and a
        // removed fact would have to be sent in full again.
        let Key::InFlight(server, model) = key else { continue };
        local.set(now, Fact::InFlight(Load { server, model, requests: 0, tokens: 0 }));
    }
    busy.into_iter().for_each(|fact| local.set(now, fact));
}

fn replace(
    local: &mut LocalTable,
    now: Moment,
    which: impl Fn(&Key) -> bool,
    facts: impl Iterator<Item = Fact>,
) {
    let mut outdated: std::collections::BTreeSet<_> = local.keys(which).into_iter().collect();
    for fact in facts {
        outdated.remove(&fact.key());
        local.set(now, fact);
    }
    outdated.iter().for_each(|key| local.remove(now, key));
}
