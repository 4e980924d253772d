//! A deployment that routes by host and path, with a simulated store and servers in this process.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, StatusCode};
use platform::Platform;
use relay::Running;
use settings::process::Process;
use standin::routed::{
    caller::{Caller, RequestSpec},
    server::Settings,
    site::{self, Backend},
};
use types::routed::{Declaration, Engine, Kind, Limits, Model, Route, Service, Share};

use crate::HOSTS;

const HOST: &str = "portal.example";
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_ATTEMPTS: u32 = 100;

/// Starts servers and hosts, sends each of the requests, prints the answers, and runs until Ctrl-C.
pub async fn show() -> Result<(), Box<dyn Error>> {
    let engine = engine();
    let backend = Backend::start(vec![
        Settings::model("lm-1", "portal-lm", &engine, &["welcome", "front-desk"]),
        Settings::model("lm-2", "portal-lm", &engine, &["welcome"]),
        Settings::plain("app-1", "portal-app"),
        Settings::plain("app-2", "portal-app"),
    ])
    .await?;
    backend.declare(&declaration(engine));
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        hosts.push(start(&backend, index).await?);
    }
    for host in &hosts {
        println!("{} callers {}", host.host().id, host.host().callers);
    }
    let callers = hosts[0].host().callers;
    let requests = requests();
    requests.iter().for_each(|request| println!("\n{}", curl(callers, request)));
    for request in &requests {
        print_answer(callers, request).await?;
    }
    println!("\nPress Ctrl-C to stop.");
    tokio::signal::ctrl_c().await?;
    println!("\ndraining requests in flight ...");
    futures_util::future::join_all(hosts.into_iter().map(Running::drain)).await;
    println!("stopped");
    Ok(())
}

async fn start(backend: &Backend, index: usize) -> Result<Running, Box<dyn Error>> {
    let name = format!("host-{}", index + 1);
    let store = backend.store.open(&name).await?;
    let settings: Process = serde_json::from_value(site::settings(&name, index, store, &[]))?;
    let routed = settings.routed.clone().ok_or("the settings have no routed deployment")?;
    Ok(relay::start(settings, routed, Arc::new(Platform)).await?)
}

fn requests() -> [RequestSpec; 3] {
    [
        RequestSpec::to(HOST, "/drafts/welcome").model("welcome"),
        RequestSpec::to(HOST, "/login/"),
        RequestSpec::to(HOST, "/tickets/rooms/12").with_body(Method::POST, "room 12"),
    ]
}

/// Shell command that sends a request with `curl`.
fn curl(callers: SocketAddr, spec: &RequestSpec) -> String {
    let request = spec.with_new_id().request();
    let headers =
        request.headers().iter().filter(|(name, _)| *name != http::header::CONTENT_LENGTH);
    let headers = headers
        .map(|(name, value)| format!("-H '{name}: {}' ", value.to_str().unwrap_or_default()));
    let body = String::from_utf8_lossy(request.body());
    let body = if body.is_empty() { String::new() } else { format!(" -d '{body}'") };
    let (method, path) = (request.method(), request.uri());
    format!("curl -N -X {method} {}http://{callers}{path}{body}", headers.collect::<String>())
}

/// Sends a request and prints the answer. Retries after 503 when its `Retry-After` has passed, or
/// [`RETRY_DELAY`] without one.
async fn print_answer(callers: SocketAddr, request: &RequestSpec) -> Result<(), Box<dyn Error>> {
    let mut caller = Caller::new(callers);
    for _ in 0..MAX_ATTEMPTS {
        let answer =
            caller.fetch(&request.with_new_id()).await.map_err(|failure| format!("{failure:?}"))?;
        if answer.status != StatusCode::SERVICE_UNAVAILABLE {
            println!(
                "\n{} {}:\n{}",
                request.info.path,
                answer.status,
                String::from_utf8_lossy(&answer.body)
            );
            return Ok(());
        }
        tokio::time::sleep(answer.metadata.retry_after.unwrap_or(RETRY_DELAY)).await;
    }
    Err("every attempt was refused with 503".into())
}

fn engine() -> Engine {
    let model = |name: &str| Model {
        name: name.into(),
        weights: 16_000,
        load: Duration::from_secs(1),
        warm: Duration::from_millis(300),
        disk: Duration::from_millis(500),
        adapters: 2,
        adapter_weights: 200,
    };
    Engine {
        slots: 8,
        kv_tokens: 50_000,
        weights: 40_000,
        adapter_slots: 2,
        loads_per_s: 2.0,
        host_memory: 64_000,
        disk: 256_000,
        stride: 1,
        backups: false,
        moves: false,
        models: ["welcome", "front-desk"].map(model).into(),
    }
}

fn declaration(engine: Engine) -> Declaration {
    let service = |name: &str, engine| Service {
        name: name.into(),
        health: "/health".into(),
        connections: 100,
        engine,
    };
    Declaration {
        version: 1,
        routes: vec![
            route("/drafts/", Kind::Stream, "portal-lm"),
            route("/login/", Kind::Idempotent, "portal-app"),
            route("/tickets/", Kind::NonIdempotent, "portal-app"),
        ],
        services: vec![service("portal-lm", Some(engine)), service("portal-app", None)],
        limits: Limits::default(),
        customers: None,
    }
}

fn route(prefix: &str, kind: Kind, to: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        resumable: kind == Kind::Stream,
        sticky: kind == Kind::Stream,
        timeout: Duration::from_secs(12),
        goal: Duration::from_millis(400),
        gap: (kind == Kind::Stream).then_some(Duration::from_millis(150)),
        silence: None,
        attempts: 3,
        priority: 0,
        split: vec![Share { service: to.into(), weight: 1 }],
        public: false,
    }
}
