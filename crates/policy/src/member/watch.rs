//! Choice of the hosts that watch the platform.
//!
//! Each call to the platform counts against its rate limit, a pending watch as one, and these
//! limits grow more slowly than the fleet. So only a few hosts watch, and the others get changes
//! from peers. The choice needs no agreement: every host ranks the live hosts in the same way, and
//! the first few watch: one in each availability zone, so that a zone cut off from the others still
//! gets changes from the platform, and at least three. Two hosts whose tables differ for a moment
//! cost a redundant watch or a short delay, no more.
//!
//! A watcher may be live and yet unable to reach the platform. Heartbeats therefore carry the age
//! of the newest proof that the platform answers. Each time that age doubles, one more host tries;
//! in a long outage of the platform only a handful do, each with its own backoff.

use std::{collections::BTreeMap, time::Duration};

use types::{availability, host};

use super::rendezvous;

/// Minimum number of hosts that watch at all times.
pub const WATCHERS: usize = 3;

/// Age of the newest proof that the platform answers at which the first standby starts to watch.
///
/// Longer than [`TIMEOUT`] plus the time in which a proof reaches the last host.
pub const TAKEOVER_AGE: Duration = Duration::from_secs(6);

/// Timeout of one watch call; even a call that ends by timeout proves that the platform answers.
pub const TIMEOUT: Duration = Duration::from_millis(2500);

/// Role of a host in watching the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Watches at all times.
    Watcher,
    /// Watches once the newest proof that the platform answers is as old as `after`.
    Standby {
        /// Age of the proof at which the host starts to watch.
        after: Duration,
    },
}

impl Role {
    /// Returns whether a host in this role watches when the newest proof has this age.
    pub fn is_active(self, age: Duration) -> bool {
        match self {
            Role::Watcher => true,
            Role::Standby { after } => after <= age,
        }
    }
}

/// Reads of the platform's list per second by all hosts together.
const LIST_READS_PER_SECOND: u32 = 20;

/// Watchers and standbys in the order in which they watch.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    order: Vec<host::Id>,
    watchers: usize,
}

impl Rank {
    /// Ranks the live hosts: first one of each zone, then a second one of each, and so on.
    pub fn new<'a>(hosts: impl Iterator<Item = (&'a host::Id, &'a availability::Id)>) -> Rank {
        let mut scored: Vec<_> =
            hosts.map(|(id, zone)| (rendezvous::score(b"watch", id), id, zone)).collect();
        scored.sort();
        let mut zones: BTreeMap<&availability::Id, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = scored
            .into_iter()
            .map(|(_, id, zone)| {
                let position = zones.entry(zone).or_default();
                *position += 1;
                (*position, zone, id)
            })
            .collect();
        ranked.sort();
        let order = ranked.into_iter().map(|(_, _, id)| id.clone()).collect();
        Rank { order, watchers: zones.len().max(WATCHERS) }
    }

    /// Role of a host; one that is not ranked is the last standby.
    pub fn role(&self, id: &host::Id) -> Role {
        let position = self.order.iter().position(|other| other == id);
        match position.unwrap_or(usize::MAX).checked_sub(self.watchers) {
            None => Role::Watcher,
            Some(beyond) => {
                let doublings = u32::try_from(beyond).unwrap_or(u32::MAX).min(u32::BITS - 1);
                Role::Standby { after: TAKEOVER_AGE.saturating_mul(1 << doublings) }
            }
        }
    }

    /// Watcher that `deputy` monitors, if any: each watcher has one deputy, the next in rank, which
    /// notices its loss within a few heartbeats.
    pub fn watched_by(&self, deputy: &host::Id) -> Option<&host::Id> {
        let position = self.order.iter().position(|other| other == deputy)?;
        let watcher = position.checked_sub(self.watchers)?;
        self.order[..self.watchers].get(watcher)
    }
}

/// Time between a host's reads of the platform's list.
///
/// Returns `least` in a small fleet and longer in a large one, so that the reads of all hosts
/// together stay within a rate. Peers report changes sooner.
pub fn list_interval(least: Duration, hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    least.max(Duration::from_secs(1) * hosts / LIST_READS_PER_SECOND)
}
