//! How far one peer has read this host's tables, and what this host still has to send it.

use std::time::Duration;

use types::time::Moment;

use super::{
    local_table::{LocalTable, SizeLimit},
    names::Names,
    wire::{Delta, Edition, Mark, Scope},
};

/// Progress of a peer in this host's tables, and the acknowledgement that it is owed.
#[derive(Debug, Default)]
pub(super) struct Link {
    tables: [Progress; Scope::ALL.len()],
    /// When the last digest was sent to the peer.
    pub(super) last_digest: Option<Moment>,
    pub(super) pending_ack: PendingAck,
}

#[derive(Debug, Default)]
struct Progress {
    acked: Edition,
    sent: Edition,
    /// Since when changes that were sent wait for an acknowledgement; none if nothing does.
    unacked_since: Option<Moment>,
    names: Names,
}

impl Progress {
    /// Records the edition up to which the reader has read.
    fn acknowledge(&mut self, edition: Edition) {
        self.acked = edition;
        self.names.acknowledge(edition);
    }

    /// Counts changes that were sent but not acknowledged as not sent.
    fn rewind(&mut self) {
        self.sent = self.acked;
        self.unacked_since = None;
        self.names.rewind();
    }
}

/// Acknowledgement that this host owes a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PendingAck {
    #[default]
    Nothing,
    /// The peer's changes were read.
    Read,
    /// A datagram of the peer was lost.
    Gap,
}

impl Link {
    /// Processes a peer's acknowledgement; after a gap, changes are sent again from there.
    pub(super) fn acknowledge(&mut self, now: Moment, scope: Scope, mark: Mark) {
        let progress = &mut self.tables[scope as usize];
        match mark {
            Mark::Read(edition) => {
                if progress.acked < edition {
                    progress.unacked_since = Some(now);
                }
                progress.acknowledge(progress.acked.max(edition));
                progress.sent = progress.sent.max(edition);
                progress.unacked_since =
                    progress.unacked_since.filter(|_| progress.acked < progress.sent);
            }
            Mark::Gap(edition) => {
                progress.acknowledge(edition);
                progress.rewind();
            }
        }
    }

    /// Counts changes as not sent whose acknowledgement has been outstanding for `after`.
    pub(super) fn resend(&mut self, now: Moment, after: Duration) {
        let is_overdue =
            |progress: &&mut Progress| progress.unacked_since.is_some_and(|at| at + after <= now);
        self.tables.iter_mut().filter(is_overdue).for_each(Progress::rewind);
    }

    /// Whether the table has changes that were not sent to the peer.
    pub(super) fn has_unsent(&self, scope: Scope, local: &LocalTable) -> bool {
        self.tables[scope as usize].sent < local.last()
    }

    /// Returns the changes that were not sent to the peer yet, within the size limit, and counts
    /// them as sent.
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
            // The reader discards its copy, which may hold removed facts, unless its
            // acknowledgement is still on its way. So facts are sent in full again.
            progress.names.clear();
        }
        let delta = local.delta(now, scope, progress.sent, &progress.names, limit);
        if delta.span == 0 {
            return None;
        }
        progress.names.note(&delta);
        progress.sent += delta.span;
        progress.unacked_since = progress.unacked_since.or(Some(now));
        Some(delta)
    }
}
