//! Which crashes of a request count, and which are explained by another request.

use types::prelude::*;

use super::{
    Fingerprint, Isolation, POISON, Poison,
    record::{CrashRecord, Entry},
};

impl Poison {
    /// Servers of the crashes that count and that no other request explains.
    pub(super) fn unexplained<'a>(
        &self,
        request: Fingerprint,
        entry: &'a Entry,
    ) -> Vec<&'a backend::Id> {
        let mut counted = self.counted(request, entry);
        let own = counted.len();
        counted.retain(|server| !self.is_explained(request, server, own));
        counted
    }

    /// Servers of the crashes that count, except those where another request ran isolated. Of two
    /// requests that ran isolated on one server neither explains its crash.
    pub(super) fn counted<'a>(
        &self,
        request: Fingerprint,
        entry: &'a Entry,
    ) -> Vec<&'a backend::Id> {
        let ran_isolated = |server: &backend::Id, other: &Entry| {
            other
                .records_at(server)
                .any(|record| record.isolation == Isolation::Isolated && record.is_counted())
        };
        let other_ran_isolated = |server: &backend::Id| {
            self.others(request, server).any(|(_, other)| ran_isolated(server, other))
        };
        entry.counted().into_iter().filter(|server| !other_ran_isolated(server)).collect()
    }

    /// Whether a crash is explained by another request at the server that has crashed enough
    /// servers to be refused, and more than this request, which has crashed `own`.
    pub(super) fn is_explained(
        &self,
        request: Fingerprint,
        server: &backend::Id,
        own: usize,
    ) -> bool {
        self.others(request, server).any(|(fingerprint, other)| {
            let is_there = other.records_at(server).any(CrashRecord::is_counted);
            is_there && own.max(POISON - 1) < self.counted(fingerprint, other).len()
        })
    }

    /// Other requests that were at a server.
    pub(super) fn others<'a>(
        &'a self,
        request: Fingerprint,
        server: &backend::Id,
    ) -> impl Iterator<Item = (Fingerprint, &'a Entry)> {
        let there = self.at_servers.get(server).into_iter().flatten();
        let others = there.filter(move |other| **other != request);
        others.filter_map(|other| Some((*other, self.entries.get(other)?)))
    }
}
