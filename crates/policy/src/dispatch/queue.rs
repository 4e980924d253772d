//! Requests of one service that wait on this host.
//!
//! The order is by priority, and within a priority by [`Class`]: requests that were sent to a
//! server before, then those that can still be on time, then late ones. If late requests kept their
//! position instead, they would, under overload, make each request behind them late too. Within a
//! class, customers take turns by virtual time, and of one customer's requests the one that must be
//! sent earliest is first.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use super::request::{LEAST_URGENT, Ticket};
use crate::{
    route::Index,
    share::{Cost, Group, Shares},
};

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

/// Position of a request in the queue, among those of its customer.
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
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    pub model: Option<Index>,
    pub group: Group,
    pub haste: Haste,
}

/// What a request takes of its group's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    pub cost: Cost,
    pub weight: u32,
}

/// Waiting requests of one priority, class and group, by the time at which they must be sent.
type Line = BTreeMap<(Moment, Ticket), Charge>;

#[derive(Clone, Debug, Default)]
pub struct Queue {
    lines: BTreeMap<(u8, Class, Group), Line>,
    expiries: BTreeSet<(Moment, Ticket)>,
    counts: BTreeMap<Flow, [u32; PRIORITIES]>,
    /// Weights of the groups that wait.
    weights: BTreeMap<Group, u32>,
    /// Virtual times by priority.
    shares: BTreeMap<u8, Shares>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Adds a request of this flow, which is given up at `give_up`.
    pub fn add(&mut self, key: Key, flow: Flow, charge: Charge, give_up: Moment) {
        if !self.is_waiting(key.priority, &flow.group) {
            self.shares.entry(key.priority).or_default().join(&flow.group);
        }
        self.weights.insert(flow.group.clone(), charge.weight.max(1));
        let line = self.lines.entry((key.priority, key.class, flow.group.clone())).or_default();
        line.insert((key.send_by, key.ticket), charge);
        self.expiries.insert((give_up, key.ticket));
        self.counts.entry(flow).or_default()[usize::from(key.priority)] += 1;
    }

    pub fn remove(&mut self, key: Key, flow: Flow, give_up: Moment) {
        let at = (key.priority, key.class, flow.group.clone());
        let Some(line) = self.lines.get_mut(&at) else { return };
        if line.remove(&(key.send_by, key.ticket)).is_none() {
            return;
        }
        if line.is_empty() {
            self.lines.remove(&at);
        }
        self.expiries.remove(&(give_up, key.ticket));
        if let Some(counts) = self.counts.get_mut(&flow) {
            let count = &mut counts[usize::from(key.priority)];
            *count = count.saturating_sub(1);
            if *counts == [0; PRIORITIES] {
                self.counts.remove(&flow);
            }
        }
        if !self.counts.keys().any(|other| other.group == flow.group) {
            self.weights.remove(&flow.group);
        }
    }

    /// Records that a request of the group starts.
    pub fn started(&mut self, priority: u8, group: &Group, charge: Charge) {
        let is_waiting = self.is_waiting(priority, group);
        let shares = self.shares.entry(priority).or_default();
        if !is_waiting {
            shares.join(group);
        }
        shares.charge(group, charge.cost, charge.weight);
    }

    /// Number of requests for the same model that are served before a new one of this flow, priority
    /// and weight. Deferrable requests of its own priority are not served before an urgent one, and
    /// groups take turns.
    pub fn ahead(&self, flow: &Flow, priority: u8, weight: u32) -> u32 {
        let priority = usize::from(priority);
        let (mut higher, mut own) = (0, 0);
        let mut others: BTreeMap<&Group, u32> = BTreeMap::new();
        for (other, counts) in self.counts.iter().filter(|(other, _)| other.model == flow.model) {
            higher += counts[..priority].iter().sum::<u32>();
            let count = counts[priority];
            match () {
                () if flow.haste < other.haste => {}
                () if other.group == flow.group => own += count,
                () => *others.entry(&other.group).or_default() += count,
            }
        }
        let turns = (f64::from(own) + 1.0) / f64::from(weight.max(1));
        let before = |group: &Group, count: u32| {
            let weight = self.weights.get(group).copied().unwrap_or(1);
            count.min((turns * f64::from(weight)).ceil() as u32)
        };
        let others: u32 = others.into_iter().map(|(group, count)| before(group, count)).sum();
        higher + own + others
    }

    /// Number of deferrable requests.
    pub fn deferrable(&self) -> u32 {
        let flows = self.counts.iter().filter(|(flow, _)| flow.haste == Haste::Deferrable);
        flows.map(|(_, counts)| counts.iter().sum::<u32>()).sum()
    }

    /// Flows with waiting requests.
    pub fn flows(&self) -> impl Iterator<Item = &Flow> {
        self.counts.keys()
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
        let class = Class::OnTime;
        let heads = self
            .lines
            .range((priority, class, None)..(priority, Class::Late, None))
            .filter_map(|(_, line)| line.keys().next());
        let (send_by, ticket) = *heads.min()?;
        (send_by < now).then_some(Key { priority, class, send_by, ticket })
    }

    /// Requests in the order of service, `most` of them.
    pub fn first(&self, most: usize) -> Vec<Key> {
        let mut first = Vec::new();
        let mut lines = self.lines.iter().peekable();
        while let Some(((priority, class, _), _)) = lines.peek().copied()
            && first.len() < most
        {
            let mut turns = Vec::new();
            while let Some(((_, _, group), line)) =
                lines.next_if(|((p, c, _), _)| (p, c) == (priority, class))
            {
                let time = self.shares.get(priority).map(|shares| shares.of(group));
                turns.push((time.unwrap_or_default(), line.iter().peekable()));
            }
            while first.len() < most {
                let heads = turns.iter_mut().filter_map(|(time, line)| {
                    let (at, charge) = line.peek().copied()?;
                    Some(((*time, *at), *charge, time, line))
                });
                let Some((_, charge, time, line)) = heads.min_by_key(|(order, ..)| *order) else {
                    break;
                };
                time.charge(charge.cost, charge.weight);
                let keys = line.next().map(|(at, _)| *at);
                first.extend(keys.map(|(send_by, ticket)| Key {
                    priority: *priority,
                    class: *class,
                    send_by,
                    ticket,
                }));
            }
        }
        first
    }

    fn is_waiting(&self, priority: u8, group: &Group) -> bool {
        let classes = [Class::Retried, Class::OnTime, Class::Late];
        classes.into_iter().any(|class| self.lines.contains_key(&(priority, class, group.clone())))
    }
}
