//! The holder's side: reconstructs arrivals from all hosts' reports.

use std::collections::{BTreeMap, HashMap};

use types::{order::Fence, prelude::*};

use super::{Arrival, Report, Span, Subject};
use crate::place::Work;

/// How long a host counts as reporting after its last report.
const REPORTING_PERIOD: Duration = Duration::from_secs(5);

/// Short number for a subject, so that each host's totals need not repeat the names.
type SubjectNumber = u32;

/// Collects all hosts' reports for the duration of one fencing token.
#[derive(Debug, Default)]
pub struct Collector {
    fence: Option<Fence>,
    subjects: BTreeMap<Subject, SubjectNumber>,
    sources: BTreeMap<host::Id, Source>,
}

/// What one run of a host has reported.
#[derive(Debug)]
struct Source {
    run: host::Incarnation,
    last_report: Moment,
    totals: HashMap<(SubjectNumber, Span), Work>,
}

impl Collector {
    /// Starts a session under this fencing token and discards the one before it; false if the token
    /// is unchanged.
    pub fn begin(&mut self, fence: Fence) -> bool {
        let is_new = self.fence != Some(fence);
        if is_new {
            *self = Collector { fence: Some(fence), ..Collector::default() };
        }
        is_new
    }

    /// Takes a host's report and returns the arrivals that no earlier report has counted. A report
    /// for another fencing token is ignored.
    pub fn take(&mut self, host: &host::Id, report: Report, now: Moment) -> Vec<Arrival> {
        if self.fence != Some(report.fence) {
            return Vec::new();
        }
        let run = report.run;
        let new = || Source { run, last_report: now, totals: HashMap::new() };
        let source = self.sources.entry(host.clone()).or_insert_with(new);
        if source.run != run {
            *source = new();
        }
        source.last_report = now;
        let mut arrivals = Vec::new();
        for line in report.lines {
            let next = self.subjects.len() as SubjectNumber;
            let number = *self.subjects.entry(line.subject.clone()).or_insert(next);
            let known = source.totals.entry((number, line.span)).or_default();
            if line.total.requests <= known.requests {
                continue;
            }
            let work = line.total.minus(*known);
            *known = line.total;
            let at = now.saturating_sub(Duration::from_millis(line.age_ms.into()));
            arrivals.push(Arrival { subject: line.subject, work, at });
        }
        arrivals
    }

    /// Returns the number of hosts whose last report is recent.
    pub fn reporting(&self, now: Moment) -> usize {
        self.sources.values().filter(|source| now < source.last_report + REPORTING_PERIOD).count()
    }
}
