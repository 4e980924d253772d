//! Evidence that frees reserved memory, and evidence that doesn't.

use policy::ledger::{
    Claim, Ledger, MAX_ORDERS, Rejection, ReportPosition,
    held::Wait,
    replica::may_unload,
    settle::{Evidence, Settlement},
};
use rstest::rstest;
use types::{
    order::{Action, Order, Role},
    prelude::*,
    report::Load,
    resident::{Resident, State},
};

const CAPACITY: Mebibytes = 100;

fn unit(model: &str) -> Unit {
    Unit::Model { model: model.into(), version: "1".into() }
}

fn load(model: &str, memory: Mebibytes) -> Action {
    Action::Load { unit: unit(model), memory }
}

fn unload(model: &str) -> Action {
    Action::Unload { unit: unit(model) }
}

fn claim(id: &str) -> Claim {
    Claim { id: id.into(), sender: "host-1".into(), incarnation: 7, cause: "test".into() }
}

/// Returns a report of the first incarnation with these residents.
fn report(sequence: u64, residents: &[(&str, Mebibytes)]) -> Load {
    let resident =
        |&(model, memory): &(&str, _)| Resident { unit: unit(model), memory, state: State::Ready };
    Load {
        server: "engine-1".into(),
        incarnation: 1,
        sequence,
        age: Duration::ZERO,
        leaving: false,
        running: 0,
        waiting: 0,
        slots: 8,
        step: Duration::from_millis(5),
        prefill_rate: 1000,
        prompt_backlog: 0,
        capacity: CAPACITY,
        residents: residents.iter().map(resident).collect(),
        fence: 0,
        fenced: false,
        orders: Vec::new(),
        role: Role::Whole,
    }
}

fn reserve(ledger: &Ledger, id: &str, action: Action) -> (Ledger, Order) {
    ledger.reserve(claim(id), action).expect("the action fits")
}

#[test]
fn reservation_that_does_not_fit_says_what_is_short() {
    let ledger = Ledger::new(&report(1, &[("a", 60)]));
    let (ledger, _) = reserve(&ledger, "o1", load("b", 30));
    let rejection = ledger.reserve(claim("o2"), load("c", 30)).expect_err("only 10 MiB are free");
    let expected =
        Rejection::Memory { server: "engine-1".into(), needed: 30, free: 10, in_doubt: 30 };
    assert_eq!(rejection, expected);
}

#[test]
fn lost_load_may_be_ordered_again_at_no_cost() {
    let ledger = Ledger::new(&report(1, &[]));
    let (ledger, _) = reserve(&ledger, "o1", load("a", 80));
    let (ledger, _) = reserve(&ledger, "o2", load("a", 80));
    assert_eq!(ledger.usage().promised, 80);
}

#[test]
fn unload_frees_only_when_a_report_shows_it() {
    let ledger = Ledger::new(&report(1, &[("a", 80)]));
    let (ledger, _) = reserve(&ledger, "o1", unload("a"));
    assert_eq!(ledger.usage().free, 20);

    let unloading = Load { orders: vec!["o1".into()], ..report(2, &[("a", 80)]) };
    let ledger = ledger.settle(&[Evidence::Report(&unloading)]).ledger;
    assert!(ledger.orders.is_empty());
    assert_eq!(ledger.usage().free, 20, "the engine is still unloading");

    let ledger = ledger.settle(&[Evidence::Report(&report(3, &[]))]).ledger;
    assert_eq!(ledger.usage().free, 100);
}

#[test]
fn late_load_is_covered_after_its_unload_on_an_engine_that_ignores_fences() {
    let ledger = Ledger::new(&report(1, &[("a", 80)]));
    let (ledger, _) = reserve(&ledger, "late", load("a", 80));
    let (ledger, _) = reserve(&ledger, "successor", unload("a"));
    let gone = Load { orders: vec!["successor".into()], fence: 2, ..report(2, &[]) };
    let ledger = ledger.settle(&[Evidence::Report(&gone)]).ledger;
    assert_eq!(ledger.usage().in_doubt, 80);
    assert!(ledger.reserve(claim("o3"), load("b", 30)).is_err());

    let after = ReportPosition { incarnation: 1, sequence: 3 };
    let evidence = Evidence::NotInFlight { order: "late".into(), after };
    let ledger = ledger.settle(&[evidence]).ledger;
    assert_eq!(
        ledger.usage().in_doubt,
        80,
        "no report has been taken since the sender's statement"
    );
    let ledger = ledger.settle(&[Evidence::Report(&report(3, &[]))]).ledger;
    assert_eq!(ledger.usage().free, 100);
}

#[test]
fn superseded_load_leaves_room_beside_residents_but_counts_for_a_restart() {
    let fenced = |report: Load| Load { fenced: true, ..report };
    let ledger = Ledger::new(&fenced(report(1, &[("a", 50)])));
    let (ledger, _) = reserve(&ledger, "late", load("b", 40));
    let (ledger, _) = reserve(&ledger, "successor", unload("b"));
    let newer = Load { fence: 2, orders: vec!["successor".into()], ..report(2, &[("a", 50)]) };
    let ledger = ledger.settle(&[Evidence::Report(&fenced(newer))]).ledger;

    assert!(ledger.is_superseded(&ledger.orders[0]));
    assert!(
        ledger.reserve(claim("o3"), load("c", 50)).is_ok(),
        "the superseded load of b was counted beside a and c"
    );
    assert!(
        ledger.reserve(claim("o3"), load("c", 61)).is_err(),
        "b and c together exceed the memory after a restart"
    );

    let restarted = Load { incarnation: 2, ..report(1, &[]) };
    let ledger = ledger.settle(&[Evidence::Report(&fenced(restarted))]).ledger;
    assert!(
        !ledger.is_superseded(&ledger.orders[0]),
        "the new incarnation has seen no fencing token"
    );
    assert_eq!(ledger.usage().in_doubt, 40);
}

#[rstest]
#[case::older_report(1, 4)]
#[case::older_run(0, 9)]
fn report_that_comes_late_changes_nothing(#[case] incarnation: u64, #[case] sequence: u64) {
    let ledger = Ledger::new(&report(5, &[("a", 80)]));
    let late = Load { incarnation, ..report(sequence, &[]) };
    assert_eq!(ledger.settle(&[Evidence::Report(&late)]).ledger, ledger);
}

#[test]
fn report_of_another_server_changes_nothing() {
    let ledger = Ledger::new(&report(1, &[("a", 80)]));
    let other = Load { server: "engine-2".into(), ..report(2, &[]) };
    assert_eq!(ledger.settle(&[Evidence::Report(&other)]).ledger, ledger);
}

#[test]
fn order_that_was_never_taken_frees_at_once() {
    let ledger = Ledger::new(&report(1, &[]));
    let (ledger, order) = reserve(&ledger, "o1", load("a", 80));
    let outcome = ledger.settle(&[Evidence::NeverTaken { order: order.id }]);
    assert_eq!(outcome.settled[0].settlement, Settlement::NeverTaken);
    assert_eq!(outcome.ledger.usage().free, 100);
}

#[test]
fn only_orders_of_the_run_that_is_gone_are_quiet() {
    let ledger = Ledger::new(&report(1, &[]));
    let (ledger, _) = reserve(&ledger, "old", load("a", 10));
    let newer = Claim { incarnation: 8, ..claim("new") };
    let (ledger, _) = ledger.reserve(newer, load("b", 20)).expect("b fits");
    let gone =
        Evidence::SenderGone { sender: "host-1".into(), incarnation: 7, after: ledger.last_report };
    let outcome = ledger.settle(&[gone]);
    assert_eq!(&*outcome.settled[0].entry.order.id, "old");
    assert_eq!(outcome.ledger.usage().promised, 20);
}

#[test]
fn unsettled_orders_are_bounded() {
    let mut ledger = Ledger::new(&report(1, &[]));
    for number in 0..MAX_ORDERS {
        (ledger, _) = reserve(&ledger, &format!("o{number}"), load("a", 1));
    }
    let rejection = ledger.reserve(claim("more"), load("a", 1));
    assert!(matches!(rejection, Err(Rejection::Orders { open: MAX_ORDERS, .. })));
}

#[test]
fn operators_see_what_would_settle_an_order() {
    let ledger = Ledger::new(&report(1, &[("a", 30)]));
    let (ledger, _) = reserve(&ledger, "o1", load("b", 40));
    let held = ledger.explain_orders();
    assert_eq!((held[0].memory, held[0].awaited), (40, Wait::Arrival));
    assert!(held[0].settled_by.iter().any(|way| way.contains("host-1 (run 7) says")));

    let after = ReportPosition { incarnation: 1, sequence: 9 };
    let ledger = ledger.settle(&[Evidence::NotInFlight { order: "o1".into(), after }]).ledger;
    assert_eq!(ledger.explain_orders()[0].awaited, Wait::Report { after });
}

#[test]
fn two_unloads_at_once_do_not_count_on_each_other() {
    let here = Ledger::new(&report(1, &[("a", 30)]));
    let there = here.clone();
    assert!(may_unload(&unit("a"), [&there]));
    let (there, _) = reserve(&there, "o1", unload("a"));
    assert!(!may_unload(&unit("a"), [&there]));
}

#[test]
fn ledger_reads_back_as_it_was_written() {
    let ledger = Ledger::new(&report(1, &[("a", 30)]));
    let (ledger, _) = reserve(&ledger, "o1", load("b", 40));
    let text = serde_json::to_string(&ledger).expect("a ledger can be written as JSON");
    let read: Ledger = serde_json::from_str(&text).expect("the JSON of a ledger can be read");
    assert_eq!(read, ledger);
}
