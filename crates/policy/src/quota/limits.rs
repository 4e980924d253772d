//! Limits that servers name, in the order in which they named them.
//!
//! Each answer of a server names the rate at which it takes requests from then on, and answers
//! don't arrive in the order in which they were written. An answer is known to be later than a
//! known limit if its request left after this host recorded that limit. Such a change gets the next
//! version, which is sent along with the limit, so that hosts compare versions and no clocks. Where
//! the order can't be known, the lower limit holds until a later answer settles it.

use std::{cmp::Ordering, collections::BTreeMap};

use serde::{Deserialize, Serialize};
use types::{backend, routed::Rate, time::Moment};

/// Number of a change of one server's limit; rises with each change.
pub type Version = u64;

/// Rate limit of a server, with the number of the change that set it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Limit {
    /// Number of the change; 0 before the first.
    pub version: Version,
    /// Rate limit; `None` if the server names none any more.
    pub rate: Option<Rate>,
}

impl Limit {
    /// Returns the later of two changes; of two changes with the same version, the lower limit.
    pub fn merge(self, other: Limit) -> Limit {
        match self.version.cmp(&other.version) {
            Ordering::Less => other,
            Ordering::Equal => Limit { rate: lower(self.rate, other.rate), ..self },
            Ordering::Greater => self,
        }
    }
}

/// Limit of one server as this host knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    limit: Limit,
    /// When this host recorded the limit.
    since: Moment,
}

/// Change of a server's limit as this host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Rate limit before the change.
    pub previous: Option<Rate>,
    /// Limit in force from now on.
    pub current: Limit,
}

/// Limits of all servers as one host knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Limits(BTreeMap<backend::Id, Known>);

impl Limits {
    /// Rate limit of a server; `None` if it names none.
    pub fn limit(&self, server: &str) -> Option<Rate> {
        self.0.get(server)?.limit.rate
    }

    /// Latest limit of a server; version 0 if it has never named one.
    pub fn get(&self, server: &str) -> Limit {
        self.0.get(server).map(|known| known.limit).unwrap_or_default()
    }

    /// Servers that name a limit, each with its latest limit.
    pub fn limited(&self) -> impl Iterator<Item = (&backend::Id, Limit)> {
        self.iter().filter(|(_, limit)| limit.rate.is_some())
    }

    /// Latest limit of each server that has named one, including servers that name none any more.
    pub fn iter(&self) -> impl Iterator<Item = (&backend::Id, Limit)> {
        self.0.iter().map(|(server, known)| (server, known.limit))
    }

    /// Applies the limit that an answer names, or `None` for an answer without one; `sent` is when
    /// its request left. Returns the change, if there is one.
    pub fn observe(
        &mut self,
        server: &backend::Id,
        limit: Option<Rate>,
        sent: Moment,
        now: Moment,
    ) -> Option<Change> {
        let known = self.0.get(server).copied().unwrap_or_default();
        let is_later = known.since < sent;
        let limit = if is_later { limit } else { lower(limit, known.limit.rate) };
        if limit == known.limit.rate {
            return None;
        }
        let current = Limit { version: known.limit.version + 1, rate: limit };
        self.0.insert(server.clone(), Known { limit: current, since: now });
        Some(Change { previous: known.limit.rate, current })
    }

    /// Merges the limit that another host knows. Returns the change of the rate, if there is one.
    pub fn merge(&mut self, server: &backend::Id, received: Limit, now: Moment) -> Option<Change> {
        let known = self.0.get(server).copied().unwrap_or_default();
        let current = known.limit.merge(received);
        if current == known.limit {
            return None;
        }
        self.0.insert(server.clone(), Known { limit: current, since: now });
        (current.rate != known.limit.rate).then_some(Change { previous: known.limit.rate, current })
    }

    /// Forgets a server that is gone, with its version.
    pub fn forget(&mut self, server: &str) {
        self.0.remove(server);
    }
}

/// Returns the lower of two limits, where `None` is the highest.
fn lower(one: Option<Rate>, other: Option<Rate>) -> Option<Rate> {
    one.into_iter().chain(other).min()
}
