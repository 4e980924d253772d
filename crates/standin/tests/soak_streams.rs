//! Tests of the soak judge: streams that their callers take up when they broke.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    soak::{
        judge::{Promise, judge},
        record::{Answer, Component, Disruption, HostRun, Outcome, Record, Request, Run, Span},
    },
    stream::{Attempt, Event, Stream},
};
use tokio::time::Instant;
use types::routed::Kind;

const PATH: &str = "/draft/x";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn span(from: u64, to: u64) -> Span {
    Span { from: ms(from), to: ms(to) }
}

fn event(number: u64, run: &str) -> String {
    format!("id: {number}\ndata: token {number} of {run} by 1\n\n")
}

fn request(id: &str, resume: Option<u64>, outcome: Outcome) -> Request {
    Request {
        id: id.into(),
        kind: Kind::Stream,
        resumable: true,
        resume,
        path: PATH.into(),
        body_bytes: 0,
        key: None,
        poison: None,
        host_run: HostRun { host: 0, start: 0 },
        span: span(10_000, 10_100),
        deadline: ms(4_000),
        outcome,
    }
}

fn run(id: &str, server: &str) -> Run {
    Run {
        id: id.into(),
        server: server.into(),
        service: "lm".into(),
        path: PATH.into(),
        body_bytes: 0,
        arrived_at: ms(10_010),
        ended_at: Some(ms(10_090)),
        failure: None,
        is_corrupted: false,
        is_server_crash: false,
    }
}

fn answer(id: &str, server: &str, body: &str, is_complete: bool) -> Answer {
    let seal = Some(format!("{server}.{id}"));
    let body = body.to_owned().into();
    Answer { status: StatusCode::OK, id: Some(id.into()), seal, body, is_complete }
}

/// Record of a stream that its caller broke off after four events, and took up with `resumed`.
fn resumed_record(resumed: &str, is_complete: bool) -> Record {
    let begun: String = (1..=4).map(|number| event(number, "lm-1")).collect();
    let first = Outcome::BrokenOff(answer("r1", "lm-1", &begun, false));
    let second = Outcome::Answered(answer("r2", "lm-2", resumed, is_complete));
    Record {
        hosts: vec!["host-0".into(), "host-1".into()],
        requests: vec![request("r1", None, first), request("r2", Some(4), second)],
        // A sound server of a stream that ends early would make it a lost one.
        runs: vec![run("r1", "lm-1"), Run { is_corrupted: !is_complete, ..run("r2", "lm-2") }],
        ..Record::default()
    }
}

fn events_from(first: u64, last: u64) -> String {
    (first..=last).map(|number| event(number, "lm-2")).collect()
}

#[rstest]
#[case::to_the_end(&events_from(5, 10), true, None)]
#[case::cut_again(&events_from(5, 7), false, None)]
#[case::no_event_and_cut("", false, None)]
#[case::from_the_first_on(&events_from(1, 10), true, Some(Promise::Order))]
#[case::an_event_twice(&events_from(4, 10), true, Some(Promise::Order))]
#[case::an_event_missing(&events_from(6, 10), true, Some(Promise::Order))]
#[case::short(&events_from(5, 9), true, Some(Promise::Order))]
fn a_stream_that_is_taken_up_begins_after_the_last_event(
    #[case] resumed: &str,
    #[case] is_complete: bool,
    #[case] expected: Option<Promise>,
) {
    let breaches = judge(&resumed_record(resumed, is_complete));
    let promises: Vec<Promise> = breaches.iter().map(|breach| breach.promise).collect();
    assert_eq!(promises, Vec::from_iter(expected), "{breaches:#?}");
}

/// Adds streams that broke after four events and were taken up, at a host in contact, of which
/// these many went on. Two servers of version 1 serve all the time, and one of version 2.
fn add_streams(record: &mut Record, going_on: usize, all: usize) {
    let servers = [("lm-1", "1"), ("lm-2", "1"), ("lm-3", "2")];
    let software =
        |(id, version): (&str, &str)| (id.to_owned(), version.to_owned(), span(0, 60_000));
    record.software = servers.map(software).into();
    for number in 0..all {
        let attempt = |id: &str, resumed, events: std::ops::Range<u64>, status| Attempt {
            id: id.into(),
            host: 0,
            resumed,
            sent_at: Instant::now(),
            ended_at: Instant::now(),
            status: Some(status),
            events: Some(events.map(stream_event).collect()),
            is_complete: false,
        };
        let (first, second) = (format!("f{number}"), format!("s{number}"));
        let second = match number < going_on {
            true => attempt(&second, Some(4), 5..8, StatusCode::OK),
            false => attempt(&second, Some(4), 5..5, StatusCode::SERVICE_UNAVAILABLE),
        };
        let attempts = vec![attempt(&first, None, 1..5, StatusCode::OK), second];
        for attempt in &attempts {
            record.requests.push(request(&attempt.id, attempt.resumed, Outcome::CallerClosed));
        }
        record.streams.push(Stream { attempts });
    }
}

/// Disrupts a host shortly before the streams.
fn disrupt(record: &mut Record, host: usize) {
    let (component, what) = (Component::Host(host), "fault".into());
    record.disruptions.push(Disruption { component, what, span: span(9_000, 9_500) });
}

fn stream_event(number: u64) -> Event {
    Event { number, software: "1".into(), run: "lm-1".into() }
}

#[rstest]
#[case::half(20, 40, |_: &mut Record| {}, &[])]
#[case::less_than_half(19, 40, |_: &mut Record| {}, &[Promise::Lost])]
#[case::few(0, 10, |_: &mut Record| {}, &[])]
#[case::one_server_of_the_version(0, 40, |r: &mut Record| { r.software.remove(0); }, &[])]
#[case::host_out_of_contact(0, 40, |r: &mut Record| disrupt(r, 0), &[])]
#[case::another_host_out_of_contact(0, 40, |r: &mut Record| disrupt(r, 1), &[Promise::Lost])]
#[case::joined(40, 40, |r: &mut Record| {
    let event = &mut r.streams[7].attempts[1].events.as_mut().unwrap()[0];
    event.software = "2".into();
}, &[Promise::Order])]
fn streams_that_are_taken_up_go_on(
    #[case] going_on: usize,
    #[case] all: usize,
    #[case] change: fn(&mut Record),
    #[case] expected: &[Promise],
) {
    let mut record = Record::default();
    add_streams(&mut record, going_on, all);
    change(&mut record);
    let breaches = judge(&record);
    let promises: Vec<Promise> = breaches.iter().map(|breach| breach.promise).collect();
    assert_eq!(promises, expected, "{breaches:#?}");
}
