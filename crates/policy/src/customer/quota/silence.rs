//! Hosts that don't answer.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

/// Time without an answer after which a host is skipped, if [`MIN_SENT`] messages were sent to it.
const TIMEOUT: Duration = Duration::from_millis(150);

/// Messages without an answer before a host is skipped, since datagrams may be lost.
const MIN_SENT: u32 = 4;

/// Time for which the answer to the last message is awaited.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Least time between two messages that count apart: a loss may concern several at once.
const COUNT_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between two messages to a host that does not answer, or whose run is not known.
const GREETING_INTERVAL: Duration = Duration::from_millis(100);

/// Hosts that have not answered the messages to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Silence {
    unanswered: BTreeMap<host::Id, Unanswered>,
}

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    since: Moment,
    last: Moment,
    counted_at: Moment,
    sent: u32,
    is_avoided: bool,
}

impl Silence {
    /// Records a message that a host must answer.
    pub(super) fn record_sent(&mut self, to: &host::Id, now: Moment) {
        let first =
            Unanswered { since: now, last: now, counted_at: now, sent: 0, is_avoided: false };
        let known = self.unanswered.entry(to.clone()).or_insert(first);
        if known.sent == 0 || known.counted_at + COUNT_INTERVAL <= now {
            known.sent += 1;
            known.counted_at = now;
        }
        known.last = now;
    }

    /// Records an answer of a host.
    pub(super) fn record_answer(&mut self, from: &host::Id) {
        self.unanswered.remove(from);
    }

    /// Forgets hosts that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&host::Id) -> bool) {
        self.unanswered.retain(|host, _| is_known(host));
    }

    /// Returns whether a host is skipped now, until it answers.
    pub(super) fn check(&mut self, host: &host::Id, now: Moment) -> bool {
        let Some(known) = self.unanswered.get_mut(host) else { return false };
        let is_unanswered = MIN_SENT <= known.sent && known.counted_at + ANSWER_TIMEOUT <= now;
        known.is_avoided |= is_unanswered && known.since + TIMEOUT <= now;
        known.is_avoided
    }

    /// Whether a host is skipped, as last checked.
    pub(super) fn is_avoided(&self, host: &host::Id) -> bool {
        self.unanswered.get(host).is_some_and(|known| known.is_avoided)
    }

    /// Whether a message without entries to a host is due.
    pub(super) fn is_greeting_due(&self, host: &host::Id, now: Moment) -> bool {
        self.unanswered.get(host).is_none_or(|known| known.last + GREETING_INTERVAL <= now)
    }
}
