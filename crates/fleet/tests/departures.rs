//! Back ends that have said that they leave.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{DrainNotice, DrainNotices};

const NOW: Timestamp = Timestamp(1_000_000);
/// Longer than a departure is remembered.
const LONG: u64 = 700_000;

fn told(back_end: u64, age: u64) -> DrainNotice {
    DrainNotice { back_end, age }
}

#[test]
fn a_departure_is_news_once_whoever_tells_it() {
    let mut departures = DrainNotices::default();
    assert!(departures.record(NOW, 1));
    assert!(!departures.record(NOW, 1));
    assert_eq!(departures.merge(NOW, &[told(1, 5), told(2, 5)]), [2]);
    assert!(!departures.record(NOW, 2));
    assert!(departures.contains(1) && departures.contains(2));
    assert!(!departures.contains(3));
}

/// Nothing that a gateway remembers grows for ever, however it hears of it.
#[test]
fn departures_of_long_ago_are_forgotten() {
    let later = NOW + LONG;
    let mut departures = DrainNotices::default();
    departures.record(NOW, 1);
    departures.record(later, 2);
    assert!(!departures.contains(1));
    let mut departures = DrainNotices::default();
    departures.merge(NOW, &[told(1, 0)]);
    departures.merge(later, &[told(2, 0), told(3, LONG)]);
    assert!(!departures.contains(1));
    assert!(departures.contains(2));
    assert!(!departures.contains(3), "too old when it was told");
}

/// However many leave at once, what each gateway tells is bounded: the newest first.
#[test]
fn the_newest_departures_are_told_and_no_more_than_a_message_bears() {
    let mut departures = DrainNotices::default();
    for back_end in 0..1_000 {
        departures.record(NOW + back_end, back_end);
    }
    let told = departures.notices(NOW + 1_000);
    assert_eq!(told.len(), 200);
    assert!(told.is_sorted_by_key(|departure| departure.age));
    assert_eq!(told[0].back_end, 999);
}
