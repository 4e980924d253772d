//! The retry budget over a fleet of hosts that are cut off, restarted, late, and left without servers.
//!
//! What counts is what arrives at servers, and when; see [`rule`](crate::rule).

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

/// Time between two steps of a play.
const STEP: Moment = Duration::from_millis(50);

const STEPS_A_SECOND: usize = 20;

/// Servers, with more slots than are ever needed.
const SERVERS: [&str; 4] = ["s1", "s2", "s3", "s4"];
const SLOTS: u32 = 10_000;

/// Time that callers give.
const PATIENCE: Duration = Duration::from_secs(15);

/// A second of a play.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    /// New requests at each host, in a step.
    requests: usize,
    /// Steps between two such steps.
    pause: usize,
    /// Whether servers fail what they run.
    fails: bool,
    /// Whether there are no servers.
    is_bare: bool,
    /// Whether hosts don't hear each other.
    is_deaf: bool,
}

/// What befalls a fleet.
#[derive(Clone, Debug)]
struct Plan {
    hosts: usize,
    seconds: Vec<Second>,
    /// Steps at which a host is killed and starts anew at once.
    restarts: Vec<(usize, usize)>,
    /// Steps that a message takes from one host to another.
    late: usize,
    /// Steps until a server has answered.
    work: usize,
    /// Whether requests are streams that go on after an event.
    is_resumed: bool,
}

impl Plan {
    fn new(hosts: usize, seconds: Vec<Second>) -> Plan {
        Plan { hosts, seconds, restarts: Vec::new(), late: 2, work: 1, is_resumed: false }
    }
}

fn name(place: usize) -> host::Id {
    format!("h{place}").into()
}

struct Host {
    dispatcher: Dispatcher,
    born: Moment,
    /// Requests at servers, by the step at which they are answered.
    in_flight: BTreeMap<usize, Vec<Ticket>>,
}

impl Host {
    fn start(place: usize, hosts: usize, born: Moment, start: HostStart) -> Host {
        let mut dispatcher = Dispatcher::new(Settings {
            host: name(place),
            run: 1,
            zone: "a".into(),
            hosts: hosts as u32,
            retries: RetryBudgetConfig::default(),
        });
        dispatcher.share_listed(hosts as u32);
        dispatcher.registered(start);
        Host { dispatcher, born, in_flight: BTreeMap::new() }
    }
}

struct World {
    plan: Plan,
    hosts: Vec<Host>,
    step: usize,
    is_bare: bool,
    tickets: Ticket,
    /// Arrivals of each request.
    arrivals: BTreeMap<Ticket, usize>,
    requests: Vec<Moment>,
    retries: Vec<Moment>,
    /// Retries that were wanted and had no budget.
    refused: usize,
    /// Asks and loans on their way, by the step at which they arrive and the receiver.
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
            is_bare: true,
            tickets: 0,
            arrivals: BTreeMap::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            refused: 0,
            messages: BTreeMap::new(),
        };
        world.serve(false);
        world
    }

    fn now(&self) -> Moment {
        STEP * self.step as u32
    }

    /// A host's own time, from its start.
    fn time(&self, host: usize) -> Moment {
        self.now() - self.hosts[host].born
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
        if second.is_bare != self.is_bare {
            self.serve(second.is_bare);
        }
        for (step, host) in self.plan.restarts.clone() {
            if step == self.step {
                self.restart(host);
            }
        }
        for host in 0..self.plan.hosts {
            self.hear(host, second.is_deaf);
            self.answer(host, second);
            if self.step.is_multiple_of(second.pause + 1) {
                (0..second.requests).for_each(|_| self.request(host));
            }
            let now = self.time(host);
            for change in self.hosts[host].dispatcher.pump(now) {
                if let Verdict::Send(_) = change.verdict {
                    self.arrive(host, change.ticket);
                }
            }
            self.lend(host);
        }
    }

    /// All servers go, or come back.
    fn serve(&mut self, is_bare: bool) {
        self.is_bare = is_bare;
        (0..self.plan.hosts).for_each(|host| self.see(host));
    }

    /// A host sees which servers there are.
    fn see(&mut self, host: usize) {
        let (now, is_bare) = (self.time(host), self.is_bare);
        let dispatcher = &mut self.hosts[host].dispatcher;
        for id in SERVERS {
            match is_bare {
                true => dispatcher.gone(&id.into(), now),
                false => dispatcher
                    .server(&types::routed::Server { slots: SLOTS, ..server(id, "a", &[]) }, now),
            }
        }
    }

    fn restart(&mut self, place: usize) {
        self.hosts[place] = Host::start(place, self.plan.hosts, self.now(), HostStart::Restart);
        self.see(place);
    }

    /// What a host is told of the others, and the loans that have reached it.
    fn hear(&mut self, host: usize, is_deaf: bool) {
        let now = self.time(host);
        let names: Vec<host::Id> = (0..self.plan.hosts).map(name).collect();
        let is_heard = |other: usize| other == host || !is_deaf;
        let known = names.iter().enumerate().filter(|(other, _)| *other != host);
        let known = known.map(|(other, name)| (name, is_heard(other)));
        let live: Vec<host::Id> = names
            .iter()
            .enumerate()
            .filter(|(other, _)| is_heard(*other))
            .map(|it| it.1.clone())
            .collect();
        let dispatcher = &mut self.hosts[host].dispatcher;
        dispatcher.hosts(live.len() as u32);
        dispatcher.share_among(known, live, now);
        let arrived = self.messages.remove(&(self.step, host)).unwrap_or_default();
        for (from, message) in arrived.into_iter().filter(|_| !is_deaf) {
            self.hosts[host].dispatcher.loan_received(&name(from), &message, now);
        }
    }

    /// Sends a host's asks and loans on their way.
    fn lend(&mut self, host: usize) {
        for (to, message) in self.hosts[host].dispatcher.loans_outgoing() {
            let to = (0..self.plan.hosts).find(|other| name(*other) == to).unwrap();
            let at = (self.step + self.plan.late, to);
            self.messages.entry(at).or_default().push((host, message));
        }
    }

    fn answer(&mut self, host: usize, second: Second) {
        let now = self.time(host);
        let Some(tickets) = self.hosts[host].in_flight.remove(&self.step) else { return };
        for ticket in tickets {
            let dispatcher = &mut self.hosts[host].dispatcher;
            let end = match second {
                Second { is_bare: true, .. } => End::Unclear(Unclear::Cut),
                Second { fails: true, .. } => End::ServerError,
                Second { .. } => {
                    dispatcher.ended(ticket, End::Completed, now);
                    continue;
                }
            };
            match dispatcher.attempt_failed(ticket, end, now) {
                RetryDecision::Send(_) => self.arrive(host, ticket),
                RetryDecision::Wait | RetryDecision::Missing { .. } => {}
                RetryDecision::GiveUp(answer) => {
                    let is_refused = matches!(
                        answer,
                        Answer::Server | Answer::NotRun { cause: Cause::Budget, .. }
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
        let asked = RequestSpec {
            deadline: now + PATIENCE,
            attempts: 4,
            resume,
            ..request(ticket, Kind::Idempotent, now)
        };
        if let Verdict::Send(_) = self.hosts[host].dispatcher.arrive(asked, now) {
            self.arrive(host, ticket);
        }
    }

    /// A request arrives at a server.
    fn arrive(&mut self, host: usize, ticket: Ticket) {
        let before = self.arrivals.entry(ticket).or_default();
        if 0 < *before {
            self.retries.push(STEP * self.step as u32);
        }
        *before += 1;
        let done = self.step + self.plan.work;
        self.hosts[host].in_flight.entry(done).or_default().push(ticket);
    }
}

/// So many seconds alike.
fn seconds(count: usize, second: Second) -> Vec<Second> {
    vec![second; count]
}

const CALM: Second = Second { requests: 0, pause: 0, fails: false, is_bare: false, is_deaf: false };

/// A service that is little asked for, all of whose requests fail.
const FAILING: Second = Second { requests: 1, pause: 9, fails: true, ..CALM };

#[rstest]
#[case::for_15_s(15)]
#[case::for_25_s(25)]
#[case::for_60_s(60)]
fn hosts_that_do_not_hear_each_other_keep_the_budget_together(#[case] cut: usize) {
    let deaf = Second { is_deaf: true, ..CALM };
    let failing = Second { is_deaf: true, ..FAILING };
    let plan = Plan::new(6, [seconds(15, CALM), seconds(cut, deaf), seconds(15, failing)].concat());
    assert_eq!(World::new(plan).play().excess(), None);
}

/// They know of each other by the store's list alone.
#[rstest]
fn hosts_that_have_never_heard_each_other_keep_the_budget_together() {
    let deaf = Second { is_deaf: true, ..CALM };
    let failing = Second { is_deaf: true, ..FAILING };
    let plan = Plan::new(6, [seconds(25, deaf), seconds(15, failing)].concat());
    assert_eq!(World::new(plan).play().excess(), None);
}

/// Hosts that are restarted one after the other, so many times each.
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
    let bare = Second { is_bare: true, ..CALM };
    let failing = Second { fails: true, ..CALM };
    let phases = [
        seconds(1, busy),
        seconds(10, bare),
        seconds(1, CALM),
        seconds(1, Second { fails: true, ..busy }),
        seconds(9, failing),
    ];
    let plan = Plan { work: 30, is_resumed: true, ..Plan::new(1, phases.concat()) };
    assert_eq!(World::new(plan).play().excess(), None);
}

#[rstest]
fn hosts_keep_the_budget_while_what_they_tell_each_other_is_late(#[values(5, 20, 60)] late: usize) {
    let failing = Second { requests: 2, pause: 0, ..FAILING };
    let plan = Plan { late, ..Plan::new(6, [seconds(25, CALM), seconds(15, failing)].concat()) };
    assert_eq!(World::new(plan).play().excess(), None);
}

/// Seconds of a play: what is asked, whether it fails, whether there are servers, who hears whom.
fn course() -> impl Strategy<Value = Vec<Second>> {
    let requests = (0..4_usize, prop_oneof![Just(0_usize), 3..20_usize]);
    let phase = (requests, any::<bool>(), prop::bool::weighted(0.2), any::<bool>(), 1..35_usize);
    let phases = prop::collection::vec(phase, 2..7);
    phases.prop_map(|phases| {
        let phase = |((requests, pause), fails, is_bare, is_deaf, length)| {
            seconds(length, Second { requests, pause, fails, is_bare, is_deaf })
        };
        phases.into_iter().flat_map(phase).collect()
    })
}

fn plan() -> impl Strategy<Value = Plan> {
    let restarts = prop::collection::vec((0..2_000_usize, 0..6_usize), 0..24);
    (1..=6_usize, course(), restarts, 1..30_usize, 1..40_usize, any::<bool>()).prop_map(
        |(hosts, seconds, restarts, late, work, is_resumed)| {
            let restarts = restarts.into_iter().map(|(step, host)| (step, host % hosts)).collect();
            Plan { hosts, seconds, restarts, late, work, is_resumed }
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

/// A fleet whose requests all fail, long after its start. A quarter is kept for resumed streams.
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
    assert!(0 < world.refused && 0.4 * allowed < used, "{used} of {allowed}");
}
