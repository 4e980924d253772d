//! Simulated cluster: many instances of the membership protocol in one loop under virtual time.
//!
//! The loop is an event queue only: messages take 0.2 to 1.5 ms and may be lost, and nothing else
//! of the network is modelled. Calls that are lost or reach a dead or paused host end with a
//! timeout.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use policy::member::{
    Settings, Standing,
    gossip::{Action, Gossip, Probe},
    heartbeat::{Heartbeat, Topic},
    watch,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::{
    config::Number,
    host::{Entry, Host, List, ListState},
    time::Moment,
};

/// Bytes that HTTP and JSON-RPC add to a request; measured in `crates/peer/tests/calls.rs`.
pub(crate) const REQUEST_OVERHEAD_BYTES: usize = 260;

/// Bytes that HTTP and JSON-RPC add to an answer; measured in `crates/peer/tests/calls.rs`.
pub(crate) const ANSWER_OVERHEAD_BYTES: usize = 160;

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const ZONES: usize = 4;
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Network faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Faults {
    /// Share of messages that are lost.
    pub(crate) loss: f64,
    /// Zone that is partitioned from all others.
    pub(crate) cut_zone: Option<usize>,
    /// Sending and receiving zone between which all messages are lost.
    pub(crate) one_way: Option<(usize, usize)>,
}

/// A simulated host.
pub(crate) struct Node {
    pub(crate) gossip: Gossip,
    pub(crate) running: bool,
    pub(crate) paused: bool,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    /// When its configuration number last rose.
    pub(crate) number_raised_at: Moment,
    next_watch: Moment,
    next_list: Moment,
}

/// The simulated cluster.
pub(crate) struct Fleet {
    pub(crate) now: Moment,
    pub(crate) nodes: Vec<Node>,
    pub(crate) faults: Faults,
    pub(crate) list: List,
    pub(crate) number: Number,
    pub(crate) platform_up: bool,
    pub(crate) platform_calls: u64,
    pub(crate) list_calls: u64,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
}

enum Event {
    Tick(usize),
    Arrive { from: usize, to: usize, call: Call, deadline: Moment },
    Answer { from: usize, to: usize, answer: Answer },
    Timeout { from: usize, to: usize, call: Call },
    Watched { node: usize, number: Number },
}

enum Call {
    Heartbeat(Heartbeat),
    Probe(usize),
    Fetch,
}

enum Answer {
    Heartbeat(Heartbeat),
    Probe(usize, Probe),
    Fetch(Number),
}

impl Fleet {
    pub(crate) fn new(hosts: usize, seed: u64) -> Fleet {
        let list = List {
            hosts: (0..hosts).map(|n| Entry { host: host(n), state: ListState::Live }).collect(),
            servers: Vec::new(),
        };
        let mut fleet = Fleet {
            now: Duration::ZERO,
            nodes: Vec::new(),
            faults: Faults::default(),
            list,
            number: 1,
            platform_up: true,
            platform_calls: 0,
            list_calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
        };
        for n in 0..hosts {
            let node = fleet.node(n, 1);
            fleet.nodes.push(node);
            fleet.schedule(Duration::from_millis(n as u64 % 250), Event::Tick(n));
        }
        fleet
    }

    fn node(&mut self, n: usize, run: u64) -> Node {
        let seed = self.rng.random();
        Node {
            gossip: Gossip::new(self.now, Settings::default(), seed, host(n), run),
            running: true,
            paused: false,
            sent_bytes: 0,
            received_bytes: 0,
            number_raised_at: Duration::ZERO,
            next_watch: Duration::ZERO,
            next_list: Duration::ZERO,
        }
    }

    /// Restarts a host's process with empty memory.
    pub(crate) fn restart(&mut self, n: usize) {
        let run = self.nodes[n].gossip.epoch().run + 1;
        let (sent_bytes, received_bytes) = (self.nodes[n].sent_bytes, self.nodes[n].received_bytes);
        self.nodes[n] = Node { sent_bytes, received_bytes, ..self.node(n, run) };
    }

    /// Pauses a host's process, or resumes it.
    pub(crate) fn set_paused(&mut self, n: usize, paused: bool) {
        self.nodes[n].paused = paused;
    }

    /// Returns the standing of a host on each other running host that knows it.
    pub(crate) fn standings(&self, of: usize) -> Vec<Standing> {
        let others = self.nodes.iter().enumerate().filter(|(n, node)| *n != of && node.running);
        others
            .filter_map(|(_, node)| node.gossip.hosts().get(&host(of).id))
            .map(|member| member.standing())
            .collect()
    }

    /// Writes the next configuration number to the platform; hosts that watch it receive the number
    /// 1 to 4 ms later.
    pub(crate) fn write(&mut self) {
        self.number += 1;
        for n in 0..self.nodes.len() {
            if self.is_watching(n) {
                self.platform_calls += 2;
                let after = Duration::from_micros(self.rng.random_range(1000..4000));
                self.schedule(after, Event::Watched { node: n, number: self.number });
            }
        }
    }

    /// Returns the hosts that watch the platform now.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.is_watching(*n)).collect()
    }

    pub(crate) fn is_watching(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        self.platform_up && node.running && !node.paused && node.gossip.is_watching(self.now)
    }

    /// Whether every running host has the newest number.
    pub(crate) fn is_in_force(&self) -> bool {
        let running = self.nodes.iter().filter(|node| node.running && !node.paused);
        running.into_iter().all(|node| node.gossip.version(Topic::Config) == self.number)
    }

    /// Whether every running host takes all other running hosts for live.
    pub(crate) fn is_converged(&self) -> bool {
        let running = || self.nodes.iter().enumerate().filter(|(_, node)| node.running);
        running().all(|(n, node)| {
            running().filter(|(m, _)| *m != n).all(|(m, _)| {
                let member = node.gossip.hosts().get(&host(m).id);
                member.is_some_and(|member| member.standing() == Standing::Live)
            })
        })
    }

    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` returns true, at most until `end`; returns whether it did. Calls `done`
    /// after each event that raised a host's configuration number, and at `end`.
    pub(crate) fn run_until(&mut self, end: Moment, mut done: impl FnMut(&Fleet) -> bool) -> bool {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if end < at {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id)
                && self.step(event)
                && done(self)
            {
                return true;
            }
        }
        self.now = end;
        done(self)
    }

    /// Carries out the actions that a host's protocol instance requested.
    pub(crate) fn perform(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, heartbeat } => {
                    self.call(n, index(&to), Call::Heartbeat(heartbeat));
                }
                Action::Probe { via, target } => {
                    self.call(n, index(&via), Call::Probe(index(&target)));
                }
                Action::Fetch { from, .. } => self.call(n, index(&from), Call::Fetch),
                Action::Superseded => self.nodes[n].running = false,
            }
        }
    }

    /// Handles one event; returns whether it raised a host's configuration number.
    fn step(&mut self, event: Event) -> bool {
        match event {
            Event::Tick(n) => self.tick(n),
            Event::Arrive { from, to, call, deadline } => self.arrive(from, to, call, deadline),
            Event::Answer { from, to, answer } => self.answered(from, to, answer),
            Event::Timeout { from, to, call } => self.timed_out(from, to, call),
            Event::Watched { node, number } => self.set_number(node, number),
        }
    }

    fn tick(&mut self, n: usize) -> bool {
        let pace = self.nodes[n].gossip.pace();
        self.schedule(pace, Event::Tick(n));
        if !self.is_up(n) {
            return false;
        }
        self.read_list(n);
        let increased = self.poll(n);
        let actions = self.nodes[n].gossip.tick(self.now);
        self.perform(n, actions);
        increased
    }

    fn read_list(&mut self, n: usize) {
        if self.now < self.nodes[n].next_list {
            return;
        }
        let interval = watch::list_interval(LIST_INTERVAL, self.nodes.len());
        self.nodes[n].next_list = self.now + interval;
        self.list_calls += 1;
        let actions = self.nodes[n].gossip.apply_list(self.now, &self.list.clone());
        self.perform(n, actions);
    }

    fn poll(&mut self, n: usize) -> bool {
        if !self.is_watching(n) || self.now < self.nodes[n].next_watch {
            return false;
        }
        self.nodes[n].next_watch = self.now + watch::TIMEOUT;
        self.platform_calls += 1;
        self.set_number(n, self.number)
    }

    fn set_number(&mut self, n: usize, number: Number) -> bool {
        if !self.is_up(n) {
            return false;
        }
        let before = self.nodes[n].gossip.version(Topic::Config);
        self.nodes[n].gossip.platform_answered(self.now);
        let actions = self.nodes[n].gossip.set_version(self.now, Topic::Config, number);
        self.perform(n, actions);
        self.record_increase(n, before)
    }

    fn record_increase(&mut self, n: usize, before: Number) -> bool {
        let after = self.nodes[n].gossip.version(Topic::Config);
        assert!(before <= after, "host {n}: configuration number fell from {before} to {after}");
        if before < after {
            self.nodes[n].number_raised_at = self.now;
        }
        before < after
    }

    fn call(&mut self, from: usize, to: usize, call: Call) {
        let bytes = REQUEST_OVERHEAD_BYTES + call.bytes();
        self.nodes[from].sent_bytes += bytes as u64;
        let deadline = self.now + CALL_TIMEOUT;
        if self.is_lost(from, to) {
            self.schedule(CALL_TIMEOUT, Event::Timeout { from, to, call });
            return;
        }
        let delay = self.delay(from, to);
        self.schedule(delay, Event::Arrive { from, to, call, deadline });
    }

    fn arrive(&mut self, from: usize, to: usize, call: Call, deadline: Moment) -> bool {
        let left = deadline.saturating_sub(self.now);
        if !self.is_up(to) {
            self.schedule(left, Event::Timeout { from, to, call });
            return false;
        }
        self.nodes[to].received_bytes += (REQUEST_OVERHEAD_BYTES + call.bytes()) as u64;
        let answer = match &call {
            Call::Heartbeat(heartbeat) => {
                let (answer, actions) = self.nodes[to].gossip.receive(self.now, heartbeat);
                self.perform(to, actions);
                Answer::Heartbeat(answer)
            }
            Call::Probe(target) => {
                let lost = self.is_lost(to, *target) || self.is_lost(*target, to);
                let found =
                    if lost || !self.is_up(*target) { Probe::Silent } else { Probe::Reached };
                Answer::Probe(*target, found)
            }
            Call::Fetch => Answer::Fetch(self.nodes[to].gossip.version(Topic::Config)),
        };
        self.nodes[to].sent_bytes += (ANSWER_OVERHEAD_BYTES + answer.bytes()) as u64;
        if self.is_lost(to, from) {
            self.schedule(left, Event::Timeout { from, to, call });
        } else {
            let delay = self.delay(from, to);
            self.schedule(delay, Event::Answer { from, to, answer });
        }
        false
    }

    fn answered(&mut self, from: usize, _to: usize, answer: Answer) -> bool {
        if !self.is_up(from) {
            return false;
        }
        self.nodes[from].received_bytes += (ANSWER_OVERHEAD_BYTES + answer.bytes()) as u64;
        let before = self.nodes[from].gossip.version(Topic::Config);
        let now = self.now;
        let gossip = &mut self.nodes[from].gossip;
        let actions = match answer {
            Answer::Heartbeat(heartbeat) => gossip.answer(now, &heartbeat),
            Answer::Probe(target, probe) => gossip.probed(now, &host(target).id, probe),
            Answer::Fetch(number) => gossip.set_version(now, Topic::Config, number),
        };
        self.perform(from, actions);
        self.record_increase(from, before)
    }

    fn timed_out(&mut self, from: usize, to: usize, call: Call) -> bool {
        if !self.is_up(from) {
            return false;
        }
        let now = self.now;
        let gossip = &mut self.nodes[from].gossip;
        let actions = match call {
            Call::Heartbeat(_) => gossip.heartbeat_failed(now, &host(to).id),
            Call::Probe(target) => gossip.probed(now, &host(target).id, Probe::Silent),
            Call::Fetch => gossip.fetch_failed(now, Topic::Config),
        };
        self.perform(from, actions);
        false
    }

    fn is_up(&self, n: usize) -> bool {
        self.nodes[n].running && !self.nodes[n].paused
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let zones = (zone(from), zone(to));
        let is_in = |zone| self.faults.cut_zone == Some(zone);
        let cut = is_in(zones.0) != is_in(zones.1);
        cut || self.faults.one_way == Some(zones) || self.rng.random_bool(self.faults.loss)
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let base = if zone(from) == zone(to) { 200 } else { 1000 };
        Duration::from_micros(base + self.rng.random_range(0..500))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence)));
        self.events.insert(self.sequence, event);
    }
}

impl Call {
    fn bytes(&self) -> usize {
        match self {
            Call::Heartbeat(heartbeat) => json_bytes(heartbeat),
            Call::Probe(target) => json_bytes(&host(*target)),
            Call::Fetch => 8,
        }
    }
}

impl Answer {
    fn bytes(&self) -> usize {
        match self {
            Answer::Heartbeat(heartbeat) => json_bytes(heartbeat),
            Answer::Probe(..) | Answer::Fetch(_) => 8,
        }
    }
}

pub(crate) fn host(n: usize) -> Host {
    let address = |port: u16| {
        let octet = |shift: usize| (n >> shift) as u8;
        std::net::SocketAddr::from(([10, 0, octet(8), octet(0)], port))
    };
    Host {
        id: format!("stage-{n:03}").into(),
        zone: format!("zone-{}", zone(n)).into(),
        callers: address(7000),
        peers: address(7001),
        operators: address(7002),
    }
}

pub(crate) fn zone(n: usize) -> usize {
    n % ZONES
}

fn index(host: &Host) -> usize {
    host.id
        .trim_start_matches("stage-")
        .parse()
        .expect("the name of a simulated host ends in its number")
}

fn json_bytes<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_string(value).expect("a message serializes to JSON").len()
}
