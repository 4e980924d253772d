//! The reader's side of a table: what one host advertised.
//!
//! Changes are applied in the order of their editions only. A lost datagram leaves a gap; deltas
//! after the gap are ignored, and the writer is sent the edition to continue from.

use std::{collections::BTreeMap, time::Duration};

use types::time::Moment;

use super::{
    fact::{Fact, Key},
    wire::{Change, Delta, Edition, Extent, Mark, Slot},
};

#[derive(Debug, Default)]
pub(super) struct RemoteTable {
    facts: BTreeMap<Slot, (Fact, Moment)>,
    read: Edition,
    continuity: Continuity,
    history: History,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Continuity {
    #[default]
    Contiguous,
    Gap,
}

/// Whether everything that was advertised before this host started to read has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum History {
    #[default]
    Unread,
    Read,
}

/// What changed by merging a delta.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Increments {
    /// Counters that rose, and by how much.
    pub(super) counters: Vec<(Key, u64)>,
}

impl RemoteTable {
    /// Returns the facts, with the time since each was received.
    pub(super) fn facts(&self, now: Moment) -> impl Iterator<Item = (&Fact, Duration)> {
        self.facts.values().map(move |(fact, updated)| (fact, now.saturating_sub(*updated)))
    }

    /// Returns the edition up to which the table was read, for the acknowledgement.
    pub(super) fn mark(&self) -> Mark {
        match self.continuity {
            Continuity::Contiguous => Mark::Read(self.read),
            Continuity::Gap => Mark::Gap(self.read),
        }
    }

    /// Applies the changes of a delta that were not read before, and returns what they add to
    /// counters. A delta that starts after the last edition read leaves a gap and is ignored.
    pub(super) fn merge(&mut self, now: Moment, delta: Delta) -> Increments {
        let Some(end) = delta.from.checked_add(delta.span) else { return Increments::default() };
        if 0 < self.read && self.read < delta.floor {
            // Removals that were missed are no longer advertised, so the copy may hold removed
            // facts.
            *self = RemoteTable::default();
        }
        if delta.from > self.read {
            self.continuity = Continuity::Gap;
            return Increments::default();
        }
        self.continuity = Continuity::Contiguous;
        if end <= self.read {
            return Increments::default();
        }
        let mut increments = Increments::default();
        let mut edition = delta.from;
        for line in delta.lines {
            edition = edition.saturating_add(line.step);
            if edition > self.read
                && !self.apply_change(now, line.slot, line.change, &mut increments)
            {
                self.continuity = Continuity::Gap;
                return increments;
            }
        }
        self.read = end;
        if delta.extent == Extent::Complete {
            self.history = History::Read;
        }
        increments
    }

    /// Applies a change; false if it is about a fact that was never received in full.
    fn apply_change(
        &mut self,
        now: Moment,
        slot: Slot,
        change: Change,
        increments: &mut Increments,
    ) -> bool {
        let (first, second) = match change {
            Change::One(first) => (first, 0),
            Change::Two(first, second) => (first, second),
            Change::Fact(fact) => {
                self.put(now, slot, fact, increments);
                return true;
            }
            Change::Removed => {
                self.facts.remove(&slot);
                return true;
            }
        };
        let Some((fact, updated)) = self.facts.get_mut(&slot) else { return false };
        let before = fact.total();
        *updated = now;
        let has_numbers = fact.set_numbers(first, second);
        if let Some((before, after)) = before.zip(fact.total()).filter(|(old, new)| old < new) {
            increments.counters.push((fact.key(), after - before));
        }
        has_numbers
    }

    fn put(&mut self, now: Moment, slot: Slot, fact: Fact, increments: &mut Increments) {
        let previous = self.facts.get(&slot).filter(|(previous, _)| previous.key() == fact.key());
        let before = match (previous, self.history) {
            (Some((previous, _)), _) => previous.total(),
            // Only later increments count: arrivals before this host started to read are not
            // counted.
            (None, History::Unread) => None,
            (None, History::Read) => Some(0),
        };
        if let Some((before, after)) = before.zip(fact.total()).filter(|(old, new)| old < new) {
            increments.counters.push((fact.key(), after - before));
        }
        self.facts.insert(slot, (fact, now));
    }
}
