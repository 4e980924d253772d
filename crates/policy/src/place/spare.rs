//! Replicas that may be given up, and what that costs.

use types::{prelude::*, routed::Model};

use super::{gain::lack, picture::Picture};

/// Heat up to which a model's other replicas may be left when one is given up.
const LEFT: f64 = 0.3;

/// What a server's worth of work loses with the prompts cached for it.
const CACHED: f64 = 5.0;

/// Seconds that the last of very many runs takes to end.
const RUNS: f64 = 1.8;

/// What each second costs in which a server waits for runs to end, and can take no other order.
pub(super) const BLOCKED: f64 = 3.0;

/// Least time that a replica stays.
const STAY: Duration = Duration::from_millis(1500);

/// A replica that may be given up.
pub(super) struct Spare {
    pub(super) model: model::Id,
    /// Which of the declared ones it is.
    pub(super) index: Option<usize>,
    /// What it costs to give it up, but for the heat of others.
    pub(super) price: f64,
    /// Memory that it takes with its adapters.
    pub(super) size: Mebibytes,
    /// Seconds until its requests have ended.
    pub(super) until_idle: f64,
}

/// What may be given up at a site, the cheapest first.
pub(super) fn spares(picture: &Picture, site: usize) -> Vec<Spare> {
    let held = picture.sites[site].book.held.keys();
    let mut spares: Vec<Spare> = held
        .filter_map(|held| {
            Some(Spare {
                model: held.clone(),
                index: picture.index(held),
                price: spared(picture, held, site)?,
                size: freed(picture, held, site),
                until_idle: until_idle(picture, held, site),
            })
        })
        .collect();
    spares.sort_by(|a, b| a.price.total_cmp(&b.price));
    spares
}

/// The models to give up at a site so that one fits; none if that can't be.
pub(super) fn victims<'a>(
    picture: &Picture,
    model: usize,
    site: usize,
    spares: &'a [Spare],
) -> Option<Vec<&'a Spare>> {
    let declared = &picture.engine.models[model];
    let wanted = declared.weights;
    let mut room = picture.sites[site].room?;
    let mut chosen = Vec::new();
    for victim in spares.iter().filter(|spare| spare.model != declared.name) {
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
fn spared(picture: &Picture, held: &model::Id, site: usize) -> Option<f64> {
    let Some(index) = picture.index(held) else { return Some(0.0) };
    let book = picture.sites[site].book;
    let keepers = picture.sure[index].iter().filter(|&&keeper| keeper != site).count();
    let rest = picture.rest[index];
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
pub(super) fn loss_of(picture: &Picture, model: usize, site: usize) -> f64 {
    let places = &picture.places[model];
    let rest: Vec<usize> = places.iter().copied().filter(|&place| place != site).collect();
    let share = picture.work[model] / places.len().max(1) as f64;
    lack(picture, model, &rest) - lack(picture, model, places) + CACHED * share
}

/// Memory that a model takes at a site with its adapters.
pub(super) fn freed(picture: &Picture, held: &model::Id, site: usize) -> Mebibytes {
    let adapters = picture.sites[site].book.held.get(held).map_or(0, |adapters| adapters.len());
    let size = |model: &Model| model.weights + model.adapter_weights * adapters as Mebibytes;
    picture.sizes.get(held).map_or(0, size)
}
