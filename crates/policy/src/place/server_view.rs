//! What is known of one server, and what may still happen there.
//!
//! A state belongs to a sequence number. It is known when a report says it, or when it was known and
//! the server accepted the next order. Orders without an answer don't blur it: they name the number
//! that they were worked out from, so they are dead once it has passed, and while it hasn't, they
//! have changed nothing. What can't be known is waited for: an order by someone else that is being
//! carried out, or a refusal that says that the number has moved, is settled by the next report.

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

/// After a refusal: until reports are likely to show why.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// How often the pause after refusals by an occupied server doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// Pause after each order in a row without an answer.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(150);

/// After this an order whose outcome wasn't told counts as one without an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that an adapter takes to load, generously.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(60);

/// How long an unload keeps the room for what it was made for.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Where a model's weights come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    /// A copy in the server's memory.
    Memory,
    /// A copy on the server's disk.
    Disk,
    /// The weight store.
    Store,
}

/// Whether a server counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Present,
    Draining,
    /// It said that it is another one; a report ends this.
    Absent,
}

/// A model order that is being carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CurrentOrder {
    Load { model: model::Id, source: Source, due: Moment },
    Unload { model: model::Id },
    Foreign,
}

/// An order that was sent.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub(super) order: Order,
    pub(super) source: Source,
    /// Whether the weight store's bucket was charged for it.
    pub(super) charged: bool,
    /// When it is given up: the answer, or the chance that it is carried out.
    until: Moment,
}

impl SentOrder {
    /// Whether it may still be carried out.
    pub(super) fn may_take_effect(&self, now: Moment) -> bool {
        now < self.until
    }

    fn is(&self, operation: Operation, model: &model::Id) -> bool {
        let order = &self.order;
        order.operation == operation && order.adapter.is_none() && order.model == *model
    }
}

/// One server.
#[derive(Clone, Debug)]
pub(super) struct ServerView {
    name: Arc<str>,
    pub(super) service: service::Id,
    pub(super) zone: availability::Id,
    pub(super) address: SocketAddr,
    pub(super) presence: Presence,
    pub(super) sequence: Sequence,
    pub(super) held: BTreeMap<model::Id, BTreeSet<adapter::Id>>,
    /// Adapters on their way, with the time they were ordered.
    pub(super) adapters_loading: BTreeMap<AdapterKey, Moment>,
    /// When adapters that are here or on their way were ordered.
    pub(super) adapter_ordered_at: BTreeMap<AdapterKey, Moment>,
    /// Adapters that leave once nothing uses them.
    pub(super) adapters_unloading: BTreeSet<AdapterKey>,
    pub(super) current: Option<CurrentOrder>,
    pub(super) in_flight_order: Option<SentOrder>,
    pub(super) unresolved: Vec<SentOrder>,
    /// Orders to an earlier run of the server, which may carry them out at the number that they name.
    /// Such orders were worked out from what that run held, so what they load keeps its room free.
    inherited: Vec<SentOrder>,
    /// What room is being made for.
    pub(super) reservation: Option<(model::Id, Moment)>,
    /// Requests in flight by model.
    pub(super) requests_in_flight: BTreeMap<model::Id, u32>,
    /// When models were last seen to arrive here.
    pub(super) held_since: BTreeMap<model::Id, Moment>,
    /// Orders in a row without an answer.
    pub(super) unanswered: u32,
    /// Whether it answers nobody.
    pub(super) is_unresponsive: bool,
    /// Requests a second that it takes, if it names a limit.
    pub(super) limit: Option<f64>,
    /// Orders in a row that were refused while one of this planner's was carried out.
    refusals: u32,
    /// Whether a report has to show that such a refusal meant no more than that.
    is_refusal_unexplained: bool,
    resident: BTreeSet<model::Id>,
    on_disk: BTreeSet<model::Id>,
    /// Whether `held`, `coming` and `current` are the state at `sequence`.
    is_certain: bool,
    /// When `sequence` was last set.
    advanced_at: Moment,
    paused_until: Moment,
    /// Until when another planner's orders may still be carried out.
    foreign_until: Moment,
}

impl ServerView {
    pub(super) fn new(rules: &Rules, server: &routed::Server, now: Moment) -> ServerView {
        // A server that never accepted an order has none under way.
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

    /// Takes over orders to an earlier run. Whether one has been carried out already is for a report to
    /// tell.
    pub(super) fn inherit(&mut self, inherited: Vec<SentOrder>) {
        self.is_certain = false;
        self.inherited = inherited;
    }

    /// Ends a run; gives the server's name and the orders that a later run may yet carry out.
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

    /// Orders to an earlier run that load what isn't here.
    fn inherited_loads(&self) -> impl Iterator<Item = &Order> {
        let loads = self.inherited.iter().map(|sent| &sent.order);
        loads.filter(|order| order.operation == Operation::Load)
    }

    /// Whether an order may be worked out now.
    pub(super) fn accepts_orders(&self, now: Moment) -> bool {
        let here =
            self.presence == Presence::Present && self.is_certain && self.in_flight_order.is_none();
        here && !self.is_unresponsive
            && self.current != Some(CurrentOrder::Foreign)
            && self.paused_until <= now
    }

    /// Whether a report is wanted now to know what is here.
    pub(super) fn is_unsettled(&self, now: Moment) -> bool {
        let waits = match &self.current {
            Some(CurrentOrder::Load { due, .. }) => *due <= now || self.is_refusal_unexplained,
            Some(_) => true,
            None => !self.is_certain || !self.adapters_unloading.is_empty(),
        };
        self.presence != Presence::Draining && waits
    }

    /// Whether a model answers here.
    pub(super) fn is_ready(&self, model: &model::Id) -> bool {
        let leaves = matches!(&self.current, Some(CurrentOrder::Unload { model: m }) if m == model)
            || self.in_flight_order.as_ref().is_some_and(|sent| sent.is(Operation::Unload, model));
        self.presence == Presence::Present && self.held.contains_key(model) && !leaves
    }

    /// Whether a model answers here and no order without an answer may end that.
    pub(super) fn is_confirmed_ready(&self, model: &model::Id, now: Moment) -> bool {
        let mut open = self.unresolved.iter().chain(&self.inherited);
        let may_unload = open.any(|sent| sent.is(Operation::Unload, model));
        self.is_ready(model) && !may_unload && self.foreign_until <= now
    }

    /// Whether a model is on its way here, or room is made for it.
    pub(super) fn is_expected(&self, model: &model::Id) -> bool {
        if self.presence != Presence::Present {
            return false;
        }
        let is_in_flight =
            self.in_flight_order.as_ref().is_some_and(|sent| sent.is(Operation::Load, model));
        self.is_loading(model)
            || is_in_flight
            || self.reservation.as_ref().is_some_and(|(reserved, _)| reserved == model)
    }

    /// Whether a load of a model is being carried out.
    pub(super) fn is_loading(&self, model: &model::Id) -> bool {
        matches!(&self.current, Some(CurrentOrder::Load { model: m, .. }) if m == model)
    }

    /// Whether an adapter is here or on its way, and stays.
    pub(super) fn has_adapter(&self, adapter_key: &AdapterKey) -> bool {
        let held =
            self.held.get(&adapter_key.0).is_some_and(|adapters| adapters.contains(&adapter_key.1));
        (held || self.adapters_loading.contains_key(adapter_key))
            && !self.adapters_unloading.contains(adapter_key)
    }

    /// Adapters that take a place: held, coming or parting.
    pub(super) fn adapters(&self) -> BTreeSet<AdapterKey> {
        let pairs = |(model, adapters): (&model::Id, &BTreeSet<adapter::Id>)| {
            adapters.iter().map(|adapter| (model.clone(), adapter.clone())).collect::<Vec<_>>()
        };
        self.held.iter().flat_map(pairs).chain(self.adapters_loading.keys().cloned()).collect()
    }

    /// Adapters that take a place or may yet take one.
    pub(super) fn reserved_adapters(&self) -> BTreeSet<AdapterKey> {
        let adapter_key = |order: &Order| Some((order.model.clone(), order.adapter.clone()?));
        self.adapters().into_iter().chain(self.inherited_loads().filter_map(adapter_key)).collect()
    }

    /// Adapters still on their way.
    pub(super) fn adapters_in_flight(&self, now: Moment) -> usize {
        self.adapters_loading.values().filter(|&&at| now < at + ADAPTER_LOAD_TIME).count()
    }

    /// Memory that is taken, when each model is so large; none if one is of unknown size.
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
        let adapter_keys = self.reserved_adapters();
        let adapters =
            adapter_keys.iter().map(|(model, _)| sizes.get(model).map(|m| m.adapter_weights));
        weights.chain(adapters).sum()
    }

    /// Where a load would come from.
    pub(super) fn source(&self, model: &model::Id) -> Source {
        match model {
            _ if self.resident.contains(model) => Source::Memory,
            _ if self.on_disk.contains(model) => Source::Disk,
            _ => Source::Store,
        }
    }

    /// Takes note of an order that goes out now.
    pub(super) fn record_sent(&mut self, decision: &Decision, now: Moment) {
        let Decision { order, source, charged, reservation } = decision;
        let until = now + ANSWER_TIMEOUT;
        self.in_flight_order =
            Some(SentOrder { order: order.clone(), source: *source, charged: *charged, until });
        if let Some(model) = reservation {
            self.reservation = Some((model.clone(), now + RESERVATION_TIMEOUT));
        }
    }

    /// Lets go of what time has ended.
    pub(super) fn expire(&mut self, rules: &Rules, now: Moment) {
        self.unresolved.retain(|sent| sent.may_take_effect(now));
        self.inherited.retain(|sent| sent.may_take_effect(now));
        self.reservation.take_if(|(_, until)| *until <= now);
        if let Some(sent) = self.in_flight_order.take_if(|sent| sent.until <= now) {
            self.add_unresolved(sent, rules, now);
        }
    }

    /// Takes an outcome; the order as it was sent, if it was still waited for.
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

    /// Whether an order unloads an adapter that stood here at the number that the order names. If
    /// it holds already, that is its effect: an order that came between has done the same.
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
            return; // a report came before the answer
        }
        if self.sequence < order.expected {
            return self.await_report(now);
        }
        self.advance(order.expected + 1, now);
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

    /// Whether an order of this planner's is being carried out at the number that another names:
    /// reason enough for a server to refuse that one. Servers don't say which reason they had.
    fn is_occupied(&self, order: &Order) -> bool {
        let own =
            matches!(&self.current, Some(CurrentOrder::Load { .. } | CurrentOrder::Unload { .. }));
        own && self.is_certain && order.expected == self.sequence
    }

    /// Leaves a server alone that is occupied, longer each time, or until it has done.
    fn back_off(&mut self, now: Moment) {
        self.paused_until = now + REFUSAL_PAUSE * 2u32.pow(self.refusals.min(MAX_PAUSE_DOUBLINGS));
        self.refusals += 1;
        self.is_refusal_unexplained = true;
    }

    /// What was being carried out has ended.
    fn finish_current(&mut self, now: Moment) {
        self.current = None;
        self.end_pause(now);
    }

    /// Its state belongs to another number now.
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
