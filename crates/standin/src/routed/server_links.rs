//! Links between hosts and servers that can be cut: a loopback proxy for each pair.
//!
//! The store shows each host the addresses of its own proxies in place of the servers' addresses,
//! so that a host can be cut off from all servers while the store, callers and other hosts still
//! reach it.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use serde::Serialize;

use super::{lock, network::Network};
use crate::fault::{Fault, NewConnections, Proxy};

/// How the links of a host fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Cut {
    /// Open connections carry nothing, and new ones are not established.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refuse,
}

impl Cut {
    /// All ways in which links fail.
    pub const ALL: [Cut; 3] = [Cut::Hang, Cut::Reset, Cut::Refuse];

    fn apply(self, proxy: &Proxy) {
        match self {
            Cut::Hang => {
                proxy.set_new_connections(NewConnections::Ignore);
                proxy.set_both(Fault::Partition);
            }
            Cut::Reset => {
                proxy.set_new_connections(NewConnections::Refuse);
                proxy.reset_connections();
            }
            Cut::Refuse => proxy.set_new_connections(NewConnections::Refuse),
        }
    }
}

/// The links of a site's hosts to its servers. A host is identified by its index. Clones share the
/// links.
#[derive(Clone, Debug)]
pub struct ServerLinks {
    network: Network,
    hosts: usize,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    proxies: BTreeMap<(usize, SocketAddr), Proxy>,
    cuts: BTreeMap<usize, Cut>,
}

impl ServerLinks {
    /// Links of this many hosts, to no server yet.
    pub fn new(network: Network, hosts: usize) -> ServerLinks {
        ServerLinks { network, hosts, shared: Arc::default() }
    }

    /// Opens a link from each host to a server, and returns the addresses at which the hosts reach
    /// the server, by host.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn open(&self, server: SocketAddr) -> io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for host in 0..self.hosts {
            let proxy = Proxy::start_at(self.network.servers(), server).await?;
            addresses.push(proxy.address());
            let mut shared = lock(&self.shared);
            shared.cuts.get(&host).into_iter().for_each(|cut| cut.apply(&proxy));
            shared.proxies.insert((host, server), proxy);
        }
        Ok(addresses)
    }

    /// Closes the links to a server, so that connections to it are refused.
    pub fn close(&self, server: SocketAddr) {
        lock(&self.shared).proxies.retain(|(_, other), _| *other != server);
    }

    /// Cuts a host off from all servers.
    pub fn cut(&self, host: usize, cut: Cut) {
        let mut shared = lock(&self.shared);
        shared.cuts.insert(host, cut);
        shared.of(host).for_each(|proxy| cut.apply(proxy));
    }

    /// Makes a server silent to all hosts: connections stay open and carry nothing until
    /// [`ServerLinks::resume`].
    pub fn pause(&self, server: SocketAddr) {
        lock(&self.shared).uncut_to(server).for_each(|proxy| proxy.set_both(Fault::Hold));
    }

    /// Ends the silence of a server.
    pub fn resume(&self, server: SocketAddr) {
        lock(&self.shared).uncut_to(server).for_each(|proxy| proxy.set_both(Fault::Pass));
    }

    /// Restores a host's links to all servers.
    pub fn heal(&self, host: usize) {
        let mut shared = lock(&self.shared);
        shared.cuts.remove(&host);
        shared.of(host).for_each(Proxy::heal);
    }
}

impl Shared {
    /// The links to a server of all hosts that are not cut off.
    fn uncut_to(&self, server: SocketAddr) -> impl Iterator<Item = &Proxy> {
        let is_uncut = move |(host, other): &(usize, SocketAddr)| {
            *other == server && !self.cuts.contains_key(host)
        };
        let links = self.proxies.iter().filter(move |(link, _)| is_uncut(link));
        links.map(|(_, proxy)| proxy)
    }

    fn of(&self, host: usize) -> impl Iterator<Item = &Proxy> {
        let of_host = self.proxies.iter().filter(move |((other, _), _)| *other == host);
        of_host.map(|(_, proxy)| proxy)
    }
}
