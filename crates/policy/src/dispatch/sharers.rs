//! How many hosts share the retry budgets.
//!
//! More count at once, fewer only after a while: a host that has left may have spent its share just
//! before, and that still counts in the windows to come.

use std::collections::VecDeque;

use types::prelude::*;

use super::{HostStart, budget::Extra};

/// How long fewer hosts are seen before they share the budgets among themselves.
const SHRINK_DELAY: Duration = Duration::from_secs(20);

/// The largest number of hosts seen lately, and this run's part of what they share.
#[derive(Clone, Debug)]
pub(super) struct Sharers {
    /// Length of the budgets' window.
    window: Duration,
    /// From when on this run has a part.
    from: Option<Moment>,
    /// Hosts that the store lists.
    listed: u32,
    /// Falling numbers, and when each was last seen.
    counts: VecDeque<(Moment, u32)>,
}

impl Sharers {
    /// Begins with a number that holds until others are known for a while.
    pub(super) fn new(count: u32, window: Duration) -> Sharers {
        Sharers { window, from: None, listed: 0, counts: [(Duration::ZERO, count.max(1))].into() }
    }

    /// Sets how many hosts the store lists, whether or not they run.
    pub(super) fn set_listed(&mut self, hosts: u32) {
        self.listed = hosts;
    }

    /// Takes in the number of hosts known now; those that were never heard count by the store's list.
    pub(super) fn observe(&mut self, count: u32, now: Moment) {
        let count = count.max(self.listed);
        while self.counts.back().is_some_and(|(_, other)| *other <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count.max(1)));
        while self.counts.front().is_some_and(|(seen, _)| *seen + SHRINK_DELAY <= now) {
            self.counts.pop_front();
        }
    }

    /// This run has a part: the first at once, a later one when what the one before has spent counts no more.
    pub(super) fn start(&mut self, start: HostStart) {
        self.from.get_or_insert(match start {
            HostStart::First => Duration::ZERO,
            HostStart::Restart => self.window,
        });
    }

    /// What this host has of the extra.
    pub(super) fn extra(&self) -> Extra {
        let hosts = self.counts.front().map_or(1, |(_, count)| *count);
        Extra { hosts, from: self.from }
    }
}
