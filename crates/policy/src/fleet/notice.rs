//! Notices: news that can't wait for the next digest, sent until acknowledged.

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
    demand::Report,
    dispatch::loan,
    quota::{Message, VersionedLimit},
};

use super::{
    fact::{Departure, Revision},
    wire::{self, Item, Number, Run},
};

/// Times that a notice is sent, at the most.
const MAX_SENDS: u32 = 5;

/// Pause before a notice is sent again; doubled each time.
const FIRST_RESEND_DELAY: Duration = Duration::from_millis(50);

/// Most notices that wait to be acknowledged.
const MAX_WAITING: usize = 4_096;

/// The least address.
const MIN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Numbers below the highest one that are remembered one by one.
const WINDOW_BITS: u64 = u128::BITS as u64;

/// News that can't wait.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Notice {
    /// A request waits for this to be loaded; to the holder of the lease.
    LoadRequested {
        /// The service.
        service: service::Id,
        /// The model.
        model: model::Id,
        /// The adapter, if one is named.
        adapter: Option<adapter::Id>,
    },
    /// A server holds this from now on.
    Loaded {
        /// The server.
        server: backend::Id,
        /// The model.
        model: model::Id,
        /// The adapter, if it is about one.
        adapter: Option<adapter::Id>,
        /// Orders that the server had accepted by then.
        sequence: Sequence,
    },
    /// A server holds this no more.
    Unloaded {
        /// The server.
        server: backend::Id,
        /// The model.
        model: model::Id,
        /// The adapter, if it is about one.
        adapter: Option<adapter::Id>,
        /// Orders that the server had accepted by then.
        sequence: Sequence,
    },
    /// A server is leaving.
    ServerLeaving {
        /// The server.
        server: backend::Id,
        /// Whether its entry says so, or was removed.
        departure: Departure,
        /// The store's revision of that change; an entry that was written later stands.
        revision: Revision,
    },
    /// A declaration is in force.
    DeclarationInForce {
        /// Its version.
        version: Version,
    },
    /// A server's limit changed.
    LimitChanged {
        /// The server.
        server: backend::Id,
        /// Its limit as of this change.
        news: VersionedLimit,
    },
    /// Asks and grants of quotas; they are sent once.
    Quota(Message),
    /// Asks and grants of retries; they are sent once.
    Loan(loan::Message),
    /// What arrives at the sender, for the host that plans; sent once.
    Demand(Report),
    /// The sender holds the lease on orders and plans.
    LeaseAcquired {
        /// Its fence.
        fence: Fence,
    },
}

/// Who gets a notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All hosts.
    All,
    /// One host.
    Host(host::Id),
}

/// A notice that waits for its acknowledgement.
#[derive(Debug)]
struct Waiting {
    item: Item,
    sends: u32,
    next: Moment,
}

/// A host as the receiver of notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Target {
    pub(super) run: Run,
    pub(super) address: SocketAddr,
}

/// What waits for one receiver.
#[derive(Debug)]
struct Queue {
    waiting: Vec<Waiting>,
    /// No notice is due before; what was acknowledged since may have been the first.
    earliest: Moment,
}

/// Notices that wait to be acknowledged.
///
/// The outbox is looked at on each waking of a host, far more often than a notice is due, so each receiver's queue
/// knows when its first one is.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    queues: BTreeMap<Target, Queue>,
    /// Notices in all queues.
    length: usize,
    /// Notices that were given up or never queued.
    pub(super) lost: u64,
}

impl Outbox {
    pub(super) fn push(&mut self, now: Moment, target: Target, item: Item) {
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
        queue.waiting.push(Waiting { item, sends: 0, next: now });
    }

    /// When the next one is due.
    pub(super) fn next(&self) -> Option<Moment> {
        self.queues.values().map(|queue| queue.earliest).min()
    }

    /// What a host has taken.
    pub(super) fn acknowledge(&mut self, run: Run, taken: &[(Run, Number)]) {
        let is_taken = |one: &Waiting| taken.contains(&(one.item.origin, one.item.number));
        for (_, queue) in self.of(run) {
            queue.waiting.retain(|one| !is_taken(one));
        }
        self.remove_empty();
    }

    /// Gives up on what is meant for a run that is over.
    pub(super) fn abandon(&mut self, run: Run) {
        self.queues.retain(|target, _| target.run != run);
        self.remove_empty();
    }

    /// What is due, in batches that fit a datagram.
    pub(super) fn due(&mut self, now: Moment) -> Vec<(SocketAddr, Vec<Item>)> {
        let mut batches = Vec::new();
        for (target, queue) in self.queues.iter_mut().filter(|(_, queue)| queue.earliest <= now) {
            let before = queue.waiting.len();
            queue.waiting.retain(|one| now < one.next || one.sends < MAX_SENDS);
            self.lost += (before - queue.waiting.len()) as u64;
            batches.extend(pack(queue.due(now)).into_iter().map(|batch| (target.address, batch)));
        }
        self.remove_empty();
        batches
    }

    /// Queues for a run: one for each address that it was known at.
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
    /// Takes what is due, which is due again later.
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

/// Puts things into batches that each fit a datagram.
pub(super) fn pack<T: Serialize>(items: impl IntoIterator<Item = T>) -> Vec<Vec<T>> {
    const ROOM: usize = wire::DATAGRAM_BYTES - wire::HEAD_BYTES;
    let (mut batches, mut left) = (Vec::<Vec<T>>::new(), 0);
    for item in items {
        let size = wire::size(&item);
        match batches.last_mut() {
            Some(batch) if size <= left => {
                left -= size;
                batch.push(item);
            }
            _ => {
                left = ROOM.saturating_sub(size);
                batches.push(vec![item]);
            }
        }
    }
    batches
}

/// Which notices of a run were seen.
#[derive(Debug, Default)]
pub(super) struct Window {
    highest: Number,
    /// Bit n stands for the number n below the top.
    seen: u128,
    pub(super) last_used: Moment,
}

impl Window {
    /// Whether this is the first sight of a number; too old ones count as seen.
    pub(super) fn is_first(&mut self, number: Number) -> bool {
        if number > self.highest || self.seen == 0 {
            let shift = number.saturating_sub(self.highest);
            self.seen = if shift < WINDOW_BITS { self.seen << shift } else { 0 } | 1;
            self.highest = number;
            return true;
        }
        let below = self.highest - number;
        if below >= WINDOW_BITS || self.seen & (1 << below) != 0 {
            return false;
        }
        self.seen |= 1 << below;
        true
    }
}
