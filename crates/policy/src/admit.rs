//! Admission control: which requests start, which wait, and which are refused early.
//!
//! A request that finds room starts at once. Others wait in a bounded queue for their model, the
//! urgent class first. Within a class customers and services take turns by their shares, and within
//! a service the earliest due time comes first. Each arrival is judged by the time at which its
//! first token can be expected. A request that can't meet its target is refused at once, with a
//! time after which to retry; a waiting request is refused the same way as soon as its outlook
//! turns bad. So no request waits in vain.
//!
//! Classes below the urgent one keep a small share of the starts, one in [`LOWER_EVERY`], so that a
//! long rush of urgent requests slows them down and does not stop them.

pub mod queue;

use std::collections::BTreeMap;

use types::prelude::*;

use self::queue::Queue;
use crate::route::DestinationIndex;

/// One in this many starts from a queue goes to the best class below the one whose turn it is.
pub const LOWER_EVERY: u32 = 32;

/// Least time after which a refused caller is asked to retry.
pub const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is asked to retry.
pub const MOST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Number of a request, unique within one host.
pub type Ticket = u64;

/// A request, as admission needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The request's number on this host.
    pub ticket: Ticket,
    /// The request's priority class.
    pub priority: Priority,
    /// The customer on whose behalf the request runs.
    pub customer: customer::Id,
    /// The customer's share of the starts; positive.
    pub customer_share: u32,
    /// The service that the request calls.
    pub service: service::Id,
    /// The service's share within its customer; positive.
    pub service_share: u32,
    /// What a server must have ready to run the request.
    pub wanted: DestinationIndex,
    /// The model or group whose limits and queue the request counts against.
    pub pool: DestinationIndex,
    /// When the first token is due.
    pub due: Moment,
    /// Any number that differs between requests; spreads the times at which refused callers retry.
    pub spread: u64,
}

/// What a request can expect of the servers that could run it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// How many more requests may start now.
    pub room: u32,
    /// How many of this host's requests are in flight there.
    pub in_flight: u32,
    /// Mean time that a request stays in flight there.
    pub hold: Duration,
    /// Expected time from start to first token.
    pub first_token: Duration,
    /// Expected time from start to first token if the servers were idle.
    pub unloaded: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The request can't meet its target under the present load.
    Late,
    /// The queue is full.
    Full,
    /// A more urgent request took its place in a full queue.
    Displaced,
}

/// Refusal of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
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
    /// Most requests that wait for one model or group.
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
    /// Creates the gate without waiting requests.
    pub fn new(bounds: Bounds) -> Gate {
        Gate { bounds, ..Gate::default() }
    }

    /// Returns the number of waiting requests, over all models and groups.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the models and groups that requests wait for.
    pub fn pools(&self) -> Vec<DestinationIndex> {
        self.queues.iter().filter(|(_, queue)| !queue.is_empty()).map(|(pool, _)| *pool).collect()
    }

    /// Decides on an arrival. A request that it displaces from a full queue is refused at once and
    /// added to `refused`.
    pub fn arrive(
        &mut self,
        mut request: Request,
        outlook: &Outlook,
        now: Moment,
        refused: &mut Vec<(Ticket, Refusal)>,
    ) -> Verdict {
        request.due = request.due.max(now + outlook.unloaded);
        let queue = self.queues.entry(request.pool).or_default();
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
        let request = self.queues.get_mut(&pool)?.pop(room)?;
        self.waiting.remove(&request.ticket);
        Some(request)
    }

    /// Removes all waiting requests that can no longer meet their target, and returns their
    /// refusals.
    pub fn sweep(
        &mut self,
        pool: DestinationIndex,
        now: Moment,
        outlook: impl Fn(DestinationIndex) -> Outlook,
    ) -> Vec<(Ticket, Refusal)> {
        let Some(queue) = self.queues.get_mut(&pool) else {
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

    /// Removes a request whose caller has gone; false if it was not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(pool) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.queues.get_mut(&pool).is_some_and(|queue| queue.remove(ticket).is_some())
    }
}

/// Returns a refusal if the first token can't be expected before it is due.
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

/// Creates a refusal. The caller is asked to retry when the load ahead should be gone, and up to
/// half as much later, so that callers that were refused together do not return together.
fn refusal(cause: Cause, wait: Duration, request: &Request) -> Refusal {
    let base = wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
    let spread = base / 2 * (request.spread % 256) as u32 / 256;
    Refusal { cause, retry_after: base + spread }
}
