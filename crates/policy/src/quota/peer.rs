//! What is known of another host's clock, and whether it answers.

use std::{collections::BTreeSet, time::Duration};

use types::{host, time::Moment};

use super::message::{self, Clock};

/// Silence of a host that was asked after which others are asked in its place, and for how long.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
const AVOID_FOR: Duration = Duration::from_secs(10);

/// Longest time by which a message may come after a later one.
const MAX_REORDERING: Duration = Duration::from_secs(2);

/// Another host.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    run: host::Incarnation,
    /// The last of its clocks that was read, and when.
    clock: Clock,
    read_at: Moment,
    /// Clocks of the messages that came lately.
    seen: BTreeSet<Clock>,
    /// Since when it owes an answer.
    unanswered_since: Option<Moment>,
    /// Until when others are asked in its place.
    avoided_until: Moment,
}

/// How a message stands among those that came before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The latest message so far.
    Newest,
    /// A later message came first.
    Overtaken,
}

impl Peer {
    /// Takes in a message's clock; none if the message came before.
    pub(super) fn receive(
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

    /// Notes that the host is asked something.
    pub(super) fn record_request(&mut self, now: Moment) {
        let since = *self.unanswered_since.get_or_insert(now);
        if since + ANSWER_TIMEOUT <= now {
            self.avoided_until = now + AVOID_FOR;
            self.unanswered_since = None;
        }
    }

    /// Whether others are asked in the host's place.
    pub(super) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoided_until
    }

    /// The host's run, if it is known.
    pub(super) fn run(&self) -> Option<host::Incarnation> {
        (0 < self.clock).then_some(self.run)
    }

    /// The last of the host's clocks that was read; 0 before the first.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// When the last of the host's clocks was read.
    pub(super) fn read_at(&self) -> Option<Moment> {
        (0 < self.clock).then_some(self.read_at)
    }
}
