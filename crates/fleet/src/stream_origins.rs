//! Records of the software versions that began streams, so that a caller can take up a stream at any
//! gateway and the version stays the same.
//!
//! The gateway that forwards the first event of a stream records its version, and sends the record to
//! two other gateways, its keepers. The stream's key selects them, so that every gateway finds them
//! without a search. Keepers are in other zones than the sender where there are any.
//!
//! Input: records, and the known gateways. Output: the version that began a stream, and the keepers of
//! its record. Ids of requests come from callers, so the number of records is bounded.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use gorsebank_coordination::{Timestamp, rendezvous};
use gorsebank_world::{NodeId, ServiceId, SoftwareVersion, ZoneId};
use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Maximum number of records, of about 150 bytes each; the oldest are dropped first.
const MAX_RECORDS: usize = 32_768;
/// Maximum time for which a record is kept, in milliseconds, whatever its sender asks for.
const MAX_LIFETIME_MS: u64 = 600_000;
/// Number of groups of streams whose records have the same keepers, so that a gateway does not need
/// connections to all others.
const KEEPER_GROUPS: u64 = 64;
/// Number of candidates among which a sender chooses the keepers of a record.
const KEEPER_CANDIDATES: usize = 4;
/// Number of gateways that are asked for a record: the candidates, and one more, since gateways may
/// have joined or left since the record was sent.
const KEEPERS_TO_ASK: usize = KEEPER_CANDIDATES + 1;
/// Number of keepers to which a record is sent.
pub const KEEPERS: usize = 2;

/// Identifies a stream by its service and by the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(Fingerprint);

impl StreamKey {
    /// The key of the stream that the request `first_request` began at a service.
    pub fn new(service: &ServiceId, first_request: &str) -> Self {
        let parts = [service.as_str().as_bytes(), first_request.as_bytes()];
        StreamKey(Fingerprint::of(&parts))
    }

    /// The key as a hexadecimal number.
    pub fn to_hex(self) -> String {
        self.0.to_hex()
    }

    /// Parses a hexadecimal number; `None` if it is not a key.
    pub fn from_hex(text: &str) -> Option<Self> {
        Fingerprint::from_hex(text).map(StreamKey)
    }

    /// The group of streams that have the same keepers as this one.
    pub fn keeper_group(self) -> KeeperGroup {
        KeeperGroup(self.0.leading_number() % KEEPER_GROUPS)
    }
}

/// The software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    #[serde(rename = "s")]
    pub stream: StreamKey,
    /// The version that wrote its first event.
    #[serde(rename = "v")]
    pub version: SoftwareVersion,
    /// Time for which the record is needed, in milliseconds.
    #[serde(rename = "l")]
    pub lifetime_ms: u64,
}

#[derive(Debug)]
struct Kept {
    version: SoftwareVersion,
    until: Timestamp,
    /// Whether this gateway has passed the record on to be stored, or has read it from the table.
    is_stored: bool,
}

/// The records that a gateway keeps, of its own streams and of other gateways.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    kept: HashMap<StreamKey, Kept>,
    /// Streams in the order of their records.
    order: VecDeque<StreamKey>,
}

impl StreamOrigins {
    /// Keeps a record. The version of a known stream does not change.
    pub fn record(&mut self, now: Timestamp, record: &OriginRecord) {
        self.remove_expired(now);
        let until = now + record.lifetime_ms.min(MAX_LIFETIME_MS);
        if let Some(kept) = self.kept.get_mut(&record.stream) {
            kept.until = kept.until.max(until);
            return;
        }
        let version = record.version.clone();
        let kept = Kept {
            version,
            until,
            is_stored: false,
        };
        self.kept.insert(record.stream, kept);
        self.order.push_back(record.stream);
        while self.order.len() > MAX_RECORDS {
            self.remove_oldest();
        }
    }

    /// The version that began a stream, if its record is kept.
    pub fn version(&self, now: Timestamp, stream: StreamKey) -> Option<&SoftwareVersion> {
        let kept = self.kept.get(&stream)?;
        (now < kept.until).then_some(&kept.version)
    }

    /// Marks a record as stored. Returns false if it was already.
    pub fn mark_stored(&mut self, stream: StreamKey) -> bool {
        let kept = self.kept.get_mut(&stream);
        kept.is_none_or(|kept| !std::mem::replace(&mut kept.is_stored, true))
    }

    /// All records that are still needed.
    pub fn records(&self, now: Timestamp) -> Vec<OriginRecord> {
        let needed = self.kept.iter().filter(|(_, kept)| now < kept.until);
        let record = |(stream, kept): (&StreamKey, &Kept)| OriginRecord {
            stream: *stream,
            version: kept.version.clone(),
            lifetime_ms: kept.until.since(now),
        };
        needed.map(record).collect()
    }

    /// Records mostly expire in their order, so an expired one is at most hidden for the lifetime of
    /// those before it.
    fn remove_expired(&mut self, now: Timestamp) {
        let is_expired = |stream: &StreamKey| {
            let kept = self.kept.get(stream);
            kept.is_none_or(|kept| kept.until <= now)
        };
        let expired = self.order.iter().take_while(|it| is_expired(it)).count();
        for _ in 0..expired {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.kept.remove(&oldest);
        }
    }
}

/// A group of streams whose records have the same keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeeperGroup(u64);

/// A gateway that may keep records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keeper<'a> {
    /// The gateway's name.
    pub name: &'a str,
    /// The gateway's zone, if it is known.
    pub zone: Option<&'a ZoneId>,
}

/// The gateways to ask for the records of a group, as indices into `gateways`, in the order of their
/// ranks. The keepers of every sender are among them, also if its view differs by one gateway.
pub fn keepers_to_ask(gateways: &[Keeper<'_>], group: KeeperGroup) -> Vec<usize> {
    let key = group.0.to_string();
    let mut ranked: Vec<usize> = (0..gateways.len()).collect();
    ranked.sort_by_cached_key(|index| {
        let name = gateways[*index].name;
        Reverse((rendezvous::weight(&key, &NodeId::from(name)), name))
    });
    ranked.truncate(KEEPERS_TO_ASK);
    ranked
}

/// The gateways to which `own` sends the records of a group, in order: [`KEEPERS`], and those to try
/// if one of them does not respond. `asked` are the gateways in the order of [`keepers_to_ask`], and
/// the result are indices into it. Gateways in other zones come first, and the second one is in a
/// third zone if possible, so that the loss of a zone leaves one record.
pub fn keepers_of(asked: &[Keeper<'_>], own: &NodeId, zone: &ZoneId) -> Vec<usize> {
    let candidates = 0..asked.len().min(KEEPER_CANDIDATES);
    let mut keepers: Vec<usize> = candidates
        .filter(|index| asked[*index].name != own.as_str())
        .collect();
    keepers.sort_by_key(|index| asked[*index].zone == Some(zone));
    let zone_of = |index: usize| asked[index].zone;
    if let Some(first) = keepers.first().map(|index| zone_of(*index)) {
        keepers[1..].sort_by_key(|index| {
            let zone_of_keeper = zone_of(*index);
            zone_of_keeper == first || zone_of_keeper == Some(zone)
        });
    }
    keepers
}
