//! Calls between hosts over real sockets.
#![allow(clippy::print_stderr, reason = "prints the overheads that the fleet tests assume")]

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use meter::Meter;
use peer::{Api, Builder, Client, Content, Failure, ListenerSettings, Outcome, Token};
use policy::member::{
    Settings,
    gossip::Gossip,
    heartbeat::{Heartbeat, Topic},
};
use rstest::rstest;
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use types::host::{Entry, Host, List, ListState};

/// Upper bound on the bytes that HTTP and JSON-RPC add to a request. `crates/policy/tests/fleet`
/// assumes the same number.
const REQUEST_OVERHEAD: u64 = 260;

/// Upper bound on the bytes that HTTP and JSON-RPC add to a response. `crates/policy/tests/fleet`
/// assumes the same number.
const ANSWER_OVERHEAD: u64 = 160;

const NOW: Duration = Duration::from_secs(1);

struct Fake(Mutex<Gossip>);

impl Api for Fake {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.0.lock().expect("lock is not poisoned").receive(NOW, &heartbeat).0
    }

    async fn probe(&self, _: Host) -> Outcome {
        Outcome::Silent
    }

    async fn ping(&self) {}

    async fn members(&self) -> List {
        List { hosts: vec![Entry { host: host(1), state: ListState::Live }], servers: Vec::new() }
    }

    async fn part(&self, _: String) -> Result<Box<RawValue>, Failure> {
        Err(Failure::NoPart)
    }

    async fn fetch(&self, _: Topic, above: u64) -> Result<Content, Failure> {
        let value = RawValue::from_string("{\"models\":{}}".into()).expect("text is JSON");
        (above < 7).then_some(Content { number: 7, value }).ok_or(Failure::NothingNewer)
    }
}

struct Server {
    address: SocketAddr,
    meter: Meter,
    refused: Arc<AtomicU64>,
    stop: CancellationToken,
}

async fn serve(token: Option<&str>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port is available");
    let address = listener.local_addr().expect("listener is bound");
    let (meter, refused, stop) = (Meter::default(), Arc::default(), CancellationToken::new());
    let settings = ListenerSettings {
        token: Token::new(token).expect("token is a valid header value"),
        meter: meter.clone(),
        refused: Arc::clone(&refused),
    };
    let gossip = Gossip::new(Duration::ZERO, Settings::default(), 1, host(1), 1);
    tokio::spawn(peer::listen(listener, settings, Fake(Mutex::new(gossip)), stop.clone()));
    Server { address, meter, refused, stop }
}

fn client(token: Option<&str>, meter: Meter) -> Client {
    Builder::new()
        .token(Token::new(token).expect("token is a valid header value"))
        .meter(meter)
        .build()
}

fn host(n: u8) -> Host {
    let address = |port| SocketAddr::from(([127, 0, 0, n], port));
    Host {
        id: format!("stage-{n:03}").into(),
        zone: "biloxi-hall".into(),
        callers: address(7000),
        peers: address(7001),
        operators: address(7002),
    }
}

fn hello() -> Heartbeat {
    Gossip::new(Duration::ZERO, Settings::default(), 2, host(2), 1).hello(NOW)
}

#[tokio::test]
async fn every_call_is_answered() {
    let server = serve(Some("secret")).await;
    let client = client(Some("secret"), Meter::default());
    let answer = client.heartbeat(server.address, hello()).await.expect("answered");
    assert_eq!(answer.from.host.as_deref(), Some(&host(1)), "the answer identifies the host");
    let members = client.members(server.address).await.expect("answered");
    assert_eq!(members.hosts[0].host, host(1));
    assert!(
        client.part(server.address, "config/part/1").await.is_err(),
        "the host must report that it does not have the part"
    );
    client.ping(server.address).await.expect("answered");
    let outcome = client.probe(server.address, &host(3)).await.expect("answered");
    assert_eq!(outcome, Outcome::Silent);
    let content = client.fetch(server.address, Topic::Config, 3).await.expect("answered");
    assert_eq!((content.number, content.value.get()), (7, "{\"models\":{}}"));
    assert!(
        client.fetch(server.address, Topic::Config, 7).await.is_err(),
        "the host has no content above number 7"
    );
}

#[rstest]
#[case::none(None)]
#[case::wrong(Some("secrex"))]
#[case::longer(Some("secret1"))]
#[case::shorter(Some("secre"))]
#[tokio::test]
async fn a_peer_without_the_right_token_is_refused_and_counted(#[case] token: Option<&str>) {
    let server = serve(Some("secret")).await;
    let client = client(token, Meter::default());
    let error = client.heartbeat(server.address, hello()).await.expect_err("refused");
    assert!(error.to_string().contains("401"), "{error}");
    assert_eq!(server.refused.load(Ordering::Relaxed), 1);
}

#[rstest]
#[case::line_break("secret\nof two lines")]
#[case::control_character("sec\u{7f}ret")]
fn a_token_that_no_header_carries_is_an_error(#[case] token: &str) {
    assert!(Token::new(Some(token)).is_err(), "{token:?}");
}

#[tokio::test]
async fn a_peer_that_never_answers_is_given_up_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port is available");
    let address = listener.local_addr().expect("listener is bound");
    let client = Builder::new().timeout(Duration::from_millis(50)).build();
    assert!(client.heartbeat(address, hello()).await.is_err());
}

#[tokio::test]
async fn a_listener_that_was_stopped_takes_no_more_calls() {
    let server = serve(None).await;
    let client = client(None, Meter::default());
    client.ping(server.address).await.expect("answered");
    server.stop.cancel();
    let mut attempts = 0;
    while client.ping(server.address).await.is_ok() {
        attempts += 1;
        assert!(attempts < 1000, "the stopped listener still answers");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn bytes_on_the_wire_are_counted_alike_on_both_sides_and_within_the_assumed_overheads() {
    const HEARTBEATS: u64 = 20;
    let server = serve(Some("0123456789abcdef0123456789abcdef")).await;
    let meter = Meter::default();
    let client = client(Some("0123456789abcdef0123456789abcdef"), meter.clone());
    let mut content = (0, 0);
    for _ in 0..HEARTBEATS {
        let heartbeat = hello();
        content.0 += json_bytes(&heartbeat);
        let answer = client.heartbeat(server.address, heartbeat).await.expect("answered");
        content.1 += json_bytes(&answer);
    }
    assert_eq!(server.meter.received(), meter.sent());
    assert_eq!(server.meter.sent(), meter.received());
    let request = (meter.sent() - content.0) / HEARTBEATS;
    let answer = (meter.received() - content.1) / HEARTBEATS;
    eprintln!("overhead of a request: {request} bytes, of an answer: {answer} bytes");
    assert!(0 < request && request <= REQUEST_OVERHEAD, "overhead of a request is {request} bytes");
    assert!(0 < answer && answer <= ANSWER_OVERHEAD, "overhead of an answer is {answer} bytes");
}

fn json_bytes(heartbeat: &Heartbeat) -> u64 {
    serde_json::to_string(heartbeat).expect("heartbeat is serializable").len() as u64
}
