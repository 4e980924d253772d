//! Requests that crash the servers that run them.
//!
//! A request whose connection was cut in mid-run is charged with a crash, and so is everything that
//! was in flight beside it. An answer that comes whole clears it: what crashes each server that
//! runs it never gets one. From the second crash on a request is a suspect and runs in a trial: one
//! suspect at a time on a host, on the server with the least to lose. A crash during a trial is
//! explained by the suspect, and what ran beside it is charged with nothing. After the third crash
//! the request reaches no server again until its entry expires.
//!
//! Hosts tell each other the crashes that they have seen themselves, so the sum over all hosts is
//! what counts and no crash is counted twice.

use std::collections::{BTreeMap, VecDeque};

use types::prelude::*;

use super::{Map, ask::Ticket};

/// What a request is known by: a digest of its path and body, which are what a server sees.
pub type Fingerprint = u64;

/// Crashes from which on a request runs in a trial.
pub const SUSPECT: u32 = 2;

/// Crashes after which a request reaches no server.
pub const POISON: u32 = 3;

/// How long an entry is kept without a further crash.
const LIFE: Duration = Duration::from_secs(120);

/// Most entries kept.
const ENTRIES: usize = 1024;

/// Most of a host's own entries that it tells.
const TOLD: usize = 64;

/// How long a host tells that it has cleared a request.
const CLEARING: Duration = Duration::from_secs(3);

/// Most explained crashes remembered.
const EXPLAINED: usize = 16;

/// What is thought of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It runs in trials only.
    Suspect,
    /// It reaches no server.
    Poison,
}

/// Crashes that a peer has told, and how many of them count no more.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    crashes: u32,
    cleared: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Crashes that this host has seen.
    own: u32,
    /// The server of the last of these, since two copies of a request may fall in one crash.
    server: Option<backend::Id>,
    /// Crashes that peers have seen.
    peers: BTreeMap<host::Id, Told>,
    heard: Moment,
    /// When an answer came whole here.
    completed: Option<Moment>,
}

impl Entry {
    fn crashes(&self) -> u32 {
        self.own + self.peers.values().map(|t| t.crashes.saturating_sub(t.cleared)).sum::<u32>()
    }

    /// What was told so far counts no more, also when it is told again.
    fn clear(&mut self) {
        self.own = 0;
        for told in self.peers.values_mut() {
            told.cleared = told.crashes;
        }
    }
}

/// Crashes by request.
#[derive(Clone, Debug, Default)]
pub struct Poison {
    entries: Map<Fingerprint, Entry>,
    trial: Option<(Ticket, backend::Id)>,
    /// Servers whose crash is explained by a trial; a restart has another id.
    explained: VecDeque<backend::Id>,
}

impl Poison {
    /// What is thought of a request.
    pub fn standing(&self, fingerprint: Fingerprint) -> Standing {
        match self.entries.get(&fingerprint).map_or(0, Entry::crashes) {
            POISON.. => Standing::Poison,
            SUSPECT.. => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Whether a trial is open.
    pub fn is_trying(&self) -> bool {
        self.trial.is_some()
    }

    /// A suspect is sent.
    pub fn try_out(&mut self, ticket: Ticket, server: &backend::Id) {
        self.trial = Some((ticket, server.clone()));
    }

    /// A request's run was cut off by what looks like a crash.
    pub fn crashed(
        &mut self,
        ticket: Ticket,
        fingerprint: Fingerprint,
        server: &backend::Id,
        now: Moment,
    ) {
        match &self.trial {
            Some((other, at)) if at == server => {
                let is_its_own = *other == ticket;
                self.explain(server);
                if !is_its_own {
                    return;
                }
            }
            _ if self.explained.contains(server) => return,
            _ => {}
        }
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.server.as_ref() != Some(server) {
            entry.own += 1;
            entry.server = Some(server.clone());
            entry.heard = now;
            entry.completed = None;
        }
        self.keep_within_bounds();
    }

    /// A request got its whole answer.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.clear();
            entry.completed = Some(now);
        }
    }

    /// An attempt is over, whatever came of it.
    pub fn ended(&mut self, ticket: Ticket) {
        if self.trial.as_ref().is_some_and(|(other, _)| *other == ticket) {
            self.trial = None;
        }
    }

    /// The crashes that this host has seen, and none for what it has just cleared; for peers.
    pub fn marks(&self, now: Moment) -> Vec<(Fingerprint, u32)> {
        let is_told =
            |entry: &Entry| 0 < entry.own || entry.completed.is_some_and(|at| now < at + CLEARING);
        let mut own: Vec<(Moment, Fingerprint, u32)> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_told(entry))
            .map(|(fingerprint, entry)| (entry.heard, *fingerprint, entry.own))
            .collect();
        own.sort_unstable_by(|a, b| b.cmp(a));
        own.truncate(TOLD);
        own.into_iter().map(|(_, fingerprint, crashes)| (fingerprint, crashes)).collect()
    }

    /// All crashes that a peer has seen, in place of what it told before.
    pub fn mark(&mut self, host: &host::Id, marks: &[(Fingerprint, u32)], now: Moment) {
        for (fingerprint, crashes) in marks {
            if *crashes == 0 {
                if let Some(entry) = self.entries.get_mut(fingerprint) {
                    entry.clear();
                }
                continue;
            }
            let entry = self.entries.entry(*fingerprint).or_default();
            let told = entry.peers.entry(host.clone()).or_default();
            if told.crashes != *crashes {
                entry.heard = now;
            }
            // A lower count means that the peer has counted anew.
            *told = Told { crashes: *crashes, cleared: told.cleared.min(*crashes) };
        }
        self.keep_within_bounds();
    }

    /// Drops what is old.
    pub fn expire(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now < entry.heard + LIFE);
    }

    fn explain(&mut self, server: &backend::Id) {
        if !self.explained.contains(server) {
            self.explained.truncate(EXPLAINED - 1);
            self.explained.push_front(server.clone());
        }
    }

    /// Drops the oldest of what is too much.
    fn keep_within_bounds(&mut self) {
        let excess = self.entries.len().saturating_sub(ENTRIES);
        if excess == 0 {
            return;
        }
        let mut heard: Vec<Moment> = self.entries.values().map(|entry| entry.heard).collect();
        heard.sort_unstable();
        let oldest = heard[excess - 1];
        self.entries.retain(|_, entry| oldest < entry.heard);
    }
}
