//! A request in progress, and its state in the dispatcher.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::{FutureExt, future::BoxFuture};
use observe::{metrics::routed::Refusal, story::Arrival};
use policy::{
    attempt_timeout,
    dispatch::{self, Answer, Ticket, Unclear, Verdict},
};
use tokio::{select, sync::oneshot, time::sleep};
use types::{
    prelude::*,
    routed::{Kind, Route, Server, Version},
};

use crate::{
    attempt::{self, Attempt, AttemptEnd, BufferedRequest, ResponseStart},
    edge::{ForwardOptions, Problem},
    host::{OpenGuard, Shared},
    trace::{self, Trace, Unresponsive},
};

/// Time after which a caller may retry, at another host, if this one is about to stop.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);

/// Interval at which another server is sought for a request at a silent server, after none was
/// found.
const LEAVE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Priority of all requests at a server. Urgent requests go first in this host's queue only: at a
/// server they would preempt running requests, whose prompts would have to be processed again.
const SERVER_PRIORITY: u8 = 5;

/// A request that was parsed and matched to a route.
pub(crate) struct Call {
    pub(crate) request: BufferedRequest,
    pub(crate) route: Route,
    pub(crate) service: service::Id,
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
        (route, service): (Route, service::Id),
        fingerprint: dispatch::Fingerprint,
        received: Moment,
        open: OpenGuard,
        trace: Trace,
    ) -> Call {
        let timeout =
            request.info.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let handle = DispatchHandle {
            shared: shared.clone(),
            ticket: request.ticket,
            has_ended: AtomicBool::new(true),
            sent: AtomicBool::new(false),
        };
        Call { request, route, service, received, timeout, fingerprint, handle, trace, _open: open }
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
    pub(crate) async fn first_server(&self, shared: &Shared) -> Result<Arc<Server>, Problem> {
        let verdict = self.handle.arrive(self.spec());
        self.apply_verdict(shared, verdict).await
    }

    /// Returns the next server after a failed attempt.
    ///
    /// # Errors
    ///
    /// The request has ended with this problem.
    async fn next_server(&self, shared: &Shared, end: AttemptEnd) -> Result<Arc<Server>, Problem> {
        self.trace.attempt_ended(end, None);
        match self.handle.retry(end) {
            dispatch::RetryDecision::Send(server) => self.server(shared, &server).await,
            dispatch::RetryDecision::Wait => {
                self.trace.queued("again", self.time_left(shared));
                self.wait(shared).await
            }
            dispatch::RetryDecision::Missing { model, adapter } => {
                self.trace.queued("missing", self.time_left(shared));
                shared.request_missing(&self.service, &model, adapter.as_ref());
                self.wait(shared).await
            }
            dispatch::RetryDecision::GiveUp(Answer::NotRun { cause, after }) => {
                self.trace.refused(trace::refusal(cause), self.time_left(shared), Some(after));
                Err(Problem::NotRun(after))
            }
            dispatch::RetryDecision::GiveUp(Answer::Server | Answer::Unclear) => {
                Err(Problem::Unclear)
            }
        }
    }

    /// Runs an attempt. If the server is silent for `silence_timeout`, the request moves to another
    /// server, but only if one can take it at once.
    pub(crate) async fn attempt<T>(
        &self,
        silence_timeout: Duration,
        attempt: impl Future<Output = Result<T, AttemptEnd>>,
    ) -> Result<T, AttemptFailure> {
        let mut attempt = pin!(attempt);
        let mut pause = silence_timeout;
        loop {
            let why = select! {
                biased;
                ended = &mut attempt => return ended.map_err(AttemptFailure::Failed),
                Ok(_) = self.handle.leave_signal() => Unresponsive::Dispatcher,
                () = sleep(pause) => Unresponsive::Timeout,
            };
            if let Some(server) = self.leave(why) {
                return Err(AttemptFailure::Moved(server));
            }
            pause = LEAVE_RETRY_INTERVAL;
        }
    }

    /// Moves the request from a silent server to another one, if one can take it now. Returns the
    /// other server.
    pub(crate) fn leave(&self, why: Unresponsive) -> Option<backend::Id> {
        let server = self.handle.leave_for_another()?;
        self.trace.unresponsive(why);
        self.trace.attempt_ended(AttemptEnd::Unclear(Unclear::Silent), None);
        Some(server)
    }

    /// Returns the next server after an attempt without a response.
    ///
    /// # Errors
    ///
    /// The request has ended with this problem.
    pub(crate) async fn server_after(
        &self,
        shared: &Shared,
        failure: AttemptFailure,
    ) -> Result<Arc<Server>, Problem> {
        match failure {
            AttemptFailure::Failed(failed) => self.next_server(shared, failed).await,
            AttemptFailure::Moved(server) => self.server(shared, &server).await,
        }
    }

    /// Sends the request to a server and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        shared: &Arc<Shared>,
        server: &Arc<Server>,
        after: Option<u64>,
    ) -> Result<ResponseStart, AttemptEnd> {
        let left = self.time_left(shared);
        self.trace.sent(server, after, left);
        let options = ForwardOptions {
            server: &server.name,
            deadline: left,
            priority: SERVER_PRIORITY,
            resume: after.or(self.request.info.resume),
        };
        self.handle.sent.store(true, Ordering::Relaxed);
        let start = attempt::begin(shared, server, self, &options).await;
        if let Err(AttemptEnd::NotRun(_) | AttemptEnd::Unreachable(_)) = start {
            self.handle.sent.store(false, Ordering::Relaxed);
        }
        start
    }

    /// Returns the problem to report after the deadline has passed.
    pub(crate) fn timed_out(&self) -> Problem {
        if self.handle.sent.load(Ordering::Relaxed) {
            return Problem::TimedOut;
        }
        self.trace.refused(Refusal::TooLate, Duration::ZERO, Some(RETRY_ELSEWHERE_AFTER));
        Problem::NotRun(RETRY_ELSEWHERE_AFTER)
    }

    async fn apply_verdict(
        &self,
        shared: &Shared,
        verdict: Verdict,
    ) -> Result<Arc<Server>, Problem> {
        match verdict {
            Verdict::Send(server) => self.server(shared, &server).await,
            Verdict::Wait => {
                self.trace.queued("full", self.time_left(shared));
                self.wait(shared).await
            }
            Verdict::Missing { model, adapter } => {
                self.trace.queued("missing", self.time_left(shared));
                shared.request_missing(&self.service, &model, adapter.as_ref());
                self.wait(shared).await
            }
            Verdict::Refuse { cause, after } => {
                self.handle.mark_ended();
                self.trace.refused(trace::refusal(cause), self.time_left(shared), Some(after));
                Err(Problem::NotRun(after))
            }
            Verdict::Quarantined => {
                self.handle.mark_ended();
                self.trace.refused(Refusal::Poison, self.time_left(shared), None);
                Err(Problem::Unclear)
            }
            // `Leave` is not expected, as a waiting request has no server.
            Verdict::Unclear | Verdict::Leave => {
                self.handle.mark_ended();
                Err(Problem::Unclear)
            }
        }
    }

    /// Refuses the request because this host is about to stop.
    fn refuse_stopping(&self, shared: &Shared) -> Problem {
        self.trace.refused(Refusal::Stopping, self.time_left(shared), Some(RETRY_ELSEWHERE_AFTER));
        Problem::NotRun(RETRY_ELSEWHERE_AFTER)
    }

    /// Returns the chosen server, or another one if the chosen one has been removed meanwhile.
    async fn server(&self, shared: &Shared, id: &backend::Id) -> Result<Arc<Server>, Problem> {
        match shared.server(id) {
            Some(server) => {
                let age = shared.dispatcher().report_age(id, shared.now());
                age.into_iter().for_each(|age| shared.meters.report_age(age));
                Ok(server)
            }
            None => {
                let gone = AttemptEnd::Unreachable(dispatch::Unreachable::Refused);
                Box::pin(self.next_server(shared, gone)).await
            }
        }
    }

    async fn wait(&self, shared: &Shared) -> Result<Arc<Server>, Problem> {
        let verdict = shared.wait_for_verdict(self.request.ticket);
        let verdict = select! {
            verdict = verdict => verdict.ok(),
            () = shared.closing.cancelled() => {
                self.handle.end(AttemptEnd::Cancelled);
                None
            }
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

/// Why an attempt yielded no response.
pub(crate) enum AttemptFailure {
    /// The attempt ended without a response that can be delivered.
    Failed(AttemptEnd),
    /// The server was silent, and the request moves to this other server.
    Moved(backend::Id),
}

/// A request's handle in the dispatcher. Dropping it ends the request there as cancelled, unless it
/// has ended before.
pub(crate) struct DispatchHandle {
    shared: Arc<Shared>,
    ticket: Ticket,
    /// Whether the request has ended in the dispatcher, or has not arrived there yet.
    has_ended: AtomicBool,
    /// Whether a byte of the request may have reached a server that has not stated that it did not
    /// execute the request.
    sent: AtomicBool,
}

impl DispatchHandle {
    /// Reports that the first byte or event of the response has arrived.
    pub(crate) fn first_byte(&self) {
        self.shared.dispatcher().first_byte(self.ticket, self.shared.now());
        // The prompt has been processed, so the server can take another one.
        self.shared.dispatch_wakeup.notify_one();
    }

    /// Reports how the request ended, unless its end is known to the dispatcher.
    pub(crate) fn end(&self, end: AttemptEnd) {
        if !self.has_ended.swap(true, Ordering::Relaxed) {
            self.shared.dispatcher().ended(self.ticket, end, self.shared.now());
            self.shared.dispatch_wakeup.notify_one();
        }
    }

    fn arrive(&self, spec: dispatch::RequestSpec) -> Verdict {
        self.has_ended.store(false, Ordering::Relaxed);
        let verdict = self.shared.dispatcher().arrive(spec, self.shared.now());
        if matches!(verdict, Verdict::Wait | Verdict::Missing { .. }) {
            self.shared.dispatch_wakeup.notify_one();
        }
        verdict
    }

    fn retry(&self, end: AttemptEnd) -> dispatch::RetryDecision {
        let decision = self.shared.dispatcher().attempt_failed(self.ticket, end, self.shared.now());
        self.shared.dispatch_wakeup.notify_one();
        if matches!(decision, dispatch::RetryDecision::GiveUp(_)) {
            self.mark_ended();
        }
        decision
    }

    /// Reports the number of the last event that was passed to the caller.
    pub(crate) fn delivered(&self, event: u64) {
        self.shared.dispatcher().delivered(self.ticket, event, self.shared.now());
    }

    /// Asks the dispatcher for another server that can take the request from a silent one now.
    fn leave_for_another(&self) -> Option<backend::Id> {
        let server = self.shared.dispatcher().leave(self.ticket, self.shared.now())?;
        self.shared.dispatch_wakeup.notify_one();
        Some(server)
    }

    /// Returns a future that completes when the request is to leave its server.
    pub(crate) fn leave_signal(&self) -> LeaveSignal {
        self.shared.wait_for_verdict(self.ticket)
    }

    /// Records that the dispatcher has ended the request by itself.
    fn mark_ended(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

impl Drop for DispatchHandle {
    fn drop(&mut self) {
        self.shared.stop_waiting(self.ticket);
        self.end(AttemptEnd::Cancelled);
    }
}

/// Signal that a request is to leave its server.
pub(crate) type LeaveSignal = oneshot::Receiver<Verdict>;

/// Continues an interrupted stream at another server.
pub(crate) struct Resumer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Arc<Call>,
}

/// A pending move of a stream to another server.
pub(crate) type Resuming = BoxFuture<'static, Result<ResponseStart, Problem>>;

impl Resumer {
    /// Moves the stream from a silent server to another one, if one can take it now.
    pub(crate) fn leave(&self, why: Unresponsive) -> Option<AttemptFailure> {
        self.call.leave(why).map(AttemptFailure::Moved)
    }

    /// Returns the time that a server has for its first event.
    pub(crate) fn first_event_timeout(&self) -> Duration {
        attempt_timeout::first_event(self.call.route.goal)
    }

    /// Resumes the stream after the event `after`, once the connection to the previous server is
    /// closed.
    pub(crate) fn start(
        &self,
        previous: Option<Attempt>,
        after: Option<u64>,
        failure: AttemptFailure,
    ) -> Resuming {
        let (shared, call) = (self.shared.clone(), self.call.clone());
        async move {
            if let Some(attempt) = previous {
                attempt.close().await;
            }
            resume(&shared, &call, after, failure).await
        }
        .boxed()
    }
}

async fn resume(
    shared: &Arc<Shared>,
    call: &Call,
    after: Option<u64>,
    failure: AttemptFailure,
) -> Result<ResponseStart, Problem> {
    let mut failure = failure;
    let silence_timeout = attempt_timeout::first_event(call.route.goal);
    loop {
        let server = call.server_after(shared, failure).await?;
        failure = match call.attempt(silence_timeout, call.send(shared, &server, after)).await {
            Ok(start) if start.head.status.is_success() => return Ok(start),
            Ok(_) => AttemptFailure::Failed(AttemptEnd::ServerError),
            Err(ended) => ended,
        };
    }
}
