//! The writer's side of a table: facts, and what changed after any edition.
//!
//! Each change of a fact gets the next edition, and a fact is listed at its last edition only. So a
//! reader lacks just the facts whose editions are above the one that it has acknowledged, however
//! many datagrams were lost. A fact that changes again before its last change was sent to any
//! reader keeps its edition: a fact that changes all the time would otherwise stay at the end of
//! the queue.

use std::{collections::BTreeMap, time::Duration};

use types::time::Moment;

use crate::dispatch::poison::Crash;

use super::{
    fact::{Fact, Key},
    names::{Name, Names},
    wire::{self, Change, Delta, Edition, Extent, Line, Scope, Slot},
};

/// Largest fact that is advertised.
const MAX_FACT_BYTES: usize = 600;

/// Most by which the computed time of a crash may differ between two readings that mean the same
/// crash.
const CRASH_TIME_TOLERANCE: Duration = Duration::from_secs(1);

/// Most by which the computed time of a lease's renewal may differ between two readings that mean
/// the same renewal.
const RENEWAL_TIME_TOLERANCE: Duration = Duration::from_millis(100);

/// Most bytes of a delta without its lines.
const DELTA_HEAD_BYTES: usize = 40;

/// Most bytes of a delta.
#[derive(Clone, Copy, Debug)]
pub(super) struct SizeLimit {
    /// For all lines after the first.
    pub(super) normal: usize,
    /// For the first line, which is sent even where little room is left.
    pub(super) max: usize,
}

impl SizeLimit {
    /// Returns the limit that is left after these bytes.
    pub(super) fn without(self, bytes: usize) -> SizeLimit {
        let SizeLimit { normal, max } = self;
        SizeLimit { normal: normal.saturating_sub(bytes), max: max.saturating_sub(bytes) }
    }
}

#[derive(Debug, Default)]
pub(super) struct LocalTable {
    entries: BTreeMap<Slot, Entry>,
    slots: BTreeMap<Key, Slot>,
    editions: BTreeMap<Edition, Slot>,
    last: Edition,
    /// The newest edition that was sent to any reader.
    sent: Edition,
    next: Slot,
    floor: Edition,
}

#[derive(Debug)]
struct Entry {
    key: Key,
    /// None once the fact was removed.
    fact: Option<Fact>,
    edition: Edition,
    updated_at: Moment,
}

impl LocalTable {
    /// Returns the newest edition.
    pub(super) fn last(&self) -> Edition {
        self.last
    }

    /// Returns the edition up to which removals were forgotten; readers behind it have to read the
    /// table from the start.
    pub(super) fn floor(&self) -> Edition {
        self.floor
    }

    /// Returns the facts that were not removed, with the time since each was set.
    pub(super) fn facts(&self, now: Moment) -> impl Iterator<Item = (&Fact, Duration)> {
        let age = move |entry: &Entry| now.saturating_sub(entry.updated_at);
        self.entries.values().filter_map(move |entry| Some((entry.fact.as_ref()?, age(entry))))
    }

    /// Returns the fact of a key, unless it was removed.
    pub(super) fn get(&self, key: &Key) -> Option<&Fact> {
        self.entries.get(self.slots.get(key)?)?.fact.as_ref()
    }

    /// Adds a fact, or replaces the earlier one of its key.
    pub(super) fn set(&mut self, now: Moment, fact: Fact) {
        let key = fact.key();
        match self.slots.get(&key).copied() {
            Some(slot) => self.replace(now, slot, Some(fact)),
            None if wire::size(&fact) > MAX_FACT_BYTES => {}
            None => self.add(now, key, fact),
        }
    }

    /// Removes the fact of a key, and advertises the removal.
    pub(super) fn remove(&mut self, now: Moment, key: &Key) {
        if let Some(slot) = self.slots.get(key).copied() {
            self.replace(now, slot, None);
        }
    }

    /// Returns the keys that match, of facts that were not removed.
    pub(super) fn keys(&self, which: impl Fn(&Key) -> bool) -> Vec<Key> {
        let present = self.entries.values().filter(|entry| entry.fact.is_some());
        present.map(|entry| &entry.key).filter(|key| which(key)).cloned().collect()
    }

    /// Removes loads that have been zero for this long, and forgets removals of that age.
    pub(super) fn expire(&mut self, now: Moment, age: Duration) {
        let is_old = |entry: &&Entry| entry.updated_at + age <= now;
        let is_idle = |entry: &&Entry| entry.fact.as_ref().is_some_and(Fact::is_idle);
        let old = self.entries.values().filter(is_old);
        let (idle, others): (Vec<_>, Vec<_>) = old.partition(is_idle);
        let removed = others.iter().filter(|entry| entry.fact.is_none());
        let removed: Vec<_> = removed.map(|entry| entry.edition).collect();
        let idle: Vec<_> = idle.iter().map(|entry| entry.key.clone()).collect();
        for edition in removed {
            self.forget(edition);
        }
        for key in idle {
            self.remove(now, &key);
        }
    }

    /// Returns the changes after `from` that fit the size limit, and counts them as sent. Facts
    /// whose names the reader knows go as numbers only.
    pub(super) fn delta(
        &mut self,
        now: Moment,
        scope: Scope,
        from: Edition,
        names: &Names,
        limit: SizeLimit,
    ) -> Delta {
        let mut limit = limit.without(DELTA_HEAD_BYTES);
        let mut to = from;
        let mut lines = Vec::new();
        let mut extent = Extent::Complete;
        for (&edition, &slot) in self.editions.range(from.saturating_add(1)..) {
            let Some(entry) = self.entries.get(&slot) else { continue };
            let change = entry.change(now, names.get(slot));
            let line = Line { step: edition - to, slot, change };
            let size = wire::size(&line);
            // One line is sent even where little room is left.
            let left = if lines.is_empty() { limit.max } else { limit.normal };
            if left < size {
                extent = Extent::Partial;
                break;
            }
            limit = limit.without(size);
            to = edition;
            lines.push(line);
        }
        if extent == Extent::Complete {
            to = self.last.max(from);
        }
        self.sent = self.sent.max(to);
        Delta { scope, floor: self.floor, from, span: to - from, extent, lines }
    }

    fn add(&mut self, now: Moment, key: Key, fact: Fact) {
        let (slot, edition) = (self.next, self.last + 1);
        self.next += 1;
        self.last = edition;
        self.slots.insert(key.clone(), slot);
        self.editions.insert(edition, slot);
        let entry = Entry { key, fact: Some(fact), edition, updated_at: now };
        self.entries.insert(slot, entry);
    }

    fn replace(&mut self, now: Moment, slot: Slot, fact: Option<Fact>) {
        let Some(entry) = self.entries.get_mut(&slot) else { return };
        if entry.matches(now, fact.as_ref()) {
            return;
        }
        entry.fact = fact;
        entry.updated_at = now;
        if entry.edition > self.sent {
            return;
        }
        self.last += 1;
        self.editions.remove(&entry.edition);
        self.editions.insert(self.last, slot);
        entry.edition = self.last;
    }

    fn forget(&mut self, edition: Edition) {
        let Some(slot) = self.editions.remove(&edition) else { return };
        if let Some(entry) = self.entries.remove(&slot) {
            self.slots.remove(&entry.key);
        }
        self.floor = self.floor.max(edition);
    }
}

impl Entry {
    /// Whether the entry equals this fact, apart from the time that has passed since it was set.
    fn matches(&self, now: Moment, fact: Option<&Fact>) -> bool {
        match (&self.fact, fact) {
            (Some(Fact::Lease(old)), Some(Fact::Lease(new))) => {
                let aged = old.age + now.saturating_sub(self.updated_at);
                (&old.holder, old.fence) == (&new.holder, new.fence)
                    && aged.abs_diff(new.age) <= RENEWAL_TIME_TOLERANCE
            }
            (Some(Fact::Crash(old)), Some(Fact::Crash(new))) => {
                let aged = old.age + now.saturating_sub(self.updated_at);
                Crash { age: new.age, ..old.clone() } == *new
                    && aged.abs_diff(new.age) <= CRASH_TIME_TOLERANCE
            }
            (old, new) => old.as_ref() == new,
        }
    }

    fn change(&self, now: Moment, name: Name) -> Change {
        let Some(fact) = &self.fact else { return Change::Removed };
        match fact.numbers().filter(|_| name == Name::Known) {
            Some((first, 0)) => Change::One(first),
            Some((first, second)) => Change::Two(first, second),
            None => Change::Fact(fact.aged(now.saturating_sub(self.updated_at))),
        }
    }
}
