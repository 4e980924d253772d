//! State of the engine's process, and what outlives a crash of it.

use std::collections::VecDeque;

use tokio::time::Instant;
use types::prelude::*;

use super::{Counts, Fault, Settings, batch::Batch, cache::Cache, memory::Memory};

const MAX_REPORTS: usize = 64;

#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: backend::Incarnation,
    pub(super) sequence: u64,
    pub(super) leaving: bool,
    pub(super) is_up: bool,
    pub(super) memory: Memory,
    pub(super) batch: Batch,
    pub(super) cache: Cache,
    pub(super) fault: Fault,
    pub(super) counts: Counts,
    reports: VecDeque<(Instant, report::Load)>,
}

impl State {
    pub(super) fn new(settings: &Settings) -> State {
        State {
            incarnation: 1,
            sequence: 0,
            leaving: false,
            is_up: true,
            memory: Memory::new(settings),
            batch: Batch::default(),
            cache: Cache::new(settings.cache_blocks),
            fault: Fault::default(),
            counts: Counts::default(),
            reports: VecDeque::new(),
        }
    }

    pub(super) fn crash(&mut self, settings: &Settings) {
        self.is_up = false;
        self.counts.crashes += 1;
        self.batch = Batch::default();
        self.cache = Cache::new(settings.cache_blocks);
        self.memory = Memory::empty(settings);
        self.reports.clear();
    }

    pub(super) fn restart(&mut self, settings: &Settings) {
        self.incarnation += 1;
        self.sequence = 0;
        self.is_up = true;
        self.memory = Memory::new(settings);
    }

    /// The newest report that is at least as old as [`Settings::report_lag`], or else the oldest
    /// one kept.
    pub(super) fn report(&mut self, settings: &Settings) -> report::Load {
        let now = Instant::now();
        let current = self.snapshot(settings);
        self.reports.push_back((now, current));
        if MAX_REPORTS < self.reports.len() {
            self.reports.pop_front();
        }
        let is_due =
            |(taken_at, _): &&(Instant, report::Load)| settings.report_lag <= now - *taken_at;
        let visible = self.reports.iter().rev().find(is_due).or(self.reports.front());
        match visible {
            Some((taken_at, load)) => report::Load { age: now - *taken_at, ..load.clone() },
            None => self.snapshot(settings),
        }
    }

    fn snapshot(&mut self, settings: &Settings) -> report::Load {
        self.sequence += 1;
        report::Load {
            server: settings.id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            age: Duration::ZERO,
            leaving: self.leaving,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            slots: settings.slots,
            step: settings.step,
            prefill_rate: settings.prefill_rate,
            prompt_backlog: self.batch.prompt_backlog(),
            capacity: settings.capacity,
            residents: self.memory.residents().to_vec(),
            fence: self.memory.fence(),
            fenced: settings.fenced,
            orders: self.memory.orders(),
            role: self.memory.role(),
        }
    }
}
