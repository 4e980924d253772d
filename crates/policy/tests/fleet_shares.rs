//! Sums of customers' work and of deferrable requests over many hosts.

mod fleet_net;

use std::time::Duration;

use fleet_net::Net;
use policy::fleet::Publication;
use rstest::rstest;

/// Each host knows the sums over all others, also in deployments in which relays add them up, and
/// no longer counts work that has ended.
#[rstest]
fn hosts_learn_the_sums_of_all_others(#[values(3, 40)] hosts: usize) {
    let mut net = Net::settled(hosts, 1);
    for host in 0..hosts {
        net.publish(host, Publication::CustomerWork(vec![("plum".into(), 10, 3)]));
        net.publish(host, Publication::Deferrable(vec![("app".into(), 2, 1)]));
    }
    net.run_for(Duration::from_secs(5));
    let others = hosts as u64 - 1;
    let snapshot = net.snapshot(hosts - 1);
    assert_eq!(snapshot.customers, [("plum".into(), 10 * others, 3 * others)]);
    let others = hosts as u32 - 1;
    assert_eq!(snapshot.deferrable, [("app".into(), 2 * others, others)]);
    for host in 0..hosts {
        net.publish(host, Publication::CustomerWork(vec![]));
        net.publish(host, Publication::Deferrable(vec![]));
    }
    net.run_for(Duration::from_secs(5));
    let snapshot = net.snapshot(hosts - 1);
    assert_eq!((snapshot.customers, snapshot.deferrable), (vec![], vec![]));
}
