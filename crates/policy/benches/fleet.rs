//! Synthetic clusters of any size, in the proportions of 950 models on 770 servers in 8 zones.

use std::collections::BTreeMap;

use policy::plan::{Demand, Engine, Limits, Planner, State};
use types::{
    adapter::Adapter,
    model::Model,
    order::Action,
    prelude::*,
    resident::{Resident, State as Progress},
};

/// Models at full size.
pub const MODELS: usize = 950;

/// Servers at full size.
pub const SERVERS: usize = 770;

const ZONES: usize = 8;
const GROUPS: usize = 4;
const ADAPTERS: usize = 3;
const GIBIBYTE: Mebibytes = 1024;
const CAPACITY: Mebibytes = 8 * 80 * GIBIBYTE;
const SIZES: [Mebibytes; 6] = [16, 30, 70, 90, 140, 240];

/// Returns the number of servers for this many models.
pub fn servers(models: usize) -> usize {
    (models * SERVERS).div_ceil(MODELS)
}

/// Returns a configuration that declares this many models.
pub fn config(models: usize) -> config::Config {
    let models = (0..models).map(|n| {
        let adapters = (0..ADAPTERS)
            .map(|a| (format!("adapter-{a}").into(), Adapter { memory: 200, version: "1".into() }));
        let model = Model {
            group: format!("group-{}", n % GROUPS).into(),
            version: "1".into(),
            memory: SIZES[n * 7 % SIZES.len()] * GIBIBYTE,
            kv: 10 * GIBIBYTE,
            replicas: 2,
            adapters: adapters.collect(),
        };
        (format!("model-{n:05}").into(), model)
    });
    config::Config { models: models.collect(), ..config::Config::default() }
}

/// Returns this many engines without models.
pub fn engines(servers: usize) -> BTreeMap<backend::Id, Engine> {
    let engines = (0..servers).map(|n| {
        let engine = Engine {
            server: format!("server-{n:05}").into(),
            group: format!("group-{}", n % GROUPS).into(),
            zone: format!("zone-{}", n / GROUPS % ZONES).into(),
            state: State::Live,
            free: CAPACITY,
            residents: Vec::new(),
        };
        (engine.server.clone(), engine)
    });
    engines.collect()
}

/// Returns the demand for model number `n`: a few models are busy, most are not. `shift` changes
/// which are.
pub fn demand(n: usize, shift: usize) -> Demand {
    let now = match (n + shift) % 10 {
        0 => 1.6,
        1..=3 => 0.6,
        _ => 0.1,
    };
    Demand { now, forecast: now }
}

/// Returns a planner that has placed this many models, their configuration, and the engines with
/// the models placed.
pub fn placed(models: usize) -> (Planner, config::Config, BTreeMap<backend::Id, Engine>) {
    let config = config(models);
    let mut engines = engines(servers(models));
    let mut planner = Planner::new(Limits::NONE);
    planner.configure(&config);
    for (n, id) in config.models.keys().enumerate() {
        planner.set_demand(id, demand(n, 0));
    }
    engines.values().for_each(|engine| planner.set_engine(Moment::ZERO, engine.clone()));
    for planned in planner.simulate(Moment::ZERO, 64) {
        if let Some(engine) = engines.get_mut(&planned.server) {
            apply(engine, &planned.action);
        }
    }
    (planner, config, engines)
}

/// Carries out an order immediately.
pub fn apply(engine: &mut Engine, action: &Action) {
    match action {
        Action::Load { unit, memory } => {
            let resident = Resident { unit: unit.clone(), memory: *memory, state: Progress::Ready };
            engine.free -= memory;
            engine.residents.push(resident);
        }
        Action::Unload { unit } => {
            let (gone, left) =
                engine.residents.drain(..).partition(|resident| resident.unit == *unit);
            engine.residents = left;
            let gone: Vec<Resident> = gone;
            engine.free += gone.iter().map(|resident| resident.memory).sum::<Mebibytes>();
        }
        Action::Role { .. } => {}
    }
}
