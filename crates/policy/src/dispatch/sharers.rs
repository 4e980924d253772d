//! How many hosts share the retry budgets.
//!
//! A higher number takes effect at once, a lower one only after a while: a host that has left may
//! have spent its share just before, which still counts in the next windows.

use std::collections::VecDeque;

use types::prelude::*;

use super::{HostStart, budget::Extra};

/// How long the number of hosts must stay lower before the lower number takes effect.
const SHRINK_DELAY: Duration = Duration::from_secs(20);

/// Number of hosts that share the budgets, and the start of this run's share of the extra retries.
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
    /// Creates the state with an initial number of hosts, which a lower number replaces only after
    /// [`SHRINK_DELAY`].
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

    /// Gives this run its share of the extra retries: at once after a first start, after a restart
    /// once the retries of the previous run are out of the window.
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
