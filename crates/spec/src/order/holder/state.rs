//! What the world holds: the lease, the hosts, the calls and orders under way, and the server.

use std::{collections::BTreeSet, fmt};

use policy::term::{Lease, OrderLease, Outcome, Revision, StoredLease};
use types::{host, order::Fence};

/// A point in time.
pub type Tick = u8;

/// Everything that decides what may happen next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: Tick,
    pub(super) stored: Option<StoredLease>,
    pub(super) hosts: Vec<Host>,
    pub(super) calls: Vec<Call>,
    pub(super) server: Server,
    pub(super) crashes: u8,
    pub(super) slow: u8,
    pub(super) stops: u8,
}

impl State {
    pub(super) fn call(&mut self, host: usize, body: Body, before: Option<OrderLease>) {
        let incarnation = self.hosts[host].incarnation;
        self.calls.push(Call { host, incarnation, body, awaited: true, before });
    }

    pub(super) fn is_reading(&self, host: usize) -> bool {
        self.calls.iter().any(|call| call.host == host && matches!(call.body, Body::Read(_)))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Host {
    pub(super) incarnation: host::Incarnation,
    pub(super) term: OrderLease,
    /// Fence under which an order was prepared.
    pub(super) hand: Option<Fence>,
    /// Revision that its watch told last.
    pub(super) told: Option<Revision>,
    /// Ticks that its clock did not count.
    pub(super) suspended: Tick,
    /// Fences that it used, where it counts them itself.
    pub(super) fences: BTreeSet<Fence>,
}

/// A call to the store, under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub(super) host: usize,
    pub(super) incarnation: host::Incarnation,
    pub(super) body: Body,
    pub(super) awaited: bool,
    /// The host's term before the call, where the answer's time counts.
    pub(super) before: Option<OrderLease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Body {
    Write(Option<Revision>, Lease),
    Outcome(Outcome),
    Read(Option<StoredLease>),
}

/// An order that has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Order {
    pub(super) host: usize,
    pub(super) fence: Fence,
    /// When it may arrive at the latest.
    pub(super) until: Tick,
}

/// What the server may have seen, or may be about to see.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Server {
    /// The last order of each fence that still counts.
    pub(super) orders: Vec<Order>,
    pub(super) fault: Option<Fault>,
}

impl Server {
    /// Takes in an order that is sent now, and may arrive from now on.
    pub(super) fn may_get(&mut self, now: Tick, order: Order, turn: Tick) {
        let faults = self.orders.iter().find_map(|earlier| earlier.fault(now, &order, turn));
        self.fault = self.fault.or(faults);
        self.orders.retain(|earlier| earlier.fence != order.fence);
        self.orders.push(order);
    }

    /// Forgets orders that can break no rule any more.
    pub(super) fn forget(&mut self, now: Tick, turn: Tick) {
        let highest = self.orders.iter().map(|order| order.fence).max();
        self.orders.retain(|order| now < order.until + turn || Some(order.fence) == highest);
        for order in &mut self.orders {
            order.until = order.until.max(now.saturating_sub(turn));
        }
    }
}

impl Order {
    fn fault(&self, now: Tick, later: &Order, turn: Tick) -> Option<Fault> {
        let is_other = self.host != later.host;
        if is_other && now < self.until + turn {
            return Some(Fault::Turns);
        }
        if is_other && self.fence == later.fence {
            return Some(Fault::Shared);
        }
        let overtakes = self.fence < later.fence && now <= self.until;
        (later.fence < self.fence || overtakes).then_some(Fault::Falls)
    }
}

/// The rule that an order may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Orders of two hosts lie less than a turn apart.
    Turns,
    /// The fence falls.
    Falls,
    /// Two hosts share a fence.
    Shared,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Turns => "orders of two hosts may reach the server within a turn",
            Fault::Falls => "a lower fence may reach the server after a higher one",
            Fault::Shared => "two hosts' orders bore one fence",
        })
    }
}
