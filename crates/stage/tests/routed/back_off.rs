//! Servers that reject requests and state a time for which they want no more.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    server::{Arrival, Fault, Server},
    site::Site,
};
use tokio::{
    task::JoinSet,
    time::{Instant, interval},
};

use crate::site::{chat, page, site};

/// Time that servers ask for, in seconds.
const BACK_OFF: &str = "3";

/// Time after a rejection within which requests may still be on their way.
const TRANSIT: Duration = Duration::from_millis(500);

/// Number of requests that a host may nevertheless send in the rest of the time.
const MAX_SENDS: usize = 2;

const LENGTH: Duration = Duration::from_millis(2_800);

/// Has a server reject all requests, and ask to back off for these seconds.
fn reject(server: &Server, back_off: &str) {
    server.script(|script| {
        script.default_fault = Some(Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE));
        script.back_off = Some(Arc::from(back_off));
    });
}

/// Sends requests through one host, one each `every`. Returns the status of each answer, and the
/// time that it took.
async fn send(
    site: &Site,
    request: &RequestSpec,
    every: Duration,
    length: Duration,
) -> Vec<(Option<StatusCode>, Duration)> {
    let (start, mut due, mut requests) = (Instant::now(), interval(every), JoinSet::new());
    while start.elapsed() < length {
        due.tick().await;
        let (mut caller, spec) = (site.hosts[0].caller(), request.with_new_id());
        requests.spawn(async move {
            let sent_at = Instant::now();
            let answer = caller.fetch(&spec).await;
            (answer.ok().map(|answer| answer.status), sent_at.elapsed())
        });
    }
    requests.join_all().await
}

/// Number of requests that reached a server after the time in which they may still be on their way.
fn late(arrivals: &[Arrival]) -> usize {
    let Some(first) = arrivals.first() else { return 0 };
    arrivals[1..].iter().filter(|arrival| first.at + TRANSIT < arrival.at).count()
}

fn arrivals_since(server: &Server, since: Instant) -> Vec<Arrival> {
    server.arrivals().into_iter().filter(|arrival| since < arrival.at).collect()
}

#[rstest]
#[case::little_load("app-1", page(), 30)]
#[case::its_twin_busy("app-1", page(), 2)]
#[case::streams("lm-1", chat(), 30)]
#[tokio::test]
async fn a_server_that_asks_to_back_off_gets_no_requests_for_that_time(
    #[case] resting: &str,
    #[case] request: RequestSpec,
    #[case] every_ms: u64,
) {
    let site = site(1).await;
    site.backend.script(|script| script.work_time = Duration::from_millis(30));
    let server = site.backend.server(resting);
    reject(server, BACK_OFF);
    let since = Instant::now();
    send(&site, &request, Duration::from_millis(every_ms), LENGTH).await;
    let arrivals = arrivals_since(server, since);
    assert!(!arrivals.is_empty(), "nothing was rejected");
    let late = late(&arrivals);
    assert!(late <= MAX_SENDS, "{late} requests reached the server in the time it asked for");
}

#[tokio::test]
async fn requests_are_rejected_at_once_while_all_servers_want_none() {
    let site = site(1).await;
    let servers = ["app-1", "app-2"].map(|id| site.backend.server(id));
    servers.into_iter().for_each(|server| reject(server, BACK_OFF));
    let since = Instant::now();
    let request = page().deadline(Some(Duration::from_secs(2)));
    let answers = send(&site, &request, Duration::from_millis(20), Duration::from_secs(2)).await;
    for server in servers {
        let late = late(&arrivals_since(server, since));
        assert!(
            late <= MAX_SENDS,
            "{late} requests reached {} in the time it asked for",
            server.id()
        );
    }
    let is_rejected = |status| status == Some(StatusCode::SERVICE_UNAVAILABLE);
    assert!(answers.iter().all(|(status, _)| is_rejected(*status)), "{answers:?}");
    let slowest = answers.iter().map(|(_, took)| *took).max().expect("requests were sent");
    assert!(slowest < Duration::from_millis(700), "a rejection took {slowest:?}");
}

/// Requests that wait for the end of the time are not all sent at once then.
#[tokio::test]
async fn a_server_that_asked_to_back_off_gets_few_requests_at_first() {
    const LENGTH: Duration = Duration::from_millis(3_300);
    // The time ends three times, as the first requests after it are rejected again.
    const ENDS: usize = 3;
    let site = site(1).await;
    let servers = ["app-1", "app-2"].map(|id| site.backend.server(id));
    servers.into_iter().for_each(|server| reject(server, "1"));
    let since = Instant::now();
    send(&site, &page(), Duration::from_millis(10), LENGTH).await;
    for server in servers {
        let mut arrivals = arrivals_since(server, since);
        // Requests that wait go on being sent after the last one is made.
        arrivals.retain(|arrival| arrival.at < since + LENGTH);
        let late = late(&arrivals);
        assert!(late <= ENDS * MAX_SENDS, "{late} requests reached {}", server.id());
    }
}
