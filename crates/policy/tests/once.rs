//! Claims of keys: at most one run of a request, under faults of the object API and of hosts.

mod support;

use policy::once::{
    Body, Change, Document, End, Entry, HostRun, Outage, Outcome, Presence, Read, Refusal,
    Settings, State, Verdict, Written,
};
use rstest::rstest;
use support::{Fault, Host, Store, at, key, settings, stamped};
use types::request::Ran;

#[test]
fn same_key_at_two_hosts_at_once_is_granted_once() {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    b.claim(at(0), "b1", &key("k"), 1);
    let read = (a.take_call(at(0)), b.take_call(at(0)));
    a.deliver(at(1), store.run(read.0, Fault::None));
    b.deliver(at(1), store.run(read.1, Fault::None));
    let write = (a.take_call(at(1)), b.take_call(at(1)));
    a.deliver(at(2), store.run(write.0, Fault::None));
    b.deliver(at(2), store.run(write.1, Fault::None));
    b.settle(at(3), &mut store, Fault::None);
    assert!(matches!(a.verdict("a1"), Some(Verdict::Granted { .. })));
    assert_eq!(b.verdict("b1"), Some(Verdict::Claimed { claimant: run("a") }));
}

#[test]
fn second_claim_on_the_same_host_does_not_run() {
    let (mut a, _, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.claim(at(0), "a2", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::None);
    assert!(matches!(a.verdict("a1"), Some(Verdict::Granted { .. })));
    assert_eq!(a.verdict("a2"), Some(Verdict::Claimed { claimant: run("a") }));
}

#[test]
fn claim_whose_answer_was_lost_is_granted_by_its_own_entry() {
    let (mut a, _, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::LostAnswer);
    assert_eq!(a.verdict("a1"), None);
    a.settle(at(100), &mut store, Fault::None);
    assert!(matches!(a.verdict("a1"), Some(Verdict::Granted { .. })));
}

/// The caller was answered "did not run", so its next send must run.
#[rstest]
#[case::same_host("a")]
#[case::another_host("b")]
fn claim_refused_after_its_lost_write_is_released(#[case] again: &str) {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::LostAnswer);
    a.settle(at(5_000), &mut store, Fault::Down);
    assert_eq!(a.verdict("a1"), Some(Verdict::Refused(Refusal::Unwritten)));
    assert_eq!(Refusal::Unwritten.ran(), Ran::DidNotRun);
    a.settle(at(20_000), &mut store, Fault::None);
    let host = if again == "a" { &mut a } else { &mut b };
    host.claim(at(20_100), "again", &key("k"), 1);
    host.settle(at(20_100), &mut store, Fault::None);
    assert!(matches!(host.verdict("again"), Some(Verdict::Granted { .. })));
}

/// A host is paused past all time-outs with an unsent write, and meanwhile another host claims the
/// key.
#[test]
fn paused_host_with_a_write_in_hand_loses_to_its_successor() {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle_reads(at(0), &mut store);
    let write = a.take_call(at(0));
    b.claim(at(1_000), "b1", &key("k"), 1);
    b.settle(at(1_000), &mut store, Fault::None);
    assert!(matches!(b.verdict("b1"), Some(Verdict::Granted { .. })));
    a.deliver(at(60_000), store.run(write, Fault::None));
    a.settle(at(60_000), &mut store, Fault::None);
    assert!(!matches!(a.verdict("a1"), Some(Verdict::Granted { .. })));
}

/// A refusal with "did not run" holds for every send of the key, including those that other hosts
/// received.
#[rstest]
#[case::outage(Fault::Down, None, Refusal::Unread)]
#[case::clock_behind(Fault::None, Some(-20_000), Refusal::Ahead)]
fn key_that_ran_elsewhere_is_not_refused_as_not_run(
    #[case] fault: Fault,
    #[case] clock: Option<i64>,
    #[case] wrong: Refusal,
) {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    b.claim(at(0), "b0", &key("other"), 1);
    b.settle(at(0), &mut store, Fault::None);
    a.claim(at(1_000), "a1", &stamped(1_000), 1);
    a.settle(at(1_000), &mut store, Fault::None);
    assert!(matches!(a.verdict("a1"), Some(Verdict::Granted { .. })));
    for moment in [2_000, 5_000] {
        let mut now = at(moment);
        now.wall = now.wall.checked_add_signed(clock.unwrap_or(0)).unwrap();
        if moment == 2_000 {
            b.claim(now, "b1", &stamped(1_000), 1);
        }
        b.settle(now, &mut store, fault);
    }
    let verdict = b.verdict("b1").expect("answered");
    match wrong.ran() {
        Ran::DidNotRun => assert_eq!(verdict, Verdict::Claimed { claimant: run("a") }),
        Ran::MayHaveRun | Ran::Ran => assert_eq!(verdict, Verdict::Refused(wrong)),
    }
}

/// If a grant could be used after its entry was dropped, the key could be granted a second time.
#[test]
fn grant_ends_before_its_entry_can_be_forgotten() {
    let settings = settings(Outage::Refuse);
    let (mut a, _, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::None);
    let Some(Verdict::Granted { until }) = a.verdict("a1") else { panic!("not granted") };
    assert_eq!(until, at(0).moment + settings.grant);
    assert!(settings.accept + settings.ahead + settings.grant <= settings.retention());
}

#[test]
fn key_of_a_host_that_died_after_its_claim_is_not_run_again() {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::None);
    drop(a);
    b.claim(at(1_000), "b1", &key("k"), 1);
    b.settle(at(1_000), &mut store, Fault::None);
    assert_eq!(b.verdict("b1"), Some(Verdict::Claimed { claimant: run("a") }));
}

/// A later run of a host's process has another incarnation, so the entry is not its own.
#[test]
fn key_of_an_earlier_run_of_the_same_host_is_not_run_again() {
    let (mut a, _, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::None);
    let mut later = Host::new(HostRun { host: "a".into(), incarnation: 2 }, Outage::Refuse);
    later.claim(at(1_000), "a2", &key("k"), 1);
    later.settle(at(1_000), &mut store, Fault::None);
    assert_eq!(later.verdict("a2"), Some(Verdict::Claimed { claimant: run("a") }));
}

#[rstest]
#[case::ran(End::Ran(outcome("done")), Some(Verdict::Done(outcome("done"))))]
#[case::lost(End::Lost, Some(Verdict::Refused(Refusal::Unsure)))]
#[case::released(End::Released, None)]
fn end_of_a_claim_is_known_to_every_host(#[case] end: End, #[case] expected: Option<Verdict>) {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::None);
    a.range.end(at(1_000), Change { id: "a1".into(), key: key("k").key, end });
    a.settle(at(2_000), &mut store, Fault::None);
    b.claim(at(3_000), "b1", &key("k"), 1);
    b.settle(at(3_000), &mut store, Fault::None);
    match expected {
        Some(_) => assert_eq!(b.verdict("b1"), expected),
        None => assert!(matches!(b.verdict("b1"), Some(Verdict::Granted { .. }))),
    }
}

#[test]
fn old_read_is_renewed_before_another_hosts_claim_is_reported() {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::None);
    b.claim(at(100), "b1", &key("k"), 1);
    b.settle(at(100), &mut store, Fault::None);
    let end = End::Ran(outcome("done"));
    a.range.end(at(200), Change { id: "a1".into(), key: key("k").key, end });
    a.settle(at(1_000), &mut store, Fault::None);
    b.claim(at(2_000), "b2", &key("k"), 1);
    b.settle(at(2_000), &mut store, Fault::None);
    assert_eq!(b.verdict("b2"), Some(Verdict::Done(outcome("done"))));
}

#[test]
fn same_key_for_another_request_is_refused() {
    let (mut a, mut b, mut store) = pair(Outage::Refuse);
    a.claim(at(0), "a1", &key("k"), 1);
    a.settle(at(0), &mut store, Fault::None);
    b.claim(at(100), "b1", &key("k"), 2);
    b.settle(at(100), &mut store, Fault::None);
    assert_eq!(b.verdict("b1"), Some(Verdict::Refused(Refusal::Different)));
}

#[rstest]
#[case::now(0, Ok(()))]
#[case::oldest(-3_600_000, Ok(()))]
#[case::too_old(-3_600_001, Err(Refusal::Old))]
#[case::ahead(5_000, Ok(()))]
#[case::too_far_ahead(5_001, Err(Refusal::Ahead))]
fn key_is_accepted_near_its_own_time(#[case] offset: i64, #[case] expected: Result<(), Refusal>) {
    let wall = support::ORIGIN;
    let stamp = wall.checked_add_signed(offset);
    assert_eq!(Settings::default().check(wall, stamp), expected);
}

#[test]
fn forgotten_key_with_a_time_is_refused_and_one_without_runs() {
    let (mut a, _, mut store) = pair(Outage::Refuse);
    let old = stamped(0);
    a.claim(at(0), "a1", &old, 1);
    a.claim(at(0), "a2", &key("opaque"), 1);
    a.settle(at(0), &mut store, Fault::None);
    let later = at(4_000_000);
    a.claim(later, "other", &key("other"), 1);
    a.settle(later, &mut store, Fault::None);
    assert_eq!(store.document().entries.len(), 1, "entries past the retention are dropped");
    a.claim(later, "a3", &old, 1);
    a.claim(later, "a4", &key("opaque"), 1);
    a.settle(at(4_000_100), &mut store, Fault::None);
    assert_eq!(a.verdict("a3"), Some(Verdict::Refused(Refusal::Old)));
    assert!(
        matches!(a.verdict("a4"), Some(Verdict::Granted { .. })),
        "a key without a time is not recognised after the retention"
    );
}

#[test]
fn range_that_is_full_refuses_and_keeps_what_it_has() {
    let small = Settings { bytes: 700, ..settings(Outage::Refuse) };
    let mut a = Host::with(run("a"), small);
    let mut store = Store::default();
    for number in 0..5 {
        a.claim(at(number), &format!("a{number}"), &key(&format!("k{number}")), 1);
    }
    a.settle(at(10), &mut store, Fault::None);
    let refused = (0..5)
        .filter(|n| a.verdict(&format!("a{n}")) == Some(Verdict::Refused(Refusal::Full)))
        .count();
    assert_eq!((store.document().entries.len(), refused), (3, 2));
}

#[test]
fn bodies_go_before_keys_when_room_is_short() {
    let small = Settings { bytes: 2_500, ..settings(Outage::Refuse) };
    let mut a = Host::with(run("a"), small);
    let mut store = Store::default();
    for number in 0..4_u64 {
        let now = at(number * 1_000);
        let (id, key) = (format!("a{number}"), key(&format!("k{number}")));
        a.claim(now, &id, &key, 1);
        a.settle(now, &mut store, Fault::None);
        let end = End::Ran(outcome(&"x".repeat(1_000)));
        a.range.end(now, Change { id: id.as_str().into(), key: key.key, end });
        a.settle(at(number * 1_000 + 900), &mut store, Fault::None);
    }
    let document = store.document();
    let with_body = document.entries.values().filter(|entry| has_body(entry)).count();
    assert_eq!((document.entries.len(), with_body), (4, 1));
}

#[rstest]
#[case::plain("done")]
#[case::escaped("\"\\\n\u{1}\"")]
#[case::long(&"é\u{0}".repeat(600))]
fn estimated_size_is_no_less_than_the_json(#[case] body: &str) {
    let entry = Entry {
        id: "018f3c1e-7b1a-7c3e-9d2f-0123456789ab".into(),
        digest: u64::MAX,
        claimant: HostRun { host: "gulfport-hall-entry-17".into(), incarnation: u64::MAX },
        at: u64::MAX,
        state: State::Done(outcome(body)),
    };
    let mut document = Document::default();
    document.entries.insert(key("k").key, entry);
    let json = serde_json::to_string(&document).unwrap();
    assert!(json.len() <= document.bytes() + 64, "{} < {}", document.bytes(), json.len());
}

#[test]
fn holder_grants_recent_keys_from_memory_and_no_others() {
    let (mut a, _, mut store) = pair(Outage::Hold);
    a.range.renew(at(0));
    a.settle(at(1_000), &mut store, Fault::None);
    a.claim(at(2_000), "fresh", &stamped(2_000), 1);
    a.claim(at(2_000), "opaque", &key("k"), 1);
    a.claim(at(2_000), "old", &stamped(-300_000), 1);
    a.settle(at(2_000), &mut store, Fault::Down);
    assert!(matches!(a.verdict("fresh"), Some(Verdict::Granted { .. })));
    a.claim(at(2_500), "again", &stamped(2_000), 1);
    a.settle(at(5_000), &mut store, Fault::Down);
    assert_eq!(a.verdict("again"), Some(Verdict::Claimed { claimant: run("a") }));
    assert_eq!(a.verdict("opaque"), Some(Verdict::Refused(Refusal::Unread)));
    assert_eq!(a.verdict("old"), Some(Verdict::Refused(Refusal::Unread)));
    a.settle(at(9_000), &mut store, Fault::None);
    assert_eq!(store.document().entries.len(), 1);
}

#[rstest]
#[case::gone(Presence::Gone, 20_000)]
#[case::unknown(Presence::Unknown, 920_000)]
fn successor_refuses_what_the_holder_may_have_granted(
    #[case] presence: Presence,
    #[case] clear: u64,
) {
    let (mut a, mut b, mut store) = pair(Outage::Hold);
    a.range.renew(at(0));
    a.settle(at(1_000), &mut store, Fault::None);
    a.claim(at(2_000), "a1", &stamped(2_000), 1);
    a.settle(at(2_000), &mut store, Fault::Down);
    if presence == Presence::Gone {
        b.range.gone(run("a"));
    }
    b.claim(at(4_000), "b1", &stamped(2_000), 1);
    b.settle(at(4_000), &mut store, Fault::None);
    assert_eq!(b.verdict("b1"), Some(Verdict::Refused(Refusal::Unsure)));
    assert_eq!(Refusal::Unsure.ran(), Ran::MayHaveRun);
    b.claim(at(clear), "b2", &stamped(clear as i64), 1);
    b.settle(at(clear), &mut store, Fault::None);
    assert!(matches!(b.verdict("b2"), Some(Verdict::Granted { .. })));
}

#[test]
fn holder_that_leaves_as_planned_leaves_no_gap() {
    let (mut a, mut b, mut store) = pair(Outage::Hold);
    a.range.renew(at(0));
    a.settle(at(1_000), &mut store, Fault::None);
    a.range.leave(at(2_000));
    a.settle(at(3_000), &mut store, Fault::None);
    b.claim(at(4_000), "b1", &stamped(4_000), 1);
    b.settle(at(4_000), &mut store, Fault::None);
    assert!(matches!(b.verdict("b1"), Some(Verdict::Granted { .. })));
    assert_eq!(store.document().gaps, []);
}

#[test]
fn answer_that_nobody_waits_for_is_ignored() {
    let (mut a, _, _) = pair(Outage::Refuse);
    assert_eq!(a.range.read(at(0), Read::Absent), []);
    assert_eq!(a.range.wrote(at(0), Written::Done(1)), []);
}

fn pair(outage: Outage) -> (Host, Host, Store) {
    (Host::new(run("a"), outage), Host::new(run("b"), outage), Store::default())
}

fn run(host: &str) -> HostRun {
    HostRun { host: host.into(), incarnation: 1 }
}

fn outcome(body: &str) -> Outcome {
    let content_type = "application/json".to_owned();
    Outcome { status: 200, content_type, body: Body::Complete(body.to_owned()) }
}

fn has_body(entry: &Entry) -> bool {
    matches!(&entry.state, State::Done(Outcome { body: Body::Complete(_), .. }))
}
