//! A fault proxy on every link of a site.
//!
//! The host list is one for all, so a link to a server or to a host's peers listener is shared by
//! all hosts that use it; the link to the platform and the one from callers are each host's own.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use standin::fault::Proxy;
use types::{backend, host::Host};

/// The proxies of a site.
pub struct Links {
    platform: Vec<Proxy>,
    callers: Vec<Proxy>,
    peers: Vec<Proxy>,
    servers: BTreeMap<backend::Id, Proxy>,
}

impl Links {
    /// Starts the links of so many hosts and of these servers.
    pub async fn start(
        hosts: usize,
        platform: SocketAddr,
        servers: Vec<(backend::Id, SocketAddr)>,
    ) -> Links {
        // Hosts pick their ports when they start; until then their links lead nowhere.
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

    /// From one host to the platform.
    pub fn platform(&self, host: usize) -> &Proxy {
        &self.platform[host]
    }

    /// From callers to one host.
    pub fn callers(&self, host: usize) -> &Proxy {
        &self.callers[host]
    }

    /// From other hosts to one host.
    pub fn peers(&self, host: usize) -> &Proxy {
        &self.peers[host]
    }

    /// From all hosts to one server.
    pub fn server(&self, id: &str) -> &Proxy {
        self.servers.get(id).expect("a server of the site")
    }

    /// Leads a host's links to where it listens now.
    pub fn retarget(&self, index: usize, host: &Host) {
        self.callers[index].retarget(host.callers);
        self.peers[index].retarget(host.peers);
    }
}

async fn proxy(target: SocketAddr) -> Proxy {
    Proxy::start(target).await.expect("a proxy")
}
