//! Notices and crashes in grouped deployments whose relays do not respond.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, ZONES, member};
use policy::{
    dispatch::poison::{Crash, CrashState, Isolation},
    fleet::{Departure, Notice, Publication, Recipients, Tier},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time within which a notice must reach all hosts that respond.
const NOTICE_TIME: Duration = Duration::from_secs(1);

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
    let (now, notice) = (net.now, leaving(1));
    net.fleet(sender)
        .send(now, Recipients::All, notice.clone())
        .expect("a notice to all hosts needs no known host");
    net.run_for(NOTICE_TIME);
    assert_eq!(lacking(&net, sender, &notice), Vec::<usize>::new(), "of {hosts} hosts");
    let twice = net.hosts.values().filter(|host| 1 < host.received.len()).count();
    assert_eq!(twice, 0, "hosts received the notice twice");
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
