//! A request in progress.

mod handle;
mod resume;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::StatusCode;
use observe::{
    metrics::routed::{Obstacle, Refusal},
    story::Arrival,
};
use policy::{
    customer,
    dispatch::{self, Answer, Ticket, Verdict},
};
use tokio::select;
use types::{
    prelude::*,
    routed::{Kind, Route, Server, Version},
};

pub(crate) use self::{
    handle::{DispatchHandle, HedgeSignal},
    resume::{Resumer, Resuming},
};
use crate::{
    attempt::{self, AttemptEnd, BufferedRequest, ResponseStart},
    caller::{self, Caller},
    edge::{ForwardOptions, Problem},
    host::{OpenGuard, Shared},
    trace::{self, Trace, Unresponsive},
};

/// Time after which a caller may retry, at another host, if this one can't send its request.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);

/// Priority of all requests at a server. Urgent requests go first in this host's queue only: at a
/// server they would preempt running requests, whose prompts would have to be processed again.
const SERVER_PRIORITY: u8 = 5;

/// A request that was parsed and matched to a route.
pub(crate) struct Call {
    pub(crate) request: BufferedRequest,
    pub(crate) route: Route,
    pub(crate) service: service::Id,
    pub(crate) caller: Caller,
    pub(crate) received: Moment,
    /// Time from the arrival of the request to its deadline.
    pub(crate) timeout: Duration,
    pub(crate) fingerprint: dispatch::Fingerprint,
    pub(crate) handle: DispatchHandle,
    pub(crate) trace: Trace,
    _open: OpenGuard,
}

impl Call {
    pub(crate) fn new(
        shared: &Arc<Shared>,
        request: BufferedRequest,
        (route, service, caller): (Route, service::Id, Caller),
        fingerprint: dispatch::Fingerprint,
        received: Moment,
        open: OpenGuard,
        trace: Trace,
    ) -> Call {
        let timeout =
            request.info.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let handle = DispatchHandle::new(shared.clone());
        Call {
            request,
            route,
            service,
            caller,
            received,
            timeout,
            fingerprint,
            handle,
            trace,
            _open: open,
        }
    }

    /// Returns the request's deadline.
    pub(crate) fn deadline(&self) -> Moment {
        self.received + self.timeout
    }

    pub(crate) fn time_left(&self, shared: &Shared) -> Duration {
        self.deadline().saturating_sub(shared.now())
    }

    /// Returns whether the request may be executed more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        match self.route.kind {
            Kind::Idempotent => true,
            Kind::Stream => self.route.resumable,
            Kind::NonIdempotent => false,
        }
    }

    /// Adds the parsed properties of the request to its trace.
    pub(crate) fn trace_arrival(&self, version: Version) {
        let info = &self.request.info;
        let arrival = Arrival {
            route: self.route.name.clone(),
            version,
            model: info.model.clone(),
            adapter: info.adapter.clone(),
            customer: self.caller.current().customer().map(|customer| customer.name.clone()),
            repeat: self.route.kind,
            deadline: self.timeout,
        };
        self.trace.arrived(&self.route, arrival);
    }

    /// Returns the first server to send the request to.
    ///
    /// # Errors
    ///
    /// The request is refused.
    pub(crate) async fn first_server(&self, shared: &Arc<Shared>) -> Result<backend::Id, Problem> {
        let mut spec = self.spec();
        spec.software = self.resumed_version(shared).await?;
        // Before the request takes a place at a server.
        if shared.confirm_servers().await {
            return Err(self.refuse_outdated(shared));
        }
        let verdict = self.handle.arrive(spec);
        self.trace.decided();
        self.apply_verdict(shared, verdict).await
    }

    /// Returns what follows a failed attempt.
    ///
    /// # Errors
    ///
    /// The request has ended with this problem.
    pub(crate) async fn next_server(
        &self,
        shared: &Arc<Shared>,
        ticket: Ticket,
        end: AttemptEnd,
        status: Option<StatusCode>,
    ) -> Result<Next, Problem> {
        self.trace.attempt_ended(ticket, end, status);
        let decision = self.handle.failed(ticket, end);
        if decision != dispatch::RetryDecision::InFlight {
            self.authorize(shared)?;
        }
        let server = match decision {
            dispatch::RetryDecision::InFlight => return Ok(Next::InFlight),
            dispatch::RetryDecision::Send(_) if shared.confirm_servers().await => {
                return Err(self.refuse_outdated(shared));
            }
            dispatch::RetryDecision::Send(server) => server,
            dispatch::RetryDecision::Wait => {
                self.trace.queued("again", self.time_left(shared));
                self.wait(shared, ticket).await?
            }
            dispatch::RetryDecision::Missing { model, adapter } => {
                self.trace.queued("missing", self.time_left(shared));
                shared.request_missing(&self.service, &model, adapter.as_ref());
                self.wait(shared, ticket).await?
            }
            dispatch::RetryDecision::GiveUp(Answer::NotRun { cause, after }) => {
                self.trace.refused(trace::refusal(cause), self.time_left(shared), Some(after));
                return Err(Problem::NotRun(after));
            }
            dispatch::RetryDecision::GiveUp(Answer::Server(cause) | Answer::Unclear(cause)) => {
                return Err(self.give_up(trace::obstacle(cause)));
            }
        };
        Ok(Next::Server(server))
    }

    /// Records what keeps this host from asking a further server.
    pub(crate) fn record_obstacle(&self, obstacle: Obstacle) {
        let shared = self.handle.shared();
        let budget = shared.dispatcher().retries_left(&self.service, shared.now());
        self.trace.given_up(obstacle, self.time_left(shared), budget);
    }

    /// Finds another server for a request whose server is unresponsive, if one can take it now.
    /// Returns it with the ticket of the attempt there.
    pub(crate) fn hedge(&self, ticket: Ticket, why: Unresponsive) -> Option<(Ticket, backend::Id)> {
        // A running request outlives its key, but is sent to no other server.
        self.renew_caller(self.handle.shared())?;
        let hedge = self.handle.hedge(ticket, why)?;
        self.trace.unresponsive(ticket, why);
        Some(hedge)
    }

    /// Records that an attempt is answered, and ends all others.
    pub(crate) fn won(&self, ticket: Ticket) {
        self.handle.won(ticket);
        self.trace.won(ticket);
    }

    /// Records that an attempt has failed while another one is in flight.
    pub(crate) fn fail_beside_hedge(&self, ticket: Ticket, end: AttemptEnd) {
        self.trace.attempt_ended(ticket, end, None);
        self.handle.failed(ticket, end);
    }

    /// Sends the request to a server and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        shared: &Arc<Shared>,
        ticket: Ticket,
        server: &backend::Id,
        after: Option<u64>,
    ) -> Result<ResponseStart, AttemptEnd> {
        // The server may have been removed since it was chosen.
        let Some(server) = shared.server(server) else {
            return Err(AttemptEnd::Unreachable(dispatch::Unreachable::Refused));
        };
        let age = shared.dispatcher().report_age(&server.id, shared.now());
        age.into_iter().for_each(|age| shared.meters.report_age(age));
        self.trace.sent(ticket, &server, after, self.time_left(shared));
        let prepared = attempt::prepare(shared, ticket, &server, self).await?;
        self.handle.may_run.fetch_add(1, Ordering::Relaxed);
        let start = attempt::begin(shared, prepared, self, after).await;
        if let Err(AttemptEnd::NotRun(_) | AttemptEnd::Unreachable(_)) = start {
            self.handle.may_run.fetch_sub(1, Ordering::Relaxed);
        }
        start
    }

    /// Returns what the request carries to a server in addition to the caller's headers. `after` is
    /// the last event that the caller has, if a stream is resumed.
    pub(crate) fn forward_options<'a>(
        &self,
        server: &'a Server,
        caller: &'a customer::Caller,
        left: Duration,
        after: Option<u64>,
    ) -> ForwardOptions<'a> {
        ForwardOptions {
            server: &server.name,
            deadline: left,
            identity: caller::identity(caller),
            priority: SERVER_PRIORITY,
            resume: after.or(self.request.info.resume),
        }
    }

    /// Returns the problem to report after the deadline has passed.
    pub(crate) fn timed_out(&self) -> Problem {
        if 0 < self.handle.may_run.load(Ordering::Relaxed) {
            return Problem::TimedOut;
        }
        self.refuse_elsewhere(Refusal::TooLate, Duration::ZERO)
    }

    async fn apply_verdict(
        &self,
        shared: &Arc<Shared>,
        verdict: Verdict,
    ) -> Result<backend::Id, Problem> {
        match verdict {
            Verdict::Send(_) if !self.can_end(shared) => {
                self.handle.end(AttemptEnd::Unreachable(dispatch::Unreachable::Closed));
                Err(self.refuse_stopping(shared))
            }
            Verdict::Send(_) if shared.confirm_servers().await => Err(self.refuse_outdated(shared)),
            Verdict::Send(server) => Ok(server),
            Verdict::Wait => {
                self.trace.queued("full", self.time_left(shared));
                self.wait(shared, self.request.ticket).await
            }
            Verdict::Missing { model, adapter } => {
                self.trace.queued("missing", self.time_left(shared));
                shared.request_missing(&self.service, &model, adapter.as_ref());
                self.wait(shared, self.request.ticket).await
            }
            Verdict::Refuse { cause, after } => {
                self.handle.mark_ended();
                self.trace.refused(trace::refusal(cause), self.time_left(shared), Some(after));
                Err(Problem::NotRun(after))
            }
            Verdict::Quarantined => {
                self.handle.mark_ended();
                self.trace.refused(Refusal::Poison, self.time_left(shared), None);
                Err(self.give_up(Obstacle::Poison))
            }
            Verdict::Unclear(cause) => {
                self.handle.mark_ended();
                Err(self.give_up(trace::obstacle(cause)))
            }
            // Not expected, as a waiting request has no server.
            Verdict::Hedge => {
                self.handle.mark_ended();
                Err(self.give_up(Obstacle::Attempts))
            }
        }
    }

    /// Whether the request can be expected to end before this host stops, if it is about to.
    fn can_end(&self, shared: &Shared) -> bool {
        let Some(end) = shared.finish_by() else { return true };
        shared.dispatcher().can_end_by(self.request.ticket, end, shared.now())
    }

    /// Ends the request because this host is about to stop.
    fn refuse_stopping(&self, shared: &Shared) -> Problem {
        if 0 < self.handle.may_run.load(Ordering::Relaxed) {
            return self.give_up(Obstacle::Stopping);
        }
        self.refuse_elsewhere(Refusal::Stopping, self.time_left(shared))
    }

    /// Refuses the request as not run, so that its caller soon retries at another host.
    fn refuse_elsewhere(&self, cause: Refusal, left: Duration) -> Problem {
        self.trace.refused(cause, left, Some(RETRY_ELSEWHERE_AFTER));
        Problem::NotRun(RETRY_ELSEWHERE_AFTER)
    }

    /// Ends a request that may have run.
    fn give_up(&self, obstacle: Obstacle) -> Problem {
        self.record_obstacle(obstacle);
        Problem::Unclear
    }

    /// Ends the request because all servers may have left without this host knowing it.
    fn refuse_outdated(&self, shared: &Shared) -> Problem {
        self.handle.end(AttemptEnd::Unreachable(dispatch::Unreachable::Closed));
        if 0 < self.handle.may_run.load(Ordering::Relaxed) {
            return self.give_up(Obstacle::Outdated);
        }
        self.refuse_elsewhere(Refusal::Outdated, self.time_left(shared))
    }

    async fn wait(&self, shared: &Arc<Shared>, ticket: Ticket) -> Result<backend::Id, Problem> {
        let verdict = shared.wait_for_verdict(ticket);
        let verdict = select! {
            verdict = verdict => verdict.ok(),
            () = shared.closing.cancelled() => {
                self.handle.end(AttemptEnd::Cancelled);
                None
            }
            () = self.revoked(shared) => return Err(self.end_revoked()),
        };
        match verdict {
            Some(verdict) => Box::pin(self.apply_verdict(shared, verdict)).await,
            None => Err(self.refuse_stopping(shared)),
        }
    }

    fn spec(&self) -> dispatch::RequestSpec {
        let info = &self.request.info;
        let deadline = self.received + self.timeout;
        let mut spec =
            dispatch::RequestSpec::new(self.request.ticket, &self.route, &self.service, deadline);
        if let Some(priority) = self.caller.current().priority() {
            spec.priority = priority.min(dispatch::request::LEAST_URGENT);
        }
        if let Some(customer) = self.caller.current().customer() {
            spec.customer = Some(customer.name.clone());
        }
        spec.fingerprint = self.fingerprint;
        spec.model = info.model.clone();
        spec.adapter = info.adapter.clone();
        spec.prompt = info.prompt.iter().map(|part| (part.id, part.tokens)).collect();
        spec.input = info.tokens_in;
        spec.output = info.length_hint.unwrap_or(info.tokens_out).min(info.tokens_out);
        spec.resume = info.resume;
        spec
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.handle.shared().has_finished() {
            self.trace.abandoned();
        }
    }
}

/// What follows a failed attempt.
pub(crate) enum Next {
    /// The request goes to this server, under the same ticket.
    Server(backend::Id),
    /// Another attempt of the request is still in flight.
    InFlight,
}
