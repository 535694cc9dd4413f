//! The window of loads from the weight store, against stores that make some at full speed.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{LoadConcurrency, LoadConcurrencyEstimate};
use gorsebank_world::BackEndId;

const ALONE: Duration = Duration::from_millis(4_000);
/// The end of a load is seen so late.
const SEEN_LATE: u64 = 300;

fn engine(number: usize) -> BackEndId {
    BackEndId::from(format!("e{number}"))
}

/// A weight store: a load takes longer by what was under way when it began.
struct Store {
    full_speed: usize,
    window: LoadConcurrency,
    under_way: Vec<(u64, BackEndId)>,
    begun: usize,
    most: usize,
}

impl Store {
    fn new(full_speed: usize) -> Self {
        Store {
            full_speed,
            window: LoadConcurrency::new(LoadConcurrencyEstimate::default()),
            under_way: Vec::new(),
            begun: 0,
            most: 0,
        }
    }

    /// Begins loads whenever the window allows it.
    fn run(&mut self, from: u64, until: u64) {
        self.most = 0;
        for now in (from..until).step_by(100) {
            let due = |(at, _): &(u64, BackEndId)| *at <= now;
            let ended: Vec<_> = self.under_way.extract_if(.., |load| due(load)).collect();
            for (_, engine) in ended {
                self.window.record_idle(Timestamp(now), &engine, 1);
            }
            while self.window.allows(Timestamp(now), 0) {
                self.begin(now);
            }
            self.most = self.most.max(self.under_way.len());
        }
    }

    fn begin(&mut self, now: u64) {
        let id = engine(self.begun);
        self.begun += 1;
        self.window.record_order(Timestamp(now), &id, 0, ALONE);
        let crowd = self.under_way.len() + 1;
        let stretch = (crowd as f64 / self.full_speed as f64).max(1.0);
        let time = (ALONE.as_millis() as f64 * stretch) as u64;
        self.under_way.push((now + time + SEEN_LATE, id));
    }
}

#[test]
fn the_window_finds_what_the_store_makes_at_full_speed() {
    for full_speed in [2, 6, 25, 140] {
        let mut store = Store::new(full_speed);
        store.run(0, 60_000);
        store.run(60_000, 120_000);
        let most = store.most as f64;
        let part = most / full_speed as f64;
        assert!((0.8..=1.5).contains(&part), "{most} of {full_speed}");
    }
}

#[test]
fn a_store_for_many_is_found_within_three_loads() {
    let mut store = Store::new(140);
    store.run(0, 3 * 4_500);
    assert!(store.most >= 120, "{}", store.most);
}

/// Begins loads at engines from `first` on, and ends each after `time`.
fn round(window: &mut LoadConcurrency, now: u64, engines: std::ops::Range<usize>, time: u64) {
    for number in engines.clone() {
        window.record_order(Timestamp(now), &engine(number), 0, ALONE);
    }
    for number in engines {
        window.record_idle(Timestamp(now + time + SEEN_LATE), &engine(number), 1);
    }
}

#[test]
fn a_slow_engine_does_not_narrow_the_window() {
    let mut window = LoadConcurrency::new(LoadConcurrencyEstimate::default());
    round(&mut window, 0, 0..8, 4_000);
    let before = window.estimate();
    round(&mut window, 10_000, 10..16, 7_000);
    assert_eq!(
        window.estimate(),
        before,
        "eight at once were seen to be well"
    );
    round(&mut window, 40_000, 20..26, 7_000);
    assert!(
        window.estimate().max_loads < before.max_loads,
        "it was long ago"
    );
}

#[test]
fn a_load_counts_until_its_engine_is_seen_without_an_order() {
    let limit = LoadConcurrencyEstimate {
        max_loads: 1.0,
        has_been_saturated: true,
    };
    let mut window = LoadConcurrency::new(limit);
    window.record_order(Timestamp(0), &engine(0), 4, ALONE);
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
        "one is about to be ordered"
    );
}

#[test]
fn an_order_without_an_answer_counts_and_tells_nothing_of_the_store() {
    let mut window = LoadConcurrency::new(LoadConcurrencyEstimate::default());
    let before = window.estimate();
    for number in 0..8 {
        window.record_order(Timestamp(0), &engine(number), 0, ALONE);
        window.record_no_response(&engine(number));
    }
    window.cancel_order(&engine(0));
    assert!(!window.allows(Timestamp(12_000), 0), "it may have begun");
    assert!(window.allows(Timestamp(20_000), 7), "it never did");
    for number in 0..8 {
        window.record_idle(Timestamp(30_000), &engine(number), 1);
    }
    assert!(window.allows(Timestamp(5_000), 0));
    assert_eq!(window.estimate(), before);
}

#[test]
fn engines_that_are_gone_or_silent_give_their_place_back() {
    let mut window = LoadConcurrency::new(LoadConcurrencyEstimate::default());
    for number in 0..8 {
        window.record_order(Timestamp(0), &engine(number), 0, ALONE);
    }
    assert!(!window.allows(Timestamp(5_000), 0));
    window.remove(&engine(3));
    assert!(window.allows(Timestamp(5_000), 0));
    window.retain(|id| *id == engine(1));
    assert!(window.allows(Timestamp(5_000), 6));
}

#[test]
fn the_next_holder_counts_what_a_former_one_ordered() {
    let limit = LoadConcurrencyEstimate {
        max_loads: 2.0,
        has_been_saturated: true,
    };
    let mut window = LoadConcurrency::new(limit);
    window.restore(Timestamp(0), &engine(0));
    window.restore(Timestamp(0), &engine(1));
    assert!(!window.allows(Timestamp(5_000), 0));
    window.record_idle(Timestamp(100), &engine(0), 7);
    assert!(window.allows(Timestamp(5_000), 0));
}

#[test]
fn a_row_that_makes_no_sense_allows_one_load() {
    for at_once in [0.0, -3.0, f64::NAN] {
        let mut window = LoadConcurrency::new(LoadConcurrencyEstimate {
            max_loads: at_once,
            has_been_saturated: true,
        });
        assert!(window.allows(Timestamp(0), 0), "{at_once}");
        round(&mut window, 0, 0..1, 30_000);
        assert!(window.allows(Timestamp(40_000), 0), "{at_once}");
    }
}
