//! Crashes of servers, which hosts must know sooner than tables reach them in a grouped deployment.
//!
//! The host that sees a crash reports it, and each change of it, by a notice. Tables carry the same
//! facts, for hosts that missed the notice.

use std::{collections::BTreeMap, time::Duration};

use types::time::Moment;

use super::{
    Fleet, Notice, Recipients,
    fact::{Fact, Key},
    wire::Scope,
};
use crate::dispatch::poison::Crash;

/// Most crashes that are kept, so that a burst of them does not fill the memory. Tables carry the
/// others.
const MAX_CRASHES: usize = 1_024;

/// Crashes that other hosts reported, with the time of the report.
#[derive(Debug, Default)]
pub(super) struct Crashes(BTreeMap<Key, (Fact, Moment)>);

impl Crashes {
    pub(super) fn insert(&mut self, now: Moment, crash: Crash) {
        let fact = Fact::Crash(crash);
        let key = fact.key();
        if self.0.len() < MAX_CRASHES || self.0.contains_key(&key) {
            self.0.insert(key, (fact, now));
        }
    }

    /// Returns the crashes as facts, with the time since the report.
    pub(super) fn facts(&self, now: Moment) -> impl Iterator<Item = (&Fact, Duration)> {
        self.0.values().map(move |(fact, at)| (fact, now.saturating_sub(*at)))
    }

    /// Forgets crashes that were reported this long ago.
    pub(super) fn expire(&mut self, now: Moment, horizon: Duration) {
        self.0.retain(|_, (_, at)| now < *at + horizon);
    }
}

impl Fleet {
    /// Reports the crashes that this host saw and has not published like this yet.
    pub(super) fn report_crashes(&mut self, now: Moment, crashes: &[Crash]) {
        if !self.fanout.is_grouped() {
            return;
        }
        let is_own = |crash: &&Crash| crash.witness == self.member.id;
        let published = &self.local_tables[Scope::Own as usize];
        let is_published = |crash: &Crash| {
            let known = published.get(&Fact::Crash(crash.clone()).key());
            matches!(known, Some(Fact::Crash(known)) if is_same(known, crash))
        };
        let new = crashes.iter().filter(is_own).filter(|crash| !is_published(crash));
        for crash in new.cloned().collect::<Vec<_>>() {
            // A notice to all hosts needs no known host.
            let _ = self.send(now, Recipients::All, Notice::Crash(crash));
        }
    }
}

/// Whether two states of a crash differ in nothing but their ages.
fn is_same(a: &Crash, b: &Crash) -> bool {
    Crash { age: b.age, ..a.clone() } == *b
}
