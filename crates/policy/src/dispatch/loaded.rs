//! Which models and adapters a server has loaded.
//!
//! Reports are late. First-hand knowledge, namely that an order is done or that the server refused
//! a request because the model is not loaded, overrides reports for [`FIRST_HAND_PRECEDENCE`]. An
//! order to unload a model is carried out only when the model's requests have ended, so it
//! overrides reports for [`UNLOAD_PRECEDENCE`]. Registrations are sent only when something changes,
//! so an entry that an override suppresses is stored and applied when the override ends. After a
//! refusal, it is applied at once if the server has taken an order since, as the server may have
//! loaded the model again.
//!
//! Notices of other hosts may arrive late and in any order. Each carries the sequence number of the
//! server's orders, and a notice that is older than the known state of the same model changes
//! nothing.

use types::{prelude::*, routed};

use crate::route::Index;

/// How long first-hand knowledge overrides reports.
pub const FIRST_HAND_PRECEDENCE: Duration = Duration::from_millis(500);

/// How long an order to unload overrides reports.
pub const UNLOAD_PRECEDENCE: Duration = Duration::from_secs(3);

/// A model that a server has loaded, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LoadedModel {
    model: Index,
    adapters: Vec<adapter::Id>,
}

/// First-hand knowledge of a model on a server, or of an adapter on it.
#[derive(Clone, Debug)]
struct Override {
    model: Index,
    adapter: Option<adapter::Id>,
    presence: Presence,
    /// Sequence number of the server's orders as of this knowledge, if known.
    sequence: Option<routed::Sequence>,
    /// Until when reports are overridden.
    until: Moment,
}

/// Whether a model or adapter is loaded.
#[derive(Clone, Debug)]
enum Presence {
    Present,
    Absent {
        why: Absence,
        /// Entry of the model, or of the adapter on it, in the latest report, which lists it in
        /// spite of the absence.
        listed: Option<LoadedModel>,
    },
}

/// Why a model or adapter is not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The server was ordered to unload the model or adapter, by the order of this sequence number.
    Ordered(routed::Sequence),
    /// The server refused a request because it does not have the model or adapter loaded.
    Refused,
}

/// Models and adapters that one server has loaded.
#[derive(Clone, Debug, Default)]
pub struct LoadedModels {
    models: Vec<LoadedModel>,
    overrides: Vec<Override>,
    sequence: routed::Sequence,
}

impl LoadedModels {
    /// Whether the model is loaded, and the adapter if one is named.
    pub fn is_loaded(&self, model: Index, adapter: Option<&adapter::Id>) -> bool {
        let loaded = self.models.iter().find(|entry| entry.model == model);
        loaded.is_some_and(|entry| adapter.is_none_or(|adapter| entry.adapters.contains(adapter)))
    }

    /// Models that are loaded.
    pub fn indexes(&self) -> impl Iterator<Item = Index> {
        self.models.iter().map(|entry| entry.model)
    }

    /// Whether something newer than this sequence number is known of the model, or of the adapter
    /// on it.
    pub fn is_superseded(
        &self,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
    ) -> bool {
        let is_about = |entry: &&Override| {
            entry.model == model && (entry.adapter.is_none() || entry.adapter.as_ref() == adapter)
        };
        let mut known = self.overrides.iter().filter(is_about).filter_map(|entry| entry.sequence);
        sequence < self.sequence || known.any(|known| sequence < known)
    }

    /// Records that the model, or the adapter on it, is loaded as of this sequence number.
    pub fn mark_loaded(
        &mut self,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
        now: Moment,
    ) {
        self.remove_override(model, adapter);
        self.overrides
            .retain(|entry| entry.model != model || entry.adapter.is_some() || entry.is_present());
        self.push_override(
            model,
            adapter,
            Presence::Present,
            Some(sequence),
            now + FIRST_HAND_PRECEDENCE,
        );
        self.add(model, adapter);
    }

    /// Records that the model is being loaded again, so that reports which list it are applied at
    /// once.
    pub fn mark_loading(&mut self, model: Index) {
        self.overrides.retain(|entry| entry.model != model);
    }

    /// Records that the adapter, or without one the model with its adapters, is not loaded, which
    /// overrides reports for a while.
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

    /// Replaces all models by a report as of this sequence number, unless a newer one is known.
    /// Overrides stay in force.
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
        self.overrides.retain(|entry| now < entry.until && !(has_ordered && entry.is_refused()));
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

    /// When the next deferred part of a report is to be applied.
    pub fn next_deferred(&self) -> Option<Moment> {
        let deferred = self.overrides.iter().filter(|entry| entry.listed().is_some());
        deferred.map(|entry| entry.until).min()
    }

    /// Applies the parts of reports that were deferred until now.
    pub fn apply_deferred(&mut self, now: Moment) {
        let is_over = |entry: &Override| entry.until <= now && entry.listed().is_some();
        let over: Vec<Override> = self.overrides.extract_if(.., |entry| is_over(entry)).collect();
        for LoadedModel { model, adapters } in over.iter().filter_map(Override::listed) {
            self.add(*model, None);
            adapters.iter().for_each(|adapter| self.add(*model, Some(adapter)));
        }
        // Overrides that last longer still apply.
        let absent = self.overrides.iter().filter(|entry| !entry.is_present());
        let absent: Vec<_> = absent.map(|entry| (entry.model, entry.adapter.clone())).collect();
        absent.iter().for_each(|(model, adapter)| self.remove(*model, adapter.as_ref()));
    }

    /// The part of a model's entry in the report that an absence overrides.
    fn listed(&self, model: Index, adapter: Option<&adapter::Id>) -> Option<LoadedModel> {
        let loaded = self.models.iter().find(|entry| entry.model == model)?;
        match adapter {
            None => Some(loaded.clone()),
            Some(adapter) if loaded.adapters.contains(adapter) => {
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
        self.overrides.retain(|entry| entry.model != model || entry.adapter.as_ref() != adapter);
    }

    fn add(&mut self, model: Index, adapter: Option<&adapter::Id>) {
        let at = self.models.iter().position(|entry| entry.model == model).unwrap_or_else(|| {
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
            None => self.models.retain(|entry| entry.model != model),
            Some(adapter) => {
                let of_model = self.models.iter_mut().filter(|entry| entry.model == model);
                of_model.for_each(|entry| entry.adapters.retain(|other| other != adapter));
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
