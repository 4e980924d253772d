//! Planning takes a bounded part of its host's time.

use policy::place::{Pace, RoundUrgency};
use rstest::rstest;
use types::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// Rounds that are requested all the time take at most an eighth of the host's time, and a third if they
/// are urgent, however long they take.
#[rstest]
fn rounds_take_a_bounded_part_of_the_time(
    #[values((RoundUrgency::Normal, 8), (RoundUrgency::Urgent, 3))] (urgency, parts): (
        RoundUrgency,
        u32,
    ),
    #[values(1, 5, 30, 100, 500, 3000)] round_ms: u32,
) {
    let mut pace = Pace::default();
    pace.record(Duration::ZERO, MS * round_ms);
    let start = MS * round_ms;
    pace.record(start, start + MS * round_ms);
    let (mut now, mut planning) = (start + MS * round_ms, Duration::ZERO);
    let start = now;
    for _ in 0..100 {
        let began = pace.next(urgency).max(now);
        now = began + MS * round_ms;
        planning += MS * round_ms;
        pace.record(began, now);
    }
    let all = pace.next(urgency) - start;
    assert!(planning * parts <= all, "{planning:?} of {all:?}");
}

#[test]
fn cheap_rounds_follow_each_other_closely() {
    let mut pace = Pace::default();
    pace.record(100 * MS, 100 * MS + MS / 4);
    assert!(pace.next(RoundUrgency::Normal) <= 104 * MS);
    assert!(pace.next_unrequested() <= 151 * MS);
}

/// A suspension of the host in the middle of a round isn't taken for a round of that length.
#[test]
fn a_suspended_round_does_not_stop_planning() {
    let mut pace = Pace::default();
    pace.record(Duration::ZERO, 5 * MS);
    pace.record(50 * MS, Duration::from_secs(30));
    assert!(pace.next(RoundUrgency::Normal) <= Duration::from_secs(31));
}
