//! Checks that a poison request, or requests with a part that crashes the servers that run them, are
//! stopped, and that no other request is refused in their place.

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;

use super::{Breach, Judge, MAX_UNEXPLAINED, Promise, breach};
use crate::routed::soak::record::{Component, Outcome, Poison, Record, Request, Run, Span};

/// Number of servers that may be crashed before hosts have to recognise the cause.
fn crashes_to_detect(poison: Poison) -> usize {
    match poison {
        Poison::Request => 3,
        Poison::Part => 5,
    }
}

/// How many more times hosts in contact may send what they have to recognise.
const MAX_FURTHER_SENDS: usize = 3;

/// Time after a server's crash in which a request may still have been on its way to that server.
const TRANSIT_TIME: Duration = Duration::from_millis(300);

/// Number of servers that were crashed by poison requests.
pub fn crashed(record: &Record) -> usize {
    let judge = Judge::new(record);
    let servers = [Poison::Request, Poison::Part].map(|poison| {
        judge.crashes(poison).map(|(_, run)| &run.server).collect::<BTreeSet<_>>().len()
    });
    servers.into_iter().sum()
}

impl Judge<'_> {
    /// Executions of poison requests that crashed a server.
    fn crashes(&self, poison: Poison) -> impl Iterator<Item = (&Request, &Run)> {
        let runs = self.record.runs.iter().filter(|run| run.is_server_crash);
        let requests = runs.filter_map(|run| Some((*self.requests.get(&*run.id)?, run)));
        requests.filter(move |(request, _)| request.poison == Some(poison))
    }

    /// Executions of poison requests that hosts in contact sent more than a contact time after they
    /// had to recognise them.
    ///
    /// The first [`MAX_FURTHER_SENDS`] are tolerated.
    pub(super) fn check_poison(&self, poison: Poison) -> Vec<Breach> {
        let mut ends: Vec<Duration> =
            self.crashes(poison).filter_map(|(_, run)| run.ended_at).collect();
        ends.sort();
        let count = crashes_to_detect(poison);
        let Some(last) = ends.get(count - 1) else { return Vec::new() };
        let from = *last + self.record.bounds.contact;
        let mut late: Vec<(&Request, &Run)> = self
            .crashes(poison)
            .filter(|(request, run)| {
                let span = Span { from: run.arrived_at, to: run.arrived_at };
                from < run.arrived_at && self.record.is_in_contact(request.host_run.host, span)
            })
            .collect();
        late.sort_by_key(|(_, run)| run.arrived_at);
        let what = |run: &Run| format!("sent to {} though {count} servers had crashed", run.server);
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
                && request.poison.is_none()
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
