//! Requests that crash the servers that run them.
//!
//! A [`Crash`] states that a request was at a run of a server when that run ended. Each host stores
//! the crashes that it knows and sends them to others, including those that it only received. Sets
//! of crashes are merged in any order and any number of times, so no crash counts twice, a
//! restarted host gets them from any other host, and nothing is lost when a host fails.
//!
//! A crash stops counting when it is void: the server's run answered something that was sent to it
//! later, or the request completed somewhere. It also doesn't count while another request explains
//! it: one that ran isolated on that server, or one that has crashed more servers and is refused.
//!
//! From the second crash on a request is a suspect and runs isolated from other suspects: one at a
//! time on a host, preferably on the server with the fewest requests in flight. Hosts advertise
//! such runs like crashes, so that no other host sends the same request, or another suspect to the
//! same server, in the meantime. After the third crash the request is poison: it reaches no server
//! any more.
//!
//! A cut connection is no proof of a crash. A run ends only once, so it outlived the cut if
//! something that was sent to it later is answered, or cut as well. Poison therefore waits, and is
//! refused only once three of its crashes are settled: the registration of the server has ended, or
//! nothing has voided the crash for [`SETTLE_TIME`].

mod blame;
mod completed;
mod crash;
mod record;
mod sharing;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use types::prelude::*;

use self::{
    completed::CompletedRequests,
    record::{CrashRecord, Entry, crashes_of},
};
pub use self::{
    crash::{Crash, CrashState, Isolation},
    sharing::SETTLE_TIME,
};
use super::{Map, request::Ticket};

/// Identifies a request: a digest of its path and body, which are what a server sees.
pub type Fingerprint = u64;

/// Number of crashes from which on a request is a suspect.
pub const SUSPECT: usize = 2;

/// Number of crashes from which on a request is refused.
pub const POISON: usize = 3;

/// How long a request is remembered after its last crash, if it ran isolated in one of its crashes.
pub const LIFE: Duration = Duration::from_secs(3600);

/// How long a request is remembered after its last crash, if it shared the server with other
/// requests in all of its crashes.
pub const SUSPICION: Duration = Duration::from_secs(600);

/// Time after a cut within which a request may still be sent on a connection whose end has not
/// been noticed.
const NOTICE_TIME: Duration = Duration::from_millis(100);

/// Most requests remembered; those with the fewest crashes are evicted first.
const MAX_REQUESTS: usize = 1024;

/// Time between the end of an attempt and the end of its server's registration within which the
/// attempt may have crashed the server.
const UNRESOLVED_LIFE: Duration = Duration::from_secs(8);

/// Most attempts remembered whose servers may have crashed.
const MAX_UNRESOLVED: usize = 512;

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The request is sent like any other.
    Clear,
    /// The request runs isolated from other suspects.
    Suspect,
    /// The request reaches no server, and is refused once its crashes are settled.
    Poison,
}

/// A change of a request's standing, with the crashes behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandingChange {
    /// The request.
    pub request: Fingerprint,
    /// The new standing.
    pub standing: Standing,
    /// All known crashes of the request, including void ones.
    pub crashes: Vec<Crash>,
}

/// The isolated run of a suspect.
#[derive(Clone, Debug)]
struct Trial {
    ticket: Ticket,
    request: Fingerprint,
    server: backend::Id,
}

/// An attempt that ended without showing whether its server crashed.
#[derive(Clone, Debug)]
struct UnresolvedAttempt {
    request: Fingerprint,
    server: backend::Id,
    isolation: Isolation,
    ended_at: Moment,
}

/// Crashes by request, as one host knows them.
#[derive(Clone, Debug)]
pub struct Poison {
    host: host::Id,
    entries: Map<Fingerprint, Entry>,
    /// Requests by the servers in their crashes.
    at_servers: BTreeMap<backend::Id, BTreeSet<Fingerprint>>,
    trial: Option<Trial>,
    unresolved: VecDeque<UnresolvedAttempt>,
    completed: CompletedRequests,
    /// Requests whose records have changed since the last call of [`Poison::take_changes`].
    changed: BTreeSet<Fingerprint>,
}

impl Poison {
    /// Creates an empty record for this host.
    pub fn new(host: host::Id) -> Poison {
        Poison {
            host,
            entries: Map::default(),
            at_servers: BTreeMap::new(),
            trial: None,
            unresolved: VecDeque::new(),
            completed: CompletedRequests::default(),
            changed: BTreeSet::new(),
        }
    }

    /// How a request is to be treated.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        let Some(entry) = self.entries.get(&request) else { return Standing::Clear };
        if entry.crashes.len() < SUSPECT {
            return Standing::Clear;
        }
        match self.unexplained(request, entry).len() {
            POISON.. => Standing::Poison,
            SUSPECT.. => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Whether a request is refused: it is poison, and enough of its crashes are settled.
    pub fn is_refused(&self, request: Fingerprint, now: Moment) -> bool {
        let Some(entry) = self.entries.get(&request) else { return false };
        if entry.crashes.len() < POISON {
            return false;
        }
        let servers = self.unexplained(request, entry);
        POISON <= servers.into_iter().filter(|server| entry.is_settled(server, now)).count()
    }

    /// Whether a request that is not clear has to wait, because it is poison, another suspect runs
    /// on this host, or the same request runs anywhere.
    pub fn must_wait(&self, request: Fingerprint, now: Moment) -> bool {
        let entry = self.entries.get(&request);
        let runs = || entry.is_some_and(|entry| entry.crashes.values().any(|k| k.is_running(now)));
        self.standing(request) == Standing::Poison || self.trial.is_some() || runs()
    }

    /// Whether a suspect runs on a server.
    pub fn runs_suspect(&self, server: &backend::Id, now: Moment) -> bool {
        let there = self.at_servers.get(server).into_iter().flatten();
        let mut there = there.filter_map(|request| self.entries.get(request));
        there.any(|entry| entry.records_at(server).any(|record| record.is_running(now)))
    }

    /// Records that a suspect is assigned to a server.
    pub fn start_trial(&mut self, ticket: Ticket, request: Fingerprint, server: &backend::Id) {
        self.trial = Some(Trial { ticket, request, server: server.clone() });
    }

    /// Records that the first byte of a request is sent to its server.
    pub fn sent(&mut self, ticket: Ticket, now: Moment) {
        let trial = self.trial.as_ref().filter(|trial| trial.ticket == ticket);
        if let Some(Trial { request, server, .. }) = trial.cloned() {
            self.record(request, &server, Isolation::Isolated, CrashState::Running, now);
        }
    }

    /// Records that a request's run, which began when it was sent at `sent`, was cut off by what
    /// looks like a crash of its server.
    pub fn crashed(
        &mut self,
        ticket: Ticket,
        request: Fingerprint,
        server: &backend::Id,
        sent: Moment,
        now: Moment,
    ) {
        // The run that was cut off now had not ended in an earlier crash.
        self.answered(server, sent.saturating_sub(NOTICE_TIME), now);
        self.record(request, server, Isolation::Shared, CrashState::Counted, now);
        // The suspect explains the crash regardless of which broken connection is found first.
        if let Some(trial) = self.trial.as_ref().filter(|trial| trial.server == *server) {
            let suspect = if trial.ticket == ticket { request } else { trial.request };
            self.record(suspect, server, Isolation::Isolated, CrashState::Counted, now);
        }
    }

    /// Records that a request's attempt ended without a response. The request may nevertheless
    /// crash the server.
    pub fn unclear(
        &mut self,
        ticket: Ticket,
        request: Fingerprint,
        server: &backend::Id,
        now: Moment,
    ) {
        let is_trial = self.trial.as_ref().is_some_and(|trial| trial.ticket == ticket);
        let isolation = if is_trial { Isolation::Isolated } else { Isolation::Shared };
        if self.unresolved.len() == MAX_UNRESOLVED {
            self.unresolved.pop_front();
        }
        self.unresolved.push_back(UnresolvedAttempt {
            request,
            server: server.clone(),
            isolation,
            ended_at: now,
        });
    }

    /// Records that a server's registration ended without draining.
    pub fn gone(&mut self, server: &backend::Id, now: Moment) {
        let (of_server, others) = std::mem::take(&mut self.unresolved)
            .into_iter()
            .partition(|attempt| attempt.server == *server);
        self.unresolved = others;
        let of_server: VecDeque<UnresolvedAttempt> = of_server;
        for UnresolvedAttempt { request, isolation, ended_at, .. } in of_server {
            if now < ended_at + UNRESOLVED_LIFE {
                self.record(request, server, isolation, CrashState::Counted, now);
            }
        }
        let there = self.at_servers.get(server).cloned().unwrap_or_default();
        for request in there {
            let entry = self.entries.get(&request);
            if entry
                .is_some_and(|entry| entry.records_at(server).any(|record| record.is_running(now)))
            {
                self.record(request, server, Isolation::Isolated, CrashState::Counted, now);
            }
            if let Some(entry) = self.entries.get_mut(&request) {
                entry.settle(server, now);
            }
        }
    }

    /// Records that a server answered a request that was sent to it at `sent`, so that it had not
    /// crashed before then.
    pub fn answered(&mut self, server: &backend::Id, sent: Moment, now: Moment) {
        let is_resolved =
            |attempt: &UnresolvedAttempt| attempt.server == *server && attempt.ended_at < sent;
        let resolved: Vec<Fingerprint> = self
            .unresolved
            .iter()
            .filter(|attempt| is_resolved(attempt))
            .map(|attempt| attempt.request)
            .collect();
        self.unresolved.retain(|attempt| !is_resolved(attempt));
        for request in resolved {
            self.void(request, now, |other, record| {
                other == server && record.state == CrashState::Running
            });
        }
        let Some(requests) = self.at_servers.get(server) else { return };
        for request in requests.clone() {
            let is_before = |record: &CrashRecord| record.is_counted() && record.seen_at < sent;
            self.void(request, now, |other, record| other == server && is_before(record));
        }
    }

    /// Records that a request received its complete response.
    pub fn completed(&mut self, request: Fingerprint, now: Moment) {
        self.completed.add(request, now);
        self.void(request, now, |_, _| true);
    }

    /// Records that an attempt has ended, with any outcome. It ends the request's trial, and voids
    /// the trial's record unless the attempt is unresolved.
    pub fn ended(&mut self, ticket: Ticket, now: Moment) {
        let Some(trial) = self.trial.take_if(|trial| trial.ticket == ticket) else { return };
        let is_same = |attempt: &UnresolvedAttempt| {
            attempt.request == trial.request && attempt.server == trial.server
        };
        if !self.unresolved.iter().any(is_same) {
            let is_running = |record: &CrashRecord| record.state == CrashState::Running;
            self.void(trial.request, now, |other, record| {
                *other == trial.server && is_running(record)
            });
        }
    }

    /// Returns the changes of standings since the last call.
    pub fn take_changes(&mut self, now: Moment) -> Vec<StandingChange> {
        let mut changes = Vec::new();
        for request in std::mem::take(&mut self.changed) {
            let standing = self.standing(request);
            let Some(entry) = self.entries.get_mut(&request) else { continue };
            let before = entry.reported.replace(standing).unwrap_or(Standing::Clear);
            if before != standing {
                let crashes = crashes_of(request, entry, now);
                changes.push(StandingChange { request, standing, crashes });
            }
        }
        changes
    }

    /// Removes expired requests and unresolved attempts.
    pub fn expire(&mut self, now: Moment) {
        let (old, recent): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.unresolved)
            .into_iter()
            .partition(|attempt| attempt.ended_at + UNRESOLVED_LIFE <= now);
        self.unresolved = recent;
        for UnresolvedAttempt { request, server, .. } in old {
            self.void(request, now, |other, record| {
                *other == server && record.state == CrashState::Running
            });
        }
        let old = self.entries.iter().filter(|(_, entry)| entry.expires_at() <= now);
        let old: Vec<Fingerprint> = old.map(|(request, _)| *request).collect();
        old.into_iter().for_each(|request| self.forget(request));
    }

    fn void(
        &mut self,
        request: Fingerprint,
        now: Moment,
        is_affected: impl Fn(&backend::Id, &CrashRecord) -> bool,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        for ((server, _), record) in &mut entry.crashes {
            if record.state < CrashState::Void && is_affected(server, record) {
                record.state = CrashState::Void;
                record.voided_at = Some(now);
                self.changed.insert(request);
                self.changed.extend(self.at_servers.get(server).into_iter().flatten());
            }
        }
    }

    fn forget(&mut self, request: Fingerprint) {
        let Some(entry) = self.entries.remove(&request) else { return };
        for (server, _) in entry.crashes.keys() {
            let Some(there) = self.at_servers.get_mut(server) else { continue };
            there.remove(&request);
            if there.is_empty() {
                self.at_servers.remove(server);
            }
        }
    }

    /// Evicts requests beyond [`MAX_REQUESTS`]: those with the fewest crashes first, and of these
    /// the oldest first.
    fn keep_within_bounds(&mut self) {
        let excess = self.entries.len().saturating_sub(MAX_REQUESTS);
        if excess == 0 {
            return;
        }
        let rank = |(request, entry): (&Fingerprint, &Entry)| {
            (entry.counted().len(), entry.expires_at(), *request)
        };
        let mut ranked: Vec<_> = self.entries.iter().map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(excess).for_each(|(_, _, request)| self.forget(request));
    }
}
