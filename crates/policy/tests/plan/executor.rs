//! A simple executor of moves in virtual time, which checks memory and reachability at each step.

use std::{collections::BTreeMap, time::Duration};

use policy::plan::{Cause, Engine, Limits, Move, Planner, State};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use types::{
    adapter::Adapter,
    model::Model,
    order::Action,
    prelude::*,
    resident::{Resident, State as Progress},
};

pub(crate) const STEP: Duration = Duration::from_millis(500);

/// A model's name, its memory, and its adapters' names and memory.
pub(crate) type Sketch<'a> = (&'a str, Mebibytes, &'a [(&'a str, Mebibytes)]);

/// Returns a configuration of these models, in one group.
pub(crate) fn config(models: &[Sketch<'_>]) -> config::Config {
    let models = models.iter().map(|(id, memory, adapters)| {
        let adapters = adapters
            .iter()
            .map(|(id, memory)| ((*id).into(), Adapter { memory: *memory, version: "1".into() }));
        ((*id).into(), Model { adapters: adapters.collect(), ..model(*memory) })
    });
    config::Config { models: models.collect(), ..config::Config::default() }
}

pub(crate) fn model(memory: Mebibytes) -> Model {
    Model {
        group: "lm".into(),
        version: "1".into(),
        memory,
        kv: 0,
        replicas: 1,
        adapters: BTreeMap::new(),
    }
}

/// The actual state of one engine.
pub(crate) struct Machine {
    pub(crate) zone: availability::Id,
    pub(crate) state: State,
    pub(crate) capacity: Mebibytes,
    /// Residents, with the times when their loads or unloads end.
    pub(crate) residents: Vec<(Resident, Moment)>,
}

/// Engines, a planner, and the moves made.
pub(crate) struct World {
    pub(crate) now: Moment,
    pub(crate) planner: Planner,
    pub(crate) config: config::Config,
    pub(crate) machines: BTreeMap<backend::Id, Machine>,
    pub(crate) moves: Vec<Move>,
    /// Maximum random duration of an order, in steps.
    pub(crate) max_duration: u32,
    /// One in this many moves, at random, isn't carried out, which the planner isn't told; none is
    /// left out if zero.
    pub(crate) skip_one_in: u32,
    pub(crate) rng: ChaCha8Rng,
}

impl World {
    /// Creates `servers` engines of equal capacity, over `zones` zones in turn.
    pub(crate) fn new(
        rng: ChaCha8Rng,
        config: config::Config,
        servers: usize,
        zones: usize,
        capacity: Mebibytes,
        limits: Limits,
    ) -> World {
        let machines = (0..servers).map(|n| {
            let machine = Machine {
                zone: format!("zone-{}", n % zones).into(),
                state: State::Live,
                capacity,
                residents: Vec::new(),
            };
            (format!("lm-{n:02}").into(), machine)
        });
        let mut planner = Planner::new(limits);
        planner.configure(&config);
        World {
            now: Moment::ZERO,
            planner,
            config,
            machines: machines.collect(),
            moves: Vec::new(),
            max_duration: 4,
            skip_one_in: 0,
            rng,
        }
    }

    /// Applies a new configuration.
    pub(crate) fn configure(&mut self, config: config::Config) {
        self.planner.configure(&config);
        self.config = config;
    }

    /// Advances by a step and plans once. Returns the moves.
    pub(crate) fn step(&mut self) -> Vec<Move> {
        self.now += STEP;
        self.finish_orders();
        for (server, machine) in &self.machines {
            let engine = engine(server, machine);
            self.planner.set_engine(self.now, engine);
        }
        let moves = self.planner.plan(self.now);
        for planned in &moves {
            if 0 < self.skip_one_in && self.rng.random_range(0..self.skip_one_in) == 0 {
                continue;
            }
            self.carry_out(planned);
        }
        self.moves.extend(moves.iter().cloned());
        moves
    }

    /// Steps until no move was planned and none was in progress for 20 steps.
    pub(crate) fn settle(&mut self) {
        let mut idle_steps = 0;
        for _ in 0..4_000 {
            let moves = self.step();
            let busy = self.machines.values().any(|machine| {
                machine.residents.iter().any(|(resident, _)| resident.state != Progress::Ready)
            });
            idle_steps = if moves.is_empty() && !busy { idle_steps + 1 } else { 0 };
            if idle_steps == 20 {
                return;
            }
        }
        panic!("moves don't end; the last are {:#?}", &self.moves[self.moves.len() - 6..]);
    }

    /// Returns the live servers on which any version of a model is ready.
    pub(crate) fn ready(&self, model: &str) -> Vec<&backend::Id> {
        self.ready_in(model, |_| true)
    }

    /// Returns the live servers on which a version of a model is ready.
    pub(crate) fn ready_version(&self, model: &str, version: &str) -> Vec<&backend::Id> {
        self.ready_in(model, |held| held == version)
    }

    fn ready_in(&self, model: &str, wanted: impl Fn(&str) -> bool) -> Vec<&backend::Id> {
        let live = self.machines.iter().filter(|(_, machine)| machine.state == State::Live);
        let ready = live.filter(|(_, machine)| {
            machine.residents.iter().any(|(resident, _)| {
                resident.state == Progress::Ready
                    && matches!(&resident.unit, Unit::Model { model: held, version }
                        if **held == *model && wanted(version))
            })
        });
        ready.map(|(server, _)| server).collect()
    }

    /// Returns the live servers on which an adapter and its base model are ready.
    pub(crate) fn ready_adapter(&self, model: &str, adapter: &str) -> Vec<&backend::Id> {
        let bases = self.ready(model);
        let with = bases.into_iter().filter(|server| {
            self.machines[*server].residents.iter().any(|(resident, _)| {
                resident.state == Progress::Ready
                    && matches!(&resident.unit, Unit::Adapter { model: base, adapter: held, .. }
                        if **base == *model && **held == *adapter)
            })
        });
        with.collect()
    }

    /// Returns the availability zones in which a model is ready.
    pub(crate) fn zones(&self, model: &str) -> Vec<availability::Id> {
        let mut zones: Vec<_> =
            self.ready(model).iter().map(|server| self.machines[*server].zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Returns the number of moves with this cause.
    pub(crate) fn count(&self, cause: Cause) -> usize {
        self.moves.iter().filter(|planned| planned.cause == cause).count()
    }

    fn finish_orders(&mut self) {
        let now = self.now;
        for machine in self.machines.values_mut() {
            machine
                .residents
                .retain(|(resident, at)| resident.state != Progress::Unloading || now < *at);
            for (resident, at) in &mut machine.residents {
                if resident.state == Progress::Loading && *at <= now {
                    resident.state = Progress::Ready;
                }
            }
        }
    }

    fn carry_out(&mut self, planned: &Move) {
        let done = self.now + STEP * self.rng.random_range(1..=self.max_duration);
        let machine = self.machines.get_mut(&planned.server).expect("a move names a known server");
        match &planned.action {
            Action::Load { unit, memory } => {
                let resident =
                    Resident { unit: unit.clone(), memory: *memory, state: Progress::Loading };
                machine.residents.push((resident, done));
                assert!(
                    used_memory(machine) <= machine.capacity,
                    "{} is overcommitted by {planned:?}",
                    planned.server
                );
            }
            Action::Unload { unit } => {
                let found = machine
                    .residents
                    .iter_mut()
                    .find(|(resident, _)| {
                        resident.unit == *unit && resident.state == Progress::Ready
                    })
                    .unwrap_or_else(|| panic!("{planned:?} unloads what is not ready"));
                found.0.state = Progress::Unloading;
                found.1 = done;
            }
            Action::Role { .. } => panic!("placement doesn't change roles: {planned:?}"),
        }
    }
}

/// Returns the engine as the planner is given it.
pub(crate) fn engine(server: &backend::Id, machine: &Machine) -> Engine {
    Engine {
        server: server.clone(),
        group: "lm".into(),
        zone: machine.zone.clone(),
        state: machine.state,
        free: machine.capacity - used_memory(machine),
        residents: machine.residents.iter().map(|(resident, _)| resident.clone()).collect(),
    }
}

fn used_memory(machine: &Machine) -> Mebibytes {
    machine.residents.iter().map(|(resident, _)| resident.memory).sum()
}
