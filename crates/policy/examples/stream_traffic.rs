//! Measures what hosts send each other about the versions of streams, and how soon other hosts have
//! the record of a stream:
//!
//! `cargo run --release -p cyclamenstage-policy --example stream_traffic -- [HOSTS..]`.
//!
//! Hosts run under virtual time, 1 ms from each other, in four zones; one datagram in a hundred is
//! lost. Streams begin at every host at a steady rate, and one in twenty is taken up again at
//! another host.

#![allow(clippy::print_stdout, reason = "the example prints its results")]

#[path = "../tests/fleet_net/mod.rs"]
mod fleet_net;

use std::{collections::BTreeMap, time::Duration};

use fleet_net::{Net, sent_bytes};
use policy::{
    fleet::Notice,
    streams::{Message, Peer, Streams},
};

const SIZES: [usize; 4] = [8, 62, 82, 350];

/// Streams that begin at each host in a second.
const RATES: [u64; 3] = [0, 1, 5];

const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 400;

/// Share of streams that are taken up again, as a divisor.
const TAKEN_UP: u64 = 20;

fn main() {
    println!(
        "hosts, streams/s a host, B/s a host mean, datagrams/s, ms until a record is there: most"
    );
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    for hosts in if sizes.is_empty() { SIZES.to_vec() } else { sizes } {
        for rate in RATES {
            let mut net = Net::started(hosts, 1);
            net.faults.loss = 0.01;
            net.run_for(Duration::from_secs(10));
            let (bytes, datagrams, latest) = measure(&mut net, rate);
            println!("| {hosts} | {rate} | {bytes} | {datagrams} | {latest} |");
        }
    }
}

fn measure(net: &mut Net, rate: u64) -> (u64, u64, u128) {
    let hosts = net.hosts.len() as u64;
    let mut streams: BTreeMap<usize, Streams> = BTreeMap::new();
    for host in net.hosts.keys() {
        let snapshot = net.snapshot(*host);
        let members = snapshot.hosts.iter().map(|peer| &peer.member);
        let peer = |member: &policy::fleet::Member| Peer {
            id: member.id.clone(),
            incarnation: member.incarnation,
            zone: member.zone.clone(),
            is_live: true,
        };
        streams.entry(*host).or_default().set_peers(members.map(peer).collect(), net.now);
    }
    let datagrams = |net: &Net| net.hosts.values().map(|h| h.fleet.counts().sent).sum::<u64>();
    let (bytes, sent): (u64, u64) = (sent_bytes(net).iter().sum(), datagrams(net));
    let (mut next, mut due, mut latest) = (0, 0, Duration::ZERO);
    let mut began = BTreeMap::new();
    for step in 1..=STEPS {
        due += rate * hosts;
        while 100 <= due {
            due -= 100;
            next += 1;
            let host = (next * 7 % hosts) as usize;
            began.insert(next, net.now);
            streams.entry(host).or_default().announce(next, 1, net.now);
            if next % TAKEN_UP == 0 {
                let other = (host + 1 + step as usize) % hosts as usize;
                streams.entry(other).or_default().look_up(next - 10, net.now);
            }
        }
        for (host, streams) in &mut streams {
            for (to, message) in streams.outgoing() {
                net.fleet(*host).send_once(&to, Notice::Streams(message)).unwrap_or_default();
            }
        }
        for _ in 0..STEP.as_millis() / 2 {
            net.run_for(Duration::from_millis(2));
            latest = latest.max(receive(net, &mut streams, &began));
        }
    }
    let seconds = (STEP * STEPS as u32).as_secs();
    let bytes = sent_bytes(net).iter().sum::<u64>() - bytes;
    let datagrams = datagrams(net) - sent;
    (bytes / seconds / hosts, datagrams / seconds / hosts, latest.as_millis())
}

/// Passes received messages on. Returns the longest time that one of the records took.
fn receive(
    net: &mut Net,
    streams: &mut BTreeMap<usize, Streams>,
    began: &BTreeMap<u64, Duration>,
) -> Duration {
    let now = net.now;
    let mut longest = Duration::ZERO;
    for (host, streams) in streams {
        let Some(one) = net.hosts.get_mut(host) else { continue };
        for envelope in std::mem::take(&mut one.received) {
            let (Some(from), Notice::Streams(message)) = (envelope.origin, envelope.notice) else {
                continue;
            };
            if let Message::Began(records) = &message {
                let times = records.iter().filter_map(|record| began.get(&record.stream));
                longest = times.map(|at| now - *at).max().unwrap_or_default().max(longest);
            }
            streams.receive(&from, message, now);
        }
    }
    longest
}
