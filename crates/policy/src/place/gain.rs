//! Model orders: each time the step that gains most for what it costs.
//!
//! A step brings one model to one site and gives up what has to go for it. Its worth is what it
//! takes off the servers' heat while demand is likely to last, and the safety of more replicas; its
//! price is that of its orders and what is lost with the victims. Everything is counted in the unit
//! of [`Prices`](super::Prices).

use types::{prelude::*, routed::Model};

use super::{
    Cause, Operation,
    book::Source,
    heat,
    picture::Picture,
    store::{Allowance, Urgency},
};

/// How long demand is counted on to stay as it is.
const HORIZON: f64 = 4.0;

/// What a model that stands nowhere is missed.
const HOMELESS: f64 = 300.0;

/// What each second costs until a model that stands nowhere is there.
const WAITING: f64 = 20.0;

/// What a second replica is worth because a server may crash.
const SECOND: f64 = 3.0;

/// What the second replica is worth in another availability zone.
const ZONE: f64 = 2.0;

/// Seconds for which a model that turns busy lives with the replicas that it has.
const SURPRISE: f64 = 3.0;

/// Heat up to which a model's other replicas may be left when one is given up.
const LEFT: f64 = 0.3;

/// Gain from which a load is pressing.
const PRESSING: f64 = 20.0;

/// What it costs to break the room of a largest model.
const BROKEN: f64 = 1.0;

/// What a server's worth of work loses with the prompts cached for it.
const CACHED: f64 = 5.0;

/// Taken off for each order in a row that the server left without an answer.
const SILENT: f64 = 0.5;

/// Least gain of a step.
const LEAST: f64 = 0.3;

/// Work below which a model isn't seen as asked for.
const IDLE: f64 = 0.02;

/// Heat above which more replicas are looked at.
const WARM: f64 = 0.1;

/// Sites that are looked at for each model.
const SITES: usize = 8;

/// Steps in one plan.
const STEPS: usize = 16;

/// Seconds that an unload of an idle model takes.
const UNLOAD: f64 = 0.2;

/// Seconds that the last of very many runs takes to end.
const RUNS: f64 = 1.8;

/// What each second costs in which a server waits for runs to end, and can take no other order.
const BLOCKED: f64 = 3.0;

/// Least time that a replica stays.
const STAY: Duration = Duration::from_millis(1500);

/// A model to a site.
struct Step {
    model: usize,
    site: usize,
    victims: Vec<model::Id>,
    source: Source,
    gain: f64,
}

/// Decides all model orders of a plan.
pub(super) fn plan(picture: &mut Picture, store: &mut Allowance) {
    clear_unknown(picture);
    keep_claims(picture, store);
    for _ in 0..STEPS {
        let Some(step) = best(picture, store) else { return };
        take(picture, store, step);
    }
}

/// Unloads models of unknown size: nothing can be loaded beside them.
fn clear_unknown(picture: &mut Picture) {
    for site in 0..picture.sites.len() {
        let at = &picture.sites[site];
        let unknown = at.book.held.keys().find(|model| !picture.sizes.contains_key(*model));
        let Some(model) = unknown.filter(|_| at.is_open()).cloned() else { continue };
        picture.decide(site, Operation::Unload, &model, None, Cause::Room);
    }
}

/// Goes on with what room was made for, and keeps the room until the weight store can serve it.
fn keep_claims(picture: &mut Picture, store: &mut Allowance) {
    for site in 0..picture.sites.len() {
        let at = &picture.sites[site];
        let claim = at.book.claim.as_ref().filter(|_| at.is_open());
        let Some(model) = claim.and_then(|(model, _)| picture.index(model)) else { continue };
        let name = &picture.engine.models[model].name;
        if at.book.held.contains_key(name) {
            continue;
        }
        let source = at.book.source(name);
        let victims = victims(picture, model, site);
        let allowed = store.allows(at.id, source, Urgency::Pressing);
        picture.places[model].retain(|&place| place != site);
        match victims {
            Some(victims) if allowed => {
                take(picture, store, Step { model, site, victims, source, gain: 0.0 });
            }
            Some(_) => {
                picture.places[model].push(site);
                picture.sites[site].open = false;
            }
            None => {}
        }
    }
    picture.relevel();
}

fn best(picture: &Picture, store: &mut Allowance) -> Option<Step> {
    let before = heat::loss(&picture.work, &picture.places, &picture.heat);
    let mut best: Option<Step> = None;
    for model in (0..picture.places.len()).filter(|&model| is_lacking(picture, model)) {
        let name = &picture.engine.models[model].name;
        for site in shortlist(picture, model) {
            let at = &picture.sites[site];
            if !store.allows(at.id, at.book.source(name), Urgency::Pressing) {
                continue;
            }
            let least = best.as_ref().map_or(LEAST, |step| step.gain);
            let step = step(picture, model, site, before);
            best = step.filter(|s| least < s.gain && allows(picture, store, s)).or(best);
        }
    }
    best
}

/// Whether the weight store has the load left.
fn allows(picture: &Picture, store: &mut Allowance, step: &Step) -> bool {
    let urgency = if step.gain < PRESSING { Urgency::Calm } else { Urgency::Pressing };
    store.allows(picture.sites[step.site].id, step.source, urgency)
}

/// Whether another replica may be worth something.
fn is_lacking(picture: &Picture, model: usize) -> bool {
    let places = &picture.places[model];
    let hottest = places.iter().map(|&site| picture.heat[site]).fold(0.0, f64::max);
    LEAST < lack(picture, model, places) || IDLE < picture.work[model] && WARM < hottest
}

/// What replicas in these places leave to be wished for: that the model answers at all, also after
/// a crash, and that it isn't overrun if it becomes the busiest.
fn lack(picture: &Picture, model: usize, places: &[usize]) -> f64 {
    let zone = |site: usize| &picture.sites[site].book.zone;
    let safety = match places {
        [] => return HOMELESS,
        [_] => SECOND + ZONE,
        [first, rest @ ..] if rest.iter().all(|&site| zone(site) == zone(*first)) => ZONE,
        _ => 0.0,
    };
    let overrun = heat::late(picture.top / places.len() as f64);
    safety + picture.chances[model] * picture.rules.prices.second * SURPRISE * overrun
}

/// The sites that are looked at: free and quick first, then cool.
fn shortlist(picture: &Picture, model: usize) -> Vec<usize> {
    let declared = &picture.engine.models[model];
    let free = |site: usize| picture.sites[site].room.is_some_and(|room| declared.weights <= room);
    let source = |site: usize| picture.sites[site].book.source(&declared.name);
    let fits = |&site: &usize| {
        let at = &picture.sites[site];
        let new = !at.book.held.contains_key(&declared.name);
        at.is_open() && new && !picture.places[model].contains(&site)
    };
    let mut sites: Vec<usize> = (0..picture.sites.len()).filter(fits).collect();
    sites.sort_by(|&a, &b| {
        let key = |site| (source(site) == Source::Store, !free(site));
        key(a).cmp(&key(b)).then(picture.heat[a].total_cmp(&picture.heat[b]))
    });
    sites.truncate(SITES);
    sites
}

/// The models to give up at a site so that one fits; none if that can't be.
pub(super) fn victims(picture: &Picture, model: usize, site: usize) -> Option<Vec<model::Id>> {
    let at = &picture.sites[site];
    let wanted = picture.engine.models[model].weights;
    let mut room = at.room?;
    let mut spare: Vec<(f64, Mebibytes, model::Id)> = at
        .book
        .held
        .keys()
        .filter(|held| **held != picture.engine.models[model].name)
        .filter_map(|held| {
            Some((spared(picture, held, site)?, freed(picture, held, site), held.clone()))
        })
        .collect();
    spare.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut chosen = Vec::new();
    for victim in spare {
        if wanted <= room {
            break;
        }
        room += victim.1;
        chosen.push(victim);
    }
    if room < wanted {
        return None;
    }
    // A cheap one may have become needless beside a larger one.
    chosen.retain(|(_, size, _)| {
        let needless = wanted <= room - size;
        room -= if needless { *size } else { 0 };
        !needless
    });
    Some(chosen.into_iter().map(|(_, _, name)| name).collect())
}

/// What it costs to give up a replica; none if it must stay.
fn spared(picture: &Picture, held: &model::Id, site: usize) -> Option<f64> {
    let Some(index) = picture.index(held) else { return Some(0.0) };
    let book = picture.sites[site].book;
    let keepers = picture.sure[index].iter().filter(|&&keeper| keeper != site).count();
    let rest = picture.demand.rest(picture.rules, held, picture.now);
    let elsewhere = 0 < keepers && rest <= LEFT * keepers as f64;
    let settled =
        book.since.get(held).is_none_or(|&since| since.is_zero() || since + STAY <= picture.now);
    if !elsewhere || !settled {
        return None;
    }
    Some(loss_of(picture, index, site) + BLOCKED * until_idle(picture, held, site))
}

/// Seconds until the requests that a model runs at a site are likely to have ended.
fn until_idle(picture: &Picture, held: &model::Id, site: usize) -> f64 {
    let runs = picture.sites[site].book.running.get(held).copied().unwrap_or(0);
    RUNS * f64::from(runs) / f64::from(runs + 1)
}

/// What a model loses with its replica at a site, but for the heat of the others.
fn loss_of(picture: &Picture, model: usize, site: usize) -> f64 {
    let places = &picture.places[model];
    let rest: Vec<usize> = places.iter().copied().filter(|&place| place != site).collect();
    let share = picture.work[model] / places.len().max(1) as f64;
    lack(picture, model, &rest) - lack(picture, model, places) + CACHED * share
}

/// Memory that a model takes at a site with its adapters.
fn freed(picture: &Picture, held: &model::Id, site: usize) -> Mebibytes {
    let adapters = picture.sites[site].book.held.get(held).map_or(0, |adapters| adapters.len());
    let size = |model: &Model| model.weights + model.adapter_weights * adapters as Mebibytes;
    picture.sizes.get(held).map_or(0, size)
}

/// Weighs a model at a site.
fn step(picture: &Picture, model: usize, site: usize, before: f64) -> Option<Step> {
    let victims = victims(picture, model, site)?;
    let at = &picture.sites[site];
    let declared = &picture.engine.models[model];
    let source = at.book.source(&declared.name);
    let prices = &picture.rules.prices;
    let blocked: f64 = victims.iter().map(|victim| until_idle(picture, victim, site)).sum();
    let unloads = UNLOAD * victims.len() as f64 + blocked;
    let delay = load_time(declared, source).as_secs_f64() + unloads;

    let indexes: Vec<usize> = victims.iter().filter_map(|victim| picture.index(victim)).collect();
    let lost: f64 = indexes.iter().map(|&index| loss_of(picture, index, site)).sum();
    let mut price = lost + BLOCKED * blocked + prices.order * (1 + victims.len()) as f64;
    price += if source == Source::Store { prices.load } else { 0.0 };
    price += SILENT * f64::from(at.book.silent) + broken(picture, declared, site, &victims);
    let places = &picture.places[model];
    if places.is_empty() {
        price += delay * (WAITING + prices.second * picture.work[model]);
    }
    let mut with = places.clone();
    with.push(site);
    let safer = if picture.demand.is_known(picture.now) || victims.is_empty() || places.is_empty() {
        lack(picture, model, places) - lack(picture, model, &with)
    } else {
        0.0
    };
    let cooler = before - after(picture, model, with, &indexes, site).unwrap_or(before);
    let gain = safer + cooler * prices.second * (HORIZON - delay).max(0.0) - price;
    Some(Step { model, site, victims, source, gain })
}

/// Loss after a step; none if it moves no work to speak of.
fn after(
    picture: &Picture,
    model: usize,
    with: Vec<usize>,
    victims: &[usize],
    site: usize,
) -> Option<f64> {
    let moved = victims.iter().chain([&model]).any(|&index| IDLE < picture.work[index]);
    moved.then(|| {
        let mut places = picture.places.clone();
        places[model] = with;
        victims.iter().for_each(|&victim| places[victim].retain(|&place| place != site));
        let heat = heat::level(&picture.work, &places, picture.sites.len());
        heat::loss(&picture.work, &places, &heat)
    })
}

/// What it costs that a small model breaks the room of a largest one.
fn broken(picture: &Picture, declared: &Model, site: usize, victims: &[model::Id]) -> f64 {
    let largest = picture.engine.models.iter().map(|model| model.weights).max().unwrap_or(0);
    if largest < 2 * declared.weights || largest == 0 {
        return 0.0;
    }
    let freed: Mebibytes = victims.iter().map(|victim| freed(picture, victim, site)).sum();
    let room = picture.sites[site].room.unwrap_or(0) + freed;
    BROKEN * (room / largest - room.saturating_sub(declared.weights) / largest) as f64
}

/// Time that a load takes.
pub(super) fn load_time(model: &Model, source: Source) -> Duration {
    match source {
        Source::Memory => model.warm,
        Source::Disk => model.disk,
        Source::Store => model.load,
    }
}

/// Decides a step's first order.
fn take(picture: &mut Picture, store: &mut Allowance, step: Step) {
    let Step { model, site, victims, source, .. } = step;
    let name = picture.engine.models[model].name.clone();
    let cause = match picture.places[model].len() {
        0 => Cause::Missing,
        _ if IDLE < picture.work[model] => Cause::Demand,
        _ => Cause::Spread,
    };
    match victims.first() {
        None => {
            let paid = store.take(picture.sites[site].id, source);
            picture.decide(site, Operation::Load, &name, None, cause).paid = paid;
        }
        Some(victim) => {
            store.keep(picture.sites[site].id, source);
            let decision = picture.decide(site, Operation::Unload, victim, None, Cause::Room);
            decision.claim = Some(name);
        }
    }
    for victim in victims.iter().filter_map(|victim| picture.index(victim)).collect::<Vec<_>>() {
        picture.places[victim].retain(|&place| place != site);
        picture.sure[victim].retain(|&place| place != site);
    }
    picture.places[model].push(site);
    picture.relevel();
}
