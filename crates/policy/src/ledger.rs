//! The single record of committed accelerator memory: residents and reservations of each backend
//! server.
//!
//! There is one object for each server. An order is recorded here by conditional update before it
//! is sent, and stays until evidence settles it ([`settle`]), so whoever reads the object knows
//! every order that may still reach the engine. Two planners may write at once; the conditional
//! update lets one succeed, and the other reads again.
//!
//! Memory is counted per unit, not per order: however many orders to load a unit are open, the unit
//! takes its memory once. A lost order to load may therefore be followed by a new one at no cost.
//! Two sums must fit in the server's capacity:
//!
//! - the residents of the last report with every open order to load: the engine as it runs;
//! - every unsettled order to load, even one superseded by its fencing token: the engine after a
//!   restart that no host has observed yet, which has forgotten its residents and the highest
//!   fencing token, and accepts whatever still arrives.
//!
//! On an engine that ignores fencing tokens no order is superseded, and the first sum includes the
//! second. Nothing in this module depends on a clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{order::Order, prelude::*, resident::Resident};

pub mod absence;
pub mod held;
mod placement;
pub mod replica;
pub mod sender;
pub mod settle;

/// Maximum number of unsettled orders of one server.
///
/// An engine lists the orders that it took, and its list is bounded; no order can drop off that
/// list unobserved while at most this many are open.
pub const MAX_ORDERS: usize = 16;

/// Position of a report among all reports of a server.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ReportPosition {
    /// Incarnation of the server's process.
    pub incarnation: backend::Incarnation,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

impl ReportPosition {
    /// Returns the position of a load report.
    pub fn of(load: &report::Load) -> ReportPosition {
        ReportPosition { incarnation: load.incarnation, sequence: load.sequence }
    }
}

/// Unsettled order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Order as sent to the engine.
    pub order: Order,
    /// Reason of the order, for operators.
    pub cause: Arc<str>,
    /// Set once nothing of the order is in flight: reports from this one on show the order's
    /// effect.
    #[serde(rename = "quiet", default, skip_serializing_if = "Option::is_none")]
    pub conclusive_from: Option<ReportPosition>,
}

/// Committed accelerator memory of one server, as stored in the object API.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// Server that the ledger is about.
    pub server: backend::Id,
    /// Accelerator memory of the server, in MiB.
    pub capacity: Mebibytes,
    /// Whether the server rejects orders with an old fencing token.
    pub fenced: bool,
    /// Highest fencing token issued.
    pub fence: order::Fence,
    /// Position of the report from which `seen_fence` and `residents` are taken.
    #[serde(rename = "mark")]
    pub last_report: ReportPosition,
    /// Highest fencing token that the engine had seen.
    #[serde(rename = "seen")]
    pub seen_fence: order::Fence,
    /// Units in the engine's memory.
    pub residents: Vec<Resident>,
    /// Unsettled orders, the oldest first.
    pub orders: Vec<Entry>,
}

/// Request for a reservation.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Name of the order; never used before.
    pub id: order::Id,
    /// Host that will send the order.
    pub sender: host::Id,
    /// Incarnation of the sender's process.
    pub incarnation: host::Incarnation,
    /// Reason of the order, for operators.
    pub cause: Arc<str>,
}

/// Rejection of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Too little memory is free.
    #[error(
        "{server}: {needed} MiB needed, {free} MiB free, {in_doubt} MiB held by unsettled orders"
    )]
    Memory {
        /// Server of the ledger.
        server: backend::Id,
        /// Additional memory that the order needs, in MiB.
        needed: Mebibytes,
        /// Free memory, in MiB.
        free: Mebibytes,
        /// Memory reserved by unsettled orders beyond the residents, in MiB.
        in_doubt: Mebibytes,
    },
    /// Too many orders are unsettled.
    #[error("{server}: {open} orders are unsettled, which is the maximum")]
    Orders {
        /// Server of the ledger.
        server: backend::Id,
        /// Number of unsettled orders.
        open: usize,
    },
}

/// Memory of one server, in MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Total accelerator memory.
    pub capacity: Mebibytes,
    /// Memory taken by residents or reserved.
    pub promised: Mebibytes,
    /// Part of `promised` that is reserved by orders and not shown by any report.
    pub in_doubt: Mebibytes,
    /// Memory that a reservation may still take.
    pub free: Mebibytes,
}

impl Ledger {
    /// Creates the first ledger of a server from its first report.
    pub fn new(load: &report::Load) -> Ledger {
        Ledger {
            server: load.server.clone(),
            capacity: load.capacity,
            fenced: load.fenced,
            fence: load.fence,
            last_report: ReportPosition::of(load),
            seen_fence: load.fence,
            residents: load.residents.clone(),
            orders: Vec::new(),
        }
    }

    /// Returns the key of a server's ledger in the object API.
    pub fn key(server: &str) -> String {
        format!("ledger/{server}")
    }

    /// Reserves the memory that `action` takes.
    ///
    /// Returns the ledger to write by conditional update, and the order to send once that write is
    /// known to have taken effect.
    ///
    /// # Errors
    ///
    /// The resource that is short; the ledger is unchanged.
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
        next.orders.push(Entry { order: order.clone(), cause: claim.cause, conclusive_from: None });

        let takes_memory = matches!(order.action, order::Action::Load { .. });
        if takes_memory && !next.fits() {
            let needed = next.usage().promised.saturating_sub(before.promised);
            let Usage { free, in_doubt, .. } = before;
            return Err(Rejection::Memory { server: self.server.clone(), needed, free, in_doubt });
        }
        Ok((next, order))
    }

    /// Returns the memory committed by residents and unsettled orders.
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

    /// Returns whether the engine, by its last report, rejects this order for its fencing token as
    /// long as it runs.
    pub fn is_superseded(&self, entry: &Entry) -> bool {
        self.fenced && entry.order.fence <= self.seen_fence
    }

    /// Returns whether the worst cases, as it runs and after a restart, fit in the capacity.
    fn fits(&self) -> bool {
        self.worst_case_running() <= self.capacity && self.worst_case_restarted() <= self.capacity
    }

    /// Returns the memory that the engine may come to use as it runs.
    fn worst_case_running(&self) -> Mebibytes {
        let open = self.orders.iter().filter(|entry| !self.is_superseded(entry));
        total(&with_loads(self.resident_memory(), open))
    }

    /// Returns the memory that the engine may come to use after a restart that no host has
    /// observed.
    fn worst_case_restarted(&self) -> Mebibytes {
        total(&with_loads(BTreeMap::new(), self.orders.iter()))
    }

    fn resident_memory(&self) -> BTreeMap<&Unit, Mebibytes> {
        self.residents.iter().map(|resident| (&resident.unit, resident.memory)).collect()
    }
}

/// Adds the memory of the orders to load, each unit once.
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
