//! Load of a soak.
//!
//! A fixed number of callers send one request at a time each, so that the load is bounded. Another
//! task polls the readiness of hosts as a load balancer does, and one sends poison requests.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use relay::edge::Part;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use types::routed::{Kind, Version};

use super::{
    customers::{self, Holders},
    record::{self, HostRun, Outcome, Poison, Request, Span},
    site::{ADAPTERS, DEADLINE, HOST, MODELS, POISON, POISON_PART, added_route},
};
use crate::routed::{
    caller::{Answer, Caller, Failure, RequestSpec},
    lock,
    stream::Stream,
};

/// Number of concurrent callers. With [`PAUSE_MS`] they stay under 200 requests per second, also in
/// a burst.
const CALLERS: u64 = 16;

/// Number of callers that send more than the servers of one service can serve, while they do.
const PRESSING_CALLERS: u64 = 40;

/// Pause between two requests of a pressing caller.
const PRESSING_PAUSE_MS: std::ops::Range<u64> = 20..60;

/// Pause between two requests of one caller, outside bursts.
const PAUSE_MS: std::ops::Range<u64> = 60..300;

/// Pause between two requests of one caller in a burst.
const BURST_PAUSE_MS: std::ops::Range<u64> = 40..120;

/// How long after the deadline a caller gives up.
pub(super) const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Interval between two sends of the poison request.
const POISON_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between two requests with the part that crashes servers.
const POISON_PART_INTERVAL: Duration = Duration::from_millis(200);

/// Id of the part that all prompts begin with.
const FIRST_PART: u64 = 0x5c1e;

/// Number of parts that the prompts of a third of the callers each have after the first one.
const CALLER_PARTS: u64 = 3;

/// Interval between readiness checks, and the time limit of each.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A host process as callers see it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostEntry {
    pub(super) host_run: HostRun,
    /// Address for requests of callers.
    pub(super) callers: SocketAddr,
    /// Address for readiness checks.
    pub(super) operators: SocketAddr,
    pub(super) is_ready: bool,
}

/// State that the tasks of the load share with the fault injector.
#[derive(Debug)]
pub(super) struct State {
    pub(super) started_at: Instant,
    pub(super) hosts: Mutex<Vec<HostEntry>>,
    /// Versions of the declarations written during the soak; each has added a route that callers
    /// use.
    pub(super) versions: Mutex<Vec<Version>>,
    pub(super) requests: Mutex<Vec<Request>>,
    /// The holders of keys under the last declaration; `None` if callers are not identified.
    pub(super) holders: Mutex<Option<Holders>>,
    pub(super) is_burst: AtomicBool,
    /// Whether the poison request is being sent.
    pub(super) is_poisoned: AtomicBool,
    /// Whether requests with the part that crashes servers are being sent.
    pub(super) is_part_poisoned: AtomicBool,
    /// Whether callers send more than the servers of one service can serve.
    pub(super) is_pressed: AtomicBool,
    /// Whether readers take up streams that broke.
    pub(super) has_readers: AtomicBool,
    /// Streams of the readers.
    pub(super) streams: Mutex<Vec<Stream>>,
    pub(super) is_over: AtomicBool,
}

impl State {
    /// Time since the start of the soak.
    pub(super) fn since(&self, at: Instant) -> Duration {
        at.duration_since(self.started_at)
    }

    /// The key that is held during the whole soak, if callers are identified.
    pub(super) fn steady_key(&self) -> Option<String> {
        customers::steady_key(lock(&self.holders).as_ref())
    }

    /// Chooses a ready host at random, or any host if none is ready.
    pub(super) fn choose_host(&self, random: &mut ChaCha8Rng) -> Option<HostEntry> {
        let hosts = lock(&self.hosts);
        let ready: Vec<&HostEntry> = hosts.iter().filter(|entry| entry.is_ready).collect();
        ready.choose(random).map(|entry| **entry).or_else(|| hosts.choose(random).copied())
    }
}

/// Starts the callers, the readiness checks and the sender of the poison request.
pub(super) fn start(state: &Arc<State>, seed: u64) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        let random = ChaCha8Rng::seed_from_u64(seed ^ (number + 1) << 32);
        tasks.spawn(run_caller(state.clone(), number, random));
    }
    for number in 0..PRESSING_CALLERS {
        let random = ChaCha8Rng::seed_from_u64(!seed ^ (number + 1) << 32);
        tasks.spawn(press(state.clone(), CALLERS + number, random));
    }
    tasks.spawn(poll_readiness(state.clone()));
    tasks.spawn(send_poison(state.clone(), seed));
    tasks.spawn(send_poison_part(state.clone()));
    tasks
}

/// Polls the readiness of all hosts, until the soak is over.
async fn poll_readiness(state: Arc<State>) {
    while !state.is_over.load(Ordering::Relaxed) {
        let hosts = lock(&state.hosts).clone();
        for entry in hosts {
            let ready = timeout(READINESS_POLL_INTERVAL, is_host_ready(entry.operators))
                .await
                .unwrap_or_default();
            let mut hosts = lock(&state.hosts);
            let same = hosts.iter_mut().find(|other| other.host_run == entry.host_run);
            same.into_iter().for_each(|same| same.is_ready = ready);
        }
        sleep(READINESS_POLL_INTERVAL).await;
    }
}

async fn is_host_ready(address: SocketAddr) -> bool {
    let request = http::Request::get(platform::remote::READY)
        .header(http::header::HOST, address.to_string())
        .body(bytes::Bytes::new());
    let Ok(request) = request else { return false };
    let opened = Caller::new(address).send(request).await;
    opened.is_ok_and(|opened| opened.head.status == StatusCode::OK)
}

/// The next request of a caller.
struct NextRequest {
    spec: RequestSpec,
    kind: Kind,
    resumable: bool,
    body_bytes: usize,
    key: Option<String>,
    poison: Option<Poison>,
}

impl NextRequest {
    /// Sets the key that the caller presents.
    fn with_key(self, key: Option<String>) -> NextRequest {
        let spec = match &key {
            Some(key) => self.spec.with_key(key),
            None => self.spec,
        };
        NextRequest { spec, key, ..self }
    }
}

/// Sends the poison request through all hosts in turn, from a different source address for each.
async fn send_poison(state: Arc<State>, seed: u64) {
    let path = ["/tickets/new", "/pages/home", "/draft/2f"][(seed % 3) as usize];
    let (kind, resumable) = match seed % 3 {
        0 => (Kind::NonIdempotent, false),
        1 => (Kind::Idempotent, false),
        _ => (Kind::Stream, true),
    };
    let spec = RequestSpec::to(HOST, path).deadline(Some(DEADLINE));
    let spec = if kind == Kind::Stream { spec.model(MODELS[0]) } else { spec };
    let spec = spec.with_body(Method::POST, POISON);
    let mut sending = JoinSet::new();
    for turn in 0.. {
        sleep(POISON_INTERVAL).await;
        if state.is_over.load(Ordering::Relaxed) {
            break;
        }
        if !state.is_poisoned.load(Ordering::Relaxed) {
            continue;
        }
        let hosts = lock(&state.hosts).clone();
        let entry = hosts[turn % hosts.len()];
        let source = IpAddr::from([127, 0, 0, entry.host_run.host as u8 + 2]);
        let body_bytes = POISON.len();
        let next = NextRequest {
            spec: spec.with_new_id(),
            kind,
            resumable,
            body_bytes,
            key: None,
            poison: Some(Poison::Request),
        };
        let next = next.with_key(state.steady_key());
        let state = state.clone();
        sending.spawn(async move {
            let mut caller = Caller::new(entry.callers).from(source);
            send(&state, entry, &mut caller, &next, None).await;
        });
    }
    while sending.join_next().await.is_some() {}
}

/// Sends requests that have nothing in common with each other but the part that crashes servers, and
/// their other shared parts with sound ones, through all hosts in turn.
async fn send_poison_part(state: Arc<State>) {
    let mut sending = JoinSet::new();
    for turn in 0_u64.. {
        sleep(POISON_PART_INTERVAL).await;
        if state.is_over.load(Ordering::Relaxed) {
            break;
        }
        if !state.is_part_poisoned.load(Ordering::Relaxed) {
            continue;
        }
        let hosts = lock(&state.hosts).clone();
        let entry = hosts[turn as usize % hosts.len()];
        let (path, resumable) = [("/chat/2f", false), ("/draft/2f", true)][turn as usize % 2];
        let spec = RequestSpec::to(HOST, path).model(MODELS[0]).with_number(CALLERS, turn);
        let mut spec = spec.deadline(Some(DEADLINE));
        spec.info.prompt = prompt(CALLERS, turn);
        spec.info.prompt.insert(1, part(POISON_PART));
        let body_bytes = spec.request().body().len();
        let (kind, poison) = (Kind::Stream, Some(Poison::Part));
        let next = NextRequest { spec, kind, resumable, body_bytes, key: None, poison };
        let next = next.with_key(state.steady_key());
        let state = state.clone();
        sending.spawn(async move {
            send(&state, entry, &mut Caller::new(entry.callers), &next, None).await;
        });
    }
    while sending.join_next().await.is_some() {}
}

fn part(id: u64) -> Part {
    Part { id, tokens: 30 }
}

/// The prompt of a caller's request: a part that all requests share, one that some callers share, and
/// one of its own.
fn prompt(caller: u64, number: u64) -> Vec<Part> {
    let own = (caller + 1) << 32 | number;
    [FIRST_PART, FIRST_PART + 1 + caller % CALLER_PARTS, own].map(part).into()
}

fn draw_request(random: &mut ChaCha8Rng, versions: &[Version]) -> NextRequest {
    let plain = |path: &str, kind| {
        let spec = RequestSpec::to(HOST, path);
        NextRequest { spec, kind, resumable: false, body_bytes: 0, key: None, poison: None }
    };
    let stream = |path: &str, resumable, random: &mut ChaCha8Rng| {
        // The minimum of two draws skews the load towards few models.
        let index = random.random_range(0..MODELS.len()).min(random.random_range(0..MODELS.len()));
        let mut spec = RequestSpec::to(HOST, path).model(MODELS[index]);
        if random.random_bool(0.3) {
            spec = spec.adapter(&format!("a{}", random.random_range(1..=ADAPTERS)));
        }
        let body_bytes = spec.request().body().len();
        NextRequest { spec, kind: Kind::Stream, resumable, body_bytes, key: None, poison: None }
    };
    let mut next = match random.random_range(0..100) {
        0..38 => plain("/pages/home?lang=es", Kind::Idempotent),
        38..46 => plain("/pages/deep/x", Kind::Idempotent),
        46..54 => match versions.choose(random) {
            Some(version) => plain(&format!("{}x", added_route(*version)), Kind::Idempotent),
            None => plain("/pages/y", Kind::Idempotent),
        },
        54..74 => {
            let body = vec![b'x'; random.random_range(1..4_000)];
            let mut ticket = plain("/tickets/new", Kind::NonIdempotent);
            (ticket.body_bytes, ticket.spec) =
                (body.len(), ticket.spec.with_body(Method::POST, body));
            ticket
        }
        74..87 => stream("/chat/2f", false, random),
        _ => stream("/draft/2f", true, random),
    };
    next.spec = next.spec.deadline(Some(DEADLINE));
    next
}

/// Sends requests to one service at a high rate while the servers are to be overloaded.
async fn press(state: Arc<State>, caller: u64, mut random: ChaCha8Rng) {
    let mut connections: HashMap<HostRun, Caller> = HashMap::new();
    let mut number = 0;
    while !state.is_over.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(random.random_range(PRESSING_PAUSE_MS))).await;
        if !state.is_pressed.load(Ordering::Relaxed) {
            continue;
        }
        let Some(entry) = state.choose_host(&mut random) else { continue };
        number += 1;
        let spec = RequestSpec::to(HOST, "/tickets/new").deadline(Some(DEADLINE));
        let spec = spec.with_body(Method::POST, "x").with_number(caller, number);
        let next = NextRequest {
            spec,
            kind: Kind::NonIdempotent,
            resumable: false,
            body_bytes: 1,
            key: None,
            poison: None,
        };
        let next = next.with_key(state.steady_key());
        let connection =
            connections.entry(entry.host_run).or_insert_with(|| Caller::new(entry.callers));
        send(&state, entry, connection, &next, None).await;
    }
}

async fn run_caller(state: Arc<State>, caller: u64, mut random: ChaCha8Rng) {
    let mut connections: HashMap<HostRun, Caller> = HashMap::new();
    let mut number = 0_u64;
    let mut failed: Option<NextRequest> = None;
    while !state.is_over.load(Ordering::Relaxed) {
        let is_burst = state.is_burst.load(Ordering::Relaxed);
        let pause = random.random_range(if is_burst { BURST_PAUSE_MS } else { PAUSE_MS });
        sleep(Duration::from_millis(pause)).await;
        let versions = lock(&state.versions).clone();
        let mut next = draw_request(&mut random, &versions);
        let key = customers::draw_key(lock(&state.holders).as_ref(), &mut random);
        next = next.with_key(key);
        number += 1;
        next.spec = next.spec.with_number(caller, number);
        if next.kind == Kind::Stream {
            next.spec.info.prompt = prompt(caller, number);
        }
        // A request that failed while poison was sent is retried unchanged by its caller.
        if let Some(again) = failed.take() {
            next = NextRequest { spec: again.spec.with_new_id(), ..again };
        }
        let Some(entry) = state.choose_host(&mut random) else { continue };
        let connection =
            connections.entry(entry.host_run).or_insert_with(|| Caller::new(entry.callers));
        if random.random_bool(0.1) {
            connection.disconnect();
        }
        let closes_early = random.random_bool(0.03);
        let close_after = closes_early.then(|| Duration::from_millis(random.random_range(5..300)));
        let is_served = send(&state, entry, connection, &next, close_after).await;
        if !is_served && state.is_poisoned.load(Ordering::Relaxed) {
            failed = Some(next);
        }
    }
}

/// Sends a request and records its outcome. Returns whether it got a complete answer with a success
/// status.
///
/// With `close_after`, the caller closes its connection after that time.
async fn send(
    state: &State,
    entry: HostEntry,
    connection: &mut Caller,
    next: &NextRequest,
    close_after: Option<Duration>,
) -> bool {
    let from = state.since(Instant::now());
    let result =
        timeout(close_after.unwrap_or(DEADLINE + TIMEOUT_MARGIN), connection.fetch(&next.spec))
            .await;
    let outcome = match result {
        Ok(Ok(answer)) => Outcome::Answered(to_record(answer)),
        Ok(Err(Failure::Connect)) => Outcome::Unreached,
        Ok(Err(Failure::Closed)) => Outcome::Closed,
        Ok(Err(Failure::Silence)) => Outcome::TimedOut,
        Err(_) if close_after.is_some() => Outcome::CallerClosed,
        Err(_) => Outcome::TimedOut,
    };
    let is_complete =
        matches!(outcome, Outcome::Answered(record::Answer { is_complete: true, .. }));
    if !is_complete {
        connection.disconnect();
    }
    let is_served =
        is_complete && matches!(&outcome, Outcome::Answered(answer) if answer.status.is_success());
    let span = Span { from, to: state.since(Instant::now()) };
    lock(&state.requests).push(Request {
        id: next.spec.id().to_string(),
        kind: next.kind,
        resumable: next.resumable,
        resume: None,
        path: next.spec.info.path.to_string(),
        body_bytes: next.body_bytes,
        key: next.key.clone(),
        poison: next.poison,
        host_run: entry.host_run,
        span,
        deadline: DEADLINE,
        outcome,
    });
    is_served
}

pub(super) fn to_record(answer: Answer) -> record::Answer {
    let Answer { status, metadata, body, is_complete, .. } = answer;
    let text = |text: Option<Arc<str>>| text.map(|text| text.to_string());
    record::Answer { status, id: text(metadata.id), seal: text(metadata.seal), body, is_complete }
}
