//! Measures the age of the sums that hosts have of each other's work, while all of them are busy:
//!
//! `cargo run --release -p cyclamenstage-policy --example fleet_age -- [HOSTS..]`.
//!
//! Hosts run under virtual time, 1 ms from each other, in four zones; one datagram in a hundred is
//! lost. Each host has ten requests in flight at a few of 240 pairs of server and model, starts and
//! ends some seven a second, and counts the arrivals of one service. One host in turn also has work
//! at a server that no other host uses, and changes it each round; the age of that load is measured
//! at each other host.

#![allow(clippy::print_stdout, reason = "the example prints its results")]

#[path = "../tests/fleet_net/mod.rs"]
mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, sent_bytes};
use policy::fleet::{Load, Publication};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SIZES: [usize; 4] = [17, 40, 82, 350];
/// Time between two publications of a host's work, as in the relay.
const ROUND: Duration = Duration::from_millis(60);
const IN_FLIGHT: usize = 10;
const PAIRS: usize = 240;
const SENDERS: usize = 6;
const ROUNDS: u32 = 60;

fn main() {
    println!("hosts, age of a load in ms: median, 9 in 10, most; B/s mean, most; datagrams/s");
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    for hosts in if sizes.is_empty() { SIZES.to_vec() } else { sizes } {
        let mut net = Net::started(hosts, 1);
        net.faults.loss = 0.01;
        net.run_for(Duration::from_secs(15));
        let mut work = Work::new(hosts);
        (0..100).for_each(|_| work.step(&mut net, None));
        let (before, sent, start) = (sent_bytes(&net), datagrams(&net), net.now);
        let mut ages = Vec::new();
        for sender in 0..SENDERS {
            ages.extend(work.ages(&mut net, sender * 7 % hosts));
        }
        ages.sort_unstable();
        let span = (net.now - start).as_secs_f64();
        let after = sent_bytes(&net);
        let rates: Vec<_> =
            after.iter().zip(&before).map(|(a, b)| ((a - b) as f64 / span) as u64).collect();
        let each = (datagrams(&net) - sent) as f64 / span / hosts as f64;
        println!(
            "| {hosts} | {}, {}, {} | {}, {} | {each:.0} |",
            ages[ages.len() / 2],
            ages[ages.len() * 9 / 10],
            ages[ages.len() - 1],
            rates.iter().sum::<u64>() / hosts as u64,
            rates.iter().max().copied().unwrap_or(0),
        );
    }
}

fn datagrams(net: &Net) -> u64 {
    net.hosts.values().map(|host| host.fleet.counts().sent).sum()
}

/// The work of all hosts.
struct Work {
    random: ChaCha8Rng,
    in_flight: Vec<Vec<usize>>,
    arrivals: Vec<u64>,
}

impl Work {
    fn new(hosts: usize) -> Work {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let mut requests = || (0..IN_FLIGHT).map(|_| pair(&mut random)).collect();
        let in_flight = (0..hosts).map(|_| requests()).collect();
        Work { random, in_flight, arrivals: vec![0; hosts] }
    }

    /// Publishes all hosts' work for one round. `probe` is a host, and the number of requests that
    /// it has at its own server.
    fn step(&mut self, net: &mut Net, probe: Option<(usize, u32)>) {
        for host in 0..self.in_flight.len() {
            if self.random.random_bool(0.4) {
                let index = self.random.random_range(0..IN_FLIGHT);
                self.in_flight[host][index] = pair(&mut self.random);
                self.arrivals[host] += 1;
            }
            let mut loads: Vec<_> = (0..PAIRS).filter_map(|pair| self.load(host, pair)).collect();
            if let Some((_, requests)) = probe.filter(|(sender, _)| *sender == host) {
                let server = probe_server(host);
                loads.push(Load { server, model: None, requests, tokens: 0 });
            }
            net.publish(host, Publication::InFlight(loads));
            net.publish(host, Publication::Arrivals(vec![("chat".into(), self.arrivals[host])]));
        }
        net.run_for(ROUND);
    }

    fn load(&self, host: usize, pair: usize) -> Option<Load> {
        let requests = self.in_flight[host].iter().filter(|other| **other == pair).count() as u32;
        (0 < requests).then(|| Load {
            server: format!("i-{:08x}", pair / 4).into(),
            model: Some(format!("model-{pair:05}").into()),
            requests,
            tokens: u64::from(requests) * 700,
        })
    }

    /// Returns the ages in milliseconds, at all other hosts, of one host's probe load.
    fn ages(&mut self, net: &mut Net, sender: usize) -> Vec<u64> {
        let server = probe_server(sender);
        let mut ages = Vec::new();
        for round in 1..=ROUNDS {
            self.step(net, Some((sender, round)));
            if round < ROUNDS / 3 {
                continue;
            }
            for &host in net.hosts.keys().filter(|host| **host != sender) {
                let known = net.snapshot(host).at(&server).first().map_or(0, |load| load.requests);
                ages.push(u64::from(round - known) * ROUND.as_millis() as u64);
            }
        }
        ages
    }
}

/// Returns a random pair of server and model; some are far more frequent than others.
fn pair(random: &mut ChaCha8Rng) -> usize {
    let share: f64 = random.random();
    (share.powi(3) * PAIRS as f64) as usize
}

fn probe_server(host: usize) -> types::backend::Id {
    format!("own-{host}").into()
}
