//! A short soak of a fixed seed: few faults, and no promise broken.

use std::{path::Path, time::Duration};

use standin::routed::soak::{Plan, run, schedule};

const SEED: u64 = 5;
const LENGTH: Duration = Duration::from_secs(7);
const TAIL: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_breaks_no_promise() {
    let folder = tempfile::tempdir().expect("a folder");
    let schedule = schedule::draw(SEED, 3, LENGTH, TAIL);
    assert!(!schedule.is_empty());
    let plan = Plan {
        program: Path::new(env!("CARGO_BIN_EXE_cyclamenstage")),
        folder: folder.path(),
        seed: SEED,
        hosts: 3,
        length: LENGTH,
        schedule,
    };
    let summary = run(&plan).await.expect("a soak");
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(summary.runs != 0 && summary.orders != 0, "{summary:?}");
}
