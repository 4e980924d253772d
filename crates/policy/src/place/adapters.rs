//! Adapter orders: keeps recently requested adapters in the adapter slots.
//!
//! Each requested adapter is loaded on at least one replica of its model, and on more if its
//! request rate is high. Slots are taken from adapters with more copies than they need first, then
//! from the least recently requested. If more adapters are in use than there are slots, they take
//! turns: an adapter that has been waited for long replaces the one with the lowest request rate.

use types::prelude::*;

use super::{
    Cause, Operation,
    demand::AdapterKey,
    draft::{Draft, Target},
};

/// Time since the last request after which an adapter needs no slot.
const WANTED_FOR: Duration = Duration::from_secs(10);

/// Time since the last request within which an adapter is likely to be in use.
const IN_USE_WITHIN: Duration = Duration::from_millis(300);

/// Time that requests wait for an adapter before it replaces one in use.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Minimum time that an adapter in use keeps its slot.
const MIN_TURN: Duration = Duration::from_millis(1500);

/// Time without a request after which an adapter may be evicted for another adapter's second or
/// further copy.
const SPARE_AFTER: Duration = Duration::from_secs(5);

/// Wait from which a loaded adapter gets a second copy. Requests that wait although the adapter is
/// loaded can't use the first copy, because they have failed on its server. A wait for a load in
/// progress is shorter than this.
const UNMET_WAIT: Duration = Duration::from_millis(200);

/// Requests per second from which an adapter gets a second copy.
const SECOND_COPY_RATE: f64 = 1.0;

/// Requests per second for each further copy.
const RATE_PER_COPY: f64 = 5.0;

/// An adapter with recent requests.
struct Wanted {
    adapter_key: AdapterKey,
    weights: Mebibytes,
    /// Targets on which the adapter's model is ready.
    ready: Vec<usize>,
    /// Number of `ready` targets that have the adapter.
    holders: usize,
    copies: usize,
    /// Since when requests have been waiting for the adapter.
    waiting_since: Option<Moment>,
    rate: f64,
    last_arrival: Moment,
}

/// Decides all adapter orders of a plan.
pub(super) fn plan(draft: &mut Draft) {
    let mut under_way: usize =
        draft.targets.iter().map(|target| target.view.adapters_in_flight(draft.now)).sum();
    let mut wanted: Vec<Wanted> =
        (0..draft.engine.models.len()).flat_map(|model| wanted(draft, model)).collect();
    wanted.retain(|wanted| wanted.holders < wanted.copies);
    wanted.sort_by(|a, b| {
        let key = |wanted: &Wanted| {
            let since = wanted.waiting_since.filter(|_| wanted.holders == 0);
            (0 < wanted.holders, wanted.waiting_since.is_none(), since)
        };
        key(a).cmp(&key(b)).then(b.rate.total_cmp(&a.rate))
    });
    for wanted in wanted {
        if draft.rules.adapter_loads_total <= under_way {
            return;
        }
        under_way += usize::from(load_or_evict(draft, &wanted));
    }
}

/// Returns a model's recently requested adapters.
fn wanted(draft: &Draft, index: usize) -> Vec<Wanted> {
    let model = &draft.engine.models[index];
    let is_responsive = |target: &usize| !draft.targets[*target].view.is_unresponsive;
    let ready: Vec<usize> = draft.ready[index].iter().copied().filter(is_responsive).collect();
    let first = (model.name.clone(), adapter::Id::from(""));
    let demand = draft.demand.adapters.range(first..);
    let demand = demand.take_while(|((name, _), _)| *name == model.name);
    demand
        .filter(|(_, demand)| draft.now < demand.last_arrival + WANTED_FOR)
        .map(|(adapter_key, demand)| {
            let holders = ready
                .iter()
                .filter(|&&target| draft.targets[target].view.has_adapter(adapter_key))
                .count();
            let rate = demand.rate(draft.now);
            let waiting_since = demand.waiting_since(draft.now);
            let is_unmet = UNMET_WAIT <= demand.waited(draft.now);
            Wanted {
                adapter_key: adapter_key.clone(),
                weights: model.adapter_weights,
                holders,
                copies: copies(rate).max(1 + usize::from(is_unmet)).min(ready.len()),
                ready: ready.clone(),
                waiting_since,
                rate,
                last_arrival: demand.last_arrival,
            }
        })
        .collect()
}

/// Returns the number of copies for a request rate.
fn copies(rate: f64) -> usize {
    1 + usize::from(SECOND_COPY_RATE <= rate) + (rate / RATE_PER_COPY) as usize
}

/// Loads an adapter on some target, or evicts another adapter to make room. Returns whether it
/// ordered the load.
fn load_or_evict(draft: &mut Draft, wanted: &Wanted) -> bool {
    let fits = |&&target: &&usize| {
        let at = &draft.targets[target];
        let few = at.view.adapters_in_flight(draft.now) < draft.rules.adapter_loads_per_server;
        at.accepts_orders
            && few
            && !at.view.has_adapter(&wanted.adapter_key)
            && !at.view.adapters_unloading.contains(&wanted.adapter_key)
    };
    let mut targets: Vec<usize> = wanted.ready.iter().filter(fits).copied().collect();
    targets.sort_by(|&a, &b| {
        let key = |target: usize| draft.targets[target].view.current.is_some();
        key(a).cmp(&key(b)).then(draft.utilization(a).total_cmp(&draft.utilization(b)))
    });
    let (model, adapter) = &wanted.adapter_key;
    let cause = if wanted.holders == 0 { Cause::Missing } else { Cause::Demand };
    if let Some(&target) =
        targets.iter().find(|&&target| is_free(draft, wanted, &draft.targets[target]))
    {
        draft.decide(target, Operation::Load, model, Some(adapter), cause);
        return true;
    }
    let Some((target, victim)) =
        idle_victim(draft, wanted, &targets).or_else(|| busy_victim(draft, wanted, &targets))
    else {
        return false;
    };
    draft.decide(target, Operation::Unload, &victim.0, Some(&victim.1), Cause::Room);
    false
}

fn is_free(draft: &Draft, wanted: &Wanted, target: &Target) -> bool {
    let has_slot = target.view.reserved_adapters() < draft.engine.adapter_slots as usize;
    has_slot && target.room.is_some_and(|room| wanted.weights <= room)
}

/// Returns the adapter not in use that can best be spared, and its target.
fn idle_victim(draft: &Draft, wanted: &Wanted, targets: &[usize]) -> Option<(usize, AdapterKey)> {
    let idle_after = if wanted.holders == 0 { IN_USE_WITHIN } else { SPARE_AFTER };
    let spare = |(_, adapter_key): &(usize, AdapterKey)| {
        let last = last_arrival(draft, adapter_key);
        (last.is_zero() || last + idle_after <= draft.now) && last < wanted.last_arrival
    };
    let key = |(target, adapter_key): &(usize, AdapterKey)| {
        (
            !is_surplus(draft, adapter_key),
            last_arrival(draft, adapter_key),
            adapter_key.clone(),
            *target,
        )
    };
    loaded_adapters(draft, targets).filter(spare).min_by_key(key)
}

/// Returns the adapter in use that makes way for one that has been waited for long, and its target.
fn busy_victim(draft: &Draft, wanted: &Wanted, targets: &[usize]) -> Option<(usize, AdapterKey)> {
    let is_long = wanted.waiting_since.is_some_and(|since| since + MAX_WAIT <= draft.now);
    if 0 < wanted.holders || !is_long {
        return None;
    }
    let has_had_turn = |(target, adapter_key): &(usize, AdapterKey)| {
        let since = draft.targets[*target].view.adapter_ordered_at.get(adapter_key);
        since.is_none_or(|&since| since + MIN_TURN <= draft.now)
    };
    let rate = |(_, adapter_key): &(usize, AdapterKey)| rate(draft, adapter_key);
    let by_need = |a: &(usize, AdapterKey), b: &(usize, AdapterKey)| {
        let is_needed = |(_, adapter_key): &(usize, AdapterKey)| !is_surplus(draft, adapter_key);
        is_needed(a).cmp(&is_needed(b)).then(rate(a).total_cmp(&rate(b)))
    };
    loaded_adapters(draft, targets).filter(has_had_turn).min_by(by_need)
}

/// Returns the adapters loaded on some targets. Targets that are unloading an adapter already are
/// left out.
fn loaded_adapters(draft: &Draft, targets: &[usize]) -> impl Iterator<Item = (usize, AdapterKey)> {
    let views = targets.iter().map(|&target| (target, draft.targets[target].view));
    let settled = views.filter(|(_, view)| view.adapters_unloading.is_empty());
    settled.flat_map(|(target, view)| {
        view.settled_adapters().map(move |adapter_key| (target, adapter_key))
    })
}

fn last_arrival(draft: &Draft, adapter_key: &AdapterKey) -> Moment {
    draft.demand.last_arrival(adapter_key).unwrap_or_default()
}

fn rate(draft: &Draft, adapter_key: &AdapterKey) -> f64 {
    draft.demand.adapters.get(adapter_key).map_or(0.0, |demand| demand.rate(draft.now))
}

/// Whether an adapter has more copies than its request rate needs.
fn is_surplus(draft: &Draft, adapter_key: &AdapterKey) -> bool {
    let has_adapter = |target: &Target| target.view.has_adapter(adapter_key);
    let holders = match draft.index(&adapter_key.0) {
        Some(model) => {
            let ready = draft.ready[model].iter();
            ready.filter(|target| has_adapter(&draft.targets[**target])).count()
        }
        None => {
            let is_ready = |target: &&Target| target.view.is_ready(&adapter_key.0);
            let ready = draft.targets.iter().filter(is_ready);
            ready.filter(|target| has_adapter(target)).count()
        }
    };
    copies(rate(draft, adapter_key)) < holders
}
