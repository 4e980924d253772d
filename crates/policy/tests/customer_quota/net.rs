//! Simulation of hosts that admit requests of one customer under its quota, in virtual time.
//!
//! Messages are delayed, lost, repeated and reordered; hosts are cut off, frozen, killed and
//! restarted. Admitted tokens are counted over all hosts, whatever faults occurred.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use policy::customer::quota::{Admission, Message, Quotas};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::{
    customer::{self, Quota, Unit},
    host,
    routed::{Customer, Rate},
    time::Moment,
};

pub const CUSTOMER: &str = "acme";

/// Interval between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Interval at which hosts update which others are live.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a host regards another one as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Window of the quota, and what it may exceed it by.
pub const WINDOW: Duration = Duration::from_secs(8);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 7_400.0;

/// Distribution of requests over hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// Evenly over all hosts.
    Even,
    /// All at one host.
    One,
    /// Half of the requests at a tenth of the hosts.
    Skewed,
}

/// Fault of hosts, given by their indices.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// No message passes between these hosts and the others.
    Cut(Vec<usize>),
    /// No message passes between any two hosts.
    CutAll,
    /// These hosts make no progress, and receive their messages and requests when the fault ends.
    Freeze(Vec<usize>),
    /// These hosts end, and start again at the end of the fault with no state.
    Restart(Vec<usize>),
}

/// Fault with its start and end.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    pub from: f64,
    pub to: f64,
    pub fault: Fault,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    /// Hosts that start with the simulation; the others join at the end of a restart.
    pub spread: Spread,
    /// Quotas by the time in seconds from which they are declared: rate and burst.
    pub quotas: Vec<(f64, Option<(f64, f64)>)>,
    /// Demand in tokens a second, by the time in seconds from which it arrives.
    pub demand: Vec<(f64, f64)>,
    /// Least and largest cost of a request.
    pub costs: (u32, u32),
    /// Longest delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Fraction of messages that are lost, and that are delivered twice.
    pub loss: f64,
    pub faults: Vec<PlannedFault>,
    /// Length in seconds.
    pub length: f64,
}

impl Plan {
    /// Demand at a multiple of the rate.
    pub fn steady(hosts: usize, (rate, burst): (f64, f64), demand: f64, spread: Spread) -> Plan {
        Plan {
            seed: 7,
            hosts,
            spread,
            quotas: vec![(0.0, Some((rate, burst)))],
            demand: vec![(2.0, demand * rate)],
            costs: (100, 4_000),
            delay_ms: 4,
            loss: 0.0,
            faults: Vec::new(),
            length: 30.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    from: usize,
    to: usize,
    message: Message,
}

struct Host {
    quotas: Quotas,
    started_at: Moment,
    /// Costs of requests that arrived while the host was frozen.
    backlog: Vec<u32>,
    last_heard: BTreeMap<usize, Moment>,
    waiting: BTreeMap<u64, (u32, Moment)>,
}

/// Request that was admitted, or refused.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub at: Moment,
    pub cost: u32,
    pub is_admitted: bool,
    pub after: Duration,
    /// Time from the request to the decision.
    pub took: Duration,
}

pub struct Simulation {
    plan: Plan,
    pub now: Moment,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Moment, u64, Delivery)>>,
    count: u64,
    tickets: u64,
    random: ChaCha8Rng,
    /// Whether all hosts have been updated since the last fault.
    is_updated: bool,
    pub outcomes: VecDeque<Outcome>,
    pub messages: u64,
    pub bytes: u64,
}

pub fn name(index: usize) -> host::Id {
    format!("host-{index:03}").into()
}

pub fn customer(quota: Option<(f64, f64)>) -> Customer {
    let quota = quota.and_then(|(rate, burst)| {
        let rate = Rate::per_second(rate)?;
        Some(Quota { rate, burst, unit: Unit::Tokens { plain: 100 } })
    });
    Customer { name: CUSTOMER.into(), keys: Vec::new(), priority: None, weight: 1, quota }
}

impl Simulation {
    pub fn new(plan: Plan) -> Simulation {
        let mut simulation = Simulation {
            now: Moment::ZERO,
            hosts: Vec::new(),
            events: BinaryHeap::new(),
            count: 0,
            tickets: 0,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            is_updated: false,
            outcomes: VecDeque::new(),
            messages: 0,
            bytes: 0,
            plan,
        };
        let hosts = 0..simulation.plan.hosts;
        simulation.hosts = hosts.map(|index| simulation.start(index)).collect();
        for (index, host) in simulation.hosts.iter_mut().enumerate() {
            let others = (0..simulation.plan.hosts).filter(|other| *other != index);
            host.last_heard = others.map(|other| (other, Moment::ZERO)).collect();
        }
        simulation
    }

    pub fn run(mut self) -> Simulation {
        let length = Duration::from_secs_f64(self.plan.length);
        let mut updated = None;
        while self.now < length {
            self.restart();
            self.declare();
            if updated.is_none_or(|at| at + UPDATE_INTERVAL <= self.now) {
                updated = Some(self.now);
                self.update_hosts();
            }
            self.deliver();
            self.arrive();
            for index in 0..self.hosts.len() {
                self.step(index);
            }
            self.now += STEP;
        }
        self
    }

    /// Largest excess of admitted tokens over what a window may hold, and the window's end.
    pub fn excess(&self, (rate, burst): (f64, f64)) -> (f64, Moment) {
        let most = (rate * WINDOW.as_secs_f64() + burst) * (1.0 + EXCESS) + SLACK;
        let admitted: Vec<&Outcome> = self.outcomes.iter().filter(|one| one.is_admitted).collect();
        let (mut first, mut sum, mut worst) = (0, 0.0, (-most, Moment::ZERO));
        for outcome in &admitted {
            sum += f64::from(outcome.cost);
            while admitted[first].at + WINDOW < outcome.at {
                sum -= f64::from(admitted[first].cost);
                first += 1;
            }
            if worst.0 < sum - most {
                worst = (sum - most, outcome.at);
            }
        }
        worst
    }

    /// Tokens admitted between two moments, in seconds.
    pub fn admitted(&self, from: f64, to: f64) -> f64 {
        let during = self.outcomes.iter().filter(|one| {
            one.is_admitted && from <= one.at.as_secs_f64() && one.at.as_secs_f64() < to
        });
        during.map(|one| f64::from(one.cost)).sum()
    }

    /// Number of requests refused between two moments, in seconds.
    pub fn refused(&self, from: f64, to: f64) -> usize {
        let during = self.outcomes.iter().filter(|one| {
            !one.is_admitted && from <= one.at.as_secs_f64() && one.at.as_secs_f64() < to
        });
        during.count()
    }

    /// Number of requests refused after a moment, in seconds, although the customer is below its
    /// quota: a bucket of nine tenths of the rate and burst, charged with the admitted ones, covers
    /// them.
    pub fn refused_below(&self, (rate, burst): (f64, f64), from: f64) -> usize {
        let (rate, burst) = (0.9 * rate, 0.9 * burst);
        let (mut level, mut at, mut refused) = (burst, Moment::ZERO, 0);
        for outcome in &self.outcomes {
            level = (level + rate * (outcome.at - at).as_secs_f64()).min(burst);
            at = outcome.at;
            let cost = f64::from(outcome.cost);
            if outcome.is_admitted {
                level -= cost;
            } else if cost <= level && from <= at.as_secs_f64() {
                refused += 1;
            }
        }
        refused
    }

    fn start(&self, index: usize) -> Host {
        let run = self.now.as_millis() as u64 + 1;
        let mut quotas = Quotas::new(name(index), run);
        quotas.set_listed(self.plan.hosts as u32);
        if let Some(quota) = self.quota() {
            quotas.declare(&[customer(Some(quota))], Moment::ZERO);
        }
        Host {
            quotas,
            started_at: self.now,
            backlog: Vec::new(),
            last_heard: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn quota(&self) -> Option<(f64, f64)> {
        let mut declared = self.plan.quotas.iter();
        declared.rfind(|(from, _)| Duration::from_secs_f64(*from) <= self.now)?.1
    }

    fn declare(&mut self) {
        let begins = |from: f64| {
            let from = Duration::from_secs_f64(from);
            from <= self.now && self.now < from + STEP
        };
        if !self.plan.quotas.iter().any(|(from, _)| begins(*from)) {
            return;
        }
        let declared = [customer(self.quota())];
        for host in &mut self.hosts {
            host.quotas.declare(&declared, self.now - host.started_at);
        }
    }

    fn faults(&self) -> impl Iterator<Item = &Fault> {
        let now = self.now.as_secs_f64();
        let current = self.plan.faults.iter().filter(move |one| one.from <= now && now < one.to);
        current.map(|planned| &planned.fault)
    }

    fn is_down(&self, index: usize) -> bool {
        self.faults().any(|fault| matches!(fault, Fault::Restart(hosts) if hosts.contains(&index)))
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.faults().any(|fault| matches!(fault, Fault::Freeze(hosts) if hosts.contains(&index)))
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.faults().any(|fault| match fault {
            Fault::Cut(hosts) => hosts.contains(&one) != hosts.contains(&other),
            Fault::CutAll => one != other,
            Fault::Freeze(_) | Fault::Restart(_) => false,
        })
    }

    fn restart(&mut self) {
        let now = self.now;
        let has_ended = |one: &&PlannedFault| {
            let to = Duration::from_secs_f64(one.to);
            to <= now && now < to + STEP
        };
        let ended: Vec<Fault> =
            self.plan.faults.iter().filter(has_ended).map(|one| one.fault.clone()).collect();
        for fault in ended {
            let Fault::Restart(hosts) = fault else { continue };
            for index in hosts {
                if !self.is_down(index) {
                    self.hosts[index] = self.start(index);
                }
            }
        }
    }

    fn update_hosts(&mut self) {
        let recent = |one: &PlannedFault| {
            let now = self.now.as_secs_f64();
            one.from <= now && now <= one.to + SILENCE_TIMEOUT.as_secs_f64()
        };
        let is_calm = !self.plan.faults.iter().any(recent);
        if is_calm && self.is_updated {
            return;
        }
        if self.is_updated {
            let last_heard = self.hosts.iter_mut().flat_map(|host| host.last_heard.values_mut());
            last_heard.for_each(|last| *last = self.now);
        }
        self.is_updated = is_calm;
        for index in 0..self.hosts.len() {
            if self.is_down(index) || self.is_frozen(index) {
                continue;
            }
            let has_faults = self.faults().next().is_some();
            for other in (0..self.hosts.len()).filter(|other| *other != index) {
                let is_silent = has_faults
                    && (self.is_down(other) || self.is_frozen(other) || self.is_cut(index, other));
                if !is_silent {
                    self.hosts[index].last_heard.insert(other, self.now);
                }
            }
            let (now, host) = (self.now, &mut self.hosts[index]);
            let heard = host.last_heard.iter();
            let known: Vec<(host::Id, bool)> =
                heard.map(|(at, last)| (name(*at), now < *last + SILENCE_TIMEOUT)).collect();
            let live = known.iter().filter(|(_, is_heard)| *is_heard).map(|(id, _)| id.clone());
            let live = live.chain([name(index)]).collect();
            let known = known.iter().map(|(id, is_heard)| (id, *is_heard));
            host.quotas.update_hosts(known, live, now - host.started_at);
        }
    }

    fn arrive(&mut self) {
        let now = self.now.as_secs_f64();
        let demand =
            self.plan.demand.iter().rfind(|(from, _)| *from <= now).map_or(0.0, |one| one.1);
        let (least, most) = self.plan.costs;
        let mean = f64::from(least + most) / 2.0;
        let mut expected = demand * STEP.as_secs_f64() / mean;
        while self.random.random::<f64>() < expected {
            expected -= 1.0;
            let cost = self.random.random_range(least..=most);
            let index = self.pick();
            self.hosts[index].backlog.push(cost);
        }
    }

    fn pick(&mut self) -> usize {
        let hosts = self.hosts.len();
        match self.plan.spread {
            Spread::One => 0,
            Spread::Skewed if self.random.random::<bool>() => {
                self.random.random_range(0..hosts.div_ceil(10))
            }
            Spread::Even | Spread::Skewed => self.random.random_range(0..hosts),
        }
    }

    fn deliver(&mut self) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, _, delivery))) = self.events.pop() else { return };
            let to = delivery.to;
            if self.is_down(to) {
                continue;
            }
            if self.is_frozen(to) {
                self.count += 1;
                self.events.push(Reverse((self.now + STEP, self.count, delivery)));
                continue;
            }
            let host = &mut self.hosts[to];
            let now = self.now - host.started_at;
            host.quotas.receive(&name(delivery.from), &delivery.message, now);
        }
    }

    fn step(&mut self, index: usize) {
        if self.is_down(index) {
            let host = &mut self.hosts[index];
            host.backlog.clear();
            host.waiting.clear();
            return;
        }
        if self.is_frozen(index) {
            return;
        }
        let host = &mut self.hosts[index];
        let now = self.now - host.started_at;
        let mut decided = Vec::new();
        for cost in std::mem::take(&mut host.backlog) {
            self.tickets += 1;
            host.waiting.insert(self.tickets, (cost, self.now));
            let id: customer::Id = CUSTOMER.into();
            match host.quotas.request(&id, cost.into(), self.tickets, now) {
                Admission::Waiting => {}
                admission => decided.push((self.tickets, admission)),
            }
        }
        host.quotas.tick(now);
        decided.extend(host.quotas.decisions(now));
        for (ticket, admission) in decided {
            let (cost, since) = host.waiting.remove(&ticket).expect("decided once");
            let (is_admitted, after) = match admission {
                Admission::Granted => (true, Duration::ZERO),
                Admission::Denied { after } => (false, after),
                Admission::Waiting => unreachable!("a decision"),
            };
            let took = self.now - since;
            self.outcomes.push_back(Outcome { at: self.now, cost, is_admitted, after, took });
        }
        for (to, message) in host.quotas.outgoing() {
            let to: usize = to["host-".len()..].parse().expect("name of a host");
            self.send(index, to, message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        self.bytes += postcard::to_allocvec(&message).expect("message").len() as u64;
        if self.is_cut(from, to) {
            return;
        }
        for _ in 0..2 {
            if !self.random.random_bool(self.plan.loss) {
                let delay = self.random.random_range(1..=self.plan.delay_ms.max(1));
                let at = self.now + Duration::from_millis(delay);
                self.count += 1;
                let delivery = Delivery { from, to, message: message.clone() };
                self.events.push(Reverse((at, self.count, delivery)));
            }
            if !self.random.random_bool(self.plan.loss) {
                return;
            }
        }
    }
}
