//! Models and adapters that a plan wants but can't order, and how often they are reported.

use policy::place::{Obstacle, ReportLimiter, Unplaced, Work};
use rstest::rstest;
use types::prelude::*;

use crate::world::{Faults, World, engine};

const SECOND: Duration = Duration::from_secs(1);

/// Offers the work that keeps `servers` servers fully utilized for a tenth of a second.
fn offer_work(model: &str, world: &mut World, servers: f64) {
    let output = (servers * 0.1 * 64.0 / 0.0056) as u64;
    let work = Work { requests: 10, prompt: 0, output };
    world.planner.record_arrivals(&model.into(), None, work, world.now);
}

fn obstacles(world: &World, model: &str) -> Vec<Obstacle> {
    let unplaced = world.planner.survey(world.now).unplaced;
    let of_model = unplaced.iter().filter(|entry| &*entry.model == model);
    of_model.map(|entry| entry.obstacle).collect()
}

#[test]
fn nothing_is_unplaced_without_demand() {
    let mut world = World::new(engine(83_000, 8, &[(34_300, 0); 6]), 6, 3, 1);
    world.run(10 * SECOND);
    assert_eq!(world.planner.survey(world.now).unplaced, []);
}

/// Two servers and two models: each server is full with a model's last replica.
#[test]
fn a_model_that_nothing_makes_room_for_is_unplaced() {
    let mut world = World::new(engine(40_000, 8, &[(34_300, 0); 2]), 2, 2, 1);
    for _ in 0..50 {
        offer_work("m00", &mut world, 3.0);
        world.run(SECOND / 10);
    }
    assert_eq!(obstacles(&world, "m00"), [Obstacle::NoRoom]);
    assert_eq!(obstacles(&world, "m01"), []);
}

#[test]
fn a_model_that_stands_everywhere_waits_for_servers() {
    let mut world = World::new(engine(83_000, 8, &[(34_300, 0); 2]), 2, 2, 1);
    for _ in 0..100 {
        offer_work("m00", &mut world, 4.0);
        world.run(SECOND / 10);
    }
    assert_eq!(obstacles(&world, "m00"), [Obstacle::NoServer]);
}

/// No order is answered, so the state of no server is known.
#[test]
fn servers_whose_orders_have_no_answer_are_busy() {
    let mut world = World::new(engine(83_000, 8, &[(34_300, 0); 3]), 3, 3, 1);
    world.faults = Faults { answer_lost: 1.0, delayed: 1.0, ..Faults::default() };
    let mut found = Vec::new();
    for _ in 0..50 {
        offer_work("m00", &mut world, 3.0);
        world.run(SECOND / 10);
        found.extend(obstacles(&world, "m00"));
    }
    assert!(found.contains(&Obstacle::Busy), "{found:?}");
}

#[test]
fn an_adapter_that_finds_no_place_is_unplaced() {
    let mut world = World::new(engine(83_000, 1, &[(34_300, 26)]), 1, 1, 1);
    let mut found = Vec::new();
    for _ in 0..10 {
        for adapter in ["a1", "a2"] {
            let work = Work { requests: 1, prompt: 300, output: 40 };
            world.planner.record_arrivals(&"m00".into(), Some(&adapter.into()), work, world.now);
            world.planner.record_waiting(&"m00".into(), Some(&adapter.into()), world.now);
        }
        world.step();
        let unplaced = world.planner.survey(world.now).unplaced;
        let of_adapters = unplaced.iter().filter(|entry| entry.adapter.is_some());
        found.extend(of_adapters.map(|entry| entry.obstacle));
    }
    assert!(found.contains(&Obstacle::NoRoom), "{found:?}");
}

fn unplaced(model: usize, obstacle: Obstacle) -> Unplaced {
    Unplaced { model: format!("m{model}").into(), adapter: None, replicas: 1, obstacle }
}

#[rstest]
#[case::too_short(&[0, 200], 0)]
#[case::once(&[0, 300, 400, 2200], 1)]
#[case::again(&[0, 300, 2300], 2)]
#[case::with_a_gap(&[0, 200, 10_000, 10_200], 0)]
fn an_entry_is_reported_if_it_lasts(#[case] times: &[u64], #[case] reported: usize) {
    let mut limiter = ReportLimiter::default();
    let mut number = 0;
    for (step, &time) in times.iter().enumerate() {
        let now = Duration::from_millis(time);
        if step == 2 && time == 10_000 {
            limiter.due(&[], now);
        }
        number += limiter.due(&[unplaced(0, Obstacle::Busy)], now).len();
    }
    assert_eq!(number, reported);
}

#[test]
fn another_obstacle_is_reported_sooner() {
    let mut limiter = ReportLimiter::default();
    let mut reported =
        |obstacle, ms| limiter.due(&[unplaced(0, obstacle)], Duration::from_millis(ms));
    assert_eq!(reported(Obstacle::Busy, 0), []);
    assert_eq!(reported(Obstacle::Busy, 300).len(), 1);
    assert_eq!(reported(Obstacle::NoRoom, 400), []);
    let again = reported(Obstacle::NoRoom, 600);
    assert_eq!(again, [(unplaced(0, Obstacle::NoRoom), Duration::from_millis(600))]);
}

#[test]
fn reports_of_a_shortage_of_hundreds_are_rate_limited() {
    let mut limiter = ReportLimiter::default();
    let unplaced: Vec<Unplaced> = (0..300).map(|model| unplaced(model, Obstacle::NoRoom)).collect();
    let mut reported = 0;
    for ms in (0..1000).step_by(50) {
        reported += limiter.due(&unplaced, Duration::from_millis(ms)).len();
    }
    assert_eq!(reported, 16);
    assert_eq!(limiter.due(&unplaced, SECOND).len(), 16, "the next second reports 16 more");
}
