//! The clock of a stream: its end, and how long its server may be silent.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Instant, Sleep, sleep_until};

use crate::deadline::Deadline;

/// Time to read what came while this process was held up, before a server counts as silent.
const READ_GRACE: Duration = Duration::from_millis(25);

/// What a clock tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Alarm {
    /// The request's time is over.
    End,
    /// The server has been silent for too long.
    Silence,
}

/// The clock of a stream. Hearing something moves no timer; the timer looks again when it fires.
pub(crate) struct StreamTimer {
    end: Deadline,
    silence: Silence,
}

enum Silence {
    /// Nothing can be done about it.
    Ignored,
    Watched {
        sleep: Pin<Box<Sleep>>,
        until: Instant,
        pause: Duration,
        grace: Grace,
    },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Grace {
    NotStarted,
    Running,
}

impl StreamTimer {
    /// A clock that only ends the stream.
    pub(crate) fn until_end(end: Deadline) -> StreamTimer {
        StreamTimer { end, silence: Silence::Ignored }
    }

    /// A clock that also wants a first event by `first`, and one each `pause` from then on.
    pub(crate) fn with_timeouts(end: Deadline, first: Instant, pause: Duration) -> StreamTimer {
        let sleep = Box::pin(sleep_until(first));
        let silence = Silence::Watched { sleep, until: first, pause, grace: Grace::NotStarted };
        StreamTimer { end, silence }
    }

    /// Something has come.
    pub(crate) fn received(&mut self) {
        if let Silence::Watched { pause, .. } = self.silence {
            self.expect_by(Instant::now() + pause);
        }
    }

    /// Something is due by a time.
    pub(crate) fn expect_by(&mut self, time: Instant) {
        if let Silence::Watched { sleep, until, grace, .. } = &mut self.silence {
            (*until, *grace) = (time, Grace::NotStarted);
            if time < sleep.deadline() {
                sleep.as_mut().reset(time);
            }
        }
    }

    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Poll<Alarm> {
        if Pin::new(&mut self.end).poll(context).is_ready() {
            return Poll::Ready(Alarm::End);
        }
        let Silence::Watched { sleep, until, grace, .. } = &mut self.silence else {
            return Poll::Pending;
        };
        loop {
            ready!(sleep.as_mut().poll(context));
            let now = Instant::now();
            let next = match grace {
                _ if now < *until => *until,
                Grace::Running => return Poll::Ready(Alarm::Silence),
                Grace::NotStarted => {
                    *grace = Grace::Running;
                    now + READ_GRACE
                }
            };
            sleep.as_mut().reset(next);
        }
    }

    /// Waits for the end only.
    pub(crate) fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while ready!(self.poll(context)) == Alarm::Silence {
            self.received();
        }
        Poll::Ready(())
    }
}
