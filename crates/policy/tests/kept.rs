//! Which of the connections kept to a server takes a request.

use std::time::Duration;

use policy::kept::{Kept, Pick, Runs};
use rstest::rstest;
use types::{service, time::Moment};

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

const LONG: Duration = Duration::from_millis(400);
const SOON: Duration = Duration::from_millis(3);

fn service() -> service::Id {
    "words".into()
}

#[rstest]
#[case::again(Runs::Again, Pick::Longest)]
#[case::once(Runs::Once, Pick::Least)]
fn what_may_run_once_takes_the_freshest(#[case] runs: Runs, #[case] pick: Pick) {
    assert_eq!(Kept::default().pick(&service(), runs, at(0)), pick);
}

#[test]
fn a_reset_after_a_rest_spares_what_may_run_once_for_a_while() {
    let mut kept = Kept::default();
    kept.broke(&service(), LONG, SOON, at(1_000));
    let Pick::Within(most) = kept.pick(&service(), Runs::Once, at(10_999)) else {
        panic!("a connection that rested is not used")
    };
    assert!(most < LONG);
    assert_eq!(kept.pick(&service(), Runs::Again, at(10_999)), Pick::Least);
    assert_eq!(kept.pick(&service(), Runs::Once, at(11_000)), Pick::Least);
    assert_eq!(kept.pick(&"others".into(), Runs::Once, at(2_000)), Pick::Least);
}

#[rstest]
#[case::hardly_rested(Duration::from_millis(100), SOON)]
#[case::at_work(LONG, Duration::from_millis(60))]
fn other_ends_tell_nothing_of_rests(#[case] rested: Duration, #[case] after: Duration) {
    let mut kept = Kept::default();
    kept.broke(&service(), rested, after, at(1_000));
    assert_eq!(kept.pick(&service(), Runs::Once, at(1_001)), Pick::Least);
}
