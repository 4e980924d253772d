//! Measures the cost of a day of patches; by default 2,400 changes to 950 models.
//!
//! Prints one JSON object with the bytes of the root and the parts, the writes for each change and
//! the time of a decision. Run with `cargo run --release -p cyclamenstage-policy --example
//! config_size [models] [changes]`.

#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use policy::config::{
    Decision, Draft, Patch, Root, decide,
    decide::Current,
    fit::Server,
    holder::{Holder, Progress},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const SEED: u64 = 1;
const GROUPS: usize = 20;
const SERVERS: usize = 770;
/// Memory of an engine with eight accelerators of 80 GiB, in MiB.
const CAPACITY: u64 = 8 * 80 * 1024;
const ADAPTERS: usize = 3;

/// Measurements of the day.
#[derive(Default)]
struct Day {
    root_bytes: Vec<u64>,
    bytes_without_patches: Vec<u64>,
    parts: Vec<u64>,
    part_bytes: Vec<u64>,
    parts_written: Vec<u64>,
    bytes_written: Vec<u64>,
    decide_micros: Vec<u64>,
    apply_micros: Vec<u64>,
    not_accepted: usize,
}

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|arg| arg.parse::<usize>().ok());
    let models = numbers.next().unwrap_or(950);
    let changes = numbers.next().unwrap_or(2400);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let servers = servers();
    let mut day = Day::default();
    let mut holder = Holder::default();

    let first = Patch { id: "first".into(), against: 0, changes: declare(models) };
    let mut current = Current::default();
    let mut took = Duration::ZERO;
    if let Some(draft) = timed(&current, &first, &servers, &mut took) {
        current = apply(&mut holder, draft, &mut Day::default());
    }
    let first_micros = micros(took);
    for index in 0..changes {
        let patch = Patch {
            id: format!("patch-{index:08}-of-the-day-in-operators-hands").into(),
            against: current.root.number,
            changes: change(&mut rng, models, index),
        };
        match timed(&current, &patch, &servers, &mut took) {
            Some(draft) => current = apply(&mut holder, draft, &mut day),
            None => day.not_accepted += 1,
        }
        day.decide_micros.push(micros(took));
    }
    report(models, changes, first_micros, &current.root, day);
}

fn servers() -> Vec<Server> {
    let server = |i: usize| Server {
        id: format!("engine-{i:03}").into(),
        group: format!("group-{:02}", i % GROUPS).into(),
        capacity: CAPACITY,
    };
    (0..SERVERS).map(server).collect()
}

fn model(index: usize) -> Value {
    let adapters: serde_json::Map<String, Value> = (0..ADAPTERS)
        .map(|i| (format!("adapter-{i}"), json!({"memory": 160, "version": "2026-10-01"})))
        .collect();
    json!({
        "group": format!("group-{:02}", index % GROUPS), "version": "2026-10-01",
        "memory": 30_000 + 1_000 * (index % 40), "kv": 16_384, "replicas": 2, "adapters": adapters
    })
}

fn declare(models: usize) -> Value {
    let names: Vec<String> = (0..models).map(|i| format!("model-{i:04}")).collect();
    let entries: serde_json::Map<String, Value> =
        names.iter().enumerate().map(|(i, name)| (name.clone(), model(i))).collect();
    let services: serde_json::Map<String, Value> = names
        .chunks(5)
        .enumerate()
        .map(|(i, models)| {
            let service = json!({
                "customer": format!("customer-{}", i % 12), "offer": {"models": models},
                "priority": "normal",
                "target": {"first_token_ms": 1400, "between_tokens_ms": 74}
            });
            (format!("service-{i:03}"), service)
        })
        .collect();
    let customers: serde_json::Map<String, Value> =
        (0..12).map(|i| (format!("customer-{i}"), json!({"share": 1 + i}))).collect();
    json!({"customers": customers, "models": entries, "services": services})
}

fn change(rng: &mut ChaCha8Rng, models: usize, index: usize) -> Value {
    let name = format!("model-{:04}", rng.random_range(0..models));
    let version = format!("2026-11-{index:04}");
    let model = match rng.random_range(0..10) {
        0..5 => json!({"adapters": {"adapter-0": {"memory": 160, "version": version}}}),
        5..8 => json!({"version": version}),
        8 => json!({"replicas": rng.random_range(1..4)}),
        _ => {
            let adapter = json!({"memory": 160, "version": version});
            let entry = [Value::Null, adapter][rng.random_range(0..2)].clone();
            json!({"adapters": {format!("extra-{}", rng.random_range(0..3)): entry}})
        }
    };
    json!({"models": {name: model}})
}

fn timed(
    current: &Current,
    patch: &Patch,
    servers: &[Server],
    took: &mut Duration,
) -> Option<Draft> {
    let start = Instant::now();
    let decision = decide(current, patch, servers);
    *took = start.elapsed();
    match decision {
        Decision::Accept(draft) => Some(*draft),
        Decision::Unchanged(_) | Decision::Short(_) => None,
        other => panic!("unexpected decision on a patch: {other:?}"),
    }
}

/// Applies a draft as a host does, and records its cost.
fn apply(holder: &mut Holder, draft: Draft, day: &mut Day) -> Current {
    let root_bytes = json!(draft.root).to_string().len() as u64;
    day.root_bytes.push(root_bytes);
    day.bytes_without_patches.push(json!(draft.root.without_patches()).to_string().len() as u64);
    day.parts.push(draft.root.parts().len() as u64);
    day.parts_written.push(draft.parts.len() as u64);
    day.part_bytes.extend(draft.parts.iter().map(|part| part.bytes.len() as u64));
    let new: usize = draft.parts.iter().map(|part| part.bytes.len()).sum();
    day.bytes_written.push(root_bytes + new as u64);

    let start = Instant::now();
    let mut progress = holder.observe_root(draft.root.clone());
    for part in draft.parts {
        progress = holder.add_part(part.name, part.bytes.into());
    }
    day.apply_micros.push(micros(start.elapsed()));
    assert!(matches!(progress, Ok(Progress::InForce(_))), "{progress:?}");
    Current { root: draft.root, config: draft.config }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

/// Returns the median, the 99th percentile and the maximum; null without values.
fn quantiles(mut values: Vec<u64>) -> Value {
    values.sort_unstable();
    let at = |share: f64| values[((values.len() - 1) as f64 * share) as usize];
    match values.is_empty() {
        true => Value::Null,
        false => json!({"p50": at(0.5), "p99": at(0.99), "max": at(1.0)}),
    }
}

fn report(models: usize, changes: usize, first_micros: u64, root: &Root, day: Day) {
    let report = json!({
        "models": models,
        "changes": changes,
        "number": root.number,
        "refused_or_unchanged": day.not_accepted,
        "first_decide_us": first_micros,
        "root_bytes": quantiles(day.root_bytes),
        "bare_root_bytes": quantiles(day.bytes_without_patches),
        "parts": quantiles(day.parts),
        "part_bytes": quantiles(day.part_bytes),
        "parts_written_per_change": quantiles(day.parts_written),
        "bytes_written_per_change": quantiles(day.bytes_written),
        "decide_us": quantiles(day.decide_micros),
        "hold_us": quantiles(day.apply_micros),
    });
    println!("{report:#}");
}
