//! Cost of control traffic to a host without requests, by number of hosts.
//!
//! A measurement, to be run by hand:
//! `cargo test --release -p cyclamenstage --test control -- --ignored --nocapture --test-threads 1`

#![allow(clippy::print_stderr, reason = "output of a measurement")]

mod common;

use std::{fs, time::Duration};

use common::{Builder, Process, Site, get, metric_value, metrics, until};
use serde_json::json;
use standin::engine;

const SETTLE_TIME: Duration = Duration::from_secs(5);
const MEASURED_TIME: Duration = Duration::from_secs(20);
const TICKS_PER_SECOND: f64 = 100.0;
const MIB: f64 = 1024.0 * 1024.0;

/// User and system CPU time that a process has used, in seconds.
fn cpu_seconds(process: &Process) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", process.id()))
        .expect("the /proc files of the child process can be read");
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let ticks = |index: usize| {
        let field = after_name.split_whitespace().nth(index);
        field.and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0)
    };
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    (ticks(USER) + ticks(SYSTEM)) / TICKS_PER_SECOND
}

/// Resident memory of a process, in bytes.
fn resident_bytes(process: &Process) -> f64 {
    const PAGE: f64 = 4096.0;
    let text = fs::read_to_string(format!("/proc/{}/statm", process.id()))
        .expect("the /proc files of the child process can be read");
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}

/// Control traffic in both directions, in bytes, with peers, with the platform and with servers.
async fn control_bytes(process: &Process) -> [f64; 3] {
    let text = metrics(process).await;
    ["peers", "platform", "servers"].map(|link| {
        ["in", "out"]
            .iter()
            .map(|direction| {
                let labels = [format!("direction=\"{direction}\""), format!("link=\"{link}\"")];
                let is_series = |line: &&str| {
                    line.starts_with("cyclamenstage_control_bytes")
                        && labels.iter().all(|label| line.contains(label))
                };
                text.lines().find(is_series).map_or(0.0, |line| metric_value(line, ""))
            })
            .sum()
    })
}

async fn until_peers_known(site: &Site) {
    for host in site.hosts() {
        until("the host knows all other hosts", async || {
            let status = get(host.operators(), "/members").await.unwrap_or_default();
            let known = status["hosts"].as_object().map_or(0, |hosts| hosts.len());
            known + 1 == site.hosts().len()
        })
        .await;
    }
}

#[tokio::test]
#[ignore = "a measurement that takes two minutes"]
async fn cost_of_control_by_hosts() {
    for hosts in [2, 4, 8, 16] {
        let engine_settings =
            |index| engine::Settings::new(&format!("lm-{index}")).with_model("m", "1", 1000);
        let builder = (0..9)
            .fold(Builder::new(hosts), |builder, index| builder.engine(engine_settings(index)));
        let default_intervals =
            |settings: &mut serde_json::Value| settings["intervals"] = json!({});
        let site = builder.settings(default_intervals).start().await;
        until_peers_known(&site).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let host = &site.hosts()[0];
        let before = (cpu_seconds(host), control_bytes(host).await, site.platform.calls());
        tokio::time::sleep(MEASURED_TIME).await;
        let after = (cpu_seconds(host), control_bytes(host).await, site.platform.calls());
        let per_second = |before: f64, after: f64| (after - before) / MEASURED_TIME.as_secs_f64();
        let calls = |before: u64, after: u64| per_second(before as f64, after as f64);
        let report = json!({
            "hosts": hosts,
            "core_percent": 100.0 * per_second(before.0, after.0),
            "memory_mib": resident_bytes(host) / MIB,
            "peers_bytes_per_second": per_second(before.1[0], after.1[0]),
            "platform_bytes_per_second": per_second(before.1[1], after.1[1]),
            "servers_bytes_per_second": per_second(before.1[2], after.1[2]),
            "all_hosts_object_reads_per_second": calls(before.2.reads, after.2.reads),
            "all_hosts_object_writes_per_second": calls(before.2.writes, after.2.writes),
            "all_hosts_watches_per_second": calls(before.2.watches, after.2.watches),
            "all_hosts_list_reads_per_second": calls(before.2.lists, after.2.lists),
        });
        eprintln!("{report}");
        site.shut_down().await;
    }
}
