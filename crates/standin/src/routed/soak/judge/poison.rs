//! Checks that a poison request, which crashes the servers that run it, is stopped, and that no
//! other request is refused in its place.

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;

use super::{Breach, Judge, MAX_UNEXPLAINED, Promise, breach};
use crate::routed::soak::record::{Component, Outcome, Record, Request, Run, Span};

/// Number of servers that a poison request may crash before hosts have to recognise it.
const CRASHES_TO_DETECT: usize = 3;

/// How many more times hosts in contact may send a recognised poison request.
const MAX_FURTHER_SENDS: usize = 3;

/// Time after a server's crash in which a request may still have been on its way to that server.
const TRANSIT_TIME: Duration = Duration::from_millis(300);

/// Number of servers that were crashed by poison requests.
pub fn crashed(record: &Record) -> usize {
    Judge::new(record).crashes().map(|(_, run)| &run.server).collect::<BTreeSet<_>>().len()
}

impl Judge<'_> {
    /// Executions of poison requests that crashed a server.
    fn crashes(&self) -> impl Iterator<Item = (&Request, &Run)> {
        let runs = self.record.runs.iter().filter(|run| run.is_server_crash);
        let requests = runs.filter_map(|run| Some((*self.requests.get(&*run.id)?, run)));
        requests.filter(|(request, _)| request.crashes_servers)
    }

    /// Executions of poison requests that hosts in contact sent more than a contact time after
    /// poison requests had crashed a third server.
    ///
    /// The first [`MAX_FURTHER_SENDS`] are tolerated.
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

    /// Other requests that were answered with 502, as if they might have been executed, though they
    /// had reached no server and no disruption of a server began meanwhile.
    ///
    /// Up to [`MAX_UNEXPLAINED`] are tolerated.
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
        let what =
            "answered with 502 as if it might have been executed, though it reached no server";
        let to_breach = |request: &Request| {
            breach(Promise::Innocent, request, request.span.to, what.to_owned())
        };
        refused.into_iter().map(to_breach).collect()
    }
}
