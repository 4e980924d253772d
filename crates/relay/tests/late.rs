//! Hosts whose tasks run late for want of processor time.
//!
//! A host shares the thread of its test, so a task that blocks the thread makes the host late.

mod common;

use std::time::Duration;

use common::{
    TestHost,
    caller::Caller,
    request, route,
    server::{Connection, Server, answer},
};
use tokio::task::{AbortHandle, yield_now};
use types::routed::Kind;

/// Time for which the thread is blocked at each turn of the host's tasks.
const BLOCK_TIME: Duration = Duration::from_millis(300);

/// Time within which a host notices that it is late, or on time again: several turns.
const NOTICE_TIME: Duration = Duration::from_millis(1500);

/// Time that a late host can't keep: less than one turn of its tasks.
const SHORT_TIME: Duration = Duration::from_millis(200);

/// Blocks the thread at each turn of the tasks until it is aborted.
fn block() -> AbortHandle {
    let blocking = async {
        loop {
            std::thread::sleep(BLOCK_TIME);
            yield_now().await;
        }
    };
    tokio::spawn(blocking).abort_handle()
}

fn brief(name: &str) -> String {
    let left = SHORT_TIME.as_millis();
    request(name).replace("content-length", &format!("time-left: {left}\r\ncontent-length"))
}

/// Starts a host that has served one request and keeps a connection to its server.
async fn begin() -> (TestHost, Server, Caller, Connection) {
    let server = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&server]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q1")).await;
    let mut connection = server.accept().await;
    connection.receive().await;
    let kept = answer("q1", "yes").replace("seal", "keep-alive: timeout=60\r\nseal");
    connection.write(&kept).await;
    assert_eq!(caller.answer().await.status, 200);
    (host, server, caller, connection)
}

/// Guards against metrics that don't show on which part of the way a request waits before it is
/// sent.
#[tokio::test]
async fn each_part_of_the_time_until_a_request_is_sent_is_recorded() {
    let (host, ..) = begin().await;
    let metrics = host.metrics().await;
    for part in ["decision", "wait", "connect"] {
        let line = format!("cyclamenstage_routed_begin_seconds_count{{part=\"{part}\"}} 1\n");
        assert!(metrics.contains(&line), "{metrics}");
    }
}

/// Guards against a late host that takes in requests which it can't send in time: they keep it late,
/// and their callers hear of it after their deadline.
#[tokio::test]
async fn a_late_host_refuses_what_it_cannot_serve_in_time() {
    let (_host, server, mut caller, mut connection) = begin().await;
    let blocking = block();
    tokio::time::sleep(NOTICE_TIME).await;
    caller.write(&brief("q2")).await;
    assert_eq!(caller.answer().await.status, 503);
    assert!(!server.is_called().await, "the request reached its server");
    blocking.abort();
    tokio::time::sleep(NOTICE_TIME).await;
    caller.write(&brief("q3")).await;
    // The connection that is kept shows each request that was sent.
    assert_eq!(connection.receive().await.header("request-name"), Some("q3"));
    connection.write(&answer("q3", "yes")).await;
    assert_eq!(caller.answer().await.status, 200);
}

/// Guards against a late host that refuses requests which it can still serve by their deadline.
#[tokio::test]
async fn a_late_host_serves_what_has_the_time() {
    let (_host, _server, mut caller, mut connection) = begin().await;
    let blocking = block();
    tokio::time::sleep(NOTICE_TIME).await;
    caller.write(&request("q2")).await;
    assert_eq!(connection.receive().await.header("request-name"), Some("q2"));
    connection.write(&answer("q2", "yes")).await;
    assert_eq!(caller.answer().await.status, 200);
    blocking.abort();
}

/// Guards against a host that takes one pause, as of a stopped process, for lasting lateness.
#[tokio::test]
async fn a_host_that_was_stopped_once_serves_at_once() {
    let (_host, _server, mut caller, mut connection) = begin().await;
    std::thread::sleep(NOTICE_TIME);
    // The host has observed the pause, but nothing since.
    tokio::time::sleep(Duration::from_millis(5)).await;
    caller.write(&brief("q2")).await;
    assert_eq!(connection.receive().await.header("request-name"), Some("q2"));
    connection.write(&answer("q2", "yes")).await;
    assert_eq!(caller.answer().await.status, 200);
}

/// Guards against refused notices that are counted but missing from the host's metrics.
#[tokio::test]
async fn refused_notices_are_exported() {
    let (host, ..) = begin().await;
    tokio::time::sleep(NOTICE_TIME).await;
    let metrics = host.metrics().await;
    assert!(metrics.contains("cyclamenstage_routed_exchange_refused 0\n"), "{metrics}");
}
