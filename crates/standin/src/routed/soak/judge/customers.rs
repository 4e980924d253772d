//! Checks that requests are served for the customer that holds their key, and for nobody else.

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;

use super::{
    super::record::{Arrival, Declared, Outcome, Request, Span},
    Breach, Judge, MAX_OVERLAP, Promise, TIMING_SLACK, breach,
};

impl Judge<'_> {
    /// Requests that servers got for another customer than the holder of their key, without a holder
    /// or with the key itself, and requests that were refused though their key was held.
    ///
    /// While a declaration may or may not be in force at a host, the holders before and after it both
    /// count.
    pub(super) fn check_customers(&self) -> Vec<Breach> {
        if self.record.declared.iter().all(|declared| declared.holders.is_none()) {
            return Vec::new();
        }
        let arrivals = self.record.arrivals.iter();
        let served = arrivals.filter_map(|arrival| self.check_arrival(arrival));
        let refused = self.record.requests.iter().filter_map(|request| self.check_refusal(request));
        served.chain(refused).collect()
    }

    fn check_arrival(&self, arrival: &Arrival) -> Option<Breach> {
        // A request whose caller saw no outcome is not recorded.
        let request = self.requests.get(&*arrival.id)?;
        let to_breach = |what| Some(breach(Promise::Identity, request, arrival.at, what));
        if arrival.has_key {
            return to_breach("a server was passed the caller's key".to_owned());
        }
        // The identity was decided before the request was sent, which took up to this time.
        let decided =
            Span { from: arrival.at.saturating_sub(MAX_OVERLAP), to: arrival.at + TIMING_SLACK };
        let decided = match self.record.is_partitioned(request.host_run.host, request.span) {
            // A request may reach the server late over a link that hangs.
            true => Span { from: request.span.from, ..decided },
            false => decided,
        };
        let holders = self.holders(request, decided);
        let told: Vec<&str> = arrival.customers.iter().map(String::as_str).collect();
        if let [name] = told.as_slice()
            && holders.contains(&Some(*name))
        {
            return None;
        }
        let (key, names) = (request.key.as_deref(), holders.iter().flatten().collect::<Vec<_>>());
        to_breach(match key {
            None => format!("ran without a key, for {told:?}"),
            Some(key) if self.was_ever_held(key) => {
                format!("ran for {told:?}, while the holders of {key} were {names:?}")
            }
            Some(key) => format!("ran for {told:?} with {key}, which nobody ever held"),
        })
    }

    fn check_refusal(&self, request: &Request) -> Option<Breach> {
        let Outcome::Answered(answer) = &request.outcome else { return None };
        if answer.status != StatusCode::UNAUTHORIZED {
            return None;
        }
        let holders = self.holders(request, request.span);
        let what = || format!("refused as unauthorized, while the holders were {holders:?}");
        let is_held = !holders.is_empty() && holders.iter().all(Option::is_some);
        is_held.then(|| breach(Promise::Identity, request, request.span.to, what()))
    }

    /// The holders of a request's key under all declarations that its host may have decided by in a
    /// span.
    fn holders(&self, request: &Request, span: Span) -> BTreeSet<Option<&str>> {
        let in_force = self.declared_in(request, span);
        in_force.map(|declared| declared.holder(request.key.as_deref())).collect()
    }

    /// The declarations that a request's host may have decided by in a span: those that were written
    /// by its end, without those that another one had replaced for longer than the apply time, if the
    /// host was in contact.
    fn declared_in(&self, request: &Request, span: Span) -> impl Iterator<Item = &Declared> {
        let start = Span { from: span.from, to: span.from };
        let is_in_contact = self.record.is_in_contact(request.host_run.host, start);
        let apply = self.record.bounds.apply + TIMING_SLACK;
        let declared = &self.record.declared;
        let replaced_at = move |index: usize| {
            declared.get(index + 1).map_or(Duration::MAX, |next| next.at.saturating_add(apply))
        };
        declared.iter().enumerate().filter_map(move |(index, one)| {
            let is_written = one.at <= span.to + TIMING_SLACK;
            (is_written && (!is_in_contact || span.from <= replaced_at(index))).then_some(one)
        })
    }

    fn was_ever_held(&self, key: &str) -> bool {
        self.record.declared.iter().any(|declared| declared.holder(Some(key)).is_some())
    }
}
