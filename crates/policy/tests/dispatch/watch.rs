//! Tests of requests that are hedged because their server has stopped responding.

use policy::{
    dispatch::{
        Change, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Silence, Ticket, Unclear,
        Verdict,
    },
    paths::Path,
};
use rstest::rstest;
use types::{
    prelude::*,
    routed::{Kind, Server},
};

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

/// Returns when each request gets the verdict to be hedged, with a pump every 20 ms for 3 s.
fn hedged_requests(host: &mut Dispatcher, from: Moment) -> Vec<(Ticket, Moment)> {
    let pumps = (1..150).map(|n| from + at(n * 20));
    let changes = pumps.flat_map(|now| host.pump(now).into_iter().map(move |it| (it, now)));
    let leaving = changes.filter(|(change, _)| change.verdict == Verdict::Hedge);
    leaving.map(|(change, now)| (change.ticket, now)).collect()
}

#[rstest]
fn those_that_may_run_again_are_hedged_once() {
    let mut host = unresponsive(Kind::Idempotent, false);
    let moved = hedged_requests(&mut host, at(0));
    assert_eq!(moved.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [0, 1]);
    assert!(moved.iter().all(|(_, now)| at(500) < *now && *now < at(1_000)), "{moved:?}");
    let decision = host.attempt_failed(0, End::Unclear(Unclear::Silent), at(3_000));
    assert_eq!(decision, RetryDecision::Send("s2".into()));
    assert_eq!(&*sent(host.arrive(request(5, Kind::NonIdempotent, at(3_000)), at(3_000))), "s2");
}

#[rstest]
fn a_request_is_not_hedged_until_another_server_has_a_place() {
    let mut host = unresponsive(Kind::Idempotent, false);
    for ticket in 2..200 {
        // These fill the second server; the rest wait.
        host.arrive(request(ticket, Kind::NonIdempotent, at(2)), at(2));
    }
    assert_eq!(hedged_requests(&mut host, at(0)), []);
    assert_eq!(host.hedge(0, 1_000, Silence::Timeout, at(3_000)), None);
    for ticket in 2..200 {
        host.ended(ticket, End::Cancelled, at(3_010));
    }
    assert_eq!(hedged_requests(&mut host, at(3_010)).len(), 2);
    assert_eq!(host.hedge(0, 1_000, Silence::Timeout, at(3_200)), Some("s2".into()));
}

#[rstest]
fn a_stalled_stream_is_not_hedged_while_no_retry_is_left() {
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
    assert_eq!(host.hedge(0, 20_000, Silence::Timeout, at(900)), None);
    host.first_byte(0, at(950));
    host.ended(0, End::Completed, at(990));
}

#[rstest]
#[case::once(Kind::NonIdempotent)]
#[case::stream(Kind::Stream)]
fn those_that_run_once_stay(#[case] kind: Kind) {
    assert_eq!(hedged_requests(&mut unresponsive(kind, false), at(0)), []);
}

#[rstest]
fn a_stream_is_hedged_when_nothing_more_comes_from_its_server() {
    let mut host = unresponsive(Kind::Stream, true);
    host.first_byte(0, at(50));
    host.first_byte(1, at(60));
    for n in 3..100 {
        host.delivered(0, n, at(n * 20));
        assert_eq!(host.pump(at(n * 20)), []);
    }
    let moved = hedged_requests(&mut host, at(2_000));
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
    assert_eq!(moved, [Change { ticket: 0, verdict: Verdict::Hedge }]);
    assert_ne!(
        host.attempt_failed(0, End::Unclear(Unclear::Silent), at(3_100)),
        RetryDecision::Send(first)
    );
}

/// Returns the servers of the requests in flight, sorted.
fn servers_at_work(host: &Dispatcher) -> Vec<backend::Id> {
    let work = host.work().into_iter();
    let mut servers: Vec<backend::Id> = work.map(|(server, _, _, _)| server).collect();
    servers.sort_unstable();
    servers
}

/// A host with a resumable stream at `s1`, which is hedged at `s2` under the ticket 10.
fn hedged(attempts: u32) -> Dispatcher {
    let mut host = plain(&["s1"]);
    let spec = RequestSpec { resumable: true, attempts, ..request(0, Kind::Stream, at(0)) };
    assert_eq!(&*sent(host.arrive(spec, at(0))), "s1");
    for id in ["s2", "s3"] {
        host.server(&crate::fixture::server(id, "b", &[]), at(1));
    }
    let other = host.hedge(0, 10, Silence::Timeout, at(900)).expect("another server");
    assert_ne!(&*other, "s1");
    host
}

#[rstest]
#[case::a_head(|host: &mut Dispatcher, now| host.response_started(0, now))]
#[case::an_event(|host: &mut Dispatcher, now| host.delivered(0, 1, now))]
fn a_request_is_not_hedged_right_after_its_server_has_sent_something(
    #[case] answer: fn(&mut Dispatcher, Moment),
    #[values(Silence::Verdict, Silence::Timeout)] silence: Silence,
) {
    let mut host = unresponsive(Kind::Stream, true);
    assert!(hedged_requests(&mut host, at(0)).iter().any(|(ticket, _)| *ticket == 0));
    answer(&mut host, at(3_000));
    assert_eq!(host.hedge(0, 10, silence, at(3_001)), None);
    let pumped: Vec<Change> = (1..20).flat_map(|n| host.pump(at(3_000 + n * 20))).collect();
    assert!(pumped.iter().all(|change| change.ticket != 0), "{pumped:?}");
}

#[rstest]
fn a_request_stays_at_its_server_when_its_hedge_is_rejected() {
    let mut host = hedged(2);
    assert_eq!(servers_at_work(&host).len(), 2);
    let decision = host.attempt_failed(10, End::NotRun(NotRun::Full), at(905));
    assert_eq!(decision, RetryDecision::InFlight);
    assert_eq!(servers_at_work(&host), ["s1".into()]);
    host.first_byte(0, at(1_300));
    host.ended(0, End::Completed, at(1_400));
    assert!(servers_at_work(&host).is_empty());
}

#[rstest]
fn a_server_that_rejected_a_hedge_is_left_alone_for_a_while() {
    let mut host = hedged(2);
    let asked_at = |servers: Vec<backend::Id>, now: Moment| {
        servers.into_iter().filter(|server| &**server != "s1").map(move |server| (server, now))
    };
    let mut asked: Vec<(backend::Id, Moment)> = asked_at(servers_at_work(&host), at(900)).collect();
    let mut ticket = 10;
    for now in (95..500).map(|n| at(n * 10)) {
        if servers_at_work(&host).len() == 2 {
            host.attempt_failed(ticket, End::NotRun(NotRun::Full), now);
        } else if let Some(server) = host.hedge(0, ticket + 1, Silence::Timeout, now) {
            let last = asked.iter().rev().find(|(other, _)| *other == server);
            assert!(last.is_none_or(|(_, last)| *last + at(500) <= now), "{server}: {asked:?}");
            asked.push((server, now));
            ticket += 1;
        }
    }
    assert!((3..=5).contains(&asked.len()), "{asked:?}");
}

#[rstest]
fn the_answered_attempt_ends_the_other() {
    let mut host = hedged(2);
    host.response_started(10, at(950));
    host.won(10, at(950));
    assert_eq!(servers_at_work(&host).len(), 1);
    assert_ne!(servers_at_work(&host), ["s1".into()]);
    let decision = host.attempt_failed(10, End::Unclear(Unclear::Cut), at(960));
    assert!(matches!(decision, RetryDecision::GiveUp(_)), "a third server: {decision:?}");
}

#[rstest]
#[case::two_servers_may_run_it(2, None)]
#[case::three_servers_may_run_it(3, Some(()))]
fn hedges_count_as_attempts(#[case] attempts: u32, #[case] third: Option<()>) {
    let mut host = hedged(attempts);
    let server = host.hedge(10, 11, Silence::Timeout, at(2_000));
    assert_eq!(server.map(drop), third);
}

#[rstest]
fn a_request_goes_on_at_its_hedge_when_its_server_fails() {
    let mut host = hedged(2);
    let decision = host.attempt_failed(0, End::Unclear(Unclear::Cut), at(920));
    assert_eq!(decision, RetryDecision::InFlight);
    host.first_byte(10, at(950));
    host.ended(10, End::Completed, at(990));
    assert!(servers_at_work(&host).is_empty());
}

/// The rejection of a hedge lay unread, or the hedge was not yet written, when a host went on after
/// it had not run, and the stream was taken from its server.
#[rstest]
fn a_hedge_is_not_accepted_right_after_its_host_did_not_run() {
    let mut host = hedged(3);
    host.sent(10, Path::Direct, at(905));
    host.resumed(at(1_700));
    assert!(!host.is_accepted(10, at(1_705)));
    assert!(host.is_accepted(10, at(1_800)));
}

#[rstest]
fn a_hedge_is_accepted_in_time_by_a_host_that_is_stopped_again_and_again() {
    let mut host = hedged(3);
    host.sent(10, Path::Direct, at(905));
    let accepted = (0..20).map(|n| at(1_000 + n * 100)).find(|now| {
        host.resumed(*now);
        host.is_accepted(10, *now + at(5))
    });
    assert!(accepted.is_some_and(|now| now < at(1_500)), "{accepted:?}");
}

/// A host with two requests of this kind written to `s1`, which has room for more, and with `s2` in
/// another zone. The host has run until 100 ms.
fn waiting_for_answers(kind: Kind) -> Dispatcher {
    let mut host = plain(&[]);
    host.server(&Server { slots: 64, ..crate::fixture::server("s1", "a", &[]) }, at(0));
    for ticket in 0..2 {
        let server = sent(host.arrive(request(ticket, kind, at(0)), at(0)));
        assert_eq!(&*server, "s1");
        host.sent(ticket, Path::Direct, at(1));
    }
    host.server(&Server { slots: 64, ..crate::fixture::server("s2", "b", &[]) }, at(1));
    (1..=5).for_each(|n| assert_eq!(host.pump(at(n * 20)), []));
    host
}

/// Pumps a host every 20 ms that goes on at `from` after it did not run.
fn go_on(host: &mut Dispatcher, from: Moment, pumps: u64) -> Vec<Change> {
    host.resumed(from);
    (0..pumps).flat_map(|n| host.pump(from + at(n * 20))).collect()
}

/// Answers that lay unread in the sockets of a host that did not run counted as overdue, which
/// tripped the breakers of sound servers.
#[rstest]
fn answers_that_a_host_could_not_read_are_not_overdue(
    #[values(300, 600, 900, 2_000)] stall_ms: u64,
    #[values(Kind::NonIdempotent, Kind::Idempotent, Kind::Stream)] kind: Kind,
) {
    let mut host = waiting_for_answers(kind);
    let resumed_at = at(100 + stall_ms);
    assert_eq!(go_on(&mut host, resumed_at, 2), []);
    assert!(host.silent_servers(resumed_at + at(20)).is_empty());
    // A server whose breaker is closed is not listed, however long it has been silent.
    assert!(host.unresponsive(resumed_at + at(1_000)).is_empty(), "the breaker is open");
}

/// A request that a host had chosen a server for, but not yet written, counted as unanswered for
/// the time in which the host did not run.
#[rstest]
fn a_request_that_is_written_after_its_host_did_not_run_is_not_overdue(
    #[values(600, 2_000)] stall_ms: u64,
) {
    let mut host = waiting_for_answers(Kind::Idempotent);
    let resumed_at = at(100 + stall_ms);
    assert_eq!(go_on(&mut host, resumed_at, 6), []);
    let now = resumed_at + at(105);
    assert!(host.silent_servers(now).is_empty());
    let next = sent(host.arrive(request(5, Kind::NonIdempotent, now), now));
    assert_eq!(&*next, "s1", "the server's breaker is open");
}

/// The time in which a host did not run counted as the time that its servers took to answer, so that
/// they seemed slow and requests went to other zones.
#[rstest]
fn a_server_is_not_slow_because_its_host_did_not_run(
    #[values(300, 600, 900, 2_000)] stall_ms: u64,
    #[values(Kind::NonIdempotent, Kind::Idempotent, Kind::Stream)] kind: Kind,
) {
    let mut host = waiting_for_answers(kind);
    let resumed_at = at(100 + stall_ms);
    assert_eq!(go_on(&mut host, resumed_at, 2), []);
    let now = resumed_at + at(25);
    for ticket in 0..2 {
        host.first_byte(ticket, now);
        host.ended(ticket, End::Completed, now);
    }
    for ticket in 5..10 {
        let server = sent(host.arrive(request(ticket, Kind::NonIdempotent, now), now));
        assert_eq!(&*server, "s1");
        host.sent(ticket, Path::Direct, now);
        host.first_byte(ticket, now + at(10));
        host.ended(ticket, End::Completed, now + at(10));
    }
}

/// Servers that are slow for a host that runs are slow.
#[rstest]
fn a_server_is_slow_if_it_answers_long_after_a_pause() {
    let mut host = waiting_for_answers(Kind::NonIdempotent);
    go_on(&mut host, at(200), 2);
    let now = at(1_200);
    (0..2).for_each(|ticket| host.ended(ticket, End::Completed, now));
    let server = sent(host.arrive(request(5, Kind::NonIdempotent, now), now));
    assert_eq!(&*server, "s2");
}

#[rstest]
fn a_server_that_is_silent_after_its_host_went_on_is_left(#[values(100, 900)] stall_ms: u64) {
    let mut host = waiting_for_answers(Kind::Idempotent);
    let resumed_at = at(100 + stall_ms);
    let changes = go_on(&mut host, resumed_at, 50);
    assert_eq!(changes.len(), 2, "{changes:?}");
    let now = resumed_at + at(1_000);
    assert_eq!(host.silent_servers(now), ["s1".into()]);
    assert_eq!(&*sent(host.arrive(request(5, Kind::NonIdempotent, now), now)), "s2");
}

#[rstest]
fn a_host_that_is_stopped_again_and_again_leaves_a_silent_server() {
    let mut host = waiting_for_answers(Kind::Idempotent);
    let mut changes = Vec::new();
    for now in (2..12).map(|n| at(n * 100)) {
        host.resumed(now);
        changes.extend(host.pump(now));
    }
    assert_eq!(changes.len(), 2, "{changes:?}");
    let now = at(1_200);
    assert_eq!(&*sent(host.arrive(request(5, Kind::NonIdempotent, now), now)), "s2");
}
