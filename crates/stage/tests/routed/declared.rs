//! Matching of requests to declared routes, and changes of the declaration.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::{caller::RequestSpec, host::Host, site::Site, until};
use types::routed::{Declaration, Kind};

use crate::site::{
    HOST, PAGES, backend, declaration, page, route, server_of, site, start_site, status_of,
};

#[rstest]
#[case::shorter("/pages/x", "app")]
#[case::the_prefix_itself("/pages/", "app")]
#[case::longer("/pages/deep/x", "other")]
#[case::not_yet_the_longer("/pages/deep", "app")]
#[tokio::test]
async fn the_longest_prefix_takes_a_request(#[case] path: &str, #[case] service: &str) {
    let site = site(1).await;
    let server = server_of(&site.hosts[0], &RequestSpec::to(HOST, path)).await.unwrap();
    assert!(server.starts_with(service), "{path} went to {server}");
}

#[rstest]
#[case::path(HOST, "/nowhere/x")]
#[case::half_a_prefix(HOST, "/page/x")]
#[case::prefix_without_its_slash(HOST, "/pages")]
#[case::host("elsewhere.example", "/pages/x")]
#[case::longer_host("www.desk.example", "/pages/x")]
#[tokio::test]
async fn what_no_route_takes_is_not_found(#[case] host: &str, #[case] path: &str) {
    let site = site(1).await;
    let answer = site.hosts[0].caller().fetch(&RequestSpec::to(host, path)).await.unwrap();
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    assert_eq!(site.backend.runs(), 0);
}

#[rstest]
#[case::port("desk.example:8080")]
#[case::capitals("Desk.Example")]
#[tokio::test]
async fn a_host_is_known_however_it_is_spelled(#[case] host: &str) {
    let site = site(1).await;
    let answer = site.hosts[0].caller().fetch(&RequestSpec::to(host, "/pages/x")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_host_that_knows_no_declaration_refuses_as_not_run() {
    let site = start_site(backend().await, 1).await;
    let host = &site.hosts[0];
    assert_eq!(host.readiness_status().await, Some(StatusCode::SERVICE_UNAVAILABLE));
    let answer = host.caller().fetch(&page()).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.metadata.retry_after.is_some());

    site.backend.declare(&declaration());
    host.wait_until_ready().await;
    assert_eq!(status_of(host, &page()).await, Some(StatusCode::OK));
}

#[tokio::test]
async fn a_split_goes_by_weight() {
    const REQUESTS: usize = 400;
    let backend = backend().await;
    let mut declared = declaration();
    declared.routes[0] = route(PAGES, Kind::Idempotent, &[("app", 3), ("other", 1)]);
    backend.declare(&declared);
    let site = start_site(backend, 1).await;
    site.wait_until_ready().await;
    let mut caller = site.hosts[0].caller();
    for _ in 0..REQUESTS {
        assert_eq!(caller.fetch(&page()).await.unwrap().status, StatusCode::OK);
    }
    let other = site.backend.server("other-1").runs().len();
    assert!(
        (60..140).contains(&other),
        "{other} of {REQUESTS} requests went to a service with a weight of 1 in 4"
    );
}

/// The declaration with [`PAGES`] routed to another service.
fn declaration_with_pages_at(version: u64, service: &str) -> Declaration {
    let mut declared = declaration();
    declared.version = version;
    declared.routes[0] = route(PAGES, Kind::Idempotent, &[(service, 1)]);
    declared
}

async fn goes_to(host: &Host, service: &str) -> bool {
    server_of(host, &page()).await.is_some_and(|server| server.starts_with(service))
}

#[tokio::test]
async fn a_new_declaration_is_in_force_and_never_goes_back() {
    let site = site(2).await;
    site.backend.declare(&declaration_with_pages_at(7, "other"));
    for host in &site.hosts {
        until("the new version is in force", async || goes_to(host, "other").await).await;
    }
    // As after a restore of the store from a backup: it holds an older version.
    site.backend.declare(&declaration_with_pages_at(5, "app"));
    site.wait_until_observed().await;
    for host in &site.hosts {
        for _ in 0..10 {
            assert!(goes_to(host, "other").await, "{} went back to an older version", host.name);
        }
    }
    site.backend.declare(&declaration_with_pages_at(9, "app"));
    for host in &site.hosts {
        until("the newest version is in force", async || goes_to(host, "app").await).await;
    }
}

#[tokio::test]
async fn routes_come_and_go() {
    let site = site(1).await;
    let new = RequestSpec::to(HOST, "/new/x");
    assert_eq!(status_of(&site.hosts[0], &new).await, Some(StatusCode::NOT_FOUND));
    let mut declared = declaration();
    declared.version += 4;
    declared.routes[0] = route("/new/", Kind::Idempotent, &[("other", 1)]);
    site.backend.declare(&declared);
    until("the new route is in force", async || {
        status_of(&site.hosts[0], &new).await == Some(StatusCode::OK)
    })
    .await;
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::NOT_FOUND));
}

#[tokio::test]
async fn requests_in_flight_outlive_the_route_that_took_them() {
    let site = site(1).await;
    site.backend.script(|script| script.work_time = Duration::from_millis(800));
    let mut caller = site.hosts[0].caller();
    let pending = tokio::spawn(async move { caller.fetch(&page()).await });
    until("the request runs", async || site.backend.runs() == 1).await;
    let mut declared = declaration();
    declared.version += 1;
    declared.routes.remove(0);
    site.backend.declare(&declared);
    site.wait_until_observed().await;
    let answer = pending.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
}

#[tokio::test]
async fn a_declaration_that_cannot_be_read_changes_nothing() {
    let site: Site = site(1).await;
    site.backend.store.put(
        &standin::routed::site::declaration_kind(),
        "main",
        serde_json::json!({"version": 99}),
    );
    site.wait_until_observed().await;
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::OK));
    until("the host logs the error", async || {
        site.hosts[0].has_logged("a declaration can't be read")
    })
    .await;
}

/// Guards against a host that plans only when a registration changes: it got the list of servers
/// before the first declaration, and still has to load a model that no server holds.
#[tokio::test]
async fn servers_known_before_the_first_declaration_get_orders() {
    let site = start_site(backend().await, 1).await;
    site.wait_until_observed().await;
    site.backend.declare(&declaration());
    until("an order to load the missing model is sent", async || {
        let mut orders = site.backend.servers.iter().flat_map(|server| server.orders());
        orders.any(|record| &*record.order.model == "notes")
    })
    .await;
}
