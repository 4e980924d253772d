//! Cost of a request's story, and of the same line as key-value pairs of `log`.
//!
//! The queue has very high limits and its writer discards the lines, so that only the cost for the
//! caller is measured.

use std::{hint::black_box, io, sync::Arc, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use log::{Level, LevelFilter, Log, Record, kv};
use observe::{
    Clock,
    log::{Bounds, Lines, RateLimit},
    story::{Arrival, Attempt, Belief, End, Logger, Outcome, Output, Source, Step},
};
use types::{request::Ran, routed::Kind};

const BOUNDS: Bounds = Bounds {
    capacity: 256 * 1024 * 1024,
    rate_limit: RateLimit { lines: usize::MAX / 2, bytes: usize::MAX / 2 },
    pause: Duration::from_millis(1),
};

fn request(logger: &Logger, outcome: Outcome) {
    let mut story = logger.request("5b0e1c9a77d2f064".into());
    story.record(Step::Arrived(Arrival {
        route: "letters".into(),
        version: 12,
        model: Some("carta".into()),
        adapter: None,
        customer: None,
        repeat: Kind::Stream,
        deadline: Duration::from_secs(12),
    }));
    story.record(Step::Attempt(Attempt {
        attempt: 1,
        server: "lector-3.9f02".into(),
        address: "10.1.0.11:8000".parse().expect("a valid address"),
        sent: "request".into(),
        why: "least".into(),
        estimate: Some(Duration::from_millis(40)),
        left: Duration::from_millis(11_990),
        candidates: vec![],
    }));
    story.record(Step::AttemptEnded {
        attempt: 1,
        server: "lector-3.9f02".into(),
        outcome: "whole".into(),
        status: Some(200),
        ran: Ran::Ran,
    });
    story.end(End {
        outcome,
        status: Some(200),
        why: None,
        cause: None,
        first: Some(Duration::from_millis(52)),
        events: 47,
        duration: Duration::from_millis(900),
    });
}

fn pairs(lines: &Lines) {
    let source: &[(&str, kv::Value<'_>)] = &[
        ("host", "front-a-1".into()),
        ("run", 7.into()),
        ("kind", "declaration".into()),
        ("version", 12.into()),
        ("from", "store".into()),
    ];
    let mut record = Record::builder();
    record.level(Level::Info).target("pairs").key_values(&source);
    lines.log(&record.args(format_args!("declaration")).build());
}

fn bench(criterion: &mut Criterion) {
    let lines = Lines::start(BOUNDS, io::sink()).expect("the writer thread can be started");
    let logger = |level| {
        let output = Output::Custom(Arc::new(lines.clone()), level);
        Logger::new("front-a-1".into(), 7, Clock::system(), output)
    };
    let (off, info, debug) =
        (logger(LevelFilter::Off), logger(LevelFilter::Info), logger(LevelFilter::Debug));
    criterion.bench_function("request, log off", |b| b.iter(|| request(&off, Outcome::Answered)));
    criterion.bench_function("request that went well, info", |b| {
        b.iter(|| request(&info, Outcome::Answered));
    });
    criterion.bench_function("request that failed, info: 4 lines", |b| {
        b.iter(|| request(&info, Outcome::Failed));
    });
    criterion.bench_function("request that went well, debug: 4 lines", |b| {
        b.iter(|| request(&debug, Outcome::Answered));
    });
    let declaration = Belief::Declaration { version: 12, from: Source::Store };
    criterion.bench_function("belief: a line of JSON as the message", |b| {
        b.iter(|| info.belief(black_box(declaration.clone())));
    });
    criterion.bench_function("belief: key-value pairs", |b| b.iter(|| pairs(black_box(&lines))));
    assert_eq!(lines.dropped().total(), 0, "some of the measured lines were dropped");
}

criterion_group!(benches, bench);
criterion_main!(benches);
