//! Tests placement with engines that state a low rate limit.

mod support;

use std::collections::BTreeMap;

use gorsebank_fleet::DemandRow;
use gorsebank_world::BackEndId;

use support::{SimulatedEngine, Simulation, demand, demand_row};

/// Returns a simulation of one engine for each entry, which holds the models of that entry.
fn simulation_of(holdings: &[&[&str]]) -> Simulation {
    let mut simulation = Simulation::new(0, &[]);
    let engines = holdings.iter().enumerate();
    simulation.engines = engines
        .map(|(number, models)| SimulatedEngine::new(number, models))
        .collect();
    simulation
}

/// Simulates eight seconds in which the first engine states `limit` requests per second.
fn simulate(simulation: &mut Simulation, limit: f64, rows: &[DemandRow]) {
    let first = BackEndId::from("engine-0-0");
    let limits = BTreeMap::from([(first, limit)]);
    for now in (0..8_000).step_by(50) {
        simulation.observe(now);
        simulation.planner.set_limits(&limits);
        simulation.run_iteration(now, rows);
    }
}

#[test]
fn a_model_in_demand_above_its_engines_limit_is_loaded_at_another_engine() {
    let mut simulation = simulation_of(&[&["m5"], &["m0"]]);
    simulate(&mut simulation, 0.25, &[demand(&[("m5", 0.7, 1)])]);
    assert_eq!(simulation.replica_count("m5"), 2);
    assert!(simulation.engines[1].holds(&"m5".into()));
}

#[test]
fn a_model_in_demand_below_its_engines_limit_stays_where_it_is() {
    let mut simulation = simulation_of(&[&["m5"], &["m0"]]);
    simulate(&mut simulation, 1.0, &[demand(&[("m5", 0.3, 0)])]);
    assert_eq!(simulation.replica_count("m5"), 1);
}

/// A model without replicas is not loaded where most requests for it would be rejected.
#[test]
fn no_model_is_loaded_at_a_limited_engine_while_there_are_others() {
    let mut simulation = simulation_of(&[&[], &["m0", "m1"]]);
    simulate(&mut simulation, 1.0, &[demand(&[("m5", 0.3, 1)])]);
    assert!(!simulation.engines[0].holds(&"m5".into()));
    assert!(simulation.engines[1].holds(&"m5".into()));
}

#[test]
fn an_adapter_is_loaded_at_an_unlimited_engine_that_holds_the_model() {
    let mut simulation = simulation_of(&[&["m4"], &["m4"]]);
    let first = demand_row(&[(4, 0.1, 1, 1)]);
    simulate(&mut simulation, 1.0, &[first]);
    assert!(
        simulation.engines[1]
            .adapters()
            .contains(&"m4/a1".to_owned())
    );
}
