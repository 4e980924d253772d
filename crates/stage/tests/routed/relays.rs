//! Fleets so large that hosts are grouped, and follow the servers through the relay of their group.

use std::{collections::BTreeMap, time::Duration};

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    host::Host,
    links::Delivery,
    server::Settings,
    site::{Backend, Site, ZONES, server_kind},
    until,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::site::{self, declaration, page};

/// More hosts than exchange digests without groups: one group in each of the four zones.
pub(crate) const HOSTS: usize = 24;

/// Servers of the service that is called.
const SERVERS: usize = 18;

/// Servers that leave, one after the other.
const LEAVING: usize = 16;

/// Time between the departures of two servers.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(150);

/// Time after its departure within which a server must be left alone.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Time between two requests to a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// How a host stops responding to the others.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Frozen,
    Killed,
    CutOff,
}

/// Starts hosts with this many servers of the service that is called, which must be left alone within
/// `drain_time` after they leave.
pub(crate) async fn grouped_site(servers: usize, drain_time: Duration) -> Site {
    let apps = (1..=servers).map(|number| Settings::plain(&format!("app-{number}"), "app"));
    let backend = Backend::start(apps.collect()).await.expect("the servers start");
    backend.declare(&declaration());
    let mut site = site::new_site(backend, Site::relay_links);
    for _ in 0..HOSTS {
        let change = |settings: &mut Value| {
            settings["routed"]["drain_ms"] = json!(drain_time.as_millis());
            // Lines on what a host believes are whole lines of standard output only.
            settings["log"] = json!({"level": "info"});
        };
        site.add(change).await.expect("the host starts");
    }
    site.wait_until_ready().await;
    site
}

/// Returns the host from which another one fetches changes of the servers, by its log.
fn relay_of(host: &Host) -> Option<String> {
    let log = host.log();
    let last = log.iter().rfind(|line| line["kind"] == "server-source")?;
    last["from"]["peer"].as_str().map(str::to_owned)
}

/// Writes an object among the servers that describes none.
pub(crate) fn change_servers(site: &Site) {
    let store = &site.backend.store;
    store.put(&server_kind(), "mark", json!({"mark": store.revision()}));
}

/// Waits until all other hosts of some group follow its relay. Returns the indices of the relay and
/// of these hosts.
pub(crate) async fn relay_with_followers(site: &Site) -> (usize, Vec<usize>) {
    /// All hosts of a zone but its relay. The scouts and the holder of the lease are in three of the
    /// four zones at the most.
    const FOLLOWERS: usize = HOSTS / ZONES.len() - 1;
    let mut found = None;
    until("hosts follow a relay", async || {
        // A watch ends with a change; only then does a host turn to its relay.
        change_servers(site);
        let mut groups = BTreeMap::<String, Vec<usize>>::new();
        for (index, host) in site.hosts.iter().enumerate() {
            groups.entry(relay_of(host).unwrap_or_default()).or_default().push(index);
        }
        groups.remove("");
        found = groups.into_iter().max_by_key(|(_, followers)| followers.len());
        found.as_ref().is_some_and(|(_, followers)| followers.len() == FOLLOWERS)
    })
    .await;
    let (relay, followers) = found.expect("hosts follow a relay");
    let index = site.hosts.iter().position(|host| host.name == relay);
    (index.expect("the relay is a host of the site"), followers)
}

fn lose(site: &mut Site, index: usize, loss: Loss) {
    match loss {
        Loss::Frozen => site.hosts[index].signal(Signal::SIGSTOP),
        Loss::Killed => site.hosts[index].kill(),
        Loss::CutOff => {
            for other in (0..HOSTS).filter(|other| *other != index) {
                site.links().set_delivery(index, other, Delivery::Lost);
                site.links().set_delivery(other, index, Delivery::Lost);
            }
        }
    }
}

/// Sends requests to some hosts until `time` is over. Returns the statuses of the answers.
async fn send_for(site: &Site, hosts: &[usize], time: Duration) -> Vec<Option<StatusCode>> {
    let mut senders = JoinSet::new();
    for &host in hosts {
        let mut caller = site.hosts[host].caller();
        senders.spawn(async move {
            let (began, mut statuses) = (Instant::now(), Vec::new());
            while began.elapsed() < time {
                statuses.push(caller.fetch(&page()).await.ok().map(|answer| answer.status));
                sleep(REQUEST_INTERVAL).await;
            }
            statuses
        });
    }
    senders.join_all().await.concat()
}

/// Has servers leave one after the other. Returns when each of them left.
async fn depart(site: &Site) -> Vec<(String, Instant)> {
    let mut left = Vec::new();
    for number in 1..=LEAVING {
        sleep(DEPARTURE_INTERVAL).await;
        let id = format!("app-{number}");
        site.backend.server(&id).drain(None);
        left.push((id, Instant::now()));
    }
    left
}

/// Returns how long after its departure the last request reached each server.
fn delays(site: &Site, left: &[(String, Instant)]) -> Vec<(String, Duration)> {
    let delay = |(id, at): &(String, Instant)| {
        let arrivals = site.backend.server(id).arrivals();
        let last = arrivals.iter().map(|arrival| arrival.at).max().unwrap_or(*at);
        (id.clone(), last.saturating_duration_since(*at))
    };
    left.iter().map(delay).collect()
}

#[rstest]
#[case::frozen(Loss::Frozen)]
#[case::killed(Loss::Killed)]
#[case::cut_off(Loss::CutOff)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_servers_are_left_alone_in_time_though_the_relay_is_lost(#[case] loss: Loss) {
    let mut site = grouped_site(SERVERS, DRAIN_TIME).await;
    let (relay, followers) = relay_with_followers(&site).await;
    lose(&mut site, relay, loss);
    let time = DEPARTURE_INTERVAL * LEAVING as u32 + DRAIN_TIME * 2;
    let (left, statuses) = tokio::join!(depart(&site), send_for(&site, &followers, time));
    if matches!(loss, Loss::Frozen) {
        site.hosts[relay].signal(Signal::SIGCONT);
    }
    let delays = delays(&site, &left);
    let late: Vec<_> = delays.iter().filter(|(_, delay)| DRAIN_TIME < *delay).collect();
    assert!(late.is_empty(), "late requests at {late:?}, of {delays:?}");
    let served = statuses.iter().filter(|status| **status == Some(StatusCode::OK)).count();
    assert!(statuses.len() * 9 / 10 <= served, "{served} of {} served", statuses.len());
    assert!(100 <= statuses.len(), "{} requests", statuses.len());
}
