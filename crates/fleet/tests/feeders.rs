//! Tests the distribution tree: which gateways follow the tables as roots, and which parents the
//! other gateways choose.

use std::collections::BTreeMap;

use gorsebank_fleet::distribution_tree::{ParentCandidate, ParentOrder, TreePosition};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("node-{number}")).collect()
}

fn candidates(names: &[String]) -> Vec<ParentCandidate<'_>> {
    let candidate = |name| ParentCandidate {
        name,
        link_megabits: 100,
        millicores: 250,
        zone: None,
        is_placement_holder: false,
    };
    names.iter().map(|name| candidate(name)).collect()
}

fn names_at<'a>(known: &'a [ParentCandidate<'_>], wanted: TreePosition) -> Vec<&'a str> {
    let is_at_position = |name: &&str| ParentOrder::new(name, known).position == wanted;
    known
        .iter()
        .map(|it| it.name)
        .filter(is_at_position)
        .collect()
}

fn root_names(names: &[String]) -> Vec<&str> {
    let known = candidates(names);
    let is_root = |name: &&String| ParentOrder::new(name, &known).position == TreePosition::Root;
    names.iter().filter(is_root).map(String::as_str).collect()
}

/// Returns the names of a gateway's parents, in order of preference.
fn parents_of<'a>(own: &str, known: &'a [ParentCandidate<'_>]) -> Vec<&'a str> {
    let order = ParentOrder::new(own, known);
    order
        .parents
        .iter()
        .map(|index| known[*index].name)
        .collect()
}

#[test]
fn two_or_three_gateways_are_roots_whatever_the_fleet_size() {
    assert_eq!(root_names(&names(6)).len(), 2);
    assert_eq!(root_names(&names(64)).len(), 2);
    assert_eq!(root_names(&names(69)).len(), 3);
    assert_eq!(root_names(&names(300)).len(), 3);
    assert_eq!(root_names(&names(1_300)).len(), 3);
}

#[test]
fn leaves_of_a_small_fleet_prefer_roots_as_parents() {
    let names = names(40);
    let known = candidates(&names);
    let roots = names_at(&known, TreePosition::Root);
    for own in names_at(&known, TreePosition::LeafOfRoot) {
        let parents = parents_of(own, &known);
        assert_eq!(parents.len(), 3);
        assert!(
            parents[..2].iter().all(|it| roots.contains(it)),
            "{parents:?}"
        );
        assert!(!parents.contains(&own));
    }
}

#[test]
fn leaves_of_a_large_fleet_prefer_two_intermediate_gateways_and_then_a_root() {
    let names = names(300);
    let known = candidates(&names);
    let (roots, intermediates) = (
        names_at(&known, TreePosition::Root),
        names_at(&known, TreePosition::Middle),
    );
    for own in &intermediates {
        let parents = parents_of(own, &known);
        assert!(parents.iter().all(|it| roots.contains(it)), "{parents:?}");
    }
    for own in names_at(&known, TreePosition::LeafOfMiddle) {
        let parents = parents_of(own, &known);
        assert!(
            parents[..2].iter().all(|it| intermediates.contains(it)),
            "{parents:?}"
        );
        assert!(roots.contains(&parents[2]), "{parents:?}");
    }
}

#[test]
fn the_number_of_children_of_a_gateway_is_bounded() {
    for count in [6, 64, 69, 300, 1_300] {
        let names = names(count);
        let known = candidates(&names);
        let mut child_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for name in &names {
            if let Some(first) = parents_of(name, &known).first() {
                *child_counts.entry(first).or_default() += 1;
            }
        }
        let largest = child_counts.values().max().copied().unwrap_or(0);
        assert!(
            largest <= 48,
            "one of {count} gateways has {largest} children"
        );
    }
}

#[test]
fn strong_machines_with_large_links_are_roots_except_the_placement_holder() {
    let names = names(20);
    let mut known = candidates(&names);
    for strong in [3, 7, 13] {
        known[strong].millicores = 500;
        known[strong].link_megabits = 1_000;
    }
    known[3].is_placement_holder = true;
    // A weak machine with a large link is unsuitable, and so is a strong machine with a small link.
    known[5].link_megabits = 10_000;
    known[9].millicores = 4_000;
    known[9].link_megabits = 5;
    let roots = names_at(&known, TreePosition::Root);
    assert_eq!(roots, ["node-7", "node-13"]);
}

/// The removal of one gateway changes the position of few others: the remaining root stays a root.
#[test]
fn a_removed_root_is_replaced_and_the_other_root_stays() {
    let names = names(12);
    let before = root_names(&names);
    let remaining: Vec<String> = names
        .iter()
        .filter(|name| name.as_str() != before[0])
        .cloned()
        .collect();
    let after = root_names(&remaining);
    assert!(after.contains(&before[1]));
    assert_eq!(after.len(), 2);
}

#[test]
fn a_gateway_that_knows_no_others_is_a_root() {
    assert_eq!(ParentOrder::new("node-1", &[]).position, TreePosition::Root);
    let names = names(1);
    let order = ParentOrder::new("node-9", &candidates(&names));
    assert_eq!(
        (order.position, order.parents),
        (TreePosition::LeafOfRoot, vec![0])
    );
}

#[test]
fn all_gateways_agree_on_the_roots() {
    for count in [1, 2, 6, 40, 69, 300] {
        let names = names(count);
        let known = candidates(&names);
        let mut roots = names_at(&known, TreePosition::Root);
        roots.sort_unstable();
        for own in names.iter().map(String::as_str).chain(["unknown"]) {
            let order = ParentOrder::new(own, &known);
            let root_names = order.roots.iter().map(|index| known[*index].name);
            let mut root_names: Vec<&str> = root_names.collect();
            root_names.sort_unstable();
            assert_eq!(root_names, roots, "{own} of {count}");
        }
    }
}

#[test]
fn leaves_prefer_parents_of_their_own_zone_if_there_are_enough() {
    let names = names(985);
    let zones = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];
    let zone_of = |name: &str| {
        let number: usize = name.trim_start_matches("node-").parse().expect("a number");
        zones[number % zones.len()]
    };
    let mut known = candidates(&names);
    for candidate in &mut known {
        candidate.zone = Some(zone_of(candidate.name));
    }
    let mut child_counts: BTreeMap<&str, usize> = BTreeMap::new();
    let leaves = names_at(&known, TreePosition::LeafOfMiddle);
    let mut same_zone = 0;
    for own in &leaves {
        let first = parents_of(own, &known)[0];
        *child_counts.entry(first).or_default() += 1;
        same_zone += usize::from(zone_of(first) == zone_of(own));
    }
    assert!(
        same_zone * 10 >= leaves.len() * 9,
        "{same_zone} of {}",
        leaves.len()
    );
    let largest = child_counts.values().max().expect("some");
    assert!(*largest <= 60, "{largest} leaves at one gateway");

    // Leaves of a zone without intermediate gateways choose parents in other zones.
    for candidate in &mut known {
        let is_middle = ParentOrder::new(candidate.name, &candidates(&names)).position
            != TreePosition::LeafOfMiddle;
        candidate.zone = Some(if is_middle { "hall-a" } else { "hall-b" });
    }
    for own in names_at(&known, TreePosition::LeafOfMiddle)
        .into_iter()
        .take(20)
    {
        assert_eq!(parents_of(own, &known).len(), 3);
    }
}
