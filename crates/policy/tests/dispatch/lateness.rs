//! Tests of requests that arrive while the host's tasks run late.

use policy::dispatch::{
    Answer, Cause, Change, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Unreachable,
    Verdict,
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

/// Ticket of the request that waits.
const WAITING: u64 = 100;

/// Number of requests that the fixture's server gets before others wait.
const PLACES: u64 = 3;

/// Returns a host whose only server is full, where a request with this deadline waits.
fn with_waiting(kind: Kind, deadline: Moment) -> Dispatcher {
    let mut host = plain(&["s1"]);
    for ticket in 0..PLACES {
        sent(host.arrive(request(ticket, Kind::NonIdempotent, at(0)), at(0)));
    }
    assert_eq!(host.arrive(due(WAITING, kind, deadline), at(0)), Verdict::Wait);
    host
}

/// Returns the verdicts on requests once one has ended, while the host is late.
fn with_place(host: &mut Dispatcher, ended: u64) -> Vec<Change> {
    host.set_lateness(LATENESS);
    host.ended(ended, End::Cancelled, at(100));
    host.pump(at(100))
}

/// Guards against requests that a late host sends from its queue and that can't be served by their
/// deadline.
#[rstest]
#[case::idempotent(Kind::Idempotent)]
#[case::non_idempotent(Kind::NonIdempotent)]
#[case::stream(Kind::Stream)]
fn a_late_host_refuses_what_has_waited_too_long_to_be_served(#[case] kind: Kind) {
    let deadline = at(100) + LATENESS + SERVICE;
    let mut host = with_waiting(kind, deadline);
    let changes = with_place(&mut host, 0);
    let [Change { ticket: WAITING, verdict: Verdict::Refuse { cause: Cause::Late, after } }] =
        changes[..]
    else {
        panic!("not refused as late: {changes:?}");
    };
    assert!(Duration::ZERO < after && after < deadline, "{after:?}");
    assert_eq!(host.waiting(), 0);
}

/// Guards against refusals of waiting requests that a late host can still serve by the deadline.
#[rstest]
fn a_late_host_sends_what_has_waited_and_can_be_served() {
    let mut host = with_waiting(Kind::Idempotent, at(101) + LATENESS + SERVICE);
    let verdict = Verdict::Send("s1".into());
    assert_eq!(with_place(&mut host, 0), [Change { ticket: WAITING, verdict }]);
}

/// Guards against a request that a server may have run and that is refused as not run, or given up
/// while the host may still be on time again.
#[rstest]
fn a_late_host_keeps_what_may_have_run() {
    let mut host = plain(&["s1", "s2"]);
    let deadline = at(100) + LATENESS + SERVICE;
    let failed = sent(host.arrive(due(WAITING, Kind::Idempotent, deadline), at(0)));
    host.sent(WAITING, policy::paths::Path::Direct, at(0));
    let others = 0..2 * PLACES - 1;
    let servers = others.map(|n| sent(host.arrive(request(n, Kind::NonIdempotent, at(0)), at(0))));
    let servers: Vec<_> = servers.collect();
    let elsewhere = servers.iter().position(|server| *server != failed).expect("another server");
    let decision = host.attempt_failed(WAITING, End::ServerError, at(10));
    assert_eq!(decision, RetryDecision::Wait);
    assert_eq!(with_place(&mut host, elsewhere as u64), []);
    host.set_lateness(Duration::ZERO);
    let verdict = Verdict::Send(servers[elsewhere].clone());
    assert_eq!(host.pump(at(110)), [Change { ticket: WAITING, verdict }]);
}
