//! Sampling of the lines of successful requests.
//!
//! In each second, the first [`UNSAMPLED`] requests of a route get a line each. After these every
//! [`INTERVAL`]th gets one, which states how many requests it stands for. Routes whose hashes fall
//! into the same slot share its count, so that memory is fixed.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use types::time::Moment;

/// Number of requests of a route per second that get a line each.
pub const UNSAMPLED: u32 = 10;

/// Number of further requests that one line stands for.
pub const INTERVAL: u32 = 16;

const SLOTS: usize = 64;

/// Counts of successful requests in the current second, by slot.
#[derive(Clone, Debug)]
pub struct Sampler {
    second: u64,
    counts: [u32; SLOTS],
}

impl Sampler {
    /// Counts a request. Returns the number of requests that its line stands for; `None` if it gets
    /// no line.
    pub fn weigh(&mut self, now: Moment, route: &str) -> Option<u32> {
        if now.as_secs() != self.second {
            *self = Sampler { second: now.as_secs(), ..Sampler::default() };
        }
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(route);
        let count = &mut self.counts[hash as usize % SLOTS];
        *count += 1;
        match count.checked_sub(UNSAMPLED) {
            None | Some(0) => Some(1),
            Some(over) => over.is_multiple_of(INTERVAL).then_some(INTERVAL),
        }
    }
}

impl Default for Sampler {
    fn default() -> Sampler {
        Sampler { second: 0, counts: [0; SLOTS] }
    }
}
