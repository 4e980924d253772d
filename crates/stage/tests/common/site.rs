//! A test site: stand-in platform, engines and plain services, and host processes.

use std::net::SocketAddr;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use standin::{
    engine::{self, Engine},
    objects::Platform,
    plain::Plain,
    routed::network::Network,
};
use tempfile::TempDir;
use types::{
    backend::{self, Kind, Server},
    host::{Entry, Host, List, ListState},
};

use super::{HostAddresses, Links, Process, get, until};

const ROOT: &str = "config/root";
const ZONES: [&str; 4] = ["mobile-hall", "biloxi-hall", "gulfport-hall", "pensacola-hall"];

/// Running stand-ins and host processes; methods take hosts by their index.
pub struct Site {
    pub platform: Platform,
    engines: Vec<Engine>,
    plains: Vec<Plain>,
    hosts: Vec<Process>,
    links: Option<Links>,
    settings_change: Box<dyn Fn(&mut Value)>,
    list_states: Vec<ListState>,
    files: TempDir,
    starts: usize,
    network: Network,
}

/// Configures a [`Site`] before it starts.
pub struct Builder {
    hosts: usize,
    engines: Vec<engine::Settings>,
    plains: Vec<Plain>,
    has_proxies: bool,
    config: Box<dyn FnOnce(&mut Value)>,
    settings: Box<dyn Fn(&mut Value)>,
}

impl Builder {
    /// A site of `hosts` hosts, without backend servers or fault proxies.
    pub fn new(hosts: usize) -> Builder {
        Builder {
            hosts,
            engines: Vec::new(),
            plains: Vec::new(),
            has_proxies: false,
            config: Box::new(|_| {}),
            settings: Box::new(|_| {}),
        }
    }

    /// Adds an engine; its preloaded models are declared and offered by the service `chat`.
    pub fn engine(mut self, settings: engine::Settings) -> Builder {
        self.engines.push(settings);
        self
    }

    /// Adds a plain server of group `app`, which the service `tickets` offers.
    pub fn plain(mut self, plain: Plain) -> Builder {
        self.plains.push(plain);
        self
    }

    /// Puts a fault proxy on every connection; see [`Links`].
    pub fn with_proxies(mut self) -> Builder {
        self.has_proxies = true;
        self
    }

    /// Edits the initial configuration before it is declared.
    pub fn config(mut self, change: impl FnOnce(&mut Value) + 'static) -> Builder {
        self.config = Box::new(change);
        self
    }

    /// Edits the settings of each host process at each of its starts.
    pub fn settings(mut self, change: impl Fn(&mut Value) + 'static) -> Builder {
        self.settings = Box::new(change);
        self
    }

    /// Starts all parts and waits until each host is ready and has a report from each server.
    pub async fn start(self) -> Site {
        let platform = Platform::start().await.expect("the platform starts");
        let mut engines = Vec::new();
        for settings in self.engines {
            engines.push(Engine::start(settings).await.expect("the engine starts"));
        }
        let mut site = Site {
            platform,
            engines,
            plains: self.plains,
            hosts: Vec::new(),
            links: None,
            settings_change: self.settings,
            list_states: vec![ListState::Live; self.hosts],
            files: tempfile::tempdir().expect("the temporary directory is created"),
            starts: 0,
            network: Network::unused(),
        };
        if self.has_proxies {
            let servers = site.servers().into_iter().map(|s| (s.id, s.address)).collect();
            site.links = Some(Links::start(self.hosts, site.platform.address(), servers).await);
        }
        let mut config = site.config();
        (self.config)(&mut config);
        site.platform.poke(ROOT, json!({"number": 1, "config": config}));
        for index in 0..self.hosts {
            let process = site.spawn(index).await;
            site.hosts.push(process);
        }
        site.publish_list();
        site.wait_until_ready().await;
        site
    }
}

impl Site {
    /// Starts hosts and engines; the service `chat` offers all models that the engines preload.
    pub async fn start(hosts: usize, engines: Vec<engine::Settings>) -> Site {
        Site::start_with(hosts, engines, Vec::new()).await
    }

    /// As [`Site::start`], with plain servers too; the service `tickets` offers them.
    pub async fn start_with(
        hosts: usize,
        engines: Vec<engine::Settings>,
        plains: Vec<Plain>,
    ) -> Site {
        let builder = engines.into_iter().fold(Builder::new(hosts), Builder::engine);
        plains.into_iter().fold(builder, Builder::plain).start().await
    }

    pub fn hosts(&self) -> &[Process] {
        &self.hosts
    }

    pub fn hosts_mut(&mut self) -> &mut Vec<Process> {
        &mut self.hosts
    }

    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    pub fn plains(&self) -> &[Plain] {
        &self.plains
    }

    /// Addresses of all hosts for callers, not through the fault proxies.
    pub fn host_addresses(&self) -> Vec<HostAddresses> {
        let addresses =
            |p: &Process| HostAddresses { callers: p.callers(), operators: p.operators() };
        self.hosts.iter().map(addresses).collect()
    }

    /// Number of times that engines began to run a request with this key.
    pub fn runs(&self, key: &str) -> u64 {
        self.engines.iter().filter_map(|engine| engine.counts().runs_by_key.get(key).copied()).sum()
    }

    /// Writes a changed configuration to the platform under the next number, which it returns.
    pub fn declare(&self, change: impl FnOnce(&mut Value)) -> u64 {
        let (_, mut root) = self.platform.peek(ROOT).expect("a configuration is stored");
        change(&mut root["config"]);
        let number = root["number"].as_u64().expect("the configuration has a number") + 1;
        root["number"] = number.into();
        self.platform.poke(ROOT, root);
        number
    }

    /// Configuration number that a host reports as in force; 0 if it does not answer.
    pub async fn in_force(&self, index: usize) -> u64 {
        let status = get(self.hosts[index].operators(), "/status").await;
        status.and_then(|status| status["configuration"].as_u64()).unwrap_or(0)
    }

    /// The fault proxies; panics unless the site was built [`with_proxies`](Builder::with_proxies).
    pub fn links(&self) -> &Links {
        self.links.as_ref().expect("the site has fault proxies")
    }

    /// Text of `tokens` tokens that an engine generates for a chat request.
    pub fn expected_text(&self, body: &Value, tokens: u64) -> String {
        let prompt = body["messages"].to_string();
        (0..tokens).map(|offset| engine::token(&prompt, offset)).collect()
    }

    /// Kills a host with SIGKILL; the platform's list still names it.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].kill();
    }

    /// Replaces the edit of the settings for hosts that start from now on.
    pub fn change_settings(&mut self, change: impl Fn(&mut Value) + 'static) {
        self.settings_change = Box::new(change);
    }

    /// Starts an ended host again as a new process with the same id, and lists it as live.
    pub async fn restart(&mut self, index: usize) {
        self.hosts[index] = self.spawn(index).await;
        self.list_states[index] = ListState::Live;
        self.publish_list();
    }

    /// Sets a host's state in the platform's list.
    pub fn set_list_state(&mut self, index: usize, state: ListState) {
        self.list_states[index] = state;
        self.publish_list();
    }

    /// Ends a host with a signal, starts it again and waits until it is ready.
    pub async fn replace(&mut self, index: usize, signal: Signal) {
        self.hosts[index].signal(signal);
        self.hosts[index].wait_for_exit().await;
        self.restart(index).await;
        self.wait_until_host_ready(index).await;
    }

    /// Stops all hosts with SIGTERM and requires exit code 0 of each.
    pub async fn shut_down(mut self) {
        for host in &self.hosts {
            host.signal(Signal::SIGTERM);
        }
        for host in &mut self.hosts {
            assert_eq!(
                host.wait_for_exit().await,
                Some(0),
                "{} did not exit cleanly",
                host.host.id
            );
        }
    }

    /// Waits until each host is ready and has a report from each server.
    pub async fn wait_until_ready(&self) {
        for index in 0..self.hosts.len() {
            self.wait_until_host_ready(index).await;
        }
    }

    /// Waits until one host is ready and has a report from each server.
    pub async fn wait_until_host_ready(&self, index: usize) {
        let servers = self.engines.len() + self.plains.len();
        let host = &self.hosts[index];
        until("the host is ready", async || {
            let Some(status) = get(host.operators(), "/status").await else { return false };
            status["ready"] == true && status["reporting"] == servers
        })
        .await;
    }

    fn config(&self) -> Value {
        let mut models = serde_json::Map::new();
        for (unit, memory) in self.engines.iter().flat_map(|e| &e.settings().preload) {
            if let types::resident::Unit::Model { model, version } = unit {
                let declared = json!({"group": "lm", "version": version, "memory": memory});
                models.insert(model.to_string(), declared);
            }
        }
        let offered: Vec<&String> = models.keys().collect();
        json!({
            "customers": {"guests": {}},
            "services": {
                "chat": {
                    "customer": "guests", "offer": {"models": offered},
                    "target": {"first_token_ms": 1400, "between_tokens_ms": 74},
                },
                "tickets": {
                    "customer": "guests", "offer": {"plain": "app"},
                    "target": {"first_token_ms": 1000}, "non_idempotent": ["POST"],
                },
            },
            "models": models,
        })
    }

    /// Backend servers for the list; with fault proxies, their addresses are those of the proxies.
    fn servers(&self) -> Vec<Server> {
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            server(&engine.settings().id, "lm", Kind::Engine, index, engine.address())
        });
        let plains = self.plains.iter().enumerate().map(|(index, plain)| {
            server(&format!("app-{index}"), "app", Kind::Plain, index, plain.address())
        });
        let mut servers: Vec<Server> = engines.chain(plains).collect();
        if let Some(links) = &self.links {
            servers.iter_mut().for_each(|s| s.address = links.server(&s.id).address());
        }
        servers
    }

    /// Writes the list of hosts and servers to the platform.
    pub fn publish_list(&self) {
        let live = |server| backend::Entry { server, state: ListState::Live };
        let hosts = self.hosts.iter().enumerate().map(|(index, process)| {
            let mut host = process.host.clone();
            if let Some(links) = &self.links {
                host.peers = links.peers(index).address();
                host.callers = links.callers(index).address();
            }
            Entry { host, state: self.list_states[index] }
        });
        let servers = self.servers().into_iter().map(live).collect();
        self.platform.set_list(List { hosts: hosts.collect(), servers });
    }

    async fn spawn(&mut self, index: usize) -> Process {
        let any = SocketAddr::new(self.network.host(index), 0);
        let host = Host {
            id: format!("host-{index}").into(),
            zone: ZONES[index % ZONES.len()].into(),
            callers: any,
            peers: any,
            operators: any,
        };
        let links = self.links.as_ref();
        let platform = links.map_or(self.platform.address(), |l| l.platform(index).address());
        let mut settings = json!({
            "host": host,
            "platform": platform,
            "intervals": {"list_ms": 100, "report_ms": 50, "heartbeat_ms": 50, "plan_ms": 200},
            "drain": {"balancer_ms": 100, "finish_ms": 20_000},
        });
        (self.settings_change)(&mut settings);
        self.starts += 1;
        let process = Process::start(settings, self.files.path(), self.starts).await;
        if let Some(links) = &self.links {
            links.retarget(index, &process.host);
        }
        process
    }
}

fn server(id: &str, group: &str, kind: Kind, index: usize, address: SocketAddr) -> Server {
    let zone = ZONES[index % ZONES.len()].into();
    Server { id: id.into(), group: group.into(), kind, zone, address }
}
