//! Draws the periods of faults that go on at the same time as any other fault.

use std::time::Duration;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{Fault, Partitioned, PlannedFault, WARM_UP};
use crate::routed::server_links::Cut;

/// XORed with the seed for the random stream of the times of poison requests.
const POISON_SEED_MASK: u64 = 1 << 60;

/// XORed with the seed for the random stream of the times of parts that crash servers.
const POISON_PART_SEED_MASK: u64 = 1 << 55;

/// XORed with the seed for the random stream of partitions between hosts and servers.
const PARTITION_SEED_MASK: u64 = 1 << 59;

/// XORed with the seed for the random stream of times in which servers are brittle.
const BRITTLE_SEED_MASK: u64 = 1 << 58;

/// XORed with the seed for the random stream of times in which servers run two versions.
const VERSIONS_SEED_MASK: u64 = 1 << 56;

/// XORed with the seed for the random stream of customers and of changes of their keys.
const CUSTOMERS_SEED_MASK: u64 = 1 << 54;

/// Time between two changes of keys.
const KEYS_INTERVAL_MS: std::ops::Range<u64> = 300..3_500;

/// How long servers are brittle, and how long the pause after it is.
const BRITTLE_DURATION_MS: std::ops::Range<u64> = 5_000..14_000;

/// Rejections in a second that brittle servers tolerate.
const TOLERATED: std::ops::RangeInclusive<u32> = 2..=12;

/// How long hosts are partitioned from all servers, and how long the pause after it is.
const PARTITION_DURATION_MS: std::ops::Range<u64> = 5_000..14_000;

/// How long a poison request keeps being sent, and how long the pause after it is.
const POISON_DURATION_MS: std::ops::Range<u64> = 4_000..20_000;

/// Draws when a poison request is sent. Half of all seeds draw no such time.
pub(super) fn poison(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let random = ChaCha8Rng::seed_from_u64(seed ^ POISON_SEED_MASK);
    alternate(random, 0.5, POISON_DURATION_MS, end, |_| Fault::Poison)
}

/// Draws when requests with a part that crashes servers are sent. Three of four seeds draw no such time.
pub(super) fn poison_parts(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let random = ChaCha8Rng::seed_from_u64(seed ^ POISON_PART_SEED_MASK);
    alternate(random, 0.75, POISON_DURATION_MS, end, |_| Fault::PoisonPart)
}

/// Draws partitions between hosts and all servers. Half of all seeds draw none.
pub(super) fn partitions(seed: u64, hosts: usize, end: Duration) -> Vec<PlannedFault> {
    let random = ChaCha8Rng::seed_from_u64(seed ^ PARTITION_SEED_MASK);
    alternate(random, 0.5, PARTITION_DURATION_MS, end, |random| {
        let host = random.random_range(0..hosts);
        let partitioned = match random.random_range(0..3) {
            0 => Partitioned::One(host),
            1 => Partitioned::Zone(host),
            _ => Partitioned::AllBut(host),
        };
        let cut = Cut::ALL.choose(random).copied().unwrap_or(Cut::Hang);
        Fault::Partition(partitioned, cut)
    })
}

/// Draws times in which the plain servers are brittle. Three of four seeds draw none.
pub(super) fn brittle_times(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let random = ChaCha8Rng::seed_from_u64(seed ^ BRITTLE_SEED_MASK);
    alternate(random, 0.75, BRITTLE_DURATION_MS, end, |random| {
        Fault::Brittle(0, random.random_range(TOLERATED))
    })
}

/// Draws whether servers run two versions. One of four seeds draws it.
pub(super) fn versions(seed: u64, end: Duration) -> Option<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ VERSIONS_SEED_MASK);
    let (at, fault) = (Duration::ZERO, Fault::Versions);
    random.random_bool(0.25).then_some(PlannedFault { at, duration: end, fault })
}

/// Draws whether callers are identified, and changes of their keys. Half of all seeds draw none.
pub(super) fn customers(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ CUSTOMERS_SEED_MASK);
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let identified =
        PlannedFault { at: Duration::ZERO, duration: Duration::ZERO, fault: Fault::Customers };
    let mut planned = vec![identified];
    let mut at = Duration::from_millis(random.random_range(KEYS_INTERVAL_MS));
    while at < end {
        let fault = Fault::Keys(random.random());
        planned.push(PlannedFault { at, duration: Duration::ZERO, fault });
        at += Duration::from_millis(random.random_range(KEYS_INTERVAL_MS));
    }
    planned
}

/// Draws faults one after the other, with a duration and a pause after each from the same range;
/// none with the probability `none`.
fn alternate(
    mut random: ChaCha8Rng,
    none: f64,
    duration_ms: std::ops::Range<u64>,
    end: Duration,
    draw: impl Fn(&mut ChaCha8Rng) -> Fault,
) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    if random.random_bool(none) {
        return planned;
    }
    let mut at = WARM_UP.min(end / 4);
    while at < end {
        let duration =
            Duration::from_millis(random.random_range(duration_ms.clone())).min(end - at);
        planned.push(PlannedFault { at, duration, fault: draw(&mut random) });
        at += duration + Duration::from_millis(random.random_range(duration_ms.clone()));
    }
    planned
}
