//! Slots that deferrable requests leave free at the servers of a service.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{
    Dispatcher, Map,
    arrive::{CALLER_WAIT_DIVISOR, RETRY_AFTER_MIN_DIVISOR, spread},
    load::LOAD_MAX_AGE,
    server::Server,
    stats::duration,
    task::{State, Task},
};
use crate::{
    defer::{Deferral, Reserve},
    route::Index,
};

/// Divisor of the caller's timeout that gives the time before the caller leaves from which a request
/// is no longer deferred.
const CALLER_MARGIN_DIVISOR: u32 = 8;

/// Part of the longest delay before a retry to which a random part of up to half of it is added.
const UNSPREAD_PART: f64 = 2.0 / 3.0;

/// Rounds of digests for which a request that was sent is unknown to other hosts, so that the same
/// free place is contended for again.
pub const CONTENTION_ROUNDS: u32 = 3;

/// Weight of a new prompt in the mean length of urgent prompts.
const PROMPT_WEIGHT: f64 = 0.1;

/// Deferrable requests of one service, in flight and waiting.
pub type Deferrable = (service::Id, u32, u32);

/// What a host knows of the urgent use of one service.
#[derive(Clone, Debug, Default)]
pub struct Urgency {
    pub reserve: Reserve,
    /// Slots of the servers that take requests.
    slots: f64,
    /// Mean length of urgent prompts in tokens.
    prompt: f64,
    /// Deferrable requests of other hosts, in flight and waiting.
    peers: (u32, u32),
}

impl Urgency {
    /// The reserve at one server. It is rounded such that the reserves of all servers add up to
    /// about the whole, and in the same way on all hosts: otherwise each slot of the reserve would be
    /// free in the view of some host.
    pub fn at(&self, server: &Server) -> f64 {
        let slots = f64::from(server.slots);
        (self.reserve.slots() * slots / self.slots.max(slots) + server.draw).floor()
    }
}

/// Urgent and deferrable requests of this host at one service.
#[derive(Clone, Copy, Default)]
struct Counts {
    urgent_in_flight: u32,
    urgent_waiting: u32,
    deferrable_in_flight: u32,
    deferrable_waiting: u32,
}

impl Dispatcher {
    /// Replaces the sums of the deferrable requests of other hosts.
    pub fn peer_deferrable(&mut self, sums: &[Deferrable], now: Moment) {
        self.peer_deferrable_at = Some(now);
        for service in &mut self.registry.services {
            service.urgency.peers = (0, 0);
        }
        for (id, in_flight, waiting) in sums {
            let service = self.registry.service(id);
            self.registry.services[service as usize].urgency.peers = (*in_flight, *waiting);
        }
    }

    /// Returns this host's deferrable requests for its digests, by service.
    pub fn deferrable(&self) -> Vec<Deferrable> {
        let counts = self.urgency_counts();
        let id = |service: Index| self.registry.services[service as usize].id.clone();
        let used = counts
            .iter()
            .filter(|(_, counts)| 0 < counts.deferrable_in_flight + counts.deferrable_waiting);
        used.map(|(at, of)| (id(*at), of.deferrable_in_flight, of.deferrable_waiting)).collect()
    }

    /// Number of waiting requests that leave slots free for urgent ones.
    pub fn deferred(&self, now: Moment) -> usize {
        let is_deferred = |task: &&Task| {
            matches!(task.state, State::Waiting(..)) && 0.0 < deferred_part(task, now)
        };
        self.tasks.values().filter(is_deferred).count()
    }

    /// How a request that arrives now may be deferred; `None` if it is urgent.
    pub(super) fn deferral(&self, task: &Task, now: Moment) -> Option<Deferral> {
        if task.spec.resume.is_some() {
            return None;
        }
        let serve = duration(self.serve(task));
        let margin = task.caller_timeout() / CALLER_MARGIN_DIVISOR;
        let last = task.caller_leaves_at().saturating_sub(serve + margin);
        Deferral::new(task.spec.goal.saturating_sub(serve), self.send_by(task).min(last), now)
    }

    /// Delay after which a request that is refused now may be retried: about the time until servers
    /// are expected to have capacity beyond the reserve. Requests whose callers leave sooner are
    /// retried sooner, and none later than its caller would wait.
    pub(super) fn deferred_retry_delay(&self, task: &Task, wait: f64, now: Moment) -> Duration {
        let most = task.caller_leaves_at().saturating_sub(now) / CALLER_WAIT_DIVISOR;
        let reserve = &self.registry.services[task.service as usize].urgency.reserve;
        let falls = reserve.falls_at().map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let least = task.caller_timeout() / RETRY_AFTER_MIN_DIVISOR;
        spread(task, duration(wait).max(falls).max(least).min(most.mul_f64(UNSPREAD_PART)))
    }

    /// Places at a server that a request leaves free for urgent requests, where `overfill` are those
    /// beyond the server's slots. Urgent requests would wait for what waits at the server, so a
    /// deferrable one waits on its host until a slot is free.
    pub(super) fn held_back(
        &self,
        task: &Task,
        server: &Server,
        overfill: f64,
        now: Moment,
    ) -> f64 {
        let urgency = &self.registry.services[task.service as usize].urgency;
        if task.deferral.is_none() || !urgency.reserve.is_needed() {
            return 0.0;
        }
        overfill + deferred_part(task, now) * urgency.at(server)
    }

    /// Estimated number of requests that contend for the free places that a deferrable request wants;
    /// 0 for an urgent request. It falls while the slack is used up.
    pub(super) fn deferred_contenders(&self, task: &Task, now: Moment) -> f64 {
        let service = &self.registry.services[task.service as usize];
        match task.deferral {
            Some(_) if service.urgency.reserve.is_needed() => {
                let waiting = service.queue.deferrable() + service.urgency.peers.1;
                let contenders = waiting.min(CONTENTION_ROUNDS * self.hosts);
                f64::from(contenders) * deferred_part(task, now)
            }
            Some(_) | None => 0.0,
        }
    }

    /// Prompt tokens that a request leaves unread at a server for an urgent prompt.
    pub(super) fn prompt_reserve(&self, task: &Task, now: Moment) -> f64 {
        let urgency = &self.registry.services[task.service as usize].urgency;
        match urgency.reserve.is_needed() {
            true => deferred_part(task, now) * urgency.prompt,
            false => 0.0,
        }
    }

    /// Records the prompt of an urgent request.
    pub(super) fn record_prompt(&mut self, task: &Task) {
        let prompt = &mut self.registry.services[task.service as usize].urgency.prompt;
        *prompt += (f64::from(task.input()) - *prompt) * PROMPT_WEIGHT;
    }

    /// Records the current urgent use of each service.
    pub(super) fn update_reserves(&mut self, now: Moment) {
        let counts = self.urgency_counts();
        let has_news = self.peer_deferrable_at.is_some_and(|at| now < at + LOAD_MAX_AGE);
        let mut in_use: Map<Index, (f64, f64)> = Map::default();
        for server in self.registry.servers().filter(|server| !server.is_draining()) {
            let (slots, in_flight) = in_use.entry(server.service).or_default();
            *slots += f64::from(server.slots);
            *in_flight += self.in_flight(server, now).min(f64::from(server.slots));
        }
        for (index, service) in self.registry.services.iter_mut().enumerate() {
            let own = counts.get(&(index as Index)).copied().unwrap_or_default();
            let (slots, in_flight) = in_use.get(&(index as Index)).copied().unwrap_or_default();
            let urgency = &mut service.urgency;
            if !has_news {
                urgency.peers = (0, 0);
            }
            let own_use = f64::from(own.urgent_in_flight);
            let used = match has_news {
                true => {
                    in_flight - f64::from(own.deferrable_in_flight) - f64::from(urgency.peers.0)
                }
                false => own_use,
            };
            urgency.slots = slots;
            urgency.reserve.record(used.max(own_use), f64::from(own.urgent_waiting), now);
        }
    }

    fn urgency_counts(&self) -> BTreeMap<Index, Counts> {
        let mut all: BTreeMap<Index, Counts> = BTreeMap::new();
        for task in self.tasks.values() {
            let counts = all.entry(task.service).or_default();
            match (&task.state, task.deferral) {
                (State::InFlight(attempt), _) if attempt.is_stranded => {}
                (State::InFlight(_), Some(_)) => counts.deferrable_in_flight += 1,
                (State::InFlight(_), None) => counts.urgent_in_flight += 1,
                (State::Waiting(..), None) => counts.urgent_waiting += 1,
                (State::Waiting(..), Some(_)) => counts.deferrable_waiting += 1,
                (State::Idle, _) => {}
            }
        }
        all
    }
}

/// Part of the reserve that a request leaves free; one that may have run is not deferred again.
pub fn deferred_part(task: &Task, now: Moment) -> f64 {
    task.deferral.filter(|_| task.runs == 0).map_or(0.0, |deferral| deferral.part(now))
}
