//! Simulation of many hosts that serve several kinds of requests of several customers, with news of
//! each other that arrives late.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use policy::dispatch::{
    Deferrable, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Ticket, Verdict, Work,
};
use policy::paths::Path;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::{
    prelude::*,
    routed::{Kind, Server, ServerLoad},
};

use crate::fixture::{among, at, request, server};

const SLOTS: usize = 12;
/// Requests that a server queues in addition to those that it runs.
const QUEUE: usize = 25;
const MEAN_WORK: f64 = 0.5;
const FIRST_BYTE: Duration = Duration::from_millis(40);
const DIGEST: Duration = Duration::from_millis(60);
/// Number of digest intervals until a host receives another host's digest.
const DIGESTS_LATE: usize = 2;

/// Requests of one kind.
#[derive(Clone, Copy)]
pub struct Source {
    pub customer: Option<&'static str>,
    pub goal: Duration,
    pub deadline: Duration,
    /// Load at a time in seconds, as a part of what the servers can do.
    pub load: fn(f64) -> f64,
}

/// What became of the requests of one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub arrived: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Outcomes {
    /// Part of the requests that were served in time.
    pub fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }

    /// Part of the requests that were served before their deadlines.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.arrived.max(1))
    }
}

/// Whether hosts hear of each other's deferrable requests and customers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum News {
    Exchanged,
    Missing,
}

/// Size of the simulated deployment.
#[derive(Clone, Copy)]
pub struct Size {
    pub hosts: usize,
    pub servers: usize,
    /// Time during which requests arrive.
    pub span: Duration,
    pub news: News,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize, Ticket),
    Begin(usize, Ticket),
    Done(usize, Ticket),
    Pump,
    Digest,
}

#[derive(Default)]
struct Node {
    running: usize,
    queue: VecDeque<Ticket>,
}

/// A host's news for the others.
#[derive(Clone, Default)]
struct Digest {
    work: BTreeMap<backend::Id, u32>,
    deferrable: BTreeMap<service::Id, (u32, u32)>,
    customers: BTreeMap<customer::Id, (u64, u64)>,
}

struct City<'a> {
    size: Size,
    sources: &'a [Source],
    random: ChaCha8Rng,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    hosts: Vec<Dispatcher>,
    nodes: Vec<Node>,
    requests: BTreeMap<Ticket, (usize, Moment)>,
    arrived: Ticket,
    /// The hosts' digests, the newest first.
    digests: VecDeque<Vec<Digest>>,
    outcomes: Vec<Outcomes>,
}

/// Returns what becomes of the requests of each source.
pub fn play(size: Size, sources: &[Source]) -> Vec<Outcomes> {
    City::new(size, sources).play()
}

fn id(server: usize) -> backend::Id {
    format!("s{server}").into()
}

impl City<'_> {
    fn new(size: Size, sources: &[Source]) -> City<'_> {
        let registration = |n| Server { slots: SLOTS as u32, ..server(&id(n), "a", &[]) };
        let host = |_| among(size.hosts, (0..size.servers).map(registration));
        let mut city = City {
            size,
            sources,
            random: ChaCha8Rng::seed_from_u64(7),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            hosts: (0..size.hosts).map(host).collect(),
            nodes: (0..size.servers).map(|_| Node::default()).collect(),
            requests: BTreeMap::new(),
            arrived: 0,
            digests: VecDeque::new(),
            outcomes: vec![Outcomes::default(); sources.len()],
        };
        (0..sources.len()).for_each(|source| city.after(at(1), Event::Arrive(source)));
        [Event::Pump, Event::Digest].into_iter().for_each(|event| city.after(at(1), event));
        city
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.events.push(Reverse((self.now + time, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    /// Plays until the deadlines of all requests have passed.
    fn play(mut self) -> Vec<Outcomes> {
        let last = self.sources.iter().map(|source| source.deadline).max().unwrap_or_default();
        let end = self.size.span + last;
        while let Some(Reverse((now, event))) = self.events.pop().filter(|e| e.0.0 < end) {
            self.now = now;
            match event {
                Event::Arrive(source) => self.arrive(source),
                Event::Reach(server, ticket) => self.reach(server, ticket),
                Event::Begin(server, ticket) => self.begin(server, ticket),
                Event::Done(server, ticket) => self.done(server, ticket),
                Event::Pump => {
                    (0..self.size.hosts).for_each(|host| self.pump(host));
                    self.after(at(10), Event::Pump);
                }
                Event::Digest => self.digest(),
            }
        }
        self.outcomes
    }

    fn arrive(&mut self, index: usize) {
        let source = self.sources[index];
        let load = (source.load)(self.now.as_secs_f64());
        let capacity = (self.size.servers * SLOTS) as f64 / MEAN_WORK;
        let gap = self.exponential(1.0 / (capacity * load.max(1e-3)));
        if self.size.span < self.now + gap {
            return;
        }
        self.after(gap, Event::Arrive(index));
        let ticket = self.arrived;
        self.arrived += 1;
        self.outcomes[index].arrived += 1;
        self.requests.insert(ticket, (index, self.now));
        let spec = RequestSpec {
            goal: source.goal,
            deadline: self.now + source.deadline,
            customer: source.customer.map(Into::into),
            ..request(ticket, Kind::NonIdempotent, self.now)
        };
        let host = self.host_of(ticket);
        let verdict = self.hosts[host].arrive(spec, self.now);
        self.carry_out(ticket, &verdict);
    }

    fn host_of(&self, ticket: Ticket) -> usize {
        ticket as usize * 31 % self.size.hosts
    }

    fn carry_out(&mut self, ticket: Ticket, verdict: &Verdict) {
        match verdict {
            Verdict::Send(server) => self.send(server, ticket),
            Verdict::Refuse { .. } => self.refused(ticket),
            _ => {}
        }
    }

    fn refused(&mut self, ticket: Ticket) {
        self.outcomes[self.requests[&ticket].0].refused += 1;
    }

    fn send(&mut self, server: &backend::Id, ticket: Ticket) {
        let server: usize = server[1..].parse().expect("server id ends with a number");
        let host = self.host_of(ticket);
        self.hosts[host].sent(ticket, Path::Direct, self.now);
        self.after(at(1), Event::Reach(server, ticket));
    }

    fn reach(&mut self, server: usize, ticket: Ticket) {
        if self.nodes[server].running < SLOTS {
            return self.start(server, ticket);
        }
        if self.nodes[server].queue.len() < QUEUE {
            return self.nodes[server].queue.push_back(ticket);
        }
        let host = self.host_of(ticket);
        self.report_load(server, host);
        match self.hosts[host].attempt_failed(ticket, End::NotRun(NotRun::Full), self.now) {
            RetryDecision::Send(server) => self.send(&server, ticket),
            RetryDecision::GiveUp(_) => self.refused(ticket),
            _ => {}
        }
    }

    fn start(&mut self, server: usize, ticket: Ticket) {
        self.nodes[server].running += 1;
        self.after(FIRST_BYTE, Event::Begin(server, ticket));
    }

    fn begin(&mut self, server: usize, ticket: Ticket) {
        let work = self.exponential(MEAN_WORK - FIRST_BYTE.as_secs_f64());
        self.after(work, Event::Done(server, ticket));
        let host = self.host_of(ticket);
        self.report_load(server, host);
        self.hosts[host].first_byte(ticket, self.now);
        let (source, since) = self.requests[&ticket];
        match self.now - since {
            time if time <= self.sources[source].goal => self.outcomes[source].in_time += 1,
            time if time <= self.sources[source].deadline => self.outcomes[source].late += 1,
            _ => {}
        }
    }

    fn done(&mut self, server: usize, ticket: Ticket) {
        self.nodes[server].running -= 1;
        if let Some(next) = self.nodes[server].queue.pop_front() {
            self.start(server, next);
        }
        let host = self.host_of(ticket);
        self.report_load(server, host);
        self.hosts[host].ended(ticket, End::Completed, self.now);
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
        changes.iter().for_each(|change| self.carry_out(change.ticket, &change.verdict));
    }

    /// Gives each host the sums of the other hosts' oldest digests that are stored.
    fn digest(&mut self) {
        let own = |host: &Dispatcher| Digest {
            work: host.work().into_iter().map(|(id, _, n, _)| (id, n)).collect(),
            deferrable: host
                .deferrable()
                .into_iter()
                .map(|(id, n, waiting)| (id, (n, waiting)))
                .collect(),
            customers: host
                .customer_work()
                .into_iter()
                .map(|(id, n, waiting)| (id, (n, waiting)))
                .collect(),
        };
        self.digests.push_front(self.hosts.iter().map(own).collect());
        self.digests.truncate(DIGESTS_LATE + 1);
        let late = self.digests.back().expect("at least one digest was added");
        let mut all = Digest::default();
        for digest in late {
            digest.work.iter().for_each(|(id, n)| *all.work.entry(id.clone()).or_default() += n);
            for (id, (n, waiting)) in &digest.deferrable {
                let sum = all.deferrable.entry(id.clone()).or_default();
                *sum = (sum.0 + n, sum.1 + waiting);
            }
        }
        for (customer, (n, waiting)) in late.iter().flat_map(|digest| &digest.customers) {
            let sum = all.customers.entry(customer.clone()).or_default();
            *sum = (sum.0 + n, sum.1 + waiting);
        }
        for (host, own) in self.hosts.iter_mut().zip(late) {
            let others = all.work.iter().map(|(id, n)| (id, n - own.work.get(id).unwrap_or(&0)));
            let work: Vec<Work> = others.map(|(id, n)| (id.clone(), None, n, 0)).collect();
            host.peer(&"peers".into(), &work, self.now);
            let deferrable = all.deferrable.iter().map(|(id, sum)| {
                let own = own.deferrable.get(id).copied().unwrap_or_default();
                (id.clone(), sum.0 - own.0, sum.1 - own.1)
            });
            let deferrable: Vec<Deferrable> = deferrable.collect();
            if self.size.news == News::Exchanged {
                host.peer_deferrable(&deferrable, self.now);
                let customers = all.customers.iter().map(|(id, sum)| {
                    let own = own.customers.get(id).copied().unwrap_or_default();
                    (id.clone(), sum.0 - own.0, sum.1 - own.1)
                });
                host.peer_customer_work(&customers.collect::<Vec<_>>(), self.now);
            }
        }
        self.after(DIGEST, Event::Digest);
    }
}
