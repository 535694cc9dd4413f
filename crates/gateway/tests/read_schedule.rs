//! When a gateway without updates from its parents reads the table.

use std::time::Duration;

use gorsebank_gateway::feed::read_schedule::ReadConditions;
use proptest::prelude::*;

prop_compose! {
    fn conditions()(
        gateways in 1_usize..5_000,
        flags in any::<[bool; 4]>(),
        failed_reads in 0_u32..40,
        content_age_ms in proptest::option::of(0_u64..100_000),
        since_last_read_ms in proptest::option::of(0_u64..100_000),
        pause_ms in 0_u64..100_000,
        turn_ms in 0_u64..500_000,
        bound_ms in 1_000_u64..20_000,
    ) -> ReadConditions {
        let [is_large_fleet, has_children, has_content, has_stale_parent] = flags;
        ReadConditions {
            gateways,
            is_large_fleet,
            has_children,
            has_content,
            has_stale_parent,
            failed_reads,
            content_age: content_age_ms.map(Duration::from_millis),
            since_last_read: since_last_read_ms.map(Duration::from_millis),
            since_pause_began: Duration::from_millis(pause_ms),
            time_until_turn: Duration::from_millis(turn_ms),
            propagation_bound: Duration::from_millis(bound_ms),
        }
    }
}

proptest! {
    #[test]
    fn no_pause_delays_a_read_beyond_the_deadline_of_content_in_use(
        conditions in conditions(),
        spread in 0.0..1.0,
    ) {
        let conditions = ReadConditions { has_content: true, ..conditions };
        let since_last_read = conditions.since_last_read.unwrap_or(Duration::MAX);
        let age = conditions.content_age.unwrap_or(Duration::MAX).min(since_last_read);
        let rest = conditions.propagation_bound.saturating_sub(age);
        prop_assert!(conditions.time_until_read(spread) <= rest.mul_f64(0.6));
    }

    #[test]
    fn starting_gateways_share_the_rate_of_reads(conditions in conditions(), spread in 0.0..1.0) {
        let conditions = ReadConditions {
            has_content: false,
            has_children: false,
            since_pause_began: Duration::ZERO,
            ..conditions
        };
        // One hundred reads a second of all gateways together, with the shortest pauses.
        let shortest = Duration::from_secs_f64(conditions.gateways as f64 / 100.0);
        prop_assert!(conditions.time_until_read(spread) >= shortest);
    }
}
