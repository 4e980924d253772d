//! When each server is to be advanced next.
//!
//! A server is due at once after a change, or at the time of its next deadline. A server with
//! neither takes no part in an advance.

use std::collections::{BTreeMap, BTreeSet};

use types::{backend, time::Moment};

/// Servers that are due at once, and those with a deadline.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    pending: BTreeSet<backend::Id>,
    deadlines: BTreeSet<(Moment, backend::Id)>,
    /// Deadline of each server in [`deadlines`](Self::deadlines).
    times: BTreeMap<backend::Id, Moment>,
}

impl Schedule {
    /// Makes a server due at once.
    pub fn mark(&mut self, server: &backend::Id) {
        if !self.pending.contains(server) {
            self.pending.insert(server.clone());
        }
    }

    /// Replaces the time at which a server is due; `None` if only a change makes it due.
    pub fn set(&mut self, server: &backend::Id, at: Option<Moment>, now: Moment) {
        self.forget(server);
        match at {
            Some(at) if now < at => {
                self.deadlines.insert((at, server.clone()));
                self.times.insert(server.clone(), at);
            }
            Some(_) => self.mark(server),
            None => {}
        }
    }

    /// Removes a server.
    pub fn forget(&mut self, server: &str) {
        self.pending.remove(server);
        if let Some((id, at)) = self.times.remove_entry(server) {
            self.deadlines.remove(&(at, id));
        }
    }

    /// Removes all servers.
    pub fn clear(&mut self) {
        *self = Schedule::default();
    }

    /// Servers that are due at once.
    pub fn pending(&self) -> impl Iterator<Item = &backend::Id> {
        self.pending.iter()
    }

    /// Servers that are due, in order of their ids.
    pub fn due(&self, now: Moment) -> Vec<backend::Id> {
        let passed = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        let mut due: Vec<backend::Id> =
            passed.map(|(_, id)| id).chain(&self.pending).cloned().collect();
        due.sort_unstable();
        due.dedup();
        due
    }
}
