//! Notices and crashes in grouped deployments whose relays do not respond.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, ZONES, member};
use policy::{
    dispatch::poison::{Crash, CrashState, Isolation},
    fleet::{Content, Departure, Fleet, Notice, Origin, Publication, Tier},
    follow,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time within which a notice must reach all hosts that respond.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Time within which a version must be announced to all hosts that respond.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);

/// Time within which hosts must know of a request that crashes servers.
const CRASH_TIME: Duration = Duration::from_secs(3);

fn leaving(server: usize) -> Notice {
    let server = format!("i-{server}").into();
    Notice::ServerLeaving { server, departure: Departure::Leaving, revision: 1 }
}

fn relays(net: &Net) -> Vec<usize> {
    let is_relay = |host: &usize| net.hosts[host].fleet.tier() == Tier::Relay;
    net.hosts.keys().copied().filter(is_relay).collect()
}

/// Hosts that stop responding.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// The relays of one zone's groups.
    RelaysOfZone(usize),
    /// All relays.
    Relays,
    /// All relays, and a share of the other hosts.
    RelaysAnd(f64),
}

fn cut(net: &Net, cut: Cut) -> Vec<usize> {
    let relays = relays(net);
    match cut {
        Cut::RelaysOfZone(zone) => relays.into_iter().filter(|host| host % ZONES == zone).collect(),
        Cut::Relays => relays,
        Cut::RelaysAnd(share) => {
            let mut random = ChaCha8Rng::seed_from_u64(1);
            let is_cut = |host: &usize| relays.contains(host) || random.random_bool(share);
            net.hosts.keys().copied().filter(is_cut).collect()
        }
    }
}

fn lacking(net: &Net, sender: usize, notice: &Notice) -> Vec<usize> {
    let has =
        |host: &usize| net.hosts[host].received.iter().any(|received| received.notice == *notice);
    let reachable = net.hosts.keys().copied().filter(|host| !net.cut.contains(host));
    reachable.filter(|host| *host != sender && !has(host)).collect()
}

#[rstest]
fn a_notice_reaches_all_though_relays_do_not_respond(
    #[values(17, 62, 195, 350)] hosts: usize,
    #[values(Cut::RelaysOfZone(1), Cut::Relays, Cut::RelaysAnd(0.25))] lost: Cut,
    #[values(0, 1_000, 3_000)] after_ms: u64,
) {
    let mut net = Net::settled(hosts, 1);
    net.cut = cut(&net, lost);
    net.run_for(Duration::from_millis(after_ms));
    let sender = (0..hosts).find(|host| !net.cut.contains(host)).expect("a host responds");
    let notice = leaving(1);
    net.notify_all(sender, notice.clone());
    net.run_for(NOTICE_TIME);
    assert_eq!(lacking(&net, sender, &notice), Vec::<usize>::new(), "of {hosts} hosts");
    let twice = net.hosts.values().filter(|host| 1 < host.received.len()).count();
    assert_eq!(twice, 0, "hosts received the notice twice");
}

/// Has each host that responds put a version in force at the same moment, and returns those that
/// announce it.
fn announcers(net: &mut Net, version: u64) -> Vec<usize> {
    let before: Vec<_> = net.hosts.values().map(|host| announcements(&host.fleet)).collect();
    let hosts: Vec<_> = net.hosts.keys().copied().filter(|host| !net.cut.contains(host)).collect();
    let notice = Notice::DeclarationInForce { version };
    for host in &hosts {
        net.notify_all(*host, notice.clone());
    }
    net.run_for(ANNOUNCEMENT_TIME);
    let has_announced = |host: &usize| before[*host] < announcements(&net.hosts[host].fleet);
    hosts.into_iter().filter(has_announced).collect()
}

fn announcements(fleet: &Fleet) -> u64 {
    fleet.traffic().of(Content::Declaration, Origin::Own).messages
}

#[rstest]
fn one_host_announces_a_version_that_all_learn_of(#[values(6, 17, 76, 350)] hosts: usize) {
    let mut net = Net::settled(hosts, 1);
    for version in 1..=3 {
        assert_eq!(announcers(&mut net, version).len(), 1, "of {hosts} hosts");
    }
}

#[rstest]
#[case::with_turns(5)]
#[case::all_with_turns(12)]
fn a_version_is_announced_though_the_first_hosts_in_turn_do_not_respond(
    #[values(17, 76)] hosts: usize,
    #[case] lost: usize,
) {
    let mut net = Net::settled(hosts, 1);
    let ids: Vec<_> = (0..hosts).map(|host| member(host, 0).id).collect();
    let rank = |host: &usize| {
        let others = ids.iter().filter(|id| **id != ids[*host]);
        follow::scout_rank(&ids[*host], others)
    };
    net.cut = (0..hosts).filter(|host| rank(host) < lost).collect();
    let announcers = announcers(&mut net, 1);
    assert!(!announcers.is_empty());
    let notice = Notice::DeclarationInForce { version: 1 };
    let mut lacking = lacking(&net, announcers[0], &notice);
    lacking.retain(|host| !announcers.contains(host));
    assert_eq!(lacking, Vec::<usize>::new(), "of {hosts} hosts, {announcers:?} announce");
}

#[rstest]
fn crashes_are_known_in_time_though_relays_do_not_respond(#[values(17, 62, 195)] hosts: usize) {
    let mut net = Net::settled(hosts, 1);
    net.cut = cut(&net, Cut::Relays);
    let witness = (0..hosts).find(|host| !net.cut.contains(host)).expect("a host responds");
    let crash = Crash {
        subject: 7.into(),
        server: "s1".into(),
        witness: member(witness, 0).id,
        turn: 0,
        isolation: Isolation::Shared,
        state: CrashState::Counted,
        age: Duration::ZERO,
    };
    net.publish(witness, Publication::Crashes(vec![crash]));
    net.run_for(CRASH_TIME);
    let reachable = (0..hosts).filter(|host| !net.cut.contains(host) && *host != witness);
    let lacking: Vec<_> = reachable.filter(|host| net.snapshot(*host).crashes.is_empty()).collect();
    assert_eq!(lacking, Vec::<usize>::new(), "of {hosts} hosts");
}
