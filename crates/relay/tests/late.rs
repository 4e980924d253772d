//! Hosts whose tasks run late for want of processor time.

mod common;

use common::{
    TestHost,
    caller::Caller,
    request, route,
    server::{Connection, Server, answer},
};
use types::routed::Kind;

/// Starts a host that has served one request and keeps a connection to its server.
async fn begin() -> (TestHost, Server, Caller, Connection) {
    let server = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&server]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q1")).await;
    let mut connection = server.accept().await;
    connection.receive().await;
    connection.write(&answer("q1", "yes")).await;
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
