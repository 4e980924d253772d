//! Exhaustive walk of configuration numbers, with every guard and with each one off.

#![allow(clippy::print_stdout, reason = "counts and traces of a walk")]

use rstest::rstest;
use spec::{
    config::{Lacks, Numbers},
    explore::explore,
};

const MOST_STATES: usize = 1_000_000;

const SMALL: Numbers = Numbers { losses: 1, starts: 1, lacks: Lacks::Nothing };

#[test]
fn no_number_goes_back_and_no_patch_is_lost() {
    let report = explore(&SMALL, MOST_STATES);
    println!("{SMALL:?}: {report}");
    assert!(report.holds(), "{report}");
}

#[test]
fn no_number_goes_back_in_larger_bounds() {
    let numbers = Numbers { losses: 4, starts: 4, ..SMALL };
    let report = explore(&numbers, MOST_STATES);
    println!("{numbers:?}: {report}");
    assert!(report.holds(), "{report}");
}

#[rstest]
#[case::conditional_write(Lacks::ConditionalWrite, 1)]
#[case::kept_patches(Lacks::KeptPatches, 1)]
#[case::against(Lacks::Against, 0)]
#[case::only_up(Lacks::OnlyUp, 1)]
fn without_a_guard_a_trace_breaks_the_rule(#[case] lacks: Lacks, #[case] losses: u8) {
    let report = explore(&Numbers { lacks, losses, ..SMALL }, MOST_STATES);
    println!("without {lacks:?}: {report}");
    assert!(report.broken().is_some(), "{report}");
}
