//! Requests whose deadlines pass while a host connects to their servers.

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use standin::routed::{caller::RequestSpec, server_links::Cut, until};
use tokio::time::sleep;

use crate::site::{linked_site, page, status_of, ticket};

/// Deadline of a request, shorter than the time limit for a connection through another host.
const SHORT_DEADLINE: Duration = Duration::from_millis(200);

/// Time within which hosts know each other and the servers that each reaches, with some margin.
const ACQUAINTANCE_TIME: Duration = Duration::from_secs(1);

/// Guards against requests that are reported as possibly executed although none of their bytes was
/// sent: callers can't retry those that are not idempotent.
#[rstest]
#[case::idempotent(page())]
#[case::non_idempotent(ticket())]
#[tokio::test]
async fn a_request_whose_deadline_passes_while_its_host_connects_is_refused_as_not_run(
    #[case] request: RequestSpec,
) {
    let site = linked_site(2).await;
    until("the host serves", async || {
        status_of(&site.hosts[0], &request).await == Some(StatusCode::OK)
    })
    .await;
    sleep(ACQUAINTANCE_TIME).await;
    let servers = ["app-1", "app-2"].map(|id| site.backend.server(id));
    let arrivals = || servers.iter().map(|server| server.arrivals().len()).sum::<usize>();
    let before = arrivals();
    site.backend.server_links().cut(0, Cut::Reset);
    site.hosts[1].signal(Signal::SIGSTOP);
    let request = request.with_new_id().deadline(Some(SHORT_DEADLINE));
    let status = status_of(&site.hosts[0], &request).await;
    site.hosts[1].signal(Signal::SIGCONT);
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(arrivals(), before);
}
