//! Adapter orders: the places for adapters hold what is asked for lately.
//!
//! An adapter that is asked for stands at one replica of its model at least, and at more where many
//! ask. Room comes from adapters that stand more often than they need to, then from those whose last
//! request is oldest. Where more adapters are in use than there are places, they take turns: one
//! that has been waited for long takes the place of the one that is asked for least.

use types::{prelude::*, routed::Model};

use super::{
    Cause, Operation,
    demand::Unit,
    picture::{Picture, Site},
};

/// An adapter that wasn't asked for so long needs no place.
const KEPT: Duration = Duration::from_secs(10);

/// An adapter that was asked for within this time is likely to be in use.
const IN_USE: Duration = Duration::from_millis(300);

/// Time that an adapter is waited for before one in use makes way.
const PATIENCE: Duration = Duration::from_millis(300);

/// Least time that an adapter in use stays.
const TURN: Duration = Duration::from_millis(1500);

/// Nothing makes way for another copy unless it wasn't asked for so long.
const STALE: Duration = Duration::from_secs(5);

/// What requests wait for though it stands somewhere stands where they can't go: they have failed
/// there. After so long a second replica gets it; a load that is on its way takes less.
const UNMET: Duration = Duration::from_millis(200);

/// Requests a second from which an adapter stands twice.
const TWICE: f64 = 1.0;

/// Requests a second for each further replica.
const FURTHER: f64 = 5.0;

/// An adapter that is asked for.
struct Want {
    unit: Unit,
    weights: Mebibytes,
    /// Sites whose replica of its model answers.
    ready: Vec<usize>,
    /// Those of them that have it.
    holders: usize,
    copies: usize,
    /// Since when requests have waited for it.
    waits: Option<Moment>,
    rate: f64,
    last: Moment,
}

/// Decides all adapter orders of a plan.
pub(super) fn plan(picture: &mut Picture) {
    let mut under_way: usize =
        picture.sites.iter().map(|site| site.book.under_way(picture.now)).sum();
    let mut wants: Vec<Want> =
        picture.engine.models.iter().flat_map(|m| wants(picture, m)).collect();
    wants.retain(|want| want.holders < want.copies);
    wants.sort_by(|a, b| {
        let key = |want: &Want| {
            let since = want.waits.filter(|_| want.holders == 0);
            (0 < want.holders, want.waits.is_none(), since)
        };
        key(a).cmp(&key(b)).then(b.rate.total_cmp(&a.rate))
    });
    for want in wants {
        if picture.rules.adapter_loads_total <= under_way {
            return;
        }
        under_way += usize::from(place(picture, &want));
    }
}

/// What of a model's adapters is asked for.
fn wants(picture: &Picture, model: &Model) -> Vec<Want> {
    let is_ready = |site: &usize| {
        let book = picture.sites[*site].book;
        !book.is_unresponsive && book.is_ready(&model.name)
    };
    let ready: Vec<usize> = (0..picture.sites.len()).filter(is_ready).collect();
    let first = (model.name.clone(), adapter::Id::from(""));
    let asked = picture.demand.adapters.range(first..);
    let asked = asked.take_while(|((name, _), _)| *name == model.name);
    asked
        .filter(|(_, asked)| picture.now < asked.last + KEPT)
        .map(|(unit, asked)| {
            let holders = ready.iter().filter(|&&site| picture.sites[site].book.has(unit)).count();
            let rate = asked.rate(picture.now);
            let waits = asked.waits_since(picture.now);
            let is_unmet = UNMET <= asked.waited(picture.now);
            Want {
                unit: unit.clone(),
                weights: model.adapter_weights,
                holders,
                copies: copies(rate).max(1 + usize::from(is_unmet)).min(ready.len()),
                ready: ready.clone(),
                waits,
                rate,
                last: asked.last,
            }
        })
        .collect()
}

/// Replicas that an adapter of so many requests a second stands at.
fn copies(rate: f64) -> usize {
    1 + usize::from(TWICE <= rate) + (rate / FURTHER) as usize
}

/// Loads an adapter somewhere, or makes a place for it; whether a load goes out.
fn place(picture: &mut Picture, want: &Want) -> bool {
    let fits = |&&site: &&usize| {
        let at = &picture.sites[site];
        let few = at.book.under_way(picture.now) < picture.rules.adapter_loads_per_server;
        at.open && few && !at.book.has(&want.unit) && !at.book.parting.contains(&want.unit)
    };
    let mut sites: Vec<usize> = want.ready.iter().filter(fits).copied().collect();
    sites.sort_by(|&a, &b| {
        let key = |site: usize| picture.sites[site].book.current.is_some();
        key(a).cmp(&key(b)).then(picture.heat(a).total_cmp(&picture.heat(b)))
    });
    let (model, adapter) = &want.unit;
    let cause = if want.holders == 0 { Cause::Missing } else { Cause::Demand };
    if let Some(&site) = sites.iter().find(|&&site| is_free(picture, want, &picture.sites[site])) {
        picture.decide(site, Operation::Load, model, Some(adapter), cause);
        return true;
    }
    let Some((site, victim)) =
        idle_victim(picture, want, &sites).or_else(|| busy_victim(picture, want, &sites))
    else {
        return false;
    };
    picture.decide(site, Operation::Unload, &victim.0, Some(&victim.1), Cause::Room);
    false
}

fn is_free(picture: &Picture, want: &Want, site: &Site) -> bool {
    let places = site.book.reserved_adapters().len() < picture.engine.adapter_slots as usize;
    places && site.room.is_some_and(|room| want.weights <= room)
}

/// An adapter that nothing uses, and its site: the one that can best be spared.
fn idle_victim(picture: &Picture, want: &Want, sites: &[usize]) -> Option<(usize, Unit)> {
    let leaves = if want.holders == 0 { IN_USE } else { STALE };
    let spare = |(_, unit): &(usize, Unit)| {
        let last = last(picture, unit);
        (last.is_zero() || last + leaves <= picture.now) && last < want.last
    };
    let key = |(site, unit): &(usize, Unit)| {
        (!is_surplus(picture, unit), last(picture, unit), unit.clone(), *site)
    };
    seated(picture, sites).filter(spare).min_by_key(key)
}

/// An adapter in use that makes way for one that has been waited for long, and its site.
fn busy_victim(picture: &Picture, want: &Want, sites: &[usize]) -> Option<(usize, Unit)> {
    let is_long = want.waits.is_some_and(|since| since + PATIENCE <= picture.now);
    if 0 < want.holders || !is_long {
        return None;
    }
    let has_had_turn = |(site, unit): &(usize, Unit)| {
        let since = picture.sites[*site].book.taken_in.get(unit);
        since.is_none_or(|&since| since + TURN <= picture.now)
    };
    let rate = |(_, unit): &(usize, Unit)| rate(picture, unit);
    let by_need = |a: &(usize, Unit), b: &(usize, Unit)| {
        let is_needed = |(_, unit): &(usize, Unit)| !is_surplus(picture, unit);
        is_needed(a).cmp(&is_needed(b)).then(rate(a).total_cmp(&rate(b)))
    };
    seated(picture, sites).filter(has_had_turn).min_by(by_need)
}

/// The adapters that stand at some sites. A site where a place is being freed has none to give.
fn seated(picture: &Picture, sites: &[usize]) -> impl Iterator<Item = (usize, Unit)> {
    let books = sites.iter().map(|&site| (site, picture.sites[site].book));
    let settled = books.filter(|(_, book)| book.parting.is_empty());
    settled.flat_map(|(site, book)| {
        let units = book.adapters().into_iter().filter(|unit| !book.coming.contains_key(unit));
        units.map(move |unit| (site, unit))
    })
}

fn last(picture: &Picture, unit: &Unit) -> Moment {
    picture.demand.last(unit).unwrap_or_default()
}

fn rate(picture: &Picture, unit: &Unit) -> f64 {
    picture.demand.adapters.get(unit).map_or(0.0, |asked| asked.rate(picture.now))
}

/// Whether an adapter stands more often than it needs to.
fn is_surplus(picture: &Picture, unit: &Unit) -> bool {
    let ready = picture.sites.iter().filter(|site| site.book.is_ready(&unit.0));
    let holders = ready.filter(|site| site.book.has(unit)).count();
    copies(rate(picture, unit)) < holders
}
