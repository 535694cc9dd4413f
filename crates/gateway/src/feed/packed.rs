//! Rows and changes in the form in which gateways cache them and send them to each other.
//!
//! In: rows and changes of a table. Out: the same with long values compressed, and back. A value
//! is compressed once, where it is read from the table.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use gorsebank_contract::TableRow;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ports::RowChange;

/// Minimum size of a value that is compressed, in bytes. A configuration has 58 KB, most rows have
/// a few hundred bytes.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// The compression level. With this level, a configuration shrinks to an eighth of its size in less
/// than 1 ms of processor time.
const COMPRESSION_LEVEL: u32 = 2;
/// Maximum size of a decompressed value, in bytes. No row of the table is longer.
const MAX_VALUE_BYTES: u64 = 1 << 20;

/// A compressed value cannot be decompressed.
#[derive(Debug, Error)]
#[error("cannot decompress the value of row {key}: {reason}")]
pub struct PackError {
    /// The key of the row.
    pub key: String,
    /// Why the value cannot be decompressed.
    pub reason: String,
}

/// The value of a row after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PackedValue {
    /// The value without compression.
    #[serde(rename = "p")]
    Plain(String),
    /// The value compressed with DEFLATE.
    #[serde(rename = "d")]
    Deflated(Bytes),
    /// The row was removed.
    #[serde(rename = "g")]
    Removed,
}

/// A change of a row, with a long value compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChange {
    /// The key of the row, as `TABLE/KEY`.
    #[serde(rename = "k")]
    pub key: String,
    /// The table's version that wrote or removed the row.
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "c")]
    value: PackedValue,
}

impl PackedChange {
    /// Packs a write of a row.
    pub fn put(row: &TableRow) -> Self {
        PackedChange {
            key: row.key.clone(),
            version: row.modified,
            value: pack(&row.value),
        }
    }

    /// Packs a change.
    pub fn new(change: &RowChange) -> Self {
        match change {
            RowChange::Put(row) => PackedChange::put(row),
            RowChange::Removed { key, version } => PackedChange::removal(key.clone(), *version),
        }
    }

    /// The removal of a row.
    pub fn removal(key: String, version: u64) -> Self {
        PackedChange {
            key,
            version,
            value: PackedValue::Removed,
        }
    }

    /// Size of the value in its packed form, in bytes.
    pub fn value_bytes(&self) -> usize {
        match &self.value {
            PackedValue::Plain(value) => value.len(),
            PackedValue::Deflated(bytes) => bytes.len(),
            PackedValue::Removed => 0,
        }
    }

    /// Whether the row was removed.
    pub fn is_removal(&self) -> bool {
        self.value == PackedValue::Removed
    }

    /// Restores the change as the table returned it.
    ///
    /// # Errors
    ///
    /// If the value was not packed by [`PackedChange::put`].
    pub fn unpack(&self) -> Result<RowChange, PackError> {
        let value = match &self.value {
            PackedValue::Removed => {
                return Ok(RowChange::Removed {
                    key: self.key.clone(),
                    version: self.version,
                });
            }
            PackedValue::Plain(value) => value.clone(),
            PackedValue::Deflated(bytes) => self.decompress_value(bytes)?,
        };
        Ok(RowChange::Put(TableRow {
            key: self.key.clone(),
            value,
            modified: self.version,
        }))
    }

    fn decompress_value(&self, bytes: &[u8]) -> Result<String, PackError> {
        let pack_error = |error: &dyn std::fmt::Display| PackError {
            key: self.key.clone(),
            reason: error.to_string(),
        };
        let value = inflate(bytes, MAX_VALUE_BYTES).map_err(|error| pack_error(&error))?;
        String::from_utf8(value).map_err(|error| pack_error(&error))
    }
}

fn pack(value: &str) -> PackedValue {
    if value.len() < MIN_COMPRESSED_BYTES {
        return PackedValue::Plain(value.to_owned());
    }
    match deflate(value.as_bytes()) {
        Ok(bytes) => PackedValue::Deflated(bytes),
        // Writing to memory does not fail. If it does, the value is sent without compression.
        Err(_) => PackedValue::Plain(value.to_owned()),
    }
}

/// Compresses bytes.
pub(super) fn deflate(value: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::new(COMPRESSION_LEVEL));
    encoder.write_all(value)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses bytes, up to `max_bytes` of output.
pub(super) fn inflate(bytes: &[u8], max_bytes: u64) -> std::io::Result<Vec<u8>> {
    let mut value = Vec::new();
    DeflateDecoder::new(bytes)
        .take(max_bytes)
        .read_to_end(&mut value)?;
    Ok(value)
}
