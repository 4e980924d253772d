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
    report::Figures,
    site::Site,
};

/// Longest time of one run, in seconds.
const LONGEST: u64 = 300;

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
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(3..=LONGEST))]
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
    #[arg(long, value_enum, value_delimiter = ',', default_values = ["ours", "hosts", "static", "last-minute"])]
    ways: Vec<Way>,
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
enum Way {
    /// Our planner, and requests through our hosts.
    Ours,
    /// The first placement for good, and requests through our hosts: what the hosts give alone.
    Hosts,
    /// The first placement for good, and round robin.
    Static,
    /// Placement by last minute's demand, and the least-loaded replica.
    LastMinute,
}

impl Way {
    /// Whether requests go through our hosts.
    fn has_hosts(self) -> bool {
        matches!(self, Way::Ours | Way::Hosts)
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse();
    let mut sizes = flags.deployment.sizes();
    if let [attainment, moves] = flags.weights[..] {
        sizes.config.weights = Weights { attainment, moves };
    }
    let mut all = Vec::new();
    for seed in &flags.seeds {
        for way in &flags.ways {
            let figures = run(&flags, &sizes, *way, *seed).await?;
            if flags.json {
                println!("{}", serde_json::to_string(&figures)?);
            }
            all.push(figures);
        }
    }
    if !flags.json {
        println!("{}", report::table(&all));
        println!("{}", report::summary(&all));
    }
    if let Some(folder) = &flags.plots {
        std::fs::create_dir_all(folder)?;
        let path = plot::draw(folder, &all)?;
        println!("{}", path.display());
    }
    Ok(())
}

async fn run(flags: &Flags, sizes: &Sizes, way: Way, seed: u64) -> Result<Figures, Box<dyn Error>> {
    let length = Duration::from_secs(flags.seconds);
    let schedule = Schedule::new(sizes, flags.demand, flags.level, length, seed);
    let site = Arc::new(Site::start(sizes, flags.hosts, way).await?);
    let counts = Arc::new(load::Counts::new(sizes));
    let director = placement::spawn(&site, sizes, way, counts.clone());
    let faults = tokio::spawn(fail(site.clone(), flags.faults, length));
    let outcomes = load::play(&site, &schedule, way, counts).await;
    faults.abort();
    director.abort();
    let figures = Figures::new(flags, way, seed, sizes, outcomes, site.moves());
    site.stop().await;
    Ok(figures)
}

async fn fail(site: Arc<Site>, faults: Faults, length: Duration) {
    const DOWN: Duration = Duration::from_secs(3);
    match faults {
        Faults::None => {}
        Faults::Crash => {
            tokio::time::sleep(length / 2).await;
            let engine = &site.engines[0];
            engine.crash();
            tokio::time::sleep(DOWN).await;
            if let Err(error) = engine.restart().await {
                eprintln!("engine can't start again: {error}");
            }
        }
        Faults::Orders => site.engines.iter().for_each(|engine| {
            engine.fault(|fault| {
                fault.lost_orders = 1;
                fault.late_orders = 1;
                fault.lateness = DOWN;
            });
        }),
    }
}
