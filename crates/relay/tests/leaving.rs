//! A caller that disconnects cancels its request, whatever state the request is in.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    TestHost, begin, request, resumable, route,
    server::{Server, accept_first, answer, events, stream},
};
use rstest::rstest;
use tokio::net::{TcpSocket, TcpStream};
use types::routed::{Kind, Route};

/// Time given to a host to notice an event where the test can't observe that it has.
const SETTLE_TIME: Duration = Duration::from_millis(250);

#[rstest]
#[tokio::test]
async fn before_the_answer_begins(
    #[values(Kind::Idempotent, Kind::NonIdempotent, Kind::Stream)] kind: Kind,
) {
    let one = Server::listen("one").await;
    let (_host, caller, mut connection) = begin(route(kind), &one).await;
    drop(caller);
    connection.closed().await;
}

/// The part of a cancelled request that its server has not read yet is discarded.
#[tokio::test]
async fn while_its_server_reads_nothing() {
    const BODY: usize = 1024 * 1024;
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::Idempotent), &[&one]).await;
    let mut caller = host.caller().await;
    let head = format!(
        "POST /a/q HTTP/1.1\r\nhost: h\r\nrequest-name: q\r\ncontent-length: {BODY}\r\n\r\n"
    );
    caller.write(&(head + &"x".repeat(BODY))).await;
    tokio::time::sleep(SETTLE_TIME).await;
    drop(caller);
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(one.accept().await.drain().await < BODY);
}

#[tokio::test]
async fn in_the_middle_of_an_answer() {
    let one = Server::listen("one").await;
    let (_host, caller, mut connection) = begin(route(Kind::NonIdempotent), &one).await;
    connection.write(&answer("q", "yes").replace("length: 3", "length: 9")).await;
    drop(caller);
    connection.closed().await;
}

#[rstest]
#[case::resumable(resumable())]
#[case::not_resumable(route(Kind::Stream))]
#[tokio::test]
async fn in_the_middle_of_a_stream(#[case] route: Route) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(route, &one).await;
    connection.write(&(stream("q") + &events([1]))).await;
    caller.head().await;
    caller.chunk().await;
    drop(caller);
    connection.closed().await;
}

#[tokio::test]
async fn while_a_stream_is_taken_to_another_server() {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let host = TestHost::start(resumable(), &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut connection, other) = accept_first(&one, &two).await;
    connection.receive().await;
    connection.write(&(stream("q") + &events([1]))).await;
    drop(connection);
    let mut second = other.accept().await;
    second.receive().await;
    drop(caller);
    second.closed().await;
}

#[tokio::test]
async fn while_no_server_is_there() {
    let one = Server::listen("one").await;
    let host = TestHost::start(route(Kind::NonIdempotent), &[]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    tokio::time::sleep(SETTLE_TIME).await;
    drop(caller);
    tokio::time::sleep(SETTLE_TIME).await;
    host.register(&one);
    assert!(!one.is_called().await);
}

#[tokio::test]
async fn while_no_server_is_there_for_the_rest_of_a_stream() {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let (host, mut caller, mut connection) = begin(resumable(), &one).await;
    connection.write(&(stream("q") + &events([1]))).await;
    caller.head().await;
    drop(connection);
    tokio::time::sleep(SETTLE_TIME).await;
    drop(caller);
    tokio::time::sleep(SETTLE_TIME).await;
    host.register(&two);
    assert!(!two.is_called().await);
}

/// Returns a listener whose backlog is full, and the connections that fill it. A further connection
/// is established only once one of them is accepted.
async fn full_listener() -> (tokio::net::TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(SETTLE_TIME, TcpStream::connect(address)).await
    {
        waiting.push(stream);
    }
    (listener, waiting)
}

#[tokio::test]
async fn while_the_connection_is_being_made() {
    let (listener, waiting) = full_listener().await;
    let one = Server::with_listener("one", listener);
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    tokio::time::sleep(SETTLE_TIME).await;
    drop(caller);
    tokio::time::sleep(SETTLE_TIME).await;
    for _ in &waiting {
        one.accept().await;
    }
    assert!(!one.is_called().await);
}
