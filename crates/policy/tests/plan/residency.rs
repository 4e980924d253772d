//! Every model becomes resident, then resident twice in two availability zones, within the servers'
//! memory and the weight store's rate.

use std::time::Duration;

use policy::plan::{Cause, Engine, Limits, Planner, State, fit};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{model::Model, prelude::*, resident::State as Progress};

use crate::executor::{World, config, model};

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

#[test]
fn every_model_stands_in_two_zones_where_memory_allows() {
    let declared = config(&[("a", 40, &[("x", 4), ("y", 4)]), ("b", 30, &[]), ("c", 20, &[])]);
    let mut world = World::new(rng(1), declared, 4, 2, 60, Limits::default());
    world.settle();
    for model in ["a", "b", "c"] {
        assert_eq!(world.ready(model).len(), 2, "{model}");
        assert_eq!(world.zones(model).len(), 2, "{model}");
    }
    assert_eq!(world.ready_adapter("a", "x").len(), 2);
    assert_eq!(world.ready_adapter("a", "y").len(), 2);
}

#[test]
fn residency_of_all_comes_before_a_second_replica_of_any() {
    let declared = config(&[("a", 50, &[]), ("b", 50, &[]), ("c", 50, &[])]);
    let mut world = World::new(rng(2), declared, 3, 3, 60, Limits::default());
    world.settle();
    for model in ["a", "b", "c"] {
        assert_eq!(world.ready(model).len(), 1, "{model}");
    }
}

#[test]
fn a_new_model_takes_the_room_of_second_replicas() {
    let declared = config(&[("a", 50, &[]), ("b", 50, &[])]);
    let mut world = World::new(rng(3), declared, 4, 2, 60, Limits::default());
    world.settle();
    world.configure(config(&[("a", 50, &[]), ("b", 50, &[]), ("c", 50, &[])]));
    world.settle();
    for model in ["a", "b", "c"] {
        assert!(!world.ready(model).is_empty(), "{model}");
    }
    assert_eq!(world.count(Cause::Room), 1);
}

/// Free memory can be fragmented: a model's only replica is moved for a model that fits nowhere
/// else.
#[test]
fn a_single_replica_moves_aside_for_a_model_that_fits_nowhere_else() {
    let declared = config(&[("a", 30, &[]), ("b", 30, &[])]);
    let mut world = World::new(rng(4), declared, 2, 2, 60, Limits::default());
    world.settle();
    world.configure(config(&[("a", 30, &[]), ("b", 30, &[]), ("c", 60, &[])]));
    world.settle();
    for model in ["a", "b", "c"] {
        assert!(!world.ready(model).is_empty(), "{model}");
    }
}

#[test]
fn models_of_a_leaving_server_are_made_elsewhere_first() {
    let declared = config(&[("a", 20, &[]), ("b", 20, &[])]);
    let mut world = World::new(rng(5), declared, 3, 3, 60, Limits::default());
    world.settle();
    let server = world.ready("a")[0].clone();
    world.machines.get_mut(&server).expect("known").state = State::Leaving;
    world.settle();
    assert_eq!(world.ready("a").len(), 2);
    let loads = world.moves.iter().filter(|m| m.server == server && m.is_load());
    assert!(loads.count() <= 2, "the leaving server was given new loads");
}

#[test]
fn a_silent_server_costs_no_move_while_another_replica_answers() {
    let declared = config(&[("a", 20, &[]), ("b", 20, &[])]);
    let mut world = World::new(rng(6), declared, 2, 2, 60, Limits::default());
    world.settle();
    let before = world.moves.len();
    world.machines.values_mut().next().expect("one").state = State::Suspected;
    world.settle();
    assert_eq!(world.moves.len(), before);
}

#[rstest]
#[case(0.5, 1)]
#[case(2.0, 2)]
#[case(2.0, 3)]
fn the_weight_store_is_never_asked_for_more_than_its_rate(
    #[case] loads_per_second: f64,
    #[case] max_concurrent_loads: usize,
) {
    let names: Vec<String> = (0..20).map(|n| format!("m{n}")).collect();
    let models: Vec<_> = names.iter().map(|name| (&**name, 10, &[][..])).collect();
    let limits = Limits { loads_per_second, max_concurrent_loads };
    let mut world = World::new(rng(7), config(&models), 6, 3, 80, limits);
    let mut starts: Vec<Moment> = Vec::new();
    for _ in 0..400 {
        let loads = world.step().iter().filter(|planned| planned.is_load()).count();
        starts.extend(std::iter::repeat_n(world.now, loads));
        let residents = world.machines.values().flat_map(|machine| &machine.residents);
        let loading = residents.filter(|(r, _)| r.state == Progress::Loading).count();
        assert!(loading <= max_concurrent_loads);
    }
    assert_eq!(starts.len(), 40);
    let window = Duration::from_secs(10);
    for start in &starts {
        let within = starts.iter().filter(|at| start <= at && **at < *start + window).count();
        assert!(within as f64 <= loads_per_second * 10.0 + loads_per_second.max(1.0));
    }
}

#[test]
fn a_move_that_was_not_made_is_proposed_again() {
    let declared = config(&[("a", 20, &[])]);
    let mut world = World::new(rng(8), declared, 2, 2, 60, Limits::default());
    world.skip_one_in = 2;
    world.settle();
    assert_eq!(world.ready("a").len(), 2);
}

#[test]
fn the_same_input_gives_the_same_moves() {
    let run = || {
        let declared = config(&[("a", 40, &[("x", 4)]), ("b", 30, &[]), ("c", 20, &[])]);
        let mut world = World::new(rng(9), declared, 4, 2, 60, Limits::default());
        world.settle();
        world.moves
    };
    assert_eq!(run(), run());
}

#[test]
fn what_cannot_fit_is_named_with_what_is_short() {
    let mut declared = config(&[("a", 50, &[("x", 20)]), ("b", 50, &[])]);
    declared.models.insert("other".into(), Model { group: "none".into(), ..model(1) });
    let engines: Vec<Engine> = (0..2)
        .map(|n| Engine {
            server: format!("lm-{n}").into(),
            group: "lm".into(),
            zone: format!("zone-{n}").into(),
            state: State::Live,
            free: 60,
            residents: Vec::new(),
        })
        .collect();
    let shortages = fit::check(&declared, &engines);
    let models: Vec<&str> = shortages.iter().map(|shortage| &*shortage.model).collect();
    assert_eq!(models, ["a", "other"]);
    assert_eq!(shortages[0].needs, 70);
    assert_eq!(shortages[0].roomiest.as_ref().map(|room| room.free), Some(60));
    assert_eq!(shortages[1].roomiest, None);
}

#[test]
fn an_engine_that_is_forgotten_is_made_up_for() {
    let declared = config(&[("a", 20, &[])]);
    let mut planner = Planner::new(Limits::NONE);
    planner.configure(&declared);
    let engine = |n: usize| Engine {
        server: format!("lm-{n}").into(),
        group: "lm".into(),
        zone: format!("zone-{n}").into(),
        state: State::Live,
        free: 60,
        residents: Vec::new(),
    };
    (0..3).for_each(|n| planner.set_engine(Moment::ZERO, engine(n)));
    let first = planner.simulate(Moment::ZERO, 4);
    assert_eq!(first.len(), 2);
    planner.remove_engine(&first[0].server);
    let next = planner.plan(Moment::ZERO);
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].cause, Cause::Spread);
}
