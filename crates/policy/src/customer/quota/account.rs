//! One customer's quota as one host keeps it: the local balance, and transfers to coordinators.

use std::{collections::BTreeMap, time::Duration};

use types::{customer::Quota, host, time::Moment};

use super::{
    coordinator::{Coordinator, Denial},
    decay::Decay,
    message::{Content, Millis, millis, tokens},
    sizes::{EXTRA_SECONDS, Sizes},
};

/// Time after which an unacknowledged transfer is sent again.
const REPEAT_AFTER: Duration = Duration::from_millis(100);

/// Least interval between two reports to a coordinator whose balance is full.
const FULL_INTERVAL: Duration = Duration::from_millis(500);

/// Seconds of its own demand that a host keeps instead of transferring it, but no more than it refills
/// in that time, so that there is room for what it refills between two transfers.
const KEPT_SECONDS: f64 = 0.05;

/// Time after which tokens in addition to the cost of a request are requested again.
const EXTRA_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after the last denied request for which a customer counts as over its quota.
const OVER_RETENTION: Duration = Duration::from_secs(5);

/// State of one customer's quota on this host.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) quota: Quota,
    pub(super) sizes: Sizes,
    /// Index of the hash bucket, which determines the coordinator.
    pub(super) bucket: usize,
    /// This host's balance as the coordinator.
    pub(super) coordinator: Coordinator,
    local: f64,
    filled: Moment,
    demand: Decay,
    admitted: Decay,
    links: BTreeMap<host::Id, Link>,
    /// When more tokens than a request costs were requested, while that is not answered.
    extra_at: Option<Moment>,
    empty: Option<Empty>,
    denied_at: Option<Moment>,
    is_over: bool,
}

/// Transfers from this host to a run of a coordinator.
#[derive(Clone, Debug, Default)]
struct Link {
    run: host::Incarnation,
    sent: Millis,
    acknowledged: Millis,
    sent_at: Option<Moment>,
    /// Whether the latest report was not acknowledged yet.
    is_open: bool,
    is_full: bool,
    /// Whether the coordinator's balance has room again, so that a report is due at once.
    is_wanted: bool,
}

/// What is known of a coordinator that denied a request.
#[derive(Clone, Debug)]
struct Empty {
    coordinator: host::Id,
    until: Moment,
    retry_at: Moment,
    /// Least cost that was denied.
    cost: f64,
}

impl Account {
    pub(super) fn new(quota: Quota, hosts: u32, now: Moment) -> Account {
        Account {
            quota,
            sizes: Sizes::new(&quota, hosts),
            bucket: 0,
            coordinator: Coordinator::default(),
            local: 0.0,
            filled: now,
            demand: Decay::default(),
            admitted: Decay::default(),
            links: BTreeMap::new(),
            extra_at: None,
            empty: None,
            denied_at: None,
            is_over: false,
        }
    }

    /// Refills the local balance at a fraction of the rate, up to the bound.
    pub(super) fn refill(&mut self, fraction: f64, now: Moment) {
        let span = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now.max(self.filled);
        self.add(span * self.quota.rate.as_f64() * fraction, now);
    }

    /// Adds tokens to the local balance, up to the bound.
    pub(super) fn add(&mut self, amount: f64, now: Moment) {
        let unacknowledged: Millis =
            self.links.values().map(|link| link.sent - link.acknowledged).sum();
        let cap = self.sizes.host_cap + EXTRA_SECONDS * self.admitted.per_second(now);
        self.local = (self.local + amount).min(cap - tokens(unacknowledged)).max(0.0);
    }

    /// Charges a request to the local balance, if that covers it.
    pub(super) fn charge(&mut self, cost: f64) -> bool {
        let is_covered = cost <= self.local;
        if is_covered {
            self.local -= cost;
        }
        is_covered
    }

    pub(super) fn record_demand(&mut self, cost: f64, now: Moment) {
        self.demand.add(cost, now);
    }

    pub(super) fn record_admission(&mut self, cost: f64, now: Moment) {
        self.admitted.add(cost, now);
    }

    /// Tokens a second that this host admits.
    pub(super) fn admitted(&self, now: Moment) -> f64 {
        self.admitted.per_second(now)
    }

    /// Returns the tokens to request in addition to the cost of a request: enough for one more at
    /// least, if demand is steady. Only one token request at a time asks for more than it costs.
    pub(super) fn take_extra(&mut self, cost: f64, now: Moment) -> f64 {
        let extra = EXTRA_SECONDS * self.admitted.per_second(now) - self.local;
        let is_open = self.extra_at.is_some_and(|at| now < at + EXTRA_TIMEOUT);
        if extra < cost || is_open {
            return 0.0;
        }
        self.extra_at = Some(now);
        extra
    }

    /// Records that a token request is answered that asked for more than it costs.
    pub(super) fn extra_answered(&mut self) {
        self.extra_at = None;
    }

    /// When a denied caller should retry, if the coordinator is known to have nothing for its
    /// request.
    pub(super) fn retry_at(
        &self,
        cost: f64,
        coordinator: &host::Id,
        now: Moment,
    ) -> Option<Moment> {
        let empty = self.empty.as_ref().filter(|empty| empty.coordinator == *coordinator)?;
        (now < empty.until && empty.cost <= cost).then_some(empty.retry_at)
    }

    /// Records that the coordinator denied a request. `fraction` spreads the next token requests of
    /// hosts.
    pub(super) fn set_empty(
        &mut self,
        coordinator: &host::Id,
        cost: f64,
        denial: Denial,
        fraction: f64,
        now: Moment,
    ) {
        let until = now + denial.empty + denial.spread.mul_f64(fraction);
        let is_same = |empty: &&Empty| empty.coordinator == *coordinator && now < empty.until;
        let cost = self.empty.as_ref().filter(is_same).map_or(cost, |empty| empty.cost.min(cost));
        let coordinator = coordinator.clone();
        self.empty = Some(Empty { coordinator, until, retry_at: now + denial.after, cost });
    }

    /// Records that the coordinator granted a request.
    pub(super) fn clear_empty(&mut self) {
        self.empty = None;
    }

    pub(super) fn record_denial(&mut self, now: Moment) {
        self.denied_at = Some(now);
    }

    /// Whether requests were denied recently.
    pub(super) fn is_over(&self, now: Moment) -> bool {
        self.denied_at.is_some_and(|at| now < at + OVER_RETENTION)
    }

    /// Returns whether the customer is over its quota, if that has changed since the last call.
    pub(super) fn over_change(&mut self, now: Moment) -> Option<bool> {
        let is_over = self.is_over(now);
        (std::mem::replace(&mut self.is_over, is_over) != is_over).then_some(is_over)
    }

    /// Moves the surplus to this host's own balance as the coordinator.
    pub(super) fn transfer_to_self(&mut self, own: &host::Id, now: Moment) {
        let is_confirmed = self.is_confirmed(own, now);
        self.links.entry(own.clone()).or_default().sent_at = Some(now);
        self.forget_unacknowledged(own);
        self.coordinator.report(own, is_confirmed, now, self.sizes.window);
        self.coordinator.update(&self.sizes, now);
        if !self.coordinator.is_full() {
            let surplus = self.take_surplus(now);
            self.coordinator.credit(surplus);
        }
    }

    /// Tokens transferred to other coordinators in all.
    pub(super) fn transferred(&self) -> f64 {
        tokens(self.links.values().map(|link| link.sent).sum())
    }

    /// Whether a report to a coordinator is due.
    pub(super) fn is_report_due(&self, to: &host::Id, run: host::Incarnation, now: Moment) -> bool {
        let Some(link) = self.links.get(to).filter(|link| link.run == run) else { return true };
        let interval = match (link.is_open, link.is_full) {
            (true, _) => REPEAT_AFTER.min(self.sizes.interval),
            (false, true) => self.sizes.interval.max(FULL_INTERVAL),
            (false, false) => self.sizes.interval,
        };
        link.is_wanted || link.sent_at.is_none_or(|at| at + interval <= now)
    }

    /// Returns the report to a coordinator, with a transfer of the surplus unless its balance is
    /// full.
    pub(super) fn report(&mut self, to: &host::Id, run: host::Incarnation, now: Moment) -> Content {
        let is_confirmed = self.is_confirmed(to, now);
        let known = self.links.entry(to.clone()).or_default();
        if known.run != run {
            *known = Link { run, ..Link::default() };
        }
        let surplus = if known.is_full { 0 } else { millis(self.take_surplus(now)) };
        self.forget_unacknowledged(to);
        let link = self.links.entry(to.clone()).or_default();
        link.sent += surplus;
        (link.sent_at, link.is_open, link.is_wanted) = (Some(now), true, false);
        Content::Transfer { total: link.sent, is_confirmed }
    }

    /// Processes a coordinator's answer to a report.
    pub(super) fn on_acknowledgement(
        &mut self,
        from: &host::Id,
        run: host::Incarnation,
        total: Millis,
        is_full: bool,
    ) {
        let Some(link) = self.links.get_mut(from).filter(|link| link.run == run) else { return };
        link.acknowledged = link.acknowledged.max(total).min(link.sent);
        link.is_open = link.acknowledged < link.sent;
        link.is_wanted |= link.is_full && !is_full;
        link.is_full = is_full;
    }

    /// Takes what the host does not need itself from the local balance.
    fn take_surplus(&mut self, now: Moment) -> f64 {
        let refilled = self.sizes.rate / self.sizes.hosts;
        let kept = KEPT_SECONDS * self.demand.per_second(now).min(refilled)
            + EXTRA_SECONDS * self.admitted.per_second(now);
        let surplus = (self.local - kept).max(0.0);
        self.local -= surplus;
        surplus
    }

    /// Takes transfers to all other coordinators for lost or received.
    fn forget_unacknowledged(&mut self, current: &host::Id) {
        for (host, link) in &mut self.links {
            if host != current {
                link.acknowledged = link.sent;
            }
        }
    }

    /// Whether no other coordinator counts this host as a reporter any more. An earlier run of this
    /// host may have reported to one.
    fn is_confirmed(&self, to: &host::Id, now: Moment) -> bool {
        let others = self.links.iter().filter(|(host, _)| *host != to);
        let latest = others.filter_map(|(_, link)| link.sent_at).max();
        self.sizes.window <= now.saturating_sub(latest.unwrap_or_default())
    }
}
