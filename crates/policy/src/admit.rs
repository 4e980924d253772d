//! Admission: what to take, what to make wait, what to refuse early as not run.
//!
//! Work that finds room starts at once. Work that does not waits in a bounded queue for its model,
//! the urgent first; among equals the customers and services take turns by their shares, and
//! within a service the earliest due goes first. Each arrival is judged by the time at which its
//! first token can be expected. What can't meet its target is refused at once, and told when to
//! come back; the same holds for waiting work as soon as its outlook turns bad. Nothing is kept
//! waiting that has been given up on.
//!
//! A class below the urgent one keeps a small part of the starts, one in [`LOWER_EVERY`], so that
//! a long rush slows it and does not stop it.

pub mod queue;

use std::collections::BTreeMap;

use types::prelude::*;

use self::queue::Queue;
use crate::route::DestinationIndex;

/// Of this many starts from a queue, one goes to the best class below the one that is due.
pub const LOWER_EVERY: u32 = 32;

/// Least time that a refused caller is told to stay away.
pub const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time that a refused caller is told to stay away.
pub const MOST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Number of a piece of work on one host.
pub type Ticket = u64;

/// Work that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Its number.
    pub ticket: Ticket,
    /// Its priority.
    pub priority: Priority,
    /// On whose behalf it runs.
    pub customer: customer::Id,
    /// That customer's share; positive.
    pub customer_share: u32,
    /// The service it calls.
    pub service: service::Id,
    /// That service's share; positive.
    pub service_share: u32,
    /// What a server must have ready to run it.
    pub wanted: DestinationIndex,
    /// The model or group that its limits belong to.
    pub pool: DestinationIndex,
    /// When its first token is due.
    pub due: Moment,
    /// Any number; spreads the times at which refused callers come back.
    pub spread: u64,
}

/// What can be expected of the servers that could run a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// How many more may start now.
    pub room: u32,
    /// How many of this host's run there.
    pub in_flight: u32,
    /// Mean time that one of them holds its place.
    pub hold: Duration,
    /// First-token time once it has started.
    pub first_token: Duration,
    /// First-token time if the servers had nothing else to do.
    pub unloaded: Duration,
}

/// Why work is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Its target can't be met under the present load.
    Late,
    /// The queue is full.
    Full,
    /// It made place for more urgent work.
    Displaced,
}

/// A refusal; the work did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When to come back, from now.
    pub retry_after: Duration,
}

/// Answer to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start it.
    Take,
    /// It is in the queue.
    Wait,
    /// It is refused.
    Refuse(Refusal),
}

/// Bounds of the queues.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most pieces of work that wait for one model.
    pub waiting: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { waiting: 512 }
    }
}

/// The queues of one host.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    bounds: Bounds,
    queues: BTreeMap<DestinationIndex, Queue>,
    waiting: BTreeMap<Ticket, DestinationIndex>,
}

impl Gate {
    /// Without work yet.
    pub fn new(bounds: Bounds) -> Gate {
        Gate { bounds, ..Gate::default() }
    }

    /// Pieces of work that wait, for all models.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Models and groups that work waits for.
    pub fn pools(&self) -> Vec<DestinationIndex> {
        self.queues.iter().filter(|(_, queue)| !queue.is_empty()).map(|(pool, _)| *pool).collect()
    }

    /// Judges an arrival. Work that it displaced from a full queue is refused at once and added to
    /// `refused`.
    pub fn arrive(
        &mut self,
        mut work: Work,
        outlook: &Outlook,
        now: Moment,
        refused: &mut Vec<(Ticket, Refusal)>,
    ) -> Verdict {
        work.due = work.due.max(now + outlook.unloaded);
        let queue = self.queues.entry(work.pool).or_default();
        let ahead = queue.ahead(&work);
        if 0 < outlook.room && ahead == 0 {
            return match late_refusal(now, Duration::ZERO, outlook, &work) {
                Some(refusal) => Verdict::Refuse(refusal),
                None => {
                    queue.started(work.priority);
                    Verdict::Take
                }
            };
        }
        let wait = queue.wait(ahead + 1, work.priority, outlook);
        if let Some(refusal) = late_refusal(now, wait, outlook, &work) {
            return Verdict::Refuse(refusal);
        }
        if self.bounds.waiting <= queue.len() {
            let Some(last) = queue.displace(work.priority) else {
                return Verdict::Refuse(refusal(Cause::Full, wait, &work));
            };
            self.waiting.remove(&last.ticket);
            let wait = queue.wait(queue.len(), last.priority, outlook);
            refused.push((last.ticket, refusal(Cause::Displaced, wait, &last)));
        }
        self.waiting.insert(work.ticket, work.pool);
        queue.push(work);
        Verdict::Wait
    }

    /// Takes out the next piece of work that has room, to be started now.
    pub fn next(
        &mut self,
        pool: DestinationIndex,
        room: impl Fn(DestinationIndex) -> u32,
    ) -> Option<Work> {
        let work = self.queues.get_mut(&pool)?.pop(room)?;
        self.waiting.remove(&work.ticket);
        Some(work)
    }

    /// Refuses the waiting work whose target can no longer be met, all of it at once.
    pub fn sweep(
        &mut self,
        pool: DestinationIndex,
        now: Moment,
        outlook: impl Fn(DestinationIndex) -> Outlook,
    ) -> Vec<(Ticket, Refusal)> {
        let Some(queue) = self.queues.get_mut(&pool) else {
            return Vec::new();
        };
        let hopeless: Vec<(Work, Refusal)> = queue
            .positions()
            .filter_map(|(position, work)| {
                let outlook = outlook(work.wanted);
                let wait = queue.wait(position, work.priority, &outlook);
                late_refusal(now, wait, &outlook, work).map(|refusal| (work.clone(), refusal))
            })
            .collect();
        for (work, _) in &hopeless {
            queue.remove(work.ticket);
            self.waiting.remove(&work.ticket);
        }
        hopeless.into_iter().map(|(work, refusal)| (work.ticket, refusal)).collect()
    }

    /// Takes out work whose caller has gone; false if it does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(pool) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.queues.get_mut(&pool).is_some_and(|queue| queue.remove(ticket).is_some())
    }
}

/// The refusal that follows if the first token can't be expected in time.
fn late_refusal(now: Moment, wait: Duration, outlook: &Outlook, work: &Work) -> Option<Refusal> {
    let at = now + wait + outlook.first_token;
    let late = at.checked_sub(work.due).filter(|late| !late.is_zero())?;
    Some(refusal(Cause::Late, late, work))
}

/// A refusal with a time to come back: when the load ahead should be gone, and up to half as long
/// again, so that those refused together do not return together.
fn refusal(cause: Cause, wait: Duration, work: &Work) -> Refusal {
    let base = wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
    let spread = base / 2 * (work.spread % 256) as u32 / 256;
    Refusal { cause, retry_after: base + spread }
}
