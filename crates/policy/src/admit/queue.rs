//! Queue of one model or group, ordered by priority, then by share, then by due time.
//!
//! Shares are kept by virtual time: each start advances the virtual time of its customer, and of
//! its service within the customer, by the inverse of the share, and the one with the lowest
//! virtual time is next. A customer or service that was idle starts at no less than the lowest
//! virtual time of the waiting ones, so that it gains no advance by being idle.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{LOWER_EVERY, Outlook, Request, Ticket};
use crate::{
    route::DestinationIndex,
    share::{Cost, VirtualTime},
};

/// Cost of one start.
const START_COST: Cost = 1;

/// Window of the moving average of each class's share of the starts, in starts.
const STARTS_WINDOW: f64 = 64.0;

/// Waiting requests of one service for the same destination, by due time.
#[derive(Clone, Debug, Default)]
struct Flow {
    virtual_time: VirtualTime,
    share: u32,
    waiting: BTreeMap<(Moment, Ticket), Request>,
}

/// Flows of one customer.
#[derive(Clone, Debug, Default)]
struct Account {
    virtual_time: VirtualTime,
    share: u32,
    flows: BTreeMap<(service::Id, DestinationIndex), Flow>,
}

/// Waiting requests of one priority class.
#[derive(Clone, Debug, Default)]
struct Class {
    accounts: BTreeMap<customer::Id, Account>,
    waiting: usize,
    /// Share of the class in the recent starts, from 0 to 1.
    starts: f64,
}

/// Waiting requests of one model or group.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: [Class; Priority::ALL.len()],
    index: BTreeMap<Ticket, (Priority, customer::Id, service::Id, DestinationIndex, Moment)>,
    starts: u32,
}

impl Queue {
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Estimates how many waiting requests would start before this one if it were added.
    pub fn ahead(&self, request: &Request) -> usize {
        let higher = self.higher(request.priority);
        let class = &self.classes[request.priority as usize];
        let before = class
            .accounts
            .get(&request.customer)
            .and_then(|account| account.flows.get(&(request.service.clone(), request.wanted)))
            .map_or(0, |flow| flow.waiting.range(..(request.due, request.ticket)).count());
        higher + class.ahead_in_class(&request.customer, request, before)
    }

    /// Estimates how long a request at this position, counted from one, waits: one start for each
    /// request that ends, at the part of the starts that higher classes leave.
    pub fn wait(&self, position: usize, priority: Priority, outlook: &Outlook) -> Duration {
        if outlook.in_flight == 0 {
            return Duration::ZERO;
        }
        let to_higher: f64 =
            self.classes[priority as usize + 1..].iter().map(|class| class.starts).sum();
        let part = (1.0 - to_higher).max(1.0 / f64::from(LOWER_EVERY));
        let each = outlook.hold.as_secs_f64() / f64::from(outlook.in_flight);
        Duration::try_from_secs_f64(position as f64 * each / part).unwrap_or(Duration::MAX / 4)
    }

    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        self.index.insert(
            request.ticket,
            (
                request.priority,
                request.customer.clone(),
                request.service.clone(),
                request.wanted,
                request.due,
            ),
        );
        self.classes[request.priority as usize].push(request);
    }

    /// Removes and returns the next request whose destination has room.
    pub fn pop(&mut self, room: impl Fn(DestinationIndex) -> u32) -> Option<Request> {
        let lower_first = self.starts % LOWER_EVERY == LOWER_EVERY - 1;
        let mut order: Vec<usize> =
            (0..self.classes.len()).rev().filter(|at| 0 < self.classes[*at].waiting).collect();
        if lower_first && 1 < order.len() {
            order.swap(0, 1);
        }
        let request = order.into_iter().find_map(|at| self.classes[at].pop(&room))?;
        self.index.remove(&request.ticket);
        self.started(request.priority);
        Some(request)
    }

    /// Records that a request of this priority started, from the queue or without waiting.
    pub fn started(&mut self, priority: Priority) {
        self.starts = self.starts.wrapping_add(1);
        for (at, class) in self.classes.iter_mut().enumerate() {
            let sample = if at == priority as usize { 1.0 } else { 0.0 };
            class.starts += (sample - class.starts) / STARTS_WINDOW;
        }
    }

    /// Removes and returns the request with the latest due time of the least urgent class that has
    /// waiting requests; `None` if no class below this priority has any.
    pub fn displace(&mut self, priority: Priority) -> Option<Request> {
        let class = self.classes[..priority as usize].iter().find(|class| 0 < class.waiting)?;
        let ticket = class
            .flows()
            .filter_map(|flow| flow.waiting.keys().next_back())
            .max()
            .map(|(_, ticket)| *ticket)?;
        self.remove(ticket)
    }

    /// Removes and returns the request with this number; `None` if it does not wait.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let (priority, customer, service, wanted, due) = self.index.remove(&ticket)?;
        let class = &mut self.classes[priority as usize];
        let flow = class.accounts.get_mut(&customer)?.flows.get_mut(&(service, wanted))?;
        let request = flow.waiting.remove(&(due, ticket))?;
        class.waiting -= 1;
        Some(request)
    }

    /// Waiting requests, each with its estimated position in order of start, counted from one.
    pub fn positions(&self) -> impl Iterator<Item = (usize, &Request)> {
        Priority::ALL.into_iter().flat_map(move |priority| {
            let class = &self.classes[priority as usize];
            let higher = self.higher(priority);
            class.flows().flat_map(move |flow| {
                flow.waiting.values().enumerate().map(move |(before, request)| {
                    (higher + class.ahead_in_class(&request.customer, request, before) + 1, request)
                })
            })
        })
    }

    fn higher(&self, priority: Priority) -> usize {
        self.classes[priority as usize + 1..].iter().map(|class| class.waiting).sum()
    }
}

impl Class {
    fn flows(&self) -> impl Iterator<Item = &Flow> {
        self.accounts.values().flat_map(|account| account.flows.values())
    }

    fn push(&mut self, request: Request) {
        let min_virtual_time =
            self.accounts.values().filter(|a| a.is_waiting()).map(|a| a.virtual_time).min();
        let account = self.accounts.entry(request.customer.clone()).or_default();
        if !account.is_waiting() {
            account.virtual_time.join(min_virtual_time);
        }
        account.share = request.customer_share.max(1);
        account.push(request);
        self.waiting += 1;
    }

    fn pop(&mut self, room: impl Fn(DestinationIndex) -> u32) -> Option<Request> {
        let account = self
            .accounts
            .values_mut()
            .filter(|account| {
                account.flows.iter().any(|((_, wanted), flow)| flow.has_room(*wanted, &room))
            })
            .min_by_key(|account| account.virtual_time)?;
        account.virtual_time.charge(START_COST, account.share);
        let ((_, _), flow) = account
            .flows
            .iter_mut()
            .filter(|((_, wanted), flow)| flow.has_room(*wanted, &room))
            .min_by_key(|(_, flow)| flow.virtual_time)?;
        flow.virtual_time.charge(START_COST, flow.share);
        let (_, request) = flow.waiting.pop_first()?;
        self.waiting -= 1;
        Some(request)
    }

    /// Estimates how many requests of this class start before one that has `before` requests of its
    /// own flow ahead of it, if flows take turns by their shares.
    fn ahead_in_class(&self, customer: &customer::Id, request: &Request, before: usize) -> usize {
        let own_weight = f64::from(request.customer_share.max(1));
        let own_services: f64 = self.accounts.get(customer).map_or(0.0, |account| {
            account.weight_without(&(request.service.clone(), request.wanted))
        }) + f64::from(request.service_share.max(1));
        let own_part = own_weight * f64::from(request.service_share.max(1)) / own_services;
        let turns = (before + 1) as f64 / own_part;
        self.accounts
            .iter()
            .flat_map(|(id, account)| {
                let (weight, all) = if id == customer {
                    (own_weight, own_services)
                } else {
                    (f64::from(account.share), account.weight())
                };
                account.flows.iter().map(move |(key, flow)| {
                    let own = id == customer && key.0 == request.service && key.1 == request.wanted;
                    let part = weight * f64::from(flow.share) / all;
                    match own {
                        true => before,
                        false => flow.waiting.len().min((turns * part) as usize),
                    }
                })
            })
            .sum()
    }
}

impl Account {
    fn is_waiting(&self) -> bool {
        self.flows.values().any(|flow| !flow.waiting.is_empty())
    }

    fn weight(&self) -> f64 {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        waiting.map(|flow| f64::from(flow.share)).sum::<f64>().max(1.0)
    }

    fn weight_without(&self, own: &(service::Id, DestinationIndex)) -> f64 {
        let others =
            self.flows.iter().filter(|(key, flow)| *key != own && !flow.waiting.is_empty());
        others.map(|(_, flow)| f64::from(flow.share)).sum()
    }

    fn push(&mut self, request: Request) {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        let min_virtual_time = waiting.map(|flow| flow.virtual_time).min();
        let flow = self.flows.entry((request.service.clone(), request.wanted)).or_default();
        if flow.waiting.is_empty() {
            flow.virtual_time.join(min_virtual_time);
        }
        flow.share = request.service_share.max(1);
        flow.waiting.insert((request.due, request.ticket), request);
    }
}

impl Flow {
    fn has_room(&self, wanted: DestinationIndex, room: impl Fn(DestinationIndex) -> u32) -> bool {
        !self.waiting.is_empty() && 0 < room(wanted)
    }
}
