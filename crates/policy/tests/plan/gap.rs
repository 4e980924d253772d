//! Long random sequences of patches and failures leave no gap in service.

use std::collections::BTreeSet;

use policy::plan::{Limits, State};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{adapter::Adapter, prelude::*};

use crate::executor::{World, config, model};

const PATCHES: usize = 60;

/// Checks that each model and adapter, once some server can serve it, stays served until it is
/// removed.
#[derive(Default)]
struct GapCheck {
    served: BTreeSet<(model::Id, Option<adapter::Id>)>,
}

impl GapCheck {
    fn check(&mut self, world: &World) {
        let config = &world.config;
        self.served.retain(|(model, adapter)| {
            let declared = config.models.get(model);
            let adapter = adapter.as_ref();
            declared.is_some_and(|d| adapter.is_none_or(|a| d.adapters.contains_key(a)))
        });
        for (id, declared) in &config.models {
            let is_served = !world.ready(id).is_empty();
            self.record(world, (id.clone(), None), is_served);
            for adapter in declared.adapters.keys() {
                let is_served = !world.ready_adapter(id, adapter).is_empty();
                self.record(world, (id.clone(), Some(adapter.clone())), is_served);
            }
        }
    }

    fn record(&mut self, world: &World, name: (model::Id, Option<adapter::Id>), is_served: bool) {
        if is_served {
            self.served.insert(name);
            return;
        }
        assert!(
            !self.served.contains(&name),
            "{name:?} has a gap at {:?}; the last moves are {:#?}",
            world.now,
            &world.moves[world.moves.len().saturating_sub(12)..]
        );
    }
}

fn patch(rng: &mut ChaCha8Rng, config: &mut config::Config, serial: usize) {
    let ids: Vec<model::Id> = config.models.keys().cloned().collect();
    let id = ids[rng.random_range(0..ids.len())].clone();
    let version: model::Version = format!("{serial}").into();
    match rng.random_range(0..6) {
        0 if ids.len() < 12 => {
            let new = model(rng.random_range(5..25));
            config.models.insert(format!("new-{serial}").into(), new);
        }
        1 if 4 < ids.len() => {
            config.models.remove(&id);
        }
        2 => {
            let declared = config.models.get_mut(&id).expect("declared");
            let adapter = Adapter { memory: rng.random_range(1..4), version };
            declared.adapters.insert(format!("adapter-{}", serial % 3).into(), adapter);
        }
        3 => {
            let declared = config.models.get_mut(&id).expect("declared");
            declared.adapters.pop_first();
        }
        4 => {
            let declared = config.models.get_mut(&id).expect("declared");
            declared.version = version;
            declared.memory = rng.random_range(5..25);
        }
        _ => {
            let declared = config.models.get_mut(&id).expect("declared");
            declared.version = version;
        }
    }
}

#[rstest]
#[case::roomy(120, 0)]
#[case::tight(60, 0)]
#[case::lossy(90, 4)]
fn no_model_that_answers_stops_answering_through_patches(
    #[case] capacity: Mebibytes,
    #[case] skip_one_in: u32,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let declared = config(&[
        ("a", 20, &[("adapter-0", 2)]),
        ("b", 15, &[]),
        ("c", 10, &[("adapter-1", 1)]),
        ("d", 24, &[]),
    ]);
    let mut world = World::new(rng, declared, 5, 3, capacity, Limits::default());
    world.skip_one_in = skip_one_in;
    let mut gap_check = GapCheck::default();
    for serial in 0..PATCHES {
        let mut config = world.config.clone();
        patch(&mut world.rng, &mut config, serial);
        world.configure(config);
        for _ in 0..world.rng.random_range(1..25) {
            world.step();
            gap_check.check(&world);
        }
    }
    world.settle();
    gap_check.check(&world);
    for (id, declared) in &world.config.models {
        assert!(
            !world.ready_version(id, &declared.version).is_empty(),
            "{id} is not ready in the declared version"
        );
        for adapter in declared.adapters.keys() {
            assert!(!world.ready_adapter(id, adapter).is_empty(), "{id}:{adapter}");
        }
    }
}

#[rstest]
fn no_gap_while_servers_fall_silent_and_come_back(#[values(1, 2, 3, 4)] seed: u64) {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let declared = config(&[("a", 20, &[("adapter-0", 2)]), ("b", 15, &[]), ("c", 10, &[])]);
    let mut world = World::new(rng, declared, 5, 3, 60, Limits::default());
    world.settle();
    let mut gap_check = GapCheck::default();
    for _ in 0..40 {
        let servers: Vec<backend::Id> = world.machines.keys().cloned().collect();
        let server = &servers[world.rng.random_range(0..servers.len())];
        world.machines.get_mut(server).expect("known").state = State::Suspected;
        for _ in 0..world.rng.random_range(1..20) {
            world.step();
        }
        world.machines.get_mut(server).expect("known").state = State::Live;
        world.step();
        gap_check.check(&world);
    }
}

/// If no server has memory for both versions, a replica of the old version makes way for one of the
/// new version, while another replica serves.
#[test]
fn a_version_change_with_no_room_beside_goes_through_another_replica() {
    let rng = ChaCha8Rng::seed_from_u64(11);
    let mut world = World::new(rng, config(&[("a", 50, &[])]), 2, 2, 60, Limits::default());
    world.settle();
    let mut next = world.config.clone();
    next.models.get_mut("a").expect("declared").version = "2".into();
    world.configure(next);
    let mut gap_check = GapCheck::default();
    for _ in 0..200 {
        world.step();
        gap_check.check(&world);
    }
    assert_eq!(world.ready_version("a", "2").len(), 2);
    assert!(world.ready_version("a", "1").is_empty());
}
