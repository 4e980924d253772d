//! Demand for models and adapters, reported by every host to the host that plans.
//!
//! Only the host that plans needs to know what requests ask for, and it has to know within the
//! time over which the planner averages. So each host sends its own counts straight to the holder
//! of the lease, in datagrams that nobody acknowledges.
//!
//! A count is a total since the session began, and a session lasts as long as the holder's fence.
//! A total that was lost is made good by the next one of its subject, one that comes twice or late
//! changes nothing, and a restart on either side begins another session. What arrived shortly
//! before the session is reported too, with its age, so that a new holder knows the demand of the
//! last seconds as the one before it did.

mod collector;
mod reporter;

use serde::{Deserialize, Serialize};
use types::{order::Fence, prelude::*};

use crate::place::Work;

pub use self::{collector::Collector, reporter::Reporter};

/// Reports that the holder takes in a second, from all hosts together.
const REPORTS_PER_SECOND: f64 = 700.0;

/// Least and most time between two reports of a host.
const INTERVAL: [Duration; 2] = [Duration::from_millis(5), Duration::from_secs(1)];

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// The model.
    pub model: model::Id,
    /// The adapter, if one is named.
    pub adapter: Option<adapter::Id>,
}

/// Which arrivals a total counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Span {
    /// Arrivals since the session began.
    Session,
    /// Arrivals in one of the spans before the session.
    Before(u8),
}

/// The total of a subject.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    /// What the requests ask for.
    pub subject: Subject,
    /// Which arrivals are counted.
    pub span: Span,
    /// Mean age in milliseconds of arrivals before the session; 0 for later ones.
    pub age_ms: u16,
    /// Work of all counted arrivals together.
    pub total: Work,
}

/// A host's report to the holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Run of the reporting host's process.
    pub run: host::Incarnation,
    /// Fence of the receiving holder; names the session.
    pub fence: Fence,
    /// Totals that changed.
    pub lines: Vec<Line>,
}

/// Requests that arrived at a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// What the requests ask for.
    pub subject: Subject,
    /// Work of the requests.
    pub work: Work,
    /// Mean time of arrival.
    pub at: Moment,
}

/// Time between two reports of a host, one of so many.
#[must_use]
pub fn interval(hosts: usize) -> Duration {
    let [least, most] = INTERVAL;
    Duration::from_secs_f64(hosts as f64 / REPORTS_PER_SECOND).clamp(least, most)
}
