//! Assignment of adapters to adapter slots.

use std::collections::BTreeSet;

use policy::place::{Operation, Work};
use types::prelude::*;

use crate::world::{World, engine};

const SECOND: Duration = Duration::from_secs(1);
const ONE: Work = Work { requests: 1, prompt: 300, output: 40 };

fn world() -> World {
    let mut world = World::new(engine(83_000, 3, &[(34_300, 26), (34_300, 7)]), 3, 3, 1);
    world.run(5 * SECOND);
    world
}

fn request(world: &mut World, adapter: &str) {
    let adapter = adapter.into();
    world.planner.record_arrivals(&"m00".into(), Some(&adapter), ONE, world.now);
    world.planner.record_waiting(&"m00".into(), Some(&adapter), world.now);
}

#[test]
fn an_adapter_that_is_asked_for_is_there_at_once() {
    let mut world = world();
    request(&mut world, "a7");
    world.run(Duration::from_millis(50));
    assert_eq!(world.adapter_holders("m00", "a7").len(), 1);
}

#[test]
fn a_busy_adapter_stands_twice() {
    let mut world = world();
    for _ in 0..40 {
        request(&mut world, "a1");
        world.run(SECOND / 10);
    }
    assert!(2 <= world.adapter_holders("m00", "a1").len());
}

/// Requests that wait although the adapter is loaded have failed on the server that has it, so they
/// need another copy.
#[test]
fn an_adapter_that_is_waited_for_though_it_stands_somewhere_stands_twice() {
    let mut world = world();
    // The first request causes the load, and the second finds the adapter loaded.
    for _ in 0..2 {
        request(&mut world, "a1");
        world.run(SECOND);
    }
    assert_eq!(world.adapter_holders("m00", "a1").len(), 1);
    for _ in 0..8 {
        world.planner.record_waiting(&"m00".into(), Some(&"a1".into()), world.now);
        world.run(SECOND / 20);
    }
    assert_eq!(world.adapter_holders("m00", "a1").len(), 2);
}

#[test]
fn an_adapter_of_an_unresponsive_server_is_loaded_elsewhere() {
    let mut world = world();
    request(&mut world, "a1");
    world.run(SECOND);
    let holders = world.adapter_holders("m00", "a1");
    let unresponsive: Vec<_> =
        holders.iter().map(|&at| world.machines[at].server.id.clone()).collect();
    world.planner.set_unresponsive(&unresponsive);
    request(&mut world, "a1");
    world.run(SECOND / 10);
    assert!(world.adapter_holders("m00", "a1").len() > holders.len());
}

#[test]
fn the_one_asked_for_longest_ago_makes_way() {
    let mut world = world();
    // Free memory is filled with replicas once demand is known; from then on the number of adapter
    // slots is constant.
    world.planner.record_arrivals(&"m00".into(), None, ONE, world.now);
    world.run(5 * SECOND);
    let holders = world.holders("m00");
    let slots = 3 * holders.len();
    for number in 1..=slots + 1 {
        request(&mut world, &format!("a{number}"));
        world.run(SECOND);
    }
    assert_eq!(world.holders("m00"), holders);
    assert!(
        world.adapter_holders("m00", "a1").is_empty(),
        "the least recently requested adapter was not evicted"
    );
    for number in 2..=slots + 1 {
        assert!(!world.adapter_holders("m00", &format!("a{number}")).is_empty(), "a{number}");
    }
    let unloads = world.orders.iter().filter(|(_, order)| order.operation == Operation::Unload);
    assert_eq!(unloads.count(), 1);
    assert!(world.record.crashed.is_empty());
}

#[test]
fn more_adapters_than_places_are_all_served_in_turn() {
    let mut world = world();
    for round in 0..3 {
        for number in 1..=26 {
            let adapter = format!("a{number}");
            request(&mut world, &adapter);
            world.run(SECOND / 2);
            assert!(!world.adapter_holders("m00", &adapter).is_empty(), "{round}: {adapter}");
        }
    }
    assert!(world.record.crashed.is_empty());
}

/// Each adapter is requested ten times per second, so none is ever idle.
#[test]
fn more_adapters_in_use_than_places_take_turns() {
    let mut world = world();
    let all: Vec<String> = (1..=14).map(|number| format!("a{number}")).collect();
    let mut served = BTreeSet::new();
    for _ in 0..100 {
        for adapter in &all {
            let name = adapter.as_str().into();
            world.planner.record_arrivals(&"m00".into(), Some(&name), ONE, world.now);
            if world.adapter_holders("m00", adapter).is_empty() {
                world.planner.record_waiting(&"m00".into(), Some(&name), world.now);
            } else {
                served.insert(adapter.clone());
            }
        }
        world.run(SECOND / 10);
    }
    let never: Vec<_> = all.iter().filter(|adapter| !served.contains(*adapter)).collect();
    assert!(never.is_empty(), "never served: {never:?}");
    assert!(
        world.orders.len() < 150,
        "adapters were moved too often: {} orders",
        world.orders.len()
    );
    assert!(world.record.crashed.is_empty());
}

#[test]
fn adapters_that_are_not_declared_are_not_loaded() {
    let mut world = world();
    let orders = world.orders.len();
    ["a27", "a0", "b1", "a", ""].iter().for_each(|name| request(&mut world, name));
    world.run(SECOND);
    assert_eq!(world.orders.len(), orders);
}

#[test]
fn four_adapters_at_once_go_to_a_server_and_the_rest_follows() {
    let mut world = World::new(engine(83_000, 8, &[(34_300, 26)]), 1, 1, 1);
    world.run(SECOND);
    (1..=8).for_each(|number| request(&mut world, &format!("a{number}")));
    world.run(SECOND);
    assert_eq!(world.machines[0].held["m00"].len(), 8);
}
