//! Counts of events over time.

use std::collections::VecDeque;

use types::prelude::*;

/// Windows that are retained: the one that ends now, the one before, and a margin.
const RETAINED_WINDOWS: f64 = 2.1;

/// Cumulative counts of an event over time.
#[derive(Clone, Debug)]
pub struct Series {
    window: Duration,
    /// Events within this time after an entry's start are counted in that entry.
    resolution: Duration,
    /// Entries, the oldest first: the start of each, and the number of all events up to its end.
    sums: VecDeque<(Moment, u64)>,
    /// Number of events before the oldest entry.
    evicted: u64,
}

impl Series {
    /// Creates an empty series for windows of this length.
    pub fn new(window: Duration, resolution: Duration) -> Series {
        Series { window, resolution, sums: VecDeque::new(), evicted: 0 }
    }

    /// Adds `count` events.
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

    /// Number of events in the last window, both ends included.
    pub fn last(&self, now: Moment) -> u64 {
        self.between(now.saturating_sub(self.window), now)
    }

    /// Number of events in a span, both ends included.
    pub fn between(&self, from: Moment, to: Moment) -> u64 {
        let sum = |until: usize| until.checked_sub(1).map_or(self.evicted, |at| self.sums[at].1);
        let before = sum(self.sums.partition_point(|(at, _)| *at < from));
        sum(self.sums.partition_point(|(at, _)| *at <= to)).saturating_sub(before)
    }
}
