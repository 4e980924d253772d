//! What was served lately, and is therefore assumed to crash no server.

use std::{collections::BTreeSet, ops::RangeBounds};

use types::prelude::*;

/// A set that forgets. Its keys are in two generations; the previous one is dropped when the current
/// one is full or its life is over, so that a key is remembered for one to two lives.
#[derive(Clone, Debug)]
pub(super) struct RecentSet<K> {
    life: Duration,
    max_keys: usize,
    current: BTreeSet<K>,
    previous: BTreeSet<K>,
    since: Moment,
}

impl<K: Ord> RecentSet<K> {
    /// Creates a set with this life and at most this many keys in a generation.
    pub(super) fn new(life: Duration, max_keys: usize) -> RecentSet<K> {
        RecentSet {
            life,
            max_keys,
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            since: Duration::ZERO,
        }
    }

    pub(super) fn add(&mut self, key: K, now: Moment) {
        if self.since + self.life <= now || self.max_keys <= self.current.len() {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(key);
    }

    pub(super) fn has(&self, key: &K, now: Moment) -> bool {
        self.has_any(key..=key, now)
    }

    /// Whether any key of this range was added lately.
    pub(super) fn has_any(&self, keys: impl RangeBounds<K> + Clone, now: Moment) -> bool {
        let is_within = |lives: u32| now < self.since + self.life * lives;
        let is_in = |set: &BTreeSet<K>| set.range(keys.clone()).next().is_some();
        (is_within(2) && is_in(&self.current)) || (is_within(1) && is_in(&self.previous))
    }
}
