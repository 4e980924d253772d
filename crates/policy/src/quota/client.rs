//! What a host needs of one server's quota, and the permits that it has.

use std::{collections::VecDeque, time::Duration};

use types::{host, time::Moment};

use super::{lease::Share, message::IDLE};

/// Time for which a permit may be used, from when it was asked for.
const PERMIT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time for which a request that found no permit counts as demand.
const MISS_LIFETIME: Duration = Duration::from_millis(300);

/// Age at which the length of the owner's queue says nothing any more.
const QUEUE_LIFETIME: Duration = Duration::from_secs(1);

/// Time after a change in which owners are told of requests sent before it.
const REPORT_SENT_BEFORE: Duration = Duration::from_secs(3);

/// Least time between two asks.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Permits that a host wants of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// How many.
    pub permits: u32,
    /// Rank of the most urgent request that wants one; 0 goes first.
    pub urgency: u8,
}

/// One server's quota, as a host that sends there sees it.
#[derive(Clone, Debug, Default)]
pub struct Client {
    /// This host's share.
    pub share: Share,
    permits: VecDeque<Moment>,
    demand: Demand,
    last_miss: Option<Moment>,
    queue: Option<(Moment, u32)>,
    sent_before: Option<(Moment, u32)>,
    last_request: Option<LastRequest>,
}

/// The last ask.
#[derive(Clone, Debug)]
struct LastRequest {
    owner: host::Id,
    at: Moment,
    /// What was asked for and has not been granted.
    demand: Demand,
}

impl Client {
    /// Whether a request may be sent now.
    pub fn has_permit(&self, now: Moment) -> bool {
        self.permits.back().is_some_and(|until| now < *until)
    }

    /// Permits that may be used now.
    pub fn permits(&self, now: Moment) -> u32 {
        self.permits.iter().filter(|until| now < **until).count() as u32
    }

    /// Uses a permit, the one that ends first.
    pub fn use_permit(&mut self, now: Moment) -> bool {
        self.expire(now);
        self.permits.pop_front().is_some()
    }

    /// Adds permits that were asked for at `asked`. Returns how many of them are too late to be used.
    pub fn on_grant(&mut self, permits: u32, requested_at: Moment, now: Moment) -> u32 {
        let until = requested_at + PERMIT_LIFETIME;
        if until <= now {
            return permits;
        }
        if let Some(LastRequest { demand, .. }) = &mut self.last_request {
            demand.permits = demand.permits.saturating_sub(permits);
        }
        let at = self.permits.partition_point(|other| *other <= until);
        (0..permits).for_each(|_| self.permits.insert(at, until));
        0
    }

    /// Drops permits that are over, and returns how many there were.
    pub fn expire(&mut self, now: Moment) -> u32 {
        let lapsed = self.permits.partition_point(|until| *until <= now);
        self.permits.drain(..lapsed);
        lapsed as u32
    }

    /// Sets what the requests that wait now want.
    pub fn set_demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// Notes that a request found no permit.
    pub fn permit_missing(&mut self, now: Moment) {
        self.last_miss = Some(now);
    }

    /// Notes how many requests were sent just before the limit changed.
    pub fn limit_changed(&mut self, sent_before: u32, now: Moment) {
        self.sent_before = Some((now, sent_before));
    }

    /// Requests sent before the last change, while owners are to be told.
    pub fn sent_before(&self, now: Moment) -> u32 {
        self.sent_before
            .filter(|(at, _)| now < *at + REPORT_SENT_BEFORE)
            .map_or(0, |(_, sent_before)| sent_before)
    }

    /// What is to be asked for now.
    pub fn unmet_demand(&self, now: Moment) -> Demand {
        let Demand { permits, urgency } = self.demand;
        let held = self.permits(now);
        if 0 < permits {
            return Demand { permits: permits.saturating_sub(held), urgency };
        }
        let has_missed = self.last_miss.is_some_and(|at| now < at + MISS_LIFETIME);
        Demand { permits: u32::from(has_missed && held == 0), urgency: IDLE }
    }

    /// Whether it is time to ask a host for what is wanted. More or fewer permits are asked for once in
    /// `repeat`, the first and none any more at once. What no request waits for yet is asked for again with
    /// the renewals of leases alone.
    pub fn should_request(&self, owner: &host::Id, repeat: Duration, now: Moment) -> bool {
        let demand = self.unmet_demand(now);
        let is_wanted = 0 < demand.permits;
        let Some(last) = self.last_request_to(owner) else { return is_wanted };
        let is_change =
            is_wanted != (0 < last.demand.permits) || demand.urgency < last.demand.urgency;
        let pause = if is_change { MIN_REQUEST_INTERVAL } else { repeat };
        (is_change || (is_wanted && demand.urgency != IDLE)) && last.at + pause <= now
    }

    /// When a host was last asked, if it was the last one.
    pub fn requested_at(&self, owner: &host::Id) -> Option<Moment> {
        self.last_request_to(owner).map(|last| last.at)
    }

    /// Notes that a host is asked for what is wanted.
    pub fn record_request(&mut self, owner: &host::Id, now: Moment) {
        self.last_request =
            Some(LastRequest { owner: owner.clone(), at: now, demand: self.unmet_demand(now) });
    }

    fn last_request_to(&self, owner: &host::Id) -> Option<&LastRequest> {
        self.last_request.as_ref().filter(|last| last.owner == *owner)
    }

    /// Sets how many requests wait for permits at the owner, over all hosts.
    pub fn set_queue(&mut self, waiting: u32, now: Moment) {
        self.queue = Some((now, waiting));
    }

    /// This host's part of those that wait at the owner, with one more request; all if nothing is known.
    pub fn fraction(&self, now: Moment) -> f64 {
        let own = f64::from(self.demand.permits) + 1.0;
        let fresh = self.queue.filter(|(at, _)| now < *at + QUEUE_LIFETIME);
        fresh.map_or(1.0, |(_, all)| (own / (f64::from(all) + 1.0)).min(1.0))
    }
}
