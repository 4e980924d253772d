//! The protocol of one host: what it sends, to whom, and what it makes of what it hears.
//!
//! The caller owns sockets and timers: it calls [`Gossip::tick`] once each [`Gossip::pace`], passes
//! in every heartbeat, answer and silence, and carries out the [`Action`]s that come back.

mod exchange;
mod pick;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{
    backend,
    host::{self, Host, Listed},
    time::Moment,
};

use super::{
    Epoch, Health, Settings, Standing,
    heartbeat::{Heartbeat, InFlight, Status, Topic, Update},
    hosts::{Change, Hosts},
    queue::Queue,
    servers::Servers,
    watch,
};

/// Pushes of urgent news that may be made in a row.
const PUSH_BURST: u32 = 10;

/// Time in which one more push is allowed.
const PUSH_REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// How long after its start a host tells everyone where it is.
const INTRODUCTION_TIME: Duration = Duration::from_secs(60);

/// How long a peer's in-flight digest counts.
const DIGEST_VALIDITY: Duration = Duration::from_secs(3);

/// Paces without a tick after which the process takes itself to have been paused.
const PAUSE_TICKS: u32 = 4;

/// Beats in a row without any answer after which a host takes the fault to be its own.
const ISOLATION_BEATS: u32 = 6;

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat; report the answer or the silence.
    Send {
        /// To whom.
        to: Host,
        /// What.
        heartbeat: Heartbeat,
    },
    /// Ask a host to try another; report what it found.
    Probe {
        /// Whom to ask.
        via: Host,
        /// Whom it is to try.
        target: Host,
    },
    /// Fetch what a host holds; report it as held, or that the fetch failed.
    Fetch {
        /// From whom.
        from: Host,
        /// What.
        topic: Topic,
        /// The least number of use.
        number: u64,
    },
    /// Stop: a later run of this host's process is about.
    Superseded,
}

/// What a host that was asked to try another found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It answered.
    Reached,
    /// It did not answer, or the host that was asked did not.
    Silent,
}

/// The protocol of one host.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    seed: u64,
    me: Host,
    epoch: Epoch,
    leaving: bool,
    started: Moment,
    hosts: Hosts,
    servers: Servers,
    versions: BTreeMap<Topic, u64>,
    platform_proof: Option<Moment>,
    queue: Queue,
    unanswered: BTreeMap<host::Id, u32>,
    probing: BTreeMap<host::Id, usize>,
    failed_in_a_row: u32,
    introduce_to: BTreeSet<host::Id>,
    fetching: BTreeMap<Topic, Fetch>,
    own_in_flight: Vec<InFlight>,
    digest_cursor: usize,
    peers_in_flight: BTreeMap<host::Id, Digest>,
    view: pick::View,
    rank: watch::Rank,
    rank_generation: Option<u64>,
    counter: u64,
    push_tokens: u32,
    refilled: Moment,
    ticked: Moment,
    superseded: bool,
}

#[derive(Clone, Copy, Debug)]
struct Fetch {
    number: u64,
    until: Moment,
}

#[derive(Clone, Debug, Default)]
struct Digest {
    servers: BTreeMap<backend::Id, (Moment, u32)>,
}

impl Gossip {
    /// A host that has just started; `seed` differs from host to host.
    pub fn new(
        now: Moment,
        settings: Settings,
        seed: u64,
        me: Host,
        run: host::Incarnation,
    ) -> Gossip {
        Gossip {
            settings,
            seed,
            me,
            epoch: Epoch { run, refuted: 0 },
            leaving: false,
            started: now,
            hosts: Hosts::new(),
            servers: Servers::new(),
            versions: BTreeMap::new(),
            platform_proof: None,
            queue: Queue::default(),
            unanswered: BTreeMap::new(),
            probing: BTreeMap::new(),
            failed_in_a_row: 0,
            introduce_to: BTreeSet::new(),
            fetching: BTreeMap::new(),
            own_in_flight: Vec::new(),
            digest_cursor: 0,
            peers_in_flight: BTreeMap::new(),
            view: pick::View::default(),
            rank: watch::Rank::default(),
            rank_generation: None,
            counter: 0,
            push_tokens: PUSH_BURST,
            refilled: now,
            ticked: now,
            superseded: false,
        }
    }

    /// The other hosts.
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    /// The backend servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Number of what is held in full; it never falls.
    pub fn version(&self, topic: Topic) -> u64 {
        self.versions.get(&topic).copied().unwrap_or_default()
    }

    /// How new this host's word on itself is.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Pieces of news that wait for a place in a heartbeat.
    pub fn pending_updates(&self) -> usize {
        self.queue.len()
    }

    /// Time until the next tick.
    pub fn pace(&self) -> Duration {
        self.settings.pace(self.hosts.present().count() + 1)
    }

    /// Takes in the platform's list.
    pub fn apply_list(&mut self, now: Moment, list: &host::List) -> Vec<Action> {
        let joined = self.hosts.apply_list(now, &list.hosts, &self.me.id);
        let observations = self.servers.apply_list(now, &list.servers, &self.me.id);
        let urgent = !observations.is_empty();
        joined.into_iter().map(Update::Host).for_each(|update| self.queue.push(update));
        observations.into_iter().map(Update::Server).for_each(|update| self.queue.push(update));
        if urgent { self.push(now) } else { Vec::new() }
    }

    /// Adds hosts and backend servers that a peer named.
    pub fn introduce_all(&mut self, now: Moment, list: &host::List) {
        let others = list.hosts.iter().filter(|entry| entry.host.id != self.me.id);
        for entry in others {
            self.hosts.introduce(now, &entry.host);
        }
        for entry in &list.servers {
            self.servers.introduce(now, &entry.server);
        }
    }

    /// The picture in the form of the platform's list: hosts and backend servers that are not gone,
    /// this host among them.
    pub fn to_list(&self, now: Moment) -> host::List {
        let state = |standing| match standing {
            Standing::Live | Standing::Suspected => Some(Listed::Live),
            Standing::Leaving => Some(Listed::Leaving),
            Standing::Gone => None,
        };
        let own = if self.leaving { Listed::Leaving } else { Listed::Live };
        let me = host::Entry { host: self.me.clone(), state: own };
        let others = self.hosts.iter().filter_map(|member| {
            let state = state(member.standing())?;
            Some(host::Entry { host: member.host.clone(), state })
        });
        let servers = self.servers.iter().filter_map(|member| {
            let state = state(member.standing(now))?;
            Some(backend::Entry { server: member.server.clone(), state })
        });
        host::List { hosts: others.chain([me]).collect(), servers: servers.collect() }
    }

    /// Notes that this host now holds this in full; lower numbers are ignored.
    pub fn set_version(&mut self, now: Moment, topic: Topic, number: u64) -> Vec<Action> {
        if number <= self.version(topic) {
            return Vec::new();
        }
        self.versions.insert(topic, number);
        if self.fetching.get(&topic).is_some_and(|fetch| fetch.number <= number) {
            self.fetching.remove(&topic);
        }
        self.push(now)
    }

    /// Notes that a fetch failed; asks another host if one holds more.
    pub fn fetch_failed(&mut self, now: Moment, topic: Topic) -> Vec<Action> {
        self.fetching.remove(&topic);
        let ahead: Vec<(&Host, u64)> = self
            .hosts
            .present()
            .map(|member| (&member.host, member.version(topic)))
            .filter(|(_, number)| self.version(topic) < *number)
            .collect();
        if ahead.is_empty() {
            return Vec::new();
        }
        self.counter += 1;
        let (from, number) = ahead[pick::index(self.seed, self.counter, ahead.len())];
        let from = from.clone();
        self.fetch(now, topic, from, number).into_iter().collect()
    }

    /// Notes that the platform's object API answered this host.
    pub fn platform_answered(&mut self, now: Moment) {
        self.platform_proof = Some(now);
    }

    /// Age of the newest proof, seen by any host, that the platform answers.
    pub fn platform_age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.platform_proof.unwrap_or(self.started))
    }

    /// Part of this host in watching the platform, as of the last tick.
    pub fn watch(&self) -> watch::Role {
        if self.leaving || self.superseded {
            return watch::Role::Standby { after: Duration::MAX };
        }
        self.rank.role(&self.me.id)
    }

    /// Whether this host is to watch the platform now.
    pub fn is_watching(&self, now: Moment) -> bool {
        self.watch().is_active(self.platform_age(now))
    }

    /// Notes that this host is leaving, and tells the others.
    pub fn leave(&mut self, now: Moment) -> Vec<Action> {
        self.leaving = true;
        let status = self.status();
        self.queue.push(Update::Host(status));
        self.push(now)
    }

    /// Sets this host's own requests in flight.
    pub fn set_in_flight(&mut self, own: Vec<InFlight>) {
        self.own_in_flight = own;
    }

    /// Requests that the other hosts have in flight on a server, as far as they told.
    pub fn in_flight_elsewhere(&self, now: Moment, server: &str) -> u32 {
        self.peers_in_flight
            .values()
            .filter_map(|digest| digest.servers.get(server))
            .filter(|(at, _)| now < *at + DIGEST_VALIDITY)
            .map(|(_, count)| count)
            .sum()
    }

    /// Takes in a load report of a backend server's own.
    pub fn server_reported(
        &mut self,
        now: Moment,
        id: &str,
        run: backend::Incarnation,
        leaving: bool,
    ) -> Vec<Action> {
        let observation = self.servers.record_report(now, id, run, leaving, &self.me.id);
        self.gossip(now, observation.map(Update::Server))
    }

    /// Notes that a backend server answered.
    pub fn server_answered(&mut self, now: Moment, id: &str) {
        self.servers.record_answer(now, id);
    }

    /// Notes that a backend server could not be reached, or cut a connection.
    pub fn server_failed(&mut self, now: Moment, id: &str) -> Vec<Action> {
        let observation = self.servers.record_failure(now, id, &self.me.id);
        self.gossip(now, observation.map(Update::Server))
    }

    fn gossip(&mut self, now: Moment, update: Option<Update>) -> Vec<Action> {
        let Some(update) = update else { return Vec::new() };
        self.queue.push(update);
        self.push(now)
    }

    fn status(&self) -> Status {
        Status {
            id: self.me.id.clone(),
            epoch: self.epoch,
            health: Health::Live,
            leaving: self.leaving,
            host: None,
        }
    }

    fn fetch(&mut self, now: Moment, topic: Topic, from: Host, number: u64) -> Option<Action> {
        let pending = self.fetching.get(&topic);
        let busy = pending.is_some_and(|fetch| number <= fetch.number && now < fetch.until);
        if busy || number <= self.version(topic) {
            return None;
        }
        self.fetching.insert(topic, Fetch { number, until: now + self.settings.fetch });
        Some(Action::Fetch { from, topic, number })
    }
}

impl Digest {
    fn take(&mut self, now: Moment, entries: &[InFlight], full: usize) {
        if entries.len() < full {
            self.servers.clear();
        }
        self.servers.retain(|_, (at, _)| now < *at + DIGEST_VALIDITY);
        let counts = entries.iter().map(|InFlight(server, count)| (server.clone(), (now, *count)));
        self.servers.extend(counts);
    }
}

impl Change {
    fn is_urgent(self) -> bool {
        self == Change::Urgent
    }
}
