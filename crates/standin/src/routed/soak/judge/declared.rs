//! Which declarations hosts have shown, and which were due.

use std::{collections::BTreeMap, time::Duration};

use http::StatusCode;
use types::routed::Version;

use super::{
    super::record::{Outcome, Request, Span},
    Breach, Judge, Promise, breach,
};

impl Judge<'_> {
    /// Declarations, as requests show them: the newest that a host has shown binds what is sent to
    /// the same start of it later, and each binds all hosts in touch after a time.
    pub(super) fn check_declarations(&self) -> Vec<Breach> {
        let mut shown: BTreeMap<_, Vec<(Duration, Version)>> = BTreeMap::new();
        let handled = self.record.requests.iter().filter_map(|request| {
            let (at, versions) = self.first_handling(request)?;
            if let Some(first) = versions.first() {
                shown.entry(request.host_run).or_default().push((at, *first));
            }
            // What no declaration allows at all is behind all of them.
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
                let what = format!("handled by {newest} at the latest, {bound} was shown before");
                breaches.push(breach(Promise::Config, request, sent, what));
            } else if newest < due {
                let what = format!("handled by {newest} at the latest, {due} was due");
                breaches.push(breach(Promise::Config, request, sent, what));
            }
        }
        breaches
    }

    /// The newest version that was due when a request was sent: each that was written so long before,
    /// whatever trouble there was then, if its host has been in touch since.
    fn due_version(&self, request: &Request) -> Version {
        let sent = request.span.from;
        if !self.record.is_in_contact(request.host_run.host, Span { from: sent, to: sent }) {
            return 0;
        }
        let apply = self.record.bounds.apply;
        let due = self.record.declared.iter().filter(|declared| declared.at + apply < sent);
        due.map(|declared| declared.version).max().unwrap_or_default()
    }

    /// When a request was handled first, and the versions that handle it so, rising.
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
            match (declared.of(&request.path), service) {
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
