//! Leases that expire by their last change and the observer's own clock.

use policy::lease::{Lease, Observer, Step};
use types::prelude::*;

const TERM: Duration = Duration::from_secs(6);

fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

fn observer(host: &str) -> Observer {
    Observer::new(host.into(), 1, TERM)
}

fn taken(step: Step) -> Lease {
    match step {
        Step::Take(lease) | Step::Renew(lease) => lease,
        Step::Hold | Step::Wait => panic!("nothing to write: {step:?}"),
    }
}

#[test]
fn free_lease_is_taken_and_renewed_within_its_term() {
    let mut first = observer("host-1");
    let lease = taken(first.observe(at(0), None));
    assert_eq!(first.observe(at(0), Some(&lease)), Step::Hold);
    let renewed = taken(first.observe(at(2), Some(&lease)));
    assert_eq!(renewed.renewal, lease.renewal + 1);
}

#[test]
fn lease_that_changes_is_never_taken() {
    let mut second = observer("host-2");
    for renewal in 0..9 {
        let lease = Lease { holder: "host-1".into(), incarnation: 1, renewal };
        assert_eq!(second.observe(at(5 * renewal), Some(&lease)), Step::Wait);
    }
}

#[test]
fn lease_that_does_not_change_is_taken_after_its_term_by_the_observers_own_clock() {
    let mut second = observer("host-2");
    let lease = Lease { holder: "host-1".into(), incarnation: 1, renewal: 4 };
    assert_eq!(second.observe(at(1000), Some(&lease)), Step::Wait);
    assert_eq!(second.observe(at(1005), Some(&lease)), Step::Wait);
    let taken = taken(second.observe(at(1006), Some(&lease)));
    assert_eq!((&*taken.holder, taken.renewal), ("host-2", 5));
}

#[test]
fn paused_holder_knows_that_its_lease_ran_out() {
    let mut first = observer("host-1");
    let lease = taken(first.observe(at(0), None));
    first.observe(at(0), Some(&lease));
    assert!(first.is_held(at(5)));
    assert!(!first.is_held(at(6)));
}

#[test]
fn earlier_run_of_the_same_host_is_another_holder() {
    let mut restarted = Observer::new("host-1".into(), 2, TERM);
    let lease = Lease { holder: "host-1".into(), incarnation: 1, renewal: 0 };
    assert_eq!(restarted.observe(at(0), Some(&lease)), Step::Wait);
}
