//! Retries at each point of failure over real sockets, and streams that are cut, repeat tokens or
//! contain tokens of other requests.
//!
//! The first server fails as scripted. The second reports more load, so it is tried next, and it
//! answers. The requests that reach the second server show whether a request was sent again.

mod common;

use std::time::Duration;

use common::{
    Answer, answer_text, events,
    in_process::Fixture,
    script::{Behavior, ScriptedServer, Step, token},
    send,
};
use rstest::rstest;
use serde_json::json;
use standin::objects::Platform;
use tokio::time::timeout;
use types::{backend::Kind, request::Repeat};

use Step::{Done, OtherRequest, Silence, Token};

/// Expected answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The complete answer of the second server.
    SecondAnswer,
    /// A problem document with this `ran`; nothing reached the second server.
    Problem(&'static str),
    /// The first server's own answer with this status; nothing reached the second server.
    FirstStatus(u16),
    /// An answer that ends early; nothing reached the second server.
    Broken,
}

/// Running requests that the second server reports, so that the first one, with 0, is tried first.
const SECOND_RUNNING: u32 = 50;

async fn servers(kind: Kind, behavior: Behavior) -> Vec<ScriptedServer> {
    vec![
        ScriptedServer::start("first", kind, 0, behavior).await,
        ScriptedServer::start("second", kind, SECOND_RUNNING, Behavior::Serve).await,
    ]
}

fn check_answer(answer: &Answer, expected: Expected, second_requests: u32) {
    match expected {
        Expected::SecondAnswer => {
            assert_eq!((answer.status, second_requests), (200, 1), "{}", answer.text())
        }
        Expected::FirstStatus(status) => assert_eq!((answer.status, second_requests), (status, 0)),
        Expected::Problem(ran) => {
            assert_eq!(answer.json()["ran"], ran, "{}", answer.text());
            assert_eq!(second_requests, 0, "the request was sent again");
        }
        Expected::Broken => panic!("a complete answer where it must end early: {answer:?}"),
    }
}

/// The first server; `NotListening` closes its listener after its load report.
#[derive(Clone, Debug)]
enum FirstServer {
    NotListening,
    Behaves(Behavior),
}

/// Number of requests that must reach the first server.
fn expected_requests(first: &FirstServer) -> u32 {
    u32::from(matches!(first, FirstServer::Behaves(_)))
}

#[rstest]
#[case::connect(FirstServer::NotListening, "PUT", "letter", Expected::SecondAnswer)]
#[case::connect_once(FirstServer::NotListening, "POST", "letter", Expected::SecondAnswer)]
#[case::waiting(
    FirstServer::Behaves(Behavior::CloseAfterRequest),
    "PUT",
    "letter",
    Expected::SecondAnswer
)]
#[case::waiting_once(
    FirstServer::Behaves(Behavior::CloseAfterRequest),
    "POST",
    "letter",
    Expected::Problem("may-have-run")
)]
#[case::refused(
    FirstServer::Behaves(Behavior::Status(503)),
    "PUT",
    "letter",
    Expected::SecondAnswer
)]
#[case::refused_once(
    FirstServer::Behaves(Behavior::Status(503)),
    "POST",
    "letter",
    Expected::FirstStatus(503)
)]
#[case::fault_is_the_answer(
    FirstServer::Behaves(Behavior::Status(500)),
    "PUT",
    "letter",
    Expected::FirstStatus(500)
)]
#[case::body(FirstServer::Behaves(Behavior::HalfBody), "PUT", "letter", Expected::Broken)]
#[case::body_once(FirstServer::Behaves(Behavior::HalfBody), "POST", "letter", Expected::Broken)]
#[tokio::test]
async fn plain_call_fails_at(
    #[case] first: FirstServer,
    #[case] method: &str,
    #[case] body: &str,
    #[case] expected: Expected,
) {
    let behavior = match &first {
        FirstServer::NotListening => Behavior::Serve,
        FirstServer::Behaves(behavior) => behavior.clone(),
    };
    let mut servers = servers(Kind::Plain, behavior).await;
    let fixture = Fixture::start(&servers).await;
    if matches!(first, FirstServer::NotListening) {
        servers[0].close().await;
    }
    let uri = "/services/tickets/rooms";
    let answer = common::try_send(fixture.callers(), method, uri, &[], body).await;
    match answer {
        Some(answer) => check_answer(&answer, expected, servers[1].requests()),
        None => assert_eq!((expected, servers[1].requests()), (Expected::Broken, 0)),
    }
    assert_eq!(
        servers[0].requests(),
        expected_requests(&first),
        "unexpected number of requests at the first server"
    );
    fixture.host.drain().await;
}

/// The upload is too long to be buffered, so it cannot be sent again once a part was sent.
#[rstest]
#[case::connect(FirstServer::NotListening, "PUT", Expected::SecondAnswer)]
#[case::connect_once(FirstServer::NotListening, "POST", Expected::SecondAnswer)]
#[case::sending(
    FirstServer::Behaves(Behavior::CloseDuringRequest),
    "PUT",
    Expected::Problem("may-have-run")
)]
#[case::sending_once(
    FirstServer::Behaves(Behavior::CloseDuringRequest),
    "POST",
    Expected::Problem("may-have-run")
)]
#[case::waiting(
    FirstServer::Behaves(Behavior::CloseAfterRequest),
    "PUT",
    Expected::Problem("may-have-run")
)]
#[tokio::test]
async fn long_upload_fails_at(
    #[case] first: FirstServer,
    #[case] method: &str,
    #[case] expected: Expected,
) {
    let body = "a page of a long letter ".repeat(40_000);
    plain_call_fails_at(first, method, &body, expected).await;
}

#[rstest]
#[case::connect(FirstServer::NotListening, "true", Expected::SecondAnswer)]
#[case::connect_once(FirstServer::NotListening, "false", Expected::SecondAnswer)]
#[case::waiting(FirstServer::Behaves(Behavior::CloseAfterRequest), "true", Expected::SecondAnswer)]
#[case::waiting_once(
    FirstServer::Behaves(Behavior::CloseAfterRequest),
    "false",
    Expected::Problem("may-have-run")
)]
#[case::refused(FirstServer::Behaves(Behavior::Status(503)), "true", Expected::SecondAnswer)]
#[case::refused_once(
    FirstServer::Behaves(Behavior::Status(503)),
    "false",
    Expected::Problem("may-have-run")
)]
#[case::fault(FirstServer::Behaves(Behavior::Status(500)), "true", Expected::SecondAnswer)]
#[case::fault_once(
    FirstServer::Behaves(Behavior::Status(500)),
    "false",
    Expected::Problem("may-have-run")
)]
#[case::not_ready_any_more(
    FirstServer::Behaves(Behavior::Status(404)),
    "true",
    Expected::SecondAnswer
)]
#[case::head(FirstServer::Behaves(Behavior::HeadOnly), "true", Expected::SecondAnswer)]
#[case::head_once(FirstServer::Behaves(Behavior::HeadOnly), "false", Expected::Problem("ran"))]
#[case::silent(FirstServer::Behaves(Behavior::NoAnswer), "true", Expected::SecondAnswer)]
#[case::silent_once(
    FirstServer::Behaves(Behavior::NoAnswer),
    "false",
    Expected::Problem("may-have-run")
)]
#[tokio::test]
async fn chat_fails_at(
    #[case] first: FirstServer,
    #[case] idempotent: &str,
    #[case] expected: Expected,
) {
    let behavior = match &first {
        FirstServer::NotListening => Behavior::Serve,
        FirstServer::Behaves(behavior) => behavior.clone(),
    };
    let mut servers = servers(Kind::Engine, behavior).await;
    let fixture = Fixture::start_with(&servers, json!({"idle_ms": 300})).await;
    if matches!(first, FirstServer::NotListening) {
        servers[0].close().await;
    }
    let answer = chat(&fixture, idempotent).await;
    check_answer(&answer, expected, servers[1].requests());
    assert_eq!(
        servers[0].requests(),
        expected_requests(&first),
        "unexpected number of requests at the first server"
    );
    if expected == Expected::SecondAnswer {
        assert_eq!(answer_text(&events(&answer.text())), tokens(6));
    }
    fixture.host.drain().await;
}

/// Guards against a status outside of the classes of HTTP that is taken for an answer: it was passed
/// on, or blamed on the caller. The request may have run, so only an idempotent one is sent again.
#[rstest]
#[tokio::test]
async fn an_answer_without_a_final_status_is_none(
    #[values(101, 600, 999)] status: u16,
    #[values(Kind::Engine, Kind::Plain)] kind: Kind,
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
) {
    let servers = servers(kind, Behavior::Status(status)).await;
    let fixture = Fixture::start(&servers).await;
    let answer = match (kind, repeat) {
        (Kind::Engine, Repeat::Idempotent) => chat(&fixture, "true").await,
        (Kind::Engine, Repeat::Once) => chat(&fixture, "false").await,
        (Kind::Plain, Repeat::Idempotent) => ticket(&fixture, "PUT", &[]).await,
        (Kind::Plain, Repeat::Once) => ticket(&fixture, "POST", &[]).await,
    };
    match repeat {
        Repeat::Idempotent => {
            check_answer(&answer, Expected::SecondAnswer, servers[1].requests());
        }
        Repeat::Once => {
            assert_eq!(answer.status, 502, "{}", answer.text());
            check_answer(&answer, Expected::Problem("may-have-run"), servers[1].requests());
        }
    }
    assert_eq!(servers[0].requests(), 1);
    fixture.host.drain().await;
}

/// Guards against an answer without a final status that is recorded as the key's outcome.
#[rstest]
#[tokio::test]
async fn an_answer_without_a_final_status_is_not_replayed(#[values(101, 600, 999)] status: u16) {
    let servers = servers(Kind::Plain, Behavior::Status(status)).await;
    let fixture = Fixture::start(&servers).await;
    assert_eq!(ticket(&fixture, "POST", &[KEY]).await.status, 502);
    let again = ticket(&fixture, "POST", &[KEY]).await;
    assert_eq!((again.status, &again.json()["ran"]), (409, &json!("may-have-run")));
    assert_eq!((servers[0].requests(), servers[1].requests()), (1, 0));
    fixture.host.drain().await;
}

/// Guards against a recorded status that can't be replayed and is replaced by another one: as 200, it
/// told the caller that the request had succeeded.
#[rstest]
#[tokio::test]
async fn a_recorded_status_is_replayed_only_if_it_is_final(
    #[values(0, 99, 101, 600, 999, 1000)] status: u16,
) {
    let servers = servers(Kind::Plain, Behavior::Serve).await;
    let fixture = Fixture::start(&servers).await;
    assert_eq!(ticket(&fixture, "POST", &[KEY]).await.status, 200);
    let Fixture { host, platform } = fixture;
    host.drain().await;
    assert!(replace_status(&platform, status), "no outcome is recorded");
    let fixture = Fixture::start_on(platform, &servers, json!({})).await;
    let again = ticket(&fixture, "POST", &[KEY]).await;
    assert_eq!((again.status, &again.json()["ran"]), (409, &json!("ran")), "{}", again.text());
    assert_eq!((servers[0].requests(), servers[1].requests()), (1, 0));
    fixture.host.drain().await;
}

/// Replaces the status of the recorded outcomes; returns whether there are any.
fn replace_status(platform: &Platform, status: u16) -> bool {
    let recorded = "\"status\":200";
    let mut is_replaced = false;
    for key in platform.keys("once/") {
        let Some((_, document)) = platform.peek(&key) else { continue };
        let text = document.to_string();
        if text.contains(recorded) {
            let text = text.replace(recorded, &format!("\"status\":{status}"));
            platform.poke(&key, serde_json::from_str(&text).expect("a JSON document"));
            is_replaced = true;
        }
    }
    is_replaced
}

const KEY: (&str, &str) = ("idempotency-key", "ticket");

async fn ticket(fixture: &Fixture, method: &str, headers: &[(&str, &str)]) -> Answer {
    send(fixture.callers(), method, "/services/tickets/rooms", headers, "letter").await
}

async fn chat(fixture: &Fixture, idempotent: &str) -> Answer {
    chat_with_prompt(fixture, idempotent, "hola").await
}

async fn chat_with_prompt(fixture: &Fixture, idempotent: &str, prompt: &str) -> Answer {
    let body = json!({
        "model": "welcome", "stream": true, "max_tokens": 6,
        "messages": [{"role": "user", "content": prompt}],
    });
    let headers = [("x-idempotent", idempotent)];
    let uri = "/v1/chat/completions";
    send(fixture.callers(), "POST", uri, &headers, &body.to_string()).await
}

fn tokens(count: u64) -> String {
    (0..count).map(token).collect()
}

#[rstest]
#[case::cut(vec![Token(0), Token(1)], 1)]
#[case::false_end(vec![Token(0), Token(1), Done], 1)]
#[case::doubled(
    vec![
        Token(0), Token(0), Token(1), Token(1), Token(0), Token(2), Token(3), Token(4), Token(5),
        Done,
    ],
    0
)]
#[case::gap(vec![Token(0), Token(2), Token(3)], 1)]
#[case::of_another_request(
    vec![
        Token(0), OtherRequest(1), Token(1), OtherRequest(2), Token(2), Token(3), Token(4),
        Token(5), Done,
    ],
    0
)]
#[case::out_of_order(vec![Token(1), Token(0), Token(2)], 1)]
#[case::after_the_end(
    vec![Token(0), Token(1), Token(2), Token(3), Token(4), Token(5), Done, Token(6)],
    0
)]
#[tokio::test]
async fn each_token_comes_once_in_order(#[case] steps: Vec<Step>, #[case] resumed: u32) {
    let servers = servers(Kind::Engine, Behavior::Events(steps)).await;
    let fixture = Fixture::start(&servers).await;
    let answer = chat(&fixture, "true").await;
    let events = events(&answer.text());
    assert_eq!(answer_text(&events), tokens(6), "{}", answer.text());
    let offsets: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
    assert_eq!(offsets, (0..6).collect::<Vec<u64>>());
    assert_eq!(events.last().map(|event| event.data.as_str()), Some("[DONE]"));
    assert_eq!(servers[1].requests(), resumed);
    fixture.host.drain().await;
}

#[tokio::test]
async fn a_cut_stream_that_may_run_once_ends_with_one_clear_error() {
    let servers = servers(Kind::Engine, Behavior::Events(vec![Token(0), Token(1)])).await;
    let fixture = Fixture::start(&servers).await;
    let answer = chat(&fixture, "false").await;
    let text = answer.text();
    assert_eq!(answer_text(&events(&text)), tokens(2));
    assert_eq!(text.matches("event: error").count(), 1, "{text}");
    assert!(text.contains("\"ran\":\"ran\""), "{text}");
    assert!(!text.contains("[DONE]"), "a partial answer must not look complete: {text}");
    assert_eq!(servers[1].requests(), 0);
    fixture.host.drain().await;
}

const IDLE_TIMEOUT_MS: u64 = 200;

/// Longer than the idle timeout, and as long as the second server is asked in vain.
const SILENCE: Duration = Duration::from_millis(3 * IDLE_TIMEOUT_MS / 2);

/// Guards against an engine that is given up for a silence before another one has accepted the
/// request.
#[rstest]
#[tokio::test]
async fn an_idle_engine_goes_on_while_the_other_has_not_accepted_the_stream(
    #[values(0, 2)] before: u64,
    #[values(Behavior::Status(503), Behavior::NoAnswer, Behavior::CloseAfterRequest)]
    second: Behavior,
) {
    let steps = (0..before).map(Token).chain([Silence(SILENCE)]).chain((before..6).map(Token));
    let first = Behavior::Events(steps.chain([Done]).collect());
    let servers = [
        ScriptedServer::start("first", Kind::Engine, 0, first).await,
        ScriptedServer::start("second", Kind::Engine, SECOND_RUNNING, second).await,
    ];
    let fixture = Fixture::start_with(&servers, json!({"idle_ms": IDLE_TIMEOUT_MS})).await;
    let answer = chat(&fixture, "true").await;
    let events = events(&answer.text());
    assert_eq!(answer_text(&events), tokens(6), "{}", answer.text());
    assert_eq!(events.last().map(|event| event.data.as_str()), Some("[DONE]"));
    assert_eq!((servers[0].requests(), servers[1].requests()), (1, 1));
    fixture.host.drain().await;
}

/// Guards against an answer that waits for an idle engine although another one takes it.
#[rstest]
#[tokio::test]
async fn a_stream_at_an_idle_engine_is_resumed_at_another(#[values(0, 2)] before: u64) {
    const HANG: Duration = Duration::from_secs(60);
    let steps = (0..before).map(Token).chain([Silence(HANG)]);
    let servers = servers(Kind::Engine, Behavior::Events(steps.collect())).await;
    let fixture = Fixture::start_with(&servers, json!({"idle_ms": IDLE_TIMEOUT_MS})).await;
    let answer = chat(&fixture, "true").await;
    assert_eq!(answer_text(&events(&answer.text())), tokens(6), "{}", answer.text());
    assert_eq!((servers[0].requests(), servers[1].requests()), (1, 1));
    fixture.host.drain().await;
}

/// Guards against a request that never ends since neither its idle engine nor another one answers.
#[rstest]
#[case::idle_until_the_deadline(Duration::from_secs(60), Behavior::Status(503))]
#[case::broken_off(SILENCE, Behavior::NoAnswer)]
#[tokio::test]
async fn a_stream_at_an_idle_engine_ends_with_one_clear_error(
    #[case] silence: Duration,
    #[case] second: Behavior,
) {
    let first = Behavior::Events(vec![Token(0), Silence(silence)]);
    let servers = [
        ScriptedServer::start("first", Kind::Engine, 0, first).await,
        ScriptedServer::start("second", Kind::Engine, SECOND_RUNNING, second).await,
    ];
    let bounds = json!({"idle_ms": IDLE_TIMEOUT_MS, "request_ms": 2_000});
    let fixture = Fixture::start_with(&servers, bounds).await;
    let answer = timeout(Duration::from_secs(5), chat(&fixture, "true")).await;
    let text = answer.expect("the request ends").text();
    assert_eq!(text.matches("event: error").count(), 1, "{text}");
    assert!(text.contains("\"ran\":\"ran\""), "{text}");
    assert_eq!((servers[0].requests(), servers[1].requests()), (1, 1));
    fixture.host.drain().await;
}

/// Guards against a request that waits for an idle engine until its deadline although it can't be
/// sent to another one.
#[tokio::test]
async fn a_stream_that_may_run_once_ends_at_an_idle_engine() {
    const HANG: Duration = Duration::from_secs(60);
    let servers = servers(Kind::Engine, Behavior::Events(vec![Token(0), Silence(HANG)])).await;
    let fixture = Fixture::start_with(&servers, json!({"idle_ms": IDLE_TIMEOUT_MS})).await;
    let answer = chat(&fixture, "false").await;
    assert!(answer.text().contains("\"ran\":\"ran\""), "{}", answer.text());
    assert_eq!((servers[0].requests(), servers[1].requests()), (1, 0));
    fixture.host.drain().await;
}

/// At the server's prefill rate the long prompt takes nearly a second to process, the short one
/// almost no time.
#[rstest]
#[case::long_prompt(
    "a long letter ".repeat(250_000),
    &["POST /kv/export HTTP/1.1"],
    &["POST /kv/import HTTP/1.1"]
)]
#[case::short_prompt("hola".into(), &[], &[])]
#[tokio::test]
async fn a_resumed_stream_takes_the_cache_along_where_that_is_cheaper(
    #[case] prompt: String,
    #[case] exports: &[&str],
    #[case] imports: &[&str],
) {
    let servers = servers(Kind::Engine, Behavior::Events(vec![Token(0), Token(1)])).await;
    let fixture = Fixture::start(&servers).await;
    let answer = chat_with_prompt(&fixture, "true", &prompt).await;
    assert_eq!(answer_text(&events(&answer.text())), tokens(6));
    assert_eq!(servers[0].kv_calls(), exports);
    assert_eq!(servers[1].kv_calls(), imports);
    fixture.host.drain().await;
}

#[tokio::test]
async fn a_failed_server_gets_nothing_more_for_a_while() {
    let servers = servers(Kind::Engine, Behavior::CloseAfterRequest).await;
    let fixture = Fixture::start(&servers).await;
    for _ in 0..5 {
        assert_eq!(chat(&fixture, "true").await.status, 200);
    }
    assert!((1..=2).contains(&servers[0].requests()), "{} requests", servers[0].requests());
    fixture.host.drain().await;
}
