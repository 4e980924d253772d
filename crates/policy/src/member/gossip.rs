//! The gossip protocol of one host.
//!
//! The caller owns sockets and timers. It calls [`Gossip::tick`] once per [`Gossip::pace`], passes
//! in every heartbeat, answer and missing answer, and carries out the returned [`Action`]s.

mod exchange;
mod pick;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{
    backend,
    host::{self, Host, ListState},
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

/// Pushes of urgent updates that may be made in a row.
const PUSH_BURST: u32 = 10;

/// Time in which one more push is allowed.
const PUSH_REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after its start in which a host sends its name and addresses in every heartbeat.
const INTRODUCTION_TIME: Duration = Duration::from_secs(60);

/// Time for which a peer's in-flight digest counts.
const DIGEST_VALIDITY: Duration = Duration::from_secs(3);

/// Multiple of [`Gossip::pace`] without a tick after which the process is taken to have been
/// paused.
const PAUSE_TICKS: u32 = 4;

/// Number of consecutive peers without an answer after which a host takes itself to be cut off, and
/// gossips no suspicions.
const ISOLATION_BEATS: u32 = 6;

/// Action that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a heartbeat; its result goes to [`Gossip::answer`] or [`Gossip::heartbeat_failed`].
    Send {
        /// Receiver.
        to: Host,
        /// Message to send.
        heartbeat: Heartbeat,
    },
    /// Asks a host to probe another; its result goes to [`Gossip::probed`].
    Probe {
        /// Host that sends the probe.
        via: Host,
        /// Host that is probed.
        target: Host,
    },
    /// Fetches data from a host; its result goes to [`Gossip::set_version`] or
    /// [`Gossip::fetch_failed`].
    Fetch {
        /// Host to fetch from.
        from: Host,
        /// Data to fetch.
        topic: Topic,
        /// Lowest version worth fetching.
        number: u64,
    },
    /// Stops this process: a later incarnation of this host is running.
    Superseded,
}

/// Result of an indirect probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The target answered.
    Reached,
    /// The target did not answer, or the probing host did not.
    Silent,
}

/// State of the gossip protocol on one host.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    seed: u64,
    me: Host,
    epoch: Epoch,
    leaving: bool,
    started_at: Moment,
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
    last_refill: Moment,
    last_tick: Moment,
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
    /// State of a host that has just started; `seed` differs from host to host.
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
            started_at: now,
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
            last_refill: now,
            last_tick: now,
            superseded: false,
        }
    }

    /// Table of the other hosts.
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    /// Table of the backend servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Highest version that this host has complete; never falls.
    pub fn version(&self, topic: Topic) -> u64 {
        self.versions.get(&topic).copied().unwrap_or_default()
    }

    /// Version of this host's own status.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Number of updates waiting for a place in a heartbeat.
    pub fn pending_updates(&self) -> usize {
        self.queue.len()
    }

    /// Time between ticks.
    pub fn pace(&self) -> Duration {
        self.settings.pace(self.hosts.present().count() + 1)
    }

    /// Takes in the platform's list and pushes new leaving marks of servers.
    pub fn apply_list(&mut self, now: Moment, list: &host::List) -> Vec<Action> {
        let joined = self.hosts.apply_list(now, &list.hosts, &self.me.id);
        let observations = self.servers.apply_list(now, &list.servers, &self.me.id);
        let urgent = !observations.is_empty();
        joined.into_iter().map(Update::Host).for_each(|update| self.queue.push(update));
        observations.into_iter().map(Update::Server).for_each(|update| self.queue.push(update));
        if urgent { self.push(now) } else { Vec::new() }
    }

    /// Adds the hosts and backend servers that a peer listed.
    pub fn introduce_all(&mut self, now: Moment, list: &host::List) {
        let others = list.hosts.iter().filter(|entry| entry.host.id != self.me.id);
        for entry in others {
            self.hosts.introduce(now, &entry.host);
        }
        for entry in &list.servers {
            self.servers.introduce(now, &entry.server);
        }
    }

    /// Hosts and backend servers that are not gone, this host included, in the form of the
    /// platform's list.
    pub fn to_list(&self, now: Moment) -> host::List {
        let state = |standing| match standing {
            Standing::Live | Standing::Suspected => Some(ListState::Live),
            Standing::Leaving => Some(ListState::Leaving),
            Standing::Gone => None,
        };
        let own = if self.leaving { ListState::Leaving } else { ListState::Live };
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

    /// Records that this host has a version complete, and pushes it; lower versions are ignored.
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

    /// Records that a fetch failed; fetches from another host if one has a higher version.
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

    /// Records that the platform's object API answered this host.
    pub fn platform_answered(&mut self, now: Moment) {
        self.platform_proof = Some(now);
    }

    /// Age of the newest proof, obtained by any host, that the platform answers.
    pub fn platform_age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.platform_proof.unwrap_or(self.started_at))
    }

    /// Role of this host in watching the platform, by the hosts known at the last tick.
    pub fn watch(&self) -> watch::Role {
        if self.leaving || self.superseded {
            return watch::Role::Standby { after: Duration::MAX };
        }
        self.rank.role(&self.me.id)
    }

    /// Returns whether this host is to watch the platform now.
    pub fn is_watching(&self, now: Moment) -> bool {
        self.watch().is_active(self.platform_age(now))
    }

    /// Marks this host as leaving and pushes that.
    pub fn leave(&mut self, now: Moment) -> Vec<Action> {
        self.leaving = true;
        let status = self.status();
        self.queue.push(Update::Host(status));
        self.push(now)
    }

    /// Sets the requests that this host has in flight.
    pub fn set_in_flight(&mut self, own: Vec<InFlight>) {
        self.own_in_flight = own;
    }

    /// Requests that other hosts have in flight on a server, as far as their digests say.
    pub fn in_flight_elsewhere(&self, now: Moment, server: &str) -> u32 {
        self.peers_in_flight
            .values()
            .filter_map(|digest| digest.servers.get(server))
            .filter(|(at, _)| now < *at + DIGEST_VALIDITY)
            .map(|(_, count)| count)
            .sum()
    }

    /// Records a backend server's load report.
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

    /// Records that a backend server answered.
    pub fn server_answered(&mut self, now: Moment, id: &str) {
        self.servers.record_answer(now, id);
    }

    /// Records that a backend server could not be reached or broke a connection.
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
        self.fetching.insert(topic, Fetch { number, until: now + self.settings.fetch_timeout });
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
