//! Token bucket that limits loads to the weight store's rate.
//!
//! A load takes a token when it is ordered. An unanswered load may begin up to
//! [`Rules::order_lifetime`] later, so it withholds another token until it is resolved, and takes
//! that token if it turns out to have begun. A few unanswered loads need not withhold one, since
//! the bucket refills at less than the store's full rate. A load on a server where an unanswered
//! load may still begin needs no token: at most one of the two takes effect.

use std::collections::BTreeSet;

use types::{prelude::*, routed::Engine};

use super::{Rules, server_view::Source};

/// Unanswered loads that withhold no token.
const UNCOVERED_UNRESOLVED_LOADS: usize = 1;

/// Fraction of the tokens after the first that only urgent loads may take.
const BACKGROUND_RESERVE: f64 = 0.9;

/// Minimum time to make room for a load, in seconds. Tokens that arrive in that time need not be
/// withheld for the load.
const MIN_ROOM_TIME_S: f64 = 1.0;

/// How soon a load is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// Requests suffer until the model is loaded.
    Urgent,
    /// The load may wait until the store has nothing else to do.
    Background,
}

/// Token bucket of one service's weight store.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Moment,
}

impl Bucket {
    /// Creates an empty bucket, since an earlier planner may have used the tokens.
    pub(super) fn new(rules: &Rules, loads_per_s: f64, now: Moment) -> Bucket {
        let per_second = loads_per_s * rules.store_share;
        Bucket { per_second, burst: rules.burst(loads_per_s), tokens: 0.0, filled_at: now }
    }

    /// Sets the store's rate.
    pub(super) fn set_rate(&mut self, rules: &Rules, loads_per_s: f64) {
        self.per_second = loads_per_s * rules.store_share;
        self.burst = rules.burst(loads_per_s);
    }

    /// Whether a load may start while `withheld` tokens are kept for others.
    fn may_start(&mut self, withheld: usize, urgency: Urgency, now: Moment) -> bool {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        let reserved = match urgency {
            Urgency::Urgent => 0.0,
            Urgency::Background => BACKGROUND_RESERVE * (self.burst - 1.0),
        };
        1.0 + reserved + withheld as f64 <= self.tokens
    }

    /// Returns the tokens, less one, that arrive while room is made for a load.
    fn refill_while_making_room(&self) -> usize {
        (self.per_second * MIN_ROOM_TIME_S - 1.0).max(0.0) as usize
    }

    /// Takes a token for a load.
    pub(super) fn charge(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the token of a load that was refused.
    pub(super) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}

/// Returns how many loads from the weight store may run at once: the mean number at its full rate.
/// More would only slow each other down.
pub(super) fn max_concurrent_loads(engine: &Engine) -> usize {
    (engine.loads_per_s * mean_load_s(engine)).round().max(1.0) as usize
}

/// Returns the mean time of a load from the weight store, in seconds.
fn mean_load_s(engine: &Engine) -> f64 {
    let times = engine.models.iter().map(|model| model.load.as_secs_f64());
    times.sum::<f64>() / engine.models.len().max(1) as f64
}

/// The loads that the weight store can still serve in a plan.
pub(super) struct Allowance<'a> {
    pub(super) bucket: &'a mut Bucket,
    /// Servers on which an unanswered load may still begin.
    pub(super) unresolved: BTreeSet<backend::Id>,
    /// Servers on which room is being made for a load.
    pub(super) reserved: BTreeSet<backend::Id>,
    pub(super) loads_running: usize,
    pub(super) max_concurrent_loads: usize,
    pub(super) now: Moment,
}

impl Allowance<'_> {
    /// Whether a load may start on a server.
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

    /// Withholds a token for a later load on a server.
    pub(super) fn reserve(&mut self, server: &backend::Id, source: Source) {
        if source == Source::Store {
            self.reserved.insert(server.clone());
        }
    }

    /// Starts a load. Returns whether it took a token.
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
