//! Which models and adapters a server holds.
//!
//! Reports are late. What this host has learnt at first hand, that an order is done or that the
//! server refused for want of the model, goes before what is told within [`GUARD`] of it. An order
//! to drop a model is carried out only when its requests have ended, so it goes before reports for
//! [`ORDERED`]. Registrations come only when something changes, so what one lists meanwhile is kept
//! and counts after that time. It counts at once where the server has taken an order since: it can
//! hold again what it refused.
//!
//! Notices of other hosts may come late and in any order. Each says after how many orders of the server
//! it holds, and one that is older than what is known of the same model changes nothing.

use types::{prelude::*, routed};

use crate::route::Index;

/// How long first-hand knowledge goes before reports.
pub const FIRST_HAND_PRECEDENCE: Duration = Duration::from_millis(500);

/// How long an order to drop something goes before reports.
pub const UNLOAD_PRECEDENCE: Duration = Duration::from_secs(3);

/// A model on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LoadedModel {
    model: Index,
    adapters: Vec<adapter::Id>,
}

/// What is known at first hand of a model on a server, or of an adapter on it.
#[derive(Clone, Debug)]
struct Override {
    model: Index,
    adapter: Option<adapter::Id>,
    presence: Presence,
    /// Orders that the server had accepted by then, if that is known.
    sequence: Option<routed::Sequence>,
    /// Until when reports change nothing.
    until: Moment,
}

/// What is known of it.
#[derive(Clone, Debug)]
enum Presence {
    /// It is there.
    Present,
    /// It is not there.
    Absent {
        why: Absence,
        /// What the latest news list in spite of it, with the model's adapters.
        listed: Option<LoadedModel>,
    },
}

/// Why something is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The server was ordered to drop it, by the last of so many orders.
    Ordered(routed::Sequence),
    /// The server refused a request for want of it.
    Refused,
}

/// What one server holds.
#[derive(Clone, Debug, Default)]
pub struct LoadedModels {
    models: Vec<LoadedModel>,
    overrides: Vec<Override>,
    sequence: routed::Sequence,
}

impl LoadedModels {
    /// Whether it holds the model, and the adapter if one is named.
    pub fn holds(&self, model: Index, adapter: Option<&adapter::Id>) -> bool {
        let holding = self.models.iter().find(|h| h.model == model);
        holding.is_some_and(|h| adapter.is_none_or(|adapter| h.adapters.contains(adapter)))
    }

    /// Models that it holds.
    pub fn indexes(&self) -> impl Iterator<Item = Index> {
        self.models.iter().map(|h| h.model)
    }

    /// Whether something later is known of the model, or of the adapter on it, than after so many orders.
    pub fn is_superseded(
        &self,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
    ) -> bool {
        let is_about = |l: &&Override| {
            l.model == model && (l.adapter.is_none() || l.adapter.as_ref() == adapter)
        };
        let mut known = self.overrides.iter().filter(is_about).filter_map(|l| l.sequence);
        sequence < self.sequence || known.any(|known| sequence < known)
    }

    /// Takes in that the server holds a model, or an adapter on it, after so many orders.
    pub fn mark_loaded(
        &mut self,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
        now: Moment,
    ) {
        self.remove_override(model, adapter);
        self.overrides.retain(|l| l.model != model || l.adapter.is_some() || l.is_present());
        self.push_override(
            model,
            adapter,
            Presence::Present,
            Some(sequence),
            now + FIRST_HAND_PRECEDENCE,
        );
        self.add(model, adapter);
    }

    /// It loads this again, so reports that have it are news.
    pub fn mark_loading(&mut self, model: Index) {
        self.overrides.retain(|entry| entry.model != model);
    }

    /// It holds this no more, whatever reports say for a while: the adapter if one is named, or
    /// else the model with its adapters.
    pub fn mark_absent(
        &mut self,
        model: Index,
        adapter: Option<&adapter::Id>,
        why: Absence,
        now: Moment,
    ) {
        match adapter {
            Some(_) => self.remove_override(model, adapter),
            None => self.overrides.retain(|entry| entry.model != model),
        }
        let (time, sequence) = match why {
            Absence::Ordered(sequence) => (UNLOAD_PRECEDENCE, Some(sequence)),
            Absence::Refused => (FIRST_HAND_PRECEDENCE, None),
        };
        self.push_override(
            model,
            adapter,
            Presence::Absent { why, listed: None },
            sequence,
            now + time,
        );
        self.remove(model, adapter);
    }

    /// Takes in all that it told, after so many orders; what is older than known is left out.
    pub fn apply_report(
        &mut self,
        models: impl Iterator<Item = (Index, Vec<adapter::Id>)>,
        sequence: routed::Sequence,
        now: Moment,
    ) {
        if sequence < self.sequence {
            return;
        }
        let has_ordered = self.sequence < sequence;
        self.sequence = sequence;
        self.overrides.retain(|l| now < l.until && !(has_ordered && l.is_refused()));
        self.models = models.map(|(model, adapters)| LoadedModel { model, adapters }).collect();
        let mut overrides = std::mem::take(&mut self.overrides);
        for Override { model, adapter, presence, .. } in &mut overrides {
            match presence {
                Presence::Present => self.add(*model, adapter.as_ref()),
                Presence::Absent { listed, .. } => {
                    *listed = self.listed(*model, adapter.as_ref());
                    self.remove(*model, adapter.as_ref());
                }
            }
        }
        self.overrides = overrides;
    }

    /// When the next news that were put off count.
    pub fn next_deferred(&self) -> Option<Moment> {
        let deferred = self.overrides.iter().filter(|entry| entry.listed().is_some());
        deferred.map(|entry| entry.until).min()
    }

    /// News that were put off until now count.
    pub fn apply_deferred(&mut self, now: Moment) {
        let is_over = |entry: &Override| entry.until <= now && entry.listed().is_some();
        let over: Vec<Override> = self.overrides.extract_if(.., |entry| is_over(entry)).collect();
        for LoadedModel { model, adapters } in over.iter().filter_map(Override::listed) {
            self.add(*model, None);
            adapters.iter().for_each(|adapter| self.add(*model, Some(adapter)));
        }
        // What is known to be absent still is.
        let absent = self.overrides.iter().filter(|entry| !entry.is_present());
        let absent: Vec<_> = absent.map(|l| (l.model, l.adapter.clone())).collect();
        absent.iter().for_each(|(model, adapter)| self.remove(*model, adapter.as_ref()));
    }

    /// The part of a model's holding that an absence is about.
    fn listed(&self, model: Index, adapter: Option<&adapter::Id>) -> Option<LoadedModel> {
        let holding = self.models.iter().find(|h| h.model == model)?;
        match adapter {
            None => Some(holding.clone()),
            Some(adapter) if holding.adapters.contains(adapter) => {
                Some(LoadedModel { model, adapters: vec![adapter.clone()] })
            }
            Some(_) => None,
        }
    }

    fn push_override(
        &mut self,
        model: Index,
        adapter: Option<&adapter::Id>,
        presence: Presence,
        sequence: Option<routed::Sequence>,
        until: Moment,
    ) {
        self.overrides.push(Override {
            model,
            adapter: adapter.cloned(),
            presence,
            sequence,
            until,
        });
    }

    fn remove_override(&mut self, model: Index, adapter: Option<&adapter::Id>) {
        self.overrides.retain(|l| l.model != model || l.adapter.as_ref() != adapter);
    }

    fn add(&mut self, model: Index, adapter: Option<&adapter::Id>) {
        let at = self.models.iter().position(|h| h.model == model).unwrap_or_else(|| {
            self.models.push(LoadedModel { model, adapters: Vec::new() });
            self.models.len() - 1
        });
        let adapters = &mut self.models[at].adapters;
        if let Some(adapter) = adapter
            && !adapters.contains(adapter)
        {
            adapters.push(adapter.clone());
        }
    }

    fn remove(&mut self, model: Index, adapter: Option<&adapter::Id>) {
        match adapter {
            None => self.models.retain(|h| h.model != model),
            Some(adapter) => {
                let of_model = self.models.iter_mut().filter(|h| h.model == model);
                of_model.for_each(|h| h.adapters.retain(|other| other != adapter));
            }
        }
    }
}

impl Override {
    fn is_present(&self) -> bool {
        matches!(self.presence, Presence::Present)
    }

    fn is_refused(&self) -> bool {
        matches!(self.presence, Presence::Absent { why: Absence::Refused, .. })
    }

    fn listed(&self) -> Option<&LoadedModel> {
        match &self.presence {
            Presence::Absent { listed, .. } => listed.as_ref(),
            Presence::Present => None,
        }
    }
}
