//! Retries: the table of failure points, the budget, and suspicion of servers.

use policy::{
    retry::{
        Body, Bounds, Budget, Failure, Point, Suspicion, Verdict, budget::Ratio, decide,
        suspicion::Backoff,
    },
    route::Eligibility,
};
use rstest::rstest;
use types::{
    prelude::*,
    request::{Ran, Repeat},
};

fn failure(point: Point, repeat: Repeat, body: Body) -> Failure {
    Failure {
        point,
        repeat,
        body,
        before: Ran::DidNotRun,
        attempts: 1,
        time_left: Duration::from_secs(10),
    }
}

fn verdict(failure: &Failure) -> Verdict {
    decide(failure, &Bounds::default(), &mut Budget::default())
}

#[rstest]
#[case(Point::Connect, Repeat::Idempotent, Body::Buffered, Verdict::Retry)]
#[case(Point::Connect, Repeat::Once, Body::Buffered, Verdict::Retry)]
#[case(Point::Connect, Repeat::Once, Body::Consumed, Verdict::Retry)]
#[case(Point::Sending, Repeat::Idempotent, Body::Buffered, Verdict::Retry)]
#[case(Point::Sending, Repeat::Idempotent, Body::Consumed, Verdict::GiveUp(Ran::MayHaveRun))]
#[case(Point::Sending, Repeat::Once, Body::Buffered, Verdict::GiveUp(Ran::MayHaveRun))]
#[case(Point::Waiting, Repeat::Idempotent, Body::Buffered, Verdict::Retry)]
#[case(Point::Waiting, Repeat::Idempotent, Body::Consumed, Verdict::GiveUp(Ran::MayHaveRun))]
#[case(Point::Waiting, Repeat::Once, Body::Buffered, Verdict::GiveUp(Ran::MayHaveRun))]
#[case(Point::Refused, Repeat::Idempotent, Body::Buffered, Verdict::Retry)]
#[case(Point::Refused, Repeat::Once, Body::Buffered, Verdict::GiveUp(Ran::MayHaveRun))]
#[case(Point::Fault, Repeat::Idempotent, Body::Buffered, Verdict::Retry)]
#[case(Point::Fault, Repeat::Once, Body::Buffered, Verdict::GiveUp(Ran::MayHaveRun))]
#[case(Point::Head, Repeat::Idempotent, Body::Buffered, Verdict::Retry)]
#[case(Point::Head, Repeat::Once, Body::Buffered, Verdict::GiveUp(Ran::Ran))]
#[case(Point::Stream, Repeat::Idempotent, Body::Buffered, Verdict::Resume)]
#[case(Point::Stream, Repeat::Once, Body::Buffered, Verdict::GiveUp(Ran::Ran))]
#[case(Point::Body, Repeat::Idempotent, Body::Buffered, Verdict::GiveUp(Ran::Ran))]
#[case(Point::Body, Repeat::Once, Body::Buffered, Verdict::GiveUp(Ran::Ran))]
fn each_failure_point_has_its_verdict(
    #[case] point: Point,
    #[case] repeat: Repeat,
    #[case] body: Body,
    #[case] expected: Verdict,
) {
    assert_eq!(verdict(&failure(point, repeat, body)), expected);
}

#[rstest]
fn nothing_that_may_have_run_is_sent_again_when_it_may_run_once(
    #[values(Body::Buffered, Body::Consumed)] body: Body,
) {
    for point in Point::ALL.into_iter().filter(|point| point.ran() != Ran::DidNotRun) {
        let verdict = verdict(&failure(point, Repeat::Once, body));
        assert!(matches!(verdict, Verdict::GiveUp(ran) if ran != Ran::DidNotRun), "{point:?}");
    }
}

#[test]
fn did_not_run_is_not_said_after_an_earlier_attempt_may_have_run() {
    let failure = Failure {
        before: Ran::MayHaveRun,
        attempts: 4,
        ..failure(Point::Connect, Repeat::Idempotent, Body::Buffered)
    };
    assert_eq!(verdict(&failure), Verdict::GiveUp(Ran::MayHaveRun));
}

#[rstest]
#[case::too_many(4, Duration::from_secs(1))]
#[case::too_late(1, Duration::from_millis(1))]
fn attempts_are_bounded(#[case] attempts: u32, #[case] time_left: Duration) {
    let failure = Failure {
        attempts,
        time_left,
        ..failure(Point::Connect, Repeat::Idempotent, Body::Buffered)
    };
    assert_eq!(verdict(&failure), Verdict::GiveUp(Ran::DidNotRun));
}

#[test]
fn retries_stay_a_share_of_successes() {
    let mut budget = Budget::new(Ratio { per_thousand: 100, max: 5 });
    let broken = failure(Point::Connect, Repeat::Idempotent, Body::Buffered);
    let mut retries = 0;
    for request in 0..10_000 {
        if decide(&broken, &Bounds::default(), &mut budget) == Verdict::Retry {
            retries += 1;
        }
        if request % 2 == 0 {
            budget.deposit();
        }
    }
    assert!((500..=505).contains(&retries), "{retries} retries for 5000 successes");
}

#[test]
fn a_server_is_left_out_for_longer_after_each_failed_trial() {
    let backoff = Backoff { first: Duration::from_secs(1), max: Duration::from_secs(5) };
    let mut suspicion = Suspicion::new(backoff);
    let at = Duration::from_secs;
    assert_eq!(suspicion.failed(3, Point::Connect, at(0)), Eligibility::Suspected(at(1)));
    assert_eq!(
        suspicion.failed(3, Point::Waiting, at(0)),
        Eligibility::Suspected(at(1)),
        "a second failure during the exclusion does not extend it"
    );
    assert_eq!(
        suspicion.start_trial(3, at(1)),
        Eligibility::Suspected(at(2)),
        "a trial excludes the server from other requests"
    );
    assert_eq!(suspicion.failed(3, Point::Connect, at(1)), Eligibility::Suspected(at(3)));
    suspicion.start_trial(3, at(3));
    assert_eq!(suspicion.failed(3, Point::Connect, at(3)), Eligibility::Suspected(at(7)));
    suspicion.start_trial(3, at(7));
    assert_eq!(suspicion.failed(3, Point::Connect, at(7)), Eligibility::Suspected(at(12)));
    assert!(suspicion.succeeded(3));
    assert_eq!(suspicion.eligibility(3), Eligibility::Live);
}

#[test]
fn a_refusal_for_load_is_no_reason_for_doubt() {
    let mut suspicion = Suspicion::default();
    let eligibility = suspicion.failed(3, Point::Refused, Duration::ZERO);
    assert_eq!(eligibility, Eligibility::Live);
}
