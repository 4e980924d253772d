//! The servers that a host knows.
//!
//! Changes of the servers come from the store and from peers. Both are ordered by the store's
//! revisions: the directory is complete up to [`Directory::revision`], each entry has the revision
//! at which it was written, and older information never replaces newer. The list of a peer that has
//! not received a removal yet therefore does not restore the entry, and that of a peer that has not
//! received a rewritten entry does not remove it. No list of removed entries is needed.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use exchange::{ServerListing, Suspect};
use types::{
    prelude::*,
    routed::{LoadedModel, Server, State},
};

use crate::edge::Revision;

/// The known servers, by id.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<backend::Id, Entry>,
    /// The current run of each server name.
    runs: HashMap<Arc<str>, backend::Id>,
    /// Runs that leave for good, whatever the store says. A run stays here after its entry is removed,
    /// as the entry may be written again.
    left: HashSet<backend::Id>,
    revision: Revision,
}

/// Most runs that are remembered as leaving for good.
const MAX_LEFT: usize = 4096;

/// A server in use.
#[derive(Debug)]
struct Entry {
    server: Arc<Server>,
    /// Revision at which the store's entry was written.
    written: Revision,
    presence: Presence,
    /// Store revision up to which a peer has reported that the server is leaving.
    left_at: Option<Revision>,
}

/// Whether the store has an entry for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Registered,
    /// The entry was removed while the store was degraded, and may be written again.
    Suspect {
        /// Time after which the server is removed.
        until: Moment,
    },
}

/// The difference between a list of servers and the directory.
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
    /// Returns the store revision up to which the directory is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that all changes up to a revision are included.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &backend::Id) -> Option<&Arc<Server>> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// Returns the current run of a server by its name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Server>> {
        self.get(self.runs.get(name)?)
    }

    /// Returns whether a later run of a server is known.
    pub fn is_superseded(&self, server: &Server) -> bool {
        self.by_name(&server.name).is_some_and(|known| server.started_at < known.started_at)
    }

    /// Returns the revision at which a server's entry was written.
    pub fn written(&self, id: &backend::Id) -> Option<Revision> {
        self.entries.get(id).map(|entry| entry.written)
    }

    /// Returns the servers in use: registered and suspected ones.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Adds or replaces a server with an entry written at a revision. Returns `None` and changes
    /// nothing if a newer entry or a later run is known.
    pub fn put(&mut self, server: Server, written: Revision) -> Option<Arc<Server>> {
        let is_older = self.written(&server.id).is_some_and(|known| written < known);
        if is_older || self.is_superseded(&server) {
            return None;
        }
        let mut server = server;
        if self.left.contains(&server.id) {
            server.state = State::Draining;
        }
        let server = Arc::new(server);
        let known = self.runs.get(&server.name).and_then(|run| self.entries.get(run));
        let left_at = known.and_then(|known| known.left_at);
        let presence = Presence::Registered;
        let entry = Entry { server: server.clone(), written, presence, left_at };
        self.entries.insert(server.id.clone(), entry);
        let before = self.runs.insert(server.name.clone(), server.id.clone());
        if let Some(before) = before.filter(|before| *before != server.id) {
            self.entries.remove(&before);
        }
        Some(server)
    }

    /// Sets the models that a server holds.
    pub fn set_models(&mut self, id: &backend::Id, models: &[LoadedModel]) {
        if let Some(entry) = self.entries.get_mut(id) {
            Arc::make_mut(&mut entry.server).models = models.to_vec();
        }
    }

    /// Returns whether an entry was rewritten after a removal at this revision, so that the removal
    /// is obsolete. A removal without a revision (0) is never obsolete.
    pub fn is_newer(&self, id: &backend::Id, removed: Revision) -> bool {
        0 < removed && self.entries.get(id).is_some_and(|entry| removed < entry.written)
    }

    /// Records that a server is leaving, as a peer reports as of a store revision.
    pub fn mark_leaving(&mut self, id: &backend::Id, revision: Revision) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.left_at = entry.left_at.max(Some(revision));
        }
    }

    /// Records that a server's run leaves for good: neither an earlier nor a later entry takes that
    /// back. Returns the server if that is new; `None` if it was leaving or isn't known.
    pub fn mark_left(&mut self, id: &backend::Id) -> Option<Arc<Server>> {
        if MAX_LEFT <= self.left.len() {
            self.left.retain(|id| self.entries.contains_key(id));
        }
        let is_new = self.left.insert(id.clone());
        let entry = self.entries.get_mut(id)?;
        let was_draining = entry.server.state == State::Draining;
        Arc::make_mut(&mut entry.server).state = State::Draining;
        (is_new && !was_draining).then(|| entry.server.clone())
    }

    /// Returns whether a server accepts no new requests: its entry says that it is draining, or a
    /// peer has reported that it is leaving and the entry was not rewritten since.
    pub fn is_leaving(&self, id: &backend::Id) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            entry.server.state == State::Draining || Some(entry.written) <= entry.left_at
        })
    }

    /// Marks a server as suspected: its entry was removed and may be written again before `until`.
    pub fn mark_suspect(&mut self, id: &backend::Id, until: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.presence = Presence::Suspect { until };
        }
    }

    /// Returns whether a server's entry was removed and not written again. Reports of the server
    /// itself do not change this.
    pub fn is_suspect(&self, id: &backend::Id) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.presence != Presence::Registered)
    }

    /// Returns the time for which a suspected server may still be used; `None` if the server is not
    /// suspected.
    pub fn suspected_for(&self, id: &backend::Id, now: Moment) -> Option<Duration> {
        match self.entries.get(id)?.presence {
            Presence::Registered => None,
            Presence::Suspect { until } => Some(until.saturating_sub(now)),
        }
    }

    /// Returns the list for a peer that knows all entries written up to the revision `above`: the
    /// registered servers, as confirmed by the store `age` ago, and the suspected ones. A peer that
    /// uses a suspected server keeps it for its remaining time; a peer that does not know the
    /// server does not add it.
    pub fn listing_for_peer(&self, above: Revision, age: Duration, now: Moment) -> ServerListing {
        let mut list = ServerListing { revision: self.revision, age, ..ServerListing::default() };
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

    /// Compares the store's list with the directory. The difference is empty if a peer has sent a
    /// later list meanwhile.
    pub fn diff_store_list(&self, list: ServerListing) -> Delta {
        if list.revision < self.revision {
            return Delta::default();
        }
        Delta { deleted: self.unlisted(&list), upserted: list.servers, ..Delta::default() }
    }

    /// Compares a peer's list with the directory. The difference is empty if the list is not newer
    /// than the directory.
    ///
    /// An entry that was written up to the directory's revision is ignored: the directory either
    /// has it already or has seen its removal. Without this check, a host that had removed a server
    /// took it back for good from a peer that still used the server, since the store reports a
    /// removal once.
    pub fn diff_peer_list(&self, list: ServerListing) -> Delta {
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

    /// Returns the servers that a list does not contain as registered and that were not written
    /// after the list was made.
    fn unlisted(&self, list: &ServerListing) -> Vec<backend::Id> {
        let listed: HashSet<&backend::Id> = list.ids.iter().collect();
        let is_gone = |(id, entry): &(&backend::Id, &Entry)| {
            !listed.contains(id) && entry.written <= list.revision
        };
        self.entries.iter().filter(is_gone).map(|(id, _)| id.clone()).collect()
    }

    /// Removes a server.
    pub fn remove(&mut self, id: &backend::Id) {
        let Some(entry) = self.entries.remove(id) else { return };
        if self.runs.get(&entry.server.name) == Some(id) {
            self.runs.remove(&entry.server.name);
        }
    }
}
