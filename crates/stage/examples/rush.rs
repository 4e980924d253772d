//! Compares admission policies in an overload: guests send ten times what the engines can serve,
//! while staff chats run.
//!
//! Runs the same seeded arrivals with each setting of admission and concurrency limit, one after
//! the other, and prints how many guest and staff requests met their target before, during and
//! after the overload. Two hosts and two engines run in this process, on loopback only; each run
//! takes about fourteen seconds.

#![allow(clippy::print_stdout, reason = "prints its results")]

use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Parser;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use settings::process::Process;
use stage::Running;
use standin::{
    engine::{self, Engine},
    objects::Platform,
};
use types::{
    backend::{self, Kind, Server},
    host::{List, ListState},
};

const HOSTS: usize = 2;
const ENGINES: usize = 2;
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(10);
const TOKENS: u32 = 32;
/// Requests per second that the engines can serve.
const CAPACITY: f64 = 1000.0 * (ENGINES as u32 * SLOTS) as f64 / (10 * TOKENS) as f64;
const GUEST_TARGET: Duration = Duration::from_millis(400);
const STAFF_TARGET: Duration = Duration::from_secs(2);
/// Time after which a caller gives up, also sent to the host as the deadline.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Phases of a run: name, the guests' demand as a multiple of [`CAPACITY`], and duration.
const PHASES: [(&str, f64, Duration); 3] = [
    ("before", 0.5, Duration::from_secs(3)),
    ("rush", 10.0, Duration::from_secs(5)),
    ("after", 0.5, Duration::from_secs(6)),
];
/// The staff's demand as a multiple of [`CAPACITY`], in all phases.
const STAFF_DEMAND: f64 = 0.2;

#[derive(Parser)]
struct Flags {
    /// Seed for the arrival times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Guest,
    Staff,
}

/// Result of one request: its phase, and the time to the first token if it was answered.
struct Sample {
    phase: usize,
    caller: Caller,
    first_token: Option<Duration>,
    was_refused: bool,
}

type Http = Client<HttpConnector, Full<Bytes>>;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse();
    println!("capacity {CAPACITY} requests/s, target {GUEST_TARGET:?}, seed {}", flags.seed);
    println!(
        "admission                phase   guests sent  met  share | staff sent  met | refused"
    );
    for (name, traffic) in traffic_settings() {
        let samples = run(&traffic, flags.seed).await?;
        for (phase, (title, _, _)) in PHASES.iter().enumerate() {
            print_row(name, title, samples.iter().filter(|sample| sample.phase == phase));
        }
    }
    Ok(())
}

fn traffic_settings() -> [(&'static str, Value); 6] {
    [
        ("open", json!({"admission": "open"})),
        ("judged, fixed 4", json!({"limit": {"fixed": 4}})),
        ("judged, fixed 16", json!({"limit": {"fixed": 16}})),
        ("judged, fixed 64", json!({"limit": {"fixed": 64}})),
        ("judged, aimd", json!({"limit": "aimd"})),
        ("judged, gradient", json!({"limit": "gradient"})),
    ]
}

fn print_row<'a>(name: &str, phase: &str, samples: impl Iterator<Item = &'a Sample> + Clone) {
    let samples_of = |caller| samples.clone().filter(move |sample| sample.caller == caller);
    let count_met = |caller, target| {
        samples_of(caller)
            .filter(|sample| sample.first_token.is_some_and(|first_token| first_token <= target))
            .count()
    };
    let (guests, staff) = (samples_of(Caller::Guest).count(), samples_of(Caller::Staff).count());
    let guests_met = count_met(Caller::Guest, GUEST_TARGET);
    println!(
        "{name:24} {phase:7} {guests:11} {guests_met:5} {:5.1}% | {staff:10} {:4} | {}",
        100.0 * guests_met as f64 / guests.max(1) as f64,
        count_met(Caller::Staff, STAFF_TARGET),
        samples.clone().filter(|sample| sample.was_refused).count(),
    );
}

async fn run(traffic: &Value, seed: u64) -> Result<Vec<Sample>, Box<dyn Error>> {
    let platform = Platform::start().await?;
    platform.poke("config/root", json!({"number": 1, "config": config()}));
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let settings = engine::Settings {
            slots: SLOTS,
            step: STEP,
            report_lag: Duration::from_millis(100),
            ..engine::Settings::new(&format!("lm-{index}")).with_model("welcome", "v1", 900)
        };
        engines.push(Engine::start(settings).await?);
    }
    platform.set_list(List { hosts: Vec::new(), servers: engines.iter().map(entry).collect() });
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        hosts.push(stage::start(host_settings(index, &platform, traffic)?).await?);
    }
    let addresses: Vec<SocketAddr> =
        hosts.iter().map(|host| host.context().host().callers).collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let samples = send_arrivals(&addresses, seed).await;
    futures_util::future::join_all(hosts.into_iter().map(Running::drain)).await;
    Ok(samples)
}

/// Sends each request at its scheduled time, and waits until all have ended.
async fn send_arrivals(hosts: &[SocketAddr], seed: u64) -> Vec<Sample> {
    let client: Http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let client = Arc::new(client);
    let began = Instant::now();
    let mut tasks = Vec::new();
    for (count, (at, phase, caller)) in schedule(seed).into_iter().enumerate() {
        tokio::time::sleep_until((began + at).into()).await;
        let (client, host) = (client.clone(), hosts[count % hosts.len()]);
        tasks.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let answer = ask(&client, host, caller, count).await;
            let first_token = answer.as_ref().ok().map(|_| sent_at.elapsed());
            let was_refused = matches!(answer, Err(Some(503)));
            if let Ok(body) = answer {
                let _ = tokio::time::timeout(TIMEOUT, body.collect()).await;
            }
            Sample { phase, caller, first_token, was_refused }
        }));
    }
    let results = futures_util::future::join_all(tasks).await;
    results.into_iter().filter_map(Result::ok).collect()
}

/// Poisson arrivals of guests and staff in order of time: time since the start of the run, phase
/// and caller.
fn schedule(seed: u64) -> Vec<(Duration, usize, Caller)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut start = Duration::ZERO;
    for (phase, (_, multiple, duration)) in PHASES.iter().enumerate() {
        for (caller, rate) in
            [(Caller::Guest, multiple * CAPACITY), (Caller::Staff, STAFF_DEMAND * CAPACITY)]
        {
            let mut at = Duration::ZERO;
            loop {
                let uniform: f64 = rng.random();
                at += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
                if *duration <= at {
                    break;
                }
                arrivals.push((start + at, phase, caller));
            }
        }
        start += *duration;
    }
    arrivals.sort_by_key(|(at, _, _)| *at);
    arrivals
}

/// Returns the body once the first token has arrived. Otherwise the error is the status, or none if
/// there was no response in time.
async fn ask(
    client: &Http,
    host: SocketAddr,
    caller: Caller,
    count: usize,
) -> Result<hyper::body::Incoming, Option<u16>> {
    let service = match caller {
        Caller::Guest => "guests",
        Caller::Staff => "staff",
    };
    let body = json!({
        "model": "welcome", "stream": true, "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": format!("request {count}")}],
    });
    let request = http::Request::post(format!("http://{host}/v1/chat/completions"))
        .header("service", service)
        .header("x-timeout-ms", TIMEOUT.as_millis() as u64)
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|_| None)?;
    let answer = tokio::time::timeout(TIMEOUT, client.request(request)).await;
    let response = answer.map_err(|_| None)?.map_err(|_| None)?;
    // The host sends the response head together with the first token.
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        status => Err(Some(status)),
    }
}

fn config() -> Value {
    let service = |priority: &str, target: Duration| {
        json!({
            "customer": "magnolia", "offer": {"models": ["welcome"]}, "priority": priority,
            "target": {"first_token_ms": target.as_millis() as u64},
        })
    };
    json!({
        "customers": {"magnolia": {}},
        "models": {"welcome": {"group": "lm", "version": "v1", "memory": 900}},
        "services": {
            "guests": service("urgent", GUEST_TARGET),
            "staff": service("normal", STAFF_TARGET),
        },
    })
}

fn entry(engine: &Engine) -> backend::Entry {
    let server = Server {
        id: engine.settings().id.clone(),
        group: "lm".into(),
        kind: Kind::Engine,
        zone: "biloxi-hall".into(),
        address: engine.address(),
    };
    backend::Entry { server, state: ListState::Live }
}

fn host_settings(
    index: usize,
    platform: &Platform,
    traffic: &Value,
) -> Result<Process, serde_json::Error> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    serde_json::from_value(json!({
        "host": {
            "id": format!("host-{index}"), "zone": "biloxi-hall",
            "callers": any_port, "peers": any_port, "operators": any_port,
        },
        "platform": platform.address(),
        "intervals": {"list_ms": 200, "report_ms": 100, "heartbeat_ms": 250, "plan_ms": 60_000},
        "drain": {"balancer_ms": 0, "finish_ms": 10_000},
        "traffic": traffic,
    }))
}
