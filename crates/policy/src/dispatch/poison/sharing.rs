//! Exchange of crashes with other hosts: what is sent, and how what is received is merged.

use std::{cmp::Ordering, collections::btree_map::Entry as Slot};

use types::prelude::*;

use super::{
    Crash, CrashState, Isolation, LIFE, Poison, SUSPICION, Standing, Subject, is_request,
    record::{CrashRecord, Entry, MAX_RUN, crash, crashes_of, key},
};
use crate::streams::SoftwareId;

/// Time for which requests wait for evidence that the servers of their crashes still run.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Remaining life below which a received crash is not added again.
const MIN_REMAINING_LIFE: Duration = Duration::from_secs(5);

/// Most crashes sent to other hosts; those of requests with the most crashes are sent first.
const MAX_SENT: usize = 128;

/// How long a host sends a crash to others after it found the crash void.
pub(super) const VOID_SEND_TIME: Duration = Duration::from_secs(10);

impl Poison {
    /// Returns the crashes to be sent to other hosts: those of suspects and poison, those of other
    /// subjects that this host witnessed, and those that it found void for
    /// [`VOID_SEND_TIME`].
    pub fn crashes(&self, now: Moment) -> Vec<Crash> {
        let mut sent = Vec::new();
        for (subject, entry) in &self.entries {
            let standing = self.standing(*subject);
            for (key, record) in &entry.crashes {
                let is_sent = match record.state {
                    CrashState::Void => {
                        record.voided_at.is_some_and(|at| now < at + VOID_SEND_TIME)
                    }
                    CrashState::Running | CrashState::Counted | CrashState::Ended => {
                        Standing::Clear < standing || key.1 == self.host
                    }
                };
                if is_sent {
                    // A part explains the crashes of many requests.
                    let is_part = matches!(subject, Subject::Part(_));
                    let is_valid = record.state != CrashState::Void;
                    let rank = (standing, is_part, is_valid, record.expires_at, *subject);
                    sent.push((rank, crash(*subject, key, record, now)));
                }
            }
        }
        sent.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
        sent.into_iter().take(MAX_SENT).map(|(_, crash)| crash).collect()
    }

    /// Returns all crashes of each subject that is poison, and whether this host is the witness of
    /// one of them.
    pub fn refused(&self, now: Moment) -> Vec<(Vec<Crash>, bool)> {
        let refused =
            self.entries.iter().filter(|(subject, _)| self.standing(**subject) == Standing::Poison);
        let crashes = |(subject, entry): (&Subject, &Entry)| {
            let is_own = entry.crashes.keys().any(|(_, witness)| *witness == self.host);
            (crashes_of(*subject, entry, now), is_own)
        };
        refused.map(crashes).collect()
    }

    /// Merges crashes received from other hosts or read from the store.
    pub fn merge(&mut self, crashes: &[Crash], now: Moment) {
        for crash in crashes {
            let Some(left) = LIFE.checked_sub(crash.age) else { continue };
            let is_known = self
                .entries
                .get(&crash.subject)
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

    pub(super) fn record(
        &mut self,
        subject: Subject,
        server: &backend::Id,
        isolation: Isolation,
        state: CrashState,
        now: Moment,
    ) {
        // Each request that is cut off charges its parts, most of which other requests are served with.
        if !is_request(subject) && self.was_served(subject, self.software_of(server), now) {
            return;
        }
        let key = (server.clone(), self.host.clone());
        let record = self.entries.get(&subject).and_then(|entry| entry.crashes.get(&key));
        let turn = record.map_or(0, |record| {
            record.turn.saturating_add(u32::from(record.state == CrashState::Void))
        });
        let crash = Crash {
            subject,
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

    pub(super) fn join(&mut self, crash: &Crash, expires_at: Moment, now: Moment) {
        let known = self.entries.get(&crash.subject).and_then(|e| e.crashes.get(&key(crash)));
        let software = known.and_then(|record| record.software);
        let software = software.or_else(|| self.software_of(&crash.server));
        let state = self.judge(crash, software, now);
        // If only this host knows that the crash is void, it sends that to others.
        let is_voided = state == CrashState::Void && crash.state != CrashState::Void;
        let voided_at = is_voided.then_some(now);
        let new = CrashRecord {
            turn: crash.turn,
            software,
            isolation: crash.isolation,
            state,
            expires_at,
            seen_at: now,
            settled_at: match crash.age < MAX_RUN {
                true => now + SETTLE_TIME,
                false => now,
            },
            voided_at,
            is_overdue: false,
        };
        let entry = self.entries.entry(crash.subject).or_default();
        match entry.crashes.entry(key(crash)) {
            Slot::Vacant(slot) => {
                slot.insert(new);
                self.changed.insert(crash.subject);
            }
            Slot::Occupied(mut slot) => match slot.get().turn.cmp(&crash.turn) {
                Ordering::Less => {
                    slot.insert(new);
                    self.changed.insert(crash.subject);
                }
                Ordering::Equal => {
                    let record = slot.get_mut();
                    if record.isolation < crash.isolation || record.state < state {
                        self.changed.insert(crash.subject);
                    }
                    let is_crash = matches!(state, CrashState::Counted | CrashState::Ended);
                    if record.state < CrashState::Counted && is_crash {
                        // The crash is later than the start of the run.
                        record.seen_at = now;
                        record.settled_at = new.settled_at;
                    }
                    let is_void = record.state == CrashState::Void;
                    if is_void && matches!(crash.state, CrashState::Counted | CrashState::Ended) {
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
        there.insert(crash.subject);
        // The standings of subjects whose crashes this one explains change too.
        if 1 < there.len() && self.changed.contains(&crash.subject) {
            self.changed.extend(there.iter().copied());
        }
    }

    /// State of a crash by what this host knows of the subject and of the server.
    fn judge(&self, crash: &Crash, software: Option<SoftwareId>, now: Moment) -> CrashState {
        let has_ended = || !is_request(crash.subject) && self.gone.has(&crash.server, now);
        let may_be_cleared = !is_request(crash.subject) || crash.isolation == Isolation::Shared;
        match crash.state {
            _ if may_be_cleared && self.was_served(crash.subject, software, now) => {
                CrashState::Void
            }
            CrashState::Counted if has_ended() => CrashState::Ended,
            state => state,
        }
    }

    /// Version of a server's software, if it is registered or was lately.
    fn software_of(&self, server: &backend::Id) -> Option<SoftwareId> {
        self.software.get(server).map(|software| software.id)
    }

    /// Whether the subject was served lately by this version, so that it crashes no server of it; by
    /// any version if that is unknown.
    fn was_served(&self, subject: Subject, software: Option<SoftwareId>, now: Moment) -> bool {
        let (first, last) = match software {
            Some(software) => (software, software),
            None => (SoftwareId::MIN, SoftwareId::MAX),
        };
        match subject {
            Subject::Request(request) => {
                self.completed.has_any((request, first)..=(request, last), now)
            }
            Subject::Part(part) => self.served_parts.has_any((part, first)..=(part, last), now),
        }
    }
}
