//! What the hosts of a routed deployment tell each other.
//!
//! Each host keeps a table of facts about itself: its state, the declaration in force, its beliefs
//! of the lease and the store, its work in flight, and counts that only rise. Every other host
//! reads it by editions: a digest carries what changed since the edition that its reader has, so
//! nothing is lost with a datagram, nothing old overwrites what is newer, and a host that is at
//! rest says little. News that can't wait goes out at once as a [`Notice`] and is sent again until
//! it is acknowledged.
//!
//! Up to [`Settings::full_mesh_limit`] hosts tell all others. Above it they stand in groups within their
//! zone; one relay of each group trades sums with the other relays (see `fanout`).
//!
//! All of it is plain state: datagrams and the time go in, datagrams come out. Silence of a host is
//! a hint for shares and routes and never a ground for anything that must be safe.

mod aggregate;
mod candidates;
mod fact;
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
mod wire;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use types::{host, time::Moment};

use self::{
    aggregate::Counters,
    candidates::Candidates,
    fact::{Fact, Key},
    fanout::{Fanout, Ranks},
    hosts::Hosts,
    local_table::LocalTable,
    notice::{Outbox, Window},
    wire::{Body, Item, Number, Packet, Run, Scope},
};
pub use self::{
    fact::{
        Departure, Lease, Load, Member, Publication, Reachability, Revision, State, StoreStatus,
    },
    notice::{Notice, Recipients},
    snapshot::{FleetSnapshot, PeerStatus, Tier},
    wire::DATAGRAM_BYTES,
};

/// Times and sizes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Between digests to a host of the same zone that has something to hear.
    pub interval: Duration,
    /// The same, to a host of another zone.
    pub cross_zone_interval: Duration,
    /// Between digests to a host that has nothing to hear.
    pub heartbeat: Duration,
    /// After which a host that was told, and not heard, is silent.
    pub silence_timeout: Duration,
    /// Between signs of life to a host of a larger deployment that is not told; longer if there
    /// are many.
    pub keepalive_interval: Duration,
    /// After which a silent host is forgotten.
    pub forget_after: Duration,
    /// Most hosts that all tell each other.
    pub full_mesh_limit: usize,
    /// Hosts for which `grouped_tick`, `grouped_interval` and `bytes_per_second` are meant; fewer tell sooner and more.
    pub reference_hosts: usize,
    /// Between looks, in a deployment of the target's size, at who is due.
    pub grouped_tick: Duration,
    /// Between digests there.
    pub grouped_interval: Duration,
    /// Between digests, in a deployment that is larger than small, to a host that has nothing to hear.
    pub grouped_heartbeat: Duration,
    /// After which a host there that was told, and not heard, is silent.
    pub grouped_silence_timeout: Duration,
    /// Bytes a second that a host of a deployment of the target's size sends in digests.
    pub bytes_per_second: u32,
    /// The same, of any larger than small.
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

/// What a host is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// It is heard.
    Live,
    /// It is heard, and says that it takes nothing new.
    Leaving,
    /// It is not heard.
    Silent,
}

/// Bytes for another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

/// A notice that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedNotice {
    /// The host that it comes from, if it is known here.
    pub origin: Option<host::Id>,
    /// Where the host that passed it on listens.
    pub via: SocketAddr,
    /// The notice.
    pub notice: Notice,
}

/// The host that a notice is for is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host {0} is not known here")]
pub struct UnknownHost(pub host::Id);

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes, without those of the network's own headers.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams received that could not be read.
    pub unreadable: u64,
    /// Notices that nobody acknowledged.
    pub lost_notices: u64,
}

/// This host among the others.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    member: Member,
    ranks: Ranks,
    count: u32,
    local_tables: [LocalTable; Scope::ALL.len()],
    /// The newest word on the store; told at most once a heartbeat.
    store: Option<StoreStatus>,
    hosts: Hosts,
    candidates: Candidates,
    fanout: Fanout,
    counters: Counters,
    outbox: Outbox,
    number: Number,
    windows: BTreeMap<Run, Window>,
    outgoing: Vec<Datagram>,
    has_left: bool,
    counts: Counts,
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
    /// Starts with the addresses of some hosts, which may be down or its own.
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
            number: 0,
            windows: BTreeMap::new(),
            outgoing: Vec::new(),
            has_left: false,
            counts: Counts::default(),
            next_tick: now,
            next_store: now,
            next_aggregation: now,
            next_introduction: now + send::INTRODUCTION_INTERVAL,
            introductions: 0,
        }
    }

    /// This host.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Names further addresses at which hosts may be.
    pub fn introduce(&mut self, now: Moment, addresses: impl IntoIterator<Item = SocketAddr>) {
        addresses.into_iter().for_each(|address| self.candidates.add(now, address));
    }

    /// Replaces a part of what this host targets.
    pub fn publish(&mut self, now: Moment, publication: Publication) {
        let local = &mut self.local_tables[Scope::Own as usize];
        match publication {
            Publication::State(state) => local.set(now, Fact::State(state)),
            Publication::Declared(version) => local.set(now, Fact::Declared(version)),
            Publication::Term(stored) => local.set(now, Fact::Term(stored)),
            Publication::Lease(Some(lease)) => local.set(now, Fact::Lease(lease)),
            Publication::Lease(None) => local.remove(now, &Key::Lease),
            Publication::Store(store) => self.note_store(now, store),
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
                let facts = limits.into_iter().map(|(server, news)| Fact::Limit(server, news));
                replace(local, now, |key| matches!(key, Key::Limit(_)), facts);
            }
            Publication::Crashes(crashes) => {
                let facts = crashes.into_iter().map(Fact::Crash);
                replace(local, now, |key| matches!(key, Key::Crash(..)), facts);
            }
        }
    }

    /// Sends a notice until it is acknowledged, or a few times.
    ///
    /// # Errors
    ///
    /// If it is for one host and that host is not known.
    pub fn send(&mut self, now: Moment, to: Recipients, notice: Notice) -> Result<(), UnknownHost> {
        self.number += 1;
        let item = Item { origin: self.member.run(), number: self.number, notice };
        match to {
            Recipients::All => self.multicast(now, &item, None),
            Recipients::Host(id) => {
                let target = self.locate(&id).ok_or(UnknownHost(id))?;
                self.outbox.push(now, target, item);
            }
        }
        self.flush_notices(now);
        Ok(())
    }

    /// Sends a notice to one host, once.
    ///
    /// # Errors
    ///
    /// If that host is not known.
    pub fn send_once(&mut self, id: &host::Id, notice: Notice) -> Result<(), UnknownHost> {
        let target = self.locate(id).ok_or_else(|| UnknownHost(id.clone()))?;
        self.put(target.address, Body::OneShot(notice));
        Ok(())
    }

    /// Tells all hosts in touch that this one ends. From then on it tells nothing else: a digest that
    /// came after the goodbye would make it known again.
    pub fn bye(&mut self) {
        self.has_left = true;
        let peers = self.hosts.iter().filter(|peer| !peer.is_silent());
        let addresses: Vec<_> = peers.map(|peer| peer.member.address).collect();
        addresses.into_iter().for_each(|address| self.put(address, Body::Bye));
    }

    /// Takes the datagrams that are to be sent.
    pub fn outgoing(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// When [`Fleet::tick`] is due.
    pub fn next(&self) -> Moment {
        self.outbox.next().map_or(self.next_tick, |next| next.min(self.next_tick))
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        Counts { lost_notices: self.outbox.lost, ..self.counts }
    }

    /// What this host says of its own work.
    fn state(&self, now: Moment) -> State {
        let advertised =
            self.local_tables[Scope::Own as usize].facts(now).find_map(|(fact, _)| match fact {
                Fact::State(state) => Some(*state),
                _ => None,
            });
        advertised.unwrap_or_default()
    }

    fn note_store(&mut self, now: Moment, store: StoreStatus) {
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

    /// Revisions rise all the time; told each time they would keep every host from resting.
    fn publish_store(&mut self, now: Moment) {
        if now < self.next_store {
            return;
        }
        let Some(store) = self.store.take() else { return };
        self.local_tables[Scope::Own as usize].set(now, Fact::Store(store));
        self.next_store = now + self.settings.heartbeat;
    }

    /// Puts a packet among those to be sent.
    fn put(&mut self, to: SocketAddr, body: Body) {
        if self.has_left && body != Body::Bye {
            return;
        }
        self.count += 1;
        let packet = Packet { run: self.member.run(), count: self.count, body };
        let bytes = wire::encode(&packet);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.digest_bucket.spend(bytes.len());
        self.outgoing.push(Datagram { to, bytes });
    }
}

fn set_in_flight(local: &mut LocalTable, now: Moment, loads: Vec<Load>) {
    let known = local.keys(|key| matches!(key, Key::InFlight(..)));
    let busy: Vec<_> = loads.into_iter().map(Fact::InFlight).collect();
    let named: std::collections::BTreeSet<_> = busy.iter().map(Fact::key).collect();
    for key in known.into_iter().filter(|key| !named.contains(key)) {
        // It keeps its name for a while: work often comes back to where it was.
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
    let mut former: std::collections::BTreeSet<_> = local.keys(which).into_iter().collect();
    for fact in facts {
        former.remove(&fact.key());
        local.set(now, fact);
    }
    former.iter().for_each(|key| local.remove(now, key));
}
