//! Explanation for operators why a reservation is held and what would settle it.

use std::fmt;

use serde::Serialize;
use types::prelude::*;

use super::{Entry, Ledger, ReportPosition};

/// Unsettled order, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HeldOrder {
    /// Name of the order.
    pub order: order::Id,
    /// Server that the order is for.
    pub server: backend::Id,
    /// Effect of the order.
    pub action: order::Action,
    /// Reason of the order.
    pub cause: Arc<str>,
    /// Host that sends the order.
    pub sender: host::Id,
    /// Incarnation of the sender's process.
    pub incarnation: host::Incarnation,
    /// Memory that the order reserves beyond the residents, in MiB.
    pub memory: Mebibytes,
    /// Evidence that is awaited.
    #[serde(rename = "waits")]
    pub awaited: Wait,
    /// Each event that would settle the order, as text.
    pub settled_by: Vec<String>,
}

/// Evidence that an unsettled order waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// A report that shows the order, or a statement of its sender.
    Arrival,
    /// Only a statement of the sender: the engine would reject the order as long as it runs.
    #[serde(rename = "word")]
    Sender,
    /// A report at least as new as the one that the sender named.
    Report {
        /// Position of that report.
        after: ReportPosition,
    },
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wait::Arrival => write!(f, "the order may still arrive"),
            Wait::Sender => write!(f, "the order may still arrive after a restart of the server"),
            Wait::Report { after } => {
                write!(
                    f,
                    "awaits report {} of run {} or a later one",
                    after.sequence, after.incarnation
                )
            }
        }
    }
}

impl Ledger {
    /// Explains each unsettled order, the oldest first.
    pub fn explain_orders(&self) -> Vec<HeldOrder> {
        self.orders.iter().map(|entry| self.explain(entry)).collect()
    }

    fn explain(&self, entry: &Entry) -> HeldOrder {
        let order = &entry.order;
        let awaited = match entry.conclusive_from {
            Some(after) => Wait::Report { after },
            None if self.is_superseded(entry) => Wait::Sender,
            None => Wait::Arrival,
        };
        let statement = format!(
            "{} (run {}) says that nothing of the order is in flight",
            order.sender, order.incarnation
        );
        let gone = format!(
            "{} starts again, or is missing from the platform's list for longer than the list lags",
            order.sender
        );
        let settled_by = match awaited {
            Wait::Arrival => {
                vec![format!("{} reports that it took the order", self.server), statement, gone]
            }
            Wait::Sender => vec![statement, gone],
            Wait::Report { after } => vec![format!(
                "{} sends report {} of run {} or a later one",
                self.server, after.sequence, after.incarnation
            )],
        };
        HeldOrder {
            order: order.id.clone(),
            server: self.server.clone(),
            action: order.action.clone(),
            cause: entry.cause.clone(),
            sender: order.sender.clone(),
            incarnation: order.incarnation,
            memory: self.held_memory(entry),
            awaited,
            settled_by,
        }
    }

    /// Returns the memory that the order reserves and no resident takes yet, in MiB.
    fn held_memory(&self, entry: &Entry) -> Mebibytes {
        let order::Action::Load { unit, memory } = &entry.order.action else { return 0 };
        let resident = self.residents.iter().find(|resident| resident.unit == *unit);
        memory.saturating_sub(resident.map_or(0, |resident| resident.memory))
    }
}
