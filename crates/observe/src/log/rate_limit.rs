//! Rate limit on the lines and bytes that are logged per second.
//!
//! Lines about the state of the process are few and explain all others, while lines about requests
//! are many. Requests may therefore use only [`REQUEST_PARTS`] of [`PARTS`] of the limit, so that a
//! burst of them can't displace the line that explains it. In large deployments, changes of servers
//! and hosts come in bursts too: beliefs may use [`BELIEF_PARTS`], and the rest is reserved for the
//! plans, orders and leases of planners.

use types::time::Moment;

/// Parts of the limit that requests may use, of [`PARTS`].
pub const REQUEST_PARTS: usize = 5;

/// Parts of the limit that requests and beliefs together may use, of [`PARTS`].
pub const BELIEF_PARTS: usize = 6;

/// Number of equal parts that a limit is divided into.
pub const PARTS: usize = 8;

/// Maximum output per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Lines per second.
    pub lines: usize,
    /// Bytes per second.
    pub bytes: usize,
}

impl Default for RateLimit {
    fn default() -> RateLimit {
        RateLimit { lines: 1000, bytes: 256 * 1024 }
    }
}

/// Class of lines, which determines how much of the limit they may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Lines about a single request.
    Request,
    /// Lines about the state of the process, except plans, and all ordinary log messages.
    Belief,
    /// Lines that explain all others, such as starts, declarations, leases, placements and orders.
    Plan,
}

impl RateLimit {
    fn part(self, class: Class) -> RateLimit {
        RateLimit { lines: class.part(self.lines), bytes: class.part(self.bytes) }
    }
}

impl Class {
    /// Returns the part of a total that this class may use.
    pub fn part(self, total: usize) -> usize {
        match self {
            Class::Plan => total,
            Class::Belief => total / PARTS * BELIEF_PARTS,
            Class::Request => total / PARTS * REQUEST_PARTS,
        }
    }
}

/// Usage of the limit in the current second.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    rate_limit: RateLimit,
    second: u64,
    lines: usize,
    bytes: usize,
}

impl Window {
    /// Returns a window without usage.
    pub fn new(rate_limit: RateLimit) -> Window {
        Window { rate_limit, second: 0, lines: 0, bytes: 0 }
    }

    /// Fails if the class has used up its part. Called before a record is formatted.
    pub fn check(&mut self, now: Moment, class: Class) -> Result<(), Exceeded> {
        self.advance(now);
        let part = self.rate_limit.part(class);
        let has_room = self.lines < part.lines && self.bytes < part.bytes;
        if has_room { Ok(()) } else { Err(Exceeded) }
    }

    /// Adds a record's lines and bytes to the usage, or fails if they exceed the part of the class.
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

/// Error: the class has used its part of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded;
