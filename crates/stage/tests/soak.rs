//! Soak tests with fixed seeds or schedules, which must not break any guarantee.

use std::{path::Path, time::Duration};

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    links::Delivery,
    server::Fault as ServerFault,
    server_links::Cut,
    soak::{
        Plan, Summary, run,
        schedule::{self, Fault, Notice, Pairs, Partitioned, PlannedFault},
    },
    store::Refusal,
};

const HOSTS: usize = 6;

/// Index of the first server of each service.
const FIRST_SERVERS: [usize; 3] = [0, 3, 5];

/// Parameters of a soak whose schedule is drawn from its seed, as `--example soak` draws it.
#[derive(Clone, Copy, Debug)]
struct Soak {
    seed: u64,
    hosts: usize,
    length: Duration,
    /// Time without faults at the end.
    tail: Duration,
}

/// A short soak with few faults.
const SHORT: Soak =
    Soak { seed: 5, hosts: 3, length: Duration::from_secs(7), tail: Duration::from_secs(1) };

/// The store does not answer for 6.2 s after a declaration, and another declaration follows. Hosts
/// that trust a stalled watch up to its time limit handle 32 requests under an outdated
/// declaration.
const SILENT_STORE: Soak =
    Soak { seed: 180, hosts: 4, length: Duration::from_secs(60), tail: Duration::from_secs(16) };

/// All services fail all requests from second `at` until second `end`.
fn failing(at: u64, end: u64) -> impl Iterator<Item = PlannedFault> {
    let fault =
        |server| Fault::AllGrey(server, ServerFault::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    FIRST_SERVERS.map(|server| planned(at, end - at, fault(server))).into_iter()
}

fn planned(at: u64, duration: u64, fault: Fault) -> PlannedFault {
    PlannedFault { at: Duration::from_secs(at), duration: Duration::from_secs(duration), fault }
}

/// All datagrams between hosts are lost for longer than a host counts silent hosts as present.
fn partition_schedule() -> Vec<PlannedFault> {
    let lost_datagrams = planned(1, 53, Fault::Links(Pairs::All, Delivery::Lost));
    [lost_datagrams].into_iter().chain(failing(42, 54)).collect()
}

/// Each host is killed three times, one host after the other, while services fail.
fn restart_schedule() -> Vec<PlannedFault> {
    let kill = |n: u32| PlannedFault {
        at: Duration::from_secs(16) + Duration::from_millis(400) * n,
        duration: Duration::from_millis(100),
        fault: Fault::Kill(n as usize % HOSTS),
    };
    (0..3 * HOSTS as u32).map(kill).chain(failing(14, 26)).collect()
}

/// A request that crashes servers is sent all the time, while hosts are restarted in turn, one host
/// receives no datagrams, and all hosts are killed at once.
fn poison_schedule() -> Vec<PlannedFault> {
    let kill = |at: u64, host| PlannedFault {
        at: Duration::from_millis(at),
        duration: Duration::from_millis(100),
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
    let mut schedule = poison_schedule();
    schedule.sort_by_key(|planned| planned.at);
    let summary = soak(seed, HOSTS, Duration::from_secs(25), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(3 <= summary.crashed, "only {} servers crashed", summary.crashed);
}

/// Requests with a part that crashes servers are sent all the time, while hosts are restarted in turn,
/// one host receives no datagrams, the store is away, and all hosts are killed at once.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_part_that_crashes_servers_costs_few_and_nobody_else(#[values(1, 2)] seed: u64) {
    let part = |planned: PlannedFault| match planned.fault {
        Fault::Poison => PlannedFault { fault: Fault::PoisonPart, ..planned },
        _ => planned,
    };
    let mut schedule: Vec<PlannedFault> = poison_schedule().into_iter().map(part).collect();
    schedule.push(planned(4, 9, Fault::Down(Refusal::Silence)));
    schedule.sort_by_key(|planned| planned.at);
    let summary = soak(seed, HOSTS, Duration::from_secs(25), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(3 <= summary.crashed, "only {} servers crashed", summary.crashed);
}

/// Restarted servers that lose all answers run, and accept connections: no request crashed them.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_servers_that_lose_all_answers_make_no_request_poison(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let lost = Fault::AllGrey(FIRST_SERVERS[0], ServerFault::Lost);
    let schedule = vec![planned(2, 9, Fault::Poison), planned(7, 4, lost)];
    let summary = soak(seed, HOSTS, Duration::from_secs(13), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(200 <= summary.runs, "{summary:?}");
}

/// Servers leave while the store is silent, so that only their answers say so.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_that_leave_while_the_store_is_silent_get_nothing_new(#[values(1, 2)] seed: u64) {
    let leave = |at, server| planned(at, 6, Fault::Leave(server, Notice::Told));
    let mut schedule = vec![planned(2, 9, Fault::Down(Refusal::Silence))];
    schedule.extend([leave(3, 0), leave(4, 5), leave(5, 3)]);
    let summary = soak(seed, HOSTS, Duration::from_secs(13), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(200 <= summary.runs, "{summary:?}");
}

#[rstest]
#[case::two_a_second(2)]
#[case::as_many_as_hosts(6)]
#[case::many(20)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn brittle_servers_are_not_overrun(#[case] tolerated: u32) {
    let schedule = vec![planned(2, 12, Fault::Brittle(0, tolerated))];
    let summary = soak(1, HOSTS, Duration::from_secs(15), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(500 <= summary.runs, "{summary:?}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_partitioned_from_all_servers_serve_requests_like_the_others(
    #[values(Partitioned::One(1), Partitioned::Zone(1), Partitioned::AllBut(2))] hosts: Partitioned,
    #[values(Cut::Hang, Cut::Reset, Cut::Refuse)] cut: Cut,
) {
    let schedule = vec![planned(3, 9, Fault::Partition(hosts, cut))];
    let summary = soak(1, HOSTS, Duration::from_secs(13), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(200 <= summary.runs, "{summary:?}");
}

/// Declarations add, move and remove keys while hosts are killed and frozen, services fail, and the
/// store is silent for longer than a declaration may take to come into force.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_for_the_holder_of_their_key(#[values(1, 2)] seed: u64) {
    let changes = (0..36).map(|number| PlannedFault {
        at: Duration::from_millis(400 * number),
        duration: Duration::ZERO,
        fault: Fault::Keys(seed << 32 | number),
    });
    let others = [
        planned(0, 15, Fault::Customers),
        planned(2, 1, Fault::Kill(0)),
        planned(3, 1, Fault::Freeze(1)),
        planned(4, 2, Fault::AllGrey(FIRST_SERVERS[0], ServerFault::Lost)),
        planned(7, 4, Fault::Down(Refusal::Silence)),
    ];
    let mut schedule: Vec<PlannedFault> = others.into_iter().chain(changes).collect();
    schedule.sort_by_key(|planned| planned.at);
    let summary = soak(seed, 4, Duration::from_secs(16), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(200 <= summary.runs, "{summary:?}");
    let refused = summary.requests.values().filter_map(|outcomes| outcomes.get("401"));
    assert!(10 <= refused.sum::<usize>(), "{summary:?}");
}

/// Number of streams taken up from which on the soak judges their share.
const MIN_RESUMED: usize = 20;

/// The model servers run two versions, hosts are killed in turn and one is frozen, one server is
/// replaced by one of the other version, and streams break.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_two_versions_are_kept_apart() {
    let kills = (0..HOSTS as u64).map(|host| PlannedFault {
        at: Duration::from_millis(4_000 + 600 * host),
        duration: Duration::from_millis(200),
        fault: Fault::Kill(host as usize),
    });
    let broken = ServerFault::Broken { events: 3 };
    let others = [
        planned(0, 20, Fault::Versions),
        planned(9, 2, Fault::AllGrey(FIRST_SERVERS[2], broken)),
        planned(12, 1, Fault::Freeze(1)),
        planned(14, 1, Fault::Crash(FIRST_SERVERS[2])),
    ];
    let mut schedule: Vec<PlannedFault> = kills.chain(others).collect();
    schedule.sort_by_key(|planned| planned.at);
    let summary = soak(1, HOSTS, Duration::from_secs(20), schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(500 <= summary.runs, "{summary:?}");
    assert!(MIN_RESUMED <= summary.streams.resumed.all, "{summary:?}");
}

/// Runs a soak with its files in a temporary directory.
async fn soak(seed: u64, hosts: usize, length: Duration, schedule: Vec<PlannedFault>) -> Summary {
    let folder = tempfile::tempdir().expect("the temporary directory is created");
    let plan = Plan {
        program: Path::new(env!("CARGO_BIN_EXE_cyclamenstage")),
        folder: folder.path(),
        seed,
        hosts,
        length,
        schedule,
    };
    run(&plan).await.expect("the soak runs to its end")
}

#[rstest]
#[case::hosts_that_do_not_hear_each_other(partition_schedule())]
#[case::hosts_that_are_restarted_in_series(restart_schedule())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_keep_to_their_budget(#[case] mut schedule: Vec<PlannedFault>) {
    let ends = schedule.iter().map(|planned| planned.at + planned.duration);
    let length = ends.max().unwrap_or_default();
    schedule.sort_by_key(|planned| planned.at);
    let summary = soak(1, HOSTS, length, schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(summary.retries.values().any(|ratio| 0.3 < *ratio), "{:?}", summary.retries);
}

#[rstest]
#[case::short(SHORT)]
#[case::silent_store(SILENT_STORE)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_soak_breaks_no_promise(#[case] parameters: Soak) {
    let Soak { seed, hosts, length, tail } = parameters;
    let schedule = schedule::draw(seed, hosts, length, tail);
    assert!(!schedule.is_empty());
    let summary = soak(seed, hosts, length, schedule).await;
    assert!(summary.breaches.is_empty(), "{:#?}", summary.breaches);
    assert!(summary.runs != 0 && summary.orders != 0, "{summary:?}");
}
