//! Tests how often the roots read the changes of each table.

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
    stream_origins: "stream-origins",
};

/// Two or three gateways read the tables for the whole fleet. A read that finds no changes is a
/// wasted request to the table, and a late read leaves the content stale at all gateways.
#[test]
fn busy_tables_are_read_at_intervals_and_the_configuration_without_pause() {
    for bound in [2_000, 4_000].map(Duration::from_millis) {
        for policy in table_sync_policies(&TABLES) {
            let interval = policy.min_read_interval(bound);
            if policy.table == TABLES.configuration {
                assert_eq!(interval, Duration::ZERO);
                continue;
            }
            assert!(interval >= bound / 15, "{}: {interval:?}", policy.table);
            // Even after the maximum wait for a change, the response is still fresh for child
            // gateways.
            if policy.is_urgent {
                let max_age_at_root = interval + policy.max_wait;
                let max_age = policy.max_age(bound, true);
                assert!(
                    max_age_at_root < max_age,
                    "{}: {max_age_at_root:?} of {max_age:?}",
                    policy.table
                );
            }
        }
    }
}
