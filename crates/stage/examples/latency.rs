//! Measures the latency and processor time that a host adds to a request.
//!
//! Starts the host as a process of its own, so that its processor time is separate from the load's;
//! the simulated platform and servers run in this process. Measures plain calls directly to the
//! service and through the host, alternating; then the host's processor time for a plain call, a
//! streamed chat and an early refusal. Uses loopback only and a fixed number of requests. Build the
//! program first:
//! `cargo build --release -p cyclamenstage --bins --examples`.

#![allow(clippy::print_stdout, reason = "prints its results")]

use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;
use standin::{
    engine::{self, Engine},
    objects::Platform,
    plain::Plain,
};
use types::{
    backend::{self, Kind, Server},
    host::{List, ListState},
};

const WARM_UP_CALLS: usize = 500;
const CALLS: usize = 5000;
const CHATS: usize = 300;
const TOKENS: u32 = 32;
const REFUSALS: usize = 3000;
/// Clock ticks per second of the times in `/proc/<pid>/stat` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: f64 = 100.0;

type Http = Client<HttpConnector, Full<Bytes>>;
type BoxError = Box<dyn Error>;

/// The measured host's process, killed when dropped.
struct Host {
    child: Child,
    callers: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    /// Processor time of the process so far, in user and kernel mode.
    fn cpu_time(&self) -> Result<Duration, BoxError> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
    }
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let platform = Platform::start().await?;
    platform.poke("config/root", json!({"number": 1, "config": config()}));
    let plain = Plain::start("app-0").await?;
    let engine = Engine::start(engine::Settings {
        slots: 4,
        step: Duration::from_millis(1),
        ..engine::Settings::new("lm-0").with_model("welcome", "v1", 900)
    })
    .await?;
    let servers = vec![
        entry("app-0", "app", Kind::Plain, plain.address()),
        entry("lm-0", "lm", Kind::Engine, engine.address()),
    ];
    platform.set_list(List { hosts: Vec::new(), servers });
    let host = start(&platform)?;
    let client: Http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    wait_until_ready(&client, &host).await?;
    measure_added_latency(&client, &host, plain.address()).await?;
    measure_processor_time(&client, &host).await
}

/// Calls the server directly and through the host in turn, so that load from other processes
/// affects both alike.
async fn measure_added_latency(
    client: &Http,
    host: &Host,
    server: SocketAddr,
) -> Result<(), BoxError> {
    let mut direct = Histogram::<u64>::new(3)?;
    let mut via_host = Histogram::<u64>::new(3)?;
    for count in 0..WARM_UP_CALLS + CALLS {
        let direct_us = time_call(client, server, "/rooms").await?;
        let via_host_us = time_call(client, host.callers, "/services/tickets/rooms").await?;
        if WARM_UP_CALLS <= count {
            direct.record(direct_us)?;
            via_host.record(via_host_us)?;
        }
    }
    println!("{CALLS} plain calls each, one at a time, microseconds:");
    for (name, histogram) in [("direct", &direct), ("through one host", &via_host)] {
        println!(
            "  {name:17} p50 {:5}  p90 {:5}  p99 {:5}  max {:6}",
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.9),
            histogram.value_at_quantile(0.99),
            histogram.max(),
        );
    }
    Ok(())
}

async fn time_call(client: &Http, address: SocketAddr, path: &str) -> Result<u64, BoxError> {
    let began = Instant::now();
    let request = http::Request::put(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from_static(b"a short letter")))?;
    let response = client.request(request).await?;
    if !response.status().is_success() {
        return Err(format!("{address} answers {}", response.status()).into());
    }
    response.into_body().collect().await?;
    Ok(u64::try_from(began.elapsed().as_micros())?)
}

async fn measure_processor_time(client: &Http, host: &Host) -> Result<(), BoxError> {
    let before = host.cpu_time()?;
    for _ in 0..CALLS {
        time_call(client, host.callers, "/services/tickets/rooms").await?;
    }
    print_cpu_time("plain call", CALLS, host.cpu_time()? - before);
    let before = host.cpu_time()?;
    for _ in 0..CHATS {
        chat(client, host, "chat", TOKENS).await?;
    }
    print_cpu_time("streamed chat of 32 tokens", CHATS, host.cpu_time()? - before);
    // Long chats fill the engine's slots, so that each chat after them misses its target and is
    // refused at once.
    let blockers =
        futures_util::future::join_all((0..5).map(|_| chat(client, host, "slow", 60_000)));
    let refused = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = host.cpu_time()?;
        let mut refused = 0;
        for _ in 0..REFUSALS {
            refused += usize::from(chat(client, host, "chat", TOKENS).await? == 503);
        }
        print_cpu_time(
            &format!("chat, {refused} of {REFUSALS} refused"),
            REFUSALS,
            host.cpu_time()? - before,
        );
        Ok::<(), BoxError>(())
    };
    tokio::select! {
        result = refused => result,
        _ = blockers => Err("the engine had a free slot during the refusals".into()),
    }
}

fn print_cpu_time(name: &str, count: usize, cpu_time: Duration) {
    let each = cpu_time.as_secs_f64() / count as f64;
    println!(
        "{name}: {:.0} us of the host's processor time each, {:.0} per core second",
        each * 1e6,
        1.0 / each
    );
}

async fn chat(client: &Http, host: &Host, service: &str, tokens: u32) -> Result<u16, BoxError> {
    let body = json!({
        "model": "welcome", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hola"}],
    });
    let request = http::Request::post(format!("http://{}/v1/chat/completions", host.callers))
        .header("service", service)
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = client.request(request).await?;
    let status = response.status().as_u16();
    response.into_body().collect().await?;
    Ok(status)
}

fn start(platform: &Platform) -> Result<Host, BoxError> {
    let (callers, peers, operators) = (free_address()?, free_address()?, free_address()?);
    let settings = json!({
        "host": {
            "id": "host-0", "zone": "biloxi-hall",
            "callers": callers, "peers": peers, "operators": operators,
        },
        "platform": platform.address(),
        "log": {"level": "error"},
    });
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("host.json");
    std::fs::write(&file, settings.to_string())?;
    let examples = std::env::current_exe()?;
    let binary =
        examples.parent().and_then(|f| f.parent()).ok_or("the program has no parent directory")?;
    let mut command = Command::new(binary.join("cyclamenstage"));
    let child = command.args(["serve", "--settings"]).arg(&file).spawn()?;
    // The process reads its settings when it starts; wait before the directory is deleted.
    std::thread::sleep(Duration::from_millis(500));
    Ok(Host { child, callers })
}

async fn wait_until_ready(client: &Http, host: &Host) -> Result<(), BoxError> {
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let is_up = time_call(client, host.callers, "/services/tickets/rooms").await.is_ok();
        if is_up && chat(client, host, "slow", 1).await.is_ok_and(|status| status == 200) {
            return Ok(());
        }
    }
    Err("the host was not ready after 100 checks".into())
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn config() -> serde_json::Value {
    let chat = |first_token: u64| {
        json!({
            "customer": "guests", "offer": {"models": ["welcome"]},
            "target": {"first_token_ms": first_token},
        })
    };
    json!({
        "customers": {"guests": {}},
        "models": {"welcome": {"group": "lm", "version": "v1", "memory": 900}},
        "services": {
            "chat": chat(100),
            "slow": chat(60_000),
            "tickets": {
                "customer": "guests", "offer": {"plain": "app"},
                "target": {"first_token_ms": 1000},
            },
        },
    })
}

fn entry(id: &str, group: &str, kind: Kind, address: SocketAddr) -> backend::Entry {
    let zone = "biloxi-hall".into();
    let server = Server { id: id.into(), group: group.into(), kind, zone, address };
    backend::Entry { server, state: ListState::Live }
}
