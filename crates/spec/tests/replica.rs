//! Make-before-break between two planners holds, and fails if they check before they write.

#![allow(
    clippy::print_stderr,
    reason = "state counts and traces are the output of the exploration"
)]

use spec::{
    explore::explore,
    replica::{Check, Replicas},
};

const MAX_STATES: usize = 100_000;

#[test]
fn some_replica_always_answers_and_every_unload_can_settle() {
    let report = explore(&Replicas { check: Check::AfterWrite }, MAX_STATES);
    eprintln!("make before break: {report}");
    assert!(report.holds(), "{report}");
}

#[test]
fn planners_that_look_before_they_write_unload_both_replicas() {
    let report = explore(&Replicas { check: Check::BeforeWrite }, MAX_STATES);
    eprintln!("check before the write: {report}");
    assert!(report.violation().is_some(), "{report}");
}
