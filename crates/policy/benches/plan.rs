//! Cost of planning and its growth. Sizes are numbers of models, with servers in proportion.

#![allow(missing_docs, unreachable_pub, reason = "a bench has no public items")]

mod fleet;

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::plan::{Limits, Planner};
use types::prelude::*;

const SIZES: [usize; 4] = [119, 238, 475, 950];
const NOW: Moment = Duration::from_secs(3600);

/// Measures one plan that places every model on empty engines.
fn from_empty(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan/from-empty");
    group.sample_size(10);
    for size in SIZES {
        let config = fleet::config(size);
        let engines = fleet::engines(fleet::servers(size));
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter_batched(
                || engines.clone(),
                |engines| {
                    let mut planner = Planner::new(Limits::NONE);
                    planner.configure(&config);
                    engines.into_values().for_each(|engine| planner.set_engine(NOW, engine));
                    black_box(planner.plan(NOW))
                },
                BatchSize::LargeInput,
            );
        });
    }
}

/// Measures a planner that has just taken over: it is given all engines, and plans.
fn takeover(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan/takeover");
    group.sample_size(10);
    for size in SIZES {
        let (_, config, engines) = fleet::placed(size);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter_batched(
                || engines.clone(),
                |engines| {
                    let mut planner = Planner::new(Limits::NONE);
                    planner.configure(&config);
                    engines.into_values().for_each(|engine| planner.set_engine(NOW, engine));
                    black_box(planner.plan(NOW))
                },
                BatchSize::LargeInput,
            );
        });
    }
}

/// Measures a plan after one engine has changed.
fn one_engine(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan/one-engine");
    for size in SIZES {
        let (mut planner, _, engines) = fleet::placed(size);
        let engine = engines.values().nth(engines.len() / 2).expect("one").clone();
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                planner.set_engine(NOW, engine.clone());
                black_box(planner.plan(NOW))
            });
        });
    }
}

/// Measures a plan after one model's version has changed.
fn one_patch(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan/one-patch");
    for size in SIZES {
        let (mut planner, config, _) = fleet::placed(size);
        let mut next = config.clone();
        next.models.values_mut().nth(size / 2).expect("one").version = "2".into();
        let mut turn = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                turn += 1;
                planner.configure(if turn % 2 == 0 { &config } else { &next });
                black_box(planner.plan(NOW))
            });
        });
    }
}

/// Measures a plan after all demand has shifted to other models.
fn shift(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan/shift");
    group.sample_size(10);
    for size in SIZES {
        let (planner, config, _) = fleet::placed(size);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter_batched(
                || {
                    let mut planner = planner.clone();
                    for (n, id) in config.models.keys().enumerate() {
                        planner.set_demand(id, fleet::demand(n, 5));
                    }
                    planner
                },
                |mut planner| black_box(planner.plan(NOW)),
                BatchSize::LargeInput,
            );
        });
    }
}

criterion_group!(benches, from_empty, takeover, one_engine, one_patch, shift);
criterion_main!(benches);
