//! Tests of the records of stream origins: their keepers, their bounds, and the versions that a service
//! has had.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::stream_origins::{KEEPERS, Keeper, keepers_of, keepers_to_ask};
use gorsebank_fleet::{OriginRecord, SoftwareVersions, StreamKey, StreamOrigins};
use gorsebank_world::{NodeId, ServiceId, ZoneId};
use proptest::prelude::*;

const NOW: Timestamp = Timestamp(100_000);
const PERIOD_MS: u64 = 30_000;

fn key(number: u64) -> StreamKey {
    StreamKey::new(&"llm".into(), &number.to_string())
}

fn record(number: u64, version: &str, lifetime_ms: u64) -> OriginRecord {
    OriginRecord {
        stream: key(number),
        version: version.into(),
        lifetime_ms,
    }
}

/// Gateways with names and zones.
fn gateways() -> impl Strategy<Value = Vec<(String, ZoneId)>> {
    let zone = (0..5_u8).prop_map(|zone| ZoneId::from(format!("zone-{zone}")));
    prop::collection::vec(zone, 2..40).prop_map(|zones| {
        let named = zones.into_iter().enumerate();
        named
            .map(|(number, zone)| (format!("gateway-{number}"), zone))
            .collect()
    })
}

fn view(gateways: &[(String, ZoneId)]) -> Vec<Keeper<'_>> {
    gateways
        .iter()
        .map(|(name, zone)| Keeper {
            name,
            zone: Some(zone),
        })
        .collect()
}

proptest! {
    /// One gateway has joined or left in the view of whoever asks.
    #[test]
    fn keepers_of_every_sender_are_asked(
        gateways in gateways(), own in any::<prop::sample::Index>(),
        changed in any::<prop::sample::Index>(), stream in any::<u64>(),
    ) {
        let group = key(stream).keeper_group();
        let all = view(&gateways);
        let mut fewer = all.clone();
        fewer.remove(changed.index(fewer.len()));
        for (senders, askers) in [(&all, &all), (&all, &fewer), (&fewer, &all)] {
            let (own_name, zone) = &gateways[own.index(gateways.len())];
            let candidates: Vec<Keeper<'_>> =
                keepers_to_ask(senders, group).into_iter().map(|it| senders[it]).collect();
            let own_id = NodeId::from(own_name.as_str());
            let sent = keepers_of(&candidates, &own_id, zone);
            let asked: Vec<&str> =
                keepers_to_ask(askers, group).into_iter().map(|it| askers[it].name).collect();
            let others = senders.iter().filter(|it| it.name != own_name).count();
            prop_assert!(sent.len() >= KEEPERS.min(others));
            let kept = sent.iter().take(KEEPERS).map(|it| candidates[*it]);
            let reachable = kept.clone().filter(|it| askers.iter().any(|other| other.name == it.name));
            for keeper in reachable {
                prop_assert!(asked.contains(&keeper.name), "{keeper:?} is not among {asked:?}");
            }
            prop_assert!(kept.clone().all(|keeper| keeper.name != own_name));
        }
    }

    #[test]
    fn a_record_never_changes_its_version(versions in prop::collection::vec((0..4_u64, 0..3_u8), 1..60)) {
        let mut origins = StreamOrigins::default();
        let mut first = std::collections::HashMap::new();
        for (number, version) in versions {
            let version = format!("v{version}");
            origins.record(NOW, &record(number, &version, 1_000));
            let first = first.entry(number).or_insert(version);
            prop_assert_eq!(origins.version(NOW, key(number)).expect("kept").as_str(), first);
        }
    }
}

#[test]
fn records_expire_and_are_bounded_in_number() {
    let mut origins = StreamOrigins::default();
    for number in 0..40_000 {
        origins.record(NOW, &record(number, "v1", 1_000));
    }
    assert!(
        origins.version(NOW, key(0)).is_none(),
        "the oldest was dropped"
    );
    assert!(origins.version(NOW, key(39_999)).is_some());
    assert!(origins.records(NOW).len() < 40_000);
    assert!(origins.version(NOW + 1_000, key(39_999)).is_none());
    assert!(origins.records(NOW + 1_000).is_empty());
}

#[test]
fn a_service_has_one_version_only_if_no_other_was_there_for_as_long_as_a_stream_lasts() {
    let service = ServiceId::from("llm");
    let mut versions = SoftwareVersions::default();
    let only = |versions: &SoftwareVersions, at| {
        let only = versions.only_version(at, PERIOD_MS, &service);
        only.map(|it| it.as_str().to_owned())
    };
    versions.add(&service, &"v1".into());
    assert_eq!(only(&versions, NOW), None, "the table was not read yet");
    versions.set_known_since(NOW);
    assert_eq!(
        only(&versions, NOW),
        None,
        "earlier back ends are not known"
    );
    let settled = NOW + PERIOD_MS;
    assert_eq!(only(&versions, settled).as_deref(), Some("v1"));
    versions.add(&service, &"v2".into());
    assert_eq!(only(&versions, settled), None);
    versions.remove(settled, &service, &"v1".into());
    assert_eq!(only(&versions, settled + PERIOD_MS - 1), None);
    assert!(versions.is_mixed(settled + PERIOD_MS - 1, PERIOD_MS, &service));
    assert_eq!(only(&versions, settled + PERIOD_MS).as_deref(), Some("v2"));
}
