//! Tests of which server a request goes to.

use policy::dispatch::{Change, Dispatcher, End, NotRun, RequestSpec, Ticket, Verdict};
use rstest::rstest;
use types::{
    prelude::*,
    routed::{Kind, Report, Server},
};

use crate::fixture::{at, generation, host, load, plain, report, request, sent, server};

#[rstest]
fn work_spreads_over_servers() {
    let mut host = plain(&["s1", "s2", "s3"]);
    let mut used: Vec<_> =
        (0..3).map(|n| sent(host.arrive(request(n, Kind::Idempotent, at(0)), at(0)))).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 3);
}

#[rstest]
fn what_peers_have_in_flight_counts_until_it_is_old() {
    let mut host = plain(&["s1", "s2"]);
    host.peer(&"b".into(), &[("s1".into(), None, 2, 0)], at(0));
    for n in 0..2 {
        assert_eq!(&*sent(host.arrive(request(n, Kind::Idempotent, at(0)), at(0))), "s2");
    }
    host.peer(&"b".into(), &[("s2".into(), None, 2, 0)], at(10));
    assert_eq!(&*sent(host.arrive(request(5, Kind::Idempotent, at(10)), at(10))), "s1");
    // Two slots of s1 are in use by now, and the peer's digest on s2 has expired.
    sent(host.arrive(request(6, Kind::Idempotent, at(10)), at(10)));
    (0..2).for_each(|n| host.ended(n, End::Completed, at(20)));
    host.pump(at(2_100));
    assert_eq!(&*sent(host.arrive(request(7, Kind::Idempotent, at(2_100)), at(2_100))), "s2");
}

#[rstest]
fn what_a_server_tells_counts() {
    let mut host = plain(&["s1", "s2"]);
    host.server_load(&"s1".into(), load(2, 4, 2), at(0));
    for n in 0..3 {
        assert_eq!(&*sent(host.arrive(request(n, Kind::Idempotent, at(1)), at(1))), "s2");
    }
}

#[rstest]
fn only_servers_that_hold_the_model_and_the_adapter_are_used() {
    let mut host = host();
    host.server(&server("s1", "a", &[("m1", &[])]), at(0));
    host.server(&server("s2", "b", &[("m1", &["x"]), ("m2", &[])]), at(0));
    let adapted = RequestSpec { adapter: Some("x".into()), ..generation(1, "m1", at(0)) };
    assert_eq!(&*sent(host.arrive(adapted, at(0))), "s2");
    assert_eq!(&*sent(host.arrive(generation(2, "m2", at(0)), at(0))), "s2");
    assert_eq!(&*sent(host.arrive(generation(3, "m1", at(0)), at(0))), "s1");
    let missing = host.arrive(generation(4, "m9", at(0)), at(0));
    assert_eq!(missing, Verdict::Missing { model: "m9".into(), adapter: None });
    assert_eq!(host.wanted(), [("app".into(), "m9".into(), 1)]);
}

#[rstest]
fn a_missing_model_is_served_as_soon_as_it_is_held() {
    let mut host = host();
    host.server(&server("s1", "a", &[]), at(0));
    let missing = host.arrive(generation(1, "m1", at(0)), at(0));
    assert!(matches!(missing, Verdict::Missing { .. }));
    host.model_loading(&"s1".into(), &"m1".into(), None, at(900));
    assert_eq!(host.arrive(generation(2, "m1", at(5)), at(5)), Verdict::Wait);
    assert_eq!(host.pump(at(800)), []);
    host.model_loaded(&"s1".into(), &"m1".into(), None, 1, at(900));
    // A report from before the end of the load does not remove the model.
    host.report(&"s1".into(), &report(0, &[]), at(950));
    let changes = host.pump(at(950));
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.verdict == Verdict::Send("s1".into())));
}

#[rstest]
fn a_server_that_says_it_holds_no_such_model_is_not_asked_again() {
    let mut host = host();
    host.server(&server("s1", "a", &[("m1", &[])]), at(0));
    sent(host.arrive(generation(1, "m1", at(0)), at(0)));
    host.ended(1, End::NotRun(NotRun::NotHeld), at(5));
    let next = host.arrive(generation(2, "m1", at(6)), at(6));
    assert!(matches!(next, Verdict::Missing { .. }));
    host.report(&"s1".into(), &report(0, &[("m1", &[])]), at(2_000));
    host.pump(at(2_000));
    assert_eq!(&*sent(host.arrive(generation(3, "m1", at(2_000)), at(2_000))), "s1");
}

fn adapted(ticket: Ticket, now: Moment) -> RequestSpec {
    RequestSpec { adapter: Some("x".into()), ..generation(ticket, "m1", now) }
}

/// A host whose only server has just refused a request because the adapter is not loaded.
fn refused() -> Dispatcher {
    let mut host = host();
    host.server(&server("s1", "a", &[("m1", &["x"])]), at(0));
    sent(host.arrive(adapted(1, at(0)), at(0)));
    host.ended(1, End::NotRun(NotRun::NotHeld), at(5));
    host
}

#[rstest]
fn news_after_a_refusal_count_when_its_time_is_over() {
    let mut host = refused();
    host.server(&server("s1", "a", &[("m1", &["x"])]), at(100));
    let next = host.arrive(adapted(2, at(300)), at(300));
    assert!(matches!(next, Verdict::Missing { .. }));
    assert_eq!(host.pump(at(400)), []);
    let changes = host.pump(at(505));
    assert_eq!(changes, [Change { ticket: 2, verdict: Verdict::Send("s1".into()) }]);
}

#[rstest]
fn news_that_are_newer_than_a_refusal_count_at_once() {
    let mut host = refused();
    host.server(&Server { sequence: 1, ..server("s1", "a", &[("m1", &["x"])]) }, at(100));
    assert_eq!(&*sent(host.arrive(adapted(2, at(100)), at(100))), "s1");
}

#[rstest]
fn news_of_what_is_being_dropped_count_when_the_order_is_old() {
    let mut host = host();
    host.server(&server("s1", "a", &[("m1", &[])]), at(0));
    host.model_unloading(&"s1".into(), &"m1".into(), None, 1, at(0));
    host.server(&Server { sequence: 1, ..server("s1", "a", &[("m1", &[])]) }, at(100));
    host.pump(at(2_900));
    let next = host.arrive(generation(1, "m1", at(2_900)), at(2_900));
    assert!(matches!(next, Verdict::Missing { .. }));
    assert_eq!(host.pump(at(3_000)).len(), 1);
}

#[rstest]
fn a_model_that_is_about_to_be_dropped_is_not_used_while_reports_still_have_it() {
    let mut host = host();
    host.server(&server("s1", "a", &[("m1", &[]), ("m2", &[])]), at(0));
    host.model_unloading(&"s1".into(), &"m1".into(), None, 1, at(0));
    host.report(&"s1".into(), &report(0, &[("m1", &[]), ("m2", &[])]), at(1_500));
    let next = host.arrive(generation(1, "m1", at(1_500)), at(1_500));
    assert!(matches!(next, Verdict::Missing { .. }));
    assert_eq!(host.missing(), [("app".into(), "m1".into(), None, 1)]);
    assert_eq!(&*sent(host.arrive(generation(2, "m2", at(1_500)), at(1_500))), "s1");
    // An order to load the model again ends the override.
    host.model_loading(&"s1".into(), &"m1".into(), None, at(1_900));
    host.report(&"s1".into(), &report(0, &[("m1", &[]), ("m2", &[])]), at(1_900));
    assert_eq!(host.pump(at(1_900)).len(), 1);
}

#[rstest]
fn a_prompt_goes_where_its_beginning_was_read() {
    let mut host = host();
    for id in ["s1", "s2", "s3", "s4"] {
        host.server(&server(id, "a", &[("m1", &[])]), at(0));
    }
    let prompt = |ticket, parts: &[(u64, u32)], now| RequestSpec {
        prompt: parts.to_vec(),
        input: parts.iter().map(|(_, tokens)| tokens).sum(),
        ..generation(ticket, "m1", now)
    };
    let first = sent(host.arrive(prompt(1, &[(7, 2000), (8, 100)], at(0)), at(0)));
    host.first_byte(1, at(60));
    host.ended(1, End::Completed, at(90));
    for ticket in 2..8 {
        let now = at(ticket * 200);
        let again = prompt(ticket, &[(7, 2000), (100 + ticket, 100)], now);
        assert_eq!(sent(host.arrive(again, now)), first);
        host.first_byte(ticket, now + at(60));
        host.ended(ticket, End::Completed, now + at(90));
    }
    // The same part after a different one belongs to a different prefix, so these requests spread
    // over the servers.
    let used: Vec<_> = (20..40)
        .map(|ticket| {
            let now = at(2_000 + ticket * 200);
            let other = prompt(ticket, &[(1000 + ticket, 50), (7, 2000)], now);
            let server = sent(host.arrive(other, now));
            host.ended(ticket, End::Completed, now + at(60));
            server
        })
        .collect();
    assert!(used.iter().any(|server| *server != first));
}

#[rstest]
fn the_own_zone_is_left_only_when_it_gains() {
    let mut host = host();
    host.server(&server("near", "a", &[]), at(0));
    host.server(&server("far", "b", &[]), at(0));
    for ticket in 0..10 {
        let now = at(ticket * 100);
        assert_eq!(&*sent(host.arrive(request(ticket, Kind::Idempotent, now), now)), "near");
        host.ended(ticket, End::Completed, now + at(30));
    }
    host.server_load(&"near".into(), load(2, 1, 2), at(2_000));
    assert_eq!(&*sent(host.arrive(request(20, Kind::Idempotent, at(2_000)), at(2_000))), "far");
}

#[rstest]
fn kv_memory_that_is_short_counts() {
    let mut host = host();
    host.server(&server("near", "a", &[("m1", &[])]), at(0));
    host.server(&server("far", "b", &[("m1", &[])]), at(0));
    let full =
        types::routed::Report { kv_used: 9_500, kv_total: 10_000, ..report(1, &[("m1", &[])]) };
    host.report(&"near".into(), &full, at(0));
    assert_eq!(&*sent(host.arrive(generation(1, "m1", at(1)), at(1))), "far");
}

#[rstest]
fn servers_that_leave_get_nothing_new() {
    let mut host = plain(&["s1", "s2", "s3"]);
    host.draining(&"s1".into());
    host.gone(&"s2".into(), at(0));
    // The server stays in draining although a late registration says that it is ready.
    host.server(&server("s1", "a", &[]), at(1));
    for n in 0..2 {
        assert_eq!(&*sent(host.arrive(request(n, Kind::Idempotent, at(1)), at(1))), "s3");
    }
    assert_eq!(host.address(&"s2".into()), None);
}

#[rstest]
fn a_server_that_was_said_to_leave_is_used_again_once_it_resumes() {
    let mut host = host();
    host.server(&server("s1", "a", &[("m1", &["a1"])]), at(0));
    host.draining(&"s1".into());
    assert!(!host.is_ready(&"s1".into()));
    host.resume(&"s1".into());
    assert!(host.is_ready(&"s1".into()));
    assert_eq!(&*sent(host.arrive(generation(1, "m1", at(1)), at(1))), "s1");
}

#[rstest]
fn servers_to_be_avoided_are() {
    let mut host = plain(&["s1", "s2"]);
    for n in 0..2 {
        let request =
            RequestSpec { avoid: vec!["s1".into()], ..request(n, Kind::Idempotent, at(0)) };
        assert_eq!(&*sent(host.arrive(request, at(0))), "s2");
    }
}

/// Hosts with the same information do not all choose the same server.
#[rstest]
fn ties_are_broken_by_the_request() {
    let ids: Vec<String> = (0..40).map(|n| format!("s{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut used: Vec<_> = (0..40)
        .map(|n| sent(plain(&ids).arrive(request(n, Kind::Idempotent, at(0)), at(0))))
        .collect();
    used.sort();
    used.dedup();
    assert!(15 < used.len(), "{} servers used", used.len());
}

/// What a host receives about a model on a server, with the sequence number of the server's orders.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Loaded(u64),
    Unloaded(u64),
    /// All models on the server, with this model or without.
    Listed(u64, bool),
}

fn notify(host: &mut Dispatcher, notice: Notice, now: Moment) {
    let (id, model) = ("s1".into(), "m1".into());
    match notice {
        Notice::Loaded(sequence) => host.model_loaded(&id, &model, None, sequence, now),
        Notice::Unloaded(sequence) => host.model_unloading(&id, &model, None, sequence, now),
        Notice::Listed(sequence, is_loaded) => {
            let models: &[(&str, &[&str])] = if is_loaded { &[("m1", &[])] } else { &[] };
            host.report(&id, &Report { sequence, ..report(0, models) }, now);
        }
    }
}

#[rstest]
#[case::dropped_last([Notice::Loaded(5), Notice::Unloaded(6)], false)]
#[case::dropped_last_but_told_first([Notice::Unloaded(6), Notice::Loaded(5)], false)]
#[case::held_last([Notice::Unloaded(5), Notice::Loaded(6)], true)]
#[case::held_last_but_told_first([Notice::Loaded(6), Notice::Unloaded(5)], true)]
#[case::an_old_notice_after_a_list_without([Notice::Listed(6, false), Notice::Loaded(5)], false)]
#[case::an_old_notice_after_a_list_with([Notice::Listed(6, true), Notice::Unloaded(5)], true)]
#[case::as_old_as_the_list([Notice::Listed(5, false), Notice::Loaded(5)], true)]
fn notices_count_by_the_servers_orders_whenever_they_come(
    #[case] notices: [Notice; 2],
    #[case] is_loaded: bool,
) {
    let mut host = host();
    host.server(&server("s1", "a", &[]), at(0));
    for (place, notice) in (1..).zip(notices) {
        notify(&mut host, notice, at(place * 10));
    }
    let verdict = host.arrive(generation(1, "m1", at(30)), at(30));
    assert_eq!(matches!(verdict, Verdict::Send(_)), is_loaded, "{verdict:?}");
}
