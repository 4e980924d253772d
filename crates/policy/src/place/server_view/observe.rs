//! Updates from a server's own registrations and reports.

use std::{collections::BTreeSet, ops::Range};

use types::{
    prelude::*,
    routed::{self, LoadedModel, Report, Sequence},
};

use super::{AdapterKey, CurrentOrder, Operation, Presence, SentOrder, ServerView, Source};

/// Time since the view last advanced after which a report that contradicts the view replaces it:
/// the usual delay of reports is shorter.
const STALE_REPORT_TIMEOUT: Duration = Duration::from_secs(2);

impl ServerView {
    /// Applies a changed registration. Registrations don't contain the order in progress, so one
    /// can show that an order has ended but never that none is in progress.
    pub(in crate::place) fn apply_registration(&mut self, server: &routed::Server, now: Moment) {
        self.update_presence(server);
        if server.sequence < self.sequence {
            return;
        }
        self.set_copies(&server.resident, &server.on_disk);
        if self.sequence < server.sequence {
            self.is_certain = false;
            return;
        }
        self.record_loaded_adapters(&server.models);
        let lists = |model: &model::Id| server.models.iter().any(|held| held.model == *model);
        let ended = match &self.current {
            Some(CurrentOrder::Load { model, .. }) => lists(model),
            Some(CurrentOrder::Unload { model }) => !lists(model),
            _ => false,
        };
        if ended {
            self.finish_current(now);
            self.set_held(&server.models, now);
        }
    }

    /// Marks the adapters that a registration lists as loaded.
    fn record_loaded_adapters(&mut self, models: &[LoadedModel]) {
        let lists = |(model, adapter): &AdapterKey| {
            models.iter().any(|held| held.model == *model && held.adapters.contains(adapter))
        };
        let arrived: Vec<AdapterKey> = self
            .adapters_loading
            .keys()
            .filter(|adapter_key| lists(adapter_key))
            .cloned()
            .collect();
        for adapter_key in arrived {
            let Some(adapters) = self.held.get_mut(&adapter_key.0) else { continue };
            self.adapters_loading.remove(&adapter_key);
            adapters.insert(adapter_key.1);
        }
    }

    /// Applies a report. Returns how many unresolved loads from the weight store turn out to have
    /// begun.
    pub(in crate::place) fn apply_report(&mut self, report: &Report, now: Moment) -> usize {
        if self.is_stale(report, now) {
            return 0;
        }
        let passed = self.sequence..report.sequence;
        if report.busy {
            self.current = self.identify_current(report, &passed, now);
        } else {
            self.finish_current(now);
        }
        self.is_refusal_unexplained = false;
        if !passed.is_empty() || report.sequence < self.sequence {
            self.advance(report.sequence, now);
        }
        self.set_held(&report.models, now);
        let since = |adapter_key: &AdapterKey| {
            (adapter_key.clone(), self.adapters_loading.get(adapter_key).copied().unwrap_or(now))
        };
        self.adapters_loading = report.adapters_loading.iter().map(since).collect();
        self.set_copies(&report.resident, &report.on_disk);
        self.is_certain = true;
        self.unanswered = 0;
        if self.presence == Presence::Absent {
            self.presence = Presence::Present;
        }
        self.drop_resolved()
    }

    /// Whether a report is older than the view.
    fn is_stale(&self, report: &Report, now: Moment) -> bool {
        let ended = report.busy && self.is_certain && self.current.is_none();
        let older = report.sequence < self.sequence || (report.sequence == self.sequence && ended);
        older && now < self.advanced_at + STALE_REPORT_TIMEOUT
    }

    /// Returns the model order that a busy server is carrying out.
    fn identify_current(
        &self,
        report: &Report,
        passed: &Range<Sequence>,
        now: Moment,
    ) -> Option<CurrentOrder> {
        let lists = |model: &model::Id| report.models.iter().any(|held| held.model == *model);
        let known = self.current.clone().filter(|current| match current {
            CurrentOrder::Load { model, .. } => !lists(model),
            CurrentOrder::Unload { model } => lists(model),
            CurrentOrder::Foreign => false,
        });
        let sent = || {
            let all = self.unresolved.iter().chain(&self.in_flight_order);
            let mut fits =
                all.filter(|sent| passed.contains(&sent.order.expected)).filter_map(as_current);
            let first = fits.next()?;
            fits.all(|other| other == first).then_some(first)
        };
        // If several orders came in between, or another planner may have sent one, the order in
        // progress can't be identified.
        let is_single = passed.end.saturating_sub(passed.start) == 1 && self.foreign_until <= now;
        let own = known.or_else(|| is_single.then(sent).flatten());
        Some(own.unwrap_or(CurrentOrder::Foreign))
    }

    /// Drops unresolved orders whose sequence number has passed. Returns how many loads from the
    /// store began.
    fn drop_resolved(&mut self) -> usize {
        let (open, past): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unresolved)
            .into_iter()
            .partition(|sent| self.sequence <= sent.order.expected);
        self.unresolved = open;
        let began = |sent: &&SentOrder| {
            let model = &sent.order.model;
            let load = sent.is_model_order(Operation::Load, model) && sent.source == Source::Store;
            load && (self.held.contains_key(model) || self.is_loading(model))
        };
        let models: BTreeSet<_> = past.iter().filter(began).map(|sent| &sent.order.model).collect();
        models.len()
    }

    pub(super) fn update_presence(&mut self, server: &routed::Server) {
        self.zone = server.zone.clone();
        self.address = server.address;
        self.presence = match (server.state, self.presence) {
            (routed::State::Draining, _) => Presence::Draining,
            (routed::State::Ready, Presence::Absent) => Presence::Absent,
            (routed::State::Ready, _) if server.remaining.is_some() => Presence::Draining,
            (routed::State::Ready, _) => Presence::Present,
        };
    }

    pub(super) fn set_held(&mut self, models: &[LoadedModel], now: Moment) {
        let pairs =
            |held: &LoadedModel| (held.model.clone(), held.adapters.iter().cloned().collect());
        self.held = models.iter().map(pairs).collect();
        let held = &self.held;
        self.adapters_unloading.retain(|(model, adapter)| {
            held.get(model).is_some_and(|adapters| adapters.contains(adapter))
        });
        // An adapter being loaded keeps its slot, even if its model is gone, until a report no
        // longer lists it, since the server may still load it. If it were dropped here, the planner
        // could order a third adapter into two slots.
        let loading = &self.adapters_loading;
        self.adapter_ordered_at.retain(|adapter_key, _| {
            let is_held =
                held.get(&adapter_key.0).is_some_and(|adapters| adapters.contains(&adapter_key.1));
            is_held || loading.contains_key(adapter_key)
        });
        self.held_since.retain(|model, _| held.contains_key(model));
        held.keys().for_each(|model| {
            self.held_since.entry(model.clone()).or_insert(now);
        });
    }

    pub(super) fn set_copies(&mut self, resident: &[model::Id], on_disk: &[model::Id]) {
        self.resident = resident.iter().cloned().collect();
        self.on_disk = on_disk.iter().cloned().collect();
    }
}

/// Returns the order as an order in progress; `None` for an adapter order.
fn as_current(sent: &SentOrder) -> Option<CurrentOrder> {
    let order = &sent.order;
    if order.adapter.is_some() {
        return None;
    }
    let model = order.model.clone();
    Some(match order.operation {
        Operation::Load => CurrentOrder::Load { model, source: sent.source, due: Moment::ZERO },
        Operation::Unload => CurrentOrder::Unload { model },
    })
}
