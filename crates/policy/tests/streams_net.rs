//! Tests of the records of streams among many hosts under virtual time: a stream is never taken up
//! at another version, and most streams are taken up, whichever hosts are gone.

#[path = "fleet_net/mod.rs"]
mod fleet_net;

use std::{collections::BTreeMap, time::Duration};

use fleet_net::{Faults, Net, UNRELIABLE};
use policy::{
    fleet::{Liveness, Notice, Tier},
    streams::{Lookup, Peer, SoftwareId, StreamId, Streams},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::time::Moment;

const STEP: Duration = Duration::from_millis(2);

/// Interval at which hosts learn which other hosts there are.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);

/// A stream that is to be taken up again.
struct Began {
    stream: StreamId,
    software: SoftwareId,
    host: usize,
    breaks_at: Moment,
}

/// A stream that a host looks up.
struct LookUp {
    began: Began,
    host: usize,
}

struct World {
    net: Net,
    streams: BTreeMap<usize, Streams>,
    random: ChaCha8Rng,
    peers_at: Moment,
    began: Vec<Began>,
    lookups: Vec<LookUp>,
    found: u32,
    unknown: u32,
    next: StreamId,
}

impl World {
    fn new(hosts: usize, seed: u64) -> World {
        let net = Net::settled(hosts, seed);
        let mut world = World {
            streams: net.hosts.keys().map(|host| (*host, Streams::default())).collect(),
            net,
            random: ChaCha8Rng::seed_from_u64(seed),
            peers_at: Duration::ZERO,
            began: Vec::new(),
            lookups: Vec::new(),
            found: 0,
            unknown: 0,
            next: 1,
        };
        world.set_peers();
        world
    }

    fn set_peers(&mut self) {
        for (host, streams) in &mut self.streams {
            let snapshot = self.net.snapshot(*host);
            let others = snapshot.hosts.iter().filter(|peer| peer.liveness != Liveness::Silent);
            let peer = |peer: &policy::fleet::PeerStatus| Peer {
                id: peer.member.id.clone(),
                incarnation: peer.member.incarnation,
                zone: peer.member.zone.clone(),
                is_live: peer.liveness == Liveness::Live,
            };
            streams.set_peers(others.map(peer).collect(), self.net.now);
        }
        self.peers_at = self.net.now;
    }

    fn any_host(&mut self) -> usize {
        let hosts: Vec<usize> =
            self.net.hosts.keys().copied().filter(|host| !self.net.cut.contains(host)).collect();
        hosts[self.random.random_range(0..hosts.len())]
    }

    fn kill(&mut self, host: usize) {
        self.net.hosts.remove(&host);
        self.streams.remove(&host);
    }

    /// Starts a stream at some host and version; it breaks at some time within two seconds.
    fn begin(&mut self) {
        let host = self.any_host();
        let software = self.random.random_range(1..=2);
        let stream = self.next;
        self.next += 1;
        let now = self.net.now;
        self.streams.get_mut(&host).expect("the host runs").announce(stream, software, now);
        let breaks_at = now + Duration::from_millis(self.random.random_range(2..2_000));
        self.began.push(Began { stream, software, host, breaks_at });
    }

    fn step(&mut self) {
        let hosts: Vec<usize> = self.streams.keys().copied().collect();
        for host in hosts {
            let received = std::mem::take(&mut self.net.hosts.get_mut(&host).unwrap().received);
            let streams = self.streams.get_mut(&host).unwrap();
            for envelope in received {
                if let (Some(from), Notice::Streams(message)) = (envelope.origin, envelope.notice) {
                    streams.receive(&from, message, self.net.now);
                }
            }
        }
        self.look_up();
        for (host, streams) in &mut self.streams {
            for (to, message) in streams.outgoing() {
                let sent = self.net.fleet(*host).send_once(&to, Notice::Streams(message));
                sent.unwrap_or_default();
            }
        }
        if self.peers_at + PEERS_INTERVAL <= self.net.now {
            self.set_peers();
        }
        self.net.run_for(STEP);
    }

    fn look_up(&mut self) {
        let now = self.net.now;
        let broken: Vec<Began> =
            self.began.extract_if(.., |began| began.breaks_at <= now).collect();
        for began in broken {
            let host = self.any_host();
            self.lookups.push(LookUp { began, host });
        }
        for lookup in std::mem::take(&mut self.lookups) {
            let Some(streams) = self.streams.get_mut(&lookup.host) else { continue };
            match streams.look_up(lookup.began.stream, now) {
                Lookup::Found(software, _) => {
                    assert_eq!(software, lookup.began.software, "joined at {now:?}");
                    self.found += 1;
                }
                Lookup::Unknown => self.unknown += 1,
                Lookup::Ambiguous => panic!("the ids are unique"),
                Lookup::Pending(_) => self.lookups.push(lookup),
            }
        }
    }

    fn share(&self) -> f64 {
        f64::from(self.found) / f64::from(self.found + self.unknown)
    }

    /// Ends the hosts where the newest streams have begun.
    fn kill_beginners(&mut self, count: usize) {
        let hosts: Vec<usize> = self.began.iter().rev().map(|began| began.host).collect();
        for host in hosts.into_iter().filter(|host| *host != 0).take(count) {
            self.kill(host);
        }
    }

    /// Ends the relays of all groups.
    fn kill_relays(&mut self) {
        let is_relay = |host: &usize| self.net.hosts[host].fleet.tier() == Tier::Relay;
        let relays: Vec<usize> = self.net.hosts.keys().copied().filter(is_relay).collect();
        relays.into_iter().for_each(|host| self.kill(host));
    }
}

#[rstest]
#[case::few_hosts(8, 1, Faults { loss: 0.01, ..Faults::default() }, 0.9)]
#[case::few_hosts_lossy(8, 2, UNRELIABLE, 0.6)]
#[case::many_hosts(62, 3, Faults { loss: 0.01, ..Faults::default() }, 0.9)]
#[case::many_hosts_lossy(62, 4, UNRELIABLE, 0.6)]
#[case::most_hosts(350, 5, Faults { loss: 0.01, ..Faults::default() }, 0.9)]
fn streams_go_on_at_their_version_while_hosts_die(
    #[case] hosts: usize,
    #[case] seed: u64,
    #[case] faults: Faults,
    #[case] least: f64,
) {
    let mut world = World::new(hosts, seed);
    world.net.faults = faults;
    for step in 0..2_000 {
        world.begin();
        if step == 700 {
            world.kill_relays();
        }
        if step % 500 == 499 {
            world.kill_beginners(1);
        }
        world.step();
    }
    assert!(least <= world.share(), "{} found, {} unknown", world.found, world.unknown);
    assert!(100 < world.found);
}

#[rstest]
fn a_host_that_is_cut_off_knows_no_version_of_others() {
    let mut world = World::new(8, 9);
    world.net.cut.push(3);
    world.streams.get_mut(&0).unwrap().announce(1, 1, world.net.now);
    (0..5).for_each(|_| world.step());
    let started_at = world.net.now;
    while let Lookup::Pending(_) = world.streams.get_mut(&3).unwrap().look_up(1, world.net.now) {
        world.step();
    }
    let found = world.streams.get_mut(&3).unwrap().look_up(2, world.net.now);
    assert!(!matches!(found, Lookup::Found(..)));
    assert!(world.net.now - started_at <= Duration::from_millis(152));
}
