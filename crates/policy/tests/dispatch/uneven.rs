//! Simulation of several hosts in front of servers of unequal and changing speed, judged by what
//! callers get.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use policy::dispatch::{
    Dispatcher, End, NotRun, RequestSpec, RetryDecision, Ticket, Verdict, Work, speed::Sum,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{
    prelude::*,
    routed::{Kind, Server, ServerLoad},
};

use crate::fixture::{among, at, request, server};

const SLOTS: usize = 12;
/// Requests that a server queues in addition to those that it runs.
const QUEUE: usize = 25;
const MEAN_WORK_MS: f64 = 90.0;
const GOAL: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(4);
const DIGEST: Duration = Duration::from_millis(100);
/// Interval at which hosts exchange the sums of response times.
const SUMS: Duration = Duration::from_secs(2);
/// Mean times for which a neighbour is busy and idle, and the factor by which it slows a server.
const BUSY_MS: f64 = 300.0;
const IDLE_MS: f64 = 600.0;
const NEIGHBOUR: f64 = 2.5;

/// What servers state about their momentary speed.
#[derive(Clone, Copy, Debug)]
enum Stated {
    Nothing,
    Truth,
    /// A constant figure.
    Constant(f64),
    /// The opposite of the truth.
    Inverse,
}

/// Whether hosts exchange the sums of response times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    None,
    Sums,
}

#[derive(Clone, Debug)]
struct Scenario {
    hosts: usize,
    /// Long-term factor of each server.
    factors: Vec<f64>,
    /// Number of servers with a noisy neighbour.
    noisy: usize,
    stated: Stated,
    sharing: Sharing,
    /// Offered load, as a part of what the servers can do without neighbours.
    load: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize, Ticket),
    Done(usize, Ticket),
    Neighbour(usize),
    Pump,
    Digest(usize),
    Sums,
}

/// Outcomes of the requests that arrived after the warm-up.
#[derive(Debug, Default)]
struct Totals {
    arrived: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    rejections: u32,
    /// Sums of response times that hosts had for others.
    sums: usize,
    /// Response times beyond the goal, summed up.
    excess: Duration,
}

impl Totals {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived)
    }
}

/// A running request: its remaining work as of a time, which a change of speed updates.
#[derive(Clone, Copy)]
struct Running {
    left: f64,
    since: Moment,
    ends: Moment,
}

struct Node {
    factor: f64,
    is_busy: bool,
    running: BTreeMap<Ticket, Running>,
    queue: VecDeque<Ticket>,
}

impl Node {
    fn slowness(&self) -> f64 {
        self.factor * if self.is_busy { NEIGHBOUR } else { 1.0 }
    }
}

struct World {
    scenario: Scenario,
    rate: f64,
    warm_up: Duration,
    random: ChaCha8Rng,
    now: Moment,
    next: Ticket,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    hosts: Vec<Dispatcher>,
    nodes: Vec<Node>,
    arrived_at: BTreeMap<Ticket, Moment>,
    totals: Totals,
}

fn id(server: usize) -> backend::Id {
    format!("s{server}").into()
}

/// Requests per second that servers of these factors can run.
fn capacity(factors: &[f64]) -> f64 {
    factors.iter().map(|factor| SLOTS as f64 * 1000.0 / MEAN_WORK_MS / factor).sum()
}

impl World {
    fn new(scenario: Scenario, warm_up: Duration) -> World {
        let servers = scenario.factors.len();
        let registration = |n| Server { slots: SLOTS as u32, ..server(&id(n), "a", &[]) };
        let hosts =
            (0..scenario.hosts).map(|_| among(scenario.hosts, (0..servers).map(registration)));
        let node = |factor: &f64| Node {
            factor: *factor,
            is_busy: false,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
        };
        let mut world = World {
            rate: scenario.load * capacity(&scenario.factors),
            warm_up,
            random: ChaCha8Rng::seed_from_u64(7),
            now: Duration::ZERO,
            next: 0,
            events: BinaryHeap::new(),
            hosts: hosts.collect(),
            nodes: scenario.factors.iter().map(node).collect(),
            arrived_at: BTreeMap::new(),
            totals: Totals::default(),
            scenario,
        };
        for event in [Event::Arrive, Event::Pump, Event::Sums] {
            world.after(at(1), event);
        }
        for host in 0..world.hosts.len() {
            world.after(DIGEST * host as u32 / world.hosts.len() as u32, Event::Digest(host));
        }
        for node in 0..world.scenario.noisy {
            world.after(at(10), Event::Neighbour(node));
        }
        world
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.events.push(Reverse((self.now + time, event)));
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_ms / 1000.0)
    }

    fn host_of(&self, ticket: Ticket) -> usize {
        (ticket as usize * 31) % self.hosts.len()
    }

    fn play(mut self, span: Duration) -> Totals {
        let end = self.warm_up + span;
        while let Some(Reverse((now, event))) = self.events.pop().filter(|event| event.0.0 < end) {
            self.now = now;
            match event {
                Event::Arrive => self.arrive(),
                Event::Reach(server, ticket) => self.reach(server, ticket),
                Event::Done(server, ticket) => self.done(server, ticket),
                Event::Neighbour(server) => self.neighbour(server),
                Event::Pump => {
                    (0..self.hosts.len()).for_each(|host| self.pump(host));
                    self.after(at(10), Event::Pump);
                }
                Event::Digest(host) => self.digest(host),
                Event::Sums => self.sums(),
            }
        }
        self.totals
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1000.0 / self.rate);
        self.after(gap, Event::Arrive);
        let ticket = self.next;
        self.next += 1;
        self.totals.arrived += u32::from(self.warm_up <= self.now);
        self.arrived_at.insert(ticket, self.now);
        let spec = request(ticket, Kind::NonIdempotent, self.now);
        let request = RequestSpec { goal: GOAL, deadline: self.now + TIMEOUT, ..spec };
        let host = self.host_of(ticket);
        let verdict = self.hosts[host].arrive(request, self.now);
        self.carry_out(ticket, &verdict);
    }

    fn carry_out(&mut self, ticket: Ticket, verdict: &Verdict) {
        match verdict {
            Verdict::Send(server) => self.send(server, ticket),
            Verdict::Wait | Verdict::Missing { .. } => {}
            Verdict::Hedge
            | Verdict::Refuse { .. }
            | Verdict::Quarantined
            | Verdict::Unclear(_) => {
                self.refused(ticket);
            }
        }
    }

    fn refused(&mut self, ticket: Ticket) {
        let arrived_at = self.arrived_at.remove(&ticket).expect("a request of this world");
        self.totals.refused += u32::from(self.warm_up <= arrived_at);
    }

    fn send(&mut self, server: &backend::Id, ticket: Ticket) {
        let server: usize = server[1..].parse().expect("a server id ends with a number");
        self.after(at(1), Event::Reach(server, ticket));
    }

    fn reach(&mut self, server: usize, ticket: Ticket) {
        if self.nodes[server].running.len() < SLOTS {
            return self.start(server, ticket);
        }
        if self.nodes[server].queue.len() < QUEUE {
            return self.nodes[server].queue.push_back(ticket);
        }
        self.totals.rejections += 1;
        let (host, now) = (self.host_of(ticket), self.now);
        self.report_load(server, host);
        match self.hosts[host].attempt_failed(ticket, End::NotRun(NotRun::Full), now) {
            RetryDecision::Send(server) => self.send(&server, ticket),
            RetryDecision::Wait | RetryDecision::Missing { .. } => {}
            RetryDecision::InFlight => unreachable!("no request is hedged"),
            RetryDecision::GiveUp(_) => self.refused(ticket),
        }
    }

    fn start(&mut self, server: usize, ticket: Ticket) {
        let work = self.exponential(MEAN_WORK_MS / 2.0).as_secs_f64() + MEAN_WORK_MS / 2000.0;
        self.run(server, ticket, work);
    }

    fn run(&mut self, server: usize, ticket: Ticket, left: f64) {
        let ends = self.now + Duration::from_secs_f64(left * self.nodes[server].slowness());
        let running = Running { left, since: self.now, ends };
        self.nodes[server].running.insert(ticket, running);
        self.events.push(Reverse((ends, Event::Done(server, ticket))));
    }

    /// Starts or ends the work of a server's neighbour.
    fn neighbour(&mut self, server: usize) {
        let (now, slowness) = (self.now, self.nodes[server].slowness());
        self.nodes[server].is_busy ^= true;
        for (ticket, running) in std::mem::take(&mut self.nodes[server].running) {
            let done = (now - running.since).as_secs_f64() / slowness;
            self.run(server, ticket, (running.left - done).max(0.0));
        }
        let mean = if self.nodes[server].is_busy { BUSY_MS } else { IDLE_MS };
        let time = self.exponential(mean);
        self.after(time, Event::Neighbour(server));
    }

    fn done(&mut self, server: usize, ticket: Ticket) {
        let running = self.nodes[server].running.get(&ticket);
        if running.is_none_or(|running| running.ends != self.now) {
            return;
        }
        self.nodes[server].running.remove(&ticket);
        if let Some(next) = self.nodes[server].queue.pop_front() {
            self.start(server, next);
        }
        let (host, now) = (self.host_of(ticket), self.now);
        self.report_load(server, host);
        self.hosts[host].ended(ticket, End::Completed, now);
        let arrived_at = self.arrived_at.remove(&ticket).expect("a request of this world");
        if self.warm_up <= arrived_at {
            let took = now - arrived_at;
            self.totals.in_time += u32::from(took <= GOAL);
            self.totals.late += u32::from(GOAL < took);
            self.totals.excess += took.saturating_sub(GOAL);
        }
        self.pump(host);
    }

    fn report_load(&mut self, server: usize, host: usize) {
        let node = &self.nodes[server];
        let truth = if node.is_busy { NEIGHBOUR } else { 1.0 };
        let slowdown = match self.scenario.stated {
            Stated::Nothing => None,
            Stated::Truth => Some(truth),
            Stated::Constant(figure) => Some(figure),
            Stated::Inverse => Some(NEIGHBOUR / truth),
        };
        let (running, waiting) = (node.running.len() as u32, node.queue.len() as u32);
        let load = ServerLoad { running, waiting, slots: SLOTS as u32, slowdown };
        self.hosts[host].server_load(&id(server), load, self.now);
    }

    fn pump(&mut self, host: usize) {
        let changes = self.hosts[host].pump(self.now);
        changes.iter().for_each(|change| self.carry_out(change.ticket, &change.verdict));
    }

    fn digest(&mut self, host: usize) {
        let work: Vec<Work> = self.hosts[host].work();
        let name: host::Id = format!("h{host}").into();
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.hosts[other].peer(&name, &work, self.now);
        }
        self.after(DIGEST, Event::Digest(host));
    }

    /// Tells each host the sums of all others.
    fn sums(&mut self) {
        if self.scenario.sharing == Sharing::Sums {
            let now = self.now;
            let sums: Vec<Vec<(backend::Id, Sum)>> =
                self.hosts.iter_mut().map(|host| host.speed_sums(now)).collect();
            self.totals.sums += sums.iter().map(Vec::len).sum::<usize>();
            for host in 0..self.hosts.len() {
                let others = sums.iter().enumerate().filter(|(other, _)| *other != host);
                let mut all: BTreeMap<backend::Id, Sum> = BTreeMap::new();
                for (id, sum) in others.flat_map(|(_, sums)| sums) {
                    let known = all.entry(id.clone()).or_default();
                    *known = known.plus(*sum);
                }
                self.hosts[host].set_speed_sums(&all);
            }
        }
        self.after(SUMS, Event::Sums);
    }
}

fn uneven(servers: usize) -> Vec<f64> {
    [0.6, 1.0, 1.6].into_iter().cycle().take(servers).collect()
}

/// Guards against refusals, or a loss of throughput, while unequal servers have capacity left.
#[rstest]
fn uneven_servers_reach_what_their_sum_allows(
    #[values(0.7, 0.95)] load: f64,
    #[values(Sharing::None, Sharing::Sums)] sharing: Sharing,
) {
    let factors = uneven(12);
    let (stated, hosts) = (Stated::Nothing, 6);
    let scenario = Scenario { hosts, factors, noisy: 0, stated, sharing, load };
    let totals = World::new(scenario, at(10_000)).play(at(20_000));
    assert_eq!(totals.refused, 0, "{totals:?}");
    assert!(0.95 < totals.share_in_time(), "{totals:?}");
}

/// Guards against work that waits at a server whose machine is busy for the moment.
#[rstest]
fn a_noisy_neighbour_costs_little(#[values(0.5, 0.7)] load: f64, #[values(4, 8)] noisy: usize) {
    let scenario = |noisy| Scenario {
        hosts: 6,
        factors: vec![1.0; 12],
        noisy,
        stated: Stated::Truth,
        sharing: Sharing::Sums,
        load,
    };
    let baseline = World::new(scenario(0), at(10_000)).play(at(20_000));
    let totals = World::new(scenario(noisy), at(10_000)).play(at(20_000));
    let share = totals.share_in_time() / baseline.share_in_time();
    assert!(0.9 < share, "{share}: {totals:?}, baseline {baseline:?}");
}

/// Guards against false figures that cost more than no figures do.
#[rstest]
#[case::zero(Stated::Constant(0.0))]
#[case::huge(Stated::Constant(1e9))]
#[case::tiny(Stated::Constant(1e-9))]
#[case::not_a_number(Stated::Constant(f64::NAN))]
#[case::infinite(Stated::Constant(f64::INFINITY))]
#[case::opposite(Stated::Inverse)]
fn false_figures_cost_no_more_than_none(#[case] stated: Stated) {
    let scenario = |stated| Scenario {
        hosts: 6,
        factors: uneven(12),
        noisy: 4,
        stated,
        sharing: Sharing::Sums,
        load: 0.7,
    };
    let baseline = World::new(scenario(Stated::Nothing), at(10_000)).play(at(20_000));
    let totals = World::new(scenario(stated), at(10_000)).play(at(20_000));
    let share = totals.share_in_time() / baseline.share_in_time();
    assert!(0.97 < share, "{share}: {totals:?}, without figures {baseline:?}");
}

/// Guards against traffic between hosts whose servers are equally fast.
#[rstest]
fn hosts_of_equal_servers_send_no_sums(#[values(0.4, 0.9)] load: f64) {
    let (stated, sharing) = (Stated::Nothing, Sharing::Sums);
    let scenario = Scenario { hosts: 6, factors: vec![1.0; 12], noisy: 0, stated, sharing, load };
    let totals = World::new(scenario, at(5_000)).play(at(20_000));
    assert_eq!(totals.sums, 0, "{totals:?}");
}
