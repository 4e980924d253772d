//! Fraction of a quota that callers can use.

use rstest::rstest;

use crate::net::{Plan, Simulation, Spread};

/// Fraction of the rate that must be used while demand exceeds it.
const USABLE: f64 = 0.9;

/// Length of a simulation, in seconds: what is stored at its begin and owed at its end counts little
/// beside the rate, also at the lowest one.
const LENGTH: f64 = 50.0;
const LOW_RATE_LENGTH: f64 = 200.0;

fn usable(simulation: &Simulation, rate: f64, from: f64, to: f64) -> f64 {
    simulation.admitted(from, to) / (rate * (to - from))
}

#[rstest]
fn a_quota_is_kept_and_used(
    #[values(8, 77, 195, 350)] hosts: usize,
    #[values(1_900.0, 20_000.0, 400_000.0)] rate: f64,
    #[values(0.5, 2.0)] burst: f64,
    #[values(Spread::Even, Spread::One, Spread::Skewed)] spread: Spread,
) {
    let quota = (rate, burst * rate);
    let length = if rate < 10_000.0 { LOW_RATE_LENGTH } else { LENGTH };
    let plan = Plan { length, ..Plan::steady(hosts, quota, 2.0, spread) };
    let simulation = Simulation::new(plan).run();
    let (excess, at) = simulation.excess(quota);
    let used = usable(&simulation, rate, 14.0, length);
    assert!(excess <= 0.0, "{excess} above the bound at {at:?}");
    assert!(USABLE <= used, "{used:.3} of the rate is used");
}
