//! Plays a large fleet whose servers leave one after the other, under faults drawn from a seed, and
//! prints how long after its leaving each server was still sent requests.
//!
//! Above 16 hosts most hosts follow the servers through a relay, which the soak test has only if it
//! is started with that many. Uses loopback addresses only. Exits with 1 if a request came too late
//! from a host that had no fault but lost or late datagrams.

#![allow(clippy::print_stdout, reason = "the result goes to standard output")]

use std::{
    collections::HashMap,
    error::Error,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clap::Parser;
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use standin::routed::{
    caller::{Caller, RequestSpec},
    links::Delivery,
    server::{Script, Settings},
    site::{Backend, Site, server_kind},
    store::{Faults, Refusal},
};
use tokio::time::{Instant, sleep, timeout};
use types::routed::{Declaration, Kind, Limits, Route, Service, Share};

const HOST: &str = "desk.example";
const SERVICE: &str = "app";

/// Time after its leaving within which a server must be left alone.
const DRAIN: Duration = Duration::from_secs(3);

/// Time without a fault after which a host or the store counts as undisturbed.
const CONTACT: Duration = Duration::from_secs(4);

/// Time from a server's leaving to its end.
const LINGER: Duration = Duration::from_secs(9);

/// Time given to the hosts to know each other before the first fault.
const WARM_UP: Duration = Duration::from_secs(12);

/// Timeout of the route, and deadline of the requests to it.
const DEADLINE: Duration = Duration::from_secs(2);

/// Time in which a server answers.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Time between two outages of the store.
const STORE_REST: Duration = Duration::from_secs(10);

/// Interval at which the player looks for what is due.
const STEP: Duration = Duration::from_millis(10);

/// Runs a large fleet whose servers leave one after the other, and checks when the last request
/// reached each of them.
#[derive(Debug, Parser)]
struct Flags {
    /// Seed of the faults and of the order in which servers leave.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 62, value_parser = clap::value_parser!(u8).range(2..=120))]
    hosts: u8,
    /// Number of servers that are registered at a time.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u16).range(2..))]
    servers: u16,
    /// Duration of the play in seconds, without warm-up.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Mean time between two requests to a host, in milliseconds.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(2..))]
    pause_ms: u64,
    /// Time between two departures, in milliseconds.
    #[arg(long, default_value_t = 200)]
    departure_ms: u64,
    /// Mean time between two faults, in milliseconds.
    #[arg(long, default_value_t = 700, value_parser = clap::value_parser!(u64).range(2..))]
    fault_ms: u64,
    /// Executable of the host.
    #[arg(long, default_value = "target/release/cyclamenstage")]
    program: PathBuf,
    /// Directory for the hosts' settings and logs, with a subdirectory for each seed.
    #[arg(long, default_value = "target/departures")]
    folder: PathBuf,
}

/// A fault of one host, or of the store for all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Freeze,
    Kill,
    /// The store refuses the host's calls.
    StoreRefuses,
    /// The store's answers to the host are late.
    StoreLate,
    DatagramsLost,
    DatagramsLate,
    /// The store refuses the calls of all hosts.
    StoreOut,
}

impl Fault {
    const ALL: [Fault; 7] = [
        Fault::Freeze,
        Fault::Kill,
        Fault::StoreRefuses,
        Fault::StoreLate,
        Fault::DatagramsLost,
        Fault::DatagramsLate,
        Fault::StoreOut,
    ];

    /// Whether it concerns datagrams only. A host must leave servers alone in time without them.
    fn is_datagrams(self) -> bool {
        matches!(self, Fault::DatagramsLost | Fault::DatagramsLate)
    }

    fn duration_ms(self) -> std::ops::Range<u64> {
        match self {
            Fault::Freeze => 200..6_000,
            Fault::Kill => 50..3_000,
            Fault::StoreOut => 800..6_000,
            _ => 2_000..10_000,
        }
    }
}

/// A fault that was injected; `host` is `None` for the store.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    fault: Fault,
    host: Option<usize>,
    from: Instant,
    to: Instant,
    is_over: bool,
}

impl Disruption {
    /// Whether it lasted at a time, or had ended less than [`CONTACT`] before.
    fn affects(&self, at: Instant) -> bool {
        self.from <= at && at <= self.to + CONTACT
    }
}

/// A server that has left.
#[derive(Clone, Debug)]
struct Departure {
    server: String,
    at: Instant,
}

/// What the callers share with the player.
#[derive(Debug, Default)]
struct Load {
    /// Addresses of the hosts, by index.
    hosts: Vec<SocketAddr>,
    /// The host that each request was sent to.
    sent: HashMap<Arc<str>, usize>,
    /// Number of requests by outcome.
    outcomes: HashMap<String, usize>,
}

struct Player {
    flags: Flags,
    random: ChaCha8Rng,
    site: Site,
    load: Arc<Mutex<Load>>,
    servers: Vec<String>,
    started: usize,
    departures: Vec<Departure>,
    disruptions: Vec<Disruption>,
}

type BoxError = Box<dyn Error + Send + Sync>;

fn lock(load: &Mutex<Load>) -> MutexGuard<'_, Load> {
    load.lock().unwrap_or_else(PoisonError::into_inner)
}

fn declaration() -> Declaration {
    let route = Route {
        name: "pages".into(),
        host: HOST.into(),
        prefix: "/pages/".into(),
        kind: Kind::Idempotent,
        resumable: false,
        sticky: false,
        timeout: DEADLINE,
        goal: Duration::from_secs(1),
        gap: None,
        silence: None,
        attempts: 3,
        priority: 1,
        split: vec![Share { service: SERVICE.into(), weight: 1 }],
        public: false,
    };
    let service =
        Service { name: SERVICE.into(), health: "/health".into(), connections: 400, engine: None };
    Declaration {
        version: 3,
        routes: vec![route],
        services: vec![service],
        limits: Limits::default(),
        customers: None,
    }
}

/// Sends requests to a host until `end`.
async fn call(load: Arc<Mutex<Load>>, host: usize, pause_ms: u64, end: Instant) {
    let mut address = lock(&load).hosts[host];
    let mut caller = Caller::new(address);
    let mut random = ChaCha8Rng::seed_from_u64(host as u64);
    while Instant::now() < end {
        let current = lock(&load).hosts[host];
        if current != address {
            address = current;
            caller = Caller::new(address);
        }
        let request = RequestSpec::to(HOST, "/pages/x").with_new_id().deadline(Some(DEADLINE));
        lock(&load).sent.insert(request.id(), host);
        let outcome = match timeout(DEADLINE + CONTACT / 4, caller.fetch(&request)).await {
            Ok(Ok(answer)) => answer.status.as_u16().to_string(),
            Ok(Err(_)) => "no answer".to_owned(),
            Err(_) => {
                caller = Caller::new(address);
                "late".to_owned()
            }
        };
        *lock(&load).outcomes.entry(outcome).or_default() += 1;
        let pause = random.random_range(pause_ms / 2..pause_ms * 3 / 2);
        sleep(Duration::from_millis(pause)).await;
    }
}

impl Player {
    async fn start(flags: Flags) -> Result<Player, BoxError> {
        let folder = flags.folder.join(format!("seed-{}", flags.seed));
        std::fs::create_dir_all(&folder)?;
        let backend = Backend::start(Vec::new()).await?;
        backend.declare(&declaration());
        let site = Site::in_folder(&flags.program, backend, &folder);
        let mut player = Player {
            random: ChaCha8Rng::seed_from_u64(flags.seed),
            site,
            load: Arc::default(),
            servers: Vec::new(),
            started: 0,
            departures: Vec::new(),
            disruptions: Vec::new(),
            flags,
        };
        for _ in 0..player.flags.servers {
            player.start_server().await?;
        }
        player.site.relay_links();
        for _ in 0..player.flags.hosts {
            let change = |settings: &mut serde_json::Value| {
                settings["routed"]["drain_ms"] = json!(DRAIN.as_millis());
                settings["routed"]["apply_ms"] = json!(DRAIN.as_millis());
                settings["log"] = json!({"level": "info"});
            };
            player.site.add(change).await?;
        }
        player.site.wait_until_ready().await;
        lock(&player.load).hosts = player.site.hosts.iter().map(|host| host.callers()).collect();
        sleep(WARM_UP).await;
        Ok(player)
    }

    async fn start_server(&mut self) -> Result<(), BoxError> {
        let id = format!("{SERVICE}-{}", self.started);
        self.started += 1;
        let work = |script: &mut Script| script.work_time = WORK_TIME;
        self.site.backend.add_with_script(Settings::plain(&id, SERVICE), work).await?;
        self.servers.push(id);
        Ok(())
    }

    /// Lets a server leave, with or without saying so, and starts another one.
    async fn depart(&mut self) -> Result<String, BoxError> {
        let index = self.random.random_range(0..self.servers.len());
        let server = self.servers.swap_remove(index);
        match self.random.random_bool(0.5) {
            true => self.site.backend.deregister(&server),
            false => self.site.backend.server(&server).drain(None),
        }
        self.departures.push(Departure { server: server.clone(), at: Instant::now() });
        self.start_server().await?;
        Ok(server)
    }

    /// Plays until the end of the load.
    async fn play(&mut self) -> Result<(), BoxError> {
        let began = Instant::now();
        let end = began + Duration::from_secs(self.flags.seconds);
        for host in 0..self.site.hosts.len() {
            tokio::spawn(call(self.load.clone(), host, self.flags.pause_ms, end));
        }
        let mut leaving: Vec<(Instant, String)> = Vec::new();
        let (mut departure_at, mut fault_at) = (began, began);
        while Instant::now() < end {
            let now = Instant::now();
            self.end_faults(now).await?;
            for (_, server) in leaving.extract_if(.., |(at, _)| *at <= now) {
                self.site.backend.stop_registering(&server);
                self.site.backend.server(&server).kill();
                self.site.backend.store.remove(&server_kind(), &server);
            }
            if departure_at <= now {
                departure_at = now + Duration::from_millis(self.flags.departure_ms);
                leaving.push((now + LINGER, self.depart().await?));
            }
            if fault_at <= now {
                let mean = self.flags.fault_ms;
                let pause = self.random.random_range(mean / 2..mean * 3 / 2);
                fault_at = now + Duration::from_millis(pause);
                self.begin_fault(now);
            }
            sleep(STEP).await;
        }
        let last = self.disruptions.iter().map(|one| one.to).max().unwrap_or(end);
        self.end_faults(last).await?;
        sleep(DEADLINE).await;
        Ok(())
    }

    fn begin_fault(&mut self, now: Instant) {
        let fault = Fault::ALL.choose(&mut self.random).copied().unwrap_or(Fault::Freeze);
        let host = self.random.random_range(0..self.site.hosts.len());
        let lasts = Duration::from_millis(self.random.random_range(fault.duration_ms()));
        let target = (fault != Fault::StoreOut).then_some(host);
        let rest = if target.is_none() { STORE_REST } else { Duration::ZERO };
        let is_busy = |one: &Disruption| one.host == target && now < one.to + rest;
        if self.disruptions.iter().any(is_busy) {
            return;
        }
        let refusals = [Refusal::Down, Refusal::Silence, Refusal::Reset, Refusal::Hold];
        let refusal = refusals.choose(&mut self.random).copied();
        let delay = Duration::from_millis(self.random.random_range(100..1_500));
        let store = &self.site.backend.store;
        match fault {
            Fault::Freeze => self.site.hosts[host].signal(Signal::SIGSTOP),
            Fault::Kill => self.site.hosts[host].kill(),
            Fault::StoreRefuses => {
                store.set_faults(&self.site.hosts[host].name, |faults| faults.refusal = refusal);
            }
            Fault::StoreLate => store.set_faults(&self.site.hosts[host].name, |faults| {
                (faults.delay, faults.reply_delay) = (delay, delay);
            }),
            Fault::StoreOut => store.set_faults_everywhere(|faults| faults.refusal = refusal),
            Fault::DatagramsLost => self.deliver_to(host, Delivery::Lost),
            Fault::DatagramsLate => self.deliver_to(host, Delivery::Late(delay)),
        }
        let to = now + lasts;
        let disruption = Disruption { fault, host: target, from: now, to, is_over: false };
        self.disruptions.push(disruption);
    }

    /// Ends the faults that are due by `until`.
    async fn end_faults(&mut self, until: Instant) -> Result<(), BoxError> {
        for index in 0..self.disruptions.len() {
            let Disruption { fault, host, to, is_over, .. } = self.disruptions[index];
            if is_over || until < to {
                continue;
            }
            match host {
                Some(host) => self.end_fault(fault, host).await?,
                None => {
                    let store = &self.site.backend.store;
                    store.set_faults_everywhere(|faults| faults.refusal = None);
                }
            }
            self.disruptions[index].is_over = true;
            self.disruptions[index].to = Instant::now();
        }
        Ok(())
    }

    async fn end_fault(&mut self, fault: Fault, host: usize) -> Result<(), BoxError> {
        match fault {
            Fault::Freeze => self.site.hosts[host].signal(Signal::SIGCONT),
            Fault::Kill => {
                self.site.restart(host).await?;
                lock(&self.load).hosts[host] = self.site.hosts[host].callers();
            }
            Fault::StoreRefuses | Fault::StoreLate => {
                let name = &self.site.hosts[host].name;
                self.site.backend.store.set_faults(name, |faults| *faults = Faults::default());
            }
            Fault::DatagramsLost | Fault::DatagramsLate => {
                self.deliver_to(host, Delivery::Passes);
            }
            Fault::StoreOut => {}
        }
        Ok(())
    }

    /// Sets how datagrams to a host are delivered. Those of one host pass, since connections are held
    /// to a host that no datagram reaches.
    fn deliver_to(&self, host: usize, delivery: Delivery) {
        let hosts = self.site.hosts.len();
        let others = (0..hosts).filter(|other| *other != host).skip(1);
        others.for_each(|other| self.site.links().set_delivery(other, host, delivery));
    }

    /// The last request of each host to each server that came too late although the store had been
    /// undisturbed when the server left, and the host had no fault of its own but late or lost
    /// datagrams: the delay, the server and the host.
    fn late(&self) -> Vec<(Duration, String, usize)> {
        let load = lock(&self.load);
        let mut late = Vec::new();
        for Departure { server, at } in &self.departures {
            let mut last: HashMap<usize, Instant> = HashMap::new();
            for arrival in self.site.backend.server(server).arrivals() {
                if let Some(host) = load.sent.get(&arrival.id) {
                    let time = last.entry(*host).or_insert(arrival.at);
                    *time = arrival.at.max(*time);
                }
            }
            let is_calm = |host: Option<usize>, at: Instant| {
                let mut faults = self.disruptions.iter().filter(|one| !one.fault.is_datagrams());
                !faults.any(|one| one.host == host && one.affects(at))
            };
            let delays = last.into_iter().filter_map(|(host, last)| {
                let delay = last.saturating_duration_since(*at);
                let is_bound = is_calm(None, *at) && is_calm(Some(host), last);
                (DRAIN < delay && is_bound).then(|| (delay, server.clone(), host))
            });
            late.extend(delays);
        }
        late.sort();
        late
    }
}

#[tokio::main(worker_threads = 3)]
async fn main() -> Result<ExitCode, BoxError> {
    let mut player = Player::start(Flags::parse()).await?;
    player.play().await?;
    let late = player.late();
    for (delay, server, host) in &late {
        println!("late: {delay:?} after {server} left, from host-{host}");
    }
    println!(
        "seed {}: {} departures, {} faults, {} late; requests {:?}",
        player.flags.seed,
        player.departures.len(),
        player.disruptions.len(),
        late.len(),
        lock(&player.load).outcomes
    );
    Ok(if late.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
