//! Why a reservation is still held, and what would settle it; for operators.

use std::fmt;

use serde::Serialize;
use types::prelude::*;

use super::{Entry, Ledger, ReportPosition};

/// One unsettled order, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Held {
    /// The order.
    pub order: order::Id,
    /// The server it is for.
    pub server: backend::Id,
    /// What it does.
    pub action: order::Action,
    /// Why it was planned.
    pub cause: Arc<str>,
    /// The host that sends it.
    pub sender: host::Id,
    /// The run of that host's process.
    pub incarnation: host::Incarnation,
    /// What it holds beyond the residents, in MiB.
    pub memory: Mebibytes,
    /// What is waited for.
    pub waits: Wait,
    /// Each thing that would settle it, in words.
    pub settled_by: Vec<String>,
}

/// What an unsettled order waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// A report that shows it, or its sender's word.
    Arrival,
    /// Its sender's word only: the engine would refuse it in its present run.
    #[serde(rename = "word")]
    Sender,
    /// A report at least as new as the one that its sender named.
    Report {
        /// That report.
        after: ReportPosition,
    },
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wait::Arrival => write!(f, "it may still arrive"),
            Wait::Sender => write!(f, "it may still arrive after a restart of the server"),
            Wait::Report { after } => {
                write!(f, "waits for report {} of run {}", after.sequence, after.incarnation)
            }
        }
    }
}

impl Ledger {
    /// For each unsettled order, oldest first: why it is held and what would settle it.
    pub fn why_held(&self) -> Vec<Held> {
        self.orders.iter().map(|entry| self.explain(entry)).collect()
    }

    fn explain(&self, entry: &Entry) -> Held {
        let order = &entry.order;
        let waits = match entry.quiet {
            Some(after) => Wait::Report { after },
            None if self.is_superseded(entry) => Wait::Sender,
            None => Wait::Arrival,
        };
        let statement = format!(
            "{} (run {}) says that nothing of it is in flight",
            order.sender, order.incarnation
        );
        let gone = format!(
            "{} starts again, or is off the platform's list for longer than its lag",
            order.sender
        );
        let settled_by = match waits {
            Wait::Arrival => {
                vec![format!("{} reports that it took it", self.server), statement, gone]
            }
            Wait::Sender => vec![statement, gone],
            Wait::Report { after } => vec![format!(
                "{} reports with number {} of run {} or later",
                self.server, after.sequence, after.incarnation
            )],
        };
        Held {
            order: order.id.clone(),
            server: self.server.clone(),
            action: order.action.clone(),
            cause: entry.cause.clone(),
            sender: order.sender.clone(),
            incarnation: order.incarnation,
            memory: self.held_memory(entry),
            waits,
            settled_by,
        }
    }

    /// What the order holds that no resident holds already.
    fn held_memory(&self, entry: &Entry) -> Mebibytes {
        let order::Action::Load { unit, memory } = &entry.order.action else { return 0 };
        let resident = self.residents.iter().find(|resident| resident.unit == *unit);
        memory.saturating_sub(resident.map_or(0, |resident| resident.memory))
    }
}
