//! What a host decided and believed, as lines that explain a failure afterwards.
//!
//! Two sorts of lines. A [`Step`] belongs to one request: what decided it, how old that was, what
//! came of it. A [`Belief`] is what the process holds for true: the declaration in force, a
//! server's standing, a lease. Each line names its host, its run and its time, so that the lines of
//! all hosts can be joined by a request's id alone.
//!
//! A request that goes well costs one line. Its steps are kept in its [`Request`] and made into
//! lines only if it is refused, fails, is late, is cut or is tried again; at level `debug` they are
//! written as they come. Repeated requests of a route that go well are [sampled](sample).
//!
//! A [`Logger`] tells for one host. A process that is one host installs its own with [`install`],
//! and calls [`belief`] and [`Request::new`].

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
        Answer, Belief, DependencyState, LeaseState, ObservedCrash, PeerStanding, PoisonState,
        ServerStanding, Source,
    },
    line::{Content, Line, Skipped, Time, read},
    logger::{Logger, Output},
    request::{End, Request},
    step::{Arrival, Attempt, Candidate, Ended, Input, Outcome, Step},
};
pub use crate::event::Text;
use crate::log::Dropped;

/// Target of lines about one request.
pub const REQUEST: &str = "story::request";

/// Target of lines about what is believed, but for plans.
pub const BELIEF: &str = "story::belief";

/// Target of lines about what decides all others.
pub const PLAN: &str = "story::plan";

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Makes this the process's logger; the first one stays.
pub fn install(logger: Logger) {
    // Later ones are of further hosts in one process, which tests have; they tell by themselves.
    let _ = LOGGER.set(logger);
}

/// The process's logger; names no host before one is installed.
pub fn logger() -> Logger {
    LOGGER.get().cloned().unwrap_or_default()
}

/// Tells what the process now believes.
pub fn belief(belief: Belief) {
    logger().belief(belief);
}

/// The line that tells what was left out.
pub(crate) fn dropped(dropped: Dropped) -> String {
    let Dropped { full, ceiling, plans } = dropped;
    logger().text(&Belief::Dropped { full, ceiling, plans })
}
