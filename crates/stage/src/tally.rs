//! What becomes of one call, from its first byte to the last byte of its answer.
//!
//! An answer may end long after its head was handed over, and may end by the caller's leaving, so
//! the tally travels with the call and its answer, and counts when the last holder lets go of it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use observe::{
    Event,
    event::{Kind, Outcome},
    metrics::{Attainment, InFlight},
};
use types::{prelude::*, request::Ran};

use crate::{
    context::Context,
    filters::Call,
    problem::{self, Problem},
};

/// Service under which refusals are counted of calls that name none.
const NO_SERVICE: &str = "none";

/// What becomes of one call; counted when its last clone is dropped.
#[derive(Clone)]
pub struct Tally(Arc<Inner>);

struct Inner {
    context: Arc<Context>,
    received: Moment,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    call: Option<Call>,
    in_flight: Option<InFlight>,
    head: Option<Moment>,
    last_token: Option<Moment>,
    tokens: u32,
    problem: Option<Problem>,
    is_complete: bool,
}

impl Tally {
    /// Starts when a call comes in.
    pub fn new(context: Arc<Context>) -> Tally {
        let received = context.now();
        Tally(Arc::new(Inner { context, received, state: Mutex::default() }))
    }

    /// The call is known.
    pub fn identified(&self, call: &Call) {
        let context = &self.0.context;
        let service = call.request.service.clone();
        context.events.record(about(call, Event::new(Kind::Request { service })));
        let mut state = self.0.state();
        state.in_flight = Some(context.metrics.in_flight(&call.request.service));
        state.call = Some(call.clone());
    }

    /// The call was refused, or its answer broke off.
    pub fn failed(&self, problem: &Problem) {
        self.0.state().problem = Some(problem.clone());
    }

    /// The answer's head, and with it the first token of a stream, is handed over.
    pub fn head(&self) {
        let now = self.0.context.now();
        let mut state = self.0.state();
        state.head = Some(now);
        let Some(call) = &state.call else { return };
        self.0.context.metrics.first_token(&call.request.service, now - self.0.received);
    }

    /// A token of a stream is handed over.
    pub fn token(&self) {
        let now = self.0.context.now();
        let mut state = self.0.state();
        state.tokens += 1;
        let Some(before) = state.last_token.replace(now) else { return };
        let Some(call) = &state.call else { return };
        self.0.context.metrics.between_tokens(&call.request.service, now - before);
    }

    /// The whole answer is handed over.
    pub fn complete(&self) {
        self.0.state().is_complete = true;
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn attainment(&self, state: &State, call: &Call, outcome: Outcome) -> Option<Attainment> {
        let target = call.request.target;
        let first = state.head.unwrap_or_else(|| self.context.now()) - self.received;
        let is_late = target.first_token < first || target.between_tokens < mean_gap(state);
        match outcome {
            Outcome::Answered if is_late => Some(Attainment::Missed),
            Outcome::Answered => Some(Attainment::Met),
            Outcome::Refused | Outcome::Failed => Some(Attainment::Missed),
            // A caller who leaves in time says nothing about the target; one who waited too long does.
            Outcome::Cancelled => is_late.then_some(Attainment::Missed),
        }
    }

    fn log(&self, state: &State, outcome: Outcome) {
        let took = (self.context.now() - self.received).as_millis();
        let id = state.call.as_ref().map_or("", |call| &*call.request.id);
        match &state.problem {
            Some(problem) => log::info!(
                request = id, outcome = outcome.as_str(), problem = problem.kind.name(),
                detail = problem.detail.as_str(), took_ms = took; "call ended"
            ),
            None => log::debug!(
                request = id, outcome = outcome.as_str(), took_ms = took; "call ended"
            ),
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let state = std::mem::take(&mut *self.state());
        let outcome = outcome(&state);
        self.log(&state, outcome);
        let (metrics, events) = (&self.context.metrics, &self.context.events);
        let no_service = NO_SERVICE.into();
        let service = state.call.as_ref().map_or(&no_service, |call| &call.request.service);
        if let Some(problem) = &state.problem {
            metrics.refusal(service, problem.kind.name());
        }
        metrics.request(service, outcome);
        let Some(call) = &state.call else { return };
        if let Some(attainment) = self.attainment(&state, call, outcome) {
            metrics.attainment(service, attainment);
        }
        let kind = match &state.problem {
            Some(problem) if outcome == Outcome::Refused => {
                Kind::Refusal { cause: problem.kind.name().into(), ran: problem.ran }
            }
            _ => Kind::Answer { outcome },
        };
        events.record(about(call, Event::new(kind)));
    }
}

/// An event that names the call's request and model.
pub fn about(call: &Call, event: Event) -> Event {
    let event = event.request(&call.request.id);
    match &call.request.model {
        Some(name) => event.model(&name.model),
        None => event,
    }
}

fn outcome(state: &State) -> Outcome {
    match &state.problem {
        Some(problem) if problem.kind == problem::Kind::BackendFailed => Outcome::Failed,
        Some(problem) if problem.ran != Ran::DidNotRun => Outcome::Failed,
        Some(_) => Outcome::Refused,
        None if state.is_complete => Outcome::Answered,
        None => Outcome::Cancelled,
    }
}

fn mean_gap(state: &State) -> Duration {
    let (Some(first), Some(last)) = (state.head, state.last_token) else { return Duration::ZERO };
    let gaps = state.tokens.saturating_sub(1);
    last.saturating_sub(first).checked_div(gaps).unwrap_or_default()
}
