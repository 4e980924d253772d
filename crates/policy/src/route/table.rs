//! Servers that a host knows, and the destinations that each has ready.
//!
//! Servers and destinations are interned: an index stays valid for the life of the table, and a
//! server that comes back gets its former index. The models and adapters that a server has ready
//! come from its own reports, so one that it lost in a restart is no longer offered after the next
//! report.

use std::collections::BTreeMap;

use types::{prelude::*, report::Load, resident::State};

use super::estimate::{Estimate, PeerLoad, Sent, View};

/// Dense index of a server.
pub type Index = u32;

/// Dense index of a destination.
pub type DestinationIndex = u32;

/// What a server must have ready to serve a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// Any server that has a model ready, or an adapter on it, in any version.
    Model(model::Name),
    /// Any server of a group of plain servers.
    Group(backend::Group),
}

/// Server that has a destination ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Index of the server.
    pub server: Index,
    /// Version that the server has ready; empty for plain servers.
    pub version: model::Version,
}

/// Whether a server is given new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Eligibility {
    /// The server is given new requests.
    #[default]
    Live,
    /// The server is given none until this moment, since it failed.
    Suspected(Moment),
    /// The server is draining: it finishes its requests and is given no new ones.
    Leaving,
    /// The server is gone.
    Gone,
}

/// One-way network times from the host's own zone.
#[derive(Clone, Debug)]
pub struct Distances {
    /// Zone of the host.
    pub own: availability::Id,
    /// Time to any zone that is not in `named`.
    pub other: Duration,
    /// Times to particular zones.
    pub named: BTreeMap<availability::Id, Duration>,
}

impl Distances {
    fn to(&self, zone: &availability::Id) -> Duration {
        if *zone == self.own {
            return Duration::ZERO;
        }
        self.named.get(zone).copied().unwrap_or(self.other)
    }
}

#[derive(Clone, Debug)]
struct Row {
    server: backend::Server,
    distance: Duration,
    eligibility: Eligibility,
    reports_leaving: bool,
    incarnation: backend::Incarnation,
    view: View,
    ready: Vec<DestinationIndex>,
}

/// Servers that a host knows.
#[derive(Clone, Debug)]
pub struct Table {
    distances: Distances,
    rows: Vec<Row>,
    by_id: BTreeMap<backend::Id, Index>,
    destinations: BTreeMap<Destination, DestinationIndex>,
    replicas: Vec<Vec<Replica>>,
    pools: Vec<DestinationIndex>,
    peer_loads: BTreeMap<host::Id, Vec<(Index, PeerLoad)>>,
}

impl Table {
    /// Returns an empty table.
    pub fn new(distances: Distances) -> Table {
        Table {
            distances,
            rows: Vec::new(),
            by_id: BTreeMap::new(),
            destinations: BTreeMap::new(),
            replicas: Vec::new(),
            pools: Vec::new(),
            peer_loads: BTreeMap::new(),
        }
    }

    /// Adds a server or updates its address. Plain servers are ready for their group at once.
    pub fn add(&mut self, server: &backend::Server) -> Index {
        let distance = self.distances.to(&server.zone);
        let index = match self.by_id.get(&server.id) {
            Some(index) => *index,
            None => {
                let index = self.rows.len() as Index;
                self.by_id.insert(server.id.clone(), index);
                self.rows.push(Row {
                    server: server.clone(),
                    distance,
                    eligibility: Eligibility::Live,
                    reports_leaving: false,
                    incarnation: 0,
                    view: View::default(),
                    ready: Vec::new(),
                });
                index
            }
        };
        let row = &mut self.rows[index as usize];
        row.distance = distance;
        row.server = server.clone();
        if server.kind == backend::Kind::Plain {
            self.set_ready(index, vec![(Destination::Group(server.group.clone()), "".into())]);
        }
        index
    }

    /// Index of a server, if the server is known.
    pub fn index(&self, id: &str) -> Option<Index> {
        self.by_id.get(id).copied()
    }

    /// Server at an index.
    pub fn server(&self, index: Index) -> &backend::Server {
        &self.rows[index as usize].server
    }

    /// All servers with their indices, in the order in which they were added.
    pub fn servers(&self) -> impl Iterator<Item = (Index, &backend::Server)> {
        self.rows.iter().enumerate().map(|(at, row)| (at as Index, &row.server))
    }

    /// Index of a destination, interned on first use.
    pub fn destination(&mut self, wanted: &Destination) -> DestinationIndex {
        if let Some(destination) = self.destinations.get(wanted) {
            return *destination;
        }
        let pool = match wanted {
            Destination::Model(model::Name { model, adapter: Some(_) }) => {
                let base = model::Name { model: model.clone(), adapter: None };
                Some(self.destination(&Destination::Model(base)))
            }
            Destination::Model(_) | Destination::Group(_) => None,
        };
        let destination = self.replicas.len() as DestinationIndex;
        self.destinations.insert(wanted.clone(), destination);
        self.replicas.push(Vec::new());
        self.pools.push(pool.unwrap_or(destination));
        destination
    }

    /// Destination whose limits and queue apply: the model of an adapter, else the destination
    /// itself.
    pub fn pool(&self, destination: DestinationIndex) -> DestinationIndex {
        self.pools.get(destination as usize).copied().unwrap_or(destination)
    }

    /// Name of a destination, as in metrics; empty if unknown.
    pub fn name(&self, destination: DestinationIndex) -> Arc<str> {
        match self.destinations.iter().find(|(_, other)| **other == destination) {
            Some((Destination::Model(name), _)) => name.to_string().into(),
            Some((Destination::Group(group), _)) => group.clone(),
            None => "".into(),
        }
    }

    /// Index of a destination, if it is interned.
    pub fn find(&self, wanted: &Destination) -> Option<DestinationIndex> {
        self.destinations.get(wanted).copied()
    }

    /// Servers that have a destination ready, whatever their eligibility.
    pub fn replicas(&self, destination: DestinationIndex) -> &[Replica] {
        self.replicas.get(destination as usize).map_or(&[], Vec::as_slice)
    }

    /// Applies a load report that was read at `now`. Returns whether the server's process is a new
    /// one, whose cache is empty.
    pub fn report(&mut self, index: Index, load: &Load, now: Moment) -> Restarted {
        let row = &mut self.rows[index as usize];
        if load.incarnation < row.incarnation {
            return Restarted::No;
        }
        let restarted = row.incarnation != 0 && row.incarnation < load.incarnation;
        row.incarnation = load.incarnation;
        row.view.report(load, now);
        row.reports_leaving = load.leaving;
        if row.server.kind == backend::Kind::Engine {
            self.set_ready(index, ready_units(load));
        }
        if restarted { Restarted::Yes } else { Restarted::No }
    }

    /// Sets whether a server is given new requests.
    pub fn set_eligibility(&mut self, index: Index, eligibility: Eligibility) {
        self.rows[index as usize].eligibility = eligibility;
    }

    /// Whether a server is given new requests, as last set.
    pub fn eligibility(&self, index: Index) -> Eligibility {
        self.rows[index as usize].eligibility
    }

    /// Whether a server may be given a new request at `now`.
    pub fn takes_work(&self, index: Index, now: Moment) -> bool {
        let row = &self.rows[index as usize];
        match row.eligibility {
            _ if row.reports_leaving => false,
            Eligibility::Live => true,
            Eligibility::Suspected(until) => until <= now,
            Eligibility::Leaving | Eligibility::Gone => false,
        }
    }

    /// When a server that only suspicion excludes may be tried again; `None` for other servers.
    pub fn suspected_until(&self, index: Index) -> Option<Moment> {
        let row = &self.rows[index as usize];
        match row.eligibility {
            Eligibility::Suspected(until) if !row.reports_leaving => Some(until),
            _ => None,
        }
    }

    /// Sets the requests that another host has in flight, in place of its earlier report.
    pub fn set_peer_load(&mut self, peer: &host::Id, in_flight: &[(backend::Id, PeerLoad)]) {
        let known: Vec<(Index, PeerLoad)> = in_flight
            .iter()
            .filter_map(|(id, load)| self.index(id).map(|index| (index, *load)))
            .collect();
        self.forget_peer(peer);
        for (server, load) in &known {
            let view = &mut self.rows[*server as usize].view;
            view.set_peer_load(PeerLoad {
                requests: view.peer_load().requests.saturating_add(load.requests),
            });
        }
        self.peer_loads.insert(peer.clone(), known);
    }

    /// Forgets the requests of another host, as when the host is gone.
    pub fn forget_peer(&mut self, peer: &host::Id) {
        for (server, load) in self.peer_loads.remove(peer).unwrap_or_default() {
            let view = &mut self.rows[server as usize].view;
            view.set_peer_load(PeerLoad {
                requests: view.peer_load().requests.saturating_sub(load.requests),
            });
        }
    }

    /// Records a request that was sent to a server, with the number of prompt tokens to prefill.
    pub fn sent(&mut self, index: Index, tokens: u32, now: Moment) -> Sent {
        self.rows[index as usize].view.sent(tokens, now)
    }

    /// Records the end of a request that was sent to a server.
    pub fn ended(&mut self, index: Index, sent: Sent, now: Moment) {
        self.rows[index as usize].view.ended(sent, now);
    }

    /// Load of a server as this host sees it.
    pub fn view(&self, index: Index) -> &View {
        &self.rows[index as usize].view
    }

    /// Estimates the first-token time on a server for a request with this many prompt tokens to
    /// prefill.
    pub fn estimate(&self, index: Index, tokens: u32, now: Moment) -> Estimate {
        self.view(index).estimate(tokens, now)
    }

    /// One-way network time to a server's zone.
    pub fn distance(&self, index: Index) -> Duration {
        self.rows[index as usize].distance
    }

    /// Whether a server is in the host's own zone.
    pub fn is_in_own_zone(&self, index: Index) -> bool {
        self.rows[index as usize].server.zone == self.distances.own
    }

    fn set_ready(&mut self, index: Index, units: Vec<(Destination, model::Version)>) {
        for destination in std::mem::take(&mut self.rows[index as usize].ready) {
            self.replicas[destination as usize].retain(|replica| replica.server != index);
        }
        for (wanted, version) in units {
            let destination = self.destination(&wanted);
            let replicas = &mut self.replicas[destination as usize];
            let at = replicas.partition_point(|replica| replica.server <= index);
            replicas.insert(at, Replica { server: index, version });
            self.rows[index as usize].ready.push(destination);
        }
    }
}

/// Whether a report came from a new process of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restarted {
    /// Same process as before, or the first one seen.
    No,
    /// New process.
    Yes,
}

/// Returns the models and adapters that a report shows as ready; an adapter only with its model.
fn ready_units(load: &Load) -> Vec<(Destination, model::Version)> {
    let ready = || load.residents.iter().filter(|r| r.state == State::Ready).map(|r| &r.unit);
    let has_model = |id: &model::Id| {
        ready().any(|unit| matches!(unit, Unit::Model { model, .. } if model == id))
    };
    ready()
        .filter_map(|unit| match unit {
            Unit::Model { model, version } => {
                let name = model::Name { model: model.clone(), adapter: None };
                Some((Destination::Model(name), version.clone()))
            }
            Unit::Adapter { model, adapter, version } => has_model(model).then(|| {
                let name = model::Name { model: model.clone(), adapter: Some(adapter.clone()) };
                (Destination::Model(name), version.clone())
            }),
        })
        .collect()
}
