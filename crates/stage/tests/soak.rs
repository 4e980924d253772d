//! Soaks of fixed seeds, and no promise broken.

use std::{path::Path, time::Duration};

use rstest::rstest;
use standin::routed::soak::{Plan, run, schedule};

/// A soak of a seed, as `--example soak` draws it.
#[derive(Clone, Copy, Debug)]
struct Soak {
    seed: u64,
    hosts: usize,
    length: Duration,
    tail: Duration,
}

/// Few faults.
const SHORT: Soak =
    Soak { seed: 5, hosts: 3, length: Duration::from_secs(7), tail: Duration::from_secs(1) };

/// The store falls silent for 6.2 s after a declaration, and another one follows: 32 requests were
/// handled by too old a declaration where a stalled watch was trusted up to its limit.
const SILENT_STORE: Soak =
    Soak { seed: 180, hosts: 4, length: Duration::from_secs(60), tail: Duration::from_secs(16) };

#[rstest]
#[case::short(SHORT)]
#[case::silent_store(SILENT_STORE)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_soak_breaks_no_promise(#[case] soak: Soak) {
    let Soak { seed, hosts, length, tail } = soak;
    let folder = tempfile::tempdir().expect("a folder");
    let schedule = schedule::draw(seed, hosts, length, tail);
    assert!(!schedule.is_empty());
    let plan = Plan {
        program: Path::new(env!("CARGO_BIN_EXE_cyclamenstage")),
        folder: folder.path(),
        seed,
        hosts,
        length,
        schedule,
    };
    let summary = run(&plan).await.expect("a soak");
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(summary.runs != 0 && summary.orders != 0, "{summary:?}");
}
