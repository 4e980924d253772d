//! Which facts one reader can identify by their slots alone.
//!
//! A fact is sent in full first, with its key; its later numbers need only the slot. The reader
//! knows the key once it has read the edition at which the fact was first sent in full. The edition
//! of the fact's last change would not do: while the fact keeps changing, the acknowledged edition
//! would always be lower.

use std::collections::BTreeMap;

use super::wire::{Change, Delta, Edition, Slot};

/// Whether a reader knows the key of the fact in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Name {
    Unknown,
    Known,
}

#[derive(Debug, Default)]
pub(super) struct Names {
    /// The edition at which the fact of each slot was first sent in full.
    sent: BTreeMap<Slot, Edition>,
    acked: Edition,
}

impl Names {
    pub(super) fn get(&self, slot: Slot) -> Name {
        match self.sent.get(&slot) {
            Some(edition) if *edition <= self.acked => Name::Known,
            _ => Name::Unknown,
        }
    }

    /// Records the edition up to which the reader has read.
    pub(super) fn acknowledge(&mut self, edition: Edition) {
        self.acked = edition;
    }

    /// Forgets the facts that were sent in full and not acknowledged.
    pub(super) fn rewind(&mut self) {
        let acked = self.acked;
        self.sent.retain(|_, edition| *edition <= acked);
    }

    pub(super) fn clear(&mut self) {
        self.sent.clear();
    }

    /// Records which facts a delta sends in full, and which it removes.
    pub(super) fn note(&mut self, delta: &Delta) {
        let mut edition = delta.from;
        for line in &delta.lines {
            edition += line.step;
            match &line.change {
                Change::Fact(fact) if fact.numbers().is_some() => {
                    self.sent.entry(line.slot).or_insert(edition);
                }
                Change::Removed => {
                    self.sent.remove(&line.slot);
                }
                Change::Fact(_) | Change::One(_) | Change::Two(..) => {}
            }
        }
    }
}
