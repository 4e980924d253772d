//! A stream of events that is delivered to the caller, by several servers in turn if one fails.

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
        Cut,
        timer::{Alarm, StreamTimer},
    },
};

/// Whether a stream may continue at another server.
pub(crate) enum Resume {
    /// Another server may continue the stream, also before the present one has failed.
    OtherServer(Resumer, LeaveSignal),
    /// The stream can't be resumed.
    Never,
}

/// A stream of events that is delivered to the caller.
pub(crate) struct Events {
    state: State,
    splitter: Splitter,
    resume: Resume,
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
    /// The previous server failed for this reason, and another one is being sought.
    Resuming(Resuming, Cut),
    /// The stream is to end early. One poll returns pending first, so that the events passed on are
    /// written before the connection is cut.
    Flushing(Cut),
    Failed(Cut),
    Done,
}

/// Result of polling a state.
enum Step {
    Pass(Bytes),
    Next(State),
    Broken(Cut),
}

impl Events {
    /// Creates a stream from a server's response, which continues after the event that the caller
    /// has.
    pub(crate) fn new(
        response: OpenResponse,
        after: Option<u64>,
        resume: Resume,
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
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        loop {
            let step = match &mut self.state {
                State::Streaming(_) => ready!(self.poll_server(context)),
                State::Resuming(..) => ready!(self.poll_resuming(context)),
                State::Flushing(_) => {
                    let State::Flushing(cut) = std::mem::replace(&mut self.state, State::Done)
                    else {
                        continue;
                    };
                    self.state = State::Failed(cut);
                    context.waker().wake_by_ref();
                    return Poll::Pending;
                }
                State::Failed(_) | State::Done => {
                    let state = std::mem::replace(&mut self.state, State::Done);
                    let State::Failed(cut) = state else { return Poll::Ready(None) };
                    self.call.trace.cut(&cut);
                    return Poll::Ready(Some(Err(cut)));
                }
            };
            match step {
                Step::Pass(events) if events.is_empty() => {}
                Step::Pass(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                Step::Next(state) => self.state = state,
                Step::Broken(cut) => self.break_off(cut),
            }
        }
    }

    fn poll_server(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let State::Streaming(response) = &mut self.state else {
            return Poll::Ready(Step::Next(State::Done));
        };
        match Pin::new(&mut response.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let piece = frame.into_data().unwrap_or_default();
                Poll::Ready(self.take(piece))
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Step::Broken(error.into())),
            Poll::Ready(None)
                if response.end == BodyEnd::Close && self.splitter.has_partial_event() =>
            {
                Poll::Ready(Step::Broken(Cut::PartialEvent))
            }
            Poll::Ready(None) => Poll::Ready(self.finish()),
            Poll::Pending => self.poll_timer(context),
        }
    }

    fn take(&mut self, piece: Bytes) -> Step {
        let before = self.splitter.point();
        let taken = self.splitter.take(piece);
        if !taken.events.is_empty() {
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
            self.call.trace.passed(u32::try_from(passed).unwrap_or(u32::MAX));
            if let ResumePoint::After(event) = self.splitter.point() {
                self.call.handle.delivered(event);
            }
        }
        if let Some(fault) = taken.fault {
            self.break_off(Cut::Fault(fault));
        }
        Step::Pass(taken.events)
    }

    /// Ends the stream after the server has completed it.
    fn finish(&mut self) -> Step {
        if let State::Streaming(response) = std::mem::replace(&mut self.state, State::Done) {
            response.finish();
            self.call.handle.end(AttemptEnd::Completed);
            self.call.trace.answered(None);
        }
        Step::Pass(self.splitter.take_remainder())
    }

    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        if let Resume::OtherServer(_, leave) = &mut self.resume
            && let Poll::Ready(_) = Pin::new(&mut *leave).poll(context)
        {
            // The signal is sent once. If no other server takes the stream, the timer tries again.
            *leave = self.call.handle.leave_signal();
            if let Some(left) = self.leave() {
                return Poll::Ready(Step::Next(left));
            }
        }
        loop {
            match ready!(self.timer.poll(context)) {
                Alarm::End => return Poll::Ready(Step::Next(State::Flushing(Cut::Time))),
                Alarm::Silence => match self.leave() {
                    Some(left) => return Poll::Ready(Step::Next(left)),
                    // No other server can continue, and a slow server is better than none.
                    None => self.timer.received(),
                },
            }
        }
    }

    fn poll_resuming(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        let State::Resuming(resuming, _) = &mut self.state else {
            return Poll::Ready(Step::Next(State::Done));
        };
        let begun = match resuming.as_mut().poll(context) {
            Poll::Ready(Ok(begun)) => begun,
            Poll::Ready(Err(_)) => {
                let State::Resuming(_, cut) = std::mem::replace(&mut self.state, State::Done)
                else {
                    return Poll::Ready(Step::Next(State::Done));
                };
                return Poll::Ready(Step::Next(State::Flushing(cut)));
            }
            // The attempt under way has its own timeouts, so only the deadline matters here.
            Poll::Pending => {
                ready!(self.timer.poll_end(context));
                return Poll::Ready(Step::Next(State::Flushing(Cut::Time)));
            }
        };
        if let Resume::OtherServer(resumer, leave) = &mut self.resume {
            *leave = self.call.handle.leave_signal();
            self.timer.expect_by(begun.response.flight.began + resumer.first_event_timeout());
        }
        Poll::Ready(Step::Next(State::Streaming(begun.response)))
    }

    /// Continues at another server after a failure, or ends the stream early.
    fn break_off(&mut self, cut: Cut) {
        let flight = match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(response) => Some(response.flight),
            _ => None,
        };
        self.state = match &self.resume {
            Resume::OtherServer(resumer, _) if self.splitter.point() != ResumePoint::Unknown => {
                let resuming =
                    resumer.start(flight, self.after(), AttemptFailure::Failed(cut.attempt_end()));
                self.switch();
                State::Resuming(resuming, cut)
            }
            Resume::OtherServer(..) | Resume::Never => {
                self.call.handle.end(cut.attempt_end());
                self.call.trace.attempt_ended(cut.attempt_end(), None);
                State::Flushing(cut)
            }
        };
    }

    /// Continues at another server in place of a silent one, if another server takes the stream.
    fn leave(&mut self) -> Option<State> {
        let Resume::OtherServer(resumer, _) = &self.resume else { return None };
        if self.splitter.point() == ResumePoint::Unknown
            || !matches!(self.state, State::Streaming(_))
        {
            return None;
        }
        let left = resumer.leave()?;
        let flight = match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(response) => Some(response.flight),
            _ => None,
        };
        let resuming = resumer.start(flight, self.after(), left);
        self.switch();
        Some(State::Resuming(resuming, Cut::Silence))
    }

    /// Returns the number of the last event that the caller has.
    fn after(&self) -> Option<u64> {
        match self.splitter.point() {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Unknown => None,
        }
    }

    /// Prepares for the events of another server.
    fn switch(&mut self) {
        self.splitter.switch();
        self.first_event = FirstEvent::Pending;
    }
}
