//! A start of a whole fleet: what each gateway knows of the others when it begins.

use gorsebank_fleet::MembershipConvergence;

/// Rows that the table takes a second.
const ROWS_PER_SECOND: f64 = 200.0;
/// Time from a gateway's own row to its first look, and between two looks, in seconds.
const FIRST_LOOK: f64 = 0.7;
const LOOK: f64 = 1.5;

/// Looks of a gateway whose row was written at `written`, and how many others it knows then.
fn join(fleet: usize, written: f64) -> (usize, usize) {
    let mut joining = MembershipConvergence::default();
    let mut at = written + FIRST_LOOK;
    for looks in 1.. {
        let known = fleet.min((at * ROWS_PER_SECOND) as usize);
        if joining.observe(known) {
            return (looks, known);
        }
        at += LOOK;
    }
    unreachable!("the list ends")
}

#[test]
fn each_gateway_knows_most_of_the_fleet_when_it_begins() {
    for fleet in [6, 40, 69, 295, 985, 2_000] {
        let last_row = fleet as f64 / ROWS_PER_SECOND;
        for part in [0.0, 0.2, 0.5, 1.0] {
            let (looks, known) = join(fleet, last_row * part);
            assert!(known * 10 >= fleet * 9, "{known} of {fleet}");
            // Two after the last row was written, and one for each 300 rows before.
            let most = 3 + fleet / 300;
            assert!(looks <= most, "{looks} looks at a fleet of {fleet}");
        }
    }
}

#[test]
fn a_small_fleet_begins_at_once() {
    let mut joining = MembershipConvergence::default();
    assert!(joining.observe(9));
}
