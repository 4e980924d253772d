//! Servers that fall over when they reject too many requests.

use policy::dispatch::{Dispatcher, End, HostStart, NotRun, RetryBudgetConfig, Settings, Verdict};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::fixture::{at, request, server};

/// Time after which a server counts as no longer new.
const NOT_NEW: u64 = 1_000;

fn host(name: &str, hosts: u32, slots: u32) -> Dispatcher {
    let mut host = Dispatcher::new(Settings {
        host: name.into(),
        run: 1,
        zone: "a".into(),
        hosts,
        retries: RetryBudgetConfig::default(),
    });
    host.registered(HostStart::First);
    host.server(&types::routed::Server { slots, ..server("s1", "a", &[]) }, at(0));
    let live = (0..hosts).map(|number| format!("h{number}").as_str().into());
    host.share_among(std::iter::empty(), live.collect(), at(0));
    host
}

fn hosts(count: u32, slots: u32, tolerated: u32) -> Vec<Dispatcher> {
    let names = (0..count).map(|number| format!("h{number}"));
    let mut hosts: Vec<Dispatcher> = names.map(|name| host(&name, count, slots)).collect();
    for host in &mut hosts {
        host.tolerance_stated(&"s1".into(), Some(tolerated), at(0));
    }
    hosts
}

/// Number of requests that a host sends of 100 that arrive at once.
fn sent(host: &mut Dispatcher, now: Moment) -> u32 {
    let arrive = |ticket| host.arrive(request(ticket, Kind::NonIdempotent, now), now);
    (0..100).map(arrive).filter(|verdict| matches!(verdict, Verdict::Send(_))).count() as u32
}

#[rstest]
#[case::fewer_hosts_than_slots(4, 6)]
#[case::as_many(6, 6)]
#[case::more_hosts_than_slots(82, 24)]
#[case::one_host(1, 6)]
fn hosts_that_know_nothing_of_each_other_fill_a_new_server_and_no_more(
    #[case] count: u32,
    #[case] slots: u32,
) {
    let mut hosts = hosts(count, slots, 2);
    let sent: u32 = hosts.iter_mut().map(|host| sent(host, at(10))).sum();
    assert_eq!(sent, slots);
}

#[test]
fn few_hosts_exceed_their_part_of_a_server_that_is_known_to_be_free() {
    let mut hosts = hosts(8, 16, 4);
    let sent: Vec<u32> = hosts.iter_mut().map(|host| sent(host, at(NOT_NEW))).collect();
    // Two of sixteen slots are each host's part; half of the tolerated number may use more, up to
    // three quarters of the slots.
    assert_eq!(sent.iter().filter(|sent| **sent == 12).count(), 2, "{sent:?}");
    assert_eq!(sent.iter().filter(|sent| **sent == 2).count(), 6, "{sent:?}");
}

#[test]
fn a_host_keeps_to_its_part_after_a_rejection() {
    let mut host = host("h0", 2, 8);
    host.tolerance_stated(&"s1".into(), Some(20), at(0));
    let now = at(NOT_NEW);
    assert!(matches!(host.arrive(request(1_000, Kind::NonIdempotent, now), now), Verdict::Send(_)));
    host.ended(1_000, End::NotRun(NotRun::Full), now);
    assert_eq!(sent(&mut host, now + at(100)), 4);
}

#[test]
fn a_service_whose_servers_state_nothing_any_more_is_used_as_before() {
    let mut host = host("h0", 8, 8);
    let usual = sent(&mut host.clone(), at(2_000));
    assert!(host.tolerance_stated(&"s1".into(), Some(2), at(0)).is_some());
    assert!(host.tolerance_stated(&"s1".into(), None, at(900)).is_none());
    assert!(host.tolerance_stated(&"s1".into(), None, at(1_000)).is_some());
    assert_eq!(sent(&mut host, at(2_000)), usual);
}
