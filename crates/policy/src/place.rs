//! Placement by conditional orders: which model server holds what, and the orders towards it.
//!
//! For deployments whose servers check what an order was worked out from. An [`Order`] names the
//! server's run and the number of orders that it had accepted ([`Order::expected`]); a server whose
//! number has moved on refuses it. So an order that is judged against the whole state at its own
//! number is safe however late it is carried out, whoever else gives orders: if it takes effect,
//! nothing else did in between. No ledger is needed for memory, only care about what a state is
//! (`book`): a state is known from a report or from an accepted order, never guessed from time.
//!
//! Memory is safe by that alone. Reachability is not, since it spans servers: a replica that an
//! unanswered unload may still take is not counted when another one is given up.
//!
//! Order of concern: every model reachable, then twice and in different availability zones, then
//! replicas where they take most heat off the servers for what they cost. Room that nobody needs is
//! left as it is. Adapters follow the requests that ask for them.

mod adapters;
mod demand;
mod draft;
mod eviction;
mod gain;
mod persistence;
mod planner;
mod rate;
mod server_view;
mod store;
mod unplaced;
mod utilization;

use types::{prelude::*, routed::Sequence};

pub use self::{
    demand::Work,
    planner::Planner,
    unplaced::{Obstacle, ReportLimiter, Unplaced},
};

/// What an order asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Take it into memory.
    Load,
    /// Drop it from memory once nothing uses it.
    Unload,
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No server holds the model or adapter.
    Missing,
    /// Too few replicas, or all in one availability zone.
    Spread,
    /// The work asks for another replica.
    Demand,
    /// Makes room for another one.
    Room,
}

/// A conditional order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The run of the server that it is for.
    pub server: backend::Id,
    /// What to do.
    pub operation: Operation,
    /// The model.
    pub model: model::Id,
    /// The adapter of that model; none for the model itself.
    pub adapter: Option<adapter::Id>,
    /// Orders that the server has accepted before; it refuses this one at any other number.
    pub expected: Sequence,
    /// Why.
    pub cause: Cause,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is being carried out.
    Accepted,
    /// It holds already; an adapter that nothing used is unloaded at once.
    AlreadyHolds,
    /// Refused: another one is being carried out.
    Busy,
    /// Refused: the server's number has moved on, or, where servers don't say which, another one is
    /// being carried out.
    Conflict,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
    /// Refused: another run of the server, or the base model is absent.
    NotThere,
}

/// What an installation allows and charges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long an order without an answer may still be carried out.
    pub order_lifetime: Duration,
    /// Part of the weight store's rate that is used.
    pub store_share: f64,
    /// Most loads from the weight store that may start at once after a pause; fewer where the store
    /// is slow, see [`Rules::burst`].
    pub store_burst: f64,
    /// Adapters on their way to one server at once.
    pub adapter_loads_per_server: usize,
    /// Adapters on their way to all servers at once.
    pub adapter_loads_total: usize,
    /// Time over which arrivals are averaged.
    pub demand_time_constant: Duration,
    /// Time over which a rise shows.
    pub rise_time_constant: Duration,
    /// How fast servers work.
    pub throughput: Throughput,
    /// What things are worth.
    pub prices: Prices,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            order_lifetime: Duration::from_secs(15),
            store_share: 0.9,
            store_burst: 12.0,
            adapter_loads_per_server: 4,
            adapter_loads_total: 16,
            demand_time_constant: Duration::from_secs(1),
            rise_time_constant: Duration::from_millis(300),
            throughput: Throughput::default(),
            prices: Prices::default(),
        }
    }
}

/// Loads that may start at once beyond the rate of the slowest store.
const BURST_BEYOND_RATE: f64 = 1.5;

impl Rules {
    /// Loads that may start at once after a pause from a store of this rate, so that those of any
    /// five seconds keep to a tenth over its rate and three more, with one load in doubt to spare.
    #[must_use]
    pub fn burst(&self, loads_per_s: f64) -> f64 {
        self.store_burst.min(loads_per_s + BURST_BEYOND_RATE)
    }
}

/// How fast a server works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throughput {
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_s: f64,
    /// Time for an output token of one request.
    pub output_token_time: Duration,
}

impl Default for Throughput {
    fn default() -> Throughput {
        Throughput { prompt_tokens_per_s: 38_000.0, output_token_time: Duration::from_micros(5600) }
    }
}

/// What things are worth, in one unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// An order.
    pub order: f64,
    /// A load from the weight store.
    pub load: f64,
    /// What a server earns in a second when it is fully used.
    pub server_second: f64,
}

impl Default for Prices {
    fn default() -> Prices {
        Prices { order: 0.036, load: 1.1, server_second: 40.0 }
    }
}
