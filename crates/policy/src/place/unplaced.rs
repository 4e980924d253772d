//! Models and adapters that a plan wants but can't order yet, with the obstacle, so that operators
//! can see why a load doesn't happen.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{
    Operation,
    demand::AdapterKey,
    draft::{Draft, Target},
    eviction::{self, Offer},
    store::{Allowance, Urgency},
};

/// Utilization of all of a model's servers from which another replica is wanted.
const OVERRUN_UTILIZATION: f64 = 1.0;

/// A model or adapter that is wanted but has no order under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unplaced {
    /// The wanted model, or the base model of `adapter`.
    pub model: model::Id,
    /// The wanted adapter; `None` for the model itself.
    pub adapter: Option<adapter::Id>,
    /// Number of servers that hold the model, or will; 0 for an adapter.
    pub replicas: usize,
    /// The obstacle to an order.
    pub obstacle: Obstacle,
}

/// Why an order isn't possible now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Obstacle {
    /// Every server holds the model already or is expected to, or there is no server.
    NoServer,
    /// All remaining servers are carrying out other orders, or the outcome of one is unknown.
    Busy,
    /// On no remaining server can enough memory or an adapter slot be freed.
    NoRoom,
    /// The rate limit of the weight store, or of adapter loads, is used up.
    StoreRate,
    /// A load would cost more than it gains.
    NoGain,
    /// No server has the adapter's base model ready.
    NoModel,
}

impl Obstacle {
    /// All obstacles, for metrics that list each of them.
    pub const ALL: [Obstacle; 6] = [
        Obstacle::NoServer,
        Obstacle::Busy,
        Obstacle::NoRoom,
        Obstacle::StoreRate,
        Obstacle::NoGain,
        Obstacle::NoModel,
    ];

    /// Returns the obstacle's name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Obstacle::NoServer => "no-server",
            Obstacle::Busy => "busy",
            Obstacle::NoRoom => "no-room",
            Obstacle::StoreRate => "store-rate",
            Obstacle::NoGain => "no-gain",
            Obstacle::NoModel => "no-model",
        }
    }
}

/// Returns what is wanted and has no order under way.
pub(super) fn unplaced(draft: &Draft, store: &mut Allowance) -> Vec<Unplaced> {
    let models = 0..draft.engine.models.len();
    let wanted = models.filter(|&model| is_wanted(draft, model)).collect::<Vec<_>>();
    let mut offers: Vec<Option<Offer>> = draft.targets.iter().map(|_| None).collect();
    let mut unplaced: Vec<Unplaced> = wanted
        .into_iter()
        .map(|model| Unplaced {
            model: draft.engine.models[model].name.clone(),
            adapter: None,
            replicas: draft.replicas[model].len(),
            obstacle: find_obstacle(draft, store, model, &mut offers),
        })
        .collect();
    unplaced.extend(adapters(draft));
    unplaced
}

/// Whether requests wait for a model without replicas, or overrun all of its servers.
fn is_wanted(draft: &Draft, model: usize) -> bool {
    let replicas = &draft.replicas[model];
    let lowest =
        replicas.iter().map(|&target| draft.utilization(target)).fold(f64::INFINITY, f64::min);
    let is_waited_for = draft.demand.is_waited_for(&draft.engine.models[model].name, draft.now);
    if replicas.is_empty() {
        is_waited_for
    } else {
        0.0 < draft.work[model] && OVERRUN_UTILIZATION <= lowest
    }
}

/// Returns the obstacle to a load of a model. `offers` holds what targets offer, as far as it was
/// determined.
fn find_obstacle(
    draft: &Draft,
    store: &mut Allowance,
    model: usize,
    offers: &mut [Option<Offer>],
) -> Obstacle {
    let mut targets: Vec<usize> = (0..draft.targets.len())
        .filter(|&target| !draft.targets[target].holds(model))
        .filter(|target| !draft.replicas[model].contains(target))
        .collect();
    if targets.is_empty() {
        return Obstacle::NoServer;
    }
    targets.retain(|&target| draft.targets[target].accepts_model_order());
    if targets.is_empty() {
        return Obstacle::Busy;
    }
    targets.retain(|&target| {
        let offer = offers[target].get_or_insert_with(|| Offer::new(draft, target));
        eviction::victims(draft, model, target, offer).is_some()
    });
    if targets.is_empty() {
        return Obstacle::NoRoom;
    }
    let allows = |target: &usize| {
        let at = &draft.targets[*target];
        store.allows(at.id, at.source(model), Urgency::Urgent)
    };
    if !targets.iter().any(allows) { Obstacle::StoreRate } else { Obstacle::NoGain }
}

/// Returns the adapters that requests wait for, that no server has and that no order loads.
fn adapters(draft: &Draft) -> Vec<Unplaced> {
    let mut unplaced = Vec::new();
    let demand = draft.demand.adapters.iter();
    for (adapter_key, _) in demand.filter(|(_, demand)| demand.waiting_since(draft.now).is_some()) {
        let (model, adapter) = adapter_key;
        let Some(index) = draft.index(model) else { continue };
        let declared = &draft.engine.models[index];
        let ready = draft.ready[index].iter().map(|&target| &draft.targets[target]);
        let mut targets: Vec<&Target> =
            ready.filter(|target| !target.view.is_unresponsive).collect();
        let is_under_way =
            |target: &&Target| target.view.has_adapter(adapter_key) || loads(target, adapter_key);
        if targets.iter().any(is_under_way) {
            continue;
        }
        let has_base = !targets.is_empty();
        let under_way: usize =
            targets.iter().map(|target| target.view.adapters_in_flight(draft.now)).sum();
        targets.retain(|target| target.accepts_orders);
        let is_free = |target: &&Target| {
            let has_slot = target.view.reserved_adapters() < draft.engine.adapter_slots as usize;
            has_slot && target.room.is_some_and(|room| declared.adapter_weights <= room)
        };
        let obstacle = match () {
            () if !has_base => Obstacle::NoModel,
            () if draft.rules.adapter_loads_total <= under_way => Obstacle::StoreRate,
            () if targets.is_empty() => Obstacle::Busy,
            () if !targets.iter().any(is_free) => Obstacle::NoRoom,
            () => Obstacle::StoreRate,
        };
        let (model, adapter) = (model.clone(), Some(adapter.clone()));
        unplaced.push(Unplaced { model, adapter, replicas: 0, obstacle });
    }
    unplaced
}

/// Whether an order to load an adapter was sent to a target and has no answer yet.
fn loads(target: &Target, adapter_key: &AdapterKey) -> bool {
    target.view.in_flight_order.as_ref().is_some_and(|sent| {
        let order = &sent.order;
        order.operation == Operation::Load
            && (&order.model, order.adapter.as_ref()) == (&adapter_key.0, Some(&adapter_key.1))
    })
}

/// Minimum time that an entry has lasted when it is reported, and between two reports of it with
/// different obstacles.
const MIN_DURATION: Duration = Duration::from_millis(300);

/// Time after which a lasting entry is reported again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum reports in one second.
const MAX_PER_SECOND: usize = 16;

/// Decides which unplaced entries are due to be reported, and limits their rate: there may be
/// hundreds in a shortage.
#[derive(Clone, Debug, Default)]
pub struct ReportLimiter {
    entries: BTreeMap<(model::Id, Option<adapter::Id>), ReportState>,
    /// Second in which `reported` counts, by the time passed to [`ReportLimiter::due`].
    second: u64,
    /// Number of reports in that second.
    reported: usize,
}

/// Report state of an entry of the last plan.
#[derive(Clone, Copy, Debug)]
struct ReportState {
    since: Moment,
    /// Time and obstacle of the last report.
    last_report: Option<(Moment, Obstacle)>,
}

impl ReportLimiter {
    /// Takes a plan's unplaced entries and returns those to report now, with the time that each has
    /// lasted.
    pub fn due(&mut self, unplaced: &[Unplaced], now: Moment) -> Vec<(Unplaced, Duration)> {
        let key = |item: &Unplaced| (item.model.clone(), item.adapter.clone());
        let mut earlier = std::mem::take(&mut self.entries);
        if now.as_secs() != self.second {
            (self.second, self.reported) = (now.as_secs(), 0);
        }
        let mut reported = Vec::new();
        for item in unplaced {
            let key = key(item);
            let mut entry =
                earlier.remove(&key).unwrap_or(ReportState { since: now, last_report: None });
            let lasted = now.saturating_sub(entry.since);
            let is_new = entry.last_report.is_none_or(|(at, obstacle)| {
                obstacle != item.obstacle && at + MIN_DURATION <= now || at + REPEAT_INTERVAL <= now
            });
            if MIN_DURATION <= lasted && is_new && self.reported < MAX_PER_SECOND {
                self.reported += 1;
                entry.last_report = Some((now, item.obstacle));
                reported.push((item.clone(), lasted));
            }
            self.entries.insert(key, entry);
        }
        reported
    }
}
