//! Accounts for each call, from its first byte to the last byte of its answer.
//!
//! Filters record what happens to a call as they process it. The account is closed when its last
//! reference is dropped, which also detects a caller that disconnects.

use std::sync::{Arc, Mutex, MutexGuard};

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::Response,
};
use observe::{
    Event,
    event::{self, Outcome},
    metrics::{Attainment, InFlight},
};
use types::{prelude::*, request::Ran};

use crate::{context::Context, problem::Problem};

/// Service label for rejected calls that could not be identified.
const UNIDENTIFIED: &str = "none";

/// Account of one call; clones refer to the same account.
#[derive(Clone)]
pub struct Account(Arc<Inner>);

struct Inner {
    context: Arc<Context>,
    started_at: Moment,
    notes: Mutex<Notes>,
}

#[derive(Default)]
struct Notes {
    call: Option<(Arc<request::Request>, InFlight)>,
    first: Option<Moment>,
    last: Option<Moment>,
    tokens: u32,
    outcome: Option<Outcome>,
}

impl Account {
    fn open(context: Arc<Context>) -> Account {
        let started_at = context.now();
        Account(Arc::new(Inner { context, started_at, notes: Mutex::default() }))
    }

    /// Records the identified request, and counts it as in flight.
    pub fn identified(&self, request: &Arc<request::Request>) {
        let context = &self.0.context;
        let in_flight = context.metrics.in_flight(&request.service);
        self.notes().call = Some((request.clone(), in_flight));
        self.record(event::Kind::Request { service: request.service.clone() });
    }

    /// Records that an attempt is about to be sent to a server.
    pub fn attempted(&self, attempt: request::Attempt, server: &backend::Id) {
        self.record_at(event::Kind::Attempt { attempt }, server);
    }

    /// Records that an attempt failed; `cause` is the point of failure.
    pub fn failed_attempt(
        &self,
        attempt: request::Attempt,
        server: &backend::Id,
        cause: &'static str,
    ) {
        self.record_at(event::Kind::AttemptFailed { attempt, cause: cause.into() }, server);
    }

    /// Counts a retry; `cause` is the point at which the previous attempt failed.
    pub fn retried(&self, cause: &'static str) {
        if let Some(service) = self.service() {
            self.0.context.metrics.retry(&service, cause);
        }
    }

    /// Records that a new attempt resumes the stream at this offset.
    pub fn resumed(&self, attempt: request::Attempt, offset: u64) {
        self.record(event::Kind::Resume { attempt, offset });
    }

    /// Records that a token, or the head of an answer without tokens, is delivered to the caller.
    pub fn token(&self) {
        let now = self.0.context.now();
        let service = self.service();
        let mut notes = self.notes();
        notes.tokens += 1;
        let before = notes.last.replace(now);
        if before.is_none() {
            notes.first = Some(now);
        }
        drop(notes);
        let metrics = &self.0.context.metrics;
        match (service, before) {
            (Some(service), None) => metrics.first_token(&service, now - self.0.started_at),
            (Some(service), Some(before)) => metrics.between_tokens(&service, now - before),
            (None, _) => {}
        }
    }

    /// Records that the complete answer is delivered to the caller.
    pub fn answered(&self) {
        self.notes().outcome = Some(Outcome::Answered);
    }

    /// Records that the answer failed after its head had been delivered.
    pub fn body_failed(&self) {
        self.notes().outcome = Some(Outcome::Failed);
    }

    /// Records that the call ended with this problem.
    pub fn problem(&self, problem: &Problem) {
        let cause = problem.kind.name();
        self.notes().outcome = Some(match problem.ran {
            Ran::DidNotRun => Outcome::Refused,
            Ran::MayHaveRun | Ran::Ran => Outcome::Failed,
        });
        let service = self.service().unwrap_or_else(|| UNIDENTIFIED.into());
        self.0.context.metrics.refusal(&service, cause);
        self.record(event::Kind::Refusal { cause: cause.into(), ran: problem.ran });
        log::info!(
            request = self.request().as_deref().unwrap_or("-"), problem = cause,
            detail = problem.detail.as_str(); "call refused"
        );
    }

    fn notes(&self) -> MutexGuard<'_, Notes> {
        self.0.notes.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn service(&self) -> Option<service::Id> {
        self.notes().call.as_ref().map(|(request, _)| request.service.clone())
    }

    fn request(&self) -> Option<request::Id> {
        self.notes().call.as_ref().map(|(request, _)| request.id.clone())
    }

    fn record(&self, kind: event::Kind) {
        if let Some(id) = self.request() {
            self.0.context.events.record(Event::new(kind).request(&id));
        }
    }

    fn record_at(&self, kind: event::Kind, server: &backend::Id) {
        if let Some(id) = self.request() {
            self.0.context.events.record(Event::new(kind).request(&id).server(server));
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let notes = self.notes.get_mut().unwrap_or_else(|poisoned| poisoned.into_inner());
        let Some((request, _)) = &notes.call else {
            if let Some(outcome) = notes.outcome {
                self.context.metrics.request(&UNIDENTIFIED.into(), outcome);
            }
            return;
        };
        let outcome = notes.outcome.unwrap_or(Outcome::Cancelled);
        self.context.metrics.request(&request.service, outcome);
        self.context
            .events
            .record(Event::new(event::Kind::Answer { outcome }).request(&request.id));
        if outcome != Outcome::Cancelled {
            let attainment = attainment(notes, request, self.started_at, outcome);
            self.context.metrics.attainment(&request.service, attainment);
        }
    }
}

fn attainment(
    notes: &Notes,
    request: &request::Request,
    started_at: Moment,
    outcome: Outcome,
) -> Attainment {
    let (Some(first), Some(last), Outcome::Answered) = (notes.first, notes.last, outcome) else {
        return Attainment::Missed;
    };
    let between = (last - first) / (notes.tokens - 1).max(1);
    let is_met = first - started_at <= request.target.first_token
        && between <= request.target.between_tokens;
    if is_met { Attainment::Met } else { Attainment::Missed }
}

/// Opens an account for each call, and records the problem that a call ends with.
pub async fn filter(
    State(context): State<Arc<Context>>,
    mut request: Request,
    next: Next,
) -> Response {
    let account = Account::open(context);
    request.extensions_mut().insert(account.clone());
    let response = next.run(request).await;
    if let Some(problem) = response.extensions().get::<Problem>() {
        account.problem(problem);
    }
    response
}
