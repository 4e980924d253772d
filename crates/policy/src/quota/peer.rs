//! Clock of another host, and whether that host answers.

use std::{collections::BTreeSet, time::Duration};

use types::{host, time::Moment};

use super::message::{self, Clock};

/// Time without an answer after which permits are requested from other hosts instead.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a host that does not answer is avoided.
const AVOID_FOR: Duration = Duration::from_secs(10);

/// Longest time by which a message may arrive after a later one.
const MAX_REORDERING: Duration = Duration::from_secs(2);

/// State that is kept of another host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    run: host::Incarnation,
    /// Latest clock of the host that was read; 0 before the first. `read_at` is when it was read.
    clock: Clock,
    read_at: Moment,
    /// Clocks of the messages received within [`MAX_REORDERING`], to drop duplicates.
    seen: BTreeSet<Clock>,
    /// When the first request was sent that has not been answered.
    unanswered_since: Option<Moment>,
    /// Until when permits are requested from other hosts instead.
    avoided_until: Moment,
}

/// Order of a message among those received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Latest message so far.
    Newest,
    /// A later message was received first.
    Overtaken,
}

impl Peer {
    /// Records the clock of a message; `None` if the message was received before, or is older than
    /// [`MAX_REORDERING`].
    pub(crate) fn receive(
        &mut self,
        run: host::Incarnation,
        clock: Clock,
        now: Moment,
    ) -> Option<Arrival> {
        if self.run != run {
            *self = Peer { run, ..Peer::default() };
        }
        let oldest = self.clock.saturating_sub(message::clock(MAX_REORDERING));
        self.seen = self.seen.split_off(&oldest);
        (oldest <= clock && self.seen.insert(clock)).then_some(())?;
        self.unanswered_since = None;
        self.avoided_until = Duration::ZERO;
        if clock < self.clock {
            return Some(Arrival::Overtaken);
        }
        (self.clock, self.read_at) = (clock, now);
        Some(Arrival::Newest)
    }

    /// Records a permit request to the host.
    pub(crate) fn record_request(&mut self, now: Moment) {
        let since = *self.unanswered_since.get_or_insert(now);
        if since + ANSWER_TIMEOUT <= now {
            self.avoided_until = now + AVOID_FOR;
            self.unanswered_since = None;
        }
    }

    /// Whether permits are requested from other hosts instead of this one.
    pub(crate) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoided_until
    }

    /// Incarnation of the host's process, if a message of it was read.
    pub(crate) fn run(&self) -> Option<host::Incarnation> {
        (0 < self.clock).then_some(self.run)
    }

    /// Latest clock of the host that was read; 0 before the first.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// When the latest clock of the host was read; `None` before the first.
    pub(crate) fn read_at(&self) -> Option<Moment> {
        (0 < self.clock).then_some(self.read_at)
    }
}
