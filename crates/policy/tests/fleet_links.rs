//! Fleets whose hosts have narrow links and small processors, while the declaration changes often.

mod fleet_net;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use fleet_net::{Capacity, Net, busy_publication};
use policy::fleet::Notice;
use rstest::rstest;
use types::{routed::Version, time::Moment};

/// Time within which each version must be in force at every host.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Time between two versions.
const CHANGE_INTERVAL: Duration = Duration::from_millis(180);

/// Versions that follow each other.
const VERSIONS: Version = 14;

/// Bytes of a declaration on the network.
const DECLARATION_BYTES: usize = 35_000;

/// Datagrams that take as much processor time as reading a declaration.
const DECLARATION_WORK: u32 = 50;

/// Least time between two publications of a host's work.
const ROUND: Duration = Duration::from_millis(60);

/// Processor time of a datagram on a whole core.
const DATAGRAM_TIME: Duration = Duration::from_micros(10);

/// Share of a link that callers and servers leave to the exchange.
const FREE_LINK: f64 = 0.75;

/// Returns a capacity, given a link in Mb/s and a share of a core.
fn capacity(link: f64, core: f64) -> Capacity {
    Capacity { link: (link * 125e3 * FREE_LINK) as u32, datagram: DATAGRAM_TIME.div_f64(core) }
}

/// Hosts of which two in three are small.
fn mixed(host: usize) -> Capacity {
    match host % 13 {
        0 => capacity(200.0, 0.5),
        1 | 5 | 9 => capacity(25.0, 0.3),
        _ => capacity(10.0, 0.09),
    }
}

/// How a host gets to know a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    Store,
    Peer,
}

/// Hosts that watch the store for the declaration, and fetch from each other the versions that are
/// announced.
struct Site {
    net: Net,
    /// When each version was acknowledged, the first one first.
    written: Vec<Moment>,
    /// When hosts will have read a version: time, host, version, source.
    reads: BinaryHeap<Reverse<(Moment, usize, Version, Source)>>,
    /// Versions in force, by host.
    in_force: Vec<Version>,
    /// Whether a host waits at the store for a later version.
    watching: Vec<bool>,
    /// Whether a host fetches a version from another one.
    fetching: Vec<bool>,
    /// Notices read, by host.
    read: Vec<usize>,
    longest: Duration,
}

impl Site {
    fn new(hosts: usize) -> Site {
        let mut net = Net::settled(hosts, 1);
        net.capacities = (0..hosts).map(|host| (host, mixed(host))).collect();
        Site {
            net,
            written: Vec::new(),
            reads: BinaryHeap::new(),
            in_force: vec![0; hosts],
            watching: vec![true; hosts],
            fetching: vec![false; hosts],
            read: vec![0; hosts],
            longest: Duration::ZERO,
        }
    }

    fn hosts(&self) -> usize {
        self.in_force.len()
    }

    /// Answers the watch of a host that lacks the newest version.
    fn answer_watch(&mut self, host: usize) {
        let newest = self.written.len() as Version;
        if !self.watching[host] || newest <= self.in_force[host] {
            return;
        }
        let now = self.net.now;
        // Bytes of a connection are not dropped: they wait at the sender.
        let arrived = self.net.download(host, now, DECLARATION_BYTES);
        self.watching[host] = arrived.is_none();
        if let Some(arrived) = arrived {
            self.schedule(arrived, host, newest, Source::Store);
        }
    }

    fn schedule(&mut self, arrived: Moment, host: usize, version: Version, source: Source) {
        let processed = self.net.process(host, DECLARATION_WORK);
        self.reads.push(Reverse((arrived.max(processed), host, version, source)));
    }

    /// Fetches the newest version that was announced to a host, from the sender of the notice.
    fn follow_notices(&mut self, host: usize) {
        let received = &self.net.hosts[&host].received[self.read[host]..];
        let announced = received.iter().filter_map(|received| match received.notice {
            Notice::DeclarationInForce { version } => Some((version, received.via)),
            _ => None,
        });
        let newest = announced.max_by_key(|(version, _)| *version);
        self.read[host] = self.net.hosts[&host].received.len();
        let Some((version, via)) = newest.filter(|(version, _)| self.in_force[host] < *version)
        else {
            return;
        };
        let sender = (0..self.hosts()).find(|other| fleet_net::address(*other) == via);
        let Some(sender) = sender.filter(|_| !self.fetching[host]) else { return };
        if self.in_force[sender] < version {
            return;
        }
        let now = self.net.now;
        let version = self.in_force[sender];
        let Some(left) = self.net.upload(sender, now, DECLARATION_BYTES) else { return };
        let Some(arrived) = self.net.download(host, left, DECLARATION_BYTES) else { return };
        self.fetching[host] = true;
        self.schedule(arrived, host, version, Source::Peer);
    }

    fn apply_reads(&mut self) {
        while let Some(Reverse((at, host, version, source))) = self.reads.peek().copied() {
            if self.net.now < at {
                return;
            }
            self.reads.pop();
            match source {
                Source::Store => self.watching[host] = true,
                Source::Peer => self.fetching[host] = false,
            }
            if version <= self.in_force[host] {
                continue;
            }
            // All versions up to this one are in force from now on.
            let lacking = self.written[self.in_force[host] as usize];
            self.longest = self.longest.max(self.net.now - lacking);
            self.in_force[host] = version;
            self.net.notify_all(host, Notice::DeclarationInForce { version });
        }
    }

    fn step(&mut self) {
        self.apply_reads();
        for host in 0..self.hosts() {
            self.follow_notices(host);
            self.answer_watch(host);
        }
        self.net.run_for(Duration::from_millis(10));
    }

    /// Returns for how long the host that lacks a version for the longest time has lacked it.
    fn lacking(&self) -> Duration {
        let oldest = self.in_force.iter().min().copied().unwrap_or(0);
        let written = self.written.get(oldest as usize);
        written.map_or(Duration::ZERO, |written| self.net.now - *written)
    }

    /// Writes all versions, and returns the longest time until a host had one in force, or for which
    /// it lacks one that is late.
    fn play(&mut self) -> Duration {
        let (mut next_version, mut next_round) = (self.net.now, self.net.now);
        let mut round = 0;
        while self.lacking() <= APPLY_TIME {
            if self.written.len() < VERSIONS as usize && next_version <= self.net.now {
                self.written.push(self.net.now);
                next_version += CHANGE_INTERVAL;
            }
            if next_round <= self.net.now {
                round += 1;
                next_round += ROUND.max(self.net.hosts[&0].fleet.interval());
                (0..self.hosts()).for_each(|host| self.net.publish(host, busy_publication(round)));
            }
            self.step();
            if self.in_force.iter().all(|version| *version == VERSIONS) {
                return self.longest;
            }
        }
        self.lacking()
    }
}

#[rstest]
fn each_version_is_in_force_in_time_at_hosts_with_narrow_links(
    #[values(17, 76, 350)] hosts: usize,
) {
    let mut site = Site::new(hosts);
    let longest = site.play();
    assert!(
        longest <= APPLY_TIME,
        "a host lacked a version for {longest:?}; {} datagrams were dropped",
        site.net.dropped
    );
}
