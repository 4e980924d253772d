//! Series of short silences of sound servers, each while the other servers of the service reject
//! requests as full, and often while the declaration changes.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, PlannedFault, WARM_UP};
use crate::routed::soak::site::SERVERS;

/// XORed with the seed for the random stream of silences.
const SEED_MASK: u64 = 1 << 57;

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
            planned.push(PlannedFault { at, duration, fault: Fault::Silence(server) });
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
