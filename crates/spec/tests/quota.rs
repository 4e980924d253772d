//! No two hosts count one share of a quota at a time; without any one of the guards two do.

#![allow(
    clippy::print_stderr,
    reason = "state counts and traces are the output of the exploration"
)]

use rstest::rstest;
use spec::{
    explore::explore,
    quota::{Guard, Quota},
};

const MAX_STATES: usize = 2_000_000;

#[test]
fn a_share_counts_at_one_host_at_a_time() {
    let report = explore(&Quota { guard: Guard::All, length: 5 }, MAX_STATES);
    eprintln!("lease of a quota share: {report}");
    assert!(report.holds(), "{report}");
}

#[rstest]
#[case::exclusion(Guard::NoExclusion)]
#[case::the_reading_of_the_clock(Guard::NoReading)]
#[case::the_wait_after_a_restart(Guard::NoWait)]
fn a_share_counts_twice_without(#[case] guard: Guard) {
    let report = explore(&Quota { guard, length: 5 }, MAX_STATES);
    eprintln!("without {guard:?}: {report}");
    assert!(report.violation().is_some(), "{report}");
}
