//! Placement where engines state that they take few requests.

mod support;

use std::collections::BTreeMap;

use gorsebank_fleet::DemandRow;
use gorsebank_world::BackEndId;

use support::{EngineModel, World, demand, demand_row};

/// Engines that hold these models.
fn world_of(held: &[&[&str]]) -> World {
    let mut world = World::new(0, &[]);
    let engines = held.iter().enumerate();
    world.engines = engines
        .map(|(number, models)| EngineModel::new(number, models))
        .collect();
    world
}

/// Plays eight seconds in which the first of these engines takes so many requests a second.
fn play(world: &mut World, limit: f64, rows: &[DemandRow]) {
    let first = BackEndId::from("engine-0-0");
    let limits = BTreeMap::from([(first, limit)]);
    for now in (0..8_000).step_by(50) {
        world.observe(now);
        world.planner.set_limits(&limits);
        world.turn(now, rows);
    }
}

#[test]
fn a_model_of_an_engine_that_takes_less_than_is_asked_is_loaded_elsewhere() {
    let mut world = world_of(&[&["m5"], &["m0"]]);
    play(&mut world, 0.25, &[demand(&[("m5", 0.7, 1)])]);
    assert_eq!(world.holders("m5"), 2);
    assert!(world.engines[1].holds(&"m5".into()));
}

#[test]
fn a_model_of_an_engine_that_takes_what_is_asked_stays_where_it_is() {
    let mut world = world_of(&[&["m5"], &["m0"]]);
    play(&mut world, 1.0, &[demand(&[("m5", 0.3, 0)])]);
    assert_eq!(world.holders("m5"), 1);
}

/// A model that is nowhere is not loaded where most requests for it would be turned away.
#[test]
fn nothing_new_is_loaded_at_an_engine_with_a_limit_while_there_are_others() {
    let mut world = world_of(&[&[], &["m0", "m1"]]);
    play(&mut world, 1.0, &[demand(&[("m5", 0.3, 1)])]);
    assert!(!world.engines[0].holds(&"m5".into()));
    assert!(world.engines[1].holds(&"m5".into()));
}

#[test]
fn an_adapter_of_an_engine_with_a_limit_is_brought_to_another_one_with_the_model() {
    let mut world = world_of(&[&["m4"], &["m4"]]);
    let first = demand_row(&[(4, 0.1, 1, 1)]);
    play(&mut world, 1.0, &[first]);
    assert!(world.engines[1].adapters().contains(&"m4/a1".to_owned()));
}
