//! Replicas follow demand, at a cost per move and without oscillation.

use policy::plan::{Cause, Demand, Limits, forecast::Forecast};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

use crate::executor::{World, config};

fn world(weights: config::Weights, capacity: Mebibytes) -> World {
    let names: Vec<String> = (0..12).map(|n| format!("m{n:02}")).collect();
    let models: Vec<_> = names.iter().map(|name| (&**name, 10, &[][..])).collect();
    let declared = config::Config { weights, ..config(&models) };
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut world = World::new(rng, declared, 6, 3, capacity, Limits::default());
    world.settle();
    world
}

fn set_demand(world: &mut World, model: &str, load: f64) {
    world.planner.set_demand(&model.into(), Demand { now: load, forecast: load });
}

#[test]
fn a_busy_model_gets_more_replicas_and_keeps_them() {
    let mut world = world(config::Weights::default(), 60);
    set_demand(&mut world, "m00", 3.0);
    world.settle();
    assert!(3 < world.ready("m00").len());
    let moves = world.moves.len();
    set_demand(&mut world, "m00", 0.1);
    world.settle();
    assert_eq!(world.moves.len(), moves, "replicas without demand were moved");
}

#[test]
fn a_second_busy_model_takes_over_the_room_of_the_first() {
    let mut world = world(config::Weights::default(), 55);
    set_demand(&mut world, "m00", 4.0);
    world.settle();
    assert_eq!(world.ready("m00").len(), 6);
    set_demand(&mut world, "m00", 0.0);
    set_demand(&mut world, "m01", 4.0);
    (0..200).for_each(|_| drop(world.step()));
    assert_eq!(world.ready("m01").len(), 6);
    assert!(world.ready("m00").len() < 6);
    for n in 0..12 {
        assert!(2 <= world.ready(&format!("m{n:02}")).len(), "m{n:02}");
    }
}

#[test]
fn weights_give_what_they_ask_for() {
    let run = |attainment, moves| {
        let mut world = world(config::Weights { attainment, moves }, 75);
        set_demand(&mut world, "m00", 1.5);
        set_demand(&mut world, "m06", 1.35);
        world.settle();
        world.count(Cause::Demand)
    };
    let attainment_heavy = run(3.0, 1.0);
    let moves_heavy = run(1.0, 3.0);
    assert!(moves_heavy < attainment_heavy, "{moves_heavy} < {attainment_heavy}");
}

#[test]
fn demand_that_flaps_does_not_move_models_to_and_fro() {
    let mut world = world(config::Weights::default(), 45);
    let mut forecast = Forecast::default();
    let before = world.moves.len();
    for round in 0..400 {
        let (busy, idle) = if round % 20 < 10 { ("m00", "m01") } else { ("m01", "m00") };
        let work = [(busy.into(), 3.0), (idle.into(), 0.1)].into();
        for (model, demand) in forecast.observe(&work) {
            world.planner.set_demand(&model, demand);
        }
        world.step();
    }
    let moves = world.moves.len() - before;
    assert!(moves <= 12, "{moves} moves in 400 rounds of changing demand");
}

#[test]
fn a_forecast_leads_a_ramp_and_trails_a_drop() {
    let mut forecast = Forecast::default();
    let mut observe = |work: f64| forecast.observe(&[("a".into(), work)].into())["a"];
    let ramp: Vec<Demand> = (1..10).map(|n| observe(f64::from(n))).collect();
    assert!(9.0 < ramp[8].forecast, "{:?}", ramp[8]);
    assert!(ramp[8].forecast < 18.0, "{:?}", ramp[8]);
    let fallen = (0..10).map(|_| observe(0.0)).last().expect("ten");
    assert!(5.0 < fallen.provided(), "{fallen:?}");
}
