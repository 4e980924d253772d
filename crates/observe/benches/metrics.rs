//! Cost of a request's metrics: with labels that are resolved once, and with labels that are looked
//! up at each update.

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use observe::{
    Metrics,
    event::Outcome,
    metrics::routed::{AttemptOutcome, Phase},
    story,
};
use types::routed::Kind;

fn bench(criterion: &mut Criterion) {
    let metrics = Metrics::new().expect("the exporter can be registered");
    let routed = metrics.routed();
    let time = Duration::from_millis(52);
    criterion.bench_function("counter, resolved", |b| {
        b.iter(|| routed.request(black_box(Kind::Stream), story::Outcome::Answered));
    });
    let service = "chat".into();
    criterion.bench_function("counter, labels looked up", |b| {
        b.iter(|| metrics.request(black_box(&service), Outcome::Answered));
    });
    criterion.bench_function("histogram, resolved", |b| {
        b.iter(|| routed.phase(black_box(Kind::Stream), Phase::First, time));
    });
    criterion.bench_function("histogram, labels looked up", |b| {
        b.iter(|| metrics.first_token(black_box(&service), time));
    });
    criterion.bench_function("all of a request that went well", |b| {
        b.iter(|| {
            let phases = [Phase::Wait, Phase::Connect, Phase::First, Phase::Gap, Phase::Whole];
            phases.into_iter().for_each(|phase| routed.phase(Kind::Stream, phase, time));
            routed.report_age(time);
            routed.attempt(AttemptOutcome::Whole);
            routed.request(Kind::Stream, story::Outcome::Answered);
        });
    });
    criterion.bench_function("text", |b| b.iter(|| metrics.text()));
}

criterion_group!(benches, bench);
criterion_main!(benches);
