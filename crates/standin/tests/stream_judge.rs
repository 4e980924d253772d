//! Tests of the judge of streams that break and are taken up again.

use rstest::rstest;
use standin::routed::stream::{
    Attempt, Event, Stream,
    judge::{self, Breach, Share, Shares},
};
use tokio::time::Instant;

/// An attempt that brought the events from `first` to `last` of a server of version `software`.
fn attempt(resumed: Option<u64>, first: u64, last: u64, software: &str) -> Attempt {
    let event = |number| Event { number, software: software.into(), run: "s1".into() };
    let now = Instant::now();
    Attempt {
        id: "r1".into(),
        host: 0,
        resumed,
        sent_at: now,
        ended_at: now,
        status: Some(http::StatusCode::OK),
        events: Some((first..=last).map(event).collect()),
        is_complete: false,
    }
}

fn rejected(resumed: Option<u64>) -> Attempt {
    let status = Some(http::StatusCode::SERVICE_UNAVAILABLE);
    Attempt { status, is_complete: true, ..attempt(resumed, 1, 0, "a") }
}

fn name(breach: Breach) -> &'static str {
    match breach {
        Breach::Joined(_) => "joined",
        Breach::Disordered(_) => "disordered",
    }
}

#[rstest]
#[case::one_version([attempt(None, 1, 3, "a"), attempt(Some(3), 4, 5, "a")], None)]
#[case::begun_anew_without_an_event([attempt(None, 1, 0, "a"), attempt(None, 1, 5, "b")], None)]
#[case::rejected([attempt(None, 1, 3, "a"), rejected(Some(3))], None)]
#[case::two_versions([attempt(None, 1, 3, "a"), attempt(Some(3), 4, 5, "b")], Some("joined"))]
#[case::an_event_twice([attempt(None, 1, 3, "a"), attempt(Some(3), 3, 5, "a")], Some("disordered"))]
#[case::an_event_missing([attempt(None, 1, 3, "a"), attempt(Some(3), 5, 6, "a")], Some("disordered"))]
#[case::from_the_middle([attempt(None, 2, 3, "a"), attempt(Some(3), 4, 5, "a")], Some("disordered"))]
#[case::unreadable([Attempt { events: None, ..attempt(None, 1, 1, "a") }, rejected(None)], Some("disordered"))]
fn what_is_wrong_with_a_stream_is_found(
    #[case] attempts: [Attempt; 2],
    #[case] expected: Option<&str>,
) {
    let stream = Stream { attempts: attempts.into() };
    assert_eq!(judge::check(&stream).map(name), expected);
}

#[test]
fn two_versions_within_one_answer_are_found() {
    let mut joined = attempt(None, 1, 3, "a");
    joined.events.as_mut().unwrap()[2].software = "b".into();
    assert_eq!(judge::check(&Stream { attempts: vec![joined] }).map(name), Some("joined"));
}

#[rstest]
#[case::all(4, 4, 4, true)]
#[case::half(4, 2, 4, true)]
#[case::less_than_half(4, 1, 4, false)]
#[case::none(4, 0, 4, false)]
#[case::half_of_few_that_begin(2, 1, 4, true)]
#[case::none_taken_up(4, 0, 0, true)]
fn streams_go_on_at_least_half_as_often_as_they_begin(
    #[case] begun: u64,
    #[case] gone_on: usize,
    #[case] resumed: usize,
    #[case] are_fair: bool,
) {
    let begins = (0..4).map(|n| match n < begun {
        true => attempt(None, 1, 3, "a"),
        false => rejected(None),
    });
    let resumes = (0..resumed).map(|n| match n < gone_on {
        true => attempt(Some(3), 4, 5, "a"),
        false => rejected(Some(3)),
    });
    let stream = Stream { attempts: begins.chain(resumes).collect() };
    let shares = Shares::of([&stream], |_, _| true);
    assert_eq!(shares.resumed, Share { going_on: gone_on, all: resumed });
    assert_eq!(shares.are_fair(), are_fair);
    assert_eq!(Shares::of([&stream], |_, _| false), Shares::default());
}
