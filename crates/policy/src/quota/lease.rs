//! Leases of quota shares between hosts.
//!
//! Each host has one share of each server's quota, all of equal size. It lends the share to the
//! host that grants permits for that server, so that a share which is smaller than one request is
//! of use. A share counts at one host at a time: its lender holds it back until the lease has
//! certainly expired, whether or not the message arrived and however late.
//!
//! The clocks of two hosts are never compared. A borrower counts a lease from a time on its own
//! clock that the lender echoes, the lender from when it read that clock, which was later.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

/// Longest lease that is given.
pub const MAX_LEASE: Duration = Duration::from_millis(5_500);

/// Share of one server's quota that belongs to this host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Share {
    /// When leases given by an earlier run of this host have expired.
    free_from: Moment,
    lease: Option<Lease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Lease {
    borrower: host::Id,
    until: Moment,
}

impl Default for Share {
    /// Returns a share that an earlier run of this host may have lent just before it ended.
    fn default() -> Share {
        Share::free_from(MAX_LEASE)
    }
}

impl Share {
    /// Returns a share that can be lent from a time after the start of this run of the host.
    pub fn free_from(free_from: Moment) -> Share {
        Share { free_from, lease: None }
    }

    /// Lets the share be lent from now on: there was no earlier run of this host.
    pub fn release(&mut self) {
        self.free_from = Duration::ZERO;
    }

    /// Host that holds the lease of the share now; `None` if this host may lend it.
    pub fn borrower(&self, now: Moment) -> Option<&host::Id> {
        self.lease.as_ref().filter(|lease| now < lease.until).map(|lease| &lease.borrower)
    }

    /// Lends the share or renews its lease, for `length` from when the borrower's clock was read.
    /// Returns false if another host may still hold the lease, if a lease of an earlier run may, or
    /// if the new lease would have expired already or exceed [`MAX_LEASE`].
    pub fn lend(&mut self, to: &host::Id, read: Moment, length: Duration, now: Moment) -> bool {
        let until = read + length;
        let is_over = until <= now || MAX_LEASE < length;
        let is_lent = self.borrower(now).is_some_and(|borrower| borrower != to);
        if is_over || is_lent || now < self.free_from {
            return false;
        }
        let earlier =
            self.lease.take().filter(|lease| lease.borrower == *to).map(|lease| lease.until);
        self.lease =
            Some(Lease { borrower: to.clone(), until: earlier.unwrap_or_default().max(until) });
        true
    }
}

/// Shares of one server's quota that this host has borrowed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool(BTreeMap<host::Id, Borrowed>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Borrowed {
    until: Moment,
    /// Number of hosts that share the quota, as the lender counts them.
    hosts: u32,
}

impl Pool {
    /// Borrows a share for `length` from `read`, a time on this host's clock that the lender
    /// echoed. Ignored if that time lies ahead or the lease has expired.
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
        let earlier = self.0.get(from).map(|borrowed| borrowed.until).unwrap_or_default();
        self.0.insert(from.clone(), Borrowed { until: earlier.max(until), hosts });
    }

    /// Drops expired leases.
    pub fn expire(&mut self, now: Moment) {
        self.0.retain(|_, borrowed| now < borrowed.until);
    }

    /// Number of shares held now.
    pub fn len(&self, now: Moment) -> u32 {
        self.live(now).count() as u32
    }

    /// Whether the lease of this lender's share is held here now.
    pub fn has(&self, lender: &str, now: Moment) -> bool {
        self.0.get(lender).is_some_and(|borrowed| now < borrowed.until)
    }

    /// Largest number of hosts that any lender counts; 0 without leases.
    pub fn hosts(&self, now: Moment) -> u32 {
        self.live(now).map(|borrowed| borrowed.hosts).max().unwrap_or(0)
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &Borrowed> {
        self.0.values().filter(move |borrowed| now < borrowed.until)
    }
}
