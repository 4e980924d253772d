//! The retry budget that all hosts share.
//!
//! In any span of one window, the arrivals at a service's servers beyond the first of each request
//! stay under `ratio` of its requests and `extra`, over all hosts. Hosts tell each other what they
//! have used, some hundred milliseconds late, and there are two rules.
//!
//! A host that does not hear all others, or not for a whole window yet, keeps to a share: a part of
//! the ratio by its own requests and an equal part of the extra. Such hosts may have spent one
//! after the other, each by the requests of its own window, and two windows side by side hold twice
//! the requests of the better one: hence `ALONE`. What others are known to have used makes the
//! share smaller, so that hosts that stop hearing each other don't spend twice.
//!
//! A host that hears all others keeps to the whole. What it has spent lately, the others have not
//! heard, and they may have spent as much meanwhile: that part counts once for each host. The
//! requests that pay are those of the least window that ended within the last half window, so that
//! whatever window a retry is counted in, one beside it has as many.

mod series;

use types::prelude::*;

use self::series::Series;

/// Part of the extra that is used, for hosts that join, leave or count a moment later.
const MARGIN: f64 = 0.8;

/// Part of the ratio that a host uses by its own requests. Beyond a half, hosts that are asked one
/// after the other overdraw the budget together.
const ALONE: f64 = 0.45;

/// Part of the whole that hosts use which hear each other.
const TOGETHER: f64 = 0.85;

/// Part of what may be used that is kept for requests which are lost without.
const RESERVED: f64 = 0.25;

/// Parts of a window in which requests are counted.
const PARTS: u32 = 100;

/// Time in which what one host has used is known to all that hear it.
pub const KNOWN: Duration = Duration::from_millis(500);

/// The budget's terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries besides, over all hosts.
    pub extra: f64,
    /// The sliding window.
    pub window: Duration,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { ratio: 0.2, extra: 50.0, window: Duration::from_secs(10) }
    }
}

/// How much depends on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The caller can try again by itself.
    Usual,
    /// What was done so far is lost without.
    Great,
}

/// Counts of a service since some start; they only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Used {
    /// Requests.
    pub requests: u64,
    /// Retries.
    pub retries: u64,
}

/// A budget as one host has it, over the last window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Account {
    /// Requests.
    pub requests: u64,
    /// Retries that were paid.
    pub retries: u64,
    /// Retries that were refused since the host's start.
    pub refused: u64,
    /// Retries that may still be made.
    pub left: f64,
    /// Hosts that share the budget.
    pub hosts: u32,
}

/// The hosts that share a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hosts {
    /// All of them, this one among them.
    pub all: u32,
    /// Others that were heard lately.
    pub heard: u32,
}

/// One service's budget on one host.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: Terms,
    requests: Series,
    retries: Series,
    /// What this host has used since its start.
    used: Used,
    /// Retries that were asked for in vain since its start.
    refused: u64,
    others: Others,
}

/// What all other hosts have used, as far as it was told.
#[derive(Clone, Debug)]
struct Others {
    requests: Series,
    retries: Series,
    told: Used,
    /// When it was first told.
    since: Option<Moment>,
}

impl Budget {
    /// A budget by these terms.
    pub fn new(terms: Terms) -> Budget {
        let requests = Series::new(terms.window, terms.window / PARTS);
        let retries = Series::new(terms.window, Duration::ZERO);
        let others = Others {
            requests: requests.clone(),
            retries: retries.clone(),
            told: Used::default(),
            since: None,
        };
        Budget { terms, requests, retries, used: Used::default(), refused: 0, others }
    }

    /// A request has come, whatever becomes of it.
    pub fn request(&mut self, now: Moment) {
        self.used.requests += 1;
        self.requests.add(1, now);
    }

    /// Takes one retry out if there is one left.
    pub fn withdraw(&mut self, need: Need, hosts: Hosts, now: Moment) -> Option<()> {
        if self.left(need, hosts, now) < 1.0 {
            self.refused += 1;
            return None;
        }
        self.used.retries += 1;
        self.retries.add(1, now);
        Some(())
    }

    /// Retries that are left.
    pub fn left(&self, need: Need, hosts: Hosts, now: Moment) -> f64 {
        let kept = match need {
            Need::Usual => 1.0 - RESERVED,
            Need::Great => 1.0,
        };
        if self.hears_all(hosts, now) {
            self.left_together(kept, hosts, now)
        } else {
            self.left_alone(kept, hosts, now)
        }
    }

    /// How it stands.
    pub fn account(&self, hosts: Hosts, now: Moment) -> Account {
        Account {
            requests: self.requests.last(now),
            retries: self.retries.last(now),
            refused: self.refused,
            left: self.left(Need::Great, hosts, now).max(0.0),
            hosts: hosts.all,
        }
    }

    /// What this host has used since its start.
    pub fn used(&self) -> Used {
        self.used
    }

    /// What all other hosts have used together, by sums that only rise.
    pub fn others(&mut self, used: Used, now: Moment) {
        let others = &mut self.others;
        others.since.get_or_insert(now);
        others.requests.add(used.requests.saturating_sub(others.told.requests), now);
        others.retries.add(used.retries.saturating_sub(others.told.retries), now);
        let told = others.told;
        others.told.requests = told.requests.max(used.requests);
        others.told.retries = told.retries.max(used.retries);
    }

    /// Whether what all others have used in the last window is known.
    fn hears_all(&self, hosts: Hosts, now: Moment) -> bool {
        let is_long = |since: Moment| since + self.terms.window + KNOWN <= now;
        hosts.all <= 1 || (hosts.all <= hosts.heard + 1 && self.others.since.is_some_and(is_long))
    }

    fn left_together(&self, kept: f64, hosts: Hosts, now: Moment) -> f64 {
        let whole = self.whole(self.least_requests(now));
        let lately = self.retries.between(now.saturating_sub(KNOWN), now);
        let before = self.retries.last(now) - lately + self.others.retries.last(now);
        (whole * kept - before as f64) / f64::from(hosts.all.max(1)) - lately as f64
    }

    fn left_alone(&self, kept: f64, hosts: Hosts, now: Moment) -> f64 {
        let extra = self.terms.extra / f64::from(hosts.all.max(1));
        let own = self.requests.last(now);
        let share = self.terms.ratio * own as f64 * ALONE + extra * MARGIN;
        let known = self.others.requests.last(now) + own;
        let taken = self.others.retries.last(now) as f64 / self.whole(known);
        share * kept * (1.0 - taken).max(0.0) - self.retries.last(now) as f64
    }

    /// What hosts that hear each other use for so many requests.
    fn whole(&self, requests: u64) -> f64 {
        (self.terms.ratio * requests as f64 + self.terms.extra) * TOGETHER
    }

    /// Requests of the least window that ended within the last half window.
    fn least_requests(&self, now: Moment) -> u64 {
        let part = self.terms.window / PARTS;
        let length = self.terms.window.saturating_sub(KNOWN);
        let windows = (0..=PARTS / 2).map(|parts| {
            let end = now.saturating_sub(part * parts);
            let from = end.saturating_sub(length);
            self.requests.between(from, end) + self.others.requests.between(from, end)
        });
        windows.min().unwrap_or(0)
    }
}
