//! A stream of events on its way to the caller, over one server after the other if need be.

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
    attempt::{End, Failed, Link},
    call::{Again, Call, Ended, Leave, Resuming},
    stream::{
        Cut,
        watch::{Alarm, Watch},
    },
};

/// What may follow when a stream's server breaks off.
pub(crate) enum Resume {
    /// Another server may go on, also before this one has broken off.
    At(Again, Leave),
    /// Nothing.
    Never,
}

/// A stream of events on its way to the caller.
pub(crate) struct Events {
    state: State,
    splitter: Splitter,
    resume: Resume,
    watch: Watch,
    call: Arc<Call>,
    begun: Begun,
}

/// Whether an event has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Begun {
    NotYet,
    Yes,
}

enum State {
    Streaming(Link),
    /// The server before broke off for this reason.
    Resuming(Resuming, Cut),
    /// What was passed on is being written, before the cut.
    Flushing(Cut),
    Failed(Cut),
    Done,
}

/// What a state comes to.
enum Step {
    Pass(Bytes),
    Next(State),
    Broken(Cut),
}

impl Events {
    /// A stream that has begun at a server, after the event that the caller has.
    pub(crate) fn new(
        link: Link,
        after: Option<u64>,
        resume: Resume,
        watch: Watch,
        call: Arc<Call>,
    ) -> Events {
        let state = State::Streaming(link);
        Events { state, splitter: Splitter::new(after), resume, watch, call, begun: Begun::NotYet }
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
        let State::Streaming(link) = &mut self.state else {
            return Poll::Ready(Step::Next(State::Done));
        };
        match Pin::new(&mut link.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let piece = frame.into_data().unwrap_or_default();
                Poll::Ready(self.take(piece))
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Step::Broken(error.into())),
            Poll::Ready(None) if link.end == End::Close && self.splitter.has_partial_event() => {
                Poll::Ready(Step::Broken(Cut::Half))
            }
            Poll::Ready(None) => Poll::Ready(self.finish()),
            Poll::Pending => self.poll_watch(context),
        }
    }

    fn take(&mut self, piece: Bytes) -> Step {
        let before = self.splitter.point();
        let taken = self.splitter.take(piece);
        if !taken.events.is_empty() {
            self.watch.heard();
            if self.begun == Begun::NotYet {
                self.begun = Begun::Yes;
                self.call.account.first();
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
                self.call.account.delivered(event);
            }
        }
        if let Some(fault) = taken.fault {
            self.break_off(Cut::Fault(fault));
        }
        Step::Pass(taken.events)
    }

    /// The server's stream is whole.
    fn finish(&mut self) -> Step {
        if let State::Streaming(link) = std::mem::replace(&mut self.state, State::Done) {
            link.finish();
            self.call.account.end(Failed::Completed);
            self.call.trace.answered(None);
        }
        Step::Pass(self.splitter.take_remainder())
    }

    fn poll_watch(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        if let Resume::At(_, leave) = &mut self.resume
            && let Poll::Ready(_) = Pin::new(&mut *leave).poll(context)
        {
            // News come once; without another server, the clock asks again.
            *leave = self.call.account.leave();
            if let Some(left) = self.leave() {
                return Poll::Ready(Step::Next(left));
            }
        }
        loop {
            match ready!(self.watch.poll(context)) {
                Alarm::End => return Poll::Ready(Step::Next(State::Flushing(Cut::Time))),
                Alarm::Silence => match self.leave() {
                    Some(left) => return Poll::Ready(Step::Next(left)),
                    // Nobody else can go on: a slow server is better than none.
                    None => self.watch.heard(),
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
            // The limits of the attempt itself tell of silence.
            Poll::Pending => {
                ready!(self.watch.poll_end(context));
                return Poll::Ready(Step::Next(State::Flushing(Cut::Time)));
            }
        };
        if let Resume::At(again, leave) = &mut self.resume {
            *leave = self.call.account.leave();
            self.watch.expect_by(begun.link.flight.began + again.first());
        }
        Poll::Ready(Step::Next(State::Streaming(begun.link)))
    }

    /// Goes on at another server, or ends with a cut.
    fn break_off(&mut self, cut: Cut) {
        let flight = match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(link) => Some(link.flight),
            _ => None,
        };
        self.state = match &self.resume {
            Resume::At(again, _) if self.splitter.point() != ResumePoint::Unknown => {
                let resuming = again.start(flight, self.after(), Ended::Failed(cut.failed()));
                self.switch();
                State::Resuming(resuming, cut)
            }
            Resume::At(..) | Resume::Never => {
                self.call.account.end(cut.failed());
                self.call.trace.attempt_ended(cut.failed(), None);
                State::Flushing(cut)
            }
        };
    }

    /// Goes on at another server in place of a silent one, if one takes the stream.
    fn leave(&mut self) -> Option<State> {
        let Resume::At(again, _) = &self.resume else { return None };
        if self.splitter.point() == ResumePoint::Unknown
            || !matches!(self.state, State::Streaming(_))
        {
            return None;
        }
        let left = again.leave()?;
        let flight = match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(link) => Some(link.flight),
            _ => None,
        };
        let resuming = again.start(flight, self.after(), left);
        self.switch();
        Some(State::Resuming(resuming, Cut::Silence))
    }

    /// The last event that the caller has.
    fn after(&self) -> Option<u64> {
        match self.splitter.point() {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Unknown => None,
        }
    }

    /// What comes next is another server's.
    fn switch(&mut self) {
        self.splitter.switch();
        self.begun = Begun::NotYet;
    }
}
