//! Attempts on connections that a partition between this host and a server has broken.

use types::prelude::*;

use super::{
    Dispatcher,
    breaker::Breaker,
    registry::Registry,
    stats::duration,
    task::{Attempt, Hedge, Phase, State, Task},
    watch::Times,
};
use crate::paths::Path;

/// Silence of a server, at least, after which the path to it is checked.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Multiple of the expected time for which a server may be silent before the path is checked.
const SILENCE_TIMES: f64 = 2.0;

/// Silence of a direct connection to a server that is reached through other hosts, after which a
/// request on it counts as stranded.
const STRANDED_AFTER: Duration = Duration::from_millis(300);

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
        if self.watch.is_catching_up(now) {
            return Vec::new();
        }
        let is_silent = |attempt: &Attempt| {
            let allowed = duration(attempt.expected_ms * SILENCE_TIMES).max(MIN_SILENCE);
            let server = self.registry.get(attempt.server).filter(|server| server.id == attempt.id);
            let heard_at = server.map_or(now, |server| server.answered_at.max(attempt.heard_at));
            attempt.path == Some(Path::Direct) && allowed < self.watch.since(heard_at, now)
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
}

/// Marks a request on a broken connection, which is no longer work that its server has.
pub(super) fn mark_stranded(task: &mut Task, registry: &mut Registry, times: &Times, now: Moment) {
    let State::InFlight(attempt) = &mut task.state else { return };
    if !attempt.is_stranded && is_stranded(attempt, registry, times, now) {
        attempt.is_stranded = true;
        if let Some(server) = registry.get_same(attempt.server, &attempt.id) {
            server.load.ended(task.spec.ticket);
            registry.changed_loads.push(attempt.server);
        }
    }
}

/// Records that something has arrived for a request, which is therefore not stranded.
pub(super) fn heard(registry: &mut Registry, task: &mut Task, now: Moment) {
    let memory = task.memory();
    let State::InFlight(attempt) = &mut task.state else { return };
    attempt.heard_at = now;
    attempt.hedge = Hedge::No;
    if std::mem::take(&mut attempt.is_stranded)
        && let Some(server) = registry.get_same(attempt.server, &attempt.id)
    {
        let prefill = match attempt.phase {
            Phase::Pending | Phase::Overdue => task.spec.input,
            Phase::Responding => 0,
        };
        server.load.sent(task.spec.ticket, prefill, memory, now);
        registry.changed_loads.push(attempt.server);
    }
}

fn is_stranded(attempt: &Attempt, registry: &Registry, times: &Times, now: Moment) -> bool {
    let server = registry.get(attempt.server).filter(|server| server.id == attempt.id);
    attempt.path == Some(Path::Direct)
        && server.is_some_and(|server| server.path == Path::Relayed)
        && STRANDED_AFTER < times.since(attempt.heard_at, now)
}
