//! Requests that crash the servers that run them.
//!
//! A crash is a fact: a request was at a run of a server when that run ended. A host holds the set of
//! the crashes that it knows and sends it on, those that it only heard of among them. Sets join in any
//! order and however often, so no crash counts twice, a host that restarts learns them from any other,
//! and a host that falls silent takes nothing with it.
//!
//! A crash stops counting when it is void: the server's run answered something that was sent to it
//! later, or the request ended whole somewhere. It doesn't count either while another request explains
//! it: one that ran apart on that server, or one that has crashed more servers and is refused.
//!
//! From the second crash on a request is a suspect and runs apart from other suspects: one at a time
//! on a host, on the server with the least to lose. After the third crash it reaches no server.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::{Map, ask::Ticket};

/// What a request is known by: a digest of its path and body, which are what a server sees.
pub type Fingerprint = u64;

/// Crashes from which on a request runs apart.
pub const SUSPECT: usize = 2;

/// Crashes after which a request reaches no server.
pub const POISON: usize = 3;

/// How long a request is known after its last crash, if it ran apart in one of them.
pub const LIFE: Duration = Duration::from_secs(3600);

/// How long it is known if others were beside it in each of its crashes.
pub const SUSPICION: Duration = Duration::from_secs(600);

/// Remaining life below which what others still send is not learnt again.
const LEAST_LIFE: Duration = Duration::from_secs(5);

/// Most requests known; those with the fewest crashes are forgotten first.
const MOST_REQUESTS: usize = 1024;

/// Most crashes sent to other hosts; requests with the most crashes go first.
const MOST_SENT: usize = 128;

/// How long a void crash of a request that is no suspect is sent.
const VOID_SENT: Duration = Duration::from_secs(10);

/// Time between the end of an attempt and the end of its server's registration within which the
/// attempt may have crashed the server.
const UNCLEAR: Duration = Duration::from_secs(8);

/// How long at least a request that ended whole crashes no server, as far as is known.
const WHOLE: Duration = Duration::from_secs(10);

/// Most requests kept that ended whole, in each of two generations.
const MOST_WHOLE: usize = 4096;

/// Most attempts kept whose servers may have crashed.
const MOST_UNCLEAR: usize = 512;

/// What is thought of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It runs apart only.
    Suspect,
    /// It reaches no server.
    Poison,
}

/// How a request ran on the server that crashed; the later one overrules the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Beside others that are as likely to have crashed it.
    Beside,
    /// As the one suspect there.
    Apart,
}

/// Whether a crash counts; the later one overrules the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// It counts.
    Counts,
    /// The server did not crash, or not by this request.
    Void,
}

/// A request was at a run of a server when that run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The run of the server.
    pub server: backend::Id,
    /// The host that saw it.
    pub witness: host::Id,
    /// How the request ran there.
    pub role: Role,
    /// Whether it counts.
    pub verdict: Verdict,
    /// Time since it was seen.
    #[serde(with = "types::time::millis")]
    pub age: Duration,
}

impl Crash {
    /// What two hosts know of one crash, together.
    #[must_use]
    pub fn joined(self, other: &Crash) -> Crash {
        Crash {
            witness: self.witness.min(other.witness.clone()),
            role: self.role.max(other.role),
            verdict: self.verdict.max(other.verdict),
            age: self.age.max(other.age),
            ..self
        }
    }
}

/// A change of what is thought of a request, with the crashes behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// The request.
    pub request: Fingerprint,
    /// What is thought of it now.
    pub standing: Standing,
    /// The crashes that are known, void ones among them.
    pub crashes: Vec<Crash>,
}

#[derive(Clone, Debug)]
struct Known {
    witness: host::Id,
    role: Role,
    verdict: Verdict,
    /// Until when it would be known at the most.
    until: Moment,
    /// When this host learnt of it.
    learnt: Moment,
    /// Whether this host saw the crash.
    is_own: bool,
    /// When this host found that it is void.
    voided: Option<Moment>,
}

impl Known {
    fn age(&self, now: Moment) -> Duration {
        LIFE.saturating_sub(self.until.saturating_sub(now))
    }

    fn counts(&self) -> bool {
        self.verdict == Verdict::Counts
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    crashes: BTreeMap<backend::Id, Known>,
    reported: Option<Standing>,
}

impl Entry {
    /// When it is forgotten: by its youngest crash, and by whether it ran apart in any.
    fn until(&self) -> Moment {
        let youngest = self.crashes.values().map(|known| known.until).max().unwrap_or_default();
        let was_apart = self.crashes.values().any(|known| known.role == Role::Apart);
        if was_apart { youngest } else { youngest.saturating_sub(LIFE - SUSPICION) }
    }
}

/// The run of a suspect, apart from other suspects.
#[derive(Clone, Debug)]
struct Trial {
    ticket: Ticket,
    request: Fingerprint,
    server: backend::Id,
}

/// An attempt that ended without telling whether its server crashed.
#[derive(Clone, Debug)]
struct Unclear {
    request: Fingerprint,
    server: backend::Id,
    role: Role,
    at: Moment,
}

/// Requests that ended whole lately: the older generation goes when the younger is full or old.
#[derive(Clone, Debug, Default)]
struct Whole {
    young: BTreeSet<Fingerprint>,
    old: BTreeSet<Fingerprint>,
    since: Moment,
}

impl Whole {
    fn add(&mut self, request: Fingerprint, now: Moment) {
        if self.since + WHOLE <= now || MOST_WHOLE <= self.young.len() {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        self.young.insert(request);
    }

    fn has(&self, request: Fingerprint, now: Moment) -> bool {
        let is_recent = now < self.since + WHOLE;
        is_recent && (self.young.contains(&request) || self.old.contains(&request))
    }
}

/// Crashes by request.
#[derive(Clone, Debug)]
pub struct Poison {
    host: host::Id,
    entries: Map<Fingerprint, Entry>,
    /// Requests by the servers that they were at.
    at_servers: BTreeMap<backend::Id, BTreeSet<Fingerprint>>,
    trial: Option<Trial>,
    unclear: VecDeque<Unclear>,
    whole: Whole,
    /// Requests about which something was learnt since the last look.
    changed: BTreeSet<Fingerprint>,
}

impl Poison {
    /// Nothing is known yet on this host.
    pub fn new(host: host::Id) -> Poison {
        Poison {
            host,
            entries: Map::default(),
            at_servers: BTreeMap::new(),
            trial: None,
            unclear: VecDeque::new(),
            whole: Whole::default(),
            changed: BTreeSet::new(),
        }
    }

    /// What is thought of a request.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        let Some(entry) = self.entries.get(&request) else { return Standing::Clear };
        if entry.crashes.len() < SUSPECT {
            return Standing::Clear;
        }
        match self.count(request, entry) {
            POISON.. => Standing::Poison,
            SUSPECT.. => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Whether a suspect has to wait: another one runs, or its own last run may yet turn out to be a
    /// crash.
    pub fn is_held_back(&self, request: Fingerprint) -> bool {
        let is_open = |unclear: &Unclear| unclear.request == request && unclear.role == Role::Apart;
        self.trial.is_some() || self.unclear.iter().any(is_open)
    }

    /// A suspect is sent.
    pub fn try_out(&mut self, ticket: Ticket, request: Fingerprint, server: &backend::Id) {
        self.trial = Some(Trial { ticket, request, server: server.clone() });
    }

    /// A request's run was cut off by what looks like a crash of its server.
    pub fn crashed(
        &mut self,
        ticket: Ticket,
        request: Fingerprint,
        server: &backend::Id,
        now: Moment,
    ) {
        self.note(request, server, Role::Beside, now);
        // Whichever connection is found broken first, the suspect explains the crash.
        if let Some(trial) = self.trial.as_ref().filter(|trial| trial.server == *server) {
            let suspect = if trial.ticket == ticket { request } else { trial.request };
            self.note(suspect, server, Role::Apart, now);
        }
    }

    /// A request's attempt ended without a word of its server, which may crash by it all the same.
    pub fn unclear(
        &mut self,
        ticket: Ticket,
        request: Fingerprint,
        server: &backend::Id,
        now: Moment,
    ) {
        let is_trial = self.trial.as_ref().is_some_and(|trial| trial.ticket == ticket);
        let role = if is_trial { Role::Apart } else { Role::Beside };
        if self.unclear.len() == MOST_UNCLEAR {
            self.unclear.pop_front();
        }
        self.unclear.push_back(Unclear { request, server: server.clone(), role, at: now });
    }

    /// A server's registration ended though it did not say that it leaves.
    pub fn gone(&mut self, server: &backend::Id, now: Moment) {
        let (of_it, others) = std::mem::take(&mut self.unclear)
            .into_iter()
            .partition(|unclear| unclear.server == *server);
        self.unclear = others;
        let of_it: VecDeque<Unclear> = of_it;
        for Unclear { request, role, at, .. } in of_it {
            if now < at + UNCLEAR {
                self.note(request, server, role, now);
            }
        }
    }

    /// A server answered what was sent to it at a time, so it did not crash before.
    pub fn answered(&mut self, server: &backend::Id, sent: Moment, now: Moment) {
        self.unclear.retain(|unclear| unclear.server != *server || sent <= unclear.at);
        let Some(requests) = self.at_servers.get(server) else { return };
        for request in requests.clone() {
            self.void(request, now, |at, known| at == server && known.learnt < sent);
        }
    }

    /// A request got its whole answer.
    pub fn completed(&mut self, request: Fingerprint, now: Moment) {
        self.whole.add(request, now);
        self.void(request, now, |_, _| true);
    }

    /// Lets a request run again, whatever it did; false if nothing is known of it.
    pub fn lift(&mut self, request: Fingerprint, now: Moment) -> bool {
        self.void(request, now, |_, _| true);
        self.entries.contains_key(&request)
    }

    /// An attempt is over, whatever came of it.
    pub fn ended(&mut self, ticket: Ticket) {
        if self.trial.as_ref().is_some_and(|trial| trial.ticket == ticket) {
            self.trial = None;
        }
    }

    /// Crashes for other hosts: all of suspects, and what this host saw or found void of others.
    pub fn crashes(&self, now: Moment) -> Vec<Crash> {
        let mut requests: Vec<(Standing, Moment, Fingerprint)> = self
            .entries
            .iter()
            .map(|(request, entry)| (self.standing(*request), entry.until(), *request))
            .collect();
        requests.sort_unstable_by(|a, b| b.cmp(a));
        let sent = requests.into_iter().flat_map(|(standing, _, request)| {
            let is_sent = move |known: &Known| match (standing, known.voided) {
                (Standing::Suspect | Standing::Poison, _) => true,
                (Standing::Clear, None) => known.is_own && known.counts(),
                (Standing::Clear, Some(at)) => now < at + VOID_SENT,
            };
            let crashes = &self.entries[&request].crashes;
            let sent = crashes.iter().filter(move |(_, known)| is_sent(known));
            sent.map(move |(server, known)| crash(request, server, known, now))
        });
        sent.take(MOST_SENT).collect()
    }

    /// All crashes of the requests that are refused, and whether this host saw one of a request's.
    pub fn refused(&self, now: Moment) -> Vec<(Vec<Crash>, bool)> {
        let refused =
            self.entries.iter().filter(|(request, _)| self.standing(**request) == Standing::Poison);
        let crashes = |(request, entry): (&Fingerprint, &Entry)| {
            let is_own = entry.crashes.values().any(|known| known.is_own);
            (list(*request, entry, now), is_own)
        };
        refused.map(crashes).collect()
    }

    /// What is known of a request's crashes.
    pub fn known(&self, request: Fingerprint, now: Moment) -> Vec<Crash> {
        let entry = self.entries.get(&request);
        entry.map_or_else(Vec::new, |entry| list(request, entry, now))
    }

    /// Joins what other hosts, or the store, know.
    pub fn learn(&mut self, crashes: &[Crash], now: Moment) {
        for crash in crashes {
            let Some(left) = LIFE.checked_sub(crash.age) else { continue };
            let is_known = self
                .entries
                .get(&crash.request)
                .is_some_and(|entry| entry.crashes.contains_key(&crash.server));
            let is_ending = match crash.role {
                Role::Beside => SUSPICION < crash.age + LEAST_LIFE,
                Role::Apart => left < LEAST_LIFE,
            };
            if is_known || !is_ending {
                self.join(crash, now + left, now);
            }
        }
        self.keep_within_bounds();
    }

    /// Changes of what is thought of requests, since the last call.
    pub fn news(&mut self, now: Moment) -> Vec<News> {
        let mut news = Vec::new();
        for request in std::mem::take(&mut self.changed) {
            let standing = self.standing(request);
            let Some(entry) = self.entries.get_mut(&request) else { continue };
            let before = entry.reported.replace(standing).unwrap_or(Standing::Clear);
            if before != standing {
                let crashes = list(request, entry, now);
                news.push(News { request, standing, crashes });
            }
        }
        news
    }

    /// Drops what is old.
    pub fn expire(&mut self, now: Moment) {
        self.unclear.retain(|unclear| now < unclear.at + UNCLEAR);
        let old = self.entries.iter().filter(|(_, entry)| entry.until() <= now);
        let old: Vec<Fingerprint> = old.map(|(request, _)| *request).collect();
        old.into_iter().for_each(|request| self.forget(request));
    }

    /// Crashes that count, but for those that another request explains.
    fn count(&self, request: Fingerprint, entry: &Entry) -> usize {
        let counted = entry.crashes.iter().filter(|(_, known)| known.counts());
        let counted =
            counted.filter(|(server, known)| !self.is_other_apart(request, server, known));
        let counted: Vec<&backend::Id> = counted.map(|(server, _)| server).collect();
        let own = counted.len();
        counted.iter().filter(|server| !self.is_explained(request, server, own)).count()
    }

    /// Whether another request ran apart on the server, and this one beside it.
    fn is_other_apart(&self, request: Fingerprint, server: &backend::Id, known: &Known) -> bool {
        let is_apart = |other: &Entry| {
            other.crashes.get(server).is_some_and(|at| at.role == Role::Apart && at.counts())
        };
        known.role == Role::Beside && self.others(request, server).any(|(_, other)| is_apart(other))
    }

    /// Whether another request was there that has crashed enough servers to be refused, and more than
    /// this one, which has crashed so many.
    fn is_explained(&self, request: Fingerprint, server: &backend::Id, own: usize) -> bool {
        self.others(request, server).any(|(fingerprint, other)| {
            let is_there = other.crashes.get(server).is_some_and(Known::counts);
            is_there && POISON <= other.crashes.len() && {
                let counted = other.crashes.iter().filter(|(at, known)| {
                    known.counts() && !self.is_other_apart(fingerprint, at, known)
                });
                let counted = counted.count();
                POISON <= counted && own < counted
            }
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

    fn note(&mut self, request: Fingerprint, server: &backend::Id, role: Role, now: Moment) {
        let crash = Crash {
            request,
            server: server.clone(),
            witness: self.host.clone(),
            role,
            verdict: Verdict::Counts,
            age: Duration::ZERO,
        };
        self.join(&crash, now + LIFE, now);
        self.keep_within_bounds();
    }

    fn join(&mut self, crash: &Crash, until: Moment, now: Moment) {
        let entry = self.entries.entry(crash.request).or_default();
        let known = entry.crashes.entry(crash.server.clone()).or_insert_with(|| {
            self.changed.insert(crash.request);
            Known {
                witness: crash.witness.clone(),
                role: crash.role,
                verdict: crash.verdict,
                until,
                learnt: now,
                is_own: false,
                voided: None,
            }
        });
        let verdict = match self.whole.has(crash.request, now) {
            true => Verdict::Void,
            false => crash.verdict,
        };
        if known.role < crash.role || known.verdict < verdict {
            self.changed.insert(crash.request);
        }
        if verdict != crash.verdict && known.voided.is_none() {
            known.voided = Some(now);
        }
        known.is_own |= crash.witness == self.host;
        known.role = known.role.max(crash.role);
        known.verdict = known.verdict.max(verdict);
        known.until = known.until.min(until);
        if crash.witness < known.witness {
            known.witness = crash.witness.clone();
        }
        let there = self.at_servers.entry(crash.server.clone()).or_default();
        there.insert(crash.request);
        // What one crash explains changes with it.
        if 1 < there.len() && self.changed.contains(&crash.request) {
            self.changed.extend(there.iter().copied());
        }
    }

    fn void(
        &mut self,
        request: Fingerprint,
        now: Moment,
        is_meant: impl Fn(&backend::Id, &Known) -> bool,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        for (server, known) in &mut entry.crashes {
            if known.counts() && is_meant(server, known) {
                known.verdict = Verdict::Void;
                known.voided = Some(now);
                self.changed.insert(request);
                self.changed.extend(self.at_servers.get(server).into_iter().flatten());
            }
        }
    }

    fn forget(&mut self, request: Fingerprint) {
        let Some(entry) = self.entries.remove(&request) else { return };
        for server in entry.crashes.keys() {
            let Some(there) = self.at_servers.get_mut(server) else { continue };
            there.remove(&request);
            if there.is_empty() {
                self.at_servers.remove(server);
            }
        }
    }

    /// Forgets the requests with the fewest crashes, the oldest of them first.
    fn keep_within_bounds(&mut self) {
        let excess = self.entries.len().saturating_sub(MOST_REQUESTS);
        if excess == 0 {
            return;
        }
        let rank = |(request, entry): (&Fingerprint, &Entry)| {
            let counted = entry.crashes.values().filter(|known| known.counts()).count();
            (counted, entry.until(), *request)
        };
        let mut ranked: Vec<_> = self.entries.iter().map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(excess).for_each(|(_, _, request)| self.forget(request));
    }
}

fn list(request: Fingerprint, entry: &Entry, now: Moment) -> Vec<Crash> {
    entry.crashes.iter().map(|(server, known)| crash(request, server, known, now)).collect()
}

fn crash(request: Fingerprint, server: &backend::Id, known: &Known, now: Moment) -> Crash {
    Crash {
        request,
        server: server.clone(),
        witness: known.witness.clone(),
        role: known.role,
        verdict: known.verdict,
        age: known.age(now),
    }
}
