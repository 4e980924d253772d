//! Event streams: the caller gets complete events, each once and in order, from one server or from
//! two in succession.

mod common;

use std::time::Duration;

use common::{
    TestHost,
    caller::{Caller, End, Response},
    request, resumable, route,
    server::{self, Connection, END, Server, accept_first, chunk, event, events, stream},
};
use rstest::rstest;
use types::routed::{Kind, Route};

fn body(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// Starts a host with two servers and sends a caller's request, which one of the servers receives.
/// Returns the connection to that server, and the other server.
async fn begin<'a>(
    route: Route,
    one: &'a Server,
    other: &'a Server,
) -> (TestHost, Caller, Connection, &'a Server) {
    let host = TestHost::start(route, &[one, other]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut connection, other) = accept_first(one, other).await;
    connection.receive().await;
    (host, caller, connection, other)
}

async fn servers() -> (Server, Server) {
    (Server::listen("one").await, Server::listen("two").await)
}

/// How a server breaks off a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Break {
    Reset,
    Close,
    Garbage,
    BadChunk,
    Gap,
    Silence,
}

/// Returns the part of an event that the server writes before it breaks off.
fn partial_event(how: Break) -> String {
    match how {
        // A gap in the ids shows only between complete events.
        Break::Gap => String::new(),
        Break::Reset | Break::Close | Break::Garbage | Break::BadChunk | Break::Silence => {
            chunk("id: 3\nda")
        }
    }
}

/// Breaks off a stream; returns the connection if that leaves it open.
async fn break_off(mut connection: Connection, how: Break) -> Option<Connection> {
    match how {
        Break::Reset => {
            // Lets the bytes written before arrive; the reset would discard them.
            tokio::time::sleep(Duration::from_millis(100)).await;
            connection.reset();
            return None;
        }
        Break::Close => return None,
        Break::Garbage => connection.write(&chunk("@@@@\n\n")).await,
        Break::BadChunk => connection.write("zz\r\n").await,
        Break::Gap => connection.write(&events([5])).await,
        Break::Silence => {}
    }
    Some(connection)
}

#[tokio::test]
async fn events_come_as_they_are_made() {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, _) = begin(route(Kind::Stream), &one, &two).await;
    connection.write(&(stream("q") + &events([1]))).await;
    assert_eq!(caller.head().await.header("seal"), Some("of-q"));
    assert_eq!(caller.chunk().await, Some(event(1)));
    for id in 2..4 {
        connection.write(&events([id])).await;
        assert_eq!(caller.chunk().await, Some(event(id)));
    }
    connection.write(END).await;
    assert_eq!(caller.chunk().await.as_deref(), Some(""));
}

/// Its caller got a head of status 200 and was cut.
#[rstest]
#[case::a_head("")]
#[case::half_an_event(&chunk("id: 1\nda"))]
#[case::a_comment(&chunk(": hello\n\n"))]
#[tokio::test]
async fn a_stream_that_breaks_off_before_its_first_event_gets_an_error(#[case] sent: &str) {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, _) = begin(route(Kind::Stream), &one, &two).await;
    connection.write(&(stream("q") + sent)).await;
    drop(connection);
    let got = caller.answer().await;
    assert_eq!((got.status, &*got.body, got.end), (502, "ours", End::Complete));
}

#[rstest]
#[case::resumable(resumable())]
#[case::not_resumable(route(Kind::Stream))]
#[tokio::test]
async fn half_an_event_waits_for_its_other_half(#[case] route: Route) {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, _) = begin(route, &one, &two).await;
    let (start, rest) = (event(1) + "id: 2\nda", "ta: token 2\n\n");
    connection.write(&(stream("q") + &chunk(&start))).await;
    caller.head().await;
    assert_eq!(caller.chunk().await, Some(event(1)));
    connection.write(&(chunk(rest) + END)).await;
    assert_eq!(caller.chunk().await, Some(event(2)));
}

#[rstest]
#[tokio::test]
async fn a_broken_stream_goes_on_at_another_server(
    #[values(
        Break::Reset,
        Break::Close,
        Break::Garbage,
        Break::BadChunk,
        Break::Gap,
        Break::Silence
    )]
    how: Break,
) {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, other) = begin(resumable(), &one, &two).await;
    connection.write(&(stream("q") + &events([1, 2]) + &partial_event(how))).await;
    let head = caller.head().await;
    assert_eq!(caller.chunk().await, Some(body([1, 2])));
    let mut open = break_off(connection, how).await;
    let mut second = other.accept().await;
    let received = second.receive().await;
    // The first server must not go on working on the request alongside the second. One that is
    // silent is left once the second has answered.
    if let Some(connection) = open.as_mut().filter(|_| how != Break::Silence) {
        connection.closed().await;
    }
    assert_eq!(received.header("resume-after"), Some("2"));
    assert_eq!((received.header("request-name"), &*received.body), (Some("q"), &b"hi"[..]));
    let resumed = stream("q").replace("of-q", "of-another");
    second.write(&resumed).await;
    if let Some(connection) = open.as_mut().filter(|_| how == Break::Silence) {
        connection.closed().await;
    }
    second.write(&(events([2, 3, 4]) + END)).await;
    let mut passed = String::new();
    while let Some(piece) = caller.chunk().await.filter(|piece| !piece.is_empty()) {
        passed += &piece;
    }
    assert_eq!((passed, head.header("seal")), (body([3, 4]), Some("of-q")));
}

#[rstest]
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_cut(
    #[values(Break::Reset, Break::Close, Break::Garbage, Break::BadChunk, Break::Gap)] how: Break,
) {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, other) = begin(route(Kind::Stream), &one, &two).await;
    connection.write(&(stream("q") + &events([1, 2]) + &partial_event(how))).await;
    let open = break_off(connection, how).await;
    let got = caller.answer().await;
    assert_eq!((got.status, got.body, got.end), (200, body([1, 2]), End::Truncated));
    assert!(!other.is_called().await);
    drop(open);
}

#[tokio::test]
async fn repeated_events_are_dropped() {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, _) = begin(route(Kind::Stream), &one, &two).await;
    connection.write(&(stream("q") + &events([1, 2, 1, 2, 3]) + &events([3, 4]) + END)).await;
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body(1..5), End::Complete));
}

#[tokio::test]
async fn a_caller_that_resumes_gets_what_follows() {
    let (one, two) = servers().await;
    let host = TestHost::start(resumable(), &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request("p")).await;
    let (mut connection, _) = accept_first(&one, &two).await;
    connection.receive().await;
    connection.write(&(stream("p") + &events(1..13))).await;
    assert_eq!(caller.head().await.status, 200);
    assert_eq!(caller.chunk().await, Some(body(1..13)));
    drop((caller, connection));
    let mut caller = host.caller().await;
    caller.write(&taking_up("p", "q")).await;
    let (mut connection, other) = accept_first(&one, &two).await;
    assert_eq!(connection.receive().await.header("resume-after"), Some("12"));
    connection.write(&stream("q")).await;
    drop(connection);
    let mut second = other.accept().await;
    assert_eq!(second.receive().await.header("resume-after"), Some("12"));
    second.write(&(stream("q") + &events(11..15) + END)).await;
    assert_eq!(caller.head().await.status, 200);
    assert_eq!(caller.chunk().await, Some(body([13, 14])));
}

#[rstest]
#[case::of_an_unknown_request(taking_up("p", "q"))]
#[case::of_no_request(taking_up("p", "q").replace("resumes-request: p\r\n", ""))]
#[tokio::test]
async fn a_stream_of_an_unknown_version_is_refused_at_once(#[case] request: String) {
    let (one, two) = servers().await;
    let host = TestHost::start(resumable(), &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request).await;
    let got = tokio::select! {
        got = caller.answer() => got,
        _ = accept_first(&one, &two) => panic!("the request is sent to a server"),
    };
    assert_eq!(got.status, 503);
}

/// Returns a request that takes the stream of another one up after its event 12.
fn taking_up(began: &str, id: &str) -> String {
    let fields = format!("\r\nresumes-request: {began}\r\nresume-after: 12\r\n\r\n");
    request(id).replace("\r\n\r\n", &fields)
}

#[tokio::test]
async fn a_stream_goes_to_no_more_servers_than_its_route_allows() {
    let (one, two, three) =
        (Server::listen("one").await, Server::listen("two").await, Server::listen("three").await);
    let host = TestHost::start(resumable(), &[&one, &two, &three]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let mut calls = [0; 3];
    let got = tokio::select! {
        got = caller.answer() => got,
        never = async {
            loop {
                let (server, mut connection) = tokio::select! {
                    connection = one.accept() => (0, connection),
                    connection = two.accept() => (1, connection),
                    connection = three.accept() => (2, connection),
                };
                connection.receive().await;
                calls[server] += 1;
                let is_last = 6 <= calls.iter().sum::<u32>();
                let rest = if is_last { events([2]) + END } else { chunk("id: 2\n") };
                connection.write(&(stream("q") + &events([1]) + &rest)).await;
            }
        } => never,
    };
    assert_eq!((got.body, got.end), (body([1, 2]), End::Complete));
    assert_eq!(calls.iter().filter(|calls| 0 < **calls).count(), 2, "{calls:?}");
}

/// The cases are answers with which the second server fails to continue the stream.
#[rstest]
#[case::another_request(server::stream("another"))]
#[case::no_seal(stream("q").replace("seal", "other"))]
#[case::failure(stream("q").replace("200 OK", "500 No"))]
#[case::not_run(stream("q").replace("200 OK", "503 No").replace("seal", "not-run"))]
#[tokio::test]
async fn what_a_second_server_says_is_checked_like_any_other(#[case] head: String) {
    let (one, two) = servers().await;
    let limited = Route { timeout: Duration::from_secs(2), ..resumable() };
    let (_host, mut caller, mut connection, other) = begin(limited, &one, &two).await;
    connection.write(&(stream("q") + &events([1]))).await;
    drop(connection);
    let mut second = other.accept().await;
    second.receive().await;
    second.write(&(head + &events([2]) + END)).await;
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1]), End::Truncated));
}

#[rstest]
#[case::ended(false, End::Complete)]
#[case::reset(true, End::Truncated)]
#[tokio::test]
async fn a_stream_without_framing_ends_with_its_connection(#[case] resets: bool, #[case] end: End) {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, _) = begin(route(Kind::Stream), &one, &two).await;
    connection.write(&(server::head("q") + "\r\n" + &body([1, 2]))).await;
    let mut got = caller.head().await;
    got.body = caller.chunk().await.expect("events");
    if resets {
        connection.reset();
    } else {
        drop(connection);
    }
    got.end =
        if caller.chunk().await.as_deref() == Some("") { End::Complete } else { End::Truncated };
    assert_eq!((got.body, got.end), (body([1, 2]), end));
}

#[tokio::test]
async fn an_end_in_the_middle_of_an_event_is_no_end() {
    let (one, two) = servers().await;
    let (_host, mut caller, mut connection, _) = begin(route(Kind::Stream), &one, &two).await;
    connection.write(&(server::head("q") + "\r\n" + &body([1]) + "id: 2\nda")).await;
    drop(connection);
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1]), End::Truncated));
}

#[rstest]
#[case::resumable(resumable())]
#[case::not_resumable(route(Kind::Stream))]
#[tokio::test]
async fn the_end_of_its_time_cuts_a_stream(#[case] route: Route) {
    let (one, two) = servers().await;
    let limited = Route { timeout: Duration::from_millis(700), ..route };
    let (_host, mut caller, mut connection, other) = begin(limited, &one, &two).await;
    connection.write(&(stream("q") + &events([1]))).await;
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1]), End::Truncated));
    connection.closed().await;
    assert!(!other.is_called().await);
}

/// Starts a host with a resumable stream of which the first server has sent this much, and then
/// nothing, so that the second one is asked as well.
async fn hedged(sent: &str) -> (TestHost, Caller, Connection, Connection) {
    let (one, two) = servers().await;
    let quick = Route { goal: Duration::from_millis(10), ..resumable() };
    let (host, caller, mut first, other) = begin(quick, &one, &two).await;
    first.write(sent).await;
    let mut second = other.accept().await;
    second.receive().await;
    let closed = tokio::time::timeout(Duration::from_millis(50), first.closed()).await;
    assert!(closed.is_err(), "the silent server is left before another has answered");
    (host, caller, first, second)
}

#[tokio::test]
async fn a_silent_server_is_left_once_another_has_answered() {
    let (_host, mut caller, mut first, mut second) = hedged("").await;
    second.write(&stream("q")).await;
    first.closed().await;
    second.write(&(events([1]) + END)).await;
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1]), End::Complete));
}

#[rstest]
#[case::before_the_head("", &(stream("q") + &events([1, 2])))]
#[case::after_the_head(&stream("q"), &events([1, 2]))]
#[case::after_an_event(&(stream("q") + &events([1])), &events([2]))]
#[tokio::test]
async fn a_second_server_is_left_once_the_silent_one_goes_on(
    #[case] sent: &str,
    #[case] rest: &str,
) {
    let (_host, mut caller, mut first, mut second) = hedged(sent).await;
    first.write(rest).await;
    second.closed().await;
    first.write(END).await;
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1, 2]), End::Complete));
}

#[tokio::test]
async fn a_stream_goes_on_at_the_second_server_when_the_silent_one_breaks_off() {
    let (_host, mut caller, first, mut second) = hedged(&(stream("q") + &events([1]))).await;
    drop(first);
    tokio::time::sleep(Duration::from_millis(100)).await;
    second.write(&(stream("q") + &events([2]) + END)).await;
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1, 2]), End::Complete));
}

/// Guards against a stream that is closed at the moment its server begins to answer, because the
/// host gave it up in favour of another server before it found that the retry budget was empty.
#[rstest]
#[case::before_its_answer(false)]
#[case::before_its_first_event(true)]
#[tokio::test]
async fn a_silent_server_is_kept_while_no_retry_is_left(#[case] has_answered: bool) {
    let (one, two) = servers().await;
    let quick = Route { goal: Duration::from_millis(10), ..resumable() };
    let host = TestHost::without_retries(quick, &[&one, &two]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let (mut connection, other) = accept_first(&one, &two).await;
    connection.receive().await;
    if has_answered {
        connection.write(&stream("q")).await;
    }
    tokio::time::sleep(Duration::from_millis(1600)).await;
    let head = if has_answered { String::new() } else { stream("q") };
    connection.write(&(head + &events([1, 2]) + END)).await;
    let got = caller.answer().await;
    assert_eq!((got.status, got.body, got.end), (200, body([1, 2]), End::Complete));
    assert!(!other.is_called().await);
}

#[tokio::test]
async fn a_silent_server_is_kept_if_there_is_no_other() {
    let one = Server::listen("one").await;
    let host = TestHost::start(resumable(), &[&one]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let mut connection = one.accept().await;
    connection.receive().await;
    connection.write(&(stream("q") + &events([1]))).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    connection.write(&(events([2]) + END)).await;
    let got: Response = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1, 2]), End::Complete));
}

#[tokio::test]
async fn a_broken_stream_that_nobody_can_take_over_is_cut() {
    let one = Server::listen("one").await;
    let quick =
        Route { goal: Duration::from_millis(10), timeout: Duration::from_secs(2), ..resumable() };
    let host = TestHost::start(quick, &[&one]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let mut connection = one.accept().await;
    connection.receive().await;
    connection.write(&(stream("q") + &events([1]) + &chunk("id: 2\n"))).await;
    drop(connection);
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1]), End::Truncated));
}

/// Maximum number of bytes that may be buffered between a server and a caller that reads nothing:
/// by the sockets on both sides and by the host.
const MAX_BUFFERED_BYTES: usize = 24 * 1024 * 1024;

#[tokio::test]
async fn a_caller_that_does_not_read_holds_its_server_up() {
    let (one, two) = servers().await;
    let (_host, caller, mut connection, _) = begin(route(Kind::Stream), &one, &two).await;
    connection.write(&stream("q")).await;
    let large = |id: u64| chunk(&format!("id: {id}\ndata: {}\n\n", "x".repeat(60_000)));
    let written = connection.flood(&(1..500).map(large).collect::<String>()).await;
    assert!(written < MAX_BUFFERED_BYTES, "{written} bytes written");
    drop(caller);
}

#[rstest]
#[case::before_the_head("")]
#[case::after_an_event(&(stream("q") + &events([1])))]
#[tokio::test]
async fn two_servers_do_not_work_on_a_stream_for_long(#[case] sent: &str) {
    let (_host, mut caller, mut first, mut second) = hedged(sent).await;
    let longest = Duration::from_millis(400);
    let closed = tokio::time::timeout(longest, first.closed()).await;
    assert!(closed.is_ok(), "both servers work on the stream");
    let rest = if sent.is_empty() { events([1, 2]) } else { events([2]) };
    second.write(&(stream("q") + &rest + END)).await;
    let got = caller.answer().await;
    assert_eq!((got.body, got.end), (body([1, 2]), End::Complete));
}
