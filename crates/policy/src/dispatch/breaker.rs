//! Circuit breakers of servers.
//!
//! A server whose breaker is open gets no requests for a while. Then one request at a time is sent
//! as a trial, and a complete response closes the breaker. Each further failure doubles the time
//! for which the breaker stays open. A refused connection usually means a crash: the restarted
//! server registers under a new id, so trying the old one again soon costs little. Requests to an
//! outlier are costly for their callers, so its breaker stays open longer.

use types::prelude::*;

use super::request::Ticket;

/// Most doublings of the open time.
const MAX_DOUBLINGS: u32 = 5;

/// How long after its open time a breaker admits only a repeatable request as its trial.
const IDEMPOTENT_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// Why a breaker was tripped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A connection broke.
    Disconnected,
    /// The server refused a connection.
    Refused,
    /// The server did not answer in time.
    Timeout,
    /// The server is much slower than the others of its service, or fails more often.
    Outlier,
}

impl Cause {
    /// First and longest time for which the breaker stays open.
    fn open_times(self) -> (Duration, Duration) {
        let (first, most) = match self {
            Cause::Disconnected => (150, 2_000),
            Cause::Refused => (500, 4_000),
            Cause::Timeout => (1_000, 8_000),
            Cause::Outlier => (1_000, 8_000),
        };
        (Duration::from_millis(first), Duration::from_millis(most))
    }
}

/// State of a breaker: which requests the server may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// All requests.
    Closed,
    /// One request, which must be repeatable.
    HalfOpen,
    /// One request of any kind, since no repeatable one has arrived in time.
    HalfOpenAny,
    /// None, unless there is no other server.
    Open,
}

/// The failure that tripped the breaker.
#[derive(Clone, Copy, Debug)]
struct Trip {
    cause: Cause,
    doublings: u32,
    open_until: Moment,
    trial: Option<Ticket>,
}

/// One host's circuit breaker for one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    trip: Option<Trip>,
}

impl Breaker {
    /// Which requests the server may get now.
    pub fn state(&self, now: Moment) -> State {
        match self.trip {
            None => State::Closed,
            Some(trip) if trip.trial.is_some() || now < trip.open_until => State::Open,
            Some(trip) if now < trip.open_until + IDEMPOTENT_TRIAL_WAIT => State::HalfOpen,
            Some(_) => State::HalfOpenAny,
        }
    }

    /// Whether the breaker was tripped by missing responses, rather than by slow or failed ones.
    pub fn is_unreachable(&self) -> bool {
        self.trip.is_some_and(|trip| match trip.cause {
            Cause::Disconnected | Cause::Refused | Cause::Timeout => true,
            Cause::Outlier => false,
        })
    }

    /// Records a failure. A request that fails while the breaker is open was sent before the
    /// breaker was tripped, and changes nothing.
    pub fn trip(&mut self, cause: Cause, now: Moment) {
        let doublings = match self.trip {
            Some(trip) if now < trip.open_until => return,
            Some(trip) => (trip.doublings + 1).min(MAX_DOUBLINGS),
            None => 0,
        };
        let (first, most) = cause.open_times();
        let open_until = now + (first * (1 << doublings)).min(most);
        self.trip = Some(Trip { cause, doublings, open_until, trial: None });
    }

    /// Records that a request is sent to the server. If the open time of the breaker is over, the
    /// request is its trial.
    pub fn sent(&mut self, ticket: Ticket, now: Moment) {
        if let Some(trip) = &mut self.trip
            && trip.open_until <= now
        {
            trip.trial = Some(ticket);
        }
    }

    /// Records that a request at the server has ended, which allows another trial if it was the
    /// trial.
    pub fn ended(&mut self, ticket: Ticket) {
        if let Some(trip) = &mut self.trip
            && trip.trial == Some(ticket)
        {
            trip.trial = None;
        }
    }

    /// Records a complete response, which closes the breaker. A breaker with [`Cause::Outlier`]
    /// closes only by the response to its trial.
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
