//! Tests of requests that are moved from servers that stop responding.

use policy::dispatch::{
    Change, Dispatcher, End, RequestSpec, RetryDecision, Ticket, Unclear, Verdict,
};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::fixture::{at, plain, request, sent};

/// A host with two requests at a server that sends nothing, and a second server that is added
/// later.
fn unresponsive(kind: Kind, resumable: bool) -> Dispatcher {
    let mut host = plain(&["s1"]);
    for ticket in 0..2 {
        sent(host.arrive(RequestSpec { resumable, ..request(ticket, kind, at(0)) }, at(0)));
    }
    host.server(&crate::fixture::server("s2", "b", &[]), at(1));
    host
}

/// Returns when each request gets the verdict to leave its server, with a pump every 20 ms for 3 s.
fn moved_requests(host: &mut Dispatcher, from: Moment) -> Vec<(Ticket, Moment)> {
    let pumps = (1..150).map(|n| from + at(n * 20));
    let changes = pumps.flat_map(|now| host.pump(now).into_iter().map(move |it| (it, now)));
    let leaving = changes.filter(|(change, _)| change.verdict == Verdict::Leave);
    leaving.map(|(change, now)| (change.ticket, now)).collect()
}

#[rstest]
fn those_that_may_run_again_leave_once() {
    let mut host = unresponsive(Kind::Idempotent, false);
    let moved = moved_requests(&mut host, at(0));
    assert_eq!(moved.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [0, 1]);
    assert!(moved.iter().all(|(_, now)| at(500) < *now && *now < at(1_000)), "{moved:?}");
    let decision = host.attempt_failed(0, End::Unclear(Unclear::Silent), at(3_000));
    assert_eq!(decision, RetryDecision::Send("s2".into()));
    assert_eq!(&*sent(host.arrive(request(5, Kind::NonIdempotent, at(3_000)), at(3_000))), "s2");
}

/// A request leaves its server only if another one takes it. Otherwise a request that finds no
/// other server would be lost, although its first server is still working on it.
#[rstest]
fn a_server_is_kept_until_another_has_a_place() {
    let mut host = unresponsive(Kind::Idempotent, false);
    for ticket in 2..200 {
        // These fill the second server; the rest wait.
        host.arrive(request(ticket, Kind::NonIdempotent, at(2)), at(2));
    }
    assert_eq!(moved_requests(&mut host, at(0)), []);
    assert_eq!(host.leave(0, at(3_000)), None);
    for ticket in 2..200 {
        host.ended(ticket, End::Cancelled, at(3_010));
    }
    assert_eq!(moved_requests(&mut host, at(3_010)).len(), 2);
    assert_eq!(host.leave(0, at(3_200)), Some("s2".into()));
}

/// A stalled stream whose retry can't be paid for stays with its server.
#[rstest]
fn a_server_is_kept_while_no_retry_is_left() {
    let mut host = unresponsive(Kind::Stream, true);
    let most = 10_000;
    let retries = (10..most).find(|ticket| {
        let request = RequestSpec { attempts: 2, ..request(*ticket, Kind::Idempotent, at(2)) };
        let Verdict::Send(_) = host.arrive(request, at(2)) else { return true };
        let is_spent = matches!(
            host.attempt_failed(*ticket, End::Unclear(Unclear::Cut), at(2)),
            RetryDecision::GiveUp(_)
        );
        host.ended(*ticket, End::Cancelled, at(2));
        is_spent
    });
    assert!(retries.is_some(), "the budget is never spent");
    assert_eq!(host.leave(0, at(900)), None);
    host.first_byte(0, at(950));
    host.ended(0, End::Completed, at(990));
}

#[rstest]
#[case::once(Kind::NonIdempotent)]
#[case::stream(Kind::Stream)]
fn those_that_run_once_stay(#[case] kind: Kind) {
    assert_eq!(moved_requests(&mut unresponsive(kind, false), at(0)), []);
}

#[rstest]
fn a_stream_leaves_when_nothing_more_comes_from_its_server() {
    let mut host = unresponsive(Kind::Stream, true);
    host.first_byte(0, at(50));
    host.first_byte(1, at(60));
    for n in 3..100 {
        host.delivered(0, n, at(n * 20));
        assert_eq!(host.pump(at(n * 20)), []);
    }
    let moved = moved_requests(&mut host, at(2_000));
    assert_eq!(moved.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [0, 1]);
}

#[rstest]
fn an_answer_that_is_lost_alone_is_given_up_while_others_come() {
    let mut host = plain(&["s1", "s2"]);
    let first = sent(host.arrive(request(0, Kind::Idempotent, at(0)), at(0)));
    let mut moved: Vec<Change> = Vec::new();
    for ticket in 1..60 {
        let now = at(ticket * 50);
        sent(host.arrive(request(ticket, Kind::Idempotent, now), now));
        host.ended(ticket, End::Completed, now + at(30));
        moved.extend(host.pump(now + at(30)));
    }
    assert_eq!(moved, [Change { ticket: 0, verdict: Verdict::Leave }]);
    assert_ne!(
        host.attempt_failed(0, End::Unclear(Unclear::Silent), at(3_100)),
        RetryDecision::Send(first)
    );
}
