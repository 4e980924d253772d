//! Streams of a service whose servers run two versions of their software.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use standin::routed::{
    caller::Caller,
    server::{Fault, Settings},
    site::{Backend, Site},
    stream::{Attempt, Stream, Target, judge},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::site::{self, declaration, draft, engine};

const SOFTWARE: [&str; 2] = ["7.1", "7.2-rc1"];
const SERVERS_PER_VERSION: usize = 2;

/// Events of a whole stream.
pub const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

const READERS: u64 = 8;
/// Streams that servers break off wait for the retry budget, so they are few in a second.
const READING_TIME: Duration = Duration::from_secs(16);
const ATTEMPTS: usize = 5;

/// Time after its start within which a host need not know what others know.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time from the restart of a killed host to the next kill.
const KILL_INTERVAL: Duration = Duration::from_millis(1_333);

/// How long a killed host is away.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Fewer attempts of a kind say nothing about their share.
const MIN_ATTEMPTS: usize = 20;

/// Starts a site with servers of two versions and this many hosts.
pub async fn start(hosts: usize, prepare: impl FnOnce(&mut Site)) -> Site {
    start_with(&SOFTWARE, hosts, prepare).await
}

/// Starts a site with servers of these versions and this many hosts.
pub async fn start_with(software: &[&str], hosts: usize, prepare: impl FnOnce(&mut Site)) -> Site {
    let model = |index: usize| Settings {
        software: software[index % software.len()].into(),
        ..Settings::model(&format!("lm-{index}"), "lm", &engine(), &["welcome"])
    };
    let servers = (0..software.len() * SERVERS_PER_VERSION).map(model);
    let backend = Backend::start(servers.collect()).await.expect("the servers start");
    backend.script(|script| {
        (script.events, script.event_interval) = (EVENTS, EVENT_INTERVAL);
    });
    backend.declare(&declaration());
    let mut site = site::new_site(backend, prepare);
    for _ in 0..hosts {
        site.add(|_| {}).await.expect("the host starts");
    }
    site.wait_until_ready().await;
    site.wait_until_observed().await;
    site
}

/// Breaks about a third of the streams at the servers, drawn at random.
fn break_streams(site: &Site, random: &mut ChaCha8Rng) {
    for server in &site.backend.servers {
        let mut draw = |_| match random.random_bool(0.35) {
            true => Fault::Broken { events: random.random_range(0..EVENTS) },
            // Harmless; only the connection ends after the answer.
            false => Fault::Closing,
        };
        let faults: VecDeque<Fault> = (0..2_000).map(&mut draw).collect();
        server.script(|script| script.faults = faults);
    }
}

/// A run of a host's process.
#[derive(Clone, Copy)]
struct HostRun {
    callers: SocketAddr,
    /// From when it can be expected to know what others know.
    from: Instant,
    killed_at: Option<Instant>,
}

/// All runs of each host.
type HostRuns = Arc<Mutex<Vec<Vec<HostRun>>>>;

fn add_run(runs: &HostRuns, site: &Site, host: usize, contact: Duration) {
    let callers = site.hosts[host].callers();
    let run = HostRun { callers, from: Instant::now() + contact, killed_at: None };
    runs.lock().unwrap()[host].push(run);
}

/// Whether the host was up and in touch for the whole attempt.
fn is_in_touch(runs: &HostRuns, attempt: &Attempt) -> bool {
    let is_whole = |run: &HostRun| {
        run.from <= attempt.sent_at && run.killed_at.is_none_or(|at| attempt.ended_at < at)
    };
    runs.lock().unwrap()[attempt.host].iter().any(is_whole)
}

fn draw_target(runs: &HostRuns, random: &mut ChaCha8Rng) -> Target {
    let runs = runs.lock().unwrap();
    let host = random.random_range(0..runs.len());
    let last = runs[host].last().expect("the host was started");
    let is_broken = random.random_bool(0.3);
    let break_after = is_broken.then(|| random.random_range(1..EVENTS));
    Target { host, caller: Caller::new(last.callers), break_after }
}

async fn read(runs: HostRuns, mut random: ChaCha8Rng) -> Vec<Stream> {
    let (began, mut streams) = (Instant::now(), Vec::new());
    while began.elapsed() < READING_TIME {
        let spec = draft().with_new_prompt();
        let choose = || draw_target(&runs, &mut random);
        streams.push(Stream::receive(&spec, ATTEMPTS, choose).await);
    }
    streams
}

/// Kills hosts one after the other, and starts each again.
async fn kill_hosts(site: &mut Site, runs: &HostRuns) {
    let began = Instant::now();
    for host in (0..site.hosts.len()).cycle() {
        sleep(KILL_INTERVAL).await;
        if READING_TIME * 2 / 3 < began.elapsed() {
            return;
        }
        runs.lock().unwrap()[host].last_mut().expect("a run").killed_at = Some(Instant::now());
        site.hosts[host].kill();
        sleep(DOWN_TIME).await;
        site.restart(host).await.expect("the host starts");
        add_run(runs, site, host, CONTACT_TIME);
    }
}

fn assert_sound(streams: &[Stream], runs: &HostRuns) {
    let breaches: Vec<_> = streams.iter().filter_map(judge::check).collect();
    let shares = judge::Shares::of(streams, |_, attempt| is_in_touch(runs, attempt));
    let of = streams.len();
    assert!(breaches.is_empty(), "{} of {of} streams, {shares:?}: {breaches:#?}", breaches.len());
    assert!(MIN_ATTEMPTS <= shares.resumed.all, "{shares:?}");
    assert!(MIN_ATTEMPTS <= shares.begun.going_on, "{shares:?}");
    assert!(shares.are_fair(), "{shares:?}");
}

#[rstest]
#[case::three_hosts(3, 1, false)]
#[case::hosts_are_killed(5, 2, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_only_at_the_version_that_began_them(
    #[case] hosts: usize,
    #[case] seed: u64,
    #[case] kills: bool,
) {
    let mut site = start(hosts, |_| {}).await;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    break_streams(&site, &mut random);
    let runs: HostRuns = Arc::new(Mutex::new(vec![Vec::new(); hosts]));
    (0..hosts).for_each(|host| add_run(&runs, &site, host, Duration::ZERO));
    let mut readers = JoinSet::new();
    for number in 0..READERS {
        let random = ChaCha8Rng::seed_from_u64(seed ^ (number + 1) << 32);
        readers.spawn(read(runs.clone(), random));
    }
    if kills {
        kill_hosts(&mut site, &runs).await;
    }
    let streams = readers.join_all().await.concat();
    assert_sound(&streams, &runs);
}
