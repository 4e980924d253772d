//! How many hosts share a quota.
//!
//! A host that is not heard may go on sending, so silence alone makes the others' shares no larger: it counts
//! as gone once it was silent for long, and only for hosts that still hear nearly all others. Two sides of a
//! split network can't both be that.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

/// Silence after which a host may count as gone.
const GONE_AFTER: Duration = Duration::from_secs(20);

/// Part of the hosts that must be heard for silent ones to count as gone.
const MIN_HEARD_FRACTION: f64 = 0.8;

/// The other hosts, as far as they count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    others: BTreeMap<host::Id, Moment>,
    /// Hosts that are listed somewhere, while none was heard.
    listed: u32,
}

impl Members {
    /// Hosts that share each quota, this one among them.
    pub fn count(&self) -> u32 {
        let known = self.others.len() as u32 + 1;
        if self.others.is_empty() { known.max(self.listed) } else { known }
    }

    /// Sets how many hosts are listed, this one among them, whether or not they run.
    pub fn set_listed(&mut self, hosts: u32) {
        self.listed = hosts;
    }

    /// Takes in which hosts are known now, and whether each is heard. A host that is no longer known has
    /// said goodbye, or was silent for long.
    pub fn update(&mut self, known: &BTreeMap<&host::Id, bool>, now: Moment) {
        let heard = known.iter().filter(|(_, is_heard)| **is_heard).map(|(host, _)| *host);
        self.others.extend(heard.clone().map(|host| (host.clone(), now)));
        let has_left = |host: &host::Id, last: Moment| {
            !known.contains_key(host) && now < last + GONE_AFTER / 2
        };
        self.others.retain(|host, last| !has_left(host, *last));
        let heard = heard.count() + 1;
        if (heard as f64) < MIN_HEARD_FRACTION * f64::from(self.count()) {
            return;
        }
        let is_heard = |host: &host::Id| known.get(host) == Some(&true);
        self.others.retain(|host, last| is_heard(host) || now < *last + GONE_AFTER);
    }
}
