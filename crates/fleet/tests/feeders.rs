//! Who follows the table for whom.

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

fn at<'a>(known: &'a [ParentCandidate<'_>], wanted: TreePosition) -> Vec<&'a str> {
    let is_there = |name: &&str| ParentOrder::new(name, known).position == wanted;
    known.iter().map(|it| it.name).filter(is_there).collect()
}

fn feeders(names: &[String]) -> Vec<&str> {
    let known = candidates(names);
    let follows = |name: &&String| ParentOrder::new(name, &known).position == TreePosition::Root;
    names.iter().filter(follows).map(String::as_str).collect()
}

/// The names that a gateway asks, in order.
fn asked<'a>(own: &str, known: &'a [ParentCandidate<'_>]) -> Vec<&'a str> {
    let order = ParentOrder::new(own, known);
    order
        .parents
        .iter()
        .map(|index| known[*index].name)
        .collect()
}

#[test]
fn two_or_three_follow_the_table_whatever_the_size() {
    assert_eq!(feeders(&names(6)).len(), 2);
    assert_eq!(feeders(&names(64)).len(), 2);
    assert_eq!(feeders(&names(69)).len(), 3);
    assert_eq!(feeders(&names(300)).len(), 3);
    assert_eq!(feeders(&names(1_300)).len(), 3);
}

#[test]
fn gateways_of_a_small_fleet_ask_the_roots_first() {
    let names = names(40);
    let known = candidates(&names);
    let roots = at(&known, TreePosition::Root);
    for own in at(&known, TreePosition::LeafOfRoot) {
        let asked = asked(own, &known);
        assert_eq!(asked.len(), 3);
        assert!(asked[..2].iter().all(|it| roots.contains(it)), "{asked:?}");
        assert!(!asked.contains(&own));
    }
}

#[test]
fn gateways_of_a_large_fleet_ask_two_in_the_middle_and_then_a_root() {
    let names = names(300);
    let known = candidates(&names);
    let (roots, middles) = (
        at(&known, TreePosition::Root),
        at(&known, TreePosition::Middle),
    );
    for own in &middles {
        let asked = asked(own, &known);
        assert!(asked.iter().all(|it| roots.contains(it)), "{asked:?}");
    }
    for own in at(&known, TreePosition::LeafOfMiddle) {
        let asked = asked(own, &known);
        assert!(
            asked[..2].iter().all(|it| middles.contains(it)),
            "{asked:?}"
        );
        assert!(roots.contains(&asked[2]), "{asked:?}");
    }
}

#[test]
fn no_gateway_feeds_too_many() {
    for count in [6, 64, 69, 300, 1_300] {
        let names = names(count);
        let known = candidates(&names);
        let mut fed: BTreeMap<&str, usize> = BTreeMap::new();
        for name in &names {
            if let Some(first) = asked(name, &known).first() {
                *fed.entry(first).or_default() += 1;
            }
        }
        let most = fed.values().max().copied().unwrap_or(0);
        assert!(most <= 48, "one of {count} feeds {most}");
    }
}

#[test]
fn strong_machines_with_large_links_feed_and_the_one_that_places_models_does_not() {
    let names = names(20);
    let mut known = candidates(&names);
    for strong in [3, 7, 13] {
        known[strong].millicores = 500;
        known[strong].link_megabits = 1_000;
    }
    known[3].is_placement_holder = true;
    // A large link is of no use to a weak machine, nor a strong one's small link.
    known[5].link_megabits = 10_000;
    known[9].millicores = 4_000;
    known[9].link_megabits = 5;
    let roots = at(&known, TreePosition::Root);
    assert_eq!(roots, ["node-7", "node-13"]);
}

/// One name more or less moves few: the others go on as before.
#[test]
fn a_gateway_that_is_gone_leaves_its_place_to_the_next() {
    let names = names(12);
    let before = feeders(&names);
    let left: Vec<String> = names
        .iter()
        .filter(|name| name.as_str() != before[0])
        .cloned()
        .collect();
    let after = feeders(&left);
    assert!(after.contains(&before[1]));
    assert_eq!(after.len(), 2);
}

#[test]
fn a_gateway_that_knows_nobody_follows_the_table() {
    assert_eq!(ParentOrder::new("node-1", &[]).position, TreePosition::Root);
    let names = names(1);
    let order = ParentOrder::new("node-9", &candidates(&names));
    assert_eq!(
        (order.position, order.parents),
        (TreePosition::LeafOfRoot, vec![0])
    );
}

#[test]
fn every_gateway_names_the_roots_that_follow_the_table() {
    for count in [1, 2, 6, 40, 69, 300] {
        let names = names(count);
        let known = candidates(&names);
        let mut roots = at(&known, TreePosition::Root);
        roots.sort_unstable();
        for own in names.iter().map(String::as_str).chain(["unknown"]) {
            let order = ParentOrder::new(own, &known);
            let named = order.roots.iter().map(|index| known[*index].name);
            let mut named: Vec<&str> = named.collect();
            named.sort_unstable();
            assert_eq!(named, roots, "{own} of {count}");
        }
    }
}

#[test]
fn leaves_ask_gateways_of_their_own_zone_if_there_are_enough() {
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
    let mut fed: BTreeMap<&str, usize> = BTreeMap::new();
    let leaves = at(&known, TreePosition::LeafOfMiddle);
    let mut near = 0;
    for own in &leaves {
        let first = asked(own, &known)[0];
        *fed.entry(first).or_default() += 1;
        near += usize::from(zone_of(first) == zone_of(own));
    }
    assert!(near * 10 >= leaves.len() * 9, "{near} of {}", leaves.len());
    let most = fed.values().max().expect("some");
    assert!(*most <= 60, "{most} leaves at one gateway");

    // A zone without any in the middle asks those of others.
    for candidate in &mut known {
        let is_middle = ParentOrder::new(candidate.name, &candidates(&names)).position
            != TreePosition::LeafOfMiddle;
        candidate.zone = Some(if is_middle { "hall-a" } else { "hall-b" });
    }
    for own in at(&known, TreePosition::LeafOfMiddle).into_iter().take(20) {
        assert_eq!(asked(own, &known).len(), 3);
    }
}
