//! Beliefs: what a process takes to be true about itself and the system.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{
    adapter, backend, customer, host, model,
    order::Fence,
    routed::{Sequence, Version},
    service,
};

use super::text::{maybe, millis};
use crate::event::Text;

/// A change in what the process takes to be true, with the reason for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Belief {
    /// The process has started.
    Start {
        /// The program's version.
        program: Text,
        /// The settings in force, without secrets.
        settings: serde_json::Value,
    },
    /// The settings were reloaded.
    Reload {
        /// The settings in force, without secrets.
        settings: serde_json::Value,
    },
    /// The process is about to stop.
    Stop {
        /// Reason for the stop.
        why: Text,
    },
    /// A declaration has come into force on this host.
    Declaration {
        /// Number of the declaration.
        version: Version,
        /// Where the declaration was received from.
        from: Source,
    },
    /// A declaration has changed the customers, or their keys or limits. Neither the keys nor their
    /// digests are logged.
    Customers {
        /// Number of the declaration.
        version: Version,
        /// Names of the customers that were added.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        added: Vec<customer::Id>,
        /// Names of the customers that were removed.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        removed: Vec<customer::Id>,
        /// Number of keys that a customer holds and did not hold before.
        keys_added: u32,
        /// Number of keys that a customer held before. A key that has moved counts in both numbers.
        keys_removed: u32,
        /// Names of the customers whose quota, priority or weight has changed.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        limits_changed: Vec<customer::Id>,
    },
    /// The state of a server changed.
    Server {
        /// The run of the server's process.
        server: backend::Id,
        /// The new state.
        standing: ServerStanding,
        /// Where the information was received from.
        from: Source,
        /// The server's service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        service: Option<service::Id>,
        /// The address that the server listens on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        address: Option<SocketAddr>,
        /// Evidence for the new state.
        why: Text,
    },
    /// The source from which this host fetches changes of the servers changed.
    ServerSource {
        /// The new source.
        from: Source,
        /// Time since the store confirmed the first list from this source.
        #[serde(rename = "age_ms", with = "types::time::millis")]
        age: Duration,
        /// Reason for the change.
        why: Text,
    },
    /// The state of another host changed.
    Peer {
        /// The other host.
        peer: host::Id,
        /// The new state.
        standing: PeerStanding,
    },
    /// The state of a lease changed.
    Lease {
        /// Name of the duty that the lease is for.
        duty: Text,
        /// The new state.
        state: LeaseState,
        /// Term of the lease, which is its fencing number.
        fence: Fence,
        /// Time for which this host may still act under the lease.
        #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
        left: Option<Duration>,
        /// Reason for the change.
        why: Text,
    },
    /// A model or adapter that the planner wants to load but can't order yet.
    Wish {
        /// The wanted model, or the base model of the adapter.
        model: model::Id,
        /// The wanted adapter.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<adapter::Id>,
        /// Number of servers on which the model or adapter is loaded.
        replicas: u32,
        /// Time for which the model or adapter has been wanted.
        #[serde(with = "millis")]
        since: Duration,
        /// Stable identifier of the obstacle.
        why: Text,
    },
    /// An order that the planner has decided on.
    Placement {
        /// The server that the order is for.
        server: backend::Id,
        /// Stable identifier of the action.
        action: Text,
        /// The model, or the base model of the adapter.
        model: model::Id,
        /// The adapter, if the order is for one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<adapter::Id>,
        /// Demand in requests per second; `None` if the planner does not report it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        demand: Option<f64>,
        /// Number of servers on which the model or adapter is loaded.
        replicas: u32,
        /// Stable identifier of the reason.
        why: Text,
    },
    /// An order was sent to a server, and was answered or timed out.
    Order {
        /// The server that the order was sent to.
        server: backend::Id,
        /// Stable identifier of the action.
        action: Text,
        /// The model, or the base model of the adapter.
        model: model::Id,
        /// The adapter, if the order is for one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<adapter::Id>,
        /// Term of the lease that the order was sent under.
        fence: Fence,
        /// Number of orders that the server was expected to have accepted before.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected: Option<Sequence>,
        /// The server's response.
        answer: Answer,
        /// Time until the response.
        #[serde(with = "millis")]
        took: Duration,
    },
    /// A server's limit on the rate of requests from all hosts together changed.
    Limit {
        /// The server that states the limit.
        server: backend::Id,
        /// Previous limit in requests per second; `None` for no limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        before: Option<f64>,
        /// New limit in requests per second; `None` for no limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        now: Option<f64>,
        /// Where the information was received from.
        from: Source,
    },
    /// The servers of a service state another number of rejections that they tolerate.
    Tolerance {
        /// The service.
        service: service::Id,
        /// Rejections in a second, over all hosts, after which a server falls over; `None` if its
        /// servers state none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rejections: Option<u32>,
    },
    /// The servers of a service differ in speed, or differ more or less than before.
    Speeds {
        /// The service.
        service: service::Id,
        /// Processing time of the fastest server, relative to the median.
        least: f64,
        /// Processing time of the slowest server, relative to the median.
        most: f64,
    },
    /// The path to a server changed.
    Path {
        /// The server.
        server: backend::Id,
        /// The new state.
        state: PathState,
        /// The host that connected to the server when this host could not.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        via: Option<host::Id>,
    },
    /// The state of a request fingerprint in the quarantine for requests that crash servers
    /// changed.
    Poison {
        /// Fingerprint of the requests.
        fingerprint: Text,
        /// The new state.
        state: PoisonState,
        /// Number of observed crashes.
        crashes: u32,
        /// The server that crashed last.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        server: Option<backend::Id>,
        /// The observed crashes.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        evidence: Vec<ObservedCrash>,
    },
    /// A dependency of the process became unavailable or available again.
    Dependency {
        /// Stable name of the dependency.
        name: Text,
        /// The new state.
        state: DependencyState,
        /// Description of the cause.
        why: Text,
    },
    /// Records were dropped from the log since the last line of this kind.
    Dropped {
        /// Number of records dropped because the queue was full.
        full: u64,
        /// Number of records dropped because the rate limit was reached.
        #[serde(rename = "ceiling")]
        rate_limited: u64,
        /// Number of dropped records that were about plans.
        #[serde(default, skip_serializing_if = "is_zero")]
        plans: u64,
    },
}

impl Belief {
    /// Returns the server that the belief is about, if any.
    pub fn server(&self) -> Option<&backend::Id> {
        match self {
            Belief::Server { server, .. }
            | Belief::Placement { server, .. }
            | Belief::Order { server, .. }
            | Belief::Limit { server, .. }
            | Belief::Path { server, .. } => Some(server),
            Belief::Poison { server, .. } => server.as_ref(),
            _ => None,
        }
    }

    /// Returns whether the belief is logged as a plan, as are starts, declarations, leases, orders,
    /// changes of dependencies and departures of servers. Plans explain all other lines, and are the
    /// last to be dropped from the log.
    pub fn is_plan(&self) -> bool {
        match self {
            Belief::Start { .. }
            | Belief::Reload { .. }
            | Belief::Stop { .. }
            | Belief::Declaration { .. }
            | Belief::Customers { .. }
            | Belief::Lease { .. }
            | Belief::Wish { .. }
            | Belief::Placement { .. }
            | Belief::Order { .. }
            | Belief::ServerSource { .. }
            | Belief::Server { standing: ServerStanding::Leaving | ServerStanding::Gone, .. }
            | Belief::Dependency { .. } => true,
            Belief::Server { .. }
            | Belief::Peer { .. }
            | Belief::Limit { .. }
            | Belief::Path { .. }
            | Belief::Tolerance { .. }
            | Belief::Speeds { .. }
            | Belief::Poison { .. }
            | Belief::Dropped { .. } => false,
        }
    }

    /// Returns the term of the lease that the belief belongs to, if any.
    pub fn fence(&self) -> Option<Fence> {
        match self {
            Belief::Lease { fence, .. } | Belief::Order { fence, .. } => Some(*fence),
            _ => None,
        }
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// Where a piece of information was received from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The object store.
    Store,
    /// Another host.
    Peer(host::Id),
    /// The subject itself, by a response or by the lack of one.
    Itself,
}

/// State of a server, as seen by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerStanding {
    /// Newly registered, and accepts work.
    Seen,
    /// About to stop.
    Leaving,
    /// Removed.
    Gone,
    /// Suspected to have failed.
    Suspected,
    /// No longer suspected.
    Back,
}

/// How this host reaches a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PathState {
    /// By its own connections.
    Direct,
    /// Through other hosts, as its own connections fail.
    Relayed,
}

/// State of another host, as seen by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerStanding {
    /// Messages from the host are received.
    Seen,
    /// No messages from the host are received.
    Silent,
}

/// State of a lease, as seen by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// This host has acquired the lease.
    Gained,
    /// Renewed, but later than planned.
    RenewedLate,
    /// The lease expired, or another host acquired it.
    Lost,
    /// This host has released the lease.
    Released,
}

/// Response of a server to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The order is being carried out.
    Accepted,
    /// The requested state holds already.
    Holds,
    /// Another order is in progress, or the server has accepted more orders than expected.
    Conflict,
    /// The server has seen a higher term.
    Stale,
    /// The order reached another run of the server.
    OtherRun,
    /// The order can't be carried out.
    Rejected,
    /// No response was received; the order may have been carried out, or may still be.
    None,
}

/// State of a request fingerprint in the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoisonState {
    /// Such a request was running when a server crashed.
    Suspected,
    /// Enough crashes count for such requests to be refused.
    Confirmed,
    /// Too few crashes still count for such requests to be suspected.
    Cleared,
}

/// A crash of a server while it was running a request of the fingerprint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedCrash {
    /// The run of the server that crashed.
    pub server: backend::Id,
    /// The host that observed the crash.
    pub witness: host::Id,
    /// Stable identifier for whether other requests were running there too.
    pub role: Text,
    /// Whether the crash counts. It does not if the server responded later, or if the request was
    /// completed.
    pub counts: bool,
    /// Time since the crash was observed.
    #[serde(rename = "age_ms", with = "types::time::millis")]
    pub age: Duration,
}

/// Availability of a dependency of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DependencyState {
    /// The dependency does not respond.
    Lost,
    /// The dependency responds again.
    Regained,
}
