//! Checks that brittle servers are not made to reject so many requests that they crash.

use super::{Breach, Judge, Promise};
use crate::routed::soak::record::{BrittleTime, Fall, Span};

/// Crashes of a service's servers that are tolerated in one time in which they are brittle: this
/// many, and one for so many servers.
const MAX_FALLS: usize = 2;
const MAX_FALLS_DIVISOR: usize = 10;

impl Judge<'_> {
    /// Times in which too many of a service's servers crashed.
    pub(super) fn check_brittle(&self) -> Vec<Breach> {
        self.record.brittle.iter().filter_map(|time| self.check_brittle_time(time)).collect()
    }

    fn check_brittle_time(&self, time: &BrittleTime) -> Option<Breach> {
        let counts = |fall: &&Fall| {
            fall.service == time.service
                && (time.span.from..=time.span.to).contains(&fall.at)
                && self.is_caused_in_contact(fall)
        };
        let falls = self.record.falls.iter().filter(counts).count();
        let allowed = MAX_FALLS + time.servers / MAX_FALLS_DIVISOR;
        (allowed < falls).then(|| Breach {
            promise: Promise::Brittle,
            request: None,
            at: time.span.from,
            what: format!("brittle servers of {} crashed {falls} times", time.service),
        })
    }

    /// Whether hosts in contact sent most of the requests that made a server crash.
    fn is_caused_in_contact(&self, fall: &Fall) -> bool {
        let span = Span { from: fall.at, to: fall.at };
        let in_contact = fall.rejected.iter().filter(|id| {
            let request = self.requests.get(id.as_str());
            request.is_none_or(|request| self.record.is_in_contact(request.host_run.host, span))
        });
        fall.rejected.len() < 2 * in_contact.count()
    }
}
