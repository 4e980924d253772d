//! A request in progress, and its state in the dispatcher.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use futures_util::{FutureExt, future::BoxFuture};
use http::StatusCode;
use observe::{
    metrics::routed::{Obstacle, Refusal},
    story::Arrival,
};
use policy::{
    attempt_timeout, customer,
    dispatch::{self, Answer, Ticket, Verdict},
    streams::SoftwareId,
};
use tokio::{select, sync::oneshot};
use types::{
    prelude::*,
    routed::{Kind, Route, Server, Version},
};

use crate::{
    attempt::{self, AttemptEnd, BufferedRequest, ResponseStart},
    caller::{self, Caller},
    edge::{ForwardOptions, Problem},
    host::{OpenGuard, Shared},
    race::{self, Lost},
    stream,
    timer::sleep,
    trace::{self, Trace, Unresponsive},
};

/// Time after which a caller may retry, at another host, if this one can't send its request.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);

/// Time between two confirmations of the servers for one stream.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(100);

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

    /// Returns what follows a failed attempt of a stream of which the caller has a part. Such a stream
    /// can't be refused any more: it waits for a server as long as its time allows.
    ///
    /// # Errors
    ///
    /// No server can continue the stream.
    pub(crate) async fn next_server_midway(
        &self,
        shared: &Arc<Shared>,
        ticket: Ticket,
        end: AttemptEnd,
    ) -> Result<Next, Obstacle> {
        self.trace.attempt_ended(ticket, end, None);
        let mut end = end;
        loop {
            let server = match self.handle.failed(ticket, end) {
                dispatch::RetryDecision::InFlight => return Ok(Next::InFlight),
                _ if self.renew_caller(shared).is_none() => return Err(Obstacle::Revoked),
                dispatch::RetryDecision::Send(server) => server,
                dispatch::RetryDecision::Wait => {
                    self.trace.queued("again", self.time_left(shared));
                    self.wait_midway(shared, ticket).await?
                }
                dispatch::RetryDecision::Missing { model, adapter } => {
                    self.trace.queued("missing", self.time_left(shared));
                    shared.request_missing(&self.service, &model, adapter.as_ref());
                    self.wait_midway(shared, ticket).await?
                }
                dispatch::RetryDecision::GiveUp(
                    Answer::NotRun { cause, .. } | Answer::Server(cause) | Answer::Unclear(cause),
                ) => return Err(trace::obstacle(cause)),
            };
            if !shared.confirm_servers().await {
                return Ok(Next::Server(server));
            }
            // The server may have left without this host knowing it.
            self.trace.queued("outdated", self.time_left(shared));
            sleep(CONFIRMATION_INTERVAL).await;
            end = AttemptEnd::Unreachable(dispatch::Unreachable::Closed);
        }
    }

    /// Waits until the dispatcher has a server for a stream of which the caller has a part.
    ///
    /// # Errors
    ///
    /// No server can continue the stream.
    async fn wait_midway(
        &self,
        shared: &Arc<Shared>,
        ticket: Ticket,
    ) -> Result<backend::Id, Obstacle> {
        let verdict = select! {
            verdict = shared.wait_for_verdict(ticket) => verdict.ok(),
            () = shared.finished() => None,
            () = self.revoked(shared) => return Err(Obstacle::Revoked),
        };
        let obstacle = match verdict {
            Some(Verdict::Send(server)) => return Ok(server),
            Some(Verdict::Refuse { cause, .. } | Verdict::Unclear(cause)) => trace::obstacle(cause),
            Some(Verdict::Quarantined) => Obstacle::Poison,
            // Not expected: the request waits already, and has no server.
            Some(Verdict::Wait | Verdict::Missing { .. } | Verdict::Hedge) => Obstacle::NoServer,
            None => Obstacle::Stopping,
        };
        self.handle.end(AttemptEnd::Cancelled);
        Err(obstacle)
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

    /// Returns why this host drops a stream that has begun; `None` if its caller has left.
    pub(crate) fn dropped_by_host(&self) -> Option<stream::End> {
        let shared = self.handle.shared();
        let is_revoked = || shared.routed.revocation.strict && self.renew_caller(shared).is_none();
        if shared.has_finished() {
            return Some(stream::End::Stopping);
        }
        is_revoked().then_some(stream::End::Revoked)
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

/// A request's handle in the dispatcher. Dropping it ends the request there as cancelled, unless it
/// has ended before.
pub(crate) struct DispatchHandle {
    shared: Arc<Shared>,
    /// Tickets of the request in the dispatcher, one for each attempt in flight, in the order in
    /// which the attempts were started.
    tickets: Mutex<Vec<Ticket>>,
    /// Number of attempts that a server may have executed: the request was handed to a connection,
    /// and the server has not stated that it did not execute it.
    pub(crate) may_run: AtomicU32,
}

impl DispatchHandle {
    fn new(shared: Arc<Shared>) -> DispatchHandle {
        DispatchHandle { shared, tickets: Mutex::default(), may_run: AtomicU32::new(0) }
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns the ticket of the attempt that was started last.
    pub(crate) fn latest(&self) -> Option<Ticket> {
        self.tickets().last().copied()
    }

    /// Returns whether something was received from the server of an attempt in flight.
    pub(crate) fn has_begun(&self, ticket: Ticket) -> bool {
        self.shared.dispatcher().has_begun(ticket)
    }

    /// Returns whether the server of a stream's latest attempt counts as at work on it.
    pub(crate) fn is_accepted(&self, ticket: Ticket) -> bool {
        self.shared.dispatcher().is_accepted(ticket, self.shared.now())
    }

    /// Reports that an attempt is answered, which ends all others.
    pub(crate) fn won(&self, ticket: Ticket) {
        let mut tickets = self.tickets();
        if *tickets == [ticket] {
            return;
        }
        let others = std::mem::replace(&mut *tickets, vec![ticket]);
        drop(tickets);
        self.shared.dispatcher().won(ticket, self.shared.now());
        for other in others.into_iter().filter(|other| *other != ticket) {
            self.shared.stop_waiting(other);
        }
        self.shared.dispatch_wakeup.notify_one();
    }

    /// Reports that the first byte or event of the response has arrived.
    /// Returns the version at which a stream may go on.
    pub(crate) fn first_byte(&self) -> Option<SoftwareId> {
        let ticket = self.latest()?;
        let software = self.shared.dispatcher().first_byte(ticket, self.shared.now());
        // The prompt has been processed, so the server can take another one.
        self.shared.dispatch_wakeup.notify_one();
        software
    }

    /// Reports how the request ended, unless its end is known to the dispatcher.
    pub(crate) fn end(&self, end: AttemptEnd) {
        let tickets = std::mem::take(&mut *self.tickets());
        for ticket in tickets {
            self.shared.stop_waiting(ticket);
            self.shared.dispatcher().ended(ticket, end, self.shared.now());
            self.shared.dispatch_wakeup.notify_one();
        }
    }

    fn arrive(&self, spec: dispatch::RequestSpec) -> Verdict {
        self.tickets().push(spec.ticket);
        let verdict = self.shared.dispatcher().arrive(spec, self.shared.now());
        if matches!(verdict, Verdict::Wait | Verdict::Missing { .. }) {
            self.shared.dispatch_wakeup.notify_one();
        }
        verdict
    }

    /// Reports that an attempt has failed, and returns what follows.
    pub(crate) fn failed(&self, ticket: Ticket, end: AttemptEnd) -> dispatch::RetryDecision {
        let decision = self.shared.dispatcher().attempt_failed(ticket, end, self.shared.now());
        self.shared.dispatch_wakeup.notify_one();
        if let dispatch::RetryDecision::GiveUp(_) | dispatch::RetryDecision::InFlight = decision {
            self.tickets().retain(|other| *other != ticket);
            self.shared.stop_waiting(ticket);
        }
        decision
    }

    /// Reports the number of the last event that was passed to the caller.
    pub(crate) fn delivered(&self, event: u64) {
        let Some(ticket) = self.latest() else { return };
        self.shared.dispatcher().delivered(ticket, event, self.shared.now());
    }

    /// Starts another attempt in the dispatcher. Returns its ticket, and the server that it goes
    /// to.
    fn hedge(&self, ticket: Ticket, why: Unresponsive) -> Option<(Ticket, backend::Id)> {
        let silence = match why {
            Unresponsive::Dispatcher => dispatch::Silence::Verdict,
            Unresponsive::Timeout => dispatch::Silence::Timeout,
        };
        let hedge = self.shared.next_ticket();
        let now = self.shared.now();
        let server = self.shared.dispatcher().hedge(ticket, hedge, silence, now)?;
        self.tickets().push(hedge);
        self.shared.dispatch_wakeup.notify_one();
        Some((hedge, server))
    }

    /// Returns a future that completes when the dispatcher asks for another attempt, since the
    /// server of this one is unresponsive.
    pub(crate) fn hedge_signal(&self, ticket: Ticket) -> HedgeSignal {
        self.shared.wait_for_verdict(ticket)
    }

    /// Records that the dispatcher has ended the request by itself.
    fn mark_ended(&self) {
        for ticket in std::mem::take(&mut *self.tickets()) {
            self.shared.stop_waiting(ticket);
        }
    }

    fn tickets(&self) -> MutexGuard<'_, Vec<Ticket>> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for DispatchHandle {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

/// Signal that another attempt of a request is to be started.
pub(crate) type HedgeSignal = oneshot::Receiver<Verdict>;

/// Continues a stream at another server.
pub(crate) struct Resumer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Arc<Call>,
}

/// Attempts at other servers to continue a stream.
pub(crate) type Resuming = BoxFuture<'static, Result<ResponseStart, Lost<Obstacle>>>;

impl Resumer {
    /// Returns the time that a server has for its first event.
    pub(crate) fn first_event_timeout(&self) -> Duration {
        attempt_timeout::first_event(self.call.route.goal)
    }

    /// Starts an attempt to resume a stream after the event `after`, at another server than the
    /// unresponsive one, if one can take it now. The attempt with this ticket goes on.
    pub(crate) fn hedge(
        &self,
        ticket: Ticket,
        after: Option<u64>,
        why: Unresponsive,
    ) -> Option<Resuming> {
        let hedge = self.call.hedge(ticket, why)?;
        let (shared, call) = (self.shared.clone(), self.call.clone());
        Some(async move { resume(&shared, &call, hedge, after).await }.boxed())
    }

    /// Resumes the stream after the event `after`, once the attempt with this ticket has failed.
    pub(crate) fn resume(&self, ticket: Ticket, after: Option<u64>, end: AttemptEnd) -> Resuming {
        let (shared, call) = (self.shared.clone(), self.call.clone());
        async move {
            let next = call.next_server_midway(&shared, ticket, end).await;
            match next.map_err(Lost::Ended)? {
                Next::Server(server) => resume(&shared, &call, (ticket, server), after).await,
                Next::InFlight => Err(Lost::InFlight),
            }
        }
        .boxed()
    }
}

async fn resume(
    shared: &Arc<Shared>,
    call: &Call,
    first: (Ticket, backend::Id),
    after: Option<u64>,
) -> Result<ResponseStart, Lost<Obstacle>> {
    let patience = || attempt_timeout::first_event(call.route.goal);
    let begin = async |ticket, server: backend::Id| {
        let mut start = call.send(shared, ticket, &server, after).await?;
        // The caller has the head of the first response, so an error response is of no use.
        if !start.head.status.is_success() {
            return Err(AttemptEnd::ServerError.into());
        }
        start.response.receive_event(after.or(call.request.info.resume)).await?;
        Ok(start)
    };
    let next = async |ticket, end, _| call.next_server_midway(shared, ticket, end).await;
    race::run(call, first, patience, begin, next).await
}
