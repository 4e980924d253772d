//! A stream of which the caller has a part is not ended by its host; without any one of the guards a
//! property of it is violated.

#![allow(
    clippy::print_stderr,
    reason = "state counts and traces are the output of the exploration"
)]

use rstest::rstest;
use spec::{
    explore::explore,
    stream::{Guard, Stream},
};

const MAX_STATES: usize = 100_000;

// Guards against an answer that is cut although time is left and a server could go on.
#[rstest]
#[case::two_servers(2)]
#[case::three_servers(3)]
fn a_stream_that_has_begun_is_not_ended_by_its_host(#[case] servers: usize) {
    let report = explore(&Stream { guard: Guard::All, servers, disruptions: 6 }, MAX_STATES);
    eprintln!("stream at {servers} servers: {report}");
    assert!(report.holds(), "{report}");
}

#[rstest]
#[case::resumption(Guard::NoResumption, "ends the answer")]
#[case::acceptance(Guard::NoAcceptance, "two servers work")]
#[case::the_limit_on_servers(Guard::NoServerLimit, "more servers than allowed")]
fn a_property_of_a_stream_is_violated_without(#[case] guard: Guard, #[case] violation: &str) {
    let report = explore(&Stream { guard, servers: 3, disruptions: 6 }, MAX_STATES);
    eprintln!("without {guard:?}: {report}");
    assert!(
        report.violation().is_some_and(|trace| trace.violation.contains(violation)),
        "{report}"
    );
}
