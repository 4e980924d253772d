//! A stream of events that is delivered to the caller, from several servers in turn if one fails.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use policy::event::{ResumePoint, Splitter};

use crate::{
    attempt::{AttemptEnd, BodyEnd, OpenResponse},
    call::{AttemptFailure, Call, LeaveSignal, Resumer, Resuming},
    stream::{
        StreamError,
        timer::{Alarm, StreamTimer},
    },
    trace::Unresponsive,
};

/// Whether a stream may continue at another server.
pub(crate) enum ResumePolicy {
    /// Another server may continue the stream, even before the present one has failed. The signal
    /// completes when the stream is to leave its server.
    OtherServer(Resumer, LeaveSignal),
    /// The stream can't be resumed.
    Never,
}

/// A stream of events that is delivered to the caller.
pub(crate) struct Events {
    state: State,
    splitter: Splitter,
    resume: ResumePolicy,
    timer: StreamTimer,
    call: Arc<Call>,
    first_event: FirstEvent,
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
    Flushing(StreamError),
    /// The next poll returns this error.
    Failed(StreamError),
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
            timer,
            call,
            first_event: FirstEvent::Pending,
        }
    }

    pub(super) fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        loop {
            let step = match &mut self.state {
                State::Streaming(_) => ready!(self.poll_server(context)),
                State::Resuming(..) => ready!(self.poll_resuming(context)),
                State::Flushing(_) => {
                    let State::Flushing(error) = std::mem::replace(&mut self.state, State::Done)
                    else {
                        continue;
                    };
                    self.state = State::Failed(error);
                    context.waker().wake_by_ref();
                    return Poll::Pending;
                }
                State::Failed(_) | State::Done => {
                    let state = std::mem::replace(&mut self.state, State::Done);
                    let State::Failed(error) = state else { return Poll::Ready(None) };
                    self.call.trace.stream_failed(&error);
                    return Poll::Ready(Some(Err(error)));
                }
            };
            match step {
                Step::Pass(events) if events.is_empty() => {}
                Step::Pass(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                Step::Next(state) => self.state = state,
                Step::Failed(error) => self.resume_or_end(error),
            }
        }
    }

    fn poll_server(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let State::Streaming(response) = &mut self.state else {
            return Poll::Ready(Step::Next(State::Done));
        };
        match Pin::new(&mut response.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let chunk = frame.into_data().unwrap_or_default();
                Poll::Ready(self.receive(chunk))
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Step::Failed(error.into())),
            Poll::Ready(None)
                if response.end == BodyEnd::Close && self.splitter.has_partial_event() =>
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
        if !output.events.is_empty() {
            self.timer.received();
            if self.first_event == FirstEvent::Pending {
                self.first_event = FirstEvent::Received;
                self.call.handle.first_byte();
            }
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

    /// Ends the stream after the server has completed it.
    fn finish(&mut self) -> Step {
        if let State::Streaming(response) = std::mem::replace(&mut self.state, State::Done) {
            response.finish();
            self.call.handle.end(AttemptEnd::Completed);
            self.call.trace.completed(None);
        }
        Step::Pass(self.splitter.take_remainder())
    }

    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        if let ResumePolicy::OtherServer(_, leave) = &mut self.resume
            && let Poll::Ready(_) = Pin::new(&mut *leave).poll(context)
        {
            // The signal is sent once. If no other server takes the stream, the timer tries again.
            *leave = self.call.handle.leave_signal();
            if let Some(state) = self.leave_server(Unresponsive::Dispatcher) {
                return Poll::Ready(Step::Next(state));
            }
        }
        loop {
            match ready!(self.timer.poll(context)) {
                Alarm::End => {
                    return Poll::Ready(Step::Next(State::Flushing(StreamError::Deadline)));
                }
                Alarm::Silence => match self.leave_server(Unresponsive::Timeout) {
                    Some(state) => return Poll::Ready(Step::Next(state)),
                    // No other server can continue the stream, and a slow server is better than
                    // none.
                    None => self.timer.received(),
                },
            }
        }
    }

    fn poll_resuming(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let State::Resuming(resuming, _) = &mut self.state else {
            return Poll::Ready(Step::Next(State::Done));
        };
        let start = match resuming.as_mut().poll(context) {
            Poll::Ready(Ok(start)) => start,
            Poll::Ready(Err(_)) => {
                let State::Resuming(_, error) = std::mem::replace(&mut self.state, State::Done)
                else {
                    return Poll::Ready(Step::Next(State::Done));
                };
                return Poll::Ready(Step::Next(State::Flushing(error)));
            }
            // The attempt under way has its own timeouts, so only the deadline matters here.
            Poll::Pending => {
                ready!(self.timer.poll_end(context));
                return Poll::Ready(Step::Next(State::Flushing(StreamError::Deadline)));
            }
        };
        if let ResumePolicy::OtherServer(resumer, leave) = &mut self.resume {
            *leave = self.call.handle.leave_signal();
            self.timer.expect_by(start.response.attempt.started_at + resumer.first_event_timeout());
        }
        Poll::Ready(Step::Next(State::Streaming(start.response)))
    }

    /// Continues at another server after a failure, or ends the stream early.
    fn resume_or_end(&mut self, error: StreamError) {
        let attempt = match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(response) => Some(response.attempt),
            _ => None,
        };
        self.state = match &self.resume {
            ResumePolicy::OtherServer(resumer, _)
                if self.splitter.point() != ResumePoint::Unknown =>
            {
                let resuming = resumer.start(
                    attempt,
                    self.last_event(),
                    AttemptFailure::Failed(error.attempt_end()),
                );
                self.switch_server();
                State::Resuming(resuming, error)
            }
            ResumePolicy::OtherServer(..) | ResumePolicy::Never => {
                self.call.handle.end(error.attempt_end());
                self.call.trace.attempt_ended(error.attempt_end(), None);
                State::Flushing(error)
            }
        };
    }

    /// Moves the stream from a silent server to another one, if one can take it now. Returns the
    /// new state.
    fn leave_server(&mut self, why: Unresponsive) -> Option<State> {
        let ResumePolicy::OtherServer(resumer, _) = &self.resume else { return None };
        if self.splitter.point() == ResumePoint::Unknown
            || !matches!(self.state, State::Streaming(_))
        {
            return None;
        }
        let failure = resumer.leave(why)?;
        let attempt = match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(response) => Some(response.attempt),
            _ => None,
        };
        let resuming = resumer.start(attempt, self.last_event(), failure);
        self.switch_server();
        Some(State::Resuming(resuming, StreamError::Silence))
    }

    /// Returns the number of the last event that the caller has.
    fn last_event(&self) -> Option<u64> {
        match self.splitter.point() {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Unknown => None,
        }
    }

    /// Prepares for the events of another server.
    fn switch_server(&mut self) {
        self.splitter.switch();
        self.first_event = FirstEvent::Pending;
    }
}
