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

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, VecDeque, btree_map::Entry as Slot},
};

use serde::{Deserialize, Serialize};
use types::prelude::*;

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

/// Time for which requests wait for evidence that the servers of their crashes still run.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time after a cut within which a request may still be sent on a connection whose end has not
/// been noticed.
const NOTICE_TIME: Duration = Duration::from_millis(100);

/// Remaining life below which a received crash is not added again.
const MIN_REMAINING_LIFE: Duration = Duration::from_secs(5);

/// Most requests remembered; those with the fewest crashes are evicted first.
const MAX_REQUESTS: usize = 1024;

/// Most crashes sent to other hosts; those of requests with the most crashes are sent first.
const MAX_SENT: usize = 128;

/// How long a host sends a crash to others after it found the crash void.
const VOID_SEND_TIME: Duration = Duration::from_secs(10);

/// Time between the end of an attempt and the end of its server's registration within which the
/// attempt may have crashed the server.
const UNRESOLVED_LIFE: Duration = Duration::from_secs(8);

/// Length of a generation of completed requests. A completed request is assumed to crash no server
/// for at most two generations.
const COMPLETED_LIFE: Duration = Duration::from_secs(10);

/// Most completed requests remembered in each of two generations.
const MAX_COMPLETED: usize = 4096;

/// How long a suspect's run keeps other suspects away if the end of the run is not reported.
const MAX_RUN: Duration = Duration::from_secs(20);

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

/// How a request ran on the server that crashed. In a merge the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub enum Isolation {
    /// Together with other requests that are as likely to have crashed the server.
    #[serde(rename = "Beside")]
    Shared,
    /// As the only suspect on the server.
    #[serde(rename = "Apart")]
    Isolated,
}

/// Whether a crash counts. In a merge the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub enum CrashState {
    /// The server has not crashed so far: a suspect runs there.
    #[serde(rename = "Open")]
    Running,
    /// The crash counts.
    #[serde(rename = "Counts")]
    Counted,
    /// The server did not crash, or not by this request.
    Void,
}

/// States that a request was at a run of a server when that run ended.
///
/// Only the witness starts a new turn; any host may find the crash void.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The run of the server.
    pub server: backend::Id,
    /// The host that sent the request there.
    pub witness: host::Id,
    /// Number of earlier runs of the request on the server whose crash was void. In a merge the
    /// higher turn wins.
    pub turn: u32,
    /// How the request ran there.
    #[serde(rename = "role")]
    pub isolation: Isolation,
    /// Whether the crash counts.
    #[serde(rename = "verdict")]
    pub state: CrashState,
    /// Time since the crash was seen.
    #[serde(with = "types::time::millis")]
    pub age: Duration,
}

impl Crash {
    /// Merges what two hosts know of one crash.
    #[must_use]
    pub fn joined(self, other: &Crash) -> Crash {
        match self.turn.cmp(&other.turn) {
            Ordering::Less => return other.clone(),
            Ordering::Equal => {}
            Ordering::Greater => return self,
        }
        Crash {
            isolation: self.isolation.max(other.isolation),
            state: self.state.max(other.state),
            age: self.age.max(other.age),
            ..self
        }
    }
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

#[derive(Clone, Debug)]
struct CrashRecord {
    turn: u32,
    isolation: Isolation,
    state: CrashState,
    /// When the crash expires at the latest.
    expires_at: Moment,
    /// When this host added the record, or when the run of a suspect was first recorded as a crash.
    seen_at: Moment,
    /// When the crash is settled, unless it is void by then.
    settled_at: Moment,
    /// When this host last found the crash void; it sends the void crash to others for
    /// [`VOID_SEND_TIME`] from then on.
    voided_at: Option<Moment>,
}

impl CrashRecord {
    fn age(&self, now: Moment) -> Duration {
        LIFE.saturating_sub(self.expires_at.saturating_sub(now))
    }

    fn is_counted(&self) -> bool {
        self.state == CrashState::Counted
    }

    fn is_running(&self, now: Moment) -> bool {
        self.state == CrashState::Running && self.age(now) < MAX_RUN
    }
}

/// The run of a server, and the host that sent the request there.
type CrashKey = (backend::Id, host::Id);

#[derive(Clone, Debug, Default)]
struct Entry {
    crashes: BTreeMap<CrashKey, CrashRecord>,
    reported: Option<Standing>,
}

impl Entry {
    /// Records of the request at a server, by all hosts.
    fn records_at<'a>(&'a self, server: &'a backend::Id) -> impl Iterator<Item = &'a CrashRecord> {
        let there = self.crashes.iter().filter(move |((other, _), _)| other == server);
        there.map(|(_, record)| record)
    }

    /// Whether the crash of a server is settled.
    fn is_settled(&self, server: &backend::Id, now: Moment) -> bool {
        self.records_at(server).any(|record| record.is_counted() && record.settled_at <= now)
    }

    /// Servers whose crashes count, regardless of whether another request explains them.
    fn counted(&self) -> BTreeSet<&backend::Id> {
        let counted = self.crashes.iter().filter(|(_, record)| record.is_counted());
        counted.map(|((server, _), _)| server).collect()
    }

    fn settle(&mut self, server: &backend::Id, now: Moment) {
        let there = self.crashes.iter_mut().filter(|((other, _), _)| other == server);
        there.for_each(|(_, record)| record.settled_at = record.settled_at.min(now));
    }

    /// When the request is forgotten, which depends on its newest crash and on whether it ran
    /// isolated in any.
    fn expires_at(&self) -> Moment {
        let youngest =
            self.crashes.values().map(|record| record.expires_at).max().unwrap_or_default();
        let was_isolated =
            self.crashes.values().any(|record| record.isolation == Isolation::Isolated);
        if was_isolated { youngest } else { youngest.saturating_sub(LIFE - SUSPICION) }
    }
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

/// Requests that completed lately, in two generations. The previous one is dropped when the current
/// one is full or [`COMPLETED_LIFE`] old.
#[derive(Clone, Debug, Default)]
struct CompletedRequests {
    current: BTreeSet<Fingerprint>,
    previous: BTreeSet<Fingerprint>,
    since: Moment,
}

impl CompletedRequests {
    fn add(&mut self, request: Fingerprint, now: Moment) {
        if self.since + COMPLETED_LIFE <= now || MAX_COMPLETED <= self.current.len() {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(request);
    }

    fn has(&self, request: Fingerprint, now: Moment) -> bool {
        let is_recent = now < self.since + COMPLETED_LIFE;
        is_recent && (self.current.contains(&request) || self.previous.contains(&request))
    }
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

    /// Returns the crashes to be sent to other hosts: those of suspects and refused requests, those
    /// of other requests that this host witnessed, and void ones for [`VOID_SEND_TIME`].
    pub fn crashes(&self, now: Moment) -> Vec<Crash> {
        let mut sent = Vec::new();
        for (request, entry) in &self.entries {
            let standing = self.standing(*request);
            for (key, record) in &entry.crashes {
                let is_sent = match record.state {
                    CrashState::Void => {
                        record.voided_at.is_some_and(|at| now < at + VOID_SEND_TIME)
                    }
                    CrashState::Running | CrashState::Counted => {
                        Standing::Clear < standing || key.1 == self.host
                    }
                };
                if is_sent {
                    let rank =
                        (standing, record.state != CrashState::Void, record.expires_at, *request);
                    sent.push((rank, crash(*request, key, record, now)));
                }
            }
        }
        sent.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
        sent.into_iter().take(MAX_SENT).map(|(_, crash)| crash).collect()
    }

    /// Returns all crashes of each request that is poison, and whether this host is the witness of
    /// one of them.
    pub fn refused(&self, now: Moment) -> Vec<(Vec<Crash>, bool)> {
        let refused =
            self.entries.iter().filter(|(request, _)| self.standing(**request) == Standing::Poison);
        let crashes = |(request, entry): (&Fingerprint, &Entry)| {
            let is_own = entry.crashes.keys().any(|(_, witness)| *witness == self.host);
            (crashes_of(*request, entry, now), is_own)
        };
        refused.map(crashes).collect()
    }

    /// Merges crashes received from other hosts or read from the store.
    pub fn merge(&mut self, crashes: &[Crash], now: Moment) {
        for crash in crashes {
            let Some(left) = LIFE.checked_sub(crash.age) else { continue };
            let is_known = self
                .entries
                .get(&crash.request)
                .is_some_and(|entry| entry.crashes.contains_key(&key(crash)));
            let is_ending = match crash.isolation {
                Isolation::Shared => SUSPICION < crash.age + MIN_REMAINING_LIFE,
                Isolation::Isolated => left < MIN_REMAINING_LIFE,
            };
            if is_known || !is_ending {
                self.join(crash, now + left, now);
            }
        }
        self.keep_within_bounds();
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

    /// Servers of the crashes that count and that no other request explains.
    fn unexplained<'a>(&self, request: Fingerprint, entry: &'a Entry) -> Vec<&'a backend::Id> {
        let mut counted = self.counted(request, entry);
        let own = counted.len();
        counted.retain(|server| !self.is_explained(request, server, own));
        counted
    }

    /// Servers of the crashes that count, except those where another request ran isolated. Of two
    /// requests that ran isolated on one server neither explains its crash.
    fn counted<'a>(&self, request: Fingerprint, entry: &'a Entry) -> Vec<&'a backend::Id> {
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
    fn is_explained(&self, request: Fingerprint, server: &backend::Id, own: usize) -> bool {
        self.others(request, server).any(|(fingerprint, other)| {
            let is_there = other.records_at(server).any(CrashRecord::is_counted);
            is_there && own.max(POISON - 1) < self.counted(fingerprint, other).len()
        })
    }

    /// Other requests that were at a server.
    fn others<'a>(
        &'a self,
        request: Fingerprint,
        server: &backend::Id,
    ) -> impl Iterator<Item = (Fingerprint, &'a Entry)> {
        let there = self.at_servers.get(server).into_iter().flatten();
        let others = there.filter(move |other| **other != request);
        others.filter_map(|other| Some((*other, self.entries.get(other)?)))
    }

    fn record(
        &mut self,
        request: Fingerprint,
        server: &backend::Id,
        isolation: Isolation,
        state: CrashState,
        now: Moment,
    ) {
        let key = (server.clone(), self.host.clone());
        let record = self.entries.get(&request).and_then(|entry| entry.crashes.get(&key));
        let turn = record.map_or(0, |record| {
            record.turn.saturating_add(u32::from(record.state == CrashState::Void))
        });
        let crash = Crash {
            request,
            server: server.clone(),
            witness: self.host.clone(),
            turn,
            isolation,
            state,
            age: Duration::ZERO,
        };
        self.join(&crash, now + LIFE, now);
        self.keep_within_bounds();
    }

    fn join(&mut self, crash: &Crash, expires_at: Moment, now: Moment) {
        let entry = self.entries.entry(crash.request).or_default();
        let state = match self.completed.has(crash.request, now) {
            true => CrashState::Void,
            false => crash.state,
        };
        // If only this host knows that the crash is void, it sends that to others.
        let voided_at = (state != crash.state).then_some(now);
        let new = CrashRecord {
            turn: crash.turn,
            isolation: crash.isolation,
            state,
            expires_at,
            seen_at: now,
            settled_at: match crash.age < MAX_RUN {
                true => now + SETTLE_TIME,
                false => now,
            },
            voided_at,
        };
        match entry.crashes.entry(key(crash)) {
            Slot::Vacant(slot) => {
                slot.insert(new);
                self.changed.insert(crash.request);
            }
            Slot::Occupied(mut slot) => match slot.get().turn.cmp(&crash.turn) {
                Ordering::Less => {
                    slot.insert(new);
                    self.changed.insert(crash.request);
                }
                Ordering::Equal => {
                    let record = slot.get_mut();
                    if record.isolation < crash.isolation || record.state < state {
                        self.changed.insert(crash.request);
                    }
                    if record.state < CrashState::Counted && state == CrashState::Counted {
                        // The crash is later than the start of the run.
                        record.seen_at = now;
                        record.settled_at = new.settled_at;
                    }
                    let is_void = record.state == CrashState::Void;
                    if is_void && crash.state == CrashState::Counted {
                        record.voided_at = Some(now);
                    }
                    record.isolation = record.isolation.max(crash.isolation);
                    record.state = record.state.max(state);
                    record.expires_at = record.expires_at.min(expires_at);
                }
                Ordering::Greater => return,
            },
        }
        let there = self.at_servers.entry(crash.server.clone()).or_default();
        there.insert(crash.request);
        // The standings of requests whose crashes this one explains change too.
        if 1 < there.len() && self.changed.contains(&crash.request) {
            self.changed.extend(there.iter().copied());
        }
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

fn key(crash: &Crash) -> CrashKey {
    (crash.server.clone(), crash.witness.clone())
}

fn crashes_of(request: Fingerprint, entry: &Entry, now: Moment) -> Vec<Crash> {
    entry.crashes.iter().map(|(key, record)| crash(request, key, record, now)).collect()
}

fn crash(request: Fingerprint, key: &CrashKey, record: &CrashRecord, now: Moment) -> Crash {
    let (server, witness) = key.clone();
    Crash {
        request,
        server,
        witness,
        turn: record.turn,
        isolation: record.isolation,
        state: record.state,
        age: record.age(now),
    }
}
