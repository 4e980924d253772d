//! Hosts under virtual time, over a network that loses, repeats and delays datagrams and isolates
//! hosts.

#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use policy::fleet::{
    Envelope, Fleet, Load, Member, Notice, Publication, Recipients, Settings, State,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::time::Moment;

pub const ZONES: usize = 4;

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub repeat: f64,
    /// Longest extra delay; it reorders datagrams.
    pub jitter: Duration,
}

/// One datagram in five is lost, one in ten repeated, and datagrams are reordered.
pub const UNRELIABLE: Faults =
    Faults { loss: 0.2, repeat: 0.1, jitter: Duration::from_millis(150) };

pub struct Host {
    pub fleet: Fleet,
    pub received: Vec<Envelope>,
}

/// Bytes of the network's headers around a datagram.
const HEADERS: usize = 28;

/// Longest time that a datagram may wait in a link's queue before it is dropped.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// What a host's link and processor bear.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Bytes a second in each direction.
    pub link: u32,
    /// Processor time of a datagram that is sent or received.
    pub datagram: Duration,
}

/// When a host's link and processor have done all that they were given.
#[derive(Clone, Copy, Debug, Default)]
struct Busy {
    up: Moment,
    down: Moment,
    processor: Moment,
}

/// How far a datagram has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// At the receiver's link.
    Link,
    /// At the receiver's process.
    Process,
}

type Arrival = Reverse<(Moment, u64, Stage, SocketAddr, SocketAddr, Vec<u8>)>;

pub struct Net {
    pub now: Moment,
    pub faults: Faults,
    pub settings: Settings,
    /// Running hosts by number.
    pub hosts: BTreeMap<usize, Host>,
    /// Hosts to and from which all datagrams are lost.
    pub cut: Vec<usize>,
    /// Bytes of the largest datagram sent.
    pub largest: usize,
    /// Limited hosts; the links and processors of all others take no time.
    pub capacities: BTreeMap<usize, Capacity>,
    /// Datagrams that were dropped since a link's queue was full.
    pub dropped: u64,
    busy: BTreeMap<usize, Busy>,
    /// Datagrams from each host to each address, since a test last cleared the map.
    pub flows: BTreeMap<(usize, SocketAddr), u64>,
    in_transit: BinaryHeap<Arrival>,
    /// Times at which hosts are to be ticked; a host may be listed more than once.
    ticks: BTreeSet<(Moment, usize)>,
    hosts_by_address: BTreeMap<SocketAddr, usize>,
    sequence: u64,
    random: ChaCha8Rng,
}

pub fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8 + 1], 7946))
}

pub fn member(host: usize, incarnation: u64) -> Member {
    Member {
        id: format!("host-{host:03}").into(),
        zone: format!("zone-{}", host % ZONES).into(),
        address: address(host),
        incarnation,
    }
}

/// Load of a busy host: requests in flight at twenty servers, all of which change with each step.
pub fn busy_publication(step: u64) -> Publication {
    let loads = (0..20).map(|server| Load {
        server: format!("i-{server:08x}").into(),
        model: Some(format!("model-{server:05}").into()),
        requests: ((step + server) % 7) as u32 + 1,
        tokens: (step * 311 + server * 97) % 4_000,
    });
    Publication::InFlight(loads.collect())
}

/// Returns the bytes that each host has sent, with the network's headers.
pub fn sent_bytes(net: &Net) -> Vec<u64> {
    let counts = net.hosts.values().map(|host| host.fleet.counts());
    counts.map(|counts| counts.sent_bytes + HEADERS as u64 * counts.sent).collect()
}

impl Net {
    pub fn new(settings: Settings, seed: u64) -> Net {
        Net {
            now: Duration::from_secs(1),
            faults: Faults::default(),
            settings,
            hosts: BTreeMap::new(),
            cut: Vec::new(),
            largest: 0,
            capacities: BTreeMap::new(),
            dropped: 0,
            busy: BTreeMap::new(),
            flows: BTreeMap::new(),
            in_transit: BinaryHeap::new(),
            ticks: BTreeSet::new(),
            hosts_by_address: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts hosts within 0.3 s of each other, with the first three as seeds.
    pub fn started(hosts: usize, seed: u64) -> Net {
        let mut net = Net::new(Settings::default(), seed);
        let start = net.now;
        for host in 0..hosts {
            net.run_until(start + Duration::from_millis(300) * host as u32 / hosts as u32);
            net.start(host, 1_000 + host as u64);
        }
        net
    }

    pub fn settled(hosts: usize, seed: u64) -> Net {
        let mut net = Net::started(hosts, seed);
        net.run_for(Duration::from_secs(5));
        assert!(net.is_converged(), "after 5 s, not all hosts have all others as live");
        net
    }

    pub fn start(&mut self, host: usize, incarnation: u64) {
        self.start_at(host, member(host, incarnation));
    }

    pub fn start_at(&mut self, host: usize, member: Member) {
        let seeds = (0..3).map(address);
        let mut fleet = Fleet::new(self.now, self.settings.clone(), member, seeds);
        fleet.publish(self.now, Publication::State(State::Ready));
        self.hosts.insert(host, Host { fleet, received: Vec::new() });
    }

    pub fn publish(&mut self, host: usize, publication: Publication) {
        let now = self.now;
        self.fleet(host).publish(now, publication);
    }

    pub fn fleet(&mut self, host: usize) -> &mut Fleet {
        &mut self.hosts.get_mut(&host).expect("the host runs").fleet
    }

    /// Has a host send a notice to all others.
    pub fn notify_all(&mut self, host: usize, notice: Notice) {
        let now = self.now;
        self.fleet(host)
            .send(now, Recipients::All, notice)
            .expect("a notice to all hosts needs no known host");
    }

    pub fn snapshot(&self, host: usize) -> policy::fleet::Snapshot {
        self.hosts[&host].fleet.snapshot(self.now)
    }

    /// Whether each running host counts as many live hosts as are running.
    pub fn is_converged(&self) -> bool {
        let all = self.hosts.len();
        self.hosts.keys().all(|&host| self.snapshot(host).live == all)
    }

    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    pub fn run_until(&mut self, end: Moment) {
        // Tests call methods of hosts between runs, so there may be datagrams to send.
        let hosts: Vec<_> = self.hosts.keys().copied().collect();
        hosts.into_iter().for_each(|host| self.settle(host));
        self.hosts_by_address =
            self.hosts.iter().map(|(n, h)| (h.fleet.member().address, *n)).collect();
        loop {
            let arrival = self.in_transit.peek().map(|Reverse((at, ..))| *at);
            let tick = self.ticks.first().map(|(at, _)| *at);
            let next = arrival.into_iter().chain(tick).min().unwrap_or(end).max(self.now);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
            if arrival.is_some_and(|at| at <= next) {
                self.deliver();
            } else if let Some((_, host)) = self.ticks.pop_first() {
                let now = self.now;
                if let Some(one) = self.hosts.get_mut(&host).filter(|one| one.fleet.next() <= now) {
                    one.fleet.tick(now);
                }
                self.settle(host);
            }
        }
    }

    /// Runs until the condition holds; false if it does not hold by the end of the span.
    pub fn run_until_true(&mut self, span: Duration, holds: impl Fn(&Net) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end && !holds(self) {
            self.run_for(Duration::from_millis(if self.hosts.len() > 16 { 200 } else { 20 }));
        }
        holds(self)
    }

    /// Delivers a datagram to a host.
    pub fn inject(&mut self, host: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&host) {
            let received = host.fleet.receive(now, from, bytes);
            host.received.extend(received);
        }
    }

    /// Puts a host's outgoing datagrams in transit, and schedules its next tick.
    fn settle(&mut self, number: usize) {
        let Some(host) = self.hosts.get_mut(&number) else { return };
        self.ticks.insert((host.fleet.next(), number));
        let from = host.fleet.member().address;
        for datagram in host.fleet.outgoing() {
            self.largest = self.largest.max(datagram.bytes.len());
            *self.flows.entry((number, datagram.to)).or_default() += 1;
            if self.cut.contains(&number) || self.random.random_bool(self.faults.loss) {
                continue;
            }
            let processed = self.process(number, 1);
            let Some(left) = self.upload(number, processed, datagram.bytes.len() + HEADERS) else {
                self.dropped += 1;
                continue;
            };
            let copies = 1 + usize::from(self.random.random_bool(self.faults.repeat));
            for _ in 0..copies {
                let extra = self.faults.jitter.mul_f64(self.random.random::<f64>());
                let at = left + Duration::from_millis(1) + extra;
                self.transmit(at, Stage::Link, datagram.to, from, datagram.bytes.clone());
            }
        }
    }

    fn transmit(
        &mut self,
        at: Moment,
        stage: Stage,
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    ) {
        self.sequence += 1;
        self.in_transit.push(Reverse((at, self.sequence, stage, to, from, bytes)));
    }

    /// Has a host spend the processor time of some datagrams, and returns when that is done.
    pub fn process(&mut self, host: usize, datagrams: u32) -> Moment {
        let Some(capacity) = self.capacities.get(&host) else { return self.now };
        let busy = self.busy.entry(host).or_default();
        busy.processor = busy.processor.max(self.now) + capacity.datagram * datagrams;
        busy.processor
    }

    /// Sends bytes through a host's link from `ready` on, and returns when the last one has left;
    /// none if the queue is full.
    pub fn upload(&mut self, host: usize, ready: Moment, bytes: usize) -> Option<Moment> {
        let Some(capacity) = self.capacities.get(&host) else { return Some(ready) };
        let busy = self.busy.entry(host).or_default();
        busy.up = transfer(busy.up, ready, bytes, capacity.link)?;
        Some(busy.up)
    }

    /// Receives bytes through a host's link from `ready` on, and returns when the last one has
    /// arrived; none if the queue is full.
    pub fn download(&mut self, host: usize, ready: Moment, bytes: usize) -> Option<Moment> {
        let Some(capacity) = self.capacities.get(&host) else { return Some(ready) };
        let busy = self.busy.entry(host).or_default();
        busy.down = transfer(busy.down, ready, bytes, capacity.link)?;
        Some(busy.down)
    }

    fn deliver(&mut self) {
        let Some(Reverse((_, _, stage, to, from, bytes))) = self.in_transit.pop() else { return };
        let Some(&number) = self.hosts_by_address.get(&to) else { return };
        if stage == Stage::Link && self.capacities.contains_key(&number) {
            let Some(arrived) = self.download(number, self.now, bytes.len() + HEADERS) else {
                self.dropped += 1;
                return;
            };
            let processed = self.process(number, 1).max(arrived);
            return self.transmit(processed, Stage::Process, to, from, bytes);
        }
        if !self.cut.contains(&number) {
            self.inject(number, from, &bytes);
            self.settle(number);
        }
    }
}

/// Returns when a link that is busy until `busy` has carried bytes that are ready at `ready`; none if
/// they would wait too long.
fn transfer(busy: Moment, ready: Moment, bytes: usize, link: u32) -> Option<Moment> {
    let start = busy.max(ready);
    let is_queued = start <= ready + MAX_QUEUE_TIME;
    is_queued.then(|| start + Duration::from_secs_f64(bytes as f64 / f64::from(link)))
}
