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
const MAX_DOUBLINGS: u32 = 5;

/// How long a trial is kept for a request that may be repeated.
const IDEMPOTENT_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// Why a server is in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A connection broke.
    Disconnected,
    /// It refused a connection.
    Refused,
    /// It did not answer in time.
    Timeout,
    /// It is slower than others, or fails more often.
    Outlier,
}

impl Cause {
    fn times(self) -> (Duration, Duration) {
        let (first, most) = match self {
            Cause::Disconnected => (150, 2_000),
            Cause::Refused => (500, 4_000),
            Cause::Timeout => (1_000, 8_000),
            Cause::Outlier => (1_000, 8_000),
        };
        (Duration::from_millis(first), Duration::from_millis(most))
    }
}

/// How far a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Freely.
    Closed,
    /// By one request that may be repeated.
    HalfOpen,
    /// By one request, since none that may be repeated has come.
    HalfOpenAny,
    /// Only if there is no other.
    Open,
}

#[derive(Clone, Copy, Debug)]
struct Trip {
    cause: Cause,
    times: u32,
    until: Moment,
    trial: Option<Ticket>,
}

/// Doubt in one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    trip: Option<Trip>,
}

impl Breaker {
    /// How far the server may be used.
    pub fn state(&self, now: Moment) -> State {
        match self.trip {
            None => State::Closed,
            Some(trip) if trip.trial.is_some() || now < trip.until => State::Open,
            Some(trip) if now < trip.until + IDEMPOTENT_TRIAL_WAIT => State::HalfOpen,
            Some(_) => State::HalfOpenAny,
        }
    }

    /// Whether it is in doubt since it answers nothing, rather than slowly or badly.
    pub fn is_unreachable(&self) -> bool {
        self.trip.is_some_and(|trip| match trip.cause {
            Cause::Disconnected | Cause::Refused | Cause::Timeout => true,
            Cause::Outlier => false,
        })
    }

    /// The server failed. What fails while it is put aside was sent before, and says nothing new.
    pub fn trip(&mut self, cause: Cause, now: Moment) {
        let times = match self.trip {
            Some(trip) if now < trip.until => return,
            Some(trip) => (trip.times + 1).min(MAX_DOUBLINGS),
            None => 0,
        };
        let (first, most) = cause.times();
        let until = now + (first * (1 << times)).min(most);
        self.trip = Some(Trip { cause, times, until, trial: None });
    }

    /// A request is sent there.
    pub fn sent(&mut self, ticket: Ticket, now: Moment) {
        if let Some(trip) = &mut self.trip
            && trip.until <= now
        {
            trip.trial = Some(ticket);
        }
    }

    /// A request is over that was sent there.
    pub fn ended(&mut self, ticket: Ticket) {
        if let Some(trip) = &mut self.trip
            && trip.trial == Some(ticket)
        {
            trip.trial = None;
        }
    }

    /// An answer came whole; whether it was in time decides for a server that was slow.
    pub fn succeeded(&mut self, ticket: Ticket) {
        let Some(trip) = self.trip else { return };
        let is_cleared = match trip.cause {
            Cause::Disconnected | Cause::Refused | Cause::Timeout => true,
            Cause::Outlier => trip.trial == Some(ticket),
        };
        if is_cleared {
            self.trip = None;
        }
    }
}
