//! The writer's side of a table: facts, and what changed after any edition.
//!
//! Each change of a fact gets the next edition, and a fact stands at its last one only. So what a
//! reader lacks is what stands above the edition that it has, however many datagrams were lost. A
//! fact that nobody was told since it changed keeps its edition, so that changes don't put it off.

use std::{collections::BTreeMap, time::Duration};

use types::time::Moment;

use crate::dispatch::poison::Crash;

use super::{
    fact::{Fact, Key},
    names::{Name, Names},
    wire::{self, Change, Delta, Edition, Extent, Line, Scope, Slot},
};

/// Largest fact; larger ones are not told.
const MAX_FACT_BYTES: usize = 600;

/// Most by which the time of a crash may seem to shift between two readings of it.
const CRASH_TIME_TOLERANCE: Duration = Duration::from_secs(1);

/// Most by which the time of a lease's renewal may seem to shift between two readings of one.
const RENEWAL_TIME_TOLERANCE: Duration = Duration::from_millis(100);

/// Bytes of a table without its lines, at the max.
const DELTA_HEAD_BYTES: usize = 40;

/// Bytes that a table may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct SizeLimit {
    /// If it has more than one line.
    pub(super) normal: usize,
    /// In any case.
    pub(super) max: usize,
}

impl SizeLimit {
    /// What is left after so many bytes.
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
    /// The newest edition that any reader was sent.
    sent: Edition,
    next: Slot,
    floor: Edition,
}

#[derive(Debug)]
struct Entry {
    key: Key,
    /// None once it is dropped.
    fact: Option<Fact>,
    edition: Edition,
    updated: Moment,
}

impl LocalTable {
    /// The newest edition.
    pub(super) fn last(&self) -> Edition {
        self.last
    }

    /// Drops up to here are no longer told.
    pub(super) fn floor(&self) -> Edition {
        self.floor
    }

    /// Facts that stand, and how old they are.
    pub(super) fn facts(&self, now: Moment) -> impl Iterator<Item = (&Fact, Duration)> {
        let age = move |entry: &Entry| now.saturating_sub(entry.updated);
        self.entries.values().filter_map(move |entry| Some((entry.fact.as_ref()?, age(entry))))
    }

    /// Puts a fact in the place of the former one of its key.
    pub(super) fn set(&mut self, now: Moment, fact: Fact) {
        let key = fact.key();
        match self.slots.get(&key).copied() {
            Some(slot) => self.replace(now, slot, Some(fact)),
            None if wire::size(&fact) > MAX_FACT_BYTES => {}
            None => self.add(now, key, fact),
        }
    }

    /// Tells no more of a key.
    pub(super) fn remove(&mut self, now: Moment, key: &Key) {
        if let Some(slot) = self.slots.get(key).copied() {
            self.replace(now, slot, None);
        }
    }

    /// Keys that stand and for which this holds.
    pub(super) fn keys(&self, which: impl Fn(&Key) -> bool) -> Vec<Key> {
        let present = self.entries.values().filter(|entry| entry.fact.is_some());
        present.map(|entry| &entry.key).filter(|key| which(key)).cloned().collect()
    }

    /// Drops work that has been at rest for so long, and forgets drops that are as old.
    pub(super) fn expire(&mut self, now: Moment, age: Duration) {
        let is_old = |entry: &&Entry| entry.updated + age <= now;
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

    /// What stands above `from`, in this room, for a reader that knows these names; taken
    /// for told from now on.
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
            // One line goes also where there is little room.
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
        let entry = Entry { key, fact: Some(fact), edition, updated: now };
        self.entries.insert(slot, entry);
    }

    fn replace(&mut self, now: Moment, slot: Slot, fact: Option<Fact>) {
        let Some(entry) = self.entries.get_mut(&slot) else { return };
        if entry.matches(now, fact.as_ref()) {
            return;
        }
        entry.fact = fact;
        entry.updated = now;
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
    /// Whether it says so already.
    fn matches(&self, now: Moment, fact: Option<&Fact>) -> bool {
        match (&self.fact, fact) {
            (Some(Fact::Lease(old)), Some(Fact::Lease(new))) => {
                let aged = old.age + now.saturating_sub(self.updated);
                (&old.holder, old.fence) == (&new.holder, new.fence)
                    && aged.abs_diff(new.age) <= RENEWAL_TIME_TOLERANCE
            }
            (Some(Fact::Crash(old)), Some(Fact::Crash(new))) => {
                let aged = old.age + now.saturating_sub(self.updated);
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
            None => Change::Fact(fact.aged(now.saturating_sub(self.updated))),
        }
    }
}
