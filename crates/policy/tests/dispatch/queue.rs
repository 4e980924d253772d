//! Tests of which requests wait, in which order, and which are refused.

use policy::dispatch::{Cause, Change, Dispatcher, End, RequestSpec, Ticket, Verdict};
use rstest::rstest;
use types::{
    prelude::*,
    routed::{Kind, Server},
};

use crate::fixture::{GOAL, TIMEOUT, at, generation, host, plain, request, sent, server};

/// Fills all places of one server with requests 0, 1, ..; returns the first number that waits.
fn fill(host: &mut Dispatcher, now: Moment) -> u64 {
    (0..100)
        .find(|n| host.arrive(request(*n, Kind::NonIdempotent, now), now) == Verdict::Wait)
        .unwrap()
}

fn ranked(ticket: u64, priority: u8, now: Moment) -> RequestSpec {
    RequestSpec { priority, ..request(ticket, Kind::Idempotent, now) }
}

fn next(host: &mut Dispatcher, ended: u64, now: Moment) -> Vec<u64> {
    host.ended(ended, End::Completed, now);
    host.pump(now).into_iter().map(|change| change.ticket).collect()
}

#[rstest]
fn servers_are_not_overfilled() {
    let mut host = plain(&["s1"]);
    let taken = fill(&mut host, at(0));
    assert!((2..=3).contains(&taken), "{taken} requests sent to 2 slots");
    assert_eq!(host.waiting(), 1);
}

#[rstest]
fn the_urgent_go_first_then_those_due_first() {
    let mut host = plain(&["s1"]);
    let waiting = fill(&mut host, at(0));
    let late = ranked(11, 2, at(20));
    let soon = RequestSpec { goal: GOAL / 2, ..ranked(12, 2, at(20)) };
    for request in [ranked(10, 5, at(20)), late, soon, ranked(13, 0, at(20))] {
        assert_eq!(host.arrive(request, at(20)), Verdict::Wait);
    }
    let order: Vec<_> = (0..3).flat_map(|ended| next(&mut host, ended, at(30 + ended))).collect();
    assert_eq!(order, [13, 12, waiting]);
    let order: Vec<_> =
        [13, 12].into_iter().flat_map(|ended| next(&mut host, ended, at(60))).collect();
    assert_eq!(order, [11, 10]);
}

#[rstest]
fn what_can_still_be_in_time_goes_before_what_is_late() {
    let mut host = plain(&["s1"]);
    let waiting = fill(&mut host, at(0));
    assert_eq!(host.arrive(request(50, Kind::Idempotent, at(390)), at(390)), Verdict::Wait);
    assert_eq!(host.pump(at(395)), []);
    assert_eq!(next(&mut host, 0, at(400)), [50]);
    assert_eq!(next(&mut host, 1, at(410)), [waiting]);
}

#[rstest]
fn a_late_request_is_kept_a_little_longer_and_then_refused() {
    let mut host = plain(&["s1"]);
    let waiting = fill(&mut host, at(0));
    let mut now = at(0);
    let refused = loop {
        now += at(10);
        if let Some(change) = host.pump(now).pop() {
            break change;
        }
    };
    assert_eq!(refused.ticket, waiting);
    assert!(matches!(refused.verdict, Verdict::Refuse { cause: Cause::Full, .. }));
    assert!(GOAL <= now && now < TIMEOUT / 4, "{now:?}");
}

#[rstest]
fn an_arrival_without_hope_is_refused_at_once_and_those_refused_come_back_apart() {
    let mut host = plain(&["s1"]);
    fill(&mut host, at(0));
    let mut afters: Vec<Duration> = (100..2_000)
        .filter_map(|n| match host.arrive(request(n, Kind::Idempotent, at(1)), at(1)) {
            Verdict::Refuse { cause: Cause::Full, after } => Some(after),
            _ => None,
        })
        .collect();
    assert!(1_000 < afters.len(), "{}", afters.len());
    afters.sort();
    afters.dedup();
    assert!(50 < afters.len());
    assert!(afters.iter().all(|after| at(100) < *after && *after < TIMEOUT / 3));
}

#[rstest]
fn nothing_is_refused_while_there_is_a_place() {
    let mut host = plain(&["s1", "s2"]);
    let brief = RequestSpec { deadline: at(5), ..request(1, Kind::NonIdempotent, at(0)) };
    sent(host.arrive(brief, at(0)));
}

#[rstest]
fn a_request_for_a_model_that_nobody_loads_is_refused_in_time() {
    let mut host = host();
    host.server(&server("s1", "a", &[]), at(0));
    host.arrive(generation(1, "m1", at(0)), at(0));
    assert_eq!(host.pump(at(1_000)), []);
    let changes = host.pump(TIMEOUT / 2);
    let refused = changes.iter().map(|change| &change.verdict).collect::<Vec<_>>();
    assert!(matches!(refused[..], [Verdict::Refuse { cause: Cause::NoServer, .. }]), "{refused:?}");
}

/// The caller of a stream leaves long before its deadline, and retries only if the request is
/// refused before then.
#[rstest]
#[case::for_a_load("m2")]
#[case::for_a_place("m1")]
fn what_waits_is_refused_before_its_caller_leaves(#[case] held: &str) {
    let silence = Some(Duration::from_millis(800));
    let mut host = host();
    host.server(&server("s1", "a", &[(held, &[])]), at(0));
    for ticket in 0..20 {
        host.arrive(RequestSpec { silence, ..generation(ticket, "m1", at(0)) }, at(0));
    }
    assert_ne!(host.waiting(), 0);
    let changes = host.pump(at(790));
    let is_refused = |change: &Change| matches!(change.verdict, Verdict::Refuse { .. });
    assert!(changes.iter().all(is_refused), "{changes:?}");
    assert_eq!(host.waiting(), 0);
}

/// The request is refused with the time at which the model will be loaded, instead of being held
/// until its caller leaves.
#[rstest]
fn a_request_whose_load_comes_too_late_is_refused_at_once() {
    let mut host = host();
    host.server(&server("s1", "a", &[]), at(0));
    host.model_loading(&"s1".into(), &"m1".into(), None, at(1_000));
    let brief = |ticket, silence| RequestSpec {
        silence: Some(Duration::from_millis(silence)),
        ..generation(ticket, "m1", at(0))
    };
    let refused = Verdict::Refuse { cause: Cause::NoServer, after: at(1_000) };
    assert_eq!(host.arrive(brief(1, 800), at(0)), refused);
    assert_eq!(host.arrive(brief(2, 2_000), at(0)), Verdict::Wait);
}

/// A request that waits for its adapter to be loaded does not block a later request that a server
/// can run.
#[rstest]
fn a_missing_adapter_holds_nobody_up() {
    let mut host = host();
    host.server(&server("s1", "a", &[("m1", &[])]), at(0));
    let adapted =
        RequestSpec { adapter: Some("x".into()), priority: 0, ..generation(1, "m1", at(0)) };
    assert!(matches!(host.arrive(adapted, at(0)), Verdict::Missing { .. }));
    host.arrive(generation(2, "m1", at(0)), at(0));
    let tickets: Vec<_> = host.pump(at(0)).into_iter().map(|change| change.ticket).collect();
    assert_eq!(tickets, [2]);
    host.model_loaded(&"s1".into(), &"m1".into(), Some(&"x".into()), 1, at(30));
    assert_eq!(host.pump(at(30)).len(), 1);
}

#[rstest]
fn a_caller_that_leaves_the_queue_is_forgotten() {
    let mut host = plain(&["s1"]);
    let waiting = fill(&mut host, at(0));
    host.ended(waiting, End::Cancelled, at(1));
    assert_eq!(host.waiting(), 0);
    assert_eq!(next(&mut host, 0, at(2)), Vec::<u64>::new());
}

/// A host whose server has `m1` loaded and more slots than these tests use.
fn wide() -> Dispatcher {
    let mut host = host();
    host.server(&Server { slots: 64, ..server("s1", "a", &[("m1", &[])]) }, at(0));
    host
}

/// A stream whose prompt takes its server 20 ms to prefill, and whose events may pause for 150 ms.
fn paced(ticket: Ticket, now: Moment) -> RequestSpec {
    RequestSpec { input: 600, pause: Some(PAUSE), ..generation(ticket, "m1", now) }
}

const PAUSE: Duration = Duration::from_millis(150);

#[rstest]
fn prompts_wait_while_a_server_reads_for_half_of_a_pause() {
    let mut host = wide();
    let verdicts = (0..4).map(|n| host.arrive(paced(n, at(0)), at(0)));
    assert_eq!(verdicts.filter(|verdict| *verdict == Verdict::Wait).count(), 1);
    assert_eq!(host.pump(at(20)), []);
    host.first_byte(0, at(40));
    let changes = host.pump(at(40));
    assert_eq!(changes.iter().map(|change| change.ticket).collect::<Vec<_>>(), [3]);
}

#[rstest]
fn prompts_that_peers_have_sent_to_be_read_count() {
    let mut host = wide();
    host.peer(&"b".into(), &[("s1".into(), Some("m1".into()), 3, 1_800)], at(0));
    assert_eq!(host.arrive(paced(1, at(1)), at(1)), Verdict::Wait);
    host.peer(&"b".into(), &[("s1".into(), Some("m1".into()), 3, 0)], at(30));
    assert_eq!(host.pump(at(30)).len(), 1);
}

#[rstest]
fn a_prompt_longer_than_a_pause_goes_where_nothing_is_read() {
    let mut host = wide();
    let long = RequestSpec { input: 60_000, ..paced(1, at(0)) };
    assert_eq!(&*sent(host.arrive(long, at(0))), "s1");
}
