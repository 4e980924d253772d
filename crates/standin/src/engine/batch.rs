//! Continuous batching: selects the running requests and generates one token per step for each.

use std::{sync::Weak, time::Duration};

use tokio::sync::mpsc;

use super::Shared;

/// One token of an answer.
#[derive(Clone, Debug)]
pub(super) struct Token {
    /// Index of the token in the answer.
    pub(super) offset: u64,
    pub(super) text: String,
    /// Whether the answer is complete with this token. If the tokens end without it, the engine
    /// crashed.
    pub(super) is_last: bool,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) priority: u8,
    pub(super) prompt: String,
    /// Prompt tokens that are still to be processed.
    pub(super) prompt_left: u64,
    /// Offset of the next token.
    pub(super) next: u64,
    /// Offset at which the answer ends, exclusive.
    pub(super) end: u64,
    pub(super) tokens: mpsc::UnboundedSender<Token>,
}

#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Job>,
    waiting: Vec<Job>,
}

/// The token at an offset of the answer to a prompt: the offset and a digest of both.
pub fn token(prompt: &str, offset: u64) -> String {
    let digest = prompt.bytes().fold(offset.wrapping_mul(31), |d, b| {
        d.rotate_left(5).wrapping_add(u64::from(b)).wrapping_mul(0x9e37_79b9)
    });
    format!("{offset}.{:03} ", digest % 1_000)
}

impl Batch {
    pub(super) fn push(&mut self, job: Job) {
        self.waiting.push(job);
    }

    pub(super) fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub(super) fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn prompt_backlog(&self) -> u64 {
        self.running.iter().chain(&self.waiting).map(|job| job.prompt_left).sum()
    }

    /// Executes one step. Returns the number of generated tokens and of requests found cancelled.
    fn step(&mut self, slots: u32, prefill_rate: u32) -> (u64, u64) {
        let before = self.len();
        self.running.retain(|job| !job.tokens.is_closed());
        self.waiting.retain(|job| !job.tokens.is_closed());
        let cancels = (before - self.len()) as u64;
        self.admit(slots);
        self.prefill(prefill_rate);
        let tokens = self.generate();
        self.running.retain(|job| job.next < job.end);
        (tokens, cancels)
    }

    /// Fills free slots by priority, then by order of arrival.
    fn admit(&mut self, slots: u32) {
        while self.running.len() < slots as usize && !self.waiting.is_empty() {
            let best = self
                .waiting
                .iter()
                .enumerate()
                .max_by_key(|(index, job)| (job.priority, std::cmp::Reverse(*index)))
                .map_or(0, |(index, _)| index);
            self.running.push(self.waiting.remove(best));
        }
    }

    fn prefill(&mut self, prefill_rate: u32) {
        let mut budget = u64::from(prefill_rate);
        for job in &mut self.running {
            let read = job.prompt_left.min(budget);
            job.prompt_left -= read;
            budget -= read;
        }
    }

    fn generate(&mut self) -> u64 {
        let mut tokens = 0;
        for job in self.running.iter_mut().filter(|job| job.prompt_left == 0) {
            let token = Token {
                offset: job.next,
                text: token(&job.prompt, job.next),
                is_last: job.next + 1 == job.end,
            };
            // A closed channel is noticed and counted as a cancelled request in the next step.
            let _ = job.tokens.send(token);
            job.next += 1;
            tokens += 1;
        }
        tokens
    }
}

/// Executes steps while there are requests, until the engine is dropped.
pub(super) async fn run(shared: Weak<Shared>) {
    const IDLE: Duration = Duration::from_millis(50);
    loop {
        let Some(engine) = shared.upgrade() else { return };
        let step = engine.settings.step;
        let is_idle = {
            let mut state = engine.state();
            if !state.fault.frozen {
                let (tokens, cancels) =
                    state.batch.step(engine.settings.slots, engine.settings.prefill_rate);
                state.counts.tokens += tokens;
                state.counts.cancels += cancels;
            }
            state.batch.len() == 0
        };
        if is_idle {
            // The wait is bounded so that this task ends after the engine is dropped.
            let _ = tokio::time::timeout(IDLE, engine.wake.notified()).await;
        }
        drop(engine);
        tokio::time::sleep(step).await;
    }
}
