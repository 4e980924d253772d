//! Admission control: which requests start, which wait, and which are refused early.
//!
//! A request that finds room starts at once. Others wait in a bounded queue for their model, the
//! urgent class first. Within a class, customers and services take turns by their shares, and
//! within a service the earliest due time comes first. For each arrival, the time of its first
//! token is estimated. A request whose first token is not expected before it is due is refused at
//! once, with a time after which to retry, and so is a waiting request as soon as that becomes
//! true of it, so that callers don't wait for answers that would be late.
//!
//! Classes below the urgent one keep a small share of the starts, one in [`LOWER_EVERY`], so that a
//! long burst of urgent requests slows them down and does not stop them.

pub mod queue;

use std::collections::BTreeMap;

use types::prelude::*;

use self::queue::Queue;
use crate::route::DestinationIndex;

/// One in this many starts from a queue goes to the second most urgent class that has waiting
/// requests, instead of the most urgent one.
pub const LOWER_EVERY: u32 = 32;

/// Shortest time after which a refused caller is asked to retry.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Upper bound of the time after which a refused caller is asked to retry, before up to half of it
/// is added to spread the retries.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Number of a request, unique within one host.
pub type Ticket = u64;

/// Request, with what admission needs to know of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of the request on this host.
    pub ticket: Ticket,
    /// Priority class of the request.
    pub priority: Priority,
    /// Customer on whose behalf the request runs.
    pub customer: customer::Id,
    /// Weight of the customer among the customers of its class; zero counts as one.
    pub customer_share: u32,
    /// Service that the request calls.
    pub service: service::Id,
    /// Weight of the service among those of its customer; zero counts as one.
    pub service_share: u32,
    /// Destination that a server must have ready to run the request.
    pub wanted: DestinationIndex,
    /// Model or group whose limits and queue the request counts against.
    pub pool: DestinationIndex,
    /// When the first token is due.
    pub due: Moment,
    /// Any number that differs between requests; its lowest eight bits spread the times at which
    /// refused callers retry.
    pub spread: u64,
}

/// Room, load and expected times of the servers that could run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Number of requests that may start now.
    pub room: u32,
    /// Number of this host's requests in flight on these servers.
    pub in_flight: u32,
    /// Mean time for which a request stays in flight on these servers.
    pub hold: Duration,
    /// Expected time from start to first token.
    pub first_token: Duration,
    /// Expected time from start to first token if the servers were otherwise idle.
    pub unloaded: Duration,
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The first token is not expected before it is due.
    Late,
    /// The queue is full and no waiting request is in a less urgent class.
    Full,
    /// A more urgent request displaced this one from a full queue.
    Displaced,
}

/// Refusal of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Decision on an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request starts now.
    Take,
    /// The request waits in the queue.
    Wait,
    /// The request is refused.
    Refuse(Refusal),
}

/// Bounds of the queues.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest number of requests that wait for one model or group.
    pub waiting: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { waiting: 512 }
    }
}

/// Queues of one host.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    bounds: Bounds,
    by_pool: BTreeMap<DestinationIndex, Queue>,
    waiting: BTreeMap<Ticket, DestinationIndex>,
}

impl Queues {
    /// Returns queues without waiting requests.
    pub fn new(bounds: Bounds) -> Queues {
        Queues { bounds, ..Queues::default() }
    }

    /// Number of waiting requests, over all models and groups.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Models and groups that requests wait for.
    pub fn pools(&self) -> Vec<DestinationIndex> {
        self.by_pool.iter().filter(|(_, queue)| !queue.is_empty()).map(|(pool, _)| *pool).collect()
    }

    /// Decides on an arrival. If the request displaces another from a full queue, the refusal of
    /// the other is added to `refused`. A due time that the servers could not meet even if idle is
    /// first moved to the earliest that they could.
    pub fn arrive(
        &mut self,
        mut request: Request,
        outlook: &Outlook,
        now: Moment,
        refused: &mut Vec<(Ticket, Refusal)>,
    ) -> Verdict {
        request.due = request.due.max(now + outlook.unloaded);
        let queue = self.by_pool.entry(request.pool).or_default();
        let ahead = queue.ahead(&request);
        if 0 < outlook.room && ahead == 0 {
            return match late_refusal(now, Duration::ZERO, outlook, &request) {
                Some(refusal) => Verdict::Refuse(refusal),
                None => {
                    queue.started(request.priority);
                    Verdict::Take
                }
            };
        }
        let wait = queue.wait(ahead + 1, request.priority, outlook);
        if let Some(refusal) = late_refusal(now, wait, outlook, &request) {
            return Verdict::Refuse(refusal);
        }
        if self.bounds.waiting <= queue.len() {
            let Some(last) = queue.displace(request.priority) else {
                return Verdict::Refuse(refusal(Cause::Full, wait, &request));
            };
            self.waiting.remove(&last.ticket);
            let wait = queue.wait(queue.len(), last.priority, outlook);
            refused.push((last.ticket, refusal(Cause::Displaced, wait, &last)));
        }
        self.waiting.insert(request.ticket, request.pool);
        queue.push(request);
        Verdict::Wait
    }

    /// Removes and returns the next request that has room, to be started now.
    pub fn next(
        &mut self,
        pool: DestinationIndex,
        room: impl Fn(DestinationIndex) -> u32,
    ) -> Option<Request> {
        let request = self.by_pool.get_mut(&pool)?.pop(room)?;
        self.waiting.remove(&request.ticket);
        Some(request)
    }

    /// Removes the waiting requests of a model or group whose first token is no longer expected
    /// before it is due, and returns their refusals.
    pub fn sweep(
        &mut self,
        pool: DestinationIndex,
        now: Moment,
        outlook: impl Fn(DestinationIndex) -> Outlook,
    ) -> Vec<(Ticket, Refusal)> {
        let Some(queue) = self.by_pool.get_mut(&pool) else {
            return Vec::new();
        };
        let hopeless: Vec<(Request, Refusal)> = queue
            .positions()
            .filter_map(|(position, request)| {
                let outlook = outlook(request.wanted);
                let wait = queue.wait(position, request.priority, &outlook);
                late_refusal(now, wait, &outlook, request).map(|refusal| (request.clone(), refusal))
            })
            .collect();
        for (request, _) in &hopeless {
            queue.remove(request.ticket);
            self.waiting.remove(&request.ticket);
        }
        hopeless.into_iter().map(|(request, refusal)| (request.ticket, refusal)).collect()
    }

    /// Removes a request whose caller has disconnected; returns false if it was not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(pool) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.by_pool.get_mut(&pool).is_some_and(|queue| queue.remove(ticket).is_some())
    }
}

/// Returns a refusal if the first token is not expected before it is due.
fn late_refusal(
    now: Moment,
    wait: Duration,
    outlook: &Outlook,
    request: &Request,
) -> Option<Refusal> {
    let at = now + wait + outlook.first_token;
    let late = at.checked_sub(request.due).filter(|late| !late.is_zero())?;
    Some(refusal(Cause::Late, late, request))
}

/// Returns a refusal. The caller is asked to retry after the time `wait`, within bounds, and up to
/// half as much later, so that callers that were refused together do not retry together.
fn refusal(cause: Cause, wait: Duration, request: &Request) -> Refusal {
    let base = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let spread = base / 2 * (request.spread % 256) as u32 / 256;
    Refusal { cause, retry_after: base + spread }
}
