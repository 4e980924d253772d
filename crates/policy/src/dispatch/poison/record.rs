//! Crashes, as one host remembers them.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use super::{Crash, CrashState, Isolation, LIFE, SUSPICION, Standing, Subject};
use crate::streams::SoftwareId;

/// How long a suspect's run keeps other suspects away if the end of the run is not reported.
pub(super) const MAX_RUN: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) turn: u32,
    /// Version of the server's software; `None` if the server was not registered at this host.
    pub(super) software: Option<SoftwareId>,
    pub(super) isolation: Isolation,
    pub(super) state: CrashState,
    /// When the crash expires at the latest.
    pub(super) expires_at: Moment,
    /// When this host added the record, or when the run of a suspect was first recorded as a crash.
    pub(super) seen_at: Moment,
    /// When the crash is settled, unless it is void by then.
    pub(super) settled_at: Moment,
    /// When this host last found the crash void; it sends the void crash to others for
    /// [`VOID_SEND_TIME`](super::sharing::VOID_SEND_TIME) from then on.
    pub(super) voided_at: Option<Moment>,
    /// Whether the server is still registered long after the crash of a part, so that it runs.
    pub(super) is_overdue: bool,
}

impl CrashRecord {
    pub(super) fn age(&self, now: Moment) -> Duration {
        LIFE.saturating_sub(self.expires_at.saturating_sub(now))
    }

    /// Whether the server may have had this version.
    pub(super) fn is_at(&self, software: SoftwareId) -> bool {
        self.software.is_none_or(|own| own == software)
    }

    pub(super) fn is_counted(&self) -> bool {
        match self.state {
            CrashState::Counted => !self.is_overdue,
            CrashState::Ended => true,
            CrashState::Running | CrashState::Void => false,
        }
    }

    pub(super) fn is_running(&self, now: Moment) -> bool {
        self.state == CrashState::Running && self.age(now) < MAX_RUN
    }
}

/// The run of a server, and the host that sent the subject there.
pub(super) type CrashKey = (backend::Id, host::Id);

#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    pub(super) crashes: BTreeMap<CrashKey, CrashRecord>,
    pub(super) reported: Option<Standing>,
}

impl Entry {
    /// Records of the subject at a server, by all hosts.
    pub(super) fn records_at<'a>(
        &'a self,
        server: &'a backend::Id,
    ) -> impl Iterator<Item = &'a CrashRecord> {
        let there = self.crashes.iter().filter(move |((other, _), _)| other == server);
        there.map(|(_, record)| record)
    }

    /// Whether the crash of a server is settled.
    pub(super) fn is_settled(&self, server: &backend::Id, now: Moment) -> bool {
        self.records_at(server).any(|record| record.is_counted() && record.settled_at <= now)
    }

    /// Whether the crash of a server is settled, and its registration has ended.
    pub(super) fn has_ended(&self, server: &backend::Id, now: Moment) -> bool {
        self.records_at(server)
            .any(|record| record.state == CrashState::Ended && record.settled_at <= now)
    }

    /// Records that the registration of a server has ended.
    pub(super) fn end(&mut self, server: &backend::Id) {
        let there = self.crashes.iter_mut().filter(|((other, _), _)| other == server);
        for (_, record) in there.filter(|(_, record)| record.state == CrashState::Counted) {
            record.state = CrashState::Ended;
        }
    }

    /// Marks crashes that were seen this long ago, and whose servers are still registered.
    pub(super) fn mark_overdue(&mut self, life: Duration, now: Moment) -> bool {
        let overdue = self.crashes.values_mut().filter(|record| {
            record.state == CrashState::Counted && !record.is_overdue && life <= record.age(now)
        });
        overdue.map(|record| record.is_overdue = true).count() != 0
    }

    /// Whether the subject ran isolated on a server that then crashed.
    pub(super) fn ran_isolated(&self, server: &backend::Id) -> bool {
        self.records_at(server)
            .any(|record| record.isolation == Isolation::Isolated && record.is_counted())
    }

    /// Servers whose crashes count, regardless of whether another subject explains them.
    pub(super) fn counted(&self) -> BTreeSet<&backend::Id> {
        let counted = self.crashes.iter().filter(|(_, record)| record.is_counted());
        counted.map(|((server, _), _)| server).collect()
    }

    pub(super) fn settle(&mut self, server: &backend::Id, now: Moment) {
        let there = self.crashes.iter_mut().filter(|((other, _), _)| other == server);
        there.for_each(|(_, record)| record.settled_at = record.settled_at.min(now));
    }

    /// When the subject is forgotten, which depends on its newest crash and on whether it ran
    /// isolated in any.
    pub(super) fn expires_at(&self) -> Moment {
        let youngest =
            self.crashes.values().map(|record| record.expires_at).max().unwrap_or_default();
        let was_isolated =
            self.crashes.values().any(|record| record.isolation == Isolation::Isolated);
        if was_isolated { youngest } else { youngest.saturating_sub(LIFE - SUSPICION) }
    }
}

pub(super) fn key(crash: &Crash) -> CrashKey {
    (crash.server.clone(), crash.witness.clone())
}

pub(super) fn crashes_of(subject: Subject, entry: &Entry, now: Moment) -> Vec<Crash> {
    entry.crashes.iter().map(|(key, record)| crash(subject, key, record, now)).collect()
}

pub(super) fn crash(subject: Subject, key: &CrashKey, record: &CrashRecord, now: Moment) -> Crash {
    let (server, witness) = key.clone();
    Crash {
        subject,
        server,
        witness,
        turn: record.turn,
        isolation: record.isolation,
        state: record.state,
        age: record.age(now),
    }
}
