//! The deployment that the tests share: three plain servers, two model servers and some hosts.

use std::{path::Path, time::Duration};

use http::{Method, StatusCode};
use standin::routed::{
    caller::RequestSpec,
    host::Host,
    server::Settings,
    site::{Backend, Site},
};
use types::routed::{Declaration, Engine, Kind, Limits, Model, Route, Service, Share};

pub const HOST: &str = "desk.example";
pub const PAGES: &str = "/pages/";
pub const TICKETS: &str = "/tickets/";
pub const CHAT: &str = "/chat/";
pub const DRAFT: &str = "/draft/";

/// Minimum time between the last order that a server gets from one host and the first from another,
/// as the hosts' settings define it.
pub const HANDOVER_GAP: Duration = Duration::from_secs(3);

/// A route of [`HOST`].
pub fn route(prefix: &str, kind: Kind, services: &[(&str, u32)]) -> Route {
    let share =
        |(service, weight): &(&str, u32)| Share { service: (*service).into(), weight: *weight };
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
        attempts: 3,
        priority: 1,
        split: services.iter().map(share).collect(),
        public: false,
    }
}

pub fn engine() -> Engine {
    let model = |name: &str| Model {
        name: name.into(),
        weights: 1000,
        load: Duration::from_millis(50),
        warm: Duration::from_millis(20),
        disk: Duration::from_millis(30),
        adapters: 2,
        adapter_weights: 10,
    };
    Engine {
        slots: 8,
        kv_tokens: 50_000,
        weights: 3500,
        adapter_slots: 2,
        loads_per_s: 10.0,
        host_memory: 5000,
        disk: 5000,
        stride: 1,
        backups: false,
        moves: false,
        models: ["welcome", "desk", "notes"].map(model).into(),
    }
}

fn service(name: &str, engine: Option<Engine>) -> Service {
    Service { name: name.into(), health: "/health".into(), connections: 100, engine }
}

/// Declaration of version 3, with which most tests begin.
pub fn declaration() -> Declaration {
    Declaration {
        version: 3,
        routes: vec![
            route(PAGES, Kind::Idempotent, &[("app", 1)]),
            route("/pages/deep/", Kind::Idempotent, &[("other", 1)]),
            route(TICKETS, Kind::NonIdempotent, &[("app", 1)]),
            route(CHAT, Kind::Stream, &[("lm", 1)]),
            Route { resumable: true, ..route(DRAFT, Kind::Stream, &[("lm", 1)]) },
        ],
        services: vec![service("app", None), service("other", None), service("lm", Some(engine()))],
        limits: Limits::default(),
        customers: None,
    }
}

pub async fn backend() -> Backend {
    Backend::start(servers()).await.expect("the servers start")
}

fn servers() -> Vec<Settings> {
    let engine = engine();
    vec![
        Settings::plain("app-1", "app"),
        Settings::plain("app-2", "app"),
        Settings::plain("other-1", "other"),
        Settings::model("lm-1", "lm", &engine, &["welcome", "desk"]),
        Settings::model("lm-2", "lm", &engine, &["welcome"]),
    ]
}

/// Starts this many hosts, each of which reaches each server through a link that can fail, and waits
/// until they are ready.
pub async fn linked_site(hosts: usize) -> Site {
    linked_site_with(hosts, &declaration()).await
}

/// [`linked_site`] with another declaration in force.
pub async fn linked_site_with(hosts: usize, declaration: &Declaration) -> Site {
    let mut backend = Backend::start(Vec::new()).await.expect("the store starts");
    backend.link_servers(hosts);
    for server in servers() {
        backend.add(server).await.expect("the servers start");
    }
    backend.declare(declaration);
    let site = start_site(backend, hosts).await;
    site.wait_until_ready().await;
    site
}

/// Starts this many hosts with [`declaration`] in force, and waits until they are ready.
pub async fn site(hosts: usize) -> Site {
    let backend = backend().await;
    backend.declare(&declaration());
    let site = start_site(backend, hosts).await;
    site.wait_until_ready().await;
    site
}

/// Starts one host with [`declaration`] in force, and with the default log level `info` instead of
/// the `debug` of other test hosts.
pub async fn site_with_info_log() -> Site {
    let backend = backend().await;
    backend.declare(&declaration());
    let mut site = start_site(backend, 0).await;
    site.add(|settings| settings["log"] = serde_json::json!({"level": "info"}))
        .await
        .expect("the host starts");
    site.wait_until_ready().await;
    site
}

/// Creates a site without hosts and passes it to `prepare`; declares nothing.
pub fn new_site(backend: Backend, prepare: impl FnOnce(&mut Site)) -> Site {
    let program = Path::new(env!("CARGO_BIN_EXE_cyclamenstage"));
    let mut site = Site::new(program, backend).expect("the temporary directory is created");
    prepare(&mut site);
    site
}

/// Starts this many hosts without declaring anything or waiting until they are ready.
pub async fn start_site(backend: Backend, hosts: usize) -> Site {
    let mut site = new_site(backend, |_| {});
    for _ in 0..hosts {
        site.add(|_| {}).await.expect("the host starts");
    }
    site
}

/// Declares one more route as this version, and returns a request that only the new route takes.
pub fn declare_route(site: &Site, version: u64) -> RequestSpec {
    let prefix = format!("/pages-{version}/");
    let mut declared = declaration();
    declared.version = version;
    declared.routes.push(route(&prefix, Kind::Idempotent, &[("app", 1)]));
    site.backend.declare(&declared);
    RequestSpec::to(HOST, &format!("{prefix}x"))
}

pub fn page() -> RequestSpec {
    RequestSpec::to(HOST, "/pages/home?lang=es")
}

pub fn ticket() -> RequestSpec {
    RequestSpec::to(HOST, "/tickets/new").with_body(Method::POST, "room 12")
}

pub fn chat() -> RequestSpec {
    RequestSpec::to(HOST, "/chat/2f").model("welcome")
}

pub fn draft() -> RequestSpec {
    RequestSpec::to(HOST, "/draft/2f").model("welcome")
}

/// Sends a request and returns the id of the server that answered it.
pub async fn server_of(host: &Host, request: &RequestSpec) -> Option<String> {
    let answer = host.caller().fetch(request).await.ok()?;
    answer.field("server").as_str().map(str::to_owned)
}

/// Sends a request and returns the status of its answer, or none if there was no answer.
pub async fn status_of(host: &Host, request: &RequestSpec) -> Option<StatusCode> {
    Some(host.caller().fetch(request).await.ok()?.status)
}
