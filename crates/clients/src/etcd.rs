//! Messages of etcd's v3 JSON gateway, as far as transactions need them.
//!
//! Keys and values are base64, and 64-bit numbers are text, as the gateway's
//! published mapping of protocol buffers to JSON has it. Fields with default
//! values may be absent.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(&text)
            .map(Base64)
            .map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number that travels as text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(u64),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(number) => Ok(Number(number)),
            Either::Text(text) => text.parse().map(Number).map_err(serde::de::Error::custom),
        }
    }
}

/// A condition on the revision that last wrote a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareMessage {
    /// The key.
    pub key: Base64,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// The revision; 0 if the key must not exist.
    #[serde(default)]
    pub mod_revision: Number,
}

/// Reads a key, or all keys up to `range_end`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The end, exclusive; empty for one key.
    #[serde(default, skip_serializing_if = "is_empty")]
    pub range_end: Base64,
}

fn is_empty(bytes: &Base64) -> bool {
    bytes.0.is_empty()
}

/// Writes a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    #[serde(default)]
    pub value: Base64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// Read.
    RequestRange(RangeRequest),
    /// Write.
    RequestPut(PutRequest),
}

/// A transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions.
    #[serde(default)]
    pub compare: Vec<CompareMessage>,
    /// Run when all hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Run otherwise.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// The store's state when it answered.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// Its revision.
    #[serde(default)]
    pub revision: Number,
}

/// A key with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The value.
    #[serde(default)]
    pub value: Base64,
    /// The revision that last wrote it.
    #[serde(default)]
    pub mod_revision: Number,
}

/// Keys that were read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The keys.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// The result of a write, of which nothing is needed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PutResponse {}

/// The result of one operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// Of a read.
    ResponseRange(RangeResponse),
    /// Of a write.
    ResponsePut(PutResponse),
}

/// The result of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The store's state.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether the conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// One result an operation.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// The end of the range of all keys that start with `prefix`.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
