//! The site that the tests share: three plain servers and two model servers.

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

/// Time between the orders of two hosts to one server, as the settings have it.
pub const TURN: Duration = Duration::from_secs(3);

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

/// The declaration that most tests begin with.
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
    }
}

pub async fn backend() -> Backend {
    let engine = engine();
    let servers = vec![
        Settings::plain("app-1", "app"),
        Settings::plain("app-2", "app"),
        Settings::plain("other-1", "other"),
        Settings::model("lm-1", "lm", &engine, &["welcome", "desk"]),
        Settings::model("lm-2", "lm", &engine, &["welcome"]),
    ];
    Backend::start(servers).await.expect("servers")
}

/// A site with a declaration and some hosts, ready.
pub async fn site(hosts: usize) -> Site {
    let backend = backend().await;
    backend.declare(&declaration());
    let site = undeclared(backend, hosts).await;
    site.wait_until_ready().await;
    site
}

/// A site with one host that logs at the level that is usual.
pub async fn usual_site() -> Site {
    let backend = backend().await;
    backend.declare(&declaration());
    let mut site = undeclared(backend, 0).await;
    site.add(|settings| settings["log"] = serde_json::json!({"level": "info"}))
        .await
        .expect("a host");
    site.wait_until_ready().await;
    site
}

/// A site without hosts over a backend as it is, prepared by `prepare`.
pub fn undeclared_with(backend: Backend, prepare: impl FnOnce(&mut Site)) -> Site {
    let program = Path::new(env!("CARGO_BIN_EXE_cyclamenstage"));
    let mut site = Site::new(program, backend).expect("a folder");
    prepare(&mut site);
    site
}

/// A site whose hosts have started over a backend as it is.
pub async fn undeclared(backend: Backend, hosts: usize) -> Site {
    let mut site = undeclared_with(backend, |_| {});
    for _ in 0..hosts {
        site.add(|_| {}).await.expect("a host");
    }
    site
}

/// Declares a further route, and returns what asks for it.
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

/// The server that answers a request.
pub async fn server_of(host: &Host, ask: &RequestSpec) -> Option<String> {
    let answer = host.caller().fetch(ask).await.ok()?;
    answer.field("server").as_str().map(str::to_owned)
}

/// The status that a request gets.
pub async fn status_of(host: &Host, ask: &RequestSpec) -> Option<StatusCode> {
    Some(host.caller().fetch(ask).await.ok()?.status)
}
