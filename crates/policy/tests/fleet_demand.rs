//! Demand reports under load: the host that plans must receive nearly all of the demand within a
//! second, however many hosts report.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, member};
use policy::{
    demand::{self, Collector, Reporter, Subject},
    fleet::{Load, Notice, Publication},
    place::Work,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time between two publications of a host's work.
const ROUND: Duration = Duration::from_millis(60);

/// Approximate rounds in a second.
const ROUNDS_PER_SECOND: usize = 16;

/// Requests a second at all hosts together.
const REQUESTS: f64 = 800.0;

const MODELS: usize = 110;
const ADAPTERS: usize = 4;
const SERVERS: usize = 80;

/// Requests that each host has in flight.
const IN_FLIGHT: usize = 6;

/// Least share of the requests that the planner must have received one second after they arrived.
const MIN_RECEIVED_SHARE: f64 = 0.9;

/// The host that plans, and its fencing token.
const PLANNER: usize = 0;
const FENCE: u64 = 7;

const ONE: Work = Work { requests: 1, prompt: 700, output: 200 };

struct Simulation {
    net: Net,
    random: ChaCha8Rng,
    in_flight: Vec<Vec<(usize, usize)>>,
    reporters: Vec<Reporter>,
    collector: Collector,
    received: u64,
    hosts: usize,
    /// Requests that had arrived at all hosts but the planner by the end of each round.
    arrived: Vec<u64>,
}

impl Simulation {
    fn new(hosts: usize) -> Simulation {
        let mut net = Net::settled(hosts, 1);
        net.faults.loss = 0.01;
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let mut some = || (0..IN_FLIGHT).map(|_| random_work(&mut random)).collect();
        let in_flight = (0..hosts).map(|_| some()).collect();
        let reporters = (0..hosts).map(|host| Reporter::new(1_000 + host as u64)).collect();
        let mut collector = Collector::default();
        collector.begin(FENCE);
        let arrived = Vec::new();
        Simulation { net, random, in_flight, reporters, collector, received: 0, hosts, arrived }
    }

    fn round(&mut self) {
        let hosts = self.hosts;
        let chance = REQUESTS * ROUND.as_secs_f64() / hosts as f64;
        let mut arrived = 0;
        for host in 0..hosts {
            let requests = chance as usize + usize::from(self.random.random_bool(chance.fract()));
            for _ in 0..requests {
                let subject = subject_of(subject(&mut self.random));
                self.reporters[host].arrive(subject, ONE, self.net.now);
                let at = self.random.random_range(0..IN_FLIGHT);
                self.in_flight[host][at] = random_work(&mut self.random);
            }
            arrived += if host == PLANNER { 0 } else { requests as u64 };
            let loads = self.in_flight[host].iter().map(|(server, model)| Load {
                server: format!("i-{server:08x}").into(),
                model: Some(model_id(*model)),
                requests: 1,
                tokens: 700,
            });
            self.net.publish(host, Publication::InFlight(loads.collect()));
            self.report(host);
        }
        self.arrived.push(self.arrived.last().copied().unwrap_or(0) + arrived);
        self.net.run_for(ROUND);
    }

    /// Sends a host's report to the planner, if one is due.
    fn report(&mut self, host: usize) {
        let round = self.arrived.len();
        let every = demand::interval(self.hosts).div_duration_f64(ROUND).ceil() as usize;
        if host == PLANNER || !(round + host).is_multiple_of(every) {
            return;
        }
        let now = self.net.now;
        self.reporters[host].begin(FENCE, now);
        if let Some(report) = self.reporters[host].report(now) {
            let planner = member(PLANNER, 0).id;
            let sent = self.net.fleet(host).send_once(&planner, Notice::Demand(report));
            sent.expect("the planner is known");
        }
    }

    /// Returns the number of requests at other hosts that were reported to the planner.
    fn received(&mut self) -> u64 {
        let now = self.net.now;
        let received =
            std::mem::take(&mut self.net.hosts.get_mut(&PLANNER).expect("the host runs").received);
        for notice in received {
            let (Notice::Demand(report), Some(origin)) = (notice.notice, notice.origin) else {
                continue;
            };
            let arrivals = self.collector.take(&origin, report, now);
            self.received += arrivals.iter().map(|one| u64::from(one.work.requests)).sum::<u64>();
        }
        self.received
    }
}

/// A few models get most of the requests.
fn subject(random: &mut ChaCha8Rng) -> usize {
    let share: f64 = random.random();
    (share.powi(3) * (MODELS * ADAPTERS) as f64) as usize
}

fn random_work(random: &mut ChaCha8Rng) -> (usize, usize) {
    (random.random_range(0..SERVERS), subject(random) / ADAPTERS)
}

fn model_id(model: usize) -> types::model::Id {
    format!("model{model:05}").into()
}

fn subject_of(subject: usize) -> Subject {
    Subject {
        model: model_id(subject / ADAPTERS),
        adapter: Some(format!("a{}", subject % ADAPTERS).into()),
    }
}

#[rstest]
#[case::few(9)]
#[case::grown(82)]
#[case::large(195)]
#[case::target(346)]
fn the_planner_hears_of_demand_within_a_second_however_many_hosts_there_are(#[case] hosts: usize) {
    let mut simulation = Simulation::new(hosts);
    let mut worst = (1.0, 0);
    for round in 0..10 * ROUNDS_PER_SECOND {
        simulation.round();
        let Some(before) = round.checked_sub(ROUNDS_PER_SECOND) else { continue };
        let (received, due) = (simulation.received(), simulation.arrived[before]);
        assert!(
            received <= simulation.arrived[round],
            "{received} requests were received, of {} that arrived",
            simulation.arrived[round]
        );
        let share = received as f64 / due as f64;
        worst = if share < worst.0 { (share, round) } else { worst };
    }
    let (share, round) = worst;
    assert!(
        MIN_RECEIVED_SHARE <= share,
        "the planner had received {share:.3} of all requests a second after they arrived, in round \
         {round}"
    );
}
