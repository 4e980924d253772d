//! Replicas that may be evicted, and the cost of doing so.

use types::prelude::*;

use super::{
    Effort,
    draft::{Draft, Held},
    gain::{IDLE_WORK, replica_deficit},
};

/// Highest mean utilization, by the model's own work, that evicting a replica may leave on the
/// model's other replicas.
const MAX_UTILIZATION_LEFT: f64 = 0.3;

/// Time without a request after which a model counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(5);

/// Cost of moving one fully utilized server's work to replicas without cached prompts.
const CACHE_LOSS: f64 = 5.0;

/// Seconds until the last of very many running requests is likely to end.
pub(super) const LAST_RUN_END_S: f64 = 1.8;

/// Cost per second in which a server waits for requests to end before an unload and can take no
/// other order.
pub(super) const BLOCKED_COST_PER_S: f64 = 3.0;

/// Minimum age of a replica that may be evicted.
const MIN_REPLICA_AGE: Duration = Duration::from_millis(1500);

/// A replica that may be evicted.
pub(super) struct Evictable {
    pub(super) model: model::Id,
    /// Index of the model; `None` if it is no longer declared.
    pub(super) index: Option<usize>,
    /// Cost of the eviction, without the additional utilization of other servers.
    pub(super) cost: f64,
    /// Memory that the eviction frees, adapters included.
    pub(super) size: Mebibytes,
    /// Seconds until the model's requests on the server are likely to have ended.
    pub(super) until_idle: f64,
    /// The narrowest scope in which the replica may make way.
    scope: Scope,
}

/// Which replicas may make way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Scope {
    /// Replicas whose work the other replicas of the model can take.
    Spare,
    /// Spare replicas, and the last replicas of idle models.
    Idle,
}

impl Scope {
    /// Scopes from which a model may take room, to be tried in this order.
    pub(super) fn of(draft: &Draft, model: usize) -> &'static [Scope] {
        let is_missed = draft.replicas[model].is_empty() && 0.0 < draft.work[model];
        match is_missed {
            true => &[Scope::Spare, Scope::Idle],
            false => &[Scope::Spare],
        }
    }
}

/// The replicas that some model may take from a target.
#[derive(Default)]
pub(super) struct Offer {
    /// Replicas that may be evicted, the cheapest first.
    replicas: Vec<Evictable>,
    /// Memory that is free once all replicas of a scope have made way; `None` if the free memory is
    /// unknown.
    room: Option<[Mebibytes; 2]>,
}

impl Offer {
    /// Returns what a target offers.
    pub(super) fn new(draft: &Draft, target: usize) -> Offer {
        draft.count(Effort { evictions: 1, ..Effort::default() });
        let at = &draft.targets[target];
        let evictable = |held: &Held| {
            Some(Evictable {
                scope: scope(draft, held, target)?,
                model: held.name.clone(),
                index: held.index,
                cost: eviction_cost(draft, held, target),
                size: held.memory,
                until_idle: until_idle(draft, held, target),
            })
        };
        let mut replicas: Vec<Evictable> = at.held.iter().filter_map(evictable).collect();
        replicas.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let freed = |most: Scope| -> Mebibytes {
            replicas.iter().filter(|other| other.scope <= most).map(|other| other.size).sum()
        };
        let room = at.room.map(|room| [Scope::Spare, Scope::Idle].map(|most| room + freed(most)));
        Offer { replicas, room }
    }

    /// Returns the memory that is free once all replicas of a scope have made way; `None` if the free
    /// memory is unknown.
    pub(super) fn room(&self, scope: Scope) -> Option<Mebibytes> {
        self.room.map(|room| room[scope as usize])
    }
}

/// Returns the replicas to evict from a target so that `model` fits, from the narrowest scope in
/// which it does; `None` if it can't fit.
pub(super) fn victims<'a>(
    draft: &Draft,
    model: usize,
    target: usize,
    offer: &'a Offer,
) -> Option<Vec<&'a Evictable>> {
    let mut scopes = Scope::of(draft, model).iter();
    scopes.find_map(|&scope| victims_in(draft, model, target, scope, offer))
}

/// Returns the replicas of a scope to evict from a target so that `model` fits, the cheapest first;
/// `None` if it can't fit.
pub(super) fn victims_in<'a>(
    draft: &Draft,
    model: usize,
    target: usize,
    scope: Scope,
    offer: &'a Offer,
) -> Option<Vec<&'a Evictable>> {
    let declared = &draft.engine.models[model];
    let wanted = declared.weights;
    let mut room = draft.targets[target].room?;
    let mut chosen = Vec::new();
    let may_go =
        |candidate: &&Evictable| candidate.model != declared.name && candidate.scope <= scope;
    for victim in offer.replicas.iter().filter(may_go) {
        if wanted <= room {
            break;
        }
        room += victim.size;
        chosen.push(victim);
    }
    if room < wanted {
        return None;
    }
    // A cheap victim may be needless once a larger one is chosen too.
    chosen.retain(|victim| {
        let needless = wanted <= room - victim.size;
        room -= if needless { victim.size } else { 0 };
        !needless
    });
    Some(chosen)
}

/// Whether nobody has asked for a model for a while, as far as is known.
fn is_idle(draft: &Draft, model: usize) -> bool {
    let last = draft.demand.last_model_arrival(&draft.engine.models[model].name);
    draft.demand.is_established(draft.now)
        && last.is_none_or(|last| last + IDLE_AFTER <= draft.now)
        && draft.work[model] <= IDLE_WORK
}

/// Why a replica stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Keep {
    /// No other replica of its model is certain to stay.
    Last,
    /// The other replicas of its model can't take its work.
    Needed,
    /// The replica is too new.
    New,
}

/// Returns why a replica on the target stays; `None` if any model may take its room. The last one of
/// an idle model gives way to a model that is asked for and has none.
pub(super) fn keep(draft: &Draft, held: &Held, target: usize) -> Option<Keep> {
    let index = held.index?;
    let others = draft.confirmed[index].iter().filter(|&&other| other != target).count();
    let is_settled = draft.targets[target]
        .view
        .held_since
        .get(held.name)
        .is_none_or(|&since| since.is_zero() || since + MIN_REPLICA_AGE <= draft.now);
    match () {
        () if others == 0 => Some(Keep::Last),
        () if !is_settled => Some(Keep::New),
        () if MAX_UTILIZATION_LEFT * (others as f64) < draft.remaining_work[index] => {
            Some(Keep::Needed)
        }
        () => None,
    }
}

/// Returns the narrowest scope in which a replica may make way; `None` if it must stay.
fn scope(draft: &Draft, held: &Held, target: usize) -> Option<Scope> {
    match keep(draft, held, target) {
        None => Some(Scope::Spare),
        Some(Keep::Last) => held.index.filter(|&index| is_idle(draft, index)).map(|_| Scope::Idle),
        Some(Keep::Needed | Keep::New) => None,
    }
}

/// Returns the cost of evicting a replica.
fn eviction_cost(draft: &Draft, held: &Held, target: usize) -> f64 {
    let Some(index) = held.index else { return 0.0 };
    replica_loss(draft, index, target) + BLOCKED_COST_PER_S * until_idle(draft, held, target)
}

/// Returns after how many seconds the model's requests on the target are likely to have ended.
fn until_idle(draft: &Draft, held: &Held, target: usize) -> f64 {
    let in_flight = &draft.targets[target].view.requests_in_flight;
    let requests = in_flight.get(held.name).copied().unwrap_or(0);
    LAST_RUN_END_S * f64::from(requests) / (f64::from(requests) + 1.0)
}

/// Returns what a model loses with its replica on the target, without the additional utilization of
/// its other servers.
pub(super) fn replica_loss(draft: &Draft, model: usize, target: usize) -> f64 {
    let replicas = &draft.replicas[model];
    let rest: Vec<usize> = replicas.iter().copied().filter(|&other| other != target).collect();
    let share = draft.work[model] / replicas.len().max(1) as f64;
    replica_deficit(draft, model, &rest) - replica_deficit(draft, model, replicas)
        + CACHE_LOSS * share
}
