//! Lost, late, unanswered and repeated orders, crashes, and two planners at once.

use std::time::Duration;

use policy::place::{Planner, Rules, Work};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::RngExt;

use crate::world::{Faults, World, engine, small_site};

fn faults() -> impl Strategy<Value = Faults> {
    (0.0..0.3, 0.0..0.3, 0.0..0.4, 0.0..0.3).prop_map(|(lost, answer_lost, delayed, repeated)| {
        Faults { lost, answer_lost, delayed, repeated, delayed_until: None }
    })
}

/// Records random demand for a model or adapter, for one step.
fn record_random_demand(world: &mut World, busy: usize) {
    let pick = if world.rng.random_bool(0.8) { busy } else { world.rng.random_range(0..14) };
    let model = world.engine.models[pick % world.engine.models.len()].clone();
    let number = world.rng.random_range(0..=model.adapters);
    let adapter = (0 < number).then(|| format!("a{number}").into());
    let work = Work { requests: 8, prompt: 6_000, output: 2_000 };
    world.planner.record_arrivals(&model.name, adapter.as_ref(), work, world.now);
    world.planner.record_waiting(&model.name, adapter.as_ref(), world.now);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_server_is_ever_overcommitted(
        faults in faults(),
        seed: u64,
        crashes in proptest::collection::vec((0usize..1500, 0usize..7), 0..4),
        takeover in 0usize..1500,
    ) {
        let mut world = World::new(small_site(), 7, 4, seed);
        world.engine.adapter_slots = 3;
        world.planner.declare(&"lm".into(), &world.engine, world.now);
        world.faults = faults;
        for step in 0..1500 {
            record_random_demand(&mut world, step / 300 * 3);
            for &(at, number) in &crashes {
                if at == step {
                    world.crash(number);
                }
            }
            if step == takeover {
                replace_planner(&mut world);
            }
            world.step();
            prop_assert!(world.record.crashed.is_empty(), "{:?}", world.record.crashed);
        }
        prop_assert!(world.store_peak() as f64 <= 1.7 * 5.0 * 1.1 + 3.0);
    }

    /// A server that restarts under its name carries out orders that were sent to its earlier run.
    #[test]
    fn no_server_is_overcommitted_by_orders_to_its_earlier_run(
        delayed in 0.2..0.6,
        seed: u64,
        restarts in proptest::collection::vec((0usize..1500, 0usize..7), 1..8),
    ) {
        let mut world = World::new(small_site(), 7, 4, seed);
        world.engine.adapter_slots = 3;
        world.planner.declare(&"lm".into(), &world.engine, world.now);
        world.faults = Faults { delayed, ..Faults::default() };
        for step in 0..1500 {
            record_random_demand(&mut world, step / 300 * 3);
            restarts.iter().filter(|(at, _)| *at == step).for_each(|(_, n)| world.restart(*n));
            world.step();
            prop_assert!(world.record.crashed.is_empty(), "{:?}", world.record.crashed);
        }
    }

    /// An adapter may still be loading when its model is evicted, and keeps its slot until it is
    /// loaded.
    #[test]
    fn slow_adapters_overcommit_no_server(slow in 100u64..600, seed: u64) {
        let mut world = World::new(engine(83_000, 2, &[(34_300, 9); 6]), 4, 2, seed);
        for machine in &mut world.machines {
            machine.adapter_load_time = Duration::from_millis(slow);
        }
        for step in 0..1500 {
            record_random_demand(&mut world, step / 100);
            world.step();
            for machine in &world.machines {
                world.planner.register_server(&machine.registration(), world.now);
            }
            prop_assert!(world.record.crashed.is_empty(), "{:?}", world.record.crashed);
        }
    }

    #[test]
    fn every_model_stays_reachable_while_orders_go_wrong(faults in faults(), seed: u64) {
        let mut world = World::new(small_site(), 7, 4, seed);
        world.faults = faults;
        for step in 0..2000 {
            record_random_demand(&mut world, step / 300 * 3);
            world.step();
        }
        prop_assert!(world.unreachable.is_empty(), "{:?}", world.unreachable.first());
    }

    #[test]
    fn two_planners_at_once_overcommit_nothing(faults in faults(), seed: u64) {
        let mut world = World::new(engine(83_000, 3, &[(34_300, 9); 6]), 4, 2, seed);
        let mut other = World::new(world.engine.clone(), 4, 2, seed).planner;
        world.faults = faults;
        for step in 0..1200 {
            record_random_demand(&mut world, step / 200);
            world.step();
            std::mem::swap(&mut world.planner, &mut other);
            prop_assert!(world.record.crashed.is_empty(), "{:?}", world.record.crashed);
        }
    }
}

/// Replaces the planner while orders of the previous one may still be in flight.
fn replace_planner(world: &mut World) {
    world.planner = Planner::new(Rules::default());
    world.planner.declare(&"lm".into(), &world.engine, world.now);
    for machine in &world.machines {
        world.planner.register_server(&machine.registration(), world.now);
    }
}
