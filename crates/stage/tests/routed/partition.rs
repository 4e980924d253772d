//! Hosts that are partitioned from all servers while the store and the other hosts reach them.

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use standin::routed::{caller::RequestSpec, host::Host, server_links::Cut, site::Site, until};
use tokio::time::{Instant, sleep};

use crate::site::{HANDOVER_GAP, HOST, chat, draft, linked_site, page, site, status_of, ticket};

/// Time after the start of a partition within which a partitioned host serves again.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Deadline of requests that are not expected to be served.
const SHORT_DEADLINE: Duration = Duration::from_millis(500);

/// The lines of a host's log about requests and beliefs.
fn stories(host: &Host) -> impl Iterator<Item = Value> {
    let log = host.log().into_iter();
    log.filter_map(|record| serde_json::from_str(record["message"].as_str()?).ok())
}

/// Fetches something of each kind from a host until one attempt at all of them succeeds.
async fn until_served(site: &Site, host: usize) {
    until("the host serves", async || {
        let mut is_served = true;
        for spec in [page(), ticket(), chat(), draft()] {
            is_served &= status_of(&site.hosts[host], &spec).await == Some(StatusCode::OK);
        }
        is_served
    })
    .await;
}

#[rstest]
#[case::hang(Cut::Hang)]
#[case::reset(Cut::Reset)]
#[case::refuse(Cut::Refuse)]
#[tokio::test]
async fn a_partitioned_host_says_through_which_host_it_reaches_servers(#[case] cut: Cut) {
    let site = linked_site(3).await;
    until_served(&site, 0).await;
    site.backend.server_links().cut(0, cut);
    sleep(DETECTION_TIME / 3).await;
    for _ in 0..5 {
        for spec in [page(), ticket()] {
            status_of(&site.hosts[0], &spec).await;
        }
    }
    let stories = || stories(&site.hosts[0]);
    let paths = |state: &str| {
        stories().filter(|line| line["kind"] == "path" && line["state"] == state).count()
    };
    assert!(paths("relayed") != 0, "no line tells of a relayed server");
    let via = stories().find(|line| line["kind"] == "relayed").map(|line| line["via"].clone());
    assert!(via == Some("host-1".into()) || via == Some("host-2".into()), "{via:?}");
    site.backend.server_links().heal(0);
    until("all servers are reached directly", async || paths("direct") == paths("relayed")).await;
    until_served(&site, 0).await;
}

#[tokio::test]
async fn a_service_that_is_down_for_all_hosts_is_not_taken_for_a_partition() {
    let site = site(3).await;
    until_served(&site, 0).await;
    ["app-1", "app-2"].iter().for_each(|id| site.backend.server(id).kill());
    for _ in 0..10 {
        for host in &site.hosts {
            status_of(host, &page().deadline(Some(SHORT_DEADLINE))).await;
        }
    }
    for host in &site.hosts {
        let has_lost_path = stories(host).any(|line| line["kind"] == "path");
        assert!(!has_lost_path, "{} takes it for a partition", host.name);
    }
}

/// Index of the host that sent the last order.
fn last_orderer(site: &Site) -> Option<usize> {
    let orders = site.backend.servers.iter().flat_map(|server| server.orders());
    let last = orders.max_by_key(|order| order.arrived_at)?;
    site.hosts.iter().position(|host| *host.name == *last.order.holder)
}

#[tokio::test]
async fn a_holder_of_the_lease_that_is_partitioned_hands_it_over() {
    let site = linked_site(3).await;
    until("an order is sent", async || {
        status_of(&site.hosts[0], &chat().adapter("a1")).await;
        last_orderer(&site).is_some()
    })
    .await;
    let holder = last_orderer(&site).expect("an order was sent");
    site.backend.server_links().cut(holder, Cut::Hang);
    let cut_at = Instant::now();
    until("another host sends orders", async || {
        for host in &site.hosts {
            // No server has this model.
            let spec = RequestSpec::to(HOST, "/chat/2f").model("notes");
            status_of(host, &spec.deadline(Some(SHORT_DEADLINE))).await;
        }
        last_orderer(&site) != Some(holder)
    })
    .await;
    assert!(cut_at.elapsed() < DETECTION_TIME + 2 * HANDOVER_GAP, "{:?}", cut_at.elapsed());
}

/// A request's server is chosen before a connection through another host is established.
#[tokio::test]
async fn a_server_that_leaves_while_another_host_connects_gets_no_request() {
    let site = linked_site(2).await;
    until_served(&site, 0).await;
    let servers = ["app-1", "app-2"].map(|id| site.backend.server(id));
    site.backend.server_links().cut(0, Cut::Reset);
    site.hosts[1].signal(Signal::SIGSTOP);
    let mut caller = site.hosts[0].caller();
    let pending =
        tokio::spawn(async move { caller.fetch(&ticket().deadline(Some(SHORT_DEADLINE))).await });
    sleep(SHORT_DEADLINE / 10).await;
    servers.iter().for_each(|server| server.drain(None));
    let leaving = || {
        let lines = stories(&site.hosts[0]).filter(|line| line["standing"] == "leaving");
        lines.map(|line| line["server"].to_string()).collect::<BTreeSet<_>>().len()
    };
    until("the host knows that both leave", async || leaving() == servers.len()).await;
    let arrivals = || servers.iter().map(|server| server.arrivals().len()).sum::<usize>();
    let before = arrivals();
    site.hosts[1].signal(Signal::SIGCONT);
    let answer = pending.await.expect("the caller ends").expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(arrivals(), before);
}
