//! Servers that leave after a silence of the store, which forgets the watches that were sent to it
//! meanwhile.
//!
//! The tests guard against hosts that take a watch without an answer for proof that nothing has
//! changed. The other hosts' notices do not reach the observed host, so that it has to learn of the
//! departures by its own calls.

use std::{collections::HashMap, time::Duration};

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use standin::routed::{
    links::Delivery,
    server::Settings,
    site::{Site, server_kind},
    store::{Faults, Refusal},
    until,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    relays::{HOSTS, change_servers, grouped_site, relay_with_followers},
    site::{page, site, status_of},
};

/// Servers of the service that is called.
const SERVERS: usize = 12;

/// Servers that leave, one after the other.
const LEAVING: usize = 8;

/// Time between the departures of two servers.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(150);

/// Time after its departure within which a server must be left alone.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Time after a silence in which hosts make contact with the store again.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which hosts hold the store for degraded after a failure.
const DEGRADED_TIME: Duration = Duration::from_secs(8);

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Hosts that the store does not answer.
#[derive(Clone, Copy, Debug)]
enum Silent {
    /// A relay and one of the hosts that follow it.
    RelayAndFollower,
    All,
}

/// Sends requests to a host until `time` is over. Returns the statuses of the answers.
fn send_for(site: &Site, host: usize, time: Duration) -> JoinHandle<Vec<Option<StatusCode>>> {
    let mut caller = site.hosts[host].caller();
    tokio::spawn(async move {
        let (began, mut statuses) = (Instant::now(), Vec::new());
        while began.elapsed() < time {
            statuses.push(caller.fetch(&page()).await.ok().map(|answer| answer.status));
            sleep(REQUEST_INTERVAL).await;
        }
        statuses
    })
}

/// Returns how long after its departure the last request reached each server, if it was too long.
fn late(site: &Site, left: &[(String, Instant)], within: Duration) -> HashMap<String, Duration> {
    let last = |(id, at): &(String, Instant)| {
        let arrivals = site.backend.server(id).arrivals();
        let last = arrivals.iter().map(|arrival| arrival.at).max().unwrap_or(*at);
        (id.clone(), last.saturating_duration_since(*at))
    };
    left.iter().map(last).filter(|(_, delay)| within < *delay).collect()
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_leaves_after_a_silence_of_the_store_is_left_alone_in_time(
    #[values(Silent::RelayAndFollower, Silent::All)] silent: Silent,
) {
    let site = grouped_site(SERVERS, DRAIN_TIME).await;
    let (relay, followers) = relay_with_followers(&site).await;
    let observed = followers[0];
    let names = match silent {
        Silent::RelayAndFollower => vec![relay, observed],
        Silent::All => (0..HOSTS).collect(),
    };
    let store = &site.backend.store;
    let set = |faults: &Faults| {
        for index in &names {
            store.set_faults(&site.hosts[*index].name, |current| *current = faults.clone());
        }
    };
    let name = &site.hosts[observed].name;
    let unanswered = store.unanswered_watches(name, &server_kind());
    set(&Faults { refusal: Some(Refusal::Silence), ..Faults::default() });
    // Ends the watches, so that the relay's next one is lost.
    change_servers(&site);
    until("the host has sent a watch that is lost", async || {
        unanswered < store.unanswered_watches(name, &server_kind())
    })
    .await;
    set(&Faults::default());
    sleep(CONTACT_TIME).await;
    for other in (0..HOSTS).filter(|other| *other != observed) {
        site.links().set_delivery(other, observed, Delivery::Lost);
    }
    let time = DEPARTURE_INTERVAL * LEAVING as u32 + DRAIN_TIME * 2;
    let sender = send_for(&site, observed, time);
    let mut left = Vec::new();
    for number in 1..=LEAVING {
        let id = format!("app-{number}");
        site.backend.server(&id).drain(None);
        left.push((id, Instant::now()));
        sleep(DEPARTURE_INTERVAL).await;
    }
    let statuses = sender.await.expect("the caller sends to the end");
    let late = late(&site, &left, DRAIN_TIME);
    assert!(late.is_empty(), "late requests from {name}: {late:?}");
    let served = statuses.iter().filter(|status| **status == Some(StatusCode::OK)).count();
    assert!(statuses.len() * 9 / 10 <= served, "{served} of {} served", statuses.len());
    assert!(50 <= statuses.len(), "{} requests", statuses.len());
}

/// The first host learns from the others of a server that comes and goes while the store does not
/// answer it. Its next answer from the store reports both.
#[tokio::test]
async fn a_server_that_has_gone_is_not_taken_in_again_by_a_late_answer() {
    const NEW: &str = "app-new";
    // Less than a silence that hosts do not notice.
    const SILENCE: Duration = Duration::from_millis(1_200);
    const BOUND: Duration = Duration::from_secs(2);
    let mut site = site(3).await;
    site.wait_until_observed().await;
    let store = site.backend.store.clone();
    let first = site.hosts[0].name.clone();
    store.set_faults(&first, |faults| faults.refusal = Some(Refusal::Silence));
    change_servers(&site);
    site.backend.add(Settings::plain(NEW, "app")).await.expect("the server starts");
    let is_used = async |site: &Site| {
        status_of(&site.hosts[0], &page()).await;
        !site.backend.server(NEW).arrivals().is_empty()
    };
    until("the first host uses the new server", async || is_used(&site).await).await;
    // No host reaches the store, so that removed entries may be written again.
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    sleep(SILENCE).await;
    for host in &site.hosts[1..] {
        store.set_faults(&host.name, |faults| *faults = Faults::default());
    }
    site.backend.deregister(NEW);
    let left_at = Instant::now();
    sleep(BOUND).await;
    store.set_faults(&first, |faults| *faults = Faults::default());
    let sender = send_for(&site, 0, BOUND);
    sender.await.expect("the caller sends to the end");
    let late = late(&site, &[(NEW.to_owned(), left_at)], BOUND);
    assert!(late.is_empty(), "late requests: {late:?}");
}

/// A host that is frozen has told the others that it reaches the store, and can't take that back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_in_a_silence_of_the_store_in_which_a_host_is_frozen() {
    // Less than the time after which a host counts as silent.
    const SILENCE: Duration = Duration::from_secs(5);
    let site = grouped_site(SERVERS, DRAIN_TIME).await;
    let (relay, followers) = relay_with_followers(&site).await;
    // Until hosts know that the others reach the store.
    sleep(DEGRADED_TIME).await;
    site.hosts[relay].signal(Signal::SIGSTOP);
    let store = &site.backend.store;
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    let senders: Vec<_> = followers.iter().map(|host| send_for(&site, *host, SILENCE)).collect();
    let mut statuses = Vec::new();
    for sender in senders {
        statuses.extend(sender.await.expect("the caller sends to the end"));
    }
    site.hosts[relay].signal(Signal::SIGCONT);
    let failed = statuses.iter().filter(|status| **status != Some(StatusCode::OK)).count();
    assert!(failed * 100 <= statuses.len(), "{failed} of {} are not served", statuses.len());
    assert!(200 <= statuses.len(), "{} requests", statuses.len());
}
