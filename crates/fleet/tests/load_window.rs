//! Tests the concurrency limit of loads against simulated weight stores that serve a given number
//! of loads at full speed.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{LoadConcurrency, LoadConcurrencyEstimate};
use gorsebank_world::BackEndId;

const SINGLE_LOAD_TIME: Duration = Duration::from_millis(4_000);
/// Delay until the end of a load is observed.
const DETECTION_DELAY_MS: u64 = 300;

fn engine(number: usize) -> BackEndId {
    BackEndId::from(format!("e{number}"))
}

/// A simulated weight store. A load takes longer if more loads than `full_speed` were under way
/// when it began.
struct Store {
    full_speed: usize,
    window: LoadConcurrency,
    /// Loads under way, as (time at which the end is observed, engine).
    under_way: Vec<(u64, BackEndId)>,
    started_count: usize,
    max_under_way: usize,
}

impl Store {
    fn new(full_speed: usize) -> Self {
        Store {
            full_speed,
            window: LoadConcurrency::new(LoadConcurrencyEstimate::default(), false),
            under_way: Vec::new(),
            started_count: 0,
            max_under_way: 0,
        }
    }

    /// Begins loads whenever the window permits, from `from` until `until` (milliseconds).
    fn run(&mut self, from: u64, until: u64) {
        self.max_under_way = 0;
        for now in (from..until).step_by(100) {
            let due = |(at, _): &(u64, BackEndId)| *at <= now;
            let ended: Vec<_> = self.under_way.extract_if(.., |load| due(load)).collect();
            for (_, engine) in ended {
                self.window.record_idle(Timestamp(now), &engine, 1);
            }
            while self.window.allows(Timestamp(now), 0) {
                self.begin(now);
            }
            self.max_under_way = self.max_under_way.max(self.under_way.len());
        }
    }

    fn begin(&mut self, now: u64) {
        let id = engine(self.started_count);
        self.started_count += 1;
        self.window
            .record_order(Timestamp(now), &id, 0, SINGLE_LOAD_TIME);
        let concurrency = self.under_way.len() + 1;
        let slowdown = (concurrency as f64 / self.full_speed as f64).max(1.0);
        let time = (SINGLE_LOAD_TIME.as_millis() as f64 * slowdown) as u64;
        self.under_way.push((now + time + DETECTION_DELAY_MS, id));
    }
}

#[test]
fn the_estimate_approaches_the_full_speed_concurrency_of_the_store() {
    for full_speed in [2, 6, 25, 140] {
        let mut store = Store::new(full_speed);
        store.run(0, 60_000);
        store.run(60_000, 120_000);
        let max_under_way = store.max_under_way as f64;
        let ratio = max_under_way / full_speed as f64;
        assert!(
            (0.8..=1.5).contains(&ratio),
            "{max_under_way} of {full_speed}"
        );
    }
}

#[test]
fn a_high_concurrency_is_estimated_within_three_load_times() {
    let mut store = Store::new(140);
    store.run(0, 3 * 4_500);
    assert!(store.max_under_way >= 120, "{}", store.max_under_way);
}

/// Records loads at these engines that begin at `now` and take `time` milliseconds each.
fn record_loads(
    window: &mut LoadConcurrency,
    now: u64,
    engines: std::ops::Range<usize>,
    time: u64,
) {
    for number in engines.clone() {
        window.record_order(Timestamp(now), &engine(number), 0, SINGLE_LOAD_TIME);
    }
    for number in engines {
        window.record_idle(
            Timestamp(now + time + DETECTION_DELAY_MS),
            &engine(number),
            1,
        );
    }
}

#[test]
fn a_slow_engine_does_not_lower_the_estimate() {
    let mut window = LoadConcurrency::new(LoadConcurrencyEstimate::default(), false);
    record_loads(&mut window, 0, 0..8, 4_000);
    let before = window.estimate();
    record_loads(&mut window, 10_000, 10..16, 7_000);
    assert_eq!(
        window.estimate(),
        before,
        "eight concurrent loads ran at full speed shortly before"
    );
    record_loads(&mut window, 40_000, 20..26, 7_000);
    assert!(
        window.estimate().max_loads < before.max_loads,
        "the observation of eight loads is too old"
    );
}

#[test]
fn a_load_counts_until_its_engine_reports_no_order() {
    let limit = LoadConcurrencyEstimate {
        max_loads: 1.0,
        has_been_saturated: true,
        confirmed_loads: None,
    };
    let mut window = LoadConcurrency::new(limit, false);
    window.record_order(Timestamp(0), &engine(0), 4, SINGLE_LOAD_TIME);
    assert!(!window.allows(Timestamp(5_000), 0));
    window.record_idle(Timestamp(100), &engine(0), 4);
    assert!(
        !window.allows(Timestamp(5_000), 0),
        "the report is older than the order"
    );
    window.record_idle(Timestamp(4_000), &engine(0), 5);
    assert!(window.allows(Timestamp(5_000), 0));
    assert!(
        !window.allows(Timestamp(5_000), 1),
        "one order is about to be sent"
    );
}

#[test]
fn an_order_without_a_response_counts_and_leaves_the_estimate_unchanged() {
    let mut window = LoadConcurrency::new(LoadConcurrencyEstimate::default(), false);
    let before = window.estimate();
    for number in 0..8 {
        window.record_order(Timestamp(0), &engine(number), 0, SINGLE_LOAD_TIME);
        window.record_no_response(&engine(number));
    }
    window.cancel_order(&engine(0));
    assert!(
        !window.allows(Timestamp(12_000), 0),
        "the load may have begun"
    );
    assert!(
        window.allows(Timestamp(20_000), 7),
        "the load can no longer begin"
    );
    for number in 0..8 {
        window.record_idle(Timestamp(30_000), &engine(number), 1);
    }
    assert!(window.allows(Timestamp(5_000), 0));
    assert_eq!(window.estimate(), before);
}

#[test]
fn loads_of_removed_or_silent_engines_stop_counting() {
    let mut window = LoadConcurrency::new(LoadConcurrencyEstimate::default(), false);
    for number in 0..8 {
        window.record_order(Timestamp(0), &engine(number), 0, SINGLE_LOAD_TIME);
    }
    assert!(!window.allows(Timestamp(5_000), 0));
    window.remove(&engine(3));
    assert!(window.allows(Timestamp(5_000), 0));
    window.retain(|id| *id == engine(1));
    assert!(window.allows(Timestamp(5_000), 6));
}

#[test]
fn the_next_holder_counts_loads_that_the_previous_holder_ordered() {
    let limit = LoadConcurrencyEstimate {
        max_loads: 2.0,
        has_been_saturated: true,
        confirmed_loads: None,
    };
    let mut window = LoadConcurrency::new(limit, false);
    window.restore(Timestamp(0), &engine(0));
    window.restore(Timestamp(0), &engine(1));
    assert!(!window.allows(Timestamp(5_000), 0));
    window.record_idle(Timestamp(100), &engine(0), 7);
    assert!(window.allows(Timestamp(5_000), 0));
}

#[test]
fn an_invalid_stored_estimate_permits_one_load() {
    for max_loads in [0.0, -3.0, f64::NAN] {
        let estimate = LoadConcurrencyEstimate {
            max_loads,
            has_been_saturated: true,
            confirmed_loads: None,
        };
        let mut window = LoadConcurrency::new(estimate, false);
        assert!(window.allows(Timestamp(0), 0), "{max_loads}");
        record_loads(&mut window, 0, 0..1, 30_000);
        assert!(window.allows(Timestamp(40_000), 0), "{max_loads}");
    }
}
