//! Tests of the soak judge's rule on customers: records that break it, and similar ones that keep
//! it.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::soak::{
    customers::Holders,
    judge::{Promise, judge},
    record::{
        Answer, Arrival, Component, Declared, Disruption, HostRun, Outcome, Record, Request, Run,
        Span,
    },
};
use types::routed::Kind;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn declared(version: u64, at: u64, held: &[(&str, &str)]) -> Declared {
    let services = [("/pages/".to_owned(), ["app".to_owned()].into())].into();
    Declared { version, at: ms(at), services, holders: Some(Holders::of(held)) }
}

/// Record of one request, sent 10 s after the start with a key that a customer holds. The key moves
/// to another customer at `moved_at`.
fn served_record(moved_at: u64) -> Record {
    let request = Request {
        id: "r1".into(),
        kind: Kind::Idempotent,
        resumable: false,
        resume: None,
        path: "/pages/x".into(),
        body_bytes: 0,
        key: Some("k1".into()),
        poison: None,
        host_run: HostRun { host: 0, start: 0 },
        span: Span { from: ms(10_000), to: ms(10_100) },
        deadline: ms(4_000),
        outcome: Outcome::CallerClosed,
    };
    let run = Run {
        id: "r1".into(),
        server: "app-1".into(),
        service: "app".into(),
        path: "/pages/x".into(),
        body_bytes: 0,
        arrived_at: ms(10_010),
        ended_at: Some(ms(10_090)),
        failure: None,
        is_corrupted: false,
        is_server_crash: false,
    };
    let (id, service) = ("r1".into(), "app".into());
    let customers = vec!["mill".into()];
    let arrival = Arrival { id, service, at: ms(10_010), customers, has_key: false };
    Record {
        hosts: vec!["host-0".into()],
        requests: vec![request],
        runs: vec![run],
        arrivals: vec![arrival],
        declared: vec![
            declared(3, 0, &[("k1", "mill"), ("k2", "quarry")]),
            declared(4, moved_at, &[("k1", "quarry"), ("k2", "quarry")]),
        ],
        ..Record::default()
    }
}

fn refuse(record: &mut Record) {
    record.runs.clear();
    record.arrivals.clear();
    record.requests[0].outcome = Outcome::Answered(Answer {
        status: StatusCode::UNAUTHORIZED,
        id: None,
        seal: None,
        body: "".into(),
        is_complete: true,
    });
}

fn remove(record: &mut Record) {
    let at = record.declared[1].at;
    record.declared[1] = Declared { at, ..declared(4, 0, &[("k2", "quarry")]) };
}

fn store_was_away(record: &mut Record) {
    let span = Span { from: ms(6_000), to: ms(9_900) };
    record.disruptions.push(Disruption { component: Component::Store, what: "fault".into(), span });
}

#[rstest]
#[case::before_the_move(30_000, |_: &mut Record| {})]
#[case::just_after_the_move(9_000, |_: &mut Record| {})]
#[case::new_holder_just_after_the_move(9_000, |r: &mut Record| r.arrivals[0].customers = vec!["quarry".into()])]
#[case::new_holder_long_after_the_move(3_000, |r: &mut Record| r.arrivals[0].customers = vec!["quarry".into()])]
#[case::moved_while_out_of_touch(6_000, store_was_away)]
#[case::just_removed(9_000, remove)]
#[case::refused_as_just_removed(9_000, |r: &mut Record| {
    remove(r);
    refuse(r);
})]
#[case::refused_without_a_key(30_000, |r: &mut Record| {
    r.requests[0].key = None;
    refuse(r);
})]
#[case::refused_with_an_unknown_key(30_000, |r: &mut Record| {
    r.requests[0].key = Some("k9".into());
    refuse(r);
})]
#[case::nobody_is_identified(30_000, |r: &mut Record| {
    r.declared.iter_mut().for_each(|declared| declared.holders = None);
    r.arrivals[0].has_key = true;
})]
fn what_the_holders_allow_is_left_alone(#[case] moved_at: u64, #[case] change: fn(&mut Record)) {
    let mut record = served_record(moved_at);
    change(&mut record);
    assert!(judge(&record).is_empty(), "{:#?}", judge(&record));
}

#[rstest]
#[case::another_customer(30_000, |r: &mut Record| r.arrivals[0].customers = vec!["quarry".into()])]
#[case::a_customer_that_is_not_declared(30_000, |r: &mut Record| r.arrivals[0].customers = vec!["x".into()])]
#[case::no_customer(30_000, |r: &mut Record| r.arrivals[0].customers.clear())]
#[case::twice(30_000, |r: &mut Record| r.arrivals[0].customers = vec!["mill".into(); 2])]
#[case::the_key_itself(30_000, |r: &mut Record| r.arrivals[0].has_key = true)]
#[case::old_holder_long_after_the_move(7_000, |_: &mut Record| {})]
#[case::long_removed(7_000, remove)]
#[case::without_a_key(30_000, |r: &mut Record| r.requests[0].key = None)]
#[case::never_held(30_000, |r: &mut Record| r.requests[0].key = Some("k9".into()))]
#[case::refused_though_held(30_000, refuse)]
#[case::refused_though_moved(9_000, refuse)]
fn a_request_for_another_than_the_holder_is_found(
    #[case] moved_at: u64,
    #[case] change: fn(&mut Record),
) {
    let mut record = served_record(moved_at);
    change(&mut record);
    let breaches = judge(&record);
    assert_eq!(breaches.len(), 1, "{breaches:#?}");
    assert_eq!(breaches[0].promise, Promise::Identity);
}
