//! How much work a server has, as far as this host can know.
//!
//! A host knows its own requests for certain. The requests of other hosts are reported in two ways:
//! by the server, in reports and with its responses, and by the peers, in their digests. Both go
//! stale, so each is weighted by its age.

use std::collections::VecDeque;

use types::prelude::*;

use super::request::Ticket;

/// Assumed age of a server's report when it arrives.
pub const REPORT_LAG: Duration = Duration::from_millis(100);

/// How long a host remembers the times at which it sent requests to a server.
pub const RECENT_WINDOW: Duration = Duration::from_millis(1_500);

/// Age at which reports and digests are ignored.
pub const LOAD_MAX_AGE: Duration = Duration::from_secs(2);

/// Age in milliseconds at which a report or digest has lost half of its weight.
const HALF_WEIGHT_AGE_MS: f64 = 20.0;

/// Factors by which the estimated number of hosts contending for a server grows while the server
/// has more requests than slots, and shrinks while it has fewer.
const CONTENDERS_GROWTH: f64 = 1.3;
const CONTENDERS_DECAY: f64 = 1.1;

/// A request of this host at the server.
#[derive(Clone, Copy, Debug)]
struct OwnRequest {
    ticket: Ticket,
    sent_at: Moment,
    prefill: u32,
    memory: u32,
}

/// Requests of other hosts, derived from the server's newest report.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    at: Moment,
    others: u32,
}

/// KV memory in tokens, from the server's newest report.
#[derive(Clone, Copy, Debug)]
struct Memory {
    at: Moment,
    used: u64,
    total: u64,
}

#[derive(Clone, Debug)]
pub struct Load {
    own: Vec<OwnRequest>,
    /// When requests were sent lately. A report that arrives now may not include the newest of
    /// them.
    recent_sends: VecDeque<Moment>,
    reported: Option<ReportedLoad>,
    memory: Option<Memory>,
    peers: u32,
    peers_prefill: u64,
    full_until: Moment,
    contenders: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            own: Vec::new(),
            recent_sends: VecDeque::new(),
            reported: None,
            memory: None,
            peers: 0,
            peers_prefill: 0,
            full_until: Duration::ZERO,
            contenders: 1.0,
        }
    }
}

impl Load {
    /// Adds a request that is sent, with the prompt tokens to prefill and the KV memory to fill, in
    /// tokens.
    pub fn sent(&mut self, ticket: Ticket, prefill: u32, memory: u32, now: Moment) {
        self.own.push(OwnRequest { ticket, sent_at: now, prefill, memory });
        self.recent_sends.push_back(now);
        self.expire_recent_sends(now);
    }

    /// Records that the request's prompt is prefilled.
    pub fn prefilled(&mut self, ticket: Ticket) {
        if let Some(own) = self.own.iter_mut().find(|own| own.ticket == ticket) {
            own.prefill = 0;
        }
    }

    /// Removes a request.
    pub fn ended(&mut self, ticket: Ticket) {
        self.own.retain(|own| own.ticket != ticket);
    }

    /// Applies the server's count of its requests, as of `lag` ago.
    pub fn report(&mut self, running: u32, waiting: u32, lag: Duration, now: Moment) {
        let at = now.saturating_sub(lag);
        if self.reported.is_some_and(|reported| at < reported.at) {
            return;
        }
        self.expire_recent_sends(now);
        let since = self.sent_since(at) as usize;
        let own = self.own.len().saturating_sub(since) as u32;
        let others = running.saturating_add(waiting).saturating_sub(own);
        self.reported = Some(ReportedLoad { at, others });
    }

    /// Number of requests sent after a moment, which must not be longer ago than [`RECENT_WINDOW`].
    pub fn sent_since(&self, at: Moment) -> u32 {
        (self.recent_sends.len() - self.recent_sends.partition_point(|sent| *sent <= at)) as u32
    }

    /// When the server last reported its requests.
    pub fn reported_at(&self) -> Option<Moment> {
        self.reported.map(|reported| reported.at)
    }

    /// Applies the server's report of its KV memory.
    pub fn memory(&mut self, used: u64, total: u64, now: Moment) {
        self.memory = Some(Memory { at: now.saturating_sub(REPORT_LAG), used, total });
    }

    /// Records that the server refused a request because it is full.
    pub fn mark_full(&mut self, until: Moment) {
        self.full_until = self.full_until.max(until);
    }

    /// Adds to and subtracts from the requests and prefill tokens of peers.
    pub fn peers(&mut self, added: (u32, u64), removed: (u32, u64)) {
        self.peers = self.peers.saturating_add(added.0).saturating_sub(removed.0);
        self.peers_prefill = self.peers_prefill.saturating_add(added.1).saturating_sub(removed.1);
    }

    /// Updates the estimated number of hosts that contend for the server, after new digests of
    /// peers. Contending hosts see the same free slot at the same moment, and each other's requests
    /// only later.
    pub fn update_contenders(&mut self, slots: u32, hosts: u32) {
        let all = self.own().saturating_add(self.peers);
        if slots < all {
            self.contenders *= CONTENDERS_GROWTH;
        } else if all < slots {
            self.contenders /= CONTENDERS_DECAY;
        }
        self.contenders = self.contenders.clamp(1.0, f64::from(hosts.max(1)));
    }

    /// Estimated number of hosts that contend for the server.
    pub fn contenders(&self) -> f64 {
        self.contenders
    }

    /// Requests of this host.
    pub fn own(&self) -> u32 {
        self.own.len() as u32
    }

    /// Requests of all hosts, where the peers' digests are as of `peers_at`.
    pub fn in_flight(&self, peers_at: Option<Moment>, now: Moment) -> f64 {
        f64::from(self.own()) + self.others(peers_at, now)
    }

    /// Prompt tokens that wait to be prefilled.
    pub fn prefill(&self) -> u64 {
        self.own_prefill().saturating_add(self.peers_prefill)
    }

    /// Prompt tokens of this host's requests that wait to be prefilled.
    pub fn own_prefill(&self) -> u64 {
        self.own.iter().map(|own| u64::from(own.prefill)).sum()
    }

    /// Part of the KV memory that is in use once `added` tokens are added; `None` if the server
    /// doesn't report it.
    pub fn memory_used(&self, added: u32) -> Option<f64> {
        let memory = self.memory.filter(|memory| 0 < memory.total)?;
        let since = self.own.iter().filter(|own| memory.at < own.sent_at);
        let since: u64 = since.map(|own| u64::from(own.memory)).sum();
        let used = memory.used.saturating_add(since).saturating_add(u64::from(added));
        Some(used as f64 / memory.total as f64)
    }

    /// Whether the server has refused a request as full a short time ago.
    pub fn is_full(&self, now: Moment) -> bool {
        now < self.full_until
    }

    fn others(&self, peers_at: Option<Moment>, now: Moment) -> f64 {
        let fresh = |at: &Moment| now < *at + LOAD_MAX_AGE;
        let reported = self.reported.filter(|reported| fresh(&reported.at));
        let reported = reported
            .map_or((0.0, 0.0), |reported| (weight(reported.at, now), f64::from(reported.others)));
        let peers = peers_at.filter(fresh);
        let peers = peers.map_or((0.0, 0.0), |at| (weight(at, now), f64::from(self.peers)));
        let sum = reported.0 + peers.0;
        if sum == 0.0 { 0.0 } else { (reported.0 * reported.1 + peers.0 * peers.1) / sum }
    }

    fn expire_recent_sends(&mut self, now: Moment) {
        while self.recent_sends.front().is_some_and(|sent| *sent + RECENT_WINDOW < now) {
            self.recent_sends.pop_front();
        }
    }
}

fn weight(at: Moment, now: Moment) -> f64 {
    1.0 / (now.saturating_sub(at).as_secs_f64() * 1000.0 + HALF_WEIGHT_AGE_MS)
}
