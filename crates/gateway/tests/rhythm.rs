//! How often tables are asked for changes.

use std::time::Duration;

use gorsebank_gateway::feed::table_sync_policies;
use gorsebank_gateway::ports::TableNames;

const TABLES: TableNames = TableNames {
    configuration: "configuration",
    back_ends: "back-ends",
    members: "members",
    placed: "placed",
    lease: "lease",
    saved_state: "loads",
    prefill_speeds: "reading",
};

/// Two or three gateways ask for all: what they ask in vain is paid for, and what they do
/// not ask for in time is old for all.
#[test]
fn busy_tables_rest_for_a_part_of_the_bound_and_the_configuration_does_not() {
    for bound in [2_000, 4_000].map(Duration::from_millis) {
        for rhythm in table_sync_policies(&TABLES) {
            let pause = rhythm.min_read_interval(bound);
            if rhythm.table == TABLES.configuration {
                assert_eq!(pause, Duration::ZERO);
                continue;
            }
            assert!(pause >= bound / 15, "{}: {pause:?}", rhythm.table);
            // With a whole wait for a change an answer is still fresh for those that are fed.
            if rhythm.is_urgent {
                let oldest = pause + rhythm.max_wait;
                let fresh = rhythm.max_age(bound, true);
                assert!(oldest < fresh, "{}: {oldest:?} of {fresh:?}", rhythm.table);
            }
        }
    }
}
