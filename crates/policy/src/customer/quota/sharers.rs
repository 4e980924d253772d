//! Which part of each quota this host refills.
//!
//! The number of hosts is that of [`Members`]. The majority divides a quota among fewer hosts
//! after a long silence of a few; before that, hosts that hear only a minority refill less, so that
//! both sides of a partition together keep the quota.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

use crate::quota::members::Members;

/// Time for which a host that knows neither other hosts nor the registered ones refills nothing.
const UNLISTED_WAIT: Duration = Duration::from_secs(5);

/// Time after which a host that hears only a minority refills less; shorter than the silence after
/// which the majority divides the quota among fewer hosts.
const ISOLATED_AFTER: Duration = Duration::from_secs(15);

/// Fraction of its part that an isolated host refills.
const ISOLATED_FRACTION: f64 = 0.125;

/// Hosts that share quotas.
#[derive(Clone, Debug, Default)]
pub(super) struct Sharers {
    members: Members,
    /// Number of hosts that are heard from, including this one.
    heard: u32,
    /// Since when only a minority has been heard from.
    isolated_since: Option<Moment>,
}

impl Sharers {
    /// Sets how many hosts are registered.
    pub(super) fn set_listed(&mut self, hosts: u32) {
        self.members.set_listed(hosts);
    }

    /// Updates which hosts are known, and whether each is heard from.
    pub(super) fn update(&mut self, known: &BTreeMap<&host::Id, bool>, now: Moment) {
        self.members.update(known, now);
        self.heard = known.values().filter(|is_heard| **is_heard).count() as u32 + 1;
        self.check_isolation(now);
    }

    /// Records since when only a minority of the hosts is heard from.
    pub(super) fn check_isolation(&mut self, now: Moment) {
        let is_isolated = 2 * self.heard.max(1) < self.count();
        self.isolated_since = is_isolated.then(|| self.isolated_since.unwrap_or(now));
    }

    /// Number of hosts that share each quota, including this one.
    pub(super) fn count(&self) -> u32 {
        self.members.count()
    }

    /// Fraction of each rate that this host refills.
    pub(super) fn fraction(&self, now: Moment) -> f64 {
        if self.members.listed() == 0 && now < UNLISTED_WAIT {
            return 0.0;
        }
        let is_isolated = self.isolated_since.is_some_and(|since| since + ISOLATED_AFTER <= now);
        let fraction = if is_isolated { ISOLATED_FRACTION } else { 1.0 };
        fraction / f64::from(self.count().max(1))
    }
}
