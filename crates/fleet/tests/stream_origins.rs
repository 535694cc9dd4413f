//! Tests of the records of stream origins: their keepers, their bounds, and the versions that a service
//! has had.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::stream_origins::{KEEPERS, Keeper, keepers_of, keepers_to_ask};
use gorsebank_fleet::{OriginRecord, RowEvidence, SoftwareVersions, StreamKey, StreamOrigins};
use gorsebank_world::{NodeId, ServiceId, SoftwareVersion, ZoneId};
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

const GATEWAYS: usize = 3;
/// How far a gateway may be behind the table when it begins a stream.
const MAX_LAG_MS: u64 = 60_000;

/// A step of a fleet whose gateways read the table at different times.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A back end of a version appears in the table.
    Start(u8),
    /// The oldest back end of a version disappears.
    Remove(u8),
    /// A gateway reads the changes of the table. A gateway that is cut off has no such step.
    Read(usize),
    /// A gateway is restarted, and reads the whole table.
    Restart(usize),
    /// A gateway forwards the first event of a stream, from a back end that it knows. Its row may be
    /// gone.
    Begin(usize, u8),
    /// A caller takes up each stream so far at a gateway.
    TakeUp(usize),
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3_u8).prop_map(Step::Start),
        (0..3_u8).prop_map(Step::Remove),
        (0..GATEWAYS).prop_map(Step::Read),
        (0..GATEWAYS).prop_map(Step::Restart),
        (0..GATEWAYS, 0..3_u8).prop_map(|(gateway, version)| Step::Begin(gateway, version)),
        (0..GATEWAYS).prop_map(Step::TakeUp),
        (1..PERIOD_MS / 2).prop_map(Step::Pause),
    ];
    prop::collection::vec(step, 1..80)
}

/// A gateway, and how far it has read the table.
struct Reader {
    versions: SoftwareVersions,
    position: usize,
    verified_at: Timestamp,
}

struct Stream {
    version: SoftwareVersion,
    began: Timestamp,
}

/// The table's changes (a version, and whether a back end of it appeared), gateways and streams.
struct Fleet {
    now: Timestamp,
    service: ServiceId,
    changes: Vec<(SoftwareVersion, bool)>,
    readers: Vec<Reader>,
    streams: Vec<Stream>,
}

impl Fleet {
    fn new() -> Self {
        let first = || {
            let mut versions = SoftwareVersions::default();
            versions.set_complete();
            Reader {
                versions,
                position: 0,
                verified_at: NOW,
            }
        };
        Fleet {
            now: NOW,
            service: ServiceId::from("llm"),
            changes: Vec::new(),
            readers: (0..GATEWAYS).map(|_| first()).collect(),
            streams: Vec::new(),
        }
    }

    fn count(&self, version: &SoftwareVersion, changes: usize) -> usize {
        let of_version = self.changes[..changes]
            .iter()
            .filter(|(it, _)| it == version);
        let (added, removed): (Vec<_>, Vec<_>) = of_version.partition(|(_, appeared)| *appeared);
        added.len() - removed.len()
    }

    fn may_begin(&self, gateway: &Reader, version: &SoftwareVersion) -> bool {
        self.now.since(gateway.verified_at) < MAX_LAG_MS
            && self.count(version, gateway.position) > 0
    }

    fn read(&mut self, gateway: usize) {
        let reader = &mut self.readers[gateway];
        for (version, appeared) in &self.changes[reader.position..] {
            if *appeared {
                reader.versions.add(&self.service, version);
            } else {
                reader.versions.remove(self.now, &self.service, version);
            }
        }
        reader.position = self.changes.len();
        reader.verified_at = self.now;
    }

    /// Reads the rows that the table holds, without those that it held before.
    fn restart(&mut self, gateway: usize) {
        let mut versions = SoftwareVersions::default();
        for number in 0..3_u8 {
            let version = version(number);
            for _ in 0..self.count(&version, self.changes.len()) {
                versions.add(&self.service, &version);
            }
        }
        versions.set_known_since(self.now);
        self.readers[gateway] = Reader {
            versions,
            position: self.changes.len(),
            verified_at: self.now,
        };
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Start(number) => self.changes.push((version(number), true)),
            Step::Remove(number) if self.count(&version(number), self.changes.len()) > 0 => {
                self.changes.push((version(number), false));
            }
            Step::Read(gateway) => self.read(gateway),
            Step::Restart(gateway) => self.restart(gateway),
            Step::Begin(gateway, number)
                if self.may_begin(&self.readers[gateway], &version(number)) =>
            {
                let (version, began) = (version(number), self.now);
                self.streams.push(Stream { version, began });
            }
            Step::Remove(_) | Step::Begin(..) | Step::TakeUp(_) => {}
            Step::Pause(length_ms) => self.now = self.now + length_ms,
        }
        self.now = self.now + 1;
    }

    /// The version at which a gateway would let a stream without a record go on.
    fn only_origin(&self, gateway: usize) -> Option<&SoftwareVersion> {
        let reader = &self.readers[gateway];
        let evidence = RowEvidence {
            asked_at: Duration::from_millis(self.now.0),
            verified_at: Some(Duration::from_millis(reader.verified_at.0)),
        };
        let versions = &reader.versions;
        let period_ms = PERIOD_MS + MAX_LAG_MS;
        versions.only_origin(self.now, period_ms, &self.service, evidence)
    }
}

fn version(number: u8) -> SoftwareVersion {
    SoftwareVersion::from(format!("v{number}"))
}

/// Guards against a version that is forgotten while a gateway may still begin streams there.
#[test]
fn a_version_counts_while_gateways_may_not_know_that_its_rows_are_gone() {
    let mut fleet = Fleet::new();
    let steps = [
        Step::Start(0),
        Step::Read(0),
        Step::Start(1),
        Step::Remove(0),
        Step::Read(1),
        Step::Pause(MAX_LAG_MS / 2),
        Step::Begin(0, 0),
        Step::Pause(PERIOD_MS / 2),
    ];
    steps.into_iter().for_each(|step| fleet.apply(step));
    assert_eq!(fleet.streams.len(), 1);
    fleet.read(1);
    assert_eq!(fleet.only_origin(1), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against mixed versions, however far behind the two gateways of a stream are.
    #[test]
    fn a_stream_without_a_record_goes_on_at_its_version_only(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(step);
            let Step::TakeUp(gateway) = step else { continue };
            // The gateway may have read the table for the request.
            for is_read in [false, true] {
                if is_read {
                    fleet.read(gateway);
                }
                let Some(only) = fleet.only_origin(gateway) else { continue };
                let is_recent = |stream: &&Stream| fleet.now.since(stream.began) < PERIOD_MS;
                for stream in fleet.streams.iter().filter(is_recent) {
                    prop_assert_eq!(only, &stream.version);
                }
            }
        }
    }
}
