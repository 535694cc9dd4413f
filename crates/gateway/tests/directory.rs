//! What gateways know of back ends.

use std::collections::HashSet;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{BackEndReport, Born, PlacedRow, quarantine};
use gorsebank_gateway::directory::Directory;
use gorsebank_world::{BackEndId, ModelId, ServiceId};

const NOW: Timestamp = Timestamp(1_000);

fn engine(id: &str) -> BackEndReport {
    BackEndReport {
        id: id.into(),
        born: None,
        service: "llm".into(),
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

/// The row of an engine whose process has ended stands for three more heartbeats. Requests
/// spent their sends on such engines, and the model counted as being there.
#[test]
fn an_engine_that_others_saw_end_is_no_place_for_a_model_although_its_row_stands() {
    let mut directory = Directory::new("hall".into());
    directory.put(NOW, engine("i-1"), 1);
    directory.put(NOW, engine("i-2"), 2);
    let (service, model) = (ServiceId::from("llm"), ModelId::from("m"));
    let ready = |directory: &Directory| -> Vec<BackEndId> {
        let places = directory.availability(NOW, &service, &model, None);
        places.ready.iter().map(|it| it.id.clone()).collect()
    };
    assert_eq!(ready(&directory).len(), 2);

    let ended: HashSet<_> = [quarantine::incarnation_hash(&"i-1".into(), None)].into();
    directory.record_exits(NOW, &ended);
    assert_eq!(ready(&directory), [BackEndId::from("i-2")]);
    assert_eq!(directory.active_back_ends(NOW, &service).len(), 1);
    assert!(directory.exited(NOW).contains(&BackEndId::from("i-1")));

    // What is at its address later has another name.
    directory.put(NOW, engine("i-3"), 3);
    assert_eq!(ready(&directory).len(), 2);

    // A row that stands for so long is that of an engine that lives after all.
    let later = NOW + 10_000;
    assert!(directory.exited(later).is_empty());
    assert_eq!(directory.active_back_ends(later, &service).len(), 3);
}

fn of_life(id: &str, born: u64) -> BackEndReport {
    BackEndReport {
        born: Some(Born(born)),
        ..engine(id)
    }
}

fn holds(directory: &Directory, model: &str) -> bool {
    let places = directory.availability(NOW, &"llm".into(), &model.into(), None);
    !places.ready.is_empty()
}

#[test]
fn the_next_life_of_a_back_end_begins_anew() {
    let mut directory = Directory::new("hall".into());
    let (service, id) = (ServiceId::from("llm"), BackEndId::from("i-1"));
    directory.put(NOW, of_life("i-1", 1), 1);
    let former = directory.back_end(&id).expect("a back end");
    former.record_absent(NOW, &"m".into(), None);
    let leaving = BackEndReport {
        draining: true,
        ..of_life("i-1", 1)
    };
    directory.put(NOW, leaving, 2);
    assert!(!directory.is_active(&id));
    assert!(
        directory.take_removed_without_drain().is_empty(),
        "it said so"
    );

    directory.put(NOW, of_life("i-1", 2), 3);
    assert!(directory.is_active(&id));
    assert!(holds(&directory, "m"));
    assert_eq!(directory.active_back_ends(NOW, &service).len(), 1);
    let ended: HashSet<_> = [former.incarnation_hash].into();
    directory.record_exits(NOW, &ended);
    assert!(
        directory.exited(NOW).is_empty(),
        "the end of the former life"
    );

    directory.put(NOW, of_life("i-1", 3), 4);
    assert_eq!(
        directory.take_removed_without_drain().len(),
        1,
        "it ended without a word"
    );
}

#[test]
fn what_the_holder_placed_in_a_former_life_is_not_there_in_the_next() {
    let mut directory = Directory::new("hall".into());
    let id = BackEndId::from("i-1");
    let placed = |born: Option<Born>| PlacedRow {
        born,
        holdings: [(ModelId::from("placed"), Default::default())].into(),
        unloading: Some("m".into()),
        ..PlacedRow::default()
    };
    directory.put(NOW, of_life("i-1", 1), 1);
    directory.put_placed(NOW, id.clone(), placed(Some(Born(1))), 2);
    assert!(holds(&directory, "placed"));
    directory.put(NOW, of_life("i-1", 2), 3);
    assert!(!holds(&directory, "placed") && holds(&directory, "m"));
    // A row of the former life that comes late, of a gateway that tells starts.
    directory.put_placed(NOW, id.clone(), placed(Some(Born(1))), 4);
    assert!(!holds(&directory, "placed") && holds(&directory, "m"));
    // A newer one of a gateway that knows nothing of starts.
    directory.put_placed(NOW, id.clone(), placed(None), 5);
    assert!(holds(&directory, "placed") && !holds(&directory, "m"));
    // The holder may hear of the next life before this gateway does.
    directory.put_placed(NOW, id, placed(Some(Born(3))), 6);
    directory.put(NOW, of_life("i-1", 3), 5);
    assert!(holds(&directory, "placed"));
}

#[test]
fn a_row_of_an_earlier_life_is_taken_in_when_nothing_contradicts_it() {
    let mut directory = Directory::new("hall".into());
    let id = BackEndId::from("i-1");
    let born = |directory: &Directory| directory.back_end(&id).and_then(|it| it.born);
    directory.put(NOW, of_life("i-1", 5), 1);
    directory.put(NOW, of_life("i-1", 4), 2);
    assert!(directory.has_deferred_rows());
    directory.retry_deferred_rows(NOW + 1_000);
    assert_eq!(born(&directory), Some(Born(5)));
    directory.retry_deferred_rows(NOW + 6_000);
    assert_eq!(born(&directory), Some(Born(4)));
    assert!(!directory.has_deferred_rows());
}

#[test]
fn a_back_end_whose_row_cannot_be_read_has_not_ended() {
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
    directory.remove(&id);
    assert!(directory.take_removed_without_drain().is_empty());
}

/// The table lost its row for a moment, and the back end, which has said that it leaves, writes
/// it again as one that is ready.
#[test]
fn a_departure_is_kept_while_the_row_of_its_life_is_gone() {
    let (service, id) = (ServiceId::from("llm"), BackEndId::from("i-1"));
    for says_in_row in [true, false] {
        let mut directory = Directory::new("hall".into());
        directory.put(NOW, of_life("i-1", 1), 1);
        let back_end = directory.back_end(&id).expect("a back end");
        if says_in_row {
            let leaving = BackEndReport {
                draining: true,
                ..of_life("i-1", 1)
            };
            directory.put(NOW, leaving, 2);
        } else {
            assert!(directory.record_drain(NOW, &back_end));
        }
        directory.remove(&id);
        assert!(
            directory.take_removed_without_drain().is_empty(),
            "it said that it leaves"
        );
        directory.put(NOW, of_life("i-1", 1), 3);
        assert!(directory.active_back_ends(NOW, &service).is_empty());
        directory.put(NOW, of_life("i-1", 9_000), 4);
        assert_eq!(directory.active_back_ends(NOW, &service).len(), 1);
    }
}

#[test]
fn a_departure_that_is_told_counts_also_for_a_row_that_comes_later() {
    let mut teller = Directory::new("hall".into());
    teller.put(NOW, engine("i-1"), 1);
    let back_end = teller.back_end(&"i-1".into()).expect("a back end");
    teller.record_drain(NOW, &back_end);
    let told = teller.drain_notices(NOW + 100);
    assert_eq!(told.len(), 1);

    let mut directory = Directory::new("hall".into());
    assert!(!directory.knows_drains(&told));
    assert!(
        directory.merge_drain_notices(NOW, &told).is_empty(),
        "no row"
    );
    directory.put(NOW, engine("i-1"), 1);
    assert!(directory.active_back_ends(NOW, &"llm".into()).is_empty());
    assert!(!directory.is_active(&"i-1".into()));
    assert!(directory.reports()[0].draining, "nothing is loaded there");
}

/// What goes round among gateways for longer than it is told on is told no more.
#[test]
fn a_departure_does_not_grow_younger_by_being_told() {
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
