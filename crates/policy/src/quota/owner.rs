//! The host that grants requests for one server.
//!
//! Its token bucket fills by the shares that it holds. Permits go to the most urgent request first, then to
//! the host that has waited longest for its turn. Two hosts that both believe to be the owner hold different
//! shares, so together they grant no more than one would.

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

/// Part of a limit that is granted. The rest is for requests that were granted in one window and
/// arrive in the next.
const GRANTED_FRACTION: f64 = 0.96;

/// Rate at which a server is tried that takes none, so that an answer can tell when that is over.
const MIN_RATE: f64 = 0.2;

/// Size of the bucket: requests, and seconds of the limit besides.
const BURST_REQUESTS: f64 = 2.0;
const BURST_SECONDS: f64 = 0.25;

/// Requests before the news of a limit that leave room for the limit afterwards: requests, and seconds of
/// the limit besides. What goes beyond is paid back first.
const GRACE_REQUESTS: f64 = 2.0;
const GRACE_SECONDS: f64 = 3.0;

/// Longest time for which nothing is granted while that is paid back.
const MAX_DEBT_SECONDS: f64 = 3.0;

/// Time after which an ask that was not repeated is over: a permit must still be of use.
const REQUEST_LIFETIME: Duration = Duration::from_secs(1);

/// The grants of one server's quota by this host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Owner {
    pool: Pool,
    bucket: Bucket,
    pending: BTreeMap<host::Id, Pending>,
    /// Requests that each host sent just before the news.
    sent_before: BTreeMap<host::Id, u32>,
    turn: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Pending {
    wanted: u32,
    urgency: u8,
    at: Moment,
    /// Turn of its last permit.
    turn: u64,
    /// Permits that the host had not read of when it last asked.
    unacknowledged: VecDeque<(Moment, u32)>,
}

/// Permits for a host.
pub type Permits = (host::Id, u32);

impl Owner {
    /// Shares that this host holds now.
    pub fn shares(&self, now: Moment) -> u32 {
        self.pool.len(now)
    }

    /// Takes in an ask by a host that has read this host's clock up to then.
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
        let asked = self.pending.entry(from.clone()).or_default();
        asked.unacknowledged.retain(|(at, _)| echo < *at);
        let unacknowledged: u32 = asked.unacknowledged.iter().map(|(_, permits)| permits).sum();
        asked.wanted = request.wanted.saturating_sub(unacknowledged);
        (asked.urgency, asked.at) = (request.urgency, now);
    }

    /// Counts requests that a host sent before it learnt of the limit.
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

    /// Requests that wait for permits, over all hosts.
    pub fn waiting(&self, now: Moment) -> u32 {
        let waiting = self.live(now).filter(|(_, asked)| asked.urgency != IDLE);
        waiting.map(|(_, asked)| asked.wanted).sum()
    }

    /// Grants what the bucket holds. `hosts` is how many this host counts.
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
            if let Some(asked) = self.pending.get_mut(&host) {
                asked.wanted -= 1;
                asked.turn = self.turn;
                asked.unacknowledged.push_back((now, 1));
            }
            *granted.entry(host).or_default() += 1;
        }
        granted.into_iter().collect()
    }

    /// Whose turn it is.
    fn next(&self, now: Moment) -> Option<host::Id> {
        let waiting = self.live(now).filter(|(_, asked)| 0 < asked.wanted);
        waiting.min_by_key(|(_, asked)| (asked.urgency, asked.turn)).map(|(host, _)| host.clone())
    }

    /// Forgets what hosts sent before the last change of the limit.
    pub fn limit_changed(&mut self) {
        self.sent_before.clear();
    }

    /// Drops asks that are over.
    pub fn expire(&mut self, now: Moment) {
        self.pending.retain(|_, asked| now < asked.at + REQUEST_LIFETIME);
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = (&host::Id, &Pending)> {
        self.pending.iter().filter(move |(_, asked)| now < asked.at + REQUEST_LIFETIME)
    }
}

fn rate(limit: Rate) -> f64 {
    limit.as_f64().max(MIN_RATE)
}
