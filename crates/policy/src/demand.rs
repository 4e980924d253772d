//! Demand for models and adapters, reported by every host to the host that plans.
//!
//! Only the host that plans needs to know what requests ask for, and it needs to know within the
//! time over which the planner averages. So each host sends its own counts straight to the holder
//! of the planner's lease, in datagrams without acknowledgements.
//!
//! A count is a total since the start of a session, and a session lasts as long as the holder's
//! fencing token. The next total of the same subject makes up for one that was lost, a total that
//! arrives twice or late changes nothing, and a restart on either side starts another session.
//! Arrivals of the last seconds before the session are reported too, with their ages, so a new
//! holder knows the recent demand as the former holder did.

mod collector;
mod reporter;

use serde::{Deserialize, Serialize};
use types::{order::Fence, prelude::*};

use crate::place::Work;

pub use self::{collector::Collector, reporter::Reporter};

/// Reports a second that the holder can take, from all hosts together.
const REPORTS_PER_SECOND: f64 = 700.0;

/// Least and most time between two reports of a host.
const INTERVAL: [Duration; 2] = [Duration::from_millis(5), Duration::from_secs(1)];

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// The model that the request names.
    pub model: model::Id,
    /// The adapter that the request names, if any.
    pub adapter: Option<adapter::Id>,
}

/// Which arrivals a total counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Span {
    /// Arrivals since the start of the session.
    Session,
    /// Arrivals in one of the periods before the session; 0 is the most recent period.
    Before(u8),
}

/// Total of a subject over one span.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    /// What the counted requests ask for.
    pub subject: Subject,
    /// Which arrivals are counted.
    pub span: Span,
    /// Mean age in milliseconds of arrivals before the session; 0 for arrivals since.
    pub age_ms: u16,
    /// Work of all counted arrivals together.
    pub total: Work,
}

/// A host's report to the holder of the planner's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Run of the reporting host's process.
    pub run: host::Incarnation,
    /// Fencing token of the receiving holder; identifies the session.
    pub fence: Fence,
    /// Totals that changed, and at most one unchanged total that is repeated.
    pub lines: Vec<Line>,
}

/// Requests that arrived at a host, as reconstructed from its reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// What the requests ask for.
    pub subject: Subject,
    /// Work of all the requests together.
    pub work: Work,
    /// Mean time of arrival.
    pub at: Moment,
}

/// Returns the time between two reports of a host, such that all hosts together stay within what
/// the holder can take.
#[must_use]
pub fn interval(hosts: usize) -> Duration {
    let [least, most] = INTERVAL;
    Duration::from_secs_f64(hosts as f64 / REPORTS_PER_SECOND).clamp(least, most)
}
