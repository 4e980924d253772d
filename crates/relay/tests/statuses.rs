//! An answer whose status is none that HTTP defines is never passed on: it is garbled, and the
//! request may have run.

mod common;

use std::time::Duration;

use common::{
    TestHost, begin,
    caller::Caller,
    request, resumable, route,
    server::{self, Connection, END, Server, answer, event, events, stream},
};
use rstest::rstest;
use types::routed::{Kind, Route};

/// Time that passes before the second server answers.
const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// What the answer carries besides its status.
#[derive(Clone, Copy, Debug)]
enum Mark {
    Sealed,
    Unsealed,
    /// States that the request was not run.
    NotRun,
}

/// Returns an answer with another status line.
fn with_status(text: &str, status: &str, mark: Mark) -> String {
    let text = text.replace("200 OK", status);
    match mark {
        Mark::Sealed => text,
        Mark::Unsealed => text.replace("seal", "other"),
        Mark::NotRun => text.replace("seal", "not-run"),
    }
}

/// Starts a host with two servers, one of which has received the request `q`. Returns its connection,
/// and the servers with that one first.
async fn begin_at_either(route: Route) -> (TestHost, Caller, Connection, (Server, Server)) {
    let (one, two) = (Server::listen("one").await, Server::listen("two").await);
    let host = TestHost::start(route, &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut first, servers) = tokio::select! {
        connection = one.accept() => (connection, (one, two)),
        connection = two.accept() => (connection, (two, one)),
    };
    first.receive().await;
    (host, caller, first, servers)
}

/// The answer reached the caller as it was.
#[rstest]
#[tokio::test]
async fn an_answer_with_no_status_is_unclear(
    #[values(
        "000 No", "000", "001 No", "099 No", "600 No", "700 No", "999 No", "0 No", "20 OK",
        "2000 OK", "0200 OK", "+20 OK", "-20 OK", "+200 OK", "-200 OK", "2x0 OK", "abc No", "",
        " 200 OK", "2 0 OK"
    )]
    status: &str,
    #[values(Mark::Sealed, Mark::Unsealed)] mark: Mark,
    #[values(Kind::NonIdempotent, Kind::Stream)] kind: Kind,
) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(route(kind), &one).await;
    let whole = match kind {
        Kind::Idempotent | Kind::NonIdempotent => answer("q", "theirs"),
        Kind::Stream => stream("q") + &events([1, 2]) + END,
    };
    connection.write(&with_status(&whole, status, mark)).await;
    connection.closed().await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (502, "ours"));
    assert!(!one.is_called().await, "repeated a request that may have run");
}

/// A mark that the request was not run was believed beside a status that no server gives.
#[rstest]
#[tokio::test]
async fn an_answer_with_no_status_may_have_run(
    #[values("000 No", "600 No", "999 No", "101 Other")] status: &str,
) {
    let (_host, mut caller, mut first, (_one, other)) =
        begin_at_either(route(Kind::NonIdempotent)).await;
    first.write(&with_status(&answer("q", "no"), status, Mark::NotRun)).await;
    assert!(!other.is_called().await, "repeated a request that may have run");
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (502, "ours"));
}

/// An interim answer was taken for the final one.
#[rstest]
#[tokio::test]
async fn an_interim_answer_is_not_the_last(
    #[values("100 Go on", "102 Working", "103 Hints", "150 No", "199 No")] status: &str,
    #[values(Mark::Sealed, Mark::Unsealed)] mark: Mark,
) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(route(Kind::NonIdempotent), &one).await;
    connection.write(&with_status(&(server::head("q") + "\r\n"), status, mark)).await;
    tokio::time::sleep(ANSWER_DELAY).await;
    connection.write(&answer("q", "yes")).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (200, "yes"));
}

/// An interim answer with a body, or at which the connection ends, was passed on.
#[rstest]
#[tokio::test]
async fn an_interim_answer_that_is_the_last_is_unclear(
    #[values("100 Go on", "101 Other", "103 Hints", "199 No")] status: &str,
    #[values(Mark::Sealed, Mark::Unsealed)] mark: Mark,
    #[values("", "theirs")] body: &str,
) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(route(Kind::NonIdempotent), &one).await;
    connection.write(&with_status(&answer("q", body), status, mark)).await;
    drop(connection);
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (502, "ours"));
    assert!(!one.is_called().await, "repeated a request that may have run");
}

/// The answer was passed on although another server could have run the request.
#[rstest]
#[tokio::test]
async fn a_repeatable_request_is_answered_by_another_server(
    #[values("000 No", "099 No", "600 No", "999 No", "2x0 OK")] status: &str,
    #[values(Mark::Sealed, Mark::Unsealed)] mark: Mark,
) {
    let (_host, mut caller, mut first, (_one, other)) =
        begin_at_either(route(Kind::Idempotent)).await;
    first.write(&with_status(&answer("q", "theirs"), status, mark)).await;
    let mut second = other.accept().await;
    second.receive().await;
    second.write(&answer("q", "yes")).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (200, "yes"));
    first.closed().await;
}

/// The answer of the server that was asked as well ended the request.
#[rstest]
#[tokio::test]
async fn a_second_server_without_a_status_leaves_the_first_one_its_answer(
    #[values("000 No", "600 No", "999 No")] status: &str,
    #[values(Mark::Sealed, Mark::Unsealed)] mark: Mark,
) {
    let quick = Route { goal: Duration::from_millis(10), ..route(Kind::Idempotent) };
    let (_host, mut caller, mut first, (_one, other)) = begin_at_either(quick).await;
    let mut second = other.accept().await;
    second.receive().await;
    second.write(&with_status(&answer("q", "theirs"), status, mark)).await;
    tokio::time::sleep(ANSWER_DELAY).await;
    first.write(&answer("q", "yes")).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (200, "yes"));
}

/// The head of the stream, or of its rest, was passed on.
#[rstest]
#[tokio::test]
async fn a_stream_goes_on_at_another_server(
    #[values("000 No", "600 No", "999 No")] status: &str,
    #[values(Mark::Sealed, Mark::Unsealed)] mark: Mark,
) {
    let (_host, mut caller, mut first, (_one, other)) = begin_at_either(resumable()).await;
    let whole = stream("q") + &events([1, 2]) + END;
    first.write(&with_status(&whole, status, mark)).await;
    let mut second = other.accept().await;
    second.receive().await;
    second.write(&whole).await;
    let got = caller.answer().await;
    assert_eq!((got.status, got.body), (200, event(1) + &event(2)));
}

/// A response outside of the classes was passed on as the rest of a stream.
#[rstest]
#[tokio::test]
async fn the_rest_of_a_stream_has_a_status(
    #[values("000 No", "600 No", "999 No")] status: &str,
    #[values(Mark::Sealed, Mark::Unsealed)] mark: Mark,
) {
    let (_host, mut caller, mut first, (one, other)) = begin_at_either(resumable()).await;
    first.write(&(stream("q") + &events([1]))).await;
    caller.head().await;
    assert_eq!(caller.chunk().await, Some(event(1)));
    drop(first);
    let mut second = other.accept().await;
    second.receive().await;
    second.write(&with_status(&(stream("q") + &events([2, 3]) + END), status, mark)).await;
    let mut third = one.accept().await;
    third.receive().await;
    third.write(&(stream("q") + &events([2]) + END)).await;
    assert_eq!(caller.chunk().await, Some(event(2)));
    assert_eq!(caller.chunk().await.as_deref(), Some(""));
}

/// Servers' own answers of all classes were taken for garbled ones.
#[rstest]
#[tokio::test]
async fn each_class_of_final_answers_passes(
    #[values(200, 299, 300, 399, 400, 499, 500, 599)] status: u16,
) {
    let one = Server::listen("one").await;
    let (_host, mut caller, mut connection) = begin(route(Kind::NonIdempotent), &one).await;
    connection.write(&with_status(&answer("q", "yes"), &format!("{status} X"), Mark::Sealed)).await;
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body), (status, "yes"));
}
