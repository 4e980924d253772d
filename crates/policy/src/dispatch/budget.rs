//! The retry budget that all hosts share.
//!
//! In any span of one window, the arrivals at a service's servers beyond the first of each request
//! stay under `ratio` times its requests plus `extra`, over all hosts. Each host keeps to a share
//! that it computes from its own requests and the number of hosts that it knows, so that the sum
//! holds regardless of which messages hosts receive from each other.
//!
//! Requests pay for retries in the window in which a retry is counted, or in the one before it. A
//! host's share of the ratio has two parts. The steady part is based on the smallest of its windows
//! that ended within the last one: the window before the one in which a retry is counted has at
//! least as many requests. The recent part is based on its last window, which may overlap both of
//! these windows, so it counts twice. With the sum of the steady part and twice the recent part at
//! one or less, the hosts' shares add up to no more than the ratio, also where the requests reach
//! one host after the other.
//!
//! A retry counts from its payment until it can't arrive any more, and a window from then on. So a
//! retry that waits for a server or a connection, or was delayed while its host was frozen, is
//! accounted for whenever it arrives.
//!
//! The extra is shared equally. An earlier run of a host may have spent its share just before its
//! end without any record of it, so a restarted host has none for one window. A host may lend what
//! it doesn't need of its share ([`loan`]).

pub mod loan;

mod series;

use types::prelude::*;

use self::{
    loan::{ARRIVAL_LIMIT, Loans},
    series::Series,
};

/// Part of the extra that is used. The rest allows for hosts that join, leave or count a moment
/// later.
const EXTRA_MARGIN: f64 = 0.8;

/// Share of the ratio that a host takes for the requests in its smallest window.
const STEADY_PART: f64 = 0.45;

/// Share of the ratio that a host takes for the requests in its last window.
const RECENT_PART: f64 = 0.25;

/// Part of the share that is reserved for retries with [`Need::High`].
const RESERVED_PART: f64 = 0.25;

/// Number of parts into which a window is divided to count requests.
const WINDOW_PARTS: u32 = 100;

/// Number of retries left below which a host borrows more.
const LOW_RETRIES: f64 = 3.0;

/// How long after a retry was last requested a host still borrows.
const DEMAND_MEMORY: Duration = Duration::from_millis(250);

/// Part of the retries left to a host that it lends in one loan.
const LEND_PART: f64 = 0.5;

/// Part of a window by which the smallest one is shortened: callers sent a request up to this long
/// before it was counted, and windows begin between two parts.
const WINDOW_SHORTENING: f64 = 0.05;

/// Limits of a service's retry budget, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition, in each window.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetConfig {
    fn default() -> RetryBudgetConfig {
        RetryBudgetConfig { ratio: 0.2, extra: 50.0, window: Duration::from_secs(10) }
    }
}

/// How much depends on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The caller can retry by itself.
    Normal,
    /// The work done so far is lost without a retry.
    High,
}

/// Requests and retries of a service since the start of the host. Both only increase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryTotals {
    /// Requests that have arrived at the host.
    pub requests: u64,
    /// Retries that were paid, with the host's own share or a loan.
    pub retries: u64,
}

/// State of a service's budget on one host, over the last window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetStatus {
    /// Requests that have arrived at the host.
    pub requests: u64,
    /// Retries that have arrived at a server, or can no longer arrive.
    pub retries: u64,
    /// Retries that were paid and may still arrive.
    pub open: u64,
    /// Retries refused since the host's start.
    pub refused: u64,
    /// Retries that may still be made.
    pub left: f64,
    /// Hosts that share the budget.
    pub hosts: u32,
}

/// How a retry that may still arrive was paid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payment {
    /// From the host's own share.
    Own,
    /// With a loan, which its lender accounts for.
    Borrowed,
}

/// A host's share of the extra retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extra {
    /// Hosts that share the extra equally.
    pub hosts: u32,
    /// From when on this run of the host has its share, on the host's clock; `None` while the run
    /// isn't registered.
    pub available_from: Option<Moment>,
}

/// One service's retry budget on one host.
#[derive(Clone, Debug)]
pub struct Budget {
    config: RetryBudgetConfig,
    requests: Series,
    /// Retries that have arrived, or can no longer arrive.
    retries: Series,
    /// Retries that were paid and may still arrive.
    open: u64,
    totals: RetryTotals,
    /// Retries refused since the host's start.
    refused: u64,
    /// When a retry was last requested.
    last_requested: Option<Moment>,
    /// Loans from other hosts.
    borrowed: Loans,
    /// Loans to other hosts, until they no longer count.
    lent: Loans,
}

impl Budget {
    /// Creates a budget without requests or retries.
    pub fn new(config: RetryBudgetConfig) -> Budget {
        let requests = Series::new(config.window, config.window / WINDOW_PARTS);
        let retries = Series::new(config.window, Duration::ZERO);
        Budget {
            config,
            requests,
            retries,
            open: 0,
            totals: RetryTotals::default(),
            refused: 0,
            last_requested: None,
            borrowed: Loans::default(),
            lent: Loans::default(),
        }
    }

    /// Counts a request that has arrived, whether or not it is served.
    pub fn request(&mut self, now: Moment) {
        self.totals.requests += 1;
        self.requests.add(1, now);
    }

    /// Pays for a retry that is sent at once, from this host's share or a loan. Returns `None` if
    /// none is left.
    pub fn pay(&mut self, need: Need, extra: Extra, now: Moment) -> Option<Payment> {
        let own = self.take_own(need, extra, now);
        let payment = own.or_else(|| self.borrowed.take(now).map(|()| Payment::Borrowed));
        self.count_retry(payment)
    }

    /// Returns whether a retry that waits for the budget can be paid now. Other hosts are asked for a
    /// loan as for one that is refused.
    pub fn request_retry(&mut self, need: Need, extra: Extra, now: Moment) -> bool {
        self.last_requested = Some(now);
        1.0 <= self.left(need, extra, now)
    }

    /// Pays for a retry that waits, from this host's own share only.
    pub fn reserve(&mut self, need: Need, extra: Extra, now: Moment) -> Option<Payment> {
        let payment = self.take_own(need, extra, now);
        self.count_retry(payment)
    }

    /// Counts a retry that was paid or refused.
    fn count_retry(&mut self, payment: Option<Payment>) -> Option<Payment> {
        match payment {
            Some(_) => self.totals.retries += 1,
            None => self.refused += 1,
        }
        payment
    }

    fn take_own(&mut self, need: Need, extra: Extra, now: Moment) -> Option<Payment> {
        self.last_requested = Some(now);
        let has_left = 1.0 <= self.own_left(need, extra, now);
        self.open += u64::from(has_left);
        has_left.then_some(Payment::Own)
    }

    /// Records that a paid retry has arrived, or can no longer arrive.
    pub fn arrived(&mut self, payment: Payment, now: Moment) {
        if payment == Payment::Own {
            self.open = self.open.saturating_sub(1);
            self.retries.add(1, now);
        }
    }

    /// Records that a paid retry was not sent and is not going to be.
    pub fn refund(&mut self, payment: Payment) {
        if payment == Payment::Own {
            self.open = self.open.saturating_sub(1);
        }
    }

    /// Whether all payments are within this host's share, which may have shrunk since.
    pub fn is_covered(&self, extra: Extra, now: Moment) -> bool {
        0.0 <= self.own_left(Need::High, extra, now)
    }

    /// Lends at most `wanted` retries, and returns how many.
    pub fn lend(&mut self, wanted: u32, extra: Extra, now: Moment) -> u32 {
        let spare = self.own_left(Need::Normal, extra, now).max(0.0) * LEND_PART;
        let lent = wanted.min(spare as u32);
        self.lent.expire(now);
        self.lent.add(lent, now + ARRIVAL_LIMIT + self.config.window);
        lent
    }

    /// Adds a loan of another host, which is valid until `until`.
    pub fn borrow(&mut self, count: u32, until: Moment, now: Moment) {
        self.borrowed.expire(now);
        self.borrowed.add(count, until);
    }

    /// Whether a retry was requested lately and few are left, so that the host should borrow.
    pub fn is_short(&self, extra: Extra, now: Moment) -> bool {
        let is_wanted = self.last_requested.is_some_and(|at| now < at + DEMAND_MEMORY);
        is_wanted && self.left(Need::Normal, extra, now) < LOW_RETRIES
    }

    /// Retries that are left, including borrowed ones.
    pub fn left(&self, need: Need, extra: Extra, now: Moment) -> f64 {
        let borrowed = f64::from(self.borrowed.count(now));
        self.own_left(need, extra, now).max(0.0) + borrowed
    }

    /// What is left of this host's own share; negative if the share has shrunk.
    fn own_left(&self, need: Need, extra: Extra, now: Moment) -> f64 {
        let usable = match need {
            Need::Normal => 1.0 - RESERVED_PART,
            Need::High => 1.0,
        };
        let used = (self.retries.last(now) + self.open) as f64 + f64::from(self.lent.count(now));
        self.share(extra, now) * usable - used
    }

    /// State of the budget, over the last window.
    pub fn status(&self, extra: Extra, now: Moment) -> RetryBudgetStatus {
        RetryBudgetStatus {
            requests: self.requests.last(now),
            retries: self.retries.last(now),
            open: self.open,
            refused: self.refused,
            left: self.left(Need::High, extra, now),
            hosts: extra.hosts,
        }
    }

    /// Requests and retries of this host since its start.
    pub fn totals(&self) -> RetryTotals {
        self.totals
    }

    /// Retries that this host may use in a window.
    fn share(&self, extra: Extra, now: Moment) -> f64 {
        let steady = STEADY_PART * self.least_requests(now) as f64;
        let recent = RECENT_PART * self.requests.last(now) as f64;
        let is_due = extra.available_from.is_some_and(|from| from <= now);
        let part = self.config.extra * EXTRA_MARGIN / f64::from(extra.hosts.max(1));
        self.config.ratio * (steady + recent) + if is_due { part } else { 0.0 }
    }

    /// Requests in the smallest window that ended within the last one.
    fn least_requests(&self, now: Moment) -> u64 {
        let part = self.config.window / WINDOW_PARTS;
        let length = self.config.window.mul_f64(1.0 - WINDOW_SHORTENING);
        let windows = (0..=WINDOW_PARTS).map(|parts| {
            let end = now.checked_sub(part * parts)?;
            let from = end.saturating_sub(length);
            Some(self.requests.between(from, end.saturating_sub(part)))
        });
        windows.map(Option::unwrap_or_default).min().unwrap_or(0)
    }
}
