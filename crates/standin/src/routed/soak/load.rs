//! Callers of a soak: some tasks, each with one request at a time, so that the load is bounded.

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
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use types::routed::{Kind, Version};

use super::{
    record::{self, Life, Outcome, Request, Span},
    site::{ADAPTERS, DEADLINE, HOST, MODELS, POISON, since},
};
use crate::routed::{
    caller::{Answer, Caller, Failure, RequestSpec},
    lock,
};

/// Callers at once. With [`PAUSE`] they stay under 200 requests a second, also in a burst.
const CALLERS: u64 = 16;

/// Between two requests of one caller, in ms; in a burst it is [`BURST`].
const PAUSE: std::ops::Range<u64> = 60..300;
const BURST: std::ops::Range<u64> = 40..120;

/// How long a caller waits beyond the deadline.
const BEYOND: Duration = Duration::from_secs(1);

/// Between two sends of a request that crashes servers.
const POISON_PAUSE: Duration = Duration::from_millis(300);

/// Time between the balancer's questions.
const POLL: Duration = Duration::from_millis(250);

/// A host as callers and the balancer know it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seat {
    pub(super) life: Life,
    pub(super) callers: SocketAddr,
    pub(super) operators: SocketAddr,
    pub(super) is_ready: bool,
}

/// What callers share with those who make the faults.
#[derive(Debug)]
pub(super) struct Crowd {
    pub(super) began: Instant,
    pub(super) seats: Mutex<Vec<Seat>>,
    pub(super) versions: Mutex<Vec<Version>>,
    pub(super) requests: Mutex<Vec<Request>>,
    pub(super) is_burst: AtomicBool,
    /// Whether a request comes again and again that crashes servers.
    pub(super) is_poisoned: AtomicBool,
    pub(super) is_over: AtomicBool,
}

impl Crowd {
    /// Time since the start.
    pub(super) fn since(&self, at: Instant) -> Duration {
        at.duration_since(self.began)
    }

    /// Where a request goes: to a ready host, if there is one.
    fn seat(&self, random: &mut ChaCha8Rng) -> Option<Seat> {
        let seats = lock(&self.seats);
        let ready: Vec<&Seat> = seats.iter().filter(|seat| seat.is_ready).collect();
        ready.choose(random).map(|seat| **seat).or_else(|| seats.choose(random).copied())
    }
}

/// Starts callers and a balancer.
pub(super) fn start(crowd: &Arc<Crowd>, seed: u64) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        let random = ChaCha8Rng::seed_from_u64(seed ^ (number + 1) << 32);
        tasks.spawn(call(crowd.clone(), number, random));
    }
    tasks.spawn(balance(crowd.clone()));
    tasks.spawn(poison(crowd.clone(), seed));
    tasks
}

/// Asks all hosts whether they are ready.
async fn balance(crowd: Arc<Crowd>) {
    while !crowd.is_over.load(Ordering::Relaxed) {
        let seats = lock(&crowd.seats).clone();
        for seat in seats {
            let ready = timeout(POLL, says_ready(seat.operators)).await.unwrap_or_default();
            let mut seats = lock(&crowd.seats);
            let same = seats.iter_mut().find(|other| other.life == seat.life);
            same.into_iter().for_each(|same| same.is_ready = ready);
        }
        sleep(POLL).await;
    }
}

async fn says_ready(address: SocketAddr) -> bool {
    let request = http::Request::get(platform::remote::READY)
        .header(http::header::HOST, address.to_string())
        .body(bytes::Bytes::new());
    let Ok(request) = request else { return false };
    let opened = Caller::new(address).send(request).await;
    opened.is_ok_and(|opened| opened.head.status == StatusCode::OK)
}

/// What one caller asks for next.
struct Wanted {
    ask: RequestSpec,
    kind: Kind,
    resumable: bool,
    body: usize,
    crashes: bool,
}

/// Sends a request that crashes servers through all hosts in turn, from an address of its own at each.
async fn poison(crowd: Arc<Crowd>, seed: u64) {
    let path = ["/tickets/new", "/pages/home", "/draft/2f"][(seed % 3) as usize];
    let (kind, resumable) = match seed % 3 {
        0 => (Kind::NonIdempotent, false),
        1 => (Kind::Idempotent, false),
        _ => (Kind::Stream, true),
    };
    let ask = RequestSpec::to(HOST, path).deadline(Some(DEADLINE));
    let ask = if kind == Kind::Stream { ask.model(MODELS[0]) } else { ask };
    let ask = ask.with_body(Method::POST, POISON);
    let mut sending = JoinSet::new();
    for turn in 0.. {
        sleep(POISON_PAUSE).await;
        if crowd.is_over.load(Ordering::Relaxed) {
            break;
        }
        if !crowd.is_poisoned.load(Ordering::Relaxed) {
            continue;
        }
        let seats = lock(&crowd.seats).clone();
        let seat = seats[turn % seats.len()];
        let source = IpAddr::from([127, 0, 0, seat.life.host as u8 + 2]);
        let body = POISON.len();
        let wanted = Wanted { ask: ask.with_new_id(), kind, resumable, body, crashes: true };
        let crowd = crowd.clone();
        sending.spawn(async move {
            let mut caller = Caller::new(seat.callers).from(source);
            send(&crowd, seat, &mut caller, &wanted, None).await;
        });
    }
    while sending.join_next().await.is_some() {}
}

fn want(random: &mut ChaCha8Rng, versions: &[Version]) -> Wanted {
    let plain = |path: &str, kind| {
        let ask = RequestSpec::to(HOST, path);
        Wanted { ask, kind, resumable: false, body: 0, crashes: false }
    };
    let stream = |path: &str, resumable, random: &mut ChaCha8Rng| {
        // Few models get most of the requests.
        let place = random.random_range(0..MODELS.len()).min(random.random_range(0..MODELS.len()));
        let mut ask = RequestSpec::to(HOST, path).model(MODELS[place]);
        if random.random_bool(0.3) {
            ask = ask.adapter(&format!("a{}", random.random_range(1..=ADAPTERS)));
        }
        let body = ask.request().body().len();
        Wanted { ask, kind: Kind::Stream, resumable, body, crashes: false }
    };
    let mut wanted = match random.random_range(0..100) {
        0..38 => plain("/pages/home?lang=es", Kind::Idempotent),
        38..46 => plain("/pages/deep/x", Kind::Idempotent),
        46..54 => match versions.choose(random) {
            Some(version) => plain(&format!("{}x", since(*version)), Kind::Idempotent),
            None => plain("/pages/y", Kind::Idempotent),
        },
        54..74 => {
            let body = vec![b'x'; random.random_range(1..4_000)];
            let mut ticket = plain("/tickets/new", Kind::NonIdempotent);
            (ticket.body, ticket.ask) = (body.len(), ticket.ask.with_body(Method::POST, body));
            ticket
        }
        74..87 => stream("/chat/2f", false, random),
        _ => stream("/draft/2f", true, random),
    };
    wanted.ask = wanted.ask.deadline(Some(DEADLINE));
    wanted
}

async fn call(crowd: Arc<Crowd>, caller: u64, mut random: ChaCha8Rng) {
    let mut kept: HashMap<Life, Caller> = HashMap::new();
    let mut number = 0_u64;
    let mut failed: Option<Wanted> = None;
    while !crowd.is_over.load(Ordering::Relaxed) {
        let is_burst = crowd.is_burst.load(Ordering::Relaxed);
        let pause = random.random_range(if is_burst { BURST } else { PAUSE });
        sleep(Duration::from_millis(pause)).await;
        let versions = lock(&crowd.versions).clone();
        let mut wanted = want(&mut random, &versions);
        number += 1;
        wanted.ask = wanted.ask.with_number(caller, number);
        // What failed beside a request that crashes servers is asked for again, as it was.
        if let Some(again) = failed.take() {
            wanted = Wanted { ask: again.ask.with_new_id(), ..again };
        }
        let Some(seat) = crowd.seat(&mut random) else { continue };
        let connection = kept.entry(seat.life).or_insert_with(|| Caller::new(seat.callers));
        if random.random_bool(0.1) {
            connection.disconnect();
        }
        let leaves = random.random_bool(0.03);
        let stays = leaves.then(|| Duration::from_millis(random.random_range(5..300)));
        let is_whole = send(&crowd, seat, connection, &wanted, stays).await;
        if !is_whole && crowd.is_poisoned.load(Ordering::Relaxed) {
            failed = Some(wanted);
        }
    }
}

/// Sends a request, and notes what came of it; whether an answer came whole. A caller that leaves stays for
/// so long.
async fn send(
    crowd: &Crowd,
    seat: Seat,
    connection: &mut Caller,
    wanted: &Wanted,
    stays: Option<Duration>,
) -> bool {
    let from = crowd.since(Instant::now());
    let asked = timeout(stays.unwrap_or(DEADLINE + BEYOND), connection.fetch(&wanted.ask)).await;
    let outcome = match asked {
        Ok(Ok(answer)) => Outcome::Answered(answered(answer)),
        Ok(Err(Failure::Connect)) => Outcome::Unreached,
        Ok(Err(Failure::Closed)) => Outcome::Closed,
        Ok(Err(Failure::Silence)) => Outcome::Late,
        Err(_) if stays.is_some() => Outcome::Left,
        Err(_) => Outcome::Late,
    };
    let is_whole = matches!(outcome, Outcome::Answered(record::Answer { whole: true, .. }));
    if !is_whole {
        connection.disconnect();
    }
    let is_served =
        is_whole && matches!(&outcome, Outcome::Answered(answer) if answer.status.is_success());
    let span = Span { from, to: crowd.since(Instant::now()) };
    lock(&crowd.requests).push(Request {
        id: wanted.ask.id().to_string(),
        kind: wanted.kind,
        resumable: wanted.resumable,
        path: wanted.ask.info.path.to_string(),
        body: wanted.body,
        crashes: wanted.crashes,
        life: seat.life,
        span,
        deadline: DEADLINE,
        outcome,
    });
    is_served
}

fn answered(answer: Answer) -> record::Answer {
    let Answer { status, metadata, body, is_complete, .. } = answer;
    let text = |text: Option<Arc<str>>| text.map(|text| text.to_string());
    record::Answer {
        status,
        id: text(metadata.id),
        seal: text(metadata.seal),
        body,
        whole: is_complete,
    }
}
