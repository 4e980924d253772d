//! Planner's memory and time at 950 models on 770 servers, and at smaller sizes in proportion.

use std::{collections::BTreeMap, time::Duration};

use policy::plan::{Demand, Engine, Limits, Planner, State};
use types::{
    adapter::Adapter,
    backend,
    model::Model,
    order::Action,
    prelude::*,
    resident::{Resident, State as Progress},
};

use crate::fit::{Row, kibibytes, micros};

const MODELS: [usize; 4] = [119, 238, 475, 950];
const TARGET: f64 = 950.0;
const GROUPS: usize = 4;
const ZONES: usize = 8;
const ADAPTERS: usize = 3;
const GIBIBYTE: Mebibytes = 1024;
const CAPACITY: Mebibytes = 8 * 80 * GIBIBYTE;
const MEMORY: [Mebibytes; 6] = [16, 30, 70, 90, 140, 240];
const ROUNDS: usize = 64;
const LOST_ZONE: &str = "zone-0";
const NOW: Moment = Duration::from_secs(3600);

pub(crate) fn plan_rows() -> Vec<Row> {
    let placed: Vec<Placement> = MODELS.iter().map(|models| Placement::new(*models)).collect();
    let points = |of: &dyn Fn(&Placement) -> f64| {
        placed.iter().map(|p| (p.config.models.len() as f64, of(p))).collect::<Vec<_>>()
    };
    let row = |what, unit, of: &dyn Fn(&Placement) -> f64| {
        Row::new(what, unit, "models", points(of), TARGET)
    };
    vec![
        row("planner's state", "KiB", &|p| kibibytes(8, || p.planner.clone())),
        row("whole plan from empty engines", "ms", &|p| empty_plan_time(p) / 1e3),
        row("plan of a planner that takes over", "ms", &|p| takeover_time(p) / 1e3),
        row("plan after one engine changed", "ms", &|p| engine_change_time(p) / 1e3),
        row("plan after one patch", "ms", &|p| patch_time(p) / 1e3),
        row("loads after one of 8 zones is lost", "loads", &loads_after_zone_loss),
        row("models on no engine when one of 8 zones is lost", "models", &models_on_no_engine),
    ]
}

/// Configuration of this many models with [`ADAPTERS`] adapters each, in [`GROUPS`] groups.
pub(crate) fn config(models: usize) -> config::Config {
    let models = (0..models).map(|n| {
        let adapters = (0..ADAPTERS)
            .map(|a| (format!("adapter-{a}").into(), Adapter { memory: 200, version: "1".into() }));
        let model = Model {
            group: format!("group-{}", n % GROUPS).into(),
            version: "1".into(),
            memory: MEMORY[n * 7 % MEMORY.len()] * GIBIBYTE,
            kv: 10 * GIBIBYTE,
            replicas: 2,
            adapters: adapters.collect(),
        };
        (format!("model-{n:05}").into(), model)
    });
    config::Config { models: models.collect(), ..config::Config::default() }
}

struct Placement {
    config: config::Config,
    planner: Planner,
    engines: BTreeMap<backend::Id, Engine>,
}

impl Placement {
    fn new(models: usize) -> Placement {
        let config = config(models);
        let mut engines = empty_engines(models);
        let mut planner = Planner::new(Limits::NONE);
        planner.configure(&config);
        for (n, id) in config.models.keys().enumerate() {
            let now = if n % 10 == 0 { 1.6 } else { 0.3 };
            planner.set_demand(id, Demand { now, forecast: now });
        }
        engines.values().for_each(|engine| planner.set_engine(NOW, engine.clone()));
        for planned in planner.simulate(NOW, ROUNDS) {
            let Some(engine) = engines.get_mut(&planned.server) else { continue };
            apply(engine, &planned.action);
        }
        Placement { config, planner, engines }
    }
}

fn empty_engines(models: usize) -> BTreeMap<backend::Id, Engine> {
    let engines = (0..models * 770 / 950).map(|n| Engine {
        server: format!("server-{n:05}").into(),
        group: format!("group-{}", n % GROUPS).into(),
        zone: format!("zone-{}", n / GROUPS % ZONES).into(),
        state: State::Live,
        free: CAPACITY,
        residents: Vec::new(),
    });
    engines.map(|engine| (engine.server.clone(), engine)).collect()
}

fn apply(engine: &mut Engine, action: &Action) {
    match action {
        Action::Load { unit, memory } => {
            engine.free -= memory;
            let state = Progress::Ready;
            engine.residents.push(Resident { unit: unit.clone(), memory: *memory, state });
        }
        Action::Unload { unit } => {
            let unloaded = engine.residents.iter().filter(|r| r.unit == *unit).map(|r| r.memory);
            engine.free += unloaded.sum::<Mebibytes>();
            engine.residents.retain(|resident| resident.unit != *unit);
        }
        Action::Role { .. } => {}
    }
}

fn plan_anew(config: &config::Config, engines: &BTreeMap<backend::Id, Engine>) -> usize {
    let mut planner = Planner::new(Limits::NONE);
    planner.configure(config);
    engines.values().for_each(|engine| planner.set_engine(NOW, engine.clone()));
    planner.plan(NOW).len()
}

fn empty_plan_time(placed: &Placement) -> f64 {
    let engines = empty_engines(placed.config.models.len());
    micros(5, 2, || plan_anew(&placed.config, &engines))
}

fn takeover_time(placed: &Placement) -> f64 {
    micros(5, 4, || plan_anew(&placed.config, &placed.engines))
}

fn engine_change_time(placed: &Placement) -> f64 {
    let mut planner = placed.planner.clone();
    let Some(engine) = placed.engines.values().nth(placed.engines.len() / 2) else { return 0.0 };
    micros(5, 40, || {
        planner.set_engine(NOW, engine.clone());
        planner.plan(NOW)
    })
}

fn patch_time(placed: &Placement) -> f64 {
    let mut planner = placed.planner.clone();
    let mut next = placed.config.clone();
    if let Some(model) = next.models.values_mut().nth(placed.config.models.len() / 2) {
        model.version = "2".into();
    }
    let mut count = 0;
    micros(5, 40, || {
        count += 1;
        planner.configure(if count % 2 == 0 { &placed.config } else { &next });
        planner.plan(NOW)
    })
}

/// Number of loads that the planner orders when all engines of [`LOST_ZONE`] are removed.
fn loads_after_zone_loss(placed: &Placement) -> f64 {
    let mut planner = placed.planner.clone();
    for engine in lost_engines(placed) {
        planner.remove_engine(&engine.server);
    }
    let moves = planner.simulate(NOW, ROUNDS);
    moves.iter().filter(|planned| planned.is_load()).count() as f64
}

/// Number of models that only engines in [`LOST_ZONE`] had loaded.
fn models_on_no_engine(placed: &Placement) -> f64 {
    let holds = |engine: &Engine, id: &model::Id| {
        engine.residents.iter().any(|resident| resident.unit.model() == id)
    };
    let left: Vec<&Engine> = placed.engines.values().filter(|e| &*e.zone != LOST_ZONE).collect();
    let models = placed.config.models.keys();
    models.filter(|id| !left.iter().any(|engine| holds(engine, id))).count() as f64
}

fn lost_engines(placed: &Placement) -> impl Iterator<Item = &Engine> {
    placed.engines.values().filter(|engine| &*engine.zone == LOST_ZONE)
}
