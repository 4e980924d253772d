//! Tests of the retry budget over hosts that are partitioned, restarted, delayed, and left without
//! servers.
//!
//! They check which requests arrive at servers, and when, by [`rule`](crate::rule).

use std::collections::BTreeMap;

use policy::dispatch::{
    Answer, Cause, Dispatcher, End, HostStart, RequestSpec, RetryBudgetConfig, RetryDecision,
    Settings, Ticket, Unclear, Verdict, loan::Message,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::{
    fixture::{at, request, server},
    rule::{Excess, overdrawn},
};

/// Time between two steps of a simulation.
const STEP: Moment = Duration::from_millis(50);

const STEPS_A_SECOND: usize = 20;

/// Servers, with more slots than are ever needed.
const SERVERS: [&str; 4] = ["s1", "s2", "s3", "s4"];
const SLOTS: u32 = 10_000;

/// Time from the arrival of a request to its deadline.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Conditions in one second of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    /// New requests at each host, in a step that has any.
    requests: usize,
    /// Number of steps without new requests between two steps that have some.
    idle_steps: usize,
    /// Whether servers fail what they run.
    fails: bool,
    /// Whether there are no servers.
    is_without_servers: bool,
    /// Whether hosts receive nothing from each other.
    is_partitioned: bool,
}

/// Input of a simulation.
#[derive(Clone, Debug)]
struct Plan {
    hosts: usize,
    seconds: Vec<Second>,
    /// Steps at which a host is killed and immediately restarted, with the host's index.
    restarts: Vec<(usize, usize)>,
    /// Number of steps that a message takes from one host to another.
    message_delay: usize,
    /// Number of steps until a server has answered.
    work_steps: usize,
    /// Whether requests resume a stream after an event, so that their retries have a high need.
    is_resumed: bool,
}

impl Plan {
    fn new(hosts: usize, seconds: Vec<Second>) -> Plan {
        Plan {
            hosts,
            seconds,
            restarts: Vec::new(),
            message_delay: 2,
            work_steps: 1,
            is_resumed: false,
        }
    }
}

fn name(place: usize) -> host::Id {
    format!("h{place}").into()
}

struct Host {
    dispatcher: Dispatcher,
    started_at: Moment,
    /// Requests at servers, by the step at which they are answered.
    in_flight: BTreeMap<usize, Vec<Ticket>>,
}

impl Host {
    fn start(place: usize, hosts: usize, started_at: Moment, start: HostStart) -> Host {
        let mut dispatcher = Dispatcher::new(Settings {
            host: name(place),
            run: 1,
            zone: "a".into(),
            hosts: hosts as u32,
            retries: RetryBudgetConfig::default(),
        });
        dispatcher.share_listed(hosts as u32);
        dispatcher.registered(start);
        Host { dispatcher, started_at, in_flight: BTreeMap::new() }
    }
}

struct World {
    plan: Plan,
    hosts: Vec<Host>,
    step: usize,
    is_without_servers: bool,
    tickets: Ticket,
    /// Number of arrivals of each request.
    arrivals: BTreeMap<Ticket, usize>,
    requests: Vec<Moment>,
    retries: Vec<Moment>,
    /// Number of retries that were refused because the budget was used up.
    refused: usize,
    /// Messages on loans that are on their way, by the step at which they arrive and the receiver.
    messages: BTreeMap<(usize, usize), Vec<(usize, Message)>>,
}

impl World {
    fn new(plan: Plan) -> World {
        let hosts = (0..plan.hosts)
            .map(|place| Host::start(place, plan.hosts, at(0), HostStart::First))
            .collect();
        let mut world = World {
            plan,
            hosts,
            step: 0,
            is_without_servers: true,
            tickets: 0,
            arrivals: BTreeMap::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            refused: 0,
            messages: BTreeMap::new(),
        };
        world.set_servers(false);
        world
    }

    fn now(&self) -> Moment {
        STEP * self.step as u32
    }

    /// Time on a host's own clock, which starts with the host.
    fn time(&self, host: usize) -> Moment {
        self.now() - self.hosts[host].started_at
    }

    fn play(mut self) -> World {
        for second in self.plan.seconds.clone() {
            for _ in 0..STEPS_A_SECOND {
                self.step(second);
                self.step += 1;
            }
        }
        self
    }

    fn excess(&self) -> Option<Excess> {
        overdrawn(&self.requests, &self.retries, &RetryBudgetConfig::default())
    }

    fn step(&mut self, second: Second) {
        if second.is_without_servers != self.is_without_servers {
            self.set_servers(second.is_without_servers);
        }
        for (step, host) in self.plan.restarts.clone() {
            if step == self.step {
                self.restart(host);
            }
        }
        for host in 0..self.plan.hosts {
            self.receive(host, second.is_partitioned);
            self.answer(host, second);
            if self.step.is_multiple_of(second.idle_steps + 1) {
                (0..second.requests).for_each(|_| self.request(host));
            }
            let now = self.time(host);
            for change in self.hosts[host].dispatcher.pump(now) {
                if let Verdict::Send(_) = change.verdict {
                    self.arrive(host, change.ticket);
                }
            }
            self.send_loan_messages(host);
        }
    }

    /// Removes all servers, or adds them again.
    fn set_servers(&mut self, is_without_servers: bool) {
        self.is_without_servers = is_without_servers;
        (0..self.plan.hosts).for_each(|host| self.update_servers(host));
    }

    /// Adds all servers to a host, or removes them.
    fn update_servers(&mut self, host: usize) {
        let (now, is_without_servers) = (self.time(host), self.is_without_servers);
        let dispatcher = &mut self.hosts[host].dispatcher;
        for id in SERVERS {
            match is_without_servers {
                true => dispatcher.gone(&id.into(), now),
                false => dispatcher
                    .server(&types::routed::Server { slots: SLOTS, ..server(id, "a", &[]) }, now),
            }
        }
    }

    fn restart(&mut self, place: usize) {
        self.hosts[place] = Host::start(place, self.plan.hosts, self.now(), HostStart::Restart);
        self.update_servers(place);
    }

    /// Passes to a host which others are connected, and the messages on loans that have arrived.
    fn receive(&mut self, host: usize, is_partitioned: bool) {
        let now = self.time(host);
        let names: Vec<host::Id> = (0..self.plan.hosts).map(name).collect();
        let is_connected = |other: usize| other == host || !is_partitioned;
        let known = names.iter().enumerate().filter(|(other, _)| *other != host);
        let known = known.map(|(other, name)| (name, is_connected(other)));
        let live: Vec<host::Id> = names
            .iter()
            .enumerate()
            .filter(|(other, _)| is_connected(*other))
            .map(|it| it.1.clone())
            .collect();
        let dispatcher = &mut self.hosts[host].dispatcher;
        dispatcher.hosts(live.len() as u32);
        dispatcher.share_among(known, live, now);
        let arrived = self.messages.remove(&(self.step, host)).unwrap_or_default();
        for (from, message) in arrived.into_iter().filter(|_| !is_partitioned) {
            self.hosts[host].dispatcher.loan_received(&name(from), &message, now);
        }
    }

    /// Sends a host's messages on loans.
    fn send_loan_messages(&mut self, host: usize) {
        for (to, message) in self.hosts[host].dispatcher.loans_outgoing() {
            let to = (0..self.plan.hosts).find(|other| name(*other) == to).unwrap();
            let at = (self.step + self.plan.message_delay, to);
            self.messages.entry(at).or_default().push((host, message));
        }
    }

    fn answer(&mut self, host: usize, second: Second) {
        let now = self.time(host);
        let Some(tickets) = self.hosts[host].in_flight.remove(&self.step) else { return };
        for ticket in tickets {
            let dispatcher = &mut self.hosts[host].dispatcher;
            let end = match second {
                Second { is_without_servers: true, .. } => End::Unclear(Unclear::Cut),
                Second { fails: true, .. } => End::ServerError,
                Second { .. } => {
                    dispatcher.ended(ticket, End::Completed, now);
                    continue;
                }
            };
            match dispatcher.attempt_failed(ticket, end, now) {
                RetryDecision::Send(_) => self.arrive(host, ticket),
                RetryDecision::Wait | RetryDecision::Missing { .. } => {}
                RetryDecision::InFlight => unreachable!("no request is hedged"),
                RetryDecision::GiveUp(answer) => {
                    let is_refused = matches!(
                        answer,
                        Answer::Server(_) | Answer::NotRun { cause: Cause::Budget, .. }
                    );
                    self.refused += usize::from(is_refused);
                }
            }
        }
    }

    fn request(&mut self, host: usize) {
        let (ticket, now) = (self.tickets, self.time(host));
        self.tickets += 1;
        self.requests.push(self.now());
        let resume = self.plan.is_resumed.then_some(1);
        let spec = RequestSpec {
            deadline: now + TIMEOUT,
            attempts: 4,
            resume,
            ..request(ticket, Kind::Idempotent, now)
        };
        if let Verdict::Send(_) = self.hosts[host].dispatcher.arrive(spec, now) {
            self.arrive(host, ticket);
        }
    }

    /// Records that a request arrives at a server.
    fn arrive(&mut self, host: usize, ticket: Ticket) {
        let before = self.arrivals.entry(ticket).or_default();
        if 0 < *before {
            self.retries.push(STEP * self.step as u32);
        }
        *before += 1;
        let done = self.step + self.plan.work_steps;
        self.hosts[host].in_flight.entry(done).or_default().push(ticket);
    }
}

/// Returns `count` copies of a second.
fn seconds(count: usize, second: Second) -> Vec<Second> {
    vec![second; count]
}

const CALM: Second = Second {
    requests: 0,
    idle_steps: 0,
    fails: false,
    is_without_servers: false,
    is_partitioned: false,
};

/// A service with few requests, all of which fail.
const FAILING: Second = Second { requests: 1, idle_steps: 9, fails: true, ..CALM };

#[rstest]
#[case::for_15_s(15)]
#[case::for_25_s(25)]
#[case::for_60_s(60)]
fn hosts_that_do_not_hear_each_other_keep_the_budget_together(#[case] cut: usize) {
    let partitioned = Second { is_partitioned: true, ..CALM };
    let failing = Second { is_partitioned: true, ..FAILING };
    let plan =
        Plan::new(6, [seconds(15, CALM), seconds(cut, partitioned), seconds(15, failing)].concat());
    assert_eq!(World::new(plan).play().excess(), None);
}

/// Hosts know each other only from the store's list.
#[rstest]
fn hosts_that_have_never_heard_each_other_keep_the_budget_together() {
    let partitioned = Second { is_partitioned: true, ..CALM };
    let failing = Second { is_partitioned: true, ..FAILING };
    let plan = Plan::new(6, [seconds(25, partitioned), seconds(15, failing)].concat());
    assert_eq!(World::new(plan).play().excess(), None);
}

/// Hosts that are restarted one after the other, `times` times each.
fn restarted(times: usize, gap: usize) -> Plan {
    let mut plan =
        Plan::new(6, [seconds(20, CALM), seconds(20, FAILING), seconds(10, CALM)].concat());
    let restart = |n: usize| (22 * STEPS_A_SECOND + n * gap, n % 6);
    plan.restarts = (0..6 * times).map(restart).collect();
    plan
}

#[rstest]
fn hosts_that_are_restarted_keep_the_budget_of_their_earlier_runs(
    #[values(1, 2, 3)] times: usize,
    #[values(0, 2, 10)] gap: usize,
) {
    assert_eq!(World::new(restarted(times, gap)).play().excess(), None);
}

#[rstest]
fn a_retry_that_waits_counts_when_it_arrives() {
    let busy = Second { requests: 5, ..CALM };
    let without_servers = Second { is_without_servers: true, ..CALM };
    let failing = Second { fails: true, ..CALM };
    let phases = [
        seconds(1, busy),
        seconds(10, without_servers),
        seconds(1, CALM),
        seconds(1, Second { fails: true, ..busy }),
        seconds(9, failing),
    ];
    let plan = Plan { work_steps: 30, is_resumed: true, ..Plan::new(1, phases.concat()) };
    assert_eq!(World::new(plan).play().excess(), None);
}

#[rstest]
fn hosts_keep_the_budget_while_what_they_tell_each_other_is_late(#[values(5, 20, 60)] late: usize) {
    let failing = Second { requests: 2, idle_steps: 0, ..FAILING };
    let plan = Plan {
        message_delay: late,
        ..Plan::new(6, [seconds(25, CALM), seconds(15, failing)].concat())
    };
    assert_eq!(World::new(plan).play().excess(), None);
}

/// Generates the seconds of a simulation in phases of 1 to 34 s with the same conditions.
fn seconds_strategy() -> impl Strategy<Value = Vec<Second>> {
    let requests = (0..4_usize, prop_oneof![Just(0_usize), 3..20_usize]);
    let phase = (requests, any::<bool>(), prop::bool::weighted(0.2), any::<bool>(), 1..35_usize);
    let phases = prop::collection::vec(phase, 2..7);
    phases.prop_map(|phases| {
        let phase =
            |((requests, idle_steps), fails, is_without_servers, is_partitioned, length)| {
                seconds(
                    length,
                    Second { requests, idle_steps, fails, is_without_servers, is_partitioned },
                )
            };
        phases.into_iter().flat_map(phase).collect()
    })
}

fn plan() -> impl Strategy<Value = Plan> {
    let restarts = prop::collection::vec((0..2_000_usize, 0..6_usize), 0..24);
    (1..=6_usize, seconds_strategy(), restarts, 1..30_usize, 1..40_usize, any::<bool>()).prop_map(
        |(hosts, seconds, restarts, message_delay, work_steps, is_resumed)| {
            let restarts = restarts.into_iter().map(|(step, host)| (step, host % hosts)).collect();
            Plan { hosts, seconds, restarts, message_delay, work_steps, is_resumed }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_is_overdrawn_whatever_befalls_the_hosts(plan in plan()) {
        prop_assert_eq!(World::new(plan).play().excess(), None);
    }
}

/// Requests on all hosts fail long after the hosts' start. The hosts use less than the config
/// allows, as a quarter of the budget is reserved for resumed streams.
#[rstest]
fn a_steady_fleet_uses_most_of_what_the_terms_allow(#[values(1, 6, 16)] hosts: usize) {
    let calm = Second { requests: 2, ..CALM };
    let failing = Second { fails: true, ..calm };
    let plan = Plan::new(hosts, [seconds(25, calm), seconds(10, failing)].concat());
    let world = World::new(plan).play();
    assert_eq!(world.excess(), None);
    let config = RetryBudgetConfig::default();
    let requests = (2 * hosts * STEPS_A_SECOND) as f64 * config.window.as_secs_f64();
    let allowed = config.ratio * requests + config.extra;
    let used = world.retries.len() as f64;
    assert!(0 < world.refused && 0.4 * allowed < used, "{used} of {allowed} allowed retries used");
}
