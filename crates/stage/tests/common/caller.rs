//! Load generator that checks each answer against the only valid text and records how calls ended.
//!
//! A caller acts like a client behind the platform's load balancer: it calls a host that reports
//! ready, and the next one if it cannot connect.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use standin::engine;
use tokio::task::JoinHandle;

use super::{TIMEOUT, answer_text, events, try_send};

/// How one call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The full expected answer.
    Complete,
    /// A problem document, or a stream that ended with one. `name` is the last part of its type,
    /// `ran` states whether the request ran.
    Problem { name: String, ran: String },
    /// The established connection broke without a problem document.
    Disconnected,
    /// The connection could not be established.
    ConnectFailed,
    /// Anything else, such as another text or a timeout, with a description.
    Wrong(String),
}

impl Ending {
    /// Whether the call was refused with `did-not-run`.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Ending::Problem { ran, .. } if ran == "did-not-run")
    }
}

/// A streamed chat request; `key` is its idempotency key and part of its prompt.
#[derive(Clone, Debug)]
pub struct Chat {
    pub key: String,
    pub model: String,
    pub tokens: u64,
}

impl Chat {
    pub fn new(key: impl Into<String>, model: &str, tokens: u64) -> Chat {
        Chat { key: key.into(), model: model.into(), tokens }
    }

    fn body(&self) -> Value {
        json!({
            "model": self.model, "stream": true, "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": format!("letter {}", self.key)}],
        })
    }

    fn expected_text(&self) -> String {
        let prompt = self.body()["messages"].to_string();
        (0..self.tokens).map(|offset| engine::token(&prompt, offset)).collect()
    }

    /// Sends the request to one host and checks the answer.
    pub async fn send(&self, address: SocketAddr) -> Ending {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
            .header(engine::IDEMPOTENCY_KEY, &self.key)
            .body(Full::new(Bytes::from(self.body().to_string())))
            .expect("the request is valid");
        let response = match tokio::time::timeout(TIMEOUT, client.request(request)).await {
            Err(_) => return Ending::Wrong("no answer within the time limit".into()),
            Ok(Err(error)) if error.is_connect() => return Ending::ConnectFailed,
            Ok(Err(_)) => return Ending::Disconnected,
            Ok(Ok(response)) => response,
        };
        let is_stream = response.status() == http::StatusCode::OK;
        let (text, end) = read_body(response.into_body()).await;
        match (is_stream, end) {
            (_, BodyEnd::TimedOut) => {
                Ending::Wrong(format!("{}: the body did not end within the time limit", self.key))
            }
            (true, end) => self.classify(&text, end),
            (false, BodyEnd::Aborted) => Ending::Disconnected,
            (false, BodyEnd::Eof) => problem(&text),
        }
    }

    fn classify(&self, text: &str, end: BodyEnd) -> Ending {
        let events = events(text);
        let (received, expected) = (answer_text(&events), self.expected_text());
        if !expected.starts_with(&received) {
            return Ending::Wrong(format!(
                "{}: received {received:?}, expected {expected:?}",
                self.key
            ));
        }
        let last = events.last().map_or("", |event| event.data.as_str());
        match last {
            "[DONE]" if received == expected => Ending::Complete,
            "[DONE]" => Ending::Wrong(format!("{}: [DONE] after {received:?}", self.key)),
            data if data.contains("\"ran\"") => problem(data),
            _ if end == BodyEnd::Aborted => Ending::Disconnected,
            _ => Ending::Wrong(format!("{}: the stream ended without [DONE]", self.key)),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    Eof,
    Aborted,
    TimedOut,
}

async fn read_body(mut body: hyper::body::Incoming) -> (String, BodyEnd) {
    let mut text = Vec::new();
    let end = loop {
        match tokio::time::timeout(TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => text.extend(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => break BodyEnd::Aborted,
            Ok(None) => break BodyEnd::Eof,
            Err(_) => break BodyEnd::TimedOut,
        }
    };
    (String::from_utf8_lossy(&text).into_owned(), end)
}

fn problem(text: &str) -> Ending {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    match (body["type"].as_str(), body["ran"].as_str()) {
        (Some(name), Some(ran)) => {
            let name = name.rsplit(':').next().unwrap_or(name);
            Ending::Problem { name: name.into(), ran: ran.into() }
        }
        _ => Ending::Wrong(format!("neither an answer nor a problem document: {text}")),
    }
}

/// Keys of ended calls, and how each call ended.
#[derive(Debug, Default)]
pub struct Endings(Mutex<Vec<(String, Ending)>>);

impl Endings {
    fn add(&self, key: &str, ending: Ending) {
        self.0.lock().expect("lock is not poisoned").push((key.into(), ending));
    }

    pub fn all(&self) -> Vec<(String, Ending)> {
        self.0.lock().expect("lock is not poisoned").clone()
    }

    pub fn complete_count(&self) -> usize {
        self.all().iter().filter(|(_, ending)| *ending == Ending::Complete).count()
    }

    /// Calls that ended without their full expected answer.
    pub fn failures(&self) -> Vec<(String, Ending)> {
        self.all().into_iter().filter(|(_, ending)| *ending != Ending::Complete).collect()
    }

    /// Calls that ended as no call may: disconnected without a problem document, or wrong.
    pub fn violations(&self) -> Vec<(String, Ending)> {
        let is_violation =
            |ending: &Ending| matches!(ending, Ending::Disconnected | Ending::Wrong(_));
        self.all().into_iter().filter(|(_, ending)| is_violation(ending)).collect()
    }
}

/// Addresses at which a load balancer calls and probes a host.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

/// Requests of a load generator: chats of `tokens` tokens, the models in turn.
///
/// `name` is the prefix of the calls' keys.
#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub models: Vec<String>,
    pub tokens: u64,
}

/// Concurrent callers that send requests until stopped, at most [`MAX_CALLS`] in total.
pub struct LoadGenerator {
    endings: Arc<Endings>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

const MAX_CALLS: u64 = 2_000;

impl LoadGenerator {
    /// Starts callers, each of which sends one request after the other.
    pub fn start(callers: usize, hosts: &[HostAddresses], workload: Workload) -> LoadGenerator {
        let (endings, stop) = (Arc::new(Endings::default()), Arc::new(AtomicBool::new(false)));
        let calls = Arc::new(AtomicU64::new(0));
        let work = (0..callers).map(|index| {
            let mut hosts = hosts.to_vec();
            let first = index % hosts.len();
            hosts.rotate_left(first);
            let (endings, stop, calls) = (endings.clone(), stop.clone(), calls.clone());
            tokio::spawn(call(hosts, workload.clone(), endings, stop, calls))
        });
        let callers = work.collect();
        LoadGenerator { endings, stop, callers }
    }

    pub fn endings(&self) -> &Endings {
        &self.endings
    }

    /// Waits for the calls in flight to end, and returns how all calls ended.
    pub async fn stop(self) -> Arc<Endings> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.expect("caller task must not panic");
        }
        self.endings
    }
}

async fn call(
    mut hosts: Vec<HostAddresses>,
    workload: Workload,
    endings: Arc<Endings>,
    stop: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
) {
    while !stop.load(Ordering::Relaxed) {
        let number = calls.fetch_add(1, Ordering::Relaxed);
        if MAX_CALLS <= number {
            return;
        }
        let model = &workload.models[number as usize % workload.models.len()];
        let chat = Chat::new(format!("{}-{number}", workload.name), model, workload.tokens);
        let ending = send_through_balancer(&mut hosts, &chat).await;
        endings.add(&chat.key, ending);
    }
}

/// Sends a chat to the next host that is ready and accepts the connection.
async fn send_through_balancer(hosts: &mut [HostAddresses], chat: &Chat) -> Ending {
    for _ in 0..hosts.len() {
        hosts.rotate_left(1);
        let host = hosts[0];
        if !is_ready(host).await {
            continue;
        }
        match chat.send(host.callers).await {
            Ending::ConnectFailed => {}
            ending => return ending,
        }
    }
    Ending::ConnectFailed
}

/// Probes a host as a load balancer does; a host that does not answer in time is not ready.
async fn is_ready(host: HostAddresses) -> bool {
    const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
    let probe = try_send(host.operators, "GET", "/ready", &[], "");
    let answer = tokio::time::timeout(PROBE_TIMEOUT, probe).await;
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status == 200))
}
