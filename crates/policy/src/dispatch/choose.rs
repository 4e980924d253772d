//! Choice of a server: the smallest expected time to the first byte, with what else counts turned
//! into time.

use types::{prelude::*, routed::Kind};

use super::{
    Dispatcher,
    doubt::Standing,
    list::{List, SAMPLE, Side},
    mixed, poison,
    server::Server,
    stats::{Stats, millis},
    task::Task,
};
use crate::route::{Index, hints::Holder};

/// Prompt tokens that a server reads in a millisecond, until told otherwise by its pace.
pub const READ_RATE: f64 = 30.0;

/// What a token that some server has read already counts for, since reading it again is waste.
const READ_AGAIN: f64 = 2.0;

/// What the way to another zone must gain, in milliseconds: plain answers are small, streams long.
const FAR_PLAIN: f64 = 3.0;
const FAR_STREAM: f64 = 10.0;

/// Part of the goal that a full server counts for more than an empty one.
const SPREAD: f64 = 0.1;

/// Part of the goal within which the choice is by chance, and the most of it in milliseconds, less
/// than the way to another zone.
const CHANCE: f64 = 0.01;
const CHANCE_MOST: f64 = 2.0;

/// Part of the goal that may pass in a server's own queue, so that no place stays empty between
/// an end there and the next request from here.
const OVERFILL: f64 = 0.125;

/// Part of the KV memory beyond which preemption begins to threaten, what each further part
/// counts in milliseconds, and the part beyond which nothing more is sent.
const MEMORY_SOFT: f64 = 0.85;
const MEMORY_COST: f64 = 2000.0;
const MEMORY_HARD: f64 = 0.97;

/// Part of the pause that streams allow within which a server may read what waits there. Each piece
/// of a prompt that it reads comes between the tokens of all streams that run there.
const READ_IN_PAUSE: f64 = 0.5;

/// What a request in flight counts for, where a server may crash.
const AT_STAKE: f64 = 10_000.0;

/// The server chosen, with what is expected of it.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    pub server: Index,
    pub usual: f64,
    pub work: f64,
    pub queue: f64,
    pub expected: f64,
    pub unread: u32,
    cost: f64,
}

/// Outcome of a choice.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// This server.
    Send(Choice),
    /// Servers could run it, and none has a place.
    Full,
    /// No server could run it.
    Nobody,
}

/// What servers were found beside the best one.
#[derive(Default)]
struct Seen {
    best: Option<Choice>,
    /// The best of those put aside.
    aside: Option<Choice>,
    /// Whether a server that is in no doubt and has a permit left could run it.
    is_any_good: bool,
    /// Whether any server could run it.
    is_any: bool,
}

impl Dispatcher {
    /// Chooses a server for a request.
    pub(super) fn choose(&self, task: &Task, now: Moment) -> Outcome {
        if self.is_suspect(task) && self.poison.is_held_back(task.ask.fingerprint, now) {
            return Outcome::Full;
        }
        let owners = self.owners(task, now);
        let list = self.list(task);
        let sampled = list.sample(task.seed()).chain(owners.iter().map(|owner| owner.server));
        let mut seen = self.best(task, &owners, sampled, now);
        if seen.best.is_none() && SAMPLE < list.all().len() {
            seen = self.best(task, &owners, list.all().iter().copied(), now);
        }
        match seen {
            Seen { best: Some(choice), .. } => Outcome::Send(choice),
            Seen { aside: Some(choice), is_any_good: false, .. } => Outcome::Send(choice),
            Seen { is_any: true, .. } => Outcome::Full,
            Seen { .. } => Outcome::Nobody,
        }
    }

    /// Servers that could run the request, but for its adapter.
    pub(super) fn list(&self, task: &Task) -> &List {
        match task.model {
            Some(model) => &self.fleet.models[model as usize].list,
            None => &self.fleet.services[task.service as usize].list,
        }
    }

    /// Times of requests like this one.
    pub(super) fn stats(&self, task: &Task) -> &Stats {
        match task.model {
            Some(model) => &self.fleet.models[model as usize].stats,
            None => &self.fleet.services[task.service as usize].stats,
        }
    }

    /// Whether a server, its standing aside, could run the request.
    pub(super) fn is_able(&self, task: &Task, server: &Server) -> bool {
        let adapter = task.ask.adapter.as_ref();
        let holds = task.model.is_none_or(|model| server.held.holds(model, adapter));
        holds && !task.ask.avoid.contains(&server.id)
    }

    /// Whether any server could run the request.
    pub(super) fn is_held(&self, task: &Task) -> bool {
        let servers = self.list(task).all().iter().filter_map(|at| self.fleet.get(*at));
        servers.into_iter().any(|server| self.is_able(task, server))
    }

    pub(super) fn is_suspect(&self, task: &Task) -> bool {
        self.poison.standing(task.ask.fingerprint) == poison::Standing::Suspect
    }

    fn best(
        &self,
        task: &Task,
        owners: &[Holder],
        servers: impl Iterator<Item = Index>,
        now: Moment,
    ) -> Seen {
        let mut seen = Seen::default();
        let is_suspect = self.is_suspect(task);
        for index in servers {
            let Some(server) = self.fleet.get(index) else { continue };
            if is_suspect && self.poison.is_tried(&server.id, now) {
                seen.is_any = true;
                continue;
            }
            if server.state == types::routed::State::Draining || !self.is_able(task, server) {
                continue;
            }
            seen.is_any = true;
            let standing = server.doubt.standing(now);
            let is_usable = match standing {
                Standing::Good | Standing::Overdue => true,
                Standing::Trial => task.ask.is_repeatable(),
                Standing::Aside => false,
            };
            // A server in doubt is better than one that takes no more.
            seen.is_any_good |= standing == Standing::Good && self.has_permit(server, now);
            let unread = task.input() - kept(task, owners, index);
            if !self.has_place(task, index, server, now) || !leaves_breath(task, server, unread) {
                continue;
            }
            let choice = self.judge(task, unread, index, server, now);
            let best = if is_usable { &mut seen.best } else { &mut seen.aside };
            if best.is_none_or(|best| choice.cost < best.cost) {
                *best = Some(choice);
            }
        }
        seen
    }

    /// Whether a server takes one more without making it wait for long.
    fn has_place(&self, task: &Task, index: Index, server: &Server, now: Moment) -> bool {
        let slots = f64::from(server.slots);
        let wait = millis(task.ask.goal) * OVERFILL;
        let more = (wait * slots / self.stats(task).hold()).clamp(1.0, (slots / 2.0).max(1.0));
        let in_flight = server.load.in_flight(self.fleet.peers_at(), now);
        let memory = server.load.memory_used(task.memory());
        let has_memory = memory.is_none_or(|used| used < MEMORY_HARD) || in_flight < 1.0;
        let free = slots + more - in_flight;
        let is_turn = || server.is_limited || self.is_turn(task, index, free);
        let is_free = !server.load.is_full(now) && 1.0 <= free && has_memory;
        is_free && self.has_permit(server, now) && is_turn()
    }

    /// Whether it is this request's turn to take one of so many places, which a crowd of hosts sees
    /// as free. Each draws anew when peers have told anew.
    fn is_turn(&self, task: &Task, index: Index, free: f64) -> bool {
        let crowd = self.fleet.get(index).map_or(1.0, |server| server.load.crowd());
        let round = self.fleet.peers_at().map_or(0, |at| at.as_millis() as u64);
        let lot = mixed(mixed(task.seed() ^ round) ^ u64::from(index)) % 1024;
        crowd <= free || (lot as f64) * crowd < free * 1024.0
    }

    /// What is expected of a server.
    fn judge(
        &self,
        task: &Task,
        unread: u32,
        index: Index,
        server: &Server,
        now: Moment,
    ) -> Choice {
        let stats = self.stats(task);
        let median = &self.fleet.services[task.service as usize].median;
        let goal = millis(task.ask.goal);
        let slots = f64::from(server.slots);
        let in_flight = server.load.in_flight(self.fleet.peers_at(), now);

        let reading = (server.load.unread() as f64 + f64::from(unread)) / READ_RATE;
        let queue = (in_flight + 1.0 - slots).max(0.0) / slots * stats.hold();
        let work = if task.model.is_some() { reading + queue } else { queue };
        let usual = stats.base() + work;
        let expected = usual * server.pace.slowness(median, now) * server.cold(now);

        let waste = if task.model.is_some() { f64::from(unread) / READ_RATE } else { 0.0 };
        let failing = server.pace.excess(median, now) * goal;
        let memory = server.load.memory_used(task.memory()).unwrap_or(0.0);
        let stake = if self.is_suspect(task) { AT_STAKE * in_flight } else { 0.0 };
        let chance = (mixed(task.seed() ^ u64::from(index)) % 1024) as f64 / 1024.0;
        let cost = expected
            + waste * (READ_AGAIN - 1.0)
            + failing
            + (memory - MEMORY_SOFT).max(0.0) * MEMORY_COST
            + (in_flight / slots).powi(2) * goal * SPREAD
            + far(task.ask.kind, server.side)
            + chance * (goal * CHANCE).min(CHANCE_MOST)
            + stake;
        Choice { server: index, usual, work, queue, expected, unread, cost }
    }

    /// Servers that are thought to have read beginnings of the prompt.
    fn owners(&self, task: &Task, now: Moment) -> Vec<Holder> {
        if task.chain.is_empty() {
            return Vec::new();
        }
        let digests: Vec<u64> = task.chain.iter().map(|(digest, _)| *digest).collect();
        self.hints.holders(&digests, now)
    }
}

/// Whether a server that reads the prompt too still passes on its streams without long pauses.
fn leaves_breath(task: &Task, server: &Server, unread: u32) -> bool {
    let waiting = server.load.unread();
    let reading = (waiting as f64 + f64::from(unread)) / READ_RATE;
    let pause = task.ask.pause.filter(|_| task.model.is_some());
    waiting == 0 || pause.is_none_or(|pause| reading <= millis(pause) * READ_IN_PAUSE)
}

/// Tokens of the prompt that a server is thought to have kept. The hints count in parts.
fn kept(task: &Task, owners: &[Holder], server: Index) -> u32 {
    let parts = owners.iter().find(|owner| owner.server == server).map_or(0, |owner| owner.tokens);
    let kept = (parts as usize).checked_sub(1).and_then(|last| task.chain.get(last));
    kept.map_or(0, |(_, tokens)| *tokens).min(task.input())
}

fn far(kind: Kind, side: Side) -> f64 {
    match (side, kind) {
        (Side::Near, _) => 0.0,
        (Side::Far, Kind::Stream) => FAR_STREAM,
        (Side::Far, Kind::Idempotent | Kind::NonIdempotent) => FAR_PLAIN,
    }
}
