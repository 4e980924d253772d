//! Failures of the store, during which requests are still served.

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
    HOST, backend, chat, declaration, declare_route, page, server_of, site, site_with_info_log,
    start_site, status_of, ticket,
};

async fn assert_served(host: &Host) {
    for request in [page(), ticket(), chat()] {
        assert_eq!(status_of(host, &request).await, Some(StatusCode::OK));
    }
}

/// Declares one more route, and waits until every host serves it.
async fn declare_and_wait(site: &Site, version: u64) {
    let request = declare_route(site, version);
    for host in &site.hosts {
        until("the declaration is in force", async || {
            status_of(host, &request.with_new_id()).await == Some(StatusCode::OK)
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
            assert_served(host).await;
        }
        assert_eq!(host.readiness_status().await, Some(StatusCode::OK));
    }
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = None);
    declare_and_wait(&site, 11).await;
}

/// Whether the last state that a host logged for this dependency is `state`.
fn last_logged_state_is(host: &Host, name: &str, state: &str) -> bool {
    let log = host.log();
    let last = log.iter().rfind(|line| line["kind"] == "dependency" && line["name"] == name);
    last.is_some_and(|line| line["state"] == state)
}

#[tokio::test]
async fn an_outage_is_told_by_the_calls_that_got_no_answer() {
    let site = site_with_info_log().await;
    let host = &site.hosts[0];
    let dependencies = ["store", "watch of the declaration", "watch of servers"];
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    for dependency in dependencies {
        until("the loss of the dependency is logged", async || {
            last_logged_state_is(host, dependency, "lost")
        })
        .await;
    }
    site.backend.store.set_faults_everywhere(|faults| faults.refusal = None);
    for dependency in dependencies {
        until("the return of the dependency is logged", async || {
            last_logged_state_is(host, dependency, "regained")
        })
        .await;
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
    let site = start_site(backend, 1).await;
    until("the host has called the store", async || 0 < store.count("host-0").refused).await;
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::SERVICE_UNAVAILABLE));
    store.set_faults("host-0", |faults| faults.refusal = None);
    site.wait_until_ready().await;
    assert_served(&site.hosts[0]).await;
}

/// The addresses of peers in the settings have another port than the one at which hosts listen for
/// each other; with `peers_share_port` the host uses its own peer port instead.
#[tokio::test]
async fn a_host_finds_its_peers_by_the_port_that_they_share_while_the_store_is_away() {
    let mut site = site(1).await;
    let peer_address = site.hosts[0].peers().expect("the host listens for peers");
    let store = &site.backend.store;
    store.open("host-1").await.expect("the store opens an endpoint");
    store.set_faults("host-1", |faults| faults.refusal = Some(Refusal::Down));
    let change = |settings: &mut Value| {
        let callers = settings["host"]["callers"].as_str().and_then(|text| text.parse().ok());
        let own =
            SocketAddr::new(callers.map(|it: SocketAddr| it.ip()).unwrap(), peer_address.port());
        settings["host"]["peers"] = json!(own);
        settings["peers"] = json!([SocketAddr::new(peer_address.ip(), 1)]);
        settings["peers_share_port"] = json!(true);
    };
    site.add(change).await.expect("the host starts").wait_until_ready().await;
}

/// A slow store doesn't count as unreachable: its late answers are used.
#[rstest]
#[case::a_little(Duration::from_millis(600))]
#[case::very(Duration::from_millis(1600))]
#[tokio::test]
async fn a_slow_store_delays_only_what_needs_it(#[case] delay: Duration) {
    let site = site(1).await;
    site.backend.store.set_faults_everywhere(|faults| faults.delay = delay);
    assert_served(&site.hosts[0]).await;
    declare_and_wait(&site, 11).await;
}

#[tokio::test]
async fn a_history_that_is_gone_is_read_anew() {
    let mut site = site(1).await;
    for version in [11, 12] {
        site.backend.store.put(&"notes".into(), "a", serde_json::json!(version));
        site.backend.store.compact();
        assert_served(&site.hosts[0]).await;
        declare_and_wait(&site, version).await;
    }
    site.backend.add(Settings::plain("other-2", "other")).await.unwrap();
    site.backend.deregister("other-1");
    site.backend.store.compact();
    let deep = RequestSpec::to(HOST, "/pages/deep/x");
    until("the list of servers is read again", async || {
        server_of(&site.hosts[0], &deep.with_new_id()).await.as_deref() == Some("other-2")
    })
    .await;
}

#[tokio::test]
async fn a_list_of_many_pages_is_read_whole() {
    let backend = backend().await;
    backend.store.set_page_size(2);
    backend.declare(&declaration());
    let site = start_site(backend, 1).await;
    site.wait_until_ready().await;
    let deep = RequestSpec::to(HOST, "/pages/deep/x");
    for request in [page(), ticket(), chat(), deep] {
        assert_eq!(status_of(&site.hosts[0], &request).await, Some(StatusCode::OK));
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
    assert_eq!(
        answer,
        Some(StatusCode::OK),
        "a request waits for a server that is absent for half a second"
    );
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
    declare_and_wait(&site, 11).await;
    site.backend.server("app-1").drain(None);
    until("the host learns from its peers that a server is leaving", async || {
        let runs_before = site.backend.server("app-1").runs().len();
        for _ in 0..6 {
            assert_eq!(status_of(host, &ticket()).await, Some(StatusCode::OK));
        }
        site.backend.server("app-1").runs().len() == runs_before
    })
    .await;
    assert_eq!(host.readiness_status().await, Some(StatusCode::OK));
}
