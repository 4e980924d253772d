//! Prefix cache of limited size that reports its changes, some of which are lost.

use std::collections::BTreeMap;

use ::backend::wire::{CacheChange, CacheEvent};

/// One in this many events is lost, so that readers meet gaps in the sequence.
const LOSS_INTERVAL: u64 = 10;
const MAX_EVENTS: usize = 1_000;

#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    blocks: BTreeMap<u64, u64>,
    tick: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl Cache {
    pub(super) fn new(limit: usize) -> Cache {
        Cache { limit, blocks: BTreeMap::new(), tick: 0, sequence: 0, events: Vec::new() }
    }

    /// Number of leading blocks that are cached.
    pub(super) fn hits(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    pub(super) fn store(&mut self, model: &str, blocks: &[u64]) {
        for block in blocks {
            self.tick += 1;
            if self.blocks.insert(*block, self.tick).is_none() {
                self.record(model, *block, CacheChange::Stored);
            }
        }
        while self.limit < self.blocks.len() {
            let Some(oldest) = self.blocks.iter().min_by_key(|(_, t)| **t).map(|(b, _)| *b) else {
                return;
            };
            self.blocks.remove(&oldest);
            self.record(model, oldest, CacheChange::Evicted);
        }
    }

    pub(super) fn events(&self, from: u64) -> Vec<CacheEvent> {
        self.events.iter().filter(|event| from <= event.sequence).cloned().collect()
    }

    fn record(&mut self, model: &str, block: u64, change: CacheChange) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(LOSS_INTERVAL) {
            return;
        }
        let sequence = self.sequence;
        self.events.push(CacheEvent { sequence, model: model.into(), block, change });
        if MAX_EVENTS < self.events.len() {
            self.events.remove(0);
        }
    }
}
