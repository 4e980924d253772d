//! Framing of callers' requests: smuggling, bodies in pieces, pipelining and truncated requests.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use rstest::rstest;
use standin::routed::caller::RequestSpec;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::site::{HOST, backend, declaration, page, site, start_site, status_of};

/// Sends bytes, and returns what arrives until the other side closes or the read times out.
async fn send_raw(address: SocketAddr, pieces: &[&[u8]]) -> String {
    const READ_TIMEOUT: Duration = Duration::from_millis(1500);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for piece in pieces {
        // The host may refuse the request and close before all of it is sent.
        let _ = stream.write_all(piece).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(READ_TIMEOUT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn request_head(method: &str, id: &str, fields: &str) -> String {
    format!("{method} /tickets/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n{fields}\r\n")
}

const SMUGGLED: &str = "POST /tickets/evil HTTP/1.1\r\nHost: desk.example\r\n\
                        X-Request-Id: evil\r\nContent-Length: 0\r\n\r\n";

#[rstest]
#[case::both_lengths("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")]
#[case::two_lengths("Content-Length: 4\r\nContent-Length: 9\r\n", "abcd")]
#[case::no_number("Content-Length: four\r\n", "abcd")]
#[case::signed("Content-Length: +4\r\n", "abcd")]
#[case::odd_encoding("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n")]
#[case::encoding_with_a_space("Transfer-Encoding : chunked\r\n", "0\r\n\r\n")]
#[case::chunk_without_a_size("Transfer-Encoding: chunked\r\n", "zz\r\n")]
#[tokio::test]
async fn a_smuggled_request_never_runs(#[case] fields: &str, #[case] body: &str) {
    let site = site(1).await;
    let head = request_head("POST", "r-outer", fields);
    // The second request may run only as a request of its own, with an answer to the caller.
    let sent = format!("{head}{body}{SMUGGLED}");
    let answer = send_raw(site.hosts[0].callers(), &[sent.as_bytes()]).await;
    let runs = site.backend.servers.iter().flat_map(|server| server.runs());
    for run in runs {
        let text = String::from_utf8_lossy(&run.body).into_owned();
        assert!(
            !text.contains("evil"),
            "the smuggled request was forwarded as part of a body: {text:?}"
        );
        if run.request.id.as_deref() == Some("evil") {
            let answers = answer.matches("HTTP/1.1 ").count();
            assert_eq!(answers, 2, "the smuggled request ran without an answer to it: {answer:?}");
        }
    }
}

#[rstest]
#[case::chunked("Transfer-Encoding: chunked\r\n", &["4\r\nroom\r\n", "3\r\n 12\r\n", "0\r\n\r\n"])]
#[case::in_pieces("Content-Length: 7\r\n", &["ro", "om ", "12"])]
#[case::after_a_go_ahead("Content-Length: 7\r\nExpect: 100-continue\r\n", &["room 12"])]
#[tokio::test]
async fn a_body_is_passed_on_whole(#[case] fields: &str, #[case] pieces: &[&str]) {
    let site = site(1).await;
    let head = request_head("POST", "r-1", &format!("{fields}Connection: close\r\n"));
    let mut sent = vec![head.as_bytes()];
    sent.extend(pieces.iter().map(|piece| piece.as_bytes()));
    let answer = send_raw(site.hosts[0].callers(), &sent).await;
    assert!(answer.contains("HTTP/1.1 200"), "{answer}");
    let runs: Vec<_> = site.backend.servers.iter().flat_map(|server| server.runs()).collect();
    assert_eq!((runs.len(), &runs[0].body[..]), (1, &b"room 12"[..]));
    let expects = runs[0].headers.contains_key("expect");
    assert!(!expects, "the hop-by-hop Expect header was forwarded");
}

#[tokio::test]
async fn requests_that_follow_at_once_are_answered_in_order() {
    let site = site(1).await;
    let sent =
        ["r-1", "r-2", "r-3"].map(|id| request_head("POST", id, "Content-Length: 0\r\n")).concat();
    let answer = send_raw(site.hosts[0].callers(), &[sent.as_bytes()]).await;
    let ids: Vec<&str> =
        answer.lines().filter_map(|line| line.strip_prefix("x-request-id: ")).collect();
    assert_eq!(ids, ["r-1", "r-2", "r-3"]);
    assert!(ids.iter().all(|id| site.backend.runs_of(id) == 1));
}

#[rstest]
#[case::within_the_head("POST /tickets/x HTTP/1.1\r\nHost: desk.exa")]
#[case::within_the_body(
    "POST /tickets/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r-1\r\n\
     Content-Length: 40\r\n\r\nhalf a body"
)]
#[tokio::test]
async fn half_a_request_never_runs(#[case] text: &str) {
    let site = site(1).await;
    let mut stream = TcpStream::connect(site.hosts[0].callers()).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    drop(stream);
    // By the time this request is answered, the truncated one would have reached a server.
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::OK));
    assert_eq!(site.backend.runs(), 1);
}

#[rstest]
#[case::with_a_length(10_001, StatusCode::PAYLOAD_TOO_LARGE)]
#[case::at_the_limit(10_000, StatusCode::OK)]
#[tokio::test]
async fn a_body_over_the_declared_limit_is_refused(
    #[case] bytes: usize,
    #[case] status: StatusCode,
) {
    let backend = backend().await;
    let mut declared = declaration();
    declared.limits.body_bytes = 10_000;
    backend.declare(&declared);
    let site = start_site(backend, 1).await;
    site.wait_until_ready().await;
    let request = RequestSpec::to(HOST, "/tickets/x").with_body(Method::POST, vec![b'x'; bytes]);
    assert_eq!(status_of(&site.hosts[0], &request).await, Some(status));
    assert_eq!(site.backend.runs(), usize::from(status == StatusCode::OK));
}

#[tokio::test]
async fn a_request_without_a_name_is_malformed() {
    let site = site(1).await;
    let sent = format!("GET /pages/x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    let answer = send_raw(site.hosts[0].callers(), &[sent.as_bytes()]).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(site.backend.runs(), 0);
}
