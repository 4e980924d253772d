//! Notices: events that can't wait for the next digest, sent again until they are acknowledged.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use types::{
    adapter, backend, host, model,
    order::Fence,
    routed::{Sequence, Version},
    service,
    time::Moment,
};

use crate::{
    customer,
    demand::Report,
    dispatch::{loan, poison::Crash},
    quota::{Limit, Message},
    slots, streams,
};

use super::{
    fact::{Departure, Revision},
    wire::{self, Body, Item, Number, Run},
};

/// Most times that a notice is sent to one host.
const MAX_SENDS: u32 = 5;

/// Times that a notice is sent to one host before that host counts as unresponsive.
const SENDS_BEFORE_FAILOVER: u32 = 2;

/// Delay before a notice is sent the second time; doubled with each further sending.
const FIRST_RESEND_DELAY: Duration = Duration::from_millis(50);

/// Most notices that wait for an acknowledgement, over all hosts.
const MAX_WAITING: usize = 4_096;

/// Lowest address in the order of [`Target`]; lower bound of a range over one run's targets.
const MIN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Width of a window: numbers further below the highest one count as seen. More than a host sends
/// between the first and the last time that it sends a notice.
const WINDOW_BITS: u64 = 1_024;

/// Words of a window.
const WINDOW_WORDS: usize = (WINDOW_BITS / u64::BITS as u64) as usize;

/// An event that can't wait for the next digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Notice {
    /// A request waits for a model or adapter to be loaded; sent to the holder of the lease.
    LoadRequested {
        /// The service that the request calls.
        service: service::Id,
        /// The model that it needs.
        model: model::Id,
        /// The adapter that it needs, if it names one.
        adapter: Option<adapter::Id>,
    },
    /// A server has a model or adapter loaded from now on.
    Loaded {
        /// The server.
        server: backend::Id,
        /// The model.
        model: model::Id,
        /// The adapter, if the event is about one.
        adapter: Option<adapter::Id>,
        /// Number of orders that the server had accepted by then.
        sequence: Sequence,
    },
    /// A server has a model or adapter loaded no longer.
    Unloaded {
        /// The server.
        server: backend::Id,
        /// The model.
        model: model::Id,
        /// The adapter, if the event is about one.
        adapter: Option<adapter::Id>,
        /// Number of orders that the server had accepted by then.
        sequence: Sequence,
    },
    /// A server is departing.
    ServerLeaving {
        /// The server.
        server: backend::Id,
        /// Whether the server's entry says that it is leaving, or was removed.
        departure: Departure,
        /// The store's revision of that change; an entry written at a later revision prevails. The
        /// highest revision if the server said so itself, which is final.
        revision: Revision,
    },
    /// A declaration is in force at the sender.
    DeclarationInForce {
        /// The declaration's version.
        version: Version,
    },
    /// A server's limit changed.
    LimitChanged {
        /// The server.
        server: backend::Id,
        /// The server's limit since this change.
        #[serde(rename = "news")]
        limit: Limit,
    },
    /// Requests and grants of quota permits; sent once.
    Quota(Message),
    /// Transfers, token requests and grants under quotas of customers; sent once.
    CustomerQuota(customer::quota::Message),
    /// Requests and grants of retries from the retry budget; sent once.
    Loan(loan::Message),
    /// Demand that arrived at the sender, for the host that plans; sent once.
    Demand(Report),
    /// The sender holds the lease on orders and plans.
    LeaseAcquired {
        /// The holder's fencing token.
        fence: Fence,
    },
    /// A server crashed with a request of the sender in flight. Receivers find it in their
    /// snapshot.
    Crash(Crash),
    /// Versions of streams; sent once.
    Streams(streams::Message),
    /// Use and grants of servers' slots; sent once.
    Slots(slots::Message),
}

impl Notice {
    /// Whether hosts must act on the notice within a time, so that it is sent around hosts that do
    /// not respond. The others are frequent, and a late one costs a rejected request at the most.
    pub fn is_bounded(&self) -> bool {
        match self {
            Notice::ServerLeaving { .. }
            | Notice::DeclarationInForce { .. }
            | Notice::LimitChanged { .. }
            | Notice::LeaseAcquired { .. }
            | Notice::Crash(_) => true,
            Notice::LoadRequested { .. }
            | Notice::Loaded { .. }
            | Notice::Unloaded { .. }
            | Notice::Quota(_)
            | Notice::CustomerQuota(_)
            | Notice::Loan(_)
            | Notice::Demand(_)
            | Notice::Streams(_)
            | Notice::Slots(_) => false,
        }
    }

    /// Returns the notices in a datagram, without receiving them.
    pub fn in_datagram(bytes: &[u8]) -> Vec<Notice> {
        match wire::decode(bytes).map(|packet| packet.body) {
            Some(Body::Notices(items)) => items.into_iter().map(|item| item.notice).collect(),
            Some(Body::OneShot(notice)) => vec![notice],
            _ => Vec::new(),
        }
    }
}

/// Recipients of a notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All hosts that get digests from the sender; relays forward the notice to the others.
    All,
    /// One host, which need not get digests from the sender.
    Host(host::Id),
}

/// Hosts for which a notice is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// One host.
    One,
    /// All hosts, whichever relays respond.
    All,
    /// All hosts whose relays respond.
    Reachable,
}

impl Audience {
    /// Returns the audience of a notice to all hosts.
    pub(super) fn of(notice: &Notice) -> Audience {
        if notice.is_bounded() { Audience::All } else { Audience::Reachable }
    }
}

/// A notice that waits for its acknowledgement.
#[derive(Debug)]
struct Waiting {
    item: Item,
    audience: Audience,
    sends: u32,
    next: Moment,
}

/// One run of a host at an address, as the receiver of notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Target {
    pub(super) run: Run,
    pub(super) address: SocketAddr,
}

/// Notices that wait for one receiver's acknowledgement.
#[derive(Debug)]
struct Queue {
    waiting: Vec<Waiting>,
    /// Lower bound of the time at which a notice is due; the earliest one may have been
    /// acknowledged since.
    earliest: Moment,
}

/// Notices that wait for acknowledgements.
///
/// The outbox is checked at every wake-up of a host, far more often than a notice is due. So each
/// receiver's queue keeps the time at which its first notice is due.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    queues: BTreeMap<Target, Queue>,
    /// Number of notices in all queues.
    length: usize,
    /// Notices that a run has not acknowledged in time, and that are sent around it.
    unanswered: Vec<(Run, Item)>,
    /// Notices that were given up after [`MAX_SENDS`], or never queued because the outbox was full.
    pub(super) lost: u64,
}

impl Outbox {
    pub(super) fn push(&mut self, now: Moment, target: Target, item: Item, audience: Audience) {
        if let Notice::DeclarationInForce { version } = item.notice {
            self.remove_earlier_declarations(target, version);
        }
        if self.length >= MAX_WAITING {
            self.lost += 1;
            return;
        }
        self.length += 1;
        let queue = self
            .queues
            .entry(target)
            .or_insert_with(|| Queue { waiting: Vec::new(), earliest: now });
        queue.earliest = queue.earliest.min(now);
        queue.waiting.push(Waiting { item, audience, sends: 0, next: now });
    }

    /// Removes a receiver's notices of declarations with a lower version, which are obsolete.
    fn remove_earlier_declarations(&mut self, target: Target, version: Version) {
        let Some(queue) = self.queues.get_mut(&target) else { return };
        let before = queue.waiting.len();
        queue.waiting.retain(|one| match one.item.notice {
            Notice::DeclarationInForce { version: earlier } => version <= earlier,
            _ => true,
        });
        self.length -= before - queue.waiting.len();
    }

    /// Returns the time at which the next notice is due.
    pub(super) fn next(&self) -> Option<Moment> {
        self.queues.values().map(|queue| queue.earliest).min()
    }

    /// Removes the notices that a receiver acknowledged.
    pub(super) fn acknowledge(&mut self, run: Run, acked: &[(Run, Number)]) {
        let is_acked = |one: &Waiting| acked.contains(&(one.item.origin, one.item.number));
        for (_, queue) in self.of(run) {
            queue.waiting.retain(|one| !is_acked(one));
        }
        self.remove_empty();
    }

    /// Discards the notices for a run that has ended.
    pub(super) fn abandon(&mut self, run: Run) {
        self.queues.retain(|target, _| target.run != run);
        self.remove_empty();
    }

    /// Returns the notices that are due, by address, in batches that fit a datagram.
    pub(super) fn due(&mut self, now: Moment) -> Vec<(SocketAddr, Vec<Item>)> {
        let mut batches = Vec::new();
        for (target, queue) in self.queues.iter_mut().filter(|(_, queue)| queue.earliest <= now) {
            let before = queue.waiting.len();
            queue.waiting.retain(|one| now < one.next || one.sends < MAX_SENDS);
            self.lost += (before - queue.waiting.len()) as u64;
            let is_unanswered = |one: &&Waiting| {
                one.next <= now
                    && one.sends == SENDS_BEFORE_FAILOVER
                    && one.audience == Audience::All
            };
            let unanswered = queue.waiting.iter().filter(is_unanswered);
            self.unanswered.extend(unanswered.map(|one| (target.run, one.item.clone())));
            batches.extend(pack(queue.due(now)).into_iter().map(|batch| (target.address, batch)));
        }
        self.remove_empty();
        batches
    }

    /// Takes the notices that are to be sent around a host, each with the run of that host.
    pub(super) fn take_unanswered(&mut self) -> Vec<(Run, Item)> {
        std::mem::take(&mut self.unanswered)
    }

    /// Returns the queues of a run: one for each address at which it was known.
    fn of(&mut self, run: Run) -> impl Iterator<Item = (&Target, &mut Queue)> {
        let first = Target { run, address: MIN_ADDRESS };
        self.queues.range_mut(first..).take_while(move |(target, _)| target.run == run)
    }

    fn remove_empty(&mut self) {
        self.queues.retain(|_, queue| !queue.waiting.is_empty());
        self.length = self.queues.values().map(|queue| queue.waiting.len()).sum();
    }
}

impl Queue {
    /// Returns the notices that are due, and schedules each one's next sending.
    fn due(&mut self, now: Moment) -> Vec<Item> {
        let due = self.waiting.iter_mut().filter(|one| one.next <= now);
        let items = due.map(|one| {
            one.next = now + FIRST_RESEND_DELAY * 2_u32.saturating_pow(one.sends);
            one.sends += 1;
            one.item.clone()
        });
        let items = items.collect();
        self.earliest = self.waiting.iter().map(|one| one.next).min().unwrap_or(now);
        items
    }
}

/// Packs values into batches that each fit a datagram.
pub(super) fn pack<T: Serialize>(items: impl IntoIterator<Item = T>) -> Vec<Vec<T>> {
    const CAPACITY: usize = wire::DATAGRAM_BYTES - wire::HEAD_BYTES;
    let (mut batches, mut left) = (Vec::<Vec<T>>::new(), 0);
    for item in items {
        let size = wire::size(&item);
        match batches.last_mut() {
            Some(batch) if size <= left => {
                left -= size;
                batch.push(item);
            }
            _ => {
                left = CAPACITY.saturating_sub(size);
                batches.push(vec![item]);
            }
        }
    }
    batches
}

/// Which notices of a run were received before.
#[derive(Debug, Default)]
pub(super) struct Window {
    /// `None` until a notice was received.
    highest: Option<Number>,
    /// The bit at a number modulo the width stands for that number.
    seen: [u64; WINDOW_WORDS],
    pub(super) last_used: Moment,
}

impl Window {
    /// Whether a number is received for the first time; numbers below the window count as seen.
    pub(super) fn is_first(&mut self, number: Number) -> bool {
        match self.highest {
            Some(highest) if WINDOW_BITS <= highest.saturating_sub(number) => return false,
            Some(highest) if highest < number => {
                self.clear(highest, number);
                self.highest = Some(number);
            }
            Some(_) => {}
            None => self.highest = Some(number),
        }
        let (word, bit) = Window::position(number);
        let is_first = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_first
    }

    /// Marks the numbers above `highest` up to `number` as not received.
    fn clear(&mut self, highest: Number, number: Number) {
        if WINDOW_BITS <= number - highest {
            self.seen = Default::default();
            return;
        }
        for above in highest + 1..=number {
            let (word, bit) = Window::position(above);
            self.seen[word] &= !bit;
        }
    }

    /// Returns the word that holds a number's bit, and the bit.
    fn position(number: Number) -> (usize, u64) {
        let index = number % WINDOW_BITS;
        ((index / u64::from(u64::BITS)) as usize, 1 << (index % u64::from(u64::BITS)))
    }
}
