//! The timer of a stream: the deadline of the request, and the time for which the server may be
//! silent.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Instant, Sleep, sleep_until};

use crate::deadline::Deadline;

/// Time, after a timeout, to read the data that arrived while this process was not scheduled,
/// before the server counts as silent.
const READ_GRACE: Duration = Duration::from_millis(25);

/// Event of a stream's timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Alarm {
    /// The deadline of the request has passed.
    End,
    /// The server has sent nothing for too long.
    Silence,
}

/// The timer of a stream. Received data does not reset the underlying sleep, only the time until
/// which silence is accepted; the sleep is reset when it completes before that time.
pub(crate) struct StreamTimer {
    end: Deadline,
    silence: Silence,
}

enum Silence {
    /// Silence has no effect, since the request may not go to another server.
    Ignored,
    Watched {
        sleep: Pin<Box<Sleep>>,
        /// Time until which silence is accepted.
        until: Instant,
        /// Maximum time between two arrivals of data.
        pause: Duration,
        grace: Grace,
    },
}

/// State of the [`READ_GRACE`] that follows a timeout.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Grace {
    NotStarted,
    Running,
}

impl StreamTimer {
    /// Creates a timer that only ends the stream.
    pub(crate) fn until_end(end: Deadline) -> StreamTimer {
        StreamTimer { end, silence: Silence::Ignored }
    }

    /// Creates a timer that also expects a first event by `first`, and each further one within
    /// `pause` of the one before.
    pub(crate) fn with_timeouts(end: Deadline, first: Instant, pause: Duration) -> StreamTimer {
        let sleep = Box::pin(sleep_until(first));
        let silence = Silence::Watched { sleep, until: first, pause, grace: Grace::NotStarted };
        StreamTimer { end, silence }
    }

    /// Records that data has arrived.
    pub(crate) fn received(&mut self) {
        if let Silence::Watched { pause, .. } = self.silence {
            self.expect_by(Instant::now() + pause);
        }
    }

    /// Expects data by a time.
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

    /// Waits for the deadline only, and ignores silence.
    pub(crate) fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while ready!(self.poll(context)) == Alarm::Silence {
            self.received();
        }
        Poll::Ready(())
    }
}
