//! Bounded buffer of a host's latest events.
//!
//! Each [`Class`] has a queue of its own, so that a burst of requests can't evict the order or the
//! lease that explains it. Both queues share the sequence numbers, so a gap shows that events
//! were dropped.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use types::host;

use crate::{
    clock::{Clock, Stamp},
    event::{Class, Event, Record},
};

/// Default capacity for events of requests.
pub const REQUEST_EVENTS: usize = 16 * 1024;

/// Default capacity for control events.
pub const CONTROL_EVENTS: usize = 8 * 1024;

/// Bounded buffer of a host's latest events.
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
    /// Returns a ring of the default capacity for one run of a host.
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

    /// Sets the capacity for events of one class; at least one.
    #[must_use]
    pub fn capacity(mut self, class: Class, events: usize) -> Ring {
        match class {
            Class::Request => self.request_capacity = events.max(1),
            Class::Control => self.control_capacity = events.max(1),
        }
        self
    }

    /// Returns the clock that stamps the events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Stamps and stores an event. If the queue of its class is full, the oldest event is dropped.
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

    /// Returns the stored events in order of their sequence numbers.
    pub fn records(&self) -> Vec<Record> {
        let queues = self.lock();
        let mut records: Vec<Record> =
            queues.request.iter().chain(&queues.control).cloned().collect();
        drop(queues);
        records.sort_unstable_by_key(|record| record.sequence);
        records
    }

    /// Returns the number of events dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Queues> {
        // A panic while the lock is held can't leave a queue in an inconsistent state.
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends a record and returns how many were dropped to make room: 0 or 1.
fn push(queue: &mut VecDeque<Record>, record: Record, capacity: usize) -> u64 {
    let full = capacity <= queue.len();
    if full {
        queue.pop_front();
    }
    queue.push_back(record);
    u64::from(full)
}
