//! Planned stops of a host with long streams and uploads in flight, and of a backend server.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Answer, Builder, Site, answer_text, events, post_chat, try_send, until};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use standin::{engine, plain::Plain};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};

const TOKENS: u64 = 200;
const STREAMS: usize = 8;

/// Interval between two readiness probes of the load balancer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// `drain.balancer_ms`: time for the load balancer to notice a planned stop; new requests are
/// accepted within it.
const BALANCER_PAUSE: Duration = Duration::from_secs(3);

/// Time per token of an engine whose streams outlast the signal and [`BALANCER_PAUSE`].
const SLOW_STEP: Duration = Duration::from_millis(25);

fn engines() -> Vec<engine::Settings> {
    ["lm-1", "lm-2"]
        .map(|id| engine::Settings::new(id).with_model("welcome", "v1", 900))
        .into_iter()
        .collect()
}

fn long_chat(caller: usize) -> Value {
    json!({
        "model": "welcome", "stream": true, "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": format!("caller {caller}")}],
    })
}

fn start_streams(site: &Site, host: usize) -> Vec<(Value, JoinHandle<Answer>)> {
    let address = site.hosts()[host].callers();
    (0..STREAMS)
        .map(|caller| {
            let body = long_chat(caller);
            let sent = body.clone();
            (body, tokio::spawn(async move { post_chat(address, &sent).await }))
        })
        .collect()
}

async fn check_streams(site: &Site, streams: Vec<(Value, JoinHandle<Answer>)>) {
    for (body, stream) in streams {
        let answer = stream.await.expect("stream task must not panic");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let events = events(&answer.text());
        assert_eq!(answer_text(&events), site.expected_text(&body, TOKENS));
        assert_eq!(events.last().map(|event| event.data.as_str()), Some("[DONE]"));
    }
}

fn requests_in_flight(site: &Site) -> usize {
    site.engines().iter().map(|engine| engine.in_flight()).sum()
}

/// An upload whose second half is sent by [`finish`](Upload::finish).
struct Upload {
    stream: TcpStream,
}

impl Upload {
    const HALF: usize = 200_000;

    async fn begin(address: SocketAddr) -> Upload {
        let mut stream =
            TcpStream::connect(address).await.expect("the host accepts the connection");
        let length = 2 * Upload::HALF;
        let head = format!(
            "PUT /services/tickets/scan HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        stream.write_all(&vec![b'a'; Upload::HALF]).await.expect("the first half is sent");
        Upload { stream }
    }

    async fn finish(mut self) -> String {
        self.stream.write_all(&vec![b'b'; Upload::HALF]).await.expect("the second half is sent");
        let mut answer = String::new();
        self.stream.read_to_string(&mut answer).await.expect("the answer is complete");
        answer
    }
}

async fn is_ready(operators: SocketAddr) -> bool {
    try_send(operators, "GET", "/ready", &[], "").await.is_some_and(|answer| answer.status == 200)
}

#[tokio::test]
async fn each_host_in_turn_stops_without_cutting_a_stream_or_an_upload() {
    let plain = Plain::start("app-1").await.expect("the plain service starts");
    let slow = engines().into_iter().map(|engine| engine::Settings { step: SLOW_STEP, ..engine });
    let builder = slow.fold(Builder::new(3), Builder::engine).plain(plain);
    let balancer_pause = |settings: &mut Value| {
        settings["drain"]["balancer_ms"] =
            u64::try_from(BALANCER_PAUSE.as_millis()).unwrap().into();
    };
    let mut site = builder.settings(balancer_pause).start().await;
    for host in 0..3 {
        let streams = start_streams(&site, host);
        let upload = Upload::begin(site.hosts()[host].callers()).await;
        until("all streams run on the engines", async || requests_in_flight(&site) == STREAMS)
            .await;
        site.hosts()[host].signal(Signal::SIGTERM);
        // The host may still report ready until its process handles the signal.
        let operators = site.hosts()[host].operators();
        let not_ready = until("the host reports not ready", async || !is_ready(operators).await);
        tokio::time::timeout(PROBE_INTERVAL, not_ready)
            .await
            .expect("the host reports not ready by the balancer's next probe");
        // New requests are still accepted within the pause for the balancer.
        let new_answer = post_chat(site.hosts()[host].callers(), &long_chat(99)).await;
        assert_eq!(new_answer.status, 200, "{}", new_answer.text());
        assert_eq!(new_answer.headers.get("connection").map(|v| v.as_bytes()), Some(&b"close"[..]));
        check_streams(&site, streams).await;
        let answer = upload.finish().await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains(&format!("\"bytes\":{}", 2 * Upload::HALF)), "{answer}");
        assert_eq!(site.hosts_mut()[host].wait_for_exit().await, Some(0));
    }
    let cancels: u64 = site.engines().iter().map(|engine| engine.counts().cancels).sum();
    assert_eq!(cancels, 0, "requests were cancelled at the engines");
}

#[tokio::test]
async fn a_leaving_server_gets_nothing_new_and_finishes_what_it_has() {
    let site = Site::start(2, engines()).await;
    let streams = start_streams(&site, 0);
    until("all streams run on the engines", async || requests_in_flight(&site) == STREAMS).await;
    let leaving = &site.engines()[0];
    leaving.leave();
    // The platform's list never marks the engine as leaving; its load report does, within the
    // report interval.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = leaving.counts().arrivals;
    for caller in 0..40 {
        let body = json!({
            "model": "welcome", "max_tokens": 2,
            "messages": [{"role": "user", "content": format!("late {caller}")}],
        });
        let answer = post_chat(site.hosts()[caller % 2].callers(), &body).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(leaving.counts().arrivals, before, "a leaving server received new requests");
    check_streams(&site, streams).await;
    site.shut_down().await;
}

#[tokio::test]
async fn a_server_killed_in_the_middle_of_streams_costs_no_token() {
    let site = Site::start(1, engines()).await;
    let streams = start_streams(&site, 0);
    // Hosts prefer servers in their own zone, so that zone's engine has all streams.
    let same_zone = &site.engines()[0];
    until("all streams run and have tokens", async || {
        same_zone.in_flight() == STREAMS && 10 * STREAMS < same_zone.counts().tokens as usize
    })
    .await;
    same_zone.crash();
    check_streams(&site, streams).await;
    assert_eq!(site.engines()[1].counts().arrivals, STREAMS as u64);
    site.shut_down().await;
}

#[tokio::test]
async fn a_caller_that_goes_away_frees_the_engine() {
    let site = Site::start(1, engines()).await;
    let mut streams = Vec::new();
    for caller in 0..STREAMS {
        let mut stream = TcpStream::connect(site.hosts()[0].callers())
            .await
            .expect("the host accepts the connection");
        let body = long_chat(caller).to_string();
        let length = body.len();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(format!("{head}{body}").as_bytes()).await.expect("the request is sent");
        streams.push(stream);
    }
    until("all streams run on the engines", async || requests_in_flight(&site) == STREAMS).await;
    drop(streams);
    until("no request runs on the engines", async || requests_in_flight(&site) == 0).await;
    let cancels: u64 = site.engines().iter().map(|engine| engine.counts().cancels).sum();
    assert_eq!(cancels, STREAMS as u64);
    site.shut_down().await;
}
