//! Tests of the soak judge: for each promise, a record that breaks it and similar ones that keep
//! it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    server::{Fault as ServerFault, quota::Quota},
    soak::{
        judge::{Promise, judge},
        record::{
            Answer, Arrival, BrittleTime, Component, Declared, Disruption, Fall, HostRun, Leave,
            Order, Outcome, Poison, Record, Request, Run, Silence, Span,
        },
        schedule::{self, Fault},
    },
};
use types::routed::Kind;

const HOST_RUN: HostRun = HostRun { host: 0, start: 0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn span(from: u64, to: u64) -> Span {
    Span { from: ms(from), to: ms(to) }
}

fn answer(status: StatusCode, seal: Option<&str>, body: &str) -> Outcome {
    let (id, seal) = (Some("r1".into()), seal.map(str::to_owned));
    Outcome::Answered(Answer { status, id, seal, body: body.to_owned().into(), is_complete: true })
}

fn events(last: u64) -> String {
    (1..=last).map(|number| event(number, "app-1", "1")).collect()
}

fn event(number: u64, run: &str, software: &str) -> String {
    format!("id: {number}\ndata: token {number} of {run} by {software}\n\n")
}

/// Record of one request, sent 10 s after the start, that host 0 forwarded to `app-1` and answered.
fn served_record(kind: Kind) -> Record {
    let body = match kind {
        Kind::Stream => events(10),
        _ => r#"{"server":"app-1","request":"r1","path":"/pages/x","bytes":0}"#.into(),
    };
    let request = Request {
        id: "r1".into(),
        kind,
        resumable: false,
        resume: None,
        path: "/pages/x".into(),
        body_bytes: 0,
        key: None,
        poison: None,
        host_run: HOST_RUN,
        span: span(10_000, 10_100),
        deadline: ms(4_000),
        outcome: answer(StatusCode::OK, Some("app-1.r1"), &body),
    };
    let services = BTreeMap::from([("/pages/".to_owned(), ["app".to_owned()].into())]);
    Record {
        hosts: vec!["host-0".into(), "host-1".into()],
        requests: vec![request],
        runs: vec![run("app-1", 10_010, 10_090)],
        declared: vec![Declared { version: 3, at: ms(0), services, holders: None }],
        ..Record::default()
    }
}

fn run(server: &str, arrived_at: u64, ended_at: u64) -> Run {
    Run {
        id: "r1".into(),
        server: server.into(),
        service: "app".into(),
        path: "/pages/x".into(),
        body_bytes: 0,
        arrived_at: ms(arrived_at),
        ended_at: Some(ms(ended_at)),
        failure: None,
        is_corrupted: false,
        is_server_crash: false,
    }
}

fn outcome(record: &mut Record) -> &mut Outcome {
    &mut record.requests[0].outcome
}

fn change_answer(record: &mut Record, change: impl FnOnce(&mut Answer)) {
    if let Outcome::Answered(answer) = outcome(record) {
        change(answer);
    }
}

fn disruption(component: Component, from: u64, to: u64) -> Disruption {
    Disruption { component, what: "fault".into(), span: span(from, to) }
}

/// Adds a server that states a limit of 2 requests per second and receives 18 at once from host 0.
fn exceed_limit(record: &mut Record) {
    let arrivals = vec![("r1".into(), ms(15_000)); 18];
    let quota = Quota { arrivals, limits: vec![(ms(10_000), Some(2.0))] };
    record.quotas.push(("app-1".into(), quota));
}

/// Adds `requests` requests of host 0 to `app`, sent at `at`, each with `arrivals` arrivals, 1 ms
/// apart.
fn add_retries(record: &mut Record, at: u64, requests: usize, arrivals: usize) {
    for number in 0..requests {
        let mut request = record.requests[0].clone();
        (request.id, request.outcome) = (format!("{at}.{number}"), Outcome::CallerClosed);
        request.span = span(at, at + 500);
        let arrival = |nth| {
            let (id, service) = (request.id.clone(), "app".into());
            let at = ms(at + nth as u64);
            Arrival { id, service, at, customers: Vec::new(), has_key: false }
        };
        record.arrivals.extend((0..arrivals).map(arrival));
        record.requests.push(request);
    }
}

/// Adds poison requests that are sent at each of these times and crash a server each time.
fn add_crashes(record: &mut Record, poison: Poison, times: impl IntoIterator<Item = u64>) {
    for (number, at) in times.into_iter().enumerate() {
        let id = format!("c{number}");
        let mut request = record.requests[0].clone();
        (request.id, request.poison, request.outcome) = (id.clone(), Some(poison), Outcome::Closed);
        request.span = span(at, at + 20);
        record.requests.push(request);
        let server = format!("crashed-{number}");
        let run =
            Run { id, is_corrupted: true, is_server_crash: true, ..run(&server, at + 5, at + 10) };
        record.runs.push(run);
    }
}

/// Adds requests, at these times, that are answered with 502 as if they might have been executed.
fn add_refusals(record: &mut Record, times: impl IntoIterator<Item = u64>) {
    for (number, at) in times.into_iter().enumerate() {
        let mut request = record.requests[0].clone();
        request.id = format!("s{number}");
        let Outcome::Answered(answer) = &mut request.outcome else { continue };
        (answer.status, answer.seal, answer.id) = (StatusCode::BAD_GATEWAY, None, None);
        request.span = span(at, at + 20);
        record.requests.push(request);
    }
}

fn order(holder: &str, fence: u64, arrived_at: u64) -> Order {
    Order { server: "lm-1".into(), holder: holder.into(), fence, arrived_at: ms(arrived_at) }
}

fn orders(record: &mut Record, orders: [(&str, u64, u64); 2]) {
    record.orders =
        orders.map(|(holder, fence, arrived_at)| order(holder, fence, arrived_at)).into();
}

/// Adds a second declaration, which routes `/pages/` to another service.
fn move_route(record: &mut Record, at: u64) {
    let services = BTreeMap::from([("/pages/".to_owned(), ["other".to_owned()].into())]);
    record.declared.push(Declared { version: 5, at: ms(at), services, holders: None });
}

/// Adds an earlier request at the same host that was routed by the second declaration.
fn add_handled_request(record: &mut Record, at: u64) {
    let mut before = record.requests[0].clone();
    (before.id, before.outcome, before.span) = ("r0".into(), Outcome::CallerClosed, span(at, at));
    record.requests.push(before);
    let run = Run { id: "r0".into(), service: "other".into(), ..run("other-1", at, at) };
    record.runs.push(run);
}

fn add_leave(record: &mut Record, at: u64) {
    record.leaves.push(Leave { server: "app-1".into(), at: ms(at) });
}

/// Adds a departure of `app-1` while the store is away, and a second request to it, sent at `at`,
/// after the first one was answered at 10.1 s.
fn add_sent_after_notice(record: &mut Record, at: u64) {
    record.disruptions.push(disruption(Component::Store, 9_000, 14_000));
    add_leave(record, 9_500);
    let mut request = record.requests[0].clone();
    (request.id, request.outcome, request.span) =
        ("r2".into(), Outcome::CallerClosed, span(at, at + 100));
    record.requests.push(request);
    record.runs.push(Run { id: "r2".into(), ..run("app-1", at + 10, at + 90) });
}

/// Adds a fault and 100 requests long after it, the first `refused` of which are refused.
fn add_requests_after_fault(record: &mut Record, refused: usize) {
    record.disruptions.push(disruption(Component::Host(1), 1_000, 2_000));
    for number in 0..100 {
        let mut request = record.requests[0].clone();
        (request.id, request.span) = (format!("s{number}"), span(20_000, 20_100));
        request.outcome = answer(StatusCode::SERVICE_UNAVAILABLE, None, "");
        if refused <= number {
            request.outcome = answer(StatusCode::OK, Some(&format!("app-1.s{number}")), "");
            let text = format!(r#"{{"request":"s{number}","path":"/pages/x","bytes":0}}"#);
            if let Outcome::Answered(answer) = &mut request.outcome {
                answer.body = text.into();
            }
            record.runs.push(Run { id: request.id.clone(), ..run("app-1", 20_010, 20_020) });
        }
        if let Outcome::Answered(answer) = &mut request.outcome {
            answer.id = Some(request.id.clone());
        }
        record.requests.push(request);
    }
}

/// Adds a time in which the three servers of `app` are brittle, and this many crashes in it, made by
/// requests of host 0.
fn add_falls(record: &mut Record, falls: usize) {
    let span = span(10_000, 20_000);
    record.brittle.push(BrittleTime { service: "app".into(), servers: 3, span });
    for number in 0..falls {
        let (server, service) = (format!("app-{number}"), "app".into());
        let rejected = vec!["r1".into(); 4];
        record.falls.push(Fall { server, service, at: ms(15_000), rejected });
    }
}

/// Adds a partition of host 1 from all servers, from second 10 to second 20, with 100 requests at
/// each of the hosts, sent at `at`. The first `refused` requests at host 1 are refused.
fn add_partition(record: &mut Record, at: u64, refused: usize) {
    record.disruptions.push(disruption(Component::ServerLinks(1), 10_000, 20_000));
    for host in 0..2 {
        for number in 0..100 {
            let id = format!("p{host}.{number}");
            let mut request = record.requests[0].clone();
            (request.id, request.host_run.host, request.span) =
                (id.clone(), host, span(at, at + 100));
            request.outcome = match host == 1 && number < refused {
                true => answer(StatusCode::SERVICE_UNAVAILABLE, None, ""),
                false => {
                    record.runs.push(Run { id: id.clone(), ..run("app-1", at + 10, at + 20) });
                    let body = format!(r#"{{"request":"{id}","path":"/pages/x","bytes":0}}"#);
                    answer(StatusCode::OK, Some(&format!("app-1.{id}")), &body)
                }
            };
            if let Outcome::Answered(answer) = &mut request.outcome {
                answer.id = Some(id);
            }
            record.requests.push(request);
        }
    }
}

#[rstest]
#[case::as_it_should(Kind::Idempotent, |_: &mut Record| {})]
#[case::once(Kind::NonIdempotent, |_: &mut Record| {})]
#[case::a_stream(Kind::Stream, |_: &mut Record| {})]
#[case::two_runs_that_may_be(Kind::Idempotent, |r: &mut Record| r.runs.push(run("app-2", 10_010, 10_020)))]
#[case::goes_on_after_the_first_has_ended(Kind::Stream, |r: &mut Record| {
    r.requests[0].resumable = true;
    r.runs.push(run("app-2", 10_095, 10_099));
})]
#[case::refused(Kind::NonIdempotent, |r: &mut Record| {
    r.runs.clear();
    *outcome(r) = answer(StatusCode::SERVICE_UNAVAILABLE, None, "");
})]
#[case::a_servers_own_failure(Kind::NonIdempotent, |r: &mut Record| {
    r.runs[0].failure = Some(StatusCode::INTERNAL_SERVER_ERROR);
    *outcome(r) = answer(StatusCode::INTERNAL_SERVER_ERROR, Some("app-1.r1"), "");
})]
#[case::cut_and_looks_so(Kind::Stream, |r: &mut Record| change_answer(r, |answer| {
    (answer.body, answer.is_complete) = (events(4).into(), false);
}))]
#[case::within_the_drain_time_of_a_notice(Kind::Idempotent, |r: &mut Record| add_sent_after_notice(r, 11_900))]
#[case::frozen_after_a_notice(Kind::Idempotent, |r: &mut Record| {
    add_sent_after_notice(r, 12_500);
    r.disruptions.push(disruption(Component::Host(0), 10_500, 12_000));
})]
#[case::within_the_drain_time(Kind::Idempotent, |r: &mut Record| add_leave(r, 8_500))]
#[case::left_by_a_host_out_of_touch(Kind::Idempotent, |r: &mut Record| {
    add_leave(r, 4_000);
    r.disruptions.push(disruption(Component::Store, 6_000, 7_500));
})]
#[case::left_by_word_of_a_degraded_store(Kind::Idempotent, |r: &mut Record| {
    add_leave(r, 5_000);
    r.disruptions.push(disruption(Component::Store, 2_000, 3_000));
})]
#[case::hands_over(Kind::Idempotent, |r: &mut Record| orders(r, [("host-0", 4, 1_000), ("host-1", 5, 4_100)]))]
#[case::just_declared(Kind::Idempotent, |r: &mut Record| move_route(r, 9_000))]
#[case::declared_to_a_host_out_of_touch(Kind::Idempotent, |r: &mut Record| {
    move_route(r, 7_500);
    r.disruptions.push(disruption(Component::Store, 6_000, 7_100));
})]
#[case::shown_at_the_same_moment(Kind::Idempotent, |r: &mut Record| {
    move_route(r, 9_000);
    add_handled_request(r, 9_900);
})]
#[case::closed_before_it_was_passed_on(Kind::Idempotent, |r: &mut Record| {
    r.runs.clear();
    r.disruptions.push(disruption(Component::HostPlanned(0), 9_900, 18_900));
    *outcome(r) = Outcome::Closed;
})]
#[case::killed(Kind::Idempotent, |r: &mut Record| {
    r.disruptions.push(disruption(Component::Host(0), 10_050, 12_000));
    *outcome(r) = Outcome::Closed;
})]
#[case::presses_after_a_freeze(Kind::Idempotent, |r: &mut Record| {
    exceed_limit(r);
    r.disruptions.push(disruption(Component::Host(0), 11_000, 12_500));
})]
#[case::crashes_servers_while_that_is_new(Kind::Idempotent, |r: &mut Record| add_crashes(r, Poison::Request, (1..7).map(|turn| turn * 400)))]
#[case::crashes_servers_thrice_more(Kind::Idempotent, |r: &mut Record| add_crashes(r, Poison::Request, [100, 200, 300, 3_400, 3_500, 3_600]))]
#[case::crashes_servers_by_a_host_that_has_just_started(Kind::Idempotent, |r: &mut Record| {
    add_crashes(r, Poison::Request, [100, 200, 300, 3_400, 3_500, 3_600, 3_700, 3_800]);
    r.disruptions.push(disruption(Component::Host(0), 900, 1_000));
})]
#[case::crashes_servers_by_a_part_while_that_is_new(Kind::Idempotent, |r: &mut Record| add_crashes(r, Poison::Part, (1..12).map(|turn| turn * 300)))]
#[case::crashes_servers_by_a_part_thrice_more(Kind::Idempotent, |r: &mut Record| {
    add_crashes(r, Poison::Part, [100, 200, 300, 400, 500, 3_600, 3_700, 3_800]);
})]
#[case::refused_as_servers_crash(Kind::Idempotent, |r: &mut Record| {
    add_refusals(r, [100, 200, 300, 400]);
    r.disruptions.push(disruption(Component::Server("app-2".into()), 90, 9_000));
    r.disruptions.push(disruption(Component::Server("app-3".into()), 310, 9_000));
})]
#[case::recovers(Kind::Idempotent, |r: &mut Record| add_requests_after_fault(r, 9))]
#[case::two_falls(Kind::Idempotent, |r: &mut Record| add_falls(r, 2))]
#[case::falls_by_a_host_out_of_touch(Kind::Idempotent, |r: &mut Record| {
    add_falls(r, 3);
    r.disruptions.push(disruption(Component::Host(0), 13_000, 14_000));
})]
#[case::partitioned_and_served_two_thirds(Kind::Idempotent, |r: &mut Record| add_partition(r, 14_000, 33))]
#[case::partitioned_a_moment_ago(Kind::Idempotent, |r: &mut Record| add_partition(r, 12_900, 100))]
#[case::partitioned_and_back(Kind::Idempotent, |r: &mut Record| add_partition(r, 20_100, 50))]
#[case::partitioned_and_restarted(Kind::Idempotent, |r: &mut Record| {
    add_partition(r, 14_000, 100);
    r.disruptions.push(disruption(Component::Host(1), 11_000, 11_100));
})]
#[case::as_many_retries_as_are_allowed(Kind::Idempotent, |r: &mut Record| {
    add_retries(r, 15_000, 64, 2);
})]
#[case::retries_that_requests_of_the_window_before_pay(Kind::Idempotent, |r: &mut Record| {
    add_retries(r, 20_000, 100, 1);
    add_retries(r, 26_000, 30, 3);
})]
#[case::retries_a_window_apart(Kind::Idempotent, |r: &mut Record| {
    add_retries(r, 15_000, 50, 2);
    add_retries(r, 25_100, 50, 2);
})]
fn a_kept_promise_is_left_alone(#[case] kind: Kind, #[case] change: fn(&mut Record)) {
    let mut record = served_record(kind);
    change(&mut record);
    assert!(judge(&record).is_empty(), "{:#?}", judge(&record));
}

#[rstest]
#[case::run_twice(Kind::NonIdempotent, Promise::Twice, |r: &mut Record| r.runs.push(run("app-2", 10_095, 10_099)))]
#[case::a_stream_run_twice(Kind::Stream, Promise::Twice, |r: &mut Record| r.runs.push(run("app-2", 10_095, 10_099)))]
#[case::at_two_servers_at_once(Kind::Stream, Promise::Twice, |r: &mut Record| {
    r.requests[0].resumable = true;
    r.runs[0].ended_at = None;
    r.runs.push(run("app-2", 10_020, 10_099));
})]
#[case::refused_and_run(Kind::NonIdempotent, Promise::Refused, |r: &mut Record| {
    *outcome(r) = answer(StatusCode::SERVICE_UNAVAILABLE, None, "");
})]
#[case::anothers_answer(Kind::Idempotent, Promise::Mixed, |r: &mut Record| change_answer(r, |answer| answer.id = Some("r2".into())))]
#[case::no_seal(Kind::Idempotent, Promise::Mixed, |r: &mut Record| change_answer(r, |answer| answer.seal = None))]
#[case::a_strangers_seal(Kind::Idempotent, Promise::Mixed, |r: &mut Record| change_answer(r, |answer| answer.seal = Some("app-1.r2".into())))]
#[case::half_a_body(Kind::Idempotent, Promise::Mixed, |r: &mut Record| change_answer(r, |answer| answer.body = answer.body.slice(..20)))]
#[case::a_failure_made_well(Kind::Idempotent, Promise::Mixed, |r: &mut Record| {
    r.runs[0].failure = Some(StatusCode::INTERNAL_SERVER_ERROR);
})]
#[case::another_failure(Kind::Idempotent, Promise::Mixed, |r: &mut Record| {
    r.runs[0].failure = Some(StatusCode::INTERNAL_SERVER_ERROR);
    change_answer(r, |answer| answer.status = StatusCode::BAD_GATEWAY);
})]
#[case::a_stranger(Kind::Idempotent, Promise::Unasked, |r: &mut Record| r.runs.push(Run { id: "r9".into(), ..run("app-1", 1, 2) }))]
#[case::another_path(Kind::Idempotent, Promise::Unasked, |r: &mut Record| r.runs[0].path = "/pages/y".into())]
#[case::an_event_missing(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| {
    answer.body = events(10).replace(&event(4, "app-1", "1"), "").into();
}))]
#[case::an_event_twice(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| {
    (answer.body, answer.is_complete) = (format!("{}{}", events(4), events(1)).into(), false);
}))]
#[case::short(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| answer.body = events(9).into()))]
#[case::an_event_of_another_number(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| {
    answer.body = events(10).replace("token 4 of", "token 5 of").into();
}))]
#[case::more_than_an_event(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| {
    answer.body = events(10).replacen("\n\n", "\ndata: more\n\n", 1).into();
}))]
#[case::half_an_event_at_the_end(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| {
    answer.body = format!("{}id: 1", events(10)).into();
}))]
#[case::half_an_event_of_another_number(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| {
    (answer.body, answer.is_complete) = (format!("{}id: 7", events(4)).into(), false);
}))]
#[case::an_event_of_another_server(Kind::Stream, Promise::Mixed, |r: &mut Record| change_answer(r, |answer| {
    answer.body = events(10).replace("token 4 of app-1", "token 4 of app-2").into();
}))]
#[case::events_of_two_versions(Kind::Stream, Promise::Order, |r: &mut Record| change_answer(r, |answer| {
    answer.body = events(10).replace(&event(10, "app-1", "1"), &event(10, "app-1", "2")).into();
}))]
#[case::after_the_drain_time_of_a_notice(Kind::Idempotent, Promise::Drain, |r: &mut Record| add_sent_after_notice(r, 12_500))]
#[case::after_the_drain_time(Kind::Idempotent, Promise::Drain, |r: &mut Record| add_leave(r, 7_800))]
#[case::after_the_drain_time_and_an_outage(Kind::Idempotent, Promise::Drain, |r: &mut Record| {
    add_leave(r, 4_000);
    r.disruptions.push(disruption(Component::Store, 6_000, 7_000));
})]
#[case::two_holders_of_a_fence(Kind::Idempotent, Promise::One, |r: &mut Record| {
    orders(r, [("host-0", 4, 1_000), ("host-1", 4, 5_000)]);
})]
#[case::a_fence_that_falls(Kind::Idempotent, Promise::One, |r: &mut Record| {
    orders(r, [("host-0", 4, 1_000), ("host-1", 3, 5_000)]);
})]
#[case::turns_too_close(Kind::Idempotent, Promise::One, |r: &mut Record| {
    orders(r, [("host-0", 4, 1_000), ("host-1", 5, 3_900)]);
})]
#[case::too_much(Kind::Idempotent, Promise::Limit, |r: &mut Record| r.overloads.push(("lm-1".into(), ms(7))))]
#[case::late_in_force(Kind::Idempotent, Promise::Config, |r: &mut Record| move_route(r, 7_900))]
#[case::late_in_force_after_an_outage(Kind::Idempotent, Promise::Config, |r: &mut Record| {
    move_route(r, 7_500);
    r.disruptions.push(disruption(Component::Store, 4_000, 6_900));
})]
#[case::late_in_force_when_declared_in_an_outage(Kind::Idempotent, Promise::Config, |r: &mut Record| {
    move_route(r, 5_000);
    r.disruptions.push(disruption(Component::Store, 4_000, 6_900));
})]
#[case::backwards(Kind::Idempotent, Promise::Config, |r: &mut Record| {
    move_route(r, 9_000);
    add_handled_request(r, 9_700);
})]
#[case::never_declared(Kind::Idempotent, Promise::Config, |r: &mut Record| r.runs[0].service = "lm".into())]
#[case::not_found(Kind::Idempotent, Promise::Config, |r: &mut Record| {
    r.runs.clear();
    *outcome(r) = answer(StatusCode::NOT_FOUND, None, "");
})]
#[case::cut_by_a_stop(Kind::NonIdempotent, Promise::Lost, |r: &mut Record| {
    r.disruptions.push(disruption(Component::HostPlanned(0), 9_900, 18_900));
    *outcome(r) = Outcome::Closed;
})]
#[case::an_answer_cut_by_a_stop(Kind::Stream, Promise::Lost, |r: &mut Record| {
    r.disruptions.push(disruption(Component::HostPlanned(0), 9_900, 18_900));
    change_answer(r, |answer| (answer.body, answer.is_complete) = (events(4).into(), false));
})]
#[case::lost_in_calm(Kind::Idempotent, Promise::Lost, |r: &mut Record| {
    let (request, run) = (r.requests[0].clone(), r.runs[0].clone());
    for number in 2..=5 {
        let id = format!("r{number}");
        r.requests.push(Request { id: id.clone(), outcome: Outcome::Closed, ..request.clone() });
        r.runs.push(Run { id, ..run.clone() });
    }
})]
#[case::crashes_servers_by_a_part_again(Kind::Idempotent, Promise::Poison, |r: &mut Record| {
    add_crashes(r, Poison::Part, [100, 200, 300, 400, 500, 3_600, 3_700, 3_800, 3_900]);
})]
#[case::crashes_servers_again(Kind::Idempotent, Promise::Poison, |r: &mut Record| add_crashes(r, Poison::Request, [100, 200, 300, 3_400, 3_500, 3_600, 3_700]))]
#[case::refused_without_a_crash(Kind::Idempotent, Promise::Innocent, |r: &mut Record| add_refusals(r, [100, 200, 300, 400]))]
#[case::more_than_its_limit(Kind::Idempotent, Promise::Quota, exceed_limit)]
#[case::more_retries_than_are_allowed(Kind::Idempotent, Promise::Retries, |r: &mut Record| {
    add_retries(r, 15_000, 66, 2);
})]
#[case::more_retries_in_a_window_than_in_its_halves(Kind::Idempotent, Promise::Retries, |r: &mut Record| {
    add_retries(r, 15_000, 20, 3);
    add_retries(r, 24_500, 20, 3);
})]
#[case::retries_that_no_requests_pay(Kind::Idempotent, Promise::Retries, |r: &mut Record| {
    add_retries(r, 15_000, 100, 1);
    add_retries(r, 36_000, 20, 4);
})]
#[case::more_retries_whatever_troubles_the_hosts(Kind::Idempotent, Promise::Retries, |r: &mut Record| {
    add_retries(r, 15_000, 66, 2);
    for host in 0..2 {
        r.disruptions.push(disruption(Component::Host(host), 0, 60_000));
    }
    r.disruptions.push(disruption(Component::Store, 0, 60_000));
})]
#[case::does_not_recover(Kind::Idempotent, Promise::Recover, |r: &mut Record| add_requests_after_fault(r, 11))]
#[case::three_falls(Kind::Idempotent, Promise::Brittle, |r: &mut Record| add_falls(r, 3))]
#[case::partitioned_and_not_served(Kind::Idempotent, Promise::Partitioned, |r: &mut Record| add_partition(r, 13_100, 34))]
#[case::ends_by_itself(Kind::Idempotent, Promise::Fault, |r: &mut Record| r.exited.push(1))]
fn a_broken_promise_is_found(
    #[case] kind: Kind,
    #[case] promise: Promise,
    #[case] change: fn(&mut Record),
) {
    let mut record = served_record(kind);
    change(&mut record);
    let breaches = judge(&record);
    assert!(!breaches.is_empty(), "no breach was found");
    assert!(breaches.iter().all(|breach| breach.promise == promise), "{breaches:#?}");
}

/// The page on promises, whose table names the judge of each rule.
const PAGE: &str = include_str!("../../../docs/PROMISES.md");

#[test]
fn the_page_on_promises_names_every_judge_and_no_other() {
    let (_, table) = PAGE
        .split_once("## Which judge sees which rule")
        .expect("the page has the table of judges");
    let table = table.split("\n## ").next().unwrap_or_default();
    let rows = table.lines().filter(|line| line.starts_with('|')).skip(2);
    let judges = rows.filter_map(|row| row.split('|').nth(2)).map(str::trim);
    let named: BTreeSet<&str> = judges.filter(|judge| !judge.starts_with("none")).collect();
    let names = Promise::ALL.map(|promise| format!("`{promise:?}`"));
    assert_eq!(named, names.iter().map(String::as_str).collect());
}

#[test]
fn a_schedule_is_its_seeds() {
    let draw = |seed| {
        let drawn = schedule::draw(seed, 4, Duration::from_secs(60), Duration::from_secs(16));
        serde_json::to_string(&drawn).unwrap()
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

/// Record of a request that ended with an error while its server was silent.
fn record_with_silence(ended_at: u64, status: StatusCode) -> Record {
    let mut record = served_record(Kind::Idempotent);
    record.requests[0].span = span(10_000, ended_at);
    record.requests[0].outcome = answer(status, None, "");
    record.runs = vec![run("app-1", 10_010, ended_at)];
    record.silences = vec![Silence {
        server: "app-1".into(),
        service: "app".into(),
        address: ([127, 0, 0, 1], 1).into(),
        span: span(10_020, 11_200),
    }];
    record
}

#[rstest]
#[case::early(record_with_silence(11_000, StatusCode::BAD_GATEWAY), true)]
#[case::little_time_left(record_with_silence(13_900, StatusCode::BAD_GATEWAY), false)]
#[case::rejected(record_with_silence(11_000, StatusCode::SERVICE_UNAVAILABLE), false)]
fn a_request_that_ends_early_at_a_silent_server_is_lost(
    #[case] record: Record,
    #[case] is_lost: bool,
) {
    let has_lost = judge(&record).iter().any(|breach| breach.promise == Promise::Lost);
    assert_eq!(has_lost, is_lost);
}

#[test]
fn a_request_that_met_a_crash_in_a_silence_is_not_judged() {
    let mut record = record_with_silence(11_000, StatusCode::BAD_GATEWAY);
    let component = Component::Server("app-2.0".into());
    let crash = Disruption { component, what: "crashed".into(), span: span(10_500, 12_000) };
    record.disruptions.push(crash);
    assert!(judge(&record).iter().all(|breach| breach.promise != Promise::Lost));
}

/// Record of a stream that may be resumed, which paused at `app-1` and was broken off by `app-2` 1 s
/// after its start, in the middle of its third event.
fn record_of_cut_stream() -> Record {
    let mut record = served_record(Kind::Stream);
    record.requests[0].resumable = true;
    record.requests[0].span = span(10_000, 11_000);
    let body = events(2);
    change_answer(&mut record, |answer| {
        (answer.is_complete, answer.body) = (false, body.into());
    });
    let broken = Run { is_corrupted: true, ..run("app-2", 10_900, 10_950) };
    record.runs = vec![run("app-1", 10_010, 10_980), broken];
    record.disruptions = vec![disruption(Component::Server("app-2".into()), 10_500, 12_000)];
    record
}

// Guards against a judge that excuses the end of a stream because a server other than the sound one
// was disrupted.
#[rstest]
#[case::beside_a_server_that_breaks_off(|_: &mut Record| {}, true)]
#[case::beside_a_server_that_breaks_off_in_a_silence(|record: &mut Record| add_silence(record, "app-1"), true)]
#[case::while_the_sound_server_rejects(|record: &mut Record| add_silence(record, "app-2"), false)]
#[case::little_time_left(|record: &mut Record| record.requests[0].span.to = ms(13_900), false)]
#[case::not_resumable(|record: &mut Record| record.requests[0].resumable = false, false)]
#[case::complete(|record: &mut Record| change_answer(record, |answer| answer.is_complete = true), false)]
#[case::no_sound_server(|record: &mut Record| record.runs[0].is_corrupted = true, false)]
#[case::crash(|record: &mut Record| disrupt(record, Component::Server("app-1".into())), false)]
#[case::freeze(|record: &mut Record| disrupt(record, Component::Host(0)), false)]
#[case::partition(|record: &mut Record| disrupt(record, Component::ServerLinks(0)), false)]
#[case::freeze_of_another_host(|record: &mut Record| disrupt(record, Component::Host(1)), true)]
#[case::store(|record: &mut Record| disrupt(record, Component::Store), true)]
fn a_stream_that_ends_early_beside_a_sound_server_is_lost(
    #[case] change: fn(&mut Record),
    #[case] is_lost: bool,
) {
    let mut record = record_of_cut_stream();
    change(&mut record);
    let breaches = judge(&record);
    let has_lost = breaches.iter().any(|breach| breach.promise == Promise::Lost);
    assert_eq!(has_lost, is_lost, "{breaches:?}");
}

fn disrupt(record: &mut Record, component: Component) {
    record.disruptions.push(disruption(component, 10_500, 12_000));
}

fn add_silence(record: &mut Record, server: &str) {
    record.silences.push(Silence {
        server: server.into(),
        service: "app".into(),
        address: ([127, 0, 0, 1], 1).into(),
        span: span(10_020, 11_200),
    });
}

// Guards against a soak in which sound servers are silent beside rejections only.
#[test]
fn servers_are_silent_beside_others_that_break_off_streams() {
    let length = (Duration::from_secs(60), Duration::from_secs(16));
    let drawn = (1..20).flat_map(|seed| schedule::draw(seed, 4, length.0, length.1));
    let others: BTreeSet<bool> = drawn
        .filter_map(|planned| match planned.fault {
            Fault::Silence(_, fault) => Some(matches!(fault, ServerFault::Broken { .. })),
            _ => None,
        })
        .collect();
    assert_eq!(others, [false, true].into());
}
