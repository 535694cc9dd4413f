//! Rows of the table with the software versions that began streams, so that the records outlast
//! every gateway.
//!
//! Input: records of streams. Output: rows of bounded size, and the records in a row that was read.

use std::collections::BTreeMap;

use gorsebank_world::SoftwareVersion;
use serde::{Deserialize, Serialize};

use crate::{OriginRecord, StreamKey};

/// Number of records from which a row is not written again. Each write repeats the records that the
/// row already has.
const FULL_RECORDS: usize = 64;

/// Maximum number of records that are added to a row at once. Together with [`FULL_RECORDS`], it
/// limits a row to about 20 KB.
pub const MAX_BATCH_RECORDS: usize = 512;

/// Records of streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginRow {
    /// Time for which the records are needed, in milliseconds.
    lifetime_ms: u64,
    /// The hexadecimal keys of the streams that each version began.
    streams: BTreeMap<SoftwareVersion, Vec<String>>,
}

impl StreamOriginRow {
    /// Adds a record.
    pub fn add(&mut self, record: &OriginRecord) {
        self.lifetime_ms = self.lifetime_ms.max(record.lifetime_ms);
        let streams = self.streams.entry(record.version.clone()).or_default();
        streams.push(record.stream.to_hex());
    }

    /// Whether further records belong in another row.
    pub fn is_full(&self) -> bool {
        self.streams.values().map(Vec::len).sum::<usize>() >= FULL_RECORDS
    }

    /// The records. Keys that cannot be parsed are left out.
    pub fn records(&self) -> impl Iterator<Item = OriginRecord> {
        self.streams.iter().flat_map(|(version, streams)| {
            let keys = streams.iter().filter_map(|key| StreamKey::from_hex(key));
            keys.map(|stream| OriginRecord {
                stream,
                version: version.clone(),
                lifetime_ms: self.lifetime_ms,
            })
        })
    }
}
