//! Sites for a load, and room made for it by giving up what can be spared.

use std::{cmp::Reverse, collections::BTreeSet};

use types::{prelude::*, resident::State as Progress};

use super::{
    Cause,
    fleet::{Bundle, Slot},
    planner::{Declared, Draft},
};

/// How much may be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Level {
    /// Only what is above each model's least number of replicas.
    Spread,
    /// Any replica but a model's last ready one.
    Residency,
}

/// How much a replica is missed; the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// A version no longer in force.
    Stale,
    /// Above the least number.
    Extra,
    /// Within the least number.
    Needed,
}

/// What a load needs of an engine.
pub(super) struct Site<'a> {
    pub(super) id: &'a model::Id,
    pub(super) declared: &'a Declared,
    pub(super) avoided: &'a BTreeSet<availability::Id>,
}

impl Site<'_> {
    /// Whether the engine may hold the model at all, whatever room it has.
    pub(super) fn suits(&self, slot: &Slot) -> bool {
        slot.is_live()
            && slot.told.group == self.declared.model.group
            && !self.avoided.contains(&slot.told.zone)
            && !slot.bundles.get(self.id).is_some_and(|held| held.has(&self.declared.model.version))
    }
}

/// A replica that can be spared.
pub(super) struct Spare {
    tier: Tier,
    loss: f64,
    pub(super) memory: Mebibytes,
    pub(super) model: model::Id,
    pub(super) keeper: backend::Id,
}

impl Draft<'_> {
    /// The coolest engine with room now.
    pub(super) fn roomy(&self, site: &Site<'_>) -> Option<backend::Id> {
        self.coolest(site, Slot::room)
    }

    /// The coolest engine whose room comes when unloads under way are done.
    pub(super) fn roomy_later(&self, site: &Site<'_>) -> Option<backend::Id> {
        self.coolest(site, Slot::later)
    }

    fn coolest(&self, site: &Site<'_>, room: fn(&Slot) -> Mebibytes) -> Option<backend::Id> {
        let slots = self.fleet.slots.values();
        slots
            .filter(|slot| site.declared.bundle <= room(slot) && site.suits(slot))
            .min_by(|a, b| a.heat.total_cmp(&b.heat).then(room(b).cmp(&room(a))))
            .map(|slot| slot.told.server.clone())
    }

    /// Gives up replicas on the engine where that costs least, and claims the memory. Tells
    /// whether there was such an engine.
    pub(super) fn make_room(&mut self, site: &Site<'_>, level: Level) -> bool {
        let need = site.declared.bundle;
        let slots = self.fleet.slots.values().filter(|slot| site.suits(slot));
        let best = slots
            .filter(|slot| need <= slot.told.free + taken(slot))
            .filter_map(|slot| {
                let spares = self.enough(slot, need, level)?;
                let tier = spares.iter().map(|spare| spare.tier).max()?;
                Some((tier, spares.len(), slot, spares))
            })
            .min_by(|a, b| {
                let (heat, other) = (a.2.heat, b.2.heat);
                (a.0, a.1).cmp(&(b.0, b.1)).then(heat.total_cmp(&other))
            });
        let Some((_, _, slot, spares)) = best else { return false };
        let server = slot.told.server.clone();
        for spare in spares {
            self.give_up(&server, &spare, Cause::Room);
        }
        self.claim(&server, need);
        self.budget = self.budget.saturating_sub(1);
        true
    }

    /// The spares whose memory is enough for `need`, the least missed first.
    pub(super) fn enough(&self, slot: &Slot, need: Mebibytes, level: Level) -> Option<Vec<Spare>> {
        let mut spares: Vec<Spare> = self.spares(slot, level).collect();
        spares.sort_by(|a, b| {
            let loss = a.loss.total_cmp(&b.loss);
            a.tier.cmp(&b.tier).then(loss).then(Reverse(a.memory).cmp(&Reverse(b.memory)))
        });
        let mut wanted = (need + slot.short()).saturating_sub(slot.later());
        let mut chosen = Vec::new();
        for spare in spares {
            if wanted == 0 {
                break;
            }
            wanted = wanted.saturating_sub(spare.memory);
            chosen.push(spare);
        }
        (wanted == 0).then_some(chosen)
    }

    /// Replicas on an engine that may be given up at this level.
    pub(super) fn spares(&self, slot: &Slot, level: Level) -> impl Iterator<Item = Spare> {
        slot.bundles.iter().filter_map(move |(id, held)| self.spare(slot, id, held, level))
    }

    /// Unloads all of a replica, adapters before their base.
    pub(super) fn give_up(&mut self, server: &backend::Id, spare: &Spare, cause: Cause) {
        let Some(slot) = self.fleet.slots.get(server) else { return };
        let Some(bundle) = slot.bundles.get(&spare.model) else { return };
        for unit in bundle.units() {
            let keeper = Some(spare.keeper.clone());
            let unload = self.fleet.unload(server, &unit, cause, keeper);
            self.moves.extend(unload);
        }
    }

    /// A replica as a spare, if it may be given up at this level.
    fn spare(&self, slot: &Slot, id: &model::Id, held: &Bundle, level: Level) -> Option<Spare> {
        let declared = self.models.get(id)?;
        if held.residents.iter().any(|resident| resident.state != Progress::Ready) {
            return None;
        }
        let keeper = self.keeper(slot, id, declared, held)?;
        let tier = self.tier(slot, id, declared, held);
        if level == Level::Spread && tier == Tier::Needed {
            return None;
        }
        let replicas = self.replicas(id, declared).max(1);
        let loss = declared.load / replicas as f64;
        Some(Spare { tier, loss, memory: held.memory(), model: id.clone(), keeper })
    }

    fn tier(&self, slot: &Slot, id: &model::Id, declared: &Declared, held: &Bundle) -> Tier {
        if !held.has(&declared.model.version) {
            return Tier::Stale;
        }
        if self.replicas(id, declared) <= declared.floor() {
            return Tier::Needed;
        }
        let zone = &slot.told.zone;
        let alone = self.current(id, declared).filter(|(s, _)| s.told.zone == *zone).count() < 2;
        let zones = self.zones(id, declared).len();
        if alone && zones <= 2 { Tier::Needed } else { Tier::Extra }
    }

    /// Another live engine on which the model answers, in the version in force if it does so
    /// here; none as well if an adapter would answer nowhere else.
    pub(super) fn keeper(
        &self,
        slot: &Slot,
        id: &model::Id,
        declared: &Declared,
        held: &Bundle,
    ) -> Option<backend::Id> {
        let version = &declared.model.version;
        let others: Vec<(&Slot, &Bundle)> = self
            .fleet
            .holders(id)
            .filter(|(other, bundle)| {
                other.told.server != slot.told.server && other.is_live() && bundle.is_ready()
            })
            .filter(|(_, bundle)| !held.is_ready_in(version) || bundle.is_ready_in(version))
            .collect();
        let adapters = declared.model.adapters.keys();
        let kept = adapters
            .filter(|adapter| held.answers_for(adapter))
            .all(|adapter| others.iter().any(|(_, bundle)| bundle.answers_for(adapter)));
        if !kept {
            return None;
        }
        others.first().map(|(other, _)| other.told.server.clone())
    }
}

/// Memory that anything on the engine takes.
fn taken(slot: &Slot) -> Mebibytes {
    slot.told.residents.iter().map(|resident| resident.memory).sum()
}
