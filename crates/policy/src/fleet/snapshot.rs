//! What this host knows of the others, at one moment.

use std::{collections::BTreeMap, time::Duration};

use types::{availability, backend, routed::Version, service, time::Moment};

use crate::{dispatch::poison::Crash, quota::News, term};

use super::{
    Fleet, Liveness,
    aggregate::{LoadSums, Tally, loads},
    fact::{Departure, Fact, Key, Lease, Load, Member, Revision, State, StoreStatus},
    fanout::Provenance,
    hosts::Peer,
    wire::Scope,
};

/// Another host.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Who it is.
    pub member: Member,
    /// How long ago it was heard.
    pub silent_for: Duration,
    /// What it is taken for.
    pub liveness: Liveness,
    /// What it says of its own work; none if it tells this host nothing, as most hosts of a large
    /// deployment.
    pub state: Option<State>,
    /// Version of the declaration in force there; 0 if it told none.
    pub declared: Version,
    /// What it has of the store.
    pub store: StoreStatus,
}

/// A host's place among those that tell each other.
#[derive(Clone, Debug, PartialEq)]
pub enum Tier {
    /// All tell all, or nobody tells this host of the others.
    Equal,
    /// This host tells its group of all others.
    Relay,
    /// This host follows the given relay.
    Member(Member),
}

/// What this host knows of the others; its own part is in none of the sums.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSnapshot {
    /// Known hosts, those that are silent among them.
    pub hosts: Vec<PeerStatus>,
    /// Hosts that take work or are about to, this one among them unless it is leaving.
    pub live: usize,
    /// Work in flight from all others, by server and model.
    pub in_flight: Vec<Load>,
    /// Arrivals at all others since this host started, by service, as far as it heard; never
    /// falling.
    pub arrivals: BTreeMap<service::Id, u64>,
    /// Retries spent by all others since this host started, as far as it heard; never falling.
    pub retries: BTreeMap<service::Id, u64>,
    /// Servers that others know to be going.
    pub servers: BTreeMap<backend::Id, Departure>,
    /// Crashes of servers that others know, with the requests that were there.
    pub crashes: Vec<Crash>,
    /// The last news of the limits of servers, over all others.
    pub limits: BTreeMap<backend::Id, News>,
    /// The newest belief of others about the lease.
    pub lease: Option<Lease>,
    /// The newest lease object that any other knows.
    pub term: Option<term::Stored>,
    /// Whether any other reaches the store, and the last revision that any saw.
    pub store: StoreStatus,
}

impl FleetSnapshot {
    /// Work in flight from all others at a server.
    pub fn at(&self, server: &str) -> &[Load] {
        let start = self.in_flight.partition_point(|load| &*load.server < server);
        let length = self.in_flight[start..].partition_point(|load| &*load.server == server);
        &self.in_flight[start..start + length]
    }

    /// Hosts in touch whose declaration is above this version, the best to ask first.
    pub fn ahead(&self, zone: &availability::Id, above: Version) -> Vec<&PeerStatus> {
        let mut hosts: Vec<_> =
            self.not_silent().filter(|status| status.declared > above).collect();
        hosts.sort_by_key(|status| {
            (std::cmp::Reverse(status.declared), status.member.zone != *zone)
        });
        hosts
    }

    /// Hosts in touch that saw a later revision of the store, the best to ask first.
    pub fn ahead_in_store(&self, zone: &availability::Id, above: Revision) -> Vec<&PeerStatus> {
        let mut hosts: Vec<_> =
            self.not_silent().filter(|status| status.store.revision > above).collect();
        hosts.sort_by_key(|status| {
            let store = std::cmp::Reverse((status.store.reachability, status.store.revision));
            (store, status.member.zone != *zone)
        });
        hosts
    }

    fn not_silent(&self) -> impl Iterator<Item = &PeerStatus> {
        self.hosts.iter().filter(|status| status.liveness != Liveness::Silent)
    }
}

impl Fleet {
    /// What this host knows of the others.
    pub fn snapshot(&self, now: Moment) -> FleetSnapshot {
        let hosts: Vec<_> = self.hosts.iter().map(|peer| self.status_of(now, peer)).collect();
        let live = hosts.iter().filter(|status| status.liveness == Liveness::Live).count();
        let mut tally = Tally::default();
        self.all_received_facts(now).for_each(|(fact, age)| tally.add(fact, age));
        let mut snapshot = FleetSnapshot {
            hosts,
            live: live + usize::from(self.state(now) != State::Leaving),
            in_flight: busy(tally.in_flight),
            servers: tally.servers,
            crashes: tally.crashes.into_values().collect(),
            limits: tally.limits,
            lease: tally.lease,
            term: tally.term,
            store: tally.store.unwrap_or_default(),
            ..FleetSnapshot::default()
        };
        for (key, total) in self.counters.totals() {
            match key {
                Key::Arrivals(id) => *snapshot.arrivals.entry(id.clone()).or_default() += total,
                Key::Retries(id) => *snapshot.retries.entry(id.clone()).or_default() += total,
                _ => {}
            }
        }
        snapshot
    }

    /// Work in flight from all others alone: what of a snapshot is wanted far more often than the rest.
    pub fn in_flight(&self, now: Moment) -> Vec<Load> {
        let mut tally = Tally::default();
        self.all_received_facts(now)
            .filter(|(fact, _)| matches!(fact, Fact::InFlight(_)))
            .for_each(|(fact, age)| tally.add(fact, age));
        busy(tally.in_flight)
    }

    /// Whether there are so many hosts that digests wait for a budget.
    pub fn is_grouped(&self) -> bool {
        self.fanout.is_grouped()
    }

    /// This host's place among those that tell each other.
    pub fn tier(&self) -> Tier {
        let relay = self.fanout.relay().and_then(|id| self.hosts.get(id));
        match relay {
            _ if !self.fanout.is_grouped() => Tier::Equal,
            _ if self.fanout.is_relay() => Tier::Relay,
            Some(peer) if !peer.is_silent() => Tier::Member(peer.member.clone()),
            Some(_) | None => Tier::Equal,
        }
    }

    /// Time between two digests that a host sends or gets.
    pub fn interval(&self) -> Duration {
        match self.fanout.is_grouped() {
            true => self.fanout.grouped_interval(&self.settings),
            false => self.settings.interval,
        }
    }

    fn all_received_facts(&self, now: Moment) -> impl Iterator<Item = (&Fact, Duration)> {
        self.received_facts(now, Provenance::Direct)
            .chain(self.received_facts(now, Provenance::Aggregated))
    }

    fn status_of(&self, now: Moment, peer: &Peer) -> PeerStatus {
        let mut status = PeerStatus {
            member: peer.member.clone(),
            silent_for: now.saturating_sub(peer.last_received),
            liveness: peer.liveness(now),
            state: None,
            declared: 0,
            store: StoreStatus::default(),
        };
        for fact in peer.facts(now, Scope::Own) {
            match fact {
                Fact::State(state) => status.state = Some(*state),
                Fact::Declared(version) => status.declared = *version,
                Fact::Store(store) => status.store = *store,
                _ => {}
            }
        }
        status
    }
}

/// Loads that are not at rest.
fn busy(sums: LoadSums) -> Vec<Load> {
    loads(sums).filter(|load| load.requests > 0 || load.tokens > 0).collect()
}
