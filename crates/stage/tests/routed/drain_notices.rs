//! Servers that state in their answers that they are leaving, while the store says that they are
//! ready.

use std::time::Duration;

use rstest::rstest;
use standin::routed::{caller::RequestSpec, server::Server, site::Site};
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep},
};

use crate::site::{chat, page, site};

/// Time after an answer that states that its server is leaving, until which requests may reach the
/// server.
const DRAIN: Duration = Duration::from_secs(2);

const LENGTH: Duration = Duration::from_secs(5);
const INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests through these hosts in turn. Returns how many were sent, and how many were served.
async fn send(site: &Site, hosts: &[usize], request: &RequestSpec, length: Duration) -> (u32, u32) {
    let (start, mut due, mut requests) = (Instant::now(), interval(INTERVAL), JoinSet::new());
    for host in hosts.iter().cycle() {
        if length <= start.elapsed() {
            break;
        }
        due.tick().await;
        let (mut caller, spec) = (site.hosts[*host].caller(), request.with_new_id());
        requests.spawn(async move {
            caller.fetch(&spec).await.is_ok_and(|answer| answer.status.is_success())
        });
    }
    let served = requests.join_all().await;
    (served.len() as u32, served.iter().filter(|is_served| **is_served).count() as u32)
}

/// Number of requests that reached a server later than [`DRAIN`] after this time.
fn late(server: &Server, stated_at: Instant) -> usize {
    server.arrivals().iter().filter(|arrival| stated_at + DRAIN < arrival.at).count()
}

#[rstest]
#[case::plain("app-1", page())]
#[case::streams("lm-1", chat())]
#[tokio::test]
async fn a_server_that_says_in_its_answers_that_it_leaves_gets_no_more_requests(
    #[case] leaving: &str,
    #[case] request: RequestSpec,
) {
    let site = site(2).await;
    send(&site, &[0, 1], &request, Duration::from_millis(500)).await;
    let server = site.backend.server(leaving);
    server.script(|script| script.is_leaving = true);
    let stated_at = Instant::now();
    let (sent, served) = send(&site, &[0, 1], &request, LENGTH).await;
    assert!(server.arrivals().iter().any(|arrival| stated_at < arrival.at), "it stated nothing");
    assert_eq!(late(server, stated_at), 0, "requests reached the leaving server late");
    assert_eq!(served, sent, "requests were lost");
}

/// Only one host gets an answer of the server. The others, and a host that starts later, learn it
/// from each other.
#[tokio::test]
async fn hosts_learn_from_each_other_that_a_server_leaves() {
    let mut site = site(3).await;
    site.backend.server("app-1").script(|script| script.is_leaving = true);
    let stated_at = Instant::now();
    send(&site, &[0], &page(), Duration::from_secs(1)).await;
    site.hosts[2].kill();
    site.restart(2).await.expect("the host starts");
    site.hosts[2].wait_until_ready().await;
    sleep((stated_at + DRAIN).saturating_duration_since(Instant::now())).await;
    let (sent, served) = send(&site, &[1, 2], &page(), Duration::from_secs(2)).await;
    let server = site.backend.server("app-1");
    assert_eq!(late(server, stated_at), 0, "requests reached the leaving server late");
    assert_eq!(served, sent, "requests were lost");
}
