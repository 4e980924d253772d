//! Demand for permits of one server's quota, and the permits that this host holds.

use std::{collections::VecDeque, time::Duration};

use types::{host, time::Moment};

use super::{lease::Share, message::IDLE};

/// Time for which a permit may be used, counted from the request for it.
const PERMIT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time for which a request that found no permit counts as demand.
const MISS_LIFETIME: Duration = Duration::from_millis(300);

/// Age at which the length of the owner's queue is no longer used.
const QUEUE_LIFETIME: Duration = Duration::from_secs(1);

/// Time after a change of the limit in which the number of requests sent before it is reported to
/// owners.
const REPORT_SENT_BEFORE: Duration = Duration::from_secs(3);

/// Shortest interval between two permit requests.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Permits that a host could use on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of permits.
    pub permits: u32,
    /// Priority of the most urgent request that needs one; 0 is the most urgent.
    pub urgency: u8,
}

/// Quota of one server on the side of a host that sends requests there.
#[derive(Clone, Debug, Default)]
pub struct Client {
    /// Share of the quota that this host lends to owners.
    pub share: Share,
    permits: VecDeque<Moment>,
    demand: Demand,
    last_miss: Option<Moment>,
    queue: Option<(Moment, u32)>,
    sent_before: Option<(Moment, u32)>,
    last_request: Option<LastRequest>,
}

/// Last permit request that was sent.
#[derive(Clone, Debug)]
struct LastRequest {
    owner: host::Id,
    at: Moment,
    /// Permits that were requested and have not been granted yet.
    demand: Demand,
}

impl Client {
    /// Whether there is a permit that has not expired.
    pub fn has_permit(&self, now: Moment) -> bool {
        self.permits.back().is_some_and(|until| now < *until)
    }

    /// Number of permits that have not expired.
    pub fn permits(&self, now: Moment) -> u32 {
        self.permits.iter().filter(|until| now < **until).count() as u32
    }

    /// Uses up the permit that expires first; returns whether there was one.
    pub fn use_permit(&mut self, now: Moment) -> bool {
        self.expire(now);
        self.permits.pop_front().is_some()
    }

    /// Adds permits that were requested at `requested_at`. Returns how many of them have expired
    /// already.
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

    /// Drops expired permits and returns their number.
    pub fn expire(&mut self, now: Moment) -> u32 {
        let lapsed = self.permits.partition_point(|until| *until <= now);
        self.permits.drain(..lapsed);
        lapsed as u32
    }

    /// Sets the permits that waiting requests could use.
    pub fn set_demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// Records that a request found no permit.
    pub fn permit_missing(&mut self, now: Moment) {
        self.last_miss = Some(now);
    }

    /// Sets how many requests were sent just before the limit changed.
    pub fn limit_changed(&mut self, sent_before: u32, now: Moment) {
        self.sent_before = Some((now, sent_before));
    }

    /// Requests sent before the last change of the limit; 0 once the number need not be reported to
    /// owners any more.
    pub fn sent_before(&self, now: Moment) -> u32 {
        self.sent_before
            .filter(|(at, _)| now < *at + REPORT_SENT_BEFORE)
            .map_or(0, |(_, sent_before)| sent_before)
    }

    /// Returns the permits to request now: the demand less the permits at hand, or one permit if no
    /// request waits and one found none a short time ago.
    pub fn unmet_demand(&self, now: Moment) -> Demand {
        let Demand { permits, urgency } = self.demand;
        let available = self.permits(now);
        if 0 < permits {
            return Demand { permits: permits.saturating_sub(available), urgency };
        }
        let has_missed = self.last_miss.is_some_and(|at| now < at + MISS_LIFETIME);
        Demand { permits: u32::from(has_missed && available == 0), urgency: IDLE }
    }

    /// Whether a permit request to an owner is due now. While requests wait, it is repeated at the
    /// interval `repeat`. When the first permit is needed, none is needed any more, or the urgency
    /// rises, it is due at once, but not within [`MIN_REQUEST_INTERVAL`] of the last one. Permits
    /// that no request waits for yet are requested again only with the renewals of leases.
    pub fn should_request(&self, owner: &host::Id, repeat: Duration, now: Moment) -> bool {
        let demand = self.unmet_demand(now);
        let is_wanted = 0 < demand.permits;
        let Some(last) = self.last_request_to(owner) else { return is_wanted };
        let is_change =
            is_wanted != (0 < last.demand.permits) || demand.urgency < last.demand.urgency;
        let pause = if is_change { MIN_REQUEST_INTERVAL } else { repeat };
        (is_change || (is_wanted && demand.urgency != IDLE)) && last.at + pause <= now
    }

    /// When permits were last requested, if that was from this owner.
    pub fn requested_at(&self, owner: &host::Id) -> Option<Moment> {
        self.last_request_to(owner).map(|last| last.at)
    }

    /// Records a permit request to an owner for the unmet demand.
    pub fn record_request(&mut self, owner: &host::Id, now: Moment) {
        self.last_request =
            Some(LastRequest { owner: owner.clone(), at: now, demand: self.unmet_demand(now) });
    }

    fn last_request_to(&self, owner: &host::Id) -> Option<&LastRequest> {
        self.last_request.as_ref().filter(|last| last.owner == *owner)
    }

    /// Sets how many requests of all hosts wait for permits at the owner.
    pub fn set_queue(&mut self, waiting: u32, now: Moment) {
        self.queue = Some((now, waiting));
    }

    /// Fraction of the requests waiting at the owner that are this host's, if this host had one
    /// more; 1 if the length of the queue is not known.
    pub fn fraction(&self, now: Moment) -> f64 {
        let own = f64::from(self.demand.permits) + 1.0;
        let fresh = self.queue.filter(|(at, _)| now < *at + QUEUE_LIFETIME);
        fresh.map_or(1.0, |(_, all)| (own / (f64::from(all) + 1.0)).min(1.0))
    }
}
