//! Loads and unloads as shown to operators: open orders with what each waits for, settled orders,
//! and the memory of each server.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use observe::metrics::{Memory, Metrics};
use policy::ledger::{
    Ledger, Usage,
    held::HeldOrder,
    settle::{self, Settlement},
};
use serde::Serialize;
use types::prelude::*;

/// Maximum number of settled orders kept; the oldest are dropped.
const MAX_SETTLED: usize = 256;

/// An open order, with how long this host has known it.
#[derive(Clone, Debug, Serialize)]
pub struct OpenOrder {
    /// The order, and the evidence that would settle it.
    #[serde(flatten)]
    pub held: HeldOrder,
    /// What the order waits for, as text.
    pub why: String,
    /// How long this host has known the order; milliseconds in JSON.
    #[serde(rename = "known_for_ms", with = "types::time::millis")]
    pub known_for: Duration,
}

/// An order that this host settled.
#[derive(Clone, Debug, Serialize)]
pub struct SettledOrder {
    /// Identifier of the order.
    pub order: order::Id,
    /// Server that the order was for.
    pub server: backend::Id,
    /// Load or unload that was ordered.
    pub action: order::Action,
    /// Why the move was planned.
    pub cause: Arc<str>,
    /// Evidence that settled the order.
    pub evidence: &'static str,
    /// Time since the order was settled; milliseconds in JSON.
    #[serde(rename = "ago_ms", with = "types::time::millis")]
    pub ago: Duration,
}

/// Accelerator memory of one server, in MiB.
#[derive(Clone, Debug, Serialize)]
pub struct ServerMemory {
    /// Identifier of the server.
    pub server: backend::Id,
    /// Memory that is promised, in doubt and free.
    #[serde(flatten)]
    pub memory: Usage,
}

/// Moves as reported to operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Whether the ledgers were read for this response; otherwise the last known ones are used.
    pub current: bool,
    /// Orders that are not settled.
    pub open: Vec<OpenOrder>,
    /// Orders that this host settled, latest last.
    pub settled: Vec<SettledOrder>,
    /// Accelerator memory of each server.
    pub memory: Vec<ServerMemory>,
}

/// Loads and unloads as known to this host.
#[derive(Debug, Default)]
pub struct Moves {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ledgers: BTreeMap<backend::Id, Ledger>,
    /// When this host first saw each open order.
    known_since: HashMap<order::Id, Moment>,
    settled: VecDeque<(Moment, settle::SettledOrder)>,
}

impl Moves {
    /// Replaces all ledgers with those just read.
    pub fn set_ledgers<'a>(&self, now: Moment, ledgers: impl IntoIterator<Item = &'a Ledger>) {
        let mut inner = self.lock();
        inner.ledgers =
            ledgers.into_iter().map(|ledger| (ledger.server.clone(), ledger.clone())).collect();
        let Inner { ledgers, known_since, .. } = &mut *inner;
        let open = || ledgers.values().flat_map(|ledger| &ledger.orders);
        known_since.retain(|id, _| open().any(|entry| entry.order.id == *id));
        for entry in open() {
            known_since.entry(entry.order.id.clone()).or_insert(now);
        }
    }

    /// Records orders that this host settled.
    pub fn record_settled(
        &self,
        now: Moment,
        settled: impl IntoIterator<Item = settle::SettledOrder>,
    ) {
        let mut inner = self.lock();
        inner.settled.extend(settled.into_iter().map(|settled| (now, settled)));
        let surplus = inner.settled.len().saturating_sub(MAX_SETTLED);
        inner.settled.drain(..surplus);
    }

    /// Returns how long this host has known an order; zero if the order is unknown.
    pub fn known_for(&self, now: Moment, id: &order::Id) -> Duration {
        self.lock().known_since.get(id).map_or(Duration::ZERO, |since| now.saturating_sub(*since))
    }

    /// Returns the moves for operators.
    pub fn status(&self, now: Moment, current: bool) -> Status {
        let inner = self.lock();
        let open = inner.ledgers.values().flat_map(Ledger::explain_orders).map(|held| {
            let since = inner.known_since.get(&held.order).copied().unwrap_or(now);
            OpenOrder { why: held.awaited.to_string(), known_for: now.saturating_sub(since), held }
        });
        let settled = inner.settled.iter().map(|(at, settled)| SettledOrder {
            order: settled.entry.order.id.clone(),
            server: settled.entry.order.server.clone(),
            action: settled.entry.order.action.clone(),
            cause: settled.entry.cause.clone(),
            evidence: evidence_label(settled.settlement),
            ago: now.saturating_sub(*at),
        });
        let servers = inner.ledgers.iter();
        let memory =
            servers.map(|(id, ledger)| ServerMemory { server: id.clone(), memory: ledger.usage() });
        Status {
            current,
            open: open.collect(),
            settled: settled.collect(),
            memory: memory.collect(),
        }
    }

    /// Records the memory of each server in the metrics.
    pub fn record_memory(&self, metrics: &Metrics) {
        for (server, ledger) in &self.lock().ledgers {
            let usage = ledger.usage();
            metrics.memory(server, Memory::Promised, usage.promised);
            metrics.memory(server, Memory::InDoubt, usage.in_doubt);
            metrics.memory(server, Memory::Free, usage.free);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the name of the evidence that settled an order. Operators' tools match these names.
pub fn evidence_label(settlement: Settlement) -> &'static str {
    match settlement {
        Settlement::Taken => "taken",
        Settlement::NeverTaken => "never-taken",
        Settlement::NotInFlight => "nothing-in-flight",
    }
}
