//! Explores the model of configuration updates with every guard, and with each guard disabled.

#![allow(
    clippy::print_stdout,
    reason = "state counts and traces are the output of the exploration"
)]

use rstest::rstest;
use spec::{
    config::{Omission, Updates},
    explore::explore,
};

const MAX_STATES: usize = 1_000_000;

const SMALL: Updates = Updates { losses: 1, restarts: 1, omission: Omission::Nothing };

#[test]
fn no_number_goes_back_and_no_patch_is_lost() {
    let report = explore(&SMALL, MAX_STATES);
    println!("{SMALL:?}: {report}");
    assert!(report.holds(), "{report}");
}

#[test]
fn no_number_goes_back_in_larger_bounds() {
    let updates = Updates { losses: 4, restarts: 4, ..SMALL };
    let report = explore(&updates, MAX_STATES);
    println!("{updates:?}: {report}");
    assert!(report.holds(), "{report}");
}

#[rstest]
#[case::conditional_write(Omission::ConditionalWrite, 1)]
#[case::kept_patches(Omission::KeptPatches, 1)]
#[case::against(Omission::Against, 0)]
#[case::only_up(Omission::OnlyUp, 1)]
fn without_a_guard_a_trace_breaks_the_rule(#[case] omission: Omission, #[case] losses: u8) {
    let report = explore(&Updates { omission, losses, ..SMALL }, MAX_STATES);
    println!("without {omission:?}: {report}");
    assert!(report.violation().is_some(), "{report}");
}
