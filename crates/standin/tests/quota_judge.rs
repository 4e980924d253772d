//! Tests of the check that a server receives no more requests than the limit that it states allows.

use std::time::Duration;

use rstest::rstest;
use standin::routed::server::quota::{Excess, Quota};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A server that states a limit of 2 requests per second from 10 s on, which allows 17 requests in
/// 4 s.
fn limited(arrivals: impl IntoIterator<Item = u64>) -> Quota {
    let arrivals = arrivals.into_iter().map(|at| ("r".into(), ms(at))).collect();
    Quota { arrivals, limits: vec![(ms(10_000), Some(2.0))] }
}

/// `count` requests, 10 ms apart, from `from` on.
fn burst(from: u64, count: u64) -> impl Iterator<Item = u64> {
    (0..count).map(move |number| from + 10 * number)
}

#[rstest]
#[case::as_many_as_allowed(burst(14_000, 17), None)]
#[case::one_too_many(burst(14_000, 18), Some(14_170))]
#[case::in_two_windows(burst(14_000, 10).chain(burst(18_100, 10)), None)]
#[case::over_the_edge_of_two_windows(burst(14_000, 10).chain(burst(17_500, 10)), Some(17_570))]
#[case::before_the_limit_binds(burst(12_500, 40), None)]
#[case::with_those_since_its_news(burst(10_600, 17).chain([13_000]), Some(13_000))]
#[case::with_those_before_it(burst(9_500, 10).chain(burst(13_000, 8)), Some(13_070))]
#[case::where_too_many_came_before_its_news(burst(9_500, 30).chain(burst(13_000, 8)), None)]
fn a_window_holds_what_the_limit_allows(
    #[case] arrivals: impl Iterator<Item = u64>,
    #[case] broken: Option<u64>,
) {
    let excess = limited(arrivals).excess(|_, _| true);
    let at = |at| Excess { at: ms(at), requests: 18, allowed: 17 };
    assert_eq!(excess, broken.map(at));
}

#[test]
fn requests_that_do_not_count_are_left_out() {
    assert_eq!(limited(burst(14_000, 40)).excess(|_, _| false), None);
}

#[rstest]
#[case::lowered_long_ago(&[(10_000, Some(9.0)), (13_000, Some(2.0))], Some(18_170))]
#[case::lowered_in_the_window(&[(10_000, Some(9.0)), (17_000, Some(2.0))], None)]
#[case::raised(&[(10_000, Some(2.0)), (17_000, Some(9.0))], None)]
#[case::withdrawn(&[(10_000, Some(2.0)), (17_000, None)], None)]
#[case::withdrawn_and_named_again(&[(10_000, Some(2.0)), (16_000, None), (17_000, Some(2.0))], None)]
fn a_limit_binds_as_it_was_named(
    #[case] limits: &[(u64, Option<f64>)],
    #[case] broken: Option<u64>,
) {
    let limits = limits.iter().map(|(at, limit)| (ms(*at), *limit)).collect();
    let quota = Quota { limits, ..limited(burst(18_000, 30)) };
    assert_eq!(quota.excess(|_, _| true).map(|excess| excess.at), broken.map(ms));
}
