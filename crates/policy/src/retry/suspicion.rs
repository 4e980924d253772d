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
const MOST_DOUBLINGS: u32 = 16;

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
    Out,
    Trial,
}

#[derive(Clone, Copy, Debug)]
struct Doubt {
    failures: u32,
    until: Moment,
    phase: Phase,
}

/// Servers in doubt.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    backoff: Backoff,
    doubts: BTreeMap<Index, Doubt>,
}

impl Suspicion {
    /// With nobody in doubt.
    pub fn new(backoff: Backoff) -> Suspicion {
        Suspicion { backoff, doubts: BTreeMap::new() }
    }

    /// An attempt on a server failed; gives the server's eligibility from now on.
    ///
    /// A refusal for load is no reason to doubt a server; the limit deals with that.
    pub fn failed(&mut self, server: Index, point: Point, now: Moment) -> Eligibility {
        if matches!(point, Point::Refused) {
            return self.eligibility(server);
        }
        let backoff = self.backoff;
        let new = Doubt { failures: 0, until: now, phase: Phase::Out };
        let doubt = self.doubts.entry(server).or_insert(new);
        if doubt.until <= now || doubt.phase == Phase::Trial {
            doubt.phase = Phase::Out;
            let doublings = doubt.failures.min(MOST_DOUBLINGS);
            doubt.failures += 1;
            doubt.until = now + (backoff.first * (1 << doublings)).min(backoff.most);
        }
        Eligibility::Suspected(doubt.until)
    }

    /// An attempt on a server went well; true if that cleared it of a doubt.
    pub fn succeeded(&mut self, server: Index) -> bool {
        self.doubts.remove(&server).is_some()
    }

    /// A request is sent to a server whose time out has passed. The end of that time is put off,
    /// so that no other follows until this one has ended.
    pub fn try_out(&mut self, server: Index, now: Moment) -> Eligibility {
        if let Some(doubt) = self.doubts.get_mut(&server) {
            doubt.until = now + self.backoff.first;
            doubt.phase = Phase::Trial;
        }
        self.eligibility(server)
    }

    /// A server's eligibility as far as doubt goes.
    pub fn eligibility(&self, server: Index) -> Eligibility {
        self.doubts
            .get(&server)
            .map_or(Eligibility::Live, |doubt| Eligibility::Suspected(doubt.until))
    }
}
