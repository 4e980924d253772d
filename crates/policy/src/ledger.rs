//! The only promise of accelerator memory: residents and reservations of each backend server.
//!
//! One object for each server. An order is written here by conditional update before it is sent,
//! and it stays until evidence settles it ([`settle`]), so whoever reads the object knows every
//! order that may still reach the engine. Two planners may both write; the conditional update
//! lets one through, and the other reads again.
//!
//! Memory is counted for each unit, not for each order: however many orders to load a unit are
//! open, it takes its memory once. So a lost order to load may be followed by a fresh one at no
//! cost. Two sums must fit in the server's capacity:
//!
//! - what the last report shows, with every open order to load: the engine as it runs;
//! - every unsettled order to load, even one that fencing has put out of date: the engine after a
//!   restart that nobody has seen yet, which has forgotten its residents and the highest fencing
//!   number, and takes whatever still arrives.
//!
//! An engine that ignores fencing numbers has no order that is out of date, and the first sum
//! holds the second. Nothing here looks at a clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{order::Order, prelude::*, resident::Resident};

pub mod absence;
pub mod held;
mod picture;
pub mod replica;
pub mod sender;
pub mod settle;

/// Most unsettled orders of one server.
///
/// An engine lists the orders it took, and the list is bounded; an order can't drop off it
/// unseen while fewer than that are open.
pub const MAX_ORDERS: usize = 16;

/// Place of a report among all reports of a server.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ReportPosition {
    /// Run of the server's process.
    pub incarnation: backend::Incarnation,
    /// Number of the report within the run.
    pub sequence: u64,
}

impl ReportPosition {
    /// Place of this report.
    pub fn of(load: &report::Load) -> ReportPosition {
        ReportPosition { incarnation: load.incarnation, sequence: load.sequence }
    }
}

/// An order that is not settled.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The order.
    pub order: Order,
    /// Why it was planned, for operators.
    pub cause: Arc<str>,
    /// Set once nothing of it is in flight any more: reports from here on show its effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quiet: Option<ReportPosition>,
}

/// Promise of one server's accelerator memory, as kept in the object API.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// The server.
    pub server: backend::Id,
    /// Its accelerator memory, in MiB.
    pub capacity: Mebibytes,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Highest fencing number given out.
    pub fence: order::Fence,
    /// The report that `seen` and `residents` come from.
    pub mark: ReportPosition,
    /// Highest fencing number that the engine had seen.
    pub seen: order::Fence,
    /// What was in memory.
    pub residents: Vec<Resident>,
    /// Orders that are not settled, oldest first.
    pub orders: Vec<Entry>,
}

/// Who asks for a reservation, and why.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Name for the order; never used before.
    pub id: order::Id,
    /// The host that will send it.
    pub sender: host::Id,
    /// The run of that host's process.
    pub incarnation: host::Incarnation,
    /// Why it is planned.
    pub cause: Arc<str>,
}

/// What stands in the way of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Too little memory is free.
    #[error("{server}: {needed} MiB are needed and {free} are free, {in_doubt} are held in doubt")]
    Memory {
        /// The server.
        server: backend::Id,
        /// What the order would add, in MiB.
        needed: Mebibytes,
        /// What is free, in MiB.
        free: Mebibytes,
        /// What unsettled orders hold beyond the residents, in MiB.
        in_doubt: Mebibytes,
    },
    /// Too many orders are unsettled.
    #[error("{server}: {open} orders are not settled, and no more may be open")]
    Orders {
        /// The server.
        server: backend::Id,
        /// Orders that are open.
        open: usize,
    },
}

/// Memory of one server by what is known of it; all in MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// All of it.
    pub capacity: Mebibytes,
    /// Taken by residents or reserved.
    pub promised: Mebibytes,
    /// The part of `promised` that orders hold and no report shows.
    pub in_doubt: Mebibytes,
    /// What a reservation may still take.
    pub free: Mebibytes,
}

impl Ledger {
    /// Ledger of a server that has none yet, from its first report.
    pub fn new(load: &report::Load) -> Ledger {
        Ledger {
            server: load.server.clone(),
            capacity: load.capacity,
            fenced: load.fenced,
            fence: load.fence,
            mark: ReportPosition::of(load),
            seen: load.fence,
            residents: load.residents.clone(),
            orders: Vec::new(),
        }
    }

    /// Key of a server's ledger in the object API.
    pub fn key(server: &str) -> String {
        format!("ledger/{server}")
    }

    /// Reserves what `action` takes.
    ///
    /// Gives the ledger to write by conditional update, and the order to send once that write is
    /// known to have taken effect.
    ///
    /// # Errors
    /// What is short; the ledger stays as it is.
    pub fn reserve(
        &self,
        claim: Claim,
        action: order::Action,
    ) -> Result<(Ledger, Order), Rejection> {
        if MAX_ORDERS <= self.orders.len() {
            return Err(Rejection::Orders { server: self.server.clone(), open: self.orders.len() });
        }
        let before = self.usage();
        let order = Order {
            id: claim.id,
            server: self.server.clone(),
            fence: self.fence + 1,
            sender: claim.sender,
            incarnation: claim.incarnation,
            action,
        };
        let mut next = self.clone();
        next.fence = order.fence;
        next.orders.push(Entry { order: order.clone(), cause: claim.cause, quiet: None });

        let takes_memory = matches!(order.action, order::Action::Load { .. });
        if takes_memory && !next.fits() {
            let needed = next.usage().promised.saturating_sub(before.promised);
            let Usage { free, in_doubt, .. } = before;
            return Err(Rejection::Memory { server: self.server.clone(), needed, free, in_doubt });
        }
        Ok((next, order))
    }

    /// Memory by what is known of it.
    pub fn usage(&self) -> Usage {
        let running = self.worst_case_running();
        let promised = running.max(self.worst_case_restarted());
        Usage {
            capacity: self.capacity,
            promised,
            in_doubt: running.saturating_sub(total(&self.resident_memory())),
            free: self.capacity.saturating_sub(promised),
        }
    }

    /// Whether the engine can't take this order in its present run, as a report showed.
    pub fn is_superseded(&self, entry: &Entry) -> bool {
        self.fenced && entry.order.fence <= self.seen
    }

    /// Whether both sums fit in the capacity.
    fn fits(&self) -> bool {
        self.worst_case_running() <= self.capacity && self.worst_case_restarted() <= self.capacity
    }

    /// What the engine may come to hold as it runs.
    fn worst_case_running(&self) -> Mebibytes {
        let open = self.orders.iter().filter(|entry| !self.is_superseded(entry));
        total(&with_loads(self.resident_memory(), open))
    }

    /// What the engine may come to hold after a restart that nobody has seen.
    fn worst_case_restarted(&self) -> Mebibytes {
        total(&with_loads(BTreeMap::new(), self.orders.iter()))
    }

    fn resident_memory(&self) -> BTreeMap<&Unit, Mebibytes> {
        self.residents.iter().map(|resident| (&resident.unit, resident.memory)).collect()
    }
}

/// Adds what the orders to load would take, each unit once.
fn with_loads<'a>(
    mut units: BTreeMap<&'a Unit, Mebibytes>,
    entries: impl Iterator<Item = &'a Entry>,
) -> BTreeMap<&'a Unit, Mebibytes> {
    for entry in entries {
        if let order::Action::Load { unit, memory } = &entry.order.action {
            let held = units.entry(unit).or_default();
            *held = (*held).max(*memory);
        }
    }
    units
}

fn total(units: &BTreeMap<&Unit, Mebibytes>) -> Mebibytes {
    units.values().fold(0, |sum, memory| sum.saturating_add(*memory))
}
