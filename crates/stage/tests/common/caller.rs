//! Callers that check every answer against the one right text, and count how their calls ended.
//!
//! A caller does what a portal behind the platform's balancer does: it goes to a host that says it
//! is ready, and to the next one when a connection can't be made.

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

use super::{PATIENCE, answer_text, events, try_send};

/// How one call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With the whole right answer.
    Whole,
    /// With a problem document, or a stream that ended with one; what it said of the run.
    Problem { name: String, ran: String },
    /// The connection was made and broke without a word.
    Cut,
    /// No connection was made.
    Unreached,
    /// With something that is not its answer.
    Wrong(String),
}

impl Ending {
    /// Whether it was refused as not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Ending::Problem { ran, .. } if ran == "did-not-run")
    }
}

/// One streamed chat.
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

    fn right(&self) -> String {
        let prompt = self.body()["messages"].to_string();
        (0..self.tokens).map(|offset| engine::token(&prompt, offset)).collect()
    }

    /// Sends it to one host, under its key, and judges the answer.
    pub async fn send(&self, address: SocketAddr) -> Ending {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
            .header(engine::IDEMPOTENCY_KEY, &self.key)
            .body(Full::new(Bytes::from(self.body().to_string())))
            .expect("a request");
        let response = match tokio::time::timeout(PATIENCE, client.request(request)).await {
            Err(_) => return Ending::Wrong("no answer within patience".into()),
            Ok(Err(error)) if error.is_connect() => return Ending::Unreached,
            Ok(Err(_)) => return Ending::Cut,
            Ok(Ok(response)) => response,
        };
        let is_stream = response.status() == http::StatusCode::OK;
        let (text, end) = read(response.into_body()).await;
        match (is_stream, end) {
            (_, End::Never) => Ending::Wrong(format!("{}: no end within patience", self.key)),
            (true, end) => self.judge(&text, end),
            (false, End::Cut) => Ending::Cut,
            (false, End::Clean) => problem(&text),
        }
    }

    fn judge(&self, text: &str, end: End) -> Ending {
        let events = events(text);
        let (heard, right) = (answer_text(&events), self.right());
        if !right.starts_with(&heard) {
            return Ending::Wrong(format!("{}: heard {heard:?}, right is {right:?}", self.key));
        }
        let last = events.last().map_or("", |event| event.data.as_str());
        match last {
            "[DONE]" if heard == right => Ending::Whole,
            "[DONE]" => Ending::Wrong(format!("{}: ended after {heard:?}", self.key)),
            data if data.contains("\"ran\"") => problem(data),
            _ if end == End::Cut => Ending::Cut,
            _ => Ending::Wrong(format!("{}: ended without an end mark", self.key)),
        }
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Clean,
    Cut,
    Never,
}

async fn read(mut body: hyper::body::Incoming) -> (String, End) {
    let mut text = Vec::new();
    let end = loop {
        match tokio::time::timeout(PATIENCE, body.frame()).await {
            Ok(Some(Ok(frame))) => text.extend(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => break End::Cut,
            Ok(None) => break End::Clean,
            Err(_) => break End::Never,
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

/// How the calls of a crowd ended.
#[derive(Debug, Default)]
pub struct Endings(Mutex<Vec<(String, Ending)>>);

impl Endings {
    fn add(&self, key: &str, ending: Ending) {
        self.0.lock().expect("no panic while adding").push((key.into(), ending));
    }

    pub fn all(&self) -> Vec<(String, Ending)> {
        self.0.lock().expect("no panic while adding").clone()
    }

    pub fn whole(&self) -> usize {
        self.all().iter().filter(|(_, ending)| *ending == Ending::Whole).count()
    }

    /// Those that did not end with their whole answer.
    pub fn others(&self) -> Vec<(String, Ending)> {
        self.all().into_iter().filter(|(_, ending)| *ending != Ending::Whole).collect()
    }

    /// Those that a caller must never see: cut without a word, or wrong.
    pub fn broken(&self) -> Vec<(String, Ending)> {
        let is_broken = |ending: &Ending| matches!(ending, Ending::Cut | Ending::Wrong(_));
        self.all().into_iter().filter(|(_, ending)| is_broken(ending)).collect()
    }
}

/// A host as a caller's balancer knows it.
#[derive(Clone, Copy, Debug)]
pub struct Entrance {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

/// What each call of a crowd asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub name: &'static str,
    pub models: Vec<String>,
    pub tokens: u64,
}

/// Callers at work until told to stop; the number of calls is bounded all the same.
pub struct Crowd {
    endings: Arc<Endings>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

const MOST_CALLS: u64 = 2_000;

impl Crowd {
    /// Sets so many callers to work, each with one call after the other.
    pub fn start(callers: usize, entrances: &[Entrance], ask: Ask) -> Crowd {
        let (endings, stop) = (Arc::new(Endings::default()), Arc::new(AtomicBool::new(false)));
        let calls = Arc::new(AtomicU64::new(0));
        let work = (0..callers).map(|place| {
            let mut entrances = entrances.to_vec();
            let turn = place % entrances.len();
            entrances.rotate_left(turn);
            let (endings, stop, calls) = (endings.clone(), stop.clone(), calls.clone());
            tokio::spawn(call(entrances, ask.clone(), endings, stop, calls))
        });
        let callers = work.collect();
        Crowd { endings, stop, callers }
    }

    pub fn endings(&self) -> &Endings {
        &self.endings
    }

    /// Lets every call under way come to its end, and returns how all ended.
    pub async fn stop(self) -> Arc<Endings> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.expect("a caller that doesn't panic");
        }
        self.endings
    }
}

async fn call(
    mut entrances: Vec<Entrance>,
    ask: Ask,
    endings: Arc<Endings>,
    stop: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
) {
    while !stop.load(Ordering::Relaxed) {
        let number = calls.fetch_add(1, Ordering::Relaxed);
        if MOST_CALLS <= number {
            return;
        }
        let model = &ask.models[number as usize % ask.models.len()];
        let chat = Chat::new(format!("{}-{number}", ask.name), model, ask.tokens);
        let ending = through_balancer(&mut entrances, &chat).await;
        endings.add(&chat.key, ending);
    }
}

/// Sends a chat to the next host that is ready and can be reached.
async fn through_balancer(entrances: &mut [Entrance], chat: &Chat) -> Ending {
    for _ in 0..entrances.len() {
        entrances.rotate_left(1);
        let entrance = entrances[0];
        if !is_ready(entrance).await {
            continue;
        }
        match chat.send(entrance.callers).await {
            Ending::Unreached => {}
            ending => return ending,
        }
    }
    Ending::Unreached
}

/// A balancer's probe, which gives up on a host that doesn't answer in time.
async fn is_ready(entrance: Entrance) -> bool {
    const PROBE_TIME: Duration = Duration::from_secs(2);
    let probe = try_send(entrance.operators, "GET", "/ready", &[], "");
    let answer = tokio::time::timeout(PROBE_TIME, probe).await;
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status == 200))
}
