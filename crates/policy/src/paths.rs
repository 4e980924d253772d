//! Paths from this host to servers: direct connections, or connections through another host.
//!
//! A host that can't connect to a server asks other hosts to connect in its place. If one of them
//! can, the fault is in this host's own links, and the server is reached through other hosts until
//! a direct connection is established again. If none can, the server itself is at fault and stays
//! on the direct path, so that a server that is down, or a service that is down for all hosts, is
//! not taken for a partition.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use types::prelude::*;

use crate::{fleet::Member, member::rendezvous};

/// Number of other hosts that are asked for one connection.
const MAX_GATEWAYS: usize = 3;

/// Time for which a host that could not connect is asked after all others.
const FAILED_GATEWAY_PAUSE: Duration = Duration::from_secs(2);

/// Time for which no other host is asked for a server that none could connect to.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// Interval between direct connection attempts to a server that is reached through other hosts.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time over which hosts spread their direct connections to all servers after a partition.
const RETURN_SPREAD_MS: u64 = 200;

/// Minimum time between two checks of the path to a silent server.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Age up to which a direct response shows that a server is reached directly.
const DIRECT_RESPONSE_MAX_AGE: Duration = Duration::from_secs(1);

/// Minimum number of servers of a service that are reached through other hosts for a partition.
const MIN_RELAYED_SERVERS: usize = 2;

/// Number of connections through a host of the own zone that cost as much as another zone.
const OTHER_ZONE_COST: usize = 4;

/// How this host reaches a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By its own connections.
    Direct,
    /// By connections through another host.
    Relayed,
}

/// A change of the path to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server is reached through other hosts only.
    Lost,
    /// The server is reached directly again.
    Restored,
}

/// A server that is reached through other hosts.
#[derive(Clone, Debug)]
struct RelayedServer {
    service: service::Id,
    /// When a direct connection is attempted next.
    probe_at: Moment,
}

/// What this host knows of its paths to servers.
#[derive(Clone, Debug)]
pub struct Paths {
    host: host::Id,
    zone: availability::Id,
    /// Hosts that may connect to servers on behalf of this one.
    gateways: Vec<Member>,
    /// When each gateway last failed to connect.
    failed_gateways: BTreeMap<host::Id, Moment>,
    /// Open connections through each gateway.
    connections: BTreeMap<host::Id, usize>,
    /// Servers reached through other hosts.
    relayed: BTreeMap<backend::Id, RelayedServer>,
    /// When no other host could connect to a server either.
    unreachable: BTreeMap<backend::Id, Moment>,
    /// The service of each server that has responded on a direct connection, and when it last did.
    direct_responses: BTreeMap<backend::Id, (service::Id, Moment)>,
    /// When the path to each server was last checked.
    checks: BTreeMap<backend::Id, Moment>,
}

impl Paths {
    /// Creates the paths of a host that reaches all servers directly.
    pub fn new(host: host::Id, zone: availability::Id) -> Paths {
        Paths {
            host,
            zone,
            gateways: Vec::new(),
            failed_gateways: BTreeMap::new(),
            connections: BTreeMap::new(),
            relayed: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            direct_responses: BTreeMap::new(),
            checks: BTreeMap::new(),
        }
    }

    /// Replaces the hosts that may connect on behalf of this one.
    pub fn set_gateways(&mut self, gateways: Vec<Member>) {
        self.gateways = gateways;
    }

    /// Forgets servers that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&backend::Id) -> bool) {
        self.relayed.retain(|server, _| is_known(server));
        self.unreachable.retain(|server, _| is_known(server));
        self.direct_responses.retain(|server, _| is_known(server));
        self.checks.retain(|server, _| is_known(server));
    }

    /// How a server is reached now.
    pub fn path(&self, server: &backend::Id) -> Path {
        if self.relayed.contains_key(server) { Path::Relayed } else { Path::Direct }
    }

    /// Number of servers that are reached through other hosts.
    pub fn relayed(&self) -> usize {
        self.relayed.len()
    }

    /// Whether open connections through a host may be used for further requests.
    pub fn is_usable(&self, gateway: &host::Id) -> bool {
        self.gateways.iter().any(|known| known.id == *gateway)
    }

    /// Hosts to ask for a connection to a server, in this order; none shortly after none could
    /// connect to it.
    pub fn gateways(&self, server: &backend::Id, now: Moment) -> Vec<Member> {
        let is_unreachable =
            self.unreachable.get(server).is_some_and(|at| now < *at + UNREACHABLE_PAUSE);
        if is_unreachable {
            return Vec::new();
        }
        let mut ranked: Vec<&Member> = self.gateways.iter().collect();
        ranked.sort_by_cached_key(|gateway| self.rank(gateway, server, now));
        let mut chosen: Vec<&Member> = Vec::new();
        while chosen.len() < MAX_GATEWAYS && !ranked.is_empty() {
            // All hosts of a zone may be cut off together, so each is of another zone if possible.
            let is_new_zone = |gateway: &&Member| {
                !chosen.iter().any(|chosen: &&Member| chosen.zone == gateway.zone)
            };
            let next = ranked.iter().position(is_new_zone).unwrap_or(0);
            chosen.push(ranked.remove(next));
        }
        chosen.into_iter().cloned().collect()
    }

    /// Key by which gateways are sorted: hosts that failed lately come last, hosts with few
    /// connections of this host and those of its zone come first.
    fn rank(
        &self,
        gateway: &Member,
        server: &backend::Id,
        now: Moment,
    ) -> (Option<Moment>, usize, Reverse<u64>) {
        let failed_at = self.failed_gateways.get(&gateway.id);
        let failed_at = failed_at.copied().filter(|at| now < *at + FAILED_GATEWAY_PAUSE);
        let zone = if gateway.zone == self.zone { 0 } else { OTHER_ZONE_COST };
        let key = format!("{}/{server}", self.host);
        let score = rendezvous::score(key.as_bytes(), &gateway.id);
        (failed_at, self.connections(&gateway.id) + zone, Reverse(score))
    }

    /// Records that a host could not connect to a server that others can connect to, or did not
    /// answer.
    pub fn gateway_failed(&mut self, gateway: &host::Id, now: Moment) {
        self.failed_gateways.insert(gateway.clone(), now);
    }

    /// Records an open connection through a host.
    pub fn opened(&mut self, gateway: &host::Id) {
        *self.connections.entry(gateway.clone()).or_default() += 1;
    }

    /// Records the end of a connection through a host.
    pub fn closed(&mut self, gateway: &host::Id) {
        if let Some(connections) = self.connections.get_mut(gateway) {
            *connections = connections.saturating_sub(1);
            if *connections == 0 {
                self.connections.remove(gateway);
            }
        }
    }

    /// Number of open connections through a host.
    pub fn connections(&self, gateway: &host::Id) -> usize {
        self.connections.get(gateway).copied().unwrap_or_default()
    }

    /// Records that no other host could connect to a server.
    pub fn unreachable(&mut self, server: &backend::Id, now: Moment) {
        self.unreachable.insert(server.clone(), now);
    }

    /// Records that another host connected to a server that this host can't connect to.
    pub fn relay_connected(
        &mut self,
        server: &backend::Id,
        service: &service::Id,
        now: Moment,
    ) -> Option<Change> {
        self.unreachable.remove(server);
        if self.relayed.contains_key(server) {
            return None;
        }
        let relayed = RelayedServer { service: service.clone(), probe_at: now + PROBE_INTERVAL };
        self.relayed.insert(server.clone(), relayed);
        Some(Change::Lost)
    }

    /// Records a direct connection to a server.
    pub fn connected(
        &mut self,
        server: &backend::Id,
        service: &service::Id,
        now: Moment,
    ) -> Option<Change> {
        self.unreachable.remove(server);
        self.responded(server, service, now);
        self.relayed.remove(server)?;
        for (other, relayed) in &mut self.relayed {
            let delay = rendezvous::score(self.host.as_bytes(), other) % RETURN_SPREAD_MS;
            relayed.probe_at = relayed.probe_at.min(now + Duration::from_millis(delay));
        }
        Some(Change::Restored)
    }

    /// Records a response of a server on a direct connection.
    pub fn responded(&mut self, server: &backend::Id, service: &service::Id, now: Moment) {
        match self.direct_responses.get_mut(server) {
            Some((_, at)) => *at = now,
            None => {
                self.direct_responses.insert(server.clone(), (service.clone(), now));
            }
        }
    }

    /// Whether the path to a silent server is to be checked; if so, counts as checked now.
    pub fn start_check(&mut self, server: &backend::Id, now: Moment) -> bool {
        let is_due = self.checks.get(server).is_none_or(|at| *at + CHECK_INTERVAL <= now);
        let is_direct = self.path(server) == Path::Direct;
        if is_due && is_direct {
            self.checks.insert(server.clone(), now);
        }
        is_due && is_direct
    }

    /// Servers reached through other hosts to which a direct connection is to be attempted now.
    pub fn start_probes(&mut self, now: Moment) -> Vec<backend::Id> {
        let due = self.relayed.iter_mut().filter(|(_, relayed)| relayed.probe_at <= now);
        due.map(|(server, relayed)| {
            relayed.probe_at = now + PROBE_INTERVAL;
            server.clone()
        })
        .collect()
    }

    /// Whether this host is partitioned from most servers of a service while other hosts reach them.
    pub fn is_partitioned(&self, service: &service::Id, now: Moment) -> bool {
        let relayed = self.relayed.values().filter(|relayed| relayed.service == *service).count();
        if relayed < MIN_RELAYED_SERVERS {
            return false;
        }
        let is_direct = |(server, (of, at)): &(&backend::Id, &(service::Id, Moment))| {
            of == service
                && now < *at + DIRECT_RESPONSE_MAX_AGE
                && !self.relayed.contains_key(*server)
        };
        self.direct_responses.iter().filter(is_direct).count() < relayed
    }

    /// Services from most of whose servers this host is partitioned.
    pub fn partitioned(&self, now: Moment) -> BTreeSet<service::Id> {
        let services: BTreeSet<&service::Id> =
            self.relayed.values().map(|relayed| &relayed.service).collect();
        let partitioned = services.into_iter().filter(|service| self.is_partitioned(service, now));
        partitioned.cloned().collect()
    }
}
