//! Chooses the server with the lowest cost: the expected time to the first byte, plus other
//! criteria converted to milliseconds.

use types::{prelude::*, routed::Kind};

use super::{
    Dispatcher,
    breaker::State,
    list::{Locality, MAX_SAMPLE, ServerList},
    mixed,
    poison::{Standing, Subject},
    request::RequestSpec,
    server::Server,
    slots::{Asks, Place, Sight, Wait},
    stats::{Stats, millis},
    task::Task,
};
use crate::{
    route::{Index, hints::Holder},
    slots::{self, Access},
};

/// Prompt tokens that a server of median speed is assumed to prefill in a millisecond; the speed and
/// the pace of a server correct the expected time.
pub const PREFILL_TOKENS_PER_MS: f64 = slots::PREFILL_TOKENS_PER_MS as f64;

/// Factor of the cost of prefilling the prompt over the time that it takes: a token that another
/// server may have cached should not be prefilled again.
const PREFILL_REPEAT_FACTOR: f64 = 2.0;

/// Cost in milliseconds of a server in another zone: low for plain responses, which are small, and
/// higher for streams, which are long.
const OTHER_ZONE_PLAIN_MS: f64 = 3.0;
const OTHER_ZONE_STREAM_MS: f64 = 10.0;

/// Cost of a full server over an empty one, as a part of the goal.
const FULL_SERVER_COST: f64 = 0.1;

/// Bound of the random part of the cost, as a part of the goal and in milliseconds. It is less than
/// the cost of another zone.
const JITTER: f64 = 0.01;
const MAX_JITTER_MS: f64 = 2.0;

/// Part of the goal that a request may wait in a server's own queue, so that no slot stays empty
/// between the end of a request there and the arrival of the next from this host.
const OVERFILL: f64 = 0.125;

/// Part of the KV memory in use above which preemption becomes likely; the factor by which the
/// excess over that part becomes a cost in milliseconds; and the part from which on no request is
/// sent.
const MEMORY_SOFT: f64 = 0.85;
const MEMORY_COST_MS: f64 = 2000.0;
const MEMORY_HARD: f64 = 0.97;

/// Part of the allowed pause between events that a server may take to prefill all waiting prompts.
/// Each piece of a prompt is prefilled between the tokens of all streams on the server.
const PREFILL_IN_PAUSE: f64 = 0.5;

/// Cost in milliseconds of each request in flight on a server, if the request to be sent is
/// suspected to crash servers.
const SUSPECT_COST_MS: f64 = 10_000.0;

/// The chosen server, with the expected times and their parts as in
/// [`Attempt`](super::task::Attempt).
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    pub server: Index,
    pub baseline_ms: f64,
    pub work_ms: f64,
    pub queue_ms: f64,
    pub expected_ms: f64,
    pub prefill: u32,
    cost_ms: f64,
}

#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    Send(Choice),
    /// Some servers could run the request, but none has a place for it now. Those whose owners may
    /// grant a slot are to be asked.
    Full(Asks),
    /// No server could run the request.
    NoServer,
}

impl Outcome {
    /// Servers whose owners are to be asked for a slot.
    pub fn asks(&self) -> Asks {
        match self {
            Outcome::Full(asks) => *asks,
            Outcome::Send(_) | Outcome::NoServer => Asks::default(),
        }
    }
}

/// The result of a search among servers.
#[derive(Default)]
struct Candidates {
    best: Option<Choice>,
    /// The best server among those whose breaker is open.
    tripped: Option<Choice>,
    /// The best servers whose owners may grant a slot.
    asks: Asks,
    tripped_asks: Asks,
    /// Whether a server with a closed breaker and a permit left could run the request.
    has_usable: bool,
    /// Whether any server could run the request.
    has_capable: bool,
}

impl Dispatcher {
    /// Chooses a server for a request that may wait for a slot.
    pub(super) fn choose(&self, task: &Task, now: Moment) -> Outcome {
        self.choose_for(task, Wait::Possible, now)
    }

    /// Chooses a server for a request.
    pub(super) fn choose_for(&self, task: &Task, wait: Wait, now: Moment) -> Outcome {
        if self.suspects(&task.spec).any(|suspect| self.poison.must_wait(suspect, now)) {
            return Outcome::Full(Asks::default());
        }
        let holders = self.holders(task, now);
        let list = self.list(task);
        let sampled = list.sample(task.seed()).chain(holders.iter().map(|holder| holder.server));
        let mut found = self.search(task, &holders, sampled, wait, now);
        let is_found = found.best.is_some() || !found.asks.is_empty();
        if !is_found && MAX_SAMPLE < list.all().len() {
            found = self.search(task, &holders, list.all().iter().copied(), wait, now);
        }
        match found {
            Candidates { best: Some(choice), .. } => Outcome::Send(choice),
            Candidates { tripped: Some(choice), has_usable: false, .. } => Outcome::Send(choice),
            Candidates { has_usable: false, has_capable: true, asks, tripped_asks, .. }
                if asks.is_empty() =>
            {
                Outcome::Full(tripped_asks)
            }
            Candidates { has_capable: true, asks, .. } => Outcome::Full(asks),
            Candidates { .. } => Outcome::NoServer,
        }
    }

    /// Servers that could run the request, regardless of its adapter.
    pub(super) fn list(&self, task: &Task) -> &ServerList {
        match task.model {
            Some(model) => &self.registry.models[model as usize].list,
            None => &self.registry.services[task.service as usize].list,
        }
    }

    /// Times of requests for the same model or service.
    pub(super) fn stats(&self, task: &Task) -> &Stats {
        match task.model {
            Some(model) => &self.registry.models[model as usize].stats,
            None => &self.registry.services[task.service as usize].stats,
        }
    }

    /// Whether a server could run the request, regardless of its state, breaker and load. A stream
    /// that has begun is run by servers of the version that began it only, and one that may be resumed
    /// begins at a listed version.
    pub(super) fn is_capable(&self, task: &Task, server: &Server) -> bool {
        let adapter = task.spec.adapter.as_ref();
        let is_loaded = task.model.is_none_or(|model| server.models.is_loaded(model, adapter));
        let is_same_software = task.spec.software.is_none_or(|began| server.software == began);
        let may_begin =
            server.may_begin || task.spec.software.is_some() || !task.spec.is_resumable_stream();
        is_loaded && is_same_software && may_begin && task.may_ask(&server.id)
    }

    /// Whether the request's stream can't go on, since it must avoid all servers of the version that
    /// began it, or none serves any more.
    pub(super) fn lacks_software(&self, task: &Task) -> bool {
        let Some(software) = task.spec.software else { return false };
        let list = &self.registry.services[task.service as usize].list;
        let mut servers = list.all().iter().filter_map(|at| self.registry.get(*at));
        !servers.any(|server| server.software == software && task.may_ask(&server.id))
    }

    /// Whether any server could run the request.
    pub(super) fn has_capable_server(&self, task: &Task) -> bool {
        let servers = self.list(task).all().iter().filter_map(|at| self.registry.get(*at));
        servers.into_iter().any(|server| self.is_capable(task, server))
    }

    /// What of a request is suspected to crash servers, so that the request runs isolated or waits.
    pub(super) fn suspects(&self, spec: &RequestSpec) -> impl Iterator<Item = Subject> {
        let is_suspect = |subject: &Subject| Standing::Clear < self.poison.standing(*subject);
        spec.subjects().filter(is_suspect)
    }

    /// How a request is treated: like the worst of what may crash its servers.
    pub(super) fn standing(&self, spec: &RequestSpec) -> Standing {
        let standings = spec.subjects().map(|subject| self.poison.standing(subject));
        standings.max().unwrap_or(Standing::Clear)
    }

    /// Whether a request runs isolated from others like it, or waits as it may be poison.
    pub(super) fn is_suspect(&self, task: &Task) -> bool {
        Standing::Clear < self.standing(&task.spec)
    }

    /// Whether a request is refused since it crashes servers.
    pub(super) fn is_quarantined(&self, spec: &RequestSpec, now: Moment) -> bool {
        spec.subjects().any(|subject| self.poison.is_refused(subject, now))
    }

    fn search(
        &self,
        task: &Task,
        holders: &[Holder],
        servers: impl Iterator<Item = Index>,
        wait: Wait,
        now: Moment,
    ) -> Candidates {
        let mut found = Candidates::default();
        let is_suspect = self.is_suspect(task);
        let prompt_reserve = self.prompt_reserve(task, now);
        for index in servers {
            let Some(server) = self.registry.get(index) else { continue };
            if is_suspect && self.poison.runs_suspect(&server.id, now) {
                found.has_capable = true;
                continue;
            }
            if server.state == types::routed::State::Draining || !self.is_capable(task, server) {
                continue;
            }
            found.has_capable = true;
            let state = server.breaker.state(now);
            let is_usable = match state {
                State::Closed | State::HalfOpenAny => true,
                State::HalfOpen => task.spec.is_repeatable(),
                State::Open => false,
            };
            // Only a server with a closed breaker and a permit left is worth waiting for; without
            // one, a server with an open breaker is chosen.
            found.has_usable |= state == State::Closed && self.has_permit(server, now);
            let prefill = task.input() - cached_tokens(task, holders, index);
            let sight = self.sight(server, wait, now);
            let place = self.place(task, index, server, &sight, now);
            if place == Place::None
                || !keeps_stream_pauses(task, server, &sight, prefill, prompt_reserve, now)
            {
                continue;
            }
            let choice = self.estimate(task, prefill, index, server, &sight, now);
            if place == Place::Askable {
                let asks = if is_usable { &mut found.asks } else { &mut found.tripped_asks };
                asks.add(index, choice.cost_ms);
                continue;
            }
            let best = if is_usable { &mut found.best } else { &mut found.tripped };
            if best.is_none_or(|best| choice.cost_ms < best.cost_ms) {
                *best = Some(choice);
            }
        }
        found
    }

    /// Whether a server takes one more request without making it wait for long, or its owner may be
    /// asked for a slot.
    fn place(
        &self,
        task: &Task,
        index: Index,
        server: &Server,
        sight: &Sight,
        now: Moment,
    ) -> Place {
        let slots = f64::from(server.slots);
        let hold = self.stats(task).hold() * server.speed.scale(now);
        let overfill = overfill(task.spec.goal, slots, hold);
        let in_flight = sight.in_flight;
        let memory = server.load.memory_used(task.memory());
        let has_memory = memory.is_none_or(|used| used < MEMORY_HARD) || in_flight < 1.0;
        let is_open = task.paused_until <= now
            && !task.has_just_asked(&server.id, now)
            && !server.load.is_full(now)
            && server.back_off.has_room(now)
            && has_memory
            && self.has_permit(server, now)
            && self.has_tolerated_place(server, in_flight, now);
        let held_back = || {
            self.held_back(task, server, overfill, now)
                .max(self.held_for_others(task, server, overfill))
        };
        let free = || slots + overfill - held_back() - in_flight;
        let is_free = || {
            let free = free();
            1.0 <= free && (server.is_limited || self.wins_draw(task, index, server, free, now))
        };
        match sight.access {
            _ if !is_open => Place::None,
            Some(Access::Granted) => Place::Free,
            Some(Access::Ask) if sight.waiting == 0 || held_back() == 0.0 || 1.0 <= free() => {
                Place::Askable
            }
            Some(Access::Ask) => Place::None,
            Some(Access::OnItsOwn) | None if is_free() => Place::Free,
            Some(Access::OnItsOwn) | None => Place::None,
        }
    }

    /// Whether this request may take one of the server's free places, which all contending hosts
    /// see at the same time, or all waiting deferrable requests. If there are more contenders than free places, a random draw decides,
    /// with their ratio as the probability. Each request draws anew when new digests of peers have
    /// arrived.
    fn wins_draw(
        &self,
        task: &Task,
        index: Index,
        server: &Server,
        free: f64,
        now: Moment,
    ) -> bool {
        let contenders = server
            .load
            .contenders()
            .max(self.deferred_contenders(task, now))
            .max(self.contenders_above_share(task, server));
        let round = self.registry.peers_at().map_or(0, |at| at.as_millis() as u64);
        let draw = mixed(mixed(task.seed() ^ round) ^ u64::from(index)) % 1024;
        contenders <= free || (draw as f64) * contenders < free * 1024.0
    }

    /// Estimates the times and the cost of a request at a server.
    fn estimate(
        &self,
        task: &Task,
        prefill: u32,
        index: Index,
        server: &Server,
        sight: &Sight,
        now: Moment,
    ) -> Choice {
        let stats = self.stats(task);
        let median = &self.registry.services[task.service as usize].median;
        let goal = millis(task.spec.goal);
        let slots = f64::from(server.slots);
        let in_flight = sight.in_flight;

        let prefill_ms = (sight.prefill as f64 + f64::from(prefill)) / PREFILL_TOKENS_PER_MS;
        let queue_ms = (in_flight + 1.0 - slots).max(0.0) / slots * stats.hold();
        let work_ms = if task.model.is_some() { prefill_ms + queue_ms } else { queue_ms };
        let baseline_ms = stats.base() + work_ms;
        let scale = server.speed.scale(now);
        let slowness = scale * server.pace.slowness(median, now);
        let expected_ms = baseline_ms * slowness * server.cold_start_slowdown(now);

        let repeat_ms = if task.model.is_some() {
            f64::from(prefill) / PREFILL_TOKENS_PER_MS * scale
        } else {
            0.0
        };
        let failing_ms = server.pace.excess(median, now) * goal;
        let memory = server.load.memory_used(task.memory()).unwrap_or(0.0);
        let crash_risk_ms = if self.is_suspect(task) { SUSPECT_COST_MS * in_flight } else { 0.0 };
        let jitter = (mixed(task.seed() ^ u64::from(index)) % 1024) as f64 / 1024.0;
        let cost_ms = expected_ms
            + repeat_ms * (PREFILL_REPEAT_FACTOR - 1.0)
            + failing_ms
            + (memory - MEMORY_SOFT).max(0.0) * MEMORY_COST_MS
            + (in_flight / slots).powi(2) * goal * FULL_SERVER_COST
            + zone_cost(task.spec.kind, server.locality)
            + jitter * (goal * JITTER).min(MAX_JITTER_MS)
            + crash_risk_ms;
        Choice { server: index, baseline_ms, work_ms, queue_ms, expected_ms, prefill, cost_ms }
    }

    /// Returns the servers that are assumed to have prefixes of the prompt in their cache.
    fn holders(&self, task: &Task, now: Moment) -> Vec<Holder> {
        if task.prefixes.is_empty() {
            return Vec::new();
        }
        let digests: Vec<u64> = task.prefixes.iter().map(|(digest, _)| *digest).collect();
        self.hints.holders(&digests, now)
    }
}

/// Requests that a server has beyond its slots, so that none stays empty: as many as it ends in a
/// part of the goal.
pub(super) fn overfill(goal: Duration, slots: f64, hold: f64) -> f64 {
    (millis(goal) * OVERFILL * slots / hold).clamp(1.0, (slots / 2.0).max(1.0))
}

/// Whether a server that also prefills this prompt, and `reserve` tokens of others, can still emit the events of its streams without
/// too long a pause.
fn keeps_stream_pauses(
    task: &Task,
    server: &Server,
    sight: &Sight,
    prefill: u32,
    reserve: f64,
    now: Moment,
) -> bool {
    let waiting = sight.prefill;
    let tokens = waiting as f64 + f64::from(prefill) + reserve;
    let prefill_ms = tokens / PREFILL_TOKENS_PER_MS * server.speed.scale(now);
    let pause = task.spec.pause.filter(|_| task.model.is_some());
    waiting == 0 || pause.is_none_or(|pause| prefill_ms <= millis(pause) * PREFILL_IN_PAUSE)
}

/// Returns the number of prompt tokens that a server is assumed to have in its cache. The hints
/// count parts of the prompt instead of tokens.
fn cached_tokens(task: &Task, holders: &[Holder], server: Index) -> u32 {
    let parts =
        holders.iter().find(|holder| holder.server == server).map_or(0, |holder| holder.tokens);
    let cached = (parts as usize).checked_sub(1).and_then(|last| task.prefixes.get(last));
    cached.map_or(0, |(_, tokens)| *tokens).min(task.input())
}

fn zone_cost(kind: Kind, locality: Locality) -> f64 {
    match (locality, kind) {
        (Locality::SameZone, _) => 0.0,
        (Locality::OtherZone, Kind::Stream) => OTHER_ZONE_STREAM_MS,
        (Locality::OtherZone, Kind::Idempotent | Kind::NonIdempotent) => OTHER_ZONE_PLAIN_MS,
    }
}
