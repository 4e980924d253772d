//! Addresses at which hosts may be, tried with exponential backoff.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use types::time::Moment;

use super::wire::Reply;

/// Pause before an address is tried the second time; doubled with each further attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Most addresses that are tried in one tick.
const MAX_AT_ONCE: usize = 32;

/// How long a temporary candidate is tried: the address of a forgotten host, or one that a datagram
/// named or came from.
const TEMPORARY_RETRY_PERIOD: Duration = Duration::from_secs(600);

/// Whether an address was tried before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attempt {
    First,
    Repeat,
}

#[derive(Debug, Default)]
pub(super) struct Candidates(BTreeMap<SocketAddr, Candidate>);

#[derive(Debug)]
struct Candidate {
    next: Moment,
    pause: Duration,
    until: Option<Moment>,
}

impl Candidates {
    /// Adds an address that is tried without end, such as a seed.
    pub(super) fn add(&mut self, now: Moment, address: SocketAddr) {
        let candidate = Candidate { next: now, pause: MIN_BACKOFF, until: None };
        self.0.entry(address).or_insert(candidate).until = None;
    }

    /// Adds an address that is tried for a limited time.
    pub(super) fn add_temporary(&mut self, now: Moment, address: SocketAddr) {
        let candidate =
            Candidate { next: now, pause: MIN_BACKOFF, until: Some(now + TEMPORARY_RETRY_PERIOD) };
        self.0.entry(address).or_insert(candidate);
    }

    /// Returns the addresses to be tried now, without those at which a host is known. Of the
    /// addresses that were tried before, at most `max_repeats` are returned: those that have been
    /// due the longest.
    pub(super) fn due(
        &mut self,
        now: Moment,
        max_repeats: usize,
        is_known: impl Fn(SocketAddr) -> bool,
    ) -> Vec<(SocketAddr, Reply, Attempt)> {
        self.0.retain(|_, candidate| candidate.until.is_none_or(|until| now < until));
        let (known, unknown): (Vec<_>, Vec<_>) =
            self.0.iter_mut().partition(|(address, _)| is_known(**address));
        for (_, candidate) in known {
            candidate.next = now;
            candidate.pause = MIN_BACKOFF;
        }
        let due = unknown.into_iter().filter(|(_, candidate)| candidate.next <= now);
        let (fresh, mut tried): (Vec<_>, Vec<_>) =
            due.partition(|(_, candidate)| candidate.pause == MIN_BACKOFF);
        tried.sort_by_key(|(_, candidate)| candidate.next);
        let fresh = fresh.into_iter().map(|one| (one, Attempt::First));
        let tried = tried.into_iter().take(max_repeats).map(|one| (one, Attempt::Repeat));
        let due = fresh.chain(tried).take(MAX_AT_ONCE);
        due.map(|((&address, candidate), attempt)| (address, candidate.start(now), attempt))
            .collect()
    }
}

impl Candidate {
    /// Schedules the next attempt, and returns the reply that the greeting asks for. Candidates
    /// that are tried without end, such as seeds, are asked for the members that they know.
    fn start(&mut self, now: Moment) -> Reply {
        self.next = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_BACKOFF);
        self.until.map_or(Reply::Members, |_| Reply::Identity)
    }
}
