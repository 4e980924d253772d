//! The planner's view of one server, and of the orders that may still take effect there.
//!
//! A state belongs to a sequence number. It is known if a report contains it, or if the state
//! before was known and the server accepted the next order. Unanswered orders don't make a known
//! state uncertain: each names the sequence number that it is based on, so it is void once the
//! server has passed that number, and until then it has changed nothing. A state can't be derived
//! while an order of another planner is in progress, or after a refusal because of another sequence
//! number; the next report then makes it known.

mod adapters;
mod observe;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use types::{
    prelude::*,
    routed::{self, Sequence},
};

use super::{Operation, Order, Outcome, Rules, demand::AdapterKey, draft::Decision};

/// Pause after a refusal, until reports are likely to show the reason.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Number of times that the pause after refusals by an occupied server may double.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// Pause per consecutive unanswered order after the first.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(150);

/// Time after which an order without a recorded outcome counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that an adapter takes to load; a generous upper bound.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(60);

/// How long the memory that an unload frees stays reserved for the model that it was freed for.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Where a server loads a model's weights from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    /// A copy in the server's main memory.
    Memory,
    /// A copy on the server's disk.
    Disk,
    /// The shared weight store.
    Store,
}

/// Whether a server takes part in placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Present,
    Draining,
    /// The server answered as another run; a report ends this state.
    Absent,
}

/// The model order that a server is carrying out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CurrentOrder {
    Load {
        model: model::Id,
        source: Source,
        due: Moment,
    },
    Unload {
        model: model::Id,
    },
    /// An order of another planner, or one that can't be identified.
    Foreign,
}

/// An order that was sent, and its bookkeeping.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub(super) order: Order,
    pub(super) source: Source,
    /// Whether the order took a token of the weight store's bucket.
    pub(super) charged: bool,
    /// Deadline for the answer; once the order is unresolved, the time when it can no longer take
    /// effect.
    until: Moment,
}

impl SentOrder {
    /// Whether the server may still carry the order out.
    pub(super) fn may_take_effect(&self, now: Moment) -> bool {
        now < self.until
    }

    fn is_model_order(&self, operation: Operation, model: &model::Id) -> bool {
        let order = &self.order;
        order.operation == operation && order.adapter.is_none() && order.model == *model
    }
}

/// The planner's view of one run of a server.
#[derive(Clone, Debug)]
pub(super) struct ServerView {
    name: Arc<str>,
    pub(super) service: service::Id,
    pub(super) zone: availability::Id,
    pub(super) address: SocketAddr,
    pub(super) presence: Presence,
    pub(super) sequence: Sequence,
    pub(super) held: BTreeMap<model::Id, BTreeSet<adapter::Id>>,
    /// Adapters being loaded, with the times of their orders.
    pub(super) adapters_loading: BTreeMap<AdapterKey, Moment>,
    /// Times of the orders for adapters that are loaded or being loaded.
    pub(super) adapter_ordered_at: BTreeMap<AdapterKey, Moment>,
    /// Adapters that the server unloads once no request uses them.
    pub(super) adapters_unloading: BTreeSet<AdapterKey>,
    pub(super) current: Option<CurrentOrder>,
    pub(super) in_flight_order: Option<SentOrder>,
    pub(super) unresolved: Vec<SentOrder>,
    /// Unresolved orders to an earlier run, which this run may carry out at the sequence number
    /// that they name. They are based on the memory of that run, so the memory for what they load
    /// stays reserved.
    inherited: Vec<SentOrder>,
    /// The model that memory is being freed for, and when the reservation expires.
    pub(super) reservation: Option<(model::Id, Moment)>,
    /// Requests in flight by model, from all hosts.
    pub(super) requests_in_flight: BTreeMap<model::Id, u32>,
    /// When each held model was first seen here.
    pub(super) held_since: BTreeMap<model::Id, Moment>,
    /// Number of consecutive unanswered orders.
    pub(super) unanswered: u32,
    /// Whether the server answers no host.
    pub(super) is_unresponsive: bool,
    /// Rate limit that the server has set, in requests per second.
    pub(super) limit: Option<f64>,
    /// Processing time relative to the median server.
    pub(super) scale: f64,
    /// Consecutive refusals while an order of this planner was in progress.
    refusals: u32,
    /// Whether a report is still needed to show that the refusals counted in `refusals` had no
    /// other reason.
    is_refusal_unexplained: bool,
    resident: BTreeSet<model::Id>,
    on_disk: BTreeSet<model::Id>,
    /// Whether `held`, `adapters_loading` and `current` are the state at `sequence`.
    is_certain: bool,
    /// When `sequence` last changed.
    advanced_at: Moment,
    paused_until: Moment,
    /// Until when orders of another planner may still be carried out.
    foreign_until: Moment,
}

impl ServerView {
    pub(super) fn new(rules: &Rules, server: &routed::Server, now: Moment) -> ServerView {
        // A server that has never accepted an order is carrying none out.
        let fresh = server.sequence == 0;
        let mut view = ServerView {
            name: server.name.clone(),
            service: server.service.clone(),
            zone: server.zone.clone(),
            address: server.address,
            presence: Presence::Present,
            sequence: server.sequence,
            held: BTreeMap::new(),
            adapters_loading: BTreeMap::new(),
            adapter_ordered_at: BTreeMap::new(),
            adapters_unloading: BTreeSet::new(),
            current: None,
            in_flight_order: None,
            unresolved: Vec::new(),
            inherited: Vec::new(),
            reservation: None,
            requests_in_flight: BTreeMap::new(),
            held_since: BTreeMap::new(),
            unanswered: 0,
            is_unresponsive: false,
            limit: None,
            scale: 1.0,
            refusals: 0,
            is_refusal_unexplained: false,
            resident: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            is_certain: fresh,
            advanced_at: now,
            paused_until: now,
            foreign_until: if fresh { now } else { now + rules.order_lifetime },
        };
        view.set_held(&server.models, Duration::ZERO);
        view.set_copies(&server.resident, &server.on_disk);
        view.update_presence(server);
        view
    }

    /// Takes over the unresolved orders to an earlier run. Only a report shows whether one of them
    /// has been carried out already, so the state is uncertain until then.
    pub(super) fn inherit(&mut self, inherited: Vec<SentOrder>) {
        self.is_certain = false;
        self.inherited = inherited;
    }

    /// Consumes the view of an ended run. Returns the server's name and the orders that a later run
    /// may still carry out.
    pub(super) fn into_unresolved(
        mut self,
        rules: &Rules,
        now: Moment,
    ) -> (Arc<str>, Vec<SentOrder>) {
        if let Some(sent) = self.in_flight_order.take() {
            self.add_unresolved(sent, rules, now);
        }
        let all = self.inherited.into_iter().chain(self.unresolved);
        (self.name, all.filter(|sent| sent.may_take_effect(now)).collect())
    }

    /// Returns the loads among the orders to an earlier run.
    fn inherited_loads(&self) -> impl Iterator<Item = &Order> {
        let loads = self.inherited.iter().map(|sent| &sent.order);
        loads.filter(|order| order.operation == Operation::Load)
    }

    /// Whether an order can be based on the state known now.
    pub(super) fn accepts_orders(&self, now: Moment) -> bool {
        let here =
            self.presence == Presence::Present && self.is_certain && self.in_flight_order.is_none();
        here && !self.is_unresponsive
            && self.current != Some(CurrentOrder::Foreign)
            && self.paused_until <= now
    }

    /// Whether a report is needed now to know what the server holds.
    pub(super) fn is_unsettled(&self, now: Moment) -> bool {
        let waits = match &self.current {
            Some(CurrentOrder::Load { due, .. }) => *due <= now || self.is_refusal_unexplained,
            Some(_) => true,
            None => !self.is_certain || !self.adapters_unloading.is_empty(),
        };
        self.presence != Presence::Draining && waits
    }

    /// Whether the server can serve requests for a model.
    pub(super) fn is_ready(&self, model: &model::Id) -> bool {
        let leaves = matches!(&self.current, Some(CurrentOrder::Unload { model: m }) if m == model)
            || self
                .in_flight_order
                .as_ref()
                .is_some_and(|sent| sent.is_model_order(Operation::Unload, model));
        self.presence == Presence::Present && self.held.contains_key(model) && !leaves
    }

    /// Whether the server can serve requests for a model and no unresolved order may end that.
    pub(super) fn is_confirmed_ready(&self, model: &model::Id, now: Moment) -> bool {
        let mut open = self.unresolved.iter().chain(&self.inherited);
        let may_unload = open.any(|sent| sent.is_model_order(Operation::Unload, model));
        self.is_ready(model) && !may_unload && self.foreign_until <= now
    }

    /// Returns the models that are being loaded or ordered here, or for which memory is being freed. A
    /// model may be listed several times.
    pub(super) fn expected_models(&self) -> impl Iterator<Item = &model::Id> {
        let loading = match &self.current {
            Some(CurrentOrder::Load { model, .. }) => Some(model),
            _ => None,
        };
        let sent = self.in_flight_order.as_ref().map(|sent| &sent.order);
        let sent =
            sent.filter(|order| order.operation == Operation::Load && order.adapter.is_none());
        let reserved = self.reservation.as_ref().map(|(model, _)| model);
        let all = loading.into_iter().chain(sent.map(|order| &order.model)).chain(reserved);
        all.filter(|_| self.presence == Presence::Present)
    }

    /// Whether a load of the model is in progress.
    pub(super) fn is_loading(&self, model: &model::Id) -> bool {
        matches!(&self.current, Some(CurrentOrder::Load { model: m, .. }) if m == model)
    }

    /// Whether an adapter is loaded or being loaded, and isn't being unloaded.
    pub(super) fn has_adapter(&self, adapter_key: &AdapterKey) -> bool {
        let held =
            self.held.get(&adapter_key.0).is_some_and(|adapters| adapters.contains(&adapter_key.1));
        (held || self.adapters_loading.contains_key(adapter_key))
            && !self.adapters_unloading.contains(adapter_key)
    }

    /// Returns how many adapter loads are still in progress.
    pub(super) fn adapters_in_flight(&self, now: Moment) -> usize {
        self.adapters_loading.values().filter(|&&at| now < at + ADAPTER_LOAD_TIME).count()
    }

    /// Returns the memory in use or reserved, given the models' sizes; `None` if a size is unknown
    /// or an order of another planner is in progress.
    pub(super) fn memory_taken(
        &self,
        sizes: &BTreeMap<model::Id, routed::Model>,
    ) -> Option<Mebibytes> {
        let coming = match &self.current {
            Some(CurrentOrder::Load { model, .. }) if !self.held.contains_key(model) => Some(model),
            Some(CurrentOrder::Foreign) => return None,
            _ => None,
        };
        let models = self.inherited_loads().filter(|order| order.adapter.is_none());
        let inherited =
            models.map(|order| &order.model).filter(|model| !self.held.contains_key(*model));
        let loads: BTreeSet<&model::Id> = coming.into_iter().chain(inherited).collect();
        let weights =
            self.held.keys().chain(loads).map(|model| sizes.get(model).map(|m| m.weights));
        let adapters = self.adapters().chain(self.inherited_adapters());
        let adapters = adapters.map(|(model, _)| sizes.get(model).map(|m| m.adapter_weights));
        weights.chain(adapters).sum()
    }

    /// Returns where the server would load the model from.
    pub(super) fn source(&self, model: &model::Id) -> Source {
        match model {
            _ if self.resident.contains(model) => Source::Memory,
            _ if self.on_disk.contains(model) => Source::Disk,
            _ => Source::Store,
        }
    }

    /// Returns the models of which the server has a copy from which it loads them faster than from the
    /// store.
    pub(super) fn copies(&self) -> impl Iterator<Item = (&model::Id, Source)> {
        let resident = self.resident.iter().map(|model| (model, Source::Memory));
        resident.chain(self.on_disk.iter().map(|model| (model, Source::Disk)))
    }

    /// Records an order that is sent now.
    pub(super) fn record_sent(&mut self, decision: &Decision, now: Moment) {
        let Decision { order, source, charged, reservation } = decision;
        let until = now + ANSWER_TIMEOUT;
        self.in_flight_order =
            Some(SentOrder { order: order.clone(), source: *source, charged: *charged, until });
        if let Some(model) = reservation {
            self.reservation = Some((model.clone(), now + RESERVATION_TIMEOUT));
        }
    }

    /// Drops orders and reservations whose time has passed.
    pub(super) fn expire(&mut self, rules: &Rules, now: Moment) {
        self.unresolved.retain(|sent| sent.may_take_effect(now));
        self.inherited.retain(|sent| sent.may_take_effect(now));
        self.reservation.take_if(|(_, until)| *until <= now);
        if let Some(sent) = self.in_flight_order.take_if(|sent| sent.until <= now) {
            self.add_unresolved(sent, rules, now);
        }
    }

    /// Records the outcome of an order. Returns the order as it was sent, or `None` if it was no
    /// longer awaited.
    pub(super) fn record_outcome(
        &mut self,
        rules: &Rules,
        order: &Order,
        outcome: Outcome,
        load: Duration,
        now: Moment,
    ) -> Option<SentOrder> {
        let sent = self.in_flight_order.take_if(|sent| sent.order == *order)?;
        if outcome != Outcome::Unknown {
            self.unanswered = 0;
        }
        match outcome {
            Outcome::Accepted => self.record_accepted(order, sent.source, now + load, now),
            Outcome::AlreadyHolds if self.unloads_held_adapter(order) => {
                self.record_accepted(order, sent.source, now, now);
                self.drop_adapter(order);
            }
            Outcome::Busy | Outcome::Conflict if self.is_occupied(order) => self.back_off(now),
            Outcome::AlreadyHolds | Outcome::Conflict | Outcome::Busy => self.await_report(now),
            Outcome::Unknown => self.add_unresolved(sent.clone(), rules, now),
            Outcome::NotThere => {
                self.is_certain = false;
                if self.presence == Presence::Present {
                    self.presence = Presence::Absent;
                }
            }
        }
        Some(sent)
    }

    /// Whether an order unloads an adapter that was loaded at the sequence number that the order
    /// names. If the server answers that the requested state holds already, the unload took effect
    /// at once, or an order in between had the same effect.
    fn unloads_held_adapter(&self, order: &Order) -> bool {
        let adapter_key = order.adapter.clone().map(|adapter| (order.model.clone(), adapter));
        let known = self.is_certain && order.expected == self.sequence;
        known
            && order.operation == Operation::Unload
            && adapter_key.is_some_and(|adapter_key| self.has_adapter(&adapter_key))
    }

    fn record_accepted(&mut self, order: &Order, source: Source, due: Moment, now: Moment) {
        self.unresolved.retain(|sent| order.expected < sent.order.expected);
        if order.operation == Operation::Load && order.adapter.is_none() {
            self.reservation.take_if(|(reserved, _)| *reserved == order.model);
        }
        if order.expected < self.sequence {
            return; // a report arrived before the answer
        }
        if self.sequence < order.expected {
            return self.await_report(now);
        }
        self.advance(order.expected.saturating_add(1), now);
        self.foreign_until = now;
        let model = order.model.clone();
        match (order.operation, order.adapter.clone()) {
            (Operation::Load, None) => {
                self.current = Some(CurrentOrder::Load { model, source, due })
            }
            (Operation::Unload, None) => self.current = Some(CurrentOrder::Unload { model }),
            (Operation::Load, Some(adapter)) => {
                self.adapter_ordered_at.insert((model.clone(), adapter.clone()), now);
                self.adapters_loading.insert((model, adapter), now);
            }
            (Operation::Unload, Some(adapter)) => {
                self.adapters_unloading.insert((model, adapter));
            }
        }
    }

    fn drop_adapter(&mut self, order: &Order) {
        let Some(adapter) = &order.adapter else { return };
        let adapter_key = (order.model.clone(), adapter.clone());
        self.adapters_unloading.remove(&adapter_key);
        self.adapters_loading.remove(&adapter_key);
        if let Some(adapters) = self.held.get_mut(&order.model) {
            adapters.remove(adapter);
        }
    }

    fn add_unresolved(&mut self, mut sent: SentOrder, rules: &Rules, now: Moment) {
        sent.until = now + rules.order_lifetime;
        self.unresolved.push(sent);
        self.unanswered += 1;
        self.paused_until = now + UNANSWERED_PAUSE * (self.unanswered - 1).min(8);
    }

    /// Whether an order of this planner is in progress at the sequence number that another order
    /// names. A server may refuse the latter for that reason alone, and doesn't report its reason.
    fn is_occupied(&self, order: &Order) -> bool {
        let own =
            matches!(&self.current, Some(CurrentOrder::Load { .. } | CurrentOrder::Unload { .. }));
        own && self.is_certain && order.expected == self.sequence
    }

    /// Pauses orders to an occupied server, longer with each refusal, until the order in progress
    /// ends.
    fn back_off(&mut self, now: Moment) {
        self.paused_until = now + REFUSAL_PAUSE * 2u32.pow(self.refusals.min(MAX_PAUSE_DOUBLINGS));
        self.refusals += 1;
        self.is_refusal_unexplained = true;
    }

    /// Ends the order in progress.
    fn finish_current(&mut self, now: Moment) {
        self.current = None;
        self.end_pause(now);
    }

    /// Moves the view to another sequence number, at which inherited orders for earlier numbers are
    /// void.
    fn advance(&mut self, sequence: Sequence, now: Moment) {
        self.sequence = sequence;
        self.inherited.retain(|sent| sequence <= sent.order.expected);
        self.advanced_at = now;
        self.end_pause(now);
    }

    fn end_pause(&mut self, now: Moment) {
        if 0 < self.refusals {
            self.refusals = 0;
            self.paused_until = now;
        }
    }

    fn await_report(&mut self, now: Moment) {
        self.is_certain = false;
        self.paused_until = now + REFUSAL_PAUSE;
    }
}
