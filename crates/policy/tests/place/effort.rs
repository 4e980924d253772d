//! Work that a plan takes when nearly all models are wanted and no server has room.

use policy::place::{Effort, Operation, Work};
use rstest::rstest;
use types::prelude::*;

use crate::world::{World, engine};

const SECOND: Duration = Duration::from_secs(1);

/// Servers that are full of replicas of `models` models, and work that overruns all of these replicas.
fn crowded(servers: usize, models: usize) -> World {
    let mut engine =
        engine(80_000 * models.div_ceil(servers) as u64, 8, &vec![(75_000, 2); models]);
    for (index, model) in engine.models.iter_mut().enumerate() {
        model.name = format!("m{index:03}").into();
    }
    engine.loads_per_s = 18.0;
    let mut world = World::new(engine, servers, 3, 1);
    offer(&mut world, 4 * SECOND);
    world
}

fn offer(world: &mut World, time: Duration) {
    let end = world.now + time;
    let models: Vec<model::Id> = world.engine.models.iter().map(|m| m.name.clone()).collect();
    while world.now < end {
        for model in &models {
            let work = Work { requests: 40, prompt: 0, output: 40 * 280 };
            world.planner.record_arrivals(model, None, work, world.now);
        }
        world.run(SECOND / 10);
    }
}

/// Each plan determines once for each server which replicas may make way, and once more for those that
/// hold a model whose replicas the plan has changed. A survey does so once for each server.
#[rstest]
#[case::of_25_servers(25, 54)]
#[case::of_112_servers(112, 242)]
fn the_work_of_a_plan_grows_with_servers_and_models(#[case] servers: usize, #[case] models: usize) {
    let mut world = crowded(servers, models);
    let mut worst = Effort::default();
    for _ in 0..50 {
        let orders = world.orders.len();
        world.step();
        let model_orders =
            world.orders[orders..].iter().filter(|(_, order)| order.adapter.is_none());
        let (orders, unloads) = model_orders.fold((0, 0), |(all, unloads), (_, order)| {
            (all + 1, unloads + usize::from(order.operation == Operation::Unload))
        });
        let effort = world.planner.effort();
        // A load changes one model, an unload also the models that it makes way for; each stands on
        // eight servers at most.
        let changed = (orders + unloads) * world.engine.models.len().div_ceil(servers) * 8;
        assert!(effort.evictions <= servers + changed, "{effort:?} with {orders} orders");
        let survey = world.planner.survey(world.now);
        assert!(survey.effort.evictions <= servers, "{:?} of a survey", survey.effort);
        let most = world.engine.models.iter().map(|model| world.holders(&model.name).len()).max();
        assert!(most <= Some(8), "{most:?} replicas of a model");
        worst.evictions = worst.evictions.max(effort.evictions);
        worst.evaluations = worst.evaluations.max(effort.evaluations);
    }
    // Each model on eight servers, and once more for some of them.
    assert!(worst.evaluations <= 2 * 8 * models, "{worst:?}");
    assert!(0 < worst.evictions, "no plan looked for room");
}
