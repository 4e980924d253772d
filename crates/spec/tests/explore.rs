//! Tests of the explorer: it finds violations by a shortest trace, and reports a search that
//! stopped at its limit.

use spec::explore::{Finding, System, explore};

/// A counter that goes up by one or two as far as `top`, and down by one except from `trap`.
struct Counter {
    top: u32,
    forbidden: Option<u32>,
    trap: Option<u32>,
}

impl System for Counter {
    type State = u32;
    type Step = &'static str;

    fn initial(&self) -> u32 {
        0
    }

    fn steps(&self, state: &u32) -> Vec<(&'static str, u32)> {
        let up = [("one up", state + 1), ("two up", state + 2)];
        let up = up.into_iter().filter(|(_, to)| *to <= self.top);
        let down = (*state != 0 && Some(*state) != self.trap).then(|| ("down", state - 1));
        up.chain(down).collect()
    }

    fn violation(&self, state: &u32) -> Option<String> {
        (Some(*state) == self.forbidden).then(|| format!("{state} is forbidden"))
    }

    fn is_progress(&self, step: &&'static str) -> bool {
        *step == "down"
    }

    fn is_settled(&self, state: &u32) -> bool {
        *state == 0
    }
}

#[test]
fn sound_system_holds_and_every_state_is_counted() {
    let report = explore(&Counter { top: 9, forbidden: None, trap: None }, 100);
    assert!(report.holds());
    assert_eq!(report.states, 10);
}

#[test]
fn forbidden_state_is_found_by_a_shortest_way() {
    let report = explore(&Counter { top: 9, forbidden: Some(6), trap: None }, 100);
    let trace = report.violation().expect("the forbidden state is reachable and must be found");
    assert_eq!(trace.steps, ["two up", "two up", "two up"]);
    assert!(trace.violation.contains('6'));
}

#[test]
fn state_that_cannot_settle_is_found() {
    let report = explore(&Counter { top: 9, forbidden: None, trap: Some(3) }, 100);
    let trace = report.stuck().expect("the trap state has no step down and must be found");
    assert_eq!(trace.steps, ["one up", "two up"]);
}

#[test]
fn early_stop_is_not_called_sound() {
    let report = explore(&Counter { top: 9, forbidden: None, trap: None }, 5);
    assert!(matches!(report.finding, Finding::Unfinished));
    assert!(!report.holds());
}
