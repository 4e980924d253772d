//! Outages of the store after which watches stay without an answer.
//!
//! The tests guard against hosts that use an old declaration or list of servers after the store is
//! back. All hosts watch from the same moment. The store stops answering, the watches time out and
//! are sent again during the outage; the store then answers every other call within milliseconds
//! and takes newer declarations, but these watches stay unanswered until they time out (5.8 s after
//! they were sent, up to 4.7 s after the store is back). As the watches of all hosts are stalled
//! alike, no host can inform another. A host that relies on such a watch still routes by the old
//! declaration 3 s after the operators got the confirmation of a newer one.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    site::{self as sites, Site},
    store::{CallKind, Faults, Refusal},
    until,
};
use tokio::time::{Instant, sleep};
use types::routed::Kind;

use crate::{
    organisations::{HARBOUR_KEY, SPARE_KEY, customers},
    site::{HOST, declaration, declare_route, page, route, site, status_of, ticket},
};

/// Time after an outage within which hosts have to know the current state of the store. It covers
/// the limits that hold without an outage: 2 s until a declaration is in force, and 2 s until a
/// leaving server gets no more requests.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Time for which hosts hold the store for degraded after a failure.
const DEGRADED_TIME: Duration = Duration::from_secs(8);

/// More than one host, and each outage affects all of them: a host whose watches work would inform
/// the others.
const HOSTS: usize = 3;

/// Enough hosts that some aren't scouts (`policy::follow`). A watch of such a host waits long for a
/// change.
const HOSTS_WITH_FOLLOWERS: usize = 6;

/// How long, and for which calls, the store doesn't answer.
#[derive(Clone, Copy)]
enum Outage {
    /// All calls, until watches have timed out and were sent again.
    Long,
    /// All calls, but so briefly that hardly any call but the pending watches is affected.
    Short,
    /// Only watches; all other calls are answered.
    WatchesOnly,
}

/// Starts hosts that watch from the same moment on, and returns when the store is back after an
/// outage.
async fn site_after(outage: Outage) -> Site {
    let site = site(HOSTS).await;
    declare_route(&site, 10);
    site.wait_until_observed().await;
    let store = &site.backend.store;
    let stalled = match outage {
        Outage::Long => 2,
        Outage::Short | Outage::WatchesOnly => 1,
    };
    store.set_faults_everywhere(|faults| match outage {
        Outage::Long | Outage::Short => faults.refusal = Some(Refusal::Silence),
        Outage::WatchesOnly => faults.unanswered = Some(CallKind::Watch),
    });
    for host in &site.hosts {
        for kind in [sites::declaration_kind(), sites::server_kind()] {
            until("watches are stalled", async || {
                stalled <= store.unanswered_watches(&host.name, &kind)
            })
            .await;
        }
    }
    store.set_faults_everywhere(|faults| *faults = Faults::default());
    site
}

#[rstest]
#[case::long(Outage::Long)]
#[case::short(Outage::Short)]
#[case::unseen(Outage::WatchesOnly)]
#[tokio::test]
async fn a_declaration_is_in_force_in_time_after_a_silence(#[case] outage: Outage) {
    let site = site_after(outage).await;
    let request = declare_route(&site, 11);
    sleep(RECOVERY_TIME).await;
    for host in &site.hosts {
        let status = status_of(host, &request.with_new_id()).await;
        assert_eq!(status, Some(StatusCode::OK), "{} does not use the declaration", host.name);
    }
}

#[rstest]
#[case::long(Outage::Long)]
#[case::short(Outage::Short)]
#[case::unseen(Outage::WatchesOnly)]
#[tokio::test]
async fn a_leaving_server_is_left_alone_in_time_after_a_silence(#[case] outage: Outage) {
    let site = site_after(outage).await;
    let leaving = site.backend.server("app-1");
    leaving.drain(None);
    sleep(RECOVERY_TIME).await;
    let runs_before = leaving.runs().len();
    for host in &site.hosts {
        for _ in 0..6 {
            assert_eq!(status_of(host, &ticket()).await, Some(StatusCode::OK));
        }
        assert_eq!(
            leaving.runs().len(),
            runs_before,
            "{} still sends requests to the leaving server",
            host.name
        );
    }
}

/// What a host lacks that can't reach the store.
#[derive(Clone, Copy)]
enum Lacking {
    Route,
    Key,
}

#[rstest]
#[case::route(Lacking::Route, StatusCode::NOT_FOUND)]
#[case::key(Lacking::Key, StatusCode::UNAUTHORIZED)]
#[tokio::test]
async fn nothing_is_refused_for_good_by_a_declaration_that_may_be_outdated(
    #[case] lacking: Lacking,
    #[case] refusal: StatusCode,
) {
    let site = site(1).await;
    let mut declared = declaration();
    declared.version = 10;
    site.backend.declare_with(&declared, &customers(&[HARBOUR_KEY]));
    let host = &site.hosts[0];
    let request = match lacking {
        Lacking::Route => RequestSpec::to(HOST, "/new/x").key(HARBOUR_KEY),
        Lacking::Key => page().key(SPARE_KEY),
    };
    until("the host refuses what is not declared", async || {
        status_of(host, &request.with_new_id()).await == Some(refusal)
    })
    .await;
    let store = &site.backend.store;
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    declared.version = 11;
    declared.routes.push(route("/new/", Kind::Idempotent, &[("app", 1)]));
    site.backend.declare_with(&declared, &customers(&[HARBOUR_KEY, SPARE_KEY]));
    sleep(RECOVERY_TIME).await;
    let answer = host.caller().fetch(&request.with_new_id()).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.metadata.retry_after.is_some());

    store.set_faults_everywhere(|faults| *faults = Faults::default());
    until("the new declaration is in force", async || {
        status_of(host, &request.with_new_id()).await == Some(StatusCode::OK)
    })
    .await;
    let unknown = RequestSpec::to(HOST, "/nowhere/x").key(HARBOUR_KEY);
    assert_eq!(status_of(host, &unknown).await, Some(StatusCode::NOT_FOUND));
}

/// Guards against a host that refuses requests because the store does not answer it, although other
/// hosts know the servers.
#[rstest]
#[case::silence(Refusal::Silence)]
#[case::down(Refusal::Down)]
#[tokio::test]
async fn a_host_that_only_the_store_does_not_answer_serves_all_requests(#[case] refusal: Refusal) {
    // Longer than a watch is trusted and a departure may take.
    const OUTAGE: Duration = Duration::from_secs(12);
    let site = site(HOSTS).await;
    site.wait_until_observed().await;
    // Until hosts know that the others reach the store.
    sleep(DEGRADED_TIME).await;
    let host = &site.hosts[0];
    site.backend.store.set_faults(&host.name, |faults| faults.refusal = Some(refusal));
    let end = Instant::now() + OUTAGE;
    let mut statuses = Vec::new();
    while Instant::now() < end {
        statuses.push(status_of(host, &page()).await);
        sleep(Duration::from_millis(50)).await;
    }
    let served = statuses.iter().filter(|status| **status == Some(StatusCode::OK)).count();
    assert_eq!(served, statuses.len(), "{statuses:?}");
}

/// The registrations of healthy servers expire during an outage and are back a little later. A host
/// that knows of the outage goes on using such a server; one that doesn't would remove it.
#[tokio::test]
async fn a_server_whose_entry_runs_out_in_a_silence_is_used_on() {
    const OUTAGE: Duration = Duration::from_secs(3);
    const ABSENCE: Duration = Duration::from_millis(1000);
    let site = site(HOSTS).await;
    site.wait_until_observed().await;
    let store = &site.backend.store;
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    sleep(OUTAGE).await;
    store.set_faults_everywhere(|faults| *faults = Faults::default());
    store.remove_temporarily(&sites::server_kind(), "other-1", ABSENCE);
    assert_reachable_throughout(&site, ABSENCE).await;
}

/// Asserts that during a span every host finds a server for each request and doesn't wait for a
/// registration.
async fn assert_reachable_throughout(site: &Site, span: Duration) {
    let deep = RequestSpec::to(HOST, "/pages/deep/x");
    let end = Instant::now() + span;
    while Instant::now() < end {
        for host in &site.hosts {
            let began = Instant::now();
            let status = status_of(host, &deep.with_new_id()).await;
            assert_eq!(status, Some(StatusCode::OK), "{} found no server", host.name);
            assert!(
                began.elapsed() < span / 2,
                "{} waited for the registration of a server",
                host.name
            );
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn entries_that_run_out_while_a_watch_waits_through_a_silence_cost_no_server() {
    const ABSENCE: Duration = Duration::from_millis(800);
    let site = site(HOSTS_WITH_FOLLOWERS).await;
    site.wait_until_observed().await;
    // Hosts call the store often until they know each other.
    sleep(RECOVERY_TIME).await;
    let store = &site.backend.store;
    store.put(&sites::server_kind(), "mark", serde_json::json!({"mark": 1}));
    sleep(RECOVERY_TIME / 4).await;
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Hold));
    sleep(RECOVERY_TIME).await;
    store.remove_temporarily(&sites::server_kind(), "other-1", ABSENCE);
    store.set_faults_everywhere(|faults| *faults = Faults::default());
    assert_reachable_throughout(&site, ABSENCE).await;
}

#[tokio::test]
async fn a_server_is_used_again_once_its_entry_is_back_whatever_peers_said() {
    const ABSENCE: Duration = Duration::from_millis(500);
    let site = site(2).await;
    site.wait_until_observed().await;
    let store = &site.backend.store;
    let second = &site.hosts[1].name;
    store.set_faults(second, |faults| faults.refusal = Some(Refusal::Silence));
    sleep(RECOVERY_TIME).await;
    store.set_faults(second, |faults| *faults = Faults::default());
    site.wait_until_observed().await;
    store.remove_temporarily(&sites::server_kind(), "other-1", ABSENCE);
    sleep(RECOVERY_TIME).await;
    assert_reachable_throughout(&site, ABSENCE).await;
}

#[tokio::test]
async fn a_server_that_a_peer_only_suspects_is_used_on_by_who_learns_of_it_from_the_peer() {
    const ABSENCE: Duration = Duration::from_millis(1000);
    // Less than the time for which a host lags behind before it asks a peer.
    const LAG: Duration = Duration::from_millis(550);
    let site = site(2).await;
    site.wait_until_observed().await;
    let store = &site.backend.store;
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    sleep(RECOVERY_TIME).await;
    store.set_faults_everywhere(|faults| *faults = Faults::default());
    site.wait_until_observed().await;
    store.set_faults(&site.hosts[0].name, |faults| faults.refusal = Some(Refusal::Down));
    // The first host lags behind from here on, and asks the second while the registration is
    // absent.
    store.put(&sites::server_kind(), "mark", serde_json::json!({"mark": 1}));
    sleep(LAG).await;
    store.remove_temporarily(&sites::server_kind(), "other-1", ABSENCE);
    assert_reachable_throughout(&site, ABSENCE).await;
}

/// Guards against a removed server that comes back by a peer's list. It would stay for good, as the
/// store reports each removal only once.
///
/// The first host learns of the removal, then the store refuses its calls. The second host learns
/// of the removal a second later and goes on using the server, as after an outage; it then sees a
/// further change, so it is ahead of the first, which asks it for its list.
#[tokio::test]
async fn a_server_whose_entry_went_does_not_come_back_by_a_peer() {
    const STORE_DELAY: Duration = Duration::from_secs(1);
    let mut site = site(2).await;
    site.wait_until_observed().await;
    let store = site.backend.store.clone();
    let [first, second] = [0, 1].map(|index| site.hosts[index].name.clone());
    store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Silence));
    sleep(RECOVERY_TIME).await;
    store.set_faults_everywhere(|faults| *faults = Faults::default());
    site.wait_until_observed().await;
    // The store evaluates a watch that is sent now a second later.
    store.set_faults(&second, |faults| faults.delay = STORE_DELAY);
    store.put(&sites::server_kind(), "mark", serde_json::json!({"mark": 1}));
    sleep(STORE_DELAY / 4).await;
    site.backend.deregister("other-1");
    let removal = store.revision();
    until("the first host has seen the removal", async || {
        store.watched_from(&first, &sites::server_kind()) >= Some(removal)
    })
    .await;
    store.set_faults(&first, |faults| faults.refusal = Some(Refusal::Down));
    store.put(&sites::server_kind(), "mark", serde_json::json!({"mark": 2}));
    sleep(RECOVERY_TIME).await;
    let runs_before = site.backend.server("other-1").runs().len();
    let deep = RequestSpec::to(HOST, "/pages/deep/x");
    assert_ne!(status_of(&site.hosts[0], &deep).await, Some(StatusCode::OK));
    assert_eq!(
        site.backend.server("other-1").runs().len(),
        runs_before,
        "the removed server is used again"
    );
}

/// Longest time within a span between two renewals of the lease on orders.
async fn longest_renewal_gap(site: &Site, span: Duration) -> Duration {
    let began = Instant::now();
    let (mut renewed, mut longest) = (began, Duration::ZERO);
    let mut revision = site.backend.store.revision_of(&sites::lease_kind(), "orders");
    while began.elapsed() < span {
        sleep(Duration::from_millis(20)).await;
        let now = site.backend.store.revision_of(&sites::lease_kind(), "orders");
        if now != revision {
            (revision, renewed) = (now, Instant::now());
        }
        longest = longest.max(renewed.elapsed());
    }
    longest
}

/// The holder's calls about the lease don't queue behind a list call that gets no answer. Otherwise
/// each such call would cost the lease, and no orders would be sent for seconds.
#[tokio::test]
async fn lists_without_an_answer_do_not_cost_the_lease() {
    const LEASE_TERM: Duration = Duration::from_millis(1500);
    let site = site(2).await;
    let store = &site.backend.store;
    until("a host holds the lease", async || {
        store.revision_of(&sites::lease_kind(), "orders").is_some()
    })
    .await;
    store.set_faults_everywhere(|faults| faults.unanswered = Some(CallKind::List));
    // Ends all watches, after which hosts list the objects again.
    store.put(&"notes".into(), "a", serde_json::json!(1));
    store.compact();
    let longest = longest_renewal_gap(&site, 3 * LEASE_TERM).await;
    assert!(longest < LEASE_TERM, "the lease was not renewed for {longest:?}");
}
