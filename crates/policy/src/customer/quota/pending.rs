//! Token requests of this host that were not answered yet.

use std::{collections::BTreeMap, time::Duration};

use types::{customer, host, time::Moment};

use super::message::RequestId;
use crate::dispatch::Ticket;

/// Time after which a token request is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(50);

/// Time without an answer after which another coordinator is tried.
const NEXT_AFTER: Duration = Duration::from_millis(150);

/// Time without an answer after which the caller's request is refused.
const GIVE_UP_AFTER: Duration = Duration::from_millis(400);

/// Time for which a late grant is still accepted, to use its tokens otherwise.
const ABANDONED_RETENTION: Duration = Duration::from_secs(3);

/// A caller's request that waits for the answer to a token request.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) ticket: Ticket,
    pub(super) customer: customer::Id,
    pub(super) cost: f64,
    pub(super) extra: f64,
    pub(super) coordinator: host::Id,
    began_at: Moment,
    tried_at: Moment,
    sent_at: Moment,
}

/// What is due for a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    Resend,
    /// The coordinator may be silent.
    Next,
    GiveUp,
}

impl Pending {
    /// Returns what is due now, if anything.
    fn due(&self, now: Moment) -> Option<Due> {
        if self.began_at + GIVE_UP_AFTER <= now {
            return Some(Due::GiveUp);
        }
        if self.tried_at + NEXT_AFTER <= now {
            return Some(Due::Next);
        }
        (self.sent_at + RESEND_AFTER <= now).then_some(Due::Resend)
    }
}

/// All token requests of a host that were not answered yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Requests {
    last: RequestId,
    waiting: BTreeMap<RequestId, Pending>,
    /// Token requests whose grants come too late, with the coordinator to which each was sent.
    abandoned: BTreeMap<(RequestId, host::Id), (Moment, customer::Id)>,
}

impl Requests {
    /// Adds a token request.
    pub(super) fn add(
        &mut self,
        ticket: Ticket,
        customer: customer::Id,
        (cost, extra): (f64, f64),
        coordinator: host::Id,
        now: Moment,
    ) -> RequestId {
        self.last += 1;
        let pending = Pending {
            ticket,
            customer,
            cost,
            extra,
            coordinator,
            began_at: now,
            tried_at: now,
            sent_at: now,
        };
        self.waiting.insert(self.last, pending);
        self.last
    }

    /// Returns the token requests for which something is due.
    pub(super) fn due(&mut self, now: Moment) -> Vec<(RequestId, Due)> {
        self.abandoned.retain(|_, (at, _)| now < *at + ABANDONED_RETENTION);
        self.waiting.iter().filter_map(|(id, pending)| Some((*id, pending.due(now)?))).collect()
    }

    /// Returns a token request.
    pub(super) fn get(&self, id: RequestId) -> Option<&Pending> {
        self.waiting.get(&id)
    }

    /// Records that a token request is sent to a coordinator, which may be another one.
    pub(super) fn sent(&mut self, id: RequestId, to: host::Id, due: Due, now: Moment) {
        let Some(pending) = self.waiting.get_mut(&id) else { return };
        pending.sent_at = now;
        if due == Due::Next {
            pending.tried_at = now;
        }
        if pending.coordinator != to {
            let from = std::mem::replace(&mut pending.coordinator, to);
            self.abandoned.insert((id, from), (now, pending.customer.clone()));
        }
    }

    /// Removes a token request that is decided without the coordinator's answer.
    pub(super) fn abandon(&mut self, id: RequestId, now: Moment) -> Option<Pending> {
        let pending = self.waiting.remove(&id)?;
        let key = (id, pending.coordinator.clone());
        self.abandoned.insert(key, (now, pending.customer.clone()));
        Some(pending)
    }

    /// Removes the token request that an answer concerns. One that is answered too late counts as
    /// abandoned.
    pub(super) fn answered(
        &mut self,
        id: RequestId,
        from: &host::Id,
        now: Moment,
    ) -> Option<Pending> {
        let pending = self.waiting.get(&id)?;
        let is_late = pending.began_at + GIVE_UP_AFTER <= now;
        if pending.coordinator != *from || is_late {
            return None;
        }
        self.waiting.remove(&id)
    }

    /// Returns the customer of an abandoned token request that was granted after all, once.
    pub(super) fn granted_late(&mut self, id: RequestId, from: &host::Id) -> Option<customer::Id> {
        Some(self.abandoned.remove(&(id, from.clone()))?.1)
    }

    /// Returns the token requests that match.
    pub(super) fn ids(&self, is_match: impl Fn(&Pending) -> bool) -> Vec<RequestId> {
        let found = self.waiting.iter().filter(|(_, pending)| is_match(pending));
        found.map(|(id, _)| *id).collect()
    }
}
