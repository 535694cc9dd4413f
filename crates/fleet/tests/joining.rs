//! Tests how much of the fleet a gateway knows when it considers the list of members complete,
//! while the whole fleet starts.

use gorsebank_fleet::MembershipConvergence;

/// Rows that the table accepts per second.
const ROWS_PER_SECOND: f64 = 200.0;
/// Time from the write of a gateway's own row to its first read of the table.
const FIRST_READ_SECONDS: f64 = 0.7;
/// Time between two reads of the table.
const READ_INTERVAL_SECONDS: f64 = 1.5;

/// Returns the number of reads that a gateway makes whose row was written at `written_at` (in
/// seconds), and the number of members that it knows after the last read.
fn wait_for_members(fleet: usize, written_at: f64) -> (usize, usize) {
    let mut convergence = MembershipConvergence::default();
    let mut at = written_at + FIRST_READ_SECONDS;
    for reads in 1.. {
        let known = fleet.min((at * ROWS_PER_SECOND) as usize);
        if convergence.observe(known) {
            return (reads, known);
        }
        at += READ_INTERVAL_SECONDS;
    }
    unreachable!("the list of members becomes complete")
}

#[test]
fn each_gateway_knows_most_of_the_fleet_when_its_list_counts_as_complete() {
    for fleet in [6, 40, 69, 295, 985, 2_000] {
        let last_row = fleet as f64 / ROWS_PER_SECOND;
        for fraction in [0.0, 0.2, 0.5, 1.0] {
            let (reads, known) = wait_for_members(fleet, last_row * fraction);
            assert!(known * 10 >= fleet * 9, "{known} of {fleet}");
            // Two reads follow after the last row was written, and one precedes for each 300 rows.
            let max_reads = 3 + fleet / 300;
            assert!(reads <= max_reads, "{reads} reads in a fleet of {fleet}");
        }
    }
}

#[test]
fn a_small_fleet_is_known_after_one_read() {
    let mut convergence = MembershipConvergence::default();
    assert!(convergence.observe(9));
}
