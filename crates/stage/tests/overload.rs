//! What becomes of requests that find no room: they wait, are refused at once, or leave.

mod common;

use common::{
    Answer,
    inside::Inside,
    script::{Act, Script},
    send, until,
};
use serde_json::json;
use tokio::{task::JoinHandle, time::timeout};
use types::{backend::Kind, prelude::Duration};

/// What the server reports as running already: two short of its 64 slots and the eighth more that
/// hosts may send.
const BUSY: u32 = 70;
const ROOM: u32 = 2;

/// A host before one server that never answers, with all of its room taken.
async fn full() -> (Inside, Vec<Script>, Vec<JoinHandle<Answer>>) {
    let servers = vec![Script::start("lm-1", Kind::Engine, BUSY, Act::Silent).await];
    let inside = Inside::start(&servers).await;
    let running = (0..ROOM).map(|_| chat(&inside, "60000")).collect();
    until("the server is full", async || servers[0].requests() == ROOM).await;
    (inside, servers, running)
}

fn chat(inside: &Inside, timeout_ms: &'static str) -> JoinHandle<Answer> {
    let address = inside.callers();
    let body = json!({"model": "welcome", "messages": []}).to_string();
    tokio::spawn(async move {
        let headers = [("x-timeout-ms", timeout_ms)];
        send(address, "POST", "/v1/chat/completions", &headers, &body).await
    })
}

fn waiting(inside: &Inside) -> usize {
    inside.host.context().traffic.waiting()
}

#[tokio::test]
async fn work_that_cannot_meet_its_target_is_refused_at_once_and_told_when_to_come_back() {
    let (inside, servers, running) = full().await;
    let answer = chat(&inside, "20").await.expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.text());
    let problem = answer.json();
    assert_eq!(problem["type"], "urn:cyclamenstage:problem:overloaded");
    assert_eq!(problem["ran"], "did-not-run");
    let retry_after = answer.headers.get("retry-after").and_then(|v| v.to_str().ok());
    assert!(retry_after.is_some_and(|v| v.parse::<u64>().is_ok_and(|v| 1 <= v)));
    assert_eq!(servers[0].requests(), ROOM, "a refused request reached the server");
    running.iter().for_each(JoinHandle::abort);
}

#[tokio::test]
async fn an_empty_list_takes_no_server_away() {
    let servers = vec![Script::start("lm-1", Kind::Engine, 0, Act::Serve).await];
    let inside = Inside::start(&servers).await;
    inside.platform.set_list(Default::default());
    let before = inside.platform.calls().lists;
    until("the empty list is read", async || before + 2 <= inside.platform.calls().lists).await;
    assert_eq!(chat(&inside, "60000").await.expect("an answer").status, 200);
    inside.host.drain().await;
}

#[tokio::test]
async fn a_waiting_caller_that_goes_away_leaves_the_queue_and_never_runs() {
    let (inside, servers, running) = full().await;
    let gone = chat(&inside, "60000");
    until("it waits", async || waiting(&inside) == 1).await;
    gone.abort();
    until("it has left", async || waiting(&inside) == 0).await;
    running.iter().for_each(JoinHandle::abort);
    let last = chat(&inside, "60000");
    until("the next one runs", async || servers[0].requests() == ROOM + 1).await;
    last.abort();
}

#[tokio::test]
async fn a_waiting_request_runs_when_a_caller_before_it_goes_away() {
    let (inside, servers, running) = full().await;
    let next = chat(&inside, "60000");
    until("it waits", async || waiting(&inside) == 1).await;
    assert_eq!(servers[0].requests(), ROOM);
    running[0].abort();
    until("it runs", async || servers[0].requests() == ROOM + 1).await;
    next.abort();
    running.iter().for_each(JoinHandle::abort);
    let drained = timeout(Duration::from_secs(20), inside.host.drain()).await;
    assert!(drained.is_ok(), "callers that went away hold the host up");
}
