//! The site of a soak: what its operators declare, and its servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::routed::{Declaration, Engine, Kind, Limits, Model, Route, Service, Share, Version};

use crate::routed::server::{Script, Server, Settings};

pub(super) const HOST: &str = "desk.example";
pub(super) const MODELS: [&str; 4] = ["welcome", "desk", "notes", "paper"];
/// What the body of a request holds that crashes the servers that run it.
pub(super) const POISON: &str = "poison";

pub(super) const ADAPTERS: u32 = 3;

/// Services of the servers, by place.
pub const SERVERS: [&str; 8] = ["app", "app", "app", "other", "other", "lm", "lm", "lm"];

const LM: &str = "lm";
const FIRST: Version = 3;

/// Time of a route, and so of its requests.
pub(super) const DEADLINE: Duration = Duration::from_secs(4);

fn route(prefix: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        resumable: false,
        sticky: kind == Kind::Stream,
        timeout: DEADLINE,
        goal: Duration::from_secs(1),
        gap: (kind == Kind::Stream).then_some(Duration::from_millis(800)),
        silence: None,
        attempts: 3,
        priority: 1,
        split: vec![Share { service: service.into(), weight: 1 }],
    }
}

/// A server holds three of the four models, and two adapters.
fn engine() -> Engine {
    let model = |name: &str| Model {
        name: name.into(),
        weights: 1000,
        load: Duration::from_millis(300),
        warm: Duration::from_millis(300),
        disk: Duration::from_millis(300),
        adapters: ADAPTERS,
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
        models: MODELS.map(model).into(),
    }
}

fn service(name: &str) -> Service {
    let engine = (name == LM).then(engine);
    Service { name: name.into(), health: "/health".into(), connections: 100, engine }
}

/// The first declaration.
pub(super) fn first() -> Declaration {
    Declaration {
        version: FIRST,
        routes: vec![
            route("/pages/", Kind::Idempotent, "app"),
            route("/pages/deep/", Kind::Idempotent, "other"),
            route("/tickets/", Kind::NonIdempotent, "app"),
            route("/chat/", Kind::Stream, LM),
            Route { resumable: true, ..route("/draft/", Kind::Stream, LM) },
        ],
        services: ["app", "other", LM].map(service).into(),
        limits: Limits::default(),
    }
}

/// The path of a route that a version added.
pub(super) fn since(version: Version) -> String {
    format!("/since/{version}/")
}

/// The declaration after another one: the pages move, and a route comes.
pub(super) fn next(before: &Declaration) -> Declaration {
    let mut next = before.clone();
    next.version += 1 + next.version % 3;
    let share = &mut next.routes[0].split[0];
    share.service = if *share.service == *"app" { "other".into() } else { "app".into() };
    next.routes.push(route(&since(next.version), Kind::Idempotent, "other"));
    next
}

/// Services by prefix.
pub(super) fn services(declaration: &Declaration) -> BTreeMap<String, BTreeSet<String>> {
    let services = |route: &Route| {
        let services = route.split.iter().map(|share| share.service.to_string());
        (route.prefix.to_string(), services.collect())
    };
    declaration.routes.iter().map(services).collect()
}

/// Places of the servers of a server's service.
pub(super) fn alike(place: usize) -> impl Iterator<Item = usize> {
    let is_alike = move |other: &usize| SERVERS[*other] == SERVERS[place];
    (0..SERVERS.len()).filter(is_alike)
}

/// Settings of a run of the server at a place.
pub(super) fn server(place: usize, run: usize) -> Settings {
    let (service, id) = (SERVERS[place], format!("{}-{place}.{run}", SERVERS[place]));
    match service {
        LM => Settings::model(&id, service, &engine(), &[MODELS[0], MODELS[1 + place % 2]]),
        _ => Settings::plain(&id, service),
    }
}

/// How a server behaves in calm.
pub(super) fn calm(server: &Server, events: u64) {
    server.script(|script| {
        *script = Script {
            work_time: Duration::from_millis(15),
            events,
            event_interval: Duration::from_millis(20),
            load_time: Duration::from_millis(300),
            poison: Some(POISON),
            ..Script::default()
        };
    });
}
