//! Tests of servers that reject requests and ask to back off.

use policy::{
    dispatch::{
        Answer, Cause, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Unreachable, Verdict,
    },
    paths::Path,
};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::fixture::{TIMEOUT, at, plain, request, sent, server};

const FULL: End = End::NotRun(NotRun::Full);

fn page(ticket: u64, now: Moment) -> RequestSpec {
    request(ticket, Kind::Idempotent, now)
}

/// Sends a request, which its server rejects with this time to back off.
fn reject(host: &mut Dispatcher, ticket: u64, time: Duration, now: Moment) -> RetryDecision {
    let server = sent(host.arrive(page(ticket, now), now));
    host.sent(ticket, Path::Direct, now);
    host.back_off(&server, time, now);
    host.attempt_failed(ticket, FULL, now)
}

#[rstest]
fn a_server_gets_nothing_until_the_time_is_over() {
    let mut host = plain(&["s1", "s2"]);
    let RetryDecision::Send(other) = reject(&mut host, 1, at(3_000), at(0)) else {
        panic!("the other server isn't asked")
    };
    host.ended(1, End::Completed, at(5));
    let resting = if &*other == "s1" { "s2" } else { "s1" };
    for ticket in 2..60 {
        let now = at(50 * ticket);
        host.pump(now);
        if now < at(3_000) {
            assert_eq!(sent(host.arrive(page(ticket, now), now)), other, "at {now:?}");
            host.ended(ticket, End::Completed, now);
        }
    }
    assert!(host.backs_off(&resting.into(), at(2_999)));
    assert!(!host.backs_off(&resting.into(), at(3_000)));
}

#[rstest]
#[case::shorter(at(100), at(3_000))]
#[case::longer(at(5_000), at(6_000))]
#[case::zero(Duration::ZERO, at(3_000))]
#[case::absurd(Duration::from_secs(1 << 40), at(61_000))]
fn the_later_end_of_two_times_counts(#[case] second: Duration, #[case] until: Moment) {
    let mut host = plain(&["s1"]);
    host.back_off(&"s1".into(), at(3_000), at(0));
    host.back_off(&"s1".into(), second, at(1_000));
    assert!(host.backs_off(&"s1".into(), until.saturating_sub(at(1))));
    assert!(!host.backs_off(&"s1".into(), until));
}

#[rstest]
fn a_request_assigned_before_is_not_sent() {
    let mut host = plain(&["s1"]);
    sent(host.arrive(page(1, at(0)), at(0)));
    assert!(host.may_send(1, at(0)));
    host.back_off(&"s1".into(), at(500), at(1));
    assert!(!host.may_send(1, at(2)));
    let decision = host.attempt_failed(1, End::Unreachable(Unreachable::Closed), at(2));
    assert_eq!(decision, RetryDecision::Wait, "there is time to wait for the server");
}

/// The time is known, so a request that can't wait for its end is not kept.
#[rstest]
fn a_request_that_cannot_wait_for_the_end_is_refused_at_once() {
    let mut host = plain(&["s1"]);
    let RetryDecision::GiveUp(Answer::NotRun { cause, after }) =
        reject(&mut host, 1, TIMEOUT * 2, at(0))
    else {
        panic!("the rejected request is kept")
    };
    assert_eq!(cause, Cause::Full);
    assert!(after <= TIMEOUT, "{after:?}");
    let verdict = host.arrive(page(2, at(100)), at(100));
    assert!(matches!(verdict, Verdict::Refuse { cause: Cause::Full, .. }), "{verdict:?}");
}

#[rstest]
fn requests_after_the_end_are_few_until_one_is_accepted() {
    let mut host = plain(&["s1"]);
    host.back_off(&"s1".into(), at(200), at(0));
    let waiting: Vec<u64> = (1..=2).collect();
    for ticket in &waiting {
        assert_eq!(host.arrive(page(*ticket, at(10)), at(10)), Verdict::Wait);
    }
    assert!(host.pump(at(199)).is_empty());
    let first = host.pump(at(200));
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(host.pump(at(220)).is_empty());
    host.sent(first[0].ticket, Path::Direct, at(220));
    host.first_byte(first[0].ticket, at(230));
    assert_eq!(host.pump(at(231)).len(), 1, "the server has accepted a request");
}

#[rstest]
fn a_later_run_of_the_server_is_not_asked_to_wait() {
    let mut host = plain(&["s1"]);
    host.back_off(&"s1".into(), at(3_000), at(0));
    host.gone(&"s1".into(), at(100));
    host.server(&server("s1", "a", &[]), at(200));
    assert_eq!(&*sent(host.arrive(page(1, at(201)), at(201))), "s1");
}

/// The breaker and the statistics take failures only, so the server is used like others afterwards.
#[rstest]
fn a_rejection_with_a_time_is_no_failure() {
    let mut host = plain(&["s1", "s2", "s3"]);
    let others: Vec<backend::Id> = vec!["s2".into(), "s3".into()];
    for round in 1..=30 {
        let now = at(300 * round);
        host.pump(now);
        let spec = RequestSpec { avoid: others.clone(), ..page(round, now) };
        if let Verdict::Send(server) = host.arrive(spec, now) {
            host.sent(round, Path::Direct, now);
            host.back_off(&server, at(100), now);
            let _ = host.attempt_failed(round, FULL, now);
        }
        host.ended(round, End::Cancelled, now);
    }
    let chosen = (100..160).filter(|ticket| {
        let now = at(9_200 + 50 * (ticket - 100));
        host.pump(now);
        let server = sent(host.arrive(page(*ticket, now), now));
        host.ended(*ticket, End::Completed, now);
        &*server == "s1"
    });
    assert!(5 <= chosen.count(), "the server is hardly used any more");
}
