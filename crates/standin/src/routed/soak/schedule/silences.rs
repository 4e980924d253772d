//! Series of short silences of sound servers, each while the other servers of the service reject
//! requests as full or break off streams, and often while the declaration changes.

use std::time::Duration;

use http::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, PlannedFault, WARM_UP};
use crate::routed::{
    server::Fault as ServerFault,
    soak::site::{LM, SERVERS},
};

/// XORed with the seed for the random stream of silences.
const SEED_MASK: u64 = 1 << 57;

/// XORed with the seed for the random stream of what the other servers do.
const OTHERS_SEED_MASK: u64 = 1 << 58;

/// Number of events after which the other servers break off a stream.
const BROKEN_AFTER: std::ops::RangeInclusive<u64> = 0..=3;

/// Number of silences in a series.
const SERIES: std::ops::RangeInclusive<u32> = 3..=8;

/// How long a server is silent.
const SILENCE_MS: std::ops::Range<u64> = 300..1_500;

/// Time from the end of a silence to the start of the next one of the series.
const PAUSE_MS: std::ops::Range<u64> = 50..600;

/// Time between two series.
const REST_MS: std::ops::Range<u64> = 2_000..9_000;

/// Draws series of silences. Half of all seeds draw none.
pub(super) fn draw(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK);
    let mut others = ChaCha8Rng::seed_from_u64(seed ^ OTHERS_SEED_MASK);
    let mut planned = Vec::new();
    if random.random_bool(0.5) {
        return planned;
    }
    let mut at = WARM_UP.min(end / 4);
    while at < end {
        let server = random.random_range(0..SERVERS.len());
        for _ in 0..random.random_range(SERIES) {
            let millis = random.random_range(SILENCE_MS);
            let duration = Duration::from_millis(millis);
            let fault = Fault::Silence(server, draw_others(&mut others, server));
            planned.push(PlannedFault { at, duration, fault });
            if random.random_bool(0.5) {
                let at = at + Duration::from_millis(random.random_range(0..millis));
                planned.push(PlannedFault { at, duration: Duration::ZERO, fault: Fault::Declare });
            }
            at += duration + Duration::from_millis(random.random_range(PAUSE_MS));
        }
        at += Duration::from_millis(random.random_range(REST_MS));
    }
    planned.retain(|planned| planned.at + planned.duration <= end);
    planned
}

/// Draws what the other servers of the service do. Only model servers have streams to break off.
fn draw_others(random: &mut ChaCha8Rng, server: usize) -> ServerFault {
    let events = random.random_range(BROKEN_AFTER);
    if SERVERS[server] == LM && random.random_bool(0.5) {
        ServerFault::Broken { events }
    } else {
        ServerFault::NotRun(StatusCode::SERVICE_UNAVAILABLE)
    }
}
