//! Limits that back ends state.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{StatedLimits, Statement};

const ENGINE: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds)
}

#[test]
fn a_limit_stands_until_an_answer_to_a_later_request_has_none() {
    let mut limits = StatedLimits::default();
    assert!(!limits.note(at(90), at(80), ENGINE, Statement::Unlimited));
    assert!(limits.note(at(100), at(50), ENGINE, Statement::PerSecond(2.0)));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    // An answer that was under way when the limit was stated.
    assert!(!limits.note(at(130), at(95), ENGINE, Statement::Unlimited));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    assert!(limits.note(at(150), at(140), ENGINE, Statement::PerSecond(0.5)));
    assert!(limits.note(at(200), at(160), ENGINE, Statement::Unlimited));
    assert_eq!(limits.rate(ENGINE), None);
    assert_eq!(limits.count(), 0);
}

#[test]
fn what_cannot_be_read_changes_nothing() {
    let mut limits = StatedLimits::default();
    limits.note(at(100), at(50), ENGINE, Statement::PerSecond(2.0));
    assert!(!limits.note(at(200), at(150), ENGINE, Statement::Unreadable));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
}
