//! Replicas that may be given up, and what that costs.

use types::{prelude::*, routed::Model};

use super::{draft::Draft, gain::replica_deficit};

/// Heat up to which a model's other replicas may be left when one is given up.
const MAX_UTILIZATION_LEFT: f64 = 0.3;

/// What a server's worth of work loses with the prompts cached for it.
const CACHE_LOSS: f64 = 5.0;

/// Seconds that the last of very many runs takes to end.
const LAST_RUN_END_S: f64 = 1.8;

/// What each second costs in which a server waits for runs to end, and can take no other order.
pub(super) const BLOCKED_COST_PER_S: f64 = 3.0;

/// Least time that a replica stays.
const MIN_REPLICA_AGE: Duration = Duration::from_millis(1500);

/// A replica that may be given up.
pub(super) struct Evictable {
    pub(super) model: model::Id,
    /// Which of the declared ones it is.
    pub(super) index: Option<usize>,
    /// What it costs to give it up, but for the heat of others.
    pub(super) cost: f64,
    /// Memory that it takes with its adapters.
    pub(super) size: Mebibytes,
    /// Seconds until its requests have ended.
    pub(super) until_idle: f64,
}

/// What may be given up at a site, the cheapest first.
pub(super) fn evictable(draft: &Draft, target: usize) -> Vec<Evictable> {
    let held = draft.targets[target].view.held.keys();
    let mut evictable: Vec<Evictable> = held
        .filter_map(|held| {
            Some(Evictable {
                model: held.clone(),
                index: draft.index(held),
                cost: eviction_cost(draft, held, target)?,
                size: replica_memory(draft, held, target),
                until_idle: until_idle(draft, held, target),
            })
        })
        .collect();
    evictable.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    evictable
}

/// The models to give up at a site so that one fits; none if that can't be.
pub(super) fn victims<'a>(
    draft: &Draft,
    model: usize,
    target: usize,
    evictable: &'a [Evictable],
) -> Option<Vec<&'a Evictable>> {
    let declared = &draft.engine.models[model];
    let wanted = declared.weights;
    let mut room = draft.targets[target].room?;
    let mut chosen = Vec::new();
    for victim in evictable.iter().filter(|candidate| candidate.model != declared.name) {
        if wanted <= room {
            break;
        }
        room += victim.size;
        chosen.push(victim);
    }
    if room < wanted {
        return None;
    }
    // A cheap one may have become needless beside a larger one.
    chosen.retain(|victim| {
        let needless = wanted <= room - victim.size;
        room -= if needless { victim.size } else { 0 };
        !needless
    });
    Some(chosen)
}

/// What it costs to give up a replica; none if it must stay.
fn eviction_cost(draft: &Draft, held: &model::Id, target: usize) -> Option<f64> {
    let Some(index) = draft.index(held) else { return Some(0.0) };
    let view = draft.targets[target].view;
    let others = draft.confirmed[index].iter().filter(|&&other| other != target).count();
    let rest = draft.remaining_work[index];
    let elsewhere = 0 < others && rest <= MAX_UTILIZATION_LEFT * others as f64;
    let settled = view
        .held_since
        .get(held)
        .is_none_or(|&since| since.is_zero() || since + MIN_REPLICA_AGE <= draft.now);
    if !elsewhere || !settled {
        return None;
    }
    Some(replica_loss(draft, index, target) + BLOCKED_COST_PER_S * until_idle(draft, held, target))
}

/// Seconds until the requests that a model runs at a site are likely to have ended.
fn until_idle(draft: &Draft, held: &model::Id, target: usize) -> f64 {
    let runs = draft.targets[target].view.requests_in_flight.get(held).copied().unwrap_or(0);
    LAST_RUN_END_S * f64::from(runs) / f64::from(runs + 1)
}

/// What a model loses with its replica at a site, but for the heat of the others.
pub(super) fn replica_loss(draft: &Draft, model: usize, target: usize) -> f64 {
    let replicas = &draft.replicas[model];
    let rest: Vec<usize> = replicas.iter().copied().filter(|&other| other != target).collect();
    let share = draft.work[model] / replicas.len().max(1) as f64;
    replica_deficit(draft, model, &rest) - replica_deficit(draft, model, replicas)
        + CACHE_LOSS * share
}

/// Memory that a model takes at a site with its adapters.
pub(super) fn replica_memory(draft: &Draft, held: &model::Id, target: usize) -> Mebibytes {
    let adapters = draft.targets[target].view.held.get(held).map_or(0, |adapters| adapters.len());
    let size = |model: &Model| model.weights + model.adapter_weights * adapters as Mebibytes;
    draft.sizes.get(held).map_or(0, size)
}
