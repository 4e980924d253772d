//! Verdicts of a host that did not run for a while on servers that have answered meanwhile. A test
//! blocks the only thread of the runtime, which is also the host's.

mod common;

use std::{thread, time::Duration};

use common::{
    TestHost, request, route,
    server::{END, Server, accept_first, answer, events, stream},
};
use rstest::rstest;
use types::routed::Kind;

/// After a pause a host opened another connection to a server whose answer it had not read, to check
/// whether the path to it is sound, or sent the request to another server.
#[rstest]
#[case::non_idempotent(Kind::NonIdempotent, answer("q", "yes"))]
#[case::idempotent(Kind::Idempotent, answer("q", "yes"))]
#[case::stream(Kind::Stream, stream("q") + &events([1]) + END)]
#[tokio::test]
async fn a_server_whose_answer_is_unread_is_not_taken_for_silent(
    #[case] kind: Kind,
    #[case] response: String,
    #[values(300, 600, 900, 1_500)] stall_ms: u64,
) {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let host = TestHost::start(route(kind), &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut connection, other) = accept_first(&one, &two).await;
    connection.receive().await;
    connection.write(&response).await;
    thread::sleep(Duration::from_millis(stall_ms));
    assert_eq!(caller.answer().await.status, 200);
    let (is_one_called, is_two_called) = tokio::join!(one.is_called(), two.is_called());
    let is_other_one = other.id == one.id;
    let (server, other) = match is_other_one {
        true => (is_two_called, is_one_called),
        false => (is_one_called, is_two_called),
    };
    assert!(!other, "the request was sent to another server as well");
    assert!(!server, "the path to the server was checked");
}
