//! Requests for which the server has no free slot wait, are refused at once or are cancelled.

mod common;

use common::{
    Answer,
    in_process::Fixture,
    script::{Behavior, ScriptedServer},
    send, until,
};
use serde_json::json;
use tokio::{task::JoinHandle, time::timeout};
use types::{backend::Kind, prelude::Duration};

/// Requests that the server reports as running: two below the hosts' limit of 72 for a server with
/// 64 slots, one eighth more than its slots.
const REPORTED_RUNNING: u32 = 70;
const FREE_SLOTS: u32 = 2;

/// A host with one server that never answers and has no free slot left.
async fn full_server() -> (Fixture, Vec<ScriptedServer>, Vec<JoinHandle<Answer>>) {
    let servers = vec![
        ScriptedServer::start("lm-1", Kind::Engine, REPORTED_RUNNING, Behavior::NoAnswer).await,
    ];
    let fixture = Fixture::start(&servers).await;
    let running = (0..FREE_SLOTS).map(|_| chat(&fixture, "60000")).collect();
    until("all free slots are taken", async || servers[0].requests() == FREE_SLOTS).await;
    (fixture, servers, running)
}

fn chat(fixture: &Fixture, timeout_ms: &'static str) -> JoinHandle<Answer> {
    let address = fixture.callers();
    let body = json!({"model": "welcome", "messages": []}).to_string();
    tokio::spawn(async move {
        let headers = [("x-timeout-ms", timeout_ms)];
        send(address, "POST", "/v1/chat/completions", &headers, &body).await
    })
}

fn waiting_count(fixture: &Fixture) -> usize {
    fixture.host.context().traffic.waiting()
}

#[tokio::test]
async fn work_that_cannot_meet_its_target_is_refused_at_once_and_told_when_to_come_back() {
    let (fixture, servers, running) = full_server().await;
    let answer = chat(&fixture, "20").await.expect("caller task must not panic");
    assert_eq!(answer.status, 503, "{}", answer.text());
    let problem = answer.json();
    assert_eq!(problem["type"], "urn:cyclamenstage:problem:overloaded");
    assert_eq!(problem["ran"], "did-not-run");
    let retry_after = answer.headers.get("retry-after").and_then(|v| v.to_str().ok());
    assert!(retry_after.is_some_and(|v| v.parse::<u64>().is_ok_and(|v| 1 <= v)));
    assert_eq!(servers[0].requests(), FREE_SLOTS, "a refused request reached the server");
    running.iter().for_each(JoinHandle::abort);
}

#[tokio::test]
async fn an_empty_list_takes_no_server_away() {
    let servers = vec![ScriptedServer::start("lm-1", Kind::Engine, 0, Behavior::Serve).await];
    let fixture = Fixture::start(&servers).await;
    fixture.platform.set_list(Default::default());
    let before = fixture.platform.calls().lists;
    until("the empty list is read", async || before + 2 <= fixture.platform.calls().lists).await;
    assert_eq!(chat(&fixture, "60000").await.expect("caller task must not panic").status, 200);
    fixture.host.drain().await;
}

#[tokio::test]
async fn a_waiting_caller_that_goes_away_leaves_the_queue_and_never_runs() {
    let (fixture, servers, running) = full_server().await;
    let abandoned = chat(&fixture, "60000");
    until("the request waits", async || waiting_count(&fixture) == 1).await;
    abandoned.abort();
    until("the request has left the queue", async || waiting_count(&fixture) == 0).await;
    running.iter().for_each(JoinHandle::abort);
    let last = chat(&fixture, "60000");
    until("the next request runs", async || servers[0].requests() == FREE_SLOTS + 1).await;
    last.abort();
}

#[tokio::test]
async fn a_waiting_request_runs_when_a_caller_before_it_goes_away() {
    let (fixture, servers, running) = full_server().await;
    let next = chat(&fixture, "60000");
    until("the request waits", async || waiting_count(&fixture) == 1).await;
    assert_eq!(servers[0].requests(), FREE_SLOTS);
    running[0].abort();
    until("the waiting request runs", async || servers[0].requests() == FREE_SLOTS + 1).await;
    next.abort();
    running.iter().for_each(JoinHandle::abort);
    let drained = timeout(Duration::from_secs(20), fixture.host.drain()).await;
    assert!(drained.is_ok(), "cancelled calls delay the host's drain");
}
