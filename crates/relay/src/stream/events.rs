//! A stream of events that is delivered to the caller, from several servers in turn if one fails.
//!
//! The caller has the head and the first event, so it can't be refused any more. A stream that may be
//! resumed therefore goes on as long as its time allows and a server may be asked, including those
//! that were asked before. [`Events::end_early`] is the only place that ends one early, and [`End`]
//! has the reasons.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures_util::{FutureExt, future::BoxFuture};
use http_body::{Body, Frame};
use observe::metrics::routed::Obstacle;
use policy::event::{ResumePoint, Splitter};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    attempt::{BodyEnd, OpenResponse, ResponseStart},
    call::{Call, HedgeSignal, Resumer, Resuming},
    race::{ACCEPTANCE_CHECK_INTERVAL, Lost},
    stream::{
        End, StreamError,
        timer::{Alarm, StreamTimer},
    },
    streams::StreamRecord,
    timer::sleep,
    trace::Unresponsive,
};

/// Whether a stream may continue at another server.
pub(crate) enum ResumePolicy {
    /// Another server may continue the stream. The signal completes when the present one is
    /// unresponsive, so that another one is to be asked as well.
    OtherServer(Resumer, HedgeSignal),
    /// The stream can't be resumed.
    Never,
}

/// A stream of events that is delivered to the caller.
pub(crate) struct Events {
    state: State,
    splitter: Splitter,
    resume: ResumePolicy,
    /// Attempts at other servers while the present one is unresponsive.
    hedge: Option<Hedge>,
    timer: StreamTimer,
    /// Completes when the stream is to end because the caller's key has been removed.
    revoked: BoxFuture<'static, ()>,
    /// Closes the caller's connection if the caller doesn't read when the stream is to end.
    _closing: Option<AbortOnDropHandle<()>>,
    call: Arc<Call>,
    first_event: FirstEvent,
    record: StreamRecord,
}

/// Attempts at other servers while the present one goes on.
struct Hedge {
    attempts: Resuming,
    /// Completes when to check whether another server has accepted the stream.
    check: BoxFuture<'static, ()>,
}

/// Whether the present server has sent an event.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FirstEvent {
    Pending,
    Received,
}

enum State {
    Streaming(OpenResponse),
    /// The attempt at the previous server failed with this error, and another server is sought.
    Resuming(Resuming, StreamError),
    /// The stream is to end early. One poll returns `Pending` first, so that the events passed on
    /// are written before the caller's connection is closed.
    Flushing(End),
    /// The next poll returns this error.
    Failed(End),
    Done,
}

/// Result of polling a state.
enum Step {
    /// Events for the caller; may be empty.
    Pass(Bytes),
    /// The stream enters this state.
    Next(State),
    /// The attempt has failed with this error.
    Failed(StreamError),
    /// The stream is to end early.
    End(End),
}

impl Events {
    /// Creates a stream from a server's response, whose events follow the event `after`, the last
    /// one that the caller has.
    pub(crate) fn new(
        response: OpenResponse,
        after: Option<u64>,
        resume: ResumePolicy,
        timer: StreamTimer,
        call: Arc<Call>,
    ) -> Events {
        let state = State::Streaming(response);
        Events {
            state,
            splitter: Splitter::new(after),
            resume,
            hedge: None,
            timer,
            revoked: call.clone().revoked_strictly().boxed(),
            _closing: call.close_once_revoked(),
            call,
            first_event: FirstEvent::Pending,
            record: StreamRecord::default(),
        }
    }

    pub(super) fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, End>>> {
        loop {
            if matches!(self.state, State::Streaming(_) | State::Resuming(..))
                && self.revoked.as_mut().poll(context).is_ready()
            {
                self.end_early(End::Revoked);
            }
            let step = match &mut self.state {
                State::Streaming(_) => ready!(self.poll_server(context)),
                State::Resuming(..) => ready!(self.poll_resuming(context)),
                State::Flushing(_) => {
                    let State::Flushing(end) = std::mem::replace(&mut self.state, State::Done)
                    else {
                        continue;
                    };
                    self.state = State::Failed(end);
                    context.waker().wake_by_ref();
                    return Poll::Pending;
                }
                State::Failed(_) | State::Done => {
                    let state = std::mem::replace(&mut self.state, State::Done);
                    let State::Failed(end) = state else { return Poll::Ready(None) };
                    self.call.trace.stream_failed(&end);
                    return Poll::Ready(Some(Err(end)));
                }
            };
            match step {
                Step::Pass(events) if events.is_empty() => {}
                Step::Pass(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                Step::Next(state) => self.state = state,
                Step::Failed(error) => self.resume_or_end(error),
                Step::End(end) => self.end_early(end),
            }
        }
    }

    fn poll_server(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let State::Streaming(response) = &mut self.state else {
            return Poll::Ready(Step::Next(State::Done));
        };
        if let Some(first) = response.first.take() {
            return Poll::Ready(self.receive(first));
        }
        match Pin::new(&mut response.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let chunk = frame.into_data().unwrap_or_default();
                Poll::Ready(self.receive(chunk))
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Step::Failed(error.into())),
            // A server that fails may also close the connection before its first event.
            Poll::Ready(None)
                if response.end == BodyEnd::Close
                    && (self.splitter.has_partial_event()
                        || self.first_event == FirstEvent::Pending) =>
            {
                Poll::Ready(Step::Failed(StreamError::PartialEvent))
            }
            Poll::Ready(None) => Poll::Ready(self.finish()),
            Poll::Pending => self.poll_timer(context),
        }
    }

    fn receive(&mut self, chunk: Bytes) -> Step {
        let before = self.splitter.point();
        let output = self.splitter.take(chunk);
        if output.has_event {
            self.timer.received();
            self.withdraw_hedge();
            if self.first_event == FirstEvent::Pending {
                self.first_event = FirstEvent::Received;
                self.started();
            }
            self.record.renew(&self.call);
            let passed = match (self.splitter.point(), before) {
                (ResumePoint::After(event), ResumePoint::After(before)) => {
                    event.saturating_sub(before)
                }
                (ResumePoint::After(event), ResumePoint::Start) => event,
                (ResumePoint::Start | ResumePoint::Unknown, _) | (_, ResumePoint::Unknown) => 1,
            };
            self.call.trace.delivered(u32::try_from(passed).unwrap_or(u32::MAX));
            if let ResumePoint::After(event) = self.splitter.point() {
                self.call.handle.delivered(event);
            }
        }
        if let Some(fault) = output.fault {
            self.resume_or_end(StreamError::Fault(fault));
        }
        Step::Pass(output.events)
    }

    /// Reports the first event of the present server, which is about to be passed to the caller.
    fn started(&mut self) {
        let State::Streaming(response) = &self.state else { return };
        let server = &response.attempt.server;
        if let Some(software) = self.call.handle.first_byte() {
            self.record.begin(&self.call, software, &server.software);
        }
    }

    /// Ends the stream after the server has completed it.
    fn finish(&mut self) -> Step {
        self.withdraw_hedge();
        if let State::Streaming(response) = std::mem::replace(&mut self.state, State::Done) {
            let end = response.end.attempt_end();
            response.finish();
            self.call.handle.end(end);
            self.call.trace.completed(None);
        }
        Step::Pass(self.splitter.take_remainder())
    }

    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        if let Some(start) = self.poll_hedge(context) {
            return Poll::Ready(Step::Next(self.switch_to(start)));
        }
        if self.poll_acceptance(context).is_ready() {
            return Poll::Ready(Step::Failed(StreamError::Silence));
        }
        if self.hedge.is_none()
            && let ResumePolicy::OtherServer(_, signal) = &mut self.resume
            && let Poll::Ready(received) = Pin::new(signal).poll(context)
        {
            // The signal is sent once. If no other server can be asked, the timer tries again.
            self.expect_signal();
            if received.is_ok() {
                self.start_hedge(Unresponsive::Dispatcher);
            }
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        loop {
            match ready!(self.timer.poll(context)) {
                Alarm::End => return Poll::Ready(Step::End(End::Deadline)),
                Alarm::Silence => {
                    self.timer.received();
                    if self.hedge.is_none() {
                        self.start_hedge(Unresponsive::Timeout);
                        context.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                }
            }
        }
    }

    /// Waits until the server that was asked as well counts as at work on the stream, so that the
    /// present one is to be left.
    fn poll_acceptance(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(hedge) = self.hedge.as_mut() else { return Poll::Pending };
        loop {
            ready!(hedge.check.as_mut().poll(context));
            hedge.check = check_acceptance();
            if self.call.handle.latest().is_some_and(|latest| self.call.handle.is_accepted(latest))
            {
                return Poll::Ready(());
            }
        }
    }

    /// Returns the response of another server that was asked because the present one is
    /// unresponsive.
    fn poll_hedge(&mut self, context: &mut Context<'_>) -> Option<ResponseStart> {
        let attempts = &mut self.hedge.as_mut()?.attempts;
        let Poll::Ready(ended) = attempts.as_mut().poll(context) else { return None };
        self.hedge = None;
        // The dispatcher reports again if the present server stays unresponsive.
        self.expect_signal();
        context.waker().wake_by_ref();
        ended.ok()
    }

    fn poll_resuming(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let State::Resuming(resuming, _) = &mut self.state else {
            return Poll::Ready(Step::Next(State::Done));
        };
        match resuming.as_mut().poll(context) {
            Poll::Ready(Ok(start)) => Poll::Ready(Step::Next(self.switch_to(start))),
            Poll::Ready(Err(lost)) => {
                let State::Resuming(_, error) = std::mem::replace(&mut self.state, State::Done)
                else {
                    return Poll::Ready(Step::Next(State::Done));
                };
                let obstacle = match lost {
                    Lost::Ended(obstacle) => obstacle,
                    // Not expected: the attempt at the previous server has ended.
                    Lost::InFlight => Obstacle::Attempts,
                };
                Poll::Ready(Step::End(End::Failed(error, obstacle)))
            }
            // The attempt under way has its own timeouts, so only the deadline matters here.
            Poll::Pending => {
                ready!(self.timer.poll_end(context));
                Poll::Ready(Step::End(End::Deadline))
            }
        }
    }

    /// Continues with another server's response. The connection to the present server is closed
    /// with the state that is replaced.
    fn switch_to(&mut self, start: ResponseStart) -> State {
        self.splitter.switch();
        self.first_event = FirstEvent::Pending;
        self.expect_signal();
        if let ResumePolicy::OtherServer(resumer, _) = &self.resume {
            self.timer.expect_by(start.response.attempt.started_at + resumer.first_event_timeout());
        }
        State::Streaming(start.response)
    }

    /// Waits for the dispatcher's next signal that the server is unresponsive.
    fn expect_signal(&mut self) {
        if let ResumePolicy::OtherServer(_, signal) = &mut self.resume
            && let Some(ticket) = self.call.handle.latest()
        {
            *signal = self.call.handle.hedge_signal(ticket);
        }
    }

    /// Continues at another server after a failure, or ends the stream early.
    fn resume_or_end(&mut self, error: StreamError) {
        let State::Streaming(response) = std::mem::replace(&mut self.state, State::Done) else {
            return self.end_early(End::Failed(error, Obstacle::Unresumable));
        };
        let ticket = response.attempt.ticket;
        drop(response);
        let after = self.last_event();
        match &self.resume {
            ResumePolicy::OtherServer(resumer, _)
                if self.splitter.point() != ResumePoint::Unknown =>
            {
                let resuming = match self.hedge.take() {
                    Some(hedge) => {
                        self.call.fail_beside_hedge(ticket, error.attempt_end());
                        hedge.attempts
                    }
                    None => resumer.resume(ticket, after, error.attempt_end()),
                };
                self.state = State::Resuming(resuming, error);
            }
            ResumePolicy::OtherServer(..) | ResumePolicy::Never => {
                self.call.trace.attempt_ended(ticket, error.attempt_end(), None);
                self.end_early(End::Failed(error, Obstacle::Unresumable));
            }
        }
    }

    /// Ends the stream before it is complete. All other ends are a server's.
    fn end_early(&mut self, end: End) {
        self.hedge = None;
        self.call.handle.end(end.attempt_end());
        self.call.record_obstacle(end.obstacle());
        self.state = State::Flushing(end);
    }

    /// Asks another server to continue the stream, if one can take it now. The attempt at the
    /// present one goes on.
    fn start_hedge(&mut self, why: Unresponsive) {
        let ResumePolicy::OtherServer(resumer, _) = &self.resume else { return };
        let State::Streaming(response) = &self.state else { return };
        if self.splitter.point() != ResumePoint::Unknown {
            let attempts = resumer.hedge(response.attempt.ticket, self.last_event(), why);
            self.hedge = attempts.map(|attempts| Hedge { attempts, check: check_acceptance() });
        }
    }

    /// Ends the attempts at other servers, since the present one has sent an event.
    fn withdraw_hedge(&mut self) {
        let State::Streaming(response) = &self.state else { return };
        if self.hedge.take().is_some() {
            self.call.won(response.attempt.ticket);
            self.expect_signal();
        }
    }

    /// Returns the number of the last event that the caller has.
    fn last_event(&self) -> Option<u64> {
        match self.splitter.point() {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Unknown => None,
        }
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if let State::Streaming(_) | State::Resuming(..) = self.state
            && let Some(end) = self.call.dropped_by_host()
        {
            self.end_early(end);
        }
        if let State::Flushing(end) | State::Failed(end) = &self.state {
            self.call.trace.stream_failed(end);
        }
    }
}

/// Completes when to check whether another server has accepted the stream.
fn check_acceptance() -> BoxFuture<'static, ()> {
    sleep(ACCEPTANCE_CHECK_INTERVAL).boxed()
}
