//! Checks that a host sends nothing to a server that has stated in an answer that it leaves.

use std::{collections::BTreeMap, time::Duration};

use super::{Breach, Judge, Promise, breach};
use crate::routed::soak::record::{Answer, Component, HostRun, Leave, Outcome, Request, Run, Span};

impl Judge<'_> {
    /// Executions of requests that a host sent to a leaving server later than the drain time after it
    /// had passed on an answer of that server, whatever the store said.
    pub(super) fn check_departures(&self) -> Vec<Breach> {
        self.record.leaves.iter().flat_map(|leave| self.check_departure(leave)).collect()
    }

    fn check_departure(&self, leave: &Leave) -> Vec<Breach> {
        let runs = self.record.runs.iter().filter(|run| run.server == leave.server);
        let since: Vec<(&Request, &Run)> = runs
            .filter(|run| leave.at <= run.arrived_at)
            .filter_map(|run| Some((*self.requests.get(&*run.id)?, run)))
            .collect();
        let mut stated: BTreeMap<HostRun, Duration> = BTreeMap::new();
        for (request, _) in since.iter().filter(|(request, run)| is_passed_on(request, run)) {
            let at = stated.entry(request.host_run).or_insert(request.span.to);
            *at = request.span.to.min(*at);
        }
        let is_late = |(request, run): &&(&Request, &Run)| {
            let Some(stated_at) = stated.get(&request.host_run) else { return false };
            let host = Component::Host(request.host_run.host);
            let span = Span { from: *stated_at, to: run.arrived_at };
            *stated_at + self.record.bounds.drain < run.arrived_at
                && self.record.is_undisturbed(span, |component| *component == host)
        };
        let late = since.iter().filter(is_late);
        late.map(|(request, run)| {
            let what = format!("sent to {} though an answer said that it leaves", run.server);
            breach(Promise::Drain, request, run.arrived_at, what)
        })
        .collect()
    }
}

/// Whether a request's caller got the whole answer of this execution.
fn is_passed_on(request: &Request, run: &Run) -> bool {
    let Outcome::Answered(Answer { seal: Some(seal), is_complete, .. }) = &request.outcome else {
        return false;
    };
    *is_complete && !run.is_corrupted && seal.starts_with(&format!("{}.", run.server))
}
