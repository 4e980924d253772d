//! Leases on duties: they avoid duplicate work, and no safety property depends on them.
//!
//! A lease is an object that its holder changes at every renewal. Other hosts observe the changes
//! by their own clocks: a lease that has not changed for its whole term may be taken. No clock is
//! compared with another host's. A holder that was paused may believe that it still holds the
//! lease; what it does then must be safe anyway.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Renewals within one term, so that one lost write does not lose the lease.
const RENEWALS_PER_TERM: u32 = 3;

/// Lease, as stored in the object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Host that holds the lease.
    pub holder: host::Id,
    /// Incarnation of the holder's process.
    pub incarnation: host::Incarnation,
    /// Counter that rises at each renewal, so that every renewal is a change.
    pub renewal: u64,
}

/// Action of a host on a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The host holds the lease, and a renewal is not yet due.
    Hold,
    /// The host holds the lease and writes this renewal by conditional update.
    Renew(Lease),
    /// The lease is free or has expired; the host writes this one by conditional update.
    Take(Lease),
    /// Another host holds the lease.
    Wait,
}

impl Step {
    /// Returns whether the host holds the lease and may do the duty's work.
    pub fn is_held(&self) -> bool {
        matches!(self, Step::Hold | Step::Renew(_))
    }
}

/// One host's view of a lease.
#[derive(Clone, Debug)]
pub struct Observer {
    host: host::Id,
    incarnation: host::Incarnation,
    term: Duration,
    last: Option<Observation>,
}

#[derive(Clone, Debug)]
struct Observation {
    lease: Lease,
    since: Moment,
}

impl Observer {
    /// Creates the view of an incarnation of a host. A lease expires `term` after its last change.
    pub fn new(host: host::Id, incarnation: host::Incarnation, term: Duration) -> Observer {
        Observer { host, incarnation, term, last: None }
    }

    /// Returns the key of a duty's lease in the object API.
    pub fn key(duty: &str) -> String {
        format!("lease/{duty}")
    }

    /// Applies the lease as read at `now` and returns what to do; `None` means that the lease does
    /// not exist.
    pub fn observe(&mut self, now: Moment, lease: Option<&Lease>) -> Step {
        let Some(lease) = lease else {
            self.last = None;
            return Step::Take(self.own_lease(0));
        };
        let since = match &self.last {
            Some(last) if last.lease == *lease => last.since,
            Some(_) | None => now,
        };
        self.last = Some(Observation { lease: lease.clone(), since });
        let unchanged = now.saturating_sub(since);
        if self.is_own(lease) {
            let due = self.term / RENEWALS_PER_TERM <= unchanged;
            return if due { Step::Renew(self.own_lease(lease.renewal + 1)) } else { Step::Hold };
        }
        if unchanged < self.term {
            Step::Wait
        } else {
            Step::Take(self.own_lease(lease.renewal + 1))
        }
    }

    /// Returns whether this host's lease, by the last read, has not expired at `now`.
    pub fn is_held(&self, now: Moment) -> bool {
        self.last.as_ref().is_some_and(|last| {
            self.is_own(&last.lease) && now.saturating_sub(last.since) < self.term
        })
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.host && lease.incarnation == self.incarnation
    }

    fn own_lease(&self, renewal: u64) -> Lease {
        Lease { holder: self.host.clone(), incarnation: self.incarnation, renewal }
    }
}
