//! Terms: which host may send orders to servers that check no fences.
//!
//! One lease object in a store decides. Its holder may send orders for a term after it *sent* its
//! last write that the store is known to have carried out. Another host may take the lease once it
//! has *known* the same revision for a term and a turn; its write names that revision, so it fails
//! if the holder renewed meanwhile. Sending comes before carrying out, and that before knowing, so
//! the last order of one host and the first of the next lie a turn apart, whatever was slow, lost
//! or late, and no clock is compared with another host's.
//!
//! Reads may be old: a write on an old revision fails. So only the outcome of writes counts, and a
//! watch or a cheap read serves as well as an exact one.
//!
//! The fence is the revision of the write that began an unbroken time of holding. Revisions rise,
//! and no two writes share one. A holder whose term ran out in between, be it for a moment, gets a
//! new fence, so orders in hand from before are told apart and are to be dropped.
//!
//! What callers owe: the time is read from a clock that counts suspension and never jumps, right
//! before each call; [`OrderLease::may_order`] is asked right before an order's bytes go out, with
//! nothing awaited in between; an order is given up, with its connection reset, once it has been
//! under way for [`Settings::flight`]; the incarnation is unique for all time; nobody deletes the
//! lease; a host's process has ended before its next one starts.

use types::{order::Fence, prelude::*};

mod lease;
mod settings;

/// Most writes without an answer that are kept in mind; the oldest go first.
const MAX_OPEN_WRITES: usize = 16;

/// So that an arrival and an order under a later fence don't fall into one moment.
const RUN_GAP: Duration = Duration::from_nanos(1);

pub use lease::{Claim, Lease, Nonce, Outcome, Revision, Step, Stored};
pub use settings::{Contender, Settings, contender};

/// What one run of a host knows about the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderLease {
    host: host::Id,
    incarnation: host::Incarnation,
    settings: Settings,
    known: Known,
    /// The time that this host holds, or has held last.
    tenure: Option<Tenure>,
    /// Own writes that may still be carried out, or have been.
    open_writes: Vec<OpenWrite>,
    /// The write whose outcome is awaited.
    pending_write: Option<Lease>,
    nonce: Nonce,
    /// When the store last answered, or was last asked to read.
    last_answer: Option<Moment>,
    last_read: Option<Moment>,
    /// Nothing is asked of the store before this.
    idle_until: Moment,
    /// When an order may have been sent last.
    last_order: Option<Moment>,
    stopping: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Known {
    Nothing,
    /// There is none; one may be written from then on.
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
    /// When the write that it rests on was sent.
    sent: Moment,
    until: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenWrite {
    nonce: Nonce,
    at: Moment,
}

impl OrderLease {
    /// What a run of a host knows at its start.
    pub fn new(host: host::Id, incarnation: host::Incarnation, settings: Settings) -> OrderLease {
        OrderLease {
            host,
            incarnation,
            settings,
            known: Known::Nothing,
            tenure: None,
            open_writes: Vec::new(),
            pending_write: None,
            nonce: 0,
            last_answer: None,
            last_read: None,
            idle_until: Moment::ZERO,
            last_order: None,
            stopping: false,
        }
    }

    /// The fence that an order bears which is sent now; none if no order may be sent.
    ///
    /// Each fence that is given counts as an order sent at `now`. An order prepared under another
    /// fence is to be dropped.
    pub fn may_order(&mut self, now: Moment) -> Option<Fence> {
        let fence = self.fence(now)?;
        self.last_order = Some(now);
        Some(fence)
    }

    /// The fence of this host's tenure, if an order sent now would arrive within it.
    pub fn fence(&self, now: Moment) -> Option<Fence> {
        let tenure = self.tenure.filter(|tenure| now + self.settings.flight <= tenure.until)?;
        (!self.stopping).then_some(tenure.fence)
    }

    /// The host that the lease names, as far as this one knows.
    pub fn holder(&self) -> Option<&host::Id> {
        match &self.known {
            Known::Present { lease: Lease { holder, claim: Claim::Held(_), .. }, .. } => {
                Some(holder)
            }
            Known::Present { .. } | Known::Absent(_) | Known::Nothing => None,
        }
    }

    /// Whether a stopping host has nothing more to write.
    pub fn is_released(&self) -> bool {
        let named = matches!(&self.known, Known::Present { lease, .. }
            if self.is_own(lease) && matches!(lease.claim, Claim::Held(_)));
        self.stopping && !named && self.open_writes.is_empty()
    }

    /// Sends no more orders from now on, and releases the lease at the next steps.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Takes in the lease as read, or told by a watch; it may be old.
    pub fn observe(&mut self, now: Moment, read: Option<Stored>) {
        self.note_answer(now);
        match (read, &self.known) {
            (Some((revision, lease)), _) => self.apply(now, revision, lease),
            // Nobody deletes the lease, so that nobody ever held it.
            (None, Known::Nothing) => self.known = Known::Absent(now),
            (None, Known::Absent(_) | Known::Present { .. }) => (),
        }
    }

    /// Takes in the lease as another host knows it; that says nothing of this host's own path to
    /// the store.
    pub fn observe_from_peer(&mut self, now: Moment, (revision, lease): Stored) {
        self.apply(now, revision, lease);
    }

    /// The lease as this host knows it, for others to be told.
    pub fn stored(&self) -> Option<Stored> {
        match &self.known {
            Known::Present { revision, lease, .. } => Some((*revision, lease.clone())),
            Known::Absent(_) | Known::Nothing => None,
        }
    }

    /// Takes in what came of the write that was asked for last.
    pub fn write_finished(&mut self, now: Moment, outcome: Outcome) {
        let Some(lease) = self.pending_write.take() else { return };
        match outcome {
            Outcome::Done(revision) => {
                self.note_answer(now);
                self.apply(now, revision, lease);
            }
            Outcome::Conflict(Some((revision, lease))) => {
                self.note_answer(now);
                self.apply(now, revision, lease);
            }
            // What is known is old; the lease is read before anything else is done.
            Outcome::Conflict(None) => {
                self.last_answer = None;
                self.last_read = None;
                self.idle_until = Moment::ZERO;
            }
            Outcome::Absent => {
                let free = now + self.settings.term + self.settings.turn;
                self.note_answer(now);
                self.known = Known::Absent(free);
            }
            Outcome::Refused => {
                self.open_writes.retain(|sent| sent.nonce != lease.nonce);
            }
            Outcome::Unclear => (),
        }
    }

    /// Takes how many hosts tell each other of the lease.
    pub fn set_hosts(&mut self, hosts: usize, contender: Contender) {
        self.settings.set_hosts(hosts, contender);
    }

    /// What to ask of the store now. After a write, nothing more until its outcome is passed in.
    pub fn step(&mut self, now: Moment) -> Step {
        if self.pending_write.is_some() || now < self.idle_until {
            return Step::Idle;
        }
        if self.stopping {
            return self.release(now);
        }
        match self.tenure {
            Some(tenure) if now <= tenure.until => self.renew(now, tenure),
            Some(_) | None => self.contend(now),
        }
    }

    fn note_answer(&mut self, now: Moment) {
        self.last_answer = Some(now);
        self.last_read = None;
        self.idle_until = Moment::ZERO;
    }

    fn renew(&mut self, now: Moment, tenure: Tenure) -> Step {
        if self.last_answer.is_none() {
            return self.read(now, self.settings.fresh);
        }
        match self.known {
            Known::Present { revision, .. } if tenure.sent + self.settings.renew <= now => {
                self.write(now, Some(revision), Claim::Held(self.settings.term))
            }
            Known::Present { .. } | Known::Absent(_) | Known::Nothing => Step::Idle,
        }
    }

    fn contend(&mut self, now: Moment) -> Step {
        let Some(free) = self.free_at() else { return self.read(now, self.settings.fresh) };
        if now < free {
            let poll = self.settings.poll;
            let is_recent =
                matches!(self.known, Known::Present { since, .. } if now < since + poll);
            return if is_recent { Step::Idle } else { self.read(now, poll) };
        }
        // A host that the store turns away must not leave writes behind that come true later.
        if self.last_answer.is_none_or(|at| at + self.settings.fresh < now) {
            return self.read(now, self.settings.fresh);
        }
        let revision = match self.known {
            Known::Present { revision, .. } => Some(revision),
            Known::Absent(_) | Known::Nothing => None,
        };
        self.write(now, revision, Claim::Held(self.settings.term))
    }

    fn release(&mut self, now: Moment) -> Step {
        match &self.known {
            Known::Present { revision, lease, .. }
                if self.is_own(lease) && matches!(lease.claim, Claim::Held(_)) =>
            {
                let (revision, rest) = (*revision, self.quiet_time(now));
                self.write(now, Some(revision), Claim::Released(rest))
            }
            _ if self.open_writes.is_empty() => Step::Idle,
            _ => self.read(now, self.settings.fresh),
        }
    }

    /// Time from `now` on in which no other host may send orders.
    fn quiet_time(&self, now: Moment) -> Duration {
        let Settings { turn, flight, .. } = self.settings;
        let last = self.last_order.unwrap_or(now);
        (last + flight + turn).saturating_sub(now)
    }

    /// When this host may take the lease, by what it knows of it.
    fn free_at(&self) -> Option<Moment> {
        let Settings { turn, flight, .. } = self.settings;
        let delay = self.settings.standby_delay();
        match &self.known {
            Known::Nothing => None,
            Known::Absent(free) => Some(*free + delay),
            Known::Present { lease, since, .. } if self.is_own(lease) => Some(*since),
            // An earlier run of this host is gone, and its orders are this host's: only the
            // fences must not fall.
            Known::Present { lease, since, .. } if lease.holder == self.host => {
                Some(*since + flight + RUN_GAP)
            }
            Known::Present { lease, since, .. } => Some(match lease.claim {
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
        self.idle_until = now + self.settings.renew / 2;
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

    /// Takes in a revision; older ones than the known one say nothing.
    fn apply(&mut self, now: Moment, revision: Revision, lease: Lease) {
        if matches!(self.known, Known::Present { revision: known, .. } if revision <= known) {
            return;
        }
        // Every open write names an older revision, so that none but this one took or takes effect.
        let open = std::mem::take(&mut self.open_writes);
        let sent = open.iter().find(|sent| sent.nonce == lease.nonce);
        if !self.is_own(&lease) {
            self.tenure = None;
        } else if let (Claim::Held(term), Some(sent)) = (lease.claim, sent) {
            self.extend_tenure(revision, sent.at, sent.at + term);
        }
        self.known = Known::Present { revision, lease, since: now };
    }

    fn extend_tenure(&mut self, revision: Revision, sent: Moment, until: Moment) {
        let fence = match self.tenure {
            Some(tenure) if sent <= tenure.until => tenure.fence,
            Some(_) | None => {
                // An earlier run of this host may have sent orders until now.
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
