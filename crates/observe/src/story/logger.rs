//! Logger of one host's lines.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use log::{Level, LevelFilter, Log, Record};
use serde::Serialize;
use types::{host, request};

use super::{
    BELIEF, PLAN, REQUEST,
    belief::{
        Answer, Belief, DependencyState, LeaseState, PathState, PeerStanding, PoisonState,
        ServerStanding,
    },
    line::{LineRef, Time},
    request::Request,
    sample::Sampler,
    step::Step,
};
use crate::clock::Clock;

/// Destination of a logger's lines.
#[derive(Clone)]
pub enum Output {
    /// The process's log, with its level.
    Process,
    /// Another log, with this level.
    Custom(Arc<dyn Log>, LevelFilter),
}

/// Logs the lines of one run of a host; clones share the clock and the sampling.
#[derive(Clone)]
pub struct Logger(Arc<Inner>);

struct Inner {
    host: host::Id,
    run: host::Incarnation,
    clock: Clock,
    origin: Instant,
    output: Output,
    sampler: Mutex<Sampler>,
}

impl Logger {
    /// Returns a logger for one run of a host. The clock must be the one that observes peers'
    /// stamps.
    pub fn new(host: host::Id, run: host::Incarnation, clock: Clock, output: Output) -> Logger {
        let sampler = Mutex::default();
        Logger(Arc::new(Inner { host, run, clock, origin: Instant::now(), output, sampler }))
    }

    /// Begins the story of a request.
    pub fn request(&self, id: request::Id) -> Request {
        Request::with_logger(self.clone(), id)
    }

    /// Logs a belief of the host.
    pub fn belief(&self, belief: Belief) {
        let level = level(&belief);
        if self.is_enabled(level) {
            let target = if belief.is_plan() { PLAN } else { BELIEF };
            self.write(level, target, &self.line(&self.now(), None, &belief));
        }
    }

    pub(super) fn is_enabled(&self, level: Level) -> bool {
        match &self.0.output {
            Output::Process => level <= log::max_level(),
            Output::Custom(_, filter) => level <= *filter,
        }
    }

    pub(super) fn now(&self) -> Time {
        Time::now(self.0.clock.stamp(), self.0.origin.elapsed())
    }

    /// Counts a successful request of a route. Returns the number of requests that its line stands
    /// for; `None` if it gets no line.
    pub(super) fn sample(&self, route: &str) -> Option<u32> {
        let mut sampler = self.0.sampler.lock().unwrap_or_else(PoisonError::into_inner);
        sampler.weigh(self.0.origin.elapsed(), route)
    }

    /// Logs steps of a request as one record: either all of them are written or none.
    pub(super) fn steps(&self, level: Level, id: &request::Id, steps: &[(Time, Step)]) {
        self.write(level, REQUEST, &Steps { logger: self, id, steps });
    }

    /// Formats a line with the current time.
    pub(crate) fn text(&self, belief: &Belief) -> String {
        self.line(&self.now(), None, belief).to_string()
    }

    fn line<'a, T>(
        &'a self,
        time: &Time,
        request: Option<&'a str>,
        content: &'a T,
    ) -> LineRef<'a, T> {
        let Time { at, up, wall } = *time;
        LineRef { at, up, wall, host: &self.0.host, run: self.0.run, request, content }
    }

    /// Passes the text to the log unformatted, so that it is formatted only if there is room for
    /// it.
    fn write(&self, level: Level, target: &str, text: &dyn fmt::Display) {
        let logger = match &self.0.output {
            Output::Process => log::logger(),
            Output::Custom(own, _) => &**own,
        };
        logger.log(
            &Record::builder().level(level).target(target).args(format_args!("{text}")).build(),
        );
    }
}

impl Default for Logger {
    fn default() -> Logger {
        Logger::new("".into(), 0, Clock::system(), Output::Process)
    }
}

impl fmt::Debug for Logger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Teller").field("host", &self.0.host).finish_non_exhaustive()
    }
}

impl<T: Serialize> fmt::Display for LineRef<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&serde_json::to_string(self).map_err(|_| fmt::Error)?)
    }
}

struct Steps<'a> {
    logger: &'a Logger,
    id: &'a request::Id,
    steps: &'a [(Time, Step)],
}

impl fmt::Display for Steps<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (time, step)) in self.steps.iter().enumerate() {
            if 0 < index {
                f.write_str("\n")?;
            }
            self.logger.line(time, Some(self.id), step).fmt(f)?;
        }
        Ok(())
    }
}

/// Returns the level of a belief: `warn` for what operators on call should look at, `info` for
/// normal operation.
fn level(belief: &Belief) -> Level {
    match belief {
        Belief::Start { .. }
        | Belief::Reload { .. }
        | Belief::Stop { .. }
        | Belief::Declaration { .. }
        | Belief::Customers { .. }
        | Belief::ServerSource { .. }
        | Belief::Server {
            standing: ServerStanding::Seen | ServerStanding::Leaving | ServerStanding::Back,
            ..
        }
        | Belief::Peer { standing: PeerStanding::Seen, .. }
        | Belief::Lease { state: LeaseState::Gained | LeaseState::Released, .. }
        | Belief::Placement { .. }
        | Belief::Wish { .. }
        | Belief::Order { answer: Answer::Accepted | Answer::Holds, .. }
        | Belief::Limit { .. }
        | Belief::Tolerance { .. }
        | Belief::Speeds { .. }
        | Belief::Path { state: PathState::Direct, .. }
        | Belief::Poison { state: PoisonState::Cleared, .. }
        | Belief::Dependency { state: DependencyState::Regained, .. } => Level::Info,
        Belief::Server { standing: ServerStanding::Gone | ServerStanding::Suspected, .. }
        | Belief::Peer { standing: PeerStanding::Silent, .. }
        | Belief::Lease { state: LeaseState::RenewedLate | LeaseState::Lost, .. }
        | Belief::Order {
            answer:
                Answer::Conflict | Answer::Stale | Answer::OtherRun | Answer::Rejected | Answer::None,
            ..
        }
        | Belief::Poison { state: PoisonState::Suspected | PoisonState::Confirmed, .. }
        | Belief::Path { state: PathState::Relayed, .. }
        | Belief::Dependency { state: DependencyState::Lost, .. }
        | Belief::Dropped { .. } => Level::Warn,
    }
}
