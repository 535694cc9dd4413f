//! Rows of what is gone are removed, and no others.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::Sweep;

const LIFETIME: u64 = 20_000;

fn row(key: &str, version: u64) -> (String, u64) {
    (key.to_owned(), version)
}

#[test]
fn a_row_that_nobody_writes_goes_after_its_lifetime() {
    let mut sweep = Sweep::new(LIFETIME);
    let rows = [row("a", 3)];
    assert!(sweep.observe(Timestamp(0), &rows).is_empty());
    assert!(sweep.observe(Timestamp(LIFETIME - 1), &rows).is_empty());
    assert_eq!(sweep.observe(Timestamp(LIFETIME), &rows), rows);
}

#[test]
fn a_row_that_is_written_or_spoken_for_meanwhile_begins_anew() {
    let mut sweep = Sweep::new(LIFETIME);
    sweep.observe(Timestamp(0), &[row("a", 3), row("b", 4)]);
    sweep.observe(Timestamp(15_000), &[row("a", 9)]);
    let later = [row("a", 9), row("b", 4)];
    assert!(sweep.observe(Timestamp(20_000), &later).is_empty());
    assert_eq!(
        sweep.observe(Timestamp(35_000), &later),
        [row("a", 9)],
        "b was spoken for until 20 s"
    );
}

#[test]
fn a_process_that_has_just_begun_to_look_removes_nothing() {
    let mut sweep = Sweep::new(LIFETIME);
    let rows = [row("old", 1), row("older", 2)];
    assert!(sweep.observe(Timestamp(1_000_000), &rows).is_empty());
}
