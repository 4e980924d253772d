//! Which hosts watch the platform.
//!
//! Each call to the platform counts, a waiting watch as one, and its rates grow more slowly than
//! the fleet. So a few hosts watch and the rest hear from peers. The choice needs no agreement:
//! every host ranks the live hosts alike, and the first few have the duty: one in each availability zone, so that a zone that is cut off from the others still
//! hears the platform by itself, and three at the least. Two views that differ for a moment cost a spare watch or a short delay, no more.
//!
//! A watcher may be live and yet unable to reach the platform. So heartbeats carry the age of the
//! newest proof that the platform answers. As that age doubles, one more host tries; in a long
//! outage of the platform only a handful do, each with its own back-off.

use std::{collections::BTreeMap, time::Duration};

use types::{availability, host};

use super::rendezvous;

/// Least number of hosts that watch at all times.
pub const WATCHERS: usize = 3;

/// Age of the newest proof at which the first further host tries.
///
/// More than [`TIMEOUT`] and the time that a proof takes to reach the last host.
pub const TAKEOVER_AGE: Duration = Duration::from_secs(6);

/// Longest wait of one watch; its end proves that the platform answers.
pub const TIMEOUT: Duration = Duration::from_millis(2500);

/// Part of a host in watching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Watches.
    Watcher,
    /// Watches once the newest proof is as old as this.
    Standby {
        /// That age.
        after: Duration,
    },
}

impl Role {
    /// Whether to watch now, given the age of the newest proof.
    pub fn is_active(self, age: Duration) -> bool {
        match self {
            Role::Watcher => true,
            Role::Standby { after } => after <= age,
        }
    }
}

/// Reads of the platform's list that a whole fleet makes in a second.
const LIST_READS_PER_SECOND: u32 = 20;

/// Who watches, and who is ready to take over.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    order: Vec<host::Id>,
    watchers: usize,
}

impl Rank {
    /// Ranks the hosts that are live: the first of each zone, the second of each, and so on.
    pub fn new<'a>(hosts: impl Iterator<Item = (&'a host::Id, &'a availability::Id)>) -> Rank {
        let mut scored: Vec<_> =
            hosts.map(|(id, zone)| (rendezvous::score(b"watch", id), id, zone)).collect();
        scored.sort();
        let mut zones: BTreeMap<&availability::Id, usize> = BTreeMap::new();
        let mut placed: Vec<_> = scored
            .into_iter()
            .map(|(_, id, zone)| {
                let place = zones.entry(zone).or_default();
                *place += 1;
                (*place, zone, id)
            })
            .collect();
        placed.sort();
        let order = placed.into_iter().map(|(_, _, id)| id.clone()).collect();
        Rank { order, watchers: zones.len().max(WATCHERS) }
    }

    /// Part of a host.
    pub fn role(&self, id: &host::Id) -> Role {
        let place = self.order.iter().position(|other| other == id);
        match place.unwrap_or(usize::MAX).checked_sub(self.watchers) {
            None => Role::Watcher,
            Some(beyond) => {
                let doublings = u32::try_from(beyond).unwrap_or(u32::MAX).min(u32::BITS - 1);
                Role::Standby { after: TAKEOVER_AGE.saturating_mul(1 << doublings) }
            }
        }
    }

    /// The watcher that a host keeps an eye on, if it is a deputy: each watcher has one, who notices
    /// its loss within a few beats and is the next in rank.
    pub fn watched_by(&self, deputy: &host::Id) -> Option<&host::Id> {
        let place = self.order.iter().position(|other| other == deputy)?;
        let watcher = place.checked_sub(self.watchers)?;
        self.order[..self.watchers].get(watcher)
    }
}

/// Time between a host's reads of the platform's list: `least` in a small fleet, longer in a large
/// one, so that the reads of all hosts together stay within a rate. Peers tell of changes sooner.
pub fn list_interval(least: Duration, hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    least.max(Duration::from_secs(1) * hosts / LIST_READS_PER_SECOND)
}
