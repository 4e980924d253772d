//! What a plan wants and can't order yet, and why: for those who ask why nothing comes.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{
    Operation,
    picture::{Picture, Site},
    spare,
    store::{Allowance, Urgency},
};

/// Heat from which a model's replicas are overrun.
const OVERRUN: f64 = 1.0;

/// A model or adapter that is wanted and not on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unplaced {
    /// The model.
    pub model: model::Id,
    /// The adapter of that model; none for the model itself.
    pub adapter: Option<adapter::Id>,
    /// Servers that hold it.
    pub replicas: usize,
    /// What it waits for.
    pub obstacle: Obstacle,
}

/// Why an entry has no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Obstacle {
    /// No server that could hold it is left.
    NoServer,
    /// The servers carry out other orders, or what became of those isn't known.
    Busy,
    /// Nothing that can be spared makes room.
    NoRoom,
    /// The weight store has no load left.
    StoreRate,
    /// It costs more than it gains.
    NoGain,
    /// Its model stands nowhere.
    NoModel,
}

impl Obstacle {
    /// All of them.
    pub const ALL: [Obstacle; 6] = [
        Obstacle::NoServer,
        Obstacle::Busy,
        Obstacle::NoRoom,
        Obstacle::StoreRate,
        Obstacle::NoGain,
        Obstacle::NoModel,
    ];

    /// A stable word.
    pub fn word(self) -> &'static str {
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

/// What a plan that is done leaves to be wished for.
pub(super) fn unplaced(picture: &Picture, store: &mut Allowance) -> Vec<Unplaced> {
    let models = 0..picture.engine.models.len();
    let wanted = models.filter(|&model| is_wanted(picture, model)).collect::<Vec<_>>();
    let mut unplaced: Vec<Unplaced> = wanted
        .into_iter()
        .map(|model| Unplaced {
            model: picture.engine.models[model].name.clone(),
            adapter: None,
            replicas: picture.places[model].len(),
            obstacle: obstacle(picture, store, model),
        })
        .collect();
    unplaced.extend(adapters(picture));
    unplaced
}

/// Whether requests wait for a model that is not on its way, or overrun those who have it.
fn is_wanted(picture: &Picture, model: usize) -> bool {
    let places = &picture.places[model];
    let coolest = places.iter().map(|&site| picture.heat(site)).fold(f64::INFINITY, f64::min);
    let is_missed = picture.demand.is_waited_for(&picture.engine.models[model].name, picture.now);
    if places.is_empty() { is_missed } else { 0.0 < picture.work[model] && OVERRUN <= coolest }
}

fn obstacle(picture: &Picture, store: &mut Allowance, model: usize) -> Obstacle {
    let name = &picture.engine.models[model].name;
    let mut sites: Vec<usize> = (0..picture.sites.len())
        .filter(|&site| !picture.sites[site].book.held.contains_key(name))
        .filter(|site| !picture.places[model].contains(site))
        .collect();
    if sites.is_empty() {
        return Obstacle::NoServer;
    }
    sites.retain(|&site| picture.sites[site].is_open());
    if sites.is_empty() {
        return Obstacle::Busy;
    }
    let can_make_room = |site| {
        let spares = spare::spares(picture, site);
        spare::victims(picture, model, site, &spares).is_some()
    };
    sites.retain(|&site| can_make_room(site));
    if sites.is_empty() {
        return Obstacle::NoRoom;
    }
    let allows = |site: &usize| {
        let at = &picture.sites[*site];
        store.allows(at.id, at.book.source(name), Urgency::Pressing)
    };
    if !sites.iter().any(allows) { Obstacle::StoreRate } else { Obstacle::NoGain }
}

/// Adapters that requests wait for, that stand nowhere and for which nothing was ordered.
fn adapters(picture: &Picture) -> Vec<Unplaced> {
    let mut unplaced = Vec::new();
    let asked = picture.demand.adapters.iter();
    for (unit, _) in asked.filter(|(_, asked)| asked.waits_since(picture.now).is_some()) {
        let (model, adapter) = unit;
        let Some(declared) = picture.engine.models.iter().find(|m| m.name == *model) else {
            continue;
        };
        let is_base = |site: &&Site| !site.book.is_unresponsive && site.book.is_ready(model);
        let mut sites: Vec<&Site> = picture.sites.iter().filter(is_base).collect();
        let ordered = picture.decisions.iter().any(|decision| {
            let order = &decision.order;
            order.operation == Operation::Load
                && (&order.model, order.adapter.as_ref()) == (model, Some(adapter))
        });
        if ordered || sites.iter().any(|site| site.book.has(unit)) {
            continue;
        }
        let has_base = !sites.is_empty();
        let under_way: usize = sites.iter().map(|site| site.book.under_way(picture.now)).sum();
        sites.retain(|site| site.open);
        let is_free = |site: &&Site| {
            let places =
                site.book.reserved_adapters().len() < picture.engine.adapter_slots as usize;
            places && site.room.is_some_and(|room| declared.adapter_weights <= room)
        };
        let obstacle = match () {
            () if !has_base => Obstacle::NoModel,
            () if picture.rules.adapter_loads_total <= under_way => Obstacle::StoreRate,
            () if sites.is_empty() => Obstacle::Busy,
            () if !sites.iter().any(is_free) => Obstacle::NoRoom,
            () => Obstacle::StoreRate,
        };
        let (model, adapter) = (model.clone(), Some(adapter.clone()));
        unplaced.push(Unplaced { model, adapter, replicas: 0, obstacle });
    }
    unplaced
}

/// An entry that doesn't last so long is not told.
const LASTS: Duration = Duration::from_millis(300);

/// Time after which an entry that lasts is told again.
const AGAIN: Duration = Duration::from_secs(2);

/// Wishes that are told in a second at most.
const MOST: usize = 16;

/// Which unplaced entries are to be told, so that a shortage of hundreds floods nobody.
#[derive(Clone, Debug, Default)]
pub struct ReportLimiter {
    open: BTreeMap<(model::Id, Option<adapter::Id>), Open>,
    second: u64,
    told: usize,
}

/// An entry that was there in the last plan.
#[derive(Clone, Copy, Debug)]
struct Open {
    since: Moment,
    told: Option<(Moment, Obstacle)>,
}

impl ReportLimiter {
    /// Takes a plan's unplaced entries; those to be told now, with the time that they have lasted.
    pub fn due(&mut self, unplaced: &[Unplaced], now: Moment) -> Vec<(Unplaced, Duration)> {
        let key = |item: &Unplaced| (item.model.clone(), item.adapter.clone());
        let mut open = std::mem::take(&mut self.open);
        if now.as_secs() != self.second {
            (self.second, self.told) = (now.as_secs(), 0);
        }
        let mut told = Vec::new();
        for item in unplaced {
            let key = key(item);
            let mut entry = open.remove(&key).unwrap_or(Open { since: now, told: None });
            let lasted = now.saturating_sub(entry.since);
            let is_new = entry.told.is_none_or(|(at, obstacle)| {
                obstacle != item.obstacle && at + LASTS <= now || at + AGAIN <= now
            });
            if LASTS <= lasted && is_new && self.told < MOST {
                self.told += 1;
                entry.told = Some((now, item.obstacle));
                told.push((item.clone(), lasted));
            }
            self.open.insert(key, entry);
        }
        told
    }
}
