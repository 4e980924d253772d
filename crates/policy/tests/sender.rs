//! Evidence of senders about their orders, and senders that count as gone.

use policy::ledger::{
    Ledger, ReportPosition,
    absence::{GoneSenders, Times},
    sender::{Sender, TimedReport},
    settle::Evidence,
};
use rstest::rstest;
use types::{
    host::{Entry, List, ListState},
    order::{Ack, Action, Role},
    prelude::*,
    report::Load,
};

const LINGER: Duration = Duration::from_secs(120);
const LAG: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

fn load(sequence: u64, age: u64) -> Load {
    Load {
        server: "engine-1".into(),
        incarnation: 1,
        sequence,
        age: at(age),
        leaving: false,
        running: 0,
        waiting: 0,
        slots: 8,
        step: Duration::from_millis(5),
        prefill_rate: 1000,
        prompt_backlog: 0,
        capacity: 100,
        residents: Vec::new(),
        fence: 0,
        fenced: false,
        orders: Vec::new(),
        role: Role::Whole,
    }
}

fn report(requested_at: u64, age: u64) -> TimedReport {
    TimedReport { requested_at: at(requested_at), load: load(5, age) }
}

fn sender(incarnation: u64) -> Sender {
    Sender::new("host-1".into(), incarnation, LINGER)
}

/// Ledger with one order of this sender.
fn reserved(sender: &mut Sender) -> (Ledger, order::Id) {
    let unit = Unit::Model { model: "a".into(), version: "1".into() };
    let claim = sender.claim("test".into());
    let reserved = Ledger::new(&load(1, 0)).reserve(claim, Action::Load { unit, memory: 10 });
    let (ledger, order) = reserved.expect("the order fits into the free memory");
    (ledger, order.id)
}

#[test]
fn order_in_hand_or_in_flight_gets_no_word() {
    let mut sender = sender(1);
    let (ledger, id) = reserved(&mut sender);
    assert!(sender.evidence(&ledger, Some(&report(9, 0))).is_empty());
    sender.mark_sent(&id);
    assert!(sender.evidence(&ledger, Some(&report(9, 0))).is_empty());
}

#[test]
fn accepted_order_is_quiet_by_a_report_taken_afterwards_only() {
    let mut sender = sender(1);
    let (ledger, id) = reserved(&mut sender);
    sender.mark_sent(&id);
    sender.mark_answered(at(20), &id, &Ack::Accepted);
    assert!(
        sender.evidence(&ledger, Some(&report(25, 6))).is_empty(),
        "the report was taken at 19 s, before the answer"
    );
    let evidence = sender.evidence(&ledger, Some(&report(25, 4)));
    let after = ReportPosition { incarnation: 1, sequence: 5 };
    assert!(
        matches!(&evidence[..], [Evidence::NotInFlight { after: named, .. }] if *named == after)
    );
}

#[test]
fn broken_exchange_is_in_doubt_until_the_linger_time_has_passed() {
    let mut sender = sender(1);
    let (ledger, id) = reserved(&mut sender);
    sender.mark_sent(&id);
    sender.mark_unanswered(at(20), &id);
    assert!(sender.evidence(&ledger, Some(&report(139, 0))).is_empty());
    assert!(!sender.wants_report(at(139), &ledger));
    assert!(sender.wants_report(at(141), &ledger));
    assert_eq!(sender.evidence(&ledger, Some(&report(141, 0))).len(), 1);
}

#[rstest]
#[case::refused(Ack::Refused { reason: "full".into() })]
#[case::stale(Ack::Stale { highest: 9 })]
fn refused_order_never_ran(#[case] ack: Ack) {
    let mut sender = sender(1);
    let (ledger, id) = reserved(&mut sender);
    sender.mark_sent(&id);
    sender.mark_answered(at(20), &id, &ack);
    assert!(matches!(&sender.evidence(&ledger, None)[..], [Evidence::NeverTaken { .. }]));
}

#[test]
fn own_order_that_is_not_known_was_never_sent() {
    let (ledger, id) = reserved(&mut sender(1));
    let evidence = sender(1).evidence(&ledger, None);
    assert!(matches!(&evidence[..], [Evidence::NeverTaken { order }] if *order == id));
    assert!(
        sender(2).evidence(&ledger, None).is_empty(),
        "an order of another incarnation is not its own"
    );
}

fn list(hosts: &[&str]) -> List {
    let entry = |id: &&str| {
        let address = "127.0.0.1:1".parse().expect("an address");
        let zone = "zone".into();
        let host =
            Host { id: (*id).into(), zone, callers: address, peers: address, operators: address };
        Entry { host, state: ListState::Live }
    };
    List { hosts: hosts.iter().map(entry).collect(), servers: Vec::new() }
}

fn gone_senders() -> GoneSenders {
    GoneSenders::new(Times { list_lag: LAG, linger: LINGER })
}

#[test]
fn listed_sender_is_never_gone_however_silent() {
    let mut gone_senders = gone_senders();
    let host: host::Id = "host-1".into();
    for time in 0..100 {
        gone_senders.observe_list(at(100 * time), &list(&["host-1"]), [&host]);
    }
    assert_eq!(gone_senders.gone_since(&host, 1), None);
}

#[test]
fn unlisted_sender_is_gone_after_the_lists_lag_and_the_linger_time() {
    let mut gone_senders = gone_senders();
    let host: host::Id = "host-1".into();
    gone_senders.observe_list(at(100), &list(&[]), [&host]);
    assert_eq!(gone_senders.gone_since(&host, 1), None, "no later list has confirmed it");
    gone_senders.observe_list(at(109), &list(&[]), [&host]);
    assert_eq!(gone_senders.gone_since(&host, 1), None);
    gone_senders.observe_list(at(110), &list(&[]), [&host]);
    assert_eq!(gone_senders.gone_since(&host, 1), Some(at(110) + LINGER));
}

#[test]
fn sender_that_is_listed_again_starts_its_absence_anew() {
    let mut gone_senders = gone_senders();
    let host: host::Id = "host-1".into();
    gone_senders.observe_list(at(100), &list(&[]), [&host]);
    gone_senders.observe_list(at(105), &list(&["host-1"]), [&host]);
    gone_senders.observe_list(at(106), &list(&[]), [&host]);
    gone_senders.observe_list(at(112), &list(&[]), [&host]);
    assert_eq!(gone_senders.gone_since(&host, 1), None);
}

#[test]
fn earlier_run_is_gone_once_a_later_one_is_known() {
    let mut gone_senders = gone_senders();
    let host: host::Id = "host-1".into();
    gone_senders.observe_run(at(50), &host, 2);
    assert_eq!(gone_senders.gone_since(&host, 1), Some(at(50) + LINGER));
    assert_eq!(gone_senders.gone_since(&host, 2), None);
    let (ledger, _) = reserved(&mut sender(1));
    assert!(gone_senders.evidence(&ledger, &report(170, 0)).is_empty());
    assert_eq!(gone_senders.evidence(&ledger, &report(171, 0)).len(), 1);
}
