//! Checks that hosts apply declarations in time and never go back to an older one.

use std::{collections::BTreeMap, time::Duration};

use http::StatusCode;
use types::routed::Version;

use super::{
    super::record::{Outcome, Request, Span},
    Breach, Judge, Promise, breach,
};

impl Judge<'_> {
    /// Infers from where requests were routed which declarations were in force.
    ///
    /// The newest version that a host process has used binds it for all requests sent to it later,
    /// and each version binds all hosts in contact once the apply time has passed.
    pub(super) fn check_declarations(&self) -> Vec<Breach> {
        let mut shown: BTreeMap<_, Vec<(Duration, Version)>> = BTreeMap::new();
        let handled = self.record.requests.iter().filter_map(|request| {
            let (at, versions) = self.first_handling(request)?;
            if let Some(first) = versions.first() {
                shown.entry(request.host_run).or_default().push((at, *first));
            }
            // A request whose routing fits no declaration counts as older than all of them.
            Some((request, versions.last().copied().unwrap_or_default()))
        });
        let handled: Vec<(&Request, Version)> = handled.collect();
        let mut breaches = Vec::new();
        for (request, newest) in handled {
            let sent = request.span.from;
            let before = shown.get(&request.host_run).into_iter().flatten();
            let before = before.filter(|(at, _)| *at + self.record.bounds.rollback < sent);
            let bound = before.map(|(_, version)| *version).max().unwrap_or_default();
            let due = self.due_version(request);
            if newest < bound {
                let what =
                    format!("handled by version {newest} at most, after {bound} had been used");
                breaches.push(breach(Promise::Config, request, sent, what));
            } else if newest < due {
                let what = format!("handled by version {newest} at most, though {due} was due");
                breaches.push(breach(Promise::Config, request, sent, what));
            }
        }
        breaches
    }

    /// The newest version that was due when a request was sent, or 0 if its host was not in
    /// contact.
    ///
    /// A version is due once the apply time has passed since it was written, even if there were
    /// faults when it was written.
    fn due_version(&self, request: &Request) -> Version {
        let sent = request.span.from;
        if !self.record.is_in_contact(request.host_run.host, Span { from: sent, to: sent }) {
            return 0;
        }
        let apply = self.record.bounds.apply;
        let due = self.record.declared.iter().filter(|declared| declared.at + apply < sent);
        due.map(|declared| declared.version).max().unwrap_or_default()
    }

    /// When a request was first handled, and the versions that route it that way, in ascending
    /// order.
    ///
    /// `None` if the request reached no server and was not answered with 404.
    fn first_handling(&self, request: &Request) -> Option<(Duration, Vec<Version>)> {
        let run = self.runs(request).first();
        let service = run.map(|run| run.service.as_str());
        let at = match (&request.outcome, run) {
            (_, Some(run)) => run.arrived_at,
            (Outcome::Answered(answer), None) if answer.status == StatusCode::NOT_FOUND => {
                request.span.to
            }
            _ => return None,
        };
        let fits = self.record.declared.iter().filter(|declared| {
            match (declared.services_for(&request.path), service) {
                (Some(services), Some(service)) => services.contains(service),
                (None, None) => true,
                _ => false,
            }
        });
        let mut versions: Vec<Version> = fits.map(|declared| declared.version).collect();
        versions.sort_unstable();
        Some((at, versions))
    }
}
