//! A server is never handed more time than the caller has left when the request is written.
//!
//! The host runs on the test's thread, so it stands still while the test blocks that thread.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    TestHost, route,
    server::{Connection, Received, Server, accept_first, answer},
};
use types::routed::Kind;

/// Time that the caller gives its request.
const CALLER_TIME: Duration = Duration::from_secs(3);

/// Time for which the host stands still.
const STALL: Duration = Duration::from_millis(500);

/// Time by which a server may be handed too much.
const TOLERANCE: Duration = Duration::from_millis(50);

/// Returns the text of a caller's request that states [`CALLER_TIME`].
fn timed_request() -> String {
    let left = CALLER_TIME.as_millis();
    format!(
        "POST /a/x HTTP/1.1\r\nhost: h\r\nrequest-name: q\r\ntime-left: {left}\r\n\
         content-length: 2\r\n\r\nhi"
    )
}

/// Stops the host for a while. Returns the time since `since` right before the host goes on.
fn stall(since: Instant) -> Duration {
    thread::sleep(STALL);
    since.elapsed()
}

/// Checks that a request that was written later than `elapsed` after the caller sent it states no
/// more time than was left then.
fn check_time_left(received: &Received, elapsed: Duration) {
    let left = received.header("time-left").and_then(|text| text.parse().ok());
    let left = Duration::from_millis(left.expect("the time left"));
    assert!(
        left + elapsed <= CALLER_TIME + TOLERANCE,
        "{left:?} were handed on {elapsed:?} after the request, of {CALLER_TIME:?}"
    );
}

/// Accepts a connection, and stops the host before it can write to it.
async fn accept_and_stall(server: &Server, since: Instant) -> (Connection, Duration) {
    let connection = server.accept().await;
    (connection, stall(since))
}

/// The time left was taken when the server was chosen, before the connection was established.
#[tokio::test]
async fn of_a_request_whose_connection_is_established_late() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let mut caller = host.caller().await;
    let sent_at = Instant::now();
    caller.write(&timed_request()).await;
    let (mut connection, elapsed) = accept_and_stall(&one, sent_at).await;
    check_time_left(&connection.receive().await, elapsed);
}

/// The time that the first attempt took was not deducted, or that of the second connection.
#[tokio::test]
async fn of_a_request_that_is_sent_again() {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one, &two]).await;
    let mut caller = host.caller().await;
    let sent_at = Instant::now();
    caller.write(&timed_request()).await;
    let (mut first, other) = accept_first(&one, &two).await;
    check_time_left(&first.receive().await, sent_at.elapsed());
    tokio::time::sleep(STALL).await;
    first.write(&answer("q", "no").replace("200 OK", "503 No").replace("seal", "not-run")).await;
    let (mut second, elapsed) = accept_and_stall(other, sent_at).await;
    check_time_left(&second.receive().await, elapsed);
}

/// The time left is counted from when the host reads a request, however long the request has waited
/// in the socket for a host that is behind.
#[tokio::test]
async fn of_a_request_that_is_read_late() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let mut caller = host.caller().await;
    let sent_at = Instant::now();
    caller.write(&timed_request()).await;
    let elapsed = stall(sent_at);
    check_time_left(&one.accept().await.receive().await, elapsed);
}
