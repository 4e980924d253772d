//! Updates waiting to be piggybacked on heartbeats.
//!
//! Each update is sent a number of times that grows with the logarithm of the fleet, the least
//! often sent first. A newer update about the same subject replaces the older one. The queue is
//! bounded: the platform's list and direct contact make up for dropped updates.

use std::{cmp::Reverse, collections::BTreeMap};

use types::{backend, host};

use super::heartbeat::Update;

/// Sends of an update for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 2;

/// Maximum number of queued updates.
const CAPACITY: usize = 512;

/// Updates waiting to be piggybacked on heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: BTreeMap<Key, Entry>,
    next: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Host(host::Id),
    Server(backend::Id, host::Id),
}

#[derive(Clone, Debug)]
struct Entry {
    update: Update,
    bytes: usize,
    sent: u32,
    order: u64,
}

impl Queue {
    /// Adds an update, in place of an older one about the same subject; drops the most often sent
    /// one if the queue is full.
    pub fn push(&mut self, update: Update) {
        let bytes = serde_json::to_string(&update).map_or(0, |text| text.len()) + 1;
        let entry = Entry { update, bytes, sent: 0, order: self.next };
        self.next += 1;
        self.entries.insert(key(&entry.update), entry);
        if CAPACITY < self.entries.len() {
            self.drop_most_sent();
        }
    }

    /// Returns the updates for one heartbeat, at most `bytes` together, and drops those sent often
    /// enough for a fleet of `hosts`.
    pub fn take(&mut self, bytes: usize, hosts: usize) -> Vec<Update> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let mut waiting: Vec<&mut Entry> = self.entries.values_mut().collect();
        waiting.sort_by_key(|entry| (entry.sent, Reverse(entry.order)));
        let mut left = bytes;
        let mut taken = Vec::new();
        for entry in waiting {
            if left < entry.bytes {
                continue;
            }
            left -= entry.bytes;
            entry.sent += 1;
            taken.push(entry.update.clone());
        }
        let enough = SENDS_PER_DOUBLING * (usize::BITS - hosts.leading_zeros());
        self.entries.retain(|_, entry| entry.sent < enough);
        taken
    }

    /// Number of queued updates.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_most_sent(&mut self) {
        let most = self.entries.iter().max_by_key(|(_, entry)| (entry.sent, Reverse(entry.order)));
        if let Some(key) = most.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }
}

fn key(update: &Update) -> Key {
    match update {
        Update::Host(status) => Key::Host(status.id.clone()),
        Update::Server(observation) => {
            Key::Server(observation.server.clone(), observation.observer.clone())
        }
    }
}
