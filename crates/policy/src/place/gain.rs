//! Model orders: repeatedly chooses the step with the highest net gain.
//!
//! A step loads one model on one target and evicts what has to make room for it. It gains by
//! reducing late work for as long as demand is expected to last, and by the safety of more
//! replicas. It costs its orders and what the evicted models lose. All values are in the unit of
//! [`Prices`](super::Prices).

mod candidates;

use types::{prelude::*, routed::Model};

use super::{
    Cause, Effort, Operation,
    draft::Draft,
    eviction::{self, BLOCKED_COST_PER_S, Evictable, Offer, Scope, replica_loss},
    server_view::Source,
    store::{Allowance, Urgency},
    utilization::late_work,
};

use self::candidates::{Candidate, Candidates};

/// Loss while a model that is asked for has no replica.
const UNREACHABLE_COST: f64 = 300.0;

/// Loss while a model that nobody asks for has no replica.
const IDLE_UNREACHABLE_COST: f64 = 100.0;

/// Value of each second by which a model without replicas is loaded sooner.
const LOAD_WAIT_COST_PER_S: f64 = 20.0;

/// Value of a second replica, which survives the crash of a server.
const SECOND_REPLICA_WORTH: f64 = 3.0;

/// Value of having the replicas in more than one availability zone.
const SECOND_ZONE_WORTH: f64 = 2.0;

/// Seconds for which a model that becomes busy has to do with its present replicas.
const OVERRUN_S: f64 = 3.0;

/// Gain from which a load is urgent.
const URGENT_GAIN: f64 = 20.0;

/// Cost of reducing by one the number of models of the largest size that still fit on a server.
const FRAGMENTATION_COST: f64 = 1.0;

/// Cost per consecutive unanswered order of the target.
const UNANSWERED_COST: f64 = 0.5;

/// Minimum gain of a step.
const MIN_GAIN: f64 = 0.3;

/// Work up to which a model counts as idle, in fully utilized servers.
pub(super) const IDLE_WORK: f64 = 0.02;

/// Utilization of a model's busiest server above which further replicas are considered.
const BUSY_UTILIZATION: f64 = 0.1;

/// Number of targets evaluated for each model.
const MAX_TARGETS: usize = 8;

/// Maximum steps in one plan.
const MAX_STEPS: usize = 16;

/// Seconds that the unload of an idle model takes.
const UNLOAD_S: f64 = 0.2;

/// A load of one model on one target, with the evictions that it needs.
struct Step {
    model: usize,
    target: usize,
    victims: Vec<model::Id>,
    source: Source,
    gain: f64,
}

impl Step {
    fn candidate(&self) -> Candidate {
        Candidate { gain: self.gain, model: self.model }
    }
}

/// Decides all model orders of a plan.
pub(super) fn plan(draft: &mut Draft, store: &mut Allowance) {
    unload_unknown_models(draft);
    continue_reservations(draft, store);
    let mut offers: Vec<Offer> =
        (0..draft.targets.len()).map(|target| offer(draft, target)).collect();
    let mut candidates = Candidates::new(draft.replicas.len());
    for _ in 0..MAX_STEPS {
        let Some(step) = candidates.best_step(draft, store, &offers) else { return };
        let victims = step.victims.iter().filter_map(|victim| draft.index(victim));
        let changed: Vec<usize> = victims.chain([step.model]).collect();
        commit(draft, store, step);
        candidates.reset(&changed);
        // What other targets offer depends only on the models that they hold.
        for (target, offered) in offers.iter_mut().enumerate() {
            let at = &draft.targets[target];
            if changed.iter().any(|&model| at.holds(model)) {
                *offered = offer(draft, target);
            }
        }
    }
}

/// Returns what a target offers to a model order of this plan; nothing if it accepts none.
fn offer(draft: &Draft, target: usize) -> Offer {
    match draft.targets[target].accepts_model_order() {
        true => Offer::new(draft, target),
        false => Offer::default(),
    }
}

/// Unloads models of unknown size: while the free memory is unknown, nothing can be loaded beside
/// them.
fn unload_unknown_models(draft: &mut Draft) {
    for target in 0..draft.targets.len() {
        let at = &draft.targets[target];
        let is_unknown = |model: &&model::Id| !draft.models.sizes.contains_key(*model);
        let mut held = at.held.iter().map(|held| held.name).filter(|_| at.accepts_model_order());
        let Some(model) = held.find(is_unknown).cloned() else { continue };
        draft.decide(target, Operation::Unload, &model, None, Cause::Room);
    }
}

/// Continues with the loads for which memory was reserved, and keeps it reserved until the weight
/// store can serve the load.
fn continue_reservations(draft: &mut Draft, store: &mut Allowance) {
    let mut has_changed = false;
    for target in 0..draft.targets.len() {
        let at = &draft.targets[target];
        let reservation = at.view.reservation.as_ref().filter(|_| at.accepts_model_order());
        let Some(model) = reservation.and_then(|(model, _)| draft.index(model)) else { continue };
        if at.holds(model) {
            continue;
        }
        has_changed = true;
        let source = at.source(model);
        let offer = Offer::new(draft, target);
        draft.replicas[model].retain(|&other| other != target);
        let victims = eviction::victims(draft, model, target, &offer);
        let victims: Option<Vec<model::Id>> =
            victims.map(|all| all.into_iter().map(|victim| victim.model.clone()).collect());
        let allowed = store.allows(at.id, source, Urgency::Urgent);
        match victims {
            Some(victims) if allowed => {
                commit(draft, store, Step { model, target, victims, source, gain: 0.0 });
            }
            Some(_) => {
                draft.replicas[model].push(target);
                draft.targets[target].accepts_orders = false;
            }
            None => {}
        }
    }
    if has_changed {
        draft.rebalance();
    }
}

/// The targets that accept a model order in this step.
struct Open {
    targets: Vec<usize>,
    /// Per open target: whether it may load from the weight store for an urgent need.
    may_use_store: Vec<bool>,
    /// Per scope: the most memory that an open target can free.
    largest_room: [Mebibytes; 2],
}

impl Open {
    fn new(draft: &Draft, store: &mut Allowance, offers: &[Offer]) -> Open {
        let targets = 0..draft.targets.len();
        let targets: Vec<usize> =
            targets.filter(|&target| draft.targets[target].accepts_model_order()).collect();
        let may_use_store = targets
            .iter()
            .map(|&target| store.allows(draft.targets[target].id, Source::Store, Urgency::Urgent));
        let largest = |scope: Scope| {
            let rooms = targets.iter().filter_map(|&target| offers[target].room(scope));
            rooms.max().unwrap_or(0)
        };
        Open {
            may_use_store: may_use_store.collect(),
            largest_room: [Scope::Spare, Scope::Idle].map(largest),
            targets,
        }
    }
}

/// Returns the step with the highest gain for a model.
fn best_step_for(
    draft: &Draft,
    store: &mut Allowance,
    model: usize,
    open: &Open,
    offers: &[Offer],
) -> Option<Step> {
    if !may_need_replica(draft, model) {
        return None;
    }
    let mut best: Option<Step> = None;
    for (target, victims) in shortlist(draft, model, open, offers) {
        let least = best.as_ref().map_or(MIN_GAIN, |step| step.gain);
        let step = Some(evaluate(draft, model, target, victims));
        best = step.filter(|s| least < s.gain && allows(draft, store, s)).or(best);
    }
    best
}

/// Whether the weight store can serve the step's load now.
fn allows(draft: &Draft, store: &mut Allowance, step: &Step) -> bool {
    let urgency = if step.gain < URGENT_GAIN { Urgency::Background } else { Urgency::Urgent };
    store.allows(draft.targets[step.target].id, step.source, urgency)
}

/// Whether another replica of the model may be of value.
fn may_need_replica(draft: &Draft, model: usize) -> bool {
    let replicas = &draft.replicas[model];
    let highest = replicas.iter().map(|&target| draft.utilization(target)).fold(0.0, f64::max);
    MIN_GAIN < replica_deficit(draft, model, replicas)
        || IDLE_WORK < draft.work[model] && BUSY_UTILIZATION < highest
}

/// Returns what a model with these replicas lacks: to be reachable at all, also after a crash, and
/// not to be overrun if it becomes the busiest.
pub(super) fn replica_deficit(draft: &Draft, model: usize, replicas: &[usize]) -> f64 {
    let zone = |target: usize| &draft.targets[target].view.zone;
    let safety = match replicas {
        [] if draft.work[model] == 0.0 => return IDLE_UNREACHABLE_COST,
        [] => return UNREACHABLE_COST,
        [_] => SECOND_REPLICA_WORTH + SECOND_ZONE_WORTH,
        [first, rest @ ..] if rest.iter().all(|&target| zone(target) == zone(*first)) => {
            SECOND_ZONE_WORTH
        }
        _ => 0.0,
    };
    let overrun = late_work(draft.peak_work / draft.capacity(replicas));
    safety + draft.peak_chances[model] * draft.rules.prices.server_second * OVERRUN_S * overrun
}

/// Returns the targets to evaluate for a model, with the replicas to evict there: fast sources and
/// free memory first, then those that the model's work would utilize least. Last replicas of idle
/// models are evicted only if no others can be, for a model that is asked for and has none.
fn shortlist<'a>(
    draft: &Draft,
    model: usize,
    open: &Open,
    offers: &'a [Offer],
) -> Vec<(usize, Vec<&'a Evictable>)> {
    let mut shortlists = Scope::of(draft, model).iter().map(|&scope| {
        let targets = shortlist_in(draft, model, scope, open, offers);
        let victims = |target: usize| {
            let victims = eviction::victims_in(draft, model, target, scope, &offers[target]);
            Some((target, victims?))
        };
        targets.into_iter().filter_map(victims).collect::<Vec<_>>()
    });
    shortlists.find(|shortlist| !shortlist.is_empty()).unwrap_or_default()
}

/// Returns the targets to evaluate on which a model fits once replicas of a scope have made way.
fn shortlist_in(
    draft: &Draft,
    model: usize,
    scope: Scope,
    open: &Open,
    offers: &[Offer],
) -> Vec<usize> {
    let wanted = draft.engine.models[model].weights;
    if open.largest_room[scope as usize] < wanted {
        return Vec::new();
    }
    let share = draft.work[model] / (draft.replicas[model].len() + 1) as f64;
    let mut targets: Vec<(bool, bool, f64, usize)> = Vec::new();
    for (&target, &may_use_store) in open.targets.iter().zip(&open.may_use_store) {
        let at = &draft.targets[target];
        let fits = offers[target].room(scope).is_some_and(|room| wanted <= room);
        if !fits || at.holds(model) || draft.replicas[model].contains(&target) {
            continue;
        }
        let from_store = at.source(model) == Source::Store;
        if may_use_store || !from_store {
            let free = at.room.is_some_and(|room| wanted <= room);
            let utilization = draft.utilization(target) + share * (at.view.scale - 1.0);
            targets.push((from_store, !free, utilization, target));
        }
    }
    let by_preference = |a: &(bool, bool, f64, usize), b: &(bool, bool, f64, usize)| {
        (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
    };
    if MAX_TARGETS < targets.len() {
        targets.select_nth_unstable_by(MAX_TARGETS, by_preference);
        targets.truncate(MAX_TARGETS);
    }
    targets.sort_unstable_by(by_preference);
    targets.into_iter().map(|(.., target)| target).collect()
}

/// Evaluates loading a model on a target.
fn evaluate(draft: &Draft, model: usize, target: usize, victims: Vec<&Evictable>) -> Step {
    draft.count(Effort { evaluations: 1, ..Effort::default() });
    let at = &draft.targets[target];
    let declared = &draft.engine.models[model];
    let source = at.source(model);
    let prices = &draft.rules.prices;
    let blocked: f64 = victims.iter().map(|victim| victim.until_idle).sum();
    let unloads = UNLOAD_S * victims.len() as f64 + blocked;
    let delay = load_time(declared, source).as_secs_f64() + unloads;

    let indexes: Vec<usize> = victims.iter().filter_map(|victim| victim.index).collect();
    let lost: f64 = indexes.iter().map(|&index| replica_loss(draft, index, target)).sum();
    let mut cost = lost + BLOCKED_COST_PER_S * blocked + prices.order * (1 + victims.len()) as f64;
    cost += if source == Source::Store { prices.load } else { 0.0 };
    let freed = victims.iter().map(|victim| victim.size).sum();
    cost += UNANSWERED_COST * f64::from(at.view.unanswered)
        + fragmentation_cost(draft, declared, target, freed);
    let replicas = &draft.replicas[model];
    if replicas.is_empty() {
        // Requests wait without the load as well, so only the time saved on other targets counts.
        let saved = slowest_load_s(declared) - delay;
        cost -= saved.max(0.0) * (LOAD_WAIT_COST_PER_S + prices.server_second * draft.work[model]);
    }
    let mut with = replicas.clone();
    with.push(target);
    let safety_gain =
        if draft.demand.is_established(draft.now) || victims.is_empty() || replicas.is_empty() {
            replica_deficit(draft, model, replicas) - replica_deficit(draft, model, &with)
        } else {
            0.0
        };
    let reduction = loss_reduction(draft, model, with, &indexes, target);
    let gain = safety_gain + reduction * prices.server_second * expected_use_s(draft, delay) - cost;
    let victims = victims.into_iter().map(|victim| victim.model.clone()).collect();
    Step { model, target, victims, source, gain }
}

/// Returns how long a load takes where the weights come from the store and a busy model makes way,
/// in seconds.
fn slowest_load_s(declared: &Model) -> f64 {
    load_time(declared, Source::Store).as_secs_f64() + UNLOAD_S + eviction::LAST_RUN_END_S
}

/// Returns for how many seconds a replica that is ready after `delay` seconds is expected to be of
/// use, if work leaves its model at a constant rate, which is estimated.
///
/// An estimate is used because demand may last longer than loads take: a short fixed time leaves a
/// busy model with too few replicas where loads are slow.
fn expected_use_s(draft: &Draft, delay: f64) -> f64 {
    let persistence = draft.demand.persistence_s();
    persistence * (-delay / persistence).exp()
}

/// Returns by how much a step reduces late and lost work; 0 if the models involved are idle.
fn loss_reduction(
    draft: &Draft,
    model: usize,
    with: Vec<usize>,
    victims: &[usize],
    target: usize,
) -> f64 {
    if victims.iter().chain([&model]).all(|&index| draft.work[index] <= IDLE_WORK) {
        return 0.0;
    }
    let without = |&victim: &usize| {
        let rest = draft.replicas[victim].iter().copied().filter(|&other| other != target);
        (victim, rest.collect())
    };
    let moves: Vec<(usize, Vec<usize>)> =
        victims.iter().map(without).chain([(model, with)]).collect();
    draft.balance.loss_reduction(&draft.work, &draft.replicas, &moves)
}

/// Returns the cost of a small model taking room in which a model of the largest size would fit.
fn fragmentation_cost(draft: &Draft, declared: &Model, target: usize, freed: Mebibytes) -> f64 {
    let largest = draft.largest;
    if largest < 2 * declared.weights || largest == 0 {
        return 0.0;
    }
    let room = draft.targets[target].room.unwrap_or(0) + freed;
    FRAGMENTATION_COST * (room / largest - room.saturating_sub(declared.weights) / largest) as f64
}

/// Returns how long a model takes to load from a source.
pub(super) fn load_time(model: &Model, source: Source) -> Duration {
    match source {
        Source::Memory => model.warm,
        Source::Disk => model.disk,
        Source::Store => model.load,
    }
}

/// Adds a step's first order to the plan: the load, or the eviction of the first victim.
fn commit(draft: &mut Draft, store: &mut Allowance, step: Step) {
    let Step { model, target, victims, source, .. } = step;
    let name = draft.engine.models[model].name.clone();
    let cause = match draft.replicas[model].len() {
        0 => Cause::Missing,
        _ if IDLE_WORK < draft.work[model] => Cause::Demand,
        _ => Cause::Spread,
    };
    match victims.first() {
        None => {
            let charged = store.start(draft.targets[target].id, source);
            draft.decide(target, Operation::Load, &name, None, cause).charged = charged;
        }
        Some(victim) => {
            store.reserve(draft.targets[target].id, source);
            let decision = draft.decide(target, Operation::Unload, victim, None, Cause::Room);
            decision.reservation = Some(name);
        }
    }
    for victim in victims.iter().filter_map(|victim| draft.index(victim)).collect::<Vec<_>>() {
        draft.replicas[victim].retain(|&other| other != target);
        draft.confirmed[victim].retain(|&other| other != target);
    }
    draft.replicas[model].push(target);
    draft.rebalance();
}
