//! The planner reacts to demand: a busy model gets another replica without a declared change.

use std::{net::Ipv4Addr, time::Duration};

use http_body_util::BodyExt;
use serde_json::json;
use settings::process::Process;
use standin::{
    engine::{self, Engine},
    objects::Platform,
};
use tokio::task::JoinSet;
use types::{
    backend::{self, Kind, Server},
    host::{Entry, Host, List, ListState},
};

const ENGINES: usize = 3;
const CALLERS: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[tokio::test(flavor = "multi_thread")]
async fn a_busy_model_gets_a_third_replica() {
    let platform = Platform::start().await.expect("the platform starts");
    platform.poke("config/root", json!({"number": 1, "config": config()}));
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let settings = engine::Settings::new(&format!("lm-{n}"));
        let settings = engine::Settings { slots: 2, capacity: 100, ..settings };
        engines.push(Engine::start(settings).await.expect("the engine starts"));
    }
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    let host = Host {
        id: "host-0".into(),
        zone: "zone-0".into(),
        callers: any,
        peers: any,
        operators: any,
    };
    let settings = json!({
        "host": host, "platform": platform.address(), "intervals": {"plan_ms": 100},
        "drain": {"balancer_ms": 0}, "planning": {"loads_per_second": 50.0},
    });
    let settings: Process = serde_json::from_value(settings).expect("the settings are valid");
    let running = stage::start(settings).await.expect("the host starts");
    let listed_host = running.context().host().clone();
    platform.set_list(list(listed_host.clone(), &engines));
    until("two engines have the model", || replicas(&engines) == 2).await;

    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(call(listed_host.callers));
    }
    until("all three engines have the model", || replicas(&engines) == ENGINES).await;
    callers.shutdown().await;
    assert!(engines.iter().all(|engine| engine.counts().overcommits == 0));
    running.drain().await;
}

/// Sends chats one after the other until aborted, whatever the answer.
async fn call(callers: std::net::SocketAddr) {
    let client = ::backend::Client::new();
    let chat = json!({
        "model": "busy", "stream": true, "max_tokens": 100,
        "messages": [{"role": "user", "content": "hola"}],
    });
    loop {
        let request = http::Request::post("/v1/chat/completions")
            .body(::backend::full_body(chat.to_string().into()))
            .expect("the request is valid");
        if let Ok(response) = client.send(callers, request).await {
            let _ = response.into_body().collect().await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn config() -> serde_json::Value {
    let target = json!({"first_token_ms": 60_000, "between_tokens_ms": 10_000});
    json!({
        "customers": {"owner": {}},
        "models": {"busy": {"group": "lm", "version": "v1", "memory": 60}},
        "services": {
            "letters": {"customer": "owner", "offer": {"models": ["busy"]}, "target": target},
        },
    })
}

fn list(host: Host, engines: &[Engine]) -> List {
    let servers = engines.iter().enumerate().map(|(n, engine)| backend::Entry {
        server: Server {
            id: engine.settings().id.clone(),
            group: "lm".into(),
            kind: Kind::Engine,
            zone: format!("zone-{n}").into(),
            address: engine.address(),
        },
        state: ListState::Live,
    });
    List { hosts: vec![Entry { host, state: ListState::Live }], servers: servers.collect() }
}

fn replicas(engines: &[Engine]) -> usize {
    engines.iter().filter(|engine| !engine.residents().is_empty()).count()
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, polling).await.is_ok(), "timed out waiting until {what}");
}
