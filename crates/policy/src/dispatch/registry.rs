//! All servers, by id, service and model.
//!
//! Names are mapped to dense indexes when they are first seen, so that choosing a server iterates
//! over vectors. The index of a removed server is reused, so whatever outlives a call and refers to
//! a server by index also stores its id.

use std::collections::{BTreeMap, BTreeSet};

use types::{prelude::*, routed};

use super::{
    Map,
    brittle::Tolerance,
    budget::{Budget, RetryBudgetConfig},
    list::{Locality, ServerList},
    load::{LOAD_MAX_AGE, REPORT_LAG},
    loaded::Absence,
    pace::Median,
    queue::Queue,
    reserve::Urgency,
    server::Server,
    speed::Spread,
    stats::Stats,
};
use crate::{route::Index, streams::SoftwareId};

/// Requests that a host has at a server: the server, the model, the number of requests, and the
/// prompt tokens to prefill.
pub type Work = (backend::Id, Option<model::Id>, u32, u64);

/// A service with the state that belongs to it on this host.
#[derive(Clone, Debug)]
pub struct Service {
    pub id: service::Id,
    /// Servers that take new requests.
    pub list: ServerList,
    /// Request times, if the service has no models.
    pub stats: Stats,
    /// Median speed and failure rate of its servers.
    pub median: Median,
    /// How its servers differ in speed.
    pub spread: Spread,
    pub budget: Budget,
    pub queue: Queue,
    /// Use by urgent requests, from which the slots that deferrable ones leave free are derived.
    pub urgency: Urgency,
    /// Shortest goal of a route to the service, if one is known.
    pub goal: Option<Duration>,
    /// What its servers state about rejections.
    pub tolerance: Tolerance,
    /// Versions at which streams that may be resumed may begin; `None` if unknown.
    listed: Option<BTreeSet<SoftwareId>>,
}

/// A model of a service.
#[derive(Clone, Debug)]
pub struct Model {
    pub id: model::Id,
    /// Servers that have the model loaded and take new requests.
    pub list: ServerList,
    pub stats: Stats,
    /// Loads that were ordered: server, adapter, and expected time of completion.
    pub loading: Vec<(Index, Option<adapter::Id>, Moment)>,
}

/// Requests in flight of another host, from its newest digest.
#[derive(Clone, Debug, Default)]
struct Peer {
    at: Moment,
    work: Vec<(Index, u32, u64)>,
}

/// All servers, services and models.
#[derive(Clone, Debug)]
pub struct Registry {
    zone: availability::Id,
    config: RetryBudgetConfig,
    servers: Vec<Option<Server>>,
    free_indexes: Vec<Index>,
    ids: Map<backend::Id, Index>,
    /// Services by index.
    pub services: Vec<Service>,
    service_ids: Map<service::Id, Index>,
    /// Models by index.
    pub models: Vec<Model>,
    model_ids: Map<(Index, model::Id), Index>,
    peers: BTreeMap<host::Id, Peer>,
    /// Mean time of the peers' digests.
    peers_at: Option<Moment>,
    /// When the next deferred part of a server's report is to be applied.
    deferred_at: Option<Moment>,
    /// Servers whose requests of this host have changed since slots were last advanced.
    pub changed_loads: Vec<Index>,
}

impl Registry {
    /// Creates a registry without servers, for a host in this zone.
    pub fn new(zone: availability::Id, config: RetryBudgetConfig) -> Registry {
        Registry {
            zone,
            config,
            servers: Vec::new(),
            free_indexes: Vec::new(),
            ids: Map::default(),
            services: Vec::new(),
            service_ids: Map::default(),
            models: Vec::new(),
            model_ids: Map::default(),
            peers: BTreeMap::new(),
            peers_at: None,
            deferred_at: None,
            changed_loads: Vec::new(),
        }
    }

    pub fn get(&self, index: Index) -> Option<&Server> {
        self.servers.get(index as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, index: Index) -> Option<&mut Server> {
        self.servers.get_mut(index as usize)?.as_mut()
    }

    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().flatten()
    }

    pub fn servers_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.iter_mut().flatten()
    }

    pub fn index(&self, id: &str) -> Option<Index> {
        self.ids.get(id).copied()
    }

    pub fn is_draining(&self, index: Index) -> bool {
        self.get(index).is_some_and(|server| server.state == routed::State::Draining)
    }

    /// Returns the server with this index if it still has this id.
    pub fn get_same(&mut self, index: Index, id: &backend::Id) -> Option<&mut Server> {
        self.get_mut(index).filter(|server| server.id == *id)
    }

    /// Returns the index of a service, adding the service if it is new.
    pub fn service(&mut self, id: &service::Id) -> Index {
        if let Some(index) = self.service_ids.get(id) {
            return *index;
        }
        let index = self.services.len() as Index;
        self.services.push(Service {
            id: id.clone(),
            list: ServerList::default(),
            stats: Stats::plain(),
            median: Median::default(),
            spread: Spread::default(),
            budget: Budget::new(self.config),
            queue: Queue::default(),
            urgency: Urgency::default(),
            goal: None,
            tolerance: Tolerance::default(),
            listed: None,
        });
        self.service_ids.insert(id.clone(), index);
        index
    }

    /// Returns the index of a model, adding the model if it is new.
    pub fn model(&mut self, service: Index, id: &model::Id) -> Index {
        let key = (service, id.clone());
        if let Some(index) = self.model_ids.get(&key) {
            return *index;
        }
        let index = self.models.len() as Index;
        self.models.push(Model {
            id: id.clone(),
            list: ServerList::default(),
            stats: Stats::model(),
            loading: Vec::new(),
        });
        self.model_ids.insert(key, index);
        index
    }

    /// Mean time of the peers' digests; `None` without digests.
    pub fn peers_at(&self) -> Option<Moment> {
        self.peers_at
    }

    /// Applies a server's registration.
    pub fn register(&mut self, registration: &routed::Server, now: Moment) -> Index {
        let service = self.service(&registration.service);
        let index = match self.index(&registration.id) {
            Some(index) => {
                if let Some(server) = self.get_mut(index) {
                    server.update(registration);
                }
                index
            }
            None => self.add(registration, service, now),
        };
        self.apply_models(index, &registration.models, registration.sequence, now);
        self.update_listed(index);
        index
    }

    /// Takes a server out of the lists of those that take new requests.
    pub fn drain(&mut self, index: Index) {
        let Some(server) = self.get_mut(index) else { return };
        server.state = routed::State::Draining;
        self.remove_from_lists(index);
        self.update_listed(index);
    }

    /// Lists a server again as one that takes new requests.
    pub fn resume(&mut self, index: Index) {
        let Some(server) = self.get_mut(index) else { return };
        server.state = routed::State::Ready;
        self.add_to_lists(index);
        self.update_listed(index);
    }

    /// Sets the versions of a service at which streams that may be resumed may begin.
    pub fn set_listed(&mut self, service: Index, listed: BTreeSet<SoftwareId>) {
        let service = &mut self.services[service as usize];
        if service.listed.as_ref() != Some(&listed) {
            service.listed = Some(listed);
            update_listed(service, &mut self.servers);
        }
    }

    /// Updates at which servers streams may begin, after a change of a server.
    fn update_listed(&mut self, server: Index) {
        let Some(service) = self.get(server).map(|server| server.service) else { return };
        update_listed(&self.services[service as usize], &mut self.servers);
    }

    pub fn remove(&mut self, index: Index) {
        self.remove_from_lists(index);
        self.update_listed(index);
        for peer in self.peers.values_mut() {
            peer.work.retain(|(server, ..)| *server != index);
        }
        if let Some(server) = self.servers[index as usize].take() {
            self.ids.remove(&server.id);
            self.free_indexes.push(index);
        }
    }

    /// Applies a server's load report.
    pub fn report(&mut self, index: Index, report: &routed::Report, now: Moment) {
        let Some(server) = self.get_mut(index) else { return };
        server.load.report(report.running, report.queued, REPORT_LAG, now);
        server.load.memory(report.kv_used, report.kv_total, now);
        self.apply_models(index, &report.models, report.sequence, now);
    }

    /// Records that a server has loaded a model, or an adapter on it, unless something newer is
    /// known.
    pub fn mark_loaded(
        &mut self,
        index: Index,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
        now: Moment,
    ) {
        let Some(server) = self.get_mut(index) else { return };
        if server.models.is_superseded(model, adapter, sequence) {
            return;
        }
        server.models.mark_loaded(model, adapter, sequence, now);
        let loading = &mut self.models[model as usize].loading;
        loading.retain(|(at, wanted, _)| *at != index || wanted.as_ref() != adapter);
        self.add_to_lists(index);
    }

    /// Records an order to load, with the expected time of completion.
    pub fn mark_loading(
        &mut self,
        index: Index,
        model: Index,
        adapter: Option<&adapter::Id>,
        ready: Moment,
    ) {
        let Some(server) = self.get_mut(index) else { return };
        server.models.mark_loading(model);
        self.models[model as usize].loading.push((index, adapter.cloned(), ready));
    }

    /// Records that a server does not have a model, or an adapter on it, which overrides its
    /// reports for a while.
    pub fn mark_absent(
        &mut self,
        index: Index,
        model: Index,
        adapter: Option<&adapter::Id>,
        why: Absence,
        now: Moment,
    ) {
        let Some(server) = self.get_mut(index) else { return };
        if let Absence::Ordered(sequence) = why
            && server.models.is_superseded(model, adapter, sequence)
        {
            return;
        }
        server.models.mark_absent(model, adapter, why, now);
        if adapter.is_none() {
            self.models[model as usize].list.remove(index);
        }
    }

    /// Applies the parts of reports that first-hand knowledge has deferred until now.
    pub fn apply_deferred(&mut self, now: Moment) {
        if self.deferred_at.is_none_or(|at| now < at) {
            return;
        }
        for index in 0..self.servers.len() as Index {
            let Some(server) = self.get_mut(index) else { continue };
            if server.models.next_deferred().is_some_and(|at| at <= now) {
                server.models.apply_deferred(now);
                self.add_to_lists(index);
            }
        }
        let servers = self.servers.iter().flatten();
        self.deferred_at = servers.filter_map(|server| server.models.next_deferred()).min();
    }

    /// Replaces the requests that a peer has in flight by those of its newest digest.
    pub fn set_peer_work(&mut self, host: &host::Id, work: &[Work], now: Moment) {
        self.forget_peer(host);
        let work: Vec<(Index, u32, u64)> = work
            .iter()
            .filter_map(|(id, _, requests, prefill)| Some((self.index(id)?, *requests, *prefill)))
            .collect();
        for (server, requests, prefill) in &work {
            if let Some(server) = self.get_mut(*server) {
                server.load.peers((*requests, *prefill), (0, 0));
            }
        }
        self.peers.insert(host.clone(), Peer { at: now, work });
        self.update_peers_at();
    }

    /// Updates the estimated number of hosts that contend for each server; `hosts` is the number of
    /// hosts that share the servers.
    pub fn update_contenders(&mut self, hosts: u32) {
        for server in self.servers.iter_mut().flatten() {
            server.load.update_contenders(server.slots, hosts);
        }
    }

    /// Removes expired digests and orders, and recomputes the medians and the servers' factors.
    pub fn tick(&mut self, now: Moment) {
        let old: Vec<host::Id> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.at + LOAD_MAX_AGE <= now)
            .map(|(host, _)| host.clone())
            .collect();
        old.iter().for_each(|host| self.forget_peer(host));
        self.update_peers_at();
        for model in &mut self.models {
            model.loading.retain(|(_, _, ready)| now < *ready + LOAD_MAX_AGE);
        }
        let Registry { services, servers, .. } = self;
        for service in services {
            update_speeds(service, servers);
            let paces = service.list.all().iter().filter_map(|at| servers[*at as usize].as_ref());
            service.median = Median::of(paces.map(|server| &server.pace));
        }
    }

    fn forget_peer(&mut self, host: &host::Id) {
        let Some(peer) = self.peers.remove(host) else { return };
        for (server, requests, prefill) in peer.work {
            if let Some(server) = self.get_mut(server) {
                server.load.peers((0, 0), (requests, prefill));
            }
        }
    }

    fn update_peers_at(&mut self) {
        let sum: Duration = self.peers.values().map(|peer| peer.at).sum();
        self.peers_at = sum.checked_div(self.peers.len() as u32);
    }

    fn add(&mut self, registration: &routed::Server, service: Index, now: Moment) -> Index {
        let locality =
            if registration.zone == self.zone { Locality::SameZone } else { Locality::OtherZone };
        let server = Some(Server::new(registration, service, locality, now));
        let index = match self.free_indexes.pop() {
            Some(index) => {
                self.servers[index as usize] = server;
                index
            }
            None => {
                self.servers.push(server);
                self.servers.len() as Index - 1
            }
        };
        self.ids.insert(registration.id.clone(), index);
        index
    }

    fn apply_models(
        &mut self,
        index: Index,
        models: &[routed::LoadedModel],
        sequence: routed::Sequence,
        now: Moment,
    ) {
        let Some(service) = self.get(index).map(|server| server.service) else { return };
        let models: Vec<(Index, Vec<adapter::Id>)> = models
            .iter()
            .map(|loaded| (self.model(service, &loaded.model), loaded.adapters.clone()))
            .collect();
        self.remove_from_lists(index);
        if let Some(server) = self.get_mut(index) {
            server.models.apply_report(models.into_iter(), sequence, now);
            let next = server.models.next_deferred();
            self.deferred_at = self.deferred_at.into_iter().chain(next).min();
        }
        self.add_to_lists(index);
    }

    /// Adds a server to the lists of its service and models, unless it is draining.
    fn add_to_lists(&mut self, index: Index) {
        let Registry { servers, services, models, .. } = self;
        let Some(server) = servers[index as usize].as_ref() else { return };
        if server.state == routed::State::Draining {
            return;
        }
        services[server.service as usize].list.add(index, server.locality);
        for model in server.models.indexes() {
            models[model as usize].list.add(index, server.locality);
        }
    }

    fn remove_from_lists(&mut self, index: Index) {
        let Registry { servers, services, models, .. } = self;
        let Some(server) = servers[index as usize].as_ref() else { return };
        services[server.service as usize].list.remove(index);
        for model in server.models.indexes() {
            models[model as usize].list.remove(index);
        }
    }
}

/// Updates at which servers of a service streams that may be resumed may begin.
fn update_listed(service: &Service, servers: &mut [Option<Server>]) {
    let Some(listed) = &service.listed else { return };
    let is_listed = |at: &Index| {
        let server = servers[*at as usize].as_ref();
        server.is_some_and(|server| listed.contains(&server.software))
    };
    let is_any_listed = service.list.all().iter().any(is_listed);
    for at in service.list.all() {
        let Some(server) = servers[*at as usize].as_mut() else { continue };
        server.may_begin = !is_any_listed || listed.contains(&server.software);
    }
}

/// Recomputes the long-term factors of a service's servers.
fn update_speeds(service: &mut Service, servers: &mut [Option<Server>]) {
    let known = || service.list.all().iter().filter_map(|at| servers[*at as usize].as_ref());
    let speeds = || known().map(|server| &server.speed);
    let spread = Spread::of(speeds().map(|speed| speed.joint()), speeds().map(|s| s.own()));
    service.spread = spread;
    for at in service.list.all() {
        let Some(server) = servers[*at as usize].as_mut() else { continue };
        let change = server.speed.update(&spread);
        server.pace.rebase(change);
    }
}
