//! Which crashes of a subject count, and which are explained by another one.

use types::prelude::*;

use super::{
    POISON, Poison, Subject, TIED_POISON,
    record::{CrashRecord, Entry},
};

impl Poison {
    /// Servers of the crashes that count and that no other subject explains.
    pub(super) fn unexplained<'a>(
        &self,
        subject: Subject,
        entry: &'a Entry,
    ) -> Vec<&'a backend::Id> {
        let mut counted = self.counted(subject, entry);
        let own = counted.len();
        counted.retain(|server| !self.is_explained(subject, server, own));
        counted
    }

    /// Number of crashes from which on a subject is poison, given the servers of those that no other
    /// subject explains.
    pub(super) fn poison_threshold(&self, subject: Subject, servers: &[&backend::Id]) -> usize {
        let is_part = |subject: &Subject| matches!(subject, Subject::Part(_));
        let Some(first) = servers.first().filter(|_| is_part(&subject)) else { return POISON };
        let was_there =
            |entry: &Entry, server| entry.records_at(server).any(CrashRecord::is_counted);
        let mut others = self.others(subject, first).filter(|(other, _)| is_part(other));
        let is_tied =
            others.any(|(_, entry)| servers.iter().all(|server| was_there(entry, server)));
        if is_tied { TIED_POISON } else { POISON }
    }

    /// Servers of the crashes that count, except those where another subject ran isolated. Of two
    /// requests that ran isolated on one server neither explains its crash. Parts that ran isolated
    /// on one server may be of one request, so each of them counts.
    pub(super) fn counted<'a>(&self, subject: Subject, entry: &'a Entry) -> Vec<&'a backend::Id> {
        let is_exempt = |server: &backend::Id| match subject {
            Subject::Request(_) => false,
            Subject::Part(_) => entry.ran_isolated(server),
        };
        let other_ran_isolated = |server: &backend::Id| {
            self.others(subject, server).any(|(_, other)| other.ran_isolated(server))
        };
        let counted = entry.counted().into_iter();
        counted.filter(|server| is_exempt(server) || !other_ran_isolated(server)).collect()
    }

    /// Whether a crash is explained by another subject at the server that has crashed enough servers
    /// to be refused, and more than this one, which has crashed `own`. A request explains as many
    /// crashes of a part: the part may be in no other request that crashed a server.
    pub(super) fn is_explained(&self, subject: Subject, server: &backend::Id, own: usize) -> bool {
        self.others(subject, server).any(|(other, entry)| {
            let is_there = entry.records_at(server).any(CrashRecord::is_counted);
            let is_tie_enough = matches!((subject, other), (Subject::Part(_), Subject::Request(_)));
            let enough = POISON.max(if is_tie_enough { own } else { own + 1 });
            is_there && enough <= self.counted(other, entry).len()
        })
    }

    /// Other subjects that were at a server.
    pub(super) fn others<'a>(
        &'a self,
        subject: Subject,
        server: &backend::Id,
    ) -> impl Iterator<Item = (Subject, &'a Entry)> {
        let there = self.at_servers.get(server).into_iter().flatten();
        let others = there.filter(move |other| **other != subject);
        others.filter_map(|other| Some((*other, self.entries.get(other)?)))
    }
}
