//! Starts hosts in the test process, and runs `cyclamenctl` as a child process.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::Output,
    time::Duration,
};

use serde_json::{Value, json};
use stage::Running;
use standin::{
    engine::{self, Engine},
    objects::Platform,
};
use types::{
    backend::{self, Kind, Server},
    host::{Entry, List, ListState},
};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Operators' token of all hosts.
pub const TOKEN: &str = "a-token-of-more-than-16-characters";

/// Exit code and output of a command.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// A platform, an engine that holds model `carta` with adapter `notaria`, and hosts.
pub struct Site {
    pub platform: Platform,
    pub hosts: Vec<Running>,
    engine: Engine,
    pub files: tempfile::TempDir,
}

impl Site {
    pub async fn start(hosts: usize) -> Site {
        let platform = Platform::start().await.unwrap();
        let settings = engine::Settings::new("lector-1").with_model("carta", "1", 10_000);
        let engine =
            Engine::start(settings.with_adapter("carta", "notaria", "1", 100)).await.unwrap();
        platform.poke("config/root", json!({"number": 1, "config": config()}));
        let mut running = Vec::new();
        for index in 0..hosts {
            running.push(stage::start(host(index, platform.address())).await.unwrap());
        }
        let files = tempfile::tempdir().unwrap();
        std::fs::write(files.path().join("token"), TOKEN).unwrap();
        let site = Site { platform, hosts: running, engine, files };
        site.platform.set_list(site.list());
        for host in &site.hosts {
            let context = host.context();
            until("the host is ready and the engine reports", async || {
                context.is_ready() && context.fleet.reporting() == 1
            })
            .await;
        }
        site
    }

    /// The platform's list of these hosts and the engine; a test may change it and set it.
    pub fn list(&self) -> List {
        let live = |host| Entry { host, state: ListState::Live };
        let hosts = self.hosts.iter().map(|host| live(host.context().host().clone())).collect();
        let server = Server {
            id: "lector-1".into(),
            group: "lector".into(),
            kind: Kind::Engine,
            zone: "med-a".into(),
            address: self.engine.address(),
        };
        List { hosts, servers: vec![backend::Entry { server, state: ListState::Live }] }
    }

    pub fn operators(&self, host: usize) -> SocketAddr {
        self.hosts[host].context().host().operators
    }

    /// Runs `cyclamenctl` against the first host.
    pub async fn ctl(&self, arguments: &[&str]) -> Run {
        self.ctl_at(self.operators(0), arguments).await
    }

    /// Runs `cyclamenctl` against the operators' listener, or a proxy of it, at this address.
    pub async fn ctl_at(&self, address: SocketAddr, arguments: &[&str]) -> Run {
        let token = self.files.path().join("token");
        let mut command = command();
        command.args(arguments).args(["--host", &address.to_string()]);
        command.arg("--token-file").arg(token);
        finish(command.output().await.unwrap())
    }

    pub async fn json(&self, arguments: &[&str]) -> Value {
        self.ctl(&[arguments, &["--json"]].concat()).await.json()
    }

    /// Writes a configuration file and, if given, the number that it is based on. Returns the path.
    pub fn write(&self, name: &str, config: &Value, number: Option<u64>) -> String {
        let path = self.files.path().join(name);
        std::fs::write(&path, config.to_string()).unwrap();
        if let Some(number) = number {
            std::fs::write(format!("{}.number", path.display()), number.to_string()).unwrap();
        }
        text(&path)
    }

    pub async fn stop(self) {
        futures_util::future::join_all(self.hosts.into_iter().map(Running::drain)).await;
    }
}

/// Runs `cyclamenctl` without a host.
pub async fn ctl(arguments: &[&str]) -> Run {
    finish(command().args(arguments).output().await.unwrap())
}

fn command() -> tokio::process::Command {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_cyclamenctl"));
    command.env_remove("CYCLAMENCTL_HOSTS").env_remove("CYCLAMENCTL_TOKEN_FILE");
    command
}

fn finish(output: Output) -> Run {
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let code = output.status.code().unwrap();
    Run { code, out: text(output.stdout), err: text(output.stderr) }
}

fn host(index: usize, platform: SocketAddr) -> settings::process::Process {
    let any_port: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    serde_json::from_value(json!({
        "host": {
            "id": format!("host-{index}"), "zone": "med-a",
            "callers": any_port, "peers": any_port, "operators": any_port
        },
        "platform": platform,
        "operators_token": TOKEN,
        "intervals": {"list_ms": 100, "report_ms": 50},
        "drain": {"balancer_ms": 10},
    }))
    .unwrap()
}

pub fn config() -> Value {
    json!({
        "customers": {"clientes": {"share": 1}},
        "models": {"carta": {
            "group": "lector", "version": "1", "memory": 10_000,
            "adapters": {"notaria": {"memory": 100, "version": "1"}}
        }},
        "services": {"lectura": {
            "customer": "clientes", "offer": {"models": ["carta"]},
            "target": {"first_token_ms": 1400, "between_tokens_ms": 74}
        }}
    })
}

pub fn text(path: &Path) -> String {
    path.to_str().unwrap().to_owned()
}

/// Polls a condition until it holds; panics with `what` after 30 s.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, waiting).await.is_ok(), "timed out waiting until {what}");
}
