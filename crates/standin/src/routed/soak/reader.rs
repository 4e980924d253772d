//! Readers of a soak: callers that take up streams that broke, at any host.

use std::sync::{Arc, atomic::Ordering};

use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::JoinSet,
    time::{Duration, Instant, sleep, timeout},
};
use types::routed::Kind;

use super::{
    load::{HostEntry, State, TIMEOUT_MARGIN, to_record},
    record::{Outcome, Request, Span},
    site::{DEADLINE, HOST, MODELS},
};
use crate::routed::{
    caller::{Answer, Caller, Failure, RequestSpec},
    lock,
    stream::{Attempt, Stream, Target, fetch},
};

const READERS: u64 = 6;

/// Requests of one stream, at most.
const ATTEMPTS: usize = 4;

/// XORed with the seed for the random streams of the readers.
const SEED_MASK: u64 = 1 << 57;

/// Pause between two streams of one reader.
const PAUSE_MS: std::ops::Range<u64> = 20..120;

/// Starts the readers.
pub(super) fn start(tasks: &mut JoinSet<()>, state: &Arc<State>, seed: u64) {
    for number in 0..READERS {
        let random = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK ^ (number + 1) << 32);
        tasks.spawn(read(state.clone(), random));
    }
}

async fn read(state: Arc<State>, mut random: ChaCha8Rng) {
    while !state.is_over.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        if !state.has_readers.load(Ordering::Relaxed) {
            continue;
        }
        let spec = RequestSpec::to(HOST, "/draft/2f").model(MODELS[0]).with_new_prompt();
        let spec = spec.with_body(Method::POST, "read").deadline(Some(DEADLINE));
        let key = state.steady_key();
        let spec = key.iter().fold(spec, |spec, key| spec.with_key(key));
        let stream = receive(&state, &spec, &mut random).await;
        lock(&state.streams).push(stream);
    }
}

/// Requests a stream, and takes it up until it is complete or the attempts are used up.
async fn receive(state: &State, spec: &RequestSpec, random: &mut ChaCha8Rng) -> Stream {
    let mut stream = Stream::default();
    while stream.attempts.len() < ATTEMPTS && !stream.is_complete() {
        let Some(entry) = state.choose_host(random) else { break };
        let caller = Caller::new(entry.callers);
        let break_after = random.random_bool(0.4).then(|| random.random_range(1..6));
        let mut target = Target { host: entry.host_run.host, caller, break_after };
        let request = stream.next_request(spec);
        let sent_at = Instant::now();
        let limit = DEADLINE + TIMEOUT_MARGIN;
        let result = timeout(limit, fetch(&request, &mut target)).await;
        let result = result.unwrap_or(Err(Failure::Silence));
        record(state, entry, &request, sent_at, &result, break_after);
        stream.attempts.push(Attempt::new(&request, target.host, sent_at, &result));
    }
    stream
}

fn record(
    state: &State,
    entry: HostEntry,
    spec: &RequestSpec,
    sent_at: Instant,
    result: &Result<Answer, Failure>,
    break_after: Option<u64>,
) {
    let outcome = match result {
        Ok(answer) => {
            let events = answer.stream().map_or(0, |events| events.len() as u64);
            let is_broken_off = break_after.is_some_and(|limit| limit <= events);
            match is_broken_off && !answer.is_complete {
                true => Outcome::BrokenOff(to_record(answer.clone())),
                false => Outcome::Answered(to_record(answer.clone())),
            }
        }
        Err(Failure::Connect) => Outcome::Unreached,
        Err(Failure::Closed) => Outcome::Closed,
        Err(Failure::Silence) => Outcome::TimedOut,
    };
    lock(&state.requests).push(Request {
        id: spec.id().to_string(),
        kind: Kind::Stream,
        resumable: true,
        resume: spec.info.resume,
        path: spec.info.path.to_string(),
        body_bytes: spec.request().body().len(),
        key: state.steady_key(),
        poison: None,
        host_run: entry.host_run,
        span: Span { from: state.since(sent_at), to: state.since(Instant::now()) },
        deadline: DEADLINE,
        outcome,
    });
}
