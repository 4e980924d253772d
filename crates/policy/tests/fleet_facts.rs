//! Facts that hosts advertise, over a network that loses, repeats and reorders datagrams.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, UNRELIABLE};
use policy::{
    dispatch::poison::{Crash, CrashState, Isolation, Subject},
    fleet::{Departure, Lease, Load, Publication, Reachability, Snapshot, StoreStatus},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(100);
const SETTLE: Duration = Duration::from_secs(3);

/// Servers whose loads fill several datagrams.
const MANY: usize = 400;

fn load(server: usize, requests: u32) -> Load {
    let server = format!("i-{server:08x}").into();
    Load { server, model: Some("sage".into()), requests, tokens: u64::from(requests) * 300 }
}

fn service(number: usize) -> types::service::Id {
    format!("service-{number}").into()
}

fn after(publications: impl IntoIterator<Item = Publication>) -> Snapshot {
    let mut net = Net::settled(3, 1);
    publications.into_iter().for_each(|one| net.publish(1, one));
    net.run_for(STEP * 3);
    net.snapshot(0)
}

fn crash(request: u64, server: &str) -> Crash {
    Crash {
        subject: request.into(),
        server: server.into(),
        turn: 0,
        witness: "host-001".into(),
        isolation: Isolation::Shared,
        state: CrashState::Counted,
        age: Duration::ZERO,
    }
}

fn requests(snapshot: &Snapshot) -> Vec<u64> {
    let request = |crash: &Crash| match crash.subject {
        Subject::Request(request) => request,
        Subject::Part(part) => panic!("part {part:x} crashed a server"),
    };
    snapshot.crashes.iter().map(request).collect()
}

#[test]
fn each_part_arrives() {
    let lease = Lease { holder: "host-001".into(), fence: 8, age: Duration::from_millis(700) };
    let store = StoreStatus { reachability: Reachability::Reachable, revision: 4_711 };
    let snapshot = after([
        Publication::Declared(12),
        Publication::Lease(Some(lease)),
        Publication::Store(store),
        Publication::InFlight(vec![load(2, 3), load(1, 5)]),
        Publication::Arrivals(vec![(service(1), 10)]),
        Publication::Servers(vec![("i-1".into(), Departure::Gone)]),
        Publication::Crashes(vec![crash(99, "s1")]),
    ]);
    assert_eq!(snapshot.in_flight, [load(1, 5), load(2, 3)]);
    assert_eq!(snapshot.at("i-00000002"), [load(2, 3)]);
    assert_eq!(snapshot.at("i-3"), []);
    assert_eq!(snapshot.servers["i-1"], Departure::Gone);
    assert_eq!(requests(&snapshot), [99]);
    assert_eq!(snapshot.store, store);
    let ahead = snapshot.ahead(&"zone-1".into(), 11);
    assert_eq!((ahead.len(), ahead[0].declared), (1, 12));
    assert!(snapshot.ahead(&"zone-1".into(), 12).is_empty());
    assert_eq!(snapshot.ahead_in_store(&"zone-1".into(), 4_000).len(), 1);
    let lease = snapshot.lease.expect("a lease is advertised");
    assert_eq!((&*lease.holder, lease.fence), ("host-001", 8));
    assert!(
        lease.age >= Duration::from_millis(900),
        "the lease's age did not grow: {:?}",
        lease.age
    );
}

#[test]
fn a_part_that_is_told_anew_replaces_the_former_one() {
    let mut net = Net::settled(3, 1);
    net.publish(1, Publication::InFlight(vec![load(1, 5), load(2, 1)]));
    net.publish(1, Publication::Servers(vec![("i-1".into(), Departure::Leaving)]));
    net.publish(1, Publication::Crashes(vec![crash(1, "s1")]));
    net.run_for(STEP * 3);
    net.publish(1, Publication::InFlight(vec![load(2, 4)]));
    net.publish(1, Publication::Servers(Vec::new()));
    net.publish(1, Publication::Crashes(vec![crash(2, "s1")]));
    net.run_for(STEP * 3);
    let snapshot = net.snapshot(0);
    assert_eq!(snapshot.in_flight, [load(2, 4)]);
    assert!(snapshot.servers.is_empty());
    assert_eq!(requests(&snapshot), [2]);
}

#[test]
fn work_in_flight_is_summed_over_hosts_and_a_silent_one_counts_no_more() {
    let mut net = Net::settled(4, 1);
    for host in 1..4 {
        net.publish(host, Publication::InFlight(vec![load(1, host as u32)]));
    }
    net.run_for(STEP * 3);
    assert_eq!(net.snapshot(0).in_flight, [load(1, 6)]);
    net.hosts.remove(&3);
    net.run_for(Duration::from_secs(4));
    assert_eq!(net.snapshot(0).in_flight, [load(1, 3)]);
}

#[rstest]
fn a_lossy_network_loses_no_arrival_and_no_state(#[values(1, 2, 3, 4)] seed: u64) {
    const HOSTS: usize = 6;
    let mut net = Net::settled(HOSTS, seed);
    net.faults = UNRELIABLE;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = vec![vec![0_u64; 20]; HOSTS];
    let mut before = [0; HOSTS];
    for _ in 0..200 {
        for (host, counts) in counts.iter_mut().enumerate() {
            (0..3).for_each(|_| counts[random.random_range(0..20)] += 1);
            let arrivals =
                counts.iter().enumerate().map(|(number, count)| (service(number), *count));
            net.publish(host, Publication::Arrivals(arrivals.collect()));
            let server = random.random_range(0..5);
            net.publish(host, Publication::InFlight(vec![load(server, random.random_range(1..9))]));
        }
        net.run_for(STEP);
        for (host, before) in before.iter_mut().enumerate() {
            let counted = net.snapshot(host).arrivals.values().sum::<u64>();
            assert!(*before <= counted, "an arrival count fell");
            *before = counted;
        }
    }
    (0..HOSTS).for_each(|host| net.publish(host, Publication::InFlight(vec![load(host, 2)])));
    net.run_for(SETTLE);
    for host in 0..HOSTS {
        let others = counts.iter().enumerate().filter(|(other, _)| *other != host);
        let sent = others.map(|(_, counts)| counts.iter().sum::<u64>()).sum::<u64>();
        let snapshot = net.snapshot(host);
        assert_eq!(snapshot.arrivals.values().sum::<u64>(), sent);
        let at: Vec<_> = (0..HOSTS).filter(|other| *other != host).map(|o| load(o, 2)).collect();
        assert_eq!(snapshot.in_flight, at);
    }
}

#[test]
fn a_newcomer_counts_arrivals_from_when_it_listens_and_a_restart_is_not_counted_twice() {
    let mut net = Net::settled(3, 1);
    net.publish(1, Publication::Arrivals(vec![(service(0), 1_000)]));
    net.run_for(STEP * 3);
    net.start(4, 5);
    net.run_for(SETTLE);
    assert!(net.snapshot(4).arrivals.is_empty());
    net.publish(1, Publication::Arrivals(vec![(service(0), 1_010)]));
    net.run_for(STEP * 3);
    assert_eq!(net.snapshot(4).arrivals[&service(0)], 10);
    assert_eq!(net.snapshot(0).arrivals[&service(0)], 1_010);
    net.start(1, 8);
    net.run_for(SETTLE);
    net.publish(1, Publication::Arrivals(vec![(service(0), 4)]));
    net.run_for(STEP * 3);
    assert_eq!(net.snapshot(0).arrivals[&service(0)], 1_014);
}

#[test]
fn more_than_a_datagram_holds_goes_in_several() {
    let mut net = Net::settled(3, 1);
    let many: Vec<u64> = (0..1_000).map(|request| request * 0x1234_5678_9abc).collect();
    net.publish(
        1,
        Publication::Crashes(many.iter().map(|request| crash(*request, "s1")).collect()),
    );
    net.run_for(SETTLE);
    assert_eq!(requests(&net.snapshot(0)), many);
    assert!(net.largest <= policy::fleet::DATAGRAM_BYTES, "a datagram of {} bytes", net.largest);
}

/// Loads at many servers. At each step one in ten changes, in turn.
fn many_loads(step: u32) -> Vec<Load> {
    let changes = |server: usize| (step + 9 - server as u32 % 10) / 10;
    (0..MANY).map(|server| load(server, changes(server) + 1)).collect()
}

#[rstest]
fn a_newcomer_reads_a_table_of_many_datagrams_that_changes_meanwhile(#[values(1, 2)] seed: u64) {
    let mut net = Net::settled(3, seed);
    for step in 0..40 {
        if step == 20 {
            net.start(4, 5);
        }
        net.publish(1, Publication::InFlight(many_loads(step)));
        net.run_for(STEP);
    }
    net.run_for(SETTLE);
    let read = net.snapshot(4).in_flight;
    let stale = many_loads(39).into_iter().filter(|load| !read.contains(load)).count();
    assert_eq!(stale, 0, "some of {MANY} loads were not read");
}

#[rstest]
fn no_fact_is_left_untold_though_all_of_a_table_of_many_datagrams_changes_all_the_time(
    #[values(250, MANY, 600)] many: usize,
) {
    let mut net = Net::settled(3, 1);
    for step in 0..80 {
        if step == 20 {
            net.start(4, 5);
        }
        net.publish(
            1,
            Publication::InFlight((0..many).map(|server| load(server, step + 1)).collect()),
        );
        net.run_for(STEP);
    }
    for host in [0, 4] {
        assert_eq!(net.snapshot(host).in_flight.len(), many, "at host {host}");
    }
}

#[test]
fn hosts_at_rest_say_little_and_rising_revisions_do_not_keep_them_awake() {
    let mut net = Net::settled(6, 1);
    let sent = |net: &Net| net.hosts[&0].fleet.counts().sent;
    let before = sent(&net);
    for revision in 0..100 {
        net.publish(
            0,
            Publication::Store(StoreStatus { reachability: Reachability::Reachable, revision }),
        );
        net.run_for(STEP);
    }
    let heartbeats = 10 * 2 * 5;
    let sent_in_span = sent(&net) - before;
    assert!(sent_in_span <= heartbeats * 3 / 2, "{sent_in_span} datagrams in 10 s");
}

#[test]
fn a_lost_change_is_told_again_soon_though_nothing_else_changes() {
    let mut net = Net::settled(3, 1);
    net.cut = vec![0];
    net.publish(1, Publication::Declared(5));
    net.run_for(STEP * 3 / 2);
    net.cut.clear();
    let has_received = |net: &Net| net.snapshot(0).ahead(&"zone-0".into(), 4).len() == 1;
    assert!(!has_received(&net));
    assert!(net.run_until_true(STEP * 5, has_received));
}

#[test]
fn a_drop_is_forgotten_once_all_had_time_to_hear_of_it() {
    let mut net = Net::settled(3, 1);
    net.publish(1, Publication::Crashes(vec![crash(1, "s1"), crash(2, "s1")]));
    net.run_for(STEP * 3);
    // Host 2 is cut off until the others have forgotten the removal, so it never receives it.
    net.cut = vec![2];
    net.publish(1, Publication::Crashes(vec![crash(2, "s1")]));
    net.run_for(Duration::from_secs(50));
    net.publish(
        1,
        Publication::Crashes(vec![Crash { isolation: Isolation::Isolated, ..crash(2, "s1") }]),
    );
    net.run_for(Duration::from_secs(15));
    net.cut.clear();
    net.run_for(Duration::from_secs(8));
    let crashes = net.snapshot(2).crashes;
    assert_eq!(
        (crashes.len(), crashes[0].subject, crashes[0].isolation),
        (1, 2.into(), Isolation::Isolated)
    );
}

#[test]
fn crashes_that_hosts_have_seen_add_up_and_each_counts_once() {
    let mut net = Net::settled(3, 1);
    net.publish(1, Publication::Crashes(vec![crash(7, "s1"), crash(7, "s2")]));
    net.publish(2, Publication::Crashes(vec![crash(7, "s2"), crash(7, "s3")]));
    net.run_for(STEP * 3);
    let snapshot = net.snapshot(0);
    let servers: Vec<&str> = snapshot.crashes.iter().map(|crash| &*crash.server).collect();
    assert_eq!(servers, ["s1", "s2", "s3"]);
}

#[test]
fn a_crash_grows_old_on_its_way_and_is_sent_once() {
    let mut net = Net::settled(3, 1);
    let at = |age| Crash { age: Duration::from_secs(age), ..crash(7, "s1") };
    net.publish(1, Publication::Crashes(vec![at(20)]));
    net.run_for(Duration::from_secs(10));
    let sent = net.hosts[&1].fleet.counts().sent;
    net.publish(1, Publication::Crashes(vec![at(30)]));
    net.run_for(STEP * 3);
    let age = net.snapshot(0).crashes[0].age;
    assert!(age >= Duration::from_secs(30), "{age:?}");
    assert!(
        net.hosts[&1].fleet.counts().sent - sent <= 2,
        "a crash of which only the age rose was sent again"
    );
}

#[test]
fn the_lease_object_is_told_on() {
    let claim = policy::term::Claim::Held(Duration::from_millis(1500));
    let lease = policy::term::Lease { holder: "host-001".into(), incarnation: 7, nonce: 3, claim };
    let snapshot =
        after([Publication::Term((41, lease.clone())), Publication::Term((42, lease.clone()))]);
    assert_eq!(snapshot.term, Some((42, lease)));
}
