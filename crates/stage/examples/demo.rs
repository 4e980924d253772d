//! Runs several hosts with a simulated platform, two engines and a plain service, all in one
//! process.
//!
//! Prints their addresses and `curl` commands to try, streams one answer, and ends on Ctrl-C. With
//! `--routed` it runs a deployment that routes by host and path instead.

#![allow(clippy::print_stdout, reason = "prints its addresses")]

#[path = "demo/routed.rs"]
mod routed;

use std::{error::Error, net::Ipv4Addr, time::Duration};

use clap::Parser;
use serde_json::json;
use settings::process::Process;
use stage::Running;
use standin::{
    engine::{self, Engine},
    objects::Platform,
    plain::Plain,
};
use types::{
    backend::{self, Kind, Server},
    host::{Entry, Host, List, ListState},
};

const HOSTS: usize = 3;
const ZONES: [&str; 4] = ["mobile-hall", "biloxi-hall", "gulfport-hall", "pensacola-hall"];
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs hosts with a simulated platform and servers.
#[derive(Debug, Parser)]
struct Flags {
    /// Route by host and path instead of serving the chat API.
    #[arg(long)]
    routed: bool,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    if Flags::parse().routed { routed::show().await } else { chat().await }
}

async fn chat() -> Result<(), Box<dyn Error>> {
    let platform = Platform::start().await?;
    platform.poke("config/root", json!({"number": 1, "config": config()}));
    let engines = [engine("lm-1").await?, engine("lm-2").await?];
    let plain = Plain::start("app-1").await?;
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        hosts.push(stage::start(settings(index, &platform)?).await?);
    }
    platform.set_list(list(&hosts, &engines, &plain));
    wait_until_ready(&hosts).await?;
    print_commands(&platform, &hosts);
    print_answer(&hosts[0]).await?;
    println!("\nPress Ctrl-C to stop.");
    tokio::signal::ctrl_c().await?;
    println!("\ndraining requests in flight ...");
    futures_util::future::join_all(hosts.into_iter().map(Running::drain)).await;
    println!("stopped");
    Ok(())
}

async fn engine(id: &str) -> std::io::Result<Engine> {
    let settings = engine::Settings::new(id)
        .with_model("welcome", "v1", 16_000)
        .with_adapter("welcome", "es", "v1", 200)
        .with_model("front-desk", "v1", 24_000);
    Engine::start(settings).await
}

fn config() -> serde_json::Value {
    let adapter = json!({"memory": 200, "version": "v1"});
    json!({
        "customers": {"magnolia": {}},
        "models": {
            "welcome": {
                "group": "portal-lm", "version": "v1", "memory": 16_000, "replicas": 2,
                "adapters": {"es": adapter},
            },
            "front-desk": {"group": "portal-lm", "version": "v1", "memory": 24_000, "replicas": 2},
        },
        "services": {
            "guests": {
                "customer": "magnolia", "offer": {"models": ["welcome"]}, "priority": "urgent",
                "target": {"first_token_ms": 1400, "between_tokens_ms": 74},
            },
            "staff": {
                "customer": "magnolia", "offer": {"models": ["front-desk"]},
                "target": {"first_token_ms": 5000, "between_tokens_ms": 200},
            },
            "tickets": {
                "customer": "magnolia", "offer": {"plain": "portal-app"}, "priority": "urgent",
                "target": {"first_token_ms": 1000}, "non_idempotent": ["POST"],
            },
        },
    })
}

fn settings(index: usize, platform: &Platform) -> serde_json::Result<Process> {
    let any_port = (Ipv4Addr::LOCALHOST, 0).into();
    let zone = ZONES[index % ZONES.len()].into();
    let id = format!("host-{}", index + 1).into();
    let host = Host { id, zone, callers: any_port, peers: any_port, operators: any_port };
    serde_json::from_value(json!({
        "host": host, "platform": platform.address(), "drain": {"balancer_ms": 200},
    }))
}

fn list(hosts: &[Running], engines: &[Engine], plain: &Plain) -> List {
    let hosts = hosts
        .iter()
        .map(|host| Entry { host: host.context().host().clone(), state: ListState::Live })
        .collect();
    let engines = engines.iter().enumerate().map(|(index, engine)| Server {
        id: engine.settings().id.clone(),
        group: "portal-lm".into(),
        kind: Kind::Engine,
        zone: ZONES[index].into(),
        address: engine.address(),
    });
    let plain = Server {
        id: "app-1".into(),
        group: "portal-app".into(),
        kind: Kind::Plain,
        zone: ZONES[0].into(),
        address: plain.address(),
    };
    let live = |server| backend::Entry { server, state: ListState::Live };
    List { hosts, servers: engines.chain([plain]).map(live).collect() }
}

async fn wait_until_ready(hosts: &[Running]) -> Result<(), &'static str> {
    let is_ready = |host: &Running| {
        let context = host.context();
        context.is_ready() && context.fleet.reporting() == context.fleet.list().servers.len()
    };
    let waiting = async {
        while !hosts
            .iter()
            .all(|host| is_ready(host) && !host.context().fleet.list().servers.is_empty())
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, waiting)
        .await
        .map_err(|_| "the hosts were not ready within 10 s")
}

fn print_commands(platform: &Platform, hosts: &[Running]) {
    println!("platform {}", platform.address());
    for host in hosts {
        let host = host.context().host();
        println!("{} callers {} operators {}", host.id, host.callers, host.operators);
    }
    let callers = hosts[0].context().host().callers;
    println!(
        "\ncurl -N http://{callers}/v1/chat/completions -d '{{\"model\": \"welcome:es\", \
         \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"Hola\"}}]}}'"
    );
    println!("curl http://{callers}/v1/models");
    println!("curl -X POST http://{callers}/services/tickets/rooms/12 -d 'room 12'");
    let operators = hosts[0].context().host().operators;
    println!("cargo run --bin cyclamenctl -- --host {operators} status");
    println!("cargo run --bin cyclamenctl -- --host {operators} timeline");
}

/// Requests a streamed answer and prints each chunk as it arrives.
async fn print_answer(host: &Running) -> Result<(), Box<dyn Error>> {
    use http_body_util::BodyExt;
    let callers = host.context().host().callers;
    let payload = json!({
        "model": "welcome", "stream": true, "max_tokens": 8,
        "messages": [{"role": "user", "content": "Bonjour"}],
    });
    let request = http::Request::post("/v1/chat/completions")
        .body(::backend::full_body(payload.to_string().into()))?;
    let mut body = ::backend::Client::new().send(callers, request).await?.into_body();
    println!("\nanswer:");
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            print!("{}", String::from_utf8_lossy(&data));
        }
    }
    Ok(())
}
