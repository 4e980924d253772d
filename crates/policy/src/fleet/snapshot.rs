//! What this host knows of the others at one moment.

use std::{collections::BTreeMap, time::Duration};

use types::{availability, backend, routed::Version, service, time::Moment};

use crate::{
    dispatch::{CustomerWork, Deferrable, poison::Crash, speed::Sum},
    quota::Limit,
    term,
};

use super::{
    Fleet, Liveness,
    aggregate::{LoadSums, Tally, loads},
    fact::{Departure, Fact, Key, Lease, Load, Member, Reachability, Revision, State, StoreStatus},
    fanout::Provenance,
    hosts::Peer,
    wire::Scope,
};

/// What this host knows of another host.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// The host's identity.
    pub member: Member,
    /// Time since the last packet from the host arrived.
    pub silent_for: Duration,
    /// The host's liveness, as this host sees it.
    pub liveness: Liveness,
    /// The state that the host advertises; none if this host reads no table of it, which is so for
    /// most hosts of a grouped deployment.
    pub state: Option<State>,
    /// Version of the declaration in force at the host; 0 if it advertises none.
    pub declared: Version,
    /// The host's connection to the store.
    pub store: StoreStatus,
}

/// A host's position in the exchange of digests.
#[derive(Clone, Debug, PartialEq)]
pub enum Tier {
    /// The deployment is not grouped.
    Equal,
    /// This host is the relay of its group, or takes the place of one that does not respond.
    Relay,
    /// Another host is the relay of this host's group, or takes its place.
    Member(Member),
}

/// What this host knows of the others. Its own facts are in none of the sums.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Known hosts, silent ones among them.
    pub hosts: Vec<PeerStatus>,
    /// Number of hosts that take work or are about to, this one among them unless it is leaving.
    pub live: usize,
    /// Sum of all others' work in flight, by server and model.
    pub in_flight: Vec<Load>,
    /// Arrivals at all others since this host started, by service, as far as their counts were
    /// received. Never falling.
    pub arrivals: BTreeMap<service::Id, u64>,
    /// Retries spent by all others since this host started, by service, as far as their counts were
    /// received. Never falling.
    pub retries: BTreeMap<service::Id, u64>,
    /// Servers that others know to be departing.
    pub servers: BTreeMap<backend::Id, Departure>,
    /// Crashes of servers that others know, with the requests that were in flight there.
    pub crashes: Vec<Crash>,
    /// The latest limit of each server that any other knows.
    pub limits: BTreeMap<backend::Id, Limit>,
    /// Sums over the response times of others, by server.
    pub speeds: BTreeMap<backend::Id, Sum>,
    /// Sum of all others' work of each customer.
    pub customers: Vec<CustomerWork>,
    /// Sum of all others' deferrable requests of each service.
    pub deferrable: Vec<Deferrable>,
    /// The newest belief of others about the planner's lease.
    pub lease: Option<Lease>,
    /// The newest stored lease object that any other has seen.
    pub term: Option<term::StoredLease>,
    /// Whether any other reaches the store, and the last revision that any saw.
    pub store: StoreStatus,
}

impl Snapshot {
    /// Returns all others' work in flight at a server.
    pub fn at(&self, server: &str) -> &[Load] {
        let start = self.in_flight.partition_point(|load| &*load.server < server);
        let length = self.in_flight[start..].partition_point(|load| &*load.server == server);
        &self.in_flight[start..start + length]
    }

    /// Hosts that are not silent and have a declaration above this version, in the order in which
    /// to ask them: the newest version first, and the own zone before others.
    pub fn ahead(&self, zone: &availability::Id, above: Version) -> Vec<&PeerStatus> {
        let mut hosts: Vec<_> =
            self.not_silent().filter(|status| status.declared > above).collect();
        hosts.sort_by_key(|status| {
            (std::cmp::Reverse(status.declared), status.member.zone != *zone)
        });
        hosts
    }

    /// Hosts that are not silent and saw a later revision of the store, in the order in which to
    /// ask them: those that reach the store first, then by revision, and the own zone before
    /// others.
    pub fn ahead_in_store(&self, zone: &availability::Id, above: Revision) -> Vec<&PeerStatus> {
        let mut hosts: Vec<_> =
            self.not_silent().filter(|status| status.store.revision > above).collect();
        hosts.sort_by_key(|status| {
            let store = std::cmp::Reverse((status.store.reachability, status.store.revision));
            (store, status.member.zone != *zone)
        });
        hosts
    }

    /// The hosts that are not silent and reach the store, as far as they are known one by one.
    pub fn reaching_store(&self) -> impl Iterator<Item = &PeerStatus> {
        self.not_silent().filter(|status| status.store.reachability == Reachability::Reachable)
    }

    fn not_silent(&self) -> impl Iterator<Item = &PeerStatus> {
        self.hosts.iter().filter(|status| status.liveness != Liveness::Silent)
    }
}

impl Fleet {
    /// Returns what this host knows of the others.
    pub fn snapshot(&self, now: Moment) -> Snapshot {
        let hosts: Vec<_> = self.hosts.iter().map(|peer| self.status_of(now, peer)).collect();
        let live = hosts.iter().filter(|status| status.liveness == Liveness::Live).count();
        let mut tally = Tally::default();
        self.all_received_facts(now).for_each(|(fact, age)| tally.add(fact, age));
        self.crashes.facts(now).for_each(|(fact, age)| tally.add(fact, age));
        let mut snapshot = Snapshot {
            hosts,
            live: live + usize::from(self.state(now) != State::Leaving),
            in_flight: busy(tally.in_flight),
            servers: tally.servers,
            crashes: tally.crashes.into_values().collect(),
            limits: tally.limits,
            speeds: tally.speeds.into_iter().map(|(id, times)| (id, times.sum())).collect(),
            customers: tally.customers.into_iter().map(|(id, sum)| (id, sum.0, sum.1)).collect(),
            deferrable: tally.deferrable.into_iter().map(|(id, sum)| (id, sum.0, sum.1)).collect(),
            lease: tally.lease,
            term: tally.term,
            store: tally.store.unwrap_or_default(),
            ..Snapshot::default()
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

    /// Returns all others' work in flight alone, which is read far more often than the rest of a
    /// snapshot.
    pub fn in_flight(&self, now: Moment) -> Vec<Load> {
        let mut tally = Tally::default();
        self.all_received_facts(now)
            .filter(|(fact, _)| matches!(fact, Fact::InFlight(_)))
            .for_each(|(fact, age)| tally.add(fact, age));
        busy(tally.in_flight)
    }

    /// Whether there are so many hosts that they form groups, and digests are limited by a budget
    /// of bytes.
    pub fn is_grouped(&self) -> bool {
        self.fanout.is_grouped()
    }

    /// Least time between two digests that a host sends or receives.
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

/// Converts sums to loads, without those that are zero.
fn busy(sums: LoadSums) -> Vec<Load> {
    loads(sums).filter(|load| load.requests > 0 || load.tokens > 0).collect()
}
