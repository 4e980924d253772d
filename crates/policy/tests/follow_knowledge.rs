//! What a host can tell of the age of its knowledge of the servers.

use std::time::Duration;

use policy::follow::{Knowledge, MAX_KNOWN_AGE_SHARE};

const WITHIN: Duration = Duration::from_secs(3);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Interval at which a host that is on time reads its sockets.
const READ_INTERVAL: Duration = ms(20);

/// Returns the knowledge of a host that was confirmed when it started.
fn confirmed() -> Knowledge {
    let mut known = Knowledge::new(WITHIN);
    known.read(ms(0));
    known.confirm(ms(0));
    known
}

/// Lets a host read its sockets at short intervals.
fn read_all(known: &mut Knowledge, from: Duration, to: Duration) {
    let mut now = from;
    while now <= to {
        known.read(now);
        now += READ_INTERVAL;
    }
}

#[test]
fn knowledge_is_outdated_before_a_server_must_be_left_alone() {
    let mut known = confirmed();
    let limit = WITHIN.mul_f64(MAX_KNOWN_AGE_SHARE);
    read_all(&mut known, ms(0), limit);
    assert!(!known.is_outdated(limit));
    assert!(known.is_outdated(limit + ms(1)));
}

#[test]
fn an_earlier_confirmation_takes_nothing_back() {
    let mut known = confirmed();
    known.confirm(ms(500));
    known.confirm(ms(100));
    assert_eq!(known.confirmed_at(), ms(500));
}

/// Guards against a host that takes the wait of a watch for proof that nothing has changed: a store
/// that fell silent has forgotten the watch.
#[test]
fn a_watch_without_an_answer_shows_nothing() {
    let mut known = confirmed();
    read_all(&mut known, ms(0), ms(2_710));
    assert!(known.is_outdated(ms(2_710)));
}

#[test]
fn a_watch_that_is_answered_after_a_wait_had_waited_until_then() {
    let mut known = confirmed();
    read_all(&mut known, ms(0), ms(1_800));
    known.watch_answered(ms(0));
    assert_eq!(known.confirmed_at(), ms(1_500));
}

#[test]
fn a_watch_that_is_answered_at_once_shows_what_was_known_when_it_was_sent() {
    let mut known = confirmed();
    read_all(&mut known, ms(0), ms(2_000));
    known.watch_answered(ms(1_900));
    assert_eq!(known.confirmed_at(), ms(1_900));
}

/// Guards against a host that counts time in which it did not read its sockets.
#[test]
fn a_watch_shows_nothing_of_the_time_in_which_the_host_did_not_run() {
    let mut known = confirmed();
    read_all(&mut known, ms(0), ms(5_000));
    // An answer may have arrived meanwhile and not been handled yet.
    known.read(ms(9_000));
    assert!(known.is_outdated(ms(9_000)));
    known.watch_answered(ms(0));
    assert!(known.confirmed_at() <= ms(5_000), "{:?}", known.confirmed_at());
}
