//! Tests the lookup of routes by host and path prefix, and which kinds of requests may be retried.

use std::collections::BTreeSet;
use std::time::Duration;

use gorsebank_fleet::split::WeightedSplit;
use gorsebank_fleet::{Configuration, Limits, RequestKind, Route};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        gap_objective: None,
        priority: 0,
        max_attempts: 2,
        services: vec![("top-up".into(), 1)],
        is_public: false,
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_024,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Configuration::new(7, routes, Vec::new(), limits)
}

fn route_name(configuration: &Configuration, host: &str, path: &str) -> Option<String> {
    let route = configuration.route(host, path)?;
    Some(route.name.to_string())
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_chosen() {
    let configuration = configuration(vec![
        route("short", "crew.example", "/a/"),
        route("long", "crew.example", "/a/b/"),
        route("other-host", "desk.example", "/a/b/c/"),
    ]);
    assert_eq!(
        route_name(&configuration, "crew.example", "/a/b/c/d").as_deref(),
        Some("long")
    );
    assert_eq!(
        route_name(&configuration, "crew.example", "/a/x").as_deref(),
        Some("short")
    );
    assert_eq!(route_name(&configuration, "crew.example", "/a"), None);
    assert_eq!(route_name(&configuration, "night.example", "/a/b/"), None);
}

#[test]
fn case_and_port_of_the_host_are_ignored() {
    let configuration = configuration(vec![route("only", "crew.example", "/")]);
    assert_eq!(
        route_name(&configuration, "CREW.example:8149", "/x").as_deref(),
        Some("only")
    );
}

#[test]
fn only_idempotent_requests_and_resumable_streams_may_be_retried() {
    assert!(RequestKind::Idempotent.may_retry());
    assert!(!RequestKind::Mutating.may_retry());
    assert!(RequestKind::Stream { resumable: true }.may_retry());
    assert!(!RequestKind::Stream { resumable: false }.may_retry());
}

/// Guards against a route whose weights have no sum of their own type.
#[test]
fn requests_are_split_over_services_with_the_greatest_weights() {
    let services = [("app".into(), u32::MAX), ("other".into(), u32::MAX)];
    let mut split = WeightedSplit::new(0.0);
    let mut chosen = BTreeSet::new();
    for _ in 0..10 {
        chosen.insert(split.next(&services).expect("a service").clone());
    }
    assert_eq!(chosen.len(), 2);
}
