//! The lease that permits sending orders to servers that check no fencing tokens.
//!
//! One lease object in a store decides. Its holder may send orders for one term after it *sent* its
//! last write that the store is known to have applied. Another host may take the lease once it has
//! *known* the same revision for a term and a turn; its write names that revision, so it fails if
//! the holder has renewed meanwhile. A write is sent before it is applied, and applied before it is
//! known, so the last order of one host and the first order of the next are at least a turn apart,
//! whatever was slow, lost or late, and no clock is compared with another host's.
//!
//! Reads may be stale: a write on a stale revision fails. Only the outcome of writes counts, so a
//! watch or a cheap read serves as well as a linearizable one.
//!
//! The fencing token is the revision of the write that began an unbroken tenure. Revisions rise,
//! and no two writes share one. A holder whose term expired, if only for a moment, gets a new
//! token, so that orders prepared before are recognizable and dropped.
//!
//! Obligations of the caller:
//!
//! - the time is read from a clock that counts suspension and never jumps, right before each call;
//! - [`OrderLease::may_order`] is called right before each write of an order's bytes, with nothing
//!   but the system call after it;
//! - an order is abandoned, with its connection reset, once it has been in flight for
//!   [`Settings::order_timeout`];
//! - the incarnation is unique for all time;
//! - nobody deletes the lease;
//! - a host's process has ended before its next one starts.

use types::{order::Fence, prelude::*};

mod lease;
mod settings;

/// Maximum number of own writes without a known outcome that are tracked; the oldest is dropped
/// first.
const MAX_OPEN_WRITES: usize = 16;

/// Added to [`Settings::order_timeout`] when an incarnation of the same host takes over, or a host
/// takes back the lease that it released, so that no earlier order arrives at the very moment at
/// which one with a later fencing token is sent.
const INCARNATION_GAP: Duration = Duration::from_nanos(1);

pub use lease::{Claim, Lease, Nonce, Outcome, Revision, Step, StoredLease};
pub use settings::{Contender, Settings, contender};

/// One incarnation's view of the lease that permits sending orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderLease {
    host: host::Id,
    incarnation: host::Incarnation,
    settings: Settings,
    known: KnownLease,
    /// Current or last tenure of this host.
    tenure: Option<Tenure>,
    /// Own writes that may have been applied, or may still be.
    open_writes: Vec<OpenWrite>,
    /// Write whose outcome is awaited.
    pending_write: Option<Lease>,
    nonce: Nonce,
    /// Nonce of the last release; writes up to it begin no tenure.
    released: Nonce,
    /// Time of the store's last answer; `None` also after a conflict that didn't return the lease.
    last_answer: Option<Moment>,
    /// Time of the last read that is not yet answered.
    last_read: Option<Moment>,
    /// Time before which nothing is requested from the store.
    idle_until: Moment,
    /// Latest time at which an order may have been sent.
    last_order: Option<Moment>,
    is_stopping: bool,
    is_yielding: bool,
}

/// What an incarnation knows about the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum KnownLease {
    Nothing,
    /// The lease does not exist; it may be created from this time on.
    Absent(Moment),
    Present {
        revision: Revision,
        lease: Lease,
        since: Moment,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Tenure {
    fence: Fence,
    /// Time at which the write that this tenure rests on was sent.
    sent: Moment,
    until: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenWrite {
    nonce: Nonce,
    at: Moment,
}

impl OrderLease {
    /// Creates the view of an incarnation of a host that has just started.
    pub fn new(host: host::Id, incarnation: host::Incarnation, settings: Settings) -> OrderLease {
        OrderLease {
            host,
            incarnation,
            settings,
            known: KnownLease::Nothing,
            tenure: None,
            open_writes: Vec::new(),
            pending_write: None,
            nonce: 0,
            released: 0,
            last_answer: None,
            last_read: None,
            idle_until: Moment::ZERO,
            last_order: None,
            is_stopping: false,
            is_yielding: false,
        }
    }

    /// Returns the fencing token for an order sent at `now`; `None` if no order may be sent.
    ///
    /// Each returned token counts as an order sent at `now`. An order prepared under another token
    /// must be dropped.
    pub fn may_order(&mut self, now: Moment) -> Option<Fence> {
        let fence = self.fence(now)?;
        self.last_order = Some(now);
        Some(fence)
    }

    /// Returns the fencing token of this host's tenure, if an order sent at `now` would arrive
    /// within it.
    pub fn fence(&self, now: Moment) -> Option<Fence> {
        let tenure =
            self.tenure.filter(|tenure| now + self.settings.order_timeout <= tenure.until)?;
        (!self.is_stopping && !self.is_yielding).then_some(tenure.fence)
    }

    /// Returns the holder of the lease, as far as this host knows; `None` if the lease is released,
    /// absent or unknown.
    pub fn holder(&self) -> Option<&host::Id> {
        match &self.known {
            KnownLease::Present { lease: Lease { holder, claim: Claim::Held(_), .. }, .. } => {
                Some(holder)
            }
            KnownLease::Present { .. } | KnownLease::Absent(_) | KnownLease::Nothing => None,
        }
    }

    /// Returns whether a stopping host has nothing more to write.
    pub fn is_released(&self) -> bool {
        let named = matches!(&self.known, KnownLease::Present { lease, .. }
            if self.is_own(lease) && matches!(lease.claim, Claim::Held(_)));
        self.is_stopping && !named && self.open_writes.is_empty()
    }

    /// Stops sending orders; the next steps release the lease.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Sets whether this host leaves the lease to others, as it can't reach the servers. It then sends
    /// no orders, and the next steps release the lease. Once a release was sent, this host orders only
    /// under a later tenure.
    pub fn set_yielding(&mut self, is_yielding: bool) {
        self.is_yielding = is_yielding;
    }

    /// Returns whether this host leaves the lease to others.
    pub fn is_yielding(&self) -> bool {
        self.is_yielding
    }

    /// Applies the lease as read or as reported by a watch; it may be stale.
    pub fn observe(&mut self, now: Moment, read: Option<StoredLease>) {
        self.record_answer(now);
        match (read, &self.known) {
            (Some((revision, lease)), _) => self.apply(now, revision, lease),
            // Nobody deletes the lease, so nobody has ever held it.
            (None, KnownLease::Nothing) => self.known = KnownLease::Absent(now),
            (None, KnownLease::Absent(_) | KnownLease::Present { .. }) => (),
        }
    }

    /// Applies the lease as another host knows it, which is no evidence that this host can reach
    /// the store.
    pub fn observe_from_peer(&mut self, now: Moment, (revision, lease): StoredLease) {
        self.apply(now, revision, lease);
    }

    /// Returns the lease as this host knows it, to be reported to other hosts.
    pub fn stored(&self) -> Option<StoredLease> {
        match &self.known {
            KnownLease::Present { revision, lease, .. } => Some((*revision, lease.clone())),
            KnownLease::Absent(_) | KnownLease::Nothing => None,
        }
    }

    /// Applies the outcome of the last write.
    pub fn write_finished(&mut self, now: Moment, outcome: Outcome) {
        let Some(lease) = self.pending_write.take() else { return };
        match outcome {
            Outcome::Done(revision) => {
                self.record_answer(now);
                self.apply(now, revision, lease);
            }
            Outcome::Conflict(Some((revision, lease))) => {
                self.record_answer(now);
                self.apply(now, revision, lease);
            }
            // The known revision is stale; the lease is read before anything else is done.
            Outcome::Conflict(None) => {
                self.last_answer = None;
                self.last_read = None;
                self.idle_until = Moment::ZERO;
            }
            Outcome::Absent => {
                let free = now + self.settings.term + self.settings.turn;
                self.record_answer(now);
                self.known = KnownLease::Absent(free);
            }
            Outcome::Refused => {
                self.open_writes.retain(|sent| sent.nonce != lease.nonce);
            }
            Outcome::Unknown => (),
        }
    }

    /// Sets the number of hosts that report the lease to each other, and whether this one contends
    /// first.
    pub fn set_hosts(&mut self, hosts: usize, contender: Contender) {
        self.settings.set_hosts(hosts, contender);
    }

    /// Returns the next request to the store; after a write, [`Step::Idle`] until its outcome is
    /// passed in.
    pub fn step(&mut self, now: Moment) -> Step {
        if self.pending_write.is_some() || now < self.idle_until {
            return Step::Idle;
        }
        if self.is_stopping || self.is_yielding {
            return self.release(now);
        }
        match self.tenure {
            Some(tenure) if now <= tenure.until => self.renew(now, tenure),
            Some(_) | None => self.contend(now),
        }
    }

    fn record_answer(&mut self, now: Moment) {
        self.last_answer = Some(now);
        self.last_read = None;
        self.idle_until = Moment::ZERO;
    }

    fn renew(&mut self, now: Moment, tenure: Tenure) -> Step {
        if self.last_answer.is_none() {
            return self.read(now, self.settings.max_read_age);
        }
        match self.known {
            KnownLease::Present { revision, .. }
                if tenure.sent + self.settings.renewal_interval <= now =>
            {
                self.write(now, Some(revision), Claim::Held(self.settings.term))
            }
            KnownLease::Present { .. } | KnownLease::Absent(_) | KnownLease::Nothing => Step::Idle,
        }
    }

    fn contend(&mut self, now: Moment) -> Step {
        let Some(free) = self.free_at() else { return self.read(now, self.settings.max_read_age) };
        if now < free {
            let poll = self.settings.poll_interval;
            let is_recent =
                matches!(self.known, KnownLease::Present { since, .. } if now < since + poll);
            return if is_recent { Step::Idle } else { self.read(now, poll) };
        }
        // A host that the store doesn't answer must not leave writes behind that are applied later.
        if self.last_answer.is_none_or(|at| at + self.settings.max_read_age < now) {
            return self.read(now, self.settings.max_read_age);
        }
        let revision = match self.known {
            KnownLease::Present { revision, .. } => Some(revision),
            KnownLease::Absent(_) | KnownLease::Nothing => None,
        };
        self.write(now, revision, Claim::Held(self.settings.term))
    }

    fn release(&mut self, now: Moment) -> Step {
        match &self.known {
            KnownLease::Present { revision, lease, .. }
                if self.is_own(lease) && matches!(lease.claim, Claim::Held(_)) =>
            {
                let (revision, rest) = (*revision, self.quiet_time(now));
                // The write may be applied at any time from now on, and the rest that it names counts
                // from the last order, so no order follows under this tenure, even if the host does not
                // yield any longer.
                self.tenure = None;
                let step = self.write(now, Some(revision), Claim::Released(rest));
                self.released = self.nonce;
                step
            }
            _ if self.open_writes.is_empty() => Step::Idle,
            _ => self.read(now, self.settings.max_read_age),
        }
    }

    /// Returns the time from `now` on in which no other host may send orders.
    fn quiet_time(&self, now: Moment) -> Duration {
        let Settings { turn, order_timeout, .. } = self.settings;
        let last = self.last_order.unwrap_or(now);
        (last + order_timeout + turn).saturating_sub(now)
    }

    /// Returns the time at which this host may take the lease, as far as it knows; `None` before
    /// the first read.
    fn free_at(&self) -> Option<Moment> {
        let Settings { turn, order_timeout, .. } = self.settings;
        let delay = self.settings.standby_delay();
        match &self.known {
            KnownLease::Nothing => None,
            KnownLease::Absent(free) => Some(*free + delay),
            // After a release, orders of the tenure that it ended may still arrive.
            KnownLease::Present { lease, since, .. } if self.is_own(lease) => {
                let last = self.last_order.map(|last| last + order_timeout + INCARNATION_GAP);
                Some(last.unwrap_or_default().max(*since))
            }
            // An earlier incarnation of this host has ended, and its orders count as this host's
            // own. No turn is needed; orders only have to arrive in the order of their fencing
            // tokens.
            KnownLease::Present { lease, since, .. } if lease.holder == self.host => {
                Some(*since + order_timeout + INCARNATION_GAP)
            }
            KnownLease::Present { lease, since, .. } => Some(match lease.claim {
                Claim::Held(term) => *since + term + turn + delay,
                Claim::Released(rest) => *since + rest + delay,
            }),
        }
    }

    fn read(&mut self, now: Moment, every: Duration) -> Step {
        let last = self.last_read.max(self.last_answer);
        if last.is_some_and(|last| now < last + every) {
            return Step::Idle;
        }
        self.last_read = Some(now);
        Step::Read
    }

    fn write(&mut self, now: Moment, on: Option<Revision>, claim: Claim) -> Step {
        self.nonce += 1;
        self.idle_until = now + self.settings.renewal_interval / 2;
        if self.open_writes.len() == MAX_OPEN_WRITES {
            self.open_writes.remove(0);
        }
        self.open_writes.push(OpenWrite { nonce: self.nonce, at: now });
        let lease = Lease {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            nonce: self.nonce,
            claim,
        };
        self.pending_write = Some(lease.clone());
        match on {
            Some(revision) => Step::Replace(revision, lease),
            None => Step::Create(lease),
        }
    }

    /// Applies a revision; one that is not newer than the known one is ignored.
    fn apply(&mut self, now: Moment, revision: Revision, lease: Lease) {
        if matches!(self.known, KnownLease::Present { revision: known, .. } if revision <= known) {
            return;
        }
        // Every open write names an older revision, so only the one that made this revision was or
        // will be applied.
        let open = std::mem::take(&mut self.open_writes);
        let sent = open.iter().find(|sent| sent.nonce == lease.nonce);
        let sent = sent.filter(|sent| self.released < sent.nonce);
        if !self.is_own(&lease) {
            self.tenure = None;
        } else if let (Claim::Held(term), Some(sent)) = (lease.claim, sent) {
            self.extend_tenure(revision, sent.at, sent.at + term);
        }
        self.known = KnownLease::Present { revision, lease, since: now };
    }

    fn extend_tenure(&mut self, revision: Revision, sent: Moment, until: Moment) {
        let fence = match self.tenure {
            Some(tenure) if sent <= tenure.until => tenure.fence,
            Some(_) | None => {
                // An earlier incarnation of this host may have sent orders until now.
                self.last_order = Some(sent);
                revision
            }
        };
        self.tenure = Some(Tenure { fence, sent, until });
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.host && lease.incarnation == self.incarnation
    }
}
