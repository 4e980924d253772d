//! The bounded ring that holds a host's last events.
//!
//! Two queues, one for each [`Class`], so that a rush of requests can't push out the order or the
//! lease that explains it. Sequence numbers run over both, so a gap shows what was dropped.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use types::host;

use crate::{
    clock::{Clock, Stamp},
    event::{Class, Event, Record},
};

/// Events of requests that a ring holds unless told otherwise.
pub const REQUEST_EVENTS: usize = 16 * 1024;

/// Events of the system's own work that a ring holds unless told otherwise.
pub const CONTROL_EVENTS: usize = 8 * 1024;

/// A host's last events.
#[derive(Debug)]
pub struct Ring {
    host: host::Id,
    incarnation: host::Incarnation,
    clock: Clock,
    request_capacity: usize,
    control_capacity: usize,
    queues: Mutex<Queues>,
}

#[derive(Debug, Default)]
struct Queues {
    sequence: u64,
    dropped: u64,
    request: VecDeque<Record>,
    control: VecDeque<Record>,
}

impl Ring {
    /// A ring of the usual size.
    pub fn new(host: host::Id, incarnation: host::Incarnation, clock: Clock) -> Ring {
        Ring {
            host,
            incarnation,
            clock,
            request_capacity: REQUEST_EVENTS,
            control_capacity: CONTROL_EVENTS,
            queues: Mutex::default(),
        }
    }

    /// Holds this many events of one class, at least one.
    #[must_use]
    pub fn capacity(mut self, class: Class, events: usize) -> Ring {
        match class {
            Class::Request => self.request_capacity = events.max(1),
            Class::Control => self.control_capacity = events.max(1),
        }
        self
    }

    /// The clock that stamps its events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Stamps an event and keeps it, in place of the oldest of its class when that is full.
    pub fn record(&self, event: Event) -> Stamp {
        let class = event.kind.class();
        let mut queues = self.lock();
        // Stamped under the lock, so that sequence numbers and stamps rise together.
        let at = self.clock.stamp();
        let sequence = queues.sequence;
        queues.sequence += 1;
        let (host, incarnation) = (self.host.clone(), self.incarnation);
        let record = Record { at, host, incarnation, sequence, event };
        let dropped = match class {
            Class::Request => push(&mut queues.request, record, self.request_capacity),
            Class::Control => push(&mut queues.control, record, self.control_capacity),
        };
        queues.dropped += dropped;
        at
    }

    /// The events that it holds, in order.
    pub fn records(&self) -> Vec<Record> {
        let queues = self.lock();
        let mut records: Vec<Record> =
            queues.request.iter().chain(&queues.control).cloned().collect();
        drop(queues);
        records.sort_unstable_by_key(|record| record.sequence);
        records
    }

    /// How many events were dropped to make room.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Queues> {
        // A panic elsewhere can't leave a queue half changed.
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds a record and returns how many were dropped for it.
fn push(queue: &mut VecDeque<Record>, record: Record, capacity: usize) -> u64 {
    let full = capacity <= queue.len();
    if full {
        queue.pop_front();
    }
    queue.push_back(record);
    u64::from(full)
}
