//! Simulation of hosts and servers under virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use policy::{
    dispatch::{
        Answer, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Ticket, Unclear, Unreachable,
        Verdict,
    },
    paths::Path,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::{prelude::*, routed::ServerLoad};

use crate::{
    deployment::{Class, Deployment, Model, name},
    faults::Fault,
    fixture::{at, request as request_spec},
    network::{self, Network},
    totals::{Demand, Totals},
};

const PUMP: Duration = Duration::from_millis(10);
const SAMPLE: Duration = Duration::from_millis(2);
pub const DELAY: Duration = Duration::from_millis(1);

/// How arrivals are spread over the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    Even,
    /// Every fourth host has eight times the arrivals of the others.
    Uneven,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub hosts: usize,
    pub deployment: Deployment,
    pub load: f64,
    pub spread: Spread,
    /// Part of the messages between hosts that is lost.
    pub loss: f64,
    /// Interval of the rounds in which hosts tell their work, and how many rounds later it arrives.
    pub news: (Duration, usize),
    pub fault: Option<(Moment, Fault)>,
    /// Only requests that arrive from then on are counted.
    pub counted_from: Moment,
    /// Time during which requests arrive.
    pub span: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive,
    Enter(Ticket),
    Reach(Ticket, usize, u32),
    Begin(Ticket, usize, u32),
    Done(Ticket, usize, u32),
    Rejected(Ticket, Load),
    Stale(Ticket),
    Cut(Ticket),
    Head(Ticket, Load),
    Ended(Ticket),
    Pump,
    Sample,
    Round,
    Mail(u64),
    Fault,
    EndFault,
}

/// Requests that a server runs and queues, as it tells in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    server: usize,
    running: u32,
    waiting: u32,
}

#[derive(Default)]
pub struct Node {
    pub run: u32,
    pub is_up: bool,
    pub running: usize,
    travelling: usize,
    pub queue: VecDeque<Ticket>,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Host,
    Queue(usize),
    Slot(usize),
}

pub struct Request {
    pub host: usize,
    class: Class,
    model: Model,
    arrived_at: Moment,
    /// Time from the first byte to the end of a run.
    rest: Duration,
    is_waiting: bool,
    has_begun: bool,
    pub place: Place,
}

pub struct World {
    pub scenario: Scenario,
    /// Source of the demand, which is the same whatever the hosts do.
    arrivals: ChaCha8Rng,
    pub random: ChaCha8Rng,
    pub now: Moment,
    pub hosts: Vec<Dispatcher>,
    pub nodes: Vec<Node>,
    pub network: Network,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    order: u64,
    pub requests: BTreeMap<Ticket, Request>,
    next: Ticket,
    demand: Demand,
    pub totals: Totals,
}

pub fn id(server: usize, run: u32) -> backend::Id {
    format!("s{server}.{run}").into()
}

fn server_of(id: &backend::Id) -> (usize, u32) {
    let (server, run) = id[1..].split_once('.').expect("a server id has a run");
    (server.parse().expect("a number"), run.parse().expect("a number"))
}

impl World {
    pub fn new(scenario: Scenario) -> World {
        let deployment = scenario.deployment;
        let mut world = World {
            scenario,
            arrivals: ChaCha8Rng::seed_from_u64(7),
            random: ChaCha8Rng::seed_from_u64(8),
            now: Duration::ZERO,
            hosts: (0..scenario.hosts).map(|host| network::host(host, 0, scenario)).collect(),
            nodes: (0..deployment.servers())
                .map(|_| Node { is_up: true, ..Node::default() })
                .collect(),
            network: Network::new(scenario.hosts),
            events: BinaryHeap::new(),
            order: 0,
            requests: BTreeMap::new(),
            next: 0,
            demand: Demand::new(deployment),
            totals: Totals::default(),
        };
        for event in [Event::Arrive, Event::Pump, Event::Sample, Event::Round] {
            world.after(at(1), event);
        }
        if let Some((time, _)) = scenario.fault {
            world.after(time, Event::Fault);
        }
        world
    }

    /// Plays until the deadlines of all requests have passed.
    pub fn play(mut self) -> Totals {
        let end = self.scenario.span + Class::LongStream.deadline() + at(1_000);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            let is_over = self.scenario.span < now && self.requests.is_empty();
            if end < now || is_over {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        let lost = self.requests.values().filter(|request| !request.has_begun).count();
        self.totals.lost += lost as u32;
        let traffic = &self.network.traffic;
        self.totals.most_messages = traffic.iter().map(|host| host.0).max().unwrap_or(0);
        self.totals.most_bytes = traffic.iter().map(|host| host.1).max().unwrap_or(0);
        self.totals
    }

    /// The host that handles an event; `None` if no host does, or if the event is void.
    fn handler(&self, event: Event) -> Option<usize> {
        match event {
            Event::Enter(ticket)
            | Event::Rejected(ticket, _)
            | Event::Stale(ticket)
            | Event::Cut(ticket)
            | Event::Head(ticket, _)
            | Event::Ended(ticket) => Some(self.requests.get(&ticket)?.host),
            Event::Mail(mail) => Some(self.network.recipient(mail)),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(host) = self.handler(event)
            && let Some(until) = self.network.frozen_until(host, self.now)
        {
            return self.after(until - self.now, event);
        }
        match event {
            Event::Arrive => self.arrive(),
            Event::Enter(ticket) => self.enter(ticket),
            Event::Reach(ticket, server, run) => self.reach(ticket, server, run),
            Event::Begin(ticket, server, run) => self.begin(ticket, server, run),
            Event::Done(ticket, server, run) => self.done(ticket, server, run),
            Event::Rejected(ticket, load) => {
                self.tell_load(ticket, load);
                self.failed(ticket, End::NotRun(NotRun::Full));
            }
            Event::Cut(ticket) => self.failed(ticket, End::Unclear(Unclear::Cut)),
            Event::Stale(ticket) => self.failed(ticket, End::Unreachable(Unreachable::Refused)),
            Event::Head(ticket, load) => self.head(ticket, load),
            Event::Ended(ticket) => self.ended(ticket),
            Event::Pump => {
                (0..self.hosts.len()).for_each(|host| self.pump(host));
                self.after(PUMP, Event::Pump);
            }
            Event::Sample => self.sample(),
            Event::Round => self.round(),
            Event::Mail(mail) => self.deliver(mail),
            Event::Fault => self.strike(),
            Event::EndFault => self.recover(),
        }
    }

    pub fn after(&mut self, time: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((self.now + time, self.order, event)));
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.arrivals.random_range(1e-9..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn is_counted(&self, ticket: Ticket) -> bool {
        let request = self.requests.get(&ticket);
        request.is_some_and(|request| self.scenario.counted_from <= request.arrived_at)
    }

    fn arrive(&mut self) {
        let (streams, plain) = self.scenario.deployment.capacity();
        let mean = Duration::from_secs_f64(1.0 / (self.scenario.load * (streams + plain)));
        let gap = self.exponential(mean);
        if self.now + gap < self.scenario.span {
            self.after(gap, Event::Arrive);
        }
        let ticket = self.next;
        self.next += 1;
        let (class, model) = self.scenario.deployment.draw(&mut self.arrivals);
        let rest = self.exponential(class.work() - class.first_byte());
        let request = Request {
            host: self.draw_host(),
            class,
            model,
            arrived_at: self.now,
            rest,
            is_waiting: false,
            has_begun: false,
            place: Place::Host,
        };
        self.requests.insert(ticket, request);
        self.totals.arrived += u32::from(self.is_counted(ticket));
        self.after(Duration::ZERO, Event::Enter(ticket));
    }

    fn enter(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Request { host, class, model, .. } = *request;
        let is_stream = model.is_some();
        let spec = RequestSpec {
            service: if is_stream { "chat" } else { "app" }.into(),
            model: model.map(name),
            input: if is_stream { 300 } else { 0 },
            output: if is_stream { 100 } else { 0 },
            goal: class.goal(),
            deadline: request.arrived_at + class.deadline(),
            ..request_spec(ticket, class.kind(), self.now)
        };
        let verdict = self.hosts[host].arrive(spec, self.now);
        self.carry_out(ticket, verdict);
        self.post(host);
    }

    fn draw_host(&mut self) -> usize {
        loop {
            let host = self.random.random_range(0..self.hosts.len());
            let is_busy = self.scenario.spread == Spread::Even || host.is_multiple_of(4);
            if self.network.is_alive(host) && (is_busy || self.random.random_bool(1.0 / 8.0)) {
                return host;
            }
        }
    }

    fn carry_out(&mut self, ticket: Ticket, verdict: Verdict) {
        match verdict {
            Verdict::Send(server) => self.send(ticket, &server),
            Verdict::Wait | Verdict::Missing { .. } => self.wait(ticket),
            Verdict::Refuse { .. } | Verdict::Quarantined => self.refused(ticket),
            Verdict::Unclear(_) => self.unclear(ticket),
            Verdict::Hedge => {}
        }
    }

    fn wait(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if !std::mem::replace(&mut request.is_waiting, true) {
            self.demand.wait(request.model);
        }
    }

    pub fn end_wait(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if std::mem::replace(&mut request.is_waiting, false) {
            self.demand.end_wait(request.model);
        }
    }

    fn refused(&mut self, ticket: Ticket) {
        self.end_wait(ticket);
        self.totals.refused += u32::from(self.is_counted(ticket));
        if let Some(request) = self.requests.remove(&ticket) {
            self.demand.refuse(request.model, self.now);
        }
    }

    fn unclear(&mut self, ticket: Ticket) {
        self.end_wait(ticket);
        self.totals.unclear += u32::from(self.is_counted(ticket));
        self.requests.remove(&ticket);
    }

    fn send(&mut self, ticket: Ticket, id: &backend::Id) {
        self.end_wait(ticket);
        let (server, run) = server_of(id);
        let Some(request) = self.requests.get(&ticket) else { return };
        self.hosts[request.host].sent(ticket, Path::Direct, self.now);
        self.nodes[server].travelling += 1;
        self.after(DELAY, Event::Reach(ticket, server, run));
    }

    fn reach(&mut self, ticket: Ticket, server: usize, run: u32) {
        self.nodes[server].travelling -= 1;
        if !self.requests.contains_key(&ticket) {
            return;
        }
        let is_counted = u32::from(self.is_counted(ticket));
        self.totals.attempts += is_counted;
        let is_plain = self.scenario.deployment.is_plain(server);
        self.totals.attempts_plain += if is_plain { is_counted } else { 0 };
        if self.nodes[server].run != run || !self.nodes[server].is_up {
            self.totals.stale += is_counted;
            return self.after(DELAY, Event::Stale(ticket));
        }
        let deployment = self.scenario.deployment;
        let node = &mut self.nodes[server];
        if node.running < deployment.slots(server) {
            self.start(ticket, server);
        } else if node.queue.len() < deployment.queue(server) {
            node.queue.push_back(ticket);
            self.place(ticket, Place::Queue(server));
        } else {
            self.totals.rejected += is_counted;
            let is_plain = deployment.is_plain(server);
            self.totals.rejected_plain += if is_plain { is_counted } else { 0 };
            self.after(DELAY, Event::Rejected(ticket, self.load(server)));
        }
    }

    fn place(&mut self, ticket: Ticket, place: Place) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.place = place;
        }
    }

    pub fn start(&mut self, ticket: Ticket, server: usize) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.place = Place::Slot(server);
        let first_byte = request.class.first_byte();
        let node = &mut self.nodes[server];
        node.running += 1;
        let event = Event::Begin(ticket, server, node.run);
        self.after(first_byte, event);
    }

    fn begin(&mut self, ticket: Ticket, server: usize, run: u32) {
        let Some(request) = self.requests.get(&ticket).filter(|_| self.nodes[server].run == run)
        else {
            return;
        };
        let rest = request.rest;
        self.after(DELAY, Event::Head(ticket, self.load(server)));
        self.after(rest, Event::Done(ticket, server, run));
    }

    fn done(&mut self, ticket: Ticket, server: usize, run: u32) {
        if self.nodes[server].run == run && self.requests.contains_key(&ticket) {
            self.place(ticket, Place::Host);
            self.free(server);
            self.after(DELAY, Event::Ended(ticket));
        }
    }

    /// Frees a slot, which a request in the server's queue gets.
    pub fn free(&mut self, server: usize) {
        self.nodes[server].running -= 1;
        if let Some(next) = self.nodes[server].queue.pop_front() {
            self.start(next, server);
        }
    }

    fn load(&self, server: usize) -> Load {
        let node = &self.nodes[server];
        Load { server, running: node.running as u32, waiting: node.queue.len() as u32 }
    }

    fn tell_load(&mut self, ticket: Ticket, load: Load) {
        let Load { server, running, waiting } = load;
        let id = id(server, self.nodes[server].run);
        let slots = self.scenario.deployment.slots(server) as u32;
        let load = ServerLoad { running, waiting, slots, slowdown: None };
        if let Some(request) = self.requests.get(&ticket) {
            self.hosts[request.host].server_load(&id, load, self.now);
        }
    }

    fn head(&mut self, ticket: Ticket, load: Load) {
        self.tell_load(ticket, load);
        let (is_counted, now) = (self.is_counted(ticket), self.now);
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        self.hosts[request.host].response_started(ticket, now);
        self.hosts[request.host].first_byte(ticket, now);
        if is_counted && !std::mem::replace(&mut request.has_begun, true) {
            let is_in_time = now - request.arrived_at <= request.class.goal();
            let totals = &mut self.totals;
            let count = if is_in_time { &mut totals.in_time } else { &mut totals.late };
            *count += 1;
            if request.model.is_none() {
                totals.served_plain += 1;
            }
        }
    }

    fn ended(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.hosts[request.host].ended(ticket, End::Completed, self.now);
        self.post(request.host);
        self.pump(request.host);
    }

    fn failed(&mut self, ticket: Ticket, end: End) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let host = request.host;
        match self.hosts[host].attempt_failed(ticket, end, self.now) {
            RetryDecision::Send(server) => self.send(ticket, &server),
            RetryDecision::Wait | RetryDecision::Missing { .. } => self.wait(ticket),
            RetryDecision::InFlight => {}
            RetryDecision::GiveUp(Answer::NotRun { .. }) => self.refused(ticket),
            RetryDecision::GiveUp(Answer::Server(_) | Answer::Unclear(_)) => self.unclear(ticket),
        }
        self.post(host);
    }

    pub fn pump(&mut self, host: usize) {
        if !self.network.is_running(host, self.now) {
            return;
        }
        let changes = self.hosts[host].pump(self.now);
        changes.into_iter().for_each(|change| self.carry_out(change.ticket, change.verdict));
        self.post(host);
    }

    /// Counts the slots that are free while a request could use them.
    fn sample(&mut self) {
        self.after(SAMPLE, Event::Sample);
        if self.now < self.scenario.counted_from || self.scenario.span < self.now {
            return;
        }
        let deployment = self.scenario.deployment;
        let slots = |server| deployment.slots(server);
        let nodes = self.nodes.iter().enumerate();
        let free = nodes.map(|(server, node)| match node.is_up {
            true => slots(server).saturating_sub(node.running + node.travelling),
            false => 0,
        });
        let usable = self.demand.usable(free.collect(), self.now);
        let all: usize = (0..deployment.servers()).map(slots).sum();
        self.totals.slots += all as f64 * SAMPLE.as_secs_f64();
        self.totals.idle += usable as f64 * SAMPLE.as_secs_f64();
    }
}
