//! Story of one request, buffered until its outcome decides whether it is logged.

use std::time::Duration;

use log::Level;
use types::{backend, request};

use super::{
    line::Time,
    logger::Logger,
    step::{Arrival, Ended, Outcome, Step},
};
use crate::event::Text;

/// Maximum number of buffered steps of one request; further steps are only counted.
const MAX_STEPS: usize = 64;

/// Initial capacity for steps, which is enough for most requests.
const INITIAL_CAPACITY: usize = 4;

/// Story of a request. If it is dropped before [`Request::end`], the request is logged as closed by
/// the caller.
#[derive(Debug)]
#[must_use = "a story that is dropped at once is logged as closed by the caller"]
pub struct Request {
    logger: Logger,
    id: request::Id,
    started_at: Duration,
    steps: Vec<(Time, Step)>,
    dropped_steps: u32,
    arrival: Option<Arrival>,
    server: Option<backend::Id>,
    attempts: u32,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

/// End of a request, as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// HTTP status that the caller received.
    pub status: Option<u16>,
    /// Stable identifier of the reason; required unless the request was successful.
    pub why: Option<Text>,
    /// Stable identifier of what kept the host from asking a further server, if the caller received a
    /// part of the response.
    pub cause: Option<Text>,
    /// Time to the first event, or to the head of the response.
    pub first: Option<Duration>,
    /// Number of events that the caller received.
    pub events: u32,
    /// Time from the receipt of the request to the last byte of the response.
    pub duration: Duration,
}

impl Request {
    /// Begins the story of a request with the process's logger.
    pub fn new(id: request::Id) -> Request {
        super::logger().request(id)
    }

    pub(super) fn with_logger(logger: Logger, id: request::Id) -> Request {
        let started_at = logger.now().up;
        Request {
            logger,
            id,
            started_at,
            steps: Vec::new(),
            dropped_steps: 0,
            arrival: None,
            server: None,
            attempts: 0,
            state: State::Open,
        }
    }

    /// Returns the request's id.
    pub fn id(&self) -> &request::Id {
        &self.id
    }

    /// Adds a step, which is logged immediately at level `debug`, and buffered otherwise. Does
    /// nothing if the level excludes warnings.
    pub fn record(&mut self, step: Step) {
        if !self.logger.is_enabled(Level::Warn) {
            return;
        }
        match &step {
            Step::Arrived(arrival) => self.arrival = Some(arrival.clone()),
            Step::Attempt(attempt) => {
                self.server = Some(attempt.server.clone());
                self.attempts += 1;
            }
            Step::Resumed { attempt, server, .. } => {
                self.server = Some(server.clone());
                self.attempts = self.attempts.max(*attempt);
            }
            Step::Queued { .. }
            | Step::Refused { .. }
            | Step::Relayed { .. }
            | Step::Unresponsive { .. }
            | Step::StreamVersion { .. }
            | Step::GivenUp { .. }
            | Step::AttemptEnded { .. }
            | Step::Ended(_) => {}
        }
        let step = (self.logger.now(), step);
        if self.logger.is_enabled(Level::Debug) {
            self.logger.steps(Level::Debug, &self.id, &[step]);
        } else {
            self.buffer(step);
        }
    }

    /// Ends the story and logs it, unless the request was successful and is left out by
    /// [sampling](super::sample).
    pub fn end(mut self, end: End) {
        self.finish(end);
    }

    fn buffer(&mut self, step: (Time, Step)) {
        if MAX_STEPS <= self.steps.len() {
            self.dropped_steps += 1;
            return;
        }
        if self.steps.is_empty() {
            self.steps.reserve_exact(INITIAL_CAPACITY);
        }
        self.steps.push(step);
    }

    fn finish(&mut self, end: End) {
        if self.state == State::Ended {
            return;
        }
        self.state = State::Ended;
        if self.is_success(&end) {
            self.log_success(end);
        } else if self.logger.is_enabled(Level::Warn) {
            let last = (self.logger.now(), Step::Ended(self.ended(end, 1)));
            self.steps.push(last);
            self.logger.steps(Level::Warn, &self.id, &self.steps);
        }
    }

    fn is_success(&self, end: &End) -> bool {
        end.outcome == Outcome::Answered && self.attempts <= 1
    }

    fn log_success(&mut self, end: End) {
        if !self.logger.is_enabled(Level::Info) {
            return;
        }
        let route = self.arrival.as_ref().map_or("", |arrival| &*arrival.route);
        let Some(weight) = self.sample_weight(route) else { return };
        let last = (self.logger.now(), Step::Ended(self.ended(end, weight)));
        self.logger.steps(Level::Info, &self.id, &[last]);
    }

    fn sample_weight(&self, route: &str) -> Option<u32> {
        if self.logger.is_enabled(Level::Debug) { Some(1) } else { self.logger.sample(route) }
    }

    fn ended(&mut self, end: End, weight: u32) -> Ended {
        let End { outcome, status, why, cause, first, events, duration } = end;
        let (route, version, model, adapter, customer) = match self.arrival.take() {
            Some(a) => (Some(a.route), Some(a.version), a.model, a.adapter, a.customer),
            None => (None, None, None, None, None),
        };
        let server = self.server.take();
        let (attempts, dropped_steps) = (self.attempts, self.dropped_steps);
        Ended {
            outcome,
            status,
            why,
            cause,
            route,
            version,
            model,
            adapter,
            customer,
            server,
            attempts,
            first,
            events,
            duration,
            dropped_steps,
            weight,
        }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let duration = self.logger.now().up.saturating_sub(self.started_at);
        let why = Some(Text::Borrowed("caller-left"));
        let outcome = Outcome::Left;
        let (cause, first) = (None, None);
        self.finish(End { outcome, status: None, why, cause, first, events: 0, duration });
    }
}
