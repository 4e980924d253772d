//! Tests of servers that fail, hang or are slow: their breakers, and how many requests they get.

use policy::dispatch::{Dispatcher, End, NotRun, RetryDecision, Unclear, Unreachable};
use rstest::rstest;
use types::routed::Kind;

use crate::fixture::{at, plain, request, sent};

const IDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

/// Simulates requests one after the other, where `s1` behaves as given; returns how many of them
/// `s1` got.
fn play(
    host: &mut Dispatcher,
    from: u64,
    count: u64,
    s1_behavior: impl Fn(u64) -> (End, u64),
) -> usize {
    let mut got = 0;
    for ticket in from..from + count {
        let now = at(ticket * 250);
        let server = sent(host.arrive(request(ticket, Kind::Idempotent, now), now));
        let (end, millis) =
            if &*server == "s1" { s1_behavior(ticket) } else { (End::Completed, 30) };
        got += usize::from(&*server == "s1");
        let mut passed = 0;
        while passed + 25 < millis {
            passed += 25;
            host.pump(now + at(passed));
        }
        host.ended(ticket, end, now + at(millis));
        host.pump(now + at(millis));
    }
    got
}

#[rstest]
#[case::fails_half(|n: u64| (if n.is_multiple_of(2) { End::ServerError } else { End::Completed }, 30), 20)]
#[case::fails(|_| (End::ServerError, 10), 12)]
#[case::sheds_while_idle(|_| (End::NotRun(NotRun::Full), 2), 12)]
#[case::garbles(|_| (End::Unclear(Unclear::Garbled), 20), 12)]
#[case::slow(|_| (End::Completed, 225), 12)]
#[case::hangs(|_| (End::Unclear(Unclear::Silent), 2_000), 12)]
fn a_grey_server_gets_little(#[case] s1_behavior: fn(u64) -> (End, u64), #[case] most: usize) {
    let mut host = plain(&IDS);
    play(&mut host, 0, 40, |_| (End::Completed, 30));
    let got = play(&mut host, 40, 100, s1_behavior);
    assert!(got <= most, "s1 got {got} of 100 requests");
}

#[rstest]
fn a_grey_server_that_is_well_again_is_used_again() {
    let mut host = plain(&IDS);
    play(&mut host, 0, 40, |_| (End::Completed, 30));
    play(&mut host, 40, 30, |_| (End::ServerError, 10));
    let got = play(&mut host, 70, 160, |_| (End::Completed, 30));
    assert!(20 < got, "s1 got {got} of 160 requests");
}

#[rstest]
fn what_all_servers_do_speaks_against_none() {
    let mut host = plain(&["s1", "s2"]);
    for ticket in 0..40 {
        let now = at(ticket * 100);
        sent(host.arrive(request(ticket, Kind::Idempotent, now), now));
        host.ended(ticket, End::ServerError, now + at(30));
        host.pump(now + at(31));
    }
    let used: Vec<_> = (50..54)
        .map(|n| sent(host.arrive(request(n, Kind::Idempotent, at(5_000)), at(5_000))))
        .collect();
    assert!(used.contains(&"s1".into()) && used.contains(&"s2".into()));
}

#[rstest]
fn a_crashed_server_is_tried_again_after_half_a_second() {
    let mut host = plain(&["s1"]);
    sent(host.arrive(request(1, Kind::Idempotent, at(0)), at(0)));
    host.server(&crate::fixture::server("s2", "b", &[]), at(0));
    host.ended(1, End::Unreachable(Unreachable::Refused), at(0));
    for n in 2..4 {
        assert_eq!(&*sent(host.arrive(request(n, Kind::Idempotent, at(400)), at(400))), "s2");
        host.ended(n, End::Completed, at(430));
    }
    // One request is sent to the server as a trial, and no other until it has ended.
    assert_eq!(&*sent(host.arrive(request(4, Kind::Idempotent, at(600)), at(600))), "s1");
    assert_eq!(&*sent(host.arrive(request(5, Kind::Idempotent, at(600)), at(600))), "s2");
    host.ended(4, End::Unreachable(Unreachable::Refused), at(601));
    assert_eq!(&*sent(host.arrive(request(6, Kind::Idempotent, at(1_200)), at(1_200))), "s2");
}

#[rstest]
fn a_kept_connection_that_ended_says_nothing_of_its_server() {
    let mut host = plain(&["s1"]);
    sent(host.arrive(request(1, Kind::NonIdempotent, at(0)), at(0)));
    let decision = host.attempt_failed(1, End::Unreachable(Unreachable::Closed), at(1));
    assert_eq!(decision, RetryDecision::Send("s1".into()));
}

#[rstest]
fn what_runs_once_tries_no_server_out() {
    let mut host = plain(&["s1"]);
    sent(host.arrive(request(1, Kind::Idempotent, at(0)), at(0)));
    host.server(&crate::fixture::server("s2", "b", &[]), at(0));
    host.ended(1, End::Unreachable(Unreachable::Refused), at(0));
    assert_eq!(&*sent(host.arrive(request(2, Kind::NonIdempotent, at(700)), at(700))), "s2");
}

#[rstest]
fn if_all_are_in_doubt_they_are_used_anyway() {
    let mut host = plain(&["s1", "s2"]);
    for n in 0..2 {
        sent(host.arrive(request(n, Kind::Idempotent, at(0)), at(0)));
    }
    for n in 0..2 {
        host.ended(n, End::Unclear(Unclear::Cut), at(1));
    }
    sent(host.arrive(request(3, Kind::NonIdempotent, at(2)), at(2)));
}

#[rstest]
#[case::dark(End::Unclear(Unclear::Silent))]
#[case::crashed(End::Unreachable(Unreachable::Refused))]
fn a_server_that_answers_nothing_is_taken_for_lost_until_it_answers(#[case] end: End) {
    let mut host = plain(&["s1"]);
    let try_at = |host: &mut Dispatcher, ticket: u64, end: End| {
        sent(host.arrive(request(ticket, Kind::Idempotent, at(ticket)), at(ticket)));
        host.ended(ticket, end, at(ticket + 1));
    };
    try_at(&mut host, 0, End::Completed);
    (1..4).for_each(|n| try_at(&mut host, 100 * n, end));
    assert_eq!(host.unresponsive(at(900)), Vec::<types::prelude::backend::Id>::new());
    assert_eq!(host.unresponsive(at(1_100)), ["s1".into()]);
    try_at(&mut host, 2_000, End::Completed);
    assert!(host.unresponsive(at(4_000)).is_empty());
}

#[rstest]
fn a_server_that_nobody_asks_is_not_taken_for_lost() {
    let mut host = plain(&["s1", "s2"]);
    play(&mut host, 0, 10, |_| (End::Completed, 30));
    assert!(host.unresponsive(at(60_000)).is_empty());
}
