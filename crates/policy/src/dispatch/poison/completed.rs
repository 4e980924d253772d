//! Requests that completed lately, which are assumed to crash no server.

use std::collections::BTreeSet;

use types::prelude::*;

use super::Fingerprint;

/// Length of a generation of completed requests. A completed request is assumed to crash no server
/// for at most two generations.
const COMPLETED_LIFE: Duration = Duration::from_secs(10);

/// Most completed requests remembered in each of two generations.
const MAX_COMPLETED: usize = 4096;

/// Requests that completed lately, in two generations. The previous one is dropped when the current
/// one is full or [`COMPLETED_LIFE`] old.
#[derive(Clone, Debug, Default)]
pub(super) struct CompletedRequests {
    current: BTreeSet<Fingerprint>,
    previous: BTreeSet<Fingerprint>,
    since: Moment,
}

impl CompletedRequests {
    pub(super) fn add(&mut self, request: Fingerprint, now: Moment) {
        if self.since + COMPLETED_LIFE <= now || MAX_COMPLETED <= self.current.len() {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(request);
    }

    pub(super) fn has(&self, request: Fingerprint, now: Moment) -> bool {
        let is_recent = now < self.since + COMPLETED_LIFE;
        is_recent && (self.current.contains(&request) || self.previous.contains(&request))
    }
}
