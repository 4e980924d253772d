//! Stand-in for the platform: the object API and the host list.
//!
//! Objects are JSON values, with versions from one counter. [`Fault`] switches on outages, latency,
//! rate limits and lost answers, and [`Calls`] counts every call.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, Query, Request, State},
    http::{HeaderMap, StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::get,
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::watch, time::Instant};
use types::host::List;

use crate::net::{Listener, LoseAnswer};

/// Maximum length of the body of a write; a longer one is refused with 413.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Number of changes that are kept; a watch from before them is answered with 410.
const MAX_HISTORY: usize = 10_000;

/// Faults that the platform injects.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Whether every call is answered with 503.
    pub down: bool,
    /// Delay before each call is executed or refused.
    pub latency: Duration,
    /// Number of next successful writes whose answers are lost.
    pub lost_answers: u32,
    /// Maximum number of calls per second; 0 for no limit.
    pub rate: u32,
}

/// Number of calls by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of one object or a list of objects.
    pub reads: u64,
    /// Writes, including refused ones.
    pub writes: u64,
    /// Watches, including those that ended without a change.
    pub watches: u64,
    /// Reads of the list of hosts.
    pub lists: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Calls refused because of [`Fault::down`].
    pub refused: u64,
}

/// A running platform, which ends when dropped.
#[derive(Debug)]
pub struct Platform {
    listener: Listener,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<Contents>,
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Contents {
    objects: BTreeMap<String, (u64, Value)>,
    history: VecDeque<Event>,
    revision: u64,
    fault: Fault,
    calls: Calls,
    window: Option<(Instant, u32)>,
    list: List,
    pending: VecDeque<(Instant, List)>,
    list_lag: Duration,
}

#[derive(Clone, Debug)]
struct Event {
    version: u64,
    key: String,
    value: Option<Value>,
}

impl Platform {
    /// Starts a platform without objects on a loopback port that the system picks.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start() -> io::Result<Platform> {
        let shared = Arc::new(Shared { state: Mutex::default(), revision: watch::channel(0).0 });
        let router = Router::new()
            .route("/objects", get(list))
            .route("/objects/{*key}", get(read).put(put).delete(delete))
            .route("/watch", get(watch_changes))
            .route("/hosts", get(hosts))
            .layer(middleware::from_fn_with_state(shared.clone(), inject_faults))
            .with_state(shared.clone());
        let listener = Listener::start(router).await?;
        Ok(Platform { listener, shared })
    }

    /// Address of the object API and the host list.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Changes the faults that are injected.
    pub fn fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.shared.state().fault);
    }

    /// Sets the delay after which a changed host list becomes visible.
    pub fn set_list_lag(&self, lag: Duration) {
        self.shared.state().list_lag = lag;
    }

    /// Sets the host list, which becomes visible after [`Platform::set_list_lag`].
    pub fn set_list(&self, list: List) {
        let mut state = self.shared.state();
        if state.list_lag.is_zero() {
            state.pending.clear();
            state.list = list;
            return;
        }
        let due = Instant::now() + state.list_lag;
        state.pending.push_back((due, list));
    }

    /// Number of calls up to now.
    pub fn calls(&self) -> Calls {
        self.shared.state().calls
    }

    /// Reads an object with its version, bypassing the API, faults and counters.
    pub fn peek(&self, key: &str) -> Option<(u64, Value)> {
        self.shared.state().objects.get(key).cloned()
    }

    /// Lists the keys with a prefix, bypassing the API, faults and counters.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.state().objects.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Writes an object, bypassing the API, faults and counters. Returns its new version.
    pub fn poke(&self, key: &str, value: Value) -> u64 {
        self.shared.put(key.to_owned(), Some(value))
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, Contents> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn put(&self, key: String, value: Option<Value>) -> u64 {
        let version = self.state().put(key, value);
        self.revision.send_replace(version);
        version
    }
}

impl Contents {
    fn put(&mut self, key: String, value: Option<Value>) -> u64 {
        self.revision += 1;
        let version = self.revision;
        match &value {
            Some(value) => self.objects.insert(key.clone(), (version, value.clone())),
            None => self.objects.remove(&key),
        };
        self.history.push_back(Event { version, key, value });
        if MAX_HISTORY < self.history.len() {
            self.history.pop_front();
        }
        version
    }

    fn visible_list(&mut self) -> List {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.list = list;
            }
        }
        self.list.clone()
    }

    fn is_over_rate(&mut self) -> bool {
        if self.fault.rate == 0 {
            return false;
        }
        let now = Instant::now();
        let (start, used) = self.window.unwrap_or((now, 0));
        let (start, used) =
            if now - start < Duration::from_secs(1) { (start, used) } else { (now, 0) };
        self.window = Some((start, used + 1));
        self.fault.rate <= used
    }
}

/// Counts the call, and delays it, refuses it or loses its answer as [`Fault`] specifies.
async fn inject_faults(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    let is_write = request.method() != axum::http::Method::GET;
    let (latency, refusal) = {
        let mut state = shared.state();
        count(&mut state.calls, &request);
        (state.fault.latency, refusal(&mut state))
    };
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    if let Some(refusal) = refusal {
        return refusal;
    }
    let mut response = next.run(request).await;
    if is_write && response.status().is_success() && consume_lost_answer(&shared) {
        response.extensions_mut().insert(LoseAnswer);
    }
    response
}

fn count(calls: &mut Calls, request: &Request) {
    let counter = match request.uri().path() {
        "/watch" => &mut calls.watches,
        "/hosts" => &mut calls.lists,
        _ if request.method() == axum::http::Method::GET => &mut calls.reads,
        _ => &mut calls.writes,
    };
    *counter += 1;
}

fn refusal(state: &mut Contents) -> Option<Response> {
    if state.fault.down {
        state.calls.refused += 1;
        return Some(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    if state.is_over_rate() {
        state.calls.limited += 1;
        let headers = [(header::RETRY_AFTER, "1")];
        return Some((StatusCode::TOO_MANY_REQUESTS, headers).into_response());
    }
    None
}

fn consume_lost_answer(shared: &Shared) -> bool {
    let mut state = shared.state();
    let is_lost = 0 < state.fault.lost_answers;
    state.fault.lost_answers = state.fault.lost_answers.saturating_sub(1);
    is_lost
}

async fn read(State(shared): State<Arc<Shared>>, Path(key): Path<String>) -> Response {
    match shared.state().objects.get(&key) {
        Some((version, value)) => (etag(*version), Json(value.clone())).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list(State(shared): State<Arc<Shared>>, Query(query): Query<ListQuery>) -> Response {
    let state = shared.state();
    let objects: Vec<Value> = state
        .objects
        .range(query.prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&query.prefix))
        .map(|(key, (version, value))| json!({"key": key, "version": version, "value": value}))
        .collect();
    Json(json!({"revision": state.revision, "objects": objects})).into_response()
}

async fn put(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if MAX_VALUE_BYTES < body.len() {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    write(&shared, key, &headers, Some(value))
}

async fn delete(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Response {
    write(&shared, key, &headers, None)
}

fn write(shared: &Shared, key: String, headers: &HeaderMap, value: Option<Value>) -> Response {
    let mut state = shared.state();
    let current = state.objects.get(&key).map(|(version, _)| *version);
    let must_be_absent = headers.contains_key(header::IF_NONE_MATCH);
    let expected = headers
        .get(header::IF_MATCH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.trim_matches('"').parse::<u64>().ok());
    let is_met = match (must_be_absent, expected) {
        (true, _) => current.is_none(),
        (false, Some(version)) => current == Some(version),
        (false, None) => return StatusCode::PRECONDITION_REQUIRED.into_response(),
    };
    if !is_met {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    let version = state.put(key, value);
    drop(state);
    shared.revision.send_replace(version);
    (etag(version), StatusCode::OK).into_response()
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    from: u64,
    timeout_ms: u64,
}

async fn watch_changes(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<WatchQuery>,
) -> Response {
    let deadline = Instant::now() + Duration::from_millis(query.timeout_ms);
    let mut revision = shared.revision.subscribe();
    loop {
        revision.mark_unchanged();
        if let Some(answer) = changes(&shared, &query) {
            return answer;
        }
        if tokio::time::timeout_at(deadline, revision.changed()).await.is_err() {
            let revision = shared.state().revision;
            return Json(json!({"revision": revision, "events": []})).into_response();
        }
        if shared.state().fault.down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
    }
}

fn changes(shared: &Shared, query: &WatchQuery) -> Option<Response> {
    let state = shared.state();
    let oldest = state.history.front().map_or(state.revision + 1, |event| event.version);
    if query.from + 1 < oldest {
        return Some(StatusCode::GONE.into_response());
    }
    let events: Vec<Value> = state
        .history
        .iter()
        .filter(|event| query.from < event.version && event.key.starts_with(&query.prefix))
        .map(|e| json!({"key": e.key, "version": e.version, "value": e.value}))
        .collect();
    if events.is_empty() {
        return None;
    }
    Some(Json(json!({"revision": state.revision, "events": events})).into_response())
}

async fn hosts(State(shared): State<Arc<Shared>>) -> Json<List> {
    Json(shared.state().visible_list())
}

fn etag(version: u64) -> [(header::HeaderName, String); 1] {
    [(header::ETAG, format!("\"{version}\""))]
}
