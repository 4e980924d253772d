//! Planning takes a bounded part of its host's time.

use policy::place::{Pace, Urgency};
use rstest::rstest;
use types::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// Rounds that are requested all the time take at most an eighth of the host's time, and a third if they
/// are urgent, however long they take.
#[rstest]
fn rounds_take_a_bounded_part_of_the_time(
    #[values((Urgency::Normal, 8), (Urgency::Urgent, 3))] (urgency, parts): (Urgency, u32),
    #[values(1, 5, 30, 100)] round_ms: u32,
) {
    let mut pace = Pace::default();
    let (mut now, mut planning) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..100 {
        let began = pace.next(urgency).max(now);
        now = began + MS * round_ms;
        planning += MS * round_ms;
        pace.record(began, now);
    }
    let end = pace.next(urgency);
    assert!(planning * parts <= end, "{planning:?} of {end:?}");
}

#[test]
fn cheap_rounds_follow_each_other_closely() {
    let mut pace = Pace::default();
    pace.record(100 * MS, 100 * MS + MS / 4);
    assert!(pace.next(Urgency::Normal) <= 104 * MS);
    assert!(pace.next_unrequested() <= 151 * MS);
}

/// A suspension of the host in the middle of a round isn't taken for a round of that length.
#[test]
fn a_suspended_round_does_not_stop_planning() {
    let mut pace = Pace::default();
    pace.record(Duration::ZERO, Duration::from_secs(30));
    assert!(pace.next(Urgency::Normal) <= Duration::from_secs(31));
}
