//! Bound on the tokens that all hosts together admit in a window.

use proptest::prelude::*;
use rstest::rstest;

use crate::net::{Fault, Plan, PlannedFault, Simulation, Spread};

fn check(simulation: &Simulation, quota: (f64, f64)) -> Result<(), TestCaseError> {
    let (excess, at) = simulation.excess(quota);
    prop_assert!(excess <= 0.0, "{excess} above the bound at {at:?}");
    Ok(())
}

fn planned(from: f64, to: f64, fault: Fault) -> PlannedFault {
    PlannedFault { from, to, fault }
}

/// Tokens must not exist twice, nor be granted beyond balances by many coordinators at once.
#[rstest]
#[case::all_are_alone(vec![planned(10.0, 50.0, Fault::CutAll)])]
#[case::half_are_cut_off(vec![planned(10.0, 50.0, Fault::Cut((0..4).collect()))])]
#[case::one_is_cut_off(vec![planned(10.0, 50.0, Fault::Cut(vec![4]))])]
#[case::all_restart_at_once(vec![planned(10.0, 10.5, Fault::Restart((0..9).collect()))])]
#[case::all_restart_again_and_again((0..9).map(|turn| planned(10.0 + 1.5 * f64::from(turn), 10.2 + 1.5 * f64::from(turn), Fault::Restart((0..9).collect()))).collect())]
#[case::all_are_killed_in_turn((0..9).map(|host| planned(10.0 + 3.0 * host as f64, 13.0 + 3.0 * host as f64, Fault::Restart(vec![host]))).collect())]
#[case::all_freeze_in_turn((0..9).map(|host| planned(10.0 + 3.0 * host as f64, 14.0 + 3.0 * host as f64, Fault::Freeze(vec![host]))).collect())]
#[case::all_are_cut_off_in_turn((0..9).map(|host| planned(10.0 + 2.0 * host as f64, 13.0 + 2.0 * host as f64, Fault::Cut(vec![host]))).collect())]
fn a_window_stays_within_the_bound(
    #[case] faults: Vec<PlannedFault>,
    #[values(1_900.0, 30_000.0)] rate: f64,
    #[values(0.0, 0.1)] loss: f64,
) {
    let quota = (rate, rate);
    let plan = Plan { faults, loss, length: 55.0, ..Plan::steady(9, quota, 6.0, Spread::Even) };
    check(&Simulation::new(plan).run(), quota).unwrap();
}

fn fault(hosts: usize) -> impl Strategy<Value = Fault> {
    let some = proptest::sample::subsequence((0..hosts).collect::<Vec<_>>(), 1..=hosts);
    (0..4, some).prop_map(|(kind, hosts)| match kind {
        0 => Fault::Cut(hosts),
        1 => Fault::Freeze(hosts),
        2 => Fault::CutAll,
        _ => Fault::Restart(hosts),
    })
}

fn plan() -> impl Strategy<Value = Plan> {
    (2_usize..14).prop_flat_map(|hosts| {
        let rate = proptest::sample::select(vec![1_900.0, 8_000.0, 60_000.0, 400_000.0]);
        let burst = proptest::sample::select(vec![0.0, 0.5, 2.0, 4.0]);
        let faults = proptest::collection::vec((2.0_f64..25.0, 0.1_f64..25.0, fault(hosts)), 0..6);
        let demand = proptest::collection::vec((0.5_f64..6.0, 0.0_f64..6.0), 1..8);
        let delay = proptest::sample::select(vec![2, 30, 300]);
        let loss = proptest::sample::select(vec![0.0, 0.1]);
        let spread = proptest::sample::select(vec![Spread::Even, Spread::One, Spread::Skewed]);
        let first = (any::<u64>(), rate, burst, faults);
        (first, demand, delay, loss, spread).prop_map(
            move |((seed, rate, burst, faults), demand, delay_ms, loss, spread)| {
                let mut at = 0.0;
                let demand = demand.into_iter().map(|(pause, demand)| {
                    at += pause;
                    (at, demand * rate)
                });
                let demand = demand.collect();
                let faults = faults.into_iter();
                let faults = faults.map(|(from, lasts, fault)| planned(from, from + lasts, fault));
                Plan {
                    seed,
                    hosts,
                    spread,
                    quotas: vec![(0.0, Some((rate, burst * rate)))],
                    demand,
                    costs: (100, 4_000),
                    delay_ms,
                    loss,
                    faults: faults.collect(),
                    length: 45.0,
                }
            },
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn a_window_stays_within_the_bound_whatever_befalls_the_hosts(plan in plan()) {
        let quota = plan.quotas[0].1.expect("a quota");
        check(&Simulation::new(plan).run(), quota)?;
    }
}
