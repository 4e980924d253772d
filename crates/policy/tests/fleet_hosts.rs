//! Discovery and liveness of hosts: start, silence, restart, move, departure.

mod fleet_net;

use std::time::Duration;

use fleet_net::{Net, UNRELIABLE, address, member};
use policy::fleet::{Datagram, Liveness, Publication, Settings, State};
use rstest::rstest;

fn liveness(net: &Net, at: usize, of: usize) -> Option<Liveness> {
    let hosts = net.snapshot(at).hosts;
    hosts.iter().find(|peer| peer.member.id == member(of, 0).id).map(|peer| peer.liveness)
}

#[rstest]
#[case::smallest(2)]
#[case::usual(6)]
#[case::grown(16)]
fn hosts_that_know_a_few_seeds_come_to_know_all(#[case] hosts: usize) {
    let mut net = Net::started(hosts, 1);
    assert!(net.run_until_true(Duration::from_secs(2), Net::is_converged));
}

#[rstest]
fn hosts_find_each_other_and_stay_live_though_much_is_lost(#[values(1, 2, 3)] seed: u64) {
    let mut net = Net::started(8, seed);
    net.faults = UNRELIABLE;
    assert!(net.run_until_true(Duration::from_secs(10), Net::is_converged));
    for _ in 0..60 {
        net.run_for(Duration::from_secs(1));
        assert!(net.is_converged(), "a running host was taken for silent");
    }
}

#[test]
fn one_live_contact_is_enough_though_the_seeds_are_down() {
    let mut net = Net::settled(6, 1);
    (0..3).for_each(|host| drop(net.hosts.remove(&host)));
    net.start(7, 1);
    let now = net.now;
    net.fleet(7).introduce(now, [address(5)]);
    assert!(net.run_until_true(Duration::from_secs(5), Net::is_converged));
}

#[test]
fn a_silent_host_is_known_and_not_live_and_later_forgotten() {
    let mut net = Net::settled(6, 1);
    net.hosts.remove(&4);
    assert!(net.run_until_true(Duration::from_secs(4), Net::is_converged));
    assert_eq!(liveness(&net, 0, 4), Some(Liveness::Silent));
    net.run_for(Duration::from_secs(60));
    assert_eq!(liveness(&net, 0, 4), None);
}

#[test]
fn a_cut_host_and_the_others_find_each_other_again_even_after_they_forgot() {
    for cut in [10, 100] {
        let mut net = Net::settled(6, 1);
        net.cut = vec![4];
        net.run_for(Duration::from_secs(cut));
        assert_eq!(net.snapshot(0).live, 5);
        assert_eq!(net.snapshot(4).live, 1);
        net.cut.clear();
        assert!(net.run_until_true(Duration::from_secs(6), Net::is_converged), "cut for {cut} s");
    }
}

#[test]
fn a_restarted_host_is_a_new_one_and_its_former_run_counts_no_more() {
    let mut net = Net::settled(6, 1);
    net.publish(4, Publication::Declared(9));
    net.run_for(Duration::from_millis(300));
    assert_eq!(net.snapshot(0).ahead(&"zone-0".into(), 0).len(), 1);
    // The new incarnation is lower than the former one, which was 1004.
    net.start(4, 7);
    net.run_for(Duration::from_secs(1));
    assert!(net.is_converged());
    let hosts = net.snapshot(0).hosts;
    let status =
        hosts.iter().find(|peer| peer.member.id == member(4, 0).id).expect("the host is known");
    assert_eq!((status.member.incarnation, status.declared), (7, 0));
}

#[test]
fn late_datagrams_of_a_former_run_change_nothing() {
    let mut net = Net::settled(3, 1);
    net.publish(2, Publication::Declared(9));
    let now = net.now + Duration::from_secs(1);
    net.fleet(2).tick(now);
    let late: Vec<Datagram> = net.fleet(2).outgoing();
    assert!(late.iter().any(|datagram| datagram.to == address(0)));
    net.start(2, 7);
    net.run_for(Duration::from_secs(1));
    for datagram in late.iter().filter(|datagram| datagram.to == address(0)) {
        net.inject(0, address(2), &datagram.bytes);
    }
    let hosts = net.snapshot(0).hosts;
    let status =
        hosts.iter().find(|peer| peer.member.address == address(2)).expect("the host is known");
    assert_eq!((status.member.incarnation, status.declared), (7, 0));
}

#[test]
fn a_host_that_comes_back_at_another_address_is_known_there_only() {
    let mut net = Net::settled(6, 1);
    net.hosts.remove(&4);
    let mut moved = member(4, 77);
    moved.address = address(40);
    net.start_at(4, moved);
    assert!(net.run_until_true(Duration::from_secs(3), Net::is_converged));
    let hosts = net.snapshot(1).hosts;
    let found: Vec<_> = hosts.iter().filter(|peer| peer.member.id == member(4, 0).id).collect();
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].member.address, address(40));
}

#[test]
fn a_host_that_leaves_is_seen_to_and_is_gone_once_it_says_goodbye() {
    let mut net = Net::settled(6, 1);
    net.publish(4, Publication::State(State::Leaving));
    net.run_for(Duration::from_millis(300));
    assert_eq!(liveness(&net, 0, 4), Some(Liveness::Leaving));
    assert_eq!(net.snapshot(0).live, 5);
    net.fleet(4).announce_exit();
    net.run_for(Duration::from_millis(20));
    net.hosts.remove(&4);
    net.run_for(Duration::from_millis(20));
    assert_eq!(liveness(&net, 0, 4), None);
    net.run_for(Duration::from_secs(10));
    assert!(net.is_converged());
    assert_eq!(liveness(&net, 0, 4), None);
}

#[test]
fn a_host_that_was_suspended_is_silent_and_then_live_again() {
    let mut net = Net::settled(6, 1);
    let host = net.hosts.remove(&4).expect("the host runs");
    net.run_for(Duration::from_secs(5));
    assert_eq!(liveness(&net, 0, 4), Some(Liveness::Silent));
    net.hosts.insert(4, host);
    assert!(net.run_until_true(Duration::from_secs(2), Net::is_converged));
}

#[test]
fn hosts_that_happen_to_have_one_incarnation_are_told_apart() {
    let mut net = Net::new(Settings::default(), 1);
    (0..4).for_each(|host| net.start(host, 1));
    assert!(net.run_until_true(Duration::from_secs(2), Net::is_converged));
}
