//! Cost of a round of placement and its growth, with full servers and nearly all models wanted, and
//! with the same models at rest. Sizes are numbers of servers.

#![allow(missing_docs, unreachable_pub, reason = "a bench has no public items")]

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::place::{Planner, Rules, Work};
use types::{
    prelude::*,
    routed::{Engine, LoadedModel, Model, Server, State},
};

/// Servers and models.
const SIZES: [(usize, usize); 4] = [(25, 54), (112, 242), (400, 490), (770, 950)];
const NOW: Moment = Duration::from_secs(3600);
const MODELS_PER_SERVER: usize = 3;
const ADAPTERS: u32 = 2;

fn engine(models: usize) -> Engine {
    let model = |index: usize| Model {
        name: format!("m{index:03}").into(),
        weights: 72_000,
        load: Duration::from_secs(4),
        warm: Duration::from_millis(390),
        disk: Duration::from_millis(840),
        adapters: ADAPTERS,
        adapter_weights: 40,
    };
    Engine {
        slots: 12,
        kv_tokens: 38_936,
        weights: 220_000,
        adapter_slots: 8,
        loads_per_s: 18.0,
        host_memory: 130_000,
        disk: 390_000,
        stride: 10,
        backups: false,
        moves: false,
        models: (0..models).map(model).collect(),
    }
}

/// Returns a server that holds `MODELS_PER_SERVER` models, with an adapter of each.
fn server(number: usize, engine: &Engine) -> Server {
    let held = (0..MODELS_PER_SERVER).map(|n| {
        engine.models[(number * MODELS_PER_SERVER + n) % engine.models.len()].name.clone()
    });
    let models: Vec<LoadedModel> =
        held.map(|model| LoadedModel { model, version: 1, adapters: vec!["a1".into()] }).collect();
    let names: Vec<model::Id> = models.iter().map(|held| held.model.clone()).collect();
    Server {
        id: format!("i-{number:010x}@1").into(),
        name: format!("i-{number:010x}").into(),
        started_at: 1,
        service: "lm".into(),
        software: "".into(),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        zone: format!("z{}", number % 3).into(),
        slots: 12,
        state: State::Ready,
        remaining: None,
        cold: Duration::ZERO,
        models,
        resident: names.clone(),
        on_disk: names,
        sequence: 0,
    }
}

/// Returns a planner that has seen `load` times what the servers can do, spread over the models, and a
/// request that waits for the second adapter of each model.
fn planner(servers: usize, models: usize, load: f64) -> Planner {
    let engine = engine(models);
    let mut planner = Planner::new(Rules::default());
    planner.declare(&"lm".into(), &engine, NOW - Duration::from_secs(10));
    for number in 0..servers {
        planner.register_server(&server(number, &engine), NOW - Duration::from_secs(10));
    }
    let output = load * 0.1 * servers as f64 / models as f64 * 12.0 / 0.0056;
    for step in 0..50 {
        let at = NOW - Duration::from_secs(5) + Duration::from_millis(100) * step;
        for model in engine.models.iter().filter(|_| 0.0 < load) {
            let work = Work { requests: 5, prompt: 0, output: output as u64 };
            planner.record_arrivals(&model.name, None, work, at);
            planner.record_waiting(&model.name, Some(&"a2".into()), at);
        }
    }
    planner
}

fn plan(criterion: &mut Criterion, name: &str, load: f64) {
    let mut group = criterion.benchmark_group(name);
    group.sample_size(10);
    for (servers, models) in SIZES {
        let planner = planner(servers, models, load);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter_batched_ref(
                || planner.clone(),
                |planner| black_box(planner.plan(NOW)),
                BatchSize::LargeInput,
            );
        });
    }
}

fn overrun(criterion: &mut Criterion) {
    plan(criterion, "place/overrun", 1.3);
}

fn busy(criterion: &mut Criterion) {
    plan(criterion, "place/busy", 0.5);
}

fn at_rest(criterion: &mut Criterion) {
    plan(criterion, "place/at-rest", 0.0);
}

criterion_group!(benches, overrun, busy, at_rest);
criterion_main!(benches);
