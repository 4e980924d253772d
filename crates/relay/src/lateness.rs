//! How late the host's tasks run.
//!
//! All tasks of a host share one thread. While they have more work than the thread can do, each of
//! them waits for its turn, and so does each step of a request. The task that advances the queues
//! observes this wait, and the dispatcher counts it before it takes in a request.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use types::time::Moment;

use crate::{
    host::Shared,
    run::{PUMP_INTERVAL, STALL_THRESHOLD},
    timer,
};

/// Time between two beats above which the host has stood still, and data may lie unread.
const MAX_BEAT_INTERVAL: Duration = PUMP_INTERVAL.saturating_add(STALL_THRESHOLD);

/// Tells since when data may have waited in the sockets of a host that stood still.
///
/// The times are those of a clock that stops while the machine is suspended, as nothing arrives
/// meanwhile.
#[derive(Debug)]
pub(crate) struct Heartbeat(Mutex<Beat>);

#[derive(Debug)]
struct Beat {
    last: Instant,
    /// Start of the last pause, until what arrived in it has been read.
    pause: Option<Instant>,
}

impl Heartbeat {
    pub(crate) fn start() -> Heartbeat {
        Heartbeat(Mutex::new(Beat { last: Instant::now(), pause: None }))
    }

    /// Records that the host's tasks run. To be called at least each [`PUMP_INTERVAL`].
    pub(crate) fn beat(shared: &Arc<Shared>) {
        let now = Instant::now();
        let mut beat = shared.heartbeat.lock();
        let last = std::mem::replace(&mut beat.last, now);
        if now.duration_since(last) <= MAX_BEAT_INTERVAL {
            return;
        }
        beat.pause = Some(last);
        drop(beat);
        let shared = shared.clone();
        tokio::spawn(async move {
            timer::until_sockets_read().await;
            let mut beat = shared.heartbeat.lock();
            // A later pause may have begun meanwhile.
            beat.pause = beat.pause.filter(|pause| *pause != last);
        });
    }

    /// Returns the earliest time at which data that is read now may have arrived, on a connection
    /// that was last used at `used_at`. It is now unless the host stood still.
    pub(crate) fn arrival(&self, used_at: Option<Instant>, now: Instant) -> Instant {
        let beat = self.lock();
        // The data may be read before the first beat after the pause, or lie unread since an earlier
        // one.
        let is_paused = MAX_BEAT_INTERVAL < now.duration_since(beat.last);
        let pause = beat.pause.or(is_paused.then_some(beat.last));
        pause.map_or(now, |pause| used_at.map_or(pause, |used_at| pause.max(used_at)))
    }

    fn lock(&self) -> MutexGuard<'_, Beat> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
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
