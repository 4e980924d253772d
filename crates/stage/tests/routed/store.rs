//! The store fails in its ways, while requests go on.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    caller::RequestSpec,
    host::Host,
    server::Settings,
    site::{self as sites, Site},
    store::Refusal,
    until,
};

use crate::site::{
    HOST, backend, chat, declaration, declare_route, page, server_of, site, status_of, ticket,
    undeclared, usual_site,
};

async fn serves(host: &Host) {
    for ask in [page(), ticket(), chat()] {
        assert_eq!(status_of(host, &ask).await, Some(StatusCode::OK));
    }
}

/// Declares a further route, and waits until every host serves it.
async fn declares_on(site: &Site, version: u64) {
    let moved = declare_route(site, version);
    for host in &site.hosts {
        until("the declaration is in force", async || {
            status_of(host, &moved.with_new_id()).await == Some(StatusCode::OK)
        })
        .await;
    }
}

#[rstest]
#[case::down(Refusal::Down)]
#[case::too_many_calls(Refusal::TooMany)]
#[case::resetting(Refusal::Reset)]
#[case::silent(Refusal::Silence)]
#[tokio::test]
async fn requests_go_on_without_the_store(#[case] refusal: Refusal) {
    let site = site(2).await;
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = Some(refusal));
    for host in &site.hosts {
        for _ in 0..5 {
            serves(host).await;
        }
        assert_eq!(host.readiness_status().await, Some(StatusCode::OK));
    }
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = None);
    declares_on(&site, 11).await;
}

/// Whether the host's last word on something that it relies on is this one.
fn last_said(host: &Host, name: &str, state: &str) -> bool {
    let log = host.log();
    let last = log.iter().rfind(|line| line["kind"] == "dependency" && line["name"] == name);
    last.is_some_and(|line| line["state"] == state)
}

#[tokio::test]
async fn an_outage_is_told_by_the_calls_that_got_no_answer() {
    let site = usual_site().await;
    let host = &site.hosts[0];
    let sorts = ["store", "watch of the declaration", "watch of servers"];
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    for sort in sorts {
        until("its loss is told", async || last_said(host, sort, "lost")).await;
    }
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = None);
    for sort in sorts {
        until("its return is told", async || last_said(host, sort, "regained")).await;
    }
}

#[rstest]
#[case::down(Refusal::Down)]
#[case::silent(Refusal::Silence)]
#[tokio::test]
async fn a_host_that_starts_without_the_store_waits_for_it(#[case] refusal: Refusal) {
    let backend = backend().await;
    backend.declare(&declaration());
    let store = backend.store.clone();
    store.open("host-0").await.unwrap();
    store.set_faults("host-0", |faults| faults.refusal = Some(refusal));
    let site = undeclared(backend, 1).await;
    until("the host has asked", async || 0 < store.count("host-0").refused).await;
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::SERVICE_UNAVAILABLE));
    store.set_faults("host-0", |faults| faults.refusal = None);
    site.wait_until_ready().await;
    serves(&site.hosts[0]).await;
}

/// The platform names hosts by another port than the one at which they listen for each other.
#[tokio::test]
async fn a_host_finds_its_peers_by_the_port_that_they_share_while_the_store_is_away() {
    let mut site = site(1).await;
    let known = site.hosts[0].peers().expect("its listener for hosts");
    let store = &site.backend.store;
    store.open("host-1").await.expect("a door");
    store.set_faults("host-1", |faults| faults.refusal = Some(Refusal::Down));
    let change = |settings: &mut Value| {
        let callers = settings["host"]["callers"].as_str().and_then(|text| text.parse().ok());
        let own = SocketAddr::new(callers.map(|it: SocketAddr| it.ip()).unwrap(), known.port());
        settings["host"]["peers"] = json!(own);
        settings["peers"] = json!([SocketAddr::new(known.ip(), 1)]);
        settings["peers_share_port"] = json!(true);
    };
    site.add(change).await.expect("a host").wait_until_ready().await;
}

/// A slow store is not one that is gone: what it answers late counts.
#[rstest]
#[case::a_little(Duration::from_millis(600))]
#[case::very(Duration::from_millis(1600))]
#[tokio::test]
async fn a_slow_store_delays_only_what_needs_it(#[case] delay: Duration) {
    let site = site(1).await;
    site.backend.store.set_faults_everywhere(|faults| faults.delay = delay);
    serves(&site.hosts[0]).await;
    declares_on(&site, 11).await;
}

#[tokio::test]
async fn a_history_that_is_gone_is_read_anew() {
    let mut site = site(1).await;
    for version in [11, 12] {
        site.backend.store.put(&"notes".into(), "a", serde_json::json!(version));
        site.backend.store.compact();
        serves(&site.hosts[0]).await;
        declares_on(&site, version).await;
    }
    site.backend.add(Settings::plain("other-2", "other")).await.unwrap();
    site.backend.deregister("other-1");
    site.backend.store.compact();
    let deep = RequestSpec::to(HOST, "/pages/deep/x");
    until("the list of servers is read anew", async || {
        server_of(&site.hosts[0], &deep.with_new_id()).await.as_deref() == Some("other-2")
    })
    .await;
}

#[tokio::test]
async fn a_list_of_many_pages_is_read_whole() {
    let backend = backend().await;
    backend.store.set_page_size(2);
    backend.declare(&declaration());
    let site = undeclared(backend, 1).await;
    site.wait_until_ready().await;
    let deep = RequestSpec::to(HOST, "/pages/deep/x");
    for ask in [page(), ticket(), chat(), deep] {
        assert_eq!(status_of(&site.hosts[0], &ask).await, Some(StatusCode::OK));
    }
}

#[tokio::test]
async fn an_entry_that_expired_and_came_back_is_used_again() {
    let site = site(1).await;
    site.backend.store.remove_temporarily(
        &sites::server_kind(),
        "other-1",
        Duration::from_millis(500),
    );
    let deep = RequestSpec::to(HOST, "/pages/deep/x");
    let answer = status_of(&site.hosts[0], &deep).await;
    assert_eq!(answer, Some(StatusCode::OK), "a request can wait half a second for its server");
}

#[rstest]
#[case::down(Refusal::Down)]
#[case::too_many_calls(Refusal::TooMany)]
#[case::resetting(Refusal::Reset)]
#[case::silent(Refusal::Silence)]
#[tokio::test]
async fn a_host_that_the_store_turns_away_hears_from_its_peers(#[case] refusal: Refusal) {
    let site = site(3).await;
    let host = &site.hosts[0];
    site.backend.store.set_faults(&host.name, |faults| faults.refusal = Some(refusal));
    declares_on(&site, 11).await;
    site.backend.server("app-1").drain(None);
    until("the host hears that a server is leaving", async || {
        let before = site.backend.server("app-1").runs().len();
        for _ in 0..6 {
            assert_eq!(status_of(host, &ticket()).await, Some(StatusCode::OK));
        }
        site.backend.server("app-1").runs().len() == before
    })
    .await;
    assert_eq!(host.readiness_status().await, Some(StatusCode::OK));
}
