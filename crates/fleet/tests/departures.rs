//! Tests the records of back ends that have announced that they are draining.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{DrainNotice, DrainNotices};

const NOW: Timestamp = Timestamp(1_000_000);
/// A time longer than the retention of drains.
const EXPIRY_MS: u64 = 700_000;

fn notice(back_end: u64, age: u64) -> DrainNotice {
    DrainNotice { back_end, age }
}

#[test]
fn a_drain_is_new_once_whether_observed_or_received() {
    let mut drains = DrainNotices::default();
    assert!(drains.record(NOW, 1));
    assert!(!drains.record(NOW, 1));
    assert_eq!(drains.merge(NOW, &[notice(1, 5), notice(2, 5)]), [2]);
    assert!(!drains.record(NOW, 2));
    assert!(drains.contains(1) && drains.contains(2));
    assert!(!drains.contains(3));
}

/// The records must stay bounded, whether a drain was observed or received in a notice.
#[test]
fn old_drains_are_forgotten() {
    let later = NOW + EXPIRY_MS;
    let mut drains = DrainNotices::default();
    drains.record(NOW, 1);
    drains.record(later, 2);
    assert!(!drains.contains(1));
    let mut drains = DrainNotices::default();
    drains.merge(NOW, &[notice(1, 0)]);
    drains.merge(later, &[notice(2, 0), notice(3, EXPIRY_MS)]);
    assert!(!drains.contains(1));
    assert!(drains.contains(2));
    assert!(!drains.contains(3), "too old when it was received");
}

/// The notices that a gateway sends are bounded, newest first, however many back ends drain at
/// once.
#[test]
fn a_bounded_number_of_notices_is_sent_newest_first() {
    let mut drains = DrainNotices::default();
    for back_end in 0..1_000 {
        drains.record(NOW + back_end, back_end);
    }
    let notices = drains.notices(NOW + 1_000);
    assert_eq!(notices.len(), 200);
    assert!(notices.is_sorted_by_key(|notice| notice.age));
    assert_eq!(notices[0].back_end, 999);
}
