//! How far one host has read this host's tables.

use std::time::Duration;

use types::time::Moment;

use super::{
    local_table::{LocalTable, SizeLimit},
    names::Names,
    wire::{Delta, Edition, Mark, Scope},
};

/// Sent, acknowledged, and what this host still has to say.
#[derive(Debug, Default)]
pub(super) struct Link {
    tables: [Progress; Scope::ALL.len()],
    /// When it was last told.
    pub(super) last_digest: Option<Moment>,
    pub(super) pending_ack: PendingAck,
}

#[derive(Debug, Default)]
struct Progress {
    acked: Edition,
    sent: Edition,
    /// Since when something sent is not acknowledged.
    open: Option<Moment>,
    names: Names,
}

impl Progress {
    /// Takes how far the reader has read.
    fn acknowledge(&mut self, edition: Edition) {
        self.acked = edition;
        self.names.acknowledge(edition);
    }

    /// Sends again, from now on, what is not acknowledged.
    fn go_back(&mut self) {
        self.sent = self.acked;
        self.open = None;
        self.names.go_back();
    }
}

/// What this host owes the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PendingAck {
    #[default]
    Nothing,
    /// Word that its changes were read.
    Read,
    /// Word that a datagram was lost.
    Gap,
}

impl Link {
    /// Takes what the other says that it has read.
    pub(super) fn acknowledge(&mut self, now: Moment, scope: Scope, mark: Mark) {
        let progress = &mut self.tables[scope as usize];
        match mark {
            Mark::Read(edition) => {
                if progress.acked < edition {
                    progress.open = Some(now);
                }
                progress.acknowledge(progress.acked.max(edition));
                progress.sent = progress.sent.max(edition);
                progress.open = progress.open.filter(|_| progress.acked < progress.sent);
            }
            Mark::Gap(edition) => {
                progress.acknowledge(edition);
                progress.go_back();
            }
        }
    }

    /// Goes back to what is acknowledged, if that is overdue.
    pub(super) fn resend(&mut self, now: Moment, after: Duration) {
        let is_overdue =
            |progress: &&mut Progress| progress.open.is_some_and(|at| at + after <= now);
        self.tables.iter_mut().filter(is_overdue).for_each(Progress::go_back);
    }

    /// Whether there is something that it was not sent.
    pub(super) fn lacks(&self, scope: Scope, local: &LocalTable) -> bool {
        self.tables[scope as usize].sent < local.last()
    }

    /// What it was not sent yet, in this many bytes; taken for sent from now on.
    pub(super) fn delta(
        &mut self,
        now: Moment,
        scope: Scope,
        local: &mut LocalTable,
        limit: SizeLimit,
    ) -> Option<Delta> {
        let progress = &mut self.tables[scope as usize];
        if local.last() <= progress.sent {
            return None;
        }
        if progress.acked < local.floor() {
            // The reader starts over, unless word of what it read is still on its way.
            progress.names.clear();
        }
        let delta = local.delta(now, scope, progress.sent, &progress.names, limit);
        if delta.span == 0 {
            return None;
        }
        progress.names.note(&delta);
        progress.sent += delta.span;
        progress.open = progress.open.or(Some(now));
        Some(delta)
    }
}
