//! Placement by conditional orders: decides which model server holds which models and adapters, and
//! which orders lead there.
//!
//! This module is for deployments whose servers check the state that an order is based on. An
//! [`Order`] names the server's run and the number of orders that the run has accepted so far
//! ([`Order::expected`]); a server with another number refuses the order. An order that is checked
//! against the complete state at its own sequence number is therefore safe however late it is
//! carried out and whoever else gives orders: if it takes effect, nothing else did in between.
//! Memory needs no ledger, only a strict definition of a known state (`server_view`): a state comes
//! from a report or from an accepted order and is never inferred from elapsed time.
//!
//! Conditional orders keep memory safe but not reachability, which spans servers: a replica that an
//! unanswered unload may still remove doesn't count when another replica is evicted.
//!
//! Priorities, in order: every model reachable; every model on two servers in different
//! availability zones; further replicas where they reduce the servers' utilization most for their
//! cost. Memory that nothing needs is left as it is. Adapters follow the requests for them.

mod adapters;
mod demand;
mod draft;
mod effort;
mod eviction;
mod gain;
mod headroom;
mod pace;
mod persistence;
mod planner;
mod rate;
mod server_view;
mod store;
mod survey;
mod unplaced;
mod utilization;

use types::{prelude::*, routed::Sequence};

pub use self::{
    demand::Work,
    effort::Effort,
    headroom::Headroom,
    pace::{Pace, RoundUrgency},
    planner::Planner,
    survey::Survey,
    unplaced::{Obstacle, ReportLimiter, Unplaced},
};

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Loads a model or adapter into memory.
    Load,
    /// Removes a model or adapter from memory once no request uses it.
    Unload,
}

/// The reason for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No server holds the model or adapter.
    Missing,
    /// The model has too few replicas, or all of them are in one availability zone.
    Spread,
    /// The offered work needs another replica.
    Demand,
    /// Frees memory or an adapter slot for another model or adapter.
    Room,
}

/// An order that a server carries out only at the expected sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The run of the server that the order is for.
    pub server: backend::Id,
    /// The requested operation.
    pub operation: Operation,
    /// The model to load or unload, or the base model of `adapter`.
    pub model: model::Id,
    /// The adapter to load or unload; `None` for the model itself.
    pub adapter: Option<adapter::Id>,
    /// Number of orders that the server has accepted before this one. A server with another number
    /// refuses the order.
    pub expected: Sequence,
    /// The reason, for logs.
    pub cause: Cause,
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server accepted the order and is carrying it out.
    Accepted,
    /// The requested state holds already. A server also answers so after it has unloaded, at once,
    /// an adapter that no request used.
    AlreadyHolds,
    /// Refused: the server is carrying out another order.
    Busy,
    /// Refused: the server's sequence number isn't the expected one. Servers that don't report the
    /// reason also answer so while another order is being carried out.
    Conflict,
    /// No answer: the order may have been carried out, or may be carried out later.
    Unknown,
    /// Refused: the server is another run, or the base model is absent.
    NotThere,
}

/// Limits, performance figures and prices of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Time after which an order without an answer can no longer be carried out.
    pub order_lifetime: Duration,
    /// Fraction of the weight store's rate that the planner uses.
    pub store_share: f64,
    /// Most loads from the weight store that may start at once after an idle period. A slow store
    /// allows fewer, see [`Rules::burst`].
    pub store_burst: f64,
    /// Most adapter loads in flight to one server.
    pub adapter_loads_per_server: usize,
    /// Most adapter loads in flight to all servers.
    pub adapter_loads_total: usize,
    /// Time constant of the moving average of arrivals.
    pub demand_time_constant: Duration,
    /// Time constant of the faster average in which a rise of demand shows.
    pub rise_time_constant: Duration,
    /// How fast servers process requests.
    pub throughput: Throughput,
    /// Costs and earnings that steps are weighed by.
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

/// Number of loads by which a burst may exceed one second's worth of the store's rate.
const BURST_BEYOND_RATE: f64 = 1.5;

impl Rules {
    /// Returns how many loads may start at once after an idle period, for a store of `loads_per_s`.
    ///
    /// The bound keeps the loads that start in any five seconds, and one more of unknown outcome,
    /// within three plus 1.1 times what the store serves in that time.
    #[must_use]
    pub fn burst(&self, loads_per_s: f64) -> f64 {
        self.store_burst.min(loads_per_s + BURST_BEYOND_RATE)
    }
}

/// Performance of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throughput {
    /// Prompt tokens that a server processes in a second (prefill).
    pub prompt_tokens_per_s: f64,
    /// Time per output token of one request.
    pub output_token_time: Duration,
}

impl Default for Throughput {
    fn default() -> Throughput {
        Throughput { prompt_tokens_per_s: 38_000.0, output_token_time: Duration::from_micros(5600) }
    }
}

/// Costs and earnings, all in one common unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// Cost of an order.
    pub order: f64,
    /// Cost of a load from the weight store.
    pub load: f64,
    /// Earnings of a fully utilized server in a second.
    pub server_second: f64,
}

impl Default for Prices {
    fn default() -> Prices {
        Prices { order: 0.036, load: 1.1, server_second: 40.0 }
    }
}
