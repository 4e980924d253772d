//! Number of hosts that share a quota.
//!
//! A host that falls silent may go on sending requests, so silence alone does not enlarge the other
//! shares. A host counts as gone only after a long silence, and only with hosts that still hear
//! from nearly all others. The two sides of a network partition can't both do so. For the same
//! reason a host that has not yet heard from nearly all registered hosts counts the registered ones,
//! also after their number has risen.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

/// Silence after which a host may count as gone.
const GONE_AFTER: Duration = Duration::from_secs(20);

/// Fraction of the hosts that must be heard from before silent ones count as gone.
const MIN_HEARD_FRACTION: f64 = 0.8;

/// Time after which registered hosts that were never heard from count no more.
const LISTED_RETENTION: Duration = Duration::from_secs(600);

/// Other hosts that share quotas, each with when it was last heard from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    others: BTreeMap<host::Id, Moment>,
    /// Number of registered hosts.
    listed: u32,
    /// Number of registered hosts at the last update.
    judged: u32,
    /// When the number of registered hosts rose last.
    risen_at: Moment,
    /// Whether the hosts that are known count, not the registered ones.
    is_settled: bool,
}

impl Members {
    /// Number of hosts that share each quota, including this one.
    pub fn count(&self) -> u32 {
        let known = self.others.len() as u32 + 1;
        if self.is_settled { known } else { known.max(self.listed) }
    }

    /// Sets how many hosts are registered, including this one, whether or not they run.
    pub fn set_listed(&mut self, hosts: u32) {
        self.listed = hosts;
    }

    /// Number of registered hosts; 0 until it is known.
    pub fn listed(&self) -> u32 {
        self.listed
    }

    /// Updates which hosts are known, and whether each is heard from. A host that is no longer
    /// known has announced its end or was silent for long.
    pub fn update(&mut self, known: &BTreeMap<&host::Id, bool>, now: Moment) {
        let reachable = known.iter().filter(|(_, is_heard)| **is_heard).map(|(host, _)| *host);
        self.others.extend(reachable.clone().map(|host| (host.clone(), now)));
        let has_left = |host: &host::Id, last: Moment| {
            !known.contains_key(host) && now < last + GONE_AFTER / 2
        };
        self.others.retain(|host, last| !has_left(host, *last));
        let reachable = reachable.count() + 1;
        if self.judged < self.listed {
            (self.is_settled, self.risen_at) = (false, now);
        }
        self.judged = self.listed;
        let is_listed =
            0 < self.listed && MIN_HEARD_FRACTION * f64::from(self.listed) <= reachable as f64;
        self.is_settled |= is_listed || self.risen_at + LISTED_RETENTION <= now;
        if (reachable as f64) < MIN_HEARD_FRACTION * f64::from(self.count()) {
            return;
        }
        let is_heard = |host: &host::Id| known.get(host) == Some(&true);
        self.others.retain(|host, last| is_heard(host) || now < *last + GONE_AFTER);
    }
}
