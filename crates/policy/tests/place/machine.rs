//! A simulated model server that carries out conditional orders, and crashes when it is
//! overcommitted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use policy::place::{Operation, Order, Outcome};
use types::{
    prelude::*,
    routed::{self, Engine, LoadedModel, Model, Report, Server, StartTime, State},
};

pub type AdapterKey = (model::Id, adapter::Id);

const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(7);
const IDLE_UNLOAD_TIME: Duration = Duration::from_millis(20);
const REPORT_LAG: Duration = Duration::from_millis(100);

/// Events on all servers, besides the outcomes of orders.
#[derive(Default)]
pub struct Record {
    pub crashed: Vec<backend::Id>,
    /// Start times of loads from the weight store.
    pub store_loads: Vec<Moment>,
    pub accepted: usize,
}

pub struct Machine {
    pub server: Server,
    pub held: BTreeMap<model::Id, BTreeSet<adapter::Id>>,
    pub sequence: u64,
    pub current: Option<(Operation, model::Id, Moment)>,
    /// Time that an adapter takes to load.
    pub adapter_load_time: Duration,
    pub adapters_loading: Vec<(AdapterKey, Moment)>,
    /// Running requests, with the times when they end.
    pub running: Vec<(model::Id, Option<adapter::Id>, Moment)>,
    delayed: Vec<(Order, Moment)>,
    /// Copies in main memory, the newest last.
    resident: Vec<model::Id>,
    on_disk: Vec<model::Id>,
    reports: VecDeque<(Moment, Report)>,
}

impl Machine {
    pub fn new(number: usize, run: usize, zone: usize, on_disk: Vec<model::Id>) -> Machine {
        Machine::named(&format!("s{number}-{run}"), 0, number, zone, on_disk)
    }

    /// Returns the next run under the same name. It may still receive orders sent to this run.
    pub fn restarted(&mut self, run: usize, number: usize, zone: usize) -> Machine {
        let delayed = std::mem::take(&mut self.delayed);
        Machine {
            delayed,
            ..Machine::named(&self.server.name, run as StartTime, number, zone, self.disk())
        }
    }

    fn named(
        name: &str,
        started_at: StartTime,
        number: usize,
        zone: usize,
        on_disk: Vec<model::Id>,
    ) -> Machine {
        let server = Server {
            id: routed::run_id(name, started_at),
            name: name.into(),
            started_at,
            service: "lm".into(),
            software: "".into(),
            address: ([127, 0, 0, 1], 9000 + number as u16).into(),
            zone: format!("z{zone}").into(),
            slots: 64,
            state: State::Ready,
            remaining: None,
            cold: Duration::ZERO,
            models: Vec::new(),
            resident: Vec::new(),
            on_disk: on_disk.clone(),
            sequence: 0,
        };
        Machine {
            server,
            held: BTreeMap::new(),
            sequence: 0,
            current: None,
            adapter_load_time: ADAPTER_LOAD_TIME,
            adapters_loading: Vec::new(),
            running: Vec::new(),
            delayed: Vec::new(),
            resident: Vec::new(),
            on_disk,
            reports: VecDeque::new(),
        }
    }

    pub fn disk(&self) -> Vec<model::Id> {
        self.on_disk.clone()
    }

    /// Makes a model held immediately, without an order.
    pub fn hold(&mut self, engine: &Engine, model: &model::Id) {
        self.held.entry(model.clone()).or_default();
        self.store_copies(engine, model);
    }

    pub fn registration(&self) -> Server {
        Server {
            models: self.models(),
            resident: self.resident.clone(),
            on_disk: self.on_disk.clone(),
            sequence: self.sequence,
            ..self.server.clone()
        }
    }

    fn models(&self) -> Vec<LoadedModel> {
        let held = |(model, adapters): (&model::Id, &BTreeSet<adapter::Id>)| LoadedModel {
            model: model.clone(),
            version: 1,
            adapters: adapters.iter().cloned().collect(),
        };
        self.held.iter().map(held).collect()
    }

    /// Whether the server can serve requests for a model or adapter.
    pub fn can_serve(&self, model: &model::Id, adapter: Option<&adapter::Id>) -> bool {
        let leaves =
            self.current.as_ref().is_some_and(|(op, m, _)| *op == Operation::Unload && m == model);
        let adapters =
            self.held.get(model).filter(|_| !leaves && self.server.state == State::Ready);
        adapters.is_some_and(|held| adapter.is_none_or(|adapter| held.contains(adapter)))
    }

    /// Handles an order that arrives now.
    pub fn handle_order(
        &mut self,
        engine: &Engine,
        order: &Order,
        record: &mut Record,
        now: Moment,
    ) -> Outcome {
        // A server knows its name but not the run in the id.
        if order.server.split('@').next() != Some(&*self.server.name) {
            return Outcome::NotThere;
        }
        if order.expected != self.sequence {
            return Outcome::Conflict;
        }
        let outcome = match &order.adapter {
            None => self.model_order(engine, order, record, now),
            Some(adapter) => self.adapter_order(order, adapter, now),
        };
        record.accepted += usize::from(outcome == Outcome::Accepted);
        let slots =
            self.held.values().map(BTreeSet::len).sum::<usize>() + self.adapters_loading.len();
        if engine.weights < self.memory(engine) || (engine.adapter_slots as usize) < slots {
            record.crashed.push(self.server.id.clone());
        }
        outcome
    }

    /// Handles an order at a later time.
    pub fn deliver_later(&mut self, order: &Order, at: Moment) {
        self.delayed.push((order.clone(), at));
    }

    fn model_order(
        &mut self,
        engine: &Engine,
        order: &Order,
        record: &mut Record,
        now: Moment,
    ) -> Outcome {
        let model = &order.model;
        let here = self.held.contains_key(model);
        let due = match order.operation {
            _ if self.current.is_some() => return Outcome::Busy,
            Operation::Load if here => return Outcome::AlreadyHolds,
            Operation::Unload if !here => return Outcome::AlreadyHolds,
            Operation::Load => now + self.load_time(engine, model, record, now),
            Operation::Unload => now + IDLE_UNLOAD_TIME,
        };
        self.sequence += 1;
        self.current = Some((order.operation, model.clone(), due));
        Outcome::Accepted
    }

    fn load_time(
        &self,
        engine: &Engine,
        model: &model::Id,
        record: &mut Record,
        now: Moment,
    ) -> Duration {
        let declared = find(engine, model);
        if self.resident.contains(model) {
            return declared.warm;
        }
        if self.on_disk.contains(model) {
            return declared.disk;
        }
        record.store_loads.push(now);
        declared.load
    }

    fn adapter_order(&mut self, order: &Order, adapter: &adapter::Id, now: Moment) -> Outcome {
        let adapter_key = (order.model.clone(), adapter.clone());
        let uses = |run: &(model::Id, Option<adapter::Id>, Moment)| {
            run.0 == adapter_key.0 && run.1.as_ref() == Some(adapter)
        };
        let is_in_use = self.running.iter().any(uses);
        let Some(held) = self.held.get_mut(&order.model) else { return Outcome::NotThere };
        match order.operation {
            Operation::Load if held.contains(adapter) => return Outcome::AlreadyHolds,
            Operation::Load
                if self.adapters_loading.iter().any(|(loading, _)| *loading == adapter_key) =>
            {
                return Outcome::AlreadyHolds;
            }
            Operation::Load if 4 <= self.adapters_loading.len() => return Outcome::Busy,
            Operation::Load => {
                self.adapters_loading.push((adapter_key, now + self.adapter_load_time))
            }
            Operation::Unload if !held.contains(adapter) => return Outcome::AlreadyHolds,
            // Treated as refused while in use: the adapter stays.
            Operation::Unload if is_in_use => return Outcome::Busy,
            Operation::Unload => {
                held.remove(adapter);
                self.sequence += 1;
                return Outcome::AlreadyHolds;
            }
        }
        self.sequence += 1;
        Outcome::Accepted
    }

    fn memory(&self, engine: &Engine) -> Mebibytes {
        let loading = self
            .current
            .iter()
            .filter(|(op, ..)| *op == Operation::Load)
            .map(|(_, model, _)| model);
        let weights = self.held.keys().chain(loading).map(|model| find(engine, model).weights);
        let held = self.held.iter().map(|(model, units)| (model, units.len() as Mebibytes));
        let adapters_loading = self.adapters_loading.iter().map(|((model, _), _)| (model, 1));
        let adapters =
            held.chain(adapters_loading).map(|(model, n)| n * find(engine, model).adapter_weights);
        weights.chain(adapters).sum()
    }

    /// Advances to `now`: delayed orders arrive, and loads and unloads end.
    pub fn tick(&mut self, engine: &Engine, record: &mut Record, now: Moment) {
        let due: Vec<Order> =
            self.delayed.extract_if(.., |(_, at)| *at <= now).map(|(order, _)| order).collect();
        for order in due {
            self.handle_order(engine, &order, record, now);
        }
        self.running.retain(|(_, _, end)| now < *end);
        let is_in_use = |model: &model::Id| self.running.iter().any(|(m, ..)| m == model);
        let done = self.current.take_if(|(op, model, due)| {
            *due <= now && (*op == Operation::Load || !is_in_use(model))
        });
        match done {
            Some((Operation::Load, model, _)) => self.hold(engine, &model),
            // Adapters of the model that are being loaded keep their slots until their loads end.
            Some((Operation::Unload, model, _)) => {
                self.held.remove(&model);
            }
            None => {}
        }
        for (adapter_key, _) in self.adapters_loading.extract_if(.., |(_, due)| *due <= now) {
            if let Some(adapters) = self.held.get_mut(&adapter_key.0) {
                adapters.insert(adapter_key.1);
            }
        }
        let report = Report {
            models: self.models(),
            started_at: self.server.started_at,
            busy: self.current.is_some(),
            sequence: self.sequence,
            adapters_loading: self
                .adapters_loading
                .iter()
                .map(|(adapter_key, _)| adapter_key.clone())
                .collect(),
            resident: self.resident.clone(),
            on_disk: self.on_disk.clone(),
            ..Report::default()
        };
        self.reports.push_back((now, report));
        while self.reports.get(1).is_some_and(|(at, _)| *at + REPORT_LAG <= now) {
            self.reports.pop_front();
        }
    }

    /// Returns the current report, whose content is `REPORT_LAG` old.
    pub fn report(&self) -> Option<&Report> {
        self.reports.front().map(|(_, report)| report)
    }

    fn store_copies(&mut self, engine: &Engine, model: &model::Id) {
        for (copies, limit) in
            [(&mut self.resident, engine.host_memory), (&mut self.on_disk, engine.disk)]
        {
            copies.retain(|copy| copy != model);
            copies.push(model.clone());
            while limit < copies.iter().map(|copy| find(engine, copy).weights).sum() {
                copies.remove(0);
            }
        }
    }
}

fn find<'a>(engine: &'a Engine, model: &model::Id) -> &'a Model {
    engine.models.iter().find(|declared| declared.name == *model).expect("declared")
}
