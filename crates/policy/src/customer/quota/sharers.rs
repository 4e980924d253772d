//! Which part of each quota this host refills.
//!
//! A host that restarts has heard from few others yet, so it divides by the number of registered
//! hosts until it has heard from nearly all of them. The majority divides a quota among fewer hosts
//! after a long silence of a few; before that, hosts that hear only a minority refill less, so that
//! both sides of a partition together keep the quota.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

use crate::quota::members::Members;

/// Time for which a host that knows neither other hosts nor the registered ones refills nothing.
const UNLISTED_WAIT: Duration = Duration::from_secs(5);

/// Fraction of the registered hosts that must be heard from before those that are known count.
const MIN_HEARD_FRACTION: f64 = 0.8;

/// Time after which registered hosts that were never heard from count no more.
const LISTED_RETENTION: Duration = Duration::from_secs(600);

/// Time after which a host that hears only a minority refills less; shorter than the silence after
/// which the majority divides the quota among fewer hosts.
const ISOLATED_AFTER: Duration = Duration::from_secs(15);

/// Fraction of its part that an isolated host refills.
const ISOLATED_FRACTION: f64 = 0.125;

/// Hosts that share quotas.
#[derive(Clone, Debug, Default)]
pub(super) struct Sharers {
    members: Members,
    listed: u32,
    /// Number of hosts that are heard from, including this one.
    heard: u32,
    /// Whether nearly all registered hosts were heard from at some time.
    is_settled: bool,
    /// Since when only a minority has been heard from.
    isolated_since: Option<Moment>,
}

impl Sharers {
    /// Sets how many hosts are registered.
    pub(super) fn set_listed(&mut self, hosts: u32) {
        self.listed = hosts;
        self.members.set_listed(hosts);
    }

    /// Updates which hosts are known, and whether each is heard from.
    pub(super) fn update(&mut self, known: &BTreeMap<&host::Id, bool>, now: Moment) {
        self.members.update(known, now);
        self.heard = known.values().filter(|is_heard| **is_heard).count() as u32 + 1;
        let needed = MIN_HEARD_FRACTION * f64::from(self.listed);
        self.is_settled |= 0 < self.listed && needed <= f64::from(self.heard);
        self.check_isolation(now);
    }

    /// Records since when only a minority of the hosts is heard from.
    pub(super) fn check_isolation(&mut self, now: Moment) {
        let is_isolated = 2 * self.heard.max(1) < self.count(now);
        self.isolated_since = is_isolated.then(|| self.isolated_since.unwrap_or(now));
    }

    /// Number of hosts that share each quota, including this one.
    pub(super) fn count(&self, now: Moment) -> u32 {
        let known = self.members.count();
        if self.is_settled || LISTED_RETENTION <= now { known } else { known.max(self.listed) }
    }

    /// Fraction of each rate that this host refills.
    pub(super) fn fraction(&self, now: Moment) -> f64 {
        if self.listed == 0 && now < UNLISTED_WAIT {
            return 0.0;
        }
        let is_isolated = self.isolated_since.is_some_and(|since| since + ISOLATED_AFTER <= now);
        let fraction = if is_isolated { ISOLATED_FRACTION } else { 1.0 };
        fraction / f64::from(self.count(now).max(1))
    }
}
