//! Facts that hosts advertise about themselves, each of which is replaced on its own.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{availability, backend, customer, host, model, routed::Version, service};

use super::wire::Run;
use crate::{
    dispatch::{
        CustomerWork, Deferrable,
        poison::{Crash, Subject},
        speed::Sum,
    },
    member::rendezvous,
    quota::Limit,
    term,
};

/// Units of a sum of logarithms, on the wire.
const TOTAL_UNITS: f64 = 100.0;

/// Bounds of the number of samples that a host or a group may state, and of their mean in units.
const MAX_COUNT: u64 = 1 << 24;
const MAX_MEAN: i64 = 250;

/// Difference of two means, and ratio of two counts, up to which an aggregated sum is not sent again.
const LIKE_MEAN: f64 = 0.03;
const LIKE_COUNT: f64 = 1.3;

/// Revision of the store.
pub type Revision = u64;

/// Identity of a host in one run of its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub id: host::Id,
    /// The host's availability zone.
    pub zone: availability::Id,
    /// Address at which the host listens for the datagrams of other hosts.
    pub address: SocketAddr,
    /// Number of the run of the host's process.
    pub incarnation: host::Incarnation,
}

impl Member {
    /// Returns a number for this run of the host that differs between hosts, too.
    pub(super) fn run(&self) -> Run {
        rendezvous::score(&self.incarnation.to_le_bytes(), &self.id)
    }
}

/// Whether a host takes work, as it advertises itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum State {
    /// The host has no declaration yet and takes no work.
    #[default]
    Starting,
    /// The host takes work.
    Ready,
    /// The host takes no new work.
    Leaving,
}

/// A host's belief about who holds the planner's lease. It entitles no host to act as the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The host that holds the lease.
    pub holder: host::Id,
    /// The holder's fencing token.
    pub fence: u64,
    /// Time since the lease was renewed.
    #[serde(with = "types::time::millis")]
    pub age: Duration,
}

/// Whether a host reaches the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Reachability {
    /// The host does not reach the store.
    #[default]
    Unreachable,
    /// The host reaches the store.
    Reachable,
}

/// A host's connection to the store, and how current its copy is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreStatus {
    /// Whether the host reaches the store.
    pub reachability: Reachability,
    /// The last revision of the store that the host saw.
    pub revision: Revision,
}

/// Work that one host has in flight at a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: backend::Id,
    /// The model that the work is for; none if the server does not run models.
    pub model: Option<model::Id>,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens in flight that the server has not processed yet.
    pub tokens: u64,
}

/// Stage of a server's departure. If hosts disagree, the later variant prevails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Departure {
    /// The server gets no new requests.
    Leaving,
    /// The server is no longer registered.
    Gone,
}

/// One part of the facts that a host advertises. Each publication replaces the one before it of the
/// same part.
#[derive(Clone, Debug, PartialEq)]
pub enum Publication {
    /// Whether the host takes work.
    State(State),
    /// Version of the declaration in force at the host.
    Declared(Version),
    /// The host's belief about the holder of the planner's lease; none withdraws it.
    Lease(Option<Lease>),
    /// The stored lease object, as the host last saw it.
    Term(term::StoredLease),
    /// The host's connection to the store.
    Store(StoreStatus),
    /// Work in flight; what is left out has none.
    InFlight(Vec<Load>),
    /// Arrivals since the host's start, by service. Counts never fall, and those left out stay as
    /// they are.
    Arrivals(Vec<(service::Id, u64)>),
    /// Retries spent since the host's start, by service. Counts never fall, and those left out stay
    /// as they are.
    Retries(Vec<(service::Id, u64)>),
    /// Servers that the host knows to be departing.
    Servers(Vec<(backend::Id, Departure)>),
    /// Crashes of servers, with the requests that were in flight there.
    Crashes(Vec<Crash>),
    /// The latest limit that the host knows for each server.
    Limits(Vec<(backend::Id, Limit)>),
    /// Sums over the host's response times, by server; what is left out has none.
    Speeds(Vec<(backend::Id, Sum)>),
    /// Cost of each customer's requests, in flight and waiting; what is left out has none.
    CustomerWork(Vec<CustomerWork>),
    /// Deferrable requests of each service, in flight and waiting; what is left out has none.
    Deferrable(Vec<Deferrable>),
}

/// One row of the table that a host advertises.
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
    /// A relay receives no packets of this run of a host.
    Absent(host::Id, Run),
    Term(term::StoredLease),
    Limit(backend::Id, Limit),
    Speed(backend::Id, ResponseTimes),
    CustomerWork(customer::Id, u64, u64),
    Deferrable(service::Id, u32, u32),
}

/// Logarithms of response times at a server relative to a median one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ResponseTimes {
    /// Number of samples.
    pub(super) count: u64,
    /// Sum of the logarithms, in hundredths.
    pub(super) total: i64,
}

impl ResponseTimes {
    pub(super) fn new(sum: Sum) -> ResponseTimes {
        ResponseTimes {
            count: sum.count.round() as u64,
            total: (sum.total * TOTAL_UNITS).round() as i64,
        }
    }

    pub(super) fn sum(self) -> Sum {
        Sum { total: self.total as f64 / TOTAL_UNITS, count: self.count as f64 }
    }

    /// Whether these differ so little from others that the others need not be replaced.
    pub(super) fn is_like(self, other: ResponseTimes) -> bool {
        let counts = (self.count.min(other.count), self.count.max(other.count));
        let is_close = (self.sum().mean() - other.sum().mean()).abs() <= LIKE_MEAN;
        is_close && counts.1 as f64 <= counts.0 as f64 * LIKE_COUNT
    }

    /// Adds another host's, within the bounds of true ones.
    pub(super) fn add(&mut self, other: ResponseTimes) {
        let count = other.count.min(MAX_COUNT);
        let bound = count as i64 * MAX_MEAN;
        self.count = self.count.saturating_add(count);
        self.total = self.total.saturating_add(other.total.clamp(-bound, bound));
    }
}

/// Key of a fact; a later fact of the same key replaces the earlier one.
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
    Crash(Subject, backend::Id, host::Id),
    Absent(host::Id),
    Term,
    Limit(backend::Id),
    Speed(backend::Id),
    CustomerWork(customer::Id),
    Deferrable(service::Id),
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
                Key::Crash(crash.subject, crash.server.clone(), crash.witness.clone())
            }
            Fact::Absent(id, _) => Key::Absent(id.clone()),
            Fact::Limit(server, _) => Key::Limit(server.clone()),
            Fact::Speed(server, _) => Key::Speed(server.clone()),
            Fact::CustomerWork(customer, ..) => Key::CustomerWork(customer.clone()),
            Fact::Deferrable(service, ..) => Key::Deferrable(service.clone()),
        }
    }

    /// Returns the fact's numbers, if it consists of a key and numbers.
    pub(super) fn numbers(&self) -> Option<(u64, u64)> {
        match self {
            Fact::InFlight(load) => Some((load.requests.into(), load.tokens)),
            Fact::Arrivals(_, count) | Fact::Retries(_, count) => Some((*count, 0)),
            Fact::Speed(_, times) => Some((times.count, zigzag(times.total))),
            Fact::CustomerWork(_, in_flight, waiting) => Some((*in_flight, *waiting)),
            Fact::Deferrable(_, in_flight, waiting) => {
                Some(((*in_flight).into(), (*waiting).into()))
            }
            _ => None,
        }
    }

    /// Replaces the fact's numbers; false if it has none.
    pub(super) fn set_numbers(&mut self, first: u64, second: u64) -> bool {
        match self {
            Fact::InFlight(load) => {
                load.requests = u32::try_from(first).unwrap_or(u32::MAX);
                load.tokens = second;
            }
            Fact::Arrivals(_, count) | Fact::Retries(_, count) => *count = first,
            Fact::Speed(_, times) => {
                *times = ResponseTimes { count: first, total: unzigzag(second) };
            }
            Fact::CustomerWork(_, in_flight, waiting) => (*in_flight, *waiting) = (first, second),
            Fact::Deferrable(_, in_flight, waiting) => {
                *in_flight = u32::try_from(first).unwrap_or(u32::MAX);
                *waiting = u32::try_from(second).unwrap_or(u32::MAX);
            }
            _ => return false,
        }
        true
    }

    /// Returns the fact's count, if it is a counter that only rises.
    pub(super) fn total(&self) -> Option<u64> {
        match self {
            Fact::Arrivals(_, count) | Fact::Retries(_, count) => Some(*count),
            _ => None,
        }
    }

    /// Whether the fact says that nothing is in flight.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self, Fact::InFlight(load) if load.requests == 0 && load.tokens == 0)
    }

    /// Returns the fact with its age raised by the time since it was set.
    pub(super) fn aged(&self, by: Duration) -> Fact {
        match self {
            Fact::Lease(lease) => Fact::Lease(Lease { age: lease.age + by, ..lease.clone() }),
            Fact::Crash(crash) => Fact::Crash(Crash { age: crash.age + by, ..crash.clone() }),
            fact => fact.clone(),
        }
    }
}

/// Maps small numbers of either sign to small numbers.
fn zigzag(number: i64) -> u64 {
    ((number << 1) ^ (number >> (i64::BITS - 1))) as u64
}

fn unzigzag(number: u64) -> i64 {
    (number >> 1) as i64 ^ -((number & 1) as i64)
}
