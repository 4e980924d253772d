//! Stand-in for a plain service, which counts the calls that it executes.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{
    Json, Router,
    body::Body,
    extract::{Request, State},
    http::{HeaderMap, StatusCode},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::get,
};
use futures_util::StreamExt;
use serde_json::json;
use types::{backend, order::Role, report::Load};

use crate::net::{Listener, LoseAnswer};

/// Header with the idempotency key, by which [`Plain::runs_by_key`] counts executions.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Faults that the service injects.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Execution time of each call.
    pub work_time: Duration,
    /// Number of next calls that are executed, but whose answers are lost.
    pub lost_answers: u32,
    /// Number of next calls that are answered with 503 and not executed.
    pub refusals: u32,
}

/// A running plain service, which ends when dropped.
#[derive(Debug)]
pub struct Plain {
    listener: Listener,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    id: backend::Id,
    runs_by_key: Mutex<BTreeMap<String, u64>>,
    fault: Mutex<Fault>,
    total: AtomicU64,
    running: AtomicU64,
    sequence: AtomicU64,
    leaving: AtomicBool,
}

impl Plain {
    /// Starts a service on a loopback port that the system picks; `id` is the server id that it
    /// reports.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(id: &str) -> io::Result<Plain> {
        let shared = Arc::new(Shared {
            id: id.into(),
            runs_by_key: Mutex::default(),
            fault: Mutex::default(),
            total: AtomicU64::new(0),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        });
        let router = Router::new()
            .fallback(run)
            .layer(middleware::from_fn_with_state(shared.clone(), inject_faults))
            .route("/load", get(load))
            .with_state(shared.clone());
        let listener = Listener::start(router).await?;
        Ok(Plain { listener, shared })
    }

    /// Address for calls and for load reports.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Changes the faults that are injected.
    pub fn fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut lock(&self.shared.fault));
    }

    /// Makes the service report that it is leaving. It still accepts calls.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops listening and closes all connections at once.
    pub fn kill(&self) {
        self.listener.kill();
    }

    /// Number of calls executed so far.
    pub fn total(&self) -> u64 {
        self.shared.total.load(Ordering::Relaxed)
    }

    /// Number of calls executed so far, by idempotency key.
    pub fn runs_by_key(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.runs_by_key).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

async fn inject_faults(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    if consume(&mut lock(&shared.fault).refusals) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut response = next.run(request).await;
    if consume(&mut lock(&shared.fault).lost_answers) {
        response.extensions_mut().insert(LoseAnswer);
    }
    response
}

fn consume(count: &mut u32) -> bool {
    let is_left = 0 < *count;
    *count = count.saturating_sub(1);
    is_left
}

/// Reads the whole body, counts the execution, and answers with a description of the request.
async fn run(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let key = idempotency_key(request.headers());
    shared.running.fetch_add(1, Ordering::Relaxed);
    let bytes = body_length(request.into_body()).await;
    let work_time = lock(&shared.fault).work_time;
    if bytes.is_some() {
        shared.total.fetch_add(1, Ordering::Relaxed);
        if let Some(key) = &key {
            *lock(&shared.runs_by_key).entry(key.clone()).or_default() += 1;
        }
        tokio::time::sleep(work_time).await;
    }
    shared.running.fetch_sub(1, Ordering::Relaxed);
    let Some(bytes) = bytes else { return StatusCode::BAD_REQUEST.into_response() };
    Json(json!({
        "server": shared.id, "method": method.as_str(), "path": path, "bytes": bytes,
        "effect": key,
    }))
    .into_response()
}

fn idempotency_key(headers: &HeaderMap) -> Option<String> {
    headers.get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok()).map(str::to_owned)
}

/// Length of a body, or `None` if it was truncated.
async fn body_length(body: Body) -> Option<u64> {
    let mut stream = body.into_data_stream();
    let mut bytes = 0;
    while let Some(chunk) = stream.next().await {
        bytes += chunk.ok()?.len() as u64;
    }
    Some(bytes)
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<Load> {
    let running = shared.running.load(Ordering::Relaxed);
    Json(Load {
        server: shared.id.clone(),
        incarnation: 1,
        sequence: shared.sequence.fetch_add(1, Ordering::Relaxed),
        age: Duration::ZERO,
        leaving: shared.leaving.load(Ordering::Relaxed),
        running: u32::try_from(running).unwrap_or(u32::MAX),
        waiting: 0,
        slots: 64,
        step: lock(&shared.fault).work_time,
        prefill_rate: 0,
        prompt_backlog: 0,
        capacity: 0,
        residents: Vec::new(),
        fence: 0,
        fenced: false,
        orders: Vec::new(),
        role: Role::Whole,
    })
}
