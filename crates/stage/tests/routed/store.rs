//! Failures of the store, during which requests are still served.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    caller::Ask,
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
            status_of(host, &request.again()).await == Some(StatusCode::OK)
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
    site.backend.store.everywhere(|mood| mood.refusal = Some(refusal));
    for host in &site.hosts {
        for _ in 0..5 {
            assert_served(host).await;
        }
        assert_eq!(host.says_ready().await, Some(StatusCode::OK));
    }
    site.backend.store.everywhere(|mood| mood.refusal = None);
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
    site.backend.store.everywhere(|mood| mood.refusal = Some(Refusal::Silence));
    for dependency in dependencies {
        until("the loss of the dependency is logged", async || {
            last_logged_state_is(host, dependency, "lost")
        })
        .await;
    }
    site.backend.store.everywhere(|mood| mood.refusal = None);
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
    store.at("host-0", |mood| mood.refusal = Some(refusal));
    let site = start_site(backend, 1).await;
    until("the host has called the store", async || 0 < store.count("host-0").refused).await;
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::SERVICE_UNAVAILABLE));
    store.at("host-0", |mood| mood.refusal = None);
    site.ready().await;
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
    store.at("host-1", |mood| mood.refusal = Some(Refusal::Down));
    let change = |settings: &mut Value| {
        let callers = settings["host"]["callers"].as_str().and_then(|text| text.parse().ok());
        let own =
            SocketAddr::new(callers.map(|it: SocketAddr| it.ip()).unwrap(), peer_address.port());
        settings["host"]["peers"] = json!(own);
        settings["peers"] = json!([SocketAddr::new(peer_address.ip(), 1)]);
        settings["peers_share_port"] = json!(true);
    };
    site.add(change).await.expect("the host starts").ready().await;
}

/// A slow store doesn't count as unreachable: its late answers are used.
#[rstest]
#[case::a_little(Duration::from_millis(600))]
#[case::very(Duration::from_millis(1600))]
#[tokio::test]
async fn a_slow_store_delays_only_what_needs_it(#[case] delay: Duration) {
    let site = site(1).await;
    site.backend.store.everywhere(|mood| mood.delay = delay);
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
    site.backend.forget("other-1");
    site.backend.store.compact();
    let deep = Ask::to(HOST, "/pages/deep/x");
    until("the list of servers is read again", async || {
        server_of(&site.hosts[0], &deep.again()).await.as_deref() == Some("other-2")
    })
    .await;
}

#[tokio::test]
async fn a_list_of_many_pages_is_read_whole() {
    let backend = backend().await;
    backend.store.page(2);
    backend.declare(&declaration());
    let site = start_site(backend, 1).await;
    site.ready().await;
    let deep = Ask::to(HOST, "/pages/deep/x");
    for request in [page(), ticket(), chat(), deep] {
        assert_eq!(status_of(&site.hosts[0], &request).await, Some(StatusCode::OK));
    }
}

#[tokio::test]
async fn an_entry_that_expired_and_came_back_is_used_again() {
    let site = site(1).await;
    site.backend.store.expire(&sites::servers(), "other-1", Duration::from_millis(500));
    let deep = Ask::to(HOST, "/pages/deep/x");
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
    site.backend.store.at(&host.name, |mood| mood.refusal = Some(refusal));
    declare_and_wait(&site, 11).await;
    site.backend.server("app-1").leave(None);
    until("the host learns from its peers that a server is leaving", async || {
        let runs_before = site.backend.server("app-1").runs().len();
        for _ in 0..6 {
            assert_eq!(status_of(host, &ticket()).await, Some(StatusCode::OK));
        }
        site.backend.server("app-1").runs().len() == runs_before
    })
    .await;
    assert_eq!(host.says_ready().await, Some(StatusCode::OK));
}
