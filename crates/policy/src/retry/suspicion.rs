//! Which servers get nothing for a while, since they failed.
//!
//! A broken connection says more than any list: the process is gone or the way to it is. The
//! server is left out at once, for a time that doubles with each further failure; then one request
//! may try it, and only its success clears the server.

use std::collections::BTreeMap;

use types::prelude::*;

use super::Point;
use crate::route::{Eligibility, Index};

/// Longest doubling, so that the shift can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Parameters of suspicion.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// How long a server is left out after its first failure.
    pub first: Duration,
    /// The longest it is left out.
    pub most: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { first: Duration::from_millis(500), most: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Excluded,
    Trial,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    failures: u32,
    until: Moment,
    phase: Phase,
}

/// Servers in doubt.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    backoff: Backoff,
    suspects: BTreeMap<Index, Suspect>,
}

impl Suspicion {
    /// With nobody in doubt.
    pub fn new(backoff: Backoff) -> Suspicion {
        Suspicion { backoff, suspects: BTreeMap::new() }
    }

    /// An attempt on a server failed; gives the server's eligibility from now on.
    ///
    /// A refusal for load is no reason to doubt a server; the limit deals with that.
    pub fn failed(&mut self, server: Index, point: Point, now: Moment) -> Eligibility {
        if matches!(point, Point::Refused) {
            return self.eligibility(server);
        }
        let backoff = self.backoff;
        let new = Suspect { failures: 0, until: now, phase: Phase::Excluded };
        let suspect = self.suspects.entry(server).or_insert(new);
        if suspect.until <= now || suspect.phase == Phase::Trial {
            suspect.phase = Phase::Excluded;
            let doublings = suspect.failures.min(MAX_DOUBLINGS);
            suspect.failures += 1;
            suspect.until = now + (backoff.first * (1 << doublings)).min(backoff.most);
        }
        Eligibility::Suspected(suspect.until)
    }

    /// An attempt on a server went well; true if that cleared it of a doubt.
    pub fn succeeded(&mut self, server: Index) -> bool {
        self.suspects.remove(&server).is_some()
    }

    /// A request is sent to a server whose time out has passed. The end of that time is put off,
    /// so that no other follows until this one has ended.
    pub fn try_out(&mut self, server: Index, now: Moment) -> Eligibility {
        if let Some(suspect) = self.suspects.get_mut(&server) {
            suspect.until = now + self.backoff.first;
            suspect.phase = Phase::Trial;
        }
        self.eligibility(server)
    }

    /// A server's eligibility as far as doubt goes.
    pub fn eligibility(&self, server: Index) -> Eligibility {
        self.suspects
            .get(&server)
            .map_or(Eligibility::Live, |suspect| Eligibility::Suspected(suspect.until))
    }
}
