//! Grants of permits for one server by its owner.
//!
//! The token bucket of an owner fills at the rate of the shares that the owner holds. Permits go to
//! the most urgent request first, then to the host that was granted one longest ago. Two hosts that
//! both regard themselves as owner hold different shares, so together they grant no more than one
//! would.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use types::{host, routed::Rate, time::Moment};

use super::{
    bucket::Bucket,
    lease::Pool,
    message::{IDLE, Request},
};

/// Fraction of a limit that is granted. The rest is for requests that were granted in one window
/// and arrive in the next.
const GRANTED_FRACTION: f64 = 0.96;

/// Lowest rate, in requests per second, at which permits are granted. A server with a limit of zero
/// still gets requests at this rate, so that an answer can show when the limit has ended.
const MIN_RATE: f64 = 0.2;

/// Capacity of the token bucket: this many requests, and [`BURST_SECONDS`] of the limit besides.
const BURST_REQUESTS: f64 = 2.0;
const BURST_SECONDS: f64 = 0.25;

/// Requests sent before the limit was known that need no compensation: this many, and
/// [`GRACE_SECONDS`] of the limit besides. Requests beyond these are charged to the token bucket.
const GRACE_REQUESTS: f64 = 2.0;
const GRACE_SECONDS: f64 = 3.0;

/// Longest time, in seconds, for which nothing is granted while such a charge is paid off.
const MAX_DEBT_SECONDS: f64 = 3.0;

/// Time after which a permit request that was not repeated expires: a permit must still be of use
/// when it arrives.
const REQUEST_LIFETIME: Duration = Duration::from_secs(1);

/// Permit requests to this host for one server, and the shares and tokens to grant from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Owner {
    pool: Pool,
    bucket: Bucket,
    pending: BTreeMap<host::Id, Pending>,
    /// Requests that each host sent just before it knew of the limit.
    sent_before: BTreeMap<host::Id, u32>,
    /// Number of permits granted so far.
    turn: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Pending {
    wanted: u32,
    urgency: u8,
    at: Moment,
    /// Value of [`Owner::turn`] when the host was last granted a permit; lower goes first.
    turn: u64,
    /// Permits that the host had not received when it sent its last request, each with when it was
    /// granted.
    unacknowledged: VecDeque<(Moment, u32)>,
}

/// Host and the number of permits granted to it.
pub type Permits = (host::Id, u32);

impl Owner {
    /// Number of shares that this host holds now.
    pub fn shares(&self, now: Moment) -> u32 {
        self.pool.len(now)
    }

    /// Processes a permit request. `echo` is the latest clock of this host that the sender has
    /// read.
    pub fn on_request(
        &mut self,
        from: &host::Id,
        request: &Request,
        echo: Moment,
        limit: Rate,
        now: Moment,
    ) {
        if request.lease_ms != 0 {
            let length = Duration::from_millis(request.lease_ms.into());
            self.pool.borrow(from, echo, length, request.hosts, now);
        }
        self.charge_sent_before(from, request.sent_before, limit, now);
        let pending = self.pending.entry(from.clone()).or_default();
        pending.unacknowledged.retain(|(at, _)| echo < *at);
        let unacknowledged: u32 = pending.unacknowledged.iter().map(|(_, permits)| permits).sum();
        pending.wanted = request.wanted.saturating_sub(unacknowledged);
        (pending.urgency, pending.at) = (request.urgency, now);
    }

    /// Charges the requests that a host sent before it knew of the limit, less the grace.
    fn charge_sent_before(&mut self, from: &host::Id, requests: u32, limit: Rate, now: Moment) {
        let known = self.sent_before.get(from).copied().unwrap_or(0);
        if requests <= known {
            return;
        }
        let grace = GRACE_REQUESTS + GRACE_SECONDS * rate(limit);
        let debt = |sent_before: &BTreeMap<host::Id, u32>| {
            (f64::from(sent_before.values().sum::<u32>()) - grace).max(0.0)
        };
        let charged = debt(&self.sent_before);
        self.sent_before.insert(from.clone(), requests);
        self.bucket.charge(debt(&self.sent_before) - charged, MAX_DEBT_SECONDS * rate(limit), now);
    }

    /// Number of requests of all hosts that wait for permits.
    pub fn waiting(&self, now: Moment) -> u32 {
        let waiting = self.live(now).filter(|(_, pending)| pending.urgency != IDLE);
        waiting.map(|(_, pending)| pending.wanted).sum()
    }

    /// Grants the permits that the token bucket holds. `hosts` is the number of hosts that this
    /// host counts.
    pub fn grant(&mut self, limit: Rate, hosts: u32, now: Moment) -> Vec<Permits> {
        self.pool.expire(now);
        let shares = self.pool.len(now);
        let hosts = hosts.max(self.pool.hosts(now)).max(shares).max(1);
        let fraction = f64::from(shares) / f64::from(hosts);
        let rate = rate(limit);
        let size = (BURST_REQUESTS + BURST_SECONDS * rate) * fraction;
        self.bucket.adjust(rate * GRANTED_FRACTION * fraction, size, now);
        let mut granted: BTreeMap<host::Id, u32> = BTreeMap::new();
        while let Some(host) = self.next(now)
            && self.bucket.take(now)
        {
            self.turn += 1;
            if let Some(pending) = self.pending.get_mut(&host) {
                pending.wanted -= 1;
                pending.turn = self.turn;
                pending.unacknowledged.push_back((now, 1));
            }
            *granted.entry(host).or_default() += 1;
        }
        granted.into_iter().collect()
    }

    /// Returns the host that is granted the next permit.
    fn next(&self, now: Moment) -> Option<host::Id> {
        let waiting = self.live(now).filter(|(_, pending)| 0 < pending.wanted);
        waiting
            .min_by_key(|(_, pending)| (pending.urgency, pending.turn))
            .map(|(host, _)| host.clone())
    }

    /// Forgets the requests that hosts sent before the previous change of the limit.
    pub fn limit_changed(&mut self) {
        self.sent_before.clear();
    }

    /// Drops expired permit requests.
    pub fn expire(&mut self, now: Moment) {
        self.pending.retain(|_, pending| now < pending.at + REQUEST_LIFETIME);
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = (&host::Id, &Pending)> {
        self.pending.iter().filter(move |(_, pending)| now < pending.at + REQUEST_LIFETIME)
    }
}

fn rate(limit: Rate) -> f64 {
    limit.as_f64().max(MIN_RATE)
}
