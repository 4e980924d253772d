//! Requests that are prepared and can't be written before something has changed that forbids them.

mod common;

use std::{cell::Cell, time::Duration};

use common::{
    TIMEOUT, TestHost, request, resumable, route,
    server::{Server, answer},
    within,
};
use relay::clock::{self, Clock};
use rstest::rstest;
use types::routed::{Kind, Route};

/// Timeout of each request, so long that only a simulated stall reaches it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3600);

thread_local! {
    /// Total time for which the test has simulated a stall.
    static STALLED: Cell<Duration> = const { Cell::new(Duration::ZERO) };

    /// Time for which the host stalls after it has prepared the next request.
    static NEXT_STALL: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn stall() {
    STALLED.set(STALLED.get() + NEXT_STALL.take());
}

fn with_timeout(route: Route) -> Route {
    Route { timeout: REQUEST_TIMEOUT, ..route }
}

async fn start_host(route: Route, server: &Server) -> TestHost {
    let clock = Clock::from_fn(|| clock::boot_time() + STALLED.get());
    TestHost::start_with_forwards(clock, route, &[server], stall).await
}

/// Checks that a request is refused as not run, and that no byte of it reaches its server.
async fn check_unwritten(host: &TestHost, server: &Server) {
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    assert_eq!(caller.answer().await.status, 503);
    drop(caller);
    assert_eq!(server.accept().await.drain().await, 0);
}

/// Guards against requests that reach a server after their callers have given up.
#[rstest]
#[case::idempotent(with_timeout(route(Kind::Idempotent)))]
#[case::non_idempotent(with_timeout(route(Kind::NonIdempotent)))]
#[case::stream(with_timeout(resumable()))]
#[tokio::test]
async fn a_request_is_not_written_after_its_deadline(#[case] route: Route) {
    let one = Server::listen("one").await;
    let host = start_host(route, &one).await;
    NEXT_STALL.set(REQUEST_TIMEOUT);
    check_unwritten(&host, &one).await;
}

/// Guards against requests to a server that may have left while its host could not hear of it.
#[rstest]
#[case::idempotent(with_timeout(route(Kind::Idempotent)))]
#[case::non_idempotent(with_timeout(route(Kind::NonIdempotent)))]
#[case::stream(with_timeout(resumable()))]
#[tokio::test]
async fn a_request_is_not_written_once_its_server_may_have_left(#[case] route: Route) {
    let one = Server::listen("one").await;
    let host = start_host(route, &one).await;
    host.objects.set_silent(true);
    // The time within which a server that leaves must be left alone.
    NEXT_STALL.set(TIMEOUT);
    check_unwritten(&host, &one).await;
}

/// Answers all requests to a server.
async fn answer_all(server: Server) {
    loop {
        let mut connection = server.accept().await;
        tokio::spawn(async move {
            while connection.try_head().await.is_some() {
                connection.write(&answer("q", "yes")).await;
            }
        });
    }
}

/// Guards against a host that goes on refusing requests once the store has answered again.
#[tokio::test]
async fn requests_are_written_again_once_the_servers_are_known() {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let host = start_host(with_timeout(route(Kind::Idempotent)), &one).await;
    host.objects.set_silent(true);
    NEXT_STALL.set(TIMEOUT);
    let status = async || {
        let mut caller = host.caller().await;
        caller.write("GET /a/x HTTP/1.1\r\nhost: h\r\nrequest-name: q\r\n\r\n").await;
        caller.answer().await.status
    };
    assert_eq!(status().await, 503);
    host.objects.set_silent(false);
    host.register(&two);
    tokio::spawn(answer_all(one));
    tokio::spawn(answer_all(two));
    within(async { while status().await != 200 {} }).await;
}
