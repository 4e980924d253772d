//! Connections to servers, directly or through another host.
//!
//! A direct connection is preferred. If it is refused, or is not established for a while, other
//! hosts are asked to connect ([`policy::paths`]); the exchange's tunnels carry such connections.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    io,
    sync::{Arc, Weak},
    time::Duration,
};

use exchange::{Exchange, Refusal, TunnelError, fleet::Member};
use futures_util::{StreamExt, stream::FuturesUnordered};
use observe::story::{Belief, DependencyState, PathState, Text};
use policy::paths::{Change, Path};
use tokio::{
    net::TcpStream,
    select,
    time::{sleep, timeout},
};
use types::{prelude::*, routed::Server};

use crate::{
    connect::{self, Connection},
    host::Shared,
    prefer::prefer_direct,
    run::STALL_THRESHOLD,
};

/// Time after which a further host is asked to connect while the one before has not answered.
const GATEWAY_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Time limit for a connection through another host.
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for a connection on behalf of another host, and for a direct connection to a server
/// that is reached through other hosts.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between checks for silent servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which a partition lasts before this host leaves the lease on orders to others.
const YIELD_DELAY: Duration = Duration::from_millis(500);

/// The host through which a connection leads, which counts it while it is open.
#[derive(Debug)]
pub(crate) struct Relayed {
    gateway: host::Id,
    shared: Weak<Shared>,
}

impl Relayed {
    fn new(shared: &Arc<Shared>, gateway: host::Id) -> Relayed {
        shared.paths().opened(&gateway);
        Relayed { gateway, shared: Arc::downgrade(shared) }
    }

    pub(crate) fn gateway(&self) -> &host::Id {
        &self.gateway
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if let Some(shared) = self.shared.upgrade() {
            shared.paths().closed(&self.gateway);
        }
    }
}

/// Opens a connection to a server.
///
/// # Errors
///
/// Neither this host nor another one can connect in time; the error is that of this host.
pub(crate) async fn open(shared: &Arc<Shared>, server: &Server) -> io::Result<Connection> {
    if shared.prefers_others(server)
        && let Some(connection) = open_through_other(shared, server).await
    {
        return Ok(connection);
    }
    prefer_direct(open_direct(shared, server), open_through_other(shared, server)).await
}

/// Opens a direct connection to a server.
///
/// # Errors
///
/// The connection is refused or not established in time.
async fn open_direct(shared: &Shared, server: &Server) -> io::Result<Connection> {
    connect::open(server.address).await.inspect(|_| shared.connected_directly(server))
}

/// Opens a connection to a server through another host, if one can connect to it.
async fn open_through_other(shared: &Arc<Shared>, server: &Server) -> Option<Connection> {
    let exchange = shared.exchange()?;
    let now = shared.now();
    let mut gateways = shared.paths().gateways(&server.id, now).into_iter();
    let mut attempts = FuturesUnordered::new();
    attempts.push(tunnel(&exchange, gateways.next()?, &server.id));
    let mut unable = Vec::new();
    loop {
        let ended = select! {
            ended = attempts.next() => ended,
            () = sleep(GATEWAY_HEDGE_DELAY), if gateways.len() != 0 => {
                attempts.extend(gateways.next().map(|next| tunnel(&exchange, next, &server.id)));
                continue;
            }
        };
        match ended {
            Some((gateway, Ok(stream))) => {
                // A host that can't connect to a server to which others can is cut off itself.
                let now = shared.now();
                unable.iter().for_each(|unable| shared.paths().gateway_failed(unable, now));
                let relayed = Box::new(Relayed::new(shared, gateway));
                let connection = connect::drive(stream, Some(relayed)).await.ok()?;
                shared.connected_through_other(server, &connection);
                return Some(connection);
            }
            Some((gateway, Err(Refusal::Unreachable))) => unable.push(gateway),
            Some((gateway, Err(Refusal::Declined | Refusal::Forbidden))) => {
                shared.paths().gateway_failed(&gateway, shared.now());
            }
            None => {}
        }
        if attempts.is_empty() {
            let Some(next) = gateways.next() else { break };
            attempts.push(tunnel(&exchange, next, &server.id));
        }
    }
    shared.paths().unreachable(&server.id, shared.now());
    None
}

async fn tunnel(
    exchange: &Exchange,
    gateway: Member,
    server: &backend::Id,
) -> (host::Id, Result<TcpStream, Refusal>) {
    let opened = timeout(GATEWAY_TIMEOUT, exchange.tunnel(gateway.address, server)).await;
    let stream = match opened {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(TunnelError::Refused { refusal, .. })) => Err(refusal),
        Ok(Err(TunnelError::Connection { .. })) | Err(_) => Err(Refusal::Declined),
    };
    (gateway.id, stream)
}

/// Connects to a server on behalf of another host.
///
/// # Errors
///
/// This host is stopping, doesn't know the server, or can't connect to it.
pub(crate) async fn dial(shared: &Shared, server: &backend::Id) -> Result<TcpStream, Refusal> {
    let server = shared.server(server).ok_or(Refusal::Declined)?;
    if shared.is_leaving() || shared.prefers_others(&server) {
        return Err(Refusal::Declined);
    }
    match timeout(DIAL_TIMEOUT, connect::connect(server.address)).await {
        Ok(Ok(stream)) => {
            shared.connected_directly(&server);
            Ok(stream)
        }
        Ok(Err(_)) | Err(_) => Err(Refusal::Unreachable),
    }
}

/// Checks paths to silent servers and returns to direct connections, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut partitions = BTreeMap::new();
    loop {
        let due = shared.now() + CHECK_INTERVAL;
        sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        // The pump may not have run yet since this host went on.
        if due + STALL_THRESHOLD <= now {
            shared.dispatcher().resumed(now);
        }
        let silent = shared.dispatcher().silent_servers(now);
        let silent = silent.iter().filter_map(|id| shared.server(id));
        silent.for_each(|server| check_path(&shared, &server));
        let probes = shared.paths().start_probes(now);
        for server in probes.iter().filter_map(|id| shared.server(id)) {
            tokio::spawn(probe(shared.clone(), server));
        }
        update_partitions(&shared, &mut partitions, now);
    }
}

/// Checks the path to a server that does not respond, unless that was done shortly before.
pub(crate) fn check_path(shared: &Arc<Shared>, server: &Arc<Server>) {
    if shared.paths().start_check(&server.id, shared.now()) {
        tokio::spawn(check(shared.clone(), server.clone()));
    }
}

/// Opens a connection to a silent server, which shows whether its path is sound.
async fn check(shared: Arc<Shared>, server: Arc<Server>) {
    if let Ok(connection) = open(&shared, &server).await {
        shared.pool.put(shared.now(), &server.id, server.address, connection, None);
    }
}

/// Attempts a direct connection to a server that is reached through other hosts.
async fn probe(shared: Arc<Shared>, server: Arc<Server>) {
    if let Ok(Ok(connection)) = timeout(DIAL_TIMEOUT, open_direct(&shared, &server)).await {
        shared.pool.put(shared.now(), &server.id, server.address, connection, None);
    }
}

/// Logs the start and the end of partitions from services, and leaves the lease on orders to others
/// while this host is partitioned from model servers.
fn update_partitions(shared: &Shared, partitions: &mut BTreeMap<service::Id, Moment>, now: Moment) {
    let services = shared.paths().partitioned(now);
    partitions.retain(|service, _| {
        let lasts = services.contains(service);
        if !lasts {
            report_partition(shared, service, DependencyState::Regained);
        }
        lasts
    });
    for service in services {
        if let Entry::Vacant(entry) = partitions.entry(service) {
            report_partition(shared, entry.key(), DependencyState::Lost);
            shared.remove_direct_connections(entry.key());
            entry.insert(now);
        }
    }
    let lasts = |(_, since): &(&service::Id, &Moment)| **since + YIELD_DELAY <= now;
    let mut lasting = partitions.iter().filter(lasts);
    let is_yielding = lasting.any(|(service, _)| shared.runs_models(service));
    shared.term().set_yielding(is_yielding);
}

fn report_partition(shared: &Shared, service: &service::Id, state: DependencyState) {
    let why = match state {
        DependencyState::Lost => "most of them are reached through other hosts only",
        DependencyState::Regained => "most of them are reached directly",
    };
    let name = Text::Owned(format!("servers of {service}"));
    shared.logger.belief(Belief::Dependency { name, state, why: Text::Borrowed(why) });
}

impl Shared {
    /// Records a direct connection to a server.
    pub(crate) fn connected_directly(&self, server: &Server) {
        let change = self.paths().connected(&server.id, &server.service, self.now());
        if change == Some(Change::Restored) {
            self.dispatcher().path_restored(&server.id);
            self.report_path(server, PathState::Direct, None);
        }
    }

    fn connected_through_other(&self, server: &Server, connection: &Connection) {
        let change = self.paths().relay_connected(&server.id, &server.service, self.now());
        if change == Some(Change::Lost) {
            self.pool.remove_direct(|id| *id == server.id);
            self.dispatcher().path_lost(&server.id);
            self.report_path(server, PathState::Relayed, connection.gateway().cloned());
        }
    }

    /// Whether a connection to a server is attempted through other hosts first.
    fn prefers_others(&self, server: &Server) -> bool {
        let paths = self.paths();
        paths.path(&server.id) == Path::Relayed || paths.is_partitioned(&server.service, self.now())
    }

    /// Closes the idle direct connections to all servers of a service.
    fn remove_direct_connections(&self, service: &service::Id) {
        let servers: BTreeSet<backend::Id> = {
            let directory = self.directory();
            let of_service = directory.servers().filter(|server| server.service == *service);
            of_service.map(|server| server.id.clone()).collect()
        };
        self.pool.remove_direct(|id| servers.contains(id));
    }

    fn report_path(&self, server: &Server, state: PathState, via: Option<host::Id>) {
        self.logger.belief(Belief::Path { server: server.id.clone(), state, via });
        self.dispatch_wakeup.notify_one();
    }
}
