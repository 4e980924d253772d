//! Measures attainment per accelerator and moves: ours against two baselines, in the same run.
//!
//! Real hosts on loopback serve the load of ours; the baselines get simple routers in this
//! process, which see the true state of every engine at once and pay for no host on the way.
//! Engines, object API and weight store are stand-ins. Time is that of the machine, but a
//! baseline's minute is shortened to [`placement::MINUTE`]. Each run ends by itself.

#![allow(clippy::print_stdout, clippy::print_stderr, reason = "a measurement talks to its user")]

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

/// Longest time of one run, in seconds.
const MAX_SECONDS: u64 = 300;

/// Measures attainment per accelerator and moves against two baselines.
#[derive(Debug, Parser)]
struct Flags {
    /// Whose sizes.
    #[arg(long, value_enum, default_value = "gulf-south")]
    deployment: Deployment,
    /// Shape of the demand.
    #[arg(long, value_enum, default_value = "steady")]
    demand: Demand,
    /// What fails.
    #[arg(long, value_enum, default_value = "none")]
    faults: Faults,
    /// Seeds, each a run of its own.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Seconds of load in each run.
    #[arg(
        long,
        default_value_t = 24,
        value_parser = clap::value_parser!(u64).range(3..=MAX_SECONDS)
    )]
    seconds: u64,
    /// Share of the engines' capacity that the steady demand asks for.
    #[arg(long, default_value_t = 0.7)]
    level: f64,
    /// Hosts in front of the servers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=8))]
    hosts: u8,
    /// Weights of attainment and of moves, in place of the deployment's.
    #[arg(long, value_delimiter = ',')]
    weights: Vec<f64>,
    /// Ways to run; all by default.
    #[arg(
        long = "ways",
        value_name = "WAYS",
        value_enum,
        value_delimiter = ',',
        default_values = ["ours", "hosts", "static", "last-minute"]
    )]
    strategies: Vec<Strategy>,
    /// Folder for the plot; none is drawn by default.
    #[arg(long)]
    plots: Option<PathBuf>,
    /// Prints JSON lines instead of the table.
    #[arg(long)]
    json: bool,
}

/// What fails during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Faults {
    /// Nothing.
    None,
    /// One engine dies halfway and is back, empty, three seconds later.
    Crash,
    /// Orders to each engine are lost or taken late, two each.
    Orders,
}

/// How models are placed and requests routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Strategy {
    /// Our hosts, with their planner.
    Ours,
    /// Our hosts with the first placement for good: what they give without moves.
    Hosts,
    /// The first placement for good, and round robin.
    Static,
    /// Placement by last minute's demand, and the least-loaded replica.
    LastMinute,
}

impl Strategy {
    /// Whether requests go through our hosts.
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
                eprintln!("engine can't start again: {error}");
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
