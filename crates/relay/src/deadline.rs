//! Deadlines that include the time for which the machine is suspended.
//!
//! The timers of the async runtime stop while the machine is suspended. A deadline is therefore
//! checked against the process's clock, which does not stop. The task that advances the
//! dispatcher's queues reads this clock at short intervals, and notifies all deadlines when it has
//! jumped.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::{
    sync::{Notify, futures::OwnedNotified},
    time::{Instant, Sleep, sleep},
};
use types::time::Moment;

use crate::{clock::Clock, host::Shared};

/// Future that completes when a moment of the host's clock has passed.
pub(crate) struct Deadline {
    end: Moment,
    clock: Clock,
    jumped: Arc<Notify>,
    jump: Pin<Box<OwnedNotified>>,
    sleep: Pin<Box<Sleep>>,
}

impl Deadline {
    /// Creates a deadline at this moment of the host's clock.
    pub(crate) fn at(shared: &Shared, end: Moment) -> Deadline {
        let (clock, jumped) = (shared.clock, shared.clock_jumped.clone());
        let jump = Box::pin(jumped.clone().notified_owned());
        let sleep = Box::pin(sleep(end.saturating_sub(clock.now())));
        Deadline { end, clock, jumped, jump, sleep }
    }
}

impl Future for Deadline {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let deadline = self.get_mut();
        loop {
            let has_jumped = deadline.jump.as_mut().poll(context).is_ready();
            if has_jumped {
                deadline.jump = Box::pin(deadline.jumped.clone().notified_owned());
            }
            if !has_jumped && deadline.sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            let left = deadline.end.saturating_sub(deadline.clock.now());
            if left.is_zero() {
                return Poll::Ready(());
            }
            deadline.sleep.as_mut().reset(Instant::now() + left);
        }
    }
}
