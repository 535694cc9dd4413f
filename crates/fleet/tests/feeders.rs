//! Who follows the table for whom.

use gorsebank_fleet::feeders::{Candidate, FeedOrder};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("node-{number}")).collect()
}

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let candidate = |name| Candidate {
        name,
        link_megabits: 100,
    };
    names.iter().map(|name| candidate(name)).collect()
}

fn feeders(names: &[String]) -> Vec<&str> {
    let known = candidates(names);
    let follows = |name: &&String| FeedOrder::new(name, &known).follows;
    names.iter().filter(follows).map(String::as_str).collect()
}

#[test]
fn two_follow_the_table_for_few_and_one_in_thirty_two_for_many() {
    assert_eq!(feeders(&names(6)).len(), 2);
    assert_eq!(feeders(&names(69)).len(), 3);
    assert_eq!(feeders(&names(300)).len(), 10);
}

#[test]
fn all_others_ask_those_that_follow_first() {
    let names = names(69);
    let known = candidates(&names);
    let feeders = feeders(&names);
    for name in names
        .iter()
        .filter(|name| !feeders.contains(&name.as_str()))
    {
        let order = FeedOrder::new(name, &known);
        assert_eq!(order.asks.len(), 3);
        let asked: Vec<&str> = order.asks.iter().map(|index| known[*index].name).collect();
        assert!(
            asked.iter().all(|asked| feeders.contains(asked)),
            "{asked:?}"
        );
        assert!(!asked.contains(&name.as_str()));
    }
}

#[test]
fn the_load_is_spread_over_those_that_follow() {
    let names = names(69);
    let known = candidates(&names);
    for feeder in feeders(&names) {
        let asks_first = |name: &&String| {
            let first = FeedOrder::new(name, &known).asks.first().copied();
            first.is_some_and(|first| known[first].name == feeder)
        };
        let fed = names.iter().filter(asks_first).count();
        assert!((10..=40).contains(&fed), "{feeder} feeds {fed}");
    }
}

#[test]
fn large_links_follow_first() {
    let names = names(20);
    let mut known = candidates(&names);
    known[7].link_megabits = 1_000;
    known[13].link_megabits = 1_000;
    assert!(FeedOrder::new("node-7", &known).follows);
    assert!(FeedOrder::new("node-13", &known).follows);
    assert!(!FeedOrder::new("node-1", &known).follows);
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
    assert!(FeedOrder::new("node-1", &[]).follows);
    let names = names(1);
    let order = FeedOrder::new("node-9", &candidates(&names));
    assert_eq!((order.follows, order.asks), (false, vec![0]));
}
