//! Tests placement where a load from the weight store takes longer than callers wait, and the store
//! performs only one load at full speed.

mod support;

use support::{Simulation, demand, running};

/// Milliseconds that a load from the weight store takes without other loads.
const STORE_LOAD_MS: u64 = 13_000;
/// Milliseconds within which the first load of a model that is in demand must be complete.
const FIRST_LOAD_BOUND_MS: u64 = 30_000;

/// Returns engines that hold `m0` only, and a weight store that performs one load at full speed.
fn engines_with_a_slow_store(count: usize) -> Simulation {
    let mut simulation = Simulation::new(count, &["m0"]);
    simulation.set_store_load_time(STORE_LOAD_MS);
    simulation.max_full_speed_loads = 1;
    simulation
}

#[test]
fn a_first_load_is_complete_before_many_others_begin() {
    let mut simulation = engines_with_a_slow_store(10);
    let missing: Vec<(String, f64, u32)> = (1..10)
        .map(|number| (format!("m{number}"), 0.1, 1))
        .collect();
    let missing: Vec<(&str, f64, u32)> = missing
        .iter()
        .map(|(model, rate, waiting)| (model.as_str(), *rate, *waiting))
        .collect();
    let rows = vec![demand(&missing)];
    for now in (0..FIRST_LOAD_BOUND_MS).step_by(50) {
        simulation.run_iteration(now, &rows);
    }
    let loaded = (1..10).filter(|number| simulation.replica_count(&format!("m{number}")) > 0);
    assert!(loaded.count() > 0, "{:?}", simulation.load_starts);
}

/// A model whose only engine is full, while requests queue there and others wait, has a copy in the
/// memory of an engine whose models are worth more than its request rate.
#[test]
fn requests_that_queue_at_a_full_engine_call_for_another_replica() {
    let mut simulation = Simulation::new(3, &["m0", "m1", "m2"]);
    simulation.engines[0] = support::SimulatedEngine::new(0, &["m5"]);
    for engine in &mut simulation.engines[1..] {
        engine.models_in_memory = vec!["m5".into()];
    }
    let others = [("m0", 1.0, 0), ("m1", 1.0, 0), ("m2", 1.0, 0)];
    let rows = vec![
        demand(&others),
        running(&[("m5", 0.4, 64)]),
        demand(&[("m5", 0.0, 20)]),
    ];
    for now in (0..3_000).step_by(50) {
        simulation.run_iteration(now, &rows);
    }
    assert!(simulation.replica_count("m5") >= 2);
    assert!(simulation.replica_count("m0") >= 1);
}

/// The demand of gateways may be older than the load that its requests waited for.
#[test]
fn requests_that_waited_for_a_load_call_for_no_second_replica() {
    let mut simulation = Simulation::new(3, &["m0"]);
    simulation.engines[0] = support::SimulatedEngine::new(0, &["m5"]);
    let rows = vec![demand(&[("m5", 0.4, 20)])];
    for now in (0..3_000).step_by(50) {
        simulation.run_iteration(now, &rows);
    }
    assert_eq!(simulation.replica_count("m5"), 1);
}
