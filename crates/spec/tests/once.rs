//! Explores the model of claims with every guard, and with each guard disabled.

#![allow(
    clippy::print_stdout,
    reason = "state counts and traces are the output of the exploration"
)]

use std::time::Duration;

use policy::once::Outage;
use rstest::rstest;
use spec::{
    explore::explore,
    once::{Claims, Omission},
};

/// Limits the memory of an exploration: a state takes a few kilobytes.
const MAX_STATES: usize = 1_000_000;

const SMALL: Claims = Claims {
    sends: 2,
    crashes: 1,
    losses: 1,
    jumps: 0,
    jump: Duration::from_millis(100),
    outage: Outage::Refuse,
    omission: Omission::Nothing,
};

#[rstest]
#[case::refuse(Claims { losses: 0, ..SMALL })]
#[case::refuse_with_losses(Claims { crashes: 0, ..SMALL })]
#[case::refuse_over_time(Claims { crashes: 0, losses: 0, jumps: 2, ..SMALL })]
fn no_key_runs_twice(#[case] claims: Claims) {
    let report = explore(&claims, MAX_STATES);
    println!("{claims:?}: {report}");
    assert!(report.holds(), "{report}");
}

#[rstest]
#[case::refuse(SMALL)]
#[case::refuse_more_losses(Claims { crashes: 0, losses: 2, ..SMALL })]
#[case::refuse_over_time(Claims { crashes: 0, jumps: 2, ..SMALL })]
#[case::hold(Claims { outage: Outage::Hold, crashes: 0, ..SMALL })]
#[ignore = "minutes; run in release"]
fn no_key_runs_twice_in_larger_bounds(#[case] claims: Claims) {
    let report = explore(&claims, MAX_STATES);
    println!("{claims:?}: {report}");
    assert!(report.holds(), "{report}");
}

#[rstest]
#[case::conditional_write(Omission::ConditionalWrite, Claims { losses: 0, crashes: 0, ..SMALL })]
#[case::claim_first(Omission::ClaimFirst, Claims { losses: 0, crashes: 0, ..SMALL })]
#[case::read_back(Omission::ReadBack, Claims { crashes: 0, ..SMALL })]
#[case::claims_outlive_claimants(Omission::ClaimsOutliveClaimants, SMALL)]
#[case::release_only_unsent(Omission::ReleaseOnlyUnsent, Claims { crashes: 0, ..SMALL })]
#[case::look(Omission::Look, Claims { crashes: 0, jumps: 1, ..SMALL })]
#[case::gap(Omission::Gap, Claims { crashes: 0, outage: Outage::Hold, ..SMALL })]
#[case::key_time(Omission::KeyTime, Claims { crashes: 0, losses: 0, jumps: 4, ..SMALL })]
fn without_a_guard_a_trace_breaks_the_rule(#[case] omission: Omission, #[case] claims: Claims) {
    let report = explore(&Claims { omission, ..claims }, MAX_STATES);
    println!("without {omission:?}: {report}");
    assert!(report.violation().is_some(), "{report}");
}
