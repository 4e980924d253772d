//! Who moves models: our planner, nobody, or a planner of last minute's demand.
//!
//! Orders go to the engines by HTTP, as a host's planner gives them. The ledger has no part in
//! this measurement: there is one planner, and it reads the engines' reports.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use policy::plan::{Engine, Planner, State, forecast::Forecast};
use tokio::{
    task::AbortHandle,
    time::{Instant, MissedTickBehavior},
};
use types::{
    backend::Server,
    order::{Action, Order},
    prelude::*,
    resident::{Resident, State as Progress},
};

use crate::{Way, deployment::Sizes, load::Counts, site::Site};

/// A minute of the last-minute planner, shortened so that a run holds several.
pub(crate) const MINUTE: Duration = Duration::from_secs(6);

const TICK: Duration = Duration::from_millis(500);
const TICKS_A_SECOND: u32 = 2;
const REPORT_WITHIN: Duration = Duration::from_millis(400);

/// Starts the mover of models, if the way has one.
pub(crate) fn spawn(site: &Arc<Site>, sizes: &Sizes, way: Way, counts: Arc<Counts>) -> AbortHandle {
    let mover = Mover {
        site: site.clone(),
        sizes: sizes.clone(),
        counts,
        client: ::backend::Client::new(),
        engines: BTreeMap::new(),
        fence: 0,
    };
    match way {
        Way::Ours => tokio::spawn(ours(mover)).abort_handle(),
        Way::Hosts | Way::Static => tokio::spawn(async {}).abort_handle(),
        Way::LastMinute => tokio::spawn(last_minute(mover)).abort_handle(),
    }
}

struct Mover {
    site: Arc<Site>,
    sizes: Sizes,
    counts: Arc<Counts>,
    client: ::backend::Client,
    engines: BTreeMap<backend::Id, Engine>,
    fence: order::Fence,
}

impl Mover {
    /// Reads every engine's report; one that does not answer is suspected.
    async fn read(&mut self) {
        let servers = self.site.servers.clone();
        let client = &self.client;
        let reports = servers.iter().map(|server| async move {
            let asked = client.load(server.address);
            let report = tokio::time::timeout(REPORT_WITHIN, asked).await;
            (server, report.ok().and_then(Result::ok))
        });
        for (server, report) in futures_util::future::join_all(reports).await {
            match report {
                Some(load) => {
                    let engine = engine(server, load.capacity, load.residents);
                    self.engines.insert(server.id.clone(), engine);
                }
                None => {
                    if let Some(engine) = self.engines.get_mut(&server.id) {
                        engine.state = State::Suspected;
                    }
                }
            }
        }
    }

    async fn order(&mut self, server: &backend::Id, action: Action) {
        let Some(server) = self.site.servers.iter().find(|known| known.id == *server) else {
            return;
        };
        self.fence += 1;
        let order = Order {
            id: format!("order-{}", self.fence).into(),
            server: server.id.clone(),
            fence: self.fence,
            sender: "measure".into(),
            incarnation: 1,
            action,
        };
        // A lost order shows in the next report, and the plan made from it asks again.
        let _ = self.client.order(server.address, &order).await;
    }

    /// Each model's work in engines' worth, from arrivals counted over `period`.
    fn work(
        &self,
        arrivals: &BTreeMap<model::Id, u64>,
        period: Duration,
    ) -> BTreeMap<model::Id, f64> {
        let worth = period.as_secs_f64() * self.sizes.engine_rate();
        arrivals.iter().map(|(id, count)| (id.clone(), *count as f64 / worth)).collect()
    }
}

fn engine(server: &Server, capacity: Mebibytes, residents: Vec<Resident>) -> Engine {
    let taken: Mebibytes = residents.iter().map(|resident| resident.memory).sum();
    Engine {
        server: server.id.clone(),
        group: server.group.clone(),
        zone: server.zone.clone(),
        state: State::Live,
        free: capacity.saturating_sub(taken),
        residents,
    }
}

async fn ours(mut mover: Mover) {
    let origin = Instant::now();
    let mut planner = Planner::new(mover.sizes.limits);
    planner.configure(&mover.sizes.config);
    let mut forecast = Forecast::default();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick = 0;
    let mut counted = Instant::now();
    loop {
        ticks.tick().await;
        tick += 1;
        mover.read().await;
        if tick % TICKS_A_SECOND == 0 {
            let work = mover.work(&mover.counts.take(), counted.elapsed());
            counted = Instant::now();
            for (id, demand) in forecast.observe(&work) {
                planner.demand(&id, demand);
            }
        }
        let now = origin.elapsed();
        for engine in mover.engines.values() {
            planner.engine(now, engine.clone());
        }
        for planned in planner.plan(now) {
            mover.order(&planned.server, planned.action).await;
        }
    }
}

/// Each minute, gives every model replicas in proportion to the demand of the last one, as many
/// as memory holds, and moves at once to what that asks for.
async fn last_minute(mut mover: Mover) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut wanted: BTreeMap<model::Id, usize> = BTreeMap::new();
    let mut counted = Instant::now();
    loop {
        ticks.tick().await;
        mover.read().await;
        if MINUTE <= counted.elapsed() {
            let work = mover.work(&mover.counts.take(), counted.elapsed());
            counted = Instant::now();
            wanted = replicas(&mover.sizes, &work);
        }
        for (id, count) in wanted.clone() {
            mover.bring_to(&id, count).await;
        }
    }
}

/// Replicas of each model in proportion to its work, within nine tenths of all memory.
fn replicas(sizes: &Sizes, work: &BTreeMap<model::Id, f64>) -> BTreeMap<model::Id, usize> {
    let models = &sizes.config.models;
    let mut wanted: BTreeMap<model::Id, usize> = models.keys().map(|id| (id.clone(), 1)).collect();
    let footprint = |id: &model::Id| models.get(id).map_or(0, bundle);
    let mut left = sizes.capacity * sizes.engines as Mebibytes * 9 / 10;
    left = left.saturating_sub(models.keys().map(footprint).sum());
    loop {
        let load =
            |id: &model::Id, count: usize| work.get(id).copied().unwrap_or(0.0) / count as f64;
        let next = wanted
            .iter()
            .filter(|(id, count)| footprint(id) <= left && **count < sizes.engines)
            .max_by(|a, b| load(a.0, *a.1).total_cmp(&load(b.0, *b.1)))
            .map(|(id, _)| id.clone());
        let Some(id) = next else { return wanted };
        left -= footprint(&id);
        *wanted.entry(id).or_default() += 1;
    }
}

fn bundle(model: &model::Model) -> Mebibytes {
    model.footprint() + model.adapters.values().map(|adapter| adapter.memory).sum::<Mebibytes>()
}

impl Mover {
    /// One step towards this many replicas: unloads above it, loads below it where memory allows.
    async fn bring_to(&mut self, id: &model::Id, count: usize) {
        let Some(model) = self.sizes.config.models.get(id).cloned() else { return };
        let holding: Vec<backend::Id> = self.holding(id, |_| true);
        let ready = self.holding(id, |state| state == Progress::Ready);
        if count < holding.len() && 1 < ready.len() {
            let Some(server) = ready.last().cloned() else { return };
            for unit in self.units(&server, id) {
                self.order(&server, Action::Unload { unit: unit.clone() }).await;
                self.note_unload(&server, &unit);
            }
        }
        if holding.len() < count {
            let need = bundle(&model);
            let site = self
                .engines
                .values()
                .filter(|e| {
                    e.state == State::Live && need <= e.free && !holding.contains(&e.server)
                })
                .max_by_key(|engine| engine.free)
                .map(|engine| engine.server.clone());
            let Some(server) = site else { return };
            let base = Unit::Model { model: id.clone(), version: model.version.clone() };
            self.load(&server, base, model.footprint()).await;
            for (adapter, declared) in &model.adapters {
                let unit = Unit::Adapter {
                    model: id.clone(),
                    adapter: adapter.clone(),
                    version: declared.version.clone(),
                };
                self.load(&server, unit, declared.memory).await;
            }
        }
    }

    async fn load(&mut self, server: &backend::Id, unit: Unit, memory: Mebibytes) {
        self.order(server, Action::Load { unit: unit.clone(), memory }).await;
        if let Some(engine) = self.engines.get_mut(server) {
            engine.free = engine.free.saturating_sub(memory);
            engine.residents.push(Resident { unit, memory, state: Progress::Loading });
        }
    }

    fn note_unload(&mut self, server: &backend::Id, unit: &Unit) {
        let residents = self.engines.get_mut(server).map(|engine| &mut engine.residents);
        let resident = residents.and_then(|held| held.iter_mut().find(|r| r.unit == *unit));
        if let Some(resident) = resident {
            resident.state = Progress::Unloading;
        }
    }

    fn holding(&self, id: &model::Id, state: impl Fn(Progress) -> bool) -> Vec<backend::Id> {
        let live = self.engines.values().filter(|engine| engine.state == State::Live);
        let holding = live.filter(|engine| {
            engine.residents.iter().any(|resident| {
                matches!(&resident.unit, Unit::Model { model, .. } if model == id)
                    && resident.state != Progress::Unloading
                    && state(resident.state)
            })
        });
        holding.map(|engine| engine.server.clone()).collect()
    }

    fn units(&self, server: &backend::Id, id: &model::Id) -> Vec<Unit> {
        let residents = self.engines.get(server).map(|engine| &engine.residents);
        let units = residents
            .into_iter()
            .flatten()
            .filter(|resident| resident.unit.model() == id && resident.state == Progress::Ready);
        units.map(|resident| resident.unit.clone()).collect()
    }
}
