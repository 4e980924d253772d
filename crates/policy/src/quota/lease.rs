//! Shares of a quota that hosts lease to each other.
//!
//! Each host has one share of each server's quota, an equal part of it. It lends its share to the host that
//! grants requests for that server, so that a part which is smaller than one request is of use. A share
//! counts at one host at a time: its lender holds it back until the lease is over for certain, whatever
//! became of the message, and however late it came.
//!
//! The clocks of two hosts are never compared. A borrower counts a lease from a time on its own clock that
//! its lender has read, and the lender from the time of that reading, which was later.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

/// Longest lease.
pub const MAX_LEASE: Duration = Duration::from_millis(5_500);

/// A host's own share of one server's quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Share {
    /// When leases of an earlier run of this host are over.
    free_from: Moment,
    lease: Option<Lease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Lease {
    borrower: host::Id,
    until: Moment,
}

impl Default for Share {
    /// A share that an earlier run of this host may have lent just before.
    fn default() -> Share {
        Share::free_from(MAX_LEASE)
    }
}

impl Share {
    /// A share that is free from a time after the start of this run of the host.
    pub fn free_from(free_from: Moment) -> Share {
        Share { free_from, lease: None }
    }

    /// The host that may count the share now; none if it is this host.
    pub fn borrower(&self, now: Moment) -> Option<&host::Id> {
        self.lease.as_ref().filter(|lease| now < lease.until).map(|lease| &lease.borrower)
    }

    /// Lends the share, or renews its lease, from when the borrower's clock was read. False if another host
    /// may still count it, or if the lease would be over or too long.
    pub fn lend(&mut self, to: &host::Id, read: Moment, length: Duration, now: Moment) -> bool {
        let until = read + length;
        let is_over = until <= now || MAX_LEASE < length;
        let is_lent = self.borrower(now).is_some_and(|borrower| borrower != to);
        if is_over || is_lent || now < self.free_from {
            return false;
        }
        let held = self.lease.take().filter(|lease| lease.borrower == *to).map(|lease| lease.until);
        self.lease =
            Some(Lease { borrower: to.clone(), until: held.unwrap_or_default().max(until) });
        true
    }
}

/// Shares of one server's quota that a host has borrowed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool(BTreeMap<host::Id, Borrowed>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Borrowed {
    until: Moment,
    /// Hosts that the lender counts.
    hosts: u32,
}

impl Pool {
    /// Borrows a share from the time on this host's clock that its lender has read.
    pub fn borrow(
        &mut self,
        from: &host::Id,
        read: Moment,
        length: Duration,
        hosts: u32,
        now: Moment,
    ) {
        let until = read + length;
        if now < read || until <= now {
            return;
        }
        let held = self.0.get(from).map(|held| held.until).unwrap_or_default();
        self.0.insert(from.clone(), Borrowed { until: held.max(until), hosts });
    }

    /// Drops leases that are over.
    pub fn expire(&mut self, now: Moment) {
        self.0.retain(|_, held| now < held.until);
    }

    /// Shares that count now.
    pub fn len(&self, now: Moment) -> u32 {
        self.live(now).count() as u32
    }

    /// Whether a host's share counts here now.
    pub fn has(&self, lender: &str, now: Moment) -> bool {
        self.0.get(lender).is_some_and(|held| now < held.until)
    }

    /// The most hosts that any lender counts.
    pub fn hosts(&self, now: Moment) -> u32 {
        self.live(now).map(|held| held.hosts).max().unwrap_or(0)
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &Borrowed> {
        self.0.values().filter(move |held| now < held.until)
    }
}
