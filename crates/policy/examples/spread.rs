//! Measures how soon a configuration change reaches the last host, and at what cost, by the number
//! of hosts.
//!
//! `cargo run --release -p cyclamenstage-policy --example spread -- [CHANGES] [SECONDS_BETWEEN]`
//!
//! Runs under virtual time and prints one JSON object per line.

#![allow(clippy::print_stdout, reason = "the example prints its results")]

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod fleet;

use std::time::{Duration, Instant};

use fleet::{Faults, Fleet};

const SIZES: [usize; 4] = [8, 32, 128, 350];
const SEED: u64 = 5;

/// How much longer a zone cut or the absence of killed hosts lasts once the change is in force.
const FAULT_EXTENSION: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Loss,
    ZoneCut,
    WatchersKilled,
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|text| text.parse::<u64>().ok());
    let changes = arguments.next().unwrap_or(1000);
    let between = Duration::from_secs(arguments.next().unwrap_or(5));
    for hosts in SIZES {
        run(hosts, changes, between, Fault::None);
        run(hosts, changes, between, Fault::Loss);
        run(hosts, changes / 10, between * 3, Fault::ZoneCut);
        run(hosts, changes / 10, between * 3, Fault::WatchersKilled);
    }
}

fn run(hosts: usize, changes: u64, between: Duration, fault: Fault) {
    let started = Instant::now();
    let mut fleet = Fleet::new(hosts, SEED);
    fleet.faults.loss = match fault {
        Fault::None => 0.0,
        _ => 0.1,
    };
    fleet.run_for(Duration::from_secs(60));
    let before = totals(&fleet);
    let calls = (fleet.platform_calls, fleet.list_calls);
    let mut times: Vec<Duration> =
        (0..changes).filter_map(|_| change(&mut fleet, between, fault)).collect();
    times.sort();
    let span = fleet.now.as_secs_f64() - 60.0;
    let per_host = (totals(&fleet) - before) as f64 / span / hosts as f64;
    println!(
        "{}",
        serde_json::json!({
            "hosts": hosts,
            "fault": format!("{fault:?}"),
            "changes": changes,
            "reached_all": times.len(),
            "p50_ms": quantile(&times, 0.5),
            "p99_ms": quantile(&times, 0.99),
            "max_ms": quantile(&times, 1.0),
            "bytes_per_host_second": per_host.round(),
            "object_api_calls_per_second": (fleet.platform_calls - calls.0) as f64 / span,
            "list_reads_per_second": (fleet.list_calls - calls.1) as f64 / span,
            "news_waiting": fleet.nodes.iter().map(|node| node.gossip.pending_updates()).sum::<usize>(),
            "live_to_all": fleet.is_converged(),
            "wall_s": started.elapsed().as_secs_f64(),
        })
    );
}

/// Writes one change during the fault; returns the time until the last host has it.
fn change(fleet: &mut Fleet, between: Duration, fault: Fault) -> Option<Duration> {
    let normal = fleet.faults;
    let end = fleet.now + between;
    let mut killed = Vec::new();
    match fault {
        Fault::None | Fault::Loss => {}
        Fault::ZoneCut => {
            fleet.faults = Faults { cut_zone: Some(1), ..normal };
        }
        Fault::WatchersKilled => {
            killed = fleet.watchers();
            killed.iter().for_each(|n| fleet.nodes[*n].running = false);
        }
    }
    let written = fleet.now;
    fleet.write();
    let reached = fleet.run_until(end, Fleet::is_in_force);
    let took = fleet.now - written;
    fleet.run_for(if matches!(fault, Fault::None | Fault::Loss) {
        Duration::ZERO
    } else {
        FAULT_EXTENSION
    });
    fleet.faults = normal;
    killed.into_iter().for_each(|n| fleet.restart(n));
    let rest = end.saturating_sub(fleet.now);
    fleet.run_for(rest);
    reached.then_some(took)
}

/// Returns the bytes that all hosts sent and received.
fn totals(fleet: &Fleet) -> u64 {
    fleet.nodes.iter().map(|node| node.sent_bytes + node.received_bytes).sum()
}

fn quantile(sorted: &[Duration], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    let index = (last as f64 * share).ceil() as usize;
    sorted.get(index).map(|time| time.as_secs_f64() * 1000.0)
}
