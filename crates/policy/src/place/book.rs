//! What is known of one server, and what may still happen there.
//!
//! A state belongs to a sequence number. It is known when a report says it, or when it was known and
//! the server accepted the next order. Orders without an answer don't blur it: they name the number
//! that they were worked out from, so they are dead once it has passed, and while it hasn't, they
//! have changed nothing. What can't be known is waited for: an order by someone else that is being
//! carried out, or a refusal that says that the number has moved, is settled by the next report.

mod hear;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use types::{
    prelude::*,
    routed::{self, Sequence},
};

use super::{Operation, Order, Outcome, Rules, demand::Unit, picture::Decision};

/// After a refusal: until reports are likely to show why.
const REFUSED: Duration = Duration::from_millis(100);

/// How often the pause after refusals by an occupied server doubles.
const DOUBLINGS: u32 = 4;

/// Pause after each order in a row without an answer.
const SILENT: Duration = Duration::from_millis(150);

/// After this an order whose outcome wasn't told counts as one without an answer.
const FORGOTTEN: Duration = Duration::from_secs(5);

/// Time that an adapter takes to load, generously.
const ADAPTER: Duration = Duration::from_millis(60);

/// How long an unload keeps the room for what it was made for.
const CLAIM: Duration = Duration::from_secs(4);

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
pub(super) enum Standing {
    Here,
    Leaving,
    /// It said that it is another one; a report ends this.
    Absent,
}

/// A model order that is being carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Current {
    Load { model: model::Id, source: Source, due: Moment },
    Unload { model: model::Id },
    Foreign,
}

/// An order that was sent.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) order: Order,
    pub(super) source: Source,
    /// Whether the weight store's bucket was charged for it.
    pub(super) paid: bool,
    /// When it is given up: the answer, or the chance that it is carried out.
    until: Moment,
}

impl Sent {
    /// Whether it may still be carried out.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        now < self.until
    }

    fn is(&self, operation: Operation, model: &model::Id) -> bool {
        let order = &self.order;
        order.operation == operation && order.adapter.is_none() && order.model == *model
    }
}

/// One server.
#[derive(Clone, Debug)]
pub(super) struct Book {
    name: Arc<str>,
    pub(super) service: service::Id,
    pub(super) zone: availability::Id,
    pub(super) address: SocketAddr,
    pub(super) standing: Standing,
    pub(super) sequence: Sequence,
    pub(super) held: BTreeMap<model::Id, BTreeSet<adapter::Id>>,
    /// Adapters on their way, with the time they were ordered.
    pub(super) coming: BTreeMap<Unit, Moment>,
    /// When adapters that are here or on their way were ordered.
    pub(super) taken_in: BTreeMap<Unit, Moment>,
    /// Adapters that leave once nothing uses them.
    pub(super) parting: BTreeSet<Unit>,
    pub(super) current: Option<Current>,
    pub(super) asked: Option<Sent>,
    pub(super) doubts: Vec<Sent>,
    /// Orders to an earlier run of the server, which may carry them out at the number that they name.
    /// Such orders were worked out from what that run held, so what they load keeps its room free.
    late: Vec<Sent>,
    /// What room is being made for.
    pub(super) claim: Option<(model::Id, Moment)>,
    /// Requests in flight by model.
    pub(super) running: BTreeMap<model::Id, u32>,
    /// When models were last seen to arrive here.
    pub(super) since: BTreeMap<model::Id, Moment>,
    /// Orders in a row without an answer.
    pub(super) silent: u32,
    /// Whether it answers nobody.
    pub(super) is_unresponsive: bool,
    /// Requests a second that it takes, if it names a limit.
    pub(super) limit: Option<f64>,
    /// Orders in a row that were refused while one of this planner's was carried out.
    refused: u32,
    /// Whether a report has to show that such a refusal meant no more than that.
    is_refusal_open: bool,
    resident: BTreeSet<model::Id>,
    on_disk: BTreeSet<model::Id>,
    /// Whether `held`, `coming` and `current` are the state at `sequence`.
    certain: bool,
    /// When `sequence` was last set.
    moved: Moment,
    pause: Moment,
    /// Until when another planner's orders may still be carried out.
    foreign: Moment,
}

impl Book {
    pub(super) fn new(rules: &Rules, server: &routed::Server, now: Moment) -> Book {
        // A server that never accepted an order has none under way.
        let fresh = server.sequence == 0;
        let mut book = Book {
            name: server.name.clone(),
            service: server.service.clone(),
            zone: server.zone.clone(),
            address: server.address,
            standing: Standing::Here,
            sequence: server.sequence,
            held: BTreeMap::new(),
            coming: BTreeMap::new(),
            taken_in: BTreeMap::new(),
            parting: BTreeSet::new(),
            current: None,
            asked: None,
            doubts: Vec::new(),
            late: Vec::new(),
            claim: None,
            running: BTreeMap::new(),
            since: BTreeMap::new(),
            silent: 0,
            is_unresponsive: false,
            limit: None,
            refused: 0,
            is_refusal_open: false,
            resident: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            certain: fresh,
            moved: now,
            pause: now,
            foreign: if fresh { now } else { now + rules.late },
        };
        book.hold(&server.models, Duration::ZERO);
        book.copies(&server.resident, &server.on_disk);
        book.stand(server);
        book
    }

    /// Takes over orders to an earlier run. Whether one has been carried out already is for a report to
    /// tell.
    pub(super) fn inherit(&mut self, late: Vec<Sent>) {
        self.certain = false;
        self.late = late;
    }

    /// Ends a run; gives the server's name and the orders that a later run may yet carry out.
    pub(super) fn end(mut self, rules: &Rules, now: Moment) -> (Arc<str>, Vec<Sent>) {
        if let Some(sent) = self.asked.take() {
            self.doubt(sent, rules, now);
        }
        let all = self.late.into_iter().chain(self.doubts);
        (self.name, all.filter(|sent| sent.is_open(now)).collect())
    }

    /// Orders to an earlier run that load what isn't here.
    fn late_loads(&self) -> impl Iterator<Item = &Order> {
        let loads = self.late.iter().map(|sent| &sent.order);
        loads.filter(|order| order.operation == Operation::Load)
    }

    /// Whether an order may be worked out now.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        let here = self.standing == Standing::Here && self.certain && self.asked.is_none();
        here && !self.is_unresponsive && self.current != Some(Current::Foreign) && self.pause <= now
    }

    /// Whether a report is wanted now to know what is here.
    pub(super) fn is_unsettled(&self, now: Moment) -> bool {
        let waits = match &self.current {
            Some(Current::Load { due, .. }) => *due <= now || self.is_refusal_open,
            Some(_) => true,
            None => !self.certain || !self.parting.is_empty(),
        };
        self.standing != Standing::Leaving && waits
    }

    /// Whether a model answers here.
    pub(super) fn is_ready(&self, model: &model::Id) -> bool {
        let leaves = matches!(&self.current, Some(Current::Unload { model: m }) if m == model)
            || self.asked.as_ref().is_some_and(|sent| sent.is(Operation::Unload, model));
        self.standing == Standing::Here && self.held.contains_key(model) && !leaves
    }

    /// Whether a model answers here and no order without an answer may end that.
    pub(super) fn is_sure(&self, model: &model::Id, now: Moment) -> bool {
        let mut open = self.doubts.iter().chain(&self.late);
        let doubted = open.any(|sent| sent.is(Operation::Unload, model));
        self.is_ready(model) && !doubted && self.foreign <= now
    }

    /// Whether a model is on its way here, or room is made for it.
    pub(super) fn is_coming(&self, model: &model::Id) -> bool {
        if self.standing != Standing::Here {
            return false;
        }
        let asked = self.asked.as_ref().is_some_and(|sent| sent.is(Operation::Load, model));
        self.is_loading(model)
            || asked
            || self.claim.as_ref().is_some_and(|(claimed, _)| claimed == model)
    }

    /// Whether a load of a model is being carried out.
    pub(super) fn is_loading(&self, model: &model::Id) -> bool {
        matches!(&self.current, Some(Current::Load { model: m, .. }) if m == model)
    }

    /// Whether an adapter is here or on its way, and stays.
    pub(super) fn has(&self, unit: &Unit) -> bool {
        let held = self.held.get(&unit.0).is_some_and(|adapters| adapters.contains(&unit.1));
        (held || self.coming.contains_key(unit)) && !self.parting.contains(unit)
    }

    /// Adapters that take a place: held, coming or parting.
    pub(super) fn adapters(&self) -> BTreeSet<Unit> {
        let pairs = |(model, adapters): (&model::Id, &BTreeSet<adapter::Id>)| {
            adapters.iter().map(|adapter| (model.clone(), adapter.clone())).collect::<Vec<_>>()
        };
        self.held.iter().flat_map(pairs).chain(self.coming.keys().cloned()).collect()
    }

    /// Adapters that take a place or may yet take one.
    pub(super) fn reserved_adapters(&self) -> BTreeSet<Unit> {
        let unit = |order: &Order| Some((order.model.clone(), order.adapter.clone()?));
        self.adapters().into_iter().chain(self.late_loads().filter_map(unit)).collect()
    }

    /// Adapters still on their way.
    pub(super) fn under_way(&self, now: Moment) -> usize {
        self.coming.values().filter(|&&at| now < at + ADAPTER).count()
    }

    /// Memory that is taken, when each model is so large; none if one is of unknown size.
    pub(super) fn taken(&self, sizes: &BTreeMap<model::Id, routed::Model>) -> Option<Mebibytes> {
        let coming = match &self.current {
            Some(Current::Load { model, .. }) if !self.held.contains_key(model) => Some(model),
            Some(Current::Foreign) => return None,
            _ => None,
        };
        let models = self.late_loads().filter(|order| order.adapter.is_none());
        let late = models.map(|order| &order.model).filter(|model| !self.held.contains_key(*model));
        let loads: BTreeSet<&model::Id> = coming.into_iter().chain(late).collect();
        let weights =
            self.held.keys().chain(loads).map(|model| sizes.get(model).map(|m| m.weights));
        let units = self.reserved_adapters();
        let adapters = units.iter().map(|(model, _)| sizes.get(model).map(|m| m.adapter_weights));
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
    pub(super) fn ask(&mut self, decision: &Decision, now: Moment) {
        let Decision { order, source, paid, claim } = decision;
        let until = now + FORGOTTEN;
        self.asked = Some(Sent { order: order.clone(), source: *source, paid: *paid, until });
        if let Some(model) = claim {
            self.claim = Some((model.clone(), now + CLAIM));
        }
    }

    /// Lets go of what time has ended.
    pub(super) fn expire(&mut self, rules: &Rules, now: Moment) {
        self.doubts.retain(|sent| sent.is_open(now));
        self.late.retain(|sent| sent.is_open(now));
        self.claim.take_if(|(_, until)| *until <= now);
        if let Some(sent) = self.asked.take_if(|sent| sent.until <= now) {
            self.doubt(sent, rules, now);
        }
    }

    /// Takes an outcome; the order as it was sent, if it was still waited for.
    pub(super) fn answer(
        &mut self,
        rules: &Rules,
        order: &Order,
        outcome: Outcome,
        load: Duration,
        now: Moment,
    ) -> Option<Sent> {
        let sent = self.asked.take_if(|sent| sent.order == *order)?;
        if outcome != Outcome::Unknown {
            self.silent = 0;
        }
        match outcome {
            Outcome::Accepted => self.accept(order, sent.source, now + load, now),
            Outcome::AlreadyHolds if self.gives_up(order) => {
                self.accept(order, sent.source, now, now);
                self.drop_adapter(order);
            }
            Outcome::Busy | Outcome::Conflict if self.is_occupied(order) => self.back_off(now),
            Outcome::AlreadyHolds | Outcome::Conflict | Outcome::Busy => self.distrust(now),
            Outcome::Unknown => self.doubt(sent.clone(), rules, now),
            Outcome::NotThere => {
                self.certain = false;
                if self.standing == Standing::Here {
                    self.standing = Standing::Absent;
                }
            }
        }
        Some(sent)
    }

    /// Whether an order unloads an adapter that stood here at the number that the order names. If
    /// it holds already, that is its effect: an order that came between has done the same.
    fn gives_up(&self, order: &Order) -> bool {
        let unit = order.adapter.clone().map(|adapter| (order.model.clone(), adapter));
        let known = self.certain && order.expected == self.sequence;
        known && order.operation == Operation::Unload && unit.is_some_and(|unit| self.has(&unit))
    }

    fn accept(&mut self, order: &Order, source: Source, due: Moment, now: Moment) {
        self.doubts.retain(|sent| order.expected < sent.order.expected);
        if order.operation == Operation::Load && order.adapter.is_none() {
            self.claim.take_if(|(claimed, _)| *claimed == order.model);
        }
        if order.expected < self.sequence {
            return; // a report came before the answer
        }
        if self.sequence < order.expected {
            return self.distrust(now);
        }
        self.advance(order.expected + 1, now);
        self.foreign = now;
        let model = order.model.clone();
        match (order.operation, order.adapter.clone()) {
            (Operation::Load, None) => self.current = Some(Current::Load { model, source, due }),
            (Operation::Unload, None) => self.current = Some(Current::Unload { model }),
            (Operation::Load, Some(adapter)) => {
                self.taken_in.insert((model.clone(), adapter.clone()), now);
                self.coming.insert((model, adapter), now);
            }
            (Operation::Unload, Some(adapter)) => {
                self.parting.insert((model, adapter));
            }
        }
    }

    fn drop_adapter(&mut self, order: &Order) {
        let Some(adapter) = &order.adapter else { return };
        let unit = (order.model.clone(), adapter.clone());
        self.parting.remove(&unit);
        self.coming.remove(&unit);
        if let Some(adapters) = self.held.get_mut(&order.model) {
            adapters.remove(adapter);
        }
    }

    fn doubt(&mut self, mut sent: Sent, rules: &Rules, now: Moment) {
        sent.until = now + rules.late;
        self.doubts.push(sent);
        self.silent += 1;
        self.pause = now + SILENT * (self.silent - 1).min(8);
    }

    /// Whether an order of this planner's is being carried out at the number that another names:
    /// reason enough for a server to refuse that one. Servers don't say which reason they had.
    fn is_occupied(&self, order: &Order) -> bool {
        let own = matches!(&self.current, Some(Current::Load { .. } | Current::Unload { .. }));
        own && self.certain && order.expected == self.sequence
    }

    /// Leaves a server alone that is occupied, longer each time, or until it has done.
    fn back_off(&mut self, now: Moment) {
        self.pause = now + REFUSED * 2u32.pow(self.refused.min(DOUBLINGS));
        self.refused += 1;
        self.is_refusal_open = true;
    }

    /// What was being carried out has ended.
    fn finish(&mut self, now: Moment) {
        self.current = None;
        self.end_pause(now);
    }

    /// Its state belongs to another number now.
    fn advance(&mut self, sequence: Sequence, now: Moment) {
        self.sequence = sequence;
        self.late.retain(|sent| sequence <= sent.order.expected);
        self.moved = now;
        self.end_pause(now);
    }

    fn end_pause(&mut self, now: Moment) {
        if 0 < self.refused {
            self.refused = 0;
            self.pause = now;
        }
    }

    fn distrust(&mut self, now: Moment) {
        self.certain = false;
        self.pause = now + REFUSED;
    }
}
