//! Limits on callers' requests, and the answers to requests that exceed them.

mod common;

use common::{
    Answer,
    in_process::Fixture,
    script::{Behavior, ScriptedServer},
    send,
};
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use types::backend::Kind;

async fn fixture() -> (Fixture, Vec<ScriptedServer>) {
    let servers = vec![
        ScriptedServer::start("lm-1", Kind::Engine, 0, Behavior::Serve).await,
        ScriptedServer::start("app-1", Kind::Plain, 0, Behavior::Serve).await,
    ];
    let bounds = json!({"body_bytes": 5000, "head_bytes": 9000, "idle_ms": 200});
    (Fixture::start_with(&servers, bounds).await, servers)
}

async fn chat(fixture: &Fixture, headers: &[(&str, &str)], body: &str) -> Answer {
    send(fixture.callers(), "POST", "/v1/chat/completions", headers, body).await
}

const VALID_BODY: &str = r#"{"model": "welcome", "messages": []}"#;

#[rstest]
#[case::no_json("{", 400, "bad-request")]
#[case::no_object("[]", 400, "bad-request")]
#[case::no_model(r#"{"messages": []}"#, 400, "bad-request")]
#[case::no_messages(r#"{"model": "welcome"}"#, 400, "bad-request")]
#[case::negative(r#"{"model": "welcome", "messages": [], "max_tokens": -1}"#, 400, "bad-request")]
#[case::unknown_model(r#"{"model": "nobody", "messages": []}"#, 404, "unknown-model")]
#[case::unknown_adapter(r#"{"model": "welcome:xx", "messages": []}"#, 404, "unknown-model")]
#[case::too_long(&"x".repeat(6000), 413, "body-too-large")]
#[tokio::test]
async fn bad_body_is_refused_as_not_run(
    #[case] body: &str,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let (fixture, servers) = fixture().await;
    let answer = chat(&fixture, &[], body).await;
    check_refused(&answer, status, kind);
    assert_eq!(servers[0].requests(), 0);
    fixture.host.drain().await;
}

#[rstest]
#[case::unknown_service(&[("service", "nobody")], 404, "unknown-service")]
#[case::service_without_the_model(&[("service", "tickets")], 404, "unknown-service")]
#[case::timeout_is_no_number(&[("x-timeout-ms", "soon")], 400, "bad-request")]
#[case::timeout_is_zero(&[("x-timeout-ms", "0")], 400, "bad-request")]
#[case::two_keys(&[("idempotency-key", "a"), ("idempotency-key", "b")], 400, "bad-request")]
#[case::neither(&[("x-idempotent", "maybe")], 400, "bad-request")]
#[tokio::test]
async fn bad_header_is_refused_as_not_run(
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] kind: &str,
) {
    let (fixture, servers) = fixture().await;
    let answer = chat(&fixture, headers, VALID_BODY).await;
    check_refused(&answer, status, kind);
    assert_eq!(servers[0].requests(), 0);
    fixture.host.drain().await;
}

#[tokio::test]
async fn a_caller_may_not_clear_the_mark_of_a_non_idempotent_method() {
    let (fixture, servers) = fixture().await;
    let uri = "/services/tickets/rooms";
    let headers = [("x-idempotent", "true")];
    let answer = send(fixture.callers(), "POST", uri, &headers, "letter").await;
    check_refused(&answer, 400, "bad-request");
    assert_eq!(servers[1].requests(), 0);
    fixture.host.drain().await;
}

fn check_refused(answer: &Answer, status: u16, kind: &str) {
    assert_eq!(answer.status, status, "{}", answer.text());
    let problem = answer.json();
    assert_eq!(problem["type"], format!("urn:cyclamenstage:problem:{kind}"));
    assert_eq!(problem["ran"], "did-not-run");
    assert_ne!(problem["detail"], "");
    let content_type = answer.headers.get("content-type").map(|value| value.as_bytes());
    assert_eq!(content_type, Some(&b"application/problem+json"[..]));
}

/// Sends bytes and then nothing more; returns what is received until the connection ends.
async fn send_raw(fixture: &Fixture, bytes: &str) -> String {
    let mut stream =
        TcpStream::connect(fixture.callers()).await.expect("the host accepts the connection");
    stream.write_all(bytes.as_bytes()).await.expect("the bytes are sent");
    let mut answer = Vec::new();
    // A reset ends the connection too, so the error is ignored.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_head_over_its_limit_is_refused() {
    let (fixture, servers) = fixture().await;
    let long_value = "x".repeat(20_000);
    let request = format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nx: {long_value}\r\n\r\n");
    let answer = send_raw(&fixture, &request).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_eq!(servers[0].requests(), 0);
    fixture.host.drain().await;
}

#[rstest]
#[case::head("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n", "")]
#[case::body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{",
    "HTTP/1.1 400"
)]
#[case::short_upload(
    "PUT /services/tickets/a HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{",
    "HTTP/1.1 400"
)]
#[tokio::test]
async fn a_caller_that_falls_silent_is_not_waited_for(
    #[case] sent: &str,
    #[case] expected_start: &str,
) {
    let (fixture, servers) = fixture().await;
    let answer = send_raw(&fixture, sent).await;
    assert!(answer.starts_with(expected_start), "{answer}");
    assert_eq!(servers[0].requests() + servers[1].requests(), 0);
    fixture.host.drain().await;
}

#[tokio::test]
async fn a_request_past_its_own_time_gets_a_timeout_that_says_what_is_known() {
    let servers = vec![ScriptedServer::start("lm-1", Kind::Engine, 0, Behavior::NoAnswer).await];
    let fixture = Fixture::start(&servers).await;
    let answer = chat(&fixture, &[("x-timeout-ms", "150")], VALID_BODY).await;
    assert_eq!(answer.status, 504, "{}", answer.text());
    assert_eq!(answer.json()["ran"], "may-have-run");
    fixture.host.drain().await;
}

#[tokio::test]
async fn headers_of_one_connection_are_not_passed_on() {
    let (fixture, servers) = fixture().await;
    let headers = [("connection", "x-own"), ("x-own", "1"), ("te", "trailers"), ("x-kept", "2")];
    let uri = "/services/tickets/rooms?lang=es";
    let answer = send(fixture.callers(), "PUT", uri, &headers, "letter").await;
    assert_eq!(answer.status, 200);
    let head = servers[1].last_head().to_lowercase();
    assert!(head.starts_with("put /rooms?lang=es "), "{head}");
    assert!(head.contains("x-kept: 2"), "{head}");
    assert!(!head.contains("x-own") && !head.contains("te: trailers"), "{head}");
    fixture.host.drain().await;
}

#[tokio::test]
async fn models_and_adapters_are_listed() {
    let (fixture, _servers) = fixture().await;
    let answer = send(fixture.callers(), "GET", "/v1/models", &[], "").await;
    assert_eq!(answer.json()["data"][0]["id"], "welcome");
    fixture.host.drain().await;
}
