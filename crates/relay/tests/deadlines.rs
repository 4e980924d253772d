//! A server is never handed more time than the caller has left when the request is written.
//!
//! The host runs on the test's thread, so it stands still while the test blocks that thread.

mod common;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use common::{
    TestHost,
    caller::Caller,
    route,
    server::{Connection, Received, Server, accept_first, answer},
};
use rstest::rstest;
use types::routed::Kind;

/// Time that the caller gives its request.
const CALLER_TIME: Duration = Duration::from_secs(3);

/// Time for which the host stands still.
const STALL: Duration = Duration::from_millis(500);

/// Time by which a server may be handed too much.
const TOLERANCE: Duration = Duration::from_millis(50);

/// Time in which the host reads what has arrived, and notices that it stood still.
const BRIEFLY: Duration = Duration::from_millis(20);

/// Bytes of a field that makes a head longer than a host reads at once.
const LONG_HEAD: usize = 30_000;

/// When a caller connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connecting {
    /// Before the host stands still.
    Before,
    /// Afterwards.
    After,
}

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

/// Returns the time that a request states.
fn time_left(received: &Received) -> Duration {
    let left = received.header("time-left").and_then(|text| text.parse().ok());
    Duration::from_millis(left.expect("the time left"))
}

/// Checks that a request that was written later than `elapsed` after the caller sent it states no
/// more time than was left then.
fn check_time_left(received: &Received, elapsed: Duration) {
    let left = time_left(received);
    assert!(
        left + elapsed <= CALLER_TIME + TOLERANCE,
        "{left:?} were handed on {elapsed:?} after the request, of {CALLER_TIME:?}"
    );
}

/// Sends a request to a host that stands still before it can read it, and checks the time that the
/// server is handed.
async fn check_read_late(server: &Server, caller: &mut Caller, request: &str) {
    let sent_at = Instant::now();
    caller.write(request).await;
    let elapsed = stall(sent_at);
    check_time_left(&server.accept().await.receive().await, elapsed);
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
    check_read_late(&one, &mut caller, &timed_request()).await;
}

/// The same on a connection that has waited to be accepted. The host's timers run before it is read.
#[tokio::test]
async fn of_a_request_whose_connection_is_accepted_late() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let sent_at = Instant::now();
    let mut caller = TcpStream::connect(host.address).expect("a connection");
    caller.write_all(timed_request().as_bytes()).expect("written");
    let elapsed = stall(sent_at);
    check_time_left(&one.accept().await.receive().await, elapsed);
}

/// The same on a connection that the host has accepted, and read before.
#[tokio::test]
async fn of_a_further_request_that_is_read_late() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let mut caller = host.caller().await;
    caller.write(&timed_request()).await;
    let mut first = one.accept().await;
    first.receive().await;
    first.write(&answer("q", "yes")).await;
    assert_eq!(caller.answer().await.status, 200);
    tokio::time::sleep(BRIEFLY).await;
    check_read_late(&one, &mut caller, &timed_request()).await;
}

/// The same with a head that the host can't read at once.
#[tokio::test]
async fn of_a_request_whose_head_takes_several_reads() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let mut caller = host.caller().await;
    let padding = format!("host: h\r\npadding: {}\r\n", "a".repeat(LONG_HEAD));
    let request = timed_request().replace("host: h\r\n", &padding);
    check_read_late(&one, &mut caller, &request).await;
}

/// Guards against a host that counts its pause against a request that was sent afterwards: on a
/// connection that was idle meanwhile, and on one that is new.
#[rstest]
#[case::known(Connecting::Before)]
#[case::new(Connecting::After)]
#[tokio::test]
async fn of_a_request_that_is_sent_after_a_pause(#[case] connecting: Connecting) {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let mut caller = host.caller().await;
    tokio::time::sleep(BRIEFLY).await;
    stall(Instant::now());
    // The host has noticed the pause.
    tokio::time::sleep(BRIEFLY).await;
    if connecting == Connecting::After {
        caller = host.caller().await;
    }
    caller.write(&timed_request()).await;
    let left = time_left(&one.accept().await.receive().await);
    assert!(CALLER_TIME <= left + TOLERANCE, "{left:?} of {CALLER_TIME:?} were handed on");
}

/// Guards against a host that counts its pause against a request whose caller can't have sent it
/// before the host read and answered the one before, after the pause.
#[tokio::test]
async fn of_a_request_after_an_answer_that_was_late() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let mut caller = host.caller().await;
    caller.write("GET /none HTTP/1.1\r\nhost: h\r\nrequest-name: p\r\n\r\n").await;
    stall(Instant::now());
    assert_eq!(caller.answer().await.status, 404);
    caller.write(&timed_request()).await;
    let left = time_left(&one.accept().await.receive().await);
    assert!(CALLER_TIME <= left + TOLERANCE, "{left:?} of {CALLER_TIME:?} were handed on");
}
