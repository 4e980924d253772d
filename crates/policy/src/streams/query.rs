//! A query to other hosts for the version of a stream.

use std::time::Duration;

use types::{host, time::Moment};

/// Times after the start of a query at which the hosts that have not answered are asked again.
const ROUNDS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(15),
    Duration::from_millis(45),
    Duration::from_millis(90),
];

/// Time after which a query is given up.
const TIMEOUT: Duration = Duration::from_millis(150);

/// A query to other hosts for the version of a stream.
#[derive(Clone, Debug)]
pub(super) struct Query {
    started_at: Moment,
    /// Number of rounds in which hosts were asked.
    rounds: usize,
    /// Hosts that are asked first.
    near: Vec<host::Id>,
    /// Hosts that are asked from the second round on, since hosts differ in which others they know.
    wide: Vec<host::Id>,
    /// Hosts that have no record of the stream.
    without: Vec<host::Id>,
    /// The first host that had a record of the stream.
    pub(super) answered_by: Option<host::Id>,
}

/// What follows in a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The query goes to these hosts; the next step is due at this time.
    Ask(Vec<host::Id>, Moment),
    /// The next step is due at this time.
    Wait(Moment),
    /// No host has a record of the stream, or none answers.
    GiveUp,
}

impl Query {
    pub(super) fn new(near: Vec<host::Id>, wide: Vec<host::Id>, now: Moment) -> Query {
        Query { started_at: now, rounds: 0, near, wide, without: Vec::new(), answered_by: None }
    }

    /// Whether the query's time is over.
    pub(super) fn is_over(&self, now: Moment) -> bool {
        self.started_at + TIMEOUT <= now
    }

    /// Records a host's answer. Returns false if the host was not asked.
    pub(super) fn answered(&mut self, host: &host::Id, has_record: bool) -> bool {
        if !self.wide.contains(host) && !self.near.contains(host) {
            return false;
        }
        if has_record {
            self.answered_by.get_or_insert_with(|| host.clone());
        } else if !self.without.contains(host) {
            self.without.push(host.clone());
        }
        true
    }

    pub(super) fn step(&mut self, now: Moment) -> Step {
        let unanswered = |hosts: &[host::Id]| -> Vec<host::Id> {
            hosts.iter().filter(|host| !self.without.contains(host)).cloned().collect()
        };
        let hosts = unanswered(if self.rounds == 0 { &self.near } else { &self.wide });
        if hosts.is_empty() || self.is_over(now) {
            return Step::GiveUp;
        }
        let near_are_without = self.rounds == 1 && unanswered(&self.near).is_empty();
        let due = ROUNDS.get(self.rounds).map(|after| self.started_at + *after);
        let is_due = due.is_some_and(|due| due <= now) || near_are_without;
        if is_due {
            self.rounds += 1;
        }
        let next = ROUNDS.get(self.rounds).unwrap_or(&TIMEOUT);
        let next = self.started_at + *next;
        if is_due { Step::Ask(hosts, next) } else { Step::Wait(next) }
    }
}
