//! Aggregation of the facts of several hosts.

use std::collections::{BTreeMap, btree_map::Entry};
use std::time::Duration;

use types::{backend, customer, host, model, service, time::Moment};

use crate::{
    dispatch::poison::{Crash, Subject},
    quota::Limit,
    term,
};

use super::{
    Fleet,
    fact::{Departure, Fact, Key, Lease, Load, ResponseTimes, StoreStatus},
    fanout::{Fanout, Provenance},
    hosts::Contact,
    local_table::LocalTable,
    remote_table, replace,
    wire::{Run, Scope},
};

/// Totals of the counters that only rise, added up from the increments that this host received.
#[derive(Debug, Default)]
pub(super) struct Counters {
    sources: BTreeMap<(host::Id, Scope), Provenance>,
    direct: BTreeMap<Key, u64>,
    aggregated: BTreeMap<Key, u64>,
}

impl Counters {
    /// Adds increments to the totals, if the table that they come from is counted here.
    pub(super) fn take(
        &mut self,
        id: &host::Id,
        scope: Scope,
        increments: remote_table::Increments,
    ) {
        let totals = match self.sources.get(&(id.clone(), scope)) {
            Some(Provenance::Direct) => &mut self.direct,
            Some(Provenance::Aggregated) => &mut self.aggregated,
            None => return,
        };
        for (key, increment) in increments.counters {
            let total = totals.entry(key).or_default();
            *total = total.saturating_add(increment);
        }
    }

    /// Returns all totals; a key that is counted both directly and from aggregates appears twice.
    pub(super) fn totals(&self) -> impl Iterator<Item = (&Key, u64)> {
        self.direct.iter().chain(&self.aggregated).map(|(key, total)| (key, *total))
    }
}

/// Requests and prompt tokens in flight, by server and model.
pub(super) type LoadSums = BTreeMap<(backend::Id, Option<model::Id>), (u32, u64)>;

/// Facts of several hosts, merged into one of each key.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) in_flight: LoadSums,
    pub(super) servers: BTreeMap<backend::Id, Departure>,
    pub(super) crashes: BTreeMap<(Subject, backend::Id, host::Id), Crash>,
    pub(super) lease: Option<Lease>,
    pub(super) term: Option<term::StoredLease>,
    pub(super) store: Option<StoreStatus>,
    pub(super) absent: BTreeMap<host::Id, Run>,
    pub(super) limits: BTreeMap<backend::Id, Limit>,
    pub(super) speeds: BTreeMap<backend::Id, ResponseTimes>,
    pub(super) customers: BTreeMap<customer::Id, (u64, u64)>,
    pub(super) deferrable: BTreeMap<service::Id, (u32, u32)>,
}

impl Tally {
    pub(super) fn add(&mut self, fact: &Fact, age: Duration) {
        match fact {
            Fact::InFlight(load) => {
                let key = (load.server.clone(), load.model.clone());
                let (requests, tokens) = self.in_flight.entry(key).or_default();
                *requests = requests.saturating_add(load.requests);
                *tokens = tokens.saturating_add(load.tokens);
            }
            Fact::Server(server, departure) => {
                merge_max(self.servers.entry(server.clone()), *departure)
            }
            Fact::Crash(crash) => {
                let aged = Crash { age: crash.age + age, ..crash.clone() };
                let key = (crash.subject, crash.server.clone(), crash.witness.clone());
                let joined = match self.crashes.remove(&key) {
                    Some(known) => known.joined(&aged),
                    None => aged,
                };
                self.crashes.insert(key, joined);
            }
            Fact::Term(stored) => {
                let known = self.term.as_ref().map_or(0, |(revision, _)| *revision);
                if known < stored.0 {
                    self.term = Some(stored.clone());
                }
            }
            Fact::Lease(lease) => self.merge_lease(Lease { age: lease.age + age, ..lease.clone() }),
            Fact::Store(store) => {
                let best = self.store.unwrap_or_default();
                let reachability = best.reachability.max(store.reachability);
                let revision = best.revision.max(store.revision);
                self.store = Some(StoreStatus { reachability, revision });
            }
            Fact::Absent(id, run) => {
                self.absent.insert(id.clone(), *run);
            }
            Fact::Limit(server, limit) => {
                let known = self.limits.entry(server.clone()).or_insert(*limit);
                *known = known.merge(*limit);
            }
            Fact::Speed(server, times) => {
                self.speeds.entry(server.clone()).or_default().add(*times);
            }
            Fact::CustomerWork(customer, in_flight, waiting) => {
                let sum = self.customers.entry(customer.clone()).or_default();
                *sum = (sum.0.saturating_add(*in_flight), sum.1.saturating_add(*waiting));
            }
            Fact::Deferrable(service, in_flight, waiting) => {
                let sum = self.deferrable.entry(service.clone()).or_default();
                *sum = (sum.0.saturating_add(*in_flight), sum.1.saturating_add(*waiting));
            }
            Fact::State(_) | Fact::Declared(_) | Fact::Arrivals(..) | Fact::Retries(..) => {}
        }
    }

    /// Merges a belief about the lease: a higher fencing token prevails, and of the same one the
    /// later renewal.
    fn merge_lease(&mut self, lease: Lease) {
        let is_newer = self.lease.as_ref().is_none_or(|known| {
            (known.fence, std::cmp::Reverse(known.age))
                < (lease.fence, std::cmp::Reverse(lease.age))
        });
        if is_newer {
            self.lease = Some(lease);
        }
    }

    fn into_facts(self) -> impl Iterator<Item = Fact> {
        let loads = loads(self.in_flight).map(Fact::InFlight);
        let servers = self.servers.into_iter().map(|(id, departure)| Fact::Server(id, departure));
        let crashes = self.crashes.into_values().map(Fact::Crash);
        let lease = self.lease.into_iter().map(Fact::Lease);
        let term = self.term.into_iter().map(Fact::Term);
        let store = self.store.into_iter().map(Fact::Store);
        let absent = self.absent.into_iter().map(|(id, run)| Fact::Absent(id, run));
        let limits = self.limits.into_iter().map(|(server, limit)| Fact::Limit(server, limit));
        let speeds = self.speeds.into_iter().map(|(server, times)| Fact::Speed(server, times));
        let customers = self.customers.into_iter();
        let customers =
            customers.map(|(id, (in_flight, waiting))| Fact::CustomerWork(id, in_flight, waiting));
        let deferrable = self.deferrable.into_iter();
        let deferrable =
            deferrable.map(|(id, (in_flight, waiting))| Fact::Deferrable(id, in_flight, waiting));
        let sums = speeds.chain(customers).chain(deferrable);
        let others = lease.chain(term).chain(store).chain(absent).chain(limits);
        loads.chain(servers).chain(crashes).chain(others).chain(sums)
    }
}

/// Converts sums to loads; sums of zero are included.
pub(super) fn loads(sums: LoadSums) -> impl Iterator<Item = Load> {
    let load = |((server, model), (requests, tokens))| Load { server, model, requests, tokens };
    sums.into_iter().map(load)
}

fn merge_max<K: Ord, V: Ord + Copy>(entry: Entry<'_, K, V>, value: V) {
    entry.and_modify(|known| *known = value.max(*known)).or_insert(value);
}

impl Fleet {
    /// Returns the facts in other hosts' tables that enter the snapshot with this provenance.
    pub(super) fn received_facts(
        &self,
        now: Moment,
        provenance: Provenance,
    ) -> impl Iterator<Item = (&Fact, Duration)> {
        let sources =
            self.counters.sources.iter().filter(move |(_, source)| **source == provenance);
        let remote_tables = sources.filter_map(move |((id, scope), _)| {
            let peer = self.hosts.get(id).filter(|peer| !peer.is_silent())?;
            peer.remote_tables.get(scope)
        });
        remote_tables.flat_map(move |remote| remote.facts(now))
    }

    /// Updates which tables are counted and, on a relay, the aggregated tables that it advertises.
    pub(super) fn aggregate(&mut self, now: Moment, fanout: &Fanout) {
        self.counters.sources =
            fanout.sources().map(|(id, scope, source)| ((id.clone(), scope), source)).collect();
        if !fanout.is_grouped() || now < self.next_aggregation {
            return;
        }
        self.next_aggregation = now + fanout.grouped_interval(&self.settings);
        self.hosts.mark_absent(now, fanout.silence_timeout(&self.settings));
        if !fanout.is_relay() {
            return;
        }
        let mut rest = Tally::default();
        self.received_facts(now, Provenance::Aggregated)
            .for_each(|(fact, age)| rest.add(fact, age));
        let own = &self.local_tables[Scope::Own as usize];
        let mut group = Tally::default();
        own.facts(now)
            .chain(self.received_facts(now, Provenance::Direct))
            .for_each(|(f, age)| group.add(f, age));
        let timed_out = self.hosts.iter().filter(|peer| peer.contact == Contact::TimedOut);
        group.absent = timed_out.map(|peer| (peer.member.id.clone(), peer.member.run())).collect();
        let mut totals = self.counters.direct.clone();
        for (key, count) in own.facts(now).filter_map(|(f, _)| Some((f.key(), f.total()?))) {
            *totals.entry(key).or_default() += count;
        }
        let group: Vec<_> = group.into_facts().chain(counter_facts(&totals)).collect();
        let rest: Vec<_> =
            rest.into_facts().chain(counter_facts(&self.counters.aggregated)).collect();
        for (scope, facts) in [(Scope::Group, group), (Scope::Rest, rest)] {
            let table = &mut self.local_tables[scope as usize];
            let facts: Vec<_> = facts.into_iter().map(|fact| steady(table, fact)).collect();
            replace(table, now, |_| true, facts.into_iter());
        }
    }
}

/// Returns the fact of the table instead, if it is of response times that are much the same.
fn steady(table: &LocalTable, fact: Fact) -> Fact {
    match (&fact, table.get(&fact.key())) {
        (Fact::Speed(_, new), Some(Fact::Speed(server, old))) if new.is_like(*old) => {
            Fact::Speed(server.clone(), *old)
        }
        _ => fact,
    }
}

fn counter_facts(totals: &BTreeMap<Key, u64>) -> impl Iterator<Item = Fact> {
    totals.iter().filter_map(|(key, total)| match key {
        Key::Arrivals(service) => Some(Fact::Arrivals(service.clone(), *total)),
        Key::Retries(service) => Some(Fact::Retries(service.clone(), *total)),
        _ => None,
    })
}
