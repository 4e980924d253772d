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

/// Guards against hosts of small fleets, whose watches wait for longer than a change may take, that
/// refuse requests meanwhile.
#[test]
fn a_watch_that_waits_keeps_knowledge_recent() {
    let mut known = confirmed();
    known.watch_started(ms(0), ms(13_000));
    read_all(&mut known, ms(0), ms(12_000));
    assert!(!known.is_outdated(ms(12_010)));
    known.watch_answered(ms(0), ms(12_010));
    assert!(ms(11_600) <= known.confirmed_at(), "{:?}", known.confirmed_at());
}

#[test]
fn a_watch_that_may_be_stalled_shows_nothing() {
    let mut known = confirmed();
    known.watch_started(ms(0), ms(5_000));
    read_all(&mut known, ms(0), ms(5_000));
    assert!(!known.is_outdated(ms(4_999)));
    assert!(known.is_outdated(ms(5_000)));
}

#[test]
fn a_watch_that_has_just_begun_shows_nothing() {
    let mut known = confirmed();
    read_all(&mut known, ms(0), ms(2_800));
    known.watch_started(ms(2_700), ms(5_000));
    assert!(known.is_outdated(ms(2_800)));
    read_all(&mut known, ms(2_800), ms(3_100));
    assert!(!known.is_outdated(ms(3_100)));
}

/// Guards against a host that counts time in which it did not read its sockets.
#[test]
fn a_watch_shows_nothing_of_the_time_in_which_the_host_did_not_run() {
    let mut known = confirmed();
    known.watch_started(ms(0), ms(20_000));
    read_all(&mut known, ms(0), ms(5_000));
    assert!(known.is_outdated(ms(9_000)));
    // An answer may have arrived meanwhile and not been handled yet.
    known.read(ms(9_000));
    assert!(known.is_outdated(ms(9_000)));
    known.watch_answered(ms(0), ms(9_010));
    assert!(known.confirmed_at() <= ms(5_000), "{:?}", known.confirmed_at());
}

#[test]
fn a_watch_that_failed_shows_nothing() {
    let mut known = confirmed();
    known.watch_started(ms(0), ms(20_000));
    read_all(&mut known, ms(0), ms(4_000));
    assert!(!known.is_outdated(ms(4_000)));
    known.watch_failed();
    assert!(known.is_outdated(ms(4_000)));
}
