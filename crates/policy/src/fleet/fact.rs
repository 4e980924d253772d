//! What hosts tell of themselves, as facts that are replaced one by one.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{availability, backend, host, model, routed::Version, service};

use super::wire::Run;
use crate::{
    dispatch::poison::{Crash, Fingerprint},
    member::rendezvous,
    quota::News,
    term,
};

/// Revision of the store.
pub type Revision = u64;

/// A host, in one run of its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: host::Id,
    /// Its availability zone.
    pub zone: availability::Id,
    /// Where it listens for other hosts.
    pub address: SocketAddr,
    /// The run of its process.
    pub incarnation: host::Incarnation,
}

impl Member {
    /// The run that it stands for.
    pub(super) fn run(&self) -> Run {
        rendezvous::score(&self.incarnation.to_le_bytes(), &self.id)
    }
}

/// What a host says of its own work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum State {
    /// Takes no work yet.
    #[default]
    Starting,
    /// Takes work.
    Ready,
    /// Takes nothing new.
    Leaving,
}

/// Who is believed to hold the planner's lease. Never a ground for acting as its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder.
    pub holder: host::Id,
    /// Its fencing number.
    pub fence: u64,
    /// How long ago it was renewed.
    #[serde(with = "types::time::millis")]
    pub age: Duration,
}

/// Whether a host reaches the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Reachability {
    /// It does not.
    #[default]
    Unreachable,
    /// It does.
    Reachable,
}

/// What a host has of the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreStatus {
    /// Whether it reaches it.
    pub reachability: Reachability,
    /// The last revision that it saw.
    pub revision: Revision,
}

/// Work in flight at a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: backend::Id,
    /// The model, if the server runs models.
    pub model: Option<model::Id>,
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that are not read yet.
    pub tokens: u64,
}

/// How a server goes; the later word is the stronger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Departure {
    /// Gets nothing new.
    Leaving,
    /// Is no longer registered.
    Gone,
}

/// A part of what a host tells; each replaces what the host told of that part before.
#[derive(Clone, Debug, PartialEq)]
pub enum Publication {
    /// Its own work.
    State(State),
    /// Version of the declaration in force there.
    Declared(Version),
    /// Who is believed to hold the lease.
    Lease(Option<Lease>),
    /// The lease object as it knows it.
    Term(term::Stored),
    /// What it has of the store.
    Store(StoreStatus),
    /// Work in flight; what is left out is at rest.
    InFlight(Vec<Load>),
    /// Arrivals since its start, by service; never falling, and what is left out stands.
    Arrivals(Vec<(service::Id, u64)>),
    /// Retries spent since its start, by service; never falling, and what is left out stands.
    Retries(Vec<(service::Id, u64)>),
    /// Servers known to be going.
    Servers(Vec<(backend::Id, Departure)>),
    /// Crashes of servers, with the requests that were there.
    Crashes(Vec<Crash>),
    /// The last news of the limits of servers.
    Limits(Vec<(backend::Id, News)>),
}

/// One thing that a host targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Fact {
    State(State),
    Declared(Version),
    Lease(Lease),
    Store(StoreStatus),
    InFlight(Load),
    Arrivals(service::Id, u64),
    Retries(service::Id, u64),
    Server(backend::Id, Departure),
    Crash(Crash),
    /// A relay does not hear this run of a host.
    Absent(host::Id, Run),
    Term(term::Stored),
    Limit(backend::Id, News),
}

/// What a fact is about; a later fact of the same key replaces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Key {
    State,
    Declared,
    Lease,
    Store,
    InFlight(backend::Id, Option<model::Id>),
    Arrivals(service::Id),
    Retries(service::Id),
    Server(backend::Id),
    Crash(Fingerprint, backend::Id, host::Id),
    Absent(host::Id),
    Term,
    Limit(backend::Id),
}

impl Fact {
    pub(super) fn key(&self) -> Key {
        match self {
            Fact::State(_) => Key::State,
            Fact::Declared(_) => Key::Declared,
            Fact::Lease(_) => Key::Lease,
            Fact::Term(_) => Key::Term,
            Fact::Store(_) => Key::Store,
            Fact::InFlight(load) => Key::InFlight(load.server.clone(), load.model.clone()),
            Fact::Arrivals(service, _) => Key::Arrivals(service.clone()),
            Fact::Retries(service, _) => Key::Retries(service.clone()),
            Fact::Server(server, _) => Key::Server(server.clone()),
            Fact::Crash(crash) => {
                Key::Crash(crash.request, crash.server.clone(), crash.witness.clone())
            }
            Fact::Absent(id, _) => Key::Absent(id.clone()),
            Fact::Limit(server, _) => Key::Limit(server.clone()),
        }
    }

    /// Its numbers, if it consists of a key and numbers.
    pub(super) fn numbers(&self) -> Option<(u64, u64)> {
        match self {
            Fact::InFlight(load) => Some((load.requests.into(), load.tokens)),
            Fact::Arrivals(_, count) | Fact::Retries(_, count) => Some((*count, 0)),
            _ => None,
        }
    }

    /// Takes other numbers; whether it has any.
    pub(super) fn set_numbers(&mut self, first: u64, second: u64) -> bool {
        match self {
            Fact::InFlight(load) => {
                load.requests = u32::try_from(first).unwrap_or(u32::MAX);
                load.tokens = second;
            }
            Fact::Arrivals(_, count) | Fact::Retries(_, count) => *count = first,
            _ => return false,
        }
        true
    }

    /// Its count, if it only ever rises.
    pub(super) fn total(&self) -> Option<u64> {
        match self {
            Fact::Arrivals(_, count) | Fact::Retries(_, count) => Some(*count),
            _ => None,
        }
    }

    /// Whether it says that nothing is in flight.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self, Fact::InFlight(load) if load.requests == 0 && load.tokens == 0)
    }

    /// The same fact, told this much later.
    pub(super) fn aged(&self, by: Duration) -> Fact {
        match self {
            Fact::Lease(lease) => Fact::Lease(Lease { age: lease.age + by, ..lease.clone() }),
            Fact::Crash(crash) => Fact::Crash(Crash { age: crash.age + by, ..crash.clone() }),
            fact => fact.clone(),
        }
    }
}
