//! Which facts one reader knows by name.
//!
//! A reader that was told a fact whole takes its later figures by the slot alone. It knows the name
//! once it has read the edition at which the name was first sent; the edition of a later sending
//! would never be acknowledged in time while the fact goes on changing.

use std::collections::BTreeMap;

use super::wire::{Change, Delta, Edition, Slot};

/// Whether a reader can tell what a slot stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Name {
    Unknown,
    Known,
}

#[derive(Debug, Default)]
pub(super) struct Names {
    /// The edition at which each name was first sent.
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

    /// Takes how far the reader has read.
    pub(super) fn acknowledge(&mut self, edition: Edition) {
        self.acked = edition;
    }

    /// Forgets what was sent and not acknowledged.
    pub(super) fn go_back(&mut self) {
        let acked = self.acked;
        self.sent.retain(|_, edition| *edition <= acked);
    }

    /// Forgets all.
    pub(super) fn clear(&mut self) {
        self.sent.clear();
    }

    /// Notes what a table names, and what it drops.
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
