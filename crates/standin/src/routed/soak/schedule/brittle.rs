//! Times in which the plain servers are brittle.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, PlannedFault, alternate};

/// XORed with the seed for the random stream of times in which servers are brittle.
const SEED_MASK: u64 = 1 << 58;

/// How long servers are brittle, and how long the pause after it is.
const DURATION_MS: std::ops::Range<u64> = 5_000..14_000;

/// Rejections in a second that brittle servers tolerate.
const TOLERATED: std::ops::RangeInclusive<u32> = 2..=12;

/// Draws times in which the plain servers are brittle. Three of four seeds draw none.
pub(super) fn draw(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let random = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK);
    alternate(random, 0.75, DURATION_MS, end, |random| {
        Fault::Brittle(0, random.random_range(TOLERATED))
    })
}
