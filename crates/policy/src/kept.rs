//! Which of the connections kept to a server takes a request.
//!
//! A server closes what rests for longer than it says. The one that rested longest goes first, so
//! that all that were needed at a peak are used in turn and stand until the next; new ones are
//! dear. But a server may forget connections sooner than it says, and resets what comes next on
//! them. What may run only once takes the one that rested least, since nobody can tell then
//! whether it ran; and for a while after such a reset, only one that hardly rested.

use std::{collections::BTreeMap, time::Duration};

use types::{service, time::Moment};

/// Rest that no server is known to cut short.
const SHORT: Duration = Duration::from_millis(250);

/// Longest time from a request's start to the reset of a connection that was forgotten. Later, the
/// server may have been at work on it.
const AT_ONCE: Duration = Duration::from_millis(50);

/// For how long a service is taken to forget connections.
const FORGETFUL: Duration = Duration::from_secs(10);

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Runs {
    /// Once.
    Once,
    /// Again elsewhere, after a failure.
    Again,
}

/// Which connection is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The one that rested longest.
    Longest,
    /// The one that rested least.
    Least,
    /// The one that rested least, if no longer than this.
    Within(Duration),
}

/// What is known of how servers keep connections.
#[derive(Debug, Default)]
pub struct Kept {
    forgetful: BTreeMap<service::Id, Moment>,
}

impl Kept {
    /// The connection for a request.
    pub fn pick(&self, service: &service::Id, runs: Runs, now: Moment) -> Pick {
        let reset = self.forgetful.get(service);
        let is_forgetful = reset.is_some_and(|reset| now < *reset + FORGETFUL);
        match (runs, is_forgetful) {
            (Runs::Again, false) => Pick::Longest,
            (Runs::Again, true) | (Runs::Once, false) => Pick::Least,
            (Runs::Once, true) => Pick::Within(SHORT),
        }
    }

    /// A connection that had rested broke off without an answer, so long after a request was sent.
    pub fn broke(&mut self, service: &service::Id, rested: Duration, after: Duration, now: Moment) {
        if SHORT < rested && after < AT_ONCE {
            self.forgetful.insert(service.clone(), now);
        }
    }
}
