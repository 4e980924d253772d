//! All servers, by id, service and model.
//!
//! Names become dense numbers when they are first heard of, so that a choice walks vectors. The
//! number of a server that is gone goes to a later one, so what is kept beside a number for long
//! also keeps the id.

use std::collections::BTreeMap;

use types::{prelude::*, routed};

use super::{
    Map,
    budget::{Budget, RetryBudgetConfig},
    held::Absence,
    list::{List, Side},
    load::{REPORT_LAG, TOLD_LIFE},
    pace::Median,
    queue::Queue,
    server::Server,
    stats::Stats,
};
use crate::route::Index;

/// Work that a host has at a server: the server, a model, requests, and prompt tokens to be read.
pub type Work = (backend::Id, Option<model::Id>, u32, u64);

/// A service and what belongs to it on this host.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub id: service::Id,
    /// Its servers that take work.
    pub list: List,
    /// Times of its requests, if it is plain.
    pub stats: Stats,
    /// What its servers have in common.
    pub median: Median,
    /// What is left for retries.
    pub budget: Budget,
    /// Requests that wait.
    pub queue: Queue,
}

/// A model of a service.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name.
    pub id: model::Id,
    /// Servers that hold it and take work.
    pub list: List,
    /// Times of its requests.
    pub stats: Stats,
    /// Loads that were ordered: server, adapter, and when it should be there.
    pub coming: Vec<(Index, Option<adapter::Id>, Moment)>,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    at: Moment,
    work: Vec<(Index, u32, u64)>,
}

/// All servers.
#[derive(Clone, Debug)]
pub struct Fleet {
    zone: availability::Id,
    terms: RetryBudgetConfig,
    servers: Vec<Option<Server>>,
    free: Vec<Index>,
    ids: Map<backend::Id, Index>,
    /// Services by number.
    pub services: Vec<Service>,
    service_ids: Map<service::Id, Index>,
    /// Models by number.
    pub models: Vec<Model>,
    model_ids: Map<(Index, model::Id), Index>,
    peers: BTreeMap<host::Id, Peer>,
    peers_at: Option<Moment>,
    /// When news of what servers hold count that were put off.
    news_at: Option<Moment>,
}

impl Fleet {
    /// Without servers yet, seen from this zone.
    pub fn new(zone: availability::Id, terms: RetryBudgetConfig) -> Fleet {
        Fleet {
            zone,
            terms,
            servers: Vec::new(),
            free: Vec::new(),
            ids: Map::default(),
            services: Vec::new(),
            service_ids: Map::default(),
            models: Vec::new(),
            model_ids: Map::default(),
            peers: BTreeMap::new(),
            peers_at: None,
            news_at: None,
        }
    }

    /// A server by number.
    pub fn get(&self, index: Index) -> Option<&Server> {
        self.servers.get(index as usize)?.as_ref()
    }

    /// A server by number, to be changed.
    pub fn get_mut(&mut self, index: Index) -> Option<&mut Server> {
        self.servers.get_mut(index as usize)?.as_mut()
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().flatten()
    }

    /// A server's number.
    pub fn index(&self, id: &str) -> Option<Index> {
        self.ids.get(id).copied()
    }

    /// Whether a server is known to leave.
    pub fn is_draining(&self, index: Index) -> bool {
        self.get(index).is_some_and(|server| server.state == routed::State::Draining)
    }

    /// The server with this number if it is still this one.
    pub fn same(&mut self, index: Index, id: &backend::Id) -> Option<&mut Server> {
        self.get_mut(index).filter(|server| server.id == *id)
    }

    /// A service's number; it gets one when it has none.
    pub fn service(&mut self, id: &service::Id) -> Index {
        if let Some(index) = self.service_ids.get(id) {
            return *index;
        }
        let index = self.services.len() as Index;
        self.services.push(Service {
            id: id.clone(),
            list: List::default(),
            stats: Stats::plain(),
            median: Median::default(),
            budget: Budget::new(self.terms),
            queue: Queue::default(),
        });
        self.service_ids.insert(id.clone(), index);
        index
    }

    /// A model's number; it gets one when it has none.
    pub fn model(&mut self, service: Index, id: &model::Id) -> Index {
        let key = (service, id.clone());
        if let Some(index) = self.model_ids.get(&key) {
            return *index;
        }
        let index = self.models.len() as Index;
        self.models.push(Model {
            id: id.clone(),
            list: List::default(),
            stats: Stats::model(),
            coming: Vec::new(),
        });
        self.model_ids.insert(key, index);
        index
    }

    /// When peers' figures are of, on the mean.
    pub fn peers_at(&self) -> Option<Moment> {
        self.peers_at
    }

    /// Takes in what a server says of itself.
    pub fn put(&mut self, told: &routed::Server, now: Moment) -> Index {
        let service = self.service(&told.service);
        let index = match self.index(&told.id) {
            Some(index) => {
                if let Some(server) = self.get_mut(index) {
                    server.update(told);
                }
                index
            }
            None => self.add(told, service, now),
        };
        self.hold_all(index, &told.models, told.sequence, now);
        index
    }

    /// A server takes nothing new.
    pub fn drain(&mut self, index: Index) {
        let Some(server) = self.get_mut(index) else { return };
        server.state = routed::State::Draining;
        self.unlist(index);
    }

    /// A server takes work again.
    pub fn resume(&mut self, index: Index) {
        let Some(server) = self.get_mut(index) else { return };
        server.state = routed::State::Ready;
        self.list(index);
    }

    /// A server is gone.
    pub fn remove(&mut self, index: Index) {
        self.unlist(index);
        for peer in self.peers.values_mut() {
            peer.work.retain(|(server, ..)| *server != index);
        }
        if let Some(server) = self.servers[index as usize].take() {
            self.ids.remove(&server.id);
            self.free.push(index);
        }
    }

    /// Takes in a server's report.
    pub fn report(&mut self, index: Index, report: &routed::Report, now: Moment) {
        let Some(server) = self.get_mut(index) else { return };
        server.load.told(report.running, report.queued, REPORT_LAG, now);
        server.load.memory(report.kv_used, report.kv_total, now);
        self.hold_all(index, &report.models, report.sequence, now);
    }

    /// A server holds this after so many orders.
    pub fn hold(
        &mut self,
        index: Index,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
        now: Moment,
    ) {
        let Some(server) = self.get_mut(index) else { return };
        if server.held.is_later(model, adapter, sequence) {
            return;
        }
        server.held.put(model, adapter, sequence, now);
        let coming = &mut self.models[model as usize].coming;
        coming.retain(|(at, wanted, _)| *at != index || wanted.as_ref() != adapter);
        self.list(index);
    }

    /// A server was ordered to load this, and should be done by then.
    pub fn expect(
        &mut self,
        index: Index,
        model: Index,
        adapter: Option<&adapter::Id>,
        ready: Moment,
    ) {
        let Some(server) = self.get_mut(index) else { return };
        server.held.expect(model);
        self.models[model as usize].coming.push((index, adapter.cloned(), ready));
    }

    /// A server holds this no more, whatever it reports for a while.
    pub fn drop(
        &mut self,
        index: Index,
        model: Index,
        adapter: Option<&adapter::Id>,
        why: Absence,
        now: Moment,
    ) {
        let Some(server) = self.get_mut(index) else { return };
        if let Absence::Ordered(sequence) = why
            && server.held.is_later(model, adapter, sequence)
        {
            return;
        }
        server.held.drop(model, adapter, why, now);
        if adapter.is_none() {
            self.models[model as usize].list.remove(index);
        }
    }

    /// Lets news count that first-hand knowledge has put off until now.
    pub fn settle(&mut self, now: Moment) {
        if self.news_at.is_none_or(|at| now < at) {
            return;
        }
        for index in 0..self.servers.len() as Index {
            let Some(server) = self.get_mut(index) else { continue };
            if server.held.next_news().is_some_and(|at| at <= now) {
                server.held.settle(now);
                self.list(index);
            }
        }
        let servers = self.servers.iter().flatten();
        self.news_at = servers.filter_map(|server| server.held.next_news()).min();
    }

    /// Takes in all the work that a peer has, in place of what it told before.
    pub fn peer(&mut self, host: &host::Id, work: &[Work], now: Moment) {
        self.forget_peer(host);
        let work: Vec<(Index, u32, u64)> = work
            .iter()
            .filter_map(|(id, _, requests, unread)| Some((self.index(id)?, *requests, *unread)))
            .collect();
        for (server, requests, unread) in &work {
            if let Some(server) = self.get_mut(*server) {
                server.load.peers((*requests, *unread), (0, 0));
            }
        }
        self.peers.insert(host.clone(), Peer { at: now, work });
        self.date_peers();
    }

    /// So many hosts share the servers, and what peers have in flight is as of now.
    pub fn meet(&mut self, hosts: u32) {
        for server in self.servers.iter_mut().flatten() {
            server.load.meet(server.slots, hosts);
        }
    }

    /// Forgets what is too old, and finds the medians anew.
    pub fn tick(&mut self, now: Moment) {
        let old: Vec<host::Id> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.at + TOLD_LIFE <= now)
            .map(|(host, _)| host.clone())
            .collect();
        old.iter().for_each(|host| self.forget_peer(host));
        self.date_peers();
        for model in &mut self.models {
            model.coming.retain(|(_, _, ready)| now < *ready + TOLD_LIFE);
        }
        let Fleet { services, servers, .. } = self;
        for service in services {
            let paces = service.list.all().iter().filter_map(|at| servers[*at as usize].as_ref());
            service.median = Median::of(paces.map(|server| &server.pace));
        }
    }

    fn forget_peer(&mut self, host: &host::Id) {
        let Some(peer) = self.peers.remove(host) else { return };
        for (server, requests, unread) in peer.work {
            if let Some(server) = self.get_mut(server) {
                server.load.peers((0, 0), (requests, unread));
            }
        }
    }

    fn date_peers(&mut self) {
        let sum: Duration = self.peers.values().map(|peer| peer.at).sum();
        self.peers_at = sum.checked_div(self.peers.len() as u32);
    }

    fn add(&mut self, told: &routed::Server, service: Index, now: Moment) -> Index {
        let side = if told.zone == self.zone { Side::Near } else { Side::Far };
        let server = Some(Server::new(told, service, side, now));
        let index = match self.free.pop() {
            Some(index) => {
                self.servers[index as usize] = server;
                index
            }
            None => {
                self.servers.push(server);
                self.servers.len() as Index - 1
            }
        };
        self.ids.insert(told.id.clone(), index);
        index
    }

    fn hold_all(
        &mut self,
        index: Index,
        models: &[routed::Held],
        sequence: routed::Sequence,
        now: Moment,
    ) {
        let Some(service) = self.get(index).map(|server| server.service) else { return };
        let models: Vec<(Index, Vec<adapter::Id>)> = models
            .iter()
            .map(|held| (self.model(service, &held.model), held.adapters.clone()))
            .collect();
        self.unlist(index);
        if let Some(server) = self.get_mut(index) {
            server.held.told(models.into_iter(), sequence, now);
            let next = server.held.next_news();
            self.news_at = self.news_at.into_iter().chain(next).min();
        }
        self.list(index);
    }

    /// Enters a server that takes work in the lists of its service and models.
    fn list(&mut self, index: Index) {
        let Fleet { servers, services, models, .. } = self;
        let Some(server) = servers[index as usize].as_ref() else { return };
        if server.state == routed::State::Draining {
            return;
        }
        services[server.service as usize].list.add(index, server.side);
        for model in server.held.models() {
            models[model as usize].list.add(index, server.side);
        }
    }

    fn unlist(&mut self, index: Index) {
        let Fleet { servers, services, models, .. } = self;
        let Some(server) = servers[index as usize].as_ref() else { return };
        services[server.service as usize].list.remove(index);
        for model in server.held.models() {
            models[model as usize].list.remove(index);
        }
    }
}
