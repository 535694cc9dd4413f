//! What gateways know of back ends.

use std::collections::HashSet;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{BackEndReport, quarantine};
use gorsebank_gateway::directory::Directory;
use gorsebank_world::{BackEndId, ModelId, ServiceId};

const NOW: Timestamp = Timestamp(1_000);

fn engine(id: &str) -> BackEndReport {
    BackEndReport {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall".into(),
        slots: 8,
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
        let places = directory.places(NOW, &service, &model, None);
        places.ready.iter().map(|it| it.id.clone()).collect()
    };
    assert_eq!(ready(&directory).len(), 2);

    let ended: HashSet<_> = [quarantine::hash(&"i-1".into())].into();
    directory.note_ended(NOW, &ended);
    assert_eq!(ready(&directory), [BackEndId::from("i-2")]);
    assert_eq!(directory.members(NOW, &service).len(), 1);
    assert!(directory.ended(NOW).contains(&BackEndId::from("i-1")));

    // What is at its address later has another name.
    directory.put(NOW, engine("i-3"), 3);
    assert_eq!(ready(&directory).len(), 2);

    // A row that stands for so long is that of an engine that lives after all.
    let later = NOW + 10_000;
    assert!(directory.ended(later).is_empty());
    assert_eq!(directory.members(later, &service).len(), 3);
}
