//! Requests, and parts of prompts, that crash the servers that run them.
//!
//! A [`Crash`] states that a [`Subject`] was at a run of a server when that run ended: a request, or
//! a part of its prompt that other requests may share. Each host stores the crashes that it knows
//! and sends them to others, including those that it only received. Sets of crashes are merged in
//! any order and any number of times, so no crash counts twice, a restarted host gets them from any
//! other host, and nothing is lost when a host fails.
//!
//! A crash stops counting when it is void: the server's run answered something that was sent to it
//! later, or the subject was served by a server of the same software version. What one version serves
//! says nothing of another. Nor does it of a crash in which a request ran isolated: a request that
//! crashes servers at some of its runs only is served now and then. A crash also doesn't count while
//! another subject explains it: one that ran isolated on that server, or one that has crashed more
//! servers and is poison.
//!
//! From the second crash on a subject is a suspect and runs isolated from other suspects, preferably
//! on the server with the fewest requests in flight: one request at a time on a host, and one with
//! the same part. Hosts advertise such runs like crashes, so that no other host sends the same
//! subject, or another suspect to the same server, in the meantime. After the third crash the
//! subject is poison: it reaches no server any more. Two parts that were at the same crashes can't be
//! told apart by them, so such parts stay suspects up to the fifth crash.
//!
//! A cut connection is no proof of a crash. A run ends only once, so it outlived the cut if
//! something that was sent to it later is answered, or cut as well. Poison therefore waits, and is
//! refused only once three of its crashes are settled: the registration of the server has ended, or
//! nothing has voided the crash for [`SETTLE_TIME`]. The crash of a part is settled only once the
//! registration has ended, and counts no longer if it hasn't for long.

mod blame;
mod crash;
pub mod fingerprint;
mod recent;
mod record;
mod sharing;
mod subject;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use types::prelude::*;

pub use self::{
    crash::{Crash, CrashState, Isolation},
    fingerprint::Fingerprint,
    sharing::SETTLE_TIME,
    subject::Subject,
};
use self::{
    recent::RecentSet,
    record::{CrashRecord, Entry, crashes_of},
};
use super::{Map, request::Ticket};
use crate::streams::SoftwareId;

/// Number of crashes from which on a subject is a suspect.
pub const SUSPECT: usize = 2;

/// Number of crashes from which on a subject is refused.
pub const POISON: usize = 3;

/// Number of crashes from which on a part is refused that was at the same crashes as another part,
/// so that either may be to blame. Until then requests with it run one at a time, and the first that
/// is served clears the parts that it has.
pub const TIED_POISON: usize = 5;

/// How long a subject is remembered after its last crash, if it ran isolated in one of its crashes.
pub const LIFE: Duration = Duration::from_secs(3600);

/// How long a subject is remembered after its last crash, if it shared the server with others in all
/// of its crashes.
pub const SUSPICION: Duration = Duration::from_secs(600);

/// Time after a cut within which a request may still be sent on a connection whose end has not
/// been noticed.
const NOTICE_TIME: Duration = Duration::from_millis(100);

/// Most subjects remembered; those with the fewest crashes are evicted first.
pub const MAX_SUBJECTS: usize = 1024;

/// Length of a generation of completed requests. A completed request is assumed to crash no server
/// for at most two generations.
const COMPLETED_LIFE: Duration = Duration::from_secs(10);

/// Most completed requests remembered in each generation.
const MAX_COMPLETED: usize = 4096;

/// Length of a generation of served parts. A part that was served is assumed to crash no server for
/// at most two generations. Requests for a part that is wrongly refused can't show that it is sound,
/// so this is long enough for parts that are rarely requested.
const SERVED_PART_LIFE: Duration = Duration::from_secs(30);

/// Most served parts remembered in each generation.
const MAX_SERVED_PARTS: usize = 4096;

/// Time between the end of an attempt and the end of its server's registration within which the
/// attempt may have crashed the server.
const UNRESOLVED_LIFE: Duration = Duration::from_secs(8);

/// Most attempts remembered whose servers may have crashed.
const MAX_UNRESOLVED: usize = 512;

/// Length of a generation of servers that are gone, and most of them in a generation. The versions of
/// servers are known for as long.
const GONE_LIFE: Duration = Duration::from_secs(60);
const MAX_GONE: usize = 1024;

/// How a subject, or a request for it, is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Requests are sent like any other.
    Clear,
    /// Requests run isolated from other suspects.
    Suspect,
    /// Requests reach no server, and are refused once the crashes are settled.
    Poison,
}

/// A change of a subject's standing, with the crashes behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandingChange {
    /// The request, or the part of prompts.
    pub subject: Subject,
    /// The new standing.
    pub standing: Standing,
    /// All known crashes of the subject, including void ones.
    pub crashes: Vec<Crash>,
}

/// The isolated run of a suspect.
#[derive(Clone, Debug)]
struct Trial {
    ticket: Ticket,
    subject: Subject,
    server: backend::Id,
}

/// An attempt that ended without showing whether its server crashed.
#[derive(Clone, Debug)]
struct UnresolvedAttempt {
    subject: Subject,
    server: backend::Id,
    isolation: Isolation,
    ended_at: Moment,
}

/// The version of a server's software.
#[derive(Clone, Copy, Debug)]
struct Software {
    id: SoftwareId,
    /// When the server's registration ended.
    departed_at: Option<Moment>,
}

/// Crashes by subject, as one host knows them.
#[derive(Clone, Debug)]
pub struct Poison {
    host: host::Id,
    entries: Map<Subject, Entry>,
    /// Subjects by the servers in their crashes.
    at_servers: BTreeMap<backend::Id, BTreeSet<Subject>>,
    /// Runs of suspects on this host: at most one of a request, and one of each part.
    trials: Vec<Trial>,
    unresolved: VecDeque<UnresolvedAttempt>,
    /// Versions of the software of servers that are registered, or were lately.
    software: Map<backend::Id, Software>,
    /// Requests that were completed lately, and by which version.
    completed: RecentSet<(Fingerprint, SoftwareId)>,
    /// Parts of prompts that were served lately, and by which version.
    served_parts: RecentSet<(u64, SoftwareId)>,
    /// Servers whose registrations ended lately, without draining.
    gone: RecentSet<backend::Id>,
    /// Subjects whose records have changed since the last call of [`Poison::take_changes`].
    changed: BTreeSet<Subject>,
}

impl Poison {
    /// Creates an empty record for this host.
    pub fn new(host: host::Id) -> Poison {
        Poison {
            host,
            entries: Map::default(),
            at_servers: BTreeMap::new(),
            trials: Vec::new(),
            unresolved: VecDeque::new(),
            software: Map::default(),
            completed: RecentSet::new(COMPLETED_LIFE, MAX_COMPLETED),
            served_parts: RecentSet::new(SERVED_PART_LIFE, MAX_SERVED_PARTS),
            gone: RecentSet::new(GONE_LIFE, MAX_GONE),
            changed: BTreeSet::new(),
        }
    }

    /// Number of subjects with known crashes, void ones included.
    pub fn subjects(&self) -> usize {
        self.entries.len()
    }

    /// How requests for a subject are to be treated.
    pub fn standing(&self, subject: impl Into<Subject>) -> Standing {
        let subject = subject.into();
        let Some(entry) = self.entries.get(&subject) else { return Standing::Clear };
        if entry.crashes.len() < SUSPECT {
            return Standing::Clear;
        }
        let servers = self.unexplained(subject, entry);
        match servers.len() {
            crashes if self.poison_threshold(subject, &servers) <= crashes => Standing::Poison,
            SUSPECT.. => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Whether requests for a subject are refused: it is poison, and enough of its crashes are
    /// settled.
    pub fn is_refused(&self, subject: impl Into<Subject>, now: Moment) -> bool {
        let subject = subject.into();
        let Some(entry) = self.entries.get(&subject) else { return false };
        if entry.crashes.len() < POISON {
            return false;
        }
        let servers = self.unexplained(subject, entry);
        let threshold = self.poison_threshold(subject, &servers);
        let is_settled = |server: &backend::Id| match subject {
            Subject::Request(_) => entry.is_settled(server, now),
            // Servers that cut all their connections may run nevertheless, and refusing a part that all
            // requests share would leave none to show that.
            Subject::Part(_) => entry.has_ended(server, now),
        };
        threshold <= servers.iter().filter(|server| is_settled(server)).count()
    }

    /// Whether a request for a subject that is not clear has to wait, because the subject is poison
    /// or runs anywhere, or, if it is a request, because another request runs isolated on this host.
    pub fn must_wait(&self, subject: impl Into<Subject>, now: Moment) -> bool {
        let subject = subject.into();
        let entry = self.entries.get(&subject);
        let runs = || entry.is_some_and(|entry| entry.crashes.values().any(|k| k.is_running(now)));
        let is_rival = |trial: &Trial| match subject {
            Subject::Request(_) => matches!(trial.subject, Subject::Request(_)),
            Subject::Part(_) => trial.subject == subject,
        };
        self.standing(subject) == Standing::Poison || self.trials.iter().any(is_rival) || runs()
    }

    /// Whether a suspect runs on a server.
    pub fn runs_suspect(&self, server: &backend::Id, now: Moment) -> bool {
        let there = self.at_servers.get(server).into_iter().flatten();
        let mut there = there.filter_map(|subject| self.entries.get(subject));
        there.any(|entry| entry.records_at(server).any(|record| record.is_running(now)))
    }

    /// Records that a suspect is assigned to a server.
    pub fn start_trial(
        &mut self,
        ticket: Ticket,
        subject: impl Into<Subject>,
        server: &backend::Id,
    ) {
        let subject = subject.into();
        self.trials.push(Trial { ticket, subject, server: server.clone() });
    }

    /// Records that the first byte of a request is sent to its server.
    pub fn sent(&mut self, ticket: Ticket, now: Moment) {
        for Trial { subject, server, .. } in self.trials_of(ticket) {
            self.record(subject, &server, Isolation::Isolated, CrashState::Running, now);
        }
    }

    /// Records that a run for a subject, which began when it was sent at `sent`, was cut off by what
    /// looks like a crash of its server.
    pub fn crashed(
        &mut self,
        subject: impl Into<Subject>,
        server: &backend::Id,
        sent: Moment,
        now: Moment,
    ) {
        // The run that was cut off now had not ended in an earlier crash.
        self.answered(server, sent.saturating_sub(NOTICE_TIME), now);
        let subject = subject.into();
        self.record(subject, server, Isolation::Shared, CrashState::Counted, now);
        // The suspect explains the crash regardless of which broken connection is found first.
        let trials: Vec<Trial> =
            self.trials.iter().filter(|trial| trial.server == *server).cloned().collect();
        for trial in trials {
            self.record(trial.subject, server, Isolation::Isolated, CrashState::Counted, now);
        }
    }

    /// Records that an attempt for a subject ended without a response. The subject may nevertheless
    /// crash the server.
    pub fn unclear(
        &mut self,
        ticket: Ticket,
        subject: impl Into<Subject>,
        server: &backend::Id,
        now: Moment,
    ) {
        let subject = subject.into();
        let is_trial = |trial: &Trial| trial.ticket == ticket && trial.subject == subject;
        let isolation = match self.trials.iter().any(is_trial) {
            true => Isolation::Isolated,
            false => Isolation::Shared,
        };
        if self.unresolved.len() == MAX_UNRESOLVED {
            self.unresolved.pop_front();
        }
        self.unresolved.push_back(UnresolvedAttempt {
            subject,
            server: server.clone(),
            isolation,
            ended_at: now,
        });
    }

    /// Records that a server's registration ended without draining.
    pub fn gone(&mut self, server: &backend::Id, now: Moment) {
        self.gone.add(server.clone(), now);
        let (of_server, others) = std::mem::take(&mut self.unresolved)
            .into_iter()
            .partition(|attempt| attempt.server == *server);
        self.unresolved = others;
        let of_server: VecDeque<UnresolvedAttempt> = of_server;
        for UnresolvedAttempt { subject, isolation, ended_at, .. } in of_server {
            if now < ended_at + UNRESOLVED_LIFE {
                self.record(subject, server, isolation, CrashState::Counted, now);
            }
        }
        let there = self.at_servers.get(server).cloned().unwrap_or_default();
        for subject in there {
            let entry = self.entries.get(&subject);
            if entry
                .is_some_and(|entry| entry.records_at(server).any(|record| record.is_running(now)))
            {
                self.record(subject, server, Isolation::Isolated, CrashState::Counted, now);
            }
            let Some(entry) = self.entries.get_mut(&subject) else { continue };
            match subject {
                Subject::Request(_) => entry.settle(server, now),
                // Other hosts may have served the part, whether or not the server has ended.
                Subject::Part(_) => entry.end(server),
            }
        }
    }

    /// Records that a server answered a request that was sent to it at `sent`, so that it had not
    /// crashed before then.
    pub fn answered(&mut self, server: &backend::Id, sent: Moment, now: Moment) {
        let is_resolved =
            |attempt: &UnresolvedAttempt| attempt.server == *server && attempt.ended_at < sent;
        let resolved: Vec<Subject> = self
            .unresolved
            .iter()
            .filter(|attempt| is_resolved(attempt))
            .map(|attempt| attempt.subject)
            .collect();
        self.unresolved.retain(|attempt| !is_resolved(attempt));
        for subject in resolved {
            self.void(subject, now, |other, record| {
                other == server && record.state == CrashState::Running
            });
        }
        let Some(subjects) = self.at_servers.get(server) else { return };
        for subject in subjects.clone() {
            let is_before = |record: &CrashRecord| record.is_counted() && record.seen_at < sent;
            self.void(subject, now, |other, record| other == server && is_before(record));
        }
    }

    /// Records the version of a server's software, as registered.
    pub fn registered(&mut self, server: &backend::Id, software: SoftwareId) {
        self.software.insert(server.clone(), Software { id: software, departed_at: None });
    }

    /// Records that a server is no longer registered.
    pub fn deregistered(&mut self, server: &backend::Id, now: Moment) {
        if let Some(software) = self.software.get_mut(server) {
            software.departed_at = Some(now);
        }
    }

    /// Records that a request received its complete response from a server with this version.
    pub fn completed(
        &mut self,
        request: Fingerprint,
        server: &backend::Id,
        software: SoftwareId,
        now: Moment,
    ) {
        self.completed.add((request, software), now);
        self.void(request.into(), now, |other, record| {
            other == server || record.isolation == Isolation::Shared && record.is_at(software)
        });
    }

    /// Records that the answer of this version to a prompt with these parts went on beyond its
    /// beginning. A part that crashes servers of the version does so when the answer begins, so none of
    /// these does.
    pub fn parts_served(
        &mut self,
        parts: impl Iterator<Item = u64>,
        software: SoftwareId,
        now: Moment,
    ) {
        for part in parts {
            self.served_parts.add((part, software), now);
            let subject = Subject::Part(part);
            self.void(subject, now, |_, record| record.is_at(software));
            self.trials.retain(|trial| trial.subject != subject);
        }
    }

    /// Records that an attempt has ended, with any outcome. It ends the attempt's trials, and voids
    /// their records unless the attempt is unresolved.
    pub fn ended(&mut self, ticket: Ticket, now: Moment) {
        let ended = self.trials_of(ticket);
        self.trials.retain(|trial| trial.ticket != ticket);
        for trial in ended {
            let is_same = |attempt: &UnresolvedAttempt| {
                attempt.subject == trial.subject && attempt.server == trial.server
            };
            if !self.unresolved.iter().any(is_same) {
                let is_running = |record: &CrashRecord| record.state == CrashState::Running;
                self.void(trial.subject, now, |other, record| {
                    *other == trial.server && is_running(record)
                });
            }
        }
    }

    /// Returns the changes of standings since the last call.
    pub fn take_changes(&mut self, now: Moment) -> Vec<StandingChange> {
        let mut changes = Vec::new();
        for subject in std::mem::take(&mut self.changed) {
            let standing = self.standing(subject);
            let Some(entry) = self.entries.get_mut(&subject) else { continue };
            let before = entry.reported.replace(standing).unwrap_or(Standing::Clear);
            if before != standing {
                let crashes = crashes_of(subject, entry, now);
                changes.push(StandingChange { subject, standing, crashes });
            }
        }
        changes
    }

    /// Removes expired subjects and unresolved attempts.
    pub fn expire(&mut self, now: Moment) {
        let (old, recent): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.unresolved)
            .into_iter()
            .partition(|attempt| attempt.ended_at + UNRESOLVED_LIFE <= now);
        self.unresolved = recent;
        for UnresolvedAttempt { subject, server, .. } in old {
            self.void(subject, now, |other, record| {
                *other == server && record.state == CrashState::Running
            });
        }
        let is_recent = |departed_at: Moment| now < departed_at + GONE_LIFE;
        self.software.retain(|_, software| software.departed_at.is_none_or(is_recent));
        for (subject, entry) in &mut self.entries {
            if !is_request(*subject) && entry.mark_overdue(UNRESOLVED_LIFE, now) {
                self.changed.insert(*subject);
            }
        }
        let old = self.entries.iter().filter(|(_, entry)| entry.expires_at() <= now);
        let old: Vec<Subject> = old.map(|(subject, _)| *subject).collect();
        old.into_iter().for_each(|subject| self.forget(subject));
    }

    /// Trials of an attempt.
    fn trials_of(&self, ticket: Ticket) -> Vec<Trial> {
        self.trials.iter().filter(|trial| trial.ticket == ticket).cloned().collect()
    }

    fn void(
        &mut self,
        subject: Subject,
        now: Moment,
        is_affected: impl Fn(&backend::Id, &CrashRecord) -> bool,
    ) {
        let Some(entry) = self.entries.get_mut(&subject) else { return };
        for ((server, _), record) in &mut entry.crashes {
            if record.state < CrashState::Void && is_affected(server, record) {
                record.state = CrashState::Void;
                record.voided_at = Some(now);
                self.changed.insert(subject);
                self.changed.extend(self.at_servers.get(server).into_iter().flatten());
            }
        }
    }

    fn forget(&mut self, subject: Subject) {
        let Some(entry) = self.entries.remove(&subject) else { return };
        for (server, _) in entry.crashes.keys() {
            let Some(there) = self.at_servers.get_mut(server) else { continue };
            there.remove(&subject);
            if there.is_empty() {
                self.at_servers.remove(server);
            }
        }
    }

    /// Evicts subjects beyond [`MAX_SUBJECTS`]: those with the fewest crashes first, and of these
    /// the oldest first.
    fn keep_within_bounds(&mut self) {
        let excess = self.entries.len().saturating_sub(MAX_SUBJECTS);
        if excess == 0 {
            return;
        }
        let rank = |(subject, entry): (&Subject, &Entry)| {
            (entry.counted().len(), entry.expires_at(), *subject)
        };
        let mut ranked: Vec<_> = self.entries.iter().map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(excess).for_each(|(_, _, subject)| self.forget(subject));
    }
}

fn is_request(subject: Subject) -> bool {
    matches!(subject, Subject::Request(_))
}
