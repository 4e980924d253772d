//! Prints the load of a limited server and the use of its limit, by hosts, limit and message delay.
//!
//! Each row is a simulation of `tests/quota/play.rs` under virtual time: the fullest window in
//! which the limit binds and what is allowed in it, the fraction of the limit that is used once it
//! has settled, and the messages on quotas that the busiest host receives per second.

#![allow(clippy::print_stdout, reason = "the example prints its results")]

use std::time::Duration;

#[path = "../tests/quota/play.rs"]
#[allow(dead_code, reason = "faults are for the tests")]
mod play;

use play::{Plan, Simulation, Spread};

const HOSTS: [usize; 4] = [2, 9, 62, 195];
const LIMITS: [f64; 4] = [0.5, 2.1, 20.0, 200.0];
const DELAYS_MS: [u64; 3] = [20, 100, 500];

fn main() {
    println!("| hosts | limit | late, ms | spread | fullest window, allowed | used | messages/s |");
    println!("|---|---|---|---|---|---|---|");
    for hosts in HOSTS {
        for limit in LIMITS {
            for delay in DELAYS_MS {
                for spread in [Spread::Even, Spread::One] {
                    row(hosts, limit, delay, spread);
                }
            }
        }
    }
}

fn row(hosts: usize, limit: f64, delay: u64, spread: Spread) {
    let plan = Plan { spread, ..Plan::steady(hosts, limit, Duration::from_millis(delay)) };
    let seconds = plan.length.as_secs_f64() - play::LIMITED_FROM.as_secs_f64();
    let simulation = Simulation::new(plan).run();
    let (requests, allowed) = simulation.fullest();
    let most = simulation.received.iter().max().copied().unwrap_or(0) as f64 / seconds;
    let used = simulation.used(limit);
    println!(
        "| {hosts} | {limit} | {delay} | {spread:?} | {requests}, {allowed:.1} | {used:.2} | {most:.0} |"
    );
}
