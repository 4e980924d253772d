//! Suspicion: servers that get no requests for a while since they failed.
//!
//! A broken connection is surer evidence than any list of servers: the process or the path to it is
//! gone. The server is excluded at once, for a time that doubles with each further failure; then
//! one request may try it, and only the success of a request clears the server.

use std::collections::BTreeMap;

use types::prelude::*;

use super::Point;
use crate::route::{Eligibility, Index};

/// Largest number of doublings, so that the shift can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff of servers that fail.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Time for which a server is excluded after its first failure.
    pub first: Duration,
    /// Longest time for which a server is excluded.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { first: Duration::from_millis(500), max: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Excluded,
    Trial,
}

#[derive(Clone, Copy, Debug)]
struct Exclusion {
    failures: u32,
    until: Moment,
    phase: Phase,
}

/// Servers that are suspected.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    backoff: Backoff,
    exclusions: BTreeMap<Index, Exclusion>,
}

impl Suspicion {
    /// Returns a state in which no server is suspected.
    pub fn new(backoff: Backoff) -> Suspicion {
        Suspicion { backoff, exclusions: BTreeMap::new() }
    }

    /// Records a failed attempt on a server and returns the eligibility of that server from now on.
    ///
    /// A refusal for load does not make a server suspected; the limiter handles it.
    pub fn failed(&mut self, server: Index, point: Point, now: Moment) -> Eligibility {
        if matches!(point, Point::Refused) {
            return self.eligibility(server);
        }
        let backoff = self.backoff;
        let new = Exclusion { failures: 0, until: now, phase: Phase::Excluded };
        let exclusion = self.exclusions.entry(server).or_insert(new);
        if exclusion.until <= now || exclusion.phase == Phase::Trial {
            exclusion.phase = Phase::Excluded;
            let doublings = exclusion.failures.min(MAX_DOUBLINGS);
            exclusion.failures += 1;
            exclusion.until = now + (backoff.first * (1 << doublings)).min(backoff.max);
        }
        Eligibility::Suspected(exclusion.until)
    }

    /// Records a successful attempt on a server; returns whether that cleared a suspicion.
    pub fn succeeded(&mut self, server: Index) -> bool {
        self.exclusions.remove(&server).is_some()
    }

    /// Records that a request is sent to a server whose exclusion has passed. The exclusion is
    /// extended, so that no other request follows until this one has ended.
    pub fn start_trial(&mut self, server: Index, now: Moment) -> Eligibility {
        if let Some(exclusion) = self.exclusions.get_mut(&server) {
            exclusion.until = now + self.backoff.first;
            exclusion.phase = Phase::Trial;
        }
        self.eligibility(server)
    }

    /// Eligibility of a server, as far as suspicion goes.
    pub fn eligibility(&self, server: Index) -> Eligibility {
        self.exclusions
            .get(&server)
            .map_or(Eligibility::Live, |exclusion| Eligibility::Suspected(exclusion.until))
    }
}
