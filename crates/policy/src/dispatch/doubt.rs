//! Which servers are put aside, and how they come back.
//!
//! A server in doubt gets nothing until its time is over. Then one request at a time may try it,
//! and the doubt is cleared by an answer that is whole and in time. Each further failure doubles
//! the time. A refused connection mostly means a crash: the restart registers under a new id, so
//! asking again soon costs little. A server that is grey costs its callers much, so its times are
//! longer.

use types::prelude::*;

use super::request::Ticket;

/// Most doublings.
const DOUBLINGS: u32 = 5;

/// How long a trial is kept for a request that may be repeated.
const PATIENCE: Duration = Duration::from_secs(1);

/// Why a server is in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A connection broke.
    Cut,
    /// It refused a connection.
    Refused,
    /// It did not answer in time.
    Silent,
    /// It is slower than others, or fails more often.
    Grey,
}

impl Cause {
    fn times(self) -> (Duration, Duration) {
        let (first, most) = match self {
            Cause::Cut => (150, 2_000),
            Cause::Refused => (500, 4_000),
            Cause::Silent => (1_000, 8_000),
            Cause::Grey => (1_000, 8_000),
        };
        (Duration::from_millis(first), Duration::from_millis(most))
    }
}

/// How far a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Freely.
    Good,
    /// By one request that may be repeated.
    Trial,
    /// By one request, since none that may be repeated has come.
    Overdue,
    /// Only if there is no other.
    Aside,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    cause: Cause,
    times: u32,
    until: Moment,
    trial: Option<Ticket>,
}

/// Doubt in one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Doubt {
    held: Option<Held>,
}

impl Doubt {
    /// How far the server may be used.
    pub fn standing(&self, now: Moment) -> Standing {
        match self.held {
            None => Standing::Good,
            Some(held) if held.trial.is_some() || now < held.until => Standing::Aside,
            Some(held) if now < held.until + PATIENCE => Standing::Trial,
            Some(_) => Standing::Overdue,
        }
    }

    /// Whether it is in doubt since it answers nothing, rather than slowly or badly.
    pub fn is_unreachable(&self) -> bool {
        self.held.is_some_and(|held| match held.cause {
            Cause::Cut | Cause::Refused | Cause::Silent => true,
            Cause::Grey => false,
        })
    }

    /// The server failed. What fails while it is put aside was sent before, and says nothing new.
    pub fn raise(&mut self, cause: Cause, now: Moment) {
        let times = match self.held {
            Some(held) if now < held.until => return,
            Some(held) => (held.times + 1).min(DOUBLINGS),
            None => 0,
        };
        let (first, most) = cause.times();
        let until = now + (first * (1 << times)).min(most);
        self.held = Some(Held { cause, times, until, trial: None });
    }

    /// A request is sent there.
    pub fn sent(&mut self, ticket: Ticket, now: Moment) {
        if let Some(held) = &mut self.held
            && held.until <= now
        {
            held.trial = Some(ticket);
        }
    }

    /// A request is over that was sent there.
    pub fn ended(&mut self, ticket: Ticket) {
        if let Some(held) = &mut self.held
            && held.trial == Some(ticket)
        {
            held.trial = None;
        }
    }

    /// An answer came whole; whether it was in time decides for a server that was slow.
    pub fn good(&mut self, ticket: Ticket) {
        let Some(held) = self.held else { return };
        let is_cleared = match held.cause {
            Cause::Cut | Cause::Refused | Cause::Silent => true,
            Cause::Grey => held.trial == Some(ticket),
        };
        if is_cleared {
            self.held = None;
        }
    }
}
