//! Judges what becomes of a request that crashes the servers that run it, and of those beside it.

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;

use super::{Breach, Judge, MAX_UNEXPLAINED, Promise, breach};
use crate::routed::soak::record::{Component, Outcome, Record, Request, Run, Span};

/// Servers that such a request may crash before it is known.
const CRASHES_TO_DETECT: usize = 3;

/// Times that hosts in touch may send it from then on.
const MAX_FURTHER_SENDS: usize = 3;

/// Time before a request and after a server's crash in which the request may have been on its way there.
const TRANSIT_TIME: Duration = Duration::from_millis(300);

/// Servers that ended under requests that crash them.
pub fn crashed(record: &Record) -> usize {
    Judge::new(record).crashes().map(|(_, run)| &run.server).collect::<BTreeSet<_>>().len()
}

impl Judge<'_> {
    /// Runs of requests that crash servers.
    fn crashes(&self) -> impl Iterator<Item = (&Request, &Run)> {
        let runs = self.record.runs.iter().filter(|run| run.is_server_crash);
        let requests = runs.filter_map(|run| Some((*self.requests.get(&*run.id)?, run)));
        requests.filter(|(request, _)| request.crashes_servers)
    }

    /// Sends, by hosts in touch, of what had crashed three servers a contact time before.
    pub(super) fn check_poison(&self) -> Vec<Breach> {
        let mut ends: Vec<Duration> = self.crashes().filter_map(|(_, run)| run.ended_at).collect();
        ends.sort();
        let Some(third) = ends.get(CRASHES_TO_DETECT - 1) else { return Vec::new() };
        let from = *third + self.record.bounds.contact;
        let mut late: Vec<(&Request, &Run)> = self
            .crashes()
            .filter(|(request, run)| {
                let span = Span { from: run.arrived_at, to: run.arrived_at };
                from < run.arrived_at && self.record.is_in_contact(request.host_run.host, span)
            })
            .collect();
        late.sort_by_key(|(_, run)| run.arrived_at);
        let what =
            |run: &Run| format!("sent to {} though it had crashed three servers", run.server);
        let late = late.into_iter().skip(MAX_FURTHER_SENDS);
        late.map(|(request, run)| breach(Promise::Poison, request, run.arrived_at, what(run)))
            .collect()
    }

    /// Requests that were refused as what may have run, and reached no server.
    pub(super) fn check_refused_as_poison(&self) -> Vec<Breach> {
        let arrived: BTreeSet<&str> =
            self.record.arrivals.iter().map(|arrival| &*arrival.id).collect();
        let is_refused = |request: &&Request| {
            let Outcome::Answered(answer) = &request.outcome else { return false };
            let span =
                Span { from: request.span.from.saturating_sub(TRANSIT_TIME), to: request.span.to };
            let mut disruptions = self.record.disruptions.iter();
            let is_server = |component: &Component| matches!(component, Component::Server(_));
            answer.status == StatusCode::BAD_GATEWAY
                && !request.crashes_servers
                && !arrived.contains(&*request.id)
                && !disruptions.any(|disruption| {
                    is_server(&disruption.component) && {
                        let begins = Span { from: disruption.span.from, to: disruption.span.from };
                        begins.overlaps(span)
                    }
                })
        };
        let refused: Vec<&Request> = self.record.requests.iter().filter(is_refused).collect();
        if refused.len() <= MAX_UNEXPLAINED {
            return Vec::new();
        }
        let what = "refused as what may have run, and it reached no server";
        let to_breach = |request: &Request| {
            breach(Promise::Innocent, request, request.span.to, what.to_owned())
        };
        refused.into_iter().map(to_breach).collect()
    }
}
