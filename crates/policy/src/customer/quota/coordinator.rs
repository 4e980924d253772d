//! Grants of tokens for one customer by its quota coordinator.
//!
//! The balance consists of tokens that hosts have transferred. Its bound is the part of the hosts
//! that report to this coordinator, so that two coordinators together store no more than one. A
//! request may be granted beyond the balance only by a coordinator to which a majority has reported
//! for some time, so that coordinators that lose their debt in a crash can't incur it at will.

use std::{collections::BTreeMap, time::Duration};

use types::{host, time::Moment};

use super::{
    decay::Decay,
    message::{Content, Millis, RequestId, millis, tokens},
    sizes::Sizes,
};

/// Time for which a majority must have reported before the balance may become negative. Together with
/// the least time in which another coordinator may get a majority, it is as long as the window of a
/// quota, so that a debt that is lost in a crash is followed by no other one in the same window.
const MATURITY: Duration = Duration::from_millis(6_500);

/// Time for which the answer to a token request is kept, for repeated requests.
const ANSWER_RETENTION: Duration = Duration::from_secs(3);

/// Interval between two updates of the bound.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// Fraction of the bound from which the balance counts as full.
const FULL: f64 = 0.8;

/// Time for which a host counts as one whose token requests are denied.
const DENIED_RETENTION: Duration = Duration::from_secs(1);

/// Time between the next token requests of two hosts that are denied.
const SPREAD_PER_HOST: Duration = Duration::from_millis(4);

/// Longest time for which hosts are told to send no token request.
const MAX_EMPTY: Duration = Duration::from_secs(2);

/// Bounds of the time after which callers are told to retry.
const MIN_AFTER: Duration = Duration::from_millis(100);
const MAX_AFTER: Duration = Duration::from_secs(10);

/// Largest fraction of the balance that is granted in addition to the cost of a request.
const EXTRA_FRACTION: f64 = 0.25;

/// A run of a host.
pub(super) type Run = (host::Id, host::Incarnation);

/// Balance for one customer, and the hosts that report to it.
#[derive(Clone, Debug, Default)]
pub(super) struct Coordinator {
    balance: f64,
    cap: f64,
    /// Fraction of all hosts that report to this coordinator.
    reporting: f64,
    reporters: BTreeMap<host::Id, Reporter>,
    /// Latest run of each host, with its highest total of transfers.
    totals: BTreeMap<host::Id, (host::Incarnation, Millis)>,
    answers: BTreeMap<(Run, RequestId), (Moment, Content)>,
    /// Since when a majority has reported to this coordinator.
    majority_since: Option<Moment>,
    denied: Decay,
    denied_hosts: BTreeMap<host::Id, Moment>,
    updated_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Reporter {
    until: Moment,
    is_confirmed: bool,
}

impl Coordinator {
    /// Tokens that can be granted; negative while a debt is paid off.
    pub(super) fn balance(&self) -> f64 {
        self.balance
    }

    /// Whether the balance has no room for more. Without a majority it stores too little for hosts to
    /// stop transferring.
    pub(super) fn is_full(&self) -> bool {
        self.majority_since.is_some() && FULL * self.cap <= self.balance
    }

    /// Updates the bound of the balance if that is due.
    pub(super) fn update(&mut self, sizes: &Sizes, now: Moment) {
        if now < self.updated_at + UPDATE_INTERVAL {
            return;
        }
        self.updated_at = now;
        self.reporters.retain(|_, reporter| now < reporter.until);
        self.answers.retain(|_, (at, _)| now < *at + ANSWER_RETENTION);
        self.denied_hosts.retain(|_, at| now < *at + DENIED_RETENTION);
        let all = self.reporters.len() as f64;
        let confirmed = self.reporters.values().filter(|reporter| reporter.is_confirmed).count();
        let confirmed = confirmed as f64 / sizes.hosts;
        self.reporting = (all / sizes.hosts).min(1.0);
        self.cap = sizes.coordinator_cap * confirmed.min(1.0)
            + sizes.unconfirmed_cap * (self.reporting - confirmed).max(0.0);
        self.balance = self.balance.min(self.cap);
        let has_majority = 0.5 < confirmed;
        self.majority_since = has_majority.then(|| self.majority_since.unwrap_or(now));
    }

    /// Records a report of a host that was sent at `sent` at the earliest.
    pub(super) fn report(
        &mut self,
        host: &host::Id,
        is_confirmed: bool,
        sent: Moment,
        window: Duration,
    ) {
        let until = sent + window;
        let known = self.reporters.entry(host.clone()).or_insert(Reporter { until, is_confirmed });
        if known.until <= until {
            *known = Reporter { until, is_confirmed };
        }
    }

    /// Adds tokens, up to the bound.
    pub(super) fn credit(&mut self, amount: f64) {
        self.balance = (self.balance + amount).min(self.cap.max(self.balance));
    }

    /// Processes a transfer. Its tokens count only if `is_fresh`, since the sender takes those of an
    /// old one for lost. The first transfer of a run counts up to `most` tokens: the earlier ones may
    /// have been received before this balance was declared.
    pub(super) fn on_transfer(
        &mut self,
        (host, run): (&host::Id, host::Incarnation),
        total: Millis,
        is_fresh: bool,
        most: f64,
    ) -> Content {
        let known = self.totals.entry(host.clone()).or_insert((run, 0));
        if known.0 != run {
            *known = (run, 0);
        }
        let added = tokens(total.saturating_sub(known.1));
        let added = if known.1 == 0 { added.min(most) } else { added };
        known.1 = known.1.max(total);
        let total = known.1;
        if is_fresh {
            self.credit(added);
        }
        Content::Acknowledgement { total, is_full: self.is_full() }
    }

    /// Answers a token request. A repeated one gets the same answer.
    pub(super) fn on_request(
        &mut self,
        run: Run,
        id: RequestId,
        (cost, extra): (Millis, Millis),
        sizes: &Sizes,
        now: Moment,
    ) -> Content {
        let key = (run, id);
        if let Some((_, answer)) = self.answers.get(&key) {
            return *answer;
        }
        let answer = match self.decide(&key.0.0, tokens(cost), tokens(extra), sizes, now) {
            Ok(granted) => Content::Grant { id, tokens: millis(granted).max(cost) },
            Err(denial) => Content::Denial {
                id,
                empty_ms: denial.empty.as_millis() as u32,
                spread_ms: denial.spread.as_millis() as u32,
                after_ms: denial.after.as_millis() as u32,
            },
        };
        self.answers.insert(key, (now, answer));
        answer
    }

    /// Grants a request, and up to `extra` tokens more.
    ///
    /// # Errors
    ///
    /// The request is denied.
    pub(super) fn decide(
        &mut self,
        host: &host::Id,
        cost: f64,
        extra: f64,
        sizes: &Sizes,
        now: Moment,
    ) -> Result<f64, Denial> {
        self.update(sizes, now);
        let may_owe = self.majority_since.is_some_and(|since| since + MATURITY <= now);
        let needed = if may_owe { 0.0 } else { cost };
        if 0.0 < self.balance && needed <= self.balance {
            self.balance -= cost;
            let extra = extra.min(EXTRA_FRACTION * self.balance).max(0.0);
            self.balance -= extra;
            return Ok(cost + extra);
        }
        self.denied.add(cost, now);
        self.denied_hosts.insert(host.clone(), now);
        let missing = (needed - self.balance).max(0.0);
        let rate = sizes.rate * self.reporting.max(1.0 / sizes.hosts);
        let time = |amount: f64, max: Duration| {
            Duration::try_from_secs_f64(amount / rate).unwrap_or(max).min(max)
        };
        Err(Denial {
            empty: time(missing, MAX_EMPTY),
            spread: SPREAD_PER_HOST * self.denied_hosts.len() as u32,
            after: time(missing + self.denied.per_second(now), MAX_AFTER).max(MIN_AFTER),
        })
    }
}

/// When a denied request is likely to be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Denial {
    /// Time for which further token requests are pointless.
    pub(super) empty: Duration,
    /// Time over which hosts spread their next token requests.
    pub(super) spread: Duration,
    /// Time after which the caller is likely to be admitted.
    pub(super) after: Duration,
}
