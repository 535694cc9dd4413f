//! Tests placement where a load from the weight store takes longer than callers wait, and the store
//! performs only one load at full speed.

mod support;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::DemandRow;
use gorsebank_fleet::placement::{LoadConcurrencyEstimate, Planner, StoreRecord, StoreRecords};
use support::{SimulatedEngine, Simulation, demand, running};

/// Milliseconds that a load from the weight store takes without other loads.
const STORE_LOAD_MS: u64 = 13_200;
/// Milliseconds that the callers wait at most.
const TIMEOUT_MS: u64 = 25_000;
/// Milliseconds within which the first load of a model that is in demand must be complete.
const FIRST_LOAD_BOUND_MS: u64 = 30_000;
/// Loads of that duration that may begin before the first of them is complete.
const FIRST_WINDOW: usize = 1;

/// Returns engines that hold `m0` only, and a weight store that performs one load at full speed.
fn engines_with_a_slow_store(count: usize) -> Simulation {
    let mut simulation = Simulation::new(count, &["m0"]);
    simulation.set_load_time_and_timeout(STORE_LOAD_MS, TIMEOUT_MS);
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
    let mut is_any_loaded = false;
    for now in (0..FIRST_LOAD_BOUND_MS).step_by(50) {
        if !is_any_loaded {
            let begun = simulation.load_starts.len();
            assert!(begun <= FIRST_WINDOW, "{:?}", simulation.load_starts);
        }
        simulation.run_iteration(now, &rows);
        is_any_loaded |= (1..10).any(|number| simulation.replica_count(&format!("m{number}")) > 0);
    }
    assert!(is_any_loaded, "{:?}", simulation.load_starts);
}

/// A model whose only engine is full, while requests queue there, has a copy in the memory of an
/// engine whose models are worth more than its request rate. Gateways count streams that wait as
/// running too.
#[test]
fn requests_that_queue_at_a_full_engine_call_for_another_replica() {
    let mut simulation = Simulation::new(3, &["m0", "m1", "m2"]);
    simulation.engines[0] = support::SimulatedEngine::new(0, &["m5"]);
    simulation.set_load_time_and_timeout(STORE_LOAD_MS, TIMEOUT_MS);
    for engine in &mut simulation.engines[1..] {
        engine.models_in_memory = vec!["m5".into()];
    }
    let others = [("m0", 1.0, 0), ("m1", 1.0, 0), ("m2", 1.0, 0)];
    let rows = vec![
        demand(&others),
        running(&[("m5", 0.4, 84)]),
        demand(&[("m5", 0.0, 20)]),
    ];
    for now in (0..3_000).step_by(50) {
        simulation.run_iteration(now, &rows);
    }
    assert!(simulation.replica_count("m5") >= 2);
    assert!(simulation.replica_count("m0") >= 1);
}

/// Requests that are reported as waiting for a model that is loaded meanwhile do not queue for a
/// slot.
#[test]
fn requests_that_waited_for_a_load_call_for_no_second_replica() {
    let mut simulation = Simulation::new(3, &["m0"]);
    simulation.engines[0] = support::SimulatedEngine::new(0, &["m5"]);
    simulation.set_load_time_and_timeout(STORE_LOAD_MS, TIMEOUT_MS);
    let rows = vec![demand(&[("m5", 0.4, 20)])];
    for now in (0..3_000).step_by(50) {
        simulation.run_iteration(now, &rows);
    }
    assert_eq!(simulation.replica_count("m5"), 1);
    assert_eq!(simulation.load_starts, Vec::<u64>::new());
}

/// Load time and timeout, in milliseconds, of a service whose callers outlast a load.
const SHORT_LOADS: (u64, u64) = (6_900, 30_000);
/// Load time and timeout, in milliseconds, of a service whose callers do not.
const LONG_LOADS: (u64, u64) = (STORE_LOAD_MS, TIMEOUT_MS);

#[test]
fn the_first_window_of_loads_is_narrow_only_where_loads_outlast_callers() {
    for ((load_ms, timeout_ms), window) in [(SHORT_LOADS, 8.0), (LONG_LOADS, 1.0)] {
        let mut simulation = Simulation::new(1, &["m0"]);
        simulation.set_load_time_and_timeout(load_ms, timeout_ms);
        simulation.run_iteration(0, &[]);
        let records = simulation.planner.store_records(Timestamp(0));
        let estimate = records[&support::service()].concurrency;
        assert_eq!(estimate.max_loads, window, "loads of {load_ms} ms");
    }
}

#[test]
fn a_new_holder_takes_over_only_what_loads_have_confirmed_of_a_window() {
    let cases = [
        (LONG_LOADS, 8.0, false, None, 1.0),
        (LONG_LOADS, 8.0, true, None, 8.0),
        (LONG_LOADS, 32.0, false, None, 32.0),
        (LONG_LOADS, 1.5, true, None, 1.5),
        (LONG_LOADS, 3.0, false, Some(0), 1.0),
        (LONG_LOADS, 3.3, true, Some(2), 2.0),
        (LONG_LOADS, 32.0, false, Some(8), 8.0),
        (SHORT_LOADS, 8.0, false, None, 8.0),
        (SHORT_LOADS, 32.0, false, Some(8), 32.0),
    ];
    for ((load_ms, timeout_ms), max_loads, has_been_saturated, confirmed_loads, expected) in cases {
        let record = StoreRecord {
            concurrency: LoadConcurrencyEstimate {
                max_loads,
                has_been_saturated,
                confirmed_loads,
            },
            ..StoreRecord::default()
        };
        let records = StoreRecords::from([(support::service(), record)]);
        let mut simulation = Simulation::new(1, &["m0"]);
        simulation.planner = Planner::new(Timestamp(0), support::load_rate_limit(), records);
        simulation.set_load_time_and_timeout(load_ms, timeout_ms);
        simulation.run_iteration(0, &[]);
        let records = simulation.planner.store_records(Timestamp(0));
        let estimate = records[&support::service()].concurrency;
        assert_eq!(
            estimate.max_loads, expected,
            "{max_loads}, loads of {load_ms} ms"
        );
    }
}

/// Returns the value of a second replica of a model in the first plan for it; 64 slots serve the
/// model. Requests beyond them are also reported as waiting.
fn second_replica_value((load_ms, timeout_ms): (u64, u64), running_count: u32) -> Option<f64> {
    let mut simulation = Simulation::new(3, &["m0"]);
    simulation.engines[0] = support::SimulatedEngine::new(0, &["m5"]);
    simulation.set_load_time_and_timeout(load_ms, timeout_ms);
    let waiting_count = running_count.saturating_sub(64);
    let rows = vec![
        running(&[("m5", 0.4, running_count)]),
        demand(&[("m5", 0.0, waiting_count)]),
    ];
    for now in (0..3_000).step_by(50) {
        simulation.run_iteration(now, &rows);
        let chosen = simulation.planner.chosen_loads().first();
        if let Some(chosen) = chosen {
            return Some(chosen.value);
        }
    }
    None
}

#[test]
fn queued_requests_raise_the_value_of_a_replica_only_where_loads_outlast_callers() {
    let cases = [
        (10, None, None),
        (14, Some(0.1), Some(0.1)),
        (48, Some(0.1625), Some(0.1625)),
        (64, Some(0.2), Some(0.2)),
        (84, Some(0.2), Some(6.2)),
        (200, Some(0.2), Some(19.4)),
    ];
    let rounded = |value: Option<f64>| value.map(|value| (value * 1e6).round() / 1e6);
    for (running_count, short, long) in cases {
        let values =
            [SHORT_LOADS, LONG_LOADS].map(|times| second_replica_value(times, running_count));
        assert_eq!(
            values.map(rounded),
            [short, long],
            "{running_count} of 64 run"
        );
    }
}

/// Load time and timeout, in milliseconds, of a service for which two first loads begin at once.
const TWO_FIRST_LOADS: (u64, u64) = (10_200, 20_000);
/// Milliseconds after which first loads begin whatever is known.
const FIRST_LOADS_WAIT_MS: u64 = 1_500;

/// Runs the simulation for some milliseconds, and returns the time and the model of each load from the
/// weight store that was chosen.
fn chosen_loads(simulation: &mut Simulation, rows: &[DemandRow], until: u64) -> Vec<(u64, String)> {
    let mut chosen = Vec::new();
    for now in (0..until).step_by(50) {
        simulation.run_iteration(now, rows);
        let loads = simulation.planner.chosen_loads().iter();
        let loads = loads.filter(|load| load.is_from_store);
        chosen.extend(loads.map(|load| (now, load.model.to_string())));
    }
    chosen
}

/// Guards against first loads of models that few ask for, since others count as loaded.
#[test]
fn first_loads_are_of_models_in_most_demand_beside_rows_of_engines_that_are_gone() {
    let mut simulation = Simulation::new(4, &[]);
    simulation.engines[0] = SimulatedEngine::new(0, &["m0", "m1"]);
    simulation.unresponsive = Some(simulation.engines[0].id.clone());
    simulation.set_load_time_and_timeout(TWO_FIRST_LOADS.0, TWO_FIRST_LOADS.1);
    let rows = vec![demand(&[
        ("m0", 9.0, 0),
        ("m1", 5.0, 0),
        ("m2", 0.2, 1),
        ("m5", 0.2, 1),
    ])];
    let chosen = chosen_loads(&mut simulation, &rows, 2 * FIRST_LOADS_WAIT_MS);
    let models: Vec<&str> = chosen.iter().map(|(_, model)| model.as_str()).collect();
    assert_eq!(models, ["m0", "m1"], "{chosen:?}");
    assert!(
        chosen.iter().all(|(at, _)| *at < FIRST_LOADS_WAIT_MS),
        "{chosen:?}"
    );
}

/// Guards against first loads by the few requests since a loss of all gateways.
#[test]
fn first_loads_are_of_models_that_were_in_most_demand_before_the_holder_started() {
    let mut simulation = Simulation::new(3, &[]);
    simulation.set_load_time_and_timeout(TWO_FIRST_LOADS.0, TWO_FIRST_LOADS.1);
    let before = [
        ("m0", 9.0, 0),
        ("m1", 5.0, 0),
        ("m2", 0.2, 0),
        ("m3", 4.0, 0),
    ];
    simulation.run_iteration(0, &[demand(&before)]);
    simulation.change_holder(0, 0);
    simulation.restart_all();
    // No request for m3 has returned, and m2 happens to have most.
    let rows = [demand(&[("m0", 0.1, 1), ("m1", 0.1, 1), ("m2", 0.4, 2)])];
    let chosen = chosen_loads(&mut simulation, &rows, 2 * FIRST_LOADS_WAIT_MS);
    let models: Vec<&str> = chosen.iter().map(|(_, model)| model.as_str()).collect();
    assert_eq!(models, ["m0", "m1"], "{chosen:?}");
    let records = simulation
        .planner
        .store_records(Timestamp(FIRST_LOADS_WAIT_MS));
    let kept = records[&support::service()].demand[&"m3".into()];
    assert!(
        (2.5..4.0).contains(&kept),
        "{kept} of m3 for the next holder"
    );
}

/// Guards against places of the weight store that loads of engines which are gone occupy.
#[test]
fn loads_of_engines_that_discovery_shows_late_are_verified() {
    let mut simulation = Simulation::new(4, &[]);
    simulation.set_load_time_and_timeout(STORE_LOAD_MS, TIMEOUT_MS);
    let before = [demand(&[("m0", 20.0, 1)])];
    let loading = chosen_loads(&mut simulation, &before, 1_000);
    assert_eq!(loading.len(), 1, "{loading:?}");
    let is_loading = |engine: &&SimulatedEngine| engine.is_loading("m0");
    let gone = simulation
        .engines
        .iter()
        .find(is_loading)
        .expect("a load")
        .id
        .clone();
    simulation.unresponsive = Some(gone);
    simulation.hide_until(1_000);
    simulation.change_holder(1_000, 0);
    let rows = [demand(&[("m1", 20.0, 1)])];
    let mut chosen = Vec::new();
    for now in (1_050..3_000).step_by(50) {
        simulation.run_iteration(now, &rows);
        let loads = simulation.planner.chosen_loads().iter();
        chosen.extend(loads.map(|load| load.model.to_string()));
    }
    assert_eq!(chosen, ["m1"], "{:?}", simulation.obstacles.last());
}

#[test]
fn first_loads_wait_for_requests_only_where_an_engine_lacks_all_models_and_loads_are_long() {
    let empty = || SimulatedEngine::new(1, &[]);
    let mut with_copy = empty();
    with_copy.models_in_memory.push("m7".into());
    let cases = [
        (empty(), TWO_FIRST_LOADS, 0.2, FIRST_LOADS_WAIT_MS),
        (empty(), TWO_FIRST_LOADS, 20.0, 0),
        (empty(), SHORT_LOADS, 0.2, 0),
        (with_copy, TWO_FIRST_LOADS, 0.2, 0),
        (SimulatedEngine::new(1, &["m7"]), TWO_FIRST_LOADS, 0.2, 0),
    ];
    for (index, (engine, (load_ms, timeout_ms), rate, expected)) in cases.into_iter().enumerate() {
        let mut simulation = Simulation::new(2, &["m8"]);
        simulation.engines[1] = engine;
        simulation.set_load_time_and_timeout(load_ms, timeout_ms);
        let rows = vec![demand(&[("m0", rate, 1)])];
        let chosen = chosen_loads(&mut simulation, &rows, 2 * FIRST_LOADS_WAIT_MS);
        assert_eq!(
            chosen.first(),
            Some(&(expected, "m0".to_owned())),
            "case {index}"
        );
    }
}

/// Guards against second replicas from a busy weight store while models in demand have none.
#[test]
fn a_replica_does_not_precede_models_without_one_for_a_copy_at_the_engine_that_holds_it() {
    let mut simulation = Simulation::new(3, &[]);
    simulation.set_load_time_and_timeout(STORE_LOAD_MS, TIMEOUT_MS);
    simulation.engines[0] = SimulatedEngine::new(0, &["m0"]);
    simulation.engines[0].models_in_memory = vec!["m0".into()];
    let rows = vec![demand(&[("m0", 4.0, 0), ("m1", 3.0, 1), ("m2", 3.0, 1)])];
    let chosen = chosen_loads(&mut simulation, &rows, 2 * STORE_LOAD_MS - 1_000);
    let mut models: Vec<&str> = chosen.iter().map(|(_, model)| model.as_str()).collect();
    models.sort();
    assert_eq!(models, ["m1", "m2"]);
}
