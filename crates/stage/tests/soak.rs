//! Soaks of fixed seeds, and no promise broken.

use std::{path::Path, time::Duration};

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    links::Delivery,
    server::Fault as Grey,
    soak::{
        Plan, Summary, run,
        schedule::{self, Fault, Pairs, Planned},
    },
};

const HOSTS: usize = 6;

/// A server of each service.
const FIRST_SERVERS: [usize; 3] = [0, 3, 5];

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

/// All services fail all requests from then on, until the end.
fn failing(at: u64, end: u64) -> impl Iterator<Item = Planned> {
    let fault = |place| Fault::AllGrey(place, Grey::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    FIRST_SERVERS.map(|place| planned(at, end - at, fault(place))).into_iter()
}

fn planned(at: u64, lasts: u64, fault: Fault) -> Planned {
    Planned { at: Duration::from_secs(at), lasts: Duration::from_secs(lasts), fault }
}

/// No datagram passes between hosts for longer than they count those that are silent.
fn deaf() -> Vec<Planned> {
    let deaf = planned(1, 53, Fault::Links(Pairs::All, Delivery::Lost));
    [deaf].into_iter().chain(failing(42, 54)).collect()
}

/// All hosts are killed three times each, one after the other, while services fail.
fn restarted() -> Vec<Planned> {
    let kill = |n: u32| Planned {
        at: Duration::from_secs(16) + Duration::from_millis(400) * n,
        lasts: Duration::from_millis(100),
        fault: Fault::Kill(n as usize % HOSTS),
    };
    (0..3 * HOSTS as u32).map(kill).chain(failing(14, 26)).collect()
}

/// A request that crashes servers comes all the time, while hosts are restarted in turn, one hears nothing,
/// and all end at once.
fn poisoned() -> Vec<Planned> {
    let kill = |at: u64, host| Planned {
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(100),
        fault: Fault::Kill(host),
    };
    let in_turn = (0..HOSTS).map(|host| kill(7_000 + 300 * host as u64, host));
    let at_once = (0..HOSTS).map(|host| kill(17_000 + host as u64, host));
    let others =
        [planned(2, 22, Fault::Poison), planned(12, 2, Fault::Links(Pairs::Of(1), Delivery::Lost))];
    in_turn.chain(at_once).chain(others).collect()
}

#[rstest]
#[case::run_once(0)]
#[case::repeatable(1)]
#[case::stream(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_servers_costs_few_and_nobody_else(#[case] seed: u64) {
    let mut schedule = poisoned();
    schedule.sort_by_key(|planned| planned.at);
    let summary = soak(seed, HOSTS, Duration::from_secs(25), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(3 <= summary.crashed, "{} servers ended", summary.crashed);
}

/// Runs a soak in a folder of its own.
async fn soak(seed: u64, hosts: usize, length: Duration, schedule: Vec<Planned>) -> Summary {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = Plan {
        program: Path::new(env!("CARGO_BIN_EXE_cyclamenstage")),
        folder: folder.path(),
        seed,
        hosts,
        length,
        schedule,
    };
    run(&plan).await.expect("a soak")
}

#[rstest]
#[case::hosts_that_do_not_hear_each_other(deaf())]
#[case::hosts_that_are_restarted_in_series(restarted())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_keep_to_their_budget(#[case] mut schedule: Vec<Planned>) {
    let ends = schedule.iter().map(|planned| planned.at + planned.lasts);
    let length = ends.max().unwrap_or_default();
    schedule.sort_by_key(|planned| planned.at);
    let summary = soak(1, HOSTS, length, schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(summary.retries.values().any(|part| 0.3 < *part), "{:?}", summary.retries);
}

#[rstest]
#[case::short(SHORT)]
#[case::silent_store(SILENT_STORE)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_soak_breaks_no_promise(#[case] drawn: Soak) {
    let Soak { seed, hosts, length, tail } = drawn;
    let schedule = schedule::draw(seed, hosts, length, tail);
    assert!(!schedule.is_empty());
    let summary = soak(seed, hosts, length, schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(summary.runs != 0 && summary.orders != 0, "{summary:?}");
}
