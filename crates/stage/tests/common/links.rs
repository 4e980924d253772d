//! Fault proxies on all connections of a site.
//!
//! The host list is the same for all hosts, so they share the proxy before a server and the one
//! before a host's peers listener. Each host has its own proxy to the platform and for its callers.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use standin::fault::Proxy;
use types::{backend, host::Host};

/// Fault proxies of a site, by what they connect.
pub struct Links {
    platform: Vec<Proxy>,
    callers: Vec<Proxy>,
    peers: Vec<Proxy>,
    servers: BTreeMap<backend::Id, Proxy>,
}

impl Links {
    /// Starts the proxies for a number of hosts and for the given servers.
    pub async fn start(
        hosts: usize,
        platform: SocketAddr,
        servers: Vec<(backend::Id, SocketAddr)>,
    ) -> Links {
        // The system assigns a host's ports at its start; `retarget` sets them then.
        let unassigned = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut links = Links {
            platform: Vec::new(),
            callers: Vec::new(),
            peers: Vec::new(),
            servers: BTreeMap::new(),
        };
        for _ in 0..hosts {
            links.platform.push(proxy(platform).await);
            links.callers.push(proxy(unassigned).await);
            links.peers.push(proxy(unassigned).await);
        }
        for (id, address) in servers {
            links.servers.insert(id, proxy(address).await);
        }
        links
    }

    /// Proxy from one host to the platform.
    pub fn platform(&self, host: usize) -> &Proxy {
        &self.platform[host]
    }

    /// Proxy from callers to one host.
    pub fn callers(&self, host: usize) -> &Proxy {
        &self.callers[host]
    }

    /// Proxy from other hosts to the peers listener of one host.
    pub fn peers(&self, host: usize) -> &Proxy {
        &self.peers[host]
    }

    /// Proxy from all hosts to one server; panics if the site has no such server.
    pub fn server(&self, id: &str) -> &Proxy {
        self.servers.get(id).expect("the site has this server")
    }

    /// Points the proxies before a host to its current listeners.
    pub fn retarget(&self, index: usize, host: &Host) {
        self.callers[index].retarget(host.callers);
        self.peers[index].retarget(host.peers);
    }
}

async fn proxy(target: SocketAddr) -> Proxy {
    Proxy::start(target).await.expect("the proxy starts")
}
