//! What the world holds: the lease, the hosts, the calls and orders under way, and the server.

use std::{collections::BTreeSet, fmt};

use policy::term::{Lease, OrderLease, Outcome, Revision, Stored};
use types::{host, order::Fence};

/// A point in time.
pub type Tick = u8;

/// Everything that decides what may happen next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: Tick,
    pub(super) stored: Option<Stored>,
    pub(super) hosts: Vec<Host>,
    pub(super) calls: Vec<Call>,
    pub(super) server: Server,
    pub(super) crashes: u8,
    pub(super) slow: u8,
    pub(super) stops: u8,
}

impl State {
    pub(super) fn call(&mut self, host: usize, body: Body, term_before: Option<OrderLease>) {
        let incarnation = self.hosts[host].incarnation;
        self.calls.push(Call { host, incarnation, body, is_awaited: true, term_before });
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
    pub(super) prepared: Option<Fence>,
    /// Revision that its watch told last.
    pub(super) watched: Option<Revision>,
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
    pub(super) is_awaited: bool,
    /// The host's term before the call, where the answer's time counts.
    pub(super) term_before: Option<OrderLease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Body {
    Write(Option<Revision>, Lease),
    Outcome(Outcome),
    Read(Option<Stored>),
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
    pub(super) violation: Option<Violation>,
}

impl Server {
    /// Takes in an order that is sent now, and may arrive from now on.
    pub(super) fn record_sent(&mut self, now: Tick, order: Order, turn: Tick) {
        let violation = self.orders.iter().find_map(|earlier| earlier.violation(now, &order, turn));
        self.violation = self.violation.or(violation);
        self.orders.retain(|earlier| earlier.fence != order.fence);
        self.orders.push(order);
    }

    /// Forgets orders that can break no rule any more.
    pub(super) fn prune(&mut self, now: Tick, turn: Tick) {
        let highest = self.orders.iter().map(|order| order.fence).max();
        self.orders.retain(|order| now < order.until + turn || Some(order.fence) == highest);
        for order in &mut self.orders {
            order.until = order.until.max(now.saturating_sub(turn));
        }
    }
}

impl Order {
    fn violation(&self, now: Tick, later: &Order, turn: Tick) -> Option<Violation> {
        let is_other = self.host != later.host;
        if is_other && now < self.until + turn {
            return Some(Violation::TooClose);
        }
        if is_other && self.fence == later.fence {
            return Some(Violation::SharedFence);
        }
        let overtakes = self.fence < later.fence && now <= self.until;
        (later.fence < self.fence || overtakes).then_some(Violation::FenceFell)
    }
}

/// The rule that an order may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// Orders of two hosts lie less than a turn apart.
    TooClose,
    /// The fence falls.
    FenceFell,
    /// Two hosts share a fence.
    SharedFence,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Violation::TooClose => "orders of two hosts may reach the server within a turn",
            Violation::FenceFell => "a lower fence may reach the server after a higher one",
            Violation::SharedFence => "two hosts' orders bore one fence",
        })
    }
}
