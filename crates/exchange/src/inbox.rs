//! Received notices that wait for the reader of [`Exchange::notices`](crate::Exchange::notices).

use std::collections::VecDeque;

use policy::fleet::{Envelope, Notice};
use tokio::sync::mpsc;

/// Maximum number of notices that are handed to the reader ahead of its reading, in the order in
/// which they were handed over. Equals the number that tokio lets a task receive before it yields.
pub(crate) const MAX_HANDED_OVER: usize = 128;

/// Number of waiting notices from which datagrams with notices that have no bound are refused.
const MAX_WAITING: usize = 1_024;

/// Number of waiting notices from which all datagrams with notices are refused.
const MAX_WAITING_WITH_BOUND: usize = 2 * MAX_WAITING;

/// Notices that wait for their reader; those with a bound are handed over first.
///
/// A datagram is refused before the fleet acknowledges the notices in it, so that their senders
/// send them again.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    bounded: VecDeque<Envelope>,
    unbounded: VecDeque<Envelope>,
}

impl Inbox {
    /// Returns whether there is room for the notices in a datagram; if not, their number.
    pub(crate) fn check_room(&self, datagram: &[u8]) -> Result<(), usize> {
        if self.len() < MAX_WAITING {
            return Ok(());
        }
        let notices = Notice::in_datagram(datagram);
        let limit = match notices.iter().any(Notice::is_bounded) {
            true => MAX_WAITING_WITH_BOUND,
            false => MAX_WAITING,
        };
        if notices.is_empty() || self.len() < limit { Ok(()) } else { Err(notices.len()) }
    }

    pub(crate) fn push(&mut self, envelope: Envelope) {
        match envelope.notice.is_bounded() {
            true => self.bounded.push_back(envelope),
            false => self.unbounded.push_back(envelope),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Hands notices to the reader for as long as it has room.
    pub(crate) fn hand_over(&mut self, reader: &mpsc::Sender<Envelope>) {
        if reader.is_closed() {
            *self = Inbox::default();
        }
        while !self.is_empty()
            && let Ok(permit) = reader.try_reserve()
            && let Some(envelope) = self.bounded.pop_front().or_else(|| self.unbounded.pop_front())
        {
            permit.send(envelope);
        }
    }

    fn len(&self) -> usize {
        self.bounded.len() + self.unbounded.len()
    }
}
