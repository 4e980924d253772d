//! Processor time of the hosts of a routed deployment, each a process of its own.
//!
//! Servers, store and callers run in the process of the example, so that the hosts' figures contain
//! nothing else.

use std::{
    error::Error,
    fs, io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use standin::routed::{
    caller::{Caller, RequestSpec},
    server::Settings,
    site::{Backend, Site, ZONES},
};
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep},
};
use types::routed::{Declaration, Engine, Kind, Limits, Model, Route, Service, Share};

const HOST: &str = "desk.example";
const LM: &str = "lm";
const PLAIN: &str = "app";
const CHAT: &str = "/chat/";
const PAGES: &str = "/pages/";

const MODEL_SERVERS: usize = 112;
const PLAIN_SERVERS: usize = 6;
const MODELS: u64 = 190;
/// Models that a model server holds from the start.
const HELD: usize = 4;
const ADAPTERS: u32 = 3;

const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const WORK_TIME: Duration = Duration::from_millis(15);

/// Time for the hosts to find each other and to read the servers.
const SETTLE_TIME: Duration = Duration::from_secs(8);

pub(crate) const TABLE_HEAD: &str = "\
    | hosts | served/s | refused or failed/s | processor, % of a core | of it in the kernel, % | \
    wake-ups/s |\n|---|---|---|---|---|---|";

/// Requests since the start of the load.
#[derive(Debug, Default)]
struct Outcomes {
    served: AtomicU64,
    failed: AtomicU64,
}

/// What all hosts have used since their start.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    nanoseconds: u64,
    kernel_ticks: u64,
    ticks: u64,
    wakeups: u64,
}

/// Runs a deployment of this many hosts under a load of `rate` requests a second over all of them,
/// and prints the mean use of a host.
pub(crate) async fn run(
    program: &Path,
    hosts: usize,
    rate: u64,
    duration: Duration,
) -> Result<(), Box<dyn Error>> {
    let backend = Backend::start(servers()).await?;
    backend.script(|script| {
        (script.events, script.event_interval) = (EVENTS, EVENT_INTERVAL);
        script.work_time = WORK_TIME;
    });
    backend.declare(&declaration());
    let mut site = Site::new(program, backend)?;
    for _ in 0..hosts {
        site.add(|settings| settings["log"] = serde_json::json!({"level": "info"})).await?;
    }
    site.wait_until_ready().await;
    let processes: Vec<u32> = site.hosts.iter().map(|host| host.process_id()).collect();
    let addresses = site.hosts.iter().map(|host| host.callers()).collect();
    let outcomes = Arc::new(Outcomes::default());
    let load = tokio::spawn(load(addresses, rate, outcomes.clone()));
    sleep(SETTLE_TIME).await;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
    let (before, start) = (usage(&processes)?, Instant::now());
    let (served, failed) = (count(&outcomes.served), count(&outcomes.failed));
    println!("measuring the processes {processes:?}");
    sleep(duration).await;
    let (after, seconds) = (usage(&processes)?, start.elapsed().as_secs_f64());
    load.abort();
    let each = 1.0 / seconds / hosts as f64;
    let ticks = after.ticks - before.ticks;
    println!(
        "| {hosts} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} |",
        (count(&outcomes.served) - served) / seconds,
        (count(&outcomes.failed) - failed) / seconds,
        (after.nanoseconds - before.nanoseconds) as f64 / 1e9 * each * 100.0,
        (after.kernel_ticks - before.kernel_ticks) as f64 / ticks.max(1) as f64 * 100.0,
        (after.wakeups - before.wakeups) as f64 * each,
    );
    Ok(())
}

/// Sends requests to the hosts in turn until aborted.
async fn load(hosts: Vec<SocketAddr>, rate: u64, outcomes: Arc<Outcomes>) {
    if rate == 0 {
        return;
    }
    let idle: Vec<Arc<Mutex<Vec<Caller>>>> = hosts.iter().map(|_| Arc::default()).collect();
    let mut ticks = interval(Duration::from_secs(1).div_f64(rate as f64));
    let mut requests = JoinSet::new();
    for number in 0_u64.. {
        ticks.tick().await;
        let host = number as usize % hosts.len();
        let (address, idle, outcomes) = (hosts[host], idle[host].clone(), outcomes.clone());
        requests.spawn(async move {
            let callers = || idle.lock().unwrap_or_else(PoisonError::into_inner);
            let known = callers().pop();
            let mut caller = known.unwrap_or_else(|| Caller::new(address));
            let answer = caller.fetch(&request(number)).await;
            let is_served = answer.is_ok_and(|a| a.is_complete && a.status == StatusCode::OK);
            let counter = if is_served { &outcomes.served } else { &outcomes.failed };
            counter.fetch_add(1, Ordering::Relaxed);
            callers().push(caller);
        });
        while requests.try_join_next().is_some() {}
    }
}

/// Two thirds of the requests are for streams, a quarter of these for adapters.
fn request(number: u64) -> RequestSpec {
    if number.is_multiple_of(3) {
        return RequestSpec::to(HOST, PAGES);
    }
    // The product of two draws skews the load towards few models.
    let draw = |factor: u64| (number.wrapping_mul(factor) >> 7) % MODELS;
    let model = draw(0x9e37_79b9) * draw(0x85eb_ca6b) / MODELS;
    let spec = RequestSpec::to(HOST, CHAT).model(&model_name(model)).with_new_prompt();
    if number.is_multiple_of(4) { spec.adapter(&format!("a{}", 1 + number % 3)) } else { spec }
}

fn model_name(number: u64) -> String {
    format!("model-{number:03}")
}

fn servers() -> Vec<Settings> {
    let zone = |number: usize| ZONES[number % ZONES.len()].into();
    let engine = engine();
    let model_servers = (0..MODEL_SERVERS).map(|number| {
        let names = (0..HELD).map(|n| model_name((number * HELD + n) as u64 % MODELS));
        let names: Vec<String> = names.collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let settings = Settings::model(&format!("lm-{number:03}"), LM, &engine, &names);
        Settings { zone: zone(number), ..settings }
    });
    let plain = (0..PLAIN_SERVERS).map(|number| Settings {
        zone: zone(number),
        slots: 64,
        ..Settings::plain(&format!("app-{number}"), PLAIN)
    });
    model_servers.chain(plain).collect()
}

/// Engine with room for [`HELD`] models and one more.
fn engine() -> Engine {
    let model = |number| Model {
        name: model_name(number).into(),
        weights: 1_000,
        load: Duration::from_millis(1_200),
        warm: Duration::from_millis(300),
        disk: Duration::from_millis(600),
        adapters: ADAPTERS,
        adapter_weights: 10,
    };
    Engine {
        slots: 12,
        kv_tokens: 50_000,
        weights: 5_500,
        adapter_slots: 8,
        loads_per_s: 10.0,
        host_memory: 5_000,
        disk: 5_000,
        stride: 1,
        backups: false,
        moves: false,
        models: (0..MODELS).map(model).collect(),
    }
}

fn declaration() -> Declaration {
    let service = |name: &str, engine| Service {
        name: name.into(),
        health: "/health".into(),
        connections: 100,
        engine,
    };
    Declaration {
        version: 1,
        routes: vec![route(PAGES, Kind::Idempotent, PLAIN), route(CHAT, Kind::Stream, LM)],
        services: vec![service(PLAIN, None), service(LM, Some(engine()))],
        limits: Limits::default(),
        customers: None,
    }
}

fn route(prefix: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        resumable: kind == Kind::Stream,
        sticky: false,
        timeout: Duration::from_secs(10),
        goal: Duration::from_millis(400),
        gap: (kind == Kind::Stream).then_some(Duration::from_millis(500)),
        silence: None,
        attempts: 3,
        priority: 1,
        split: vec![Share { service: service.into(), weight: 1 }],
        public: false,
    }
}

fn usage(processes: &[u32]) -> Result<Usage, Box<dyn Error>> {
    let mut sum = Usage::default();
    for process in processes {
        for task in fs::read_dir(format!("/proc/{process}/task"))? {
            add_thread(&mut sum, &task?.path())?;
        }
    }
    Ok(sum)
}

fn add_thread(sum: &mut Usage, thread: &Path) -> Result<(), Box<dyn Error>> {
    const USER: usize = 11;
    let read = |file: &str| -> io::Result<String> { fs::read_to_string(thread.join(file)) };
    let first = |text: &str| text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok());
    sum.nanoseconds += first(&read("schedstat")?).ok_or("schedstat is empty")?;
    let stat = read("stat")?;
    let (_, rest) = stat.rsplit_once(") ").ok_or("stat has no process name")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let (user, kernel): (u64, u64) = (fields[USER].parse()?, fields[USER + 1].parse()?);
    (sum.kernel_ticks, sum.ticks) = (sum.kernel_ticks + kernel, sum.ticks + user + kernel);
    let status = read("status")?;
    let switches = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
    sum.wakeups += switches.and_then(first).ok_or("status has no context switches")?;
    Ok(())
}
