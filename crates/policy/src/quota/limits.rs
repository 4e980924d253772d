//! Limits that servers name, and the order in which they named them.
//!
//! Each answer of a server names the rate at which it takes requests from then on, and answers don't
//! arrive in the order in which they were written. An answer is known to be later than a belief if its
//! request left after the belief was held here. Such a change takes the next number, which travels with
//! the news, so that hosts compare numbers and no clocks. Where the order can't be known, the lower limit
//! holds until a later answer settles it.

use std::{cmp::Ordering, collections::BTreeMap};

use serde::{Deserialize, Serialize};
use types::{backend, routed::Rate, time::Moment};

/// Number of a change of one server's limit.
pub type Version = u64;

/// A server's limit as of a change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct VersionedLimit {
    /// Number of the change.
    pub version: Version,
    /// The limit; none if the server names none any more.
    pub rate: Option<Rate>,
}

impl VersionedLimit {
    /// The later of two changes, with the lower limit if they bear the same number.
    pub fn merge(self, other: VersionedLimit) -> VersionedLimit {
        match self.version.cmp(&other.version) {
            Ordering::Less => other,
            Ordering::Equal => VersionedLimit { rate: lower(self.rate, other.rate), ..self },
            Ordering::Greater => self,
        }
    }
}

/// What a host believes of one server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Belief {
    limit: VersionedLimit,
    /// Since when it is held.
    since: Moment,
}

/// A change of what is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The limit until now.
    pub previous: Option<Rate>,
    /// What holds from now on.
    pub current: VersionedLimit,
}

/// What a host believes of the limits of all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Limits(BTreeMap<backend::Id, Belief>);

impl Limits {
    /// A server's limit.
    pub fn limit(&self, server: &str) -> Option<Rate> {
        self.0.get(server)?.limit.rate
    }

    /// The last news of a server's limit.
    pub fn get(&self, server: &str) -> VersionedLimit {
        self.0.get(server).map(|belief| belief.limit).unwrap_or_default()
    }

    /// Servers that name a limit, with the last news of it.
    pub fn limited(&self) -> impl Iterator<Item = (&backend::Id, VersionedLimit)> {
        self.iter().filter(|(_, limit)| limit.rate.is_some())
    }

    /// The last news of each server that has named a limit.
    pub fn iter(&self) -> impl Iterator<Item = (&backend::Id, VersionedLimit)> {
        self.0.iter().map(|(server, belief)| (server, belief.limit))
    }

    /// Takes in what an answer names whose request left at `sent`.
    pub fn observe(
        &mut self,
        server: &backend::Id,
        limit: Option<Rate>,
        sent: Moment,
        now: Moment,
    ) -> Option<Change> {
        let held = self.0.get(server).copied().unwrap_or_default();
        let is_later = held.since < sent;
        let limit = if is_later { limit } else { lower(limit, held.limit.rate) };
        if limit == held.limit.rate {
            return None;
        }
        let current = VersionedLimit { version: held.limit.version + 1, rate: limit };
        self.0.insert(server.clone(), Belief { limit: current, since: now });
        Some(Change { previous: held.limit.rate, current })
    }

    /// Takes in what another host believes.
    pub fn merge(
        &mut self,
        server: &backend::Id,
        received: VersionedLimit,
        now: Moment,
    ) -> Option<Change> {
        let held = self.0.get(server).copied().unwrap_or_default();
        let current = held.limit.merge(received);
        if current == held.limit {
            return None;
        }
        self.0.insert(server.clone(), Belief { limit: current, since: now });
        (current.rate != held.limit.rate).then_some(Change { previous: held.limit.rate, current })
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: &str) {
        self.0.remove(server);
    }
}

/// The lower of two limits, where none is the highest.
fn lower(one: Option<Rate>, other: Option<Rate>) -> Option<Rate> {
    one.into_iter().chain(other).min()
}
