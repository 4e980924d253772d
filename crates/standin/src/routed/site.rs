//! A site: a store, servers that register themselves in it, and real hosts.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use platform::remote::{entry, store as remote};
use relay::edge::Kind;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::AbortHandle;
use types::{prelude::*, routed::Declaration};

use super::{
    host::Host,
    links::Links,
    network::Network,
    server::{Script, Server, Settings},
    store::Store,
    until,
};

/// Zones of the sample sites.
pub const ZONES: [&str; 4] = ["mobile-hall", "biloxi-hall", "gulfport-hall", "pensacola-hall"];

/// Name of the declaration's object.
const DECLARATION: &str = "main";

/// The store and the servers of a site.
#[derive(Debug)]
pub struct Backend {
    /// The store.
    pub store: Store,
    /// The servers.
    pub servers: Vec<Server>,
    registering: Vec<AbortHandle>,
}

impl Backend {
    /// Starts servers that register themselves in a new store.
    ///
    /// # Errors
    ///
    /// If a port can't be bound.
    pub async fn start(servers: Vec<Settings>) -> io::Result<Backend> {
        let mut backend =
            Backend { store: Store::new(), servers: Vec::new(), registering: Vec::new() };
        for settings in servers {
            backend.add(settings).await?;
        }
        Ok(backend)
    }

    /// Starts another server.
    ///
    /// # Errors
    ///
    /// If its port can't be bound.
    pub async fn add(&mut self, settings: Settings) -> io::Result<&Server> {
        let address = SocketAddr::new(self.store.network().servers(), 0);
        self.add_at(address, settings).await
    }

    /// Starts another server at an address.
    ///
    /// # Errors
    ///
    /// If its address can't be bound.
    pub async fn add_at(&mut self, address: SocketAddr, settings: Settings) -> io::Result<&Server> {
        let server = Server::start_at(address, settings).await?;
        self.registering.push(register(&self.store, &server));
        self.servers.push(server);
        Ok(&self.servers[self.servers.len() - 1])
    }

    /// Ends a server, and starts it again under its name and at its address.
    ///
    /// # Errors
    ///
    /// If its address can't be bound.
    pub async fn restart(&mut self, settings: Settings) -> io::Result<&Server> {
        let address = self.server(&settings.id).address();
        self.stop_registering(&settings.id);
        self.server(&settings.id).kill();
        self.add_at(address, settings).await
    }

    /// Writes a declaration as the operator does.
    pub fn declare(&self, declaration: &Declaration) {
        let content = entry::declaration(declaration);
        self.store.put(&remote::kind(Kind::Declaration), DECLARATION, content);
    }

    /// A server's last run.
    ///
    /// # Panics
    ///
    /// If there is none of that id.
    pub fn server(&self, id: &str) -> &Server {
        let found = self.servers.iter().rfind(|server| **server.id() == *id);
        found.unwrap_or_else(|| panic!("no server {id}"))
    }

    /// Changes the scripts of all servers.
    pub fn script(&self, change: impl Fn(&mut Script)) {
        self.servers.iter().for_each(|server| server.script(&change));
    }

    /// Writes a registration, whoever says it.
    pub fn put(&self, server: &types::routed::Server) {
        put(&self.store, server);
    }

    /// Lets a server's registration be as it is for good.
    pub fn stop_registering(&self, id: &str) {
        let place = self.servers.iter().rposition(|server| **server.id() == *id);
        if let Some(place) = place {
            self.registering[place].abort();
        }
    }

    /// Takes a server's registration away for good.
    pub fn deregister(&mut self, id: &str) {
        self.stop_registering(id);
        self.store.remove(&remote::kind(Kind::Server), id);
    }

    /// How often a request ran, over all servers.
    pub fn runs_of(&self, id: &str) -> usize {
        self.servers.iter().map(|server| server.runs_of(id)).sum()
    }

    /// Runs so far, over all servers.
    pub fn runs(&self) -> usize {
        self.servers.iter().map(|server| server.runs().len()).sum()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.registering.iter().for_each(AbortHandle::abort);
    }
}

fn put(store: &Store, server: &types::routed::Server) {
    store.put(&remote::kind(Kind::Server), &server.name, entry::server(server));
}

/// Keeps a server's registration as the server says it.
fn register(store: &Store, server: &Server) -> AbortHandle {
    let (store, mut says) = (store.clone(), server.registration());
    put(&store, &says.borrow_and_update());
    let registering = tokio::spawn(async move {
        while says.changed().await.is_ok() {
            put(&store, &says.borrow_and_update());
        }
    });
    registering.abort_handle()
}

/// A site with real hosts.
#[derive(Debug)]
pub struct Site {
    /// The store and the servers.
    pub backend: Backend,
    /// The hosts.
    pub hosts: Vec<Host>,
    program: PathBuf,
    folder: PathBuf,
    /// Removes the folder when dropped, if it is the site's own.
    own: Option<TempDir>,
    runs: usize,
    /// The links between the hosts, if they pass through relays.
    links: Option<Links>,
}

impl Site {
    /// A site that has no hosts yet.
    ///
    /// # Errors
    ///
    /// If a folder for settings and logs can't be made.
    pub fn new(program: &Path, backend: Backend) -> io::Result<Site> {
        let own = TempDir::new()?;
        let mut site = Site::in_folder(program, backend, own.path());
        site.own = Some(own);
        Ok(site)
    }

    /// A site that has no hosts yet, and keeps its settings and logs in a folder.
    pub fn in_folder(program: &Path, backend: Backend, folder: &Path) -> Site {
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Site { backend, hosts: Vec::new(), program, folder, own: None, runs: 0, links: None }
    }

    /// Lets the links between hosts that are added from now on pass through relays.
    pub fn relay_links(&mut self) {
        let network = self.backend.store.network();
        self.links.get_or_insert_with(|| Links::new(network));
    }

    /// The links between the hosts.
    ///
    /// # Panics
    ///
    /// If they don't pass through relays.
    pub fn links(&self) -> &Links {
        self.links.as_ref().expect("links through relays")
    }

    /// Starts another host, with a door of its own at the store and settings as `change` leaves
    /// them.
    ///
    /// # Errors
    ///
    /// If its door or its process can't start.
    pub async fn add(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<&Host> {
        let place = self.hosts.len();
        let name = format!("host-{place}");
        let door = match self.backend.store.address(&name) {
            Some(door) => door,
            None => self.backend.store.open(&name).await?,
        };
        let mut peers: Vec<SocketAddr> = self.hosts.iter().filter_map(Host::peers).collect();
        let mut advertised = None;
        if let Some(links) = &mut self.links {
            peers = links.addresses();
            advertised = Some(links.open().await?);
        }
        let mut settings = settings(&name, place, door, &peers);
        settings["peers_advertised"] = json!(advertised);
        change(&mut settings);
        let host = self.start(settings).await?;
        self.hosts.push(host);
        self.link(place);
        Ok(&self.hosts[place])
    }

    /// Starts a host that has ended once more, with the settings of its last start.
    ///
    /// # Errors
    ///
    /// If its settings can't be read or its process can't start.
    pub async fn restart(&mut self, place: usize) -> io::Result<&Host> {
        let text = std::fs::read_to_string(self.hosts[place].settings())?;
        let mut settings: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
        // Each start has a log of its own.
        if !settings["log"]["file"].is_null() {
            settings["log"] = Value::Null;
        }
        self.hosts[place] = self.start(settings).await?;
        self.link(place);
        Ok(&self.hosts[place])
    }

    /// Tells a host's relay where it listens.
    fn link(&self, place: usize) {
        if let (Some(links), Some(listens)) = (&self.links, self.hosts[place].peers()) {
            links.set_target(place, listens);
        }
    }

    async fn start(&mut self, settings: Value) -> io::Result<Host> {
        self.runs += 1;
        Host::start(&self.program, &self.folder, self.runs, settings).await
    }

    /// Waits until all hosts have seen what the store holds now.
    ///
    /// A mark of its own is written among the servers; a watch that has seen it is followed by
    /// another one from there on.
    pub async fn wait_until_observed(&self) {
        let store = &self.backend.store;
        for kind in [declaration_kind(), server_kind()] {
            let mark = json!({"mark": store.revision()});
            let revision = store.put(&kind, "mark", mark);
            for host in &self.hosts {
                let seen = async || store.watched_from(&host.name, &kind) >= Some(revision);
                until("the host has seen the store", seen).await;
            }
        }
    }

    /// Waits until all hosts are ready.
    pub async fn wait_until_ready(&self) {
        for host in &self.hosts {
            host.wait_until_ready().await;
        }
    }
}

/// Settings of a host whose ports the system picks.
pub fn settings(name: &str, place: usize, store: SocketAddr, peers: &[SocketAddr]) -> Value {
    let zone: availability::Id = ZONES[place % ZONES.len()].into();
    let any = SocketAddr::new(Network::of(store.ip()).host(place), 0);
    json!({
        "host": {"id": name, "zone": zone, "callers": any, "peers": any, "operators": any},
        "platform": store,
        "peers": peers,
        "routed": {
            "dialect": "platform",
            "apply_ms": 2000, "drain_ms": 2000, "grace_s": 8, "turn_ms": 3000,
            "retry": {"ratio": 0.2, "extra": 52, "window_s": 10},
        },
    })
}

/// The kind of the servers' entries.
pub fn server_kind() -> remote::KindId {
    remote::kind(Kind::Server)
}

/// The kind of the declaration.
pub fn declaration_kind() -> remote::KindId {
    remote::kind(Kind::Declaration)
}

/// The kind of leases.
pub fn lease_kind() -> remote::KindId {
    remote::kind(Kind::Lease)
}
