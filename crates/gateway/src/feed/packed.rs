//! Rows as gateways keep them and tell them to each other: long values are compressed,
//! once, where they are read from the table.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use gorsebank_contract::TableRow;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ports::RowChange;

/// Values of so many bytes or more are compressed: a configuration has 58 KB, most rows
/// have a few hundred bytes.
const PACKED_FROM: usize = 1_024;
/// The level: a configuration shrinks to an eighth in under a millisecond of a core.
const LEVEL: u32 = 2;
/// Longest value that is unpacked, in bytes: a row of the table is no longer than that.
const LONGEST_VALUE: u64 = 1 << 20;

/// A compressed value cannot be read.
#[derive(Debug, Error)]
#[error("packed row {key}: {reason}")]
pub struct PackError {
    /// The row.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// A row's value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PackedValue {
    /// As it is.
    #[serde(rename = "p")]
    Plain(String),
    /// Compressed.
    #[serde(rename = "d")]
    Deflated(Bytes),
    /// The row was removed.
    #[serde(rename = "g")]
    Gone,
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChange {
    /// The row, as `TABLE/KEY`.
    #[serde(rename = "k")]
    pub key: String,
    /// The table's version that wrote or removed it.
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "c")]
    value: PackedValue,
}

impl PackedChange {
    /// Packs a row.
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
            RowChange::Removed { key, version } => PackedChange::gone(key.clone(), *version),
        }
    }

    /// The removal of a row.
    pub fn gone(key: String, version: u64) -> Self {
        PackedChange {
            key,
            version,
            value: PackedValue::Gone,
        }
    }

    /// Bytes of the value, as it is kept.
    pub fn value_bytes(&self) -> usize {
        match &self.value {
            PackedValue::Plain(value) => value.len(),
            PackedValue::Deflated(bytes) => bytes.len(),
            PackedValue::Gone => 0,
        }
    }

    /// Whether the row was removed.
    pub fn is_gone(&self) -> bool {
        self.value == PackedValue::Gone
    }

    /// The change as the table told it.
    ///
    /// # Errors
    ///
    /// If the value is not what [`PackedChange::put`] makes.
    pub fn unpack(&self) -> Result<RowChange, PackError> {
        let value = match &self.value {
            PackedValue::Gone => {
                return Ok(RowChange::Removed {
                    key: self.key.clone(),
                    version: self.version,
                });
            }
            PackedValue::Plain(value) => value.clone(),
            PackedValue::Deflated(bytes) => self.inflated(bytes)?,
        };
        Ok(RowChange::Put(TableRow {
            key: self.key.clone(),
            value,
            modified: self.version,
        }))
    }

    fn inflated(&self, bytes: &[u8]) -> Result<String, PackError> {
        let wrong = |error: &dyn std::fmt::Display| PackError {
            key: self.key.clone(),
            reason: error.to_string(),
        };
        let value = inflate(bytes, LONGEST_VALUE).map_err(|error| wrong(&error))?;
        String::from_utf8(value).map_err(|error| wrong(&error))
    }
}

fn pack(value: &str) -> PackedValue {
    if value.len() < PACKED_FROM {
        return PackedValue::Plain(value.to_owned());
    }
    match deflate(value.as_bytes()) {
        Ok(bytes) => PackedValue::Deflated(bytes),
        // Writing to memory does not fail; if it does, the value travels as it is.
        Err(_) => PackedValue::Plain(value.to_owned()),
    }
}

/// Compresses bytes.
pub(super) fn deflate(value: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::new(LEVEL));
    encoder.write_all(value)?;
    Ok(encoder.finish()?.into())
}

/// The bytes that were compressed, `longest` of them at most.
pub(super) fn inflate(bytes: &[u8], longest: u64) -> std::io::Result<Vec<u8>> {
    let mut value = Vec::new();
    DeflateDecoder::new(bytes)
        .take(longest)
        .read_to_end(&mut value)?;
    Ok(value)
}
