//! Connections to servers are reused only if no bytes of the previous exchange can remain on them.

mod common;

use common::{
    TestHost,
    caller::{Caller, End},
    request, route,
    server::{self, Connection, END, Server, answer, events, stream},
};
use rstest::rstest;
use types::routed::Kind;

async fn begin(kind: Kind) -> (TestHost, Server, Caller, Connection) {
    let server = Server::listen("one").await;
    let host = TestHost::start(route(kind), &[&server]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q1")).await;
    let mut connection = server.accept().await;
    connection.receive().await;
    (host, server, caller, connection)
}

/// Asserts that the next request reaches the server on a new connection.
async fn assert_new_connection(server: &Server, caller: &mut Caller) {
    caller.write(&request("q2")).await;
    let mut second = server.accept().await;
    second.receive().await;
    second.write(&answer("q2", "right")).await;
    assert_eq!(&*caller.answer().await.body, "right");
}

#[rstest]
#[case::answer(Kind::NonIdempotent, answer("q1", "yes"))]
#[case::named_time(Kind::NonIdempotent, answer("q1", "yes").replace("seal", "keep-alive: timeout=5\r\nseal"))]
#[case::stream(Kind::Stream, stream("q1") + &events([1]) + END)]
#[tokio::test]
async fn a_connection_serves_one_request_after_another(#[case] kind: Kind, #[case] first: String) {
    let (_host, _server, mut caller, mut connection) = begin(kind).await;
    connection.write(&first).await;
    assert_eq!(caller.answer().await.end, End::Complete);
    caller.write(&request("q2")).await;
    assert_eq!(connection.receive().await.header("request-name"), Some("q2"));
}

#[rstest]
#[case::close(answer("q1", "yes").replace("seal", "connection: close\r\nseal"))]
#[case::close_among_others(answer("q1", "yes").replace("seal", "connection: other, Close\r\nseal"))]
#[case::old_version(answer("q1", "yes").replace("HTTP/1.1", "HTTP/1.0"))]
#[case::old_version_kept(answer("q1", "yes").replace("HTTP/1.1", "HTTP/1.0").replace("seal", "connection: keep-alive\r\nseal"))]
#[case::no_time_left(answer("q1", "yes").replace("seal", "keep-alive: timeout=0\r\nseal"))]
#[case::extra_bytes(answer("q1", "yes") + "more")]
#[case::extra_answer(answer("q1", "yes") + &answer("q2", "wrong"))]
#[case::bytes_beyond_its_length(answer("q1", "yes, and more").replace("length: 13", "length: 3"))]
#[tokio::test]
async fn a_connection_is_not_used_again_after(#[case] bytes: String) {
    let (_host, server, mut caller, mut connection) = begin(Kind::NonIdempotent).await;
    connection.write(&bytes).await;
    assert_eq!(&*caller.answer().await.body, "yes");
    caller.write(&request("q2")).await;
    let mut second = server.accept().await;
    assert_eq!(second.receive().await.header("request-name"), Some("q2"));
    second.write(&answer("q2", "right")).await;
    assert_eq!(&*caller.answer().await.body, "right");
    connection.closed().await;
}

#[tokio::test]
async fn an_extra_answer_between_requests_ends_the_connection() {
    let (_host, server, mut caller, mut connection) = begin(Kind::NonIdempotent).await;
    connection.write(&answer("q1", "yes")).await;
    assert_eq!(&*caller.answer().await.body, "yes");
    connection.write(&answer("q1", "yes")).await;
    connection.closed().await;
    assert_new_connection(&server, &mut caller).await;
}

#[tokio::test]
async fn a_server_that_ends_between_requests_is_called_anew() {
    let (_host, server, mut caller, mut connection) = begin(Kind::NonIdempotent).await;
    connection.write(&answer("q1", "yes")).await;
    assert_eq!(&*caller.answer().await.body, "yes");
    drop(connection);
    assert_new_connection(&server, &mut caller).await;
}

#[tokio::test]
async fn an_extra_answer_where_the_next_is_due_is_not_the_next() {
    let (_host, server, mut caller, mut connection) = begin(Kind::NonIdempotent).await;
    connection.write(&answer("q1", "yes")).await;
    assert_eq!(&*caller.answer().await.body, "yes");
    caller.write(&request("q2")).await;
    connection.receive().await;
    connection.write(&(answer("q1", "yes") + &answer("q2", "right"))).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (502, "ours"));
    connection.closed().await;
    assert!(!server.is_called().await, "repeated a request that may have run");
}

/// Length of a body that exceeds the socket buffers of both ends and stays within the declared
/// limit.
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;

#[tokio::test]
async fn an_answer_before_the_request_was_read_passes_and_ends_the_connection() {
    let server = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[&server]).await;
    let mut caller = host.caller().await;
    let head = request("q1")
        .replace("length: 2\r\n\r\nhi", &format!("length: {LARGE_BODY_BYTES}\r\n\r\n"));
    caller.write(&(head + &"x".repeat(LARGE_BODY_BYTES))).await;
    let mut connection = server.accept().await;
    connection.head().await;
    connection.write(&answer("q1", "early")).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (200, "early"));
    // The server can read only the start of that body before the connection ends.
    assert!(connection.drain().await < LARGE_BODY_BYTES);
    caller.write(&request("q2")).await;
    let mut second = server.accept().await;
    assert_eq!(second.receive().await.header("request-name"), Some("q2"));
    second.write(&server::answer("q2", "right")).await;
    assert_eq!(&*caller.answer().await.body, "right");
}
