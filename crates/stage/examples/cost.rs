//! Measures the processor time, memory and traffic of a host: idle by fleet size, and under load.
//!
//! The measured host runs as a process of its own, so that its processor time and memory can be
//! read from `/proc`. The other hosts and the simulated engines and platform run in this process.
//! The bytes are those that the first of the other hosts counts on its connections to hosts. Each
//! run has a fixed duration, and the host's process is killed at its end.

#![allow(clippy::print_stdout, reason = "prints its results")]

#[path = "cost/routed.rs"]
mod routed;

use std::{
    error::Error,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command},
    time::Duration,
};

use clap::Parser;
use http_body_util::BodyExt;
use serde_json::json;
use settings::process::Process;
use stage::Running;
use standin::{
    engine::{self, Engine},
    objects::Platform,
};
use tokio::task::JoinSet;
use types::{
    backend::{self, Kind, Server},
    host::{Entry, Host, List, ListState},
};

/// Clock ticks per second of the times in `/proc/<pid>/stat` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: f64 = 100.0;

const MODELS: usize = 4;
/// Tokens in each answer of the load.
const ANSWER_TOKENS: u32 = 50;

const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Measures the processor time, memory and traffic of a host, idle and under load.
#[derive(Debug, Parser)]
struct Flags {
    /// Path of the `cyclamenstage` program.
    #[arg(long)]
    binary: PathBuf,
    /// Numbers of servers; one run with two hosts for each.
    #[arg(long, value_delimiter = ',', default_value = "12,24,48,96")]
    servers: Vec<usize>,
    /// Numbers of hosts; one run with the first number of servers for each.
    #[arg(long, value_delimiter = ',', default_value = "2,4,8")]
    hosts: Vec<usize>,
    /// Rates of load in tokens per second; one run with two hosts and the first number of servers
    /// for each.
    #[arg(long, value_delimiter = ',', default_value = "500,1000,2000")]
    tokens: Vec<u64>,
    /// Measured duration of each run, in seconds.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// Numbers of hosts of a routed deployment. If given, one run for each of these and each rate of
    /// `requests`, and no others.
    #[arg(long, value_delimiter = ',')]
    routed: Vec<usize>,
    /// Requests a second over all hosts of a routed deployment.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    requests: Vec<u64>,
}

/// A child process, killed when dropped.
struct Spawned(Child);

impl Drop for Spawned {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse();
    if !flags.routed.is_empty() {
        println!("{}", routed::TABLE_HEAD);
    }
    for (hosts, rate) in
        flags.routed.iter().flat_map(|n| flags.requests.iter().map(move |r| (n, r)))
    {
        routed::run(&flags.binary, *hosts, *rate, Duration::from_secs(flags.seconds)).await?;
    }
    if !flags.routed.is_empty() {
        return Ok(());
    }
    println!(
        "| servers | hosts | tokens/s | processor, % of a core | resident, MiB | received, KB/s | \
         sent, KB/s | object API calls/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for servers in &flags.servers {
        run(&flags, *servers, 2, 0).await?;
    }
    let first = flags.servers.first().copied().unwrap_or(MODELS);
    for hosts in &flags.hosts {
        run(&flags, first, *hosts, 0).await?;
    }
    for tokens in &flags.tokens {
        run(&flags, first, 2, *tokens).await?;
    }
    Ok(())
}

async fn run(
    flags: &Flags,
    servers: usize,
    hosts: usize,
    tokens: u64,
) -> Result<(), Box<dyn Error>> {
    let platform = Platform::start().await?;
    let models: serde_json::Map<_, _> = (0..MODELS)
        .map(|n| (model(n), json!({"group": "lm", "version": "v1", "memory": 16_000})))
        .collect();
    let offered: Vec<String> = (0..MODELS).map(model).collect();
    let target = json!({"first_token_ms": 5_000, "between_tokens_ms": 500});
    let service = json!({"customer": "owner", "offer": {"models": offered}, "target": target});
    let config = json!({
        "customers": {"owner": {}}, "models": models, "services": {"letters": service},
    });
    platform.poke("config/root", json!({"number": 1, "config": config}));
    let mut engines = Vec::new();
    for n in 0..servers {
        let settings = engine::Settings::new(&format!("lm-{n:03}"));
        let settings = (0..MODELS).fold(settings, |s, m| s.with_model(&model(m), "v1", 16_000));
        engines.push(Engine::start(settings).await?);
    }
    let mut running = Vec::new();
    for n in 1..hosts {
        running.push(stage::start(settings(n, ephemeral_addresses(), &platform)?).await?);
    }
    let ports = [free_address()?, free_address()?, free_address()?];
    let own = settings(0, ports, &platform)?;
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("settings.json");
    fs::write(&file, serde_json::to_vec(&own)?)?;
    let log = fs::File::create(folder.path().join("log"))?;
    let child = Command::new(&flags.binary)
        .arg("serve")
        .arg("--settings")
        .arg(&file)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    let child = Spawned(child);
    platform.set_list(list(&own.host, &running, &engines));
    let load = tokio::spawn(load(own.host.callers, tokens));
    tokio::time::sleep(SETTLE_TIME).await;
    let (ticks, bytes, calls) = (cpu_ticks(&child)?, bytes(&running), calls(&platform));
    let duration = Duration::from_secs(flags.seconds);
    tokio::time::sleep(duration).await;
    let seconds = duration.as_secs_f64();
    let spent = (cpu_ticks(&child)? - ticks) / TICKS_PER_SECOND / seconds * 100.0;
    let now = self::bytes(&running);
    let rate = |from: u64, to: u64| (to - from) as f64 / 1000.0 / seconds;
    println!(
        "| {servers} | {hosts} | {tokens} | {spent:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
        resident(&child)?,
        rate(bytes.0, now.0),
        rate(bytes.1, now.1),
        (self::calls(&platform) - calls) as f64 / seconds,
    );
    load.abort();
    drop(child);
    futures_util::future::join_all(running.into_iter().map(Running::drain)).await;
    Ok(())
}

/// Requests streamed answers through the host at this rate of tokens per second, until aborted.
async fn load(callers: SocketAddr, tokens: u64) {
    if tokens == 0 {
        return;
    }
    let client = ::backend::Client::new();
    let gap = Duration::from_secs(1) * ANSWER_TOKENS / u32::try_from(tokens).unwrap_or(u32::MAX);
    let mut ticks = tokio::time::interval(gap);
    let mut requests = JoinSet::new();
    for serial in 0_usize.. {
        ticks.tick().await;
        let client = client.clone();
        requests.spawn(async move {
            // A refused or truncated answer only reduces the load, which shows in the host's
            // results.
            let _ = ask(&client, callers, serial).await;
        });
        while requests.try_join_next().is_some() {}
    }
}

async fn ask(
    client: &::backend::Client,
    callers: SocketAddr,
    serial: usize,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let payload = json!({
        "model": model(serial % MODELS), "stream": true, "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": format!("letter {serial}")}],
    });
    let request = http::Request::post("/v1/chat/completions")
        .body(::backend::full_body(payload.to_string().into()))?;
    let mut body = client.send(callers, request).await?.into_body();
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}

fn model(n: usize) -> String {
    format!("model-{n}")
}

fn ephemeral_addresses() -> [SocketAddr; 3] {
    [(Ipv4Addr::LOCALHOST, 0).into(); 3]
}

/// Returns an address whose port was free when this was called; another process may take it since.
fn free_address() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn settings(
    n: usize,
    [callers, peers, operators]: [SocketAddr; 3],
    platform: &Platform,
) -> serde_json::Result<Process> {
    let zone = format!("zone-{}", n % 4).into();
    let host = Host { id: format!("host-{n}").into(), zone, callers, peers, operators };
    serde_json::from_value(json!({
        "host": host, "platform": platform.address(), "drain": {"balancer_ms": 0},
        "log": {"level": "error"},
    }))
}

fn list(own: &Host, hosts: &[Running], engines: &[Engine]) -> List {
    let others = hosts.iter().map(|host| host.context().host().clone());
    let hosts = others.chain([own.clone()]).map(|host| Entry { host, state: ListState::Live });
    let servers = engines.iter().enumerate().map(|(n, engine)| backend::Entry {
        server: Server {
            id: engine.settings().id.clone(),
            group: "lm".into(),
            kind: Kind::Engine,
            zone: format!("zone-{}", n % 4).into(),
            address: engine.address(),
        },
        state: ListState::Live,
    });
    List { hosts: hosts.collect(), servers: servers.collect() }
}

/// Bytes received and sent by the first of these hosts on its connections to hosts.
fn bytes(hosts: &[Running]) -> (u64, u64) {
    let meter = hosts.first().map(|host| &host.context().control_bytes);
    meter.map_or((0, 0), |meter| (meter.received(), meter.sent()))
}

fn calls(platform: &Platform) -> u64 {
    let calls = platform.calls();
    calls.reads + calls.writes + calls.watches + calls.lists
}

/// Processor time of a process in user and kernel mode, in clock ticks.
fn cpu_ticks(child: &Spawned) -> Result<f64, Box<dyn Error>> {
    const USER: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{}/stat", child.0.id()))?;
    let (_, rest) = stat.rsplit_once(") ").ok_or("/proc/<pid>/stat has no process name")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    Ok(fields[USER].parse::<f64>()? + fields[USER + 1].parse::<f64>()?)
}

/// Resident memory of a process, in MiB.
fn resident(child: &Spawned) -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{}/status", child.0.id()))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or("/proc/<pid>/status has no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse::<f64>()? / 1024.0)
}
