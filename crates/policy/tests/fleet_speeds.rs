//! Sums over response times, which hosts add up by server.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, UNRELIABLE, sent_bytes};
use policy::{dispatch::speed::Sum, fleet::Publication};
use rstest::rstest;

/// Sizes of the deployment for which the cost is bounded.
const HOSTS: usize = 77;
const SERVERS: usize = 112;

/// Most bytes a second that the sums may add at one host.
const MAX_ADDED_BYTES: u64 = 300;

/// Interval at which hosts send sums, and the largest number that is new or changed.
const SEND_INTERVAL: Duration = Duration::from_secs(10);
const MAX_SENT: usize = 8;

/// Number of intervals over which bytes are counted.
const ROUNDS: usize = 8;

/// Bounds of what relays leave out as no notable change: part of the samples that must be known, and
/// difference of the mean.
const LEAST_KNOWN: f64 = 0.6;
const MAX_DIFFERENCE: f64 = 0.07;

fn speeds(sum: Sum) -> Publication {
    Publication::Speeds(vec![("s1".into(), sum)])
}

fn received(net: &Net, host: usize) -> Sum {
    net.snapshot(host).speeds.get("s1").copied().unwrap_or_default()
}

/// Guards against sums that relays count twice, or not at all, or of which the sign is lost.
#[rstest]
fn sums_of_all_others_arrive(#[values(4, 62)] hosts: usize, #[values(-0.51, 0.47)] mean: f64) {
    let mut net = Net::settled(hosts, 1);
    net.faults = UNRELIABLE;
    (0..hosts).for_each(|host| net.publish(host, speeds(Sum { total: 10.0, count: 20.0 })));
    net.run_for(Duration::from_secs(2));
    (0..hosts).for_each(|host| {
        net.publish(host, speeds(Sum { total: mean * 100.0, count: 100.0 }));
    });
    let others = hosts as f64 - 1.0;
    let is_complete = |net: &Net| {
        (0..hosts).all(|host| {
            let sum = received(net, host);
            let known = sum.count / (others * 100.0);
            (LEAST_KNOWN..=1.0).contains(&known) && (sum.mean() - mean).abs() <= MAX_DIFFERENCE
        })
    };
    let is_told = net.run_until_true(Duration::from_secs(20), is_complete);
    assert!(is_told, "host 0 has {:?}", received(&net, 0));
}

/// Guards against sums that are kept after their host has withdrawn them or is gone.
#[rstest]
fn withdrawn_sums_count_no_more() {
    let mut net = Net::settled(5, 1);
    (0..3).for_each(|host| net.publish(host, speeds(Sum { total: 1.0, count: 10.0 })));
    net.run_for(Duration::from_secs(1));
    assert_eq!(received(&net, 4).count, 30.0);
    net.publish(0, Publication::Speeds(Vec::new()));
    net.cut.push(1);
    net.run_for(Duration::from_secs(10));
    assert_eq!(received(&net, 4).count, 10.0);
}

/// Guards against one host's sums that outweigh those of all others.
#[rstest]
#[case::huge(Sum { total: 1e300, count: 10.0 })]
#[case::not_a_number(Sum { total: f64::NAN, count: f64::NAN })]
#[case::infinite(Sum { total: f64::NEG_INFINITY, count: 10.0 })]
#[case::no_count(Sum { total: 1e18, count: 0.0 })]
fn a_false_sum_counts_as_its_number_of_samples(#[case] sum: Sum) {
    let mut net = Net::settled(4, 1);
    (0..2).for_each(|host| net.publish(host, speeds(Sum { total: 0.0, count: 100.0 })));
    net.publish(2, speeds(sum));
    net.run_for(Duration::from_secs(2));
    let mean = received(&net, 3).mean();
    assert!(mean.abs() <= 0.13, "{mean}");
}

/// Runs hosts for some intervals in which they get to know all servers, as fast as hosts send
/// sums, or hosts without sums.
fn run(has_sums: bool) -> Vec<u64> {
    let mut net = Net::settled(HOSTS, 1);
    let before = sent_bytes(&net);
    for round in 0..ROUNDS {
        for host in (0..HOSTS).filter(|_| has_sums) {
            let sum = |server: usize| {
                let version = (round + server + host) / (SERVERS / MAX_SENT);
                let noise = (version * 7919 + host * 104_729 + server * 1_299_709) % 200;
                let mean = [-0.51, 0.0, 0.47][server % 3] + noise as f64 / 1_000.0 - 0.1;
                let count = (20 + noise) as f64;
                Sum { total: mean * count, count }
            };
            let known = 0..SERVERS.min((round + 1) * MAX_SENT);
            let sums = known.map(|server| (format!("i-{server:08x}").into(), sum(server)));
            net.publish(host, Publication::Speeds(sums.collect()));
        }
        net.run_for(SEND_INTERVAL);
    }
    let after = sent_bytes(&net);
    after.iter().zip(before).map(|(after, before)| after - before).collect()
}

/// Guards against sums that take up the bytes meant for facts that change faster.
#[rstest]
fn sums_cost_few_bytes() {
    let seconds = ROUNDS as u64 * SEND_INTERVAL.as_secs();
    let (with, without) = (run(true), run(false));
    let added = with.iter().zip(&without).map(|(with, without)| with.saturating_sub(*without));
    let mean = added.sum::<u64>() / HOSTS as u64 / seconds;
    assert!(mean <= MAX_ADDED_BYTES, "{mean} bytes a second on average");
}
