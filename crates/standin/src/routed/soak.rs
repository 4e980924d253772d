//! A soak: real hosts before stand-ins, under load, while faults drawn from a seed come and go.
//!
//! [`judge`] looks only at what callers and servers saw.

pub mod judge;
mod load;
mod play;
pub mod record;
pub mod schedule;
mod site;

use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use serde::Serialize;
use serde_json::json;
use tokio::time::{Instant, timeout};

use self::{
    judge::{Breach, retries},
    load::Crowd,
    play::Player,
    record::{Arrival, Bounds, Order, Outcome, Record, Run},
    schedule::Planned,
};
use super::{
    lock,
    server::{Ending, Fault, Server},
    site::{Backend, Site},
};

/// How long callers have for their last answers.
const LAST: Duration = Duration::from_secs(6);

/// What is soaked.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    /// The host's program.
    pub program: &'a Path,
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Length.
    pub length: Duration,
    /// Faults.
    pub schedule: Vec<Planned>,
}

/// What came of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The seed.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// The length, in seconds.
    pub seconds: f64,
    /// Faults.
    pub schedule: Vec<Planned>,
    /// Requests by kind and outcome.
    pub requests: BTreeMap<String, BTreeMap<String, usize>>,
    /// Runs at servers.
    pub runs: usize,
    /// Orders to servers.
    pub orders: usize,
    /// Hosts that gave orders.
    pub holders: usize,
    /// Servers that ended under requests that crash them.
    pub crashed: usize,
    /// Each service's worst window of retries, as a part of what is allowed.
    pub retries: BTreeMap<String, f64>,
    /// Broken promises.
    pub breaches: Vec<Breach>,
}

/// Runs a soak and judges it.
///
/// # Errors
///
/// If a stand-in or a host can't start.
///
/// # Panics
///
/// If a host ends before it listens.
pub async fn run(plan: &Plan<'_>) -> Result<Summary, Box<dyn Error + Send + Sync>> {
    let record = play(plan).await?;
    let holders: BTreeSet<&str> = record.orders.iter().map(|order| &*order.holder).collect();
    Ok(Summary {
        seed: plan.seed,
        hosts: plan.hosts,
        seconds: plan.length.as_secs_f64(),
        schedule: plan.schedule.clone(),
        requests: outcomes(&record),
        runs: record.runs.len(),
        orders: record.orders.len(),
        holders: holders.len(),
        crashed: judge::crashed(&record),
        retries: retries::worst(&record)
            .into_iter()
            .map(|(service, window)| (service, window.part()))
            .collect(),
        breaches: judge::judge(&record),
    })
}

async fn play(plan: &Plan<'_>) -> Result<Record, Box<dyn Error + Send + Sync>> {
    let backend = Backend::start(Vec::new()).await?;
    let crowd = Arc::new(Crowd {
        began: Instant::now(),
        seats: Mutex::default(),
        versions: Mutex::default(),
        requests: Mutex::default(),
        is_burst: false.into(),
        is_poisoned: false.into(),
        is_over: false.into(),
    });
    let mut player = Player {
        site: Site::in_folder(plan.program, backend, plan.folder),
        crowd,
        bounds: Bounds::default(),
        declaration: site::first(),
        declared: Vec::new(),
        leaves: Vec::new(),
        troubles: Vec::new(),
        servers: Vec::new(),
        faulted: BTreeSet::new(),
        crashed: BTreeMap::new(),
    };
    for place in 0..site::SERVERS.len() {
        player.serve(place).await?;
    }
    player.declare(site::first());
    player.site.relay_links();
    for place in 0..plan.hosts {
        // As operators have it, for `cyclamenctl explain`.
        player.site.add(|settings| settings["log"] = json!({"level": "debug"})).await?;
        player.seat(place);
    }
    player.site.wait_until_ready().await;
    // Faults and load count from here on.
    let began = Instant::now();
    let mut callers = load::start(&player.crowd, plan.seed);
    player.play(&plan.schedule, began).await?;
    player.wait(began + plan.length).await?;
    player.crowd.is_over.store(true, Ordering::Relaxed);
    // Who still waits then is left out.
    let _ = timeout(LAST, async { while callers.join_next().await.is_some() {} }).await;
    Ok(player.record())
}

impl Player {
    /// All that was seen.
    fn record(mut self) -> Record {
        let crowd = &self.crowd;
        let servers = &self.site.backend.servers;
        let mut orders = Vec::new();
        let mut overloads = Vec::new();
        for server in servers {
            let mut given = server.orders();
            given.sort_by_key(|given| given.arrived_at);
            let last = given.last().map(|given| crowd.since(given.judged_at)).unwrap_or_default();
            overloads.extend(server.overload().map(|_| (server.id().to_string(), last)));
            orders.extend(given.into_iter().map(|given| Order {
                server: server.id().to_string(),
                holder: given.order.holder.to_string(),
                fence: given.order.fence,
                came: crowd.since(given.arrived_at),
            }));
        }
        orders.sort_by_key(|order| order.came);
        let quota = |server: &Server| {
            let quota = server.quota().shifted(crowd.since(server.started_at()));
            (server.id().to_string(), quota)
        };
        let quotas = servers.iter().map(quota).collect();
        let runs = servers.iter().flat_map(|server| runs(server, crowd)).collect();
        let arrivals = servers.iter().flat_map(|server| arrivals(server, crowd)).collect();
        let requests = std::mem::take(&mut *lock(&crowd.requests));
        let hosts = &mut self.site.hosts;
        let dead = hosts
            .iter_mut()
            .enumerate()
            .filter_map(|(place, host)| (!host.is_running()).then_some(place));
        Record {
            dead: dead.collect(),
            hosts: self.site.hosts.iter().map(|host| host.name.clone()).collect(),
            bounds: self.bounds,
            requests,
            runs,
            arrivals,
            orders,
            overloads,
            quotas,
            leaves: self.leaves,
            declared: self.declared,
            troubles: self.troubles,
        }
    }
}

fn runs(server: &Server, crowd: &Crowd) -> Vec<Run> {
    let seen = |run: super::server::Run| Run {
        id: run.request.id.as_deref().unwrap_or_default().to_owned(),
        server: server.id().to_string(),
        service: server.service().to_string(),
        path: run.path,
        body: run.body.len(),
        came: crowd.since(run.arrived_at),
        ended: run.ended_at.map(|ended| crowd.since(ended)),
        failed: match run.fault {
            Some(Fault::Failed(status)) => Some(status),
            _ => None,
        },
        spoilt: matches!(run.ending, Some(Ending::Corrupted | Ending::Crashed)),
        crashed: run.ending == Some(Ending::Crashed),
    };
    server.runs().into_iter().map(seen).collect()
}

fn arrivals(server: &Server, crowd: &Crowd) -> Vec<Arrival> {
    let seen = |arrival: super::server::Arrival| Arrival {
        id: arrival.id.to_string(),
        service: server.service().to_string(),
        at: crowd.since(arrival.at),
    };
    server.arrivals().into_iter().map(seen).collect()
}

/// Requests by kind and outcome.
fn outcomes(record: &Record) -> BTreeMap<String, BTreeMap<String, usize>> {
    let mut outcomes: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    for request in &record.requests {
        let kind = match request.resumable {
            true => "Resumable".into(),
            false => format!("{:?}", request.kind),
        };
        let outcome = match &request.outcome {
            Outcome::Unreached => "unreached".into(),
            Outcome::Left => "left".into(),
            Outcome::Late => "late".into(),
            Outcome::Closed => "closed".into(),
            Outcome::Answered(answer) if !answer.whole => "cut".into(),
            Outcome::Answered(answer) => answer.status.as_u16().to_string(),
        };
        *outcomes.entry(kind).or_default().entry(outcome).or_default() += 1;
    }
    outcomes
}
