//! Stand-ins and hosts together.

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
    host::{Entry, Host, List, Listed},
};

use super::{Entrance, Links, Process, get, until};

const ROOT: &str = "config/root";
const ZONES: [&str; 4] = ["mobile-hall", "biloxi-hall", "gulfport-hall", "pensacola-hall"];

/// Stand-ins and hosts.
pub struct Site {
    pub platform: Platform,
    engines: Vec<Engine>,
    plains: Vec<Plain>,
    hosts: Vec<Process>,
    links: Option<Links>,
    change: Box<dyn Fn(&mut Value)>,
    listed: Vec<Listed>,
    files: TempDir,
    runs: usize,
    network: Network,
}

/// A site that is not yet running.
pub struct Builder {
    hosts: usize,
    engines: Vec<engine::Settings>,
    plains: Vec<Plain>,
    is_linked: bool,
    config: Box<dyn FnOnce(&mut Value)>,
    settings: Box<dyn Fn(&mut Value)>,
}

impl Builder {
    /// A site of so many hosts.
    pub fn new(hosts: usize) -> Builder {
        Builder {
            hosts,
            engines: Vec::new(),
            plains: Vec::new(),
            is_linked: false,
            config: Box::new(|_| {}),
            settings: Box::new(|_| {}),
        }
    }

    /// Adds an engine.
    pub fn engine(mut self, settings: engine::Settings) -> Builder {
        self.engines.push(settings);
        self
    }

    /// Adds a plain service.
    pub fn plain(mut self, plain: Plain) -> Builder {
        self.plains.push(plain);
        self
    }

    /// Puts a fault proxy on every link.
    pub fn linked(mut self) -> Builder {
        self.is_linked = true;
        self
    }

    /// Changes the first configuration before it is declared.
    pub fn config(mut self, change: impl FnOnce(&mut Value) + 'static) -> Builder {
        self.config = Box::new(change);
        self
    }

    /// Changes the settings of each host's process.
    pub fn settings(mut self, change: impl Fn(&mut Value) + 'static) -> Builder {
        self.settings = Box::new(change);
        self
    }

    /// Starts everything and waits until each host is ready and hears each server.
    pub async fn start(self) -> Site {
        let platform = Platform::start().await.expect("platform");
        let mut engines = Vec::new();
        for settings in self.engines {
            engines.push(Engine::start(settings).await.expect("engine"));
        }
        let mut site = Site {
            platform,
            engines,
            plains: self.plains,
            hosts: Vec::new(),
            links: None,
            change: self.settings,
            listed: vec![Listed::Live; self.hosts],
            files: tempfile::tempdir().expect("folder for settings"),
            runs: 0,
            network: Network::unused(),
        };
        if self.is_linked {
            let servers = site.servers().into_iter().map(|s| (s.id, s.address)).collect();
            site.links = Some(Links::start(self.hosts, site.platform.address(), servers).await);
        }
        let mut config = site.config();
        (self.config)(&mut config);
        site.platform.poke(ROOT, json!({"number": 1, "config": config}));
        for place in 0..self.hosts {
            let process = site.spawn(place).await;
            site.hosts.push(process);
        }
        site.list();
        site.ready().await;
        site
    }
}

impl Site {
    /// Starts engines and hosts; one service `chat` offers every model of the engines.
    pub async fn start(hosts: usize, engines: Vec<engine::Settings>) -> Site {
        Site::start_with(hosts, engines, Vec::new()).await
    }

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

    /// Where callers come in, past any link.
    pub fn entrances(&self) -> Vec<Entrance> {
        let entrance = |p: &Process| Entrance { callers: p.callers(), operators: p.operators() };
        self.hosts.iter().map(entrance).collect()
    }

    /// Times that any engine began to run a request of this key.
    pub fn runs(&self, key: &str) -> u64 {
        self.engines.iter().filter_map(|engine| engine.counts().effects.get(key).copied()).sum()
    }

    /// Puts a configuration under the next number into the platform.
    pub fn declare(&self, change: impl FnOnce(&mut Value)) -> u64 {
        let (_, mut root) = self.platform.peek(ROOT).expect("a configuration");
        change(&mut root["config"]);
        let number = root["number"].as_u64().expect("a number") + 1;
        root["number"] = number.into();
        self.platform.poke(ROOT, root);
        number
    }

    /// The number of the configuration that a host says is in force.
    pub async fn in_force(&self, place: usize) -> u64 {
        let status = get(self.hosts[place].operators(), "/status").await;
        status.and_then(|status| status["configuration"].as_u64()).unwrap_or(0)
    }

    /// The proxies, of a site that was built with them.
    pub fn links(&self) -> &Links {
        self.links.as_ref().expect("a site with proxies on its links")
    }

    /// The right answer to a chat, of so many tokens.
    pub fn expected(&self, body: &Value, tokens: u64) -> String {
        let prompt = body["messages"].to_string();
        (0..tokens).map(|offset| engine::token(&prompt, offset)).collect()
    }

    /// Ends a host without notice; the list goes on naming it.
    pub fn kill(&mut self, place: usize) {
        self.hosts[place].kill();
    }

    /// Changes the settings of hosts that start from now on.
    pub fn change_settings(&mut self, change: impl Fn(&mut Value) + 'static) {
        self.change = Box::new(change);
    }

    /// Starts a host again after its end, as a new process under the same name.
    pub async fn restart(&mut self, place: usize) {
        self.hosts[place] = self.spawn(place).await;
        self.listed[place] = Listed::Live;
        self.list();
    }

    /// Changes what the platform's list says of a host.
    pub fn list_host(&mut self, place: usize, state: Listed) {
        self.listed[place] = state;
        self.list();
    }

    /// Ends a host by a signal and starts another in its place.
    pub async fn replace(&mut self, place: usize, signal: Signal) {
        self.hosts[place].signal(signal);
        self.hosts[place].ended().await;
        self.restart(place).await;
        self.host_ready(place).await;
    }

    /// Ends every host in order.
    pub async fn end(mut self) {
        for host in &self.hosts {
            host.signal(Signal::SIGTERM);
        }
        for host in &mut self.hosts {
            assert_eq!(host.ended().await, Some(0), "{} ends cleanly", host.host.id);
        }
    }

    /// Waits until each host is ready and hears each server.
    pub async fn ready(&self) {
        for place in 0..self.hosts.len() {
            self.host_ready(place).await;
        }
    }

    /// Waits until one host is ready and hears each server.
    pub async fn host_ready(&self, place: usize) {
        let servers = self.engines.len() + self.plains.len();
        let host = &self.hosts[place];
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

    /// The servers as the list names them: behind their links, if the site has links.
    fn servers(&self) -> Vec<Server> {
        let engines = self.engines.iter().enumerate().map(|(place, engine)| {
            server(&engine.settings().id, "lm", Kind::Engine, place, engine.address())
        });
        let plains = self.plains.iter().enumerate().map(|(place, plain)| {
            server(&format!("app-{place}"), "app", Kind::Plain, place, plain.address())
        });
        let mut servers: Vec<Server> = engines.chain(plains).collect();
        if let Some(links) = &self.links {
            servers.iter_mut().for_each(|s| s.address = links.server(&s.id).address());
        }
        servers
    }

    /// Publishes the list of hosts and servers.
    pub fn list(&self) {
        let live = |server| backend::Entry { server, state: Listed::Live };
        let hosts = self.hosts.iter().enumerate().map(|(place, process)| {
            let mut host = process.host.clone();
            if let Some(links) = &self.links {
                host.peers = links.peers(place).address();
                host.callers = links.callers(place).address();
            }
            Entry { host, state: self.listed[place] }
        });
        let servers = self.servers().into_iter().map(live).collect();
        self.platform.set_list(List { hosts: hosts.collect(), servers });
    }

    async fn spawn(&mut self, place: usize) -> Process {
        let any = SocketAddr::new(self.network.host(place), 0);
        let host = Host {
            id: format!("host-{place}").into(),
            zone: ZONES[place % ZONES.len()].into(),
            callers: any,
            peers: any,
            operators: any,
        };
        let links = self.links.as_ref();
        let platform = links.map_or(self.platform.address(), |l| l.platform(place).address());
        let mut settings = json!({
            "host": host,
            "platform": platform,
            "intervals": {"list_ms": 100, "report_ms": 50, "heartbeat_ms": 50, "plan_ms": 200},
            "drain": {"balancer_ms": 100, "finish_ms": 20_000},
        });
        (self.change)(&mut settings);
        self.runs += 1;
        let process = Process::start(settings, self.files.path(), self.runs).await;
        if let Some(links) = &self.links {
            links.lead(place, &process.host);
        }
        process
    }
}

fn server(id: &str, group: &str, kind: Kind, place: usize, address: SocketAddr) -> Server {
    let zone = ZONES[place % ZONES.len()].into();
    Server { id: id.into(), group: group.into(), kind, zone, address }
}
