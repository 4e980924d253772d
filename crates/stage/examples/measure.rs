//! Compares this project's placement and routing with two baselines: share of requests within their
//! target per accelerator, and loads and unloads of models (moves).
//!
//! Real hosts on loopback serve the load for this project's strategies. The baselines use simple
//! routers in this process, which read the current state of every engine without delay and add no
//! host to the path of a request. Engines, object API and weight store are simulated. Runs take
//! real time, but the minute of the last-minute baseline is shortened to [`placement::MINUTE`].
//! Each run has a fixed duration.

#![allow(clippy::print_stdout, clippy::print_stderr, reason = "prints its results")]

#[path = "measure/demand.rs"]
mod demand;
#[path = "measure/deployment.rs"]
mod deployment;
#[path = "measure/load.rs"]
mod load;
#[path = "measure/placement.rs"]
mod placement;
#[path = "measure/plot.rs"]
mod plot;
#[path = "measure/report.rs"]
mod report;
#[path = "measure/route.rs"]
mod route;
#[path = "measure/site.rs"]
mod site;

use std::{error::Error, path::PathBuf, sync::Arc, time::Duration};

use clap::{Parser, ValueEnum};
use serde::Serialize;
use types::config::Weights;

use crate::{
    demand::{Demand, Schedule},
    deployment::{Deployment, Sizes},
    report::Report,
    site::Site,
};

/// Maximum duration of the load in one run, in seconds.
const MAX_SECONDS: u64 = 300;

/// Compares the share of requests within their target per accelerator, and moves, with two
/// baselines.
#[derive(Debug, Parser)]
struct Flags {
    /// Deployment whose sizes and models to simulate.
    #[arg(long, value_enum, default_value = "gulf-south")]
    deployment: Deployment,
    /// Demand over the time of the run.
    #[arg(long, value_enum, default_value = "steady")]
    demand: Demand,
    /// Fault to inject during the run.
    #[arg(long, value_enum, default_value = "none")]
    faults: Faults,
    /// Seeds of the arrivals; one run of each strategy for each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Seconds of load in each run.
    #[arg(
        long,
        default_value_t = 24,
        value_parser = clap::value_parser!(u64).range(3..=MAX_SECONDS)
    )]
    seconds: u64,
    /// Steady demand as a share of the engines' capacity.
    #[arg(long, default_value_t = 0.7)]
    level: f64,
    /// Number of hosts, for the strategies that use hosts.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=8))]
    hosts: u8,
    /// Weights of attainment and of moves, instead of the deployment's.
    #[arg(long, value_delimiter = ',')]
    weights: Vec<f64>,
    /// Strategies to run; all by default.
    #[arg(
        long = "ways",
        value_name = "WAYS",
        value_enum,
        value_delimiter = ',',
        default_values = ["ours", "hosts", "static", "last-minute"]
    )]
    strategies: Vec<Strategy>,
    /// Directory to write the plot to; no plot by default.
    #[arg(long)]
    plots: Option<PathBuf>,
    /// Print one line of JSON for each run instead of tables.
    #[arg(long)]
    json: bool,
}

/// Fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Faults {
    /// No fault.
    None,
    /// One engine crashes halfway through the run and restarts three seconds later without models.
    Crash,
    /// For each engine one order is lost, and one is carried out three seconds late.
    Orders,
}

/// How models are placed and requests routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Strategy {
    /// Hosts of this project with their planner.
    Ours,
    /// Hosts of this project with the first placement kept, to measure them without moves.
    Hosts,
    /// Baseline: the first placement kept, and round robin over replicas.
    Static,
    /// Baseline: placement by the last minute's demand, and the replica with the fewest requests in
    /// flight.
    LastMinute,
}

impl Strategy {
    /// Whether requests go through hosts instead of a baseline's router.
    fn has_hosts(self) -> bool {
        matches!(self, Strategy::Ours | Strategy::Hosts)
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse();
    let mut sizes = flags.deployment.sizes();
    if let [attainment, moves] = flags.weights[..] {
        sizes.config.weights = Weights { attainment, moves };
    }
    let mut reports = Vec::new();
    for seed in &flags.seeds {
        for strategy in &flags.strategies {
            let report = run(&flags, &sizes, *strategy, *seed).await?;
            if flags.json {
                println!("{}", serde_json::to_string(&report)?);
            }
            reports.push(report);
        }
    }
    if !flags.json {
        println!("{}", report::table(&reports));
        println!("{}", report::summary(&reports));
    }
    if let Some(folder) = &flags.plots {
        std::fs::create_dir_all(folder)?;
        let path = plot::draw(folder, &reports)?;
        println!("{}", path.display());
    }
    Ok(())
}

async fn run(
    flags: &Flags,
    sizes: &Sizes,
    strategy: Strategy,
    seed: u64,
) -> Result<Report, Box<dyn Error>> {
    let duration = Duration::from_secs(flags.seconds);
    let schedule = Schedule::new(sizes, flags.demand, flags.level, duration, seed);
    let site = Arc::new(Site::start(sizes, flags.hosts, strategy).await?);
    let counts = Arc::new(load::ArrivalCounts::new(sizes));
    let placement_task = placement::spawn(&site, sizes, strategy, counts.clone());
    let faults = tokio::spawn(inject_faults(site.clone(), flags.faults, duration));
    let outcomes = load::run_schedule(&site, &schedule, strategy, counts).await;
    faults.abort();
    placement_task.abort();
    let report = Report::new(flags, strategy, seed, sizes, outcomes, site.moves());
    site.stop().await;
    Ok(report)
}

async fn inject_faults(site: Arc<Site>, faults: Faults, duration: Duration) {
    const DOWNTIME: Duration = Duration::from_secs(3);
    match faults {
        Faults::None => {}
        Faults::Crash => {
            tokio::time::sleep(duration / 2).await;
            let engine = &site.engines[0];
            engine.crash();
            tokio::time::sleep(DOWNTIME).await;
            if let Err(error) = engine.restart().await {
                eprintln!("engine can't restart: {error}");
            }
        }
        Faults::Orders => site.engines.iter().for_each(|engine| {
            engine.fault(|fault| {
                fault.lost_orders = 1;
                fault.late_orders = 1;
                fault.lateness = DOWNTIME;
            });
        }),
    }
}
