//! Judges what becomes of a request that crashes the servers that run it, and of those beside it.

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;

use super::{Breach, Judge, LOST, Promise, breach};
use crate::routed::soak::record::{Outcome, Place, Record, Request, Run, Span};

/// Servers that such a request may crash before it is known.
const KNOWN: usize = 3;

/// Times that hosts in touch may send it from then on.
const FURTHER: usize = 3;

/// Time before a request and after a server's crash in which the request may have been on its way there.
const ON_ITS_WAY: Duration = Duration::from_millis(300);

/// Servers that ended under requests that crash them.
pub fn crashed(record: &Record) -> usize {
    Judge::new(record).crashes().map(|(_, run)| &run.server).collect::<BTreeSet<_>>().len()
}

impl Judge<'_> {
    /// Runs of requests that crash servers.
    fn crashes(&self) -> impl Iterator<Item = (&Request, &Run)> {
        let runs = self.record.runs.iter().filter(|run| run.crashed);
        let known = runs.filter_map(|run| Some((*self.requests.get(&*run.id)?, run)));
        known.filter(|(request, _)| request.crashes)
    }

    /// Sends, by hosts in touch, of what had crashed three servers a contact time before.
    pub(super) fn poisoned(&self) -> Vec<Breach> {
        let mut ends: Vec<Duration> = self.crashes().filter_map(|(_, run)| run.ended).collect();
        ends.sort();
        let Some(third) = ends.get(KNOWN - 1) else { return Vec::new() };
        let from = *third + self.record.bounds.contact;
        let mut late: Vec<(&Request, &Run)> = self
            .crashes()
            .filter(|(request, run)| {
                let span = Span { from: run.came, to: run.came };
                from < run.came && self.record.in_touch(request.life.host, span)
            })
            .collect();
        late.sort_by_key(|(_, run)| run.came);
        let what =
            |run: &Run| format!("sent to {} though it had crashed three servers", run.server);
        let late = late.into_iter().skip(FURTHER);
        late.map(|(request, run)| breach(Promise::Poison, request, run.came, what(run))).collect()
    }

    /// Requests that were refused as what may have run, and reached no server.
    pub(super) fn shunned(&self) -> Vec<Breach> {
        let arrived: BTreeSet<&str> =
            self.record.arrivals.iter().map(|arrival| &*arrival.id).collect();
        let is_shunned = |request: &&Request| {
            let Outcome::Answered(answer) = &request.outcome else { return false };
            let span =
                Span { from: request.span.from.saturating_sub(ON_ITS_WAY), to: request.span.to };
            let mut troubles = self.record.troubles.iter();
            let is_server = |place: &Place| matches!(place, Place::Server(_));
            answer.status == StatusCode::BAD_GATEWAY
                && !request.crashes
                && !arrived.contains(&*request.id)
                && !troubles.any(|trouble| {
                    is_server(&trouble.place) && {
                        let begins = Span { from: trouble.span.from, to: trouble.span.from };
                        begins.meets(span)
                    }
                })
        };
        let shunned: Vec<&Request> = self.record.requests.iter().filter(is_shunned).collect();
        if shunned.len() <= LOST {
            return Vec::new();
        }
        let what = "refused as what may have run, and it reached no server";
        let told = |request: &Request| {
            breach(Promise::Innocent, request, request.span.to, what.to_owned())
        };
        shunned.into_iter().map(told).collect()
    }
}
