//! The ceiling of lines and bytes a second.
//!
//! Lines that tell what the process believes are few, and explain all others; requests are many.
//! So requests may use only [`REQUEST_PARTS`] of [`PARTS`] of the ceiling, and a rush of them
//! can't push out the line that explains it. What is heard of servers and hosts comes in rushes too,
//! in large deployments: beliefs may use [`BELIEF_PARTS`], and what a planner wants, orders and may
//! do always has the rest.

use types::time::Moment;

/// Parts of the ceiling that requests may use, of [`PARTS`].
pub const REQUEST_PARTS: usize = 5;

/// Parts of the ceiling that requests and beliefs may use, of [`PARTS`].
pub const BELIEF_PARTS: usize = 6;

/// Parts of a ceiling.
pub const PARTS: usize = 8;

/// Most that is written in a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Lines.
    pub lines: usize,
    /// Bytes.
    pub bytes: usize,
}

impl Default for RateLimit {
    fn default() -> RateLimit {
        RateLimit { lines: 1000, bytes: 256 * 1024 }
    }
}

/// Who may use which part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Lines about one request.
    Request,
    /// What is believed, but for plans.
    Belief,
    /// What decides all others: starts, declarations, the lease, what is wanted and ordered.
    Plan,
}

impl RateLimit {
    fn part(self, class: Class) -> RateLimit {
        RateLimit { lines: class.part(self.lines), bytes: class.part(self.bytes) }
    }
}

impl Class {
    /// The part of a whole that it may use.
    pub fn part(self, total: usize) -> usize {
        match self {
            Class::Plan => total,
            Class::Belief => total / PARTS * BELIEF_PARTS,
            Class::Request => total / PARTS * REQUEST_PARTS,
        }
    }
}

/// What was used of the ceiling in the second that runs.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    rate_limit: RateLimit,
    second: u64,
    lines: usize,
    bytes: usize,
}

impl Window {
    /// Nothing used yet.
    pub fn new(rate_limit: RateLimit) -> Window {
        Window { rate_limit, second: 0, lines: 0, bytes: 0 }
    }

    /// Whether anything may still be written; asked before a line is made.
    pub fn check(&mut self, now: Moment, class: Class) -> Result<(), Exceeded> {
        self.advance(now);
        let part = self.rate_limit.part(class);
        let has_room = self.lines < part.lines && self.bytes < part.bytes;
        if has_room { Ok(()) } else { Err(Exceeded) }
    }

    /// Uses so much of it, all or nothing.
    pub fn consume(&mut self, class: Class, lines: usize, bytes: usize) -> Result<(), Exceeded> {
        let part = self.rate_limit.part(class);
        if part.lines < self.lines + lines || part.bytes < self.bytes + bytes {
            return Err(Exceeded);
        }
        self.lines += lines;
        self.bytes += bytes;
        Ok(())
    }

    fn advance(&mut self, now: Moment) {
        if now.as_secs() != self.second {
            *self = Window { second: now.as_secs(), ..Window::new(self.rate_limit) };
        }
    }
}

/// The ceiling is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded;
