//! Servers that leave while one host is late: its calls to the store run into their timeouts,
//! although the store answers all hosts at once.
//!
//! The tests guard against a host that takes its own time-outs for a failure of the store. Such a
//! host uses a server whose entry was removed for the grace of a degraded store, counted from the
//! notice of the removal. The age of the notice and the grace together exceed the bound.
//! The cases with one of the two, and servers that are registered as draining, are controls: the
//! same lateness leaves enough time.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use http::StatusCode;
use rstest::rstest;
use serde_json::Value;
use standin::routed::{
    links::Delivery,
    site::{Site, server_kind},
    store::{Faults, Refusal},
    until,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    relays::{HOSTS, change_servers, grouped_site, relay_with_followers},
    site::page,
};

/// Servers of the service that is called.
const SERVERS: usize = 8;

/// Servers that leave, one after the other.
const LEAVING: usize = 6;

/// Time between the departures of two servers, in which the late host fetches the list of a peer.
const DEPARTURE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after its departure within which a server must be left alone.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Callers of each host of the group. Several servers are in use only if requests run at the same time.
const CALLERS: usize = 4;

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Delay of what reaches the late host, and of what it sends. A call to the store takes twice as
/// long, which is more than the timeout of any call but a watch.
const LATENESS: Duration = Duration::from_millis(1_200);

/// The part of its group that the late host has.
#[derive(Clone, Copy, Debug)]
enum Part {
    Follower,
    Relay,
}

/// How the store learns that a server leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    EntryRemoved,
    Draining,
}

/// What reaches the late host late, and leaves it late.
#[derive(Clone, Copy, Debug)]
enum Late {
    /// Calls to the store.
    Store,
    /// Datagrams from and to other hosts.
    Hosts,
    /// Calls to the store, and datagrams from and to other hosts.
    StoreAndHosts,
}

/// Makes a host late. If its calls to the store are late, waits until it holds the store for
/// degraded.
async fn make_late(site: &Site, index: usize, late: Late) {
    if matches!(late, Late::Hosts | Late::StoreAndHosts) {
        for other in (0..HOSTS).filter(|other| *other != index) {
            site.links().set_delivery(index, other, Delivery::Late(LATENESS));
            site.links().set_delivery(other, index, Delivery::Late(LATENESS));
        }
    }
    if matches!(late, Late::Hosts) {
        return sleep(LATENESS).await;
    }
    let host = &site.hosts[index];
    site.backend.store.set_faults(&host.name, |faults| {
        (faults.delay, faults.reply_delay) = (LATENESS, LATENESS);
    });
    // Ends the watches. All hosts list the objects again, and the late host's calls time out.
    change_servers(site);
    site.backend.store.compact();
    until("the late host holds the store for degraded", async || {
        let is_lost = |line: &Value| line["name"] == "registrations" && line["state"] == "lost";
        host.log().iter().any(is_lost)
    })
    .await;
}

/// A request that was sent to a host.
#[derive(Clone, Debug)]
struct Sent {
    id: Arc<str>,
    host: usize,
    status: Option<StatusCode>,
    took: Duration,
}

/// Starts a caller of each of these hosts, which sends requests until `time` is over.
fn send_for(site: &Site, hosts: &[usize], time: Duration) -> JoinSet<Vec<Sent>> {
    let mut senders = JoinSet::new();
    for &host in hosts {
        let mut caller = site.hosts[host].caller();
        senders.spawn(async move {
            let (began, mut sent) = (Instant::now(), Vec::new());
            while began.elapsed() < time {
                let (request, sent_at) = (page().with_new_id(), Instant::now());
                let status = caller.fetch(&request).await.ok().map(|answer| answer.status);
                sent.push(Sent { id: request.id(), host, status, took: sent_at.elapsed() });
                sleep(REQUEST_INTERVAL).await;
            }
            sent
        });
    }
    senders
}

/// Has servers leave one after the other, while they go on answering. Returns when each of them
/// left.
async fn depart(site: &mut Site, departure: Departure) -> Vec<(String, Instant)> {
    let mut left = Vec::new();
    for number in 1..=LEAVING {
        sleep(DEPARTURE_INTERVAL).await;
        let id = format!("app-{number}");
        match departure {
            Departure::EntryRemoved => site.backend.deregister(&id),
            Departure::Draining => site.backend.server(&id).drain(None),
        }
        left.push((id, Instant::now()));
    }
    left
}

#[rstest]
#[case::late_store(Late::Store, Departure::EntryRemoved)]
#[case::late_hosts(Late::Hosts, Departure::EntryRemoved)]
#[case::late_store_and_hosts(Late::StoreAndHosts, Departure::EntryRemoved)]
#[case::draining(Late::StoreAndHosts, Departure::Draining)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_host_leaves_servers_alone_in_time(
    #[values(Part::Follower, Part::Relay)] part: Part,
    #[case] late: Late,
    #[case] departure: Departure,
) {
    let mut site = grouped_site(SERVERS, DRAIN_TIME).await;
    let (relay, followers) = relay_with_followers(&site).await;
    let index = match part {
        Part::Follower => followers[0],
        Part::Relay => relay,
    };
    make_late(&site, index, late).await;
    let group: Vec<usize> = followers.iter().copied().chain([relay]).collect();
    let time = DEPARTURE_INTERVAL * LEAVING as u32 + DRAIN_TIME * 2;
    let senders = send_for(&site, &group.repeat(CALLERS), time);
    let left = depart(&mut site, departure).await;
    let sent = senders.join_all().await.concat();
    let hosts: HashMap<_, _> = sent.iter().map(|sent| (&sent.id, sent.host)).collect();
    let mut last = BTreeMap::new();
    for (id, at) in &left {
        for arrival in site.backend.server(id).arrivals() {
            let delay = arrival.at.saturating_duration_since(*at);
            if let Some(host) = hosts.get(&arrival.id) {
                let longest = last.entry((&site.hosts[*host].name, id)).or_insert(delay);
                *longest = delay.max(*longest);
            }
        }
    }
    last.retain(|_, delay| DRAIN_TIME < *delay);
    let host = &site.hosts[index].name;
    assert!(last.is_empty(), "{host} is late; late requests by host and server: {last:?}");
    let served = sent.iter().filter(|sent| sent.status == Some(StatusCode::OK)).count();
    assert!(sent.len() * 9 / 10 <= served, "{served} of {} served", sent.len());
    assert!(100 <= sent.len(), "{} requests", sent.len());
}

/// The store answers no host, and the entries of sound servers expire meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_whose_entries_expire_while_the_store_is_silent_for_all_hosts_stay_in_use() {
    const OUTAGE: Duration = Duration::from_secs(3);
    const ABSENCE: Duration = Duration::from_secs(1);
    let site = grouped_site(SERVERS, 2 * DRAIN_TIME).await;
    relay_with_followers(&site).await;
    let store = &site.backend.store;
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    sleep(OUTAGE).await;
    store.set_faults_everywhere(|faults| *faults = Faults::default());
    let hosts: Vec<usize> = (0..HOSTS).collect();
    let senders = send_for(&site, &hosts, ABSENCE);
    for number in 1..=SERVERS {
        store.remove_temporarily(&server_kind(), &format!("app-{number}"), ABSENCE);
    }
    let sent = senders.join_all().await.concat();
    let failed: Vec<_> =
        sent.iter().filter(|request| request.status != Some(StatusCode::OK)).collect();
    assert!(failed.is_empty(), "{} of {} failed: {failed:?}", failed.len(), sent.len());
    let longest = sent.iter().map(|request| request.took).max().unwrap_or_default();
    assert!(longest < ABSENCE / 2, "a request waited {longest:?} for the entry of a server");
    assert!(HOSTS <= sent.len(), "{} requests", sent.len());
}
