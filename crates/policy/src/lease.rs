//! Leases on duties: they save work, and no safety rests on them.
//!
//! A lease is an object that its holder changes at every renewal. Others watch for the change by
//! their own clocks: a lease that has not changed for its whole term may be taken. No clock is
//! compared with another host's. A holder that was paused may believe that it still holds the
//! lease; what it then does must be safe anyway.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Renewals within one term, so that one lost write does not lose the lease.
const RENEWALS_PER_TERM: u32 = 3;

/// A lease, as kept in the object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The host that holds it.
    pub holder: host::Id,
    /// The run of that host's process.
    pub incarnation: host::Incarnation,
    /// Rises at each renewal, so that every renewal is a change.
    pub renewal: u64,
}

/// What a host does about a lease now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It holds it, and need not renew yet.
    Hold,
    /// It holds it; write this by conditional update.
    Renew(Lease),
    /// It is free or has run out; write this by conditional update.
    Take(Lease),
    /// Another holds it.
    Wait,
}

impl Step {
    /// Whether the host may do the duty's work meanwhile.
    pub fn is_held(&self) -> bool {
        matches!(self, Step::Hold | Step::Renew(_))
    }
}

/// What one host knows about a lease.
#[derive(Clone, Debug)]
pub struct Observer {
    host: host::Id,
    incarnation: host::Incarnation,
    term: Duration,
    seen: Option<Seen>,
}

#[derive(Clone, Debug)]
struct Seen {
    lease: Lease,
    since: Moment,
}

impl Observer {
    /// Observer for this run of a host; a lease runs out `term` after its last change.
    pub fn new(host: host::Id, incarnation: host::Incarnation, term: Duration) -> Observer {
        Observer { host, incarnation, term, seen: None }
    }

    /// Key of a duty's lease in the object API.
    pub fn key(duty: &str) -> String {
        format!("lease/{duty}")
    }

    /// Takes in the lease as read at `now`, and says what to do.
    pub fn observe(&mut self, now: Moment, lease: Option<&Lease>) -> Step {
        let Some(lease) = lease else {
            self.seen = None;
            return Step::Take(self.own_lease(0));
        };
        let since = match &self.seen {
            Some(seen) if seen.lease == *lease => seen.since,
            Some(_) | None => now,
        };
        self.seen = Some(Seen { lease: lease.clone(), since });
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

    /// Whether, by what was last read, this host's lease has not run out at `now`.
    pub fn is_held(&self, now: Moment) -> bool {
        self.seen.as_ref().is_some_and(|seen| {
            self.is_own(&seen.lease) && now.saturating_sub(seen.since) < self.term
        })
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.host && lease.incarnation == self.incarnation
    }

    fn own_lease(&self, renewal: u64) -> Lease {
        Lease { holder: self.host.clone(), incarnation: self.incarnation, renewal }
    }
}
