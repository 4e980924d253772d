//! What a server says of itself: registrations and reports.

use std::{collections::BTreeSet, ops::Range};

use types::{
    prelude::*,
    routed::{self, Held, Report, Sequence},
};

use super::{Book, Current, Operation, Sent, Source, Standing, Unit};

/// Older news than this can't be behind by the usual lag: what was taken for known is wrong.
const PATIENCE: Duration = Duration::from_secs(2);

impl Book {
    /// Takes a changed registration. It doesn't say what is under way, so it can end an order but
    /// never show that nothing is under way.
    pub(in crate::place) fn register(&mut self, server: &routed::Server, now: Moment) {
        self.stand(server);
        if server.sequence < self.sequence {
            return;
        }
        self.copies(&server.resident, &server.on_disk);
        if self.sequence < server.sequence {
            self.certain = false;
            return;
        }
        self.arrive(&server.models);
        let lists = |model: &model::Id| server.models.iter().any(|held| held.model == *model);
        let ended = match &self.current {
            Some(Current::Load { model, .. }) => lists(model),
            Some(Current::Unload { model }) => !lists(model),
            _ => false,
        };
        if ended {
            self.finish(now);
            self.hold(&server.models, now);
        }
    }

    /// Adapters that it lists are on their way no more.
    fn arrive(&mut self, models: &[Held]) {
        let lists = |(model, adapter): &Unit| {
            models.iter().any(|held| held.model == *model && held.adapters.contains(adapter))
        };
        let arrived: Vec<Unit> = self.coming.keys().filter(|unit| lists(unit)).cloned().collect();
        for unit in arrived {
            let Some(adapters) = self.held.get_mut(&unit.0) else { continue };
            self.coming.remove(&unit);
            adapters.insert(unit.1);
        }
    }

    /// Takes a report; gives how many doubted loads from the weight store turn out to have begun.
    pub(in crate::place) fn report(&mut self, report: &Report, now: Moment) -> usize {
        if self.is_stale(report, now) {
            return 0;
        }
        let passed = self.sequence..report.sequence;
        if report.busy {
            self.current = self.carried_out(report, &passed, now);
        } else {
            self.finish(now);
        }
        self.is_refusal_open = false;
        if !passed.is_empty() || report.sequence < self.sequence {
            self.advance(report.sequence, now);
        }
        self.hold(&report.models, now);
        let since = |unit: &Unit| (unit.clone(), self.coming.get(unit).copied().unwrap_or(now));
        self.coming = report.coming.iter().map(since).collect();
        self.copies(&report.resident, &report.on_disk);
        self.certain = true;
        self.silent = 0;
        if self.standing == Standing::Absent {
            self.standing = Standing::Here;
        }
        self.settle()
    }

    /// Whether a report says less than is known.
    fn is_stale(&self, report: &Report, now: Moment) -> bool {
        let ended = report.busy && self.certain && self.current.is_none();
        let older = report.sequence < self.sequence || (report.sequence == self.sequence && ended);
        older && now < self.moved + PATIENCE
    }

    /// The model order that a busy server carries out.
    fn carried_out(
        &self,
        report: &Report,
        passed: &Range<Sequence>,
        now: Moment,
    ) -> Option<Current> {
        let lists = |model: &model::Id| report.models.iter().any(|held| held.model == *model);
        let known = self.current.clone().filter(|current| match current {
            Current::Load { model, .. } => !lists(model),
            Current::Unload { model } => lists(model),
            Current::Foreign => false,
        });
        let sent = || {
            let all = self.doubts.iter().chain(&self.asked);
            let mut fits =
                all.filter(|sent| passed.contains(&sent.order.expected)).filter_map(as_current);
            let first = fits.next()?;
            fits.all(|other| other == first).then_some(first)
        };
        // One that came between, or another planner's, may as well be the one.
        let alone = passed.end.saturating_sub(passed.start) == 1 && self.foreign <= now;
        let own = known.or_else(|| alone.then(sent).flatten());
        Some(own.unwrap_or(Current::Foreign))
    }

    /// Drops doubts that the number has passed; gives how many loads from the store began.
    fn settle(&mut self) -> usize {
        let (open, past): (Vec<_>, Vec<_>) = std::mem::take(&mut self.doubts)
            .into_iter()
            .partition(|sent| self.sequence <= sent.order.expected);
        self.doubts = open;
        let began = |sent: &&Sent| {
            let model = &sent.order.model;
            let load = sent.is(Operation::Load, model) && sent.source == Source::Store;
            load && (self.held.contains_key(model) || self.is_loading(model))
        };
        let models: BTreeSet<_> = past.iter().filter(began).map(|sent| &sent.order.model).collect();
        models.len()
    }

    pub(super) fn stand(&mut self, server: &routed::Server) {
        self.zone = server.zone.clone();
        self.address = server.address;
        self.standing = match (server.state, self.standing) {
            (routed::State::Draining, _) => Standing::Leaving,
            (routed::State::Ready, Standing::Absent) => Standing::Absent,
            (routed::State::Ready, _) if server.remaining.is_some() => Standing::Leaving,
            (routed::State::Ready, _) => Standing::Here,
        };
    }

    pub(super) fn hold(&mut self, models: &[Held], now: Moment) {
        let pairs = |held: &Held| (held.model.clone(), held.adapters.iter().cloned().collect());
        self.held = models.iter().map(pairs).collect();
        let held = &self.held;
        self.parting.retain(|(model, adapter)| {
            held.get(model).is_some_and(|adapters| adapters.contains(adapter))
        });
        // What is on its way keeps its place, also if its model has gone, until a report lists it no more:
        // a server may still take it in. Forgotten here, it let a third adapter into two places.
        let coming = &self.coming;
        self.taken_in.retain(|unit, _| {
            let is_held = held.get(&unit.0).is_some_and(|adapters| adapters.contains(&unit.1));
            is_held || coming.contains_key(unit)
        });
        self.since.retain(|model, _| held.contains_key(model));
        held.keys().for_each(|model| {
            self.since.entry(model.clone()).or_insert(now);
        });
    }

    pub(super) fn copies(&mut self, resident: &[model::Id], on_disk: &[model::Id]) {
        self.resident = resident.iter().cloned().collect();
        self.on_disk = on_disk.iter().cloned().collect();
    }
}

/// A model order as it is carried out.
fn as_current(sent: &Sent) -> Option<Current> {
    let order = &sent.order;
    if order.adapter.is_some() {
        return None;
    }
    let model = order.model.clone();
    Some(match order.operation {
        Operation::Load => Current::Load { model, source: sent.source, due: Moment::ZERO },
        Operation::Unload => Current::Unload { model },
    })
}
