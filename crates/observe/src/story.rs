//! Log lines that record a host's decisions and its state, so that failures can be explained later.
//!
//! There are two kinds of lines. A [`Step`] belongs to one request: a decision, the values that it
//! was based on with their ages, or its result. A [`Belief`] is a change in what the host takes to
//! be true: the declaration in force, the state of a server, a lease. Each line names its host, the
//! run of that host and the time, so that the lines of all hosts can be joined by a request's id
//! alone.
//!
//! A successful request costs one line. Its steps are buffered in its [`Request`] and written only
//! if it is refused, fails, is late, is truncated or needs a further attempt; at level `debug` they
//! are written immediately. Successful requests of a route are [sampled](sample) if there are many.
//!
//! A [`Logger`] writes the lines of one host. A process that runs a single host installs its logger
//! with [`install`], and calls [`belief`] and [`Request::new`].

mod belief;
pub mod explanation;
mod line;
mod logger;
mod request;
pub mod sample;
mod step;
mod text;

use std::sync::OnceLock;

pub use self::{
    belief::{
        Answer, Belief, DependencyState, LeaseState, ObservedCrash, PathState, PeerStanding,
        PoisonState, ServerStanding, Source,
    },
    line::{Content, Line, Skipped, Time, read},
    logger::{Logger, Output},
    request::{End, Request},
    step::{Arrival, Attempt, Candidate, Ended, Input, Outcome, Step},
};
pub use crate::event::Text;
use crate::log::Dropped;

/// Log target of lines about a single request.
pub const REQUEST: &str = "story::request";

/// Log target of beliefs, except plans.
pub const BELIEF: &str = "story::belief";

/// Log target of plans: beliefs for which [`Belief::is_plan`] holds.
pub const PLAN: &str = "story::plan";

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Installs the process's logger. Later calls have no effect.
pub fn install(logger: Logger) {
    // If one process runs several hosts, as in tests, the others use their loggers directly.
    let _ = LOGGER.set(logger);
}

/// Returns the process's logger; until one is installed, a logger without a host's name.
pub fn logger() -> Logger {
    LOGGER.get().cloned().unwrap_or_default()
}

/// Logs a belief with the process's logger.
pub fn belief(belief: Belief) {
    logger().belief(belief);
}

/// Formats the line about dropped records.
pub(crate) fn dropped(dropped: Dropped) -> String {
    let Dropped { full, rate_limited, plans } = dropped;
    logger().text(&Belief::Dropped { full, rate_limited, plans })
}
