//! Answers that are no streams: the caller gets the server's complete answer unchanged, or an error
//! from the host.

mod common;

use std::time::Duration;

use common::{
    TestHost,
    caller::{Caller, End},
    request, route,
    server::{self, Connection, Server, accept_first, answer, chunk},
};
use rstest::rstest;
use types::routed::{Kind, Route};

async fn begin(kind: Kind, server: &Server) -> (TestHost, Caller, Connection) {
    let host = TestHost::start(route(kind), &[server]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let mut connection = server.accept().await;
    connection.receive().await;
    (host, caller, connection)
}

/// What the server does with its connection after writing.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Open,
    Close,
    Reset,
}

#[rstest]
#[case::of_another_request(answer("another", "yes"), Ending::Open)]
#[case::of_no_request(answer("q", "yes").replace("request-name", "name"), Ending::Open)]
#[case::refusal_of_another(
    answer("another", "no").replace("200 OK", "503 No").replace("seal", "not-run"), Ending::Open)]
#[case::unsealed(answer("q", "yes").replace("seal", "other"), Ending::Open)]
#[case::encoded(answer("q", "yes").replace("seal", "content-encoding: gzip\r\nseal"), Ending::Open)]
#[case::promise_without_a_mark(answer("q", "no").replace("200 OK", "503 No"), Ending::Open)]
#[case::truncated(answer("q", "yes").replace("length: 3", "length: 9"), Ending::Close)]
#[case::truncated_chunk(
    server::head("q") + "transfer-encoding: chunked\r\n\r\n" + &chunk("yes"), Ending::Close)]
#[case::bad_chunk(
    server::head("q") + "transfer-encoding: chunked\r\n\r\nzz\r\nyes", Ending::Open)]
#[case::no_answer("@@@ nothing of the kind\r\n\r\n".into(), Ending::Open)]
#[case::half_a_head("HTTP/1.1 200 OK\r\nrequest-na".into(), Ending::Close)]
#[case::nothing(String::new(), Ending::Close)]
#[case::reset(String::new(), Ending::Reset)]
#[case::reset_without_length(server::head("q") + "\r\nyes", Ending::Reset)]
#[case::switched(
    server::head("q").replace("200 OK", "101 Other") + "upgrade: x\r\n\r\n", Ending::Open)]
#[tokio::test]
async fn what_is_no_answer_is_unclear(#[case] bytes: String, #[case] ending: Ending) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(Kind::NonIdempotent, &one).await;
    connection.write(&bytes).await;
    match ending {
        Ending::Open => connection.closed().await,
        Ending::Close => drop(connection),
        Ending::Reset => {
            tokio::time::sleep(Duration::from_millis(100)).await;
            connection.reset();
        }
    }
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body, got.end), (502, "ours", End::Complete));
    assert!(!one.is_called().await, "repeated a request that may have run");
}

#[rstest]
#[case::success("200 OK", "seal")]
#[case::failure("500 No", "seal")]
#[case::its_deadline("504 No", "seal")]
#[case::not_found("404 No", "other")]
#[tokio::test]
async fn a_servers_own_answer_passes_unchanged(#[case] status: &str, #[case] seal: &str) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(Kind::NonIdempotent, &one).await;
    let answer = answer("q", "yes").replace("200 OK", status).replace("seal", seal);
    connection.write(&answer.replace("\r\n\r\n", "\r\nsome: field\r\n\r\n")).await;
    let got = caller.answer().await;
    assert_eq!((got.status.to_string(), &*got.body), (status[..3].to_owned(), "yes"));
    assert_eq!((got.header(seal), got.header("some")), (Some("of-q"), Some("field")));
}

#[rstest]
#[case::chunked(server::head("q") + "transfer-encoding: chunked\r\n\r\n" + &chunk("y") + &chunk("es") + "0\r\n\r\n")]
#[case::without_length(server::head("q") + "\r\nyes")]
#[tokio::test]
async fn an_answer_is_whole_by_its_framing(#[case] bytes: String) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(Kind::NonIdempotent, &one).await;
    connection.write(&bytes).await;
    drop(connection);
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body, got.end), (200, "yes", End::Complete));
}

#[tokio::test]
async fn a_request_that_did_not_run_goes_to_another_server() {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let host = TestHost::start(route(Kind::NonIdempotent), &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut connection, other) = accept_first(&one, &two).await;
    connection.receive().await;
    connection
        .write(&answer("q", "no").replace("200 OK", "503 No").replace("seal", "not-run"))
        .await;
    let mut second = other.accept().await;
    assert_eq!(&*second.receive().await.body, b"hi");
    second.write(&answer("q", "yes")).await;
    assert_eq!(&*caller.answer().await.body, "yes");
}

/// Starts a host with two servers that have both received the request `q`: the first one sends
/// nothing, so the second one is asked as well.
async fn hedged() -> (TestHost, Caller, Connection, Connection) {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let quick = Route { goal: Duration::from_millis(10), ..route(Kind::Idempotent) };
    let host = TestHost::start(quick, &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut first, other) = accept_first(&one, &two).await;
    first.receive().await;
    let mut second = other.accept().await;
    second.receive().await;
    let closed = tokio::time::timeout(Duration::from_millis(200), first.closed()).await;
    assert!(closed.is_err(), "the silent server is left before another has answered");
    (host, caller, first, second)
}

#[tokio::test]
async fn a_silent_server_is_left_once_another_has_answered() {
    let (_host, mut caller, mut first, mut second) = hedged().await;
    second.write(&answer("q", "yes")).await;
    first.closed().await;
    assert_eq!(&*caller.answer().await.body, "yes");
}

#[tokio::test]
async fn a_second_server_is_left_once_the_silent_one_has_answered() {
    let (_host, mut caller, mut first, mut second) = hedged().await;
    first.write(&answer("q", "yes")).await;
    second.closed().await;
    assert_eq!(&*caller.answer().await.body, "yes");
}

#[tokio::test]
async fn an_error_response_is_delivered_if_the_other_server_stays_silent() {
    let (_host, mut caller, mut first, mut second) = hedged().await;
    let error = answer("q", "broken").replace("200 OK", "500 Internal Server Error");
    second.write(&error).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (500, "broken"));
    first.closed().await;
}

#[tokio::test]
async fn all_servers_are_left_once_the_caller_leaves() {
    let (_host, caller, mut first, mut second) = hedged().await;
    drop(caller);
    first.closed().await;
    second.closed().await;
}

#[rstest]
#[case::it_may_run_once(Kind::NonIdempotent, true)]
#[case::there_is_no_other(Kind::Idempotent, false)]
#[tokio::test]
async fn a_silent_server_is_waited_for_if(#[case] kind: Kind, #[case] has_other: bool) {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let quick = Route { goal: Duration::from_millis(10), ..route(kind) };
    let servers = if has_other { vec![&one, &two] } else { vec![&one] };
    let host = TestHost::start(quick, &servers).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut connection, other) = accept_first(&one, &two).await;
    connection.receive().await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(!other.is_called().await);
    connection.write(&answer("q", "yes")).await;
    assert_eq!(&*caller.answer().await.body, "yes");
}

#[rstest]
#[case::once(Kind::NonIdempotent)]
#[case::repeatable(Kind::Idempotent)]
#[tokio::test]
async fn a_request_ends_with_its_time(#[case] kind: Kind) {
    let one = Server::listen("one").await;
    let limited = Route { timeout: Duration::from_millis(500), ..route(kind) };
    let host = TestHost::start(limited, &[&one]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let mut connection = one.accept().await;
    connection.receive().await;
    assert_eq!(caller.answer().await.status, 504);
    connection.closed().await;
}

/// The second server fails, and the first one, silent until then, begins to answer.
#[tokio::test]
async fn an_answer_that_has_begun_is_preferred_to_an_error_response() {
    let (_host, mut caller, mut first, mut second) = hedged().await;
    let error = answer("q", "broken").replace("200 OK", "500 Internal Server Error");
    second.write(&error).await;
    let whole = answer("q", "yes");
    let (start, rest) = whole.split_at(whole.len() - 2);
    tokio::time::sleep(Duration::from_millis(200)).await;
    first.write(start).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    first.write(rest).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (200, "yes"));
}
