//! A small site for tests: stand-ins in this process, hosts as processes of their own.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use standin::{
    engine::{self, Engine},
    objects::Platform,
    plain::Plain,
};
use tempfile::TempDir;
use types::{
    backend::{self, Kind, Server},
    host::{Entry, Host, List, Listed},
};

const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);
const ZONES: [&str; 4] = ["mobile-hall", "biloxi-hall", "gulfport-hall", "pensacola-hall"];

/// A host's process; killed when dropped.
pub struct Process {
    pub host: Host,
    child: Child,
}

impl Process {
    pub fn callers(&self) -> SocketAddr {
        self.host.callers
    }

    pub fn operators(&self) -> SocketAddr {
        self.host.operators
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process id");
        kill(Pid::from_raw(id), signal).expect("signal to own child");
    }

    /// Waits for its end; its exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        let mut status = None;
        until("the process ends", async || {
            status = self.child.try_wait().expect("own child");
            status.is_some()
        })
        .await;
        status.and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins and hosts.
pub struct Site {
    pub platform: Platform,
    engines: Vec<Engine>,
    plains: Vec<Plain>,
    hosts: Vec<Process>,
    files: TempDir,
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
        let platform = Platform::start().await.expect("platform");
        let mut running = Vec::new();
        for settings in engines {
            running.push(Engine::start(settings).await.expect("engine"));
        }
        let mut site = Site {
            platform,
            engines: running,
            plains,
            hosts: Vec::new(),
            files: tempfile::tempdir().expect("folder for settings"),
        };
        site.platform.poke("config/root", json!({"number": 1, "config": site.config()}));
        for place in 0..hosts {
            let process = site.spawn(place);
            site.hosts.push(process);
        }
        site.list();
        site.ready().await;
        site
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

    /// The right answer to a chat, of so many tokens.
    pub fn expected(&self, body: &Value, tokens: u64) -> String {
        let prompt = body["messages"].to_string();
        (0..tokens).map(|offset| engine::token(&prompt, offset)).collect()
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

    fn list(&self) {
        let live = |server| backend::Entry { server, state: Listed::Live };
        let engines = self.engines.iter().enumerate().map(|(place, engine)| {
            server(&engine.settings().id, "lm", Kind::Engine, place, engine.address())
        });
        let plains = self.plains.iter().enumerate().map(|(place, plain)| {
            server(&format!("app-{place}"), "app", Kind::Plain, place, plain.address())
        });
        let hosts = self
            .hosts
            .iter()
            .map(|process| Entry { host: process.host.clone(), state: Listed::Live })
            .collect();
        self.platform.set_list(List { hosts, servers: engines.chain(plains).map(live).collect() });
    }

    fn spawn(&self, place: usize) -> Process {
        let host = Host {
            id: format!("host-{place}").into(),
            zone: ZONES[place % ZONES.len()].into(),
            callers: free_address(),
            peers: free_address(),
            operators: free_address(),
        };
        let settings = json!({
            "host": host,
            "platform": self.platform.address(),
            "intervals": {"list_ms": 100, "report_ms": 50, "heartbeat_ms": 50, "plan_ms": 200},
            "drain": {"balancer_ms": 100, "finish_ms": 20_000},
        });
        let file: PathBuf = self.files.path().join(format!("{}.json", host.id));
        std::fs::write(&file, settings.to_string()).expect("settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_cyclamenstage"))
            .args(["serve", "--settings"])
            .arg(&file)
            .spawn()
            .expect("host process");
        Process { host, child }
    }

    /// Waits until each host is ready and hears each server.
    async fn ready(&self) {
        let servers = self.engines.len() + self.plains.len();
        for host in &self.hosts {
            until("the host is ready", async || {
                let Some(status) = get(host.operators(), "/status").await else { return false };
                status["ready"] == true && status["reporting"] == servers
            })
            .await;
        }
    }
}

fn server(id: &str, group: &str, kind: Kind, place: usize, address: SocketAddr) -> Server {
    let zone = ZONES[place % ZONES.len()].into();
    Server { id: id.into(), group: group.into(), kind, zone, address }
}

/// A loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Polls a condition, and fails by name when patience ends.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, waiting).await.is_ok(), "never: {what}");
}

/// An answer read whole.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

pub async fn try_send(
    address: SocketAddr,
    method: &str,
    uri: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut request = http::Request::builder().method(method).uri(format!("http://{address}{uri}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).expect("request");
    let response = tokio::time::timeout(PATIENCE, client.request(request)).await.ok()?.ok()?;
    let (parts, body) = response.into_parts();
    let body = tokio::time::timeout(PATIENCE, body.collect()).await.ok()?.ok()?.to_bytes();
    Some(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}

pub async fn send(
    address: SocketAddr,
    method: &str,
    uri: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    try_send(address, method, uri, headers, body).await.expect("an answer")
}

pub async fn post_chat(address: SocketAddr, body: &Value) -> Answer {
    send(address, "POST", "/v1/chat/completions", &[], &body.to_string()).await
}

pub async fn get(address: SocketAddr, uri: &str) -> Option<Value> {
    Some(try_send(address, "GET", uri, &[], "").await?.json())
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub id: Option<u64>,
    pub data: String,
}

pub fn events(text: &str) -> Vec<Event> {
    let field = |block: &str, name: &str| {
        block.lines().find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
    };
    text.split("\n\n")
        .filter_map(|block| {
            let data = field(block, "data:")?;
            Some(Event { id: field(block, "id:").and_then(|id| id.parse().ok()), data })
        })
        .collect()
}

pub fn answer_text(events: &[Event]) -> String {
    events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(&event.data).ok())
        .filter_map(|data| Some(data["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}
