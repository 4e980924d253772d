//! Tells one host's lines to a log.

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
        Answer, Belief, DependencyState, LeaseState, PeerStanding, PoisonState, ServerStanding,
    },
    line::{LineRef, Time},
    request::Request,
    sample::Sampler,
    step::Step,
};
use crate::clock::Clock;

/// Where a logger's lines go.
#[derive(Clone)]
pub enum Output {
    /// To the process's log, at its level.
    Process,
    /// To a log of the logger's own, at this level.
    Custom(Arc<dyn Log>, LevelFilter),
}

/// Tells the lines of one host; a clone tells for the same.
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
    /// Tells for this run of a host. The clock is the one that peers' stamps are shown to.
    pub fn new(host: host::Id, run: host::Incarnation, clock: Clock, output: Output) -> Logger {
        let sampler = Mutex::default();
        Logger(Arc::new(Inner { host, run, clock, origin: Instant::now(), output, sampler }))
    }

    /// Begins a request's story.
    pub fn request(&self, id: request::Id) -> Request {
        Request::with_logger(self.clone(), id)
    }

    /// Tells what the host now believes.
    pub fn belief(&self, belief: Belief) {
        let level = level(&belief);
        if self.wants(level) {
            let target = if belief.is_plan() { PLAN } else { BELIEF };
            self.write(level, target, &self.line(&self.now(), None, &belief));
        }
    }

    pub(super) fn wants(&self, level: Level) -> bool {
        match &self.0.output {
            Output::Process => level <= log::max_level(),
            Output::Custom(_, filter) => level <= *filter,
        }
    }

    pub(super) fn now(&self) -> Time {
        Time::now(self.0.clock.stamp(), self.0.origin.elapsed())
    }

    /// How many requests that went well one line of this route stands for, if there is to be one.
    pub(super) fn sample(&self, route: &str) -> Option<u32> {
        let mut sampler = self.0.sampler.lock().unwrap_or_else(PoisonError::into_inner);
        sampler.weigh(self.0.origin.elapsed(), route)
    }

    /// Tells some steps of a request as one record: all of them are written, or none.
    pub(super) fn steps(&self, level: Level, id: &request::Id, steps: &[(Time, Step)]) {
        self.write(level, REQUEST, &Steps { logger: self, id, steps });
    }

    /// The text of a line about now.
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

    /// The log asks for the text only if it has room for it.
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

/// What on-call should look at stands above what goes as planned.
fn level(belief: &Belief) -> Level {
    match belief {
        Belief::Start { .. }
        | Belief::Reload { .. }
        | Belief::Stop { .. }
        | Belief::Declaration { .. }
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
        | Belief::Dependency { state: DependencyState::Lost, .. }
        | Belief::Dropped { .. } => Level::Warn,
    }
}
