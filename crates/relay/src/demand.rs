//! Reports of the requests that arrive at all hosts, sent to the planner of the host that holds the
//! lease.
//!
//! Every host reports its own arrivals ([`policy::demand`]) to the host that it believes to hold
//! the lease; the holder reports to itself. The planner has no other source of demand, so the
//! holder also logs and counts how many requests the planner was given, for comparison with the
//! requests that arrived at all hosts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use exchange::{
    Exchange,
    fleet::{Notice, Snapshot},
};
use observe::metrics::routed::Origin;
use policy::demand::{self, Arrival, Collector, Report, Reporter, Subject};
use policy::place::Work;
use tokio::time::sleep;
use types::{order::Fence, prelude::*};

use crate::host::Shared;

/// Interval at which the number of requests given to the planner is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of reports that are sent in one round.
const MAX_REPORTS_PER_ROUND: usize = 4;

/// Demand reports that this host sends, and those that it receives while it plans.
#[derive(Debug)]
pub(crate) struct Demand(Mutex<State>);

#[derive(Debug)]
struct State {
    reporter: Reporter,
    collector: Collector,
    /// Holder of the lease, by the highest known fencing token.
    holder: Option<(Fence, host::Id)>,
    /// Number of live hosts.
    hosts: usize,
    totals: Totals,
}

/// Requests given to the planner since the last log message.
#[derive(Debug, Default)]
struct Totals {
    /// Start of the period that the totals cover.
    since: Option<Moment>,
    /// Requests that arrived at this host.
    own: u64,
    /// Requests that other hosts have reported.
    others: u64,
}

impl Demand {
    pub(crate) fn new(run: host::Incarnation) -> Demand {
        Demand(Mutex::new(State {
            reporter: Reporter::new(run),
            collector: Collector::default(),
            holder: None,
            hosts: 1,
            totals: Totals::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports this host's arrivals until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    loop {
        shared.report_demand(&exchange);
        let hosts = shared.demand.lock().hosts;
        sleep(demand::interval(hosts)).await;
    }
}

impl Shared {
    /// Counts a request for a model.
    pub(crate) fn demand_arrived(&self, subject: Subject, work: Work) {
        self.demand.lock().reporter.arrive(subject, work, self.now());
    }

    /// Returns the host that is believed to hold the lease.
    pub(crate) fn holder(&self) -> Option<host::Id> {
        self.demand.lock().holder.as_ref().map(|(_, holder)| holder.clone())
    }

    /// Records which host holds the lease, if the fencing token is above the known one.
    pub(crate) fn observe_holder(&self, holder: &host::Id, fence: Fence) {
        let mut state = self.demand.lock();
        if state.holder.as_ref().is_none_or(|(known, _)| *known < fence) {
            state.holder = Some((fence, holder.clone()));
        }
    }

    /// Records the number of live hosts and the holder of the lease from a snapshot of the
    /// exchange.
    pub(crate) fn observe_hosts(&self, snapshot: &Snapshot) {
        self.demand.lock().hosts = snapshot.live;
        if let Some(lease) = &snapshot.lease {
            self.observe_holder(&lease.holder, lease.fence);
        }
    }

    /// Adds another host's report to the demand, if this host plans.
    pub(crate) fn demand_received(&self, from: &host::Id, report: Report) {
        let now = self.now();
        let Some(fence) = self.term().fence(now) else { return };
        self.begin_term(fence, now);
        let arrivals = self.demand.lock().collector.take(from, report, now);
        self.record_demand(Origin::Others, arrivals);
    }

    fn report_demand(&self, exchange: &Exchange) {
        let now = self.now();
        let fence = self.term().fence(now);
        match fence {
            Some(fence) => self.record_own(fence, now),
            None => self.send_reports(exchange, now),
        }
    }

    fn record_own(&self, fence: Fence, now: Moment) {
        self.begin_term(fence, now);
        let mut state = self.demand.lock();
        let mut arrivals = Vec::new();
        while state.reporter.has_unsent()
            && let Some(report) = state.reporter.report(now)
        {
            arrivals.extend(state.collector.take(&self.host.id, report, now));
        }
        drop(state);
        self.record_demand(Origin::Own, arrivals);
    }

    fn send_reports(&self, exchange: &Exchange, now: Moment) {
        let mut state = self.demand.lock();
        let Some((fence, holder)) = state.holder.clone().filter(|(_, id)| *id != self.host.id)
        else {
            return;
        };
        state.reporter.begin(fence, now);
        let mut reports: Vec<_> = state.reporter.report(now).into_iter().collect();
        while state.reporter.has_unsent() && reports.len() < MAX_REPORTS_PER_ROUND {
            reports.extend(state.reporter.report(now));
        }
        drop(state);
        for report in reports {
            if let Err(error) = exchange.send_once(&holder, Notice::Demand(report)) {
                log::debug!(host = &*self.host.id; "{error}");
            }
        }
    }

    /// Begins a term of planning, if its fencing token is new.
    fn begin_term(&self, fence: Fence, now: Moment) {
        let mut state = self.demand.lock();
        if !state.collector.begin(fence) {
            return;
        }
        state.reporter.begin(fence, now);
        state.holder = Some((fence, self.host.id.clone()));
        drop(state);
        self.planner().begin_term(now);
        self.notify(Notice::LeaseAcquired { fence });
    }

    fn record_demand(&self, origin: Origin, arrivals: Vec<Arrival>) {
        let requests = arrivals.iter().map(|arrival| u64::from(arrival.work.requests)).sum();
        let mut planner = self.planner();
        for Arrival { subject, work, at } in arrivals {
            planner.record_arrivals(&subject.model, subject.adapter.as_ref(), work, at);
        }
        drop(planner);
        self.meters.demand(origin, requests);
        let totals = &mut self.demand.lock().totals;
        match origin {
            Origin::Own => totals.own += requests,
            Origin::Others => totals.others += requests,
        }
    }

    /// Logs how many requests the planner was given, if a message is due.
    pub(crate) fn log_demand(&self, now: Moment) {
        let mut state = self.demand.lock();
        let since = *state.totals.since.get_or_insert(now);
        if now < since + LOG_INTERVAL {
            return;
        }
        let hosts = state.collector.reporting(now);
        let totals =
            std::mem::replace(&mut state.totals, Totals { since: Some(now), own: 0, others: 0 });
        drop(state);
        let took = now.saturating_sub(since).as_millis() as u64;
        log::info!(
            own = totals.own, others = totals.others, hosts = hosts, ms = took;
            "demand given to the planner"
        );
    }

    /// Resets the log's totals when this host no longer plans.
    pub(crate) fn reset_demand_log(&self) {
        self.demand.lock().totals = Totals::default();
    }
}
