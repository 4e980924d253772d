//! How many hosts share the retry budgets.
//!
//! A higher number takes effect at once, a lower one only after a while: a host that has left may
//! have spent its share just before, and that still counts in the windows to come.

use std::collections::VecDeque;

use types::prelude::*;

use super::{HostStart, budget::Extra};

/// How long a lower number of hosts must be seen before it takes effect.
const SHRINK_DELAY: Duration = Duration::from_secs(20);

/// The highest number of hosts seen lately, and this run's share of the extra retries.
#[derive(Clone, Debug)]
pub(super) struct Sharers {
    /// Length of the budgets' window.
    window: Duration,
    /// From when on this run has a share of the extra retries.
    available_from: Option<Moment>,
    /// Hosts that the store lists.
    listed: u32,
    /// Decreasing numbers of hosts, and when each was last seen.
    counts: VecDeque<(Moment, u32)>,
}

impl Sharers {
    /// Starts with a number that holds until others have been seen for a while.
    pub(super) fn new(count: u32, window: Duration) -> Sharers {
        Sharers {
            window,
            available_from: None,
            listed: 0,
            counts: [(Duration::ZERO, count.max(1))].into(),
        }
    }

    /// Sets how many hosts the store lists, whether or not they run.
    pub(super) fn set_listed(&mut self, hosts: u32) {
        self.listed = hosts;
    }

    /// Applies the number of hosts known now. Hosts from which nothing was ever received are
    /// counted by the store's list.
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

    /// Gives this run its share: a first start at once, a restart when what the run before has
    /// spent is out of the window.
    pub(super) fn start(&mut self, start: HostStart) {
        self.available_from.get_or_insert(match start {
            HostStart::First => Duration::ZERO,
            HostStart::Restart => self.window,
        });
    }

    /// This host's share of the extra retries.
    pub(super) fn extra(&self) -> Extra {
        let hosts = self.counts.front().map_or(1, |(_, count)| *count);
        Extra { hosts, available_from: self.available_from }
    }
}
