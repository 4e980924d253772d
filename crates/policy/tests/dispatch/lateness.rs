//! Tests of requests that arrive while the host's tasks run late.

use policy::dispatch::{
    Answer, Cause, End, NotRun, RequestSpec, RetryDecision, Unreachable, Verdict,
};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::fixture::{at, plain, request, sent};

const LATENESS: Duration = Duration::from_millis(300);

/// The expected time of service before any request has ended.
const SERVICE: Duration = Duration::from_millis(30);

fn due(ticket: u64, kind: Kind, deadline: Moment) -> RequestSpec {
    RequestSpec { deadline, ..request(ticket, kind, at(0)) }
}

/// Guards against requests that a late host takes in and can't serve before their callers leave.
#[rstest]
#[case::idempotent(Kind::Idempotent)]
#[case::non_idempotent(Kind::NonIdempotent)]
#[case::stream(Kind::Stream)]
fn a_late_host_refuses_what_it_cannot_serve_by_the_deadline(#[case] kind: Kind) {
    let mut host = plain(&["s1"]);
    host.set_lateness(LATENESS);
    let deadline = at(100) + LATENESS + SERVICE;
    let Verdict::Refuse { cause: Cause::Late, after } =
        host.arrive(due(1, kind, deadline), at(100))
    else {
        panic!("not refused as late");
    };
    assert!(Duration::ZERO < after && after < deadline, "{after:?}");
    assert_eq!(host.work(), []);
    assert_eq!(host.waiting(), 0);
}

/// Guards against refusals of requests that a late host can serve by the deadline, though beyond
/// their goal.
#[rstest]
fn a_late_host_serves_what_it_can_by_the_deadline() {
    let mut host = plain(&["s1"]);
    host.set_lateness(LATENESS);
    let deadline = at(101) + LATENESS + SERVICE;
    let goal = LATENESS / 2;
    sent(host.arrive(RequestSpec { goal, ..due(1, Kind::Idempotent, deadline) }, at(100)));
}

/// Guards against a host that goes on refusing once its tasks are on time, or that refuses brief
/// requests then.
#[rstest]
fn a_host_that_is_on_time_again_serves_at_once() {
    let mut host = plain(&["s1"]);
    host.set_lateness(LATENESS);
    host.set_lateness(Duration::ZERO);
    sent(host.arrive(due(1, Kind::NonIdempotent, at(105)), at(100)));
}

/// Guards against further attempts that a late host can't make in time.
#[rstest]
#[case::full(End::NotRun(NotRun::Full))]
#[case::unreachable(End::Unreachable(Unreachable::Closed))]
fn a_late_host_repeats_nothing_that_it_cannot_serve_by_the_deadline(#[case] end: End) {
    let mut host = plain(&["s1", "s2"]);
    let deadline = at(100) + LATENESS + SERVICE;
    sent(host.arrive(due(1, Kind::NonIdempotent, deadline), at(0)));
    host.sent(1, policy::paths::Path::Direct, at(0));
    host.set_lateness(LATENESS);
    let decision = host.attempt_failed(1, end, at(100));
    let RetryDecision::GiveUp(Answer::NotRun { cause: Cause::Late, .. }) = decision else {
        panic!("not given up as late: {decision:?}");
    };
}
