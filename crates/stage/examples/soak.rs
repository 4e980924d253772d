//! Soak test of a routed deployment: runs real host processes in front of stand-in servers, under
//! load and under faults drawn from a seed, and checks the observations of callers and servers.
//!
//! Uses loopback addresses only. Exits with 1 if a promise was broken.

#![allow(clippy::print_stdout, reason = "the result goes to standard output")]

use std::{error::Error, path::PathBuf, process::ExitCode, time::Duration};

use clap::Parser;
use standin::routed::soak::{Plan, Summary, run, schedule};
use tabled::builder::Builder;

/// Seconds after the last fault from which recovery is judged.
const RECOVERY: u64 = 12;

/// Seconds without faults at the end of a soak; the last 4 are for the requests that show recovery.
const TAIL: u64 = RECOVERY + 4;

/// Runs hosts of a routed deployment under load and faults, and checks what callers and servers
/// saw.
#[derive(Debug, Parser)]
struct Flags {
    /// Seeds, separated by commas; each is a soak of its own.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Duration of each soak in seconds; below 24 recovery is not checked.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(5..=3_600))]
    seconds: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=64))]
    hosts: u8,
    /// Executable of the host.
    #[arg(long, default_value = "target/release/cyclamenstage")]
    program: PathBuf,
    /// Directory for the hosts' settings and logs, with a subdirectory for each seed.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
    /// Prints the fault schedules as JSON and runs nothing.
    #[arg(long)]
    dry: bool,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<ExitCode, Box<dyn Error + Send + Sync>> {
    let flags = Flags::parse();
    let length = Duration::from_secs(flags.seconds);
    let tail = if flags.seconds < TAIL + 8 { length / 4 } else { Duration::from_secs(TAIL) };
    let mut broken = 0;
    for seed in &flags.seeds {
        let schedule = schedule::draw(*seed, flags.hosts.into(), length, tail);
        if flags.dry {
            println!("{}", serde_json::to_string(&schedule)?);
            continue;
        }
        let folder = flags.folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder)?;
        let (program, hosts) = (&*flags.program, flags.hosts.into());
        let plan = Plan { program, folder: &folder, seed: *seed, hosts, length, schedule };
        let summary = run(&plan).await?;
        println!("{}", serde_json::to_string(&summary)?);
        println!("{}", table(&summary));
        broken += summary.breaches.len();
    }
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn table(summary: &Summary) -> String {
    let mut table = Builder::default();
    table.push_record(["seed", "requests", "outcome", "number"]);
    for (kind, outcomes) in &summary.requests {
        for (outcome, number) in outcomes {
            let number = number.to_string();
            table.push_record([&summary.seed.to_string(), kind, outcome, &number]);
        }
    }
    let mut text = table.build().to_string();
    for breach in &summary.breaches {
        let (at, id) = (breach.at.as_secs_f64(), breach.request.as_deref().unwrap_or("-"));
        text += &format!(
            "\nbroken: {:?} seed {} at {at:.3} s, request {id}: {}",
            breach.promise, summary.seed, breach.what
        );
    }
    for (service, ratio) in &summary.retries {
        text +=
            &format!("\nretries of {service}: {ratio:.2} of those allowed, in the worst window");
    }
    text + &format!("\nseed {}: {} broken", summary.seed, summary.breaches.len())
}
