//! Tests that all nodes together keep the retry budget in every span of the window's length.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{RetryShare, RetryWindow};
use proptest::prelude::*;

const SHARE: RetryShare = RetryShare {
    ratio: 0.2,
    allowance: 52.0,
    window: 10_000,
};

#[test]
fn without_requests_a_node_has_its_fraction_of_the_allowance() {
    let mut window = RetryWindow::new(SHARE);
    let granted = (0..100).filter(|_| window.take(Timestamp(5), 8)).count();
    assert_eq!(granted, 3, "52 x 0.5 / 8");
    assert!(!window.take(Timestamp(9_000), 8));
    assert!(window.take(Timestamp(10_006), 8), "the window has passed");
}

proptest! {
    /// Nodes get any mix of requests and retries, and one of them restarts without its state. The
    /// retries of all nodes must keep the bound in every span.
    #[test]
    fn all_nodes_together_keep_the_bound(
        steps in prop::collection::vec((0usize..6, 0u64..120, 0u8..4), 1..900),
        restart_at in 0usize..900,
    ) {
        let nodes = 6;
        let mut windows = vec![RetryWindow::new(SHARE); nodes];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = 0;
        for (index, (node, elapsed, kind)) in steps.into_iter().enumerate() {
            now += elapsed;
            if index == restart_at {
                windows[0] = RetryWindow::new(SHARE);
            }
            if kind == 0 {
                windows[node].record_request(Timestamp(now));
                requests.push(now);
            } else if windows[node].take(Timestamp(now), nodes) {
                retries.push(now);
            }
        }
        for start in &retries {
            let retries_within = retries.iter().filter(|at| **at >= *start && **at < start + SHARE.window);
            // The bound counts the requests of the current window and of the previous one.
            let within = |from: u64| requests.iter().filter(|at| **at + SHARE.window >= from && **at < from + SHARE.window).count();
            let bound = SHARE.ratio * within(*start) as f64 + SHARE.allowance;
            prop_assert!(retries_within.count() as f64 <= bound);
        }
    }
}
