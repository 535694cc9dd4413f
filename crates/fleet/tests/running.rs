//! Tests the counts of requests that all gateways together are running at each back end.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::running::{Counts, Running, hash};
use gorsebank_world::BackEndId;

const NOW: Timestamp = Timestamp(10_000);

fn counts(counts: &[(u32, u16)]) -> Counts {
    counts.to_vec()
}

#[test]
fn counts_add_up_towards_the_roots_and_between_roots() {
    let mut intermediate = Running::default();
    intermediate.record_child(NOW, "leaf-1", counts(&[(1, 2), (2, 1)]));
    intermediate.record_child(NOW, "leaf-2", counts(&[(2, 4)]));
    let subtree_counts = intermediate.subtree_counts(NOW, &counts(&[(3, 1)]));
    assert_eq!(subtree_counts, counts(&[(1, 2), (2, 5), (3, 1)]));
    let mut root = Running::default();
    root.record_child(NOW, "intermediate", subtree_counts);
    root.record_root(NOW, "root-2", counts(&[(1, 7)]));
    let sums = root.root_totals(NOW, &counts(&[]));
    assert_eq!(sums, counts(&[(1, 9), (2, 5), (3, 1)]));
}

#[test]
fn totals_are_corrected_by_the_current_counts_of_a_gateway() {
    let mut leaf = Running::default();
    let counts_at_send = counts(&[(1, 2)]);
    leaf.record_totals(NOW, &counts(&[(1, 9), (2, 5)]), &counts_at_send);
    assert_eq!(leaf.running_elsewhere(NOW, 1), 7);
    assert_eq!(leaf.running_elsewhere(NOW, 2), 5);
    assert_eq!(leaf.running_elsewhere(NOW, 3), 0);
    let now = counts(&[(2, 1)]);
    assert_eq!(
        leaf.forwarded_totals(NOW, &now),
        Some(counts(&[(1, 7), (2, 6)]))
    );
}

#[test]
fn counts_that_are_not_sent_again_expire() {
    let mut gateway = Running::default();
    gateway.record_child(NOW, "gone", counts(&[(1, 2)]));
    gateway.record_totals(NOW, &counts(&[(1, 9)]), &counts(&[]));
    let later = NOW + 2_000;
    assert_eq!(gateway.subtree_counts(later, &counts(&[])), counts(&[]));
    assert_eq!(gateway.running_elsewhere(later, 1), 0);
    assert_eq!(gateway.forwarded_totals(later, &counts(&[])), None);
}

#[test]
fn back_ends_are_identified_by_a_hash_of_their_names() {
    let (first, second) = (BackEndId::from("i-1"), BackEndId::from("i-2"));
    assert_ne!(hash(&first), hash(&second));
    assert_eq!(hash(&first), hash(&first.clone()));
}
