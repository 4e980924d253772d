//! Requests of one service that wait on this host.
//!
//! The order is by priority, and within a priority by [`Class`]: requests that were sent to a
//! server before, then those that can still be on time, the one that must be sent earliest first,
//! then late ones. If late requests kept their position instead, they would, under overload, make
//! each request behind them late too.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use super::request::{LEAST_URGENT, Ticket};
use crate::route::Index;

/// Number of priorities.
const PRIORITIES: usize = LEAST_URGENT as usize + 1;

/// Class of a waiting request within its priority, in the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// The request was sent to a server before.
    Retried,
    /// The request can still be on time.
    OnTime,
    /// The request is late; its response is worth only a part of one on time.
    Late,
}

/// Position of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Priority; 0 is served first.
    pub priority: u8,
    pub class: Class,
    /// When the request must be sent to be on time; for [`Class::Retried`] the time at which it was
    /// queued.
    pub send_by: Moment,
    pub ticket: Ticket,
}

/// Whether a request can be deferred in favour of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Haste {
    Urgent,
    Deferrable,
}

/// Requests that are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    pub model: Option<Index>,
    pub haste: Haste,
}

#[derive(Clone, Debug, Default)]
pub struct Queue {
    order: BTreeSet<Key>,
    expiries: BTreeSet<(Moment, Ticket)>,
    counts: BTreeMap<Flow, [u32; PRIORITIES]>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a request of this flow, which is given up at `give_up`.
    pub fn add(&mut self, key: Key, flow: Flow, give_up: Moment) {
        self.order.insert(key);
        self.expiries.insert((give_up, key.ticket));
        self.counts.entry(flow).or_default()[usize::from(key.priority)] += 1;
    }

    pub fn remove(&mut self, key: Key, flow: Flow, give_up: Moment) {
        if !self.order.remove(&key) {
            return;
        }
        self.expiries.remove(&(give_up, key.ticket));
        if let Some(counts) = self.counts.get_mut(&flow) {
            let count = &mut counts[usize::from(key.priority)];
            *count = count.saturating_sub(1);
            if *counts == [0; PRIORITIES] {
                self.counts.remove(&flow);
            }
        }
    }

    /// Number of requests for the same model that are served before a new one of this flow and
    /// priority. Deferrable requests of its own priority are not served before an urgent one.
    pub fn ahead(&self, flow: Flow, priority: u8) -> u32 {
        let of = |haste, priorities: usize| -> u32 {
            let counts = self.counts.get(&Flow { haste, ..flow });
            counts.map_or(0, |counts| counts[..priorities].iter().sum())
        };
        let priority = usize::from(priority);
        match flow.haste {
            Haste::Urgent => of(Haste::Urgent, priority + 1) + of(Haste::Deferrable, priority),
            Haste::Deferrable => {
                of(Haste::Urgent, priority + 1) + of(Haste::Deferrable, priority + 1)
            }
        }
    }

    /// Number of deferrable requests.
    pub fn deferrable(&self) -> u32 {
        let flows = self.counts.iter().filter(|(flow, _)| flow.haste == Haste::Deferrable);
        flows.map(|(_, counts)| counts.iter().sum::<u32>()).sum()
    }

    /// Models that requests wait for, with the number of requests.
    pub fn wanted(&self) -> impl Iterator<Item = (Option<Index>, u32)> {
        let mut wanted: BTreeMap<Option<Index>, u32> = BTreeMap::new();
        for (flow, counts) in &self.counts {
            *wanted.entry(flow.model).or_default() += counts.iter().sum::<u32>();
        }
        wanted.into_iter()
    }

    /// Returns the next request to be given up, if its time has come.
    pub fn next_expired(&self, now: Moment) -> Option<Ticket> {
        self.expiries.first().filter(|(at, _)| *at <= now).map(|(_, ticket)| *ticket)
    }

    /// Returns the first request of this priority in [`Class::OnTime`] if it can no longer be on
    /// time.
    pub fn next_missed(&self, priority: u8, now: Moment) -> Option<Key> {
        let first = Key { priority, class: Class::OnTime, send_by: Duration::ZERO, ticket: 0 };
        let key = self.order.range(first..).next()?;
        let is_on_time = key.priority == priority && key.class == Class::OnTime;
        (is_on_time && key.send_by < now).then_some(*key)
    }

    /// Requests in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = Key> {
        self.order.iter().copied()
    }
}
