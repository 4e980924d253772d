//! Counts over time.

use std::collections::VecDeque;

use types::prelude::*;

/// Windows that are remembered: the one that ends now, and the one before.
const RETAINED_WINDOWS: f64 = 2.1;

/// How often something happened, and when.
#[derive(Clone, Debug)]
pub struct Series {
    window: Duration,
    /// What happens within so short a time counts as at its beginning.
    resolution: Duration,
    /// Moments and how often it had happened by then, the oldest first.
    sums: VecDeque<(Moment, u64)>,
    /// How often before the oldest of them.
    evicted: u64,
}

impl Series {
    /// Nothing yet, to be looked at over windows of this length.
    pub fn new(window: Duration, resolution: Duration) -> Series {
        Series { window, resolution, sums: VecDeque::new(), evicted: 0 }
    }

    /// It happened so often.
    pub fn add(&mut self, count: u64, now: Moment) {
        if count == 0 {
            return;
        }
        let before = self.sums.back().map_or(self.evicted, |(_, sum)| *sum);
        match self.sums.back_mut() {
            Some((at, sum)) if now < *at + self.resolution => *sum += count,
            _ => self.sums.push_back((now, before + count)),
        }
        let life = self.window.mul_f64(RETAINED_WINDOWS);
        while let Some((_, sum)) = self.sums.front().filter(|(at, _)| *at + life < now) {
            self.evicted = *sum;
            self.sums.pop_front();
        }
    }

    /// How often in the last window. It holds both of its ends.
    pub fn last(&self, now: Moment) -> u64 {
        self.between(now.saturating_sub(self.window), now)
    }

    /// How often in a span, both ends included.
    pub fn between(&self, from: Moment, to: Moment) -> u64 {
        let sum = |until: usize| until.checked_sub(1).map_or(self.evicted, |at| self.sums[at].1);
        let before = sum(self.sums.partition_point(|(at, _)| *at < from));
        sum(self.sums.partition_point(|(at, _)| *at <= to)).saturating_sub(before)
    }
}
