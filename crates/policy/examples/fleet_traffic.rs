//! Measures what the hosts of a routed deployment send each other, and how soon a fact is known
//! everywhere:
//!
//! `cargo run --release -p cyclamenstage-policy --example fleet_traffic -- [HOSTS..]`.
//!
//! Hosts run under virtual time, 1 ms from each other, in four zones; one datagram in a hundred is
//! lost. A busy host has requests in flight at twenty servers, all of which change every 100 ms.

#![allow(clippy::print_stdout, reason = "the example prints its results")]

#[path = "../tests/fleet_net/mod.rs"]
mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, busy_publication, sent_bytes};
use policy::fleet::{Content, Fleet, Load, Notice, Origin, Publication};

const SIZES: [usize; 5] = [6, 8, 16, 82, 350];
const SPAN: u64 = 20;
const ROUNDS: usize = 10;

fn main() {
    println!("hosts, idle B/s mean, idle B/s most, busy B/s mean, busy B/s most, datagrams/s busy");
    println!("  ms until a load is in all sums and until all have a notice: p50, most");
    println!("  and notices of a version that all hosts learn of: of all hosts, most of one host");
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    for hosts in if sizes.is_empty() { SIZES.to_vec() } else { sizes } {
        let mut net = Net::started(hosts, 1);
        net.faults.loss = 0.01;
        net.run_for(Duration::from_secs(15));
        let (idle_mean, idle_most, _) = rates(&mut net, |_, _| {});
        let loads = spread(&mut net, load_everywhere);
        let notices = spread(&mut net, notice_everywhere);
        let announcements = announcements(&mut net);
        let (busy_mean, busy_most, datagrams) = rates(&mut net, |net, step| {
            (0..net.hosts.len()).for_each(|host| net.publish(host, busy_publication(step)));
        });
        println!(
            "| {hosts} | {idle_mean} | {idle_most} | {busy_mean} | {busy_most} | {datagrams} | {} | {} | {} | {} | {} | {} |",
            loads.0, loads.1, notices.0, notices.1, announcements.0, announcements.1
        );
    }
}

/// Returns a host's bytes a second, mean and maximum over hosts, and its datagrams a second.
fn rates(net: &mut Net, mut act: impl FnMut(&mut Net, u64)) -> (u64, u64, u64) {
    let datagrams = |net: &Net| net.hosts.values().map(|h| h.fleet.counts().sent).sum::<u64>();
    let (before, sent) = (sent_bytes(net), datagrams(net));
    for step in 0..SPAN * 10 {
        act(net, step);
        net.run_for(Duration::from_millis(100));
    }
    let after = sent_bytes(net);
    let rates: Vec<_> = after.iter().zip(&before).map(|(a, b)| (a - b) / SPAN).collect();
    let hosts = rates.len() as u64;
    let mean = rates.iter().sum::<u64>() / hosts;
    let most = rates.iter().copied().max().unwrap_or(0);
    (mean, most, (datagrams(net) - sent) / SPAN / hosts)
}

/// Returns the milliseconds until a change is known everywhere: median and maximum of some rounds.
fn spread(net: &mut Net, mut act: impl FnMut(&mut Net, usize) -> Duration) -> (u128, u128) {
    let mut times: Vec<_> = (0..ROUNDS).map(|round| act(net, round).as_millis()).collect();
    times.sort_unstable();
    (times[ROUNDS / 2], times[ROUNDS - 1])
}

fn load_everywhere(net: &mut Net, round: usize) -> Duration {
    let sender = round * 7 % net.hosts.len();
    let requests = round as u32 + 1;
    let load = Load { server: "i-1".into(), model: None, requests, tokens: 0 };
    net.publish(sender, Publication::InFlight(vec![load.clone()]));
    let start = net.now;
    let others: Vec<_> = net.hosts.keys().copied().filter(|host| *host != sender).collect();
    wait(net, |net| others.iter().all(|&host| net.snapshot(host).at("i-1") == [load.clone()]));
    let took = net.now - start;
    net.publish(sender, Publication::InFlight(Vec::new()));
    net.run_for(Duration::from_secs(5));
    took
}

fn notice_everywhere(net: &mut Net, round: usize) -> Duration {
    let sender = round * 7 % net.hosts.len();
    let before: Vec<_> = net.hosts.values().map(|host| host.received.len()).collect();
    let start = net.now;
    net.notify_all(sender, Notice::LeaseAcquired { fence: round as u64 });
    let has_received = |net: &Net| {
        let reached = net.hosts.values().zip(&before).filter(|(host, n)| host.received.len() > **n);
        reached.count() == net.hosts.len() - 1
    };
    wait(net, has_received);
    let took = net.now - start;
    net.run_for(Duration::from_secs(2));
    took
}

/// Returns how many notices of a version are sent that all hosts learn of at the same moment: by all
/// hosts and most by one host.
fn announcements(net: &mut Net) -> (u64, u64) {
    let sent = |net: &Net| -> Vec<u64> {
        let of = |fleet: &Fleet, origin| fleet.traffic().of(Content::Declaration, origin).messages;
        let hosts = net.hosts.values().map(|host| &host.fleet);
        hosts.map(|fleet| of(fleet, Origin::Own) + of(fleet, Origin::Forwarded)).collect()
    };
    let before = sent(net);
    for host in net.hosts.keys().copied().collect::<Vec<_>>() {
        net.notify_all(host, Notice::DeclarationInForce { version: 1 });
    }
    net.run_for(Duration::from_secs(3));
    let after = sent(net);
    let sent: Vec<_> = after.iter().zip(&before).map(|(after, before)| after - before).collect();
    (sent.iter().sum(), sent.iter().max().copied().unwrap_or(0))
}

/// Runs until the condition holds, for a minute at the most.
fn wait(net: &mut Net, holds: impl Fn(&Net) -> bool) {
    let end = net.now + Duration::from_secs(60);
    let step = Duration::from_millis(if net.hosts.len() > 16 { 50 } else { 5 });
    while net.now < end && !holds(net) {
        net.run_for(step);
    }
}
