//! What callers get when quotas change, coordinators fail, and demand varies.

use std::time::Duration;

use rstest::rstest;

use crate::net::{Fault, Plan, PlannedFault, Simulation, Spread};

const RATE: f64 = 20_000.0;
const QUOTA: (f64, f64) = (RATE, RATE);

fn check_bound(simulation: &Simulation) {
    let (excess, at) = simulation.excess(QUOTA);
    assert!(excess <= 0.0, "{excess} above the bound at {at:?}");
}

/// Requests of a customer that stays below its quota must not be refused.
#[rstest]
fn below_the_quota_nothing_is_refused(
    #[values(8, 77)] hosts: usize,
    #[values(Spread::Even, Spread::One, Spread::Skewed)] spread: Spread,
    #[values(0.0, 0.1)] loss: f64,
) {
    let plan = Plan { loss, ..Plan::steady(hosts, QUOTA, 0.7, spread) };
    let simulation =
        Simulation::new(Plan { demand: vec![(14.0, 0.7 * RATE)], length: 40.0, ..plan });
    let simulation = simulation.run();
    let refused = simulation.refused_below(QUOTA, 14.0);
    let all = simulation.outcomes.len();
    // With lost datagrams, a token request may stay unanswered.
    let most = if loss == 0.0 { 0 } else { all / 100 };
    assert!(refused <= most, "{refused} of {all} requests are refused");
}

/// A hot customer must get its rate again soon after its coordinator has failed. Host 0 has all
/// demand, so that any other host may be the coordinator.
#[rstest]
#[case::killed(Fault::Restart)]
#[case::frozen(Fault::Freeze)]
#[case::cut_off(Fault::Cut)]
fn a_coordinator_is_replaced(#[case] fault: fn(Vec<usize>) -> Fault) {
    for coordinator in 1..8 {
        let faults = vec![PlannedFault { from: 15.0, to: 30.0, fault: fault(vec![coordinator]) }];
        let plan = Plan::steady(8, QUOTA, 6.0, Spread::One);
        let simulation = Simulation::new(Plan { faults, length: 45.0, ..plan }).run();
        check_bound(&simulation);
        let share = simulation.admitted(16.0, 30.0) / (14.0 * RATE);
        // The part of the host that has failed is not refilled.
        assert!(0.9 * 7.0 / 8.0 <= share, "host {coordinator}: {share:.3} of the rate is used");
        let after = simulation.admitted(35.0, 45.0) / (10.0 * RATE);
        assert!(0.9 <= after, "host {coordinator}: {after:.3} of the rate is used afterwards");
    }
}

/// A restart of all hosts must not leave a customer without its rate.
#[test]
fn after_a_restart_of_all_hosts_the_rate_is_used() {
    let restart = Fault::Restart((0..8).collect());
    let faults = vec![PlannedFault { from: 15.0, to: 15.5, fault: restart }];
    let plan = Plan { faults, ..Plan::steady(8, QUOTA, 6.0, Spread::Even) };
    let simulation = Simulation::new(plan).run();
    check_bound(&simulation);
    let share = simulation.admitted(18.0, 30.0) / (12.0 * RATE);
    assert!(0.9 <= share, "{share:.3} of the rate is used");
}

/// Lost, repeated and reordered datagrams must not cost more than a tenth of the rate.
#[rstest]
fn with_lost_datagrams_the_rate_is_used(
    #[values(8, 77)] hosts: usize,
    #[values(Spread::Even, Spread::One)] spread: Spread,
) {
    let plan = Plan { loss: 0.1, delay_ms: 30, ..Plan::steady(hosts, QUOTA, 2.0, spread) };
    let simulation = Simulation::new(plan).run();
    check_bound(&simulation);
    let share = simulation.admitted(10.0, 30.0) / (20.0 * RATE);
    assert!(0.9 <= share, "{share:.3} of the rate is used");
}

/// A changed quota must apply at once, whatever was stored before; a lifted one must not leave a
/// request waiting.
#[test]
fn a_quota_can_change_vanish_and_appear() {
    let quotas = vec![
        (0.0, Some(QUOTA)),
        (20.0, Some((RATE / 4.0, RATE / 4.0))),
        (40.0, Some((2.0 * RATE, RATE))),
        (50.0, None),
        (60.0, Some(QUOTA)),
    ];
    let plan = Plan::steady(8, QUOTA, 6.0, Spread::Even);
    let simulation = Simulation::new(Plan { quotas, length: 80.0, ..plan }).run();
    let share = |from: f64, to: f64| simulation.admitted(from, to) / ((to - from) * RATE);
    let lowered = share(22.0, 40.0);
    assert!((0.22..0.29).contains(&lowered), "{lowered:.3} after it was lowered");
    let raised = share(42.0, 50.0);
    assert!((1.8..2.2).contains(&raised), "{raised:.3} after it was raised");
    assert_eq!(simulation.refused(50.1, 60.0), 0, "refused while there is no quota");
    let again = share(65.0, 80.0);
    assert!((0.9..1.1).contains(&again), "{again:.3} after it was declared again");
}

/// Callers must be refused quickly, and told different times, so that they don't return together.
#[test]
fn refused_callers_return_at_different_times() {
    let plan = Plan::steady(8, QUOTA, 6.0, Spread::One);
    let simulation = Simulation::new(plan).run();
    let refused = simulation.outcomes.iter().filter(|one| !one.is_admitted);
    let times: Vec<Duration> = refused.map(|one| one.after).collect();
    let distinct: std::collections::BTreeSet<_> = times.iter().collect();
    assert!(times.len() / 2 < distinct.len(), "{} of {}", distinct.len(), times.len());
    let slow = simulation.outcomes.iter().filter(|one| Duration::from_millis(100) < one.took);
    assert_eq!(slow.count(), 0, "decisions that took long");
}

/// While a coordinator is empty, a hot host must not send it a token request for each request.
#[test]
fn a_hot_host_sends_few_token_requests_beyond_the_quota() {
    let messages = |demand: f64| {
        let plan = Plan { costs: (100, 300), ..Plan::steady(8, QUOTA, demand, Spread::One) };
        Simulation::new(plan).run().messages
    };
    let (twice, sixfold) = (messages(2.0), messages(6.0));
    assert!(sixfold < 2 * twice, "{sixfold} messages at six times the rate, {twice} at twice");
}

/// A request larger than the bucket must be granted all the same.
#[test]
fn a_request_larger_than_the_burst_is_granted() {
    let quota = (1_900.0, 100.0);
    let plan = Plan { costs: (9_000, 9_000), ..Plan::steady(8, quota, 3.0, Spread::One) };
    let simulation = Simulation::new(Plan { length: 130.0, ..plan }).run();
    let share = simulation.admitted(12.0, 130.0) / (118.0 * quota.0);
    assert!(0.8 <= share, "{share:.3} of the rate is used");
}
