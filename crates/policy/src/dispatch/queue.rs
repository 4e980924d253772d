//! Requests of one service that wait on this host.
//!
//! Strictly by priority; then those that can still earn all, the earliest due first; then those
//! that are late. Serving the late ones in their turn instead would, under overload, make each
//! request behind them late too.

use std::collections::BTreeSet;

use types::prelude::*;

use super::{
    Map,
    request::{LEAST_URGENT, Ticket},
};
use crate::route::Index;

/// Priorities that there are.
const PRIORITIES: usize = LEAST_URGENT as usize + 1;

/// What a waiting request can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// It goes on what a server had begun.
    Retried,
    /// All.
    OnTime,
    /// A part.
    Late,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Rank; 0 goes first.
    pub priority: u8,
    /// What it can still earn.
    pub class: Class,
    /// When it must be on its way to be in time.
    pub due: Moment,
    /// The request.
    pub ticket: Ticket,
}

/// The queue of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    order: BTreeSet<Key>,
    expiries: BTreeSet<(Moment, Ticket)>,
    counts: Map<Option<Index>, [u32; PRIORITIES]>,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a request that wants this model, until it is given up.
    pub fn add(&mut self, key: Key, model: Option<Index>, give_up: Moment) {
        self.order.insert(key);
        self.expiries.insert((give_up, key.ticket));
        self.counts.entry(model).or_default()[usize::from(key.priority)] += 1;
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: Key, model: Option<Index>, give_up: Moment) {
        if !self.order.remove(&key) {
            return;
        }
        self.expiries.remove(&(give_up, key.ticket));
        if let Some(counts) = self.counts.get_mut(&model) {
            let count = &mut counts[usize::from(key.priority)];
            *count = count.saturating_sub(1);
            if *counts == [0; PRIORITIES] {
                self.counts.remove(&model);
            }
        }
    }

    /// Requests for this model that go before a new one of this priority.
    pub fn ahead(&self, model: Option<Index>, priority: u8) -> u32 {
        let counts = self.counts.get(&model);
        counts.map_or(0, |counts| counts[..=usize::from(priority)].iter().sum())
    }

    /// Models that requests wait for, with their number.
    pub fn wanted(&self) -> impl Iterator<Item = (Option<Index>, u32)> {
        self.counts.iter().map(|(model, counts)| (*model, counts.iter().sum()))
    }

    /// The next request to be given up, if its time has come.
    pub fn next_expired(&self, now: Moment) -> Option<Ticket> {
        self.expiries.first().filter(|(at, _)| *at <= now).map(|(_, ticket)| *ticket)
    }

    /// The first on-time request of this priority, if it can't be in time any more.
    pub fn next_missed(&self, priority: u8, now: Moment) -> Option<Key> {
        let first = Key { priority, class: Class::OnTime, due: Duration::ZERO, ticket: 0 };
        let key = self.order.range(first..).next()?;
        let is_on_time = key.priority == priority && key.class == Class::OnTime;
        (is_on_time && key.due < now).then_some(*key)
    }

    /// In the order in which they are to go.
    pub fn iter(&self) -> impl Iterator<Item = Key> {
        self.order.iter().copied()
    }
}
