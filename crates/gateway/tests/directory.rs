//! Tests the directory of back ends: restarts, drains, exits and unreadable rows.

use std::collections::HashSet;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{BackEndReport, Born, PlacedRow, PlannedLoad, quarantine};
use gorsebank_gateway::directory::Directory;
use gorsebank_world::{BackEndId, ModelId, ServiceId};

const NOW: Timestamp = Timestamp(1_000);

fn engine(id: &str) -> BackEndReport {
    BackEndReport {
        id: id.into(),
        born: None,
        service: "llm".into(),
        software_version: "v1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall".into(),
        slots: 8,
        warm_up_left_ms: 0,
        draining: false,
        holdings: [(ModelId::from("m"), Default::default())].into(),
        in_memory: Default::default(),
        on_disk: Default::default(),
    }
}

/// Guards against using the row of an exited engine, which remains for three more heartbeats:
/// requests spent their attempts on such engines, and the model counted as loaded there.
#[test]
fn an_engine_whose_exit_others_observed_is_unavailable_although_its_row_remains() {
    let mut directory = Directory::new("hall".into());
    directory.put(NOW, engine("i-1"), 1);
    directory.put(NOW, engine("i-2"), 2);
    let (service, model) = (ServiceId::from("llm"), ModelId::from("m"));
    let ready = |directory: &Directory| -> Vec<BackEndId> {
        let availability = directory.availability(NOW, &service, &model, None, None);
        availability.ready.iter().map(|it| it.id.clone()).collect()
    };
    assert_eq!(ready(&directory).len(), 2);

    let exited: HashSet<_> = [quarantine::incarnation_hash(&"i-1".into(), None)].into();
    directory.record_exits(NOW, &exited);
    assert_eq!(ready(&directory), [BackEndId::from("i-2")]);
    assert_eq!(directory.active_back_ends(NOW, &service, None).len(), 1);
    assert!(directory.exited(NOW).contains(&BackEndId::from("i-1")));

    // A later engine at the same address has another name.
    directory.put(NOW, engine("i-3"), 3);
    assert_eq!(ready(&directory).len(), 2);

    // A row that remains for 10 s belongs to an engine that is running after all.
    let later = NOW + 10_000;
    assert!(directory.exited(later).is_empty());
    assert_eq!(directory.active_back_ends(later, &service, None).len(), 3);
}

fn engine_started_at(id: &str, start_time_ms: u64) -> BackEndReport {
    BackEndReport {
        born: Some(Born(start_time_ms)),
        ..engine(id)
    }
}

fn holds(directory: &Directory, model: &str) -> bool {
    let availability = directory.availability(NOW, &"llm".into(), &model.into(), None, None);
    !availability.ready.is_empty()
}

#[test]
fn state_of_an_incarnation_does_not_affect_the_next() {
    let mut directory = Directory::new("hall".into());
    let (service, id) = (ServiceId::from("llm"), BackEndId::from("i-1"));
    directory.put(NOW, engine_started_at("i-1", 1), 1);
    let previous = directory.back_end(&id).expect("a back end");
    previous.record_absent(NOW, &"m".into(), None);
    let draining = BackEndReport {
        draining: true,
        ..engine_started_at("i-1", 1)
    };
    directory.put(NOW, draining, 2);
    assert!(!directory.is_active(&id));
    assert!(
        directory.take_removed_without_drain().is_empty(),
        "the back end announced its drain"
    );

    directory.put(NOW, engine_started_at("i-1", 2), 3);
    assert!(directory.is_active(&id));
    assert!(holds(&directory, "m"));
    assert_eq!(directory.active_back_ends(NOW, &service, None).len(), 1);
    let exited: HashSet<_> = [previous.incarnation_hash].into();
    directory.record_exits(NOW, &exited);
    assert!(
        directory.exited(NOW).is_empty(),
        "the exit of the previous incarnation does not count"
    );

    directory.put(NOW, engine_started_at("i-1", 3), 4);
    assert_eq!(
        directory.take_removed_without_drain().len(),
        1,
        "the back end exited without a drain"
    );
}

#[test]
fn placements_of_an_incarnation_do_not_apply_to_the_next() {
    let mut directory = Directory::new("hall".into());
    let id = BackEndId::from("i-1");
    let placed = |born: Option<Born>| PlacedRow {
        born,
        holdings: [(ModelId::from("placed"), Default::default())].into(),
        unloading: Some("m".into()),
        ..PlacedRow::default()
    };
    directory.put(NOW, engine_started_at("i-1", 1), 1);
    directory.put_placed(NOW, id.clone(), placed(Some(Born(1))), 2);
    assert!(holds(&directory, "placed"));
    directory.put(NOW, engine_started_at("i-1", 2), 3);
    assert!(!holds(&directory, "placed") && holds(&directory, "m"));
    // This late row of the previous incarnation comes from a gateway that writes start times.
    directory.put_placed(NOW, id.clone(), placed(Some(Born(1))), 4);
    assert!(!holds(&directory, "placed") && holds(&directory, "m"));
    // This newer row comes from a gateway that does not know start times.
    directory.put_placed(NOW, id.clone(), placed(None), 5);
    assert!(holds(&directory, "placed") && !holds(&directory, "m"));
    // The holder may learn of the next incarnation before this gateway does.
    directory.put_placed(NOW, id, placed(Some(Born(3))), 6);
    directory.put(NOW, engine_started_at("i-1", 3), 5);
    assert!(holds(&directory, "placed"));
}

#[test]
fn a_row_with_an_earlier_start_is_applied_when_nothing_contradicts_it() {
    let mut directory = Directory::new("hall".into());
    let id = BackEndId::from("i-1");
    let born = |directory: &Directory| directory.back_end(&id).and_then(|it| it.born);
    directory.put(NOW, engine_started_at("i-1", 5), 1);
    directory.put(NOW, engine_started_at("i-1", 4), 2);
    assert!(directory.has_deferred_rows());
    directory.retry_deferred_rows(NOW + 1_000);
    assert_eq!(born(&directory), Some(Born(5)));
    directory.retry_deferred_rows(NOW + 6_000);
    assert_eq!(born(&directory), Some(Born(4)));
    assert!(!directory.has_deferred_rows());
}

#[test]
fn a_back_end_with_an_unreadable_row_has_not_exited() {
    let mut directory = Directory::new("hall".into());
    let id = BackEndId::from("i-1");
    directory.put(NOW, engine("i-1"), 1);
    assert!(directory.put_unreadable(&id, 2));
    assert!(!directory.is_active(&id) && !holds(&directory, "m"));
    directory.put(NOW, engine("i-1"), 3);
    assert!(directory.is_active(&id));
    let unreadable = vec![(id.clone(), 4)];
    directory.replace(NOW, Vec::new(), unreadable);
    assert!(!directory.is_active(&id));
    assert!(directory.take_removed_without_drain().is_empty());
    directory.remove(NOW, &id);
    assert!(directory.take_removed_without_drain().is_empty());
}

/// The table may lose the row of a draining back end for a moment, after which the back end writes
/// the row again without its drain.
#[test]
fn a_drain_is_kept_while_the_row_of_its_incarnation_is_missing() {
    let (service, id) = (ServiceId::from("llm"), BackEndId::from("i-1"));
    for is_in_row in [true, false] {
        let mut directory = Directory::new("hall".into());
        directory.put(NOW, engine_started_at("i-1", 1), 1);
        let back_end = directory.back_end(&id).expect("a back end");
        if is_in_row {
            let draining = BackEndReport {
                draining: true,
                ..engine_started_at("i-1", 1)
            };
            directory.put(NOW, draining, 2);
        } else {
            assert!(directory.record_drain(NOW, &back_end));
        }
        directory.remove(NOW, &id);
        assert!(
            directory.take_removed_without_drain().is_empty(),
            "the back end announced its drain"
        );
        directory.put(NOW, engine_started_at("i-1", 1), 3);
        assert!(directory.active_back_ends(NOW, &service, None).is_empty());
        directory.put(NOW, engine_started_at("i-1", 9_000), 4);
        assert_eq!(directory.active_back_ends(NOW, &service, None).len(), 1);
    }
}

#[test]
fn a_received_drain_notice_applies_to_a_row_that_arrives_later() {
    let mut sender = Directory::new("hall".into());
    sender.put(NOW, engine("i-1"), 1);
    let back_end = sender.back_end(&"i-1".into()).expect("a back end");
    sender.record_drain(NOW, &back_end);
    let notices = sender.drain_notices(NOW + 100);
    assert_eq!(notices.len(), 1);

    let mut directory = Directory::new("hall".into());
    assert!(!directory.knows_drains(&notices));
    assert!(
        directory.merge_drain_notices(NOW, &notices).is_empty(),
        "no row"
    );
    directory.put(NOW, engine("i-1"), 1);
    assert!(
        directory
            .active_back_ends(NOW, &"llm".into(), None)
            .is_empty()
    );
    assert!(!directory.is_active(&"i-1".into()));
    assert!(
        directory.reports()[0].draining,
        "no model may be loaded at a draining back end"
    );
}

/// Guards against notices that gateways forward to each other without end: a notice must keep its
/// age when it is forwarded, and expire.
#[test]
fn a_drain_notice_keeps_its_age_when_it_is_forwarded() {
    let mut directories = [Directory::new("a".into()), Directory::new("b".into())];
    for directory in &mut directories {
        directory.put(NOW, engine("i-1"), 1);
    }
    let back_end = directories[0].back_end(&"i-1".into()).expect("a back end");
    directories[0].record_drain(NOW, &back_end);
    for round in 1..=30 {
        let now = NOW + 500 * round;
        let [first, second] = &mut directories;
        second.merge_drain_notices(now, &first.drain_notices(now));
        first.merge_drain_notices(now, &second.drain_notices(now));
    }
    let later = NOW + 15_000;
    assert!(
        directories
            .iter()
            .all(|it| it.drain_notices(later).is_empty())
    );
}

/// Guards against callers that return every 0.6 s for a load that the weight store slows down.
#[test]
fn an_overdue_load_is_expected_later_the_longer_it_is_overdue() {
    let mut directory = Directory::new("hall".into());
    directory.put(NOW, engine("i-1"), 1);
    let loading = PlannedLoad {
        model: "slow".into(),
        ready_in: 500,
    };
    let placed = PlacedRow {
        loading: Some(loading),
        ..PlacedRow::default()
    };
    directory.put_placed(NOW, "i-1".into(), placed, 2);
    let expected_in = |age_ms: u64| {
        let now = NOW + age_ms;
        let (service, model) = (ServiceId::from("llm"), ModelId::from("slow"));
        let availability = directory.availability(now, &service, &model, None, None);
        availability.loading_until.map(|until| until.since(now))
    };
    assert_eq!(expected_in(100), Some(400));
    assert_eq!(expected_in(500), Some(0));
    assert_eq!(expected_in(1_500), Some(1_000));
    assert_eq!(expected_in(2_500), Some(2_000));
    assert_eq!(expected_in(4_000), None);
}
