//! Paths to servers, and servers that are silent.

use types::prelude::*;

use super::{
    Dispatcher,
    breaker::Breaker,
    request::Ticket,
    stats::duration,
    task::{Attempt, State, Task},
};
use crate::paths::Path;

/// Silence of a server, at least, after which the path to it is checked.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Multiple of the expected time for which a server may be silent before the path is checked.
const SILENCE_TIMES: f64 = 2.0;

impl Dispatcher {
    /// Records that a server is reached through other hosts only. Its breaker was tripped by the
    /// fault of this host's links, if at all.
    pub fn path_lost(&mut self, id: &backend::Id) {
        self.set_path(id, Path::Relayed);
    }

    /// Records that a server is reached directly again.
    pub fn path_restored(&mut self, id: &backend::Id) {
        self.set_path(id, Path::Direct);
    }

    fn set_path(&mut self, id: &backend::Id, path: Path) {
        let Some(index) = self.registry.index(id) else { return };
        if let Some(server) = self.registry.get_mut(index) {
            server.path = path;
            server.breaker = Breaker::default();
            server.unanswered = 0;
        }
    }

    /// Servers that have sent nothing since a request was sent to them directly, for longer than
    /// their load explains.
    pub fn silent_servers(&self, now: Moment) -> Vec<backend::Id> {
        let is_silent = |attempt: &Attempt| {
            let allowed = duration(attempt.expected_ms * SILENCE_TIMES).max(MIN_SILENCE);
            let server = self.registry.get(attempt.server).filter(|server| server.id == attempt.id);
            let heard_at = server.map_or(now, |server| server.answered_at.max(attempt.heard_at));
            attempt.path == Some(Path::Direct) && heard_at + allowed < now
        };
        let attempts = self.tasks.values().filter_map(|task| match &task.state {
            State::InFlight(attempt) if is_silent(attempt) => Some(attempt.id.clone()),
            _ => None,
        });
        let mut silent: Vec<backend::Id> = attempts.collect();
        silent.sort_unstable();
        silent.dedup();
        silent
    }

    /// Records that something has arrived for a request.
    pub(super) fn heard(&mut self, ticket: Ticket, now: Moment) {
        if let Some(task) = self.tasks.get_mut(&ticket) {
            heard(task, now);
        }
    }
}

/// Records that something has arrived for a request.
pub(super) fn heard(task: &mut Task, now: Moment) {
    if let State::InFlight(attempt) = &mut task.state {
        attempt.heard_at = now;
    }
}
