//! A small deployment for the review's scripts: the project's stand-ins around real host processes.

use std::{fs::File, io::Write, path::PathBuf, sync::Mutex, time::Duration};

use http::Method;
use standin::routed::{
    caller::RequestSpec,
    server::Settings,
    site::{Backend, Site},
};
use tokio::time::Instant;
use types::routed::{Declaration, Engine, Kind, Limits, Model, Route, Service, Share};

/// Virtual host of all routes.
pub const HOST: &str = "desk.example";

/// Whether the script runs with its disruption (`TROUBLE=0` turns it off).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record that the script writes beside itself.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    /// Creates the record at the path in `RECORD`.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(path).expect("the record can be written");
        Record { file: Mutex::new(file), began: Instant::now() }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("one writer at a time");
        let _ = writeln!(file, "{at:9.3} s  {}", text.as_ref());
    }

    /// Seconds since the start at a moment.
    pub fn seconds(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.began).as_secs_f64()
    }
}

/// Ends the script with its verdict: 1 if the rule was broken, 0 if it held, 2 if the script took too
/// long.
pub fn finish(record: &Record, broken: Option<Vec<String>>) -> ! {
    let Some(broken) = broken else {
        record.line("the script took too long");
        std::process::exit(2);
    };
    broken.iter().for_each(|text| record.line(format!("BROKEN {text}")));
    record.line(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    for text in broken.iter().take(5) {
        println!("{text}");
    }
    println!("{}", if broken.is_empty() { "held" } else { "broken" });
    std::process::exit(i32::from(!broken.is_empty()));
}

/// A time in milliseconds from the environment.
pub fn millis(name: &str, default: u64) -> Duration {
    let set = std::env::var(name).ok().and_then(|value| value.parse().ok());
    Duration::from_millis(set.unwrap_or(default))
}

/// The host's program, as the deploy file builds it.
pub fn program() -> PathBuf {
    let path = std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/cyclamenstage".into());
    std::fs::canonicalize(&path).unwrap_or_else(|error| {
        eprintln!("{path}: {error}");
        std::process::exit(2);
    })
}

/// A route of [`HOST`].
pub fn route(prefix: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        resumable: false,
        sticky: kind == Kind::Stream,
        timeout: Duration::from_secs(10),
        goal: Duration::from_secs(1),
        gap: (kind == Kind::Stream).then_some(Duration::from_millis(500)),
        silence: None,
        attempts: 2,
        priority: 1,
        split: vec![Share { service: service.into(), weight: 1 }],
        public: false,
    }
}

/// An engine with three models of `adapters` adapters each.
pub fn engine(adapters: u32) -> Engine {
    let model = |name: &str| Model {
        name: name.into(),
        weights: 1000,
        load: Duration::from_millis(50),
        warm: Duration::from_millis(20),
        disk: Duration::from_millis(30),
        adapters,
        adapter_weights: 10,
    };
    Engine {
        slots: 8,
        kv_tokens: 50_000,
        weights: 3500,
        adapter_slots: 8,
        loads_per_s: 10.0,
        host_memory: 5000,
        disk: 5000,
        stride: 1,
        backups: false,
        moves: false,
        models: ["welcome", "desk", "notes"].map(model).into(),
    }
}

/// Declaration of version 3.
pub fn declaration(engine: Engine) -> Declaration {
    let service = |name: &str, engine| Service {
        name: name.into(),
        health: "/health".into(),
        connections: 100,
        engine,
    };
    Declaration {
        version: 3,
        routes: vec![
            route("/pages/", Kind::Idempotent, "app"),
            route("/tickets/", Kind::NonIdempotent, "app"),
            route("/chat/", Kind::Stream, "lm"),
            Route { resumable: true, ..route("/draft/", Kind::Stream, "lm") },
        ],
        services: vec![service("app", None), service("lm", Some(engine))],
        limits: Limits::default(),
        customers: None,
    }
}

/// Two plain servers and two model servers.
pub fn servers(engine: &Engine) -> Vec<Settings> {
    vec![
        Settings::plain("app-1", "app"),
        Settings::plain("app-2", "app"),
        Settings::model("lm-1", "lm", engine, &["welcome", "desk"]),
        Settings::model("lm-2", "lm", engine, &["welcome", "desk"]),
    ]
}

/// Starts hosts, each of which reaches each server through a link that can fail.
pub async fn linked_site(hosts: usize, declaration: &Declaration, servers: Vec<Settings>) -> Site {
    let mut backend = Backend::start(Vec::new()).await.expect("the store starts");
    backend.link_servers(hosts);
    for server in servers {
        backend.add(server).await.expect("the servers start");
    }
    backend.declare(declaration);
    start_hosts(backend, hosts).await
}

/// Starts hosts, and waits until they are ready.
pub async fn start_hosts(backend: Backend, hosts: usize) -> Site {
    let mut site = match std::env::var("FOLDER") {
        Ok(folder) => Site::in_folder(&program(), backend, folder.as_ref()),
        Err(_) => Site::new(&program(), backend).expect("the temporary folder is created"),
    };
    for _ in 0..hosts {
        site.add(|_| {}).await.expect("the host starts");
    }
    site.wait_until_ready().await;
    site
}

/// An idempotent request.
pub fn page() -> RequestSpec {
    RequestSpec::to(HOST, "/pages/home?lang=es")
}

/// A request that may run once.
pub fn ticket() -> RequestSpec {
    RequestSpec::to(HOST, "/tickets/new").with_body(Method::POST, "room 12")
}

/// A stream that can't be resumed.
pub fn chat(model: &str) -> RequestSpec {
    RequestSpec::to(HOST, "/chat/2f").model(model)
}

/// A stream that can be resumed.
pub fn draft(model: &str) -> RequestSpec {
    RequestSpec::to(HOST, "/draft/2f").model(model)
}
