//! Measures the cost of demand reports:
//!
//! `cargo run --release -p cyclamenstage-policy --example demand_traffic`.
//!
//! Hosts run under virtual time. Requests are for the models and adapters of a deployment, a few of
//! which are requested far more often than others. Bytes include the network's headers. The time is
//! how long the planning host's collector takes for one report on this machine.

#![allow(clippy::print_stdout, reason = "the example prints its results")]

#[path = "../tests/fleet_net/mod.rs"]
mod fleet_net;

use std::time::{Duration, Instant};

use fleet_net::{Net, member, sent_bytes};
use policy::{
    demand::{Collector, Reporter, Subject, interval},
    fleet::Notice,
    place::Work,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of hosts, requests per second at all hosts together, number of models, and number of
/// adapters of each model.
const SIZES: [(usize, f64, usize, usize); 4] =
    [(9, 140.0, 26, 4), (85, 780.0, 126, 4), (195, 820.0, 110, 4), (346, 4_300.0, 950, 4)];

const SECONDS: f64 = 20.0;
const PLANNER: usize = 0;
const FENCE: u64 = 7;
const ONE: Work = Work { requests: 1, prompt: 700, output: 200 };

fn main() {
    println!(
        "hosts, requests/s | reports/s at the planner, KB/s there | B/s of another host | us a report"
    );
    for (hosts, requests, models, adapters) in SIZES {
        let mut net = Net::started(hosts, 1);
        net.run_for(Duration::from_secs(15));
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let mut reporters: Vec<_> = (0..hosts).map(|host| Reporter::new(host as u64)).collect();
        let mut collector = Collector::default();
        collector.begin(FENCE);
        reporters.iter_mut().for_each(|reporter| reporter.begin(FENCE, net.now));
        let (mut reports, mut bytes, mut time) = (0_u32, 0, Duration::ZERO);
        let pause = interval(hosts);
        let chance = requests * pause.as_secs_f64() / hosts as f64;
        let rounds = (SECONDS / pause.as_secs_f64()) as usize;
        for _ in 0..rounds {
            net.run_for(pause);
            for (host, reporter) in reporters.iter_mut().enumerate().skip(1) {
                let arrived = chance as usize + usize::from(random.random_bool(chance.fract()));
                for _ in 0..arrived {
                    let subject = subject(&mut random, models, adapters);
                    reporter.arrive(subject, ONE, net.now);
                }
                let Some(report) = reporter.report(net.now) else { continue };
                let before = sent_bytes(&net)[host];
                let notice = Notice::Demand(report.clone());
                let planner = member(PLANNER, 0).id;
                net.fleet(host).send_once(&planner, notice).expect("the planner is known");
                bytes += sent_bytes(&net)[host] - before;
                let began = Instant::now();
                collector.take(&member(host, 0).id, report, net.now);
                time += began.elapsed();
                reports += 1;
            }
        }
        let span = rounds as f64 * pause.as_secs_f64();
        println!(
            "| {hosts}, {requests} | {:.0}, {:.1} | {:.0} | {:.1} |",
            f64::from(reports) / span,
            bytes as f64 / span / 1000.0,
            bytes as f64 / span / (hosts - 1) as f64,
            time.as_secs_f64() * 1e6 / f64::from(reports.max(1)),
        );
    }
}

fn subject(random: &mut ChaCha8Rng, models: usize, adapters: usize) -> Subject {
    let share: f64 = random.random();
    let number = (share.powi(3) * (models * adapters) as f64) as usize;
    Subject {
        model: format!("model{:05}", number / adapters).into(),
        adapter: Some(format!("a{}", number % adapters).into()),
    }
}
