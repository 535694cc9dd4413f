//! Tests that the sweep removes the rows of owners that no longer exist, and no others.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::Sweep;

const LIFETIME_MS: u64 = 20_000;

fn row(key: &str, version: u64) -> (String, u64) {
    (key.to_owned(), version)
}

#[test]
fn a_row_that_is_not_written_is_removed_after_its_lifetime() {
    let mut sweep = Sweep::new(LIFETIME_MS);
    let rows = [row("a", 3)];
    assert!(sweep.observe(Timestamp(0), &rows).is_empty());
    assert!(sweep.observe(Timestamp(LIFETIME_MS - 1), &rows).is_empty());
    assert_eq!(sweep.observe(Timestamp(LIFETIME_MS), &rows), rows);
}

#[test]
fn a_row_that_is_written_or_has_an_owner_meanwhile_starts_a_new_lifetime() {
    let mut sweep = Sweep::new(LIFETIME_MS);
    sweep.observe(Timestamp(0), &[row("a", 3), row("b", 4)]);
    sweep.observe(Timestamp(15_000), &[row("a", 9)]);
    let later = [row("a", 9), row("b", 4)];
    assert!(sweep.observe(Timestamp(20_000), &later).is_empty());
    assert_eq!(
        sweep.observe(Timestamp(35_000), &later),
        [row("a", 9)],
        "row b had an owner until 20 s"
    );
}

#[test]
fn a_process_that_has_just_started_removes_nothing() {
    let mut sweep = Sweep::new(LIFETIME_MS);
    let rows = [row("old", 1), row("older", 2)];
    assert!(sweep.observe(Timestamp(1_000_000), &rows).is_empty());
}
