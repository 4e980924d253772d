//! A soak: real hosts before stand-ins, under load, while faults drawn from a seed come and go.
//!
//! [`judge`] looks only at what callers and servers saw.

mod inject;
pub mod judge;
mod load;
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
    inject::Injector,
    judge::{Breach, retries},
    load::State,
    record::{Arrival, Bounds, Order, Outcome, Record, Run},
    schedule::PlannedFault,
};
use super::{
    lock,
    server::{Ending, Fault, Server},
    site::{Backend, Site},
};

/// How long callers have for their last answers.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(6);

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
    pub schedule: Vec<PlannedFault>,
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
    pub schedule: Vec<PlannedFault>,
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
        breaches: judge::judge(&record),
    })
}

async fn execute(plan: &Plan<'_>) -> Result<Record, Box<dyn Error + Send + Sync>> {
    let backend = Backend::start(Vec::new()).await?;
    let load = Arc::new(State {
        began: Instant::now(),
        hosts: Mutex::default(),
        versions: Mutex::default(),
        requests: Mutex::default(),
        is_burst: false.into(),
        is_poisoned: false.into(),
        is_over: false.into(),
    });
    let mut injector = Injector {
        site: Site::in_folder(plan.program, backend, plan.folder),
        load,
        bounds: Bounds::default(),
        declaration: site::first_declaration(),
        declared: Vec::new(),
        leaves: Vec::new(),
        disruptions: Vec::new(),
        servers: Vec::new(),
        faulted: BTreeSet::new(),
        crashed: BTreeMap::new(),
    };
    for index in 0..site::SERVERS.len() {
        injector.start_server(index).await?;
    }
    injector.declare(site::first_declaration());
    injector.site.relay_links();
    for index in 0..plan.hosts {
        // As operators have it, for `cyclamenctl explain`.
        injector.site.add(|settings| settings["log"] = json!({"level": "debug"})).await?;
        injector.register_host(index);
    }
    injector.site.ready().await;
    // Faults and load count from here on.
    let began = Instant::now();
    let mut callers = load::start(&injector.load, plan.seed);
    injector.run(&plan.schedule, began).await?;
    injector.wait(began + plan.length).await?;
    injector.load.is_over.store(true, Ordering::Relaxed);
    // Who still waits then is left out.
    let _ =
        timeout(LAST_ANSWERS_TIMEOUT, async { while callers.join_next().await.is_some() {} }).await;
    Ok(injector.record())
}

impl Injector {
    /// All that was seen.
    fn record(mut self) -> Record {
        let load = &self.load;
        let servers = &self.site.backend.servers;
        let mut orders = Vec::new();
        let mut overloads = Vec::new();
        for server in servers {
            let mut given = server.orders();
            given.sort_by_key(|given| given.came);
            let last = given.last().map(|given| load.since(given.at)).unwrap_or_default();
            overloads.extend(server.overload().map(|_| (server.id().to_string(), last)));
            orders.extend(given.into_iter().map(|given| Order {
                server: server.id().to_string(),
                holder: given.order.holder.to_string(),
                fence: given.order.fence,
                arrived_at: load.since(given.came),
            }));
        }
        orders.sort_by_key(|order| order.arrived_at);
        let quota = |server: &Server| {
            let quota = server.quota().later(load.since(server.began()));
            (server.id().to_string(), quota)
        };
        let quotas = servers.iter().map(quota).collect();
        let runs = servers.iter().flat_map(|server| runs(server, load)).collect();
        let arrivals = servers.iter().flat_map(|server| arrivals(server, load)).collect();
        let requests = std::mem::take(&mut *lock(&load.requests));
        let hosts = &mut self.site.hosts;
        let exited = hosts
            .iter_mut()
            .enumerate()
            .filter_map(|(index, host)| (!host.runs()).then_some(index));
        Record {
            exited: exited.collect(),
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
            disruptions: self.disruptions,
        }
    }
}

fn runs(server: &Server, load: &State) -> Vec<Run> {
    let to_record = |run: super::server::Run| Run {
        id: run.asked.id.as_deref().unwrap_or_default().to_owned(),
        server: server.id().to_string(),
        service: server.service().to_string(),
        path: run.path,
        body_bytes: run.body.len(),
        arrived_at: load.since(run.came),
        ended_at: run.ended.map(|ended| load.since(ended)),
        failure: match run.fault {
            Some(Fault::Failed(status)) => Some(status),
            _ => None,
        },
        is_corrupted: matches!(run.ending, Some(Ending::Spoilt | Ending::Crashed)),
        is_server_crash: run.ending == Some(Ending::Crashed),
    };
    server.runs().into_iter().map(to_record).collect()
}

fn arrivals(server: &Server, load: &State) -> Vec<Arrival> {
    let to_record = |arrival: super::server::Arrival| Arrival {
        id: arrival.id.to_string(),
        service: server.service().to_string(),
        at: load.since(arrival.at),
    };
    server.arrivals().into_iter().map(to_record).collect()
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
            Outcome::CallerClosed => "left".into(),
            Outcome::TimedOut => "late".into(),
            Outcome::Closed => "closed".into(),
            Outcome::Answered(answer) if !answer.is_complete => "cut".into(),
            Outcome::Answered(answer) => answer.status.as_u16().to_string(),
        };
        *outcomes.entry(kind).or_default().entry(outcome).or_default() += 1;
    }
    outcomes
}
