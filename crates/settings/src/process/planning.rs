//! Settings of planning: which server holds which models, and the orders that load and unload them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::time::millis;

/// Leases, time limits and rates of planning.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Planning {
    /// Time after which a planning lease expires unless it is renewed; milliseconds in JSON.
    #[serde(rename = "lease_ms", with = "millis")]
    pub lease: Duration,
    /// Timeout of an engine's answer to an order; milliseconds in JSON.
    #[serde(rename = "order_ms", with = "millis")]
    pub order: Duration,
    /// Maximum time for which data sent on a connection may still arrive after the connection was
    /// closed; milliseconds in JSON. Memory whose order has an unknown outcome stays reserved for
    /// at least this long.
    #[serde(rename = "linger_ms", with = "millis")]
    pub linger: Duration,
    /// Upper bound on the staleness of the platform's list of hosts; milliseconds in JSON. It must
    /// be longer than the interval between two reads of the list.
    #[serde(rename = "list_lag_ms", with = "millis")]
    pub list_lag: Duration,
    /// Maximum number of loads per second that the weight store serves.
    pub loads_per_second: f64,
    /// Maximum number of concurrent loads at which each still runs at full speed.
    pub loads_at_once: usize,
    /// Maximum number of adapters, over all servers, that the weight store delivers concurrently at
    /// full speed.
    pub adapters_at_once: usize,
}

impl Default for Planning {
    fn default() -> Planning {
        Planning {
            lease: Duration::from_secs(10),
            order: Duration::from_secs(2),
            linger: Duration::from_secs(120),
            list_lag: Duration::from_secs(60),
            loads_per_second: 2.0,
            loads_at_once: 2,
            adapters_at_once: 16,
        }
    }
}
