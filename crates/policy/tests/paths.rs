//! Paths to servers: when other hosts are asked to connect, and which ones.

use policy::{
    fleet::Member,
    paths::{Change, Path, Paths},
};
use rstest::rstest;
use types::prelude::*;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn gateway(id: &str, zone: &str) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    Member { id: id.into(), zone: zone.into(), address, incarnation: 1 }
}

/// Paths of a host in zone `a`, with two hosts in each of four zones besides it.
fn paths() -> Paths {
    let mut paths = Paths::new("own".into(), "a".into());
    let hosts = ["a", "b", "c", "d"]
        .iter()
        .flat_map(|zone| ["1", "2"].map(|number| gateway(&format!("{zone}{number}"), zone)));
    paths.set_gateways(hosts.collect());
    paths
}

fn lose(paths: &mut Paths, servers: &[&str], now: Moment) {
    for server in servers {
        assert_eq!(
            paths.relay_connected(&(*server).into(), &"app".into(), now),
            Some(Change::Lost)
        );
    }
}

#[test]
fn a_server_is_reached_through_others_until_it_is_reached_directly() {
    let mut paths = paths();
    lose(&mut paths, &["s1"], at(0));
    assert_eq!(paths.relay_connected(&"s1".into(), &"app".into(), at(10)), None);
    assert_eq!(paths.path(&"s1".into()), Path::Relayed);
    assert_eq!(paths.connected(&"s1".into(), &"app".into(), at(20)), Some(Change::Restored));
    assert_eq!(paths.connected(&"s1".into(), &"app".into(), at(30)), None);
    assert_eq!(paths.path(&"s1".into()), Path::Direct);
}

#[test]
fn a_server_that_no_other_host_reaches_stays_on_the_direct_path() {
    let mut paths = paths();
    paths.unreachable(&"s1".into(), at(0));
    assert_eq!(paths.path(&"s1".into()), Path::Direct);
    assert!(paths.gateways(&"s1".into(), at(499)).is_empty());
    assert!(!paths.gateways(&"s1".into(), at(500)).is_empty());
    assert!(!paths.gateways(&"s2".into(), at(0)).is_empty());
}

#[test]
fn hosts_of_several_zones_are_asked_and_the_own_one_first() {
    let gateways = paths().gateways(&"s1".into(), at(0));
    let zones: Vec<&str> = gateways.iter().map(|gateway| &*gateway.zone).collect();
    assert_eq!((zones.len(), zones[0]), (3, "a"));
    assert!(zones[1] != zones[2] && !zones[1..].contains(&"a"), "{zones:?}");
}

#[test]
fn connections_are_spread_over_hosts_and_overflow_to_other_zones() {
    let mut paths = paths();
    for number in 0..40 {
        let server: backend::Id = format!("s{number}").as_str().into();
        let first = paths.gateways(&server, at(0))[0].id.clone();
        paths.opened(&first);
    }
    let connections = |id: &str| paths.connections(&id.into());
    assert_eq!(["a1", "a2"].map(connections), [8, 8]);
    assert_eq!(["b1", "b2", "c1", "c2", "d1", "d2"].map(connections), [4; 6]);
}

#[test]
fn a_host_that_could_not_connect_is_asked_last_for_a_while() {
    let mut paths = paths();
    for id in ["a1", "a2", "b1", "b2", "c1", "c2", "d1"] {
        paths.gateway_failed(&id.into(), at(0));
    }
    assert_eq!(&*paths.gateways(&"s1".into(), at(1_999))[0].id, "d2");
    assert_eq!(&*paths.gateways(&"s1".into(), at(2_000))[0].zone, "a");
}

#[test]
fn direct_connections_are_attempted_regularly_and_soon_after_one_succeeds() {
    let mut paths = paths();
    lose(&mut paths, &["s1", "s2", "s3"], at(0));
    assert!(paths.start_probes(at(999)).is_empty());
    assert_eq!(paths.start_probes(at(1_000)).len(), 3);
    assert!(paths.start_probes(at(1_100)).is_empty());
    paths.connected(&"s1".into(), &"app".into(), at(1_100));
    assert_eq!(paths.start_probes(at(1_300)).len(), 2);
}

#[rstest]
#[case::one_server(&["s1"], &[], false)]
#[case::most_servers(&["s1", "s2"], &["s3"], true)]
#[case::half_of_the_servers(&["s1", "s2"], &["s3", "s4"], false)]
#[case::no_direct_response(&["s1", "s2"], &[], true)]
fn a_partition_is_of_most_servers_of_a_service(
    #[case] lost: &[&str],
    #[case] direct: &[&str],
    #[case] is_partitioned: bool,
) {
    let mut paths = paths();
    lose(&mut paths, lost, at(0));
    direct.iter().for_each(|server| paths.responded(&(*server).into(), &"app".into(), at(100)));
    paths.responded(&"other-1".into(), &"other".into(), at(100));
    assert_eq!(paths.is_partitioned(&"app".into(), at(200)), is_partitioned);
    assert!(!paths.is_partitioned(&"other".into(), at(200)));
    assert_eq!(paths.partitioned(at(200)).len(), usize::from(is_partitioned));
}

#[test]
fn the_path_to_a_silent_server_is_checked_once_a_second_while_it_is_direct() {
    let mut paths = paths();
    assert!(paths.start_check(&"s1".into(), at(0)));
    assert!(!paths.start_check(&"s1".into(), at(999)));
    lose(&mut paths, &["s1"], at(999));
    assert!(!paths.start_check(&"s1".into(), at(1_000)));
}

#[test]
fn connections_through_a_host_that_leaves_are_not_used() {
    let mut paths = paths();
    assert!(paths.is_usable(&"b1".into()));
    paths.set_gateways(vec![gateway("a1", "a")]);
    assert!(!paths.is_usable(&"b1".into()));
}
