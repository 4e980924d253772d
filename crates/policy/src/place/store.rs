//! Token bucket that keeps to the weight store's rate.
//!
//! A load is charged when it is ordered. One without an answer may begin up to [`Rules::late`]
//! afterwards, so it holds a token back until it is settled, but for the few that the part of the
//! rate that isn't used leaves room for; it is charged once more if it turns out to have begun. A
//! load at a server where one without an answer may still begin needs no token: at most one of the
//! two takes effect.

use std::collections::BTreeSet;

use types::{prelude::*, routed::Engine};

use super::{Rules, server_view::Source};

/// Loads without an answer that hold no token back.
const UNCOVERED_UNRESOLVED_LOADS: usize = 1;

/// Part of the tokens after the first that only what is pressing may take.
const BACKGROUND_RESERVE: f64 = 0.9;

/// Time that room for a load takes to make at the least, in seconds: tokens that come meanwhile need
/// not be kept for it.
const MIN_ROOM_TIME_S: f64 = 1.0;

/// How soon a load is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// Requests suffer until it is there.
    Urgent,
    /// It may wait until the store has nothing else to do.
    Background,
}

/// Loads that may start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Moment,
}

impl Bucket {
    /// Empty, since a planner before this one may have emptied it.
    pub(super) fn new(rules: &Rules, loads_per_s: f64, now: Moment) -> Bucket {
        let per_second = loads_per_s * rules.store_share;
        Bucket { per_second, burst: rules.burst(loads_per_s), tokens: 0.0, filled: now }
    }

    /// Takes over another rate.
    pub(super) fn set_rate(&mut self, rules: &Rules, loads_per_s: f64) {
        self.per_second = loads_per_s * rules.store_share;
        self.burst = rules.burst(loads_per_s);
    }

    /// Whether a load may start when so many tokens are kept for others.
    fn may_start(&mut self, withheld: usize, urgency: Urgency, now: Moment) -> bool {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        let reserved = match urgency {
            Urgency::Urgent => 0.0,
            Urgency::Background => BACKGROUND_RESERVE * (self.burst - 1.0),
        };
        1.0 + reserved + withheld as f64 <= self.tokens
    }

    /// Tokens that come while room is made, all but one.
    fn refill_while_making_room(&self) -> usize {
        (self.per_second * MIN_ROOM_TIME_S - 1.0).max(0.0) as usize
    }

    /// Charges a load.
    pub(super) fn charge(&mut self) {
        self.tokens -= 1.0;
    }

    /// Gives back the charge of a load that was refused.
    pub(super) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}

/// Loads from the weight store under way at once: as many as run on average at its full rate. More
/// would only slow each other down.
pub(super) fn max_concurrent_loads(engine: &Engine) -> usize {
    (engine.loads_per_s * mean_load_s(engine)).round().max(1.0) as usize
}

/// Seconds that a load from the weight store takes on average.
fn mean_load_s(engine: &Engine) -> f64 {
    let times = engine.models.iter().map(|model| model.load.as_secs_f64());
    times.sum::<f64>() / engine.models.len().max(1) as f64
}

/// Loads that the weight store still has for a plan.
pub(super) struct Allowance<'a> {
    pub(super) bucket: &'a mut Bucket,
    /// Servers at which one without an answer may still begin.
    pub(super) unresolved: BTreeSet<backend::Id>,
    /// Servers at which room is made for one.
    pub(super) reserved: BTreeSet<backend::Id>,
    pub(super) loads_running: usize,
    pub(super) max_concurrent_loads: usize,
    pub(super) now: Moment,
}

impl Allowance<'_> {
    /// Whether a load may start at a server.
    pub(super) fn allows(
        &mut self,
        server: &backend::Id,
        source: Source,
        urgency: Urgency,
    ) -> bool {
        if source != Source::Store || self.unresolved.contains(server) {
            return true;
        }
        let reserved = self.reserved.iter().filter(|reserved| *reserved != server).count();
        let withheld = reserved.saturating_sub(self.bucket.refill_while_making_room())
            + self.unresolved.len().saturating_sub(UNCOVERED_UNRESOLVED_LOADS);
        let most = match urgency {
            Urgency::Urgent => self.max_concurrent_loads,
            Urgency::Background => self.max_concurrent_loads.saturating_sub(1).max(1),
        };
        self.loads_running < most && self.bucket.may_start(withheld, urgency, self.now)
    }

    /// Keeps a load for a server.
    pub(super) fn reserve(&mut self, server: &backend::Id, source: Source) {
        if source == Source::Store {
            self.reserved.insert(server.clone());
        }
    }

    /// Takes a load; whether it was charged.
    pub(super) fn start(&mut self, server: &backend::Id, source: Source) -> bool {
        let store = source == Source::Store;
        let charged = store && !self.unresolved.contains(server);
        self.loads_running += usize::from(store);
        if charged {
            self.bucket.charge();
        }
        charged
    }
}
