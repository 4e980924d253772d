//! What a process holds for true.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{
    adapter, backend, host, model,
    order::Fence,
    routed::{Sequence, Version},
    service,
};

use super::text::{maybe, millis};
use crate::event::Text;

/// A change of what the process holds for true.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Belief {
    /// The process runs.
    Start {
        /// The program's version.
        program: Text,
        /// The settings in force, without secrets.
        settings: serde_json::Value,
    },
    /// The settings were read anew.
    Reload {
        /// The settings in force, without secrets.
        settings: serde_json::Value,
    },
    /// The process is about to end.
    Stop {
        /// Why.
        why: Text,
    },
    /// A declaration is in force here.
    Declaration {
        /// Its number.
        version: Version,
        /// From where it was heard.
        from: Source,
    },
    /// A server's standing changed.
    Server {
        /// This run of the server's process.
        server: backend::Id,
        /// Its new standing.
        standing: ServerStanding,
        /// From where that was heard.
        from: Source,
        /// Its service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        service: Option<service::Id>,
        /// Where it listens.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        address: Option<SocketAddr>,
        /// What spoke for it.
        why: Text,
    },
    /// Another host's standing changed.
    Peer {
        /// The host.
        peer: host::Id,
        /// Its new standing.
        standing: PeerStanding,
    },
    /// What became of a lease.
    Lease {
        /// What it is for.
        duty: Text,
        /// What became of it.
        state: LeaseState,
        /// Its fencing number: its term.
        fence: Fence,
        /// How long this host may still act under it.
        #[serde(default, with = "maybe", skip_serializing_if = "Option::is_none")]
        left: Option<Duration>,
        /// Why.
        why: Text,
    },
    /// What the planner wants and can't order yet.
    Wish {
        /// Which model.
        model: model::Id,
        /// Which adapter of it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<adapter::Id>,
        /// Servers that hold it now.
        replicas: u32,
        /// For how long it has been wanted.
        #[serde(with = "millis")]
        since: Duration,
        /// What it waits for: a stable word.
        why: Text,
    },
    /// What the planner wants, and why.
    Placement {
        /// Where.
        server: backend::Id,
        /// What: a stable word.
        action: Text,
        /// Which model.
        model: model::Id,
        /// Which adapter of it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<adapter::Id>,
        /// Demand for it, in requests a second; none if the planner doesn't say.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        demand: Option<f64>,
        /// Servers that hold it now.
        replicas: u32,
        /// Why: a stable word.
        why: Text,
    },
    /// An order was sent to a server and answered, or not.
    Order {
        /// Where.
        server: backend::Id,
        /// What: a stable word.
        action: Text,
        /// Which model.
        model: model::Id,
        /// Which adapter of it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<adapter::Id>,
        /// The sender's term.
        fence: Fence,
        /// Orders that the server was expected to have accepted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected: Option<Sequence>,
        /// What it answered.
        answer: Answer,
        /// How long the answer took.
        #[serde(with = "millis")]
        took: Duration,
    },
    /// The rate at which a server takes requests from all hosts together changed.
    Limit {
        /// The server that names it.
        server: backend::Id,
        /// Requests a second until now; none without a limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        before: Option<f64>,
        /// Requests a second from now on; none without a limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        now: Option<f64>,
        /// Whose news it is.
        from: Source,
    },
    /// What is thought of a request that was at servers which crashed.
    Poison {
        /// The fingerprint of such requests.
        fingerprint: Text,
        /// How sure that is.
        state: PoisonState,
        /// Servers that crashed.
        crashes: u32,
        /// The server that crashed last.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        server: Option<backend::Id>,
        /// What is known of each crash.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        evidence: Vec<ObservedCrash>,
    },
    /// Something that the process relies on was lost or is back.
    Dependency {
        /// What: a stable word.
        name: Text,
        /// What became of it.
        state: DependencyState,
        /// Why, in words.
        why: Text,
    },
    /// Records were left out of the log since the last such line.
    Dropped {
        /// Because the queue was full.
        full: u64,
        /// Because the ceiling was reached.
        ceiling: u64,
        /// Those of all these that told of plans.
        #[serde(default, skip_serializing_if = "is_none")]
        plans: u64,
    },
}

impl Belief {
    /// The server that it is about.
    pub fn server(&self) -> Option<&backend::Id> {
        match self {
            Belief::Server { server, .. }
            | Belief::Placement { server, .. }
            | Belief::Order { server, .. }
            | Belief::Limit { server, .. } => Some(server),
            Belief::Poison { server, .. } => server.as_ref(),
            _ => None,
        }
    }

    /// Whether it is about what decides all others: it goes before the rest.
    pub fn is_plan(&self) -> bool {
        match self {
            Belief::Start { .. }
            | Belief::Reload { .. }
            | Belief::Stop { .. }
            | Belief::Declaration { .. }
            | Belief::Lease { .. }
            | Belief::Wish { .. }
            | Belief::Placement { .. }
            | Belief::Order { .. }
            | Belief::Dependency { .. } => true,
            Belief::Server { .. }
            | Belief::Peer { .. }
            | Belief::Limit { .. }
            | Belief::Poison { .. }
            | Belief::Dropped { .. } => false,
        }
    }

    /// The term that it belongs to.
    pub fn fence(&self) -> Option<Fence> {
        match self {
            Belief::Lease { fence, .. } | Belief::Order { fence, .. } => Some(*fence),
            _ => None,
        }
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes it so")]
fn is_none(count: &u64) -> bool {
    *count == 0
}

/// From where something was heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The object store.
    Store,
    /// Another host.
    Peer(host::Id),
    /// What it is about itself, in an answer or by its silence.
    Itself,
}

/// What a server is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerStanding {
    /// New, and takes work.
    Seen,
    /// About to stop.
    Leaving,
    /// No longer there.
    Gone,
    /// Not trusted for now.
    Suspected,
    /// Trusted again.
    Back,
}

/// What another host is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerStanding {
    /// It talks.
    Seen,
    /// It doesn't.
    Silent,
}

/// What became of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// This host holds it.
    Gained,
    /// Renewed, but later than planned.
    RenewedLate,
    /// It lapsed, or another host holds it.
    Lost,
    /// Given back.
    Released,
}

/// What a server answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is under way, or more were accepted than expected.
    Conflict,
    /// A higher term was seen.
    Stale,
    /// Another run of the server.
    OtherRun,
    /// It can't be carried out.
    Rejected,
    /// None came: it may be carried out, also later.
    None,
}

/// How sure it is that requests crash servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoisonState {
    /// One was running when a server crashed.
    Suspected,
    /// So often that it is refused.
    Confirmed,
    /// Too few of the crashes still count for a doubt.
    Cleared,
}

/// A crash of a server that a request was at.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedCrash {
    /// The run of the server.
    pub server: backend::Id,
    /// The host that saw it.
    pub witness: host::Id,
    /// Whether other requests were there too: a stable word.
    pub role: Text,
    /// Whether it counts: not if the server answered later, or the request ended whole.
    pub counts: bool,
    /// Time since it was seen.
    #[serde(rename = "age_ms", with = "types::time::millis")]
    pub age: Duration,
}

/// What became of something that the process relies on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DependencyState {
    /// It doesn't answer.
    Lost,
    /// It answers again.
    Regained,
}
