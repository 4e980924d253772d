//! The baseline's planner, which places models by the last minute's demand.
//!
//! It sends orders to the engines by HTTP, as a host's planner does. For the strategies with hosts,
//! the hosts plan and this module does nothing.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use policy::plan::{Engine, State};
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

use crate::{Strategy, deployment::Sizes, load::ArrivalCounts, site::Site};

/// Period over which the baseline counts demand. Shorter than a minute, so that a run has several.
pub(crate) const MINUTE: Duration = Duration::from_secs(6);

const TICK: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts the baseline's planner for [`Strategy::LastMinute`]; does nothing for the others.
pub(crate) fn spawn(
    site: &Arc<Site>,
    sizes: &Sizes,
    strategy: Strategy,
    counts: Arc<ArrivalCounts>,
) -> AbortHandle {
    let placer = Placer {
        site: site.clone(),
        sizes: sizes.clone(),
        counts,
        client: ::backend::Client::new(),
        engines: BTreeMap::new(),
        fence: 0,
    };
    match strategy {
        Strategy::Ours | Strategy::Hosts | Strategy::Static => {
            tokio::spawn(async {}).abort_handle()
        }
        Strategy::LastMinute => tokio::spawn(last_minute(placer)).abort_handle(),
    }
}

struct Placer {
    site: Arc<Site>,
    sizes: Sizes,
    counts: Arc<ArrivalCounts>,
    client: ::backend::Client,
    engines: BTreeMap<backend::Id, Engine>,
    fence: order::Fence,
}

impl Placer {
    /// Reads the load report of every engine, and marks an engine as suspected that doesn't answer
    /// within [`REPORT_TIMEOUT`].
    async fn read_reports(&mut self) {
        let servers = self.site.servers.clone();
        let client = &self.client;
        let reports = servers.iter().map(|server| async move {
            let call = client.load(server.address);
            let report = tokio::time::timeout(REPORT_TIMEOUT, call).await;
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
        // If an order is lost, the next report lacks its effect and the next step sends it again.
        let _ = self.client.order(server.address, &order).await;
    }

    /// Number of fully used engines that each model's arrivals over `period` amount to.
    fn work(
        &self,
        arrivals: &BTreeMap<model::Id, u64>,
        period: Duration,
    ) -> BTreeMap<model::Id, f64> {
        let requests_per_engine = period.as_secs_f64() * self.sizes.engine_rate();
        arrivals
            .iter()
            .map(|(id, count)| (id.clone(), *count as f64 / requests_per_engine))
            .collect()
    }
}

fn engine(server: &Server, capacity: Mebibytes, residents: Vec<Resident>) -> Engine {
    let used: Mebibytes = residents.iter().map(|resident| resident.memory).sum();
    Engine {
        server: server.id.clone(),
        group: server.group.clone(),
        zone: server.zone.clone(),
        state: State::Live,
        free: capacity.saturating_sub(used),
        residents,
    }
}

/// After each [`MINUTE`], sets the number of replicas of each model in proportion to the demand in
/// it, as many as fit in memory. Each tick loads and unloads towards these numbers.
async fn last_minute(mut placer: Placer) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut targets: BTreeMap<model::Id, usize> = BTreeMap::new();
    let mut counted_since = Instant::now();
    loop {
        ticks.tick().await;
        placer.read_reports().await;
        if MINUTE <= counted_since.elapsed() {
            let work = placer.work(&placer.counts.take(), counted_since.elapsed());
            counted_since = Instant::now();
            targets = replicas(&placer.sizes, &work);
        }
        for (id, count) in targets.clone() {
            placer.scale_towards(&id, count).await;
        }
    }
}

/// Number of replicas of each model in proportion to its work, within nine tenths of all memory.
/// Each model has at least one.
fn replicas(sizes: &Sizes, work: &BTreeMap<model::Id, f64>) -> BTreeMap<model::Id, usize> {
    let models = &sizes.config.models;
    let mut targets: BTreeMap<model::Id, usize> = models.keys().map(|id| (id.clone(), 1)).collect();
    let footprint = |id: &model::Id| models.get(id).map_or(0, memory_with_adapters);
    let mut free = sizes.capacity * sizes.engines as Mebibytes * 9 / 10;
    free = free.saturating_sub(models.keys().map(footprint).sum());
    loop {
        let load =
            |id: &model::Id, count: usize| work.get(id).copied().unwrap_or(0.0) / count as f64;
        let next = targets
            .iter()
            .filter(|(id, count)| footprint(id) <= free && **count < sizes.engines)
            .max_by(|a, b| load(a.0, *a.1).total_cmp(&load(b.0, *b.1)))
            .map(|(id, _)| id.clone());
        let Some(id) = next else { return targets };
        free -= footprint(&id);
        *targets.entry(id).or_default() += 1;
    }
}

fn memory_with_adapters(model: &model::Model) -> Mebibytes {
    model.footprint() + model.adapters.values().map(|adapter| adapter.memory).sum::<Mebibytes>()
}

impl Placer {
    /// One step towards this many replicas: unloads one if there are more, or loads one if there
    /// are fewer and an engine has enough memory.
    async fn scale_towards(&mut self, id: &model::Id, count: usize) {
        let Some(model) = self.sizes.config.models.get(id).cloned() else { return };
        let holders: Vec<backend::Id> = self.holders(id, |_| true);
        let ready = self.holders(id, |state| state == Progress::Ready);
        if count < holders.len() && 1 < ready.len() {
            let Some(server) = ready.last().cloned() else { return };
            for unit in self.units(&server, id) {
                self.order(&server, Action::Unload { unit: unit.clone() }).await;
                self.mark_unloading(&server, &unit);
            }
        }
        if holders.len() < count {
            let need = memory_with_adapters(&model);
            let candidate = self
                .engines
                .values()
                .filter(|e| {
                    e.state == State::Live && need <= e.free && !holders.contains(&e.server)
                })
                .max_by_key(|engine| engine.free)
                .map(|engine| engine.server.clone());
            let Some(server) = candidate else { return };
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

    fn mark_unloading(&mut self, server: &backend::Id, unit: &Unit) {
        let residents = self.engines.get_mut(server).map(|engine| &mut engine.residents);
        let resident =
            residents.and_then(|residents| residents.iter_mut().find(|r| r.unit == *unit));
        if let Some(resident) = resident {
            resident.state = Progress::Unloading;
        }
    }

    fn holders(&self, id: &model::Id, state: impl Fn(Progress) -> bool) -> Vec<backend::Id> {
        let live = self.engines.values().filter(|engine| engine.state == State::Live);
        let holders = live.filter(|engine| {
            engine.residents.iter().any(|resident| {
                matches!(&resident.unit, Unit::Model { model, .. } if model == id)
                    && resident.state != Progress::Unloading
                    && state(resident.state)
            })
        });
        holders.map(|engine| engine.server.clone()).collect()
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
