//! Tests of the time-outs of attempts.

use std::time::Duration;

use policy::attempt_timeout;
use rstest::rstest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::by_the_goal(200, 10_000, 600)]
#[case::at_least(20, 10_000, 300)]
#[case::half_of_what_is_left(400, 1000, 500)]
fn an_answer(#[case] goal: u64, #[case] left: u64, #[case] wait: u64) {
    assert_eq!(attempt_timeout::response(ms(goal), ms(left)), ms(wait));
}

#[rstest]
#[case::by_the_goal(1500, 3750)]
#[case::at_least(400, 1200)]
fn a_first_event(#[case] goal: u64, #[case] wait: u64) {
    assert_eq!(attempt_timeout::first_event(ms(goal)), ms(wait));
}

#[rstest]
#[case::by_the_gap(Some(400), 1600)]
#[case::at_least(Some(150), 1250)]
#[case::without_one(None, 1250)]
fn a_next_event(#[case] gap: Option<u64>, #[case] wait: u64) {
    assert_eq!(attempt_timeout::next_event(gap.map(ms)), ms(wait));
}
