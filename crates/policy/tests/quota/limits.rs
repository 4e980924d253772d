//! Which limit is in force when answers and other hosts' messages arrive in any order.

use std::time::Duration;

use policy::quota::{
    Limit, Limits,
    limits::{Change, Version},
};
use proptest::prelude::*;
use rstest::rstest;
use types::{backend, routed::Rate};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(requests: f64) -> Option<Rate> {
    Rate::per_second(requests)
}

fn server() -> backend::Id {
    "lm-1".into()
}

/// Limits with 5 requests per second for the server, version 1, recorded at 100 ms.
fn limits() -> Limits {
    let mut limits = Limits::default();
    let change = limits.observe(&server(), rate(5.0), ms(50), ms(100)).expect("a change");
    assert_eq!(change, Change { previous: None, current: Limit { version: 1, rate: rate(5.0) } });
    limits
}

#[rstest]
#[case::raised_by_a_later_request(101, rate(9.0), rate(9.0), 2)]
#[case::lowered_by_a_later_request(101, rate(2.0), rate(2.0), 2)]
#[case::withdrawn_by_a_later_request(101, None, None, 2)]
#[case::raised_by_a_request_under_way(99, rate(9.0), rate(5.0), 1)]
#[case::withdrawn_by_a_request_under_way(99, None, rate(5.0), 1)]
#[case::lowered_by_a_request_under_way(99, rate(2.0), rate(2.0), 2)]
#[case::the_same(101, rate(5.0), rate(5.0), 1)]
fn an_answer_counts_by_when_its_request_left(
    #[case] sent: u64,
    #[case] limit: Option<Rate>,
    #[case] known: Option<Rate>,
    #[case] version: Version,
) {
    let mut limits = limits();
    limits.observe(&server(), limit, ms(sent), ms(200));
    assert_eq!(limits.limit("lm-1"), known);
    assert_eq!(limits.iter().next(), Some((&server(), Limit { version, rate: known })));
}

#[rstest]
#[case::of_a_later_change(2, rate(9.0), rate(9.0))]
#[case::of_a_later_end(2, None, None)]
#[case::of_the_same_change_and_lower(1, rate(2.0), rate(2.0))]
#[case::of_the_same_change_and_higher(1, rate(9.0), rate(5.0))]
#[case::of_an_earlier_change(0, rate(2.0), rate(5.0))]
fn a_peers_limit_counts_by_its_version(
    #[case] version: Version,
    #[case] limit: Option<Rate>,
    #[case] known: Option<Rate>,
) {
    let mut limits = limits();
    let change = limits.merge(&server(), Limit { version, rate: limit }, ms(200));
    assert_eq!(limits.limit("lm-1"), known);
    assert_eq!(change.is_some(), known != rate(5.0));
}

#[test]
fn an_answer_to_a_request_that_left_before_a_peers_limit_came_does_not_undo_it() {
    let mut limits = limits();
    limits.merge(&server(), Limit { version: 2, rate: rate(2.0) }, ms(300));
    assert_eq!(limits.observe(&server(), rate(5.0), ms(250), ms(310)), None);
    assert!(limits.observe(&server(), rate(5.0), ms(320), ms(340)).is_some());
    assert_eq!(limits.limit("lm-1"), rate(5.0));
}

#[test]
fn a_limit_of_zero_ends_with_an_answer_without_one() {
    let mut limits = Limits::default();
    limits.observe(&server(), rate(0.0), ms(1), ms(2));
    assert_eq!(limits.limit("lm-1"), rate(0.0));
    limits.observe(&server(), None, ms(3), ms(4));
    assert_eq!(limits.limit("lm-1"), None);
}

#[test]
fn a_later_run_of_a_server_begins_without_a_limit() {
    let mut limits = limits();
    assert_eq!(limits.limit("lm-1@7"), None);
    limits.forget("lm-1");
    assert_eq!(limits.limited().count(), 0);
}

proptest! {
    /// Hosts that have received each other's latest limits agree, in whatever order these came.
    #[test]
    fn hosts_agree_once_all_have_heard_all(
        words in proptest::collection::vec((0_usize..4, 0_u32..4, 0_u64..400), 1..40),
        order in Just((0..16_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut hosts = vec![Limits::default(); 4];
        for (at, (host, limit, ago)) in words.into_iter().enumerate() {
            let now = ms(1_000 + 100 * at as u64);
            let limit = (limit != 0).then(|| Rate::per_second(limit.into())).flatten();
            hosts[host].observe(&server(), limit, now - ms(ago), now);
        }
        // Each host receives the limits of each host twice, since a host may pass on limits that it
        // received in the first round.
        for pair in order.iter().chain(&order) {
            let (from, to) = (pair / 4, pair % 4);
            let sent: Vec<Limit> = hosts[from].iter().map(|(_, limit)| limit).collect();
            for limit in sent {
                hosts[to].merge(&server(), limit, ms(9_000));
            }
        }
        let limits: Vec<_> = hosts.iter().map(|limits| limits.limit("lm-1")).collect();
        prop_assert!(limits.windows(2).all(|pair| pair[0] == pair[1]), "{limits:?}");
    }
}
