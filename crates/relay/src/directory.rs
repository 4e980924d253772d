//! What a host knows of the servers.
//!
//! News of the servers come from the store, and from peers. Both are
//! ordered by the store's revisions: the directory is complete as of [`Directory::revision`], each entry has the
//! revision at which it was written, and what is older never replaces what is younger. So an entry that
//! the store has taken off does not come back by a peer that learns of it later, and one that was written
//! since is not taken off by a peer that is behind. No list of removed entries has to be kept for that.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use exchange::{Registered, Suspect};
use types::{
    prelude::*,
    routed::{Held, Server, State},
};

use crate::edge::Revision;

/// The servers by their ids.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<backend::Id, Entry>,
    /// The run that each server's name stands for.
    runs: HashMap<Arc<str>, backend::Id>,
    revision: Revision,
}

/// A server that is used.
#[derive(Debug)]
struct Entry {
    server: Arc<Server>,
    /// When the store's entry was written.
    written: Revision,
    presence: Presence,
    /// The revision as of which a peer has said that the server leaves.
    left_at: Option<Revision>,
}

/// Whether the store has an entry of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Registered,
    /// It went, and may come back.
    Suspect {
        /// When it is too late for that.
        until: Moment,
    },
}

/// What a list of the servers changes in the directory.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Entries that were written after the directory's revision.
    pub upserted: Vec<exchange::Entry>,
    /// Servers whose entries were deleted.
    pub deleted: Vec<backend::Id>,
    /// Servers whose entries were deleted and may be written again.
    pub suspected: Vec<Suspect>,
}

impl Directory {
    /// The store's revision as of which this is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Everything up to a revision has been taken in.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// A server.
    pub fn get(&self, id: &backend::Id) -> Option<&Arc<Server>> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// The run that a name stands for.
    pub fn named(&self, name: &str) -> Option<&Arc<Server>> {
        self.get(self.runs.get(name)?)
    }

    /// Whether a later run of a server is known.
    pub fn is_superseded(&self, server: &Server) -> bool {
        self.named(&server.name).is_some_and(|known| server.born < known.born)
    }

    /// When a server's entry was written.
    pub fn written(&self, id: &backend::Id) -> Option<Revision> {
        self.entries.get(id).map(|entry| entry.written)
    }

    /// Those that are used: registered, or suspected.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Takes in a server as of a revision, unless a later one or a later run of it is known.
    pub fn put(&mut self, server: Server, written: Revision) -> Option<Arc<Server>> {
        let is_older = self.written(&server.id).is_some_and(|known| written < known);
        if is_older || self.is_superseded(&server) {
            return None;
        }
        let server = Arc::new(server);
        let left_at = self.entries.get(&server.id).and_then(|known| known.left_at);
        let presence = Presence::Registered;
        let entry = Entry { server: server.clone(), written, presence, left_at };
        self.entries.insert(server.id.clone(), entry);
        let before = self.runs.insert(server.name.clone(), server.id.clone());
        if let Some(before) = before.filter(|before| *before != server.id) {
            self.entries.remove(&before);
        }
        Some(server)
    }

    /// A server holds just these.
    pub fn reported(&mut self, id: &backend::Id, models: &[Held]) {
        if let Some(entry) = self.entries.get_mut(id) {
            Arc::make_mut(&mut entry.server).models = models.to_vec();
        }
    }

    /// Whether an entry was written again after a removal at this revision, which then is no news. A
    /// removal whose revision is not told is news.
    pub fn is_newer(&self, id: &backend::Id, removed: Revision) -> bool {
        0 < removed && self.entries.get(id).is_some_and(|entry| removed < entry.written)
    }

    /// Notes that a server leaves, as a peer has it from the store as of a revision.
    pub fn leave(&mut self, id: &backend::Id, revision: Revision) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.left_at = entry.left_at.max(Some(revision));
        }
    }

    /// Whether a server takes nothing new: its entry says that it drains, or a peer has said that it
    /// leaves and the entry was not written since.
    pub fn is_leaving(&self, id: &backend::Id) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            entry.server.state == State::Draining || Some(entry.written) <= entry.left_at
        })
    }

    /// A server's entry went, and may come back until then.
    pub fn suspect(&mut self, id: &backend::Id, until: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.presence = Presence::Suspect { until };
        }
    }

    /// Whether a server's entry went and has not come back, whatever else was heard of it.
    pub fn is_suspect(&self, id: &backend::Id) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.presence != Presence::Registered)
    }

    /// Time for which a suspected server may still be used.
    pub fn suspected_for(&self, id: &backend::Id, now: Moment) -> Option<Duration> {
        match self.entries.get(id)?.presence {
            Presence::Registered => None,
            Presence::Suspect { until } => Some(until.saturating_sub(now)),
        }
    }

    /// What a peer is told that knows what was written up to a revision: the servers that are registered,
    /// as the store had them so long ago, and which others are suspected. A peer that uses a suspected one
    /// keeps it for the rest of its time; one that does not know it does not learn of it.
    pub fn registered(&self, above: Revision, age: Duration, now: Moment) -> Registered {
        let mut list = Registered { revision: self.revision, age, ..Registered::default() };
        for (id, entry) in &self.entries {
            if let Presence::Suspect { until } = entry.presence {
                let left = until.saturating_sub(now);
                list.suspects.push(Suspect { id: id.clone(), left });
                continue;
            }
            list.ids.push(id.clone());
            if above < entry.written {
                let server = (*entry.server).clone();
                list.servers.push(exchange::Entry { written: entry.written, server });
            }
        }
        list
    }

    /// What the store's list changes; nothing if a peer has told of a later one meanwhile.
    pub fn diff_store_list(&self, list: Registered) -> Delta {
        if list.revision < self.revision {
            return Delta::default();
        }
        Delta { deleted: self.unlisted(&list), upserted: list.servers, ..Delta::default() }
    }

    /// What a peer's list changes; nothing if it is as old as what is known here.
    ///
    /// An entry that was written by the revision of this directory is known as it is here, or has gone
    /// since. Without that check, a host that had dropped a server took it back from a peer that still used
    /// it, for good, since the store says once that an entry went.
    pub fn diff_peer_list(&self, list: Registered) -> Delta {
        if list.revision <= self.revision {
            return Delta::default();
        }
        let mut delta = Delta::default();
        let unlisted = self.unlisted(&list);
        let mut suspects: HashMap<_, _> =
            list.suspects.into_iter().map(|suspect| (suspect.id.clone(), suspect)).collect();
        for id in unlisted {
            match suspects.remove(&id) {
                Some(suspect) => delta.suspected.push(suspect),
                None => delta.deleted.push(id),
            }
        }
        let is_newer = |entry: &exchange::Entry| self.revision < entry.written;
        delta.upserted = list.servers.into_iter().filter(is_newer).collect();
        delta
    }

    /// Servers that a list does not have as registered, and that were not written after it.
    fn unlisted(&self, list: &Registered) -> Vec<backend::Id> {
        let listed: HashSet<&backend::Id> = list.ids.iter().collect();
        let is_gone = |(id, entry): &(&backend::Id, &Entry)| {
            !listed.contains(id) && entry.written <= list.revision
        };
        self.entries.iter().filter(is_gone).map(|(id, _)| id.clone()).collect()
    }

    /// A server is no longer registered.
    pub fn remove(&mut self, id: &backend::Id) {
        let Some(entry) = self.entries.remove(id) else { return };
        if self.runs.get(&entry.server.name) == Some(id) {
            self.runs.remove(&entry.server.name);
        }
    }
}
