//! Sites for tests: a store, servers that are registered in it, and real host processes.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use platform::remote::{entry, store as remote};
use relay::edge::ObjectKind;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::AbortHandle;
use types::{prelude::*, routed::Declaration};

use super::{
    host::Host,
    links::Links,
    network::Network,
    server::{Script, Server, Settings},
    server_links::ServerLinks,
    store::Store,
    until,
};

/// Availability zones, assigned to hosts in turn; the first is that of all servers unless set
/// otherwise.
pub const ZONES: [&str; 4] = ["mobile-hall", "biloxi-hall", "gulfport-hall", "pensacola-hall"];

/// Name of the object in the store that holds the declaration.
const DECLARATION: &str = "main";

/// The store and the servers of a site; the servers' registrations are kept up to date in the
/// store.
#[derive(Debug)]
pub struct Backend {
    /// The store in which the servers are registered.
    pub store: Store,
    /// Every server started, in that order, also those that have ended; a restarted one is there
    /// more than once.
    pub servers: Vec<Server>,
    registering: Vec<AbortHandle>,
    /// Links between hosts and servers; `None` if hosts connect directly.
    server_links: Option<ServerLinks>,
}

impl Backend {
    /// Starts servers and registers them in a new store.
    ///
    /// # Errors
    ///
    /// If a port can't be bound.
    pub async fn start(servers: Vec<Settings>) -> io::Result<Backend> {
        let mut backend = Backend {
            store: Store::new(),
            servers: Vec::new(),
            registering: Vec::new(),
            server_links: None,
        };
        for settings in servers {
            backend.add(settings).await?;
        }
        Ok(backend)
    }

    /// Puts a proxy between each of this many hosts and each server that is started from now on.
    pub fn link_servers(&mut self, hosts: usize) {
        let links = ServerLinks::new(self.store.network(), hosts);
        self.server_links = Some(links);
    }

    /// The links between hosts and servers.
    ///
    /// # Panics
    ///
    /// If [`Backend::link_servers`] wasn't called.
    pub fn server_links(&self) -> &ServerLinks {
        self.server_links.as_ref().expect("`Backend::link_servers` was called")
    }

    /// Starts and registers another server, at a port that the operating system picks.
    ///
    /// # Errors
    ///
    /// If its port can't be bound.
    pub async fn add(&mut self, settings: Settings) -> io::Result<&Server> {
        self.add_with_script(settings, |_| ()).await
    }

    /// Starts another server as [`Backend::add`] does, and registers it once its script is changed.
    ///
    /// # Errors
    ///
    /// If its port can't be bound.
    pub async fn add_with_script(
        &mut self,
        settings: Settings,
        change: impl FnOnce(&mut Script),
    ) -> io::Result<&Server> {
        let address = SocketAddr::new(self.store.network().servers(), 0);
        let server = Server::start_at(address, settings).await?;
        server.script(change);
        self.register(server).await
    }

    /// Starts and registers another server at `address`.
    ///
    /// # Errors
    ///
    /// If its address can't be bound.
    pub async fn add_at(&mut self, address: SocketAddr, settings: Settings) -> io::Result<&Server> {
        let server = Server::start_at(address, settings).await?;
        self.register(server).await
    }

    async fn register(&mut self, server: Server) -> io::Result<&Server> {
        if let Some(links) = &self.server_links {
            tokio::spawn(close_links_after_crash(links.clone(), &server));
            for (host, address) in links.open(server.address()).await?.into_iter().enumerate() {
                self.store.set_server_address(&host_name(host), server.address(), address);
            }
        }
        self.registering.push(register(&self.store, &server));
        self.servers.push(server);
        Ok(&self.servers[self.servers.len() - 1])
    }

    /// Kills the server with the id of `settings`, and starts it with these settings at its old
    /// address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    ///
    /// # Panics
    ///
    /// If there is no such server.
    pub async fn restart(&mut self, settings: Settings) -> io::Result<&Server> {
        let address = self.server(&settings.id).address();
        self.stop_registering(&settings.id);
        self.server(&settings.id).kill();
        self.add_at(address, settings).await
    }

    /// Writes `declaration` to the store, as an operator would, in place of the previous one.
    pub fn declare(&self, declaration: &Declaration) {
        let content = entry::declaration(declaration);
        self.store.put(&remote::kind(ObjectKind::Declaration), DECLARATION, content);
    }

    /// Writes a declaration with customers into the store.
    pub fn declare_tenants(&self, declaration: &Declaration, tenants: &[entry::Tenant]) {
        let content = entry::declaration_with_tenants(declaration, tenants);
        self.store.put(&remote::kind(ObjectKind::Declaration), DECLARATION, content);
    }

    /// The server with this id; after a restart the last one started.
    ///
    /// # Panics
    ///
    /// If no server with this id was started.
    pub fn server(&self, id: &str) -> &Server {
        let found = self.servers.iter().rfind(|server| **server.id() == *id);
        found.unwrap_or_else(|| panic!("no server with id {id}"))
    }

    /// Changes the script of every server.
    pub fn script(&self, change: impl Fn(&mut Script)) {
        self.servers.iter().for_each(|server| server.script(&change));
    }

    /// Writes a registration to the store as it is; the server needn't exist.
    pub fn put(&self, server: &types::routed::Server) {
        put(&self.store, server);
    }

    /// Stops updating a server's registration; the entry in the store stays.
    pub fn stop_registering(&self, id: &str) {
        let index = self.servers.iter().rposition(|server| **server.id() == *id);
        if let Some(index) = index {
            self.registering[index].abort();
        }
    }

    /// Stops updating a server's registration, and removes the entry from the store.
    pub fn deregister(&mut self, id: &str) {
        self.stop_registering(id);
        self.store.remove(&remote::kind(ObjectKind::Server), id);
    }

    /// How often the request with this id ran, over all servers.
    pub fn runs_of(&self, id: &str) -> usize {
        self.servers.iter().map(|server| server.runs_of(id)).sum()
    }

    /// How many requests ran so far, over all servers; one that ran twice counts twice.
    pub fn runs(&self) -> usize {
        self.servers.iter().map(|server| server.runs().len()).sum()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.registering.iter().for_each(AbortHandle::abort);
    }
}

/// Waits until a server has crashed, and closes the links to it, as its machine refuses connections
/// then.
fn close_links_after_crash(
    links: ServerLinks,
    server: &Server,
) -> impl Future<Output = ()> + use<> {
    let (address, mut crash) = (server.address(), server.watch_crash());
    async move {
        if crash.wait_for(Option::is_some).await.is_ok() {
            links.close(address);
        }
    }
}

fn put(store: &Store, server: &types::routed::Server) {
    store.put(&remote::kind(ObjectKind::Server), &server.name, entry::server(server));
}

/// Writes a server's registration to the store, now and whenever it changes.
fn register(store: &Store, server: &Server) -> AbortHandle {
    let (store, mut registration) = (store.clone(), server.registration());
    put(&store, &registration.borrow_and_update());
    let registering = tokio::spawn(async move {
        while registration.changed().await.is_ok() {
            put(&store, &registration.borrow_and_update());
        }
    });
    registering.abort_handle()
}

/// A [`Backend`] and the real host processes in front of it.
#[derive(Debug)]
pub struct Site {
    /// The store and the servers that the hosts use.
    pub backend: Backend,
    /// The hosts by index; a restarted host takes the place of its earlier process.
    pub hosts: Vec<Host>,
    program: PathBuf,
    folder: PathBuf,
    /// Removes `folder` when dropped, if the site created it.
    temp_dir: Option<TempDir>,
    /// Host processes started so far, which numbers their files.
    starts: usize,
    /// Relays between the hosts; `None` if hosts connect directly.
    links: Option<Links>,
}

impl Site {
    /// A site without hosts, whose settings and logs are in a temporary folder; `program` is the
    /// host's executable.
    ///
    /// # Errors
    ///
    /// If the folder can't be created.
    pub fn new(program: &Path, backend: Backend) -> io::Result<Site> {
        let temp_dir = TempDir::new()?;
        let mut site = Site::in_folder(program, backend, temp_dir.path());
        site.temp_dir = Some(temp_dir);
        Ok(site)
    }

    /// A site without hosts, whose settings and logs stay in `folder`.
    pub fn in_folder(program: &Path, backend: Backend, folder: &Path) -> Site {
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Site { backend, hosts: Vec::new(), program, folder, temp_dir: None, starts: 0, links: None }
    }

    /// Puts a relay before each host that is added from now on; call it before the first one.
    pub fn relay_links(&mut self) {
        let network = self.backend.store.network();
        self.links.get_or_insert_with(|| Links::new(network));
    }

    /// The relays between the hosts.
    ///
    /// # Panics
    ///
    /// If [`Site::relay_links`] wasn't called.
    pub fn links(&self) -> &Links {
        self.links.as_ref().expect("`Site::relay_links` was called")
    }

    /// Starts another host, named `host-` and its index, with an endpoint of its own at the store.
    /// `change` may edit the settings before the start.
    ///
    /// # Errors
    ///
    /// If the endpoint can't be opened or the process can't be started.
    pub async fn add(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<&Host> {
        let index = self.hosts.len();
        let name = host_name(index);
        let endpoint = match self.backend.store.address(&name) {
            Some(endpoint) => endpoint,
            None => self.backend.store.open(&name).await?,
        };
        let mut peers: Vec<SocketAddr> = self.hosts.iter().filter_map(Host::peers).collect();
        let mut advertised = None;
        if let Some(links) = &mut self.links {
            peers = links.addresses();
            advertised = Some(links.open().await?);
        }
        let mut settings = settings(&name, index, endpoint, &peers);
        settings["peers_advertised"] = json!(advertised);
        change(&mut settings);
        let host = self.start(settings).await?;
        self.hosts.push(host);
        self.connect_relay(index);
        Ok(&self.hosts[index])
    }

    /// Starts a host again with the settings of its last start; an earlier process that still runs
    /// is killed after the new one listens.
    ///
    /// # Errors
    ///
    /// If the settings can't be read or the process can't be started.
    ///
    /// # Panics
    ///
    /// If there is no such host.
    pub async fn restart(&mut self, index: usize) -> io::Result<&Host> {
        let text = std::fs::read_to_string(self.hosts[index].settings())?;
        let mut settings: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
        // Each start logs to a new file, which `Host::start` names.
        if !settings["log"]["file"].is_null() {
            settings["log"] = Value::Null;
        }
        self.hosts[index] = self.start(settings).await?;
        self.connect_relay(index);
        Ok(&self.hosts[index])
    }

    /// Sets the address to which a host's relay forwards.
    fn connect_relay(&self, index: usize) {
        if let (Some(links), Some(address)) = (&self.links, self.hosts[index].peers()) {
            links.set_target(index, address);
        }
    }

    async fn start(&mut self, settings: Value) -> io::Result<Host> {
        self.starts += 1;
        Host::start(&self.program, &self.folder, self.starts, settings).await
    }

    /// Waits until all hosts have received the declaration and the servers that the store holds
    /// now.
    ///
    /// Writes a marker object of each of these kinds. A host that has received it starts its next
    /// watch of the kind at the marker's revision or a later one.
    pub async fn wait_until_observed(&self) {
        let store = &self.backend.store;
        for kind in [declaration_kind(), server_kind()] {
            let marker = json!({"mark": store.revision()});
            let revision = store.put(&kind, "mark", marker);
            for host in &self.hosts {
                let has_received = async || store.watched_from(&host.name, &kind) >= Some(revision);
                until("the host has received the marker from the store", has_received).await;
            }
        }
    }

    /// Waits until the readiness probes of all hosts succeed.
    pub async fn wait_until_ready(&self) {
        for host in &self.hosts {
            host.wait_until_ready().await;
        }
    }
}

/// Id of the host with this index, which is also the name of its endpoint at the store.
fn host_name(index: usize) -> String {
    format!("host-{index}")
}

/// Settings of the host with this index: ports that the operating system picks, the addresses of
/// the store's endpoint and of other hosts.
pub fn settings(name: &str, index: usize, store: SocketAddr, peers: &[SocketAddr]) -> Value {
    let zone: availability::Id = ZONES[index % ZONES.len()].into();
    let any_port = SocketAddr::new(Network::of(store.ip()).host(index), 0);
    json!({
        "host": {
            "id": name, "zone": zone,
            "callers": any_port, "peers": any_port, "operators": any_port,
        },
        "platform": store,
        "peers": peers,
        "routed": {
            "dialect": "platform",
            "apply_ms": 2000, "drain_ms": 2000, "grace_s": 8, "turn_ms": 3000,
            "retry": {"ratio": 0.2, "extra": 52, "window_s": 10},
        },
    })
}

/// Kind of the objects that hold the servers' registrations.
pub fn server_kind() -> remote::KindId {
    remote::kind(ObjectKind::Server)
}

/// Kind of the object that holds the declaration.
pub fn declaration_kind() -> remote::KindId {
    remote::kind(ObjectKind::Declaration)
}

/// Kind of the objects that hold leases.
pub fn lease_kind() -> remote::KindId {
    remote::kind(ObjectKind::Lease)
}
