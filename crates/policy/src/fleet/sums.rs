//! Sums over what several hosts tell.

use std::collections::{BTreeMap, btree_map::Entry};
use std::time::Duration;

use types::{backend, host, model, time::Moment};

use crate::{
    dispatch::poison::{Crash, Fingerprint},
    quota::VersionedLimit,
    term,
};

use super::{
    Fleet,
    fact::{Departure, Fact, Key, Lease, Load, Store},
    fanout::{Distance, Plan},
    hosts::Pulse,
    replace, view,
    wire::{Run, Scope},
};

/// Counts that only rise, as far as this host heard them rise.
#[derive(Debug, Default)]
pub(super) struct Sums {
    sources: BTreeMap<(host::Id, Scope), Distance>,
    near: BTreeMap<Key, u64>,
    far: BTreeMap<Key, u64>,
}

impl Sums {
    /// Takes by how much counts rose, if their teller counts here.
    pub(super) fn take(&mut self, id: &host::Id, scope: Scope, news: view::News) {
        let totals = match self.sources.get(&(id.clone(), scope)) {
            Some(Distance::Near) => &mut self.near,
            Some(Distance::Far) => &mut self.far,
            None => return,
        };
        for (key, rise) in news.rises {
            let total = totals.entry(key).or_default();
            *total = total.saturating_add(rise);
        }
    }

    /// All counts.
    pub(super) fn totals(&self) -> impl Iterator<Item = (&Key, u64)> {
        self.near.iter().chain(&self.far).map(|(key, total)| (key, *total))
    }
}

/// Requests and prompt tokens at servers, by server and model.
pub(super) type Working = BTreeMap<(backend::Id, Option<model::Id>), (u32, u64)>;

/// Facts of several hosts, as one.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) in_flight: Working,
    pub(super) servers: BTreeMap<backend::Id, Departure>,
    pub(super) crashes: BTreeMap<(Fingerprint, backend::Id, host::Id), Crash>,
    pub(super) lease: Option<Lease>,
    pub(super) term: Option<term::Stored>,
    pub(super) store: Option<Store>,
    pub(super) absent: BTreeMap<host::Id, Run>,
    pub(super) limits: BTreeMap<backend::Id, VersionedLimit>,
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
                raise(self.servers.entry(server.clone()), *departure)
            }
            Fact::Crash(crash) => {
                let aged = Crash { age: crash.age + age, ..crash.clone() };
                let key = (crash.request, crash.server.clone(), crash.witness.clone());
                let joined = match self.crashes.remove(&key) {
                    Some(known) => known.joined(&aged),
                    None => aged,
                };
                self.crashes.insert(key, joined);
            }
            Fact::Term(stored) => {
                let held = self.term.as_ref().map_or(0, |(revision, _)| *revision);
                if held < stored.0 {
                    self.term = Some(stored.clone());
                }
            }
            Fact::Lease(lease) => self.believe(Lease { age: lease.age + age, ..lease.clone() }),
            Fact::Store(store) => {
                let best = self.store.unwrap_or_default();
                let reach = best.reach.max(store.reach);
                let revision = best.revision.max(store.revision);
                self.store = Some(Store { reach, revision });
            }
            Fact::Absent(id, run) => {
                self.absent.insert(id.clone(), *run);
            }
            Fact::Limit(server, news) => {
                let held = self.limits.entry(server.clone()).or_insert(*news);
                *held = held.merge(*news);
            }
            Fact::State(_) | Fact::Declared(_) | Fact::Arrivals(..) | Fact::Retries(..) => {}
        }
    }

    /// A higher fence is the newer belief; of the same one, the later renewal.
    fn believe(&mut self, lease: Lease) {
        let is_newer = self.lease.as_ref().is_none_or(|held| {
            (held.fence, std::cmp::Reverse(held.age)) < (lease.fence, std::cmp::Reverse(lease.age))
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
        let limits = self.limits.into_iter().map(|(server, news)| Fact::Limit(server, news));
        let believed = lease.chain(term).chain(store).chain(absent).chain(limits);
        loads.chain(servers).chain(crashes).chain(believed)
    }
}

/// Work as loads, those at rest among them.
pub(super) fn loads(working: Working) -> impl Iterator<Item = Load> {
    let load = |((server, model), (requests, tokens))| Load { server, model, requests, tokens };
    working.into_iter().map(load)
}

fn raise<K: Ord, V: Ord + Copy>(entry: Entry<'_, K, V>, value: V) {
    entry.and_modify(|held| *held = value.max(*held)).or_insert(value);
}

impl Fleet {
    /// Facts of other hosts at this distance.
    pub(super) fn told(
        &self,
        now: Moment,
        distance: Distance,
    ) -> impl Iterator<Item = (&Fact, Duration)> {
        let sources = self.sums.sources.iter().filter(move |(_, at)| **at == distance);
        let views = sources.filter_map(move |((id, scope), _)| {
            let peer = self.hosts.get(id).filter(|peer| !peer.is_silent())?;
            peer.views.get(scope)
        });
        views.flat_map(move |view| view.facts(now))
    }

    /// Brings up to date who counts, and what this host relays.
    pub(super) fn sum_up(&mut self, now: Moment, plan: &Plan) {
        self.sums.sources =
            plan.sources().map(|(id, scope, at)| ((id.clone(), scope), at)).collect();
        if !plan.is_wide() || now < self.next_sum {
            return;
        }
        self.next_sum = now + plan.wide_interval(&self.settings);
        self.hosts.miss_absent(now, plan.silence(&self.settings));
        if !plan.is_relay() {
            return;
        }
        let mut rest = Tally::default();
        self.told(now, Distance::Far).for_each(|(fact, age)| rest.add(fact, age));
        let own = &self.boards[Scope::Own as usize];
        let mut group = Tally::default();
        own.facts(now).chain(self.told(now, Distance::Near)).for_each(|(f, age)| group.add(f, age));
        let lapsed = self.hosts.iter().filter(|peer| peer.pulse == Pulse::Lapsed);
        group.absent = lapsed.map(|peer| (peer.member.id.clone(), peer.member.run())).collect();
        let mut totals = self.sums.near.clone();
        for (key, count) in own.facts(now).filter_map(|(f, _)| Some((f.key(), f.total()?))) {
            *totals.entry(key).or_default() += count;
        }
        let group: Vec<_> = group.into_facts().chain(rising(&totals)).collect();
        let rest: Vec<_> = rest.into_facts().chain(rising(&self.sums.far)).collect();
        replace(&mut self.boards[Scope::Group as usize], now, |_| true, group.into_iter());
        replace(&mut self.boards[Scope::Rest as usize], now, |_| true, rest.into_iter());
    }
}

fn rising(totals: &BTreeMap<Key, u64>) -> impl Iterator<Item = Fact> {
    totals.iter().filter_map(|(key, total)| match key {
        Key::Arrivals(service) => Some(Fact::Arrivals(service.clone(), *total)),
        Key::Retries(service) => Some(Fact::Retries(service.clone(), *total)),
        _ => None,
    })
}
