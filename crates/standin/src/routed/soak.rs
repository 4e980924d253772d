//! Soak test: real host processes in front of stand-in servers, under load, with injected faults.
//!
//! The faults and the load are drawn from a seed. [`judge`] checks the result against the promises
//! to users, from observations of callers, servers and the fault injector alone.

pub mod customers;
mod inject;
pub mod judge;
mod load;
mod reader;
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
    customers::Holders,
    inject::Injector,
    judge::{Breach, retries},
    load::State,
    record::{Arrival, Bounds, Fall, Order, Outcome, Record, Run, Span},
    schedule::PlannedFault,
};
use super::{
    lock,
    server::{Ending, Fault, Server},
    site::{Backend, Site},
    stream::judge::Shares,
};

/// Time limit for outstanding requests after the soak has ended.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(6);

/// Parameters of one soak.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    /// Executable of the host.
    pub program: &'a Path,
    /// Directory for settings and logs of the hosts. Must exist.
    pub folder: &'a Path,
    /// Seed of the random load; [`schedule::draw`] takes the same seed for the faults.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Duration of the load, counted from when all hosts are ready.
    pub length: Duration,
    /// Faults to inject, with times since the start of the load, sorted by start.
    pub schedule: Vec<PlannedFault>,
}

/// Result of one soak.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Seed of the random load.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Duration of the load.
    pub seconds: f64,
    /// Faults that were injected.
    pub schedule: Vec<PlannedFault>,
    /// Number of requests by kind and outcome.
    pub requests: BTreeMap<String, BTreeMap<String, usize>>,
    /// Number of executions of requests, over all servers.
    pub runs: usize,
    /// Number of orders that servers received.
    pub orders: usize,
    /// Number of distinct hosts that sent orders.
    pub holders: usize,
    /// Number of servers that were crashed by a poison request.
    pub crashed: usize,
    /// For each service, the worst window of retries as a ratio of the retries allowed in it.
    pub retries: BTreeMap<String, f64>,
    /// Streams that began and that went on when they were taken up, of those that had to.
    pub streams: Shares,
    /// Promises that were found broken, by time.
    pub breaches: Vec<Breach>,
}

/// Runs a soak and judges its record.
///
/// # Errors
///
/// If a stand-in or a host can't start, or the settings of a host can't be rewritten.
///
/// # Panics
///
/// If a host process exits before it listens.
pub async fn run(plan: &Plan<'_>) -> Result<Summary, Box<dyn Error + Send + Sync>> {
    let record = execute(plan).await?;
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
            .map(|(service, window)| (service, window.ratio()))
            .collect(),
        streams: judge::shares(&record),
        breaches: judge::judge(&record),
    })
}

async fn execute(plan: &Plan<'_>) -> Result<Record, Box<dyn Error + Send + Sync>> {
    let mut backend = Backend::start(Vec::new()).await?;
    if schedule::disturbs_links(&plan.schedule) {
        backend.link_servers(plan.hosts);
    }
    let load = Arc::new(State {
        started_at: Instant::now(),
        hosts: Mutex::default(),
        versions: Mutex::default(),
        requests: Mutex::default(),
        holders: Mutex::default(),
        is_burst: false.into(),
        is_poisoned: false.into(),
        is_part_poisoned: false.into(),
        is_pressed: false.into(),
        has_readers: false.into(),
        streams: Mutex::default(),
        is_over: false.into(),
    });
    let mut injector = Injector {
        site: Site::in_folder(plan.program, backend, plan.folder),
        load,
        bounds: Bounds::default(),
        has_versions: schedule::has_versions(&plan.schedule),
        holders: schedule::has_customers(&plan.schedule).then(Holders::first),
        declaration: site::first_declaration(),
        declared: Vec::new(),
        leaves: Vec::new(),
        disruptions: Vec::new(),
        silences: Vec::new(),
        servers: Vec::new(),
        faulted: BTreeSet::new(),
        crashed: BTreeMap::new(),
        brittle: Vec::new(),
        tolerances: BTreeMap::new(),
    };
    for index in 0..site::SERVERS.len() {
        injector.start_server(index).await?;
    }
    injector.declare(site::first_declaration());
    injector.site.relay_links();
    for index in 0..plan.hosts {
        // `cyclamenctl explain` needs debug logs, so operators run hosts at this level.
        injector.site.add(|settings| settings["log"] = json!({"level": "debug"})).await?;
        injector.register_host(index);
    }
    injector.site.wait_until_ready().await;
    // The times of the schedule and the length of the load count from this moment.
    let load_started_at = Instant::now();
    let mut callers = load::start(&injector.load, plan.seed);
    reader::start(&mut callers, &injector.load, plan.seed);
    injector.run(&plan.schedule, load_started_at).await?;
    injector.wait(load_started_at + plan.length).await?;
    injector.load.is_over.store(true, Ordering::Relaxed);
    // Requests that are still outstanding after this time limit are not recorded.
    let _ =
        timeout(LAST_ANSWERS_TIMEOUT, async { while callers.join_next().await.is_some() {} }).await;
    Ok(injector.record())
}

impl Injector {
    /// Collects the observations of callers, servers and the injector.
    fn record(mut self) -> Record {
        let load = &self.load;
        let servers = &self.site.backend.servers;
        let mut orders = Vec::new();
        let mut overloads = Vec::new();
        for server in servers {
            let mut received = server.orders();
            received.sort_by_key(|record| record.arrived_at);
            let last =
                received.last().map(|record| load.since(record.judged_at)).unwrap_or_default();
            overloads.extend(server.overload().map(|_| (server.id().to_string(), last)));
            orders.extend(received.into_iter().map(|record| Order {
                server: server.id().to_string(),
                holder: record.order.holder.to_string(),
                fence: record.order.fence,
                arrived_at: load.since(record.arrived_at),
            }));
        }
        orders.sort_by_key(|order| order.arrived_at);
        let quota = |server: &Server| {
            let quota = server.quota().shifted(load.since(server.started_at()));
            (server.id().to_string(), quota)
        };
        let quotas = servers.iter().map(quota).collect();
        let fall = |server: &Server| {
            let fall = server.fall()?;
            Some(Fall {
                server: server.id().to_string(),
                service: server.service().to_string(),
                at: load.since(fall.at),
                rejected: fall.rejected.iter().map(|id| id.to_string()).collect(),
            })
        };
        let falls = servers.iter().filter_map(fall).collect();
        let runs = servers.iter().flat_map(|server| runs(server, load)).collect();
        let arrivals = servers.iter().flat_map(|server| arrivals(server, load)).collect();
        let requests = std::mem::take(&mut *lock(&load.requests));
        let streams = std::mem::take(&mut *lock(&load.streams));
        let software = |server: &Server| {
            let span = Span {
                from: load.since(server.started_at()),
                to: server.crashed_at().map_or(Duration::MAX, |at| load.since(at)),
            };
            (server.id().to_string(), server.software().to_string(), span)
        };
        let software =
            servers.iter().filter(|server| **server.service() == *site::LM).map(software).collect();
        let hosts = &mut self.site.hosts;
        let exited = hosts
            .iter_mut()
            .enumerate()
            .filter_map(|(index, host)| (!host.is_running()).then_some(index));
        Record {
            exited: exited.collect(),
            hosts: self.site.hosts.iter().map(|host| host.name.clone()).collect(),
            bounds: self.bounds,
            requests,
            streams,
            software,
            runs,
            arrivals,
            orders,
            overloads,
            falls,
            brittle: self.brittle,
            quotas,
            leaves: self.leaves,
            declared: self.declared,
            disruptions: self.disruptions,
            silences: self.silences,
        }
    }
}

fn runs(server: &Server, load: &State) -> Vec<Run> {
    let to_record = |run: super::server::Run| Run {
        id: run.request.id.as_deref().unwrap_or_default().to_owned(),
        server: server.id().to_string(),
        service: server.service().to_string(),
        path: run.path,
        body_bytes: run.body.len(),
        arrived_at: load.since(run.arrived_at),
        ended_at: run.ended_at.map(|ended| load.since(ended)),
        failure: match run.fault {
            Some(Fault::Failed(status)) => Some(status),
            _ => None,
        },
        is_corrupted: matches!(run.ending, Some(Ending::Corrupted | Ending::Crashed)),
        is_server_crash: run.ending == Some(Ending::Crashed),
    };
    server.runs().into_iter().map(to_record).collect()
}

fn arrivals(server: &Server, load: &State) -> Vec<Arrival> {
    let to_record = |arrival: super::server::Arrival| Arrival {
        id: arrival.id.to_string(),
        service: server.service().to_string(),
        at: load.since(arrival.at),
        customers: arrival.customers,
        has_key: arrival.has_key,
    };
    server.arrivals().into_iter().map(to_record).collect()
}

/// Counts requests by kind and outcome.
fn outcomes(record: &Record) -> BTreeMap<String, BTreeMap<String, usize>> {
    let mut outcomes: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    for request in &record.requests {
        let kind = match request.resumable {
            true => "Resumable".into(),
            false => format!("{:?}", request.kind),
        };
        let outcome = match &request.outcome {
            Outcome::Unreached => "unreached".into(),
            Outcome::CallerClosed | Outcome::BrokenOff(_) => "left".into(),
            Outcome::TimedOut => "late".into(),
            Outcome::Closed => "closed".into(),
            Outcome::Answered(answer) if !answer.is_complete => "cut".into(),
            Outcome::Answered(answer) => answer.status.as_u16().to_string(),
        };
        *outcomes.entry(kind).or_default().entry(outcome).or_default() += 1;
    }
    outcomes
}
