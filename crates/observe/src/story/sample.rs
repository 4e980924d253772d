//! Which requests that went well get a line.
//!
//! The first [`WHOLE`] of a route in a second get one each, of the others every [`EVERY`]th, which
//! says how many it stands for. Routes that share a slot share its count, so that memory is fixed.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use types::time::Moment;

/// Requests of a route that get a line each, in a second.
pub const UNSAMPLED: u32 = 10;

/// Of the others, each how manyth gets one.
pub const INTERVAL: u32 = 16;

const SLOTS: usize = 64;

/// What was seen in the second that runs.
#[derive(Clone, Debug)]
pub struct Sampler {
    second: u64,
    counts: [u32; SLOTS],
}

impl Sampler {
    /// How many requests the line of this one is to stand for, if it gets a line.
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
