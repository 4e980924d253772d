//! How late the host's tasks run.
//!
//! All tasks of a host share one thread. While they have more work than the thread can do, each of
//! them waits for its turn, and so does each step of a request. The task that advances the queues
//! observes this wait, and the dispatcher counts it before it takes in a request.

use std::time::Duration;

use types::time::Moment;

use crate::{host::Shared, run::PUMP_INTERVAL};

impl Shared {
    /// Records that the host runs again after it stood still.
    pub(crate) fn resumed(&self, now: Moment) {
        self.dispatcher().resumed(now);
        self.store.resumed(now);
    }
}

/// Observes how late a task runs that is due at regular intervals.
#[derive(Debug, Default)]
pub(crate) struct Lateness {
    due: Moment,
    last: Duration,
}

impl Lateness {
    /// Returns the time until the next observation.
    pub(crate) fn until_due(&self, now: Moment) -> Duration {
        self.due.saturating_sub(now)
    }

    /// Returns how late the host's tasks run, if an observation is due; zero if they are on time.
    ///
    /// Two observations in a row have to be late, and the lesser counts: a process that was stopped
    /// once, or a machine that was suspended, is on time again afterwards. A host that is late by
    /// less than the interval of the observations counts as on time.
    pub(crate) fn observe(&mut self, now: Moment) -> Option<Duration> {
        let late = now.checked_sub(self.due)?;
        self.due = now + PUMP_INTERVAL;
        let lasting = std::mem::replace(&mut self.last, late).min(late);
        Some(if lasting < PUMP_INTERVAL { Duration::ZERO } else { lasting })
    }
}
