//! Declarations and servers of the site under test.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::routed::{Declaration, Engine, Kind, Limits, Model, Route, Service, Share, Version};

use crate::routed::server::{Script, Server, Settings};

pub(super) const HOST: &str = "desk.example";
pub(super) const MODELS: [&str; 4] = ["welcome", "desk", "notes", "paper"];
/// Text in the body of a poison request, which crashes the servers that run it.
pub(super) const POISON: &str = "poison";
/// Part of prompts that crashes the servers that begin to answer them.
pub(super) const POISON_PART: u64 = 0xbad;

pub(super) const ADAPTERS: u32 = 3;

/// Service of each server, by index.
pub const SERVERS: [&str; 8] = ["app", "app", "app", "other", "other", "lm", "lm", "lm"];

pub(super) const LM: &str = "lm";
/// Versions of the model servers' software, if they run two.
const SOFTWARE: [&str; 2] = ["7.1", "7.2-rc1"];

const FIRST_VERSION: Version = 3;

/// Timeout of each route, and deadline of the requests to it.
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
        public: false,
    }
}

/// Engine with room for three of the four models, and for two adapters.
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

/// The declaration in force at the start of a soak.
pub(super) fn first_declaration() -> Declaration {
    Declaration {
        version: FIRST_VERSION,
        routes: vec![
            route("/pages/", Kind::Idempotent, "app"),
            route("/pages/deep/", Kind::Idempotent, "other"),
            route("/tickets/", Kind::NonIdempotent, "app"),
            route("/chat/", Kind::Stream, LM),
            Route { resumable: true, ..route("/draft/", Kind::Stream, LM) },
        ],
        services: ["app", "other", LM].map(service).into(),
        limits: Limits::default(),
        customers: None,
    }
}

/// Path prefix of the route that a version of the declaration added.
pub(super) fn added_route(version: Version) -> String {
    format!("/since/{version}/")
}

/// The declaration that follows `before`: `/pages/` is routed to the other service, and a route is
/// added.
pub(super) fn next_declaration(before: &Declaration) -> Declaration {
    let mut next = before.clone();
    next.version += 1 + next.version % 3;
    let share = &mut next.routes[0].split[0];
    share.service = if *share.service == *"app" { "other".into() } else { "app".into() };
    next.routes.push(route(&added_route(next.version), Kind::Idempotent, "other"));
    next
}

/// Services that each path prefix is routed to.
pub(super) fn services(declaration: &Declaration) -> BTreeMap<String, BTreeSet<String>> {
    let services = |route: &Route| {
        let services = route.split.iter().map(|share| share.service.to_string());
        (route.prefix.to_string(), services.collect())
    };
    declaration.routes.iter().map(services).collect()
}

/// Indices of all servers of the service of the server at `index`.
pub(super) fn same_service(index: usize) -> impl Iterator<Item = usize> {
    let is_same = move |other: &usize| SERVERS[*other] == SERVERS[index];
    (0..SERVERS.len()).filter(is_same)
}

/// Settings of the server at `index`; `run` counts its predecessors. With `has_versions`, model
/// servers run two versions of their software, and a replacement runs the other one.
pub(super) fn server_settings(index: usize, run: usize, has_versions: bool) -> Settings {
    let (service, id) = (SERVERS[index], format!("{}-{index}.{run}", SERVERS[index]));
    let settings = match service {
        LM => Settings::model(&id, service, &engine(), &[MODELS[0], MODELS[1 + index % 2]]),
        _ => return Settings::plain(&id, service),
    };
    match has_versions {
        true => Settings { software: SOFTWARE[(index + run) % 2].into(), ..settings },
        false => settings,
    }
}

/// Makes a server behave normally, without faults.
pub(super) fn reset_script(server: &Server, events: u64) {
    server.script(|current| *current = script(events));
}

/// The script of a server that behaves normally, without faults.
pub(super) fn script(events: u64) -> Script {
    Script {
        work_time: Duration::from_millis(15),
        events,
        event_interval: Duration::from_millis(20),
        load_time: Duration::from_millis(300),
        poison: Some(POISON),
        poison_part: Some(POISON_PART),
        ..Script::default()
    }
}
