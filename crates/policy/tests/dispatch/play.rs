//! Simulation of a few hosts and servers in virtual time, to check the combined effect of the
//! decisions.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use policy::dispatch::{
    Dispatcher, End, HostStart, NotRun, RequestSpec, RetryBudgetConfig, RetryDecision, Settings,
    Ticket, Verdict, Work,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{
    prelude::*,
    routed::{Kind, ServerLoad},
};

use crate::fixture::{at, request, server};

/// Time between two digests to peers.
const DIGEST: Duration = Duration::from_millis(200);

/// Numbers of hosts and of servers with six slots, arrivals per second, and how many times slower
/// the first server is than the others.
#[derive(Clone, Copy)]
struct Scenario {
    hosts: usize,
    servers: usize,
    rate: f64,
    slow: f64,
}

const WORK: f64 = 30.0;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const GOAL: Duration = Duration::from_millis(150);
const TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize, Ticket),
    Done(usize, Ticket),
    Pump,
    Digest(usize),
}

/// Outcomes of the requests.
#[derive(Debug, Default)]
struct Totals {
    arrived: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    refused_late: u32,
    rejections: u32,
    most_waiting: usize,
    other_zone: u32,
}

#[derive(Default)]
struct Node {
    running: usize,
    queue: VecDeque<Ticket>,
}

struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    hosts: Vec<Dispatcher>,
    nodes: Vec<Node>,
    in_flight: BTreeMap<Ticket, Moment>,
    totals: Totals,
}

fn id(server: usize) -> backend::Id {
    format!("s{server}").into()
}

impl World {
    fn new(scenario: Scenario) -> World {
        let zones = ["a", "b", "c", "d"];
        let host = |at: usize| {
            let zone = zones[at % zones.len()].into();
            let hosts = scenario.hosts as u32;
            let mut host = Dispatcher::new(Settings {
                host: "a".into(),
                run: 1,
                zone,
                hosts,
                retries: RetryBudgetConfig::default(),
            });
            host.registered(HostStart::First);
            for n in 0..scenario.servers {
                let registration = server(&id(n), zones[n % zones.len()], &[]);
                host.server(
                    &types::routed::Server { slots: SLOTS as u32, ..registration },
                    Duration::ZERO,
                );
            }
            host
        };
        let mut world = World {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(7),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            hosts: (0..scenario.hosts).map(host).collect(),
            nodes: (0..scenario.servers).map(|_| Node::default()).collect(),
            in_flight: BTreeMap::new(),
            totals: Totals::default(),
        };
        world.after(Duration::ZERO, Event::Arrive);
        world.after(Duration::ZERO, Event::Pump);
        for host in 0..scenario.hosts {
            world.after(DIGEST * host as u32 / scenario.hosts as u32, Event::Digest(host));
        }
        world
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.events.push(Reverse((self.now + time, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean / 1000.0)
    }

    fn host_of(&self, ticket: Ticket) -> usize {
        ticket as usize % self.scenario.hosts
    }

    fn play(mut self, time: Duration) -> Totals {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if time < now {
                break;
            }
            self.now = now;
            match event {
                Event::Arrive => self.arrive(),
                Event::Reach(server, ticket) => self.reach(server, ticket),
                Event::Done(server, ticket) => self.done(server, ticket),
                Event::Pump => {
                    (0..self.scenario.hosts).for_each(|host| self.pump(host));
                    self.after(at(10), Event::Pump);
                }
                Event::Digest(host) => self.digest(host),
            }
        }
        self.totals
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1000.0 / self.scenario.rate);
        self.after(gap, Event::Arrive);
        let ticket = u64::from(self.totals.arrived);
        self.totals.arrived += 1;
        let request = RequestSpec {
            goal: GOAL,
            deadline: self.now + TIMEOUT,
            ..request(ticket, Kind::NonIdempotent, self.now)
        };
        self.in_flight.insert(ticket, self.now);
        let host = self.host_of(ticket);
        let verdict = self.hosts[host].arrive(request, self.now);
        self.carry_out(ticket, verdict);
    }

    fn carry_out(&mut self, ticket: Ticket, verdict: Verdict) {
        match verdict {
            Verdict::Send(server) => self.send(&server, ticket),
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
        self.totals.refused += 1;
        let waited = self.now - self.in_flight[&ticket];
        self.totals.refused_late += u32::from(GOAL < waited);
    }

    fn send(&mut self, server: &backend::Id, ticket: Ticket) {
        let server: usize = server[1..].parse().unwrap();
        self.totals.other_zone += u32::from(server % 4 != self.host_of(ticket) % 4);
        self.after(at(1), Event::Reach(server, ticket));
    }

    fn reach(&mut self, server: usize, ticket: Ticket) {
        if self.nodes[server].running < SLOTS {
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
        self.nodes[server].running += 1;
        let slow = if server == 0 { self.scenario.slow } else { 1.0 };
        let work = self.exponential(WORK / 2.0) + at(WORK as u64 / 2);
        self.after(work.mul_f64(slow), Event::Done(server, ticket));
    }

    fn done(&mut self, server: usize, ticket: Ticket) {
        self.nodes[server].running -= 1;
        if let Some(next) = self.nodes[server].queue.pop_front() {
            self.start(server, next);
        }
        let (host, now) = (self.host_of(ticket), self.now);
        self.report_load(server, host);
        self.hosts[host].ended(ticket, End::Completed, now);
        match now - self.in_flight[&ticket] {
            time if time <= GOAL => self.totals.in_time += 1,
            time if time <= TIMEOUT => self.totals.late += 1,
            _ => {}
        }
        self.pump(host);
    }

    fn report_load(&mut self, server: usize, host: usize) {
        let node = &self.nodes[server];
        let (running, waiting) = (node.running as u32, node.queue.len() as u32);
        let load = ServerLoad { running, waiting, slots: SLOTS as u32, slowdown: None };
        self.hosts[host].server_load(&id(server), load, self.now);
    }

    fn pump(&mut self, host: usize) {
        let changes = self.hosts[host].pump(self.now);
        changes.into_iter().for_each(|change| self.carry_out(change.ticket, change.verdict));
        self.totals.most_waiting = self.totals.most_waiting.max(self.hosts[host].waiting());
    }

    fn digest(&mut self, host: usize) {
        let work: Vec<Work> = self.hosts[host].work();
        let name: host::Id = format!("h{host}").into();
        for other in (0..self.scenario.hosts).filter(|other| *other != host) {
            self.hosts[other].peer(&name, &work, self.now);
        }
        self.after(DIGEST, Event::Digest(host));
    }
}

/// Requests that the servers can run in this time.
fn capacity(scenario: &Scenario, time: Duration) -> f64 {
    let servers = scenario.servers as f64 - 1.0 + 1.0 / scenario.slow;
    servers * SLOTS as f64 * 1000.0 / WORK * time.as_secs_f64()
}

/// While there is capacity nearly all requests are served in time, and an overload costs little
/// more than the excess requests.
#[rstest]
fn what_the_servers_can_do_is_done_in_time(
    #[values(0.5, 0.9, 1.3, 2.0, 4.0)] load: f64,
    #[values(1.0, 1.3, 7.5)] slow: f64,
) {
    let time = Duration::from_secs(20);
    let scenario = Scenario { hosts: 6, servers: 4, rate: 0.0, slow };
    let capacity = capacity(&scenario, time);
    let scenario = Scenario { rate: load * capacity / time.as_secs_f64(), ..scenario };
    let totals = World::new(scenario).play(time);
    let best = capacity.min(f64::from(totals.arrived));
    let share = |count: u32| f64::from(count) / best;
    let least = if load < 1.0 { 0.97 } else { 0.9 };
    assert!(least < share(totals.in_time), "{} in time: {totals:?}", share(totals.in_time));
    assert!(least < share(totals.in_time + totals.late), "{totals:?}");
    // Requests wait at the hosts, so servers reject few of them, and most refusals are early.
    assert!(totals.rejections < 20, "{totals:?}");
    assert!(totals.refused_late * 12 < totals.arrived, "{totals:?}");
    assert!(0.6 < load || totals.refused == 0, "{totals:?}");
}

/// Guards against a change of decisions where servers are equally fast and report no slowdown. The
/// figures are those of a dispatcher without estimates of speed.
#[rstest]
#[case(0.5, [7906, 7893, 3, 0, 0, 0, 0, 4091])]
#[case(0.9, [14430, 14353, 22, 40, 3, 0, 12, 8565])]
#[case(1.3, [20791, 15715, 207, 4795, 545, 0, 21, 12591])]
#[case(2.0, [32046, 15699, 333, 15852, 849, 0, 31, 11759])]
#[case(4.0, [63918, 15476, 572, 47670, 551, 1, 57, 12416])]
fn equal_servers_without_figures_are_chosen_as_without_estimates_of_their_speed(
    #[case] load: f64,
    #[case] expected: [u32; 8],
) {
    let time = Duration::from_secs(20);
    let scenario = Scenario { hosts: 6, servers: 4, rate: 0.0, slow: 1.0 };
    let rate = load * capacity(&scenario, time) / time.as_secs_f64();
    let totals = World::new(Scenario { rate, ..scenario }).play(time);
    let Totals { arrived, in_time, late, refused, refused_late, rejections, .. } = totals;
    let waiting = totals.most_waiting as u32;
    let decisions =
        [arrived, in_time, late, refused, refused_late, rejections, waiting, totals.other_zone];
    assert_eq!(decisions, expected);
}
