//! Test site: host processes and stand-ins, with a proxy between each host and the platform and
//! one before each engine.

use std::{
    net::SocketAddr,
    process::{Child, Command},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use policy::ledger::Ledger;
use serde_json::{Value, json};
use standin::{
    engine::{self, Engine},
    fault::Proxy,
    objects::Platform,
    routed::network::Network,
};
use tempfile::TempDir;
use types::{
    backend::{Entry, Kind, Server},
    host::{self, Host, List, ListState},
    resident::State,
};

/// Time limit of each wait; far longer than any awaited condition takes on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Memory of each engine, too small for two models of [`MODEL_MEMORY`].
pub const CAPACITY: u64 = 100;
pub const MODEL_MEMORY: u64 = 60;

/// The hosts' `linger_ms` setting: longest time for which a sent order may still arrive.
pub const LINGER: Duration = Duration::from_millis(2_500);

/// Delay of late orders: long after their sender's timeout, and within [`LINGER`].
pub const ORDER_DELAY: Duration = Duration::from_millis(1_500);

/// A host that runs as a child process; killed when dropped.
pub struct Process {
    child: Child,
    host: Host,
}

impl Process {
    /// Sends SIGSTOP and waits until all threads are stopped, since the signal takes effect only
    /// some time after it was sent.
    pub async fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        until("the process is stopped", async || self.is_stopped()).await;
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let tasks =
            tasks.expect("the tasks of the child process can be read").filter_map(Result::ok);
        let states =
            tasks.filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok());
        // The state follows the command name, which is in parentheses.
        states.into_iter().all(|stat| {
            let state = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().next());
            state == Some("T")
        })
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("the process id fits in i32");
        kill(Pid::from_raw(id), signal).expect("the child process can be signalled");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn id(&self) -> &host::Id {
        &self.host.id
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Running stand-ins and host processes; methods take hosts and engines by their index.
pub struct Site {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    /// Proxies between each host and the platform.
    pub to_platform: Vec<Proxy>,
    /// Proxies before each engine, used by all hosts.
    pub to_engine: Vec<Proxy>,
    pub hosts: Vec<Process>,
    list_entries: Vec<host::Entry>,
    files: TempDir,
    lease_ms: u64,
    config_number: u64,
    starts: usize,
}

impl Site {
    /// Starts hosts and engines without a declared model; returns when each engine has a ledger.
    pub async fn start(hosts: usize, engines: Vec<engine::Settings>, lease_ms: u64) -> Site {
        let platform = Platform::start().await.expect("the platform starts");
        let mut running = Vec::new();
        let mut to_engine = Vec::new();
        for settings in engines {
            let engine = Engine::start(settings).await.expect("the engine starts");
            to_engine.push(Proxy::start(engine.address()).await.expect("the proxy starts"));
            running.push(engine);
        }
        let mut to_platform = Vec::new();
        for _ in 0..hosts {
            to_platform.push(Proxy::start(platform.address()).await.expect("the proxy starts"));
        }
        let mut site = Site {
            platform,
            engines: running,
            to_platform,
            to_engine,
            hosts: Vec::new(),
            list_entries: Vec::new(),
            files: tempfile::tempdir().expect("the temporary directory is created"),
            lease_ms,
            config_number: 0,
            starts: 0,
        };
        site.declare(&[]);
        for index in 0..hosts {
            let process = site.spawn(index);
            site.list_entries
                .push(host::Entry { host: process.host.clone(), state: ListState::Live });
            site.hosts.push(process);
        }
        site.publish_list();
        for index in 0..site.engines.len() {
            until("the engine has a ledger", async || site.ledger(index).is_some()).await;
        }
        site
    }

    /// Declares exactly these models under the next configuration number.
    pub fn declare(&mut self, models: &[&str]) {
        self.config_number += 1;
        let declared = |name: &&str| {
            let model = json!({"group": "lm", "version": "1", "memory": MODEL_MEMORY});
            ((*name).to_owned(), model)
        };
        let models: serde_json::Map<String, Value> = models.iter().map(declared).collect();
        let config = json!({"models": models});
        self.platform.poke("config/root", json!({"number": self.config_number, "config": config}));
    }

    /// Reads an engine's current ledger from the platform.
    pub fn ledger(&self, engine: usize) -> Option<Ledger> {
        let (_, value) = self.platform.peek(&Ledger::key(&self.engines[engine].settings().id))?;
        serde_json::from_value(value).ok()
    }

    /// Whether a model is ready in an engine's actual memory.
    pub fn has_ready(&self, engine: usize, model: &str) -> bool {
        let residents = self.engines[engine].residents();
        residents.iter().any(|r| &**r.unit.model() == model && r.state == State::Ready)
    }

    /// Waits until every engine has this model ready and no other model in memory.
    pub async fn wait_until_loaded(&self, model: &str) {
        for index in 0..self.engines.len() {
            until(&format!("engine {index} has only {model} in memory"), async || {
                self.has_ready(index, model) && self.engines[index].residents().len() == 1
            })
            .await;
        }
    }

    /// Waits until no order is open and the ledgers agree with the engines' actual memory.
    async fn wait_until_settled(&self) {
        for index in 0..self.engines.len() {
            until(&format!("the ledger of engine {index} matches its memory"), async || {
                self.ledger(index).is_some_and(|ledger| {
                    ledger.orders.is_empty() && ledger.residents == self.engines[index].residents()
                })
            })
            .await;
        }
    }

    /// Waits until all orders are settled and late ones have arrived, and checks that no engine's
    /// memory was ever overcommitted.
    pub async fn check_no_overcommit(&self) {
        self.wait_until_settled().await;
        tokio::time::sleep(ORDER_DELAY).await;
        self.wait_until_settled().await;
        for engine in &self.engines {
            let counts = engine.counts();
            assert_eq!(counts.overcommits, 0, "{}: {counts:?}", engine.settings().id);
            assert!(counts.peak <= CAPACITY, "{}: {counts:?}", engine.settings().id);
        }
    }

    /// The host that holds the planning lease.
    pub fn planner(&self) -> Option<usize> {
        let (_, lease) = self.platform.peek("lease/plan")?;
        let holder = lease["holder"].as_str()?.to_owned();
        self.hosts.iter().position(|process| **process.id() == *holder)
    }

    /// Waits until a host holds the planning lease.
    pub async fn wait_for_planner(&self) -> usize {
        until("a host holds the planning lease", async || self.planner().is_some()).await;
        self.planner().expect("a host holds the planning lease")
    }

    /// Takes a host off the platform's list.
    pub fn remove_from_list(&mut self, index: usize) {
        let id = self.hosts[index].id().clone();
        self.list_entries.retain(|entry| entry.host.id != id);
        self.publish_list();
    }

    /// Starts an ended host again with the same id.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index] = self.spawn(index);
    }

    /// Settings of a host that is not in the platform's list.
    pub fn unlisted_settings(&self) -> settings::process::Process {
        let host = with_any_ports("onlooker");
        let settings = json!({"host": host, "platform": self.platform.address()});
        serde_json::from_value(settings).expect("the settings are valid")
    }

    fn publish_list(&self) {
        let servers = self.engines.iter().zip(&self.to_engine).enumerate();
        let servers = servers.map(|(index, (engine, link))| {
            let server = Server {
                id: engine.settings().id.clone(),
                group: "lm".into(),
                kind: Kind::Engine,
                zone: format!("zone-{index}").into(),
                address: link.address(),
            };
            Entry { server, state: ListState::Live }
        });
        self.platform
            .set_list(List { hosts: self.list_entries.clone(), servers: servers.collect() });
    }

    fn spawn(&mut self, index: usize) -> Process {
        let host = with_any_ports(&format!("host-{index}"));
        self.starts += 1;
        let log = self.files.path().join(format!("{}-{}.log", host.id, self.starts));
        let settings = json!({
            "host": host,
            "platform": self.to_platform[index].address(),
            "intervals": {"list_ms": 50, "report_ms": 40, "plan_ms": 40},
            "drain": {"balancer_ms": 10, "finish_ms": 1_000},
            "planning": {
                "lease_ms": self.lease_ms, "order_ms": 400, "list_lag_ms": 500,
                "linger_ms": u64::try_from(LINGER.as_millis()).expect("milliseconds fit in u64"),
                "loads_per_second": 50.0, "loads_at_once": 8,
            },
            "log": {"file": log, "level": "info"},
        });
        let file = self.files.path().join(format!("{}-{}.json", host.id, self.starts));
        std::fs::write(&file, settings.to_string()).expect("the settings file is written");
        let child = Command::new(env!("CARGO_BIN_EXE_cyclamenstage"))
            .args(["serve", "--settings"])
            .arg(&file)
            .spawn()
            .expect("the host process starts");
        Process { child, host }
    }
}

/// A host entry with port 0 for each listener, so that the system assigns the ports.
fn with_any_ports(id: &str) -> Host {
    let any = SocketAddr::new(Network::unused().host(0), 0);
    Host { id: id.into(), zone: "zone".into(), callers: any, peers: any, operators: any }
}

/// Settings of an engine whose memory holds one of the two models at a time.
pub fn engine(index: usize, fenced: bool) -> engine::Settings {
    let id = format!("lm-{index}");
    engine::Settings { capacity: CAPACITY, fenced, ..engine::Settings::new(&id) }
}

/// Polls a condition every [`POLL_INTERVAL`]; panics with its description after [`TIMEOUT`].
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, polling).await.is_ok(), "timed out waiting until {what}");
}
